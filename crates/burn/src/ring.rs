//! Ring of counts of equal time steps.

use std::time::Duration;

use crate::Count;

/// Counts of the last `N` steps of time, in bounded memory.
#[derive(Clone, Debug)]
pub struct Ring {
    step: Duration,
    counts: Vec<Count>,
    /// Number of the latest step, counted from the start of the clock.
    latest: u64,
}

impl Ring {
    /// Creates a ring of `length` steps.
    pub fn new(step: Duration, length: usize) -> Self {
        Self {
            step,
            counts: vec![Count::default(); length],
            latest: 0,
        }
    }

    /// Counts a request at `at`, the time since the start of the clock.
    pub fn record(&mut self, at: Duration, good: bool) {
        self.advance(at);
        let length = self.counts.len() as u64;
        let slot = usize::try_from(self.latest % length).unwrap_or_default();
        self.counts[slot].record(good);
    }

    /// Returns the counts of the present step and of the complete steps within `span` before it.
    pub fn sum(&self, at: Duration, span: Duration) -> Count {
        let length = self.counts.len() as u64;
        let now = self.number(at).max(self.latest);
        let steps = u64::try_from(span.as_millis() / self.step.as_millis()).unwrap_or(u64::MAX);
        let first = now.saturating_sub(steps.min(length - 1));
        let mut sum = Count::default();
        for number in first..=self.latest {
            let slot = usize::try_from(number % length).unwrap_or_default();
            sum.add(self.counts[slot]);
        }
        sum
    }

    fn advance(&mut self, at: Duration) {
        let length = self.counts.len() as u64;
        let now = self.number(at);
        for number in (self.latest + 1..=now).take(self.counts.len()) {
            // After a gap longer than the ring the numbers repeat each slot once, which clears all of them.
            let slot = usize::try_from(number % length).unwrap_or_default();
            self.counts[slot] = Count::default();
        }
        self.latest = self.latest.max(now);
    }

    fn number(&self, at: Duration) -> u64 {
        u64::try_from(at.as_millis() / self.step.as_millis()).unwrap_or(u64::MAX)
    }
}
