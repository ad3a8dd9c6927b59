//! Probability that a worker is bad.
//!
//! Load pattern: any worker may answer most of its requests with errors for some seconds while its health check passes. It
//! answers at once, so that it looks idle and would draw all requests. The filter weighs each attempt by how likely a bad
//! and a healthy worker would have shown it, and forgets with the time for which such a fault usually lasts.

use std::time::{Duration, Instant};

/// Probability that a worker is bad when nothing was seen of it lately: about as many workers as fail at any time.
const PRIOR: f64 = 0.1;
/// Time in which what was seen loses most of its worth. A single failure is as often chance as the start of a fault.
const MEMORY: Duration = Duration::from_secs(2);
/// The same for a worker that fails again when it is tried after a pause. Such faults last 9 s on the deployments, and
/// each further try of a worker fails a request.
const LONG_MEMORY: Duration = Duration::from_secs(6);
/// Time after a failure from which another one is that of a new try; earlier ones were sent before the first was known.
const TRY: Duration = Duration::from_secs(1);
/// Bounds of the probability, so that no number of equal results outweighs a later different one.
const BOUNDS: (f64, f64) = (0.003, 0.99);
/// Probability from which a worker gets requests only when the alternative is a refusal. One failure leads above it for 1.3 s,
/// several for 1.6 s, and a failed new try for 4.7 s.
const AVOIDED: f64 = 0.5;
/// Probability from which a success is news for other entries.
const DOUBTFUL: f64 = 0.2;

/// What an attempt shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The worker answered.
    Success,
    /// The worker failed the request.
    Failure,
    /// The answer is unusually late.
    Late,
    /// The worker refused the request.
    Shed,
}

impl Evidence {
    /// Returns how much likelier a bad worker shows this than a healthy one. Bad workers fail 40 to 90% of their requests,
    /// healthy ones 1.2%; unusual lateness and refusals have other causes too.
    fn likelihood(self) -> f64 {
        match self {
            Self::Success => 0.15,
            Self::Failure => 50.0,
            Self::Late => 4.0,
            Self::Shed => 2.0,
        }
    }
}

/// Probability that a worker is bad, as of an instant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trust {
    bad: f64,
    at: Instant,
    /// Last failure since the last success.
    failed: Option<Instant>,
    memory: Duration,
}

impl Trust {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            bad: PRIOR,
            at: now,
            failed: None,
            memory: MEMORY,
        }
    }

    /// Returns the probability that the worker is bad.
    pub(super) fn bad(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        PRIOR + (self.bad - PRIOR) * (-age / self.memory.as_secs_f64()).exp()
    }

    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        self.bad(now) >= AVOIDED
    }

    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.bad(now) >= DOUBTFUL
    }

    /// Returns whether the worker is avoided for longer than a single failure is worth.
    pub(super) fn is_held(&self, now: Instant) -> bool {
        self.memory > MEMORY && self.is_avoided(now)
    }

    /// Takes in what an attempt shows; `may_hold` tells whether the service can spare the worker for longer.
    pub(super) fn observe(&mut self, now: Instant, evidence: Evidence, may_hold: bool) {
        let before = self.bad(now);
        match evidence {
            Evidence::Success => {
                self.failed = None;
                self.memory = MEMORY;
            }
            Evidence::Failure => {
                let again = |at: Instant| now.saturating_duration_since(at) >= TRY;
                if self.failed.is_some_and(again) {
                    self.memory = if may_hold { LONG_MEMORY } else { MEMORY };
                }
                self.failed = Some(now);
            }
            Evidence::Late | Evidence::Shed => {}
        }
        let odds = before / (1.0 - before) * evidence.likelihood();
        self.bad = (odds / (1.0 + odds)).clamp(BOUNDS.0, BOUNDS.1);
        self.at = now;
    }
}
