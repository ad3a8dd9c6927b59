//! What a request holds while it waits and runs; everything is given back when dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::{Incarnation, Worker};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::sample::{Sample, Verdict};
use tokio::sync::oneshot;

use crate::answer::Refusal;
use crate::clock;
use crate::serving::{Candidate, Serving};

/// Share of a new latency in the typical one.
const TYPICAL_WEIGHT: f64 = 0.125;

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    serving: Arc<Serving>,
    id: u64,
    rank: Rank,
    receiver: oneshot::Receiver<Result<(), Refusal>>,
    answered: bool,
}

impl Waiting {
    pub(crate) fn new(
        serving: &Arc<Serving>,
        id: u64,
        rank: Rank,
        receiver: oneshot::Receiver<Result<(), Refusal>>,
    ) -> Self {
        Self {
            serving: Arc::clone(serving),
            id,
            rank,
            receiver,
            answered: false,
        }
    }

    /// Waits for the admission's decision.
    pub(crate) async fn answer(&mut self) -> Result<(), Refusal> {
        let answer = (&mut self.receiver).await;
        self.answered = true;
        let dropped = || Err(Refusal::new(Kind::Overloaded, "the queue was dropped"));
        answer.unwrap_or_else(|_| dropped())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let queued = {
            let mut inner = self.serving.lock();
            inner.admission.cancel(self.id);
            inner.waiters.remove(&self.id).is_some()
        };
        if !queued && matches!(self.receiver.try_recv(), Ok(Ok(()))) {
            let sample = Sample {
                latency: Duration::ZERO,
                verdict: Verdict::Cancelled,
            };
            self.serving.finish_permit(self.rank, &sample);
        }
    }
}

/// Right to run one request; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    serving: Arc<Serving>,
    rank: Rank,
    started: Instant,
    sample: Option<Sample>,
}

impl Permit {
    pub(crate) fn new(serving: &Arc<Serving>, rank: Rank) -> Self {
        Self {
            serving: Arc::clone(serving),
            rank,
            started: clock::now(),
            sample: None,
        }
    }

    /// Records how the request ended.
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
        self.serving.finish_permit(self.rank, &sample);
    }
}

/// Place of one attempt at a worker; given back when dropped.
#[derive(Debug)]
pub struct Place {
    serving: Arc<Serving>,
    /// Worker of the attempt.
    pub worker: Worker,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Address of the worker.
    pub address: SocketAddr,
    route: String,
    started: Instant,
    sample: Option<Sample>,
}

impl Place {
    pub(crate) fn new(
        serving: &Arc<Serving>,
        worker: Worker,
        candidate: &Candidate,
        route: &str,
        now: Instant,
    ) -> Self {
        Self {
            serving: Arc::clone(serving),
            worker,
            incarnation: candidate.incarnation,
            address: candidate.address,
            route: route.to_owned(),
            started: now,
            sample: None,
        }
    }

    /// Records how the attempt ended; returns whether the worker should be ejected and is not.
    #[must_use]
    pub fn finish(mut self, verdict: Verdict, latency: Duration) -> bool {
        let sample = Sample { latency, verdict };
        self.sample = Some(sample);
        let now = clock::now();
        let mut inner = self.serving.lock();
        inner
            .detector
            .observe(now, &self.worker, &self.route, &sample);
        if verdict == Verdict::Success {
            inner.typical = match inner.typical {
                Duration::ZERO => latency,
                typical => typical.mul_f64(1.0 - TYPICAL_WEIGHT) + latency.mul_f64(TYPICAL_WEIGHT),
            };
        }
        let ejected = inner.detector.is_ejected(now, &self.worker);
        !ejected && inner.detector.candidates(now).contains(&self.worker)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = clock::now();
        let cancelled = Sample {
            latency: now.saturating_duration_since(self.started),
            verdict: Verdict::Cancelled,
        };
        let sample = self.sample.unwrap_or(cancelled);
        let mut inner = self.serving.lock();
        inner.balancer.finish(now, &self.worker, &sample);
        if let Some(places) = inner.places.get_mut(&self.worker) {
            *places -= 1;
            if *places == 0 {
                inner.places.remove(&self.worker);
            }
        }
    }
}
