//! Response that is passed on to the caller, and what happens when it ends.

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
use crate::place::{Permit, Place};
use crate::pool::Lease;
use crate::replay::Source;

/// What is given back when an exchange ends; dropping it means that the caller cancelled.
#[derive(Debug)]
pub struct Ending {
    instance: Arc<Instance>,
    source: Source,
    lease: Option<Lease>,
    place: Option<Place>,
    /// Right to run the request.
    pub permit: Option<Permit>,
    /// Whether a worker shed an earlier attempt.
    pub shed: bool,
    latency: Duration,
    verdict: Verdict,
}

impl Ending {
    fn complete(&mut self) {
        self.end(self.verdict);
        // A worker that responded before it read the whole request would take the rest for the next one.
        if let Some(lease) = self.lease.take()
            && self.source.is_complete()
        {
            lease.return_to_pool();
        }
    }

    fn end(&mut self, verdict: Verdict) {
        if let Some(place) = self.place.take()
            && place.finish(verdict, self.latency)
        {
            self.instance.suspects.notify_one();
        }
        if let Some(permit) = self.permit.take() {
            let verdict = if self.shed { Verdict::Shed } else { verdict };
            permit.finish(verdict, self.latency);
        }
    }
}

/// A response that is ready to be passed on.
#[derive(Debug)]
pub struct Answer {
    /// Head of the response.
    pub parts: response::Parts,
    /// First part of the body, or all of it.
    pub held: VecDeque<Frame<Bytes>>,
    rest: Option<Incoming>,
    /// What is given back at the end.
    pub ending: Ending,
}

impl Answer {
    /// Combines a response with the place that it was given from.
    #[must_use]
    pub fn new(
        instance: &Arc<Instance>,
        call: &Call,
        received: Received,
        place: Option<Place>,
    ) -> Self {
        let Received {
            parts,
            held,
            rest,
            lease,
            latency,
            ..
        } = received;
        let verdict = if parts.status.is_server_error() {
            Verdict::Failure
        } else {
            Verdict::Success
        };
        let mut ending = Ending {
            instance: Arc::clone(instance),
            source: call.source.clone(),
            lease: Some(lease),
            place,
            permit: None,
            shed: false,
            latency,
            verdict,
        };
        if rest.is_none() {
            ending.complete();
        }
        Self {
            parts,
            held,
            rest,
            ending,
        }
    }

    /// Returns what the response says about the worker, if it completes.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.ending.verdict
    }

    /// Returns the whole body, if it is held.
    #[must_use]
    pub fn whole(&self) -> Option<Vec<u8>> {
        if self.rest.is_some() {
            return None;
        }
        let data = self.held.iter().filter_map(Frame::data_ref);
        Some(data.flat_map(|d| d.iter().copied()).collect())
    }

    /// Returns the response for the caller.
    #[must_use]
    pub fn into_response(mut self, call: &Call) -> Response<local_reply::Body> {
        if self.rest.is_none() {
            self.ending.complete();
        }
        let pause = Duration::from_millis(call.settings.timeout_ms.into());
        let limit = if call.stated {
            call.deadline
        } else {
            Instant::now() + pause
        };
        let body = Passed {
            held: self.held,
            rest: self.rest,
            ending: self.ending,
            limit: Box::pin(sleep_until(limit)),
            pause: (!call.stated).then_some(pause),
            waiting: None,
        };
        Response::from_parts(self.parts, body.boxed_unsync())
    }
}

/// Body that is passed on.
///
/// A deadline that the caller stated covers the whole body. Without one, the timeout of the configuration limits each
/// pause of the worker, so that a long transfer is not cut off.
struct Passed {
    held: VecDeque<Frame<Bytes>>,
    rest: Option<Incoming>,
    ending: Ending,
    limit: Pin<Box<Sleep>>,
    pause: Option<Duration>,
    /// Since when the worker has been due to send.
    waiting: Option<Instant>,
}

impl Passed {
    /// Adds the time for which the worker let the caller wait; a caller that reads slowly says nothing about the worker.
    fn arrived(&mut self) {
        if let Some(since) = self.waiting.take() {
            self.ending.latency += since.elapsed();
        }
    }

    fn fail(
        &mut self,
        verdict: Verdict,
        error: BodyError,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.rest = None;
        self.ending.end(verdict);
        // The connection closes here, and the error resets the caller's stream.
        self.ending.lease = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for Passed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let Some(frame) = this.held.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let Some(rest) = &mut this.rest else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut *rest).poll_frame(cx);
        let ended = rest.is_end_stream();
        if polled.is_pending() {
            this.waiting.get_or_insert_with(Instant::now);
        } else {
            this.arrived();
        }
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                if ended {
                    this.rest = None;
                    this.ending.complete();
                } else if let Some(pause) = this.pause {
                    this.limit.as_mut().reset(Instant::now() + pause);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                this.rest = None;
                this.ending.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                let verdict = if this.ending.source.has_failed() {
                    Verdict::Cancelled
                } else {
                    Verdict::Truncated
                };
                this.fail(verdict, error.into())
            }
            Poll::Pending => {
                ready!(this.limit.as_mut().poll(cx));
                this.arrived();
                let error = "the response did not arrive in time";
                this.fail(Verdict::Timeout, error.into())
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize = self
            .held
            .iter()
            .filter_map(Frame::data_ref)
            .map(Bytes::len)
            .sum();
        let held = held as u64;
        match &self.rest {
            None => SizeHint::with_exact(held),
            Some(rest) => match rest.size_hint().exact() {
                Some(left) => SizeHint::with_exact(held + left),
                None => SizeHint::default(),
            },
        }
    }
}
