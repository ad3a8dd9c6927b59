//! Permits that this entry grants as an accountant, and tokens that accountants hand over to each other.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_model::account::Limit;
use chestnutvalve_model::control::State;
use chestnutvalve_model::id::{Customer, Incarnation};
use chestnutvalve_routing::quota::membership::{Change, Start, View};
use chestnutvalve_routing::quota::{Book, Bounds, Membership, Need, first_ask, second_ask};
use chestnutvalve_wire::Error;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use super::accountants::Accountants;
use super::message::{BORROW_PATH, Borrow, Grant, Lent, Take, Taken};
use super::silence::Silence;
use crate::clock;
use crate::instance::Instance;

/// Time for the answer of a lender. Two of them fit into the time for which an entry waits for a permit.
const LEND_TIMEOUT: Duration = Duration::from_millis(80);
/// Age at which the answer of a lender is dropped, on a clock that also counts while the machine sleeps.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);
/// How long a request waits for tokens that are on the way.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(160);
/// How often an accountant asks the others for one request.
const MAX_ROUNDS: u32 = 2;
/// Interval at which idle customers are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// This entry as an accountant.
#[derive(Debug)]
pub struct Accountant {
    instance: Arc<Instance>,
    ledger: Mutex<Ledger>,
    /// When the process started.
    started_at: Instant,
    /// Notified when tokens of other accountants have arrived.
    arrived: Notify,
    /// Lenders that did not answer.
    silence: Silence,
}

#[derive(Debug)]
struct Ledger {
    book: Book,
    membership: Membership,
    forgotten_at: Instant,
}

/// The book of an active accountant, and the limits in force.
struct Desk<'a> {
    book: &'a mut Book,
    state: &'a State,
    now: Instant,
}

/// Permits for requests that waited for tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Waited {
    granted: u32,
    /// Whether some of them took no token, because the limit was lifted meanwhile.
    lifted: bool,
}

impl Waited {
    /// Returns permits for `granted` requests that took no token.
    fn without_limit(granted: u32) -> Self {
        Self {
            granted,
            lifted: granted > 0,
        }
    }

    /// Returns permits for `granted` requests that took a token each.
    fn with_tokens(granted: u32) -> Self {
        Self {
            granted,
            lifted: false,
        }
    }
}

impl Desk<'_> {
    /// Returns the limit of a customer, or `None` without one.
    fn limit(&self, customer: &Customer) -> Option<Limit> {
        let account = self.state.routes.accounts.of_customer(customer)?;
        account.limit
    }
}

impl Accountant {
    /// Creates the accountant of an entry.
    #[must_use]
    pub fn new(instance: &Arc<Instance>, bounds: Bounds) -> Self {
        let started_at = clock::now();
        let mut book = Book::new(bounds);
        book.number_from(first_stamp(instance.incarnation));
        let ledger = Ledger {
            book,
            membership: Membership::default(),
            forgotten_at: started_at,
        };
        Self {
            instance: Arc::clone(instance),
            ledger: Mutex::new(ledger),
            started_at,
            arrived: Notify::new(),
            silence: Silence::default(),
        }
    }

    /// Applies the state in force, and calls `act` if this entry may grant permits.
    fn open<T>(
        &self,
        accountants: &Accountants,
        act: impl FnOnce(&mut Desk<'_>) -> T,
    ) -> Option<T> {
        let state = self.instance.control_state.current();
        let (now, at) = (clock::now(), clock::now_with_suspension());
        let view = View {
            version: accountants.version,
            accountants: accountants.preferred.len(),
            listed: accountants.listed,
            origin: accountants.origin,
            limits: accountants.limits,
            confirmed: self.instance.control_state.confirmed(),
        };
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let Ledger {
            book, membership, ..
        } = &mut *ledger;
        let change = membership.observe(at, &view);
        match change {
            Some(Change::Started(Start::Empty)) => book.empty(now),
            Some(Change::Started(Start::Restarted)) => book.empty(self.started_at),
            _ => {}
        }
        let shares = membership.shares(at);
        book.set_shares(shares);
        match change {
            Some(Change::Started(start)) => {
                spdlog::info!("accountant starts to grant permits", kv: {start:?, shares});
            }
            Some(Change::Stopped) => {
                let (listed, limits) = (view.listed, view.limits);
                spdlog::info!("accountant stops granting permits", kv: {listed, limits});
            }
            None => {}
        }
        if !membership.is_active() {
            return None;
        }
        let state = &state;
        Some(act(&mut Desk { book, state, now }))
    }

    /// Follows the state, and forgets idle customers.
    pub fn tick(&self, accountants: &Accountants) {
        self.open(accountants, |_| ());
        let now = clock::now();
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(ledger.forgotten_at) >= FORGET_INTERVAL {
            ledger.forgotten_at = now;
            ledger.book.forget_idle(now);
        }
    }

    /// Answers the request of an entry for permits.
    pub async fn serve(self: &Arc<Self>, accountants: &Arc<Accountants>, message: Take) -> Taken {
        let Take {
            wanted,
            unused,
            patient,
        } = message;
        let returned = self.open(accountants, |desk| {
            for (customer, stamp) in &unused {
                desk.give_back(customer, *stamp);
            }
        });
        if returned.is_none() {
            return Taken::Inactive;
        }
        let returned = u64::try_from(unused.len()).unwrap_or(u64::MAX);
        self.instance.meters.count_permits("returned", returned);
        let grants = wanted.iter().map(async |(customer, count)| {
            if patient {
                self.wait(accountants, customer, *count).await
            } else {
                self.take(accountants, customer, *count)
            }
        });
        let grants: Option<Vec<Grant>> = join_all(grants).await.into_iter().collect();
        grants.map_or(Taken::Inactive, Taken::Permits)
    }

    /// Gives back a permit that was not used.
    pub fn give_back(&self, accountants: &Accountants, customer: &Customer, stamp: u64) {
        self.open(accountants, |desk| desk.give_back(customer, stamp));
        self.instance.meters.count_permits("returned", 1);
    }

    /// Takes `count` permits of a customer at once. Returns `None` if this entry grants none at present.
    pub fn take(
        self: &Arc<Self>,
        accountants: &Arc<Accountants>,
        customer: &Customer,
        count: u32,
    ) -> Option<Grant> {
        let (granted, stamp, more, ahead) = self.open(accountants, |desk| {
            let now = desk.now;
            // Its limit was lifted, or is not known here yet.
            let Some(limit) = desk.limit(customer) else {
                return (count, 0, false, Need::None);
            };
            let granted = desk.book.take(now, customer, &limit, count);
            let stamp = desk.book.stamp();
            if granted < count {
                let more = desk.book.may_borrow(now, customer, &limit);
                return (granted, stamp, more, Need::None);
            }
            let ahead = desk.book.need(now, customer, &limit, 0);
            (granted, stamp, false, ahead)
        })?;
        if let Need::Ask { tokens, lenders } = ahead {
            let lenders = self.choose_lenders(accountants, lenders);
            let customer = customer.clone();
            tokio::spawn(Arc::clone(self).borrow(
                Arc::clone(accountants),
                lenders,
                customer,
                tokens,
                0,
            ));
        }
        let grant = Grant {
            granted,
            stamp,
            more,
            ..Grant::default()
        };
        self.finish(accountants, customer, grant, count - granted)
    }

    /// Takes `count` permits of a customer for requests that [`Accountant::take`] left without one, and waits for tokens
    /// of other accountants.
    pub async fn wait(
        self: &Arc<Self>,
        accountants: &Arc<Accountants>,
        customer: &Customer,
        count: u32,
    ) -> Option<Grant> {
        let (granted, stamp) = self.open(accountants, |desk| match desk.limit(customer) {
            Some(limit) => {
                let granted = desk.book.take_again(desk.now, customer, &limit, count);
                (granted, desk.book.stamp())
            }
            None => (count, 0),
        })?;
        let unmet = count - granted;
        let waited = self.wait_for_tokens(accountants, customer, unmet).await?;
        let unmet = unmet - waited.granted;
        let grant = Grant {
            granted: count - unmet,
            // All share one stamp; none may give back a token that was not taken.
            stamp: if waited.lifted { 0 } else { stamp },
            ..Grant::default()
        };
        self.finish(accountants, customer, grant, unmet)
    }

    /// Completes an answer with the waits of `unmet` requests without a permit.
    fn finish(
        &self,
        accountants: &Accountants,
        customer: &Customer,
        mut grant: Grant,
        unmet: u32,
    ) -> Option<Grant> {
        let meters = &self.instance.meters;
        meters.count_permits("granted", grant.granted.into());
        if unmet == 0 || grant.more {
            return Some(grant);
        }
        let wait = self.open(accountants, |desk| {
            let limit = desk.limit(customer)?;
            Some(desk.book.refuse(desk.now, customer, &limit, unmet))
        })?;
        meters.count_permits("refused", unmet.into());
        if let Some(wait) = wait {
            let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
            (grant.first_ms, grant.step_ms) = (millis(wait.first), millis(wait.step));
        }
        Some(grant)
    }

    /// Asks the other accountants for tokens and waits for them while `count` requests have no permit. Returns the permits
    /// that they got.
    async fn wait_for_tokens(
        self: &Arc<Self>,
        accountants: &Arc<Accountants>,
        customer: &Customer,
        count: u32,
    ) -> Option<Waited> {
        let mut waited = Waited::default();
        let until = tokio::time::Instant::now() + MAX_TOKEN_WAIT;
        let mut rounds = 0;
        while waited.granted < count && rounds < MAX_ROUNDS && tokio::time::Instant::now() < until {
            let unmet = count - waited.granted;
            let mut arrived = std::pin::pin!(self.arrived.notified());
            // Tokens that arrive after the question below must not be missed.
            arrived.as_mut().enable();
            let need = self.open(accountants, |desk| match desk.limit(customer) {
                Some(limit) => desk.book.need(desk.now, customer, &limit, unmet),
                None => Need::None,
            })?;
            let got = match need {
                Need::Ask { tokens, lenders } => {
                    rounds += 1;
                    // The task ends also if the caller leaves, so that the tokens are not lost.
                    let borrowed = tokio::spawn(Arc::clone(self).borrow(
                        Arc::clone(accountants),
                        self.choose_lenders(accountants, lenders),
                        customer.clone(),
                        tokens,
                        unmet,
                    ));
                    // An entry that waits for longer takes the accountant for lost.
                    let taken = timeout_at(until, borrowed).await;
                    taken.map_or(Waited::default(), Result::unwrap_or_default)
                }
                Need::Asked => {
                    let _ = timeout_at(until, arrived).await;
                    self.open(accountants, |desk| match desk.limit(customer) {
                        Some(limit) => {
                            let taken = desk.book.take_again(desk.now, customer, &limit, unmet);
                            Waited::with_tokens(taken)
                        }
                        None => Waited::without_limit(unmet),
                    })?
                }
                Need::None => break,
            };
            waited.granted += got.granted;
            waited.lifted |= got.lifted;
        }
        Some(waited)
    }

    /// Returns the addresses of up to `count` other accountants, chosen at random.
    fn choose_lenders(&self, accountants: &Accountants, count: usize) -> Vec<SocketAddr> {
        let own = self.instance.member().peers;
        let all = accountants.preferred.iter().copied();
        let others: Vec<SocketAddr> = all
            .filter(|a| *a != own && !self.silence.is_silent(*a))
            .collect();
        others.sample(&mut rand::rng(), count).copied().collect()
    }

    /// Borrows tokens, and returns the permits that requests without one got at once.
    async fn borrow(
        self: Arc<Self>,
        accountants: Arc<Accountants>,
        lenders: Vec<SocketAddr>,
        customer: Customer,
        need: f64,
        unmet: u32,
    ) -> Waited {
        let sent_at = clock::now_with_suspension();
        let mut tokens = 0.0;
        let ask = first_ask(need, lenders.len());
        let first = lenders
            .iter()
            .map(|lender| self.ask(*lender, &customer, ask, false));
        let first = join_all(first).await;
        tokens += first.iter().map(|lent| lent.tokens).sum::<f64>();
        if unmet > 0 {
            let spare: Vec<f64> = first.iter().map(|lent| lent.spare).collect();
            let more = second_ask(f64::from(unmet) - tokens, &spare);
            let asks = lenders.iter().zip(more).filter(|(_, ask)| *ask > 0.0);
            let asks = asks.map(|(lender, ask)| self.ask(*lender, &customer, ask, true));
            tokens += join_all(asks).await.iter().map(|l| l.tokens).sum::<f64>();
        }
        let age = clock::now_with_suspension().saturating_duration_since(sent_at);
        if age > MAX_ANSWER_AGE {
            tokens = 0.0;
        }
        let taken = self.open(&accountants, |desk| match desk.limit(&customer) {
            Some(limit) => {
                let book = &mut *desk.book;
                Waited::with_tokens(book.accept(desk.now, &customer, &limit, tokens, unmet))
            }
            None => Waited::without_limit(unmet),
        });
        self.arrived.notify_waiters();
        self.instance.meters.count_borrowed(tokens);
        taken.unwrap_or_default()
    }

    async fn ask(
        &self,
        lender: SocketAddr,
        customer: &Customer,
        tokens: f64,
        urgent: bool,
    ) -> Lent {
        let message = Borrow {
            customer: customer.clone(),
            tokens,
            urgent,
        };
        let client = self.instance.peers.client(lender);
        let answer: Result<Lent, Error> = client.call(BORROW_PATH, &message, LEND_TIMEOUT).await;
        match answer {
            // No entry hands over more than it was asked for.
            Ok(lent) if (0.0..=tokens).contains(&lent.tokens) => lent,
            Ok(_) => Lent::default(),
            Err(error) => {
                spdlog::debug!("borrowing from accountant {lender}: {error}");
                self.instance.meters.count_accountant_timeout();
                self.silence.record(lender);
                Lent::default()
            }
        }
    }

    /// Answers the request of another accountant for tokens.
    pub fn lend(&self, accountants: &Accountants, message: &Borrow) -> Lent {
        let Borrow {
            customer,
            tokens,
            urgent,
        } = message;
        let lent = self.open(accountants, |desk| {
            let limit = desk.limit(customer)?;
            let lent = desk.book.lend(desk.now, customer, &limit, *tokens, *urgent);
            Some(lent)
        });
        let (tokens, spare) = lent.flatten().unwrap_or_default();
        Lent { tokens, spare }
    }
}

impl Desk<'_> {
    fn give_back(&mut self, customer: &Customer, stamp: u64) {
        if let Some(limit) = self.limit(customer) {
            let now = self.now;
            self.book.give_back(now, customer, &limit, 1, stamp);
        }
    }
}

/// Returns the number before the first permit of a process. No process grants a million permits in a millisecond, so that
/// those of an earlier one are lower.
fn first_stamp(incarnation: Incarnation) -> u64 {
    incarnation.0 << 20
}
