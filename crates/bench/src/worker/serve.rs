//! Request handling of a worker.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::RngExt;
use tokio::sync::OwnedSemaphorePermit;

use super::{Counts, Fault, Worker, lock};
use crate::payload;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Header with the id of an attempt.
const ATTEMPT_HEADER: &str = "chestnutvalve-attempt";
/// Header that identifies a response as sent by a worker, not by an intermediary.
const SIGNATURE_HEADER: &str = "chestnutvalve-signature";
/// Header which states that the worker did not execute the request.
const NOT_EXECUTED_HEADER: &str = "chestnutvalve-not-executed";
/// Header with the time for which a worker that turns a request away wants no others from the same entry, in milliseconds.
const RETRY_AFTER_HEADER: &str = "retry-after-ms";
/// Header with the customer on whose behalf a request is made.
const CUSTOMER_HEADER: &str = "chestnutvalve-customer";
/// Header with the name of the worker that a routed request is meant for.
const EXPECTED_WORKER_HEADER: &str = "chestnutvalve-expected-worker";
/// Time after the start of a pause in which requests that were sent before still arrive.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;
/// Limit of the service time and of the pause between chunks, so that no request occupies a slot forever.
const MAX_SERVICE_TIME: Duration = Duration::from_mins(2);

/// Pause that the worker has asked for on one connection.
#[derive(Debug, Default)]
pub struct Pause {
    /// Start and end.
    span: Option<(Instant, Instant)>,
    /// Requests that arrived within it.
    requests: u32,
}

impl Pause {
    fn start(&mut self, pause: Duration) {
        let now = Instant::now();
        *self = Self {
            span: Some((now, now + pause)),
            requests: 0,
        };
    }

    /// Counts a request, and returns how many have arrived within the pause.
    fn count_request(&mut self) -> u32 {
        let now = Instant::now();
        let is_within = |(start, end): (Instant, Instant)| now >= start + PAUSE_GRACE && now < end;
        self.requests += u32::from(self.span.is_some_and(is_within));
        self.requests
    }
}

/// Handles one request: the worker's own paths under `/_worker/`, or any other as a request to the service.
///
/// # Errors
///
/// Never fails. The server requires a `Result`.
pub async fn handle(
    worker: Arc<Worker>,
    pause: &Mutex<Pause>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let response = match request.uri().path() {
        "/_worker/counts" => json(StatusCode::OK, &*lock(&worker.counts)),
        "/_worker/health" => json(StatusCode::OK, &serde_json::json!({"status": "good"})),
        "/_worker/fault" => set_fault(&worker, request).await,
        _ => handle_request(worker, pause, request).await,
    };
    Ok(response)
}

fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    respond(status, full_body(text.into()))
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn respond(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

async fn set_fault(worker: &Worker, request: Request<Incoming>) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let Ok(body) = body.collect().await else {
        return respond(StatusCode::BAD_REQUEST, full_body(Bytes::new()));
    };
    match serde_json::from_slice::<Fault>(&body.to_bytes()) {
        Ok(fault) => {
            let response = json(StatusCode::OK, &fault);
            *lock(&worker.fault) = (fault, std::time::Instant::now());
            response
        }
        Err(error) => json(
            StatusCode::BAD_REQUEST,
            &serde_json::json!({"error": error.to_string()}),
        ),
    }
}

/// Parameters of a request, from its headers and its query.
struct Parameters {
    id: String,
    key: Option<String>,
    attempt: Option<String>,
    deadline: Option<Duration>,
    size: usize,
    pace: Duration,
    service_time: Option<Duration>,
}

impl Parameters {
    fn from_request(request: &Request<Incoming>) -> Self {
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let query = request.uri().query().unwrap_or_default();
        let parameter = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name)?.1.parse().ok()
        };
        let size = parameter("size").and_then(|s| usize::try_from(s).ok());
        let customer = header(CUSTOMER_HEADER).unwrap_or_default();
        let deadline = header("chestnutvalve-deadline-ms").and_then(|d| d.parse().ok());
        Self {
            id: header(payload::REQUEST_HEADER).unwrap_or_else(|| "unnamed".into()),
            key: header("idempotency-key").map(|key| format!("{customer}/{key}")),
            attempt: header(ATTEMPT_HEADER),
            deadline: deadline.map(Duration::from_millis),
            size: size
                .unwrap_or(payload::DEFAULT_BYTES)
                .min(payload::MAX_BYTES),
            pace: Duration::from_millis(parameter("pace_ms").unwrap_or(0)).min(MAX_SERVICE_TIME),
            service_time: parameter("work_ms").map(Duration::from_millis),
        }
    }
}

/// Request that holds a slot. Dropping it counts it as finished or, without a complete response, as cancelled.
struct Execution {
    worker: Arc<Worker>,
    _slot: OwnedSemaphorePermit,
    finished: bool,
}

impl Drop for Execution {
    fn drop(&mut self) {
        let mut counts = lock(&self.worker.counts);
        if self.finished {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
    }
}

/// Executes a request. The response repeats the attempt id.
async fn handle_request(
    worker: Arc<Worker>,
    pause: &Mutex<Pause>,
    request: Request<Incoming>,
) -> Response<Body> {
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    if request.headers().contains_key(EXPECTED_WORKER_HEADER) {
        let arrived = lock(pause).count_request();
        let mut counts = lock(&worker.counts);
        counts.most_in_pause = counts.most_in_pause.max(arrived);
    }
    lock(&worker.counts).misattributed += u64::from(is_misattributed(request.headers()));
    let pause_ms = lock(&worker.fault).0.pause_ms;
    let mut response = execute(worker, request).await;
    let headers = response.headers_mut();
    if pause_ms > 0 && headers.contains_key(NOT_EXECUTED_HEADER) {
        headers.insert(RETRY_AFTER_HEADER, pause_ms.into());
        lock(pause).start(Duration::from_millis(pause_ms));
    }
    headers.insert(SIGNATURE_HEADER, http::HeaderValue::from_static("worker"));
    if let Some(attempt) = attempt {
        headers.insert(ATTEMPT_HEADER, attempt);
    }
    response
}

/// Returns whether a request that was sent with an API key arrives with a key or without the customer of its key.
fn is_misattributed(headers: &HeaderMap) -> bool {
    let Some(expected) = headers.get(payload::EXPECTED_CUSTOMER_HEADER) else {
        return false;
    };
    let told: Vec<_> = headers.get_all(CUSTOMER_HEADER).iter().collect();
    told != [expected] || headers.contains_key(http::header::AUTHORIZATION)
}

async fn execute(worker: Arc<Worker>, request: Request<Incoming>) -> Response<Body> {
    let parameters = Parameters::from_request(&request);
    let path = request.uri().path().to_owned();
    if let Some(leaving_since) = worker.leaving_since() {
        let after = u64::try_from(leaving_since.elapsed().as_millis()).unwrap_or(u64::MAX);
        lock(&worker.counts).after_leaving_ms.push(after);
    }
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    if body.collect().await.is_err() {
        return shed(&worker);
    }
    let slot = Arc::clone(&worker.slots).try_acquire_owned();
    let (Ok(slot), false) = (slot, parameters.deadline == Some(Duration::ZERO)) else {
        return shed(&worker);
    };
    if turns_away(&worker, &path) {
        return shed(&worker);
    }
    let mut execution = start_execution(&worker, slot, &parameters);
    let behavior = Behavior::sample(&worker, &parameters, &path);
    if behavior.hang {
        tokio::time::sleep(MAX_SERVICE_TIME).await;
    }
    if parameters
        .deadline
        .is_some_and(|limit| limit < behavior.service_time)
    {
        tokio::time::sleep(parameters.deadline.unwrap_or_default()).await;
        lock(&worker.counts).expired += 1;
        execution.finished = true;
        let late = serde_json::json!({"error": "deadline passed during the work"});
        return with_worker_state(&worker, json(StatusCode::GATEWAY_TIMEOUT, &late));
    }
    tokio::time::sleep(behavior.service_time).await;
    if behavior.fail {
        execution.finished = true;
        let failed = serde_json::json!({"error": "fault of the worker"});
        return with_worker_state(&worker, json(StatusCode::INTERNAL_SERVER_ERROR, &failed));
    }
    with_worker_state(
        &worker,
        stream_response(execution, parameters, behavior.truncate),
    )
}

fn start_execution(
    worker: &Arc<Worker>,
    slot: OwnedSemaphorePermit,
    parameters: &Parameters,
) -> Execution {
    let mut counts = lock(&worker.counts);
    let counts = &mut *counts;
    counts.executed += 1;
    Counts::record(&mut counts.keys, parameters.key.clone());
    Counts::record(&mut counts.attempts, parameters.attempt.clone());
    Counts::record(&mut counts.requests, Some(parameters.id.clone()));
    Execution {
        worker: Arc::clone(worker),
        _slot: slot,
        finished: false,
    }
}

fn shed(worker: &Worker) -> Response<Body> {
    lock(&worker.counts).shed += 1;
    let refusal = serde_json::json!({"error": "no free slot"});
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &refusal);
    let headers = response.headers_mut();
    headers.insert(
        "chestnutvalve-executed",
        http::HeaderValue::from_static("no"),
    );
    headers.insert(NOT_EXECUTED_HEADER, http::HeaderValue::from_static("1"));
    with_worker_state(worker, response)
}

/// Adds the headers that report the worker's load and state to the entry.
fn with_worker_state(worker: &Worker, mut response: Response<Body>) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert("chestnutvalve-load", worker.requests_in_progress().into());
    let fault = lock(&worker.fault).0.clone();
    let is_leaving = fault.leaving || worker.leaving_since().is_some();
    let state = match (is_leaving, fault.mute) {
        (_, true) => return response,
        (true, false) => "leaving",
        (false, false) => "accepting",
    };
    let state = http::HeaderValue::from_static(state);
    headers.insert("chestnutvalve-worker", state);
    response
}

/// Returns whether a fault lets the worker turn a request away, chosen at random.
fn turns_away(worker: &Worker, path: &str) -> bool {
    let (fault, since) = lock(&worker.fault).clone();
    let sampled = lock(&worker.rng).random_range(0.0..100.0);
    fault.applies_to(path, since.elapsed()) && sampled < fault.shed_percent
}

/// Outcome of one request, chosen at random from the settings and the faults.
struct Behavior {
    service_time: Duration,
    fail: bool,
    truncate: bool,
    hang: bool,
}

impl Behavior {
    fn sample(worker: &Worker, parameters: &Parameters, path: &str) -> Self {
        let (fault, since) = lock(&worker.fault).clone();
        let applies = fault.applies_to(path, since.elapsed());
        let settings = &worker.settings;
        let mut rng = lock(&worker.rng);
        let mut chance = |percent: f64| rng.random_range(0.0..100.0) < percent;
        let in_tail = chance(settings.tail_percent);
        let configured = if in_tail {
            settings.tail_service_time
        } else {
            settings.service_time
        };
        let mut service_time = parameters.service_time.unwrap_or(configured);
        let age = worker.started.elapsed();
        if age < settings.warm_up {
            let remaining = 1.0 - age.as_secs_f64() / settings.warm_up.as_secs_f64();
            service_time = service_time.mul_f64(1.0 + 2.0 * remaining);
        }
        if applies && chance(fault.slow_percent) {
            service_time += Duration::from_millis(fault.slow_ms);
        }
        Self {
            service_time: service_time.min(MAX_SERVICE_TIME),
            fail: chance(settings.error_percent) || (applies && chance(fault.fail_percent)),
            truncate: applies && chance(fault.truncate_percent),
            hang: applies && chance(fault.hang_percent),
        }
    }
}

/// Time for the server to write the first half of a response that is then truncated.
const FLUSH_DELAY: Duration = Duration::from_millis(20);
/// Size of the chunks in which a response is sent.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Streams the response. A paced one pauses before each chunk and keeps its slot until the last one.
fn stream_response(execution: Execution, parameters: Parameters, truncate: bool) -> Response<Body> {
    let size = parameters.size;
    let end = if truncate { size / 2 } else { size };
    let chunks = stream::unfold(
        (execution, parameters, 0),
        move |(mut execution, parameters, offset)| async move {
            if offset >= end {
                // When the body fails, the server discards what it has not yet written.
                if truncate && offset != usize::MAX {
                    tokio::time::sleep(FLUSH_DELAY).await;
                }
                let truncation = std::io::Error::other("response truncated by an injected fault");
                let next = (execution, parameters, usize::MAX);
                return (truncate && offset != usize::MAX).then_some((Err(truncation), next));
            }
            if !parameters.pace.is_zero() {
                tokio::time::sleep(parameters.pace).await;
            }
            let chunk_end = (offset + CHUNK_BYTES).min(end);
            // The server stops polling the body at the declared length, so this is the last step of a complete response.
            execution.finished = chunk_end >= size;
            let chunk = Frame::data(payload::slice(&parameters.id, offset, chunk_end));
            Some((Ok(chunk), (execution, parameters, chunk_end)))
        },
    );
    let body = StreamBody::new(chunks);
    let mut response = respond(StatusCode::OK, body.boxed_unsync());
    let length = http::HeaderValue::from(size);
    response.headers_mut().insert("content-length", length);
    response
}
