//! Relaying of a response body to the caller, and the cleanup when it ends.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use chestnutvalve_routing::bandwidth::Link;
use chestnutvalve_routing::schedule::Outcome;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep, sleep_until};

use super::attempt::Received;
use super::dispatcher::Reservation;
use super::inbound::Inbound;
use crate::clock;
use crate::header as name;
use crate::local_reply::{self, BodyError};
use crate::pool::Lease;
use crate::read_ahead::{End, Limit, ReadAhead};
use crate::replay::Source;

/// Maximum size of a chunk of a paced download. It occupies a link of 3.2 Mbit/s for 20 ms, for which short responses
/// have to wait.
const CHUNK_BYTES: usize = 8 * 1024;

/// Link whose bandwidth the downloads of an entry share.
pub type SharedLink = Arc<Mutex<Link>>;

/// Pacing of one download on a shared link.
struct Pacer {
    link: SharedLink,
    next_chunk: Pin<Box<Sleep>>,
}

impl Pacer {
    fn new(link: &SharedLink) -> Self {
        Self {
            link: Arc::clone(link),
            next_chunk: Box::pin(sleep_until(Instant::now())),
        }
    }

    /// Records that `bytes` are sent, and schedules the next chunk.
    fn record_sent(&mut self, bytes: usize) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let next = link.reserve(clock::now(), bytes);
        self.next_chunk.as_mut().reset(Instant::from_std(next));
    }
}

/// A download that is relayed to the caller in chunks that take turns on the link.
struct Paced {
    body: ReadAhead,
    pacer: Pacer,
    /// Rest of the frame whose first chunks were sent.
    rest: Bytes,
}

/// Returns the response for the caller. A transfer from the worker that lasts beyond the deadline is aborted, whether or
/// not the caller reads; a response that was received whole is delivered also later. A download shares the bandwidth of
/// `link` with others.
#[must_use]
pub fn relay(
    received: Received,
    inbound: &Inbound,
    link: Option<&SharedLink>,
) -> Response<local_reply::Body> {
    let Received {
        mut parts,
        buffered,
        rest,
        lease,
        mut reservation,
    } = received;
    let outcome = if parts.status.is_server_error() {
        Outcome::Failure
    } else {
        Outcome::Success
    };
    name::remove_hop_by_hop(&mut parts.headers);
    let body = if let Some(rest) = rest {
        if outcome == Outcome::Success && link.is_some() {
            reservation.release();
        }
        let (source, holder) = (inbound.source.clone(), inbound.holder.clone());
        let limit = Limit::Deadline(inbound.deadline);
        let on_end = move |end, _| {
            complete(end, &source, lease, reservation, outcome);
            match end {
                End::Complete => holder.record_complete(),
                // The rest of the response can't follow, so that its start need not be held for the caller.
                End::Late | End::Unread => holder.close_incomplete(),
                End::Broken => {}
            }
        };
        ReadAhead::open(buffered, rest, limit, &inbound.holder, on_end)
    } else {
        complete(End::Complete, &inbound.source, lease, reservation, outcome);
        inbound.holder.record_complete();
        ReadAhead::received(buffered)
    };
    let body = match link {
        Some(link) => Paced {
            body,
            pacer: Pacer::new(link),
            rest: Bytes::new(),
        }
        .boxed_unsync(),
        None => body.boxed_unsync(),
    };
    Response::from_parts(parts, body)
}

/// Ends the exchange with a worker.
fn complete(
    end: End,
    source: &Source,
    lease: Lease,
    reservation: Reservation,
    complete_outcome: Outcome,
) {
    reservation.finish(match end {
        End::Complete => complete_outcome,
        // A body that its caller broke off ends the exchange too.
        End::Broken if source.has_failed() => Outcome::Cancelled,
        End::Unread => Outcome::Cancelled,
        End::Broken | End::Late => Outcome::Failure,
    });
    // The connection of a worker that answered before it read the whole request cannot be reused: the worker would
    // read the rest of the body as the next request.
    if end == End::Complete && source.is_complete() {
        lease.return_to_pool();
    }
}

impl Body for Paced {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if this.is_end_stream() {
            return Poll::Ready(None);
        }
        ready!(this.pacer.next_chunk.as_mut().poll(cx));
        if this.rest.is_empty() {
            match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => this.rest = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                end => return Poll::Ready(end),
            }
        }
        let chunk = this.rest.split_to(this.rest.len().min(CHUNK_BYTES));
        this.pacer.record_sent(chunk.len());
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        match self.body.size_hint().exact() {
            Some(left) => SizeHint::with_exact(rest + left),
            None => SizeHint::default(),
        }
    }
}
