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

/// Allowance for further attempts at one service, as this entry's part of what the fleet may use.
///
/// In any window the fleet may send a share of the requests again, and a fixed number beside. Each entry earns the share
/// for its own requests and gets an equal part of the fixed number, half of it saved up and half spread over the window.
#[derive(Clone, Debug)]
pub struct Allowance {
    share: f64,
    burst: f64,
    per_second: f64,
    tokens: f64,
    at: std::time::Instant,
}

impl Allowance {
    /// Creates an allowance of `share` of the requests and `extra` attempts in each `window`.
    #[must_use]
    pub fn new(now: std::time::Instant, share: f64, extra: f64, window: Duration) -> Self {
        Self {
            share,
            burst: extra / 2.0,
            per_second: extra / 2.0 / window.as_secs_f64(),
            tokens: extra / 2.0,
            at: now,
        }
    }

    /// Records a request of a caller.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst.max(1.0));
    }

    /// Takes one further attempt; returns whether there was one.
    pub fn withdraw(&mut self, now: std::time::Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst.max(1.0));
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
