//! Guards of a request: its queue entry, its permit to run and its reservation at a worker. Dropping one releases it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::{Incarnation, Worker};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::sample::{Sample, Verdict};
use tokio::sync::oneshot;

use crate::clock;
use crate::local_reply::Refusal;
use crate::service::{Candidate, ServiceState};

/// Weight of a new latency in the moving average of the typical latency.
const LATENCY_WEIGHT: f64 = 0.125;

/// A request in the admission queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    service_state: Arc<ServiceState>,
    id: u64,
    rank: Rank,
    receiver: oneshot::Receiver<Result<(), Refusal>>,
    decided: bool,
}

impl Waiter {
    pub(crate) fn new(
        service_state: &Arc<ServiceState>,
        id: u64,
        rank: Rank,
        receiver: oneshot::Receiver<Result<(), Refusal>>,
    ) -> Self {
        Self {
            service_state: Arc::clone(service_state),
            id,
            rank,
            receiver,
            decided: false,
        }
    }

    /// Waits for the decision of admission control.
    pub(crate) async fn decision(&mut self) -> Result<(), Refusal> {
        let decision = (&mut self.receiver).await;
        self.decided = true;
        let dropped = || Err(Refusal::new(Kind::Overloaded, "the queue closed"));
        decision.unwrap_or_else(|_| dropped())
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let queued = {
            let mut inner = self.service_state.lock();
            inner.admission.cancel(self.id);
            inner.waiters.remove(&self.id).is_some()
        };
        if !queued && matches!(self.receiver.try_recv(), Ok(Ok(()))) {
            let sample = Sample {
                latency: Duration::ZERO,
                verdict: Verdict::Cancelled,
            };
            self.service_state.release_permit(self.rank, &sample);
        }
    }
}

/// Permit to run one request; returned to admission control when dropped.
#[derive(Debug)]
pub struct Permit {
    service_state: Arc<ServiceState>,
    rank: Rank,
    started: Instant,
    sample: Option<Sample>,
}

impl Permit {
    pub(crate) fn new(service_state: &Arc<ServiceState>, rank: Rank) -> Self {
        Self {
            service_state: Arc::clone(service_state),
            rank,
            started: clock::now(),
            sample: None,
        }
    }

    /// Records how the request ended, and returns the permit. Without this call a drop counts as cancelled.
    pub fn finish(mut self, verdict: Verdict, latency: Duration) {
        self.sample = Some(Sample { latency, verdict });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let cancelled = Sample {
            latency: clock::now().saturating_duration_since(self.started),
            verdict: Verdict::Cancelled,
        };
        let sample = self.sample.unwrap_or(cancelled);
        self.service_state.release_permit(self.rank, &sample);
    }
}

/// Slot of a worker that is reserved for one attempt; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    service_state: Arc<ServiceState>,
    /// Worker at which the slot is reserved.
    pub worker: Worker,
    /// Incarnation of the worker when the slot was reserved.
    pub incarnation: Incarnation,
    /// Address of the worker when the slot was reserved.
    pub address: SocketAddr,
    route: String,
    started: Instant,
    sample: Option<Sample>,
}

impl Reservation {
    pub(crate) fn new(
        service_state: &Arc<ServiceState>,
        worker: Worker,
        candidate: &Candidate,
        route: &str,
        now: Instant,
    ) -> Self {
        Self {
            service_state: Arc::clone(service_state),
            worker,
            incarnation: candidate.incarnation,
            address: candidate.address,
            route: route.to_owned(),
            started: now,
            sample: None,
        }
    }

    /// Records how the attempt ended; returns whether the worker should be ejected but is not yet.
    #[must_use]
    pub fn finish(mut self, verdict: Verdict, latency: Duration) -> bool {
        let sample = Sample { latency, verdict };
        self.sample = Some(sample);
        let now = clock::now();
        let mut inner = self.service_state.lock();
        inner
            .detector
            .observe(now, &self.worker, &self.route, &sample);
        if verdict == Verdict::Success {
            inner.typical_latency = match inner.typical_latency {
                Duration::ZERO => latency,
                typical => typical.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT),
            };
        }
        let ejected = inner.detector.is_ejected(now, &self.worker);
        !ejected && inner.detector.candidates(now).contains(&self.worker)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = clock::now();
        let cancelled = Sample {
            latency: now.saturating_duration_since(self.started),
            verdict: Verdict::Cancelled,
        };
        let sample = self.sample.unwrap_or(cancelled);
        let mut inner = self.service_state.lock();
        inner.balancer.finish(now, &self.worker, &sample);
        if let Some(in_flight) = inner.in_flight.get_mut(&self.worker) {
            *in_flight -= 1;
            if *in_flight == 0 {
                inner.in_flight.remove(&self.worker);
            }
        }
    }
}
