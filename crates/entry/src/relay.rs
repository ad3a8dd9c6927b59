//! Relaying of a response to the caller, and the cleanup when it ends.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_routing::sample::Verdict;
use http::{Response, response};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::call::Call;
use crate::exchange::Received;
use crate::holding::Holder;
use crate::instance::Instance;
use crate::local_reply;
use crate::pool::Lease;
use crate::read_ahead::{End, Limit, ReadAhead};
use crate::replay::Source;
use crate::reservation::{Permit, Reservation};

/// Minimum time for which a caller may take nothing of a response. A caller that reads 20 kB/s empties a full send buffer in
/// steps that take this long.
const MIN_UNREAD_LIMIT: Duration = Duration::from_secs(30);

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

    fn end(mut self, end: End) {
        match end {
            End::Complete => self.complete(),
            End::Broken if self.source.has_failed() => self.finish(Verdict::Cancelled),
            End::Broken => self.finish(Verdict::Truncated),
            End::Late => self.finish(Verdict::Timeout),
            End::Unread => self.finish(Verdict::Cancelled),
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
    ///
    /// A deadline that the caller set covers the whole body. Without one, the configured timeout limits each stall of
    /// the worker, and a stall of the caller that holds the worker's slot, so that a long transfer is not cut off.
    #[must_use]
    pub fn into_response(mut self, call: &Call) -> Response<local_reply::Body> {
        if self.remaining.is_none() {
            self.completion.complete();
        }
        let limit = if call.has_explicit_deadline {
            Limit::Deadline(call.deadline)
        } else {
            let worker = Duration::from_millis(call.settings.timeout_ms.into());
            Limit::Stall {
                worker,
                caller: worker.max(MIN_UNREAD_LIMIT),
            }
        };
        let body = match self.remaining {
            None => ReadAhead::received(self.buffered),
            Some(remaining) => {
                let mut completion = self.completion;
                let on_end = move |end, waited| {
                    // Time that a slow caller takes to read is not the worker's latency.
                    completion.latency += waited;
                    completion.end(end);
                };
                ReadAhead::open(self.buffered, remaining, limit, &Holder::default(), on_end)
            }
        };
        Response::from_parts(self.parts, body.boxed_unsync())
    }
}
