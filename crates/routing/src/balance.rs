//! Load balancing: selects a worker for a request.
//!
//! Candidates are drawn at random, with lower weights for suspicious and warming-up workers, and the one with the
//! lowest cost is selected. The cost depends on the in-flight requests and latencies of this entry; the load that a
//! worker reports adds the requests of other entries. Workers of the own availability zone are preferred while one of
//! them that isn't suspicious has a free slot.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Worker, Zone};
use rand::{Rng, RngExt};

use crate::sample::{Sample, Verdict};

/// Default number of candidates that are drawn and compared.
pub const DEFAULT_CANDIDATES: usize = 3;
/// Weight of the newest latency in a worker's mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bounds of a worker's latency relative to that of all workers, in the cost. They keep fast failures and single slow
/// responses from outweighing the in-flight requests.
const LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Time constant of the decay of a worker's latency, so that a worker that was slow gets requests again.
const LATENCY_DECAY: Duration = Duration::from_secs(5);
/// Time in which the reported load of other entries decays to zero.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Minimum share of a worker during warm-up, relative to the full one.
const MIN_WARM_UP_SHARE: f64 = 0.1;
/// Exponent of the factor `1 - suspicion` in a worker's weight.
const SUSPICION_POWER: i32 = 2;
/// Additional cost at full suspicion, as a multiple of the cost.
const SUSPICION_COST: f64 = 9.0;
/// Suspicion from which a worker doesn't keep requests in the own availability zone.
const SUSPICIOUS_THRESHOLD: f64 = 0.5;
/// Suspicion from which a worker gets requests by the weighted draw alone, regardless of its cost.
const DRAW_ONLY_THRESHOLD: f64 = 0.75;
/// Suspicion from which a worker is probed although others are cheaper. Without probes, a worker with one or two errors
/// gets no requests while the own zone has a healthy worker, and the evidence is neither completed nor refuted.
const PROBE_THRESHOLD: f64 = 0.05;
/// Time without a request of this entry after which a suspicious worker is probed. Ten probes complete the evidence
/// against a failing worker within 25 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Minimum number of requests of this entry between two probes, which bounds the share of the probes at an entry with
/// little load. With 200 and an evidence half-life of 15 s, a worker out of six that failed half of its requests kept
/// 2.2% of the traffic with one of three seeds (target: below 2%).
const MIN_PICKS_BETWEEN_PROBES: u64 = 300;
/// Additional cost of another availability zone, as a multiple of the cost.
const CROSS_ZONE_COST: f64 = 0.5;

/// Registered properties of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of the worker.
    pub worker: Worker,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Number of requests that the worker runs concurrently.
    pub slots: u32,
    /// Time over which the share of a new worker grows to the full one.
    pub warm_up: Duration,
}

#[derive(Clone, Debug)]
struct State {
    upstream: Upstream,
    added: Instant,
    in_flight: u32,
    /// Load of other entries at the last report, and the time of the report.
    other_load: Option<(f64, Instant)>,
    /// Mean latency in seconds, and the time of its last update.
    latency: Option<(f64, Instant)>,
    /// Time of the last pick, initially that of the addition, and the value of [`Balancer::picks`] after it.
    last_pick: (Instant, u64),
}

impl State {
    /// Returns the estimated number of requests in progress, of this entry and of others.
    fn load(&self, now: Instant) -> f64 {
        let others = self.other_load.map_or(0.0, |(load, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            load * (1.0 - age / REPORT_LIFETIME.as_secs_f64()).max(0.0)
        });
        f64::from(self.in_flight) + others
    }

    fn slots(&self) -> f64 {
        f64::from(self.upstream.slots.max(1))
    }

    fn has_free_slot(&self, now: Instant) -> bool {
        self.load(now) + 1.0 <= self.slots()
    }

    /// Returns the share during warm-up, relative to the full one.
    fn warm_up_share(&self, now: Instant) -> f64 {
        let warm_up = self.upstream.warm_up.as_secs_f64();
        let age = now.saturating_duration_since(self.added).as_secs_f64();
        if age >= warm_up {
            return 1.0;
        }
        (age / warm_up).max(MIN_WARM_UP_SHARE)
    }
}

/// A worker that may be picked, with its current suspicion.
struct Candidate<'a> {
    state: &'a State,
    suspicion: f64,
    /// Random sort key; workers with greater weights tend to come first.
    draw_order: f64,
}

/// Load balancer of one service at one entry.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: Zone,
    candidates: usize,
    workers: BTreeMap<Worker, State>,
    /// Mean latency of all workers, in seconds.
    latency: Option<f64>,
    /// Number of successful picks.
    picks: u64,
}

impl Balancer {
    /// Creates a balancer without workers for an entry in `zone`.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            candidates: DEFAULT_CANDIDATES,
            workers: BTreeMap::new(),
            latency: None,
            picks: 0,
        }
    }

    /// Sets the number of candidates that are compared, by default [`DEFAULT_CANDIDATES`].
    #[must_use]
    pub fn with_candidates(mut self, candidates: usize) -> Self {
        self.candidates = candidates.max(1);
        self
    }

    /// Adds a worker or updates its properties.
    pub fn upsert(&mut self, now: Instant, upstream: Upstream) {
        if let Some(state) = self.workers.get_mut(&upstream.worker) {
            state.upstream = upstream;
            return;
        }
        let worker = upstream.worker.clone();
        let state = State {
            upstream,
            added: now,
            in_flight: 0,
            other_load: None,
            latency: None,
            last_pick: (now, self.picks),
        };
        self.workers.insert(worker, state);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &Worker) {
        self.workers.remove(worker);
    }

    /// Records the load that a worker reports: its requests in progress, including those of this entry.
    pub fn record_load(&mut self, now: Instant, worker: &Worker, load: u32) {
        if let Some(state) = self.workers.get_mut(worker) {
            let others = load.saturating_sub(state.in_flight);
            state.other_load = Some((f64::from(others), now));
        }
    }

    /// Picks a worker and counts the request as in flight there.
    ///
    /// `eligible` must exclude workers that have no recent sign of life, are leaving, are ejected or were tried
    /// already. [`Balancer::finish`] ends the request.
    pub fn pick(
        &mut self,
        now: Instant,
        eligible: impl Fn(&Worker) -> bool,
        suspicion: impl Fn(&Worker) -> f64,
        random: &mut impl Rng,
    ) -> Option<Worker> {
        let states = self.workers.values();
        let mut candidates: Vec<Candidate<'_>> = states
            .filter(|s| eligible(&s.upstream.worker))
            .map(|state| {
                let suspicion = suspicion(&state.upstream.worker).clamp(0.0, 1.0);
                let weight = (1.0 - suspicion).powi(SUSPICION_POWER) * state.warm_up_share(now);
                // Weighted sampling without replacement: the smallest of exponential variables, scaled by the weights.
                let draw_order = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / weight;
                Candidate {
                    state,
                    suspicion,
                    draw_order,
                }
            })
            .collect();
        candidates.sort_unstable_by(|a, b| a.draw_order.total_cmp(&b.draw_order));
        let best = self.best(now, &candidates)?;
        let worker = best.state.upstream.worker.clone();
        self.picks += 1;
        let state = self.workers.get_mut(&worker)?;
        state.in_flight += 1;
        state.last_pick = (now, self.picks);
        Some(worker)
    }

    fn best<'a>(&self, now: Instant, ordered: &'a [Candidate<'a>]) -> Option<&'a Candidate<'a>> {
        let cheapest = |candidates: &mut dyn Iterator<Item = &'a Candidate<'a>>| {
            candidates.min_by(|a, b| self.cost(now, a).total_cmp(&self.cost(now, b)))
        };
        let is_own = |c: &&Candidate<'_>| c.state.upstream.zone == self.zone;
        // A worker with weight 0 is never drawn.
        let free = ordered
            .iter()
            .filter(|c| c.draw_order.is_finite() && c.state.has_free_slot(now));
        // The draw gives a suspicious worker a small share, which completes or refutes the evidence against it.
        let drawn = free.clone().next();
        if let Some(drawn) = drawn.filter(|c| c.suspicion >= DRAW_ONLY_THRESHOLD) {
            return Some(drawn);
        }
        let unprobed = free.clone().filter(|c| self.needs_probe(now, c));
        if let Some(unprobed) = unprobed.min_by_key(|c| c.state.last_pick) {
            return Some(unprobed);
        }
        let own = free.clone().filter(is_own);
        // A suspicious worker must not be picked only because the others of the zone have no free slot.
        let zone_has_healthy = own.clone().any(|c| c.suspicion < SUSPICIOUS_THRESHOLD);
        let own = cheapest(&mut own.take(self.candidates)).filter(|_| zone_has_healthy);
        own.or_else(|| cheapest(&mut free.clone().take(self.candidates)))
            // Without a free slot, suspicious and warming-up workers are compared by their cost too.
            .or_else(|| cheapest(&mut ordered.iter()))
    }

    /// Returns whether a suspicious worker had no request for so long that the evidence against it doesn't change.
    fn needs_probe(&self, now: Instant, candidate: &Candidate<'_>) -> bool {
        let (at, picks) = candidate.state.last_pick;
        candidate.suspicion >= PROBE_THRESHOLD
            && now.saturating_duration_since(at) >= PROBE_INTERVAL
            && self.picks - picks >= MIN_PICKS_BETWEEN_PROBES
    }

    /// Returns the cost of one more request at a worker.
    fn cost(&self, now: Instant, candidate: &Candidate<'_>) -> f64 {
        let state = candidate.state;
        let relative = match (state.latency, self.latency) {
            (Some((own, at)), Some(all)) if all > 0.0 => {
                let relative = (own / all).clamp(LATENCY_BOUNDS.0, LATENCY_BOUNDS.1);
                let age = now.saturating_duration_since(at).as_secs_f64();
                1.0 + (relative - 1.0) * (-age / LATENCY_DECAY.as_secs_f64()).exp()
            }
            _ => 1.0,
        };
        let remote = f64::from(u8::from(state.upstream.zone != self.zone));
        let factor = 1.0 + SUSPICION_COST * candidate.suspicion + CROSS_ZONE_COST * remote;
        (state.load(now) + 1.0) / state.slots() * relative * factor / state.warm_up_share(now)
    }

    /// Records the end of an attempt, and its latency unless it failed.
    pub fn finish(&mut self, now: Instant, worker: &Worker, sample: &Sample) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        // Errors are often fast; recording their latency would attract requests to a faulty worker.
        if matches!(sample.verdict, Verdict::Success | Verdict::Timeout) {
            // One response from a heavy tail must not affect the next hundred requests.
            let max_latency = self.latency.map_or(f64::MAX, |all| all * LATENCY_BOUNDS.1);
            let latency = sample.latency.as_secs_f64().min(max_latency);
            let average = |known: Option<f64>, weight: f64| {
                Some(known.map_or(latency, |k| k + weight * (latency - k)))
            };
            let own = average(state.latency.map(|(l, _)| l), NEWEST_WEIGHT);
            state.latency = own.map(|l| (l, now));
            self.latency = average(self.latency, NEWEST_WEIGHT / 10.0);
        }
    }
}
