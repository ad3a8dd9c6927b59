//! Admission of requests to a service: concurrency limit, ranks, fairness over customers and refusal.
//!
//! A request runs at once while the adaptive limit has room. Else it waits in the queue of its rank, unless it could
//! not meet its deadline anyway. Freed places go to the most urgent rank, except that each waiting rank keeps its
//! minimum share of the capacity. A full queue displaces the least urgent requests beyond their share of it.

use std::time::{Duration, Instant};

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::{PerRank, Rank};

use crate::sample::{Sample, Verdict};

mod limit;
mod queue;
mod reserve;
mod share;
mod wait;

use limit::Limit;
use queue::Queue;
use reserve::{Reserve, Usage};
use share::Share;
use wait::Pace;

/// Shortest and longest time that a refused caller is told to wait.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(30));
/// Time that must be left to queue a request, beyond its expected wait, and to start it: the average service time and
/// so many average deviations. Requests that are started with less often end after their deadline, in vain.
const DEVIATIONS: f64 = 3.0;

/// Time without a start or an end of a request after which the limit grows while others wait. Short requests end within
/// it; long ones must not hold all places of one entry while slots are free.
const STALLED: Duration = Duration::from_millis(200);

/// A request that asks to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Unique id of the request at this entry.
    pub id: u64,
    /// Priority class.
    pub rank: Rank,
    /// Customer, if the caller stated one.
    pub customer: Option<Customer>,
    /// Instant after which the caller has no use for the response.
    pub deadline: Instant,
}

/// Immediate answer to an offered ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request runs now and must be reported to [`Admission::finish`].
    Run,
    /// The request waits; an [`Action`] with its id follows.
    Queue,
    /// The request is refused.
    Refuse {
        /// Reason of the refusal.
        kind: Kind,
        /// Time after which a new attempt makes sense.
        retry_after: Duration,
    },
}

/// Later answer to a queued ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request runs now and must be reported to [`Admission::finish`].
    Start(u64),
    /// The request is refused.
    Refuse {
        /// Id of the ticket.
        id: u64,
        /// Reason of the refusal.
        kind: Kind,
        /// Time after which a new attempt makes sense.
        retry_after: Duration,
    },
}

/// Bounds of the admission to a service at one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Requests that may wait, over all ranks.
    pub queue_limit: u32,
    /// Share of the capacity that each rank keeps, in percent.
    pub min_share_percent: PerRank<u8>,
    /// Slots of all workers of the service.
    pub slots: u32,
    /// Entries that share the slots.
    pub entries: u32,
}

/// Admission to one service at one entry.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    limit: Limit,
    running: [u32; 3],
    reserve: Reserve,
    queues: [Queue; 3],
    shares: Share,
    paces: [Pace; 3],
    displaced: Vec<Action>,
    /// When a request last started or ended.
    moved: Option<Instant>,
}

impl Admission {
    /// Creates the admission to a service.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limit: Limit::new(&limits),
            limits,
            running: [0; 3],
            reserve: Reserve::default(),
            queues: Default::default(),
            shares: Share::default(),
            paces: Default::default(),
            displaced: Vec::new(),
            moved: None,
        }
    }

    /// Changes the bounds.
    pub fn configure(&mut self, limits: Limits) {
        self.limit.configure(&limits);
        self.limits = limits;
    }

    /// Returns the number of requests that may run at the same time.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit.value()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns whether the limit has room for a request of a rank, beside what is kept free for more urgent ones.
    fn has_room(&self, now: Instant, rank: Rank) -> bool {
        let usage = Usage {
            running: &self.running,
            shares: &self.shares,
            percent: &self.limits.min_share_percent,
            limit: self.limit.value(),
        };
        let kept = self.reserve.places(now, rank, &usage);
        let room = self.limit.has_room(self.running(), kept);
        // An idle service always runs a request.
        room || self.running() == 0
    }

    /// Returns the number of waiting requests of a rank.
    #[must_use]
    pub fn queued(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now: Instant, ticket: Request) -> Decision {
        if ticket.deadline <= now {
            let kind = Kind::DeadlineBeforeDispatch;
            let retry_after = RETRY_AFTER.0;
            return Decision::Refuse { kind, retry_after };
        }
        self.reserve.arrive(now, &ticket);
        let queued: usize = self.queues.iter().map(Queue::len).sum();
        let first = Rank::ALL
            .iter()
            .all(|&r| r > ticket.rank || self.queued(r) == 0);
        if first && self.has_room(now, ticket.rank) {
            self.running[ticket.rank.index()] += 1;
            self.moved = Some(now);
            return Decision::Run;
        }
        self.limit.reached();
        let wait = self.wait(now, &ticket);
        let needed = wait + self.needed(ticket.rank);
        let full = queued >= self.limits.queue_limit as usize;
        if now + needed > ticket.deadline || full && !self.displace(now, &ticket) {
            let kind = Kind::Overloaded;
            let retry_after = wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
            return Decision::Refuse { kind, retry_after };
        }
        self.queues[ticket.rank.index()].push(ticket);
        Decision::Queue
    }

    /// Makes room for a ticket in the full queue; returns whether there is.
    ///
    /// The least urgent rank that is not more urgent than the ticket's, and holds more than its share of the queue,
    /// gives up a request. A rank below its share may also displace a more urgent one.
    fn displace(&mut self, now: Instant, ticket: &Request) -> bool {
        let below_share = !self.exceeds_share(ticket.rank, 1);
        let mut ranks = Rank::ALL.into_iter().rev();
        let from = ranks.find(|&r| {
            let others = r > ticket.rank || r < ticket.rank && below_share;
            others && self.exceeds_share(r, 0) || r == ticket.rank && self.is_longer(ticket)
        });
        let taken = from.and_then(|r| self.queues[r.index()].displace());
        if let Some(taken) = &taken {
            let action = self.refusal(now, taken);
            self.displaced.push(action);
        }
        taken.is_some()
    }

    /// Returns whether another customer has more waiting requests than the ticket's customer would have.
    fn is_longer(&self, ticket: &Request) -> bool {
        let queue = &self.queues[ticket.rank.index()];
        queue.longest() > queue.count(ticket) + 1
    }

    /// Returns whether a rank with `more` requests would hold more than its share of the queue.
    fn exceeds_share(&self, rank: Rank, more: usize) -> bool {
        let percent = usize::from(*self.limits.min_share_percent.get(rank));
        let share = (self.limits.queue_limit as usize * percent / 100).max(1);
        self.queues[rank.index()].len() + more > share
    }

    /// Returns the refusals of queued tickets that the last [`Admission::offer`] displaced.
    ///
    /// [`Admission::finish`] and [`Admission::tick`] return them too if this is not called.
    pub fn take_displaced(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.displaced)
    }

    /// Removes a queued ticket whose caller has gone away.
    pub fn cancel(&mut self, id: u64) {
        for queue in &mut self.queues {
            if queue.cancel(id) {
                return;
            }
        }
    }

    /// Records the end of a running request and starts queued ones.
    pub fn finish(&mut self, now: Instant, rank: Rank, sample: &Sample) -> Vec<Action> {
        let running = &mut self.running[rank.index()];
        *running = running.saturating_sub(1);
        self.moved = Some(now);
        self.limit.observe(now, rank, sample);
        if matches!(sample.verdict, Verdict::Success | Verdict::Timeout) {
            self.shares.observe(rank, sample.latency.as_secs_f64());
        }
        let mut actions = self.take_displaced();
        self.start(now, &mut actions);
        actions
    }

    /// Refuses queued requests that can't meet their deadline any more, and starts others if the limit has grown.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.take_displaced();
        let stalled = |moved| now.saturating_duration_since(moved) >= STALLED;
        if self.moved.is_some_and(stalled) && self.queues.iter().any(|q| !q.is_empty()) {
            self.limit.stalled(self.running());
        }
        for rank in Rank::ALL {
            let limit = now + self.needed(rank);
            for ticket in self.queues[rank.index()].take_due(limit) {
                actions.push(self.refusal(now, &ticket));
            }
        }
        self.start(now, &mut actions);
        actions
    }

    fn start(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.limit.has_room(self.running(), 0.0) {
            let waiting = self.queues.each_ref().map(|q| !q.is_empty());
            let next = self
                .shares
                .next(|r| waiting[r.index()], |r| self.has_room(now, r));
            let Some(rank) = next else {
                break;
            };
            let Some(ticket) = self.queues[rank.index()].pop() else {
                return;
            };
            if now + self.needed(rank) > ticket.deadline {
                actions.push(self.refusal(now, &ticket));
                continue;
            }
            let shares = self.limits.min_share_percent;
            self.shares.start(rank, shares, |r| waiting[r.index()]);
            let more = !self.queues[rank.index()].is_empty();
            self.paces[rank.index()].start(now, more);
            self.running[rank.index()] += 1;
            self.moved = Some(now);
            actions.push(Action::Start(ticket.id));
        }
        if self.queues.iter().any(|q| !q.is_empty()) {
            self.limit.reached();
        }
    }

    fn refusal(&self, now: Instant, ticket: &Request) -> Action {
        let kind = if ticket.deadline <= now {
            Kind::DeadlineBeforeDispatch
        } else {
            Kind::Overloaded
        };
        let wait = self.wait(now, ticket);
        Action::Refuse {
            id: ticket.id,
            kind,
            retry_after: wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        }
    }

    /// Returns the time that must be left to start a request of a rank.
    fn needed(&self, rank: Rank) -> Duration {
        Duration::from_secs_f64(self.shares.long_service(rank, DEVIATIONS))
    }

    /// Returns the expected wait of a new request: at the observed pace of its rank, or behind everything that is
    /// served before it.
    fn wait(&self, now: Instant, ticket: &Request) -> Duration {
        let rank = ticket.rank;
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let own = count(self.queues[rank.index()].ahead(ticket));
        let seconds = self.paces[rank.index()].wait(now, own).unwrap_or_else(|| {
            let service = |r| self.shares.service(r).unwrap_or_default();
            let urgent = Rank::ALL.into_iter().filter(|&r| r < rank);
            let work = urgent.map(|r| count(self.queues[r.index()].len()) * service(r));
            (work.sum::<f64>() + (own + 1.0) * service(rank)) / self.limit.value()
        });
        // A longer wait is of no use to any caller and might not be representable.
        Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
    }
}
