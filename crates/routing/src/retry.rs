//! Retry budgets, and the rule for when a retry is allowed.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chestnutvalve_model::error::Executed;
use chestnutvalve_model::rank::Rank;

mod ledger;

pub use ledger::{Ledger, Usage};

/// Cost of one retry, in hundredths of a token.
const RETRY_COST: u32 = 100;
/// Maximum number of tokens, in hundredths. It bounds the burst of retries after a quiet period.
const MAX_TOKENS: u32 = 10 * RETRY_COST;
/// Initial tokens, in hundredths, so that a service with little traffic can retry at all.
const INITIAL_TOKENS: u32 = 2 * RETRY_COST;

/// Retry budget as a token bucket that only first attempts fill.
///
/// Retries never exceed `percent` of the first attempts plus the capacity, so they can't amplify an overload.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    percent: u8,
    tokens: u32,
}

impl TokenBucket {
    /// Creates a budget that allows retries for `percent` of the first attempts; zero allows none.
    #[must_use]
    pub fn new(percent: u8) -> Self {
        let tokens = if percent == 0 { 0 } else { INITIAL_TOKENS };
        Self { percent, tokens }
    }

    /// Changes the percentage. Accumulated tokens are kept unless it is zero.
    pub fn configure(&mut self, percent: u8) {
        self.percent = percent;
        if percent == 0 {
            self.tokens = 0;
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + u32::from(self.percent)).min(MAX_TOKENS);
    }

    /// Takes the tokens for one retry; returns whether there were enough.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tokens >= RETRY_COST;
        if enough {
            self.tokens -= RETRY_COST;
        }
        enough
    }
}

/// Returns whether a failed attempt may be retried, before the budget is checked.
///
/// `left` is the time to the deadline and `typical` the usual duration of such a request.
#[must_use]
pub fn is_allowed(idempotent: bool, executed: Executed, left: Duration, typical: Duration) -> bool {
    (idempotent || executed == Executed::No) && !left.is_zero() && left >= typical
}

/// Number of slices of the window in which requests and extra attempts are counted.
const WINDOW_SLICES: u32 = 20;
/// Number of the last slices from which the share of requests that need an extra attempt is computed.
const RECENT_SLICES: usize = 3;
/// Number of recent requests of a rank below which that share isn't known.
const MIN_RECENT_REQUESTS: u32 = 8;

/// Retry budget of one service over a sliding window: one part of the fleet's budget.
///
/// In any window the fleet may send a share of the requests again, and a fixed number of attempts in addition. An entry
/// that decides alone counts its own requests and extra attempts of the last window; the coordinator of a zone counts
/// those that it places. The budget of earlier requests in the window can be spent at once when a worker becomes
/// faulty. A token bucket that holds a single attempt, which is the fixed number for each of a hundred entries, lost
/// most of the budget.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    bounds: Bounds,
    slices: VecDeque<Slice>,
    is_pooled: bool,
    /// Fixed numbers of this part until the time at which each was replaced, within the last window.
    former_slack: VecDeque<(Instant, f64)>,
    /// What other parts counted for each entry in the window, and when the entry reported it.
    elsewhere: BTreeMap<u64, (Instant, Usage)>,
}

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    /// Requests, retries asked for (each once), and extra attempts by rank.
    requests: [u32; 3],
    retries_asked: [u32; 3],
    extra_attempts: [u32; 3],
}

/// Part of the fleet's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Extra attempts per request.
    pub ratio: f64,
    /// Extra attempts per window that need no requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Shares of the fixed number of extra attempts where coordinators grant them: of the preferred coordinators, of the second
/// ones, and of all serving entries. The latter two need some while a coordinator is lost.
const PREFERRED_SHARE: f64 = 0.4;
const SECOND_SHARE: f64 = 0.1;
const SERVING_SHARE: f64 = 0.5;

/// Place of an entry among those that share the fixed number of extra attempts where coordinators grant them.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Number of availability zones.
    pub zones: usize,
    /// Its position among the coordinators of its zone, in order of preference.
    pub coordinator: Option<usize>,
    /// Number of serving entries, if it is one of them.
    pub serving: Option<usize>,
}

impl Place {
    /// Returns the entry's share of the fixed number. All shares together are 1 at most.
    #[must_use]
    pub fn share(&self) -> f64 {
        let part = |share: f64, count: usize| {
            share / f64::from(u32::try_from(count).unwrap_or(u32::MAX).max(1))
        };
        let coordinating = match self.coordinator {
            Some(0) => part(PREFERRED_SHARE, self.zones),
            Some(1) => part(SECOND_SHARE, self.zones),
            _ => 0.0,
        };
        let serving = self.serving.map_or(0.0, |count| part(SERVING_SHARE, count));
        coordinating + serving
    }
}

/// Reason for an extra attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Retries a failed attempt; without it the request fails.
    Retry,
    /// Hedges an attempt that is late and may still be answered.
    Hedge,
}

/// Question for one extra attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Reason for the attempt.
    pub purpose: Purpose,
    /// Priority class of the request.
    pub rank: Rank,
    /// Whether the same attempt was asked for before, and was denied or found no slot.
    pub is_repeated: bool,
}

/// An extra attempt that was taken from a budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Withdrawal {
    /// Start of the slice in which it is counted.
    slice: Instant,
    purpose: Purpose,
    rank: Rank,
}

impl WindowBudget {
    /// Creates a budget without recorded requests.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            slices: VecDeque::new(),
            is_pooled: false,
            former_slack: VecDeque::new(),
            elsewhere: BTreeMap::new(),
        }
    }

    /// Sets whether a coordinator grants the extra attempts of the zone, so that an entry that decides alone does so
    /// only for a time. Such an entry has no extra attempt that its part doesn't allow: a hundred of them would exceed
    /// the fleet's budget.
    pub fn set_pooled(&mut self, is_pooled: bool) {
        self.is_pooled = is_pooled;
    }

    /// Changes the part. Recorded requests and attempts are kept. In a pooled budget, the fixed number grows only when a
    /// window has passed, because whoever had that part before may have spent it just now.
    pub fn configure(&mut self, now: Instant, bounds: Bounds) {
        if bounds.slack.to_bits() != self.bounds.slack.to_bits() {
            self.former_slack.push_back((now, self.bounds.slack));
            self.expire_slack(now);
        }
        self.bounds = bounds;
    }

    /// Records what other parts counted in the last window for an entry that now asks this one.
    ///
    /// When a coordinator is lost, what it granted still counts in the window, but the requests that permitted it don't
    /// permit anything here. Extra attempts beyond those that the requests permitted are therefore deducted.
    pub fn record_elsewhere(&mut self, now: Instant, entry: u64, usage: Usage) {
        if usage == Usage::default() {
            self.elsewhere.remove(&entry);
        } else {
            self.elsewhere.insert(entry, (now, usage));
        }
    }

    /// Records a caller's request of the top rank, for a service whose requests are all of one rank.
    pub fn deposit(&mut self, now: Instant) {
        self.deposit_for(now, Rank::Top);
    }

    /// Records a caller's request of a rank.
    pub fn deposit_for(&mut self, now: Instant, rank: Rank) {
        self.current_slice(now).requests[rank.index()] += 1;
    }

    /// Takes one extra attempt of a service whose requests are all of one rank, as [`Self::try_withdraw_for`] does.
    pub fn try_withdraw(&mut self, now: Instant, purpose: Purpose) -> bool {
        self.try_withdraw_for(now, purpose, Rank::Top)
    }

    /// Takes one extra attempt for a request of a rank; returns whether the budget allowed it.
    pub fn try_withdraw_for(&mut self, now: Instant, purpose: Purpose, rank: Rank) -> bool {
        let ask = Ask {
            purpose,
            rank,
            is_repeated: false,
        };
        self.withdraw(now, ask).is_some()
    }

    /// Takes one extra attempt if the budget allows it.
    ///
    /// Hedges leave half of the budget to retries, which gain more. The attempts of a rank leave what the retries of
    /// more urgent ranks are expected to need in a window. Otherwise each rank would get its share of the requests
    /// while workers turn away more attempts than the budget covers.
    pub fn withdraw(&mut self, now: Instant, ask: Ask) -> Option<Withdrawal> {
        let slice = self.current_slice(now);
        if ask.purpose == Purpose::Retry && !ask.is_repeated {
            slice.retries_asked[ask.rank.index()] += 1;
        }
        self.take(now, ask.purpose, ask.rank)
    }

    /// Gives back an extra attempt that was not made.
    pub fn give_back(&mut self, withdrawal: Withdrawal) {
        let mut slices = self.slices.iter_mut();
        // After the window, there is nothing to give back.
        if let Some(slice) = slices.find(|s| s.start == withdrawal.slice) {
            let taken = &mut slice.extra_attempts[withdrawal.rank.index()];
            *taken = taken.saturating_sub(1);
        }
    }

    /// Counts an extra attempt that waited for a slot in the window in which it is made. Returns `None`, and gives it
    /// back, if the budget no longer allows it.
    pub fn renew(&mut self, now: Instant, withdrawal: Withdrawal) -> Option<Withdrawal> {
        self.give_back(withdrawal);
        self.take(now, withdrawal.purpose, withdrawal.rank)
    }

    fn take(&mut self, now: Instant, purpose: Purpose, rank: Rank) -> Option<Withdrawal> {
        let slice = self.current_slice(now).start;
        let slack = self.slack(now);
        let requests: u32 = self.slices.iter().flat_map(|s| s.requests).sum();
        let extra_attempts: u32 = self.slices.iter().flat_map(|s| s.extra_attempts).sum();
        let mut limit = f64::from(requests) * self.bounds.ratio + slack - self.deficit(now);
        if !self.is_pooled {
            // At least one, or an entry of a large fleet could never make an extra attempt.
            limit = limit.max(1.0);
        }
        let limit_of_purpose = match purpose {
            Purpose::Retry => limit,
            Purpose::Hedge => limit / 2.0,
        };
        let reserve: f64 = Rank::ALL[..rank.index()]
            .iter()
            .map(|r| self.reserve(*r))
            .sum();
        let no_more_urgent = Rank::ALL[rank.index()..].iter().map(|r| r.index());
        let no_more_urgent: u32 = no_more_urgent
            .map(|r| self.slices.iter().map(|s| s.extra_attempts[r]).sum::<u32>())
            .sum();
        let enough = f64::from(extra_attempts) + 1.0 <= limit_of_purpose
            && (reserve == 0.0 || f64::from(no_more_urgent) + 1.0 <= limit - reserve);
        if !enough {
            return None;
        }
        self.current_slice(now).extra_attempts[rank.index()] += 1;
        Some(Withdrawal {
            slice,
            purpose,
            rank,
        })
    }

    /// Returns the extra attempts of other parts in the window beyond those that the requests there permitted.
    fn deficit(&mut self, now: Instant) -> f64 {
        let window = self.bounds.window;
        self.elsewhere
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < window);
        let usages = || self.elsewhere.values().map(|(_, usage)| usage);
        let requests: u32 = usages().map(|u| u.requests).sum();
        let extra_attempts: u32 = usages().map(|u| u.extra_attempts).sum();
        (f64::from(extra_attempts) - f64::from(requests) * self.bounds.ratio).max(0.0)
    }

    /// Returns the fixed number that applies: in a pooled budget the smallest one of the last window.
    fn slack(&mut self, now: Instant) -> f64 {
        self.expire_slack(now);
        let current = self.bounds.slack;
        if self.is_pooled {
            let former = self.former_slack.iter().map(|(_, slack)| *slack);
            former.fold(current, f64::min)
        } else {
            current
        }
    }

    fn expire_slack(&mut self, now: Instant) {
        let window = self.bounds.window;
        let is_recent = |until: Instant| now.saturating_duration_since(until) < window;
        self.former_slack.retain(|(until, _)| is_recent(*until));
    }

    /// Returns the number of retries that the requests of a rank need in a window at the recent rate.
    fn reserve(&self, rank: Rank) -> f64 {
        let rank = rank.index();
        let requests: u32 = self.slices.iter().map(|s| s.requests[rank]).sum();
        let recent = || self.slices.iter().rev().take(RECENT_SLICES);
        let recent_requests: u32 = recent().map(|s| s.requests[rank]).sum();
        if recent_requests < MIN_RECENT_REQUESTS {
            return 0.0;
        }
        let asked: u32 = recent().map(|s| s.retries_asked[rank]).sum();
        f64::from(requests) * f64::from(asked) / f64::from(recent_requests)
    }

    /// Returns the current slice, and drops slices that are entirely older than the window.
    fn current_slice(&mut self, now: Instant) -> &mut Slice {
        let length = self.bounds.window / WINDOW_SLICES;
        let age = |slice: &Slice| now.saturating_duration_since(slice.start);
        let kept = self.bounds.window + length;
        while self.slices.front().is_some_and(|s| age(s) >= kept) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| age(s) >= length) {
            self.slices.push_back(Slice {
                start: now,
                requests: [0; 3],
                retries_asked: [0; 3],
                extra_attempts: [0; 3],
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
