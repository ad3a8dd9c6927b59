//! At-most-once execution of requests with an idempotency key.
//!
//! The entry claims the key in the ledger before it dispatches the request. From the claim on, the request runs in its own
//! task, so that the outcome is recorded for resends even when the caller disconnects.

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
use crate::relay::UpstreamResponse;
use crate::replay::MAX_REPLAY_BYTES;
use crate::service::ServiceState;

/// Time limit for the ledger to confirm a claim. An election takes up to 0.6 s, and a second one may be needed.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for one call to one control instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which the background task retries to record an outcome or release a claim.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that a response waits for the release of its claim, so that the caller's next try finds the key released.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Claim of one request in the ledger.
struct Claim {
    key: Key,
    attempt: String,
}

/// Returns whether the ledger must grant a claim before the request is dispatched.
#[must_use]
pub fn requires_claim(call: &Call) -> bool {
    !call.idempotent && call.key.is_some()
}

/// Reads the part of the body that the fingerprint covers.
///
/// # Errors
///
/// Refuses when the caller does not send it before the deadline.
pub async fn prefetch_body(call: &Call) -> Result<(), Refusal> {
    match timeout(call.time_left(), call.source.prefetch()).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(Refusal::new(Kind::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(
            Kind::DeadlineBeforeDispatch,
            "the request body did not arrive before the deadline",
        )),
    }
}

/// Claims the key, makes the attempts and records the outcome.
///
/// The claim precedes admission, because a request that waits for an unreachable ledger must not use a permit that
/// another request could run with.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub async fn run(
    instance: &Arc<Instance>,
    service_state: &Arc<ServiceState>,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    let Ok(claim_permit) = Arc::clone(&instance.claim_permits).try_acquire_owned() else {
        let context = "too many requests are waiting for the ledger";
        return Err(Refusal::new(Kind::Overloaded, context));
    };
    let (mut sender, receiver) = oneshot::channel();
    let (instance, service_state) = (Arc::clone(instance), Arc::clone(service_state));
    tokio::spawn(async move {
        let _guard = instance.tasks.track();
        let outcome = execute(&instance, &service_state, &call, &mut sender, claim_permit).await;
        let _ = sender.send(outcome);
    });
    let dropped = |_| Err(Refusal::new(Kind::Internal, "the request task was aborted"));
    receiver.await.unwrap_or_else(dropped)
}

/// Sender of the response; its channel closes when the caller disconnects.
type ResponseSender = oneshot::Sender<Result<Response<Body>, Refusal>>;

async fn execute(
    instance: &Arc<Instance>,
    service_state: &Arc<ServiceState>,
    call: &Call,
    sender: &mut ResponseSender,
    claim_permit: OwnedSemaphorePermit,
) -> Result<Response<Body>, Refusal> {
    let claim = Claim {
        key: Key {
            service: call.service.clone(),
            customer: call.customer.clone(),
            key: call.key.clone().unwrap_or_default(),
        },
        attempt: instance.next_attempt_id(),
    };
    let claimed = claim_key(instance, call, &claim).await;
    drop(claim_permit);
    match claimed {
        Ok(Claimed::Granted | Claimed::Held) => {}
        Ok(Claimed::Recorded(outcome)) => return recorded_response(outcome),
        Ok(Claimed::Unknown) => {
            let context = "the outcome of an earlier request with this key is unknown";
            return Err(Refusal::new(Kind::OutcomeUnknown, context));
        }
        Ok(Claimed::Reused) => {
            let context = "the idempotency key was used for a different request";
            return Err(Refusal::new(Kind::KeyReused, context));
        }
        Ok(Claimed::Full) => {
            return Err(Refusal::new(Kind::Overloaded, "the ledger is full"));
        }
        Err(cause) => {
            // The ledger may still apply the claim. Nothing was dispatched, so it can be released.
            call_in_background(instance, "ledger/release", claim.release());
            return Err(Refusal::new(Kind::LedgerUnavailable, cause));
        }
    }
    let admitted = tokio::select! {
        admitted = service_state.admit_call(call) => admitted,
        () = sender.closed() => Err(Refusal::new(Kind::Overloaded, "the caller disconnected")),
    };
    let permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => {
            release(instance, &claim).await;
            return Err(refusal);
        }
    };
    match Attempts::new(instance, service_state, call)
        .run(permit)
        .await
    {
        Ok(response) => {
            call_in_background(instance, "ledger/record", claim.record(&response));
            Ok(response.into_response(call))
        }
        Err(error) => {
            if error.executed == Executed::No {
                release(instance, &claim).await;
            }
            Err(error.refusal)
        }
    }
}

async fn claim_key(instance: &Instance, call: &Call, claim: &Claim) -> Result<Claimed, String> {
    let command = Command::Claim {
        key: claim.key.clone(),
        fingerprint: fingerprint(call),
        attempt: claim.attempt.clone(),
        retention_s: call.settings.once_retention_s,
    };
    // A quarter of the time left is kept for the dispatch.
    let limit = CLAIM_TIMEOUT.min(call.time_left().mul_f64(0.75));
    let deadline = Instant::now() + limit;
    let mut cause = "the deadline passed before the claim was sent".to_owned();
    while Instant::now() < deadline {
        let call_timeout = CALL_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let path = "ledger/claim";
        let response = instance
            .control
            .call::<_, Claimed>(path, &command, call_timeout);
        match timeout(deadline.saturating_duration_since(Instant::now()), response).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => cause = error.to_string(),
            Err(_) => "no control instance responded in time".clone_into(&mut cause),
        }
        sleep(RETRY_DELAY).await;
    }
    Err(cause)
}

/// Returns a hash that distinguishes different requests with the same key.
///
/// For a body above [`MAX_REPLAY_BYTES`] it covers the first bytes and the declared size: a longer body is neither refused
/// nor kept in memory, at the cost that a later difference is not detected.
fn fingerprint(call: &Call) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        call.method.as_str(),
        call.path.path(),
        call.path.query().unwrap_or_default(),
    ] {
        hash.update(part.as_bytes());
        // None of the parts can contain a zero byte, so it separates them unambiguously.
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

    fn record(&self, response: &UpstreamResponse) -> Command {
        let headers = response.parts.headers.iter();
        let outcome = Outcome {
            status: response.parts.status.as_u16(),
            headers: headers
                .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
                .collect(),
            body: response.full_body(),
        };
        Command::Record {
            key: self.key.clone(),
            attempt: self.attempt.clone(),
            outcome: outcome.bounded(),
        }
    }
}

/// Returns the recorded response of an earlier request with the same key.
fn recorded_response(outcome: Outcome) -> Result<Response<Body>, Refusal> {
    let Some(body) = outcome.body else {
        let context = format!(
            "an earlier request with this key was executed with status {}; its response is not stored",
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

/// Releases a claim, and waits at most [`RELEASE_TIMEOUT`] for the ledger.
async fn release(instance: &Arc<Instance>, claim: &Claim) {
    let done = call_in_background(instance, "ledger/release", claim.release());
    let _ = timeout(RELEASE_TIMEOUT, done).await;
}

/// Retries a call in the background until a control instance confirms it. The receiver is notified when the task ends.
fn call_in_background(
    instance: &Arc<Instance>,
    path: &'static str,
    command: Command,
) -> oneshot::Receiver<()> {
    let (done, finished) = oneshot::channel();
    let guard = instance.tasks.track();
    let instance = Arc::clone(instance);
    tokio::spawn(async move {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut outcome = Ok(());
        while Instant::now() < deadline {
            outcome = instance.control.call(path, &command, CALL_TIMEOUT).await;
            if outcome.is_ok() {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        if let Err(error) = outcome {
            spdlog::warn!("{path}: {error}; later resends of the request get outcome_unknown");
        }
        let _ = done.send(());
        drop(guard);
    });
    finished
}
