//! Retry budget and the rule for a single retry.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

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
pub struct TokenBucket {
    percent: u8,
    tokens: u32,
}

impl TokenBucket {
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
    pub fn try_withdraw(&mut self) -> bool {
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
pub fn is_allowed(idempotent: bool, executed: Executed, left: Duration, typical: Duration) -> bool {
    (idempotent || executed == Executed::No) && !left.is_zero() && left >= typical
}

/// Parts of the window in which requests and further attempts are counted together.
const SLICES: u32 = 20;

/// WindowBudget for further attempts at one service, as this entry's part of what the fleet may use.
///
/// In any window the fleet may send a share of the requests again, and a fixed number beside. Each entry counts its own
/// requests and further attempts of the last window, so that what it earned with earlier requests of the window can be
/// spent at once when a worker turns bad. A bucket that holds a single attempt, as the fixed number gives each of a
/// hundred entries, lost most of what was earned.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    bounds: Bounds,
    slices: VecDeque<Slice>,
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    further: u32,
}

/// Part of an entry in the allowance of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Further attempts earned with each request.
    pub ratio: f64,
    /// Further attempts beside these in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// What a further attempt is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// An attempt has failed, and without another one the request fails.
    Retry,
    /// An attempt is late, and may yet be answered.
    Hedge,
}

impl WindowBudget {
    /// Creates an allowance without requests.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            slices: VecDeque::new(),
        }
    }

    /// Changes the entry's part.
    pub fn configure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Records a request of a caller.
    pub fn deposit(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes one further attempt; returns whether there was one. Late attempts leave half of the allowance to failed
    /// ones, which gain more.
    pub fn try_withdraw(&mut self, now: Instant, purpose: Purpose) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let further: u32 = self.slices.iter().map(|s| s.further).sum();
        // One at least, or an entry of many could never make any.
        let most = (f64::from(requests) * self.bounds.ratio + self.bounds.slack).max(1.0);
        let most = match purpose {
            Purpose::Retry => most,
            Purpose::Hedge => most / 2.0,
        };
        let enough = f64::from(further) + 1.0 <= most;
        if enough {
            self.slice(now).further += 1;
        }
        enough
    }

    /// Returns the counts of the present part of the window, and forgets those whose last count is older than a window.
    fn slice(&mut self, now: Instant) -> &mut Slice {
        let length = self.bounds.window / SLICES;
        let age = |slice: &Slice| now.saturating_duration_since(slice.start);
        let kept = self.bounds.window + length;
        while self.slices.front().is_some_and(|s| age(s) >= kept) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| age(s) >= length) {
            self.slices.push_back(Slice {
                start: now,
                requests: 0,
                further: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
