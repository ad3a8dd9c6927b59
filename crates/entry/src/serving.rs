//! Routing state of one service.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_model::config::{Document, Settings, Target};
use chestnutvalve_model::control::State;
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::id::{Customer, Incarnation, Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::version::Version;
use chestnutvalve_routing::admission::{Action, Admission, Decision, Limits, Request};
use chestnutvalve_routing::balance::{Balancer, Upstream};
use chestnutvalve_routing::eject::{self, Detector};
use chestnutvalve_routing::retry::TokenBucket;
use chestnutvalve_routing::sample::Sample;
use tokio::sync::oneshot;

use crate::answer::Refusal;
use crate::call::Call;
use crate::clock;
use crate::place::{Permit, Place, Waiting};

/// Time over which the load is counted; heartbeats may follow each other sooner.
const LOAD_PERIOD: Duration = Duration::from_millis(900);

/// Worker that can take a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Requests that the worker runs at the same time.
    pub slots: u32,
    /// Whether the worker has a fresh proof and is not leaving.
    pub fresh: bool,
    /// Load from the last announcement.
    pub load: u32,
    /// First instant at which the incarnation was seen.
    pub first_seen: Instant,
}

/// Routing state of one service.
#[derive(Debug)]
pub struct Serving {
    /// Name of the service.
    pub name: Service,
    inner: Mutex<Inner>,
    part: Mutex<(Version, Arc<Document>)>,
    owners: Mutex<Option<(Basis, Arc<Vec<Member>>)>>,
}

/// What the owners of a service depend on: the state's version, and whether this instance is draining.
pub type Basis = (Version, bool);

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) balancer: Balancer,
    pub(crate) admission: Admission,
    pub(crate) detector: Detector,
    budget: TokenBucket,
    pub(crate) waiters: HashMap<u64, oneshot::Sender<Result<(), Refusal>>>,
    next_ticket: u64,
    pub(crate) typical: Duration,
    upstreams: HashMap<Worker, Candidate>,
    /// Attempts in progress.
    pub(crate) places: HashMap<Worker, u32>,
    used: Instant,
    load: Load,
}

/// Load over the last full second.
#[derive(Debug)]
struct Load {
    since: Instant,
    /// Request number at that instant.
    ticket: u64,
    per_second: u32,
}

impl Serving {
    /// Creates the state of a service at an entry in `zone`.
    #[must_use]
    pub fn new(name: Service, zone: Zone) -> Self {
        let settings = Settings::default();
        let inner = Inner {
            balancer: Balancer::new(zone),
            admission: Admission::new(limits(&settings, 0, 1)),
            detector: Detector::new(eject::Settings::default()),
            budget: TokenBucket::new(settings.retry_percent),
            waiters: HashMap::new(),
            next_ticket: 0,
            typical: Duration::ZERO,
            upstreams: HashMap::new(),
            places: HashMap::new(),
            used: clock::now(),
            load: Load {
                since: clock::now(),
                ticket: 0,
                per_second: 0,
            },
        };
        Self {
            name,
            inner: Mutex::new(inner),
            part: Mutex::default(),
            owners: Mutex::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the part of the configuration that concerns the service.
    #[must_use]
    pub fn document(&self, state: &State) -> Arc<Document> {
        let mut part = self.part.lock().unwrap_or_else(PoisonError::into_inner);
        if part.0 != state.version {
            let document = state.document.part(std::slice::from_ref(&self.name));
            *part = (state.version, Arc::new(document));
        }
        Arc::clone(&part.1)
    }

    /// Returns the owners of the service, which `place` computes when `basis` has changed.
    ///
    /// The placement hashes the whole directory, which would cost more than the rest of a request.
    pub fn owners(&self, basis: Basis, place: impl FnOnce() -> Vec<Member>) -> Arc<Vec<Member>> {
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((known, owners)) = &*owners
            && *known == basis
        {
            return Arc::clone(owners);
        }
        let placed = Arc::new(place());
        *owners = Some((basis, Arc::clone(&placed)));
        placed
    }

    /// Brings the state in line with the registered workers and the configuration.
    pub fn sync(
        &self,
        now: Instant,
        state: &State,
        records: HashMap<Worker, Candidate>,
        entries: usize,
    ) {
        let target = Target {
            service: &self.name,
            path: None,
            method: None,
            customer: None,
        };
        let settings = self.document(state).resolve(&target);
        let mut inner = self.lock();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let slots: u32 = records.values().map(|c| c.slots).sum();
        // A request at a worker that has left takes no slot of the others, so that it must not count against their share.
        let left = inner
            .places
            .iter()
            .filter(|(w, _)| !records.contains_key(*w));
        let left: u32 = left.map(|(_, places)| places).sum();
        let slots = slots.saturating_add(left.saturating_mul(entries));
        inner.admission.configure(limits(&settings, slots, entries));
        inner.budget.configure(settings.retry_percent);
        inner.adopt(now, &settings, records);
        let actions = inner.admission.tick(now);
        inner.act(actions);
    }

    /// Waits for a place to run a request, and accounts for the time.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the admission.
    pub async fn admit_call(self: &Arc<Self>, call: &Call) -> Result<Permit, Refusal> {
        let waited = tokio::time::Instant::now();
        let deadline = call.deadline.into_std();
        let admitted = self.admit(call.settings.rank, call.customer.clone(), deadline);
        let admitted = admitted.await;
        call.spent.queue(waited.elapsed());
        admitted
    }

    /// Returns the requests a second over the last full second or more, refused ones included.
    #[must_use]
    pub fn rate(&self, now: Instant) -> u32 {
        let mut inner = self.lock();
        let elapsed = now.saturating_duration_since(inner.load.since);
        if elapsed >= LOAD_PERIOD {
            let offered = inner.next_ticket - inner.load.ticket;
            let per_second = u128::from(offered) * 1_000 / elapsed.as_millis().max(1);
            inner.load = Load {
                since: now,
                ticket: inner.next_ticket,
                per_second: u32::try_from(per_second).unwrap_or(u32::MAX),
            };
        }
        inner.load.per_second
    }

    /// Waits for a place to run; gives up its place in the queue when dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the admission.
    pub async fn admit(
        self: &Arc<Self>,
        rank: Rank,
        customer: Option<Customer>,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let offered = self.offer(rank, customer, deadline)?;
        let mut waiting = match offered {
            Offered::Run(permit) => return Ok(permit),
            Offered::Wait(waiting) => waiting,
        };
        waiting.answer().await?;
        Ok(Permit::new(self, rank))
    }

    fn offer(
        self: &Arc<Self>,
        rank: Rank,
        customer: Option<Customer>,
        deadline: Instant,
    ) -> Result<Offered, Refusal> {
        let now = clock::now();
        let mut inner = self.lock();
        inner.used = now;
        inner.next_ticket += 1;
        let id = inner.next_ticket;
        let ticket = Request {
            id,
            rank,
            customer,
            deadline,
        };
        let decision = inner.admission.offer(now, ticket);
        let displaced = inner.admission.take_displaced();
        inner.act(displaced);
        match decision {
            Decision::Run => Ok(Offered::Run(Permit::new(self, rank))),
            Decision::Queue => {
                let (sender, receiver) = oneshot::channel();
                inner.waiters.insert(id, sender);
                Ok(Offered::Wait(Waiting::new(self, id, rank, receiver)))
            }
            Decision::Refuse { kind, retry_after } => Err(refused(kind, retry_after)),
        }
    }

    /// Gives back the right to run a request.
    pub(crate) fn finish_permit(&self, rank: Rank, sample: &Sample) {
        let mut inner = self.lock();
        let actions = inner.admission.finish(clock::now(), rank, sample);
        inner.act(actions);
    }

    /// Picks a worker that was not tried yet and takes one of its places.
    #[must_use]
    pub fn pick(self: &Arc<Self>, route: &str, tried: &HashSet<Worker>) -> Option<Place> {
        let now = clock::now();
        let mut inner = self.lock();
        let Inner {
            balancer,
            detector,
            upstreams,
            places,
            ..
        } = &mut *inner;
        let eligible = |w: &Worker| {
            upstreams.get(w).is_some_and(|c| c.fresh)
                && !tried.contains(w)
                && !detector.is_ejected(now, w)
        };
        let suspicion = |w: &Worker| detector.suspicion(now, w, route);
        let worker = balancer.pick(now, eligible, suspicion, &mut rand::rng())?;
        detector.record_dispatch(now, &worker);
        let candidate = upstreams.get(&worker)?;
        *places.entry(worker.clone()).or_default() += 1;
        Some(Place::new(self, worker, candidate, route, now))
    }

    /// Returns whether a worker could take work now.
    #[must_use]
    pub fn has_fresh(&self) -> bool {
        self.lock().upstreams.values().any(|c| c.fresh)
    }

    /// Returns when a request last asked for the service.
    #[must_use]
    pub fn used(&self) -> Instant {
        self.lock().used
    }

    /// Returns whether no worker is known at all.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        self.lock().upstreams.is_empty()
    }

    /// Records the load that a worker reported.
    pub fn report(&self, worker: &Worker, load: u32) {
        self.lock().balancer.record_load(clock::now(), worker, load);
    }

    /// Records a first attempt in the retry budget.
    pub fn deposit(&self) {
        self.lock().budget.deposit();
    }

    /// Takes one retry from the budget; returns whether there was one.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        self.lock().budget.try_withdraw()
    }

    /// Returns the usual duration of a request.
    #[must_use]
    pub fn typical(&self) -> Duration {
        self.lock().typical
    }

    /// Gives access to the detector, together with the workers that could take work now.
    pub fn with_detector<T>(
        &self,
        with: impl FnOnce(&mut Detector, &HashMap<Worker, Candidate>) -> T,
    ) -> T {
        let mut inner = self.lock();
        let Inner {
            detector,
            upstreams,
            ..
        } = &mut *inner;
        with(detector, upstreams)
    }
}

impl Inner {
    fn adopt(&mut self, now: Instant, settings: &Settings, records: HashMap<Worker, Candidate>) {
        for (worker, candidate) in &records {
            let known = self.upstreams.get(worker);
            if known.is_some_and(|k| k.incarnation != candidate.incarnation) {
                // A restarted worker starts cold and without the suspicion of its predecessor.
                self.balancer.remove(worker);
                self.detector.remove(worker);
            }
            let upstream = Upstream {
                worker: worker.clone(),
                zone: candidate.zone.clone(),
                slots: candidate.slots,
                warm_up: Duration::from_millis(settings.warm_up_ms.into()),
            };
            self.balancer.upsert(now, upstream);
            if known.is_none_or(|k| k.load != candidate.load) {
                self.balancer.record_load(now, worker, candidate.load);
            }
        }
        for worker in self.upstreams.keys() {
            if !records.contains_key(worker) {
                self.balancer.remove(worker);
                self.detector.remove(worker);
            }
        }
        self.upstreams = records;
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, answer) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse {
                    id,
                    kind,
                    retry_after,
                } => (id, Err(refused(kind, retry_after))),
            };
            // A waiting request that was dropped gives its place back itself.
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(answer);
            }
        }
    }
}

fn limits(settings: &Settings, slots: u32, entries: u32) -> Limits {
    Limits {
        queue_limit: settings.queue_limit,
        min_share_percent: settings.min_share_percent,
        slots,
        entries,
    }
}

fn refused(kind: chestnutvalve_model::error::Kind, retry_after: Duration) -> Refusal {
    let mut refusal = Refusal::new(kind, "refused by the admission to the service");
    refusal.retry_after = Some(retry_after);
    refusal
}

enum Offered {
    Run(Permit),
    Wait(Waiting),
}
