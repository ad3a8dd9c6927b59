//! Metrics and burn rate counters of one request, recorded when it ends.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use http::{Response, StatusCode};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::call::Call;
use crate::clock;
use crate::instance::Instance;
use crate::local_reply::{self, BodyError, Refusal};

/// Time that a request spends outside the entry's own processing, in microseconds.
#[derive(Debug, Default)]
pub struct Timings {
    queue: AtomicU64,
    attempts: AtomicU64,
}

impl Timings {
    /// Adds time that the request waited in the admission queue.
    pub fn add_queue_time(&self, time: Duration) {
        self.queue.fetch_add(micros(time), Ordering::Relaxed);
    }

    /// Adds time between the dispatch of an attempt and its result.
    pub fn add_attempt_time(&self, time: Duration) {
        self.attempts.fetch_add(micros(time), Ordering::Relaxed);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The caller disconnected.
    Cancelled,
    /// The complete response was relayed.
    Answered(StatusCode),
    /// The response was truncated.
    Broken,
    /// The entry refused or failed the request.
    Refused(Kind),
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Answered(status) if status.is_server_error() => "error",
            Self::Answered(_) => "answered",
            Self::Broken => "broken",
            Self::Refused(_) => "refused",
        }
    }

    /// Returns whether the request counts as good for the service level objective, or `None` when the caller caused the
    /// outcome.
    fn is_good(self) -> Option<bool> {
        match self {
            Self::Cancelled
            | Self::Refused(
                Kind::BadRequest | Kind::KeyReused | Kind::OutcomeUnknown | Kind::TooLarge,
            ) => None,
            Self::Answered(status) => Some(!status.is_server_error()),
            Self::Broken | Self::Refused(_) => Some(false),
        }
    }
}

/// Metrics of one request; recorded when dropped.
#[derive(Debug)]
pub struct RequestMetrics {
    instance: Arc<Instance>,
    service: Service,
    rank: Rank,
    started: Instant,
    timings: Arc<Timings>,
    /// Whether the request was forwarded to another entry, which then counts it.
    was_forwarded: bool,
    outcome: Outcome,
}

impl RequestMetrics {
    /// Starts the metrics of a request that arrived at `started`.
    #[must_use]
    pub fn new(instance: &Arc<Instance>, call: &Call, started: Instant) -> Self {
        Self {
            instance: Arc::clone(instance),
            service: call.service.clone(),
            rank: call.settings.rank,
            started,
            timings: Arc::clone(&call.timings),
            was_forwarded: false,
            outcome: Outcome::Cancelled,
        }
    }

    /// Records a refusal and returns the response for it.
    #[must_use]
    pub fn refuse(mut self, refusal: &Refusal) -> Response<local_reply::Body> {
        let kind = refusal.fault.kind;
        self.instance.meters.count_refusal(kind);
        self.outcome = Outcome::Refused(kind);
        local_reply::refusal(refusal)
    }

    /// Attaches the metrics to a response, at the end of which they are recorded; `forwarded` marks a response of another
    /// entry.
    #[must_use]
    pub fn attach(
        mut self,
        response: Response<local_reply::Body>,
        forwarded: bool,
    ) -> Response<local_reply::Body> {
        let queued = Duration::from_micros(self.timings.queue.load(Ordering::Relaxed));
        let attempts = Duration::from_micros(self.timings.attempts.load(Ordering::Relaxed));
        let added = self.started.elapsed().saturating_sub(queued + attempts);
        self.instance.meters.record_latency(added, queued);
        self.was_forwarded = forwarded;
        let status = response.status();
        response.map(|body| {
            let metered = MeteredBody {
                body,
                status,
                metrics: self,
            };
            metered.boxed_unsync()
        })
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        let service_state = self.instance.services.get(&self.service);
        let known = service_state.is_some_and(|s| !s.has_no_workers());
        let service = known.then_some(&self.service);
        let outcome = if self.was_forwarded {
            "forwarded"
        } else {
            self.outcome.name()
        };
        self.instance
            .meters
            .count_request(service, self.rank, outcome);
        if let Some(good) = self.outcome.is_good()
            && known
            && !self.was_forwarded
        {
            let mut burn = self.instance.burn();
            burn.record(clock::now(), &self.service, self.rank, good);
        }
    }
}

/// Body that records the metrics when it ends.
struct MeteredBody {
    body: local_reply::Body,
    status: StatusCode,
    metrics: RequestMetrics,
}

impl http_body::Body for MeteredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.metrics.outcome = Outcome::Answered(self.status),
            Poll::Ready(Some(Err(_))) => self.metrics.outcome = Outcome::Broken,
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for MeteredBody {
    fn drop(&mut self) {
        // The server does not poll a body of known size past its last frame.
        if matches!(self.metrics.outcome, Outcome::Cancelled) && self.body.is_end_stream() {
            self.metrics.outcome = Outcome::Answered(self.status);
        }
    }
}
