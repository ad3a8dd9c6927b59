//! Choice of a worker for a request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Worker, Zone};
use rand::{Rng, RngExt};

use crate::sample::Sample;

/// A worker as the balancer sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of the worker.
    pub worker: Worker,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Requests that the worker runs at the same time.
    pub slots: u32,
    /// Time over which the share of a new worker grows to the full one.
    pub warm_up: Duration,
}

#[derive(Clone, Debug)]
struct State {
    upstream: Upstream,
    in_flight: u32,
}

/// Balancer for one service at one entry.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: Zone,
    workers: BTreeMap<Worker, State>,
}

impl Balancer {
    /// Creates a balancer for an entry in `zone`.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            workers: BTreeMap::new(),
        }
    }

    /// Adds a worker or changes its data.
    pub fn upsert(&mut self, _now: Instant, upstream: Upstream) {
        let worker = upstream.worker.clone();
        self.workers
            .entry(worker)
            .and_modify(|s| s.upstream = upstream.clone())
            .or_insert(State {
                upstream,
                in_flight: 0,
            });
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &Worker) {
        self.workers.remove(worker);
    }

    /// Records the number of requests in progress that a worker reported.
    pub fn report(&mut self, _now: Instant, _worker: &Worker, _load: u32) {}

    /// Picks a worker and takes one of its places.
    ///
    /// `eligible` excludes workers without fresh proof, leaving, ejected or already tried. The place is given back by
    /// [`Balancer::finish`].
    pub fn pick(
        &mut self,
        _now: Instant,
        eligible: impl Fn(&Worker) -> bool,
        suspicion: impl Fn(&Worker) -> f64,
        random: &mut impl Rng,
    ) -> Option<Worker> {
        let cost = |s: &State| {
            let load = f64::from(s.in_flight + 1) / f64::from(s.upstream.slots.max(1));
            let remote = if s.upstream.zone == self.zone {
                0.0
            } else {
                0.5
            };
            load + remote + 100.0 * suspicion(&s.upstream.worker)
        };
        let best = self
            .workers
            .values()
            .filter(|s| eligible(&s.upstream.worker))
            .map(|s| (cost(s), random.random::<u32>(), &s.upstream.worker))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        let worker = best.2.clone();
        self.workers.get_mut(&worker)?.in_flight += 1;
        Some(worker)
    }

    /// Gives back the place of a worker and records how the attempt ended.
    pub fn finish(&mut self, _now: Instant, worker: &Worker, _sample: &Sample) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
