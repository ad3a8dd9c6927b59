//! Share of attempts that failed lately.

use std::time::{Duration, Instant};

/// Time in which an attempt loses most of its weight.
const MEMORY: Duration = Duration::from_secs(2);
/// Share from which failures are more than the usual errors of workers. Those fail 3.9 to 6.4% of the attempts at a service
/// on a calm day.
const HIGH: f64 = 0.08;

/// Weights of the attempts that ended, as of an instant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Misses {
    failed: f64,
    all: f64,
    at: Option<Instant>,
}

impl Misses {
    /// Records the end of an attempt.
    pub(super) fn record(&mut self, now: Instant, failed: bool) {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let age = age.unwrap_or_default().as_secs_f64();
        let left = (-age / MEMORY.as_secs_f64()).exp();
        self.failed = self.failed * left + f64::from(u8::from(failed));
        self.all = self.all * left + 1.0;
        self.at = Some(now);
    }

    /// Returns whether more attempts fail than usual.
    pub(super) fn are_high(&self) -> bool {
        self.failed > HIGH * self.all
    }
}
