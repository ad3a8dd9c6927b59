//! At-most-once execution of requests with an idempotency key.
//!
//! A claim in the ledger precedes the dispatch. From the claim on, the request runs in a task of its own, so that its
//! outcome is recorded for a resend even when the caller goes away.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_ledger::{Claimed, Command, Key, Outcome};
use chestnutvalve_model::error::{Executed, Kind};
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::Xxh3;

use crate::call::Call;
use crate::dispatch::Attempts;
use crate::instance::Instance;
use crate::local_reply::{self, Body, Refusal};
use crate::passed::Answer;
use crate::replay::MAX_REPLAY_BYTES;
use crate::serving::Serving;

/// Time for the ledger to confirm a claim. An election takes up to 0.6 s, and a second one may be needed.
const CLAIM_TIME: Duration = Duration::from_millis(1_500);
/// Time for one call to one control instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two tries of a call.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which recording an outcome or giving up a claim is tried in the background.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time for which the caller waits for the release of its claim, so that its next try finds the key free.
const RELEASE_WAIT: Duration = Duration::from_millis(300);

/// A request with its claim.
struct Claim {
    key: Key,
    attempt: String,
}

/// Returns whether a request is claimed before dispatch.
#[must_use]
pub fn applies(call: &Call) -> bool {
    !call.idempotent && call.key.is_some()
}

/// Reads as much of the body as the fingerprint covers.
///
/// # Errors
///
/// Refuses when the caller does not send it in time.
pub async fn prepare(call: &Call) -> Result<(), Refusal> {
    match timeout(call.left(), call.source.prefetch()).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(Refusal::new(Kind::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(
            Kind::DeadlineBeforeDispatch,
            "the request body was not sent in time",
        )),
    }
}

/// Claims the key, makes the attempts and records the outcome.
///
/// The claim comes before the admission, because a request that waits for an unreachable ledger must not take a place to
/// run from others.
///
/// # Errors
///
/// Returns the caller's error.
pub async fn run(
    instance: &Arc<Instance>,
    serving: &Arc<Serving>,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    let Ok(place) = Arc::clone(&instance.claims).try_acquire_owned() else {
        let context = "too many requests wait for the ledger";
        return Err(Refusal::new(Kind::Overloaded, context));
    };
    let (mut sender, receiver) = oneshot::channel();
    let (instance, serving) = (Arc::clone(instance), Arc::clone(serving));
    tokio::spawn(async move {
        let _job = instance.jobs.start();
        let outcome = execute(&instance, &serving, &call, &mut sender, place).await;
        let _ = sender.send(outcome);
    });
    let lost = |_| Err(Refusal::new(Kind::Internal, "the request was dropped"));
    receiver.await.unwrap_or_else(lost)
}

/// Where the response goes; closed when the caller has gone.
type Caller = oneshot::Sender<Result<Response<Body>, Refusal>>;

async fn execute(
    instance: &Arc<Instance>,
    serving: &Arc<Serving>,
    call: &Call,
    caller: &mut Caller,
    place: OwnedSemaphorePermit,
) -> Result<Response<Body>, Refusal> {
    let claim = Claim {
        key: Key {
            service: call.service.clone(),
            customer: call.customer.clone(),
            key: call.key.clone().unwrap_or_default(),
        },
        attempt: instance.attempt_id(),
    };
    let answer = claimed(instance, call, &claim).await;
    drop(place);
    match answer {
        Ok(Claimed::Granted | Claimed::Held) => {}
        Ok(Claimed::Recorded(outcome)) => return recorded(outcome),
        Ok(Claimed::Unknown) => {
            let context = "an earlier request with this key has no known outcome";
            return Err(Refusal::new(Kind::OutcomeUnknown, context));
        }
        Ok(Claimed::Reused) => {
            let context = "the key belongs to a different request";
            return Err(Refusal::new(Kind::KeyReused, context));
        }
        Ok(Claimed::Full) => {
            return Err(Refusal::new(Kind::Overloaded, "the ledger is full"));
        }
        Err(cause) => {
            // The claim may still be applied; nothing was dispatched, so that it is given up.
            settle(instance, "ledger/release", claim.release());
            return Err(Refusal::new(Kind::LedgerUnavailable, cause));
        }
    }
    let admitted = tokio::select! {
        admitted = serving.admit_call(call) => admitted,
        () = caller.closed() => Err(Refusal::new(Kind::Overloaded, "the caller has gone")),
    };
    let permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => {
            release(instance, &claim).await;
            return Err(refusal);
        }
    };
    match Attempts::new(instance, serving, call).run(permit).await {
        Ok(answer) => {
            settle(instance, "ledger/record", claim.record(&answer));
            Ok(answer.into_response(call))
        }
        Err(unanswered) => {
            if unanswered.executed == Executed::No {
                release(instance, &claim).await;
            }
            Err(unanswered.refusal)
        }
    }
}

async fn claimed(instance: &Instance, call: &Call, claim: &Claim) -> Result<Claimed, String> {
    let command = Command::Claim {
        key: claim.key.clone(),
        fingerprint: fingerprint(call),
        attempt: claim.attempt.clone(),
        retention_s: call.settings.once_retention_s,
    };
    // Part of the time left stays for the dispatch.
    let limit = CLAIM_TIME.min(call.left().mul_f64(0.75));
    let until = Instant::now() + limit;
    let mut cause = "no time left".to_owned();
    while Instant::now() < until {
        let each = CALL_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
        let path = "ledger/claim";
        let asked = instance.control.call::<_, Claimed>(path, &command, each);
        match timeout(until.saturating_duration_since(Instant::now()), asked).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => cause = error.to_string(),
            Err(_) => "no control instance answered in time".clone_into(&mut cause),
        }
        sleep(PAUSE).await;
    }
    Err(cause)
}

/// Hash by which another request with the same key is told apart.
///
/// Of a body above [`MAX_REPLAY_BYTES`] it covers the first bytes and the declared size: a longer body is not refused and not
/// kept in memory, at the price that a difference further on goes unnoticed.
fn fingerprint(call: &Call) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        call.method.as_str(),
        call.path.path(),
        call.path.query().unwrap_or_default(),
    ] {
        hash.update(part.as_bytes());
        // None of the parts can contain a zero byte.
        hash.update(&[0]);
    }
    let (mut size, mut left) = (0, MAX_REPLAY_BYTES);
    call.source.for_each_buffered(|bytes| {
        size += bytes.len();
        let covered = &bytes[..bytes.len().min(left)];
        left -= covered.len();
        hash.update(covered);
    });
    let size = if size <= MAX_REPLAY_BYTES {
        size as u64
    } else {
        call.source.declared_size().unwrap_or(u64::MAX)
    };
    hash.update(&size.to_le_bytes());
    hash.digest()
}

impl Claim {
    fn release(&self) -> Command {
        Command::Release {
            key: self.key.clone(),
            attempt: self.attempt.clone(),
        }
    }

    fn record(&self, answer: &Answer) -> Command {
        let headers = answer.parts.headers.iter();
        let outcome = Outcome {
            status: answer.parts.status.as_u16(),
            headers: headers
                .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
                .collect(),
            body: answer.whole(),
        };
        Command::Record {
            key: self.key.clone(),
            attempt: self.attempt.clone(),
            outcome: outcome.bounded(),
        }
    }
}

/// Returns the recorded response of an earlier request.
fn recorded(outcome: Outcome) -> Result<Response<Body>, Refusal> {
    let Some(body) = outcome.body else {
        let context = format!(
            "an earlier request with this key was executed with status {}; its response is not kept",
            outcome.status
        );
        return Err(Refusal::new(Kind::OutcomeUnknown, context));
    };
    let mut response = Response::new(local_reply::full(body));
    let status = StatusCode::from_u16(outcome.status);
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in outcome.headers {
        let pair = (name.parse::<HeaderName>(), HeaderValue::from_bytes(&value));
        if let (Ok(name), Ok(value)) = pair
            && name != header::CONTENT_LENGTH
        {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}

/// Gives up a claim; the caller waits for it only for a moment.
async fn release(instance: &Arc<Instance>, claim: &Claim) {
    let done = settle(instance, "ledger/release", claim.release());
    let _ = timeout(RELEASE_WAIT, done).await;
}

/// Repeats a call in the background until a control instance confirms it; the receiver is told of the end.
fn settle(instance: &Arc<Instance>, path: &'static str, command: Command) -> oneshot::Receiver<()> {
    let (done, finished) = oneshot::channel();
    let job = instance.jobs.start();
    let instance = Arc::clone(instance);
    tokio::spawn(async move {
        let until = Instant::now() + SETTLE_TIME;
        let mut outcome = Ok(());
        while Instant::now() < until {
            outcome = instance.control.call(path, &command, CALL_TIMEOUT).await;
            if outcome.is_ok() {
                break;
            }
            sleep(PAUSE).await;
        }
        if let Err(error) = outcome {
            spdlog::warn!("{path}: {error}; resends of the request get outcome_unknown");
        }
        let _ = done.send(());
        drop(job);
    });
    finished
}
