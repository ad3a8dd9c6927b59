//! Admission control of a service: concurrency limit, priority ranks, fairness between customers and load shedding.
//!
//! A request runs immediately while the adaptive limit has room. Otherwise it waits in the queue of its rank, unless it
//! would miss its deadline. Released slots go to the most urgent rank, except that each waiting rank keeps its minimum
//! share of the capacity. When the queue is full, the least urgent requests beyond their share of it are displaced.

use std::time::{Duration, Instant};

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::{PerRank, Rank};

use crate::sample::{Sample, Verdict};

mod credit;
mod headroom;
mod limit;
mod queue;
mod start_rate;

use credit::Credits;
use headroom::{Headroom, Usage};
use limit::Limit;
use queue::Queue;
use start_rate::StartRate;

/// Bounds of the retry delay in a refusal.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(30));
/// Mean deviations above the mean service time that must be left before the deadline to start a request, and beyond the
/// expected wait to queue it. Requests that start with less time often end after their deadline and waste their slot.
const SERVICE_TIME_DEVIATIONS: f64 = 3.0;

/// Time without a start or an end of a request after which the limit grows while requests wait. Short requests end
/// within it; long ones must not hold all of an entry's slots while workers have free ones.
const STALL_TIMEOUT: Duration = Duration::from_millis(200);

/// A request that asks for admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Unique id of the request at this entry.
    pub id: u64,
    /// Priority class.
    pub rank: Rank,
    /// Customer, if the caller named one.
    pub customer: Option<Customer>,
    /// Time after which the caller no longer uses the response.
    pub deadline: Instant,
}

/// Immediate result of [`Admission::offer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request runs now; its end must be reported to [`Admission::finish`].
    Run,
    /// The request is queued; an [`Action`] with its id follows.
    Queue,
    /// The request is refused.
    Refuse {
        /// Cause of the refusal.
        kind: Kind,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Deferred decision on a queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request runs now; its end must be reported to [`Admission::finish`].
    Start(u64),
    /// The request is refused.
    Refuse {
        /// Id of the request.
        id: u64,
        /// Cause of the refusal.
        kind: Kind,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Parameters of the admission to a service at one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of queued requests over all ranks.
    pub queue_limit: u32,
    /// Minimum share of the capacity for each rank, in percent.
    pub min_share_percent: PerRank<u8>,
    /// Total slots of the service's workers.
    pub slots: u32,
    /// Number of entries that share the slots.
    pub entries: u32,
}

/// Admission control of one service at one entry.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    limit: Limit,
    running: [u32; 3],
    headroom: Headroom,
    queues: [Queue; 3],
    credits: Credits,
    start_rates: [StartRate; 3],
    displaced: Vec<Action>,
    /// Time of the last start or end of a request.
    last_progress: Option<Instant>,
}

impl Admission {
    /// Creates the admission control of a service.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limit: Limit::new(&limits),
            limits,
            running: [0; 3],
            headroom: Headroom::default(),
            queues: Default::default(),
            credits: Credits::default(),
            start_rates: Default::default(),
            displaced: Vec::new(),
            last_progress: None,
        }
    }

    /// Changes the parameters. Running and queued requests stay.
    pub fn configure(&mut self, limits: Limits) {
        self.limit.configure(&limits);
        self.limits = limits;
    }

    /// Returns the present concurrency limit.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit.value()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns whether the limit has room for a request of `rank` beside the headroom of more urgent ranks.
    fn has_room(&self, now: Instant, rank: Rank) -> bool {
        let usage = Usage {
            running: &self.running,
            credits: &self.credits,
            percent: &self.limits.min_share_percent,
            limit: self.limit.value(),
        };
        let kept_free = self.headroom.kept_free(now, rank, &usage);
        let room = self.limit.has_room(self.running(), kept_free);
        // An idle service always runs a request.
        room || self.running() == 0
    }

    /// Returns the number of queued requests of a rank.
    #[must_use]
    pub fn queued(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Decides whether a new request runs, is queued or is refused.
    pub fn offer(&mut self, now: Instant, request: Request) -> Decision {
        if request.deadline <= now {
            let kind = Kind::DeadlineBeforeDispatch;
            let retry_after = RETRY_AFTER_BOUNDS.0;
            return Decision::Refuse { kind, retry_after };
        }
        self.headroom.record_arrival(now, &request);
        let queued: usize = self.queues.iter().map(Queue::len).sum();
        let first = Rank::ALL
            .iter()
            .all(|&r| r > request.rank || self.queued(r) == 0);
        if first && self.has_room(now, request.rank) {
            self.running[request.rank.index()] += 1;
            self.last_progress = Some(now);
            return Decision::Run;
        }
        self.limit.record_reached();
        let wait = self.expected_wait(now, &request);
        let needed = wait + self.min_time_left(request.rank);
        let full = queued >= self.limits.queue_limit as usize;
        if now + needed > request.deadline || full && !self.displace(now, &request) {
            let kind = Kind::Overloaded;
            let retry_after = wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
            return Decision::Refuse { kind, retry_after };
        }
        self.queues[request.rank.index()].push(request);
        Decision::Queue
    }

    /// Makes room for a request in the full queue; returns whether there is room.
    ///
    /// A request is displaced from the least urgent rank that isn't more urgent than the new request's and holds more
    /// than its share of the queue. A rank below its share may also displace a more urgent one.
    fn displace(&mut self, now: Instant, request: &Request) -> bool {
        let below_share = !self.exceeds_share(request.rank, 1);
        let mut ranks = Rank::ALL.into_iter().rev();
        let from = ranks.find(|&r| {
            let others = r > request.rank || r < request.rank && below_share;
            others && self.exceeds_share(r, 0)
                || r == request.rank && self.has_longer_queue(request)
        });
        let displaced = from.and_then(|r| self.queues[r.index()].displace());
        if let Some(displaced) = &displaced {
            let action = self.refusal(now, displaced);
            self.displaced.push(action);
        }
        displaced.is_some()
    }

    /// Returns whether another customer of the rank has more queued requests than the request's customer would have.
    fn has_longer_queue(&self, request: &Request) -> bool {
        let queue = &self.queues[request.rank.index()];
        queue.longest_customer_len() > queue.customer_len(request) + 1
    }

    /// Returns whether a rank with `more` additional requests would hold more than its share of the queue.
    fn exceeds_share(&self, rank: Rank, more: usize) -> bool {
        let percent = usize::from(*self.limits.min_share_percent.get(rank));
        let share = (self.limits.queue_limit as usize * percent / 100).max(1);
        self.queues[rank.index()].len() + more > share
    }

    /// Returns the refusals of queued requests that the last [`Admission::offer`] displaced.
    ///
    /// [`Admission::finish`] and [`Admission::tick`] return them too if this is not called.
    pub fn take_displaced(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.displaced)
    }

    /// Removes a queued request whose caller has disconnected.
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
        self.last_progress = Some(now);
        self.limit.observe(now, rank, sample);
        if matches!(sample.verdict, Verdict::Success | Verdict::Timeout) {
            self.credits.observe(rank, sample.latency.as_secs_f64());
        }
        let mut actions = self.take_displaced();
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Refuses queued requests that can no longer meet their deadline, and starts others if the limit has grown.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.take_displaced();
        let stalled = |last_progress| now.saturating_duration_since(last_progress) >= STALL_TIMEOUT;
        if self.last_progress.is_some_and(stalled) && self.queues.iter().any(|q| !q.is_empty()) {
            self.limit.grow_when_stalled(self.running());
        }
        for rank in Rank::ALL {
            let limit = now + self.min_time_left(rank);
            for request in self.queues[rank.index()].take_expired(limit) {
                actions.push(self.refusal(now, &request));
            }
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    fn start_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.limit.has_room(self.running(), 0.0) {
            let waiting = self.queues.each_ref().map(|q| !q.is_empty());
            let next = self
                .credits
                .next_rank(|r| waiting[r.index()], |r| self.has_room(now, r));
            let Some(rank) = next else {
                break;
            };
            let Some(request) = self.queues[rank.index()].pop() else {
                return;
            };
            if now + self.min_time_left(rank) > request.deadline {
                actions.push(self.refusal(now, &request));
                continue;
            }
            let shares = self.limits.min_share_percent;
            self.credits
                .record_start(rank, shares, |r| waiting[r.index()]);
            let more = !self.queues[rank.index()].is_empty();
            self.start_rates[rank.index()].record_start(now, more);
            self.running[rank.index()] += 1;
            self.last_progress = Some(now);
            actions.push(Action::Start(request.id));
        }
        if self.queues.iter().any(|q| !q.is_empty()) {
            self.limit.record_reached();
        }
    }

    fn refusal(&self, now: Instant, request: &Request) -> Action {
        let kind = if request.deadline <= now {
            Kind::DeadlineBeforeDispatch
        } else {
            Kind::Overloaded
        };
        let wait = self.expected_wait(now, request);
        Action::Refuse {
            id: request.id,
            kind,
            retry_after: wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1),
        }
    }

    /// Returns the time that must be left before the deadline to start a request of `rank`.
    fn min_time_left(&self, rank: Rank) -> Duration {
        Duration::from_secs_f64(
            self.credits
                .long_service_time(rank, SERVICE_TIME_DEVIATIONS),
        )
    }

    /// Returns the expected wait of a new request, from the observed start rate of its rank or else from the service
    /// times of all requests before it.
    fn expected_wait(&self, now: Instant, request: &Request) -> Duration {
        let rank = request.rank;
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let own = count(self.queues[rank.index()].count_ahead(request));
        let seconds = self.start_rates[rank.index()]
            .expected_wait(now, own)
            .unwrap_or_else(|| {
                let service = |r| self.credits.service_time(r).unwrap_or_default();
                let urgent = Rank::ALL.into_iter().filter(|&r| r < rank);
                let work = urgent.map(|r| count(self.queues[r.index()].len()) * service(r));
                (work.sum::<f64>() + (own + 1.0) * service(rank)) / self.limit.value()
            });
        // A longer wait is useless to any caller and might not be representable.
        Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
    }
}
