//! Usual duration of the faults of a service's workers, learned from those that ended.

use std::time::{Duration, Instant};

/// Duration assumed before the first fault has ended.
const INITIAL_DURATION: Duration = Duration::from_secs(6);
/// Bounds of the learned duration. The upper one limits how long a worker that has recovered stays without requests.
const DURATION_BOUNDS: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));
/// Time for which a worker is avoided by an entry that decides for itself. It sees a part of the requests only, so that
/// what it would learn is mostly chance.
const UNCOORDINATED_AVOIDANCE: Duration = Duration::from_millis(4_680);
/// Weight of a new duration in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Share of the usual duration for which a fault that outlasts it is expected to continue.
const MIN_REMAINING_SHARE: f64 = 0.3;

/// A fault of a worker: several failures without a success between them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    pub(super) first_failure: Instant,
    pub(super) last_failure: Instant,
}

/// Mean duration of faults.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultDuration {
    mean: Duration,
    is_coordinated: bool,
}

impl Default for FaultDuration {
    fn default() -> Self {
        Self {
            mean: INITIAL_DURATION,
            is_coordinated: false,
        }
    }
}

impl FaultDuration {
    /// Sets whether all requests of the zone pass through the scheduler.
    pub(super) fn set_coordinated(&mut self, is_coordinated: bool) {
        self.is_coordinated = is_coordinated;
    }

    /// Returns whether all requests of the zone pass through the scheduler.
    pub(super) fn is_coordinated(&self) -> bool {
        self.is_coordinated
    }

    /// Records a fault after which the worker answered at `now`. It ended at some time since its last failure.
    pub(super) fn record(&mut self, now: Instant, fault: Fault) {
        let unknown = now.saturating_duration_since(fault.last_failure);
        let duration = fault
            .last_failure
            .saturating_duration_since(fault.first_failure)
            + unknown / 2;
        let mean = self.mean.mul_f64(1.0 - NEWEST_WEIGHT) + duration.mul_f64(NEWEST_WEIGHT);
        self.mean = mean.clamp(DURATION_BOUNDS.0, DURATION_BOUNDS.1);
    }

    /// Returns how long a fault is expected to last after its last failure.
    pub(super) fn remaining(&self, fault: Fault) -> Duration {
        if !self.is_coordinated {
            return UNCOORDINATED_AVOIDANCE;
        }
        let elapsed = fault
            .last_failure
            .saturating_duration_since(fault.first_failure);
        let least = self.mean.mul_f64(MIN_REMAINING_SHARE);
        self.mean.saturating_sub(elapsed).max(least)
    }
}
