//! Lane of one service: the schedule, its waiting requests and its retry allowance.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Service, Worker, Zone};
use chestnutvalve_routing::retry::{Bounds, Purpose, WindowBudget};
use chestnutvalve_routing::schedule::{
    Action, Decision, Evidence, Outcome, Reason, Refusal, Request, Scheduler, Spec,
};
use tokio::sync::{mpsc, oneshot};

use super::coordinator::Place;
use super::observation::Observation;
use crate::clock;

/// A registered worker.
#[derive(Clone, Debug)]
pub struct Member {
    /// Properties for the schedule.
    pub spec: Spec,
    /// Address at which it takes requests.
    pub address: SocketAddr,
}

/// Worker and instant of the dispatch, or the refusal of a waiting request.
type Answer = Result<(Worker, Instant), Refusal>;

/// Lane of one service.
#[derive(Debug)]
pub struct Dispatcher {
    /// Name of the service.
    pub service: Service,
    inner: Mutex<Inner>,
    observations: mpsc::Sender<Observation>,
}

#[derive(Debug)]
struct Inner {
    schedule: Scheduler,
    members: BTreeMap<Worker, Member>,
    waiters: HashMap<u64, oneshot::Sender<Answer>>,
    allowance: WindowBudget,
    /// When a kept connection last broke as it was used.
    lost: Option<Instant>,
}

impl Dispatcher {
    /// Creates the lane of a service at an entry in `zone`; what it sees of workers goes to `sightings`.
    #[must_use]
    pub fn new(
        service: Service,
        zone: Zone,
        budget: Bounds,
        observations: mpsc::Sender<Observation>,
    ) -> Self {
        let inner = Inner {
            schedule: Scheduler::new(zone),
            members: BTreeMap::new(),
            waiters: HashMap::new(),
            allowance: WindowBudget::new(budget),
            lost: None,
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

    /// Brings the workers, this entry's part of the budget, the number of entries and, if this one coordinates, the share of
    /// the zone's workers that must stay in use in line with the state.
    pub fn sync(
        &self,
        members: &BTreeMap<Worker, Member>,
        budget: Bounds,
        entries: u32,
        floor: Option<f64>,
    ) {
        let now = clock::now();
        let specs: Vec<(Worker, Spec)> = members
            .iter()
            .map(|(worker, member)| (worker.clone(), member.spec.clone()))
            .collect();
        let mut inner = self.lock();
        inner.schedule.sync_workers(now, &specs, entries);
        inner.schedule.set_floor(floor);
        inner.members.clone_from(members);
        inner.allowance.configure(budget);
        let actions = inner.schedule.tick(now);
        inner.act(now, actions);
    }

    /// Looks at the queue.
    pub fn tick(&self, now: Instant) {
        let mut inner = self.lock();
        if inner.schedule.queue_len() > 0 {
            let actions = inner.schedule.tick(now);
            inner.act(now, actions);
        }
    }

    /// Counts a request of a caller, which earns a part of a further attempt.
    pub fn deposit(&self) {
        self.lock().allowance.deposit(clock::now());
    }

    /// Takes one further attempt; returns whether there was one.
    #[must_use]
    pub fn withdraw(&self, purpose: Purpose) -> bool {
        self.lock().allowance.try_withdraw(clock::now(), purpose)
    }

    /// Returns the time after which a response is unusually late.
    #[must_use]
    pub fn slow(&self) -> Duration {
        self.lock().schedule.hedge_delay()
    }

    /// Records that a kept connection broke when it was used.
    pub fn lose_connection(&self) {
        self.lock().lost = Some(clock::now());
    }

    /// Returns whether a kept connection broke within `memory`.
    #[must_use]
    pub fn has_lost_connection(&self, memory: Duration) -> bool {
        let now = clock::now();
        let lost = self.lock().lost;
        lost.is_some_and(|at| now.saturating_duration_since(at) < memory)
    }

    /// Returns the usual response time.
    #[must_use]
    pub fn typical(&self) -> Duration {
        self.lock().schedule.typical_latency()
    }

    /// Records that a request is unusually late at a worker.
    pub fn late(&self, worker: &Worker) {
        let mut inner = self.lock();
        inner.schedule.observe(clock::now(), worker, Evidence::Late);
    }

    /// Records what another entry has seen of a run of a worker.
    pub fn hear(&self, observation: &Observation) {
        let mut inner = self.lock();
        let member = inner.members.get(&observation.worker);
        if member.is_some_and(|m| m.spec.incarnation == observation.incarnation) {
            let (worker, evidence) = (&observation.worker, observation.evidence());
            let now = clock::now();
            self.watched(&mut inner, now, worker, "other entry", |schedule| {
                schedule.observe(now, worker, evidence);
            });
        }
    }

    /// Changes what is known of a worker, and logs whether it is avoided from now on.
    fn watched<T>(
        &self,
        inner: &mut Inner,
        now: Instant,
        worker: &Worker,
        source: &str,
        change: impl FnOnce(&mut Scheduler) -> T,
    ) -> T {
        let before = inner.schedule.is_avoided(now, worker);
        let changed = change(&mut inner.schedule);
        if !before && inner.schedule.is_avoided(now, worker) {
            let (service, doubt) = (&self.service, inner.schedule.suspicion(now, worker));
            spdlog::info!("worker avoided", kv: {service:, worker:, source, doubt});
        }
        changed
    }

    /// Passes on what an attempt has shown, if other entries should know. A full channel loses it: the others then find
    /// out for themselves.
    fn share(&self, inner: &Inner, now: Instant, worker: &Worker, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Failure => true,
            Outcome::Success if inner.schedule.is_suspect(now, worker) => false,
            _ => return,
        };
        let Some(member) = inner.members.get(worker) else {
            return;
        };
        let observation = Observation {
            service: self.service.clone(),
            worker: worker.clone(),
            incarnation: member.spec.incarnation,
            failed,
        };
        if self.observations.try_send(observation).is_err() {
            spdlog::debug!("a observation of {worker} is not passed on: too many wait");
        }
    }

    /// Records the load that a worker reports.
    pub fn report(&self, worker: &Worker, load: u32) {
        self.lock().schedule.record_load(clock::now(), worker, load);
    }

    /// Waits for a place at a worker; gives up the place in the queue when dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the schedule.
    pub async fn admit(self: &Arc<Self>, request: Request) -> Result<Reservation, Refusal> {
        let id = request.id;
        let receiver = {
            let mut inner = self.lock();
            let now = clock::now();
            match inner.schedule.offer(now, request) {
                Decision::Send(worker) => return inner.reservation(self, worker, now),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiters.insert(id, sender);
                    receiver
                }
            }
        };
        let mut waiting = Waiting {
            dispatcher: Arc::clone(self),
            id,
            receiver,
            answered: false,
        };
        let answer = (&mut waiting.receiver).await;
        waiting.answered = true;
        let lost = Refusal {
            reason: Reason::NoWorker,
            retry_after: Duration::ZERO,
        };
        let (worker, started) = answer.unwrap_or(Err(lost))?;
        self.lock().reservation(self, worker, started)
    }

    /// Returns the workers to which connections failed lately.
    #[must_use]
    pub fn unreachable(&self) -> Vec<Worker> {
        self.lock().schedule.unreachable_workers(clock::now())
    }

    /// Returns the workers at some addresses.
    #[must_use]
    pub fn at(&self, addresses: &HashSet<SocketAddr>) -> Vec<Worker> {
        let inner = self.lock();
        let members = inner.members.iter();
        let there = members.filter(|(_, member)| addresses.contains(&member.address));
        there.map(|(worker, _)| worker.clone()).collect()
    }

    /// Takes the place at a worker that the coordinator gave; `None` if this entry does not know the worker.
    #[must_use]
    pub fn reserve_granted(self: &Arc<Self>, worker: &Worker, place: Place) -> Option<Reservation> {
        let now = clock::now();
        let mut inner = self.lock();
        inner.schedule.reserve_at(now, worker);
        let mut reservation = inner.reservation(self, worker.clone(), now).ok()?;
        reservation.place = Some(place);
        Some(reservation)
    }

    /// Takes a place at another worker at once, if one has room.
    #[must_use]
    pub fn another(self: &Arc<Self>, request: &Request) -> Option<Reservation> {
        let now = clock::now();
        let mut inner = self.lock();
        let worker = inner.schedule.reserve_retry(now, request)?;
        inner.reservation(self, worker, now).ok()
    }
}

impl Inner {
    fn reservation(
        &self,
        dispatcher: &Arc<Dispatcher>,
        worker: Worker,
        started: Instant,
    ) -> Result<Reservation, Refusal> {
        let gone = Refusal {
            reason: Reason::NoWorker,
            retry_after: Duration::ZERO,
        };
        let member = self.members.get(&worker).ok_or(gone)?;
        Ok(Reservation {
            dispatcher: Arc::clone(dispatcher),
            address: member.address,
            worker,
            started,
            outcome: Outcome::Cancelled,
            place: None,
            is_released: false,
        })
    }

    fn act(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            let (id, answer) = match action {
                Action::Send(id, worker) => (id, Ok((worker, now))),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            // A request that was dropped meanwhile gives its place back itself.
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(answer);
            }
        }
    }
}

/// A request in the queue.
struct Waiting {
    dispatcher: Arc<Dispatcher>,
    id: u64,
    receiver: oneshot::Receiver<Answer>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let mut inner = self.dispatcher.lock();
        inner.waiters.remove(&self.id);
        if !inner.schedule.cancel(self.id)
            && let Ok(Ok((worker, started))) = self.receiver.try_recv()
        {
            let now = clock::now();
            let outcome = Outcome::Cancelled;
            let actions = inner.schedule.finish(now, &worker, started, outcome);
            inner.act(now, actions);
        }
    }
}

/// Place of one attempt at a worker; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    dispatcher: Arc<Dispatcher>,
    /// Worker of the attempt.
    pub worker: Worker,
    /// Address of the worker.
    pub address: SocketAddr,
    started: Instant,
    outcome: Outcome,
    /// Place that the coordinator gave, if it did.
    place: Option<Place>,
    /// Whether the place was given back before the end of the response.
    is_released: bool,
}

impl Reservation {
    /// Records the load that the worker reports.
    pub fn report(&self, load: u32) {
        self.dispatcher.report(&self.worker, load);
    }

    /// Records the load that the worker reports, also for the coordinator.
    pub fn report_to_all(&mut self, load: u32) {
        self.report(load);
        if let Some(place) = &mut self.place {
            place.load = Some(load);
        }
    }

    /// Gives the place back with what the attempt says about the worker.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Gives the place back while a good response is on its way over a narrow link: the worker has ended its run, and the
    /// transfer takes longer than that. A response that breaks off later still counts against the worker.
    pub fn release(&mut self) {
        self.outcome = Outcome::Success;
        self.end();
        self.outcome = Outcome::Cancelled;
        self.is_released = true;
    }

    fn end(&mut self) {
        let mut inner = self.dispatcher.lock();
        let now = clock::now();
        match self.place.take() {
            // The coordinator tells the others.
            Some(mut place) => place.outcome = self.outcome,
            None => self
                .dispatcher
                .share(&inner, now, &self.worker, self.outcome),
        }
        let (worker, started, outcome) = (&self.worker, self.started, self.outcome);
        // The instant of the dispatch identifies a place, so that both steps must use the same.
        let actions = self
            .dispatcher
            .watched(&mut inner, now, worker, "attempt", |schedule| {
                schedule.finish(now, worker, started, outcome)
            });
        inner.act(now, actions);
    }

    /// Records that the response broke off after the place was given back.
    fn broken_off(&self) {
        let mut inner = self.dispatcher.lock();
        let now = clock::now();
        let worker = &self.worker;
        self.dispatcher.share(&inner, now, worker, Outcome::Failure);
        self.dispatcher
            .watched(&mut inner, now, worker, "transfer", |schedule| {
                schedule.observe(now, worker, Evidence::Failure);
            });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        match (self.is_released, self.outcome) {
            (false, _) => self.end(),
            (true, Outcome::Failure) => self.broken_off(),
            (true, _) => {}
        }
    }
}
