//! Lifecycle of an ejection: proposed, on trial, normal again.

use std::time::{Duration, Instant};

use super::Settings;
use super::cohort::Signal;

/// Suspicion against a worker on trial that may get another trial request.
const TRIAL_SUSPICION: f64 = 0.85;
/// Errors during a trial that propose another ejection. A single error may be chance.
const MAX_TRIAL_ERRORS: u32 = 2;
/// Time after the last trial request after which unanswered ones are considered lost.
const LOST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without an ejection that cancels one earlier ejection.
const FORGIVE_INTERVAL: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    #[default]
    Normal,
    Proposed {
        until: Instant,
    },
    Trial(Trial),
}

#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    sent: u32,
    done: u32,
    errors: u32,
    slow: u32,
    last: Option<Instant>,
}

/// Result of a trial request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    Pending,
    Passed,
    Failed,
}

/// Ejection lifecycle of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Lifecycle {
    phase: Phase,
    /// Number of ejections that lengthen the next one.
    recent_ejections: u32,
    /// Time since which the worker has been normal, advanced with each cancelled ejection.
    normal_since: Option<Instant>,
}

impl Lifecycle {
    /// Returns whether an ejection is proposed.
    pub(super) fn is_proposed(&self, now: Instant) -> bool {
        matches!(self.phase, Phase::Proposed { until } if now < until)
    }

    /// Returns whether the worker has no proposed ejection and isn't on trial.
    pub(super) fn is_normal(&self) -> bool {
        matches!(self.phase, Phase::Normal)
    }

    /// Returns the suspicion that the phase implies, or `None` if the worker is normal.
    pub(super) fn suspicion(&self, now: Instant, settings: &Settings) -> Option<f64> {
        match self.phase {
            Phase::Normal => None,
            Phase::Proposed { until } if now < until => Some(1.0),
            Phase::Proposed { .. } => Some(TRIAL_SUSPICION),
            Phase::Trial(trial) => {
                let full = trial.sent >= settings.trial_requests;
                let lost = trial
                    .last
                    .is_some_and(|l| now.saturating_duration_since(l) >= LOST_TIMEOUT);
                Some(if full && !lost { 1.0 } else { TRIAL_SUSPICION })
            }
        }
    }

    /// Proposes an ejection; each further one lasts twice as long.
    pub(super) fn propose_ejection(&mut self, now: Instant, settings: &Settings) {
        self.forgive(now);
        let doubled = settings.base_ejection * 2_u32.saturating_pow(self.recent_ejections.min(16));
        self.recent_ejections += 1;
        let until = now + doubled.min(settings.max_ejection);
        self.phase = Phase::Proposed { until };
    }

    fn forgive(&mut self, now: Instant) {
        while let Some(since) = self.normal_since
            && self.recent_ejections > 0
            && now.saturating_duration_since(since) >= FORGIVE_INTERVAL
        {
            self.recent_ejections -= 1;
            self.normal_since = Some(since + FORGIVE_INTERVAL);
        }
    }

    /// Returns the trial, which starts when the ejection has ended.
    fn trial(&mut self, now: Instant) -> Option<&mut Trial> {
        if matches!(self.phase, Phase::Proposed { until } if now >= until) {
            self.phase = Phase::Trial(Trial::default());
        }
        match &mut self.phase {
            Phase::Trial(trial) => Some(trial),
            Phase::Normal | Phase::Proposed { .. } => None,
        }
    }

    /// Records the dispatch of a request.
    pub(super) fn record_dispatch(&mut self, now: Instant) {
        if let Some(trial) = self.trial(now) {
            if trial
                .last
                .is_some_and(|l| now.saturating_duration_since(l) >= LOST_TIMEOUT)
            {
                trial.sent = trial.done;
            }
            trial.sent += 1;
            trial.last = Some(now);
        }
    }

    /// Records the result of a request to a worker that isn't normal.
    pub(super) fn observe(&mut self, now: Instant, signal: Signal, settings: &Settings) -> Verdict {
        let Some(trial) = self.trial(now) else {
            return Verdict::Pending;
        };
        if signal.error.is_none() && signal.slow.is_none() {
            trial.sent = trial.sent.saturating_sub(1);
            return Verdict::Pending;
        }
        trial.done += 1;
        trial.sent = trial.sent.max(trial.done);
        trial.errors += u32::from(signal.error == Some(true));
        trial.slow += u32::from(signal.slow == Some(true));
        if trial.errors >= MAX_TRIAL_ERRORS || 2 * trial.slow > settings.trial_requests {
            self.propose_ejection(now, settings);
            return Verdict::Failed;
        }
        if trial.done < settings.trial_requests {
            return Verdict::Pending;
        }
        self.phase = Phase::Normal;
        self.normal_since = Some(now);
        Verdict::Passed
    }
}
