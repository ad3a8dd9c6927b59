//! Admission of requests to a service: concurrency limit, ranks, fairness over customers and refusal.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::{PerRank, Rank};

use crate::sample::Sample;

/// A request that asks to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
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
    running: u32,
    queues: BTreeMap<Rank, VecDeque<Ticket>>,
}

impl Admission {
    /// Creates the admission to a service.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: 0,
            queues: BTreeMap::new(),
        }
    }

    /// Changes the bounds.
    pub fn configure(&mut self, limits: Limits) {
        self.limits = limits;
    }

    fn limit(&self) -> u32 {
        self.limits
            .slots
            .div_ceil(self.limits.entries.max(1))
            .max(1)
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Decision {
        if ticket.deadline <= now {
            return Decision::Refuse {
                kind: Kind::DeadlineBeforeDispatch,
                retry_after: Duration::ZERO,
            };
        }
        let queued: usize = self.queues.values().map(VecDeque::len).sum();
        if queued == 0 && self.running < self.limit() {
            self.running += 1;
            return Decision::Run;
        }
        if queued >= self.limits.queue_limit as usize {
            return Decision::Refuse {
                kind: Kind::Overloaded,
                retry_after: Duration::from_secs(1),
            };
        }
        self.queues
            .entry(ticket.rank)
            .or_default()
            .push_back(ticket);
        Decision::Queue
    }

    /// Returns the refusals of queued tickets that the last [`Admission::offer`] displaced.
    ///
    /// [`Admission::finish`] and [`Admission::tick`] return them too if this is not called.
    pub fn displaced(&mut self) -> Vec<Action> {
        Vec::new()
    }

    /// Removes a queued ticket whose caller has gone away.
    pub fn cancel(&mut self, id: u64) {
        for queue in self.queues.values_mut() {
            queue.retain(|t| t.id != id);
        }
    }

    /// Records the end of a running request and starts queued ones.
    pub fn finish(&mut self, now: Instant, _rank: Rank, _sample: &Sample) -> Vec<Action> {
        self.running = self.running.saturating_sub(1);
        let mut actions = self.tick(now);
        while self.running < self.limit() {
            let Some(ticket) = self.queues.values_mut().find_map(VecDeque::pop_front) else {
                break;
            };
            self.running += 1;
            actions.push(Action::Start(ticket.id));
        }
        actions
    }

    /// Refuses queued requests that can't meet their deadline any more.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|t| {
                if t.deadline <= now {
                    actions.push(Action::Refuse {
                        id: t.id,
                        kind: Kind::DeadlineBeforeDispatch,
                        retry_after: Duration::ZERO,
                    });
                }
                t.deadline > now
            });
        }
        actions
    }
}
