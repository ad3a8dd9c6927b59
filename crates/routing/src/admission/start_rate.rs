//! Estimate of the wait of a queued request.

use std::time::{Duration, Instant};

/// Weight of the newest interval between two starts in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Number of starts from which the mean is used.
const MIN_STARTS: u32 = 8;
/// Maximum age of the last start for the mean to be used.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Observed interval between starts of queued requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartRate {
    last_start: Option<Instant>,
    interval: f64,
    starts: u32,
}

impl StartRate {
    /// Records the start of a queued request; `waiting` is whether more requests of the rank are queued.
    pub(super) fn record_start(&mut self, now: Instant, waiting: bool) {
        if let Some(last) = self.last_start {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            self.starts += 1;
            let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.starts));
            self.interval += weight * (interval - self.interval);
        }
        // With an empty queue, the next interval depends on arrivals and not on the start rate.
        self.last_start = waiting.then_some(now);
    }

    /// Returns the expected wait behind `ahead` requests in seconds, if the start rate is known.
    pub(super) fn expected_wait(&self, now: Instant, ahead: f64) -> Option<f64> {
        let last = self.last_start.filter(|_| self.starts >= MIN_STARTS)?;
        let idle = now.saturating_duration_since(last);
        (idle < MAX_AGE).then_some(self.interval * (ahead + 1.0))
    }
}
