//! Simulation of entries that share the workers of one service, event by event with made-up instants.

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
/// Requests that a worker runs at the same time; further ones wait there.
const SLOTS: u32 = 2;
/// Additional latency when entry and worker are in different availability zones.
const REMOTE: Duration = Duration::from_millis(3);
/// Time between two asks of an entry for grants.
const ASK_SECONDS: f64 = 0.2;

/// How an entry picks a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// In turn, without regard to anything.
    RoundRobin,
    /// By the balancer with so many candidates, with or without reported loads.
    Balanced { candidates: usize, reports: bool },
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub workers: usize,
    pub entries: usize,
    pub zones: usize,
    pub seconds: f64,
    /// Requests per second and worker.
    pub rate: f64,
    pub policy: Policy,
    /// Whether detectors are asked for suspicion and ejections.
    pub detect: bool,
}

impl Setup {
    /// Returns the usual setup: 20 requests/s and worker, one availability zone.
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

/// What happened to one request.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Seconds from the start.
    pub at: f64,
    pub worker: usize,
    pub route: usize,
    /// Seconds until the end.
    pub latency: f64,
    pub remote: bool,
    pub success: bool,
}

/// What happened.
#[derive(Debug, Default)]
pub struct Outcome {
    pub events: Vec<Event>,
    /// Workers that any entry asked to eject, and the most that were ejected at the same time.
    pub wanted: BTreeSet<Worker>,
    pub most_ejected: usize,
}

impl Outcome {
    /// Returns the share of the events after `since` seconds that match.
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

/// Converts a count.
pub fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Returns the name of a worker.
pub fn worker(index: usize) -> Worker {
    Worker::new(&format!("w{index:02}")).expect("a valid name")
}

/// Draws from an exponential distribution with average 1.
pub fn exponential(random: &mut StdRng) -> f64 {
    -random.random::<f64>().max(1e-9).ln()
}

/// An attempt with 1% random errors and a heavy tail: log-normal around `ms`, and one in a hundred from 100 ms to 5 s.
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
    turn: usize,
}

/// A request on its way.
struct Sent {
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
    /// For each worker, when its slots become free.
    slots: Vec<Vec<Instant>>,
    sent: Vec<Sent>,
    running: BinaryHeap<Reverse<(Instant, usize)>>,
    loads: Vec<u32>,
}

/// Runs a setup. `serve` gives the service time and the result of an attempt from the worker, the route and the time.
pub fn run(setup: Setup, serve: impl Fn(&mut StdRng, usize, usize, f64) -> Sample) -> Outcome {
    let mut random = StdRng::seed_from_u64(setup.seed);
    let start = Instant::now();
    let mut fleet = Fleet::new(setup, start);
    let mut outcome = Outcome::default();
    let (mut time, mut next_ask) = (0.0, 0.0);
    while time < setup.seconds {
        time += exponential(&mut random) / (setup.rate * count(setup.workers));
        let now = start + Duration::from_secs_f64(time);
        fleet.finish(now);
        if setup.detect && time >= next_ask {
            next_ask = time + ASK_SECONDS;
            fleet.ask(now, &mut outcome);
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
                turn: index,
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

    fn ask(&mut self, now: Instant, outcome: &mut Outcome) {
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
            outcome.wanted.extend(ask.eject.iter().cloned());
            let granted = self.grants.ask(now, &ask).workers;
            detector.set_grants(now, &granted, now + GRANT);
        }
        let entries = &self.entries;
        let out = |name: &&Worker| entries.iter().any(|e| e.detector.is_ejected(now, name));
        let ejected = self.names.iter().filter(out).count();
        outcome.most_ejected = outcome.most_ejected.max(ejected);
    }

    fn pick(&mut self, now: Instant, entry: usize, route: usize, random: &mut StdRng) -> usize {
        let instance = &mut self.entries[entry];
        if self.setup.policy == Policy::RoundRobin {
            instance.turn += 1;
            return instance.turn % self.names.len();
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

    /// Gives a request to a worker; returns its latency and whether it goes to another availability zone.
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
        let way = if remote { REMOTE } else { Duration::ZERO };
        let latency = slot.saturating_duration_since(now) + way;
        self.loads[worker] += 1;
        self.running.push(Reverse((now + latency, self.sent.len())));
        let sample = Sample { latency, ..attempt };
        self.sent.push(Sent {
            entry,
            worker,
            route,
            sample,
        });
        (latency, remote)
    }
}
