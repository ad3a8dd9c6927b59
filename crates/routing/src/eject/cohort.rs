//! Workers that are compared with each other: those of a service, or of one of its routes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;

use super::cusum::{Cusum, TestParameters};

/// Time after its last attempt for which a worker counts as a peer.
const ACTIVE_TIMEOUT: Duration = Duration::from_mins(1);
/// Minimum number of active workers for a comparison.
const MIN_PEERS: usize = 2;

/// Evidence of an attempt: `None` where it gives none.
#[derive(Clone, Copy, Debug)]
pub(super) struct Signal {
    /// Whether the attempt failed.
    pub(super) error: Option<bool>,
    /// Whether the attempt was slow or shed.
    pub(super) slow: Option<bool>,
}

/// Parameters of the tests for both kinds of evidence.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tests {
    pub(super) error: TestParameters,
    pub(super) slow: TestParameters,
}

/// Evidence of both kinds against one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    error: Cusum,
    slow: Cusum,
}

impl Evidence {
    fn last_attempt(&self) -> Option<Instant> {
        self.error.last_attempt().max(self.slow.last_attempt())
    }
}

/// Evidence against workers that serve the same requests.
#[derive(Clone, Debug)]
pub(super) struct Cohort {
    tests: Tests,
    evidence: BTreeMap<Worker, Evidence>,
    /// Lower quartiles of the rates of bad attempts over the active workers.
    error_quartile: Option<f64>,
    slow_quartile: Option<f64>,
    /// Attempts since the last update of the quartiles.
    attempts_since_update: usize,
}

impl Cohort {
    pub(super) fn new(tests: Tests) -> Self {
        Self {
            tests,
            evidence: BTreeMap::new(),
            error_quartile: None,
            slow_quartile: None,
            attempts_since_update: 0,
        }
    }

    pub(super) fn observe(&mut self, now: Instant, worker: &Worker, signal: Signal) {
        if !self.evidence.contains_key(worker) {
            self.evidence.insert(worker.clone(), Evidence::default());
        }
        // The quartiles are updated after half an attempt per worker, so that they follow a fault of the whole service.
        self.attempts_since_update += 1;
        if 2 * self.attempts_since_update >= self.evidence.len() {
            self.update_quartiles(now);
        }
        if let Some(evidence) = self.evidence.get_mut(worker) {
            if let Some(bad) = signal.error {
                evidence
                    .error
                    .observe(now, bad, self.error_quartile, &self.tests.error);
            }
            if let Some(bad) = signal.slow {
                evidence
                    .slow
                    .observe(now, bad, self.slow_quartile, &self.tests.slow);
            }
        }
    }

    fn update_quartiles(&mut self, now: Instant) {
        let quartile = |score: fn(&Evidence) -> &Cusum| {
            let active = |s: &&Cusum| {
                s.last_attempt()
                    .is_some_and(|l| now.saturating_duration_since(l) < ACTIVE_TIMEOUT)
            };
            let mut rates: Vec<f64> = self
                .evidence
                .values()
                .map(score)
                .filter(active)
                .map(Cusum::rate)
                .collect();
            if rates.len() < MIN_PEERS {
                return None;
            }
            // Of two workers the better one is the reference. A healthy worker remains the reference while three of
            // four are faulty.
            let lower = (rates.len() - 1) / 4;
            Some(*rates.select_nth_unstable_by(lower, f64::total_cmp).1)
        };
        (self.error_quartile, self.slow_quartile) = (quartile(|t| &t.error), quartile(|t| &t.slow));
        self.attempts_since_update = 0;
    }

    /// Returns the evidence against a worker as a multiple of the threshold; 1 is sufficient.
    pub(super) fn level(&self, now: Instant, worker: &Worker) -> f64 {
        self.evidence.get(worker).map_or(0.0, |t| {
            let error = t.error.level(now, &self.tests.error);
            error.max(t.slow.level(now, &self.tests.slow))
        })
    }

    /// Returns the evidence against a worker beyond that in `part`, which comes from a subset of the attempts.
    pub(super) fn level_beyond(&self, now: Instant, worker: &Worker, part: &Evidence) -> f64 {
        self.evidence.get(worker).map_or(0.0, |t| {
            let error = t.error.level_beyond(now, &part.error, &self.tests.error);
            error.max(t.slow.level_beyond(now, &part.slow, &self.tests.slow))
        })
    }

    /// Returns whether there is more evidence against a worker than in `evidence`.
    pub(super) fn is_worse(&self, now: Instant, worker: &Worker, evidence: &Evidence) -> bool {
        let error = evidence.error.level(now, &self.tests.error);
        let level = error.max(evidence.slow.level(now, &self.tests.slow));
        self.level(now, worker) > level
    }

    /// Returns the evidence of both kinds against a worker.
    pub(super) fn evidence(&self, worker: &Worker) -> Option<&Evidence> {
        self.evidence.get(worker)
    }

    /// Returns the recent rate of bad attempts of a worker.
    pub(super) fn rate(&self, worker: &Worker) -> f64 {
        let evidence = self.evidence.get(worker);
        evidence.map_or(0.0, |t| t.error.rate().max(t.slow.rate()))
    }

    /// Returns whether a worker had an attempt in this cohort recently.
    pub(super) fn is_active(&self, now: Instant, worker: &Worker) -> bool {
        let last = self.evidence.get(worker).and_then(Evidence::last_attempt);
        last.is_some_and(|l| now.saturating_duration_since(l) < ACTIVE_TIMEOUT)
    }

    /// Returns whether no worker had an attempt in this cohort recently.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        let mut last_attempts = self.evidence.values().filter_map(Evidence::last_attempt);
        last_attempts.all(|l| now.saturating_duration_since(l) >= ACTIVE_TIMEOUT)
    }

    /// Subtracts the evidence against a worker that `part` collected from a subset of the attempts.
    pub(super) fn subtract(&mut self, now: Instant, worker: &Worker, part: &Self) {
        if let (Some(evidence), Some(part)) =
            (self.evidence.get_mut(worker), part.evidence.get(worker))
        {
            evidence.error.subtract(now, &part.error);
            evidence.slow.subtract(now, &part.slow);
        }
    }

    /// Sets the evidence against a worker.
    pub(super) fn reset(&mut self, now: Instant, worker: &Worker, level: f64) {
        if let Some(evidence) = self.evidence.get_mut(worker) {
            evidence.error.reset(now, level, &self.tests.error);
            evidence.slow.reset(now, 0.0, &self.tests.slow);
        }
    }

    pub(super) fn remove(&mut self, worker: &Worker) {
        self.evidence.remove(worker);
    }
}
