//! Rate limit of the operators' requests.

use std::time::{Duration, Instant};

/// Requests that may arrive at once after a pause.
pub const BURST: u32 = 400;
/// Requests a second that are served continuously: 51 instances scraped each second leave room for operators.
pub const PER_SECOND: u32 = 200;

/// Token bucket of whole requests.
#[derive(Clone, Debug)]
pub struct Bucket {
    left: u32,
    /// Instant up to which tokens were added.
    filled: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            left: BURST,
            filled: now,
        }
    }

    /// Takes a token; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let period = Duration::from_secs(1) / PER_SECOND;
        let elapsed = now.saturating_duration_since(self.filled);
        let added = elapsed.as_nanos() / period.as_nanos();
        let added = u32::try_from(added).unwrap_or(BURST).min(BURST);
        if self.left + added >= BURST {
            self.left = BURST;
            self.filled = self.filled.max(now);
        } else {
            self.left += added;
            self.filled += period * added;
        }
        let taken = self.left > 0;
        self.left -= u32::from(taken);
        taken
    }
}
