//! Share of recent attempts that failed.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay of an attempt's weight.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Share of failures above which more attempts fail than usual. On a day without incidents, 3.9 to 6.4% of the attempts
/// at a service fail.
const HIGH_SHARE: f64 = 0.08;
/// Share of failures above which the failure rate may soon be high.
const ELEVATED_SHARE: f64 = 0.05;
/// Share of failures below which almost no worker is faulty.
const LOW_SHARE: f64 = 0.01;

/// Exponentially decayed counts of attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    failed: f64,
    total: f64,
    updated_at: Option<Instant>,
}

impl FailureRate {
    /// Records the end of an attempt.
    pub(super) fn record(&mut self, now: Instant, failed: bool) {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let age = age.unwrap_or_default().as_secs_f64();
        let left = (-age / DECAY_TIME.as_secs_f64()).exp();
        self.failed = self.failed * left + f64::from(u8::from(failed));
        self.total = self.total * left + 1.0;
        self.updated_at = Some(now);
    }

    /// Returns whether the failure rate is above the usual one.
    pub(super) fn is_high(&self) -> bool {
        self.failed > HIGH_SHARE * self.total
    }

    /// Returns whether the failure rate may soon be high.
    pub(super) fn is_elevated(&self) -> bool {
        self.failed > ELEVATED_SHARE * self.total
    }

    /// Returns whether almost no attempt fails.
    pub(super) fn is_low(&self) -> bool {
        self.failed <= LOW_SHARE * self.total
    }
}
