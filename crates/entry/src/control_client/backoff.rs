//! Delay between rounds of failed calls to the control instances.
//!
//! Load pattern: several hundred entries start, or lose the leader, at the same time. The control instances have a quarter
//! of a core; if every entry queries all of them each 200 ms, they have no processor time left to elect a leader.

use std::time::Duration;

/// Delay after the first failed round. Most elections take less than a second.
const INITIAL_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay. An entry must hear of a recovered group well before a change has to be in force, 2 s after it.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// Number of rounds that failed in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failed round and returns the delay before the next one: it doubles with each failure, and `jitter`
    /// from 0 to 1 shortens it by up to a half, so that entries that failed together don't retry together.
    pub fn next_delay(&mut self, jitter: f64) -> Duration {
        let delay = INITIAL_DELAY.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        delay
            .min(MAX_DELAY)
            .mul_f64(1.0 - jitter.clamp(0.0, 1.0) / 2.0)
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
