//! Dispatch of a request to the workers of a service, with retries.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_membership::worker::Record;
use chestnutvalve_model::error::{Executed, Kind};
use chestnutvalve_model::id::Worker;
use chestnutvalve_routing::execution::{self, Stage};
use chestnutvalve_routing::retry;
use chestnutvalve_routing::sample::Verdict;
use http::{HeaderMap, HeaderValue};
use tokio::time::{Instant, sleep};

use crate::call::Call;
use crate::clock;
use crate::exchange::{ExchangeError, Received, exchange, is_shed};
use crate::header as name;
use crate::instance::Instance;
use crate::local_reply::Refusal;
use crate::peers::Withdrawal;
use crate::relay::UpstreamResponse;
use crate::reservation::{Permit, Reservation};
use crate::service::ServiceState;

/// Minimum and maximum delay before a request that a worker shed is offered to the workers again.
const REOFFER_DELAY: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(50));

/// Factor of [`REOFFER_DELAY`] by rank. Entries that share workers don't see each other's queues, so a free slot goes to the
/// request that is offered most often.
const REOFFER_DELAY_FACTOR: [u32; 3] = [1, 2, 4];

/// Error of a request for which no attempt got a response.
#[derive(Debug)]
pub struct DispatchError {
    /// Refusal to return to the caller.
    pub refusal: Refusal,
    /// Whether the request was executed, combined over all attempts.
    pub executed: Executed,
    /// Verdict on the last attempt.
    pub verdict: Verdict,
}

/// Attempts of one request.
pub struct Attempts<'a> {
    /// Entry instance that makes the attempts.
    pub instance: &'a Arc<Instance>,
    /// Routing state of the requested service.
    pub service_state: &'a Arc<ServiceState>,
    /// Request to dispatch.
    pub call: &'a Call,
    tried: HashSet<Worker>,
    stages: Vec<Stage>,
}

impl<'a> Attempts<'a> {
    /// Prepares the attempts without sending anything.
    #[must_use]
    pub fn new(
        instance: &'a Arc<Instance>,
        service_state: &'a Arc<ServiceState>,
        call: &'a Call,
    ) -> Self {
        Self {
            instance,
            service_state,
            call,
            tried: HashSet::new(),
            stages: Vec::new(),
        }
    }

    /// Makes attempts until one gets a response or no retry is allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller and whether the request was executed.
    pub async fn run(mut self, permit: Permit) -> Result<UpstreamResponse, DispatchError> {
        let started = Instant::now();
        match self.run_attempts().await {
            Ok(mut response) => {
                // A shed attempt shows overload, even when another worker accepted the request.
                response.completion.shed = self.stages.contains(&Stage::ShedByWorker);
                response.completion.permit = Some(permit);
                Ok(response)
            }
            Err(error) => {
                permit.finish(error.verdict, started.elapsed());
                Err(error)
            }
        }
    }

    async fn run_attempts(&mut self) -> Result<UpstreamResponse, DispatchError> {
        self.service_state.deposit_retry();
        let Some(mut reservation) = self.reserve_untried() else {
            let error = self.no_worker_error();
            return Err(self.dispatch_error(error));
        };
        loop {
            let outcome = self.attempt(reservation).await;
            match outcome {
                Ok(response) => {
                    self.stages.push(Stage::Answered);
                    let next = response
                        .parts
                        .status
                        .is_server_error()
                        .then(|| self.reserve_retry());
                    match next.flatten() {
                        Some(next) => reservation = next,
                        None => return Ok(response),
                    }
                }
                Err(error) => {
                    self.stages.push(error.stage);
                    let next = if error.stage == Stage::ShedByWorker {
                        self.reoffer().await
                    } else {
                        self.reserve_retry()
                    };
                    match next {
                        Some(next) => reservation = next,
                        None => return Err(self.dispatch_error(error)),
                    }
                }
            }
        }
    }

    fn reserve_untried(&mut self) -> Option<Reservation> {
        let reservation = self.service_state.reserve(&self.call.route, &self.tried)?;
        self.tried.insert(reservation.worker.clone());
        Some(reservation)
    }

    /// Reserves a worker for a retry, if the request, the deadline and the retry budget allow one.
    fn reserve_retry(&mut self) -> Option<Reservation> {
        let executed = execution::executed_in_any(&self.stages);
        let (left, typical_latency) = (self.call.time_left(), self.service_state.typical_latency());
        if !retry::is_allowed(self.call.idempotent, executed, left, typical_latency)
            || self.call.source.check_replay().is_err()
        {
            return None;
        }
        let reservation = self.reserve_untried()?;
        self.service_state.withdraw_retry().then_some(reservation)
    }

    /// Reserves another worker for a request that a full worker shed. From the second shed attempt on, or when no other
    /// worker is left, it first waits for a delay.
    ///
    /// The request keeps its admission permit meanwhile. Releasing the permit after a shed attempt would start the next
    /// queued request against the same full workers, and sheds would drain the queues of all ranks alike. The delay limits
    /// the rate of these attempts, which need no retry budget.
    async fn reoffer(&mut self) -> Option<Reservation> {
        if self.call.source.check_replay().is_err() {
            return None;
        }
        if execution::executed_in_any(&self.stages) != Executed::No {
            return self.reserve_retry();
        }
        if self.stages.len() == 1
            && let Some(reservation) = self.reserve_untried()
        {
            return Some(reservation);
        }
        let typical_latency = self.service_state.typical_latency();
        let (min_delay, max_delay) = REOFFER_DELAY;
        let delay = (typical_latency / 4).clamp(min_delay, max_delay)
            * REOFFER_DELAY_FACTOR[self.call.settings.rank.index()];
        if self.call.time_left() < delay + typical_latency {
            return None;
        }
        sleep(delay).await;
        self.tried.clear();
        self.reserve_untried()
    }

    async fn attempt(&self, reservation: Reservation) -> Result<UpstreamResponse, ExchangeError> {
        let started = Instant::now();
        let outcome = self.send(&reservation).await;
        let received = match outcome {
            Ok(received) => received,
            Err(error) => {
                self.instance.meters.count_attempt(error.verdict);
                if reservation.finish(error.verdict, started.elapsed()) {
                    self.instance.grants_due.notify_one();
                }
                return Err(error);
            }
        };
        if is_shed(&received.parts) {
            self.instance.meters.count_attempt(Verdict::Shed);
            if reservation.finish(Verdict::Shed, received.latency) {
                self.instance.grants_due.notify_one();
            }
            let context = "the worker shed the request";
            return Err(ExchangeError {
                stage: Stage::ShedByWorker,
                verdict: Verdict::Shed,
                kind: Kind::RefusedByUpstream,
                context: context.to_owned(),
            });
        }
        let mut response =
            UpstreamResponse::new(self.instance, self.call, received, Some(reservation));
        self.instance.meters.count_attempt(response.verdict());
        remove_worker_headers(&mut response.parts.headers);
        Ok(response)
    }

    async fn send(&self, reservation: &Reservation) -> Result<Received, ExchangeError> {
        let attempt = self.instance.next_attempt_id();
        let body = self.call.source.replay()?;
        let request = self.call.attempt_request(&attempt, body);
        let check = || self.check_worker(reservation);
        let (pool, address) = (&self.instance.worker_pool, reservation.address);
        let received = exchange(pool, address, self.call, request, check).await?;
        let headers = &received.parts.headers;
        let echoed = headers.get(name::ATTEMPT);
        let matches_attempt = match echoed {
            Some(echoed) => echoed.as_bytes() == attempt.as_bytes(),
            // On a reused connection, the worker may have sent an earlier refusal a second time.
            None => !(received.lease.reused && is_shed(&received.parts)),
        };
        if !matches_attempt {
            return Err(ExchangeError {
                stage: Stage::Sent,
                verdict: Verdict::Truncated,
                kind: Kind::UpstreamBroken,
                context: "the response belongs to another attempt".to_owned(),
            });
        }
        self.record_worker_headers(reservation, headers, received.dispatched);
        Ok(received)
    }

    /// Checks that the worker is still registered and has a fresh proof; called right before each dispatch.
    fn check_worker(&self, reservation: &Reservation) -> Result<(), ExchangeError> {
        let service = &self.service_state.name;
        let registry = self.instance.registry();
        let records = registry.workers(service);
        let same = |r: &&Record| {
            r.worker == reservation.worker && r.incarnation == reservation.incarnation
        };
        // A proof of a restarted worker does not cover its previous incarnation.
        let present = records.into_iter().any(|r| same(&r));
        if present && registry.has_proof(clock::now(), service, &reservation.worker) {
            return Ok(());
        }
        let context = format!(
            "worker {} has no fresh proof and may be leaving",
            reservation.worker
        );
        Err(ExchangeError::unsent(Kind::NoEligibleWorker, context))
    }

    /// Records the state and the load that the worker reports in its response headers.
    fn record_worker_headers(
        &self,
        reservation: &Reservation,
        headers: &HeaderMap,
        dispatched: Instant,
    ) {
        let service = &self.service_state.name;
        let state = headers.get(name::WORKER).map(HeaderValue::as_bytes);
        match state {
            Some(b"accepting") => self.instance.registry().record_proof(
                service,
                &reservation.worker,
                reservation.incarnation,
                dispatched.into_std(),
            ),
            Some(b"leaving") => {
                let message = Withdrawal {
                    service: service.clone(),
                    worker: reservation.worker.clone(),
                    incarnation: reservation.incarnation,
                };
                self.instance.propagate_withdrawal(message);
                self.instance.sync(self.service_state);
            }
            _ => {}
        }
        let load = headers.get(name::LOAD).and_then(|l| l.to_str().ok());
        if let Some(load) = load.and_then(|l| l.parse().ok()) {
            self.service_state.report_load(&reservation.worker, load);
        }
    }

    fn no_worker_error(&self) -> ExchangeError {
        if self.service_state.has_no_workers() {
            let context = format!("no worker of {} is registered", self.service_state.name);
            return ExchangeError::unsent(Kind::UnknownService, context);
        }
        let context = format!("no worker of {} is eligible", self.service_state.name);
        ExchangeError::unsent(Kind::NoEligibleWorker, context)
    }

    fn dispatch_error(&self, mut error: ExchangeError) -> DispatchError {
        // Repeated offers to full workers end at the deadline. The sheds describe the cause better than the deadline does.
        if error.kind == Kind::DeadlineBeforeDispatch && self.stages.contains(&Stage::ShedByWorker)
        {
            error.kind = Kind::RefusedByUpstream;
        }
        let executed = execution::executed_in_any(&self.stages);
        DispatchError {
            verdict: error.verdict,
            refusal: refusal(error, executed),
            executed,
        }
    }
}

/// Returns the refusal for the caller, which never says "not executed" when an attempt may have run.
#[must_use]
pub fn refusal(error: ExchangeError, executed: Executed) -> Refusal {
    let mut kind = error.kind;
    if kind.answer().executed == Executed::No && executed != Executed::No {
        kind = Kind::UpstreamBroken;
    }
    Refusal::new(kind, error.context)
}

/// Removes the headers that only the entry uses, and those between hops.
fn remove_worker_headers(headers: &mut HeaderMap) {
    name::remove_hop_by_hop(headers);
    for name in [
        name::ATTEMPT,
        name::ERROR,
        name::EXECUTED,
        name::LOAD,
        name::WORKER,
    ] {
        headers.remove(name);
    }
}
