//! Detection and ejection of bad workers by detectors, balancers and grants together.

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
use rstest::rstest;

const ROUTES: [&str; 4] = ["/balance", "/cover", "/certificate", "/ledger"];
/// Requests per second and worker.
const RATE: f64 = 20.0;

fn worker(index: usize) -> Worker {
    Worker::new(&format!("w{index:02}")).unwrap()
}

fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap())
}

/// Latency in ms: log-normal around 15 ms, and one in a hundred from 100 ms to several seconds.
fn latency(random: &mut StdRng) -> f64 {
    let uniform = |random: &mut StdRng| random.random::<f64>().max(1e-9);
    let normal =
        (-2.0 * uniform(random).ln()).sqrt() * (std::f64::consts::TAU * uniform(random)).cos();
    if random.random_bool(0.01) {
        return (100.0 / uniform(random)).min(5_000.0);
    }
    15.0 * (0.6 * normal).exp()
}

fn sample(ms: f64, verdict: Verdict) -> Sample {
    let latency = Duration::from_secs_f64(ms / 1_000.0);
    Sample { latency, verdict }
}

/// An attempt at a healthy worker: 1% random errors and a heavy tail.
fn healthy(random: &mut StdRng) -> Sample {
    let failed = random.random_bool(0.01);
    sample(
        latency(random),
        if failed {
            Verdict::Failure
        } else {
            Verdict::Success
        },
    )
}

/// What happened to one request.
struct Event {
    /// Seconds from the start.
    at: f64,
    worker: usize,
    route: usize,
}

#[derive(Default)]
struct Outcome {
    events: Vec<Event>,
    /// Workers that any entry asked to eject, and the most that were ejected at the same time.
    wanted: BTreeSet<Worker>,
    most_ejected: usize,
}

impl Outcome {
    /// Returns the share of the requests from `since` seconds on that match.
    fn share(
        &self,
        since: f64,
        matches: impl Fn(&Event) -> bool,
        of: impl Fn(&Event) -> bool,
    ) -> f64 {
        let all = self.events.iter().filter(|e| e.at >= since && of(e));
        let (matching, rest): (Vec<_>, Vec<_>) = all.partition(|e| matches(e));
        count(matching.len()) / count(matching.len() + rest.len())
    }
}

/// Runs entries with common workers for `seconds`. `serve` gives the result of an attempt from the worker, the route
/// and the time in seconds.
fn run(
    (seed, workers, entries, seconds): (u64, usize, usize, f64),
    serve: impl Fn(&mut StdRng, usize, usize, f64) -> Sample,
) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let zone = Zone::new("sofia-1").unwrap();
    let mut fleet: Vec<_> = (0..entries)
        .map(|_| {
            (
                Balancer::new(zone.clone()),
                Detector::new(Settings::default()),
            )
        })
        .collect();
    let names: Vec<Worker> = (0..workers).map(worker).collect();
    for (balancer, _) in &mut fleet {
        for name in &names {
            let (worker, zone) = (name.clone(), zone.clone());
            balancer.upsert(
                start,
                Upstream {
                    worker,
                    zone,
                    slots: 2,
                    warm_up: Duration::ZERO,
                },
            );
        }
    }
    let mut grants = Grants::new(start);
    let mut ejected = BTreeSet::new();
    let mut running: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    let mut sent: Vec<(usize, usize, usize, Sample)> = Vec::new();
    let mut outcome = Outcome::default();
    let (mut time, mut next_ask) = (0.0, 0.0);
    while time < seconds {
        time -= random.random::<f64>().max(1e-9).ln() / (RATE * count(workers));
        let now = start + Duration::from_secs_f64(time);
        while let Some(&Reverse((at, id))) = running.peek()
            && at <= now
        {
            running.pop();
            let (entry, index, route, sample) = sent[id];
            let (balancer, detector): &mut (Balancer, Detector) = &mut fleet[entry];
            balancer.finish(at, &names[index], &sample);
            detector.observe(at, &names[index], ROUTES[route], &sample);
        }
        if time >= next_ask {
            next_ask = time + 0.2;
            for (entry, (_, detector)) in fleet.iter_mut().enumerate() {
                let ask = Ask {
                    entry: Entry::new(&format!("e{entry}")).unwrap(),
                    service: Service::new("kasa").unwrap(),
                    registered: names.clone(),
                    eligible: names.clone(),
                    eject: detector.wanted(now),
                    held: detector.held(now),
                    floor_percent: 70,
                };
                outcome.wanted.extend(ask.eject.iter().cloned());
                let granted = grants.ask(now, &ask).workers;
                detector.granted(now, &granted, now + GRANT);
            }
            ejected.clear();
            for name in &names {
                if fleet
                    .iter()
                    .any(|(_, detector)| detector.is_ejected(now, name))
                {
                    ejected.insert(name.clone());
                }
            }
            outcome.most_ejected = outcome.most_ejected.max(ejected.len());
        }
        let (entry, route) = (
            random.random_range(0..entries),
            random.random_range(0..ROUTES.len()),
        );
        let (balancer, detector) = &mut fleet[entry];
        let eligible = |w: &Worker| !detector.is_ejected(now, w);
        let suspicion = |w: &Worker| detector.suspicion(now, w, ROUTES[route]);
        let picked = balancer
            .pick(now, eligible, suspicion, &mut random)
            .unwrap();
        detector.dispatched(now, &picked);
        let index = names.iter().position(|n| *n == picked).unwrap();
        let sample = serve(&mut random, index, route, time);
        running.push(Reverse((now + sample.latency, sent.len())));
        sent.push((entry, index, route, sample));
        outcome.events.push(Event {
            at: time,
            worker: index,
            route,
        });
    }
    outcome
}

/// Guards against a bad worker keeping its traffic: less than 2% of the service's within 3 s.
#[rstest]
fn a_bad_worker_loses_its_traffic(
    #[values((10, 1), (10, 4), (6, 4), (20, 4))] (workers, entries): (usize, usize),
    #[values("errors", "fast errors", "slow", "truncated", "timeouts")] fault: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = run((seed, workers, entries, 33.0), |random, index, _, time| {
        let usual = healthy(random);
        let bad = index == 0 && time >= 20.0 && (fault == "slow" || random.random_bool(0.5));
        match fault {
            _ if !bad => usual,
            "errors" => Sample {
                verdict: Verdict::Failure,
                ..usual
            },
            "fast errors" => sample(1.0, Verdict::Failure),
            "slow" => Sample {
                latency: usual.latency * 10,
                ..usual
            },
            "truncated" => Sample {
                verdict: Verdict::Truncated,
                ..usual
            },
            _ => sample(500.0, Verdict::Timeout),
        }
    });
    let share = outcome.share(23.0, |e| e.worker == 0, |_| true);
    println!(
        "{workers} workers, {entries} entries, {fault}, seed {seed}: {:.2}%",
        share * 100.0
    );
    assert!(share < 0.02, "{:.2}% of the traffic", share * 100.0);
    assert!(
        outcome.wanted.iter().all(|w| *w == worker(0)),
        "{:?}",
        outcome.wanted
    );
}

/// Guards against ejecting healthy workers in 100,000 requests with 1% errors and a heavy latency tail.
#[rstest]
fn healthy_workers_stay(#[values(1, 2, 3, 4, 5)] seed: u64, #[values(1, 4)] entries: usize) {
    let outcome = run((seed, 10, entries, 500.0), |random, _, _, _| {
        healthy(random)
    });
    assert!(outcome.events.len() > 99_000);
    assert!(outcome.wanted.is_empty(), "{:?}", outcome.wanted);
}

/// Guards against ejecting a worker for one bad route, and against sending that route there.
#[rstest]
fn one_bad_route_is_avoided(#[values(1, 2, 3)] seed: u64) {
    let outcome = run((seed, 10, 2, 60.0), |random, index, route, time| {
        let usual = healthy(random);
        let bad = index == 0 && route == 1 && time >= 20.0;
        Sample {
            verdict: if bad { Verdict::Failure } else { usual.verdict },
            ..usual
        }
    });
    let on_route = outcome.share(25.0, |e| e.worker == 0, |e| e.route == 1);
    let on_others = outcome.share(25.0, |e| e.worker == 0, |e| e.route != 1);
    assert!(outcome.wanted.is_empty(), "{:?}", outcome.wanted);
    assert!(
        on_route < 0.02 && on_others > 0.05,
        "{on_route} on the route, {on_others} on others"
    );
}

/// Guards against a fault of the whole service ejecting workers beyond the floor.
#[rstest]
fn the_floor_survives_a_fault_of_the_service(
    #[values(1, 2, 3)] seed: u64,
    #[values(0.3, 0.5, 1.0)] failing: f64,
) {
    let outcome = run((seed, 10, 4, 60.0), |random, _, _, time| {
        let usual = healthy(random);
        let bad = time >= 20.0 && random.random_bool(failing);
        Sample {
            verdict: if bad { Verdict::Failure } else { usual.verdict },
            ..usual
        }
    });
    println!(
        "{failing}: {} wanted, {} ejected",
        outcome.wanted.len(),
        outcome.most_ejected
    );
    assert!(
        outcome.most_ejected <= 3,
        "{} of 10 ejected",
        outcome.most_ejected
    );
}
