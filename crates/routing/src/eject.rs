//! Outlier detection: finds workers that serve badly although their health checks pass.
//!
//! A sequential test compares the errors and the slowness of a worker with the better quarter of its peers, for the
//! worker as a whole and for each of its routes, so that a fault of the whole service makes no worker suspicious.
//! Partial evidence raises the worker's cost in the balancer; sufficient evidence requests an ejection, which needs a
//! grant. An ejected worker returns through a few trial requests, and each further ejection lasts longer.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;
use xxhash_rust::xxh3::xxh3_64;

use crate::sample::{Sample, Verdict};

mod cohort;
mod cusum;
mod latency;
mod lifecycle;

use cohort::{Cohort, Evidence, Signal, Tests};
use cusum::TestParameters;
use latency::Latency;
use lifecycle::Lifecycle;

/// Maximum number of routes with a cohort of their own; further routes share one.
const MAX_ROUTES: usize = 64;
/// Cohort of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: u64 = 0;
/// Evidence that remains against a worker after it passed its trial, as a share of [`FULL_COST_LEVEL`].
const LEVEL_AFTER_TRIAL: f64 = 0.5;

/// Evidence at which the cost is maximal, as a share of the threshold. The cost needs no grant and is temporary, so it
/// may apply earlier than an ejection.
const FULL_COST_LEVEL: f64 = 0.6;
/// The same for a worker as a whole, whose threshold is higher.
const FULL_COST_LEVEL_WORKER: f64 = 0.3;
/// Maximum suspicion of a worker without a proposed ejection, so that a few requests complete or refute the evidence.
const MAX_SUSPICION: f64 = 0.85;

/// Tests on one route. With 1% errors a healthy worker reaches the error threshold about once in 10^8 attempts, and
/// with 15% slow attempts it reaches the slow threshold about as often.
const ROUTE: Tests = Tests {
    error: TestParameters {
        normal_rate: 0.05,
        rate_gap: 0.3,
        threshold: 9.0,
    },
    slow: TestParameters {
        normal_rate: 0.2,
        rate_gap: 0.5,
        threshold: 14.0,
    },
};
/// Tests on a worker as a whole. The thresholds are higher, so that a single faulty route is detected as such before the
/// whole worker is considered faulty.
const WORKER: Tests = Tests {
    error: TestParameters {
        threshold: 13.0,
        ..ROUTE.error
    },
    slow: TestParameters {
        threshold: 18.0,
        ..ROUTE.slow
    },
};

/// Settings of a [`Detector`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Duration of the first ejection; each further one lasts twice as long.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Successful trial requests that a worker needs to become normal again.
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
    lifecycle: Lifecycle,
    granted_until: Option<Instant>,
    /// Rate of bad attempts when the ejection was proposed.
    failure_rate: f64,
    /// Route with the most evidence against the worker, and that evidence.
    worst_route: Option<(u64, Evidence)>,
}

/// Outlier detector of one service at one entry.
#[derive(Clone, Debug)]
pub struct Detector {
    settings: Settings,
    workers: BTreeMap<Worker, State>,
    service: Cohort,
    routes: HashMap<u64, Route>,
}

impl Detector {
    /// Creates a detector without observations.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            workers: BTreeMap::new(),
            service: Cohort::new(WORKER),
            routes: HashMap::new(),
        }
    }

    /// Records that a request is sent to a worker. During a trial it counts against the trial requests.
    pub fn record_dispatch(&mut self, now: Instant, worker: &Worker) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.lifecycle.record_dispatch(now);
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
        if !state.lifecycle.is_normal() {
            if state.lifecycle.observe(now, signal, &self.settings) == lifecycle::Verdict::Passed {
                state.granted_until = None;
                state.worst_route = None;
                self.service
                    .reset(now, worker, LEVEL_AFTER_TRIAL * FULL_COST_LEVEL_WORKER);
                for route in self.routes.values_mut() {
                    route
                        .cohort
                        .reset(now, worker, LEVEL_AFTER_TRIAL * FULL_COST_LEVEL);
                }
            }
            return;
        }
        let before = route.cohort.level(now, worker);
        route.cohort.observe(now, worker, signal);
        let after = route.cohort.level(now, worker);
        let worst = state.worst_route.as_ref();
        if worst.is_none_or(|(worst, evidence)| {
            *worst == id || route.cohort.is_worse(now, worker, evidence)
        }) {
            let evidence = route.cohort.evidence(worker).cloned();
            state.worst_route = evidence.map(|evidence| (id, evidence));
        }
        // Evidence that a single route explains doesn't count against the other routes.
        if before < FULL_COST_LEVEL {
            self.service.observe(now, worker, signal);
            if after >= FULL_COST_LEVEL {
                self.service.subtract(now, worker, &route.cohort);
            }
        }
        let by_worker = self.service.level(now, worker) >= 1.0;
        if by_worker || after >= 1.0 && self.all_routes_bad(now, worker) {
            self.propose_ejection(now, worker);
        }
    }

    /// Returns whether each route that the worker served recently has full evidence against it.
    fn all_routes_bad(&self, now: Instant, worker: &Worker) -> bool {
        let routes = self.routes.values().map(|r| &r.cohort);
        let mut active = routes.filter(|c| c.is_active(now, worker));
        active.all(|c| c.level(now, worker) >= FULL_COST_LEVEL)
    }

    fn propose_ejection(&mut self, now: Instant, worker: &Worker) {
        let failure_rate = self.service.rate(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.lifecycle.propose_ejection(now, &self.settings);
            state.failure_rate = failure_rate;
        }
    }

    /// Returns the id of a route's cohort.
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

    /// Returns the suspicion against a worker on a route, from 0 (healthy) to 1 (faulty).
    #[must_use]
    pub fn suspicion(&self, now: Instant, worker: &Worker, route: &str) -> f64 {
        let state = self.workers.get(worker);
        let phase = state.and_then(|s| s.lifecycle.suspicion(now, &self.settings));
        phase.unwrap_or_else(|| {
            let id = xxh3_64(route.as_bytes());
            let route = self
                .routes
                .get(&id)
                .or_else(|| self.routes.get(&OTHER_ROUTES));
            let on_route = route.map_or(0.0, |r| r.cohort.level(now, worker));
            let worst = state
                .and_then(|s| s.worst_route.as_ref())
                .filter(|(worst, _)| *worst != id);
            let on_worker = worst.map_or_else(
                || self.service.level(now, worker),
                |(_, evidence)| self.service.level_beyond(now, worker, evidence),
            );
            let on_worker = on_worker / FULL_COST_LEVEL_WORKER;
            (on_route / FULL_COST_LEVEL)
                .max(on_worker)
                .min(MAX_SUSPICION)
        })
    }

    /// Returns the workers to request ejection grants for, those with the highest failure rate first. Workers whose
    /// grants need renewal are included.
    pub fn candidates(&mut self, now: Instant) -> Vec<Worker> {
        let proposed = self
            .workers
            .iter()
            .filter(|(_, s)| s.lifecycle.is_proposed(now));
        let mut proposed: Vec<(f64, &Worker)> =
            proposed.map(|(w, s)| (s.failure_rate, w)).collect();
        proposed.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
        proposed
            .into_iter()
            .map(|(_, worker)| worker.clone())
            .collect()
    }

    /// Returns the workers whose grant has not expired.
    #[must_use]
    pub fn granted_workers(&self, now: Instant) -> Vec<Worker> {
        let granted = self
            .workers
            .iter()
            .filter(|(_, s)| s.granted_until.is_some_and(|u| now < u));
        granted.map(|(worker, _)| worker.clone()).collect()
    }

    /// Replaces all grants by those in a response, valid until `until`; workers that it doesn't list are no longer
    /// ejected.
    pub fn set_grants(&mut self, _now: Instant, workers: &[Worker], until: Instant) {
        for (worker, state) in &mut self.workers {
            state.granted_until = workers.contains(worker).then_some(until);
        }
    }

    /// Returns whether a worker is ejected: its ejection is proposed here and has an unexpired grant.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, worker: &Worker) -> bool {
        self.workers.get(worker).is_some_and(|s| {
            s.lifecycle.is_proposed(now) && s.granted_until.is_some_and(|until| now < until)
        })
    }

    /// Removes all state of a worker.
    pub fn remove(&mut self, worker: &Worker) {
        self.workers.remove(worker);
        self.service.remove(worker);
        for route in self.routes.values_mut() {
            route.cohort.remove(worker);
        }
    }
}

/// Returns the evidence of an attempt. Only complete responses show the latency of the route.
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
