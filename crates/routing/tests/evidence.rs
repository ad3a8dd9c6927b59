//! Evidence that the choice of workers must let a detector complete.

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
const GAP: Duration = Duration::from_millis(12);
/// Workers, of which the first six fail.
const WORKERS: usize = 10;
const FAILING: usize = 6;

fn workers() -> Vec<Worker> {
    let names = (0..WORKERS).map(|index| format!("desk-{index}"));
    names.map(|name| Worker::new(&name).unwrap()).collect()
}

fn zone(index: usize) -> Zone {
    Zone::new(&format!("z{}", index % 3)).unwrap()
}

/// Sends requests one after the other for 25 s, each a second time if it fails; returns the workers to be ejected.
fn found(seed: u64, home: usize) -> BTreeSet<Worker> {
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
    let mut wanted = BTreeSet::new();
    while now < end {
        let mut tried = BTreeSet::new();
        for _ in 0..2 {
            let eligible = |w: &Worker| !tried.contains(w);
            let suspicion = |w: &Worker| detector.suspicion(now, w, ROUTE);
            let worker = balancer.pick(now, eligible, suspicion, &mut random);
            let worker = worker.expect("an eligible worker");
            detector.record_dispatch(now, &worker);
            now += GAP / 2;
            let bad = names[..FAILING].contains(&worker);
            let sample = Sample {
                latency: GAP / 2,
                verdict: if bad {
                    Verdict::Failure
                } else {
                    Verdict::Success
                },
            };
            balancer.finish(now, &worker, &sample);
            detector.observe(now, &worker, ROUTE, &sample);
            wanted.extend(detector.candidates(now));
            if !bad {
                break;
            }
            tried.insert(worker);
        }
        now += GAP / 2;
    }
    wanted
}

/// Guards against evidence that stops halfway: a good worker of the own availability zone is always cheaper than a
/// worker with some evidence against it, which then got no requests that complete or refute the evidence.
#[rstest]
fn evidence_is_completed_beside_cheaper_workers(#[values(0, 1, 2)] home: usize) {
    let bad: BTreeSet<Worker> = workers()[..FAILING].iter().cloned().collect();
    for seed in 0..50 {
        let wanted = found(seed, home);
        println!("zone {home}, seed {seed}: {} found", wanted.len());
        assert!(!wanted.is_empty(), "nothing was found with seed {seed}");
        assert!(wanted.is_subset(&bad), "{wanted:?} with seed {seed}");
    }
}
