//! One exchange of a request with a worker, up to the point at which the response is passed on.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::routes::Kind;
use chestnutvalve_routing::schedule::Outcome;
use http::{Response, StatusCode, header, response};
use http_body::{Body as _, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::Gateway;
use super::dispatcher::{Dispatcher, Reservation};
use super::inbound::Inbound;
use crate::pool::{Failure, IDLE_TIME, Lease};

/// Part of a response that is held back, so that one that breaks off within it can be replaced by another attempt, in
/// bytes. Most responses are smaller; downloads must not fill the memory.
const HELD_BYTES: usize = 64 * 1024;
/// Longest time for which the start of a response is held back; a slow transfer must reach its caller as it comes.
const HELD_TIME: Duration = Duration::from_millis(50);
/// Kept connections that may turn out to be closed before a new one is opened.
const MAX_STALE: usize = 4;
/// Time to open a connection. A worker opens one in 1 ms and the farthest zone is 3 ms away; a lost packet is sent again
/// after a second, which is later than another worker answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a kept connection may have been idle when it carries a request that must not run twice. A worker may
/// drop an idle connection without notice, and then nobody knows whether the request arrived.
const FRESH: Duration = Duration::from_secs(2);
/// The same after a kept connection of the service has broken, and for how long. Workers that forget idle connections do so
/// for some seconds, all of a service.
const FRESH_AFTER_LOSS: Duration = Duration::from_millis(100);
const LOSS_MEMORY: Duration = Duration::from_secs(10);

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
    /// Place at the worker.
    pub reservation: Reservation,
}

/// Why there is no response to pass on.
#[derive(Debug)]
pub enum Failed {
    /// The request reached no worker.
    Unreached(String),
    /// The worker refused the request without executing it.
    NotExecuted(String),
    /// The request may have been executed.
    Unknown(String),
    /// The worker did not answer in time.
    Timeout,
}

/// Exchanges a request with the worker of `seat`.
///
/// # Errors
///
/// Returns what is known about execution.
pub async fn attempt(
    gateway: &Gateway,
    inbound: &Inbound,
    reservation: Reservation,
) -> Result<Received, Failed> {
    let Some(body) = inbound.source.replay() else {
        return Err(Failed::Unreached("the request body is not kept".into()));
    };
    let dialect = &gateway.settings.dialect;
    let mut request = inbound.request(dialect, reservation.worker.as_str(), body);
    let dispatcher = gateway.dispatcher(&inbound.service);
    let fresh = fresh(&dispatcher, inbound.route.kind);
    for _ in 0..=MAX_STALE {
        let limit = inbound.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let lease = gateway
            .pool
            .lease_fresh(reservation.address, limit, Some(fresh));
        let mut lease = match lease.await {
            Ok(lease) => lease,
            Err(error) => {
                // A worker that refuses connections is down for all entries, a silent one maybe only for this one.
                reservation.finish(match error.kind() {
                    ErrorKind::ConnectionRefused => Outcome::Failure,
                    _ => Outcome::Unreachable,
                });
                return Err(Failed::Unreached(format!("connecting: {error}")));
            }
        };
        if inbound.left().is_zero() {
            return Err(Failed::Unreached("the time is up".into()));
        }
        match timeout_at(inbound.deadline, lease.send(request)).await {
            Ok(Ok(response)) => {
                return receive(gateway, inbound, reservation, lease, response).await;
            }
            Ok(Err(Failure::NotSent(unsent))) if lease.reused => request = *unsent,
            Ok(Err(Failure::NotSent(_))) => {
                reservation.finish(Outcome::Failure);
                return Err(Failed::Unreached("the connection was closed".into()));
            }
            Ok(Err(Failure::Broken(error))) => {
                if lease.reused {
                    dispatcher.lose_connection();
                }
                reservation.finish(fault(inbound));
                return Err(Failed::Unknown(format!("the exchange broke: {error}")));
            }
            Err(_) => {
                reservation.finish(Outcome::Failure);
                return Err(Failed::Timeout);
            }
        }
    }
    Err(Failed::Unreached("kept connections were closed".into()))
}

/// Returns for how long a kept connection may have been idle when it carries a request of a kind.
#[must_use]
pub fn fresh(dispatcher: &Dispatcher, kind: Kind) -> Duration {
    if kind.is_idempotent() {
        IDLE_TIME
    } else if dispatcher.has_lost_connection(LOSS_MEMORY) {
        FRESH_AFTER_LOSS
    } else {
        FRESH
    }
}

/// Returns whether a broken exchange is the worker's fault or that of a caller whose body broke off.
fn fault(inbound: &Inbound) -> Outcome {
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
) -> Result<Received, Failed> {
    let (parts, mut body) = response.into_parts();
    let dialect = &gateway.settings.dialect;
    let text = |name| parts.headers.get(name).and_then(|v| v.to_str().ok());
    if let Some(load) = text(&dialect.load).and_then(dialect.parse_load) {
        reservation.report_to_all(load);
    }
    let refuses = parts.headers.contains_key(&dialect.not_executed)
        || parts.status == StatusCode::MISDIRECTED_REQUEST;
    let is_own = match text(&dialect.request_id) {
        Some(echoed) => echoed == inbound.id,
        // On a kept connection, the worker may have written an earlier response once more.
        None => !lease.reused || (inbound.id.is_empty() && !refuses),
    };
    if !is_own {
        reservation.finish(Outcome::Failure);
        let context = "the response belongs to another request";
        return Err(Failed::Unknown(context.into()));
    }
    if parts.headers.contains_key(&dialect.not_executed) {
        let status = parts.status;
        reservation.finish(if status == StatusCode::MISDIRECTED_REQUEST {
            Outcome::Gone
        } else {
            Outcome::Shed
        });
        let mut unused = VecDeque::new();
        let complete = timeout_at(inbound.deadline, hold(&mut body, &mut unused)).await;
        if matches!(complete, Ok(Ok(true))) && inbound.source.is_complete() {
            lease.give_back();
        }
        return Err(Failed::NotExecuted(format!(
            "the worker refused with {status}"
        )));
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        reservation.finish(Outcome::Gone);
        return Err(Failed::NotExecuted("another worker has the address".into()));
    }
    let signed = parts.headers.contains_key(&dialect.signature);
    if parts.status.is_success()
        && (!signed || parts.headers.contains_key(header::CONTENT_ENCODING))
    {
        reservation.finish(Outcome::Failure);
        let context = "the response is not that of a worker";
        return Err(Failed::Unknown(context.into()));
    }
    let mut held = VecDeque::new();
    match timeout_at(inbound.deadline, hold(&mut body, &mut held)).await {
        Ok(Ok(complete)) => Ok(Received {
            rest: (!complete).then_some(body),
            parts,
            held,
            lease,
            reservation,
        }),
        Ok(Err(error)) => {
            reservation.finish(fault(inbound));
            Err(Failed::Unknown(format!("the response broke off: {error}")))
        }
        Err(_) => {
            reservation.finish(Outcome::Failure);
            Err(Failed::Timeout)
        }
    }
}

/// Reads the start of a body; returns whether it is the whole body.
async fn hold(body: &mut Incoming, held: &mut VecDeque<Frame<Bytes>>) -> hyper::Result<bool> {
    let until = Instant::now() + HELD_TIME;
    let mut bytes = 0;
    while !body.is_end_stream() {
        match timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(true),
            Ok(Some(frame)) => {
                let frame = frame?;
                bytes += frame.data_ref().map_or(0, Bytes::len);
                held.push_back(frame);
                if bytes >= HELD_BYTES && !body.is_end_stream() {
                    return Ok(false);
                }
            }
            Err(_) => return Ok(false),
        }
    }
    Ok(true)
}
