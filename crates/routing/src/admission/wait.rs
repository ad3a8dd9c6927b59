//! Estimate of the time that a queued request waits.

use std::time::{Duration, Instant};

/// Weight of the newest interval between two starts in the average.
const NEWEST: f64 = 0.1;
/// Starts after which the average is used.
const ENOUGH: u32 = 8;
/// Time after the last start for which the average is used.
const LIFETIME: Duration = Duration::from_secs(5);

/// Observed pace at which queued requests of one rank start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    last: Option<Instant>,
    interval: f64,
    known: u32,
}

impl Pace {
    /// Records a start out of the queue; `waiting` tells whether others of the rank still wait.
    pub(super) fn start(&mut self, now: Instant, waiting: bool) {
        if let Some(last) = self.last {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            self.known += 1;
            let weight = NEWEST.max(1.0 / f64::from(self.known));
            self.interval += weight * (interval - self.interval);
        }
        // Without backlog the next interval shows the arrivals and not the pace.
        self.last = waiting.then_some(now);
    }

    /// Returns the wait behind `ahead` requests in seconds, if the pace is known.
    pub(super) fn wait(&self, now: Instant, ahead: f64) -> Option<f64> {
        let last = self.last.filter(|_| self.known >= ENOUGH)?;
        let idle = now.saturating_duration_since(last);
        (idle < LIFETIME).then_some(self.interval * (ahead + 1.0))
    }
}
