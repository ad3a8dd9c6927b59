//! Scheduler of one service at one entry: selects the worker for each request, queues requests and refuses those that
//! can't meet their deadline.
//!
//! Load pattern: for some seconds, requests arrive at 90 to 120% of the capacity of the workers, while some workers are
//! slow, shed requests or have left, and other entries send to the same workers. Workers process their queues in order,
//! so a request that is sent too early waits behind less urgent ones. The scheduler therefore queues requests at the
//! entry until a worker is likely to have a free slot, serves the most urgent rank first, and immediately refuses
//! requests that can't be answered in time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

mod admission;
mod failure_rate;
mod fault_duration;
mod notice;
mod probe;
mod queue;
mod service_times;
mod suspicion;
mod upstream;
mod zones;

pub use admission::Refusals;
pub use notice::{Hold, Notice};
pub use suspicion::Evidence;
pub use upstream::{Outcome, Spec};
pub use zones::{Spills, Summary};

use failure_rate::FailureRate;
use fault_duration::FaultDuration;
use notice::Notices;
use probe::Group;
use queue::Queue;
use service_times::ServiceTimes;
use upstream::{Upstream, faulty_cost};
use zones::Zones;

/// Additional load, in slots, that is assumed for a worker in another availability zone. For a small response the cost
/// is below one queued request; for a download it equals one.
const CROSS_ZONE_COST: f64 = 0.3;
const CROSS_ZONE_COST_DOWNLOAD: f64 = 1.0;
/// Additional load, in slots, of a worker to which a connection must be opened. Connections are expensive for the
/// workers, but a free slot is worth more.
const NEW_CONNECTION_COST: f64 = 0.1;
/// Maximum random cost difference between equally loaded workers, in slots.
const MAX_JITTER: f64 = 0.25;

/// A request that needs a worker.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of the request at this entry.
    pub id: u64,
    /// Priority class.
    pub rank: Rank,
    /// Hash of the route's name ([`name_hash`]); requests of a route need similar work.
    pub class: u64,
    /// Hash of the customer's name, if the request has one. Customers of a rank get equal shares of the slots.
    pub customer: Option<u64>,
    /// Whether the response is large, so that crossing availability zones is expensive.
    pub download: bool,
    /// Whether the request must not be executed twice, or has no further attempt for another reason, so that it fails if
    /// this attempt does.
    pub at_most_once: bool,
    /// Time after which a response loses value.
    pub target: Instant,
    /// Time after which the caller no longer uses a response.
    pub deadline: Instant,
    /// Workers that earlier attempts used; they are excluded.
    pub tried: Vec<Worker>,
    /// Workers to which the request can use an open connection.
    pub connected: Vec<Worker>,
    /// Whether another entry sends the request. Pauses that workers asked this entry for don't apply to it.
    pub remote: bool,
}

/// Immediate result of [`Scheduler::offer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request to this worker now; a slot is reserved.
    Send(Worker),
    /// The request is queued; an [`Action`] with its id follows.
    Wait,
    /// The request is refused.
    Refuse(Refusal),
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: Reason,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No worker is registered and serving.
    NoWorker,
    /// The request can't be answered in time.
    Overload,
    /// All workers have asked this entry for a pause that outlasts the request.
    Paused,
}

/// Deferred decision on a queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the request with this id to this worker now; a slot is reserved.
    Send(u64, Worker),
    /// The request with this id is refused.
    Refuse(u64, Refusal),
}

/// Scheduler of one service at one entry.
#[derive(Clone, Debug)]
pub struct Scheduler {
    zone: Zone,
    /// Number of entries that send to the same workers.
    entries: u32,
    /// Share of the zone's workers that must stay in use; `None` unless all requests of the zone pass through here.
    floor: Option<f64>,
    upstreams: BTreeMap<Worker, Upstream>,
    queues: [Queue; 3],
    /// Decisions on queued requests that later requests displaced.
    displaced: Vec<Action>,
    refusals: Refusals,
    service_times: ServiceTimes,
    failure_rate: FailureRate,
    fault_duration: FaultDuration,
    /// Recent share of the requests that may be repeated.
    repeatable_share: f64,
    notices: Notices,
    zones: Zones,
}

impl Scheduler {
    /// Creates the scheduler of a service at an entry in `zone`.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            entries: 1,
            floor: None,
            upstreams: BTreeMap::new(),
            queues: Default::default(),
            displaced: Vec::new(),
            refusals: Refusals::default(),
            service_times: ServiceTimes::default(),
            failure_rate: FailureRate::default(),
            fault_duration: FaultDuration::default(),
            repeatable_share: 0.0,
            notices: Notices::default(),
            zones: Zones::default(),
        }
    }

    /// Updates the workers to the registered ones, which `entries` entries share. A new incarnation of a worker starts
    /// without history.
    pub fn sync_workers(&mut self, now: Instant, specs: &[(Worker, Spec)], entries: u32) {
        self.entries = entries.max(1);
        self.upstreams
            .retain(|worker, _| specs.iter().any(|(known, _)| known == worker));
        for (worker, spec) in specs {
            match self.upstreams.get_mut(worker) {
                Some(upstream) if upstream.has_incarnation_of(spec) => upstream.update(spec),
                _ => {
                    let mut upstream = Upstream::new(now, spec.clone());
                    if let Some(hold) = self.notices.hold(now, worker, spec.incarnation) {
                        upstream.apply_hold(hold);
                    }
                    self.upstreams.insert(worker.clone(), upstream);
                }
            }
        }
        let upstreams = &self.upstreams;
        self.notices.expire(now, |worker, incarnation| {
            let upstream = upstreams.get(worker);
            upstream.is_some_and(|u| u.incarnation() == incarnation)
        });
    }

    /// Records what an incarnation of a worker says about itself. Returns whether that changes what is known.
    ///
    /// A worker that leaves counts as gone at once, like one whose announcement says so: it serves its last requests
    /// and gets no new ones, also when it is the last worker.
    pub fn record_notice(
        &mut self,
        now: Instant,
        worker: &Worker,
        incarnation: Incarnation,
        notice: Notice,
    ) -> bool {
        let changed = self.notices.record(now, worker, incarnation, notice);
        let upstream = self.upstreams.get_mut(worker);
        if let Some(upstream) = upstream.filter(|u| u.incarnation() == incarnation)
            && let Some(hold) = self.notices.hold(now, worker, incarnation)
        {
            upstream.apply_hold(hold);
        }
        changed
    }

    /// Returns why an incarnation of a worker must not get a request now, although one was assigned to it before.
    #[must_use]
    pub fn hold(&self, now: Instant, worker: &Worker, incarnation: Incarnation) -> Option<Hold> {
        let upstream = self.upstreams.get(worker);
        match upstream.filter(|u| u.incarnation() == incarnation) {
            Some(upstream) => upstream.hold(now),
            None => Some(Hold::Left),
        }
    }

    /// Sets the share of the zone's workers that must stay in use, if all requests of the zone pass through here.
    ///
    /// Without a floor, a worker whose last request failed gets no further request while there are enough proven
    /// workers. While fewer workers are in use than the floor requires, workers that are not avoided are probed, those
    /// with the lowest suspicion first; while the failure rate is high, all of them are probed. At a normal failure
    /// rate, more probes would fail more requests than they find healthy workers for.
    pub fn set_floor(&mut self, floor: Option<f64>) {
        self.floor = floor;
        if floor.is_none() {
            self.zones = Zones::default();
        }
        self.fault_duration.set_coordinated(floor.is_some());
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Returns the number of workers that still serve, including avoided ones.
    #[must_use]
    pub fn usable_workers(&self) -> usize {
        self.upstreams.values().filter(|u| !u.is_gone()).count()
    }

    /// Returns the mean time from dispatch to response.
    #[must_use]
    pub fn typical_latency(&self) -> Duration {
        self.service_times.typical()
    }

    /// Returns the time without a response after which a second worker should be asked.
    #[must_use]
    pub fn hedge_delay(&self) -> Duration {
        self.service_times.late_threshold()
    }

    /// Removes a queued request whose caller has disconnected; returns whether it was queued.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queues.iter_mut().any(|queue| queue.cancel(id))
    }

    /// Reserves a slot at another worker for a request that was sent before. Returns `None` instead of queueing the
    /// request.
    pub fn reserve_retry(&mut self, now: Instant, request: &Request) -> Option<Worker> {
        self.reserve(now, request)
    }

    /// Reserves a slot at a worker that another component selected.
    pub fn reserve_at(&mut self, now: Instant, worker: &Worker) {
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            upstream.start(now, true);
        }
    }

    /// Returns the workers that this entry can't use although others may: a connection to them failed recently, or
    /// they said that they leave or want no requests.
    #[must_use]
    pub fn unusable_workers(&self, now: Instant) -> Vec<Worker> {
        let unusable = |u: &Upstream| u.is_unreachable(now) || u.hold(now).is_some();
        let upstreams = self.upstreams.iter().filter(|(_, u)| unusable(u));
        upstreams.map(|(worker, _)| worker.clone()).collect()
    }

    /// Returns the time until the first worker takes the request from this entry, if all that it may use want a pause.
    #[must_use]
    pub fn pause_left(&self, now: Instant, request: &Request) -> Option<Duration> {
        let mut left: Option<Duration> = None;
        for upstream in self.candidates(request) {
            let until = upstream.paused_until(now)?;
            let pause = until.saturating_duration_since(now);
            left = Some(left.map_or(pause, |left| left.min(pause)));
        }
        left.filter(|_| !request.remote)
    }

    /// Records the end of an attempt, releases its slot and dispatches queued requests.
    pub fn finish(
        &mut self,
        now: Instant,
        worker: &Worker,
        started: Instant,
        outcome: Outcome,
    ) -> Vec<Action> {
        // The typical time is updated first, so that the first response is compared with itself.
        let success = outcome == Outcome::Success;
        self.service_times.record_end(now, worker, started, success);
        if outcome != Outcome::Cancelled {
            let upstream = self.upstreams.get(worker);
            let is_last = upstream.is_none_or(|u| u.is_last_attempt(started));
            let failed = outcome != Outcome::Success;
            self.failure_rate.record(now, failed, is_last);
        }
        let typical = self.service_times.typical();
        let may_avoid_longer = self.may_avoid_longer(now);
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            let durations = &mut self.fault_duration;
            upstream.finish(now, started, outcome, typical, durations, may_avoid_longer);
        }
        self.dispatch_waiting(now)
    }

    /// Records evidence from an attempt that is still in progress or was made by another entry.
    pub fn observe(&mut self, now: Instant, worker: &Worker, evidence: Evidence) {
        let may_avoid_longer = self.may_avoid_longer(now);
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            upstream.observe(now, evidence, &mut self.fault_duration, may_avoid_longer);
        }
    }

    /// Returns whether a worker failed recently, so that the success of an attempt that was sent at `started` should be
    /// reported to other entries.
    #[must_use]
    pub fn is_recovered_by(&self, now: Instant, worker: &Worker, started: Instant) -> bool {
        let upstream = self.upstreams.get(worker);
        let started = if self.floor.is_some() { started } else { now };
        upstream.is_some_and(|u| u.is_recovered_by(now, started))
    }

    /// Returns whether a worker is avoided because it failed recently or is unreachable.
    #[must_use]
    pub fn is_avoided(&self, now: Instant, worker: &Worker) -> bool {
        let upstream = self.upstreams.get(worker);
        upstream.is_some_and(|u| u.is_avoided(now))
    }

    /// Returns the probability that a worker is faulty, or 0 if the worker is unknown.
    #[must_use]
    pub fn suspicion(&self, now: Instant, worker: &Worker) -> f64 {
        self.upstreams.get(worker).map_or(0.0, |u| u.suspicion(now))
    }

    /// Records the load that a worker reports: requests of all entries that it runs or queues.
    pub fn record_load(&mut self, now: Instant, worker: &Worker, load: u32) {
        if let Some(upstream) = self.upstreams.get_mut(worker) {
            upstream.record_load(now, load);
        }
    }

    /// Returns the workers that the request may use at some time.
    fn candidates(&self, request: &Request) -> impl Iterator<Item = &Upstream> {
        let upstreams = self.upstreams.iter();
        let candidates =
            upstreams.filter(|(worker, u)| !u.is_gone() && !request.tried.contains(worker));
        candidates.map(|(_, upstream)| upstream)
    }

    /// Reserves a slot at the worker that is likely to answer first, if one has room. Avoided workers are used when
    /// there is no other worker left, but not when the others are only full.
    fn reserve(&mut self, now: Instant, request: &Request) -> Option<Worker> {
        let mut reserved = None;
        if self.needs_avoided(now, request) {
            reserved = self.reserve_at_one_of(now, request, Group::Avoided);
        }
        let mut reserved = reserved
            .or_else(|| {
                let is_coordinated = self.floor.is_some();
                is_coordinated
                    .then(|| self.reserve_at_one_of(now, request, Group::Unprobed))
                    .flatten()
            })
            .or_else(|| self.reserve_at_one_of(now, request, Group::Accepted));
        if reserved.is_none() && self.may_use_doubtful(request) {
            reserved = self.reserve_at_one_of(now, request, Group::Doubtful);
        }
        let mut others = self.upstreams.iter();
        let no_alternative = others.all(|(worker, upstream)| {
            !upstream.takes(now, request.remote)
                || upstream.is_avoided(now)
                || request.tried.contains(worker)
        });
        reserved.or_else(|| {
            no_alternative
                .then(|| self.reserve_at_one_of(now, request, Group::Avoided))
                .flatten()
        })
    }

    /// Reserves a slot like [`Self::reserve_among`], and records which class of requests uses it.
    fn reserve_at_one_of(
        &mut self,
        now: Instant,
        request: &Request,
        group: Group,
    ) -> Option<Worker> {
        let worker = self.reserve_among(now, request, group)?;
        self.service_times
            .record_attempt(now, &worker, request.class);
        Some(worker)
    }

    /// Reserves a slot at a worker of a group that has room.
    fn reserve_among(&mut self, now: Instant, request: &Request, group: Group) -> Option<Worker> {
        let typical = self.service_times.typical();
        let usable = |(worker, upstream): &(&Worker, &Upstream)| {
            upstream.takes(now, request.remote) && !request.tried.contains(worker)
        };
        let probe_mode = self.probe_mode(now, request);
        // Among avoided workers, the least suspect is the best one for any request.
        let is_coordinated = self.floor.is_some();
        let among_avoided = matches!(group, Group::Avoided | Group::Suspect);
        let is_lost = request.at_most_once || (is_coordinated && among_avoided);
        let faulty = faulty_cost(is_lost, is_coordinated);
        let access = self.zone_access(now, request);
        let stays = access.is_known() && matches!(group, Group::Unprobed | Group::Doubtful);
        // Returns `None` for a worker in a zone that the request must not use.
        let cost = |upstream: &Upstream| {
            let local = upstream.zone() == &self.zone;
            let cross_zone_cost = if request.download {
                CROSS_ZONE_COST_DOWNLOAD
            } else {
                CROSS_ZONE_COST
            };
            let detour = if local {
                0.0
            } else {
                access
                    .detour(upstream.zone(), request.download, cross_zone_cost)
                    .filter(|_| !stays)?
            };
            Some(match probe_mode {
                Some(probe_mode) if local && upstream.is_idle(now) => {
                    probe_mode.cost(upstream.suspicion(now))
                }
                _ => upstream.cost(now, typical, faulty) + detour,
            })
        };
        let connection = |worker: &Worker| {
            if request.connected.contains(worker) {
                0.0
            } else {
                NEW_CONNECTION_COST
            }
        };
        // Without jitter, a slightly faster worker would get all requests, and the state of the others would be unknown
        // when they are needed.
        let jitter = |worker: &Worker| {
            let mut hash = Xxh3::with_seed(request.id);
            hash.update(worker.as_str().as_bytes());
            f64::from(low_half(hash.digest())) / f64::from(u32::MAX) * MAX_JITTER
        };
        let all = || self.upstreams.iter().filter(usable);
        let candidates = all().filter(|(_, u)| u.has_room(now, typical) && group.contains(now, u));
        let costs = candidates.filter_map(|(worker, u)| {
            Some((cost(u)? + connection(worker) + jitter(worker), worker))
        });
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        // Workers of other zones are compared with a poor one of the zone, but not to spare one that is probed.
        let cheapest = cheapest
            .filter(|(cost, _)| !matches!(group, Group::Unprobed) || !access.is_poor(*cost));
        let worker = cheapest.map(|(_, worker)| worker.clone())?;
        let upstream = self.upstreams.get_mut(&worker)?;
        upstream.start(now, request.at_most_once);
        let zone = upstream.zone().clone();
        self.record_zone(&zone, &access);
        self.record_repeatable(request);
        self.service_times.record_start(request.rank);
        Some(worker)
    }
}

/// Returns the hash of the name of a route or customer for a [`Request`].
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the low 32 bits of a number.
fn low_half(number: u64) -> u32 {
    u32::try_from(number & u64::from(u32::MAX)).unwrap_or(u32::MAX)
}
