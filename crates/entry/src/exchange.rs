//! One HTTP exchange with a worker or another entry, up to the point at which its response can be relayed.

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
use crate::pool::{Lease, Pool, SendError};
use crate::replay::{Replay, Unavailable};

/// Maximum number of bytes of a response that are buffered, so that a response truncated within them can be retried.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum time for which the start of a response is buffered; a slow stream must reach its caller without delay.
const MAX_BUFFER_TIME: Duration = Duration::from_millis(50);
/// Maximum number of pooled connections that may turn out to be closed before the exchange fails.
const MAX_STALE_CONNECTIONS: usize = 4;

/// Error of an exchange for which there is no response to relay.
#[derive(Debug)]
pub struct ExchangeError {
    /// How far the exchange progressed.
    pub stage: Stage,
    /// Verdict on the peer.
    pub verdict: Verdict,
    /// Error kind to return to the caller.
    pub kind: Kind,
    /// Description of the cause.
    pub context: String,
}

impl ExchangeError {
    /// Creates the error of an exchange in which nothing was sent and which the peer did not cause.
    pub fn unsent(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            stage: Stage::NotSent,
            verdict: Verdict::Cancelled,
            kind,
            context: context.into(),
        }
    }
}

impl From<Unavailable> for ExchangeError {
    fn from(cause: Unavailable) -> Self {
        let kind = match cause {
            Unavailable::Discarded => Kind::Internal,
            Unavailable::Broken => Kind::BadRequest,
        };
        Self::unsent(kind, cause.to_string())
    }
}

/// A response of which nothing was relayed yet.
#[derive(Debug)]
pub struct Received {
    /// Head of the response.
    pub parts: response::Parts,
    /// Buffered start of the body.
    pub buffered: VecDeque<Frame<Bytes>>,
    /// Rest of the body, if it is not complete.
    pub remaining: Option<Incoming>,
    /// Connection on which the response arrives.
    pub lease: Lease,
    /// Instant just before the request was sent.
    pub dispatched: Instant,
    /// Time from dispatch until the response was complete or buffering ended.
    pub latency: Duration,
}

/// Sends a request to `address` and receives the start of the response.
///
/// `check` runs right before each dispatch, after every wait.
///
/// # Errors
///
/// Returns how far the exchange progressed and the verdict on the peer.
pub async fn exchange(
    pool: &Arc<Pool>,
    address: SocketAddr,
    call: &Call,
    mut request: Request<Replay>,
    check: impl Fn() -> Result<(), ExchangeError>,
) -> Result<Received, ExchangeError> {
    for _ in 0..=MAX_STALE_CONNECTIONS {
        let mut lease = connect(pool, address, call).await?;
        if call.time_left().is_zero() {
            let context = "the deadline passed before dispatch";
            return Err(ExchangeError::unsent(Kind::DeadlineBeforeDispatch, context));
        }
        check()?;
        let dispatched = Instant::now();
        let sent = timeout_at(call.deadline, lease.send(request)).await;
        call.timings.add_attempt_time(dispatched.elapsed());
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(unsent))) if lease.reused => {
                request = *unsent;
                continue;
            }
            Ok(Err(SendError::NotSent(_))) => {
                let mut failure = ExchangeError::unsent(
                    Kind::ConnectFailed,
                    "the peer closed the new connection before the request was sent",
                );
                failure.verdict = Verdict::Refused;
                return Err(failure);
            }
            Ok(Err(SendError::Broken(error))) => return Err(broken(call, Stage::Sent, &error)),
            Ok(Err(SendError::NoResponse(status))) => {
                let status = status.as_u16();
                let context = format!("the peer sent status {status}, expected 200 to 599");
                return Err(truncation_error(context));
            }
            Err(_) => return Err(timeout_error(Stage::Sent)),
        };
        return receive(call, lease, response, dispatched).await;
    }
    let context = "all pooled connections to the peer were closed";
    Err(ExchangeError::unsent(Kind::ConnectFailed, context))
}

async fn connect(
    pool: &Arc<Pool>,
    address: SocketAddr,
    call: &Call,
) -> Result<Lease, ExchangeError> {
    let error = match pool.lease(address, call.deadline).await {
        Ok(lease) => return Ok(lease),
        Err(error) => error,
    };
    if call.time_left().is_zero() {
        let context = "the deadline passed while connecting";
        return Err(ExchangeError::unsent(Kind::DeadlineBeforeDispatch, context));
    }
    let (stage, verdict) = match error.kind() {
        ErrorKind::ConnectionRefused => (Stage::ConnectRefused, Verdict::Refused),
        ErrorKind::TimedOut => (Stage::NotSent, Verdict::Timeout),
        ErrorKind::ConnectionReset | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            (Stage::NotSent, Verdict::Refused)
        }
        // Local errors, such as a lack of file descriptors or ports, are not caused by the peer.
        _ => (Stage::NotSent, Verdict::Cancelled),
    };
    Err(ExchangeError {
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
) -> Result<Received, ExchangeError> {
    let (parts, mut body) = response.into_parts();
    if !is_framed(call, &parts) {
        let context = "the response has neither a content length nor chunked framing, so truncation could not be detected";
        return Err(truncation_error(context));
    }
    let mut buffered = VecDeque::new();
    let head_received_at = Instant::now();
    let complete = buffer_start(call, &mut body, &mut buffered).await;
    call.timings.add_attempt_time(head_received_at.elapsed());
    let complete = complete?;
    Ok(Received {
        parts,
        buffered,
        remaining: (!complete).then_some(body),
        lease,
        dispatched,
        latency: dispatched.elapsed(),
    })
}

/// Returns whether the end of the body can be distinguished from a closed connection.
fn is_framed(call: &Call, parts: &response::Parts) -> bool {
    let bodiless = call.method == Method::HEAD
        || matches!(
            parts.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    bodiless || parts.headers.contains_key(header::CONTENT_LENGTH) || is_chunked(parts)
}

/// Returns whether the last transfer coding is `chunked`; after any other one the body ends with the connection.
fn is_chunked(parts: &response::Parts) -> bool {
    let mut codings = parts.headers.get_all(header::TRANSFER_ENCODING).iter();
    let last = codings.next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Buffers the start of a body; returns whether it is the complete body.
async fn buffer_start(
    call: &Call,
    body: &mut Incoming,
    buffered: &mut VecDeque<Frame<Bytes>>,
) -> Result<bool, ExchangeError> {
    let until = call.deadline.min(Instant::now() + MAX_BUFFER_TIME);
    let mut bytes = 0;
    while !body.is_end_stream() {
        match timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(true),
            Ok(Some(Ok(frame))) => {
                bytes += frame.data_ref().map_or(0, Bytes::len);
                buffered.push_back(frame);
                if bytes >= MAX_BUFFERED_BYTES && !body.is_end_stream() {
                    return Ok(false);
                }
            }
            Ok(Some(Err(error))) => return Err(broken(call, Stage::Answered, &error)),
            Err(_) if call.time_left().is_zero() => return Err(timeout_error(Stage::Answered)),
            Err(_) => return Ok(false),
        }
    }
    Ok(true)
}

fn timeout_error(stage: Stage) -> ExchangeError {
    ExchangeError {
        stage,
        verdict: Verdict::Timeout,
        kind: Kind::UpstreamTimeout,
        context: "no complete response before the deadline".to_owned(),
    }
}

fn truncation_error(context: impl Into<String>) -> ExchangeError {
    ExchangeError {
        stage: Stage::Answered,
        verdict: Verdict::Truncated,
        kind: Kind::UpstreamBroken,
        context: context.into(),
    }
}

fn broken(call: &Call, stage: Stage, error: &hyper::Error) -> ExchangeError {
    let mut failure = truncation_error(format!("the exchange failed: {error}"));
    failure.stage = stage;
    if call.source.has_failed() {
        failure.verdict = Verdict::Cancelled;
    }
    failure
}

/// Returns whether a worker shed the request, which means that it was not executed.
#[must_use]
pub fn is_shed(parts: &response::Parts) -> bool {
    let executed = parts.headers.get(name::EXECUTED);
    parts.status == StatusCode::SERVICE_UNAVAILABLE
        && executed.is_some_and(|value| value.as_bytes() == b"no")
}
