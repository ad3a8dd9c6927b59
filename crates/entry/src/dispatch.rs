//! Attempts of a request at the workers of a service.

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

use crate::answer::Refusal;
use crate::call::Call;
use crate::clock;
use crate::exchange::{Failed, Received, exchange, is_shed};
use crate::header as name;
use crate::instance::Instance;
use crate::passed::Answer;
use crate::peers::Withdrawal;
use crate::place::{Permit, Place};
use crate::serving::Serving;

/// Shortest and longest pause before a refused request is offered to the workers again.
const OFFER_PAUSE: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(50));

/// Factor of the pause by rank. Entries that share workers don't see each other's queues, so that a free slot goes to the
/// request that asks most often.
const OFFER_FACTOR: [u32; 3] = [1, 2, 4];

/// A request that got no response.
#[derive(Debug)]
pub struct Unanswered {
    /// Answer for the caller.
    pub refusal: Refusal,
    /// What is known about execution, over all attempts.
    pub executed: Executed,
    /// How the last attempt ended.
    pub verdict: Verdict,
}

/// Attempts of one request.
pub struct Attempts<'a> {
    /// The instance.
    pub instance: &'a Arc<Instance>,
    /// Service of the request.
    pub serving: &'a Arc<Serving>,
    /// The request.
    pub call: &'a Call,
    tried: HashSet<Worker>,
    stages: Vec<Stage>,
}

impl<'a> Attempts<'a> {
    /// Prepares the attempts.
    #[must_use]
    pub fn new(instance: &'a Arc<Instance>, serving: &'a Arc<Serving>, call: &'a Call) -> Self {
        Self {
            instance,
            serving,
            call,
            tried: HashSet::new(),
            stages: Vec::new(),
        }
    }

    /// Makes attempts until one is answered or no further one is allowed.
    ///
    /// # Errors
    ///
    /// Returns the caller's error, with what is known about execution.
    pub async fn run(mut self, permit: Permit) -> Result<Answer, Unanswered> {
        let started = Instant::now();
        match self.attempts().await {
            Ok(mut answer) => {
                // Shedding shows that too much is sent at once, also when another worker took the request.
                answer.ending.shed = self.stages.contains(&Stage::ShedByWorker);
                answer.ending.permit = Some(permit);
                Ok(answer)
            }
            Err(unanswered) => {
                permit.finish(unanswered.verdict, started.elapsed());
                Err(unanswered)
            }
        }
    }

    async fn attempts(&mut self) -> Result<Answer, Unanswered> {
        self.serving.deposit();
        let Some(mut place) = self.pick() else {
            let failed = self.no_worker();
            return Err(self.unanswered(failed));
        };
        loop {
            let outcome = self.attempt(place).await;
            match outcome {
                Ok(answer) => {
                    self.stages.push(Stage::Answered);
                    let next = answer.parts.status.is_server_error().then(|| self.next());
                    match next.flatten() {
                        Some(next) => place = next,
                        None => return Ok(answer),
                    }
                }
                Err(failed) => {
                    self.stages.push(failed.stage);
                    let next = if failed.stage == Stage::ShedByWorker {
                        self.offer_again().await
                    } else {
                        self.next()
                    };
                    match next {
                        Some(next) => place = next,
                        None => return Err(self.unanswered(failed)),
                    }
                }
            }
        }
    }

    fn pick(&mut self) -> Option<Place> {
        let place = self.serving.pick(&self.call.route, &self.tried)?;
        self.tried.insert(place.worker.clone());
        Some(place)
    }

    /// Returns the place for a further attempt, if one is allowed.
    fn next(&mut self) -> Option<Place> {
        let executed = execution::executed_in_any(&self.stages);
        let (left, typical) = (self.call.left(), self.serving.typical());
        if !retry::is_allowed(self.call.idempotent, executed, left, typical) {
            return None;
        }
        let place = self.pick()?;
        self.serving.withdraw().then_some(place)
    }

    /// Offers a request that a full worker refused to another worker; from the second refusal on, or when there is no
    /// other worker, after a pause.
    ///
    /// The request keeps its place in the admission meanwhile. A place given back after a refusal starts the next queued
    /// request into the same full workers, so that refusals empty the queues of all ranks alike. The pause bounds the
    /// offers, which need no retry budget.
    async fn offer_again(&mut self) -> Option<Place> {
        if self.call.source.is_dropped() {
            return None;
        }
        if execution::executed_in_any(&self.stages) != Executed::No {
            return self.next();
        }
        if self.stages.len() == 1
            && let Some(place) = self.pick()
        {
            return Some(place);
        }
        let typical = self.serving.typical();
        let (shortest, longest) = OFFER_PAUSE;
        let pause =
            (typical / 4).clamp(shortest, longest) * OFFER_FACTOR[self.call.settings.rank.index()];
        if self.call.left() < pause + typical {
            return None;
        }
        sleep(pause).await;
        self.tried.clear();
        self.pick()
    }

    async fn attempt(&self, place: Place) -> Result<Answer, Failed> {
        let started = Instant::now();
        let outcome = self.send(&place).await;
        let received = match outcome {
            Ok(received) => received,
            Err(failed) => {
                self.instance.meters.attempt(failed.verdict);
                if place.finish(failed.verdict, started.elapsed()) {
                    self.instance.suspects.notify_one();
                }
                return Err(failed);
            }
        };
        if is_shed(&received.parts) {
            self.instance.meters.attempt(Verdict::Shed);
            if place.finish(Verdict::Shed, received.latency) {
                self.instance.suspects.notify_one();
            }
            let context = "the worker refused the request";
            return Err(Failed {
                stage: Stage::ShedByWorker,
                verdict: Verdict::Shed,
                kind: Kind::RefusedByUpstream,
                context: context.to_owned(),
            });
        }
        let mut answer = Answer::new(self.instance, self.call, received, Some(place));
        self.instance.meters.attempt(answer.verdict());
        strip(&mut answer.parts.headers);
        Ok(answer)
    }

    async fn send(&self, place: &Place) -> Result<Received, Failed> {
        let attempt = self.instance.attempt_id();
        let Some(body) = self.call.source.replay() else {
            let context = "the request body is not kept";
            return Err(Failed::unsent(Kind::Internal, context));
        };
        let request = self.call.request(&attempt, body);
        let check = || self.check(place);
        let (pool, address) = (&self.instance.workers, place.address);
        let received = exchange(pool, address, self.call, request, check).await?;
        let headers = &received.parts.headers;
        let echoed = headers.get(name::ATTEMPT);
        let is_own = match echoed {
            Some(echoed) => echoed.as_bytes() == attempt.as_bytes(),
            // On a kept connection, the worker may have written an earlier refusal once more.
            None => !(received.lease.reused && is_shed(&received.parts)),
        };
        if !is_own {
            return Err(Failed {
                stage: Stage::Sent,
                verdict: Verdict::Truncated,
                kind: Kind::UpstreamBroken,
                context: "the response belongs to another attempt".to_owned(),
            });
        }
        self.note(place, headers, received.dispatched);
        Ok(received)
    }

    /// Checks right before dispatch that the worker may still be given work.
    fn check(&self, place: &Place) -> Result<(), Failed> {
        let service = &self.serving.name;
        let registry = self.instance.registry();
        let records = registry.workers(service);
        let same = |r: &&Record| r.worker == place.worker && r.incarnation == place.incarnation;
        // The proof of a restarted worker says nothing about its predecessor.
        let present = records.into_iter().any(|r| same(&r));
        if present && registry.has_proof(clock::now(), service, &place.worker) {
            return Ok(());
        }
        let context = format!("worker {} may be leaving", place.worker);
        Err(Failed::unsent(Kind::NoEligibleWorker, context))
    }

    /// Takes note of what the worker says about itself.
    fn note(&self, place: &Place, headers: &HeaderMap, dispatched: Instant) {
        let service = &self.serving.name;
        let state = headers.get(name::WORKER).map(HeaderValue::as_bytes);
        match state {
            Some(b"accepting") => self.instance.registry().witness(
                service,
                &place.worker,
                place.incarnation,
                dispatched.into_std(),
            ),
            Some(b"leaving") => {
                let message = Withdrawal {
                    service: service.clone(),
                    worker: place.worker.clone(),
                    incarnation: place.incarnation,
                };
                self.instance.spread_withdrawal(message);
                self.instance.sync(self.serving);
            }
            _ => {}
        }
        let load = headers.get(name::LOAD).and_then(|l| l.to_str().ok());
        if let Some(load) = load.and_then(|l| l.parse().ok()) {
            self.serving.report(&place.worker, load);
        }
    }

    fn no_worker(&self) -> Failed {
        if self.serving.is_unknown() {
            let context = format!("no worker of {} is known", self.serving.name);
            return Failed::unsent(Kind::UnknownService, context);
        }
        let context = format!("no worker of {} may take work", self.serving.name);
        Failed::unsent(Kind::NoEligibleWorker, context)
    }

    fn unanswered(&self, mut failed: Failed) -> Unanswered {
        // Offers to full workers end when the time is up; the refusals say more about the cause than the clock does.
        if failed.kind == Kind::DeadlineBeforeDispatch && self.stages.contains(&Stage::ShedByWorker)
        {
            failed.kind = Kind::RefusedByUpstream;
        }
        let executed = execution::executed_in_any(&self.stages);
        Unanswered {
            verdict: failed.verdict,
            refusal: refusal(failed, executed),
            executed,
        }
    }
}

/// Returns the caller's error; it never says "not executed" when an attempt may have run.
#[must_use]
pub fn refusal(failed: Failed, executed: Executed) -> Refusal {
    let mut kind = failed.kind;
    if kind.answer().executed == Executed::No && executed != Executed::No {
        kind = Kind::UpstreamBroken;
    }
    Refusal::new(kind, failed.context)
}

/// Removes what concerns only the worker and the entry.
fn strip(headers: &mut HeaderMap) {
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
