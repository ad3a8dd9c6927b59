//! Treatment of one request: admission, attempts, answer.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::error::{Executed, Kind};
use chestnutvalve_model::id::Worker;
use chestnutvalve_routing::retry::Purpose;
use chestnutvalve_routing::schedule::{self, Outcome, Reason};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

use super::Gateway;
use super::attempt::{Failed, Received, attempt, fresh};
use super::coordinator;
use super::dispatcher::{Dispatcher, Reservation};
use super::inbound::{self, Inbound};
use super::relay::relay;
use crate::answer::{self, Body, Refusal};

/// Attempts that reached no worker which are made beside the attempts of the route.
const MAX_UNSENT: usize = 3;
/// Time for which a request waits for the first route table. After a restart of all processes it comes 0.6 to 1.6 s after the
/// start, as the first entries start a second before a majority of the control instances.
const FIRST_ROUTES: Duration = Duration::from_secs(2);
/// Time that is left of the caller's deadline when it is told that there is no route table: a short request still has time to
/// run elsewhere.
const OTHER_ENTRY: Duration = Duration::from_millis(200);
/// Workers with an open connection that are named to a coordinator; more make the question longer than they are worth.
const MAX_CONNECTED: usize = 16;
/// Time before the deadline at which the caller gets the answer that there is none, for the way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Answers a request that arrived at `arrived`.
pub async fn handle(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    arrived: Instant,
) -> Response<Body> {
    let id = request.headers().get(&gateway.settings.dialect.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let id = id.to_owned();
    first_routes(gateway, &request, arrived).await;
    gateway.sync();
    let inbound = match Inbound::read(gateway, request, arrived) {
        Ok(inbound) => inbound,
        Err(refusal) => {
            let (code, cause) = (refusal.fault.kind.answer().code, &refusal.fault.context);
            let waited_ms = arrived.elapsed().as_millis();
            spdlog::info!("not routed", kv: {id:, code, cause:, waited_ms});
            gateway.instance.meters.refusal(refusal.fault.kind);
            return respond(gateway, &refusal);
        }
    };
    let mut exchange = Exchange::new(gateway, &inbound);
    let outcome = exchange.run().await;
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
    meters.routed(service, inbound.route.rank, outcome_name, elapsed, waited);
    match outcome {
        Ok(received) => {
            let (status, worker) = (received.parts.status.as_u16(), &received.reservation.worker);
            spdlog::info!(
                "answered", kv: {id:, route:, service:, worker:, status, attempts, waited_ms = waited.as_millis(), took_ms = took, label = inbound.label}
            );
            let link = gateway.link(inbound.route.kind);
            relay(received, &inbound.source, inbound.deadline, link)
        }
        Err(refusal) => {
            let (code, cause) = (refusal.fault.kind.answer().code, &refusal.fault.context);
            spdlog::info!(
                "not answered", kv: {id:, route:, service:, code, cause:, attempts, waited_ms = waited.as_millis(), took_ms = took, label = inbound.label}
            );
            meters.refusal(refusal.fault.kind);
            respond(gateway, &refusal)
        }
    }
}

/// Waits for the first route table of an entry that has just started; others have one.
async fn first_routes(gateway: &Gateway, request: &Request<Incoming>, arrived: Instant) {
    let mut states = gateway.instance.follow.subscribe();
    let known = states.wait_for(|state| state.routes.label > 0);
    // A malformed deadline is refused when the request is read.
    let patience = inbound::stated(&gateway.settings.dialect, request.headers());
    let patience = patience.unwrap_or_default();
    let most = patience.map_or(FIRST_ROUTES, |time| time.saturating_sub(OTHER_ENTRY));
    // Without a table after this time the request is refused.
    let _ = timeout_at(arrived + most.min(FIRST_ROUTES), known).await;
}

/// Returns the response of a refusal.
fn respond(gateway: &Gateway, refusal: &Refusal) -> Response<Body> {
    let dialect = &gateway.settings.dialect;
    let mut response = answer::refusal(refusal);
    if let Some(after) = refusal.retry_after {
        let value = (dialect.format_retry_after)(after);
        response.headers_mut().insert(&dialect.retry_after, value);
    }
    response
}

/// Attempts of one request.
struct Exchange<'a> {
    gateway: &'a Arc<Gateway>,
    inbound: &'a Inbound,
    dispatcher: Arc<Dispatcher>,
    tried: Vec<Worker>,
    /// Attempts that may have been executed.
    sent: u8,
    unsent: usize,
    executed: Executed,
    waited: Duration,
}

impl<'a> Exchange<'a> {
    fn new(gateway: &'a Arc<Gateway>, inbound: &'a Inbound) -> Self {
        let dispatcher = gateway.dispatcher(&inbound.service);
        dispatcher.deposit();
        Self {
            gateway,
            inbound,
            dispatcher,
            tried: Vec::new(),
            sent: 0,
            unsent: 0,
            executed: Executed::No,
            waited: Duration::ZERO,
        }
    }

    async fn run(&mut self) -> Result<Received, Refusal> {
        let mut reservation = self.admit().await?;
        loop {
            let raced = self.race(reservation).await;
            let failed = match raced {
                Ok(received) => {
                    if !received.parts.status.is_server_error() {
                        return Ok(received);
                    }
                    self.executed = Executed::Unknown;
                    let (id, worker) = (&self.inbound.id, &received.reservation.worker);
                    let status = received.parts.status.as_u16();
                    spdlog::info!("attempt answered with an error", kv: {id:, worker:, status});
                    match self.next(Purpose::Retry).await {
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
            reservation = self.after(failed).await?;
        }
    }

    /// Returns the place of the next attempt after a failed one.
    async fn after(&mut self, failed: Failed) -> Result<Reservation, Refusal> {
        let (id, attempt) = (&self.inbound.id, self.tried.len());
        let (worker, left_ms) = (self.tried.last(), self.inbound.left().as_millis());
        let worker = worker.map_or("none", Worker::as_str);
        spdlog::info!("attempt failed", kv: {id:, attempt, worker, failed:?, left_ms});
        match failed {
            Failed::Unreached(cause) => {
                self.sent = self.sent.saturating_sub(1);
                self.unsent += 1;
                // What reached no worker is no further attempt, and costs no budget.
                let again = self.unsent <= MAX_UNSENT;
                self.elsewhere(again, Kind::NoEligibleWorker, cause).await
            }
            Failed::NotExecuted(cause) => {
                self.sent = self.sent.saturating_sub(1);
                self.unsent += 1;
                let again = self.unsent <= MAX_UNSENT && self.dispatcher.withdraw(Purpose::Retry);
                self.elsewhere(again, Kind::RefusedByUpstream, cause).await
            }
            Failed::Unknown(cause) => {
                self.executed = Executed::Unknown;
                self.next(Purpose::Retry)
                    .await
                    .ok_or_else(|| Refusal::new(Kind::UpstreamBroken, cause))
            }
            Failed::Timeout => {
                self.executed = Executed::Unknown;
                let context = "no complete response in time";
                Err(Refusal::new(Kind::UpstreamTimeout, context))
            }
        }
    }

    /// Takes a place at another worker for a request that the last one did not execute.
    async fn elsewhere(
        &mut self,
        again: bool,
        kind: Kind,
        cause: String,
    ) -> Result<Reservation, Refusal> {
        let may = self.inbound.route.kind.is_idempotent() || self.executed == Executed::No;
        if !again || !may {
            return Err(self.refused(kind, cause, None));
        }
        match self.place().await {
            Some(reservation) => Ok(reservation),
            None => self.admit().await,
        }
    }

    /// Waits for a place at a worker.
    async fn admit(&mut self) -> Result<Reservation, Refusal> {
        let asked = Instant::now();
        let admitted = coordinator::admit(self.gateway, &self.dispatcher, self.request()).await;
        self.waited += asked.elapsed();
        let reservation = admitted.map_err(|refusal| {
            let schedule::Refusal {
                reason,
                retry_after,
            } = refusal;
            let (kind, cause) = match reason {
                Reason::NoWorker => (Kind::NoEligibleWorker, "no worker may take the request"),
                Reason::Overload => (Kind::Overloaded, "it could not be answered in time"),
            };
            self.refused(kind, cause, Some(retry_after))
        })?;
        self.note(&reservation);
        Ok(reservation)
    }

    /// Takes a place for a further attempt of a request that may run more than once, if the budget allows it.
    async fn next(&mut self, purpose: Purpose) -> Option<Reservation> {
        if !self.inbound.route.kind.is_idempotent() {
            return None;
        }
        match self.further(purpose).await {
            Ok(reservation) => {
                self.note(&reservation);
                Some(reservation)
            }
            Err(cause) => {
                let (id, attempts) = (&self.inbound.id, self.sent);
                let left_ms = self.inbound.left().as_millis();
                spdlog::info!("no further attempt", kv: {id:, cause, attempts, left_ms});
                None
            }
        }
    }

    /// Returns a place for a further attempt, or why there is none.
    async fn further(&self, purpose: Purpose) -> Result<Reservation, &'static str> {
        let inbound = self.inbound;
        if self.sent >= inbound.route.attempts {
            return Err("the attempts of the route are used up");
        }
        if inbound.left() <= self.dispatcher.typical() {
            return Err("the time left is too short");
        }
        if inbound.source.is_dropped() {
            return Err("the request body is not kept");
        }
        if purpose == Purpose::Hedge {
            let reservation =
                coordinator::another(self.gateway, &self.dispatcher, &self.request()).await;
            let reservation = reservation.ok_or("no other worker has room")?;
            // Without budget the place is given back, and no attempt was made.
            let allowed = self.dispatcher.withdraw(purpose);
            return allowed
                .then_some(reservation)
                .ok_or("the retry budget is empty");
        }
        if !self.dispatcher.withdraw(purpose) {
            return Err("the retry budget is empty");
        }
        // The request fails without another attempt, so that waiting for a place is worth it.
        let reservation = coordinator::admit(self.gateway, &self.dispatcher, self.request()).await;
        reservation.map_err(|_| "no other worker could answer in time")
    }

    async fn place(&mut self) -> Option<Reservation> {
        let reservation =
            coordinator::another(self.gateway, &self.dispatcher, &self.request()).await?;
        self.note(&reservation);
        Some(reservation)
    }

    fn note(&mut self, reservation: &Reservation) {
        self.tried.push(reservation.worker.clone());
        self.sent += 1;
    }

    fn request(&self) -> schedule::Request {
        let inbound = self.inbound;
        let target = Duration::from_millis(inbound.route.target_ms);
        schedule::Request {
            id: self.gateway.ticket(),
            rank: inbound.route.rank,
            download: inbound.route.kind == chestnutvalve_model::routes::Kind::Download,
            at_most_once: !inbound.route.kind.is_idempotent(),
            target: (inbound.arrived + target).into_std(),
            deadline: (inbound.deadline - ANSWER_MARGIN).into_std(),
            tried: self.tried.clone(),
            connected: self.connected(),
        }
    }

    /// Returns the workers to which a kept connection is open that the request may use.
    fn connected(&self) -> Vec<Worker> {
        let fresh = fresh(&self.dispatcher, self.inbound.route.kind);
        let kept = self.gateway.pool.kept_for(fresh);
        let mut workers = self.dispatcher.at(&kept);
        workers.truncate(MAX_CONNECTED);
        workers
    }

    /// Exchanges the request with one worker, and with a second one when the first is unusually late. The first good
    /// answer counts; the other exchange is cancelled.
    async fn race(&mut self, reservation: Reservation) -> Result<Received, Failed> {
        let (gateway, inbound) = (self.gateway, self.inbound);
        let slow = self.dispatcher.slow();
        let worker = reservation.worker.clone();
        let mut first = std::pin::pin!(attempt(gateway, inbound, reservation));
        tokio::select! {
            outcome = &mut first => return outcome,
            () = sleep(slow) => self.dispatcher.late(&worker),
        }
        let Some(second) = self.next(Purpose::Hedge).await else {
            return first.await;
        };
        let mut second = std::pin::pin!(attempt(gateway, inbound, second));
        let good = |outcome: &Result<Received, Failed>| {
            let received = outcome.as_ref();
            received.is_ok_and(|r| !r.parts.status.is_server_error())
        };
        let (outcome, first_ended) = tokio::select! {
            outcome = &mut first => (outcome, true),
            outcome = &mut second => (outcome, false),
        };
        if good(&outcome) {
            return outcome;
        }
        // The one that ended says nothing about the other, which may still be running.
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
            Err(Failed::NotExecuted(cause) | Failed::Unreached(cause)) => {
                Err(Failed::Unknown(cause))
            }
            other => other,
        }
    }

    /// Builds a refusal that never says "not executed" when an attempt may have run.
    fn refused(
        &self,
        kind: Kind,
        cause: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Refusal {
        if self.executed != Executed::No {
            return Refusal::new(Kind::UpstreamBroken, cause);
        }
        let mut refusal = Refusal::new(kind, cause);
        refusal.retry_after = Some(retry_after.unwrap_or(self.dispatcher.typical()));
        refusal
    }
}
