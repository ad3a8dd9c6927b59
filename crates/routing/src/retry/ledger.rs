//! What one entry has used of the parts of a retry budget.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::WINDOW_SLICES;

/// Requests and extra attempts of one entry in the last window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests.
    pub requests: u32,
    /// Attempts beyond the first of each request.
    pub extra_attempts: u32,
}

impl Usage {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.extra_attempts += other.extra_attempts;
    }
}

/// Requests and extra attempts of one entry in the last window, by the part of the budget that counted them.
///
/// A coordinator that takes over doesn't know what the one before it granted in the window. The entries do, and tell it.
#[derive(Clone, Debug)]
pub struct Ledger {
    window: Duration,
    slices: VecDeque<(Instant, u64, Usage)>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            slices: VecDeque::new(),
        }
    }

    /// Records what the part with the id `part` counted.
    pub fn record(&mut self, now: Instant, part: u64, usage: Usage) {
        self.expire(now);
        let length = self.window / WINDOW_SLICES;
        let current = |start: &Instant| now.saturating_duration_since(*start) < length;
        let mut slices = self.slices.iter_mut().rev();
        let slice = slices.find(|(start, id, _)| *id == part && current(start));
        match slice {
            Some((_, _, counted)) => counted.add(usage),
            None => self.slices.push_back((now, part, usage)),
        }
    }

    /// Returns what all parts except `part` counted.
    pub fn elsewhere(&mut self, now: Instant, part: u64) -> Usage {
        self.expire(now);
        let mut sum = Usage::default();
        let others = self.slices.iter().filter(|(_, id, _)| *id != part);
        others.for_each(|(_, _, usage)| sum.add(*usage));
        sum
    }

    fn expire(&mut self, now: Instant) {
        let kept = self.window + self.window / WINDOW_SLICES;
        let is_old = |start: &Instant| now.saturating_duration_since(*start) >= kept;
        while self.slices.front().is_some_and(|(start, ..)| is_old(start)) {
            self.slices.pop_front();
        }
    }
}
