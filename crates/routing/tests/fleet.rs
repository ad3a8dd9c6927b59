//! Balancers, detectors and grants of several entries together: faulty workers, healthy workers and shared slots.

use std::time::Duration;

use chestnutvalve_routing::sample::{Sample, Verdict};
use rstest::rstest;

#[path = "../examples/decisions/fleet.rs"]
mod fleet;

use fleet::{Policy, Setup, healthy, run, worker};

const MS: f64 = 15.0;

/// Guards against a faulty worker that keeps its traffic: it must get less than 2% of the service's within 3 s.
#[rstest]
fn a_faulty_worker_loses_its_traffic(
    #[values((10, 1), (10, 4), (6, 4), (20, 4))] (workers, entries): (usize, usize),
    #[values("errors", "fast errors", "slow", "truncated", "timeouts")] fault: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = run(
        Setup::new(seed, workers, entries, 33.0),
        |random, index, _, time| {
            let usual = healthy(random, MS);
            let half = rand::RngExt::random_bool(random, 0.5);
            let latency = Duration::from_millis(if fault == "timeouts" { 500 } else { 1 });
            match fault {
                _ if index != 0 || time < 20.0 || fault != "slow" && !half => usual,
                "slow" => Sample {
                    latency: usual.latency * 10,
                    ..usual
                },
                "errors" => Sample {
                    verdict: Verdict::Failure,
                    ..usual
                },
                "truncated" => Sample {
                    verdict: Verdict::Truncated,
                    ..usual
                },
                "timeouts" => Sample {
                    latency,
                    verdict: Verdict::Timeout,
                },
                _ => Sample {
                    latency,
                    verdict: Verdict::Failure,
                },
            }
        },
    );
    let share = outcome.share(23.0, |_| true, |e| e.worker == 0);
    let failed = outcome.share(23.0, |_| true, |e| !e.success);
    println!(
        "{workers} workers, {entries} entries, {fault}, seed {seed}: {:.2}% of the traffic, {:.2}% failed",
        share * 100.0,
        failed * 100.0
    );
    assert!(share < 0.02, "{:.2}% of the traffic", share * 100.0);
    assert!(
        outcome.proposed.iter().all(|w| *w == worker(0)),
        "{:?}",
        outcome.proposed
    );
}

/// Guards against ejections of healthy workers in 100,000 requests with 1% errors and a heavy latency tail.
#[rstest]
fn healthy_workers_stay(#[values(1, 2, 3, 4, 5)] seed: u64, #[values(1, 4)] entries: usize) {
    let setup = Setup::new(seed, 10, entries, 505.0);
    let outcome = run(setup, |random, _, _, _| healthy(random, MS));
    assert!(outcome.events.len() >= 100_000);
    assert!(outcome.proposed.is_empty(), "{:?}", outcome.proposed);
}

/// Guards against ejecting a worker because of one faulty route, and against sending that route there.
#[rstest]
fn one_faulty_route_is_avoided(#[values(1, 2, 3)] seed: u64) {
    let outcome = run(
        Setup::new(seed, 10, 2, 60.0),
        |random, index, route, time| {
            let usual = healthy(random, MS);
            let faulty = index == 0 && route == 1 && time >= 20.0;
            Sample {
                verdict: if faulty {
                    Verdict::Failure
                } else {
                    usual.verdict
                },
                ..usual
            }
        },
    );
    let on_route = outcome.share(25.0, |e| e.route == 1, |e| e.worker == 0);
    let on_others = outcome.share(25.0, |e| e.route != 1, |e| e.worker == 0);
    assert!(outcome.proposed.is_empty(), "{:?}", outcome.proposed);
    assert!(
        on_route < 0.02 && on_others > 0.05,
        "{on_route} on the route, {on_others} on others"
    );
}

/// Guards against a fault of the whole service that ejects workers beyond the floor.
#[rstest]
fn the_floor_survives_a_fault_of_the_service(
    #[values(1, 2, 3)] seed: u64,
    #[values(0.3, 0.5, 1.0)] failing: f64,
) {
    let outcome = run(Setup::new(seed, 10, 4, 60.0), |random, _, _, time| {
        let usual = healthy(random, MS);
        let faulty = time >= 20.0 && rand::RngExt::random_bool(random, failing);
        Sample {
            verdict: if faulty {
                Verdict::Failure
            } else {
                usual.verdict
            },
            ..usual
        }
    });
    println!(
        "{failing}: {} proposed, {} ejected",
        outcome.proposed.len(),
        outcome.max_ejected
    );
    assert!(
        outcome.max_ejected <= 3,
        "{} of 10 ejected",
        outcome.max_ejected
    );
}

/// Guards against entries that don't see each other's requests and overload some of the shared slots.
#[rstest]
fn shared_slots_are_balanced(#[values(1, 2, 3)] seed: u64) {
    let setup = Setup {
        rate: 55.0,
        ..Setup::new(seed, 12, 4, 60.0)
    };
    let serve = |random: &mut _, _, _, _| healthy(random, 20.0);
    let slow = |setup| run(setup, serve).share(10.0, |_| true, |e| e.latency > 0.1);
    let balanced = slow(setup);
    let round_robin = slow(Setup {
        policy: Policy::RoundRobin,
        ..setup
    });
    println!("{balanced} balanced, {round_robin} round-robin");
    assert!(
        balanced < round_robin / 2.0,
        "{balanced} balanced, {round_robin} round-robin"
    );
}

/// Guards against crossing availability zones without need, and against overloading one instead.
#[rstest]
fn own_zone_first_unless_overloaded(#[values(1, 2, 3)] seed: u64) {
    let serve = |random: &mut _, _, _, _| healthy(random, MS);
    let even = Setup {
        zones: 3,
        ..Setup::new(seed, 12, 3, 40.0)
    };
    let remote = run(even, serve).share(0.0, |_| true, |e| e.remote);
    assert!(remote < 0.05, "{remote} to other availability zones");
    // The two entries are in the first two zones, whose workers alone would have 1.5 times the load.
    let uneven = Setup {
        rate: 80.0,
        ..Setup::new(seed, 12, 2, 40.0)
    };
    let outcome = run(Setup { zones: 3, ..uneven }, serve);
    let third = outcome.share(10.0, |_| true, |e| e.worker % 3 == 2);
    assert!(third > 0.1, "{third} to the third availability zone");
}
