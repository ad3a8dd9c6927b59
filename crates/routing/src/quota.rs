//! Limits of customers' requests over the whole fleet.
//!
//! A few entries, the accountants, hold fixed shares of each limit in token buckets. A [`Book`] holds the buckets of one
//! accountant, and its [`membership`] decides when it may grant permits. Tokens move between books, but only the refill
//! of a bucket at its share of the rate creates any, so that all books together never grant more than the limit.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::account::Limit;
use chestnutvalve_model::id::Customer;

mod bucket;
mod history;
pub mod membership;

use bucket::Bucket;
pub use membership::Membership;

/// Time for which tokens may be in transit, and a margin. A bucket may refill meanwhile, so that this time's part of the
/// rate is not used from the tolerated excess.
const TRANSIT_TIME: Duration = Duration::from_millis(600);
/// Longest time that a refused request is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// What a deployment tolerates beyond a customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the window over which requests are counted.
    pub window: Duration,
    /// Tolerated excess as a part of what the limit allows in a window.
    pub over: f64,
    /// Tolerated excess in requests.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            over: 0.0,
            slack: 0.0,
        }
    }
}

impl Bounds {
    /// Returns the tokens that all buckets of a customer hold together when they are full. A permit needs a whole token,
    /// so that they hold at least one.
    #[must_use]
    pub fn capacity(&self, limit: &Limit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        let in_transit = limit.per_second * TRANSIT_TIME.as_secs_f64();
        let excess = allowed * self.over + self.slack - in_transit;
        (limit.burst + excess.max(0.0)).max(1.0)
    }
}

/// How long refused requests wait, so that they come back as tokens do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// Wait of the first request.
    pub first: Duration,
    /// Additional wait of each further request.
    pub step: Duration,
}

impl Wait {
    /// Returns the wait of the request with this index among those that were refused together.
    #[must_use]
    pub fn of(&self, index: u32) -> Duration {
        let wait = self.first.saturating_add(self.step.saturating_mul(index));
        if wait <= MAX_WAIT {
            return wait;
        }
        // Times beyond the longest are spread over its second half, so that the callers don't come back together.
        let half = MAX_WAIT / 2;
        let beyond = wait.saturating_sub(MAX_WAIT).as_millis() % half.as_millis();
        half + Duration::from_millis(u64::try_from(beyond).unwrap_or(0))
    }
}

/// Whether an accountant asks the others for tokens of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// It has enough, or has asked in vain a moment ago.
    None,
    /// It has asked already, and the answers are due.
    Asked,
    /// It should ask others for tokens.
    Ask {
        /// Number of tokens.
        tokens: f64,
        /// Number of accountants to ask, chosen at random.
        lenders: usize,
    },
}

/// Token buckets of one accountant, by customer.
#[derive(Debug)]
pub struct Book {
    bounds: Bounds,
    buckets: HashMap<Customer, Bucket>,
    /// Number of shares into which each limit is divided.
    shares: usize,
    /// When all buckets were empty; `None` if they were full at all times in the past.
    empty_at: Option<Instant>,
    /// Number of the last permits that were granted.
    stamp: u64,
}

impl Book {
    /// Creates a book whose buckets are full.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            buckets: HashMap::new(),
            shares: 1,
            empty_at: None,
            stamp: 0,
        }
    }

    /// Numbers permits from `first` on. Books whose permits must not be mistaken for each other's use numbers that are far
    /// apart.
    pub fn number_from(&mut self, first: u64) {
        self.stamp = first;
    }

    /// Returns the number of the permits that were granted last, with which they are given back.
    #[must_use]
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Replaces all buckets by empty ones.
    pub fn empty(&mut self, now: Instant) {
        self.buckets.clear();
        self.empty_at = Some(now);
    }

    /// Sets the number of shares into which each limit is divided.
    pub fn set_shares(&mut self, shares: usize) {
        self.shares = shares.max(1);
    }

    /// Takes up to `count` tokens of a customer, and returns the number taken.
    pub fn take(&mut self, now: Instant, customer: &Customer, limit: &Limit, count: u32) -> u32 {
        let bucket = self.bucket(now, customer, limit);
        bucket.record_demand(count);
        let taken = bucket.take(count);
        self.stamp += 1;
        taken
    }

    /// Takes tokens for requests that were counted by [`Book::take`] before.
    pub fn take_again(
        &mut self,
        now: Instant,
        customer: &Customer,
        limit: &Limit,
        count: u32,
    ) -> u32 {
        let taken = self.bucket(now, customer, limit).take(count);
        self.stamp += 1;
        taken
    }

    /// Returns tokens of permits with the number `stamp` or a later one that were not used. The bucket gets those that it
    /// would still have if they had not been taken, so that late ones don't add to the limit.
    pub fn give_back(
        &mut self,
        now: Instant,
        customer: &Customer,
        limit: &Limit,
        count: u32,
        stamp: u64,
    ) {
        self.bucket(now, customer, limit).give_back(stamp, count);
    }

    /// Returns whether this accountant should ask the others for tokens of a customer, of whose requests `unmet` have no
    /// permit. Whoever asks must call [`Book::accept`] afterwards.
    pub fn need(&mut self, now: Instant, customer: &Customer, limit: &Limit, unmet: u32) -> Need {
        self.bucket(now, customer, limit).need(now, unmet)
    }

    /// Returns whether requests without a permit may get one from tokens of other accountants.
    pub fn may_borrow(&mut self, now: Instant, customer: &Customer, limit: &Limit) -> bool {
        self.bucket(now, customer, limit).may_borrow(now)
    }

    /// Hands over up to `asked` tokens of a customer to another accountant, and more of what is there if they are `urgent`
    /// because a request waits for them. Returns the number handed over, and the number that an urgent request could get
    /// in addition.
    pub fn lend(
        &mut self,
        now: Instant,
        customer: &Customer,
        limit: &Limit,
        asked: f64,
        urgent: bool,
    ) -> (f64, f64) {
        self.bucket(now, customer, limit).lend(asked, urgent)
    }

    /// Adds tokens that other accountants handed over, and takes up to `unmet` at once. Returns the number taken. The
    /// bucket keeps what it can hold of the others.
    pub fn accept(
        &mut self,
        now: Instant,
        customer: &Customer,
        limit: &Limit,
        tokens: f64,
        unmet: u32,
    ) -> u32 {
        let bucket = self.bucket(now, customer, limit);
        let taken = bucket.accept(now, tokens, unmet);
        self.stamp += 1;
        taken
    }

    /// Returns how long `count` requests that get no permit wait.
    pub fn refuse(&mut self, now: Instant, customer: &Customer, limit: &Limit, count: u32) -> Wait {
        self.bucket(now, customer, limit).refuse(now, count)
    }

    /// Forgets the customers whose buckets are full, as they are for a customer that is not known.
    pub fn forget_idle(&mut self, now: Instant) {
        self.buckets.retain(|_, bucket| !bucket.is_idle(now));
    }

    /// Returns the number of customers with a bucket.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no customer has a bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn bucket(&mut self, now: Instant, customer: &Customer, limit: &Limit) -> &mut Bucket {
        let share = 1.0 / f64::from(u32::try_from(self.shares).unwrap_or(u32::MAX));
        let (rate, capacity) = (
            limit.per_second * share,
            self.bounds.capacity(limit) * share,
        );
        if !self.buckets.contains_key(customer) {
            let bucket = Bucket::new(now, rate, capacity, self.empty_at, self.stamp);
            self.buckets.insert(customer.clone(), bucket);
        }
        let bucket = self.buckets.get_mut(customer).expect("inserted above");
        bucket.refill(now);
        // It may have been full at the former share.
        bucket.record(self.stamp);
        bucket.set_share(rate, capacity);
        bucket.record(self.stamp);
        bucket
    }
}

/// Returns how many tokens to ask of each of `lenders` accountants to get `need` in all.
#[must_use]
pub fn first_ask(need: f64, lenders: usize) -> f64 {
    let lenders = f64::from(u32::try_from(lenders).unwrap_or(u32::MAX)).max(1.0);
    need / lenders
}

/// Returns how many tokens to ask of each accountant after the first answers left `need` open, given what each could hand
/// over in addition.
#[must_use]
pub fn second_ask(mut need: f64, spare: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..spare.len()).collect();
    order.sort_by(|a, b| spare[*b].total_cmp(&spare[*a]));
    let mut asks = vec![0.0; spare.len()];
    for at in order {
        let ask = spare[at].min(need).max(0.0);
        asks[at] = ask;
        need -= ask;
    }
    asks
}
