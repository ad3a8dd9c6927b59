//! Ring buffer of counts per time step.

use std::time::Duration;

use crate::Count;

/// Counts of the latest time steps, in constant memory.
#[derive(Clone, Debug)]
pub struct Ring {
    step: Duration,
    counts: Vec<Count>,
    /// Number of the latest step, counted from the start of the counters.
    latest_step: u64,
}

impl Ring {
    /// Creates an empty ring of `length` steps of the duration `step`.
    pub fn new(step: Duration, length: usize) -> Self {
        Self {
            step,
            counts: vec![Count::default(); length],
            latest_step: 0,
        }
    }

    /// Counts a request at `elapsed`, the time since the start of the counters.
    pub fn record(&mut self, elapsed: Duration, good: bool) {
        self.advance(elapsed);
        let length = self.counts.len() as u64;
        let index = usize::try_from(self.latest_step % length).unwrap_or_default();
        self.counts[index].record(good);
    }

    /// Returns the sum of the current step and of the complete steps within `span` before it.
    pub fn sum(&self, elapsed: Duration, span: Duration) -> Count {
        let length = self.counts.len() as u64;
        let now = self.step_number(elapsed).max(self.latest_step);
        let steps = u64::try_from(span.as_millis() / self.step.as_millis()).unwrap_or(u64::MAX);
        let first = now.saturating_sub(steps.min(length - 1));
        let mut sum = Count::default();
        for number in first..=self.latest_step {
            let index = usize::try_from(number % length).unwrap_or_default();
            sum.add(self.counts[index]);
        }
        sum
    }

    fn advance(&mut self, elapsed: Duration) {
        let length = self.counts.len() as u64;
        let now = self.step_number(elapsed);
        for number in (self.latest_step + 1..=now).take(self.counts.len()) {
            // After a gap longer than the ring, this visits each index once and clears all counts.
            let index = usize::try_from(number % length).unwrap_or_default();
            self.counts[index] = Count::default();
        }
        self.latest_step = self.latest_step.max(now);
    }

    fn step_number(&self, elapsed: Duration) -> u64 {
        u64::try_from(elapsed.as_millis() / self.step.as_millis()).unwrap_or(u64::MAX)
    }
}
