//! One exchange of a request with a worker, until the response is ready to be relayed.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::routes::Kind;
use chestnutvalve_routing::schedule::{Hold, Notice, Outcome};
use http::{Response, StatusCode, header, response};
use http_body::{Body as _, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::Gateway;
use super::dispatcher::{Dispatcher, Reservation};
use super::inbound::Inbound;
use crate::holding::{Holder, Message};
use crate::pool::{IDLE_TIMEOUT, Lease, SendError};
use crate::replay::{MAX_REPLAY_BYTES, Source};

/// Maximum part of a response that is buffered, in bytes, so that another attempt can replace a response that breaks
/// off within it. Most responses are smaller; the limit keeps downloads from filling the memory.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum time for which the start of a response is buffered. A slow transfer must reach its caller as it arrives.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(50);
/// Maximum number of reused connections that may turn out to be closed before the attempt fails.
const MAX_STALE_CONNECTIONS: usize = 4;
/// Timeout for opening a connection. A worker accepts one in 1 ms and the farthest zone is 3 ms away. A lost packet is
/// retransmitted only after a second, which is later than another worker would answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum idle time of a connection that carries an at-most-once request. A worker may drop an idle connection without
/// notice, and then it is unknown whether the request arrived.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_secs(2);
/// The same limit after a reused connection of the service has broken, and how long it applies. Workers that drop idle
/// connections do so for some seconds, and all workers of a service are affected.
const MAX_IDLE_AFTER_LOSS: Duration = Duration::from_millis(100);
const LOSS_WINDOW: Duration = Duration::from_secs(10);

/// Maximum size of the request bodies that one worker holds for this entry, in bytes, if the entry's memory is limited: a
/// worker whose requests exceed its memory crashes. A single body may be larger.
const MAX_UPLOAD_BYTES: u64 = 8 * 1024 * 1024;

/// A response of which nothing has been relayed yet.
#[derive(Debug)]
pub struct Received {
    /// Head of the response.
    pub parts: response::Parts,
    /// Buffered start of the body.
    pub buffered: VecDeque<Frame<Bytes>>,
    /// Rest of the body, if the buffered part is not all of it.
    pub rest: Option<Incoming>,
    /// Connection that the exchange uses.
    pub lease: Lease,
    /// Reservation of the worker's slot.
    pub reservation: Reservation,
}

/// Why an attempt has no response to relay.
#[derive(Debug)]
pub enum AttemptError {
    /// The request reached no worker.
    Unreached(String),
    /// The worker refused the request without executing it.
    NotExecuted(String),
    /// The request may have been executed.
    Unknown(String),
    /// The worker did not answer before the deadline.
    Timeout,
}

/// Exchanges a request with the worker of `reservation`.
///
/// # Errors
///
/// The error says whether the worker may have executed the request.
pub async fn attempt(
    gateway: &Gateway,
    inbound: &Inbound,
    mut reservation: Reservation,
) -> Result<Received, AttemptError> {
    // An attempt that reaches no worker keeps its budget for the one that replaces it.
    reservation.mark_used();
    let body = inbound.source.replay();
    let body = body.map_err(|cause| AttemptError::Unreached(cause.to_string()))?;
    let dialect = &gateway.settings.dialect;
    let mut request = inbound.attempt_request(dialect, reservation.worker.as_str(), body);
    let dispatcher = gateway.dispatcher(&inbound.service);
    let max_idle = max_idle_time(&dispatcher, inbound.route.kind);
    for _ in 0..=MAX_STALE_CONNECTIONS {
        let limit = inbound.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let lease = gateway
            .pool
            .lease_idle_within(reservation.address, limit, Some(max_idle));
        let mut lease = match lease.await {
            Ok(lease) => lease,
            Err(error) => {
                // A worker that refuses connections is down for all entries. One that does not respond may be
                // unreachable for this entry only.
                reservation.finish(match error.kind() {
                    ErrorKind::ConnectionRefused => Outcome::Failure,
                    _ => Outcome::Unreachable,
                });
                return Err(AttemptError::Unreached(format!(
                    "connecting to the worker failed: {error}"
                )));
            }
        };
        // The time to connect, or a pause of this process, may have passed since the slot was reserved.
        reservation = reservation
            .check()
            .map_err(|hold| AttemptError::Unreached(hold_cause(hold).into()))?;
        if inbound.time_left().is_zero() {
            return Err(AttemptError::Unreached(
                "the deadline passed before the request was sent".into(),
            ));
        }
        if gateway.memory.is_limited()
            && !lease.reserve_upload(upload_bytes(&inbound.source), MAX_UPLOAD_BYTES)
        {
            reservation.finish(Outcome::Cancelled);
            let cause = "the worker holds as many bytes of requests as it may";
            return Err(AttemptError::Unreached(cause.into()));
        }
        match timeout_at(inbound.deadline, lease.send(request)).await {
            Ok(Ok(reply)) => return receive(gateway, inbound, reservation, lease, reply).await,
            Ok(Err(SendError::NotSent(unsent))) if lease.reused => request = *unsent,
            Ok(Err(SendError::NotSent(_))) => {
                reservation.finish(Outcome::Failure);
                return Err(AttemptError::Unreached(
                    "the worker closed the new connection before the request was sent".into(),
                ));
            }
            Ok(Err(SendError::Broken(error))) => {
                if lease.reused {
                    dispatcher.record_lost_connection();
                }
                reservation.finish(broken_exchange_outcome(inbound));
                return Err(AttemptError::Unknown(format!(
                    "the exchange with the worker failed: {error}"
                )));
            }
            Ok(Err(SendError::NoResponse(status))) => {
                reservation.finish(Outcome::Failure);
                return Err(AttemptError::Unknown(format!(
                    "the worker sent status {}, expected 200 to 599",
                    status.as_u16()
                )));
            }
            Err(_) => {
                reservation.finish(Outcome::Failure);
                return Err(AttemptError::Timeout);
            }
        }
    }
    Err(AttemptError::Unreached(
        "all reused connections had been closed by the worker".into(),
    ))
}

/// Returns the size of a request body as far as it is known; a body of unknown size mostly fits in a replay buffer.
fn upload_bytes(source: &Source) -> u64 {
    let unknown = MAX_REPLAY_BYTES as u64;
    source.declared_size().unwrap_or(unknown)
}

fn hold_cause(hold: Hold) -> &'static str {
    match hold {
        Hold::Left => "the worker left before the request was sent",
        Hold::Paused(_) => "the worker asked for a pause before the request was sent",
    }
}

/// Returns the maximum idle time of a connection that carries a request of this kind.
#[must_use]
pub fn max_idle_time(dispatcher: &Dispatcher, kind: Kind) -> Duration {
    if kind.is_idempotent() {
        IDLE_TIMEOUT
    } else if dispatcher.has_lost_connection(LOSS_WINDOW) {
        MAX_IDLE_AFTER_LOSS
    } else {
        MAX_IDLE_AT_MOST_ONCE
    }
}

/// Returns the outcome of a broken exchange: it counts against the worker unless the caller's request body broke off.
fn broken_exchange_outcome(inbound: &Inbound) -> Outcome {
    if inbound.source.has_failed() {
        Outcome::Cancelled
    } else {
        Outcome::Failure
    }
}

async fn receive(
    gateway: &Gateway,
    inbound: &Inbound,
    mut reservation: Reservation,
    lease: Lease,
    response: Response<Incoming>,
) -> Result<Received, AttemptError> {
    let (parts, mut body) = response.into_parts();
    let dialect = &gateway.settings.dialect;
    let header_text = |name| parts.headers.get(name).and_then(|v| v.to_str().ok());
    if let Some(load) = header_text(&dialect.load).and_then(dialect.parse_load) {
        reservation.report_load(load);
    }
    let is_refusal = parts.headers.contains_key(&dialect.not_executed)
        || parts.status == StatusCode::MISDIRECTED_REQUEST;
    let is_own = match header_text(&dialect.request_id) {
        Some(echoed) => echoed == inbound.id,
        // On a reused connection, the worker may have repeated an earlier response.
        None => !lease.reused || (inbound.id.is_empty() && !is_refusal),
    };
    if !is_own {
        reservation.finish(Outcome::Failure);
        let context = "the response belongs to another request";
        return Err(AttemptError::Unknown(context.into()));
    }
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        record_notices(gateway, &reservation, &parts);
    }
    if parts.headers.contains_key(&dialect.not_executed) {
        let status = parts.status;
        reservation.finish(if status == StatusCode::MISDIRECTED_REQUEST {
            Outcome::Gone
        } else {
            Outcome::Shed
        });
        let mut unused = VecDeque::new();
        let complete = timeout_at(
            inbound.deadline,
            buffer_start(&inbound.holder, &mut body, &mut unused),
        )
        .await;
        if matches!(complete, Ok(Ok(true))) && inbound.source.is_complete() {
            lease.return_to_pool();
        }
        return Err(AttemptError::NotExecuted(format!(
            "the worker refused the request with status {status}"
        )));
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        reservation.finish(Outcome::Gone);
        return Err(AttemptError::NotExecuted(
            "the address belongs to another worker".into(),
        ));
    }
    let signed = parts.headers.contains_key(&dialect.signature);
    if parts.status.is_success()
        && (!signed || parts.headers.contains_key(header::CONTENT_ENCODING))
    {
        reservation.finish(Outcome::Failure);
        let context = "the response does not carry a worker's signature or is content-encoded";
        return Err(AttemptError::Unknown(context.into()));
    }
    let mut buffered = VecDeque::new();
    match timeout_at(
        inbound.deadline,
        buffer_start(&inbound.holder, &mut body, &mut buffered),
    )
    .await
    {
        Ok(Ok(complete)) => Ok(Received {
            rest: (!complete).then_some(body),
            parts,
            buffered,
            lease,
            reservation,
        }),
        Ok(Err(error)) => {
            reservation.finish(broken_exchange_outcome(inbound));
            Err(AttemptError::Unknown(format!(
                "the response ended early: {error}"
            )))
        }
        Err(_) => {
            reservation.finish(Outcome::Failure);
            Err(AttemptError::Timeout)
        }
    }
}

/// Records what the worker says about itself in its response.
fn record_notices(gateway: &Gateway, reservation: &Reservation, parts: &response::Parts) {
    let (dialect, meters) = (&gateway.settings.dialect, &gateway.instance.meters);
    if parts.headers.get(&dialect.state) == Some(&dialect.leaving)
        && reservation.record_notice(Notice::Leaving)
    {
        meters.count_notice("leaving");
    }
    let Some(stated) = parts.headers.get(&dialect.retry_after) else {
        return;
    };
    if parts.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let pause = stated.to_str().ok().and_then(dialect.parse_retry_after);
    if let Some(pause) = pause {
        if reservation.record_notice(Notice::Pause(pause)) {
            meters.count_notice("pause");
        }
    } else {
        let worker = &reservation.worker;
        spdlog::info!("ignored the pause of a worker: not a time", kv: {worker:, stated:?});
        meters.count_notice("invalid_pause");
    }
}

/// Buffers the start of a body. Returns whether that is the whole body.
async fn buffer_start(
    holder: &Holder,
    body: &mut Incoming,
    buffered: &mut VecDeque<Frame<Bytes>>,
) -> hyper::Result<bool> {
    let until = Instant::now() + MAX_BUFFERING_TIME;
    let mut bytes = 0;
    while !body.is_end_stream() {
        match timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(true),
            Ok(Some(frame)) => {
                let frame = frame?;
                bytes += frame.data_ref().map_or(0, Bytes::len);
                buffered.push_back(frame.map_data(|data| holder.hold(Message::Response, data)));
                if bytes >= MAX_BUFFERED_BYTES && !body.is_end_stream() {
                    return Ok(false);
                }
            }
            Err(_) => return Ok(false),
        }
    }
    Ok(true)
}
