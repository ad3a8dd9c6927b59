//! State of one worker as seen by one entry.

use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Zone};

use super::fault_duration::FaultDuration;
use super::notice::Hold;
use super::suspicion::{Evidence, Suspicion};

/// Maximum half-life of the reported load of other entries. The half-life is the typical response time if that is
/// shorter.
const MAX_REPORT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Minimum half-life of the reported load, for services that answer immediately.
const MIN_REPORT_HALF_LIFE: Duration = Duration::from_millis(10);
/// Cost factor of a worker that is warming up.
const WARM_UP_COST_FACTOR: f64 = 2.0;
/// Additional load, in slots, of a worker that is certainly faulty. A failed request that must be executed at most once
/// is lost; other requests cost one more attempt.
const FAULTY_COST: f64 = 1.0;
const FAULTY_COST_AT_MOST_ONCE: f64 = 4.0;
/// The same where a coordinator sees all requests of a zone. An entry that sees a part of them knows few workers well, and
/// would overload these.
const FAULTY_COST_AT_MOST_ONCE_COORDINATED: f64 = 10.0;
/// Time for which a worker is avoided after a connection to it failed. It doubles with each further failure, up to
/// [`MAX_DELAY_DOUBLINGS`] failures. Network paths are interrupted for some seconds.
const UNREACHABLE_DELAY: Duration = Duration::from_secs(1);
const MAX_DELAY_DOUBLINGS: u32 = 3;
/// Time without a request after which a worker counts as idle. The share of the healthy workers that the floor demands
/// must get a request every 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a worker counts as full after it shed a request.
const FULL_DURATION: Duration = Duration::from_millis(100);
/// Weight of a new response time in the worker's mean.
const RESPONSE_TIME_WEIGHT: f64 = 0.2;
/// Time constant of the decay of a worker's response time. A worker that was slow must be tried again.
const RESPONSE_TIME_DECAY: Duration = Duration::from_secs(5);
/// Response time difference that has no effect on the cost.
const RESPONSE_TIME_TOLERANCE: Duration = Duration::from_millis(5);
/// Bounds of a worker's response time relative to that of the service.
const RELATIVE_TIME_BOUNDS: (f64, f64) = (0.5, 10.0);
/// Multiple of the typical response time after which an unanswered request adds to the worker's cost.
const OVERDUE_FACTOR: u32 = 6;

/// Registered properties of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Incarnation of the worker; a restart changes it.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: Zone,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Time from its registration for which it responds more slowly.
    pub warm_up: Duration,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The worker answered without an error.
    Success,
    /// The worker returned an error, truncated the response or timed out.
    Failure,
    /// The connection could not be opened, which concerns only the path from this entry.
    Unreachable,
    /// The worker shed the request because it is full.
    Shed,
    /// Another worker uses the address, or this worker no longer serves.
    Gone,
    /// The caller disconnected, which gives no evidence about the worker.
    Cancelled,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    /// Dispatch time.
    started: Instant,
    /// Whether the request fails if this attempt does.
    is_last: bool,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    spec: Spec,
    warm_from: Instant,
    gone: bool,
    /// Attempts in progress.
    running: Vec<Attempt>,
    /// Time of the last load report, and the load of other entries in it.
    other_load: Option<(Instant, f64)>,
    suspicion: Suspicion,
    /// Consecutive connection failures, and the time until which no connection is tried.
    unreachable: (u32, Option<Instant>),
    full_until: Option<Instant>,
    /// End of the pause that the worker asked this entry for.
    paused_until: Option<Instant>,
    /// Time of the last dispatch.
    last_sent: Instant,
    /// Mean response time in seconds, and the time of its last update.
    response_time: Option<(f64, Instant)>,
}

impl Upstream {
    pub(super) fn new(now: Instant, spec: Spec) -> Self {
        Self {
            warm_from: now + spec.warm_up,
            spec,
            gone: false,
            running: Vec::new(),
            other_load: None,
            suspicion: Suspicion::new(now),
            unreachable: (0, None),
            full_until: None,
            paused_until: None,
            last_sent: now,
            response_time: None,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.spec.incarnation
    }

    pub(super) fn has_incarnation_of(&self, spec: &Spec) -> bool {
        self.spec.incarnation == spec.incarnation
    }

    pub(super) fn update(&mut self, spec: &Spec) {
        self.spec = spec.clone();
    }

    pub(super) fn zone(&self) -> &Zone {
        &self.spec.zone
    }

    /// Returns the slots that are available to requests, 0 for an avoided worker.
    pub(super) fn slots(&self, now: Instant) -> u32 {
        if self.hold(now).is_some() || self.is_avoided(now) {
            0
        } else {
            self.spec.slots
        }
    }

    pub(super) fn is_gone(&self) -> bool {
        self.gone
    }

    /// Applies what the worker said about itself.
    pub(super) fn apply_hold(&mut self, hold: Hold) {
        match hold {
            Hold::Left => self.gone = true,
            Hold::Paused(until) => self.paused_until = Some(until),
        }
    }

    /// Returns why the worker must not get a request of this entry now.
    pub(super) fn hold(&self, now: Instant) -> Option<Hold> {
        if self.gone {
            return Some(Hold::Left);
        }
        self.paused_until(now).map(Hold::Paused)
    }

    /// Returns the end of the pause that the worker asked this entry for, if it has not passed.
    pub(super) fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns whether the worker may get a request, which another entry sends if `remote` is set.
    pub(super) fn takes(&self, now: Instant, remote: bool) -> bool {
        !self.gone && (remote || self.paused_until(now).is_none())
    }

    pub(super) fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable.1.is_some_and(|until| now < until)
    }

    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        self.is_unreachable(now) || self.suspicion.is_avoided(now)
    }

    pub(super) fn suspicion(&self, now: Instant) -> f64 {
        self.suspicion.probability(now)
    }

    /// Returns whether a success of an attempt that was sent at `started` shows that the worker has recovered.
    pub(super) fn is_recovered_by(&self, now: Instant, started: Instant) -> bool {
        self.suspicion.is_suspect(now) && self.suspicion.is_current(started)
    }

    pub(super) fn is_avoided_longer(&self, now: Instant) -> bool {
        self.suspicion.is_avoided_longer(now)
    }

    pub(super) fn observe(
        &mut self,
        now: Instant,
        evidence: Evidence,
        durations: &mut FaultDuration,
        may_avoid_longer: bool,
    ) {
        self.suspicion
            .observe(now, evidence, durations, may_avoid_longer);
    }

    pub(super) fn has_just_failed(&self, now: Instant) -> bool {
        self.suspicion.has_just_failed(now)
    }

    /// Returns whether the worker's last attempt failed and a probe is in progress, so that another one would only fail
    /// one more request.
    pub(super) fn is_probed(&self) -> bool {
        self.suspicion.needs_probe() && !self.running.is_empty()
    }

    /// Returns the estimated number of requests of all entries at the worker.
    fn load(&self, now: Instant, typical: Duration) -> f64 {
        let half_life = typical.clamp(MIN_REPORT_HALF_LIFE, MAX_REPORT_HALF_LIFE);
        let others = self.other_load.map_or(0.0, |(at, others)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            others * 0.5_f64.powf(age / half_life.as_secs_f64())
        });
        f64::from(self.running()) + others
    }

    pub(super) fn has_room(&self, now: Instant, typical: Duration) -> bool {
        let full = self.full_until.is_some_and(|until| now < until);
        !full && self.load(now, typical) + 0.5 <= f64::from(self.spec.slots)
    }

    /// Returns the cost of one more request at this worker, in slots. `faulty` is that of a worker that is certainly faulty.
    pub(super) fn cost(&self, now: Instant, typical: Duration, faulty: f64) -> f64 {
        let load = self.load(now, typical);
        let typical = typical.as_secs_f64();
        let relative_time = self.response_time.map_or(1.0, |(time, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let decay = (-age / RESPONSE_TIME_DECAY.as_secs_f64()).exp();
            let tolerance = RESPONSE_TIME_TOLERANCE.as_secs_f64();
            1.0 + decay * ((time + tolerance) / (typical + tolerance) - 1.0)
        });
        let warm_up = if now < self.warm_from {
            WARM_UP_COST_FACTOR
        } else {
            1.0
        };
        let overdue = typical * f64::from(OVERDUE_FACTOR);
        let late = self
            .running
            .iter()
            .filter(|a| now.saturating_duration_since(a.started).as_secs_f64() > overdue);
        let late = f64::from(u32::try_from(late.count()).unwrap_or(u32::MAX));
        let slots = f64::from(self.spec.slots.max(1));
        let load = (load + 1.0) / slots;
        load * relative_time.clamp(RELATIVE_TIME_BOUNDS.0, RELATIVE_TIME_BOUNDS.1) * warm_up
            + faulty * self.suspicion.probability(now)
            + late
    }

    /// Returns whether the worker got no request for [`IDLE_TIMEOUT`].
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_sent) >= IDLE_TIMEOUT
    }

    /// Returns whether the request of an attempt fails if the attempt does.
    pub(super) fn is_last_attempt(&self, started: Instant) -> bool {
        let mut running = self.running.iter();
        running.any(|a| a.started == started && a.is_last)
    }

    pub(super) fn start(&mut self, now: Instant, is_last: bool) {
        self.last_sent = now;
        self.running.push(Attempt {
            started: now,
            is_last,
        });
    }

    pub(super) fn record_load(&mut self, now: Instant, load: u32) {
        // The reported load includes this entry's requests, also the one whose response carries the report.
        let others = load.saturating_sub(self.running());
        self.other_load = Some((now, f64::from(others)));
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        started: Instant,
        outcome: Outcome,
        typical: Duration,
        durations: &mut FaultDuration,
        may_avoid_longer: bool,
    ) {
        let Some(at) = self.running.iter().position(|a| a.started == started) else {
            // The attempt was made at an earlier incarnation and says nothing about this one.
            return;
        };
        self.running.swap_remove(at);
        match outcome {
            Outcome::Unreachable => {
                let failures = self.unreachable.0 + 1;
                let delay =
                    UNREACHABLE_DELAY * 2_u32.saturating_pow(failures.min(MAX_DELAY_DOUBLINGS) - 1);
                self.unreachable = (failures, Some(now + delay));
            }
            Outcome::Success => {
                self.unreachable = (0, None);
                let time = now.saturating_duration_since(started).as_secs_f64();
                let before = self
                    .response_time
                    .map_or(typical.as_secs_f64(), |(time, _)| time);
                self.response_time = Some((before + RESPONSE_TIME_WEIGHT * (time - before), now));
                if self.suspicion.is_current(started) || !durations.is_coordinated() {
                    self.observe(now, Evidence::Success, durations, may_avoid_longer);
                }
            }
            Outcome::Failure => self.observe(now, Evidence::Failure, durations, may_avoid_longer),
            Outcome::Shed => {
                self.full_until = Some(now + FULL_DURATION);
                self.observe(now, Evidence::Shed, durations, may_avoid_longer);
            }
            Outcome::Gone => self.gone = true,
            Outcome::Cancelled => {}
        }
    }
}

/// Returns the additional load, in slots, of a worker that is certainly faulty. `is_lost` is whether a failed attempt fails
/// the request, and `is_coordinated` whether all requests of the zone pass through the scheduler.
pub(super) fn faulty_cost(is_lost: bool, is_coordinated: bool) -> f64 {
    match (is_lost, is_coordinated) {
        (false, _) => FAULTY_COST,
        (true, false) => FAULTY_COST_AT_MOST_ONCE,
        (true, true) => FAULTY_COST_AT_MOST_ONCE_COORDINATED,
    }
}
