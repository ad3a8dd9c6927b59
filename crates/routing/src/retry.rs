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
/// for its own requests and a part of the fixed number, half of it saved up and half spread over the window.
#[derive(Clone, Debug)]
pub struct Allowance {
    bounds: Bounds,
    tokens: f64,
    at: Option<std::time::Instant>,
}

/// Part of an entry in the allowance of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Further attempts earned with each request.
    pub share: f64,
    /// Further attempts beside these in each window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Allowance {
    /// Creates an empty allowance.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            tokens: 0.0,
            at: None,
        }
    }

    /// Changes the entry's part.
    pub fn configure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Records a request of a caller.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.bounds.share).min(self.most());
    }

    /// Takes one further attempt; returns whether there was one.
    pub fn withdraw(&mut self, now: std::time::Instant) -> bool {
        let since = self.at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let earned = passed * self.bounds.extra / 2.0 / self.bounds.window.as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.most());
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns how many further attempts can be saved up; one at least, or none could ever be made.
    fn most(&self) -> f64 {
        (self.bounds.extra / 2.0).max(1.0)
    }
}
