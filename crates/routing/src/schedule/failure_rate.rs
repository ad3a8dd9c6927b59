//! Shares of recent requests and attempts that failed.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay of an attempt's weight.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Share of failed requests from which the floor must be kept, with a margin below a tenth.
const HIGH_SHARE: f64 = 0.08;
/// Share of failed attempts from which the same holds, because the retry budget may not suffice for all of them.
const HIGH_ATTEMPT_SHARE: f64 = 0.15;
/// Share of failed requests above which the failure rate may soon be high.
const ELEVATED_SHARE: f64 = 0.05;
/// Share of failed attempts below which almost no worker is faulty.
const LOW_ATTEMPT_SHARE: f64 = 0.01;

/// Exponentially decayed counts of requests and attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    failed_requests: f64,
    failed_attempts: f64,
    attempts: f64,
    updated_at: Option<Instant>,
}

impl FailureRate {
    /// Records the end of an attempt. A failure of one that is not the last attempt of its request is expected to be
    /// retried.
    pub(super) fn record(&mut self, now: Instant, failed: bool, is_last: bool) {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let age = age.unwrap_or_default().as_secs_f64();
        let left = (-age / DECAY_TIME.as_secs_f64()).exp();
        let add = |sum: f64, condition: bool| sum * left + f64::from(u8::from(condition));
        self.failed_requests = add(self.failed_requests, failed && is_last);
        self.failed_attempts = add(self.failed_attempts, failed);
        self.attempts = add(self.attempts, true);
        self.updated_at = Some(now);
    }

    /// Returns the number of requests: a failed attempt that is retried doesn't end one.
    fn requests(&self) -> f64 {
        self.attempts - self.failed_attempts + self.failed_requests
    }

    /// Returns whether the failure rate is above the usual one.
    pub(super) fn is_high(&self) -> bool {
        self.failed_requests > HIGH_SHARE * self.requests()
            || self.failed_attempts > HIGH_ATTEMPT_SHARE * self.attempts
    }

    /// Returns whether the failure rate may soon be high.
    pub(super) fn is_elevated(&self) -> bool {
        self.failed_requests > ELEVATED_SHARE * self.requests()
    }

    /// Returns whether almost no attempt fails.
    pub(super) fn is_low(&self) -> bool {
        self.failed_attempts <= LOW_ATTEMPT_SHARE * self.attempts
    }
}
