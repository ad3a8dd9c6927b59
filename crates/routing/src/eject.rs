//! Detection of workers that serve badly although they look alive.

use std::collections::BTreeMap;
use std::time::Instant;

use chestnutvalve_model::id::Worker;

use crate::sample::Sample;

/// Settings of a [`Detector`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {}

#[derive(Clone, Debug, Default)]
struct State {
    consecutive: u32,
    granted_until: Option<Instant>,
}

/// Detector for one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    workers: BTreeMap<Worker, State>,
}

impl Detector {
    /// Creates a detector.
    #[must_use]
    pub fn new(_settings: Settings) -> Self {
        Self::default()
    }

    /// Records that a request is sent to a worker, which counts against the trial requests of a re-admitted one.
    pub fn dispatched(&mut self, _now: Instant, _worker: &Worker) {}

    /// Records the result of an attempt.
    pub fn observe(&mut self, _now: Instant, worker: &Worker, _route: &str, sample: &Sample) {
        let state = self.workers.entry(worker.clone()).or_default();
        if sample.verdict.is_error() {
            state.consecutive += 1;
        } else {
            state.consecutive = 0;
        }
    }

    /// Returns the suspicion against a worker on a route, from 0 (healthy) to 1 (bad).
    #[must_use]
    pub fn suspicion(&self, _now: Instant, worker: &Worker, _route: &str) -> f64 {
        let errors = self.workers.get(worker).map_or(0, |s| s.consecutive);
        f64::from(errors.min(10)) / 10.0
    }

    /// Returns the workers to ask a grant for, most harmful first; held ones that are to be renewed are included.
    pub fn wanted(&mut self, _now: Instant) -> Vec<Worker> {
        let bad = self.workers.iter().filter(|(_, s)| s.consecutive >= 10);
        bad.map(|(worker, _)| worker.clone()).collect()
    }

    /// Returns the workers with a grant that lasts.
    #[must_use]
    pub fn held(&self, now: Instant) -> Vec<Worker> {
        let held = self.workers.keys().filter(|w| self.is_ejected(now, w));
        held.cloned().collect()
    }

    /// Replaces the grants by those of an answer; workers that it does not list are no longer ejected.
    pub fn granted(&mut self, _now: Instant, workers: &[Worker], until: Instant) {
        for (worker, state) in &mut self.workers {
            state.granted_until = workers.contains(worker).then_some(until);
        }
    }

    /// Returns whether a worker is ejected, which is only so while a grant lasts.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, worker: &Worker) -> bool {
        let until = self.workers.get(worker).and_then(|s| s.granted_until);
        until.is_some_and(|until| now < until)
    }

    /// Forgets a worker.
    pub fn remove(&mut self, worker: &Worker) {
        self.workers.remove(worker);
    }
}
