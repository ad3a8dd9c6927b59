//! Relaying of a response body to the caller, and the cleanup when it ends.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use chestnutvalve_routing::bandwidth::Link;
use chestnutvalve_routing::schedule::Outcome;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use super::attempt::Received;
use super::dispatcher::Reservation;
use crate::clock;
use crate::header as name;
use crate::local_reply::{self, BodyError};
use crate::pool::Lease;
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

/// A response body that is relayed to the caller. Dropping it closes the worker's connection, which cancels the
/// request.
struct Relay {
    buffered: VecDeque<Frame<Bytes>>,
    rest: Option<Incoming>,
    source: Source,
    lease: Option<Lease>,
    reservation: Option<Reservation>,
    outcome: Outcome,
    deadline: Pin<Box<Sleep>>,
    /// Present for a download over a narrow link.
    pacer: Option<Pacer>,
}

/// Returns the response for the caller. A transfer that lasts beyond `deadline` is aborted. A download shares the
/// bandwidth of `link` with others.
#[must_use]
pub fn relay(
    received: Received,
    source: &Source,
    deadline: Instant,
    link: Option<&SharedLink>,
) -> Response<local_reply::Body> {
    let Received {
        mut parts,
        buffered,
        rest,
        lease,
        reservation,
    } = received;
    let outcome = if parts.status.is_server_error() {
        Outcome::Failure
    } else {
        Outcome::Success
    };
    name::remove_hop_by_hop(&mut parts.headers);
    let mut relay = Relay {
        buffered,
        rest,
        source: source.clone(),
        lease: Some(lease),
        reservation: Some(reservation),
        outcome,
        deadline: Box::pin(sleep_until(deadline)),
        pacer: link.map(Pacer::new),
    };
    if relay.rest.is_none() {
        relay.complete();
    } else if outcome == Outcome::Success && relay.pacer.is_some() {
        relay.reservation.iter_mut().for_each(Reservation::release);
    }
    Response::from_parts(parts, relay.boxed_unsync())
}

impl Relay {
    fn complete(&mut self) {
        self.rest = None;
        if let Some(reservation) = self.reservation.take() {
            reservation.finish(self.outcome);
        }
        // The connection of a worker that answered before it read the whole request cannot be reused: the worker would
        // read the rest of the body as the next request.
        if let Some(lease) = self.lease.take()
            && self.source.is_complete()
        {
            lease.return_to_pool();
        }
    }

    /// Returns whether the next chunk must wait for its time on the link.
    fn is_paced(&mut self, cx: &mut Context<'_>) -> bool {
        let pacer = self.pacer.as_mut();
        pacer.is_some_and(|pacer| pacer.next_chunk.as_mut().poll(cx).is_pending())
    }

    /// Sends the first chunk of a frame and keeps the rest in the buffer.
    fn take_chunk(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        let Some(pacer) = &mut self.pacer else {
            return frame;
        };
        match frame.into_data() {
            Ok(mut data) => {
                let rest = data.split_off(data.len().min(CHUNK_BYTES));
                if !rest.is_empty() {
                    self.buffered.push_front(Frame::data(rest));
                }
                pacer.record_sent(data.len());
                Frame::data(data)
            }
            Err(frame) => frame,
        }
    }

    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.rest = None;
        self.buffered.clear();
        if let Some(reservation) = self.reservation.take() {
            // A body that its caller broke off ends the exchange too.
            reservation.finish(if self.source.has_failed() {
                Outcome::Cancelled
            } else {
                Outcome::Failure
            });
        }
        self.lease = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for Relay {
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
        if this.is_paced(cx) {
            ready!(this.deadline.as_mut().poll(cx));
            return this.fail("the response was not complete before the deadline".into());
        }
        if let Some(frame) = this.buffered.pop_front() {
            return Poll::Ready(Some(Ok(this.take_chunk(frame))));
        }
        let Some(rest) = &mut this.rest else {
            return Poll::Ready(None);
        };
        match Pin::new(&mut *rest).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if rest.is_end_stream() {
                    this.complete();
                }
                Poll::Ready(Some(Ok(this.take_chunk(frame))))
            }
            Poll::Ready(None) => {
                this.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => this.fail(error.into()),
            Poll::Pending => {
                ready!(this.deadline.as_mut().poll(cx));
                this.fail("the response was not complete before the deadline".into())
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.iter().filter_map(Frame::data_ref);
        let buffered = buffered.map(Bytes::len).sum::<usize>() as u64;
        let rest = self.rest.as_ref().map(Body::size_hint);
        match rest.map_or(Some(0), |hint| hint.exact()) {
            Some(left) => SizeHint::with_exact(buffered + left),
            None => SizeHint::default(),
        }
    }
}
