//! Rate limit of operator requests.

use std::time::{Duration, Instant};

/// Requests that may arrive at once after an idle period.
pub const BURST_REQUESTS: u32 = 400;
/// Sustained requests per second: one metrics scrape per second by each of 51 instances leaves capacity for operators.
pub const REQUESTS_PER_SECOND: u32 = 200;

/// Token bucket with one token per request.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: u32,
    /// Time up to which tokens were added.
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: BURST_REQUESTS,
            refilled_at: now,
        }
    }

    /// Takes a token if there is one; returns whether it did.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let period = Duration::from_secs(1) / REQUESTS_PER_SECOND;
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let added = elapsed.as_nanos() / period.as_nanos();
        let added = u32::try_from(added)
            .unwrap_or(BURST_REQUESTS)
            .min(BURST_REQUESTS);
        if self.tokens + added >= BURST_REQUESTS {
            self.tokens = BURST_REQUESTS;
            self.refilled_at = self.refilled_at.max(now);
        } else {
            self.tokens += added;
            self.refilled_at += period * added;
        }
        let taken = self.tokens > 0;
        self.tokens -= u32::from(taken);
        taken
    }
}
