//! Probability that a worker is faulty.
//!
//! Load pattern: any worker may answer most of its requests with errors for some seconds while its health check passes.
//! It answers immediately, so it looks idle and would attract all requests. The filter is a Bayesian update: it weighs
//! each attempt by its likelihood at a faulty and at a healthy worker, and decays with the usual duration of such a
//! fault.

use std::time::{Duration, Instant};

use super::fault_duration::{Fault, FaultDuration};

/// Prior probability that a worker is faulty, equal to the usual share of faulty workers.
const PRIOR: f64 = 0.1;
/// Time constant of the decay of evidence. A single failure is as likely chance as the start of a fault.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Time constants for which a worker is avoided after it fails again when it is probed.
const DECAYS_PER_AVOIDANCE: f64 = 0.78;
/// Minimum delay after a failure for another failure to count as that of a new probe. Requests that fail earlier were
/// sent before the first failure was known.
const MIN_REPEAT_DELAY: Duration = Duration::from_secs(1);
/// Time after a failure for which a worker doesn't count as healthy. The floor demands 2 s; the scheduler learns of a
/// failure some milliseconds late, and needs time to use the worker.
const UNSOUND_TIME: Duration = Duration::from_millis(1_900);
/// Bounds of the probability, so that no number of equal results outweighs a later contradicting one.
const PROBABILITY_BOUNDS: (f64, f64) = (0.01, 0.99);
/// Probability from which a worker gets requests only if the alternative is a refusal. One failure keeps a worker above
/// it for 1.3 s, several failures for 1.6 s, and a failed probe for the rest of the usual duration of a fault.
const AVOID_THRESHOLD: f64 = 0.5;
/// Probability from which a success is reported to other entries.
const SUSPECT_THRESHOLD: f64 = 0.2;

/// Evidence that an attempt gives about its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The worker answered without an error.
    Success,
    /// The worker failed the request.
    Failure,
    /// The response is later than usual.
    Late,
    /// The worker shed the request.
    Shed,
}

impl Evidence {
    /// Returns the likelihood ratio of this evidence for a faulty worker against a healthy one. Faulty workers fail 40
    /// to 90% of their requests, healthy ones 1.2%; late responses and shed requests have other causes too.
    fn likelihood_ratio(self) -> f64 {
        match self {
            Self::Success => 0.15,
            Self::Failure => 50.0,
            Self::Late => 4.0,
            Self::Shed => 2.0,
        }
    }
}

/// Probability that a worker is faulty, as of the last update.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    probability: f64,
    updated_at: Instant,
    /// Failures since the last success.
    fault: Option<Fault>,
    /// Time of the last failure, also if the worker succeeded since.
    last_failure: Option<Instant>,
    decay_time: Duration,
}

impl Suspicion {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            probability: PRIOR,
            updated_at: now,
            fault: None,
            last_failure: None,
            decay_time: DECAY_TIME,
        }
    }

    /// Returns the probability that the worker is faulty, decayed to `now`.
    pub(super) fn probability(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        PRIOR + (self.probability - PRIOR) * (-age / self.decay_time.as_secs_f64()).exp()
    }

    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        self.probability(now) >= AVOID_THRESHOLD
    }

    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.probability(now) >= SUSPECT_THRESHOLD
    }

    /// Returns whether the worker is avoided for longer than a single failure justifies.
    pub(super) fn is_avoided_longer(&self, now: Instant) -> bool {
        self.decay_time > DECAY_TIME && self.is_avoided(now)
    }

    /// Returns whether an attempt was sent after the last failure. A request that was sent before may succeed although
    /// the worker fails those that came later.
    pub(super) fn is_current(&self, started: Instant) -> bool {
        self.fault.is_none_or(|fault| started >= fault.last_failure)
    }

    /// Returns whether the worker failed so recently that it doesn't count as healthy for the floor.
    pub(super) fn has_just_failed(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.last_failure.is_some_and(|at| age(at) < UNSOUND_TIME)
    }

    /// Returns whether the last attempt failed, so that the next one is a probe.
    pub(super) fn needs_probe(&self) -> bool {
        self.fault.is_some()
    }

    /// Updates the probability with the evidence of an attempt. `may_avoid_longer` is whether the service has enough
    /// other workers to avoid this one for longer.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        evidence: Evidence,
        durations: &mut FaultDuration,
        may_avoid_longer: bool,
    ) {
        let before = self.probability(now);
        let is_repeated =
            |fault: Fault| now.saturating_duration_since(fault.last_failure) >= MIN_REPEAT_DELAY;
        match evidence {
            Evidence::Success => {
                let ended = self.fault.take();
                if let Some(fault) =
                    ended.filter(|f| f.last_failure - f.first_failure >= MIN_REPEAT_DELAY)
                {
                    durations.record(now, fault);
                }
                self.decay_time = DECAY_TIME;
            }
            Evidence::Failure => {
                let first_failure = self.fault.map_or(now, |fault| fault.first_failure);
                let fault = Fault {
                    first_failure,
                    last_failure: now,
                };
                if self.fault.is_some_and(is_repeated) {
                    self.decay_time = if may_avoid_longer {
                        let avoidance = durations.remaining(fault);
                        avoidance.div_f64(DECAYS_PER_AVOIDANCE).max(DECAY_TIME)
                    } else {
                        DECAY_TIME
                    };
                }
                self.fault = Some(fault);
                self.last_failure = Some(now);
            }
            Evidence::Late | Evidence::Shed => {}
        }
        let odds = before / (1.0 - before) * evidence.likelihood_ratio();
        self.probability = (odds / (1.0 + odds)).clamp(PROBABILITY_BOUNDS.0, PROBABILITY_BOUNDS.1);
        self.updated_at = now;
    }
}
