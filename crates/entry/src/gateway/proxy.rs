//! Handling of one request: admission, attempts and response.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::error::{Executed, Kind};
use chestnutvalve_model::id::Worker;
use chestnutvalve_routing::retry::Purpose;
use chestnutvalve_routing::schedule::{self, Outcome, Reason};
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::Gateway;
use super::attempt::{AttemptError, Received, attempt, max_idle_time};
use super::charge::Charge;
use super::coordinator;
use super::dispatcher::{Denied, Dispatcher, Reservation, Unplaced};
use super::inbound::{self, Inbound};
use super::quota::Permit;
use super::relay::relay;
use crate::holding::Holder;
use crate::local_reply::{self, Body, Refusal};
use crate::replay::Unavailable;

/// Maximum number of attempts that no worker executed, in addition to the attempts of the route.
const MAX_UNEXECUTED_ATTEMPTS: usize = 3;
/// How long a request waits for the first route table. After a restart of all processes it arrives 0.6 to 1.6 s after
/// the start, because the first entries start a second before a majority of the control instances.
const FIRST_ROUTES_TIMEOUT: Duration = Duration::from_secs(2);
/// Time before the caller's deadline at which a request without a route table is refused, so that a short request still
/// has time to run at another entry.
const FAILOVER_MARGIN: Duration = Duration::from_millis(200);
/// Maximum number of connected workers that a query to a coordinator names. More would lengthen the query for little
/// benefit.
const MAX_CONNECTED: usize = 16;
/// Time before the deadline at which a request without a response is refused, so that the refusal reaches the caller in
/// time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// Typical response times that a second attempt beside a late one needs.
const HEDGE_TIME_FACTOR: f64 = 1.5;
/// Additional time for the query to the coordinator and the way back to the caller.
const HEDGE_MARGIN: Duration = Duration::from_millis(50);
/// Cause in the log of a retry or hedge that the retry budget does not allow.
const BUDGET_EXHAUSTED: &str = "the retry budget is exhausted";

/// Handles a request that arrived at `arrived` on the connection of `holder`.
pub async fn handle(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    arrived: Instant,
    holder: &Holder,
) -> Response<Body> {
    let id = request.headers().get(&gateway.settings.dialect.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let id = id.to_owned();
    wait_for_first_routes(gateway, &request, arrived).await;
    gateway.sync();
    let inbound = match Inbound::read(gateway, request, arrived, holder)
        .and_then(|inbound| check_memory(gateway, inbound))
    {
        Ok(inbound) => inbound.limit_deadline(gateway.answer_by()),
        Err(refusal) => {
            let (code, cause) = (refusal.fault.kind.answer().code, &refusal.fault.context);
            let waited_ms = arrived.elapsed().as_millis();
            // A flood of one of the events must not keep the other one out of the log, which limits lines by their text.
            if refusal.fault.kind == Kind::Unauthorized {
                spdlog::info!("not authenticated", kv: {id:, code, cause:, waited_ms});
            } else {
                spdlog::info!("not routed", kv: {id:, code, cause:, waited_ms});
            }
            gateway.instance.meters.count_refusal(refusal.fault.kind);
            return refusal_response(gateway, &refusal);
        }
    };
    let mut exchange = Exchange::new(gateway, &inbound);
    let outcome = tokio::select! {
        outcome = exchange.run() => Some(outcome),
        () = gateway.wait_for_answer_by() => None,
    };
    let outcome = outcome.unwrap_or_else(|| Err(exchange.stop_refusal()));
    let (attempts, waited) = (exchange.sent, exchange.waited);
    let (id, service, route) = (&inbound.id, &inbound.service, &inbound.route.name);
    let elapsed = arrived.elapsed();
    let took = elapsed.as_millis();
    let meters = &gateway.instance.meters;
    let outcome_name = match &outcome {
        Ok(received) if received.parts.status.is_server_error() => "failed",
        Ok(_) => "answered",
        Err(refusal) => refusal.fault.kind.answer().code,
    };
    meters.record_routed(service, inbound.rank, outcome_name, elapsed, waited);
    match outcome {
        Ok(received) => {
            let (status, worker) = (received.parts.status.as_u16(), &received.reservation.worker);
            spdlog::info!(
                "answered", kv: {id:, route:, service:, worker:, status, attempts, waited_ms = waited.as_millis(), took_ms = took, label = inbound.label}
            );
            let link = gateway.link(inbound.route.kind);
            relay(received, &inbound, link)
        }
        Err(refusal) => {
            let (code, cause) = (refusal.fault.kind.answer().code, &refusal.fault.context);
            spdlog::info!(
                "not answered", kv: {id:, route:, service:, code, cause:, attempts, waited_ms = waited.as_millis(), took_ms = took, label = inbound.label}
            );
            meters.count_refusal(refusal.fault.kind);
            refusal_response(gateway, &refusal)
        }
    }
}

/// Refuses a request for which there is no memory.
fn check_memory(gateway: &Gateway, inbound: Inbound) -> Result<Inbound, Refusal> {
    let Err(retry_after) = gateway.memory.admit(inbound.route.kind) else {
        return Ok(inbound);
    };
    gateway.instance.meters.count_memory_refusal();
    let cause = "the entry holds too many bytes for other requests";
    let mut refusal = Refusal::new(Kind::Overloaded, cause);
    refusal.retry_after = Some(retry_after);
    Err(refusal)
}

/// Waits for the first route table of an entry that has just started. Other entries already have one.
async fn wait_for_first_routes(gateway: &Gateway, request: &Request<Incoming>, arrived: Instant) {
    let mut states = gateway.instance.control_state.subscribe();
    let known = states.wait_for(|state| state.routes.label > 0);
    // A malformed deadline is refused when the request is read.
    let timeout = inbound::caller_timeout(&gateway.settings.dialect, request.headers());
    let timeout = timeout.unwrap_or_default();
    let max_wait = timeout.map_or(FIRST_ROUTES_TIMEOUT, |time| {
        time.saturating_sub(FAILOVER_MARGIN)
    });
    // If there is still no table after this time, the request is refused.
    let _ = timeout_at(arrived + max_wait.min(FIRST_ROUTES_TIMEOUT), known).await;
}

/// Returns the response that tells the caller of a refusal.
fn refusal_response(gateway: &Gateway, refusal: &Refusal) -> Response<Body> {
    let dialect = &gateway.settings.dialect;
    let mut response = local_reply::refusal(refusal);
    if refusal.fault.kind == Kind::Unauthorized {
        let scheme = HeaderValue::from_static(dialect.scheme);
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(after) = refusal.retry_after {
        let value = (dialect.format_retry_after)(after);
        response.headers_mut().insert(&dialect.retry_after, value);
    }
    response
}

/// State of the attempts of one request.
struct Exchange<'a> {
    gateway: &'a Arc<Gateway>,
    inbound: &'a Inbound,
    dispatcher: Arc<Dispatcher>,
    tried: Vec<Worker>,
    /// Number of attempts that a worker may have executed.
    sent: u8,
    unexecuted: usize,
    executed: Executed,
    waited: Duration,
    /// What the retry budget records for the first attempt.
    first_charge: Charge,
    /// Number of attempts after which a retry was last asked for.
    retry_asked_after: Option<usize>,
}

impl<'a> Exchange<'a> {
    fn new(gateway: &'a Arc<Gateway>, inbound: &'a Inbound) -> Self {
        let dispatcher = gateway.dispatcher(&inbound.service);
        // A coordinator counts the requests that it places.
        let first_charge = if gateway.coordinators(&inbound.service).is_empty() {
            dispatcher.deposit(inbound.rank);
            Charge::Nothing
        } else {
            Charge::Deposit
        };
        Self {
            gateway,
            inbound,
            dispatcher,
            tried: Vec::new(),
            sent: 0,
            unexecuted: 0,
            executed: Executed::No,
            waited: Duration::ZERO,
            first_charge,
            retry_asked_after: None,
        }
    }

    async fn run(&mut self) -> Result<Received, Refusal> {
        let permit = self.take_permit().await?;
        let admitted = self.admit(self.first_charge).await;
        let mut reservation = admitted.map_err(|unplaced| self.unplaced_refusal(unplaced))?;
        if let Some(permit) = permit {
            permit.spend();
        }
        loop {
            let attempted = self.attempt_hedged(reservation).await;
            let failed = match attempted {
                Ok(received) => {
                    if !received.parts.status.is_server_error() {
                        return Ok(received);
                    }
                    self.executed = Executed::Unknown;
                    let (id, worker) = (&self.inbound.id, &received.reservation.worker);
                    let status = received.parts.status.as_u16();
                    spdlog::info!("worker answered with a server error", kv: {id:, worker:, status});
                    match self.reserve_retry().await {
                        Some(next) => {
                            received.reservation.finish(Outcome::Failure);
                            reservation = next;
                            continue;
                        }
                        None => return Ok(received),
                    }
                }
                Err(failed) => failed,
            };
            reservation = self.reserve_after_failure(failed).await?;
        }
    }

    /// Takes a permit if the customer has a limit. It is given back if the request is refused before an attempt.
    async fn take_permit(&self) -> Result<Option<Permit>, Refusal> {
        let account = self.inbound.account.as_deref();
        let deadline = self.inbound.deadline - ANSWER_MARGIN;
        let taken = timeout_at(deadline, self.gateway.quota.take(account)).await;
        taken.unwrap_or_else(|_| {
            let cause = "no accountant of the customer's limit answered before the deadline";
            Err(self.refusal(Kind::NoEligibleWorker, cause, None))
        })
    }

    /// Reserves a slot for the next attempt after a failed one.
    async fn reserve_after_failure(
        &mut self,
        failed: AttemptError,
    ) -> Result<Reservation, Refusal> {
        let (id, attempt) = (&self.inbound.id, self.tried.len());
        let (worker, left_ms) = (self.tried.last(), self.inbound.time_left().as_millis());
        let worker = worker.map_or("none", Worker::as_str);
        spdlog::info!("attempt failed", kv: {id:, attempt, worker, failed:?, left_ms});
        match failed {
            AttemptError::Unreached(cause) => {
                self.sent = self.sent.saturating_sub(1);
                self.unexecuted += 1;
                // An attempt that reached no worker does not count as a retry and costs no budget.
                let charge = Charge::Nothing;
                self.reserve_elsewhere(charge, Kind::NoEligibleWorker, cause)
                    .await
            }
            AttemptError::NotExecuted(cause) => {
                self.sent = self.sent.saturating_sub(1);
                self.unexecuted += 1;
                let charge = self.retry_charge();
                self.reserve_elsewhere(charge, Kind::RefusedByUpstream, cause)
                    .await
            }
            AttemptError::Unknown(cause) => {
                self.executed = Executed::Unknown;
                self.reserve_retry()
                    .await
                    .ok_or_else(|| Refusal::new(Kind::UpstreamBroken, cause))
            }
            AttemptError::Timeout => {
                self.executed = Executed::Unknown;
                let context = "no complete response before the deadline";
                Err(Refusal::new(Kind::UpstreamTimeout, context))
            }
        }
    }

    /// Reserves a slot of another worker for a request that the last one did not execute.
    async fn reserve_elsewhere(
        &mut self,
        charge: Charge,
        kind: Kind,
        cause: String,
    ) -> Result<Reservation, Refusal> {
        let replay = self.inbound.source.check_replay();
        if replay == Err(Unavailable::Broken) {
            return Err(self.refusal(Kind::BadRequest, Unavailable::Broken.to_string(), None));
        }
        let may_repeat = self.inbound.route.kind.is_idempotent() || self.executed == Executed::No;
        let may_retry = self.unexecuted <= MAX_UNEXECUTED_ATTEMPTS;
        if !may_retry || !may_repeat || replay.is_err() {
            return Err(self.refusal(kind, cause, None));
        }
        let reserved = match self.try_reserve(charge).await {
            Ok(Some(reservation)) => return Ok(reservation),
            Ok(None) => self.admit(charge.repeated()).await,
            Err(Denied) => Err(Unplaced::Denied),
        };
        reserved.map_err(|unplaced| match unplaced {
            Unplaced::Refused(_) => self.unplaced_refusal(unplaced),
            Unplaced::Denied => {
                self.record_no_retry(BUDGET_EXHAUSTED);
                self.refusal(kind, cause, None)
            }
        })
    }

    /// Waits for a reservation.
    async fn admit(&mut self, charge: Charge) -> Result<Reservation, Unplaced> {
        let asked = Instant::now();
        let (gateway, dispatcher) = (self.gateway, &self.dispatcher);
        let admitted = coordinator::admit(gateway, dispatcher, self.request(), charge).await;
        self.waited += asked.elapsed();
        let reservation = admitted?;
        self.record_attempt(&reservation);
        Ok(reservation)
    }

    /// Builds the refusal of a request whose attempt got no slot.
    fn unplaced_refusal(&self, unplaced: Unplaced) -> Refusal {
        let (reason, retry_after) = match unplaced {
            Unplaced::Refused(refusal) => (refusal.reason, refusal.retry_after),
            Unplaced::Denied => return self.refusal(Kind::Overloaded, BUDGET_EXHAUSTED, None),
        };
        let (kind, cause) = match reason {
            Reason::NoWorker => (Kind::NoEligibleWorker, "no eligible worker"),
            Reason::Overload => (
                Kind::Overloaded,
                "the request could not be answered before its deadline",
            ),
            Reason::Paused => (
                Kind::Overloaded,
                "all workers want no requests until after the deadline",
            ),
        };
        self.refusal(kind, cause, Some(retry_after))
    }

    /// Returns the charge of a retry. What a late request was denied as its last chance is the same extra attempt.
    fn retry_charge(&mut self) -> Charge {
        let attempts = self.tried.len();
        let before = self.retry_asked_after.replace(attempts);
        Charge::Retry {
            is_repeated: before == Some(attempts),
        }
    }

    /// Logs why a failed request is not retried, and counts it if the retry budget is the reason.
    fn record_no_retry(&self, cause: &str) {
        let (id, attempts) = (&self.inbound.id, self.sent);
        let left_ms = self.inbound.time_left().as_millis();
        spdlog::info!("request not retried", kv: {id:, cause, attempts, left_ms});
        if cause == BUDGET_EXHAUSTED {
            self.count_denied(Purpose::Retry);
        }
    }

    fn count_denied(&self, purpose: Purpose) {
        let meters = &self.gateway.instance.meters;
        meters.count_denied_attempt(&self.inbound.service, purpose);
    }

    /// Reserves a slot for a retry of an idempotent request, if the retry budget allows it.
    async fn reserve_retry(&mut self) -> Option<Reservation> {
        if !self.inbound.route.kind.is_idempotent() {
            return None;
        }
        let reserved = match self.inbound.source.check_replay() {
            Ok(()) => self.try_reserve_retry().await.map_err(str::to_owned),
            Err(cause) => Err(cause.to_string()),
        };
        match reserved {
            Ok(reservation) => {
                self.record_attempt(&reservation);
                Some(reservation)
            }
            Err(cause) => {
                self.record_no_retry(&cause);
                None
            }
        }
    }

    /// Returns a reservation for a retry, or the reason why there is none.
    async fn try_reserve_retry(&mut self) -> Result<Reservation, &'static str> {
        let inbound = self.inbound;
        if self.sent >= inbound.route.attempts {
            return Err("the route's attempts are used up");
        }
        if inbound.time_left() <= self.dispatcher.typical_latency() {
            return Err("the time left is shorter than a typical response time");
        }
        // The request fails without another attempt, so that it is worth waiting for a slot.
        let (charge, request) = (self.retry_charge(), self.request());
        let reservation = coordinator::admit(self.gateway, &self.dispatcher, request, charge).await;
        reservation.map_err(|unplaced| match unplaced {
            Unplaced::Denied => BUDGET_EXHAUSTED,
            Unplaced::Refused(_) => "no other worker could answer before the deadline",
        })
    }

    async fn try_reserve(&mut self, charge: Charge) -> Result<Option<Reservation>, Denied> {
        let request = self.request();
        let reserved =
            coordinator::try_reserve(self.gateway, &self.dispatcher, &request, charge).await;
        if let Ok(Some(reservation)) = &reserved {
            self.record_attempt(reservation);
        }
        reserved
    }

    fn record_attempt(&mut self, reservation: &Reservation) {
        self.tried.push(reservation.worker.clone());
        self.sent += 1;
    }

    fn request(&self) -> schedule::Request {
        let inbound = self.inbound;
        let target = Duration::from_millis(inbound.route.target_ms);
        let customer = inbound.account.as_ref().map(|a| a.customer.as_str());
        // The last attempt of a route is lost if it fails, too. An entry without a coordinator knows few workers well enough.
        let is_last = self.sent.saturating_add(1) >= inbound.route.attempts
            && !self.gateway.coordinators(&inbound.service).is_empty();
        schedule::Request {
            id: self.gateway.next_request_id(),
            rank: inbound.rank,
            class: schedule::name_hash(&inbound.route.name),
            customer: customer.map(schedule::name_hash),
            download: inbound.route.kind == chestnutvalve_model::routes::Kind::Download,
            at_most_once: is_last || !inbound.route.kind.is_idempotent(),
            target: (inbound.arrived + target).into_std(),
            deadline: (inbound.deadline - ANSWER_MARGIN).into_std(),
            tried: self.tried.clone(),
            connected: self.connected(),
            remote: false,
        }
    }

    /// Returns the workers to which a connection is open that the request may reuse.
    fn connected(&self) -> Vec<Worker> {
        let max_idle = max_idle_time(&self.dispatcher, self.inbound.route.kind);
        let kept = self.gateway.pool.reusable_addresses(max_idle);
        let mut workers = self.dispatcher.workers_at(&kept);
        workers.truncate(MAX_CONNECTED);
        workers
    }

    /// Returns when to hedge an attempt that is late from `late_at`, and from which part of the retry budget: first when a
    /// second attempt is likely to meet the target, then when the request is about to fail without one.
    ///
    /// Without a coordinator, entries don't see each other's hedges, and a late response mostly means that the workers are
    /// full: hedges up to the deadline would use the budget that requests need which were turned away.
    fn hedge_times(&self, late_at: Instant) -> Vec<(Instant, Purpose)> {
        let inbound = self.inbound;
        if self.gateway.coordinators(&inbound.service).is_empty() {
            return vec![(late_at, Purpose::Hedge)];
        }
        let typical = self.dispatcher.typical_latency();
        let needed = typical.mul_f64(HEDGE_TIME_FACTOR) + HEDGE_MARGIN;
        let target = inbound.arrived + Duration::from_millis(inbound.route.target_ms);
        let before = |time: Instant| time.checked_sub(needed).unwrap_or(late_at).max(late_at);
        let last = before(inbound.deadline - ANSWER_MARGIN);
        vec![
            (before(target).min(last), Purpose::Hedge),
            (last, Purpose::Retry),
        ]
    }

    /// Reserves a slot for a second attempt beside one in progress, if one is free at once and the retry budget allows
    /// it.
    async fn reserve_hedge(&mut self, purpose: Purpose) -> Option<Reservation> {
        let inbound = self.inbound;
        let repeatable = inbound.route.kind.is_idempotent() && self.sent < inbound.route.attempts;
        if !repeatable || inbound.source.check_replay().is_err() {
            return None;
        }
        let charge = match purpose {
            Purpose::Hedge => Charge::Hedge,
            Purpose::Retry => self.retry_charge(),
        };
        let cause = match self.try_reserve(charge).await {
            Ok(Some(reservation)) => return Some(reservation),
            Ok(None) => "no other worker has a free slot",
            Err(Denied) => {
                self.count_denied(purpose);
                BUDGET_EXHAUSTED
            }
        };
        let (id, left_ms) = (&inbound.id, inbound.time_left().as_millis());
        let part = format!("{purpose:?}");
        spdlog::info!("late request not hedged", kv: {id:, part, cause, left_ms});
        None
    }

    /// Sends the request to one worker, and hedges it with a second one when the first response is late. The first
    /// success is used and the other exchange is cancelled.
    async fn attempt_hedged(&mut self, reservation: Reservation) -> Result<Received, AttemptError> {
        let (gateway, inbound) = (self.gateway, self.inbound);
        let late_at = Instant::now() + self.dispatcher.hedge_delay();
        let worker = reservation.worker.clone();
        let mut first = std::pin::pin!(attempt(gateway, inbound, reservation));
        tokio::select! {
            outcome = &mut first => return outcome,
            () = sleep_until(late_at) => self.dispatcher.record_late(&worker),
        }
        let mut second = None;
        for (at, purpose) in self.hedge_times(late_at) {
            if second.is_none() {
                tokio::select! {
                    outcome = &mut first => return outcome,
                    () = sleep_until(at) => {}
                }
                second = tokio::select! {
                    biased;
                    outcome = &mut first => return outcome,
                    second = self.reserve_hedge(purpose) => second,
                };
            }
        }
        let Some(second) = second else {
            return first.await;
        };
        let mut second = std::pin::pin!(attempt(gateway, inbound, second));
        let is_good = |outcome: &Result<Received, AttemptError>| {
            let received = outcome.as_ref();
            received.is_ok_and(|r| !r.parts.status.is_server_error())
        };
        let (outcome, first_ended) = tokio::select! {
            outcome = &mut first => (outcome, true),
            outcome = &mut second => (outcome, false),
        };
        if is_good(&outcome) {
            return outcome;
        }
        // The attempt that ended says nothing about the other one, which may still be running.
        self.executed = Executed::Unknown;
        if let Ok(received) = outcome {
            received.reservation.finish(Outcome::Failure);
        }
        let other = if first_ended {
            second.await
        } else {
            first.await
        };
        match other {
            Err(AttemptError::NotExecuted(cause) | AttemptError::Unreached(cause)) => {
                Err(AttemptError::Unknown(cause))
            }
            other => other,
        }
    }

    /// Builds the refusal of a request that is still in progress when this entry must end.
    fn stop_refusal(&self) -> Refusal {
        let cause = "this entry stops before the request can end";
        if self.sent > 0 {
            return Refusal::new(Kind::UpstreamTimeout, cause);
        }
        self.refusal(Kind::Draining, cause, None)
    }

    /// Builds a refusal that never says "not executed" if an attempt may have been executed.
    fn refusal(
        &self,
        kind: Kind,
        cause: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Refusal {
        if self.executed != Executed::No {
            return Refusal::new(Kind::UpstreamBroken, cause);
        }
        let mut refusal = Refusal::new(kind, cause);
        refusal.retry_after = Some(retry_after.unwrap_or(self.dispatcher.typical_latency()));
        refusal
    }
}
