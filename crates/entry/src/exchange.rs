//! One exchange with a worker or another entry, up to the point at which its response is passed on.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::Kind;
use chestnutvalve_routing::execution::Stage;
use chestnutvalve_routing::sample::Verdict;
use http::{Method, Request, StatusCode, header, response};
use http_body::{Body as _, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::call::Call;
use crate::header as name;
use crate::pool::{Failure, Lease, Pool};
use crate::replay::Replay;

/// Part of a response that is held back, so that a response truncated within it can be replaced by a retry, in bytes.
const HELD_BYTES: usize = 64 * 1024;
/// Longest time for which the start of a response is held back; a slow stream must reach its caller as it comes.
const HELD_TIME: Duration = Duration::from_millis(50);
/// Kept connections that may turn out to be closed before a new one is opened.
const MAX_STALE: usize = 4;

/// A failed exchange.
#[derive(Debug)]
pub struct Failed {
    /// How far the exchange got.
    pub stage: Stage,
    /// What the failure says about the peer.
    pub verdict: Verdict,
    /// Kind of the caller's error.
    pub kind: Kind,
    /// What went wrong.
    pub context: String,
}

impl Failed {
    /// Builds a failure of an exchange in which nothing was sent and for which the peer is not to blame.
    pub fn unsent(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            stage: Stage::NotSent,
            verdict: Verdict::Cancelled,
            kind,
            context: context.into(),
        }
    }
}

/// A response of which nothing was passed on yet.
#[derive(Debug)]
pub struct Received {
    /// Head of the response.
    pub parts: response::Parts,
    /// First part of the body.
    pub held: VecDeque<Frame<Bytes>>,
    /// Rest of the body, if it is not complete.
    pub rest: Option<Incoming>,
    /// Connection of the exchange.
    pub lease: Lease,
    /// Instant just before the request was sent.
    pub dispatched: Instant,
    /// Time from dispatch until the response was complete or the hold ended.
    pub latency: Duration,
}

/// Sends a request to `address` and receives the start of the response.
///
/// `check` runs right before each dispatch, after every wait.
///
/// # Errors
///
/// Returns how far the exchange got.
pub async fn exchange(
    pool: &Arc<Pool>,
    address: SocketAddr,
    call: &Call,
    mut request: Request<Replay>,
    check: impl Fn() -> Result<(), Failed>,
) -> Result<Received, Failed> {
    for _ in 0..=MAX_STALE {
        let mut lease = connect(pool, address, call).await?;
        if call.left().is_zero() {
            let context = "the deadline passed before dispatch";
            return Err(Failed::unsent(Kind::DeadlineBeforeDispatch, context));
        }
        check()?;
        let dispatched = Instant::now();
        let sent = timeout_at(call.deadline, lease.send(request)).await;
        call.spent.attempt(dispatched.elapsed());
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(Failure::NotSent(unsent))) if lease.reused => {
                request = *unsent;
                continue;
            }
            Ok(Err(Failure::NotSent(_))) => {
                let mut failed = Failed::unsent(Kind::ConnectFailed, "the connection was closed");
                failed.verdict = Verdict::Refused;
                return Err(failed);
            }
            Ok(Err(Failure::Broken(error))) => return Err(broken(call, Stage::Sent, &error)),
            Err(_) => return Err(timed_out(Stage::Sent)),
        };
        return receive(call, lease, response, dispatched).await;
    }
    let context = "kept connections were closed";
    Err(Failed::unsent(Kind::ConnectFailed, context))
}

async fn connect(pool: &Arc<Pool>, address: SocketAddr, call: &Call) -> Result<Lease, Failed> {
    let error = match pool.lease(address, call.deadline).await {
        Ok(lease) => return Ok(lease),
        Err(error) => error,
    };
    if call.left().is_zero() {
        let context = "the deadline passed while connecting";
        return Err(Failed::unsent(Kind::DeadlineBeforeDispatch, context));
    }
    let (stage, verdict) = match error.kind() {
        ErrorKind::ConnectionRefused => (Stage::ConnectRefused, Verdict::Refused),
        ErrorKind::TimedOut => (Stage::NotSent, Verdict::Timeout),
        ErrorKind::ConnectionReset | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            (Stage::NotSent, Verdict::Refused)
        }
        // Errors of this host, such as a lack of descriptors or ports, say nothing about the peer.
        _ => (Stage::NotSent, Verdict::Cancelled),
    };
    Err(Failed {
        stage,
        verdict,
        kind: Kind::ConnectFailed,
        context: format!("connecting to {address}: {error}"),
    })
}

async fn receive(
    call: &Call,
    lease: Lease,
    response: http::Response<Incoming>,
    dispatched: Instant,
) -> Result<Received, Failed> {
    let (parts, mut body) = response.into_parts();
    if !is_framed(call, &parts) {
        let context = "the response has no length, so that a truncation would not be noticed";
        return Err(truncated(context));
    }
    let mut held = VecDeque::new();
    let headed = Instant::now();
    let complete = hold(call, &mut body, &mut held).await;
    call.spent.attempt(headed.elapsed());
    let complete = complete?;
    Ok(Received {
        parts,
        held,
        rest: (!complete).then_some(body),
        lease,
        dispatched,
        latency: dispatched.elapsed(),
    })
}

/// Returns whether the end of the body can be told from a closed connection.
fn is_framed(call: &Call, parts: &response::Parts) -> bool {
    let bodiless = call.method == Method::HEAD
        || matches!(
            parts.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    bodiless || parts.headers.contains_key(header::CONTENT_LENGTH) || is_chunked(parts)
}

/// Returns whether the body is chunked; with any other last coding it ends with the connection.
fn is_chunked(parts: &response::Parts) -> bool {
    let mut codings = parts.headers.get_all(header::TRANSFER_ENCODING).iter();
    let last = codings.next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Reads the start of a body; returns whether it is the whole body.
async fn hold(
    call: &Call,
    body: &mut Incoming,
    held: &mut VecDeque<Frame<Bytes>>,
) -> Result<bool, Failed> {
    let until = call.deadline.min(Instant::now() + HELD_TIME);
    let mut bytes = 0;
    while !body.is_end_stream() {
        match timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(true),
            Ok(Some(Ok(frame))) => {
                bytes += frame.data_ref().map_or(0, Bytes::len);
                held.push_back(frame);
                if bytes >= HELD_BYTES && !body.is_end_stream() {
                    return Ok(false);
                }
            }
            Ok(Some(Err(error))) => return Err(broken(call, Stage::Answered, &error)),
            Err(_) if call.left().is_zero() => return Err(timed_out(Stage::Answered)),
            Err(_) => return Ok(false),
        }
    }
    Ok(true)
}

fn timed_out(stage: Stage) -> Failed {
    Failed {
        stage,
        verdict: Verdict::Timeout,
        kind: Kind::UpstreamTimeout,
        context: "no complete response before the deadline".to_owned(),
    }
}

fn truncated(context: impl Into<String>) -> Failed {
    Failed {
        stage: Stage::Answered,
        verdict: Verdict::Truncated,
        kind: Kind::UpstreamBroken,
        context: context.into(),
    }
}

fn broken(call: &Call, stage: Stage, error: &hyper::Error) -> Failed {
    let mut failed = truncated(format!("the exchange broke: {error}"));
    failed.stage = stage;
    if call.source.has_failed() {
        failed.verdict = Verdict::Cancelled;
    }
    failed
}

/// Returns whether a response says that the request was not executed.
#[must_use]
pub fn is_shed(parts: &response::Parts) -> bool {
    let executed = parts.headers.get(name::EXECUTED);
    parts.status == StatusCode::SERVICE_UNAVAILABLE
        && executed.is_some_and(|value| value.as_bytes() == b"no")
}
