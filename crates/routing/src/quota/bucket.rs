//! Token bucket of one customer at one accountant.

use std::time::{Duration, Instant};

use super::history::History;
use super::{Need, Wait};

/// Time over which demand is averaged.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// How much of its own demand an accountant keeps for itself when it lends, as time. Tokens that it lacks later come back
/// within a round trip.
const KEPT_DEMAND: Duration = Duration::from_millis(50);
/// How much of its demand an accountant borrows ahead, as time.
const BORROWED_DEMAND: Duration = Duration::from_secs(3);
/// Part of its capacity that an accountant borrows ahead at most, so that the bucket can hold what it gets.
const MAX_AHEAD_PART: f64 = 0.9;
/// Part of what it would borrow ahead below which an accountant borrows although no request lacks a permit.
const LOW_PART: f64 = 0.6;
/// Part of its spare tokens that an accountant hands over to one that borrows ahead. With all of them, accountants in need
/// would take the last tokens from each other by turns.
const LENT_PART: f64 = 0.3;
/// Smallest number of tokens that is handed over.
const MIN_LENT: f64 = 0.01;
/// Accountants that are asked at once for a request without a permit.
const MAX_LENDERS: usize = 5;
/// Time after which a request for tokens counts as unanswered.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Bounds of the time between two requests for tokens of which the first was in vain. It doubles with each one.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two requests for tokens that no request waits for.
const AHEAD_INTERVAL: Duration = Duration::from_millis(400);
/// Tolerance of a whole token against rounding of the fractions that it was added up from.
const ROUNDING: f64 = 1e-9;

#[derive(Debug)]
pub struct Bucket {
    tokens: f64,
    /// Tokens that the share of the limit gives in a second.
    rate: f64,
    capacity: f64,
    updated: Instant,
    /// Requests of the last [`DEMAND_PERIOD`], with exponential decay.
    demand: f64,
    /// Until when the answers to a request for tokens are due.
    asked_until: Option<Instant>,
    /// Time before which the others are not asked again.
    next_ask: Instant,
    ask_interval: Duration,
    /// Time before which the others are not asked for tokens that no request waits for.
    next_ahead: Instant,
    /// When the token comes for which the last refused request waits.
    promised: Instant,
    history: History,
}

impl Bucket {
    /// Creates a bucket that was empty at `empty_at` and has been refilled since, or is full. `stamp` is the last permit of
    /// its book.
    pub fn new(
        now: Instant,
        rate: f64,
        capacity: f64,
        empty_at: Option<Instant>,
        stamp: u64,
    ) -> Self {
        let refilled = empty_at.map(|at| now.saturating_duration_since(at).as_secs_f64() * rate);
        Self {
            tokens: refilled.map_or(capacity, |tokens| tokens.min(capacity)),
            rate,
            capacity,
            updated: now,
            demand: 0.0,
            asked_until: None,
            next_ask: now,
            ask_interval: MIN_ASK_INTERVAL,
            next_ahead: now,
            promised: now,
            history: History::new(stamp),
        }
    }

    /// Adds the tokens of the time since the last call.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.add(elapsed * self.rate);
        self.demand *= (-elapsed / DEMAND_PERIOD.as_secs_f64()).exp();
    }

    /// Applies the share of the limit; a smaller one cuts the bucket at once.
    pub fn set_share(&mut self, rate: f64, capacity: f64) {
        (self.rate, self.capacity) = (rate, capacity);
        self.add(0.0);
    }

    /// Records how full the bucket is after the permit `stamp`. Must be called before tokens are taken, also after they
    /// were added.
    pub fn record(&mut self, stamp: u64) {
        let room = self.capacity - self.tokens;
        self.history.record(self.updated, stamp, room);
    }

    /// Returns the tokens of `count` permits since `stamp` that were not used, as far as the bucket would still have them if
    /// they had not been taken.
    pub fn give_back(&mut self, stamp: u64, count: u32) {
        self.tokens += self.history.fill(stamp, f64::from(count));
    }

    /// Adds tokens up to the capacity.
    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    pub fn record_demand(&mut self, count: u32) {
        self.demand += f64::from(count);
    }

    /// Takes up to `count` whole tokens.
    pub fn take(&mut self, count: u32) -> u32 {
        let taken = (self.tokens + ROUNDING)
            .floor()
            .clamp(0.0, f64::from(count));
        self.tokens = (self.tokens - taken).max(0.0);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a whole number between 0 and `count`"
        )]
        let taken = taken as u32;
        taken
    }

    /// Returns whether tokens are on the way, or the others may be asked for some.
    pub fn may_borrow(&self, now: Instant) -> bool {
        now >= self.next_ask || self.asked_until.is_some_and(|until| now < until)
    }

    pub fn need(&mut self, now: Instant, unmet: u32) -> Need {
        if self.asked_until.is_some_and(|until| now < until) {
            return Need::Asked;
        }
        let ahead = self
            .demand_of(BORROWED_DEMAND)
            .min(self.capacity * MAX_AHEAD_PART);
        let (next, is_low) = match unmet {
            0 => (self.next_ahead, self.tokens < ahead * LOW_PART),
            _ => (self.next_ask, true),
        };
        if now < next || !is_low {
            return Need::None;
        }
        let need = ahead + f64::from(unmet) - self.tokens;
        if need < MIN_LENT {
            return Need::None;
        }
        self.asked_until = Some(now + ASK_TIMEOUT);
        self.next_ahead = now + AHEAD_INTERVAL;
        let lenders = match unmet {
            0 => 1,
            _ if self.capacity >= 1.0 => MAX_LENDERS,
            // Where the share is below one request, only all together may have one.
            _ => usize::MAX,
        };
        Need::Ask {
            tokens: need,
            lenders,
        }
    }

    pub fn lend(&mut self, asked: f64, urgent: bool) -> (f64, f64) {
        let spare = self.tokens - self.demand_of(KEPT_DEMAND);
        // A request that isn't a number of tokens gets none.
        if spare < MIN_LENT || asked.is_nan() || asked < MIN_LENT {
            return (0.0, spare.max(0.0));
        }
        let part = if urgent { 1.0 } else { LENT_PART };
        let lent = asked.min(spare * part);
        self.tokens -= lent;
        (lent, spare - lent)
    }

    pub fn accept(&mut self, now: Instant, tokens: f64, unmet: u32) -> u32 {
        self.tokens += tokens;
        let taken = self.take(unmet);
        self.add(0.0);
        self.asked_until = None;
        if taken < unmet {
            self.next_ask = now + self.ask_interval;
            self.ask_interval = (self.ask_interval * 2).min(MAX_ASK_INTERVAL);
        } else if unmet > 0 {
            self.ask_interval = MIN_ASK_INTERVAL;
        }
        taken
    }

    pub fn refuse(&mut self, now: Instant, count: u32) -> Wait {
        let next = now + time_of((1.0 - self.tokens).max(0.0), self.rate);
        let step = time_of(1.0, self.rate);
        let first = next.max(self.promised);
        // Requests that are refused later wait for later tokens. A promise too far ahead would not be kept.
        let horizon = now + 2 * super::MAX_WAIT;
        self.promised = (first + step.saturating_mul(count)).min(horizon);
        Wait {
            first: first.saturating_duration_since(now),
            step,
        }
    }

    /// Returns whether the bucket is full and nobody waits for its tokens.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_asking = self.asked_until.is_some_and(|until| now < until);
        self.tokens >= self.capacity && self.promised <= now && !is_asking
    }

    fn demand_of(&self, time: Duration) -> f64 {
        self.demand * time.as_secs_f64() / DEMAND_PERIOD.as_secs_f64()
    }
}

/// Returns the time in which `tokens` come at `rate`, at most an hour.
fn time_of(tokens: f64, rate: f64) -> Duration {
    const MAX_S: f64 = 3_600.0;
    // A share of a tiny rate may round to 0.
    let time = tokens / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(time.clamp(0.0, MAX_S))
}
