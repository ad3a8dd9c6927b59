//! What one entry knows of one worker.

use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Zone};

use super::trust::{Evidence, Trust};

/// Longest time in which half of the reported requests of other entries are taken to have ended; the usual response time
/// if that is shorter.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Least such time, for services that answer at once.
const LEAST_HALF_LIFE: Duration = Duration::from_millis(10);
/// Factor on the cost of a worker that has just started.
const COLD: f64 = 2.0;
/// Extra load, in slots, of a worker that is certainly bad. A failed request that must not run twice is lost, the others
/// cost a further attempt.
const BAD_COST: f64 = 1.0;
const BAD_COST_ONCE: f64 = 4.0;
/// Time for which a worker is avoided after a connection to it failed; it doubles with each further one, at most so
/// often. Paths are cut for some seconds.
const UNREACHABLE: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 3;
/// Time without a request after which a worker is no longer in use. The floor's share of the sound workers has to get one
/// within 2 s.
const IDLE: Duration = Duration::from_millis(1_500);
/// Time for which a worker that shed a request is taken to be full.
const FULL: Duration = Duration::from_millis(100);
/// Weight of a new response time in the worker's own.
const TIME_WEIGHT: f64 = 0.2;
/// Time in which a worker's response time loses most of its worth. A worker that was slow must be tried again.
const TIME_MEMORY: Duration = Duration::from_secs(5);
/// Difference of response times that does not matter.
const SHORT: Duration = Duration::from_millis(5);
/// Bounds of the worker's response time relative to that of the service.
const SPEED: (f64, f64) = (0.5, 10.0);
/// Multiple of the usual response time after which an unanswered request speaks against a worker.
const OVERDUE: u32 = 6;

/// Registered properties of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Run of the worker.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time for which it stays slow after it became known.
    pub warm_up: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The worker answered.
    Success,
    /// The worker failed the request, broke off or did not answer in time.
    Failure,
    /// No connection could be opened; this says something about the path from this entry only.
    Unreachable,
    /// The worker refused the request because it is full.
    Shed,
    /// Another worker has the address, or this one does not serve any more.
    Gone,
    /// The caller has gone; this says nothing about the worker.
    Cancelled,
}

/// Knowledge about one worker.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    spec: Spec,
    warm_at: Instant,
    gone: bool,
    /// When the requests in progress were sent.
    running: Vec<Instant>,
    /// Requests of other entries, and when they were reported.
    others: Option<(Instant, f64)>,
    trust: Trust,
    /// Connections that failed in a row, and until when none is tried.
    unreachable: (u32, Option<Instant>),
    full_until: Option<Instant>,
    /// When the last request was sent.
    sent: Instant,
    /// Mean response time, in seconds, and when it was last observed.
    time: Option<(f64, Instant)>,
}

impl Upstream {
    pub(super) fn new(now: Instant, spec: Spec) -> Self {
        Self {
            warm_at: now + spec.warm_up,
            spec,
            gone: false,
            running: Vec::new(),
            others: None,
            trust: Trust::new(now),
            unreachable: (0, None),
            full_until: None,
            sent: now,
            time: None,
        }
    }

    pub(super) fn is_run_of(&self, spec: &Spec) -> bool {
        self.spec.incarnation == spec.incarnation
    }

    pub(super) fn update(&mut self, spec: &Spec) {
        self.spec = spec.clone();
    }

    pub(super) fn zone(&self) -> &Zone {
        &self.spec.zone
    }

    /// Returns the slots that requests may use now.
    pub(super) fn slots(&self, now: Instant) -> u32 {
        if self.gone || self.is_avoided(now) {
            0
        } else {
            self.spec.slots
        }
    }

    pub(super) fn is_gone(&self) -> bool {
        self.gone
    }

    pub(super) fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable.1.is_some_and(|until| now < until)
    }

    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        self.is_unreachable(now) || self.trust.is_avoided(now)
    }

    pub(super) fn suspicion(&self, now: Instant) -> f64 {
        self.trust.bad(now)
    }

    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.trust.is_suspect(now)
    }

    pub(super) fn is_held(&self, now: Instant) -> bool {
        self.trust.is_held(now)
    }

    pub(super) fn observe(&mut self, now: Instant, evidence: Evidence, may_hold: bool) {
        self.trust.observe(now, evidence, may_hold);
    }

    /// Returns the estimated number of requests at the worker.
    fn load(&self, now: Instant, typical: Duration) -> f64 {
        let half_life = typical.clamp(LEAST_HALF_LIFE, REPORT_HALF_LIFE);
        let others = self.others.map_or(0.0, |(at, others)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            others * 0.5_f64.powf(age / half_life.as_secs_f64())
        });
        f64::from(self.running()) + others
    }

    pub(super) fn has_room(&self, now: Instant, typical: Duration) -> bool {
        let full = self.full_until.is_some_and(|until| now < until);
        !full && self.load(now, typical) + 0.5 <= f64::from(self.spec.slots)
    }

    /// Returns what a request at this worker costs, in slots.
    pub(super) fn cost(&self, now: Instant, typical: Duration, once: bool) -> f64 {
        let load = self.load(now, typical);
        let typical = typical.as_secs_f64();
        let speed = self.time.map_or(1.0, |(time, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let fading = (-age / TIME_MEMORY.as_secs_f64()).exp();
            let short = SHORT.as_secs_f64();
            1.0 + fading * ((time + short) / (typical + short) - 1.0)
        });
        let cold = if now < self.warm_at { COLD } else { 1.0 };
        let overdue = typical * f64::from(OVERDUE);
        let late = self
            .running
            .iter()
            .filter(|started| now.saturating_duration_since(**started).as_secs_f64() > overdue);
        let late = f64::from(u32::try_from(late.count()).unwrap_or(u32::MAX));
        let slots = f64::from(self.spec.slots.max(1));
        let load = (load + 1.0) / slots;
        let bad = if once { BAD_COST_ONCE } else { BAD_COST };
        load * speed.clamp(SPEED.0, SPEED.1) * cold + bad * self.trust.bad(now) + late
    }

    /// Returns whether nothing was sent to the worker for so long that it is no longer in use.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.sent) >= IDLE
    }

    pub(super) fn start(&mut self, now: Instant) {
        self.sent = now;
        self.running.push(now);
    }

    pub(super) fn record_load(&mut self, now: Instant, load: u32) {
        // The worker counts this entry's requests too, with the one whose response carries the report.
        let others = load.saturating_sub(self.running());
        self.others = Some((now, f64::from(others)));
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        started: Instant,
        outcome: Outcome,
        typical: Duration,
        may_hold: bool,
    ) {
        if let Some(at) = self.running.iter().position(|at| *at == started) {
            self.running.swap_remove(at);
        }
        match outcome {
            Outcome::Unreachable => {
                let failures = self.unreachable.0 + 1;
                let pause = UNREACHABLE * 2_u32.saturating_pow(failures.min(MAX_DOUBLINGS) - 1);
                self.unreachable = (failures, Some(now + pause));
            }
            Outcome::Success => {
                self.unreachable = (0, None);
                let time = now.saturating_duration_since(started).as_secs_f64();
                let before = self.time.map_or(typical.as_secs_f64(), |(time, _)| time);
                self.time = Some((before + TIME_WEIGHT * (time - before), now));
                self.observe(now, Evidence::Success, may_hold);
            }
            Outcome::Failure => self.observe(now, Evidence::Failure, may_hold),
            Outcome::Shed => {
                self.full_until = Some(now + FULL);
                self.observe(now, Evidence::Shed, may_hold);
            }
            Outcome::Gone => self.gone = true,
            Outcome::Cancelled => {}
        }
    }
}
