//! Routing state of one service: admission, load balancing, ejection and the retry budget.

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

use crate::call::Call;
use crate::clock;
use crate::local_reply::Refusal;
use crate::reservation::{Permit, Reservation, Waiter};

/// Minimum time over which the request rate is measured, because heartbeats can be sent in quick succession.
const RATE_WINDOW: Duration = Duration::from_millis(900);

/// A registered worker of the service, as load balancing sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Incarnation of the worker; a restart changes it.
    pub incarnation: Incarnation,
    /// Address at which the worker accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Maximum number of requests that the worker runs concurrently.
    pub slots: u32,
    /// Whether the worker has a fresh liveness proof and is not leaving.
    pub usable: bool,
    /// Requests in progress that the worker reported in its last announcement.
    pub load: u32,
    /// When this entry first received the incarnation.
    pub first_seen: Instant,
}

/// Routing state of one service at this entry.
#[derive(Debug)]
pub struct ServiceState {
    /// Name of the service.
    pub name: Service,
    inner: Mutex<Inner>,
    document_cache: Mutex<(Version, Arc<Document>)>,
    owners_cache: Mutex<Option<(OwnersKey, Arc<Vec<Member>>)>>,
}

/// Cache key for the owners of a service: the version of the replicated state, and whether this instance is draining.
pub type OwnersKey = (Version, bool);

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) balancer: Balancer,
    pub(crate) admission: Admission,
    pub(crate) detector: Detector,
    budget: TokenBucket,
    pub(crate) waiters: HashMap<u64, oneshot::Sender<Result<(), Refusal>>>,
    last_request_id: u64,
    pub(crate) typical_latency: Duration,
    upstreams: HashMap<Worker, Candidate>,
    /// Number of attempts in progress, by worker.
    pub(crate) in_flight: HashMap<Worker, u32>,
    last_used: Instant,
    rate: RateWindow,
}

/// Measurement of the request rate over the last complete window.
#[derive(Debug)]
struct RateWindow {
    since: Instant,
    /// Value of `last_request_id` at `since`.
    first_request_id: u64,
    per_second: u32,
}

impl ServiceState {
    /// Creates the state of a service without workers, for an entry in `zone`.
    #[must_use]
    pub fn new(name: Service, zone: Zone) -> Self {
        let settings = Settings::default();
        let inner = Inner {
            balancer: Balancer::new(zone),
            admission: Admission::new(limits(&settings, 0, 1)),
            detector: Detector::new(eject::Settings::default()),
            budget: TokenBucket::new(settings.retry_percent),
            waiters: HashMap::new(),
            last_request_id: 0,
            typical_latency: Duration::ZERO,
            upstreams: HashMap::new(),
            in_flight: HashMap::new(),
            last_used: clock::now(),
            rate: RateWindow {
                since: clock::now(),
                first_request_id: 0,
                per_second: 0,
            },
        };
        Self {
            name,
            inner: Mutex::new(inner),
            document_cache: Mutex::default(),
            owners_cache: Mutex::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the part of the configuration that concerns the service, cached by the version of `state`.
    #[must_use]
    pub fn document(&self, state: &State) -> Arc<Document> {
        let mut cache = self
            .document_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if cache.0 != state.version {
            let document = state.document.part(std::slice::from_ref(&self.name));
            *cache = (state.version, Arc::new(document));
        }
        Arc::clone(&cache.1)
    }

    /// Returns the owners of the service, and calls `compute` only when `key` has changed.
    ///
    /// Placement hashes the whole directory, which would cost more than the rest of a request.
    pub fn owners(
        &self,
        key: OwnersKey,
        compute: impl FnOnce() -> Vec<Member>,
    ) -> Arc<Vec<Member>> {
        let mut cache = self
            .owners_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((known, owners)) = &*cache
            && *known == key
        {
            return Arc::clone(owners);
        }
        let computed = Arc::new(compute());
        *cache = Some((key, Arc::clone(&computed)));
        computed
    }

    /// Applies the registered workers and the configuration.
    ///
    /// `entries` is the number of entries that own the service and share its slots.
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
        // Requests in progress at departed workers use no slots of the remaining ones, so they must not reduce their share.
        let at_departed = inner
            .in_flight
            .iter()
            .filter(|(w, _)| !records.contains_key(*w));
        let at_departed: u32 = at_departed.map(|(_, in_flight)| in_flight).sum();
        let slots = slots.saturating_add(at_departed.saturating_mul(entries));
        inner.admission.configure(limits(&settings, slots, entries));
        inner.budget.configure(settings.retry_percent);
        inner.update_workers(now, &settings, records);
        let actions = inner.admission.tick(now);
        inner.apply_actions(actions);
    }

    /// Waits for admission and adds the time to the queue time of the call.
    ///
    /// # Errors
    ///
    /// Returns the refusal of admission control.
    pub async fn admit_call(self: &Arc<Self>, call: &Call) -> Result<Permit, Refusal> {
        let waited = tokio::time::Instant::now();
        let deadline = call.deadline.into_std();
        let admitted = self.admit(call.settings.rank, call.customer.clone(), deadline);
        let admitted = admitted.await;
        call.timings.add_queue_time(waited.elapsed());
        admitted
    }

    /// Returns the requests per second over the last complete window, refused requests included.
    #[must_use]
    pub fn rate(&self, now: Instant) -> u32 {
        let mut inner = self.lock();
        let elapsed = now.saturating_duration_since(inner.rate.since);
        if elapsed >= RATE_WINDOW {
            let offered = inner.last_request_id - inner.rate.first_request_id;
            let per_second = u128::from(offered) * 1_000 / elapsed.as_millis().max(1);
            inner.rate = RateWindow {
                since: now,
                first_request_id: inner.last_request_id,
                per_second: u32::try_from(per_second).unwrap_or(u32::MAX),
            };
        }
        inner.rate.per_second
    }

    /// Waits for permission to run a request. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal of admission control.
    pub async fn admit(
        self: &Arc<Self>,
        rank: Rank,
        customer: Option<Customer>,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let offer = self.offer(rank, customer, deadline)?;
        let mut waiter = match offer {
            Offer::Run(permit) => return Ok(permit),
            Offer::Wait(waiter) => waiter,
        };
        waiter.decision().await?;
        Ok(Permit::new(self, rank))
    }

    fn offer(
        self: &Arc<Self>,
        rank: Rank,
        customer: Option<Customer>,
        deadline: Instant,
    ) -> Result<Offer, Refusal> {
        let now = clock::now();
        let mut inner = self.lock();
        inner.last_used = now;
        inner.last_request_id += 1;
        let id = inner.last_request_id;
        let request = Request {
            id,
            rank,
            customer,
            deadline,
        };
        let decision = inner.admission.offer(now, request);
        let displaced = inner.admission.take_displaced();
        inner.apply_actions(displaced);
        match decision {
            Decision::Run => Ok(Offer::Run(Permit::new(self, rank))),
            Decision::Queue => {
                let (sender, receiver) = oneshot::channel();
                inner.waiters.insert(id, sender);
                Ok(Offer::Wait(Waiter::new(self, id, rank, receiver)))
            }
            Decision::Refuse { kind, retry_after } => Err(admission_refusal(kind, retry_after)),
        }
    }

    /// Returns a permit to admission control and starts queued requests that can now run.
    pub(crate) fn release_permit(&self, rank: Rank, sample: &Sample) {
        let mut inner = self.lock();
        let actions = inner.admission.finish(clock::now(), rank, sample);
        inner.apply_actions(actions);
    }

    /// Selects a worker that was not tried yet and reserves one of its slots.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, route: &str, tried: &HashSet<Worker>) -> Option<Reservation> {
        let now = clock::now();
        let mut inner = self.lock();
        let Inner {
            balancer,
            detector,
            upstreams,
            in_flight,
            ..
        } = &mut *inner;
        let eligible = |w: &Worker| {
            upstreams.get(w).is_some_and(|c| c.usable)
                && !tried.contains(w)
                && !detector.is_ejected(now, w)
        };
        let suspicion = |w: &Worker| detector.suspicion(now, w, route);
        let worker = balancer.pick(now, eligible, suspicion, &mut rand::rng())?;
        detector.record_dispatch(now, &worker);
        let candidate = upstreams.get(&worker)?;
        *in_flight.entry(worker.clone()).or_default() += 1;
        Some(Reservation::new(self, worker, candidate, route, now))
    }

    /// Returns whether any worker is usable, ejected ones included.
    #[must_use]
    pub fn has_usable_worker(&self) -> bool {
        self.lock().upstreams.values().any(|c| c.usable)
    }

    /// Returns when the last request for the service arrived.
    #[must_use]
    pub fn last_used(&self) -> Instant {
        self.lock().last_used
    }

    /// Returns whether no worker is registered, usable or not.
    #[must_use]
    pub fn has_no_workers(&self) -> bool {
        self.lock().upstreams.is_empty()
    }

    /// Records the number of requests in progress that a worker reported.
    pub fn report_load(&self, worker: &Worker, load: u32) {
        self.lock().balancer.record_load(clock::now(), worker, load);
    }

    /// Credits the retry budget for the first attempt of a request.
    pub fn deposit_retry(&self) {
        self.lock().budget.deposit();
    }

    /// Takes one retry from the retry budget; returns `false` when the budget is exhausted.
    #[must_use]
    pub fn withdraw_retry(&self) -> bool {
        self.lock().budget.try_withdraw()
    }

    /// Returns the moving average of the latency of successful attempts, zero before the first one.
    #[must_use]
    pub fn typical_latency(&self) -> Duration {
        self.lock().typical_latency
    }

    /// Calls `with` with the ejection detector and the registered workers, under the lock of the service.
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
    fn update_workers(
        &mut self,
        now: Instant,
        settings: &Settings,
        records: HashMap<Worker, Candidate>,
    ) {
        for (worker, candidate) in &records {
            let known = self.upstreams.get(worker);
            if known.is_some_and(|k| k.incarnation != candidate.incarnation) {
                // A restarted worker begins cold, and suspicion of its previous incarnation does not apply to it.
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

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, answer) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse {
                    id,
                    kind,
                    retry_after,
                } => (id, Err(admission_refusal(kind, retry_after))),
            };
            // A waiter that was dropped releases its permit itself.
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

fn admission_refusal(kind: chestnutvalve_model::error::Kind, retry_after: Duration) -> Refusal {
    let mut refusal = Refusal::new(kind, "refused by admission control of the service");
    refusal.retry_after = Some(retry_after);
    refusal
}

enum Offer {
    Run(Permit),
    Wait(Waiter),
}
