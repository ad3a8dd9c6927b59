//! Course of an ejection: out, on trial, normal again.

use std::time::{Duration, Instant};

use super::Settings;
use super::cohort::Signal;

/// Suspicion against a worker on trial that may get another trial request.
const ON_TRIAL: f64 = 0.85;
/// Errors on trial that put the worker out again. One may be chance.
const MAX_ERRORS: u32 = 2;
/// Time after the last trial request after which unanswered ones no longer count.
const LOST: Duration = Duration::from_secs(10);
/// Time without an ejection after which one earlier ejection is forgiven.
const FORGIVEN: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    #[default]
    Normal,
    Out {
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
    Open,
    Passed,
    Failed,
}

/// Course of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Course {
    phase: Phase,
    /// Ejections that are not forgiven; they lengthen the next one.
    strikes: u32,
    /// Instant from which the worker has been normal, less the time used for forgiveness.
    calm_since: Option<Instant>,
}

impl Course {
    /// Returns whether the worker is out.
    pub(super) fn is_out(&self, now: Instant) -> bool {
        matches!(self.phase, Phase::Out { until } if now < until)
    }

    /// Returns whether the worker is neither out nor on trial.
    pub(super) fn is_normal(&self) -> bool {
        matches!(self.phase, Phase::Normal)
    }

    /// Returns the suspicion that follows from the phase, if the worker is not normal.
    pub(super) fn suspicion(&self, now: Instant, settings: &Settings) -> Option<f64> {
        match self.phase {
            Phase::Normal => None,
            Phase::Out { until } if now < until => Some(1.0),
            Phase::Out { .. } => Some(ON_TRIAL),
            Phase::Trial(trial) => {
                let full = trial.sent >= settings.trial_requests;
                let lost = trial
                    .last
                    .is_some_and(|l| now.saturating_duration_since(l) >= LOST);
                Some(if full && !lost { 1.0 } else { ON_TRIAL })
            }
        }
    }

    /// Puts the worker out; each further time lasts twice as long.
    pub(super) fn eject(&mut self, now: Instant, settings: &Settings) {
        self.forgive(now);
        let doubled = settings.base_ejection * 2_u32.saturating_pow(self.strikes.min(16));
        self.strikes += 1;
        let until = now + doubled.min(settings.max_ejection);
        self.phase = Phase::Out { until };
    }

    fn forgive(&mut self, now: Instant) {
        while let Some(since) = self.calm_since
            && self.strikes > 0
            && now.saturating_duration_since(since) >= FORGIVEN
        {
            self.strikes -= 1;
            self.calm_since = Some(since + FORGIVEN);
        }
    }

    /// Returns the trial, which starts when the ejection is over.
    fn trial(&mut self, now: Instant) -> Option<&mut Trial> {
        if matches!(self.phase, Phase::Out { until } if now >= until) {
            self.phase = Phase::Trial(Trial::default());
        }
        match &mut self.phase {
            Phase::Trial(trial) => Some(trial),
            Phase::Normal | Phase::Out { .. } => None,
        }
    }

    /// Records that a request was sent.
    pub(super) fn record_dispatch(&mut self, now: Instant) {
        if let Some(trial) = self.trial(now) {
            if trial
                .last
                .is_some_and(|l| now.saturating_duration_since(l) >= LOST)
            {
                trial.sent = trial.done;
            }
            trial.sent += 1;
            trial.last = Some(now);
        }
    }

    /// Records the result of a request of a worker that is not normal.
    pub(super) fn observe(&mut self, now: Instant, signal: Signal, settings: &Settings) -> Verdict {
        let Some(trial) = self.trial(now) else {
            return Verdict::Open;
        };
        if signal.error.is_none() && signal.slow.is_none() {
            trial.sent = trial.sent.saturating_sub(1);
            return Verdict::Open;
        }
        trial.done += 1;
        trial.sent = trial.sent.max(trial.done);
        trial.errors += u32::from(signal.error == Some(true));
        trial.slow += u32::from(signal.slow == Some(true));
        if trial.errors >= MAX_ERRORS || 2 * trial.slow > settings.trial_requests {
            self.eject(now, settings);
            return Verdict::Failed;
        }
        if trial.done < settings.trial_requests {
            return Verdict::Open;
        }
        self.phase = Phase::Normal;
        self.calm_since = Some(now);
        Verdict::Passed
    }
}
