//! Requests to a worker.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response, StatusCode};
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
/// Header that marks a response as one of a worker.
const SIGNATURE_HEADER: &str = "chestnutvalve-signature";
/// Header that says that the worker has not executed the request.
const NOT_EXECUTED_HEADER: &str = "chestnutvalve-not-executed";
/// Largest request body that is read.
const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;
/// Longest service time, so that no request stays for ever.
const MAX_WORK: Duration = Duration::from_mins(2);

/// Answers one request.
///
/// # Errors
///
/// Never; the type is what the server expects.
pub async fn handle(
    worker: Arc<Worker>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let answer = match request.uri().path() {
        "/_worker/counts" => json(StatusCode::OK, &*lock(&worker.counts)),
        "/_worker/health" => json(StatusCode::OK, &serde_json::json!({"status": "good"})),
        "/_worker/fault" => set_fault(&worker, request).await,
        _ => answer(worker, request).await,
    };
    Ok(answer)
}

fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    respond(status, full(text.into()))
}

fn full(bytes: Bytes) -> Body {
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
        return respond(StatusCode::BAD_REQUEST, full(Bytes::new()));
    };
    match serde_json::from_slice::<Fault>(&body.to_bytes()) {
        Ok(fault) => {
            let answer = json(StatusCode::OK, &fault);
            *lock(&worker.fault) = (fault, std::time::Instant::now());
            answer
        }
        Err(error) => json(
            StatusCode::BAD_REQUEST,
            &serde_json::json!({"error": error.to_string()}),
        ),
    }
}

/// What a request asks for.
struct Order {
    id: String,
    key: Option<String>,
    attempt: Option<String>,
    deadline: Option<Duration>,
    size: usize,
    pace: Duration,
    work: Option<Duration>,
}

impl Order {
    fn read(request: &Request<Incoming>) -> Self {
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
        let customer = header("chestnutvalve-customer").unwrap_or_default();
        let deadline = header("chestnutvalve-deadline-ms").and_then(|d| d.parse().ok());
        Self {
            id: header(payload::REQUEST_HEADER).unwrap_or_else(|| "unnamed".into()),
            key: header("idempotency-key").map(|key| format!("{customer}/{key}")),
            attempt: header(ATTEMPT_HEADER),
            deadline: deadline.map(Duration::from_millis),
            size: size
                .unwrap_or(payload::DEFAULT_BYTES)
                .min(payload::MAX_BYTES),
            pace: Duration::from_millis(parameter("pace_ms").unwrap_or(0)).min(MAX_WORK),
            work: parameter("work_ms").map(Duration::from_millis),
        }
    }
}

/// Counts a request that ends without an answer as cancelled.
struct Running {
    worker: Arc<Worker>,
    _slot: OwnedSemaphorePermit,
    finished: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut counts = lock(&self.worker.counts);
        if self.finished {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
    }
}

/// Runs a request; the response repeats the id of the attempt.
async fn answer(worker: Arc<Worker>, request: Request<Incoming>) -> Response<Body> {
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    let mut response = execute(worker, request).await;
    let headers = response.headers_mut();
    headers.insert(SIGNATURE_HEADER, http::HeaderValue::from_static("worker"));
    if let Some(attempt) = attempt {
        headers.insert(ATTEMPT_HEADER, attempt);
    }
    response
}

async fn execute(worker: Arc<Worker>, request: Request<Incoming>) -> Response<Body> {
    let order = Order::read(&request);
    let path = request.uri().path().to_owned();
    if let Some(left) = worker.left_at() {
        let after = u64::try_from(left.elapsed().as_millis()).unwrap_or(u64::MAX);
        lock(&worker.counts).after_leaving_ms.push(after);
    }
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    if body.collect().await.is_err() {
        return shed(&worker);
    }
    let slot = Arc::clone(&worker.slots).try_acquire_owned();
    let (Ok(slot), false) = (slot, order.deadline == Some(Duration::ZERO)) else {
        return shed(&worker);
    };
    let mut running = start(&worker, slot, &order);
    let plan = Plan::draw(&worker, &order, &path);
    if plan.hang {
        tokio::time::sleep(MAX_WORK).await;
    }
    if order.deadline.is_some_and(|limit| limit < plan.work) {
        tokio::time::sleep(order.deadline.unwrap_or_default()).await;
        lock(&worker.counts).expired += 1;
        running.finished = true;
        let late = serde_json::json!({"error": "deadline passed during the work"});
        return tagged(&worker, json(StatusCode::GATEWAY_TIMEOUT, &late));
    }
    tokio::time::sleep(plan.work).await;
    if plan.fail {
        running.finished = true;
        let failed = serde_json::json!({"error": "fault of the worker"});
        return tagged(&worker, json(StatusCode::INTERNAL_SERVER_ERROR, &failed));
    }
    tagged(&worker, deliver(running, order, plan.truncate))
}

fn start(worker: &Arc<Worker>, slot: OwnedSemaphorePermit, order: &Order) -> Running {
    let mut counts = lock(&worker.counts);
    let counts = &mut *counts;
    counts.executed += 1;
    Counts::add(&mut counts.keys, order.key.clone());
    Counts::add(&mut counts.attempts, order.attempt.clone());
    Counts::add(&mut counts.requests, Some(order.id.clone()));
    Running {
        worker: Arc::clone(worker),
        _slot: slot,
        finished: false,
    }
}

fn shed(worker: &Worker) -> Response<Body> {
    lock(&worker.counts).shed += 1;
    let full = serde_json::json!({"error": "no free slot"});
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &full);
    let headers = response.headers_mut();
    headers.insert(
        "chestnutvalve-executed",
        http::HeaderValue::from_static("no"),
    );
    headers.insert(NOT_EXECUTED_HEADER, http::HeaderValue::from_static("1"));
    tagged(worker, response)
}

/// Adds the headers that tell the entry about the worker's state.
fn tagged(worker: &Worker, mut response: Response<Body>) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert("chestnutvalve-load", worker.load().into());
    let state = match (worker.left_at(), lock(&worker.fault).0.mute) {
        (_, true) => return response,
        (Some(_), false) => "leaving",
        (None, false) => "accepting",
    };
    let state = http::HeaderValue::from_static(state);
    headers.insert("chestnutvalve-worker", state);
    response
}

/// How one request will go.
struct Plan {
    work: Duration,
    fail: bool,
    truncate: bool,
    hang: bool,
}

impl Plan {
    fn draw(worker: &Worker, order: &Order, path: &str) -> Self {
        let (fault, since) = lock(&worker.fault).clone();
        let applies = fault.applies(path, since.elapsed());
        let settings = &worker.settings;
        let mut random = lock(&worker.random);
        let mut chance = |percent: f64| random.random_range(0.0..100.0) < percent;
        let tail = chance(settings.tail_percent);
        let usual = if tail { settings.tail } else { settings.work };
        let mut work = order.work.unwrap_or(usual);
        let age = worker.started.elapsed();
        if age < settings.cold {
            let remaining = 1.0 - age.as_secs_f64() / settings.cold.as_secs_f64();
            work = work.mul_f64(1.0 + 2.0 * remaining);
        }
        if applies && chance(fault.slow_percent) {
            work += Duration::from_millis(fault.slow_ms);
        }
        Self {
            work: work.min(MAX_WORK),
            fail: chance(settings.error_percent) || (applies && chance(fault.fail_percent)),
            truncate: applies && chance(fault.truncate_percent),
            hang: applies && chance(fault.hang_percent),
        }
    }
}

/// Time for the server to write the first half of an answer that then breaks off.
const WRITE_TIME: Duration = Duration::from_millis(20);
/// Size of the pieces in which a paced answer is sent.
pub const PIECE_BYTES: usize = 16 * 1024;

/// Sends the answer; a paced one pauses before each piece and keeps its slot meanwhile.
fn deliver(running: Running, order: Order, truncate: bool) -> Response<Body> {
    let size = order.size;
    let end = if truncate { size / 2 } else { size };
    let pieces = stream::unfold(
        (running, order, 0),
        move |(mut running, order, at)| async move {
            if at >= end {
                // The server throws away what it has not yet written when the body fails.
                if truncate && at != usize::MAX {
                    tokio::time::sleep(WRITE_TIME).await;
                }
                let broken = std::io::Error::other("answer breaks off as ordered");
                let next = (running, order, usize::MAX);
                return (truncate && at != usize::MAX).then_some((Err(broken), next));
            }
            if !order.pace.is_zero() {
                tokio::time::sleep(order.pace).await;
            }
            let until = (at + PIECE_BYTES).min(end);
            // The server stops reading the body at its stated length, so that this is the last step of a whole answer.
            running.finished = until >= size;
            let piece = Frame::data(payload::slice(&order.id, at, until));
            Some((Ok(piece), (running, order, until)))
        },
    );
    let body = StreamBody::new(pieces);
    let mut response = respond(StatusCode::OK, body.boxed_unsync());
    let length = http::HeaderValue::from(size);
    response.headers_mut().insert("content-length", length);
    response
}
