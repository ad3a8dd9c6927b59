//! Scheduler of one service at one entry: which worker gets a request, which requests wait, and which are refused.
//!
//! Load pattern: orders arrive at 90 to 120% of what their workers can do for some seconds, while some workers are slow,
//! shed or are gone, and other entries send to the same workers. Workers run their queues in order, so that a request sent
//! too early waits behind less urgent ones. The schedule therefore keeps requests here until a worker is likely to have a
//! free slot, gives places to the most urgent rank first, and refuses at once what can't be answered in time.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Worker, Zone};
use chestnutvalve_model::rank::Rank;
use xxhash_rust::xxh3::Xxh3;

mod misses;
mod pace;
mod trust;
mod upstream;

pub use trust::Evidence;
pub use upstream::{Outcome, Spec};

use misses::Misses;
use pace::Pace;
use upstream::Upstream;

/// Shortest and longest time that a refused caller is told to wait. Callers honour at most a third of the time they have
/// left, which is below 2 s on the deployments.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Extra load, in slots, that a worker in another availability zone is taken to have. A small response is worth a
/// short detour only; a download is worth one queued request.
const ZONE_COST: f64 = 0.3;
const ZONE_COST_DOWNLOAD: f64 = 1.0;
/// Extra load, in slots, of a worker to which a connection has to be opened. Connections are dear to the workers, but a
/// free slot is worth more.
const CONNECTION_COST: f64 = 0.1;
/// Most by which equally loaded workers differ for one request, in slots.
const SPREAD: f64 = 0.25;
/// One worker in so many may be avoided for longer than 2 s. At least 70% of the sound workers have to stay in use, and a
/// worker that has failed counts as sound again after 2 s; the rest is kept for workers that are avoided for other reasons.
const HELD_PART: usize = 5;
/// Waiting requests that are passed over in one look at the queue, because they don't want the workers that have room.
const MAX_PASSED: usize = 16;
/// Part of the time left that the expected wait may take. The estimate is a mean, so that a fifth is kept in reserve.
const WAIT_SHARE: f64 = 0.7;

/// A request that asks for a worker.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of the request at this entry.
    pub id: u64,
    /// Urgency.
    pub rank: Rank,
    /// Whether the response is large.
    pub download: bool,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Instant after which a response is worth less.
    pub target: Instant,
    /// Instant after which the caller has no use for a response.
    pub deadline: Instant,
    /// Workers that were tried before.
    pub tried: Vec<Worker>,
    /// Workers to which a connection is open that the request may use.
    pub connected: Vec<Worker>,
}

/// Immediate answer to an offered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request goes to this worker now.
    Send(Worker),
    /// The request waits; an [`Action`] follows.
    Wait,
    /// The request is refused.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which a new attempt makes sense.
    pub retry_after: Duration,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No worker may take the request.
    NoWorker,
    /// The request could not be answered in time.
    Overload,
}

/// Later answer to a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request with this id goes to this worker now.
    Send(u64, Worker),
    /// The request with this id is refused.
    Refuse(u64, Refusal),
}

/// Which idle workers are tried again.
#[derive(Clone, Copy, Debug)]
enum Tries {
    /// Each of them, because many requests fail.
    All,
    /// The least doubtful ones, because too few workers are in use.
    LeastDoubtful,
}

impl Tries {
    /// Returns the cost of an idle worker, which is below that of a worker in use.
    fn cost(self, doubt: f64) -> f64 {
        match self {
            Self::All => 0.0,
            Self::LeastDoubtful => doubt,
        }
    }
}

/// Scheduler of one service.
#[derive(Clone, Debug)]
pub struct Scheduler {
    zone: Zone,
    /// Entries that send to the same workers.
    entries: u32,
    /// Share of the zone's workers that must stay in use, if all requests of the zone pass here.
    floor: Option<f64>,
    upstreams: BTreeMap<Worker, Upstream>,
    queues: [VecDeque<Request>; 3],
    pace: Pace,
    misses: Misses,
}

impl Scheduler {
    /// Creates the schedule of a service at an entry in `zone`.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            entries: 1,
            floor: None,
            upstreams: BTreeMap::new(),
            queues: Default::default(),
            pace: Pace::default(),
            misses: Misses::default(),
        }
    }

    /// Brings the workers in line with the registered ones, which `entries` share; a later run of a worker starts without a
    /// record.
    pub fn sync_workers(&mut self, now: Instant, specs: &[(Worker, Spec)], entries: u32) {
        self.entries = entries.max(1);
        self.upstreams
            .retain(|worker, _| specs.iter().any(|(known, _)| known == worker));
        for (worker, spec) in specs {
            match self.upstreams.get_mut(worker) {
                Some(upstream) if upstream.is_run_of(spec) => upstream.update(spec),
                _ => {
                    let upstream = Upstream::new(now, spec.clone());
                    self.upstreams.insert(worker.clone(), upstream);
                }
            }
        }
    }

    /// Sets the share of the zone's workers that must stay in use, if all requests of the zone pass here. A worker that failed
    /// last would otherwise get no request while there are enough proven ones. While fewer workers are in use, those that are
    /// not avoided are tried again, the least doubtful first; while many requests fail, each of them is. More tries on a
    /// calm day would fail more requests than they find good workers for.
    pub fn set_floor(&mut self, floor: Option<f64>) {
        self.floor = floor;
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns the number of workers that may take requests.
    #[must_use]
    pub fn usable_workers(&self) -> usize {
        self.upstreams.values().filter(|u| !u.is_gone()).count()
    }

    /// Returns the usual time from dispatch to response.
    #[must_use]
    pub fn typical_latency(&self) -> Duration {
        self.pace.typical()
    }

    /// Returns the time after which a response is late enough to ask a second worker.
    #[must_use]
    pub fn hedge_delay(&self) -> Duration {
        self.pace.slow()
    }

    /// Decides on a request.
    pub fn offer(&mut self, now: Instant, request: Request) -> Decision {
        if self.usable_workers() == 0 {
            return Decision::Refuse(self.refusal(Reason::NoWorker, Duration::ZERO));
        }
        let rank = request.rank.index();
        let first = self.queues[..=rank].iter().all(VecDeque::is_empty);
        if first && let Some(worker) = self.place(now, &request) {
            return Decision::Send(worker);
        }
        let wait = self.expected_wait(now, request.rank);
        let typical = self.pace.typical();
        // While more arrives than the workers can do, each request that is answered late makes another one late too. A
        // queue that is shorter than what is in progress is no sign of that, and a late response is better than none.
        let in_time = now + typical <= request.target;
        let until = if in_time && self.is_long(now, request.rank) {
            request.target.min(request.deadline)
        } else {
            request.deadline
        };
        let left = until.saturating_duration_since(now);
        let needed = wait.div_f64(WAIT_SHARE) + typical;
        if needed > left {
            // A worker that failed lately may answer; a refusal never does.
            if let Some(worker) = self.place_at(now, &request, true) {
                return Decision::Send(worker);
            }
            let excess = needed.saturating_sub(left);
            return Decision::Refuse(self.refusal(Reason::Overload, excess));
        }
        self.queues[rank].push_back(request);
        Decision::Wait
    }

    /// Takes back a waiting request whose caller has gone; returns whether it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.queue_len();
        for queue in &mut self.queues {
            queue.retain(|request| request.id != id);
        }
        self.queue_len() < before
    }

    /// Chooses another worker for a request that was sent before; it does not wait.
    pub fn reserve_retry(&mut self, now: Instant, request: &Request) -> Option<Worker> {
        self.place(now, request)
    }

    /// Takes a place at a worker that was chosen elsewhere.
    pub fn reserve_at(&mut self, now: Instant, worker: &Worker) {
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            upstream.start(now);
        }
    }

    /// Returns the workers to which connections failed lately.
    #[must_use]
    pub fn unreachable_workers(&self, now: Instant) -> Vec<Worker> {
        let cut = self.upstreams.iter().filter(|(_, u)| u.is_unreachable(now));
        cut.map(|(worker, _)| worker.clone()).collect()
    }

    /// Records the end of an attempt.
    pub fn finish(
        &mut self,
        now: Instant,
        worker: &Worker,
        started: Instant,
        outcome: Outcome,
    ) -> Vec<Action> {
        // The first response tells the usual time that its worker is compared with.
        if outcome == Outcome::Success {
            self.pace.served(now.saturating_duration_since(started));
        }
        if outcome != Outcome::Cancelled {
            self.misses.record(now, outcome != Outcome::Success);
        }
        let typical = self.pace.typical();
        let may_hold = self.may_hold(now);
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            upstream.finish(now, started, outcome, typical, may_hold);
        }
        self.start(now)
    }

    /// Records what an attempt shows of a worker while it is in progress, or at another entry.
    pub fn observe(&mut self, now: Instant, worker: &Worker, evidence: Evidence) {
        let may_hold = self.may_hold(now);
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            upstream.observe(now, evidence, may_hold);
        }
    }

    /// Returns whether one more worker can be avoided for long without the service running short of workers.
    fn may_hold(&self, now: Instant) -> bool {
        let held = self.upstreams.values().filter(|u| u.is_held(now)).count();
        (held + 1) * HELD_PART <= self.usable_workers()
    }

    /// Returns whether a worker was seen to fail lately, so that a success is news.
    #[must_use]
    pub fn is_suspect(&self, now: Instant, worker: &Worker) -> bool {
        let upstream = self.upstreams.get(worker);
        upstream.is_some_and(|u| u.is_suspect(now))
    }

    /// Returns whether a worker is avoided, because it failed lately or can't be reached.
    #[must_use]
    pub fn is_avoided(&self, now: Instant, worker: &Worker) -> bool {
        let upstream = self.upstreams.get(worker);
        upstream.is_some_and(|u| u.is_avoided(now))
    }

    /// Returns the probability that a worker is bad, 0 for an unknown one.
    #[must_use]
    pub fn suspicion(&self, now: Instant, worker: &Worker) -> f64 {
        self.upstreams.get(worker).map_or(0.0, |u| u.suspicion(now))
    }

    /// Records the load that a worker reports: requests that run and wait there, from all entries.
    pub fn record_load(&mut self, now: Instant, worker: &Worker, load: u32) {
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            upstream.record_load(now, load);
        }
    }

    /// Refuses waiting requests that can no longer be answered in time, and starts others if there is room.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let typical = self.pace.typical();
        for rank in Rank::ALL {
            // A request that misses its target waits behind all that don't, so that its wait is that of the whole queue.
            let wait = self.expected_wait(now, rank);
            let hopeless = |r: &Request| {
                let late = now + typical > r.target;
                let needed = if late { wait + typical } else { typical };
                now + needed > r.deadline
            };
            let queue = &mut self.queues[rank.index()];
            let (gone, kept): (VecDeque<_>, _) = queue.drain(..).partition(hopeless);
            *queue = kept;
            for request in gone {
                let refusal = self.refusal(Reason::Overload, Duration::ZERO);
                actions.push(Action::Refuse(request.id, refusal));
            }
        }
        actions.extend(self.start(now));
        actions
    }

    /// Gives free places to waiting requests, the most urgent rank first.
    ///
    /// Within a rank those come first that can still meet their target, in order of arrival. The others are worth less
    /// and serve the callers best when they fill the gaps.
    fn start(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let typical = self.pace.typical();
        for rank in 0..self.queues.len() {
            // Requests that were tried elsewhere may find no place where others do; they don't hold these up.
            let mut passed = 0;
            loop {
                let queue = &self.queues[rank];
                let in_time = |r: &Request| now + typical <= r.target;
                let order = queue.iter().enumerate();
                let first = order.clone().filter(|(_, r)| in_time(r));
                let mut order = first.chain(order.filter(|(_, r)| !in_time(r)));
                let Some((next, request)) = order.nth(passed) else {
                    break;
                };
                let request = request.clone();
                match self.place(now, &request) {
                    Some(worker) => {
                        self.queues[rank].remove(next);
                        actions.push(Action::Send(request.id, worker));
                    }
                    None if request.tried.is_empty() || passed >= MAX_PASSED => return actions,
                    None => passed += 1,
                }
            }
        }
        actions
    }

    /// Takes a place at the worker that is likely to answer first, if one has room. Workers that failed lately are better
    /// than none once all others are gone, not once they are full.
    fn place(&mut self, now: Instant, request: &Request) -> Option<Worker> {
        let placed = self.place_at(now, request, false);
        let mut others = self.upstreams.iter();
        let others_gone = others.all(|(worker, upstream)| {
            upstream.is_gone() || upstream.is_avoided(now) || request.tried.contains(worker)
        });
        placed.or_else(|| {
            others_gone
                .then(|| self.place_at(now, request, true))
                .flatten()
        })
    }

    /// Takes a place at a worker that is avoided or not.
    fn place_at(&mut self, now: Instant, request: &Request, avoided: bool) -> Option<Worker> {
        let typical = self.pace.typical();
        let usable = |(worker, upstream): &(&Worker, &Upstream)| {
            !upstream.is_gone() && !request.tried.contains(worker)
        };
        let tries = self.tries(now);
        let cost = |upstream: &Upstream| {
            let near = upstream.zone() == &self.zone;
            let detour = match (near, request.download) {
                (true, _) => 0.0,
                (false, true) => ZONE_COST_DOWNLOAD,
                (false, false) => ZONE_COST,
            };
            match tries {
                Some(tries) if near && upstream.is_idle(now) => tries.cost(upstream.suspicion(now)),
                _ => upstream.cost(now, typical, request.at_most_once) + detour,
            }
        };
        let connection = |worker: &Worker| {
            if request.connected.contains(worker) {
                0.0
            } else {
                CONNECTION_COST
            }
        };
        // Without a spread, the worker that was a little faster would get all requests, and nothing would be known of
        // the others when they are needed.
        let spread = |worker: &Worker| {
            let mut hash = Xxh3::with_seed(request.id);
            hash.update(worker.as_str().as_bytes());
            f64::from(low(hash.digest())) / f64::from(u32::MAX) * SPREAD
        };
        let all = || self.upstreams.iter().filter(usable);
        let candidates =
            all().filter(|(_, u)| u.has_room(now, typical) && u.is_avoided(now) == avoided);
        let costs =
            candidates.map(|(worker, u)| (cost(u) + connection(worker) + spread(worker), worker));
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        let worker = cheapest.map(|(_, worker)| worker.clone())?;
        let upstream = self.upstreams.get_mut(&worker)?;
        upstream.start(now);
        self.pace.started(request.rank);
        Some(worker)
    }

    /// Returns which idle workers of the zone have to be tried again.
    fn tries(&self, now: Instant) -> Option<Tries> {
        let floor = self.floor?;
        if self.misses.are_high() {
            return Some(Tries::All);
        }
        let near = self.upstreams.values();
        let near = near.filter(|u| !u.is_gone() && u.zone() == &self.zone);
        let (mut used, mut all) = (0.0, 0.0);
        for upstream in near {
            all += 1.0;
            used += f64::from(u8::from(!upstream.is_idle(now)));
        }
        (used < floor * all).then_some(Tries::LeastDoubtful)
    }

    /// Returns whether more requests wait before one of a rank than are in progress.
    fn is_long(&self, now: Instant, rank: Rank) -> bool {
        let (ahead, running) = self.ahead(now, rank);
        ahead > usize::try_from(running).unwrap_or(usize::MAX)
    }

    /// Returns the waiting requests that are served before one of a rank, and those that this entry has in progress, or its
    /// part of the slots if that is more.
    fn ahead(&self, now: Instant, rank: Rank) -> (usize, u32) {
        let ahead = self.queues[..=rank.index()].iter().map(VecDeque::len).sum();
        let running: u32 = self.upstreams.values().map(Upstream::running).sum();
        let slots: u32 = self.upstreams.values().map(|u| u.slots(now)).sum();
        (ahead, running.max(slots / self.entries))
    }

    /// Returns the expected wait of a request that joins the queue of its rank.
    fn expected_wait(&self, now: Instant, rank: Rank) -> Duration {
        let (ahead, running) = self.ahead(now, rank);
        self.pace.wait(rank, ahead, running)
    }

    fn refusal(&self, reason: Reason, excess: Duration) -> Refusal {
        let retry_after = excess.max(self.pace.typical());
        Refusal {
            reason,
            retry_after: retry_after.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        }
    }
}

/// Returns the low half of a number.
fn low(number: u64) -> u32 {
    u32::try_from(number & u64::from(u32::MAX)).unwrap_or(u32::MAX)
}
