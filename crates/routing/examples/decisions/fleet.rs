//! Discrete-event simulation of entries that share the workers of one service, with simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use chestnutvalve_membership::grant::{GRANT, Grants};
use chestnutvalve_model::control::Ask;
use chestnutvalve_model::id::{Entry, Service, Worker, Zone};
use chestnutvalve_routing::balance::{Balancer, Upstream};
use chestnutvalve_routing::eject::{Detector, Settings};
use chestnutvalve_routing::sample::{Sample, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Routes of the service.
pub const ROUTES: [&str; 4] = ["/balance", "/cover", "/certificate", "/ledger"];
/// Number of requests that a worker runs concurrently; further ones wait there.
const SLOTS: u32 = 2;
/// Additional latency when entry and worker are in different availability zones.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(3);
/// Time between two grant requests of an entry.
const GRANT_INTERVAL_SECONDS: f64 = 0.2;

/// How an entry selects a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Round-robin over all workers.
    RoundRobin,
    /// The balancer with this number of candidates, with or without reported loads.
    Balanced { candidates: usize, reports: bool },
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub workers: usize,
    pub entries: usize,
    pub zones: usize,
    pub seconds: f64,
    /// Requests per second for each worker.
    pub rate: f64,
    pub policy: Policy,
    /// Whether the detectors' suspicion and ejections are used.
    pub detect: bool,
}

impl Setup {
    /// Returns the default setup: 20 requests/s for each worker, one availability zone.
    pub fn new(seed: u64, workers: usize, entries: usize, seconds: f64) -> Self {
        let policy = Policy::Balanced {
            candidates: chestnutvalve_routing::balance::DEFAULT_CANDIDATES,
            reports: true,
        };
        Self {
            seed,
            workers,
            entries,
            zones: 1,
            seconds,
            rate: 20.0,
            policy,
            detect: true,
        }
    }
}

/// Record of one request.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Seconds since the start.
    pub at: f64,
    pub worker: usize,
    pub route: usize,
    /// Seconds from the start of the request to its end.
    pub latency: f64,
    pub remote: bool,
    pub success: bool,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub events: Vec<Event>,
    /// Workers that any entry asked to eject, and the maximum number of concurrent ejections.
    pub proposed: BTreeSet<Worker>,
    pub max_ejected: usize,
}

impl Outcome {
    /// Returns the share of the events after `since` seconds that match, among those that `of` selects.
    pub fn share(
        &self,
        since: f64,
        of: impl Fn(&Event) -> bool,
        matches: impl Fn(&Event) -> bool,
    ) -> f64 {
        let all = self.events.iter().filter(|e| e.at >= since && of(e));
        let (matching, rest): (Vec<&Event>, Vec<&Event>) = all.partition(|e| matches(e));
        count(matching.len()) / count(matching.len() + rest.len())
    }
}

pub fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

pub fn worker(index: usize) -> Worker {
    Worker::new(&format!("w{index:02}")).expect("a valid name")
}

/// Draws from an exponential distribution with mean 1.
pub fn exponential(random: &mut StdRng) -> f64 {
    -random.random::<f64>().max(1e-9).ln()
}

/// Draws an attempt with 1% random errors and a heavy tail: log-normal around `ms`, and one in a hundred from 100 ms to
/// 5 s.
pub fn healthy(random: &mut StdRng, ms: f64) -> Sample {
    let angle = std::f64::consts::TAU * random.random::<f64>();
    let normal = (2.0 * exponential(random)).sqrt() * angle.cos();
    let ms = if random.random_bool(0.01) {
        (100.0 / random.random::<f64>().max(1e-9)).min(5_000.0)
    } else {
        ms * (0.6 * normal).exp()
    };
    let failed = random.random_bool(0.01);
    Sample {
        latency: Duration::from_secs_f64(ms / 1_000.0),
        verdict: [Verdict::Success, Verdict::Failure][usize::from(failed)],
    }
}

struct Instance {
    entry: Entry,
    zone: usize,
    balancer: Balancer,
    detector: Detector,
    next_worker: usize,
}

/// A request in flight.
struct InFlight {
    entry: usize,
    worker: usize,
    route: usize,
    sample: Sample,
}

struct Fleet {
    setup: Setup,
    names: Vec<Worker>,
    entries: Vec<Instance>,
    grants: Grants,
    /// For each worker, the times at which its slots become free.
    slots: Vec<Vec<Instant>>,
    sent: Vec<InFlight>,
    running: BinaryHeap<Reverse<(Instant, usize)>>,
    loads: Vec<u32>,
}

/// Runs a simulation. `serve` returns the service time and the result of an attempt from the worker, the route and the
/// time.
pub fn run(setup: Setup, serve: impl Fn(&mut StdRng, usize, usize, f64) -> Sample) -> Outcome {
    let mut random = StdRng::seed_from_u64(setup.seed);
    let start = Instant::now();
    let mut fleet = Fleet::new(setup, start);
    let mut outcome = Outcome::default();
    let (mut time, mut next_grants) = (0.0, 0.0);
    while time < setup.seconds {
        time += exponential(&mut random) / (setup.rate * count(setup.workers));
        let now = start + Duration::from_secs_f64(time);
        fleet.finish(now);
        if setup.detect && time >= next_grants {
            next_grants = time + GRANT_INTERVAL_SECONDS;
            fleet.request_grants(now, &mut outcome);
        }
        let entry = random.random_range(0..setup.entries);
        let route = random.random_range(0..ROUTES.len());
        let worker = fleet.pick(now, entry, route, &mut random);
        let attempt = serve(&mut random, worker, route, time);
        let (latency, remote) = fleet.dispatch(now, entry, worker, route, attempt);
        outcome.events.push(Event {
            at: time,
            worker,
            route,
            latency: latency.as_secs_f64(),
            remote,
            success: attempt.verdict == Verdict::Success,
        });
    }
    outcome
}

impl Fleet {
    fn new(setup: Setup, start: Instant) -> Self {
        let names: Vec<Worker> = (0..setup.workers).map(worker).collect();
        let zone =
            |index| Zone::new(&format!("sofia-{}", index % setup.zones)).expect("a valid name");
        let entries = (0..setup.entries).map(|index| {
            let mut balancer = Balancer::new(zone(index));
            if let Policy::Balanced { candidates, .. } = setup.policy {
                balancer = balancer.with_candidates(candidates);
            }
            for (number, name) in names.iter().enumerate() {
                let upstream = Upstream {
                    worker: name.clone(),
                    zone: zone(number),
                    slots: SLOTS,
                    warm_up: Duration::ZERO,
                };
                balancer.upsert(start, upstream);
            }
            Instance {
                entry: Entry::new(&format!("e{index}")).expect("a valid name"),
                zone: index % setup.zones,
                balancer,
                detector: Detector::new(Settings::default()),
                next_worker: index,
            }
        });
        Self {
            setup,
            entries: entries.collect(),
            grants: Grants::new(start),
            slots: names.iter().map(|_| vec![start; SLOTS as usize]).collect(),
            loads: vec![0; names.len()],
            names,
            sent: Vec::new(),
            running: BinaryHeap::new(),
        }
    }

    fn finish(&mut self, now: Instant) {
        while let Some(&Reverse((at, id))) = self.running.peek()
            && at <= now
        {
            self.running.pop();
            let sent = &self.sent[id];
            let name = &self.names[sent.worker];
            self.loads[sent.worker] -= 1;
            let instance = &mut self.entries[sent.entry];
            instance.balancer.finish(at, name, &sent.sample);
            if matches!(self.setup.policy, Policy::Balanced { reports: true, .. }) {
                instance
                    .balancer
                    .record_load(at, name, self.loads[sent.worker]);
            }
            let route = ROUTES[sent.route];
            instance.detector.observe(at, name, route, &sent.sample);
        }
    }

    fn request_grants(&mut self, now: Instant, outcome: &mut Outcome) {
        for Instance {
            entry, detector, ..
        } in &mut self.entries
        {
            let ask = Ask {
                entry: entry.clone(),
                service: Service::new("kasa").expect("a valid name"),
                registered: self.names.clone(),
                eligible: self.names.clone(),
                eject: detector.candidates(now),
                held: detector.granted_workers(now),
                floor_percent: 70,
            };
            outcome.proposed.extend(ask.eject.iter().cloned());
            let granted = self.grants.ask(now, &ask).workers;
            detector.set_grants(now, &granted, now + GRANT);
        }
        let entries = &self.entries;
        let is_ejected = |name: &&Worker| entries.iter().any(|e| e.detector.is_ejected(now, name));
        let ejected = self.names.iter().filter(is_ejected).count();
        outcome.max_ejected = outcome.max_ejected.max(ejected);
    }

    fn pick(&mut self, now: Instant, entry: usize, route: usize, random: &mut StdRng) -> usize {
        let instance = &mut self.entries[entry];
        if self.setup.policy == Policy::RoundRobin {
            instance.next_worker += 1;
            return instance.next_worker % self.names.len();
        }
        let detect = self.setup.detect;
        let detector = &instance.detector;
        let eligible = |w: &Worker| !detect || !detector.is_ejected(now, w);
        let suspicion = |w: &Worker| {
            let suspicion = detector.suspicion(now, w, ROUTES[route]);
            if detect { suspicion } else { 0.0 }
        };
        let picked = instance.balancer.pick(now, eligible, suspicion, random);
        let picked = picked.expect("an eligible worker");
        instance.detector.record_dispatch(now, &picked);
        let position = self.names.iter().position(|n| *n == picked);
        position.expect("a known worker")
    }

    /// Sends a request to a worker; returns its latency and whether it goes to another availability zone.
    fn dispatch(
        &mut self,
        now: Instant,
        entry: usize,
        worker: usize,
        route: usize,
        attempt: Sample,
    ) -> (Duration, bool) {
        let slots = &mut self.slots[worker];
        let slot = slots.iter_mut().min().expect("at least one slot");
        *slot = now.max(*slot) + attempt.latency;
        let remote = worker % self.setup.zones != self.entries[entry].zone;
        let path = if remote {
            CROSS_ZONE_LATENCY
        } else {
            Duration::ZERO
        };
        let latency = slot.saturating_duration_since(now) + path;
        self.loads[worker] += 1;
        self.running.push(Reverse((now + latency, self.sent.len())));
        let sample = Sample { latency, ..attempt };
        self.sent.push(InFlight {
            entry,
            worker,
            route,
            sample,
        });
        (latency, remote)
    }
}
