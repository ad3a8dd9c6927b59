//! Relaying of a response to the caller, and the cleanup when it ends.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_routing::sample::Verdict;
use http::{Response, response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::call::Call;
use crate::exchange::Received;
use crate::instance::Instance;
use crate::local_reply::{self, BodyError};
use crate::pool::Lease;
use crate::replay::Source;
use crate::reservation::{Permit, Reservation};

/// Resources that are released when an exchange ends. Dropping it unfinished counts as a cancellation by the caller.
#[derive(Debug)]
pub struct Completion {
    instance: Arc<Instance>,
    source: Source,
    lease: Option<Lease>,
    reservation: Option<Reservation>,
    /// Admission permit of the request.
    pub permit: Option<Permit>,
    /// Whether a worker shed an earlier attempt.
    pub shed: bool,
    latency: Duration,
    verdict: Verdict,
}

impl Completion {
    fn complete(&mut self) {
        self.finish(self.verdict);
        // A worker that responded before it read the whole request would parse the remainder as the next request.
        if let Some(lease) = self.lease.take()
            && self.source.is_complete()
        {
            lease.return_to_pool();
        }
    }

    fn finish(&mut self, verdict: Verdict) {
        if let Some(reservation) = self.reservation.take()
            && reservation.finish(verdict, self.latency)
        {
            self.instance.grants_due.notify_one();
        }
        if let Some(permit) = self.permit.take() {
            let verdict = if self.shed { Verdict::Shed } else { verdict };
            permit.finish(verdict, self.latency);
        }
    }
}

/// A response of a worker or another entry that is ready to be relayed.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head of the response.
    pub parts: response::Parts,
    /// Buffered start of the body, or all of it.
    pub buffered: VecDeque<Frame<Bytes>>,
    remaining: Option<Incoming>,
    /// Resources to release when the response ends.
    pub completion: Completion,
}

impl UpstreamResponse {
    /// Combines a response with the reservation under which it was received; `None` for a forwarded request.
    #[must_use]
    pub fn new(
        instance: &Arc<Instance>,
        call: &Call,
        received: Received,
        reservation: Option<Reservation>,
    ) -> Self {
        let Received {
            parts,
            buffered,
            remaining,
            lease,
            latency,
            ..
        } = received;
        let verdict = if parts.status.is_server_error() {
            Verdict::Failure
        } else {
            Verdict::Success
        };
        let mut completion = Completion {
            instance: Arc::clone(instance),
            source: call.source.clone(),
            lease: Some(lease),
            reservation,
            permit: None,
            shed: false,
            latency,
            verdict,
        };
        if remaining.is_none() {
            completion.complete();
        }
        Self {
            parts,
            buffered,
            remaining,
            completion,
        }
    }

    /// Returns the verdict on the worker, provided that the response completes.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.completion.verdict
    }

    /// Returns the complete body, or `None` if it is not fully buffered.
    #[must_use]
    pub fn full_body(&self) -> Option<Vec<u8>> {
        if self.remaining.is_some() {
            return None;
        }
        let data = self.buffered.iter().filter_map(Frame::data_ref);
        Some(data.flat_map(|d| d.iter().copied()).collect())
    }

    /// Returns the response for the caller, whose body is relayed as it arrives.
    #[must_use]
    pub fn into_response(mut self, call: &Call) -> Response<local_reply::Body> {
        if self.remaining.is_none() {
            self.completion.complete();
        }
        let stall_timeout = Duration::from_millis(call.settings.timeout_ms.into());
        let limit = if call.has_explicit_deadline {
            call.deadline
        } else {
            Instant::now() + stall_timeout
        };
        let body = RelayBody {
            buffered: self.buffered,
            remaining: self.remaining,
            completion: self.completion,
            timer: Box::pin(sleep_until(limit)),
            stall_timeout: (!call.has_explicit_deadline).then_some(stall_timeout),
            waiting_since: None,
        };
        Response::from_parts(self.parts, body.boxed_unsync())
    }
}

/// Body that is relayed to the caller.
///
/// A deadline that the caller set covers the whole body. Without one, the configured timeout limits each stall of the
/// worker, so that a long transfer is not cut off.
struct RelayBody {
    buffered: VecDeque<Frame<Bytes>>,
    remaining: Option<Incoming>,
    completion: Completion,
    timer: Pin<Box<Sleep>>,
    stall_timeout: Option<Duration>,
    /// Since when the body has been waiting for data from the worker.
    waiting_since: Option<Instant>,
}

impl RelayBody {
    /// Adds the wait for the worker to the latency. Time that a slow caller takes to read is not the worker's latency.
    fn record_wait(&mut self) {
        if let Some(since) = self.waiting_since.take() {
            self.completion.latency += since.elapsed();
        }
    }

    fn fail(
        &mut self,
        verdict: Verdict,
        error: BodyError,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.remaining = None;
        self.completion.finish(verdict);
        // The connection closes here, and the error resets the caller's stream.
        self.completion.lease = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let Some(frame) = this.buffered.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let Some(remaining) = &mut this.remaining else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut *remaining).poll_frame(cx);
        let ended = remaining.is_end_stream();
        if polled.is_pending() {
            this.waiting_since.get_or_insert_with(Instant::now);
        } else {
            this.record_wait();
        }
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                if ended {
                    this.remaining = None;
                    this.completion.complete();
                } else if let Some(stall_timeout) = this.stall_timeout {
                    this.timer.as_mut().reset(Instant::now() + stall_timeout);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                this.remaining = None;
                this.completion.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                let verdict = if this.completion.source.has_failed() {
                    Verdict::Cancelled
                } else {
                    Verdict::Truncated
                };
                this.fail(verdict, error.into())
            }
            Poll::Pending => {
                ready!(this.timer.as_mut().poll(cx));
                this.record_wait();
                let error = "the response exceeded its deadline or the stall timeout";
                this.fail(Verdict::Timeout, error.into())
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.remaining.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered: usize = self
            .buffered
            .iter()
            .filter_map(Frame::data_ref)
            .map(Bytes::len)
            .sum();
        let buffered = buffered as u64;
        match &self.remaining {
            None => SizeHint::with_exact(buffered),
            Some(remaining) => match remaining.size_hint().exact() {
                Some(left) => SizeHint::with_exact(buffered + left),
                None => SizeHint::default(),
            },
        }
    }
}
