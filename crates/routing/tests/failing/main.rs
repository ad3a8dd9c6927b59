//! Simulations of workers that fail most requests for some seconds, each at its own time.

mod replay;

use std::time::{Duration, Instant};

use chestnutvalve_routing::schedule::{Decision, Outcome};
use rstest::rstest;

use crate::replay::{Fleet, Replay};

/// A service of which a third of the requests may be repeated.
fn mixed() -> Fleet {
    Fleet {
        zones: 4,
        workers: 122,
        slots: 6,
        requests_per_s: 500.0,
        service_time: Duration::from_millis(330),
        at_most_once: 0.65,
        phase: Duration::from_secs(9),
        failing_share: 0.3,
        outage: 0.0,
        oracle: false,
        seed: 1,
    }
}

/// A service of which almost no request may be repeated.
fn at_most_once() -> Fleet {
    Fleet {
        zones: 3,
        workers: 230,
        slots: 2,
        service_time: Duration::from_millis(200),
        at_most_once: 0.95,
        ..mixed()
    }
}

/// A service of which all requests may be repeated.
fn repeatable() -> Fleet {
    Fleet {
        workers: 88,
        requests_per_s: 200.0,
        service_time: Duration::from_millis(650),
        at_most_once: 0.0,
        ..mixed()
    }
}

/// A service with few workers and little traffic.
fn small() -> Fleet {
    Fleet {
        zones: 3,
        workers: 16,
        slots: 2,
        requests_per_s: 20.0,
        service_time: Duration::from_millis(200),
        at_most_once: 0.5,
        ..mixed()
    }
}

/// A service whose requests take over nine tenths of the slots of the workers that don't fail.
fn full() -> Fleet {
    Fleet {
        zones: 3,
        workers: 60,
        slots: 2,
        requests_per_s: 540.0,
        service_time: Duration::from_millis(165),
        at_most_once: 0.5,
        failing_share: 0.1,
        ..mixed()
    }
}

/// Guards against more failed requests than necessary: an oracle that knows the failing workers fails only the requests
/// that healthy workers fail at random.
#[rstest]
#[case::mixed(mixed(), 0.8, 4.6)]
#[case::at_most_once(at_most_once(), 1.5, 2.7)]
#[case::repeatable(repeatable(), 0.25, 4.6)]
fn failing_workers_get_few_requests(
    #[case] fleet: Fleet,
    #[case] max_excess_percent: f64,
    #[case] max_failures_per_phase: f64,
) {
    let figures = Replay::run(fleet);
    let oracle = Replay::run(Fleet {
        oracle: true,
        ..fleet
    });
    let excess = figures.failed_percent() - oracle.failed_percent();
    assert!(
        excess < max_excess_percent,
        "{excess:.2} points more than the oracle: {figures:?} {oracle:?}"
    );
    assert!(
        figures.failures_per_phase() < max_failures_per_phase,
        "{figures:?}"
    );
    assert!(figures.retries * 100 < figures.requests * 8, "{figures:?}");
}

/// Guards against healthy workers that get no requests while so many fail that the floor must be kept.
#[rstest]
#[case::mixed(mixed(), 0.7)]
#[case::at_most_once(at_most_once(), 0.7)]
#[case::repeatable(repeatable(), 0.7)]
fn an_outage_leaves_the_floor_in_use(#[case] fleet: Fleet, #[case] min_share: f64) {
    let figures = Replay::run(Fleet {
        outage: 0.6,
        ..fleet
    });
    assert!(figures.floor_when_failing >= min_share, "{figures:?}");
}

/// Guards against refusals of requests that suspect workers could have served.
#[rstest]
#[case::failing_workers(0.0)]
#[case::outage(0.6)]
fn avoidance_costs_no_capacity(#[case] outage: f64) {
    let figures = Replay::run(Fleet { outage, ..full() });
    assert!(figures.refused * 1_000 < figures.requests, "{figures:?}");
    assert!(figures.late * 500 < figures.requests, "{figures:?}");
}

/// Guards against workers that have recovered and get no requests, in services of any size.
#[rstest]
#[case::mixed(mixed())]
#[case::at_most_once(at_most_once())]
#[case::repeatable(repeatable())]
#[case::small(small())]
fn recovered_workers_return(#[case] fleet: Fleet) {
    let figures = Replay::run(fleet);
    assert!(figures.late_returns * 10 < figures.returns, "{figures:?}");
    assert!(figures.unused_sound < 0.2, "{figures:?}");
}

/// Guards against an answer to an earlier request that clears a worker which fails all later ones.
#[test]
fn a_success_of_an_earlier_request_does_not_clear_a_failure() {
    let now = Instant::now();
    let mut scheduler = replay::scheduler(now, small(), 0);
    let request = |id, at| replay::request(id, at, true, Vec::new());
    let Decision::Send(worker) = scheduler.offer(now, request(1, now)) else {
        panic!("the request was not sent");
    };
    let later = now + Duration::from_millis(100);
    scheduler.reserve_at(later, &worker);
    let failed_at = later + Duration::from_millis(1);
    scheduler.finish(failed_at, &worker, later, Outcome::Failure);
    let before = scheduler.suspicion(failed_at, &worker);
    assert!(!scheduler.is_recovered_by(failed_at, &worker, now));
    scheduler.finish(failed_at, &worker, now, Outcome::Success);
    assert!(scheduler.suspicion(failed_at, &worker) >= before);
}

/// Guards against probes by requests that must not run twice while others can be probes.
#[test]
fn probes_are_requests_that_may_be_repeated() {
    let mut now = Instant::now();
    let mut scheduler = replay::scheduler(now, small(), 0);
    let mut failed = Vec::new();
    let mut probes = [0, 0];
    for id in 0..400 {
        let at_most_once = id % 2 == 0;
        let request = replay::request(id, now, at_most_once, Vec::new());
        let Decision::Send(worker) = scheduler.offer(now, request) else {
            panic!("request {id} was not sent");
        };
        probes[usize::from(at_most_once)] += u32::from(failed.contains(&worker));
        let sent = now;
        now += Duration::from_millis(20);
        // The first four requests of the service fail.
        let outcome = if id < 4 {
            failed.push(worker.clone());
            Outcome::Failure
        } else {
            Outcome::Success
        };
        let recovered = failed.iter().position(|w| *w == worker);
        if let (Outcome::Success, Some(index)) = (outcome, recovered) {
            failed.swap_remove(index);
        }
        scheduler.finish(now, &worker, sent, outcome);
    }
    assert_eq!(probes[1], 0);
    assert!(probes[0] > 0);
}
