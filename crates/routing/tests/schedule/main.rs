//! Simulations of the load patterns that the scheduler is built for, compared with round-robin dispatch.
//!
//! Workers have two slots and a queue of eight, process their queues in order and shed requests when it is full. They
//! are shared by four entries unless a test sets another number; an entry sees only its own requests and the load that
//! workers report with each response.

mod notices;
mod overload;
mod pattern;
mod replay;

use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{
    Action, Decision, Evidence, Outcome, Reason, Request, Scheduler, Spec,
};
use rstest::rstest;

use crate::replay::{Load, Replay, Tally, index, load};

/// Mean service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(160);
const TARGET: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(2);

fn worker(index: usize) -> Worker {
    Worker::new(&format!("w{index}")).unwrap()
}

fn zone() -> Zone {
    Zone::new("z").unwrap()
}

fn spec() -> Spec {
    Spec {
        incarnation: Incarnation(1),
        zone: zone(),
        slots: 2,
        warm_up: Duration::ZERO,
    }
}

fn request(id: u64, now: Instant, rank: Rank) -> Request {
    Request {
        id,
        rank,
        class: 0,
        customer: None,
        download: false,
        at_most_once: true,
        target: now + TARGET,
        deadline: now + DEADLINE,
        tried: Vec::new(),
        connected: Vec::new(),
        remote: false,
    }
}

fn scheduler(now: Instant, workers: usize, entries: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(zone());
    let specs: Vec<_> = (0..workers).map(|w| (worker(w), spec())).collect();
    scheduler.sync_workers(now, &specs, entries);
    scheduler
}

/// Value of an urgent request relative to another one, as on the deployments.
const URGENT_VALUE: u32 = 4;

/// Guards against urgent requests that wait behind others under lasting overload, against workers that are idle while
/// requests wait, and against requests that are queued for long and then refused.
#[rstest]
#[case::at_capacity(1.0)]
#[case::above_capacity(1.2)]
#[case::far_above_capacity(2.0)]
fn overload_serves_the_urgent_and_loses_no_room(#[case] utilization: f64) {
    let [urgent, other] = Replay::run(load(utilization), true);
    let [round_robin_urgent, round_robin_other] = Replay::run(load(utilization), false);
    let tallies =
        format!("{urgent:?} {other:?}; round-robin: {round_robin_urgent:?} {round_robin_other:?}");
    assert!(urgent.in_time * 100 >= urgent.offered * 99, "{tallies}");
    let answered = |a: Tally, b: Tally| a.in_time + a.late + b.in_time + b.late;
    let (scheduled, round_robin) = (
        answered(urgent, other),
        answered(round_robin_urgent, round_robin_other),
    );
    assert!(scheduled * 100 >= round_robin * 98, "{tallies}");
    let value = |a: Tally, b: Tally| a.in_time * URGENT_VALUE + b.in_time;
    let (scheduled, round_robin) = (
        value(urgent, other),
        value(round_robin_urgent, round_robin_other),
    );
    assert!(
        scheduled > round_robin,
        "{scheduled} against {round_robin}: {tallies}"
    );
    assert!(other.late * 10 <= other.in_time, "{tallies}");
    assert!(other.queued_ms <= TARGET.as_millis(), "{tallies}");
}

/// Guards against a failing worker that attracts requests because it answers immediately.
#[test]
fn a_failing_worker_does_not_draw_requests() {
    let load = Load {
        faulty_share: 1.0,
        ..load(0.4)
    };
    let [urgent, other] = Replay::run(load, true);
    let [round_robin_urgent, round_robin_other] = Replay::run(load, false);
    let failed = urgent.failed + other.failed;
    let round_robin = round_robin_urgent.failed + round_robin_other.failed;
    // With round-robin dispatch, workers fail a quarter of their requests.
    assert!(failed * 3 < round_robin, "{failed} against {round_robin}");
}

/// Guards against entries that each detect a faulty worker only by failures of their own.
#[test]
fn shared_failures_spare_the_other_entries() {
    let load = Load {
        faulty_share: 1.0,
        ..load(0.4)
    };
    let failed = |share_failures| {
        let [urgent, other] = Replay::run(
            Load {
                share_failures,
                ..load
            },
            true,
        );
        urgent.failed + other.failed
    };
    let (shared, alone) = (failed(true), failed(false));
    assert!(shared * 3 < alone * 2, "{shared} against {alone}");
}

/// Guards against a hundred entries that each see only a few requests per second, so that some workers get a queue
/// while others are idle. A single scheduler for all of them knows all requests in flight.
#[test]
fn one_scheduler_answers_sooner_than_one_for_each_of_many_entries() {
    let load = Load {
        workers: 40,
        faulty_share: 0.3,
        ..load(0.6)
    };
    let run = |entries| {
        let [urgent, other] = Replay::run(Load { entries, ..load }, true);
        let offered = urgent.offered + other.offered;
        let failed = urgent.failed + other.failed;
        (offered - urgent.quick - other.quick - failed) * 1_000 / offered
    };
    let (slow, many_slow) = (run(1), run(100));
    assert!(slow * 2 < many_slow, "{slow} and {many_slow} of 1000");
}

/// Guards against queueing a request when there is no worker.
#[test]
fn without_workers_a_request_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 0, 1);
    let Decision::Refuse(refusal) = scheduler.offer(now, request(1, now, Rank::Top)) else {
        panic!("the request was not refused");
    };
    assert_eq!(refusal.reason, Reason::NoWorker);
}

/// Guards against a released slot that goes to a less urgent request, and against one that is lost.
#[test]
fn a_free_slot_goes_to_the_most_urgent_request() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    for id in 0..2 {
        let decision = scheduler.offer(now, request(id, now, Rank::Bottom));
        assert_eq!(decision, Decision::Send(worker(0)));
    }
    assert_eq!(
        scheduler.offer(now, request(2, now, Rank::Bottom)),
        Decision::Wait
    );
    assert_eq!(
        scheduler.offer(now, request(3, now, Rank::Top)),
        Decision::Wait
    );
    let later = now + Duration::from_millis(100);
    let actions = scheduler.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(3, worker(0))]);
    let actions = scheduler.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(2, worker(0))]);
}

/// Guards against a slot that is lost when a queued caller disconnects.
#[test]
fn a_cancelled_request_no_longer_waits() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    for id in 0..2 {
        scheduler.offer(now, request(id, now, Rank::Top));
    }
    assert_eq!(
        scheduler.offer(now, request(2, now, Rank::Top)),
        Decision::Wait
    );
    assert!(scheduler.cancel(2));
    assert!(!scheduler.cancel(2));
    assert_eq!(scheduler.queue_len(), 0);
    let actions = scheduler.finish(now, &worker(0), now, Outcome::Cancelled);
    assert_eq!(actions, []);
}

/// Guards against a worker that left and gets requests again without a new incarnation, and against one that is avoided
/// because of failures of its previous incarnation.
#[test]
fn a_new_incarnation_starts_without_history() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    scheduler.offer(now, request(1, now, Rank::Top));
    scheduler.finish(now, &worker(0), now, Outcome::Gone);
    assert_eq!(scheduler.usable_workers(), 0);
    scheduler.sync_workers(now, &[(worker(0), spec())], 1);
    assert_eq!(scheduler.usable_workers(), 0);
    let later = Spec {
        incarnation: Incarnation(2),
        ..spec()
    };
    scheduler.sync_workers(now, &[(worker(0), later)], 1);
    assert_eq!(scheduler.usable_workers(), 1);
}

/// Guards against a worker that counts as slow because it answered first, when the typical response time was unknown.
/// The other worker would get all following requests.
#[test]
fn the_first_response_does_not_make_a_worker_slow() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 1);
    let mut id = 0;
    let mut send = |scheduler: &mut Scheduler, at: Instant| {
        id += 1;
        match scheduler.offer(at, request(id, at, Rank::Top)) {
            Decision::Send(worker) => worker,
            other => panic!("{other:?}"),
        }
    };
    let mut at = now;
    for round in 0..50 {
        let pair = [send(&mut scheduler, at), send(&mut scheduler, at)];
        assert_ne!(pair[0], pair[1], "round {round}");
        let later = at + Duration::from_millis(20);
        for worker in &pair {
            scheduler.finish(later, worker, at, Outcome::Success);
        }
        at = later;
    }
}

fn fail(scheduler: &mut Scheduler, now: Instant, worker: &Worker) {
    scheduler.observe(now, worker, Evidence::Failure);
}

/// Guards against losing a request every two seconds at a worker that is faulty for nine.
#[test]
fn a_worker_that_fails_again_is_avoided_for_longer() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 10, 1);
    let faulty = worker(0);
    fail(&mut scheduler, now, &faulty);
    let first = now + Duration::from_millis(1_500);
    assert!(!scheduler.is_avoided(first, &faulty));
    fail(&mut scheduler, first, &faulty);
    assert!(scheduler.is_avoided(first + Duration::from_secs(4), &faulty));
    assert!(!scheduler.is_avoided(first + Duration::from_secs(5), &faulty));
}

/// Guards against counting failures of concurrent requests as repeated failures; they are no stronger evidence than
/// one.
#[test]
fn concurrent_failures_do_not_prolong_avoidance() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 10, 1);
    let faulty = worker(0);
    for ms in [0, 5, 20, 300] {
        fail(&mut scheduler, now + Duration::from_millis(ms), &faulty);
    }
    assert!(!scheduler.is_avoided(now + Duration::from_secs(2), &faulty));
}

/// Guards against avoidance that leaves more than 30% of the workers without requests for over 2 s.
#[test]
fn only_a_part_of_the_workers_is_avoided_for_long() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 10, 1);
    let again = now + Duration::from_millis(1_500);
    for at in [now, again] {
        for index in 0..10 {
            fail(&mut scheduler, at, &worker(index));
        }
    }
    let later = again + Duration::from_secs(2);
    let avoided = (0..10).filter(|index| scheduler.is_avoided(later, &worker(*index)));
    assert_eq!(avoided.count(), 2);
}

fn offer(scheduler: &mut Scheduler, now: Instant, id: u64, tried: &[Worker]) -> Decision {
    let request = Request {
        tried: tried.to_vec(),
        ..request(id, now, Rank::Middle)
    };
    scheduler.offer(now, request)
}

/// Guards against a worker that appears half full after each response, because its reported load includes the request
/// that ends.
#[test]
fn a_reported_load_counts_the_request_that_ends() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    offer(&mut scheduler, now, 1, &[]);
    let later = now + Duration::from_millis(100);
    scheduler.record_load(later, &worker(0), 1);
    scheduler.finish(later, &worker(0), now, Outcome::Success);
    for id in 2..4 {
        let decision = offer(&mut scheduler, later, id, &[]);
        assert_eq!(decision, Decision::Send(worker(0)));
    }
}

/// Guards against requests of 20 ms that wait for a quarter of a second behind reported requests that have ended.
#[test]
fn reported_load_decays_with_the_response_time() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    for id in 0..50 {
        offer(&mut scheduler, now, id, &[]);
        let later = now + Duration::from_millis(20);
        scheduler.finish(later, &worker(0), now, Outcome::Success);
        now = later;
    }
    offer(&mut scheduler, now, 50, &[]);
    let later = now + Duration::from_millis(20);
    scheduler.record_load(later, &worker(0), 3);
    scheduler.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(offer(&mut scheduler, later, 51, &[]), Decision::Wait);
    let actions = scheduler.tick(later + Duration::from_millis(60));
    assert_eq!(actions, [Action::Send(51, worker(0))]);
}

/// Guards against a queued request that excludes all workers with room and blocks the requests behind it.
#[test]
fn a_retry_without_a_slot_does_not_block_others() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 1);
    for id in 0..4 {
        assert!(matches!(
            offer(&mut scheduler, now, id, &[]),
            Decision::Send(_)
        ));
    }
    assert_eq!(offer(&mut scheduler, now, 4, &[worker(0)]), Decision::Wait);
    assert_eq!(offer(&mut scheduler, now, 5, &[]), Decision::Wait);
    let later = now + Duration::from_millis(100);
    let actions = scheduler.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(5, worker(0))]);
    let actions = scheduler.finish(later, &worker(1), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(4, worker(1))]);
}

/// Guards against opening a connection for each request while an idle worker has one, and against queueing at a worker
/// because of its connection.
#[test]
fn an_open_connection_decides_between_equally_loaded_workers() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 10, 1);
    let offer = |scheduler: &mut Scheduler, id| {
        let request = Request {
            connected: vec![worker(7)],
            ..request(id, now, Rank::Middle)
        };
        scheduler.offer(now, request)
    };
    let sent: Vec<Decision> = (0..20).map(|id| offer(&mut scheduler, id)).collect();
    let at_connected = sent.iter().filter(|d| **d == Decision::Send(worker(7)));
    assert_eq!(at_connected.count(), 2);
    assert!(!sent.contains(&Decision::Wait));
    let first = sent.iter().position(|d| *d == Decision::Send(worker(7)));
    assert!(first.unwrap() < 3, "{first:?}");
}

/// Guards against workers that get no request for 2 s because their last one failed, while others are proven and the
/// failure rate is high or too few workers are in use. Also guards against more probes than that at a normal failure
/// rate, which would fail requests without need.
#[rstest]
#[case::many_fail(8, 4, 4)]
#[case::many_fail_above_the_floor(8, 3, 3)]
#[case::none_fails_above_the_floor(1_000, 3, 0)]
#[case::none_fails_below_the_floor(1_000, 4, 1)]
#[case::none_fails_far_below_the_floor(1_000, 6, 3)]
fn a_coordinator_keeps_the_floor_in_use(
    #[case] one_shed_in: u64,
    #[case] failed: usize,
    #[case] expected: usize,
) {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 10, 1);
    scheduler.set_floor(Some(0.7));
    for index in 0..failed {
        fail(&mut scheduler, now, &worker(index));
    }
    let mut tried = [false; 10];
    for id in 1..=100 {
        if let Decision::Send(to) = offer(&mut scheduler, now, id, &[]) {
            tried[index(&to)] = true;
            let sent = now;
            now += Duration::from_millis(20);
            let outcome = if id % one_shed_in == 0 {
                Outcome::Shed
            } else {
                Outcome::Success
            };
            scheduler.finish(now, &to, sent, outcome);
        }
    }
    let again = tried[..failed].iter().filter(|tried| **tried).count();
    assert_eq!(again, expected);
    assert_eq!(tried[failed..], [true; 10][failed..]);
}

/// Guards against a customer with queued requests that gets no slot as long as requests of other customers, each with a
/// single one, keep arriving.
#[test]
fn customers_that_keep_arriving_do_not_starve_one_that_waits() {
    let start = Instant::now();
    let mut scheduler = scheduler(start, 1, 1);
    let waiting = u64::MAX;
    let of_customer = |id, now, customer| Request {
        customer: Some(customer),
        target: now + Duration::from_mins(1),
        deadline: now + Duration::from_mins(2),
        ..request(id, now, Rank::Middle)
    };
    // The scheduler learns the work of a request, which is 20 ms.
    let work = Duration::from_millis(20);
    let mut start = start;
    for id in 1_000..1_200 {
        let decision = scheduler.offer(start, of_customer(id, start, 0));
        assert_eq!(decision, Decision::Send(worker(0)));
        scheduler.finish(start + work, &worker(0), start, Outcome::Success);
        start += work;
    }
    for id in 0..2 {
        let decision = scheduler.offer(start, of_customer(id, start, 0));
        assert_eq!(decision, Decision::Send(worker(0)));
    }
    for id in 100..120 {
        let decision = scheduler.offer(start, of_customer(id, start, waiting));
        assert_eq!(decision, Decision::Wait);
    }
    let mut running = vec![start; 2];
    // Slots that the waiting customer gets, and its part of each slot if all customers with queued requests share it.
    let (mut served, mut fair) = (0, 0.0);
    let mut others: u32 = 0;
    for id in 200..240 {
        let now = start + Duration::from_millis(10 * (id - 199));
        assert!(scheduler.tick(now).is_empty());
        let decision = scheduler.offer(now, of_customer(id, now, id));
        assert_eq!(decision, Decision::Wait);
        others += 1;
        fair += 1.0 / f64::from(others + 1);
        let ended = running.remove(0);
        for action in scheduler.finish(now, &worker(0), ended, Outcome::Success) {
            if let Action::Send(id, _) = action {
                running.push(now);
                let waited = (100..120).contains(&id);
                served += u32::from(waited);
                others -= u32::from(!waited);
            }
        }
    }
    assert!(f64::from(served) >= fair - 1.0, "{served} of {fair}");
}
