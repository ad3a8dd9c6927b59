//! Choice of a worker for a request.
//!
//! A few candidates are drawn, with less chance for suspicious and new workers, and the one with the lowest cost is
//! taken. The cost follows from this entry's own requests in flight and latencies; the load that a worker reports adds
//! what other entries send to it. Workers of the own availability zone come first while one of them
//! that is not suspicious has a free slot.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Worker, Zone};
use rand::{Rng, RngExt};

use crate::sample::{Sample, Verdict};

/// Candidates that are drawn and compared.
pub const DEFAULT_CANDIDATES: usize = 3;
/// Weight of the newest latency in the average of a worker.
const NEWEST: f64 = 0.1;
/// Bounds of the latency of a worker relative to all, in the cost. They keep a fast failing or a single slow response
/// from outweighing the requests in flight.
const LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Time constant with which an old latency loses its weight, so that a worker that was slow gets requests again.
const LATENCY_LIFETIME: Duration = Duration::from_secs(5);
/// Time in which the reported load of other entries loses its weight.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Least share of a new worker, relative to the full one.
const FIRST_SHARE: f64 = 0.1;
/// Power of what suspicion leaves of a worker's share.
const SUSPICION_POWER: i32 = 2;
/// Additional cost of full suspicion, as a multiple of the cost.
const SUSPICION_COST: f64 = 9.0;
/// Suspicion from which a worker is no reason to stay in the own availability zone.
const SUSPICIOUS: f64 = 0.5;
/// Suspicion from which a worker gets requests by the draw alone, whatever its cost.
const PROBED: f64 = 0.75;
/// Suspicion from which a worker gets a request now and then although others are cheaper. Otherwise a worker with one
/// or two errors gets none while the own zone has a good worker, and the evidence is neither completed nor refuted.
const DOUBTED: f64 = 0.05;
/// Time without a request of this entry after which a doubted worker gets one: ten of them complete the evidence
/// against a failing worker within 25 s.
const DOUBT_GAP: Duration = Duration::from_millis(2_500);
/// Fewest requests of this entry between two such requests, which bounds their share at an entry with little load. With
/// 200 and a half-life of 15 s, a half-failing worker of six kept 2.2% of the traffic in one of three seeds (target: under
/// 2%).
const DOUBT_REQUESTS: u64 = 300;
/// Additional cost of another availability zone, as a multiple of the cost.
const REMOTE_COST: f64 = 0.5;

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
    added: Instant,
    in_flight: u32,
    /// Requests of other entries at the last report, and its instant.
    others: Option<(f64, Instant)>,
    /// Average latency in seconds, and the instant of its last change.
    latency: Option<(f64, Instant)>,
    /// Instant of the last request of this entry, or of the addition, and the number of requests picked for until then.
    last: (Instant, u64),
}

impl State {
    /// Returns the requests in progress that are known, own ones and those of other entries.
    fn load(&self, now: Instant) -> f64 {
        let others = self.others.map_or(0.0, |(load, at)| {
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

    /// Returns the share that warm-up allows, relative to the full one.
    fn warmth(&self, now: Instant) -> f64 {
        let warm_up = self.upstream.warm_up.as_secs_f64();
        let age = now.saturating_duration_since(self.added).as_secs_f64();
        if age >= warm_up {
            return 1.0;
        }
        (age / warm_up).max(FIRST_SHARE)
    }
}

/// A worker that may be picked, with what is known about it at the moment.
struct Candidate<'a> {
    state: &'a State,
    suspicion: f64,
    /// Position in a random order in which greater weights tend to come first.
    order: f64,
}

/// Balancer for one service at one entry.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: Zone,
    candidates: usize,
    workers: BTreeMap<Worker, State>,
    /// Average latency of all workers, in seconds.
    latency: Option<f64>,
    /// Requests that a worker was picked for.
    picks: u64,
}

impl Balancer {
    /// Creates a balancer for an entry in `zone`.
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

    /// Changes the number of candidates that are compared, by default [`DEFAULT_CANDIDATES`].
    #[must_use]
    pub fn with_candidates(mut self, candidates: usize) -> Self {
        self.candidates = candidates.max(1);
        self
    }

    /// Adds a worker or changes its data.
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
            others: None,
            latency: None,
            last: (now, self.picks),
        };
        self.workers.insert(worker, state);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &Worker) {
        self.workers.remove(worker);
    }

    /// Records the number of requests in progress that a worker reported, those of this entry included.
    pub fn record_load(&mut self, now: Instant, worker: &Worker, load: u32) {
        if let Some(state) = self.workers.get_mut(worker) {
            let others = load.saturating_sub(state.in_flight);
            state.others = Some((f64::from(others), now));
        }
    }

    /// Picks a worker and takes one of its places.
    ///
    /// `eligible` excludes workers without fresh proof, leaving, ejected or already tried. The place is given back by
    /// [`Balancer::finish`].
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
                let weight = (1.0 - suspicion).powi(SUSPICION_POWER) * state.warmth(now);
                // Draws without replacement in proportion to the weights: the smallest of exponential variables.
                let order = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / weight;
                Candidate {
                    state,
                    suspicion,
                    order,
                }
            })
            .collect();
        candidates.sort_unstable_by(|a, b| a.order.total_cmp(&b.order));
        let best = self.best(now, &candidates)?;
        let worker = best.state.upstream.worker.clone();
        self.picks += 1;
        let state = self.workers.get_mut(&worker)?;
        state.in_flight += 1;
        state.last = (now, self.picks);
        Some(worker)
    }

    fn best<'a>(&self, now: Instant, ordered: &'a [Candidate<'a>]) -> Option<&'a Candidate<'a>> {
        let cheapest = |candidates: &mut dyn Iterator<Item = &'a Candidate<'a>>| {
            candidates.min_by(|a, b| self.cost(now, a).total_cmp(&self.cost(now, b)))
        };
        let is_own = |c: &&Candidate<'_>| c.state.upstream.zone == self.zone;
        // A worker without weight is not drawn.
        let free = ordered
            .iter()
            .filter(|c| c.order.is_finite() && c.state.has_free_slot(now));
        // The draw gives a suspicious worker a small share, which completes or refutes the evidence against it.
        let drawn = free.clone().next();
        if let Some(drawn) = drawn.filter(|c| c.suspicion >= PROBED) {
            return Some(drawn);
        }
        let starved = free.clone().filter(|c| self.is_starved(now, c));
        if let Some(starved) = starved.min_by_key(|c| c.state.last) {
            return Some(starved);
        }
        let own = free.clone().filter(is_own);
        // A suspicious worker must not be taken only because the others of the zone have no free slot.
        let zone_serves = own.clone().any(|c| c.suspicion < SUSPICIOUS);
        let own = cheapest(&mut own.take(self.candidates)).filter(|_| zone_serves);
        own.or_else(|| cheapest(&mut free.clone().take(self.candidates)))
            // Without a free slot, suspicious and new workers help out at their cost.
            .or_else(|| cheapest(&mut ordered.iter()))
    }

    /// Returns whether a doubted worker had no request for so long that its evidence stands still.
    fn is_starved(&self, now: Instant, candidate: &Candidate<'_>) -> bool {
        let (at, picks) = candidate.state.last;
        candidate.suspicion >= DOUBTED
            && now.saturating_duration_since(at) >= DOUBT_GAP
            && self.picks - picks >= DOUBT_REQUESTS
    }

    /// Returns the cost of one more request at a worker.
    fn cost(&self, now: Instant, candidate: &Candidate<'_>) -> f64 {
        let state = candidate.state;
        let relative = match (state.latency, self.latency) {
            (Some((own, at)), Some(all)) if all > 0.0 => {
                let relative = (own / all).clamp(LATENCY_BOUNDS.0, LATENCY_BOUNDS.1);
                let age = now.saturating_duration_since(at).as_secs_f64();
                1.0 + (relative - 1.0) * (-age / LATENCY_LIFETIME.as_secs_f64()).exp()
            }
            _ => 1.0,
        };
        let remote = f64::from(u8::from(state.upstream.zone != self.zone));
        let factor = 1.0 + SUSPICION_COST * candidate.suspicion + REMOTE_COST * remote;
        (state.load(now) + 1.0) / state.slots() * relative * factor / state.warmth(now)
    }

    /// Gives back the place of a worker and records how the attempt ended.
    pub fn finish(&mut self, now: Instant, worker: &Worker, sample: &Sample) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        // Errors are often fast; taking their latency would attract requests to a broken worker.
        if matches!(sample.verdict, Verdict::Success | Verdict::Timeout) {
            // One response out of a heavy tail must not decide over the next hundred requests.
            let most = self.latency.map_or(f64::MAX, |all| all * LATENCY_BOUNDS.1);
            let latency = sample.latency.as_secs_f64().min(most);
            let average = |known: Option<f64>, weight: f64| {
                Some(known.map_or(latency, |k| k + weight * (latency - k)))
            };
            let own = average(state.latency.map(|(l, _)| l), NEWEST);
            state.latency = own.map(|l| (l, now));
            self.latency = average(self.latency, NEWEST / 10.0);
        }
    }
}
