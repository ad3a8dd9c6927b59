//! Dispatcher of one service: its scheduler, queued requests and retry budget.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::retry::{Bounds, Ledger, Usage, WindowBudget, Withdrawal};
use chestnutvalve_routing::schedule::{
    Action, Decision, Evidence, Hold, Notice, Outcome, Reason, Refusal, Refusals, Request,
    Scheduler, Spec, Spills, Summary,
};
use tokio::sync::{mpsc, oneshot};

use super::charge::Charge;
use super::observation::{Finding, Observation};
use super::report::RemoteReservation;
use crate::clock;

/// A worker that is registered with the control group.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Properties that the scheduler uses.
    pub spec: Spec,
    /// Address at which the worker accepts requests.
    pub address: SocketAddr,
}

/// Minimum time between two log lines about refusals.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Worker and dispatch time of a queued request, or its refusal.
type Admitted = Result<(Worker, Instant), Refusal>;

/// The retry budget allows no extra attempt.
#[derive(Clone, Copy, Debug)]
pub struct Denied;

/// Why an attempt got no slot.
#[derive(Clone, Copy, Debug)]
pub enum Unplaced {
    /// The scheduler refused the request.
    Refused(Refusal),
    /// The retry budget allows no extra attempt.
    Denied,
}

impl From<Denied> for Unplaced {
    fn from(Denied: Denied) -> Self {
        Self::Denied
    }
}

/// Dispatches the requests for one service to its workers.
#[derive(Debug)]
pub struct Dispatcher {
    /// The service's name.
    pub service: Service,
    inner: Mutex<Inner>,
    observations: mpsc::Sender<Observation>,
}

#[derive(Debug)]
struct Inner {
    scheduler: Scheduler,
    registrations: BTreeMap<Worker, Registration>,
    waiters: HashMap<u64, oneshot::Sender<Admitted>>,
    retry_budget: WindowBudget,
    /// What this entry's requests used of the parts of the retry budget.
    ledger: Ledger,
    /// When a reused connection last broke during an exchange.
    connection_lost_at: Option<Instant>,
    /// Refusals at the last log line, and its time.
    logged_refusals: (Refusals, Option<Instant>),
}

impl Dispatcher {
    /// Creates the dispatcher of a service at an entry in `zone`. Evidence about workers for other entries is sent to
    /// `observations`.
    #[must_use]
    pub fn new(
        service: Service,
        zone: Zone,
        budget: Bounds,
        observations: mpsc::Sender<Observation>,
    ) -> Self {
        let inner = Inner {
            scheduler: Scheduler::new(zone),
            registrations: BTreeMap::new(),
            waiters: HashMap::new(),
            retry_budget: WindowBudget::new(budget),
            ledger: Ledger::new(budget.window),
            connection_lost_at: None,
            logged_refusals: (Refusals::default(), None),
        };
        Self {
            service,
            inner: Mutex::new(inner),
            observations,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether the coordinator of this entry's zone grants the extra attempts.
    pub fn set_pooled(&self, is_pooled: bool) {
        self.lock().retry_budget.set_pooled(is_pooled);
    }

    /// Updates the workers, this entry's part of the retry budget and the number of entries that dispatch to the
    /// workers. `floor` is the share of the zone's workers that must stay in use, if this entry coordinates the
    /// service.
    pub fn sync(
        &self,
        registrations: &BTreeMap<Worker, Registration>,
        budget: Bounds,
        entries: u32,
        floor: Option<f64>,
    ) {
        let now = clock::now();
        let specs: Vec<(Worker, Spec)> = registrations
            .iter()
            .map(|(worker, registration)| (worker.clone(), registration.spec.clone()))
            .collect();
        let mut inner = self.lock();
        inner.scheduler.sync_workers(now, &specs, entries);
        inner.scheduler.set_floor(floor);
        inner.registrations.clone_from(registrations);
        inner.retry_budget.configure(now, budget);
        let actions = inner.scheduler.tick(now);
        inner.apply(now, actions);
    }

    /// Dispatches or refuses queued requests that are due.
    pub fn tick(&self, now: Instant) {
        let mut inner = self.lock();
        if inner.scheduler.queue_len() > 0 {
            let actions = inner.scheduler.tick(now);
            inner.apply(now, actions);
        }
        self.log_refusals(&mut inner, now);
    }

    /// Logs at most once each [`REFUSAL_LOG_INTERVAL`] how many requests were refused by which estimate.
    fn log_refusals(&self, inner: &mut Inner, now: Instant) {
        let refusals = inner.scheduler.refusals();
        let (logged, at) = inner.logged_refusals;
        let is_recent = at.is_some_and(|at| now < at + REFUSAL_LOG_INTERVAL);
        if refusals == logged || is_recent {
            return;
        }
        let service = &self.service;
        let (wait, work) = (refusals.wait - logged.wait, refusals.work - logged.work);
        let time_left = refusals.time_left - logged.time_left;
        let queued = inner.scheduler.queue_len();
        spdlog::info!("requests refused by estimate", kv: {service:, wait, work, time_left, queued});
        inner.logged_refusals = (refusals, Some(now));
    }

    /// Returns the summary of this zone for others and whether any zone has requests, if this entry coordinates the
    /// service.
    #[must_use]
    pub fn summary(&self) -> Option<(Summary, bool)> {
        let now = clock::now();
        let scheduler = &mut self.lock().scheduler;
        Some((scheduler.summary(now)?, scheduler.is_in_use(now)))
    }

    /// Records the summary of another zone, which was made `age` ago.
    pub fn record_summary(&self, now: Instant, zone: &Zone, age: Duration, summary: Summary) {
        let mut inner = self.lock();
        let actions = inner.scheduler.record_summary(now, zone, age, summary);
        inner.apply(now, actions);
    }

    /// Returns the number of requests that were sent to each other zone.
    #[must_use]
    pub fn spills(&self) -> BTreeMap<Zone, Spills> {
        self.lock().scheduler.spills().clone()
    }

    /// Adds the deposit of one caller's request to the retry budget.
    pub fn deposit(&self, rank: Rank) {
        self.lock().retry_budget.deposit_for(clock::now(), rank);
    }

    /// Records what the part of the retry budget with the id `part` counted for a request of this entry.
    pub fn record_usage(&self, part: u64, usage: Usage) {
        if usage != Usage::default() {
            self.lock().ledger.record(clock::now(), part, usage);
        }
    }

    /// Returns what all parts of the retry budget but `part` counted for this entry in the last window.
    #[must_use]
    pub fn usage_elsewhere(&self, part: u64) -> Usage {
        self.lock().ledger.elsewhere(clock::now(), part)
    }

    /// Records what other parts of the retry budget counted for an entry that asks this one.
    pub fn record_elsewhere(&self, entry: u64, usage: Usage) {
        let mut inner = self.lock();
        inner
            .retry_budget
            .record_elsewhere(clock::now(), entry, usage);
    }

    /// Returns the time after which a response counts as late and the request may be hedged.
    #[must_use]
    pub fn hedge_delay(&self) -> Duration {
        self.lock().scheduler.hedge_delay()
    }

    /// Records that a reused connection broke during an exchange.
    pub fn record_lost_connection(&self) {
        self.lock().connection_lost_at = Some(clock::now());
    }

    /// Returns whether a reused connection broke within the last `window`.
    #[must_use]
    pub fn has_lost_connection(&self, window: Duration) -> bool {
        let now = clock::now();
        let lost_at = self.lock().connection_lost_at;
        lost_at.is_some_and(|at| now.saturating_duration_since(at) < window)
    }

    /// Returns the typical response time.
    #[must_use]
    pub fn typical_latency(&self) -> Duration {
        self.lock().scheduler.typical_latency()
    }

    /// Records that a response of a worker is late.
    pub fn record_late(&self, worker: &Worker) {
        let mut inner = self.lock();
        inner
            .scheduler
            .observe(clock::now(), worker, Evidence::Late);
    }

    /// Records an observation that another entry has made of this incarnation of a worker.
    pub fn record_observation(&self, observation: &Observation) {
        let (worker, incarnation) = (&observation.worker, observation.incarnation);
        let evidence = match observation.finding {
            Finding::Success => Evidence::Success,
            Finding::Failure => Evidence::Failure,
            Finding::Leaving => {
                self.record_notice(worker, incarnation, Notice::Leaving, "other entry");
                return;
            }
        };
        let mut inner = self.lock();
        let registration = inner.registrations.get(worker);
        if registration.is_some_and(|m| m.spec.incarnation == incarnation) {
            let now = clock::now();
            self.update_suspicion(&mut inner, now, worker, "other entry", |scheduler| {
                scheduler.observe(now, worker, evidence);
            });
        }
    }

    /// Records what an incarnation of a worker says about itself, and refuses queued requests for which no worker is
    /// left. Returns whether that changes what is known.
    fn record_notice(
        &self,
        worker: &Worker,
        incarnation: Incarnation,
        notice: Notice,
        source: &str,
    ) -> bool {
        let mut inner = self.lock();
        let now = clock::now();
        let changed = inner
            .scheduler
            .record_notice(now, worker, incarnation, notice);
        if changed {
            let (service, incarnation) = (&self.service, incarnation.0);
            match notice {
                Notice::Leaving => {
                    spdlog::info!("worker says that it leaves", kv: {service:, worker:, incarnation, source});
                }
                Notice::Pause(pause) => {
                    let pause_ms = pause.as_millis();
                    spdlog::info!("worker asks for a pause", kv: {service:, worker:, incarnation, source, pause_ms});
                }
            }
            let actions = inner.scheduler.tick(now);
            inner.apply(now, actions);
        }
        changed
    }

    /// Applies `change` to the scheduler, and logs if it causes the worker to be avoided.
    fn update_suspicion<T>(
        &self,
        inner: &mut Inner,
        now: Instant,
        worker: &Worker,
        source: &str,
        change: impl FnOnce(&mut Scheduler) -> T,
    ) -> T {
        let before = inner.scheduler.is_avoided(now, worker);
        let changed = change(&mut inner.scheduler);
        if !before && inner.scheduler.is_avoided(now, worker) {
            let (service, doubt) = (&self.service, inner.scheduler.suspicion(now, worker));
            spdlog::info!("suspected worker avoided", kv: {service:, worker:, source, doubt});
        }
        changed
    }

    /// Queues the outcome of an attempt for other entries if it is relevant to them. When the channel is full the
    /// outcome is dropped, and the others detect the fault themselves.
    fn share_outcome(
        &self,
        inner: &Inner,
        now: Instant,
        reservation: &Reservation,
        outcome: Outcome,
    ) {
        let (worker, incarnation) = (&reservation.worker, reservation.incarnation);
        let finding = match outcome {
            Outcome::Failure => Finding::Failure,
            Outcome::Success
                if inner
                    .scheduler
                    .is_recovered_by(now, worker, reservation.started) =>
            {
                Finding::Success
            }
            _ => return,
        };
        let registration = inner.registrations.get(worker);
        if registration.is_some_and(|r| r.spec.incarnation == incarnation) {
            self.share(worker, incarnation, finding);
        }
    }

    /// Queues an observation for other entries.
    fn share(&self, worker: &Worker, incarnation: Incarnation, finding: Finding) {
        let observation = Observation {
            service: self.service.clone(),
            worker: worker.clone(),
            incarnation,
            finding,
        };
        if self.observations.try_send(observation).is_err() {
            spdlog::debug!("dropped an observation of {worker}: the queue is full");
        }
    }

    /// Records the load that a worker reports.
    pub fn record_load(&self, worker: &Worker, load: u32) {
        self.lock()
            .scheduler
            .record_load(clock::now(), worker, load);
    }

    /// Waits for a free slot of a worker, and takes it together with the budget of `charge`. Dropping the future removes
    /// the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns why there is no slot. The attempt then uses no budget.
    pub async fn admit(
        self: &Arc<Self>,
        request: Request,
        charge: Charge,
    ) -> Result<Reservation, Unplaced> {
        let id = request.id;
        let (receiver, withdrawal) = {
            let mut inner = self.lock();
            let now = clock::now();
            let withdrawal = inner.charge(now, request.rank, charge)?;
            let decision = inner.scheduler.offer(now, request);
            let displaced = inner.scheduler.take_displaced();
            inner.apply(now, displaced);
            match decision {
                Decision::Send(worker) => {
                    let reserved = inner.reserve(self, worker, now, withdrawal);
                    return reserved.map_err(Unplaced::Refused);
                }
                Decision::Refuse(refusal) => {
                    inner.give_back(withdrawal);
                    return Err(Unplaced::Refused(refusal));
                }
                Decision::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiters.insert(id, sender);
                    (receiver, withdrawal)
                }
            }
        };
        let mut waiting = QueuedRequest {
            dispatcher: Arc::clone(self),
            id,
            receiver,
            withdrawal,
            resolved: false,
        };
        let answer = (&mut waiting.receiver).await;
        waiting.resolved = true;
        let dropped = Refusal {
            reason: Reason::NoWorker,
            retry_after: Duration::ZERO,
        };
        let mut inner = self.lock();
        let (worker, started) = match answer.unwrap_or(Err(dropped)) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                inner.give_back(withdrawal);
                return Err(Unplaced::Refused(refusal));
            }
        };
        let now = clock::now();
        let renewed = withdrawal.map(|w| inner.retry_budget.renew(now, w).ok_or(Denied));
        match renewed.transpose() {
            Ok(renewed) => {
                let reserved = inner.reserve(self, worker, started, renewed);
                reserved.map_err(Unplaced::Refused)
            }
            Err(denied) => {
                inner.release(now, &worker, started);
                Err(denied.into())
            }
        }
    }

    /// Returns whether all workers that the request may use want a pause from this entry.
    #[must_use]
    pub fn is_paused(&self, request: &Request) -> bool {
        let inner = self.lock();
        inner.scheduler.pause_left(clock::now(), request).is_some()
    }

    /// Returns the workers that this entry can't use although others may.
    #[must_use]
    pub fn unusable_workers(&self) -> Vec<Worker> {
        self.lock().scheduler.unusable_workers(clock::now())
    }

    /// Returns the workers at the given addresses.
    #[must_use]
    pub fn workers_at(&self, addresses: &HashSet<SocketAddr>) -> Vec<Worker> {
        let inner = self.lock();
        let registrations = inner.registrations.iter();
        let matching =
            registrations.filter(|(_, registration)| addresses.contains(&registration.address));
        matching.map(|(worker, _)| worker.clone()).collect()
    }

    /// Records a reservation that the coordinator made. Returns `None` if this entry does not know the worker, or if
    /// the worker said that it leaves or wants no requests. The budget of the reservation then stays used, for the
    /// attempt that this entry places itself.
    #[must_use]
    pub fn accept(
        self: &Arc<Self>,
        worker: &Worker,
        mut remote: RemoteReservation,
    ) -> Option<Reservation> {
        let now = clock::now();
        let mut inner = self.lock();
        remote.is_used = true;
        let incarnation = inner.registrations.get(worker)?.spec.incarnation;
        if let Some(hold) = inner.scheduler.hold(now, worker, incarnation) {
            remote.outcome = held_outcome(hold);
            return None;
        }
        inner.scheduler.reserve_at(now, worker);
        let mut reservation = inner.reserve(self, worker.clone(), now, None).ok()?;
        remote.is_used = false;
        reservation.remote = Some(remote);
        Some(reservation)
    }

    /// Reserves a slot of another worker without waiting, if one has a free slot, together with the budget of `charge`.
    ///
    /// # Errors
    ///
    /// Returns an error if the retry budget allows no extra attempt.
    pub fn try_reserve(
        self: &Arc<Self>,
        request: &Request,
        charge: Charge,
    ) -> Result<Option<Reservation>, Denied> {
        let now = clock::now();
        let mut inner = self.lock();
        let withdrawal = inner.charge(now, request.rank, charge)?;
        let Some(worker) = inner.scheduler.reserve_retry(now, request) else {
            inner.give_back(withdrawal);
            return Ok(None);
        };
        Ok(inner.reserve(self, worker, now, withdrawal).ok())
    }
}

impl Inner {
    /// Records a request in the retry budget, or takes the extra attempt that `charge` asks for.
    fn charge(
        &mut self,
        now: Instant,
        rank: Rank,
        charge: Charge,
    ) -> Result<Option<Withdrawal>, Denied> {
        if charge == Charge::Deposit {
            self.retry_budget.deposit_for(now, rank);
        }
        let withdrawn = charge.ask(rank).map(|ask| {
            let withdrawal = self.retry_budget.withdraw(now, ask);
            withdrawal.ok_or(Denied)
        });
        withdrawn.transpose()
    }

    fn give_back(&mut self, withdrawal: Option<Withdrawal>) {
        if let Some(withdrawal) = withdrawal {
            self.retry_budget.give_back(withdrawal);
        }
    }

    /// Releases a slot that no attempt uses.
    fn release(&mut self, now: Instant, worker: &Worker, started: Instant) {
        let outcome = Outcome::Cancelled;
        let actions = self.scheduler.finish(now, worker, started, outcome);
        self.apply(now, actions);
    }

    fn reserve(
        &mut self,
        dispatcher: &Arc<Dispatcher>,
        worker: Worker,
        started: Instant,
        withdrawal: Option<Withdrawal>,
    ) -> Result<Reservation, Refusal> {
        let unknown = Refusal {
            reason: Reason::NoWorker,
            retry_after: Duration::ZERO,
        };
        let Some(registration) = self.registrations.get(&worker) else {
            self.give_back(withdrawal);
            return Err(unknown);
        };
        Ok(Reservation {
            dispatcher: Arc::clone(dispatcher),
            address: registration.address,
            incarnation: registration.spec.incarnation,
            worker,
            started,
            outcome: Outcome::Cancelled,
            withdrawal,
            is_used: false,
            remote: None,
            is_released: false,
        })
    }

    fn apply(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            let (id, answer) = match action {
                Action::Send(id, worker) => (id, Ok((worker, now))),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            // A request that was dropped in the meantime releases its slot itself.
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(answer);
            }
        }
    }
}

/// A queued request. Dropping it removes it from the queue.
struct QueuedRequest {
    dispatcher: Arc<Dispatcher>,
    id: u64,
    receiver: oneshot::Receiver<Admitted>,
    /// Budget that the request holds while it waits.
    withdrawal: Option<Withdrawal>,
    resolved: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut inner = self.dispatcher.lock();
        inner.waiters.remove(&self.id);
        inner.give_back(self.withdrawal);
        if !inner.scheduler.cancel(self.id)
            && let Ok(Ok((worker, started))) = self.receiver.try_recv()
        {
            inner.release(clock::now(), &worker, started);
        }
    }
}

/// A slot of a worker that is reserved for one attempt. Dropping it releases the slot.
#[derive(Debug)]
pub struct Reservation {
    dispatcher: Arc<Dispatcher>,
    /// Worker that the attempt uses.
    pub worker: Worker,
    /// Address of the worker.
    pub address: SocketAddr,
    incarnation: Incarnation,
    started: Instant,
    outcome: Outcome,
    /// Budget of the extra attempt, if this entry granted it.
    withdrawal: Option<Withdrawal>,
    /// Whether the attempt was started. Otherwise its budget is given back.
    is_used: bool,
    /// The coordinator's reservation, if the coordinator made it.
    remote: Option<RemoteReservation>,
    /// Whether the slot was released before the end of the response.
    is_released: bool,
}

/// Returns the outcome of an attempt that was not made because of `hold`.
fn held_outcome(hold: Hold) -> Outcome {
    match hold {
        Hold::Left => Outcome::Gone,
        Hold::Paused(_) => Outcome::Cancelled,
    }
}

impl Reservation {
    /// Records what the worker says about itself, and tells other entries that it leaves. Returns whether that changes
    /// what is known.
    #[must_use]
    pub fn record_notice(&self, notice: Notice) -> bool {
        let (dispatcher, worker, incarnation) = (&self.dispatcher, &self.worker, self.incarnation);
        let changed = dispatcher.record_notice(worker, incarnation, notice, "response");
        if changed && notice == Notice::Leaving {
            dispatcher.share(worker, incarnation, Finding::Leaving);
        }
        changed
    }

    /// Releases the slot without an attempt if the worker must not get a request any more: it may have said so, or have
    /// left or restarted, after the slot was reserved.
    ///
    /// # Errors
    ///
    /// Returns the reason.
    pub fn check(self) -> Result<Self, Hold> {
        let now = clock::now();
        let inner = self.dispatcher.lock();
        let hold = inner.scheduler.hold(now, &self.worker, self.incarnation);
        drop(inner);
        match hold {
            Some(hold) => {
                self.finish(held_outcome(hold));
                Err(hold)
            }
            None => Ok(self),
        }
    }

    /// Records that the attempt is started, so that its budget is not given back.
    pub fn mark_used(&mut self) {
        self.is_used = true;
        if let Some(remote) = &mut self.remote {
            remote.is_used = true;
        }
    }

    /// Records the load that the worker reports at this entry.
    pub fn record_load(&self, load: u32) {
        self.dispatcher.record_load(&self.worker, load);
    }

    /// Records the load that the worker reports, and passes it on to the coordinator.
    pub fn report_load(&mut self, load: u32) {
        self.record_load(load);
        if let Some(remote) = &mut self.remote {
            remote.load = Some(load);
        }
    }

    /// Releases the slot and records the outcome of the attempt.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Releases the slot while a successful response is transferred over a narrow link: the worker has finished
    /// processing, and the transfer takes longer than the processing. A response that breaks off later still counts as
    /// a failure of the worker.
    pub fn release(&mut self) {
        self.outcome = Outcome::Success;
        self.complete();
        self.outcome = Outcome::Cancelled;
        self.is_released = true;
    }

    fn complete(&mut self) {
        let mut inner = self.dispatcher.lock();
        let now = clock::now();
        if !self.is_used {
            inner.give_back(self.withdrawal.take());
        }
        match self.remote.take() {
            // The coordinator passes the outcome on to other entries.
            Some(mut remote) => remote.outcome = self.outcome,
            None => self
                .dispatcher
                .share_outcome(&inner, now, self, self.outcome),
        }
        let (worker, started, outcome) = (&self.worker, self.started, self.outcome);
        // The dispatch time identifies the reservation in the scheduler, so that start and finish must use the same
        // one.
        let actions =
            self.dispatcher
                .update_suspicion(&mut inner, now, worker, "attempt", |scheduler| {
                    scheduler.finish(now, worker, started, outcome)
                });
        inner.apply(now, actions);
    }

    /// Records that the response broke off after the slot was released.
    fn record_broken_transfer(&self) {
        let mut inner = self.dispatcher.lock();
        let now = clock::now();
        let worker = &self.worker;
        self.dispatcher
            .share_outcome(&inner, now, self, Outcome::Failure);
        self.dispatcher
            .update_suspicion(&mut inner, now, worker, "transfer", |scheduler| {
                scheduler.observe(now, worker, Evidence::Failure);
            });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        match (self.is_released, self.outcome) {
            (false, _) => self.complete(),
            (true, Outcome::Failure) => self.record_broken_transfer(),
            (true, _) => {}
        }
    }
}
