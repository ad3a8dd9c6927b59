//! How full a bucket of a customer has been in the last seconds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Age up to which a permit may come back unused.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Marks of one bucket, so that its memory is bounded.
const MAX_MARKS: usize = 256;

/// Least room that a bucket had until a permit of its book.
#[derive(Debug)]
struct Mark {
    /// Number of the last permit that was granted before.
    stamp: u64,
    at: Instant,
    room: f64,
}

/// Least room of a bucket since each of the last permits. A token that had never been taken would have been lost where the
/// bucket had no room for it.
#[derive(Debug)]
pub struct History {
    /// In the order of time; the room increases, because a mark counts for all permits before it.
    marks: VecDeque<Mark>,
    /// Permits up to this one are not covered.
    unknown: u64,
}

impl History {
    /// Creates the history of a bucket that covers permits after `stamp`.
    pub fn new(stamp: u64) -> Self {
        Self {
            marks: VecDeque::new(),
            unknown: stamp,
        }
    }

    /// Records the room of the bucket after the permit `stamp`.
    pub fn record(&mut self, at: Instant, stamp: u64, room: f64) {
        while self.marks.back().is_some_and(|mark| mark.room >= room) {
            self.marks.pop_back();
        }
        self.marks.push_back(Mark { stamp, at, room });
        let is_old = |mark: &Mark| at.saturating_duration_since(mark.at) > MAX_AGE;
        while self.marks.len() > MAX_MARKS || self.marks.front().is_some_and(is_old) {
            if let Some(mark) = self.marks.pop_front() {
                self.unknown = self.unknown.max(mark.stamp);
            }
        }
    }

    /// Takes up to `tokens` of the least room since the permit `stamp` was granted, and returns how many there were. The
    /// room must have been recorded just before.
    pub fn fill(&mut self, stamp: u64, tokens: f64) -> f64 {
        let first = self.marks.partition_point(|mark| mark.stamp < stamp);
        let room = self.marks.get(first).map_or(0.0, |mark| mark.room);
        if stamp <= self.unknown || room <= 0.0 {
            return 0.0;
        }
        let filled = tokens.min(room);
        for mark in self.marks.range_mut(first..) {
            mark.room -= filled;
        }
        let left = room - filled;
        let kept = self.marks.partition_point(|mark| mark.room < left);
        if kept < first {
            self.marks.drain(kept..first);
        }
        filled
    }
}
