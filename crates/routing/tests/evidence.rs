//! Load balancing must let a detector complete its evidence.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Worker, Zone};
use chestnutvalve_routing::balance::{Balancer, Upstream};
use chestnutvalve_routing::eject::{Detector, Settings};
use chestnutvalve_routing::sample::{Sample, Verdict};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const ROUTE: &str = "/ration";
/// Time between two requests: a third of 250 requests/s.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);
/// Number of workers, of which the first six fail.
const WORKERS: usize = 10;
const FAILING: usize = 6;

fn workers() -> Vec<Worker> {
    let names = (0..WORKERS).map(|index| format!("desk-{index}"));
    names.map(|name| Worker::new(&name).unwrap()).collect()
}

fn zone(index: usize) -> Zone {
    Zone::new(&format!("z{}", index % 3)).unwrap()
}

/// Sends sequential requests for 25 s, each with one retry if it fails; returns the workers that should be ejected.
fn ejection_candidates(seed: u64, home: usize) -> BTreeSet<Worker> {
    let names = workers();
    let mut random = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let end = now + Duration::from_secs(25);
    let mut balancer = Balancer::new(zone(home));
    for (index, worker) in names.iter().enumerate() {
        let upstream = Upstream {
            worker: worker.clone(),
            zone: zone(index),
            slots: 4,
            warm_up: Duration::ZERO,
        };
        balancer.upsert(now, upstream);
    }
    let mut detector = Detector::new(Settings::default());
    let mut candidates = BTreeSet::new();
    while now < end {
        let mut tried = BTreeSet::new();
        for _ in 0..2 {
            let eligible = |w: &Worker| !tried.contains(w);
            let suspicion = |w: &Worker| detector.suspicion(now, w, ROUTE);
            let worker = balancer.pick(now, eligible, suspicion, &mut random);
            let worker = worker.expect("an eligible worker");
            detector.record_dispatch(now, &worker);
            now += REQUEST_INTERVAL / 2;
            let faulty = names[..FAILING].contains(&worker);
            let sample = Sample {
                latency: REQUEST_INTERVAL / 2,
                verdict: if faulty {
                    Verdict::Failure
                } else {
                    Verdict::Success
                },
            };
            balancer.finish(now, &worker, &sample);
            detector.observe(now, &worker, ROUTE, &sample);
            candidates.extend(detector.candidates(now));
            if !faulty {
                break;
            }
            tried.insert(worker);
        }
        now += REQUEST_INTERVAL / 2;
    }
    candidates
}

/// Guards against evidence that stays incomplete: a healthy worker of the own availability zone is always cheaper than
/// a worker with some evidence against it, which then got no requests that complete or refute the evidence.
#[rstest]
fn evidence_is_completed_despite_cheaper_workers(#[values(0, 1, 2)] home: usize) {
    let faulty: BTreeSet<Worker> = workers()[..FAILING].iter().cloned().collect();
    for seed in 0..50 {
        let candidates = ejection_candidates(seed, home);
        println!("zone {home}, seed {seed}: {} found", candidates.len());
        assert!(!candidates.is_empty(), "nothing was found with seed {seed}");
        assert!(
            candidates.is_subset(&faulty),
            "{candidates:?} with seed {seed}"
        );
    }
}
