//! Retry budget and the rule for a single retry.

use std::time::Duration;

use chestnutvalve_model::error::Executed;

/// Cost of one retry, in hundredths of a token.
const RETRY: u32 = 100;
/// Most tokens that are saved up, in hundredths. It bounds the burst of retries after a quiet period.
const CAPACITY: u32 = 10 * RETRY;
/// Tokens of a new budget, in hundredths, so that a service with little traffic can retry at all.
const INITIAL: u32 = 2 * RETRY;

/// Token bucket that is filled by first attempts only.
///
/// Retries never exceed `percent` of the first attempts plus the capacity, so that they can't amplify an overload.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u8,
    tokens: u32,
}

impl Budget {
    /// Creates a budget that allows retries for `percent` of the first attempts; zero allows none.
    #[must_use]
    pub fn new(percent: u8) -> Self {
        let tokens = if percent == 0 { 0 } else { INITIAL };
        Self { percent, tokens }
    }

    /// Changes the percentage; tokens saved so far are kept unless it is zero.
    pub fn configure(&mut self, percent: u8) {
        self.percent = percent;
        if percent == 0 {
            self.tokens = 0;
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + u32::from(self.percent)).min(CAPACITY);
    }

    /// Takes the tokens for one retry; returns whether there were enough.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tokens >= RETRY;
        if enough {
            self.tokens -= RETRY;
        }
        enough
    }
}

/// Returns whether a failed attempt may be repeated at all, before the budget is asked.
///
/// `left` is the time to the deadline and `typical` the usual duration of such a request.
#[must_use]
pub fn allowed(idempotent: bool, executed: Executed, left: Duration, typical: Duration) -> bool {
    (idempotent || executed == Executed::No) && !left.is_zero() && left >= typical
}
