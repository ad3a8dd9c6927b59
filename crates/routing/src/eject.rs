//! Detection of workers that serve badly although they look alive.
//!
//! Errors and slowness of a worker are compared with the better quarter of its peers by a sequential test, for the worker and
//! for each of its routes, so that a fault of the whole service makes nobody suspicious. Growing evidence is a cost for
//! the balancer; sufficient evidence asks for an ejection, which needs a grant. An ejected worker comes back through a
//! few trial requests, and later each time.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;
use xxhash_rust::xxh3::xxh3_64;

use crate::sample::{Sample, Verdict};

mod cohort;
mod latency;
mod phase;
mod score;

use cohort::{Cohort, Signal, Tests, Track};
use latency::Latency;
use phase::Course;
use score::Test;

/// Most routes that are told apart; further ones share one cohort.
const MAX_ROUTES: usize = 64;
/// Cohort of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: u64 = 0;
/// Evidence that stays against a worker that passed its trial, as a share of that for the greatest cost.
const AFTER_TRIAL: f64 = 0.5;

/// Evidence at which the cost is greatest, as a share of the threshold. A cost needs no grant and passes quickly, so
/// that it may come earlier than the ejection.
const FULL_COST: f64 = 0.6;
/// The same for a worker as a whole, whose threshold is greater.
const FULL_COST_WORKER: f64 = 0.3;
/// Greatest suspicion against a worker that is not out, so that a few requests complete or refute the evidence.
const MAX_SUSPICION: f64 = 0.85;

/// Tests on one route. With 1% errors a healthy worker reaches the error threshold about once in 10^8 attempts, and
/// with 15% slow attempts the slow threshold about as often.
const ROUTE: Tests = Tests {
    error: Test {
        normal: 0.05,
        gap: 0.3,
        threshold: 9.0,
    },
    slow: Test {
        normal: 0.2,
        gap: 0.5,
        threshold: 14.0,
    },
};
/// Tests on a worker as a whole. The thresholds are greater, so that one bad route of several is found as such before
/// it is taken for a bad worker.
const WORKER: Tests = Tests {
    error: Test {
        threshold: 13.0,
        ..ROUTE.error
    },
    slow: Test {
        threshold: 18.0,
        ..ROUTE.slow
    },
};

/// Settings of a [`Detector`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Duration of a first ejection; each further one lasts twice as long.
    pub base_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
    /// Requests that a worker must answer before it is normal again.
    pub trial_requests: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_mins(1),
            trial_requests: 10,
        }
    }
}

#[derive(Clone, Debug)]
struct Route {
    cohort: Cohort,
    latency: Latency,
}

#[derive(Clone, Debug, Default)]
struct State {
    course: Course,
    granted_until: Option<Instant>,
    /// Rate of bad attempts when it was put out.
    harm: f64,
    /// Route with the most evidence against the worker, and that evidence.
    worst: Option<(u64, Track)>,
}

/// Detector for one service at one entry.
#[derive(Clone, Debug)]
pub struct Detector {
    settings: Settings,
    workers: BTreeMap<Worker, State>,
    service: Cohort,
    routes: HashMap<u64, Route>,
}

impl Detector {
    /// Creates a detector.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            workers: BTreeMap::new(),
            service: Cohort::new(WORKER),
            routes: HashMap::new(),
        }
    }

    /// Records that a request is sent to a worker, which counts against the trial requests of a re-admitted one.
    pub fn record_dispatch(&mut self, now: Instant, worker: &Worker) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.course.record_dispatch(now);
        }
    }

    /// Records the result of an attempt.
    pub fn observe(&mut self, now: Instant, worker: &Worker, route: &str, sample: &Sample) {
        let id = self.route(now, route);
        let route = self.routes.entry(id).or_insert_with(|| Route {
            cohort: Cohort::new(ROUTE),
            latency: Latency::default(),
        });
        let signal = signal(&mut route.latency, sample);
        if !self.workers.contains_key(worker) {
            self.workers.insert(worker.clone(), State::default());
        }
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if !state.course.is_normal() {
            if state.course.observe(now, signal, &self.settings) == phase::Verdict::Passed {
                state.granted_until = None;
                state.worst = None;
                self.service
                    .reset(now, worker, AFTER_TRIAL * FULL_COST_WORKER);
                for route in self.routes.values_mut() {
                    route.cohort.reset(now, worker, AFTER_TRIAL * FULL_COST);
                }
            }
            return;
        }
        let before = route.cohort.level(now, worker);
        route.cohort.observe(now, worker, signal);
        let after = route.cohort.level(now, worker);
        let worst = state.worst.as_ref();
        if worst
            .is_none_or(|(worst, track)| *worst == id || route.cohort.is_worse(now, worker, track))
        {
            let track = route.cohort.track(worker).cloned();
            state.worst = track.map(|track| (id, track));
        }
        // Evidence that one route explains says nothing about the others.
        if before < FULL_COST {
            self.service.observe(now, worker, signal);
            if after >= FULL_COST {
                self.service.subtract(now, worker, &route.cohort);
            }
        }
        let by_worker = self.service.level(now, worker) >= 1.0;
        if by_worker || after >= 1.0 && self.all_routes_bad(now, worker) {
            self.eject(now, worker);
        }
    }

    /// Returns whether each route that the worker served lately is suspicious there.
    fn all_routes_bad(&self, now: Instant, worker: &Worker) -> bool {
        let routes = self.routes.values().map(|r| &r.cohort);
        let mut active = routes.filter(|c| c.is_active(now, worker));
        active.all(|c| c.level(now, worker) >= FULL_COST)
    }

    fn eject(&mut self, now: Instant, worker: &Worker) {
        let harm = self.service.rate(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.course.eject(now, &self.settings);
            state.harm = harm;
        }
    }

    /// Returns the cohort of a route.
    fn route(&mut self, now: Instant, route: &str) -> u64 {
        let id = xxh3_64(route.as_bytes());
        if !self.routes.contains_key(&id) && self.routes.len() >= MAX_ROUTES {
            self.routes.retain(|_, r| !r.cohort.is_idle(now));
            if self.routes.len() >= MAX_ROUTES {
                return OTHER_ROUTES;
            }
        }
        id
    }

    /// Returns the suspicion against a worker on a route, from 0 (healthy) to 1 (bad).
    #[must_use]
    pub fn suspicion(&self, now: Instant, worker: &Worker, route: &str) -> f64 {
        let state = self.workers.get(worker);
        let phase = state.and_then(|s| s.course.suspicion(now, &self.settings));
        phase.unwrap_or_else(|| {
            let id = xxh3_64(route.as_bytes());
            let route = self
                .routes
                .get(&id)
                .or_else(|| self.routes.get(&OTHER_ROUTES));
            let on_route = route.map_or(0.0, |r| r.cohort.level(now, worker));
            let worst = state
                .and_then(|s| s.worst.as_ref())
                .filter(|(worst, _)| *worst != id);
            let on_worker = worst.map_or_else(
                || self.service.level(now, worker),
                |(_, track)| self.service.level_beyond(now, worker, track),
            );
            let on_worker = on_worker / FULL_COST_WORKER;
            (on_route / FULL_COST).max(on_worker).min(MAX_SUSPICION)
        })
    }

    /// Returns the workers to ask a grant for, most harmful first; held ones that are to be renewed are included.
    pub fn candidates(&mut self, now: Instant) -> Vec<Worker> {
        let out = self.workers.iter().filter(|(_, s)| s.course.is_out(now));
        let mut out: Vec<(f64, &Worker)> = out.map(|(w, s)| (s.harm, w)).collect();
        out.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
        out.into_iter().map(|(_, worker)| worker.clone()).collect()
    }

    /// Returns the workers with a grant that lasts.
    #[must_use]
    pub fn granted_workers(&self, now: Instant) -> Vec<Worker> {
        let held = self
            .workers
            .iter()
            .filter(|(_, s)| s.granted_until.is_some_and(|u| now < u));
        held.map(|(worker, _)| worker.clone()).collect()
    }

    /// Replaces the grants by those of an answer; workers that it does not list are no longer ejected.
    pub fn set_grants(&mut self, _now: Instant, workers: &[Worker], until: Instant) {
        for (worker, state) in &mut self.workers {
            state.granted_until = workers.contains(worker).then_some(until);
        }
    }

    /// Returns whether a worker is ejected: put out here, and with a grant that lasts.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, worker: &Worker) -> bool {
        self.workers.get(worker).is_some_and(|s| {
            s.course.is_out(now) && s.granted_until.is_some_and(|until| now < until)
        })
    }

    /// Forgets a worker.
    pub fn remove(&mut self, worker: &Worker) {
        self.workers.remove(worker);
        self.service.remove(worker);
        for route in self.routes.values_mut() {
            route.cohort.remove(worker);
        }
    }
}

/// Returns what an attempt says. Only complete responses show the latency of the route.
fn signal(latency: &mut Latency, sample: &Sample) -> Signal {
    let error = match sample.verdict {
        Verdict::Cancelled | Verdict::Shed => None,
        verdict => Some(verdict.is_error()),
    };
    let slow = match sample.verdict {
        Verdict::Success => latency.observe(sample.latency),
        Verdict::Timeout | Verdict::Shed => Some(true),
        _ => None,
    };
    Signal { error, slow }
}
