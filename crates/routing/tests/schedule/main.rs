//! Replays of the loads for which the schedule was built, against a plain dispatcher.
//!
//! Workers have two slots and a queue of eight, run their queues in order and refuse when it is full. Four entries, or as many
//! as a test says, share them and see only their own requests and the load that workers report with each response.

mod replay;

use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{
    Action, Decision, Evidence, Outcome, Reason, Request, Scheduler, Spec,
};
use rstest::rstest;

use crate::replay::{Load, Replay, Tally, index, load};

/// Mean work of a request.
const WORK: Duration = Duration::from_millis(160);
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
        download: false,
        at_most_once: true,
        target: now + TARGET,
        deadline: now + DEADLINE,
        tried: Vec::new(),
        connected: Vec::new(),
    }
}

fn schedule(now: Instant, workers: usize, entries: u32) -> Scheduler {
    let mut schedule = Scheduler::new(zone());
    let specs: Vec<_> = (0..workers).map(|w| (worker(w), spec())).collect();
    schedule.sync_workers(now, &specs, entries);
    schedule
}

/// Worth of an urgent request relative to another one, as on the deployments.
const URGENT_WORTH: u32 = 4;

/// Guards against urgent requests that wait behind others under lasting overload, against workers that stay idle while
/// requests wait, and against requests that are held for long and then refused.
#[rstest]
#[case::at_room(1.0)]
#[case::above_room(1.2)]
#[case::far_above_room(2.0)]
fn overload_serves_the_urgent_and_loses_no_room(#[case] room: f64) {
    let [urgent, other] = Replay::run(load(room), true);
    let [plain_urgent, plain_other] = Replay::run(load(room), false);
    let seen = format!("{urgent:?} {other:?}; in turn: {plain_urgent:?} {plain_other:?}");
    assert!(urgent.in_time * 100 >= urgent.asked * 99, "{seen}");
    let answered = |a: Tally, b: Tally| a.in_time + a.late + b.in_time + b.late;
    let (planned, plain) = (answered(urgent, other), answered(plain_urgent, plain_other));
    assert!(planned * 100 >= plain * 98, "{seen}");
    let worth = |a: Tally, b: Tally| a.in_time * URGENT_WORTH + b.in_time;
    let (planned, plain) = (worth(urgent, other), worth(plain_urgent, plain_other));
    assert!(planned > plain, "{planned} against {plain}: {seen}");
    assert!(other.late * 10 <= other.in_time, "{seen}");
    assert!(other.held_ms <= TARGET.as_millis(), "{seen}");
}

/// Guards against a failing worker that draws requests because it answers at once.
#[test]
fn a_failing_worker_does_not_draw_requests() {
    let load = Load {
        bad: 1.0,
        ..load(0.4)
    };
    let [urgent, other] = Replay::run(load, true);
    let [plain_urgent, plain_other] = Replay::run(load, false);
    let failed = urgent.failed + other.failed;
    let plain = plain_urgent.failed + plain_other.failed;
    // Workers fail a quarter of the requests that come to them in turn.
    assert!(failed * 3 < plain, "{failed} against {plain}");
}

/// Guards against each entry finding out a bad worker by its own failures.
#[test]
fn shared_failures_spare_the_other_entries() {
    let load = Load {
        bad: 1.0,
        ..load(0.4)
    };
    let failed = |shared| {
        let [urgent, other] = Replay::run(Load { shared, ..load }, true);
        urgent.failed + other.failed
    };
    let (shared, alone) = (failed(true), failed(false));
    assert!(shared * 3 < alone * 2, "{shared} against {alone}");
}

/// Guards against a hundred entries that each see a few requests a second, and therefore give some workers a queue while
/// others are idle. One schedule for all of them knows what is in flight.
#[test]
fn one_schedule_answers_sooner_than_one_for_each_of_many_entries() {
    let load = Load {
        workers: 40,
        bad: 0.3,
        ..load(0.6)
    };
    let run = |entries| {
        let [urgent, other] = Replay::run(Load { entries, ..load }, true);
        let asked = urgent.asked + other.asked;
        let failed = urgent.failed + other.failed;
        (asked - urgent.quick - other.quick - failed) * 1_000 / asked
    };
    let (slow, many_slow) = (run(1), run(100));
    assert!(slow * 2 < many_slow, "{slow} and {many_slow} of 1000");
}

/// Guards against a request that waits although no worker can take it.
#[test]
fn without_workers_a_request_is_refused_at_once() {
    let now = Instant::now();
    let mut schedule = schedule(now, 0, 1);
    let Decision::Refuse(refusal) = schedule.offer(now, request(1, now, Rank::Top)) else {
        panic!("the request was not refused");
    };
    assert_eq!(refusal.reason, Reason::NoWorker);
}

/// Guards against a freed place that goes to a less urgent request, and against one that is lost.
#[test]
fn a_free_place_goes_to_the_most_urgent_request() {
    let now = Instant::now();
    let mut schedule = schedule(now, 1, 1);
    for id in 0..2 {
        let decision = schedule.offer(now, request(id, now, Rank::Bottom));
        assert_eq!(decision, Decision::Send(worker(0)));
    }
    assert_eq!(
        schedule.offer(now, request(2, now, Rank::Bottom)),
        Decision::Wait
    );
    assert_eq!(
        schedule.offer(now, request(3, now, Rank::Top)),
        Decision::Wait
    );
    let later = now + Duration::from_millis(100);
    let actions = schedule.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(3, worker(0))]);
    let actions = schedule.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(2, worker(0))]);
}

/// Guards against a place that is lost when a waiting caller goes away.
#[test]
fn a_cancelled_request_no_longer_waits() {
    let now = Instant::now();
    let mut schedule = schedule(now, 1, 1);
    for id in 0..2 {
        schedule.offer(now, request(id, now, Rank::Top));
    }
    assert_eq!(
        schedule.offer(now, request(2, now, Rank::Top)),
        Decision::Wait
    );
    assert!(schedule.cancel(2));
    assert!(!schedule.cancel(2));
    assert_eq!(schedule.queue_len(), 0);
    let actions = schedule.finish(now, &worker(0), now, Outcome::Cancelled);
    assert_eq!(actions, []);
}

/// Guards against a worker that is given requests again because a later run has its name, and against one that is kept
/// out for the failures of an earlier run.
#[test]
fn a_later_run_starts_without_a_record() {
    let now = Instant::now();
    let mut schedule = schedule(now, 1, 1);
    schedule.offer(now, request(1, now, Rank::Top));
    schedule.finish(now, &worker(0), now, Outcome::Gone);
    assert_eq!(schedule.usable_workers(), 0);
    schedule.sync_workers(now, &[(worker(0), spec())], 1);
    assert_eq!(schedule.usable_workers(), 0);
    let later = Spec {
        incarnation: Incarnation(2),
        ..spec()
    };
    schedule.sync_workers(now, &[(worker(0), later)], 1);
    assert_eq!(schedule.usable_workers(), 1);
}

/// Guards against a worker that is taken to be slow because it was the first to answer, when the usual response time was
/// not known yet: the next requests would all go to the other one.
#[test]
fn the_first_response_does_not_make_a_worker_slow() {
    let now = Instant::now();
    let mut schedule = schedule(now, 2, 1);
    let mut id = 0;
    let mut send = |schedule: &mut Scheduler, at: Instant| {
        id += 1;
        match schedule.offer(at, request(id, at, Rank::Top)) {
            Decision::Send(worker) => worker,
            other => panic!("{other:?}"),
        }
    };
    let mut at = now;
    for round in 0..50 {
        let pair = [send(&mut schedule, at), send(&mut schedule, at)];
        assert_ne!(pair[0], pair[1], "round {round}");
        let later = at + Duration::from_millis(20);
        for worker in &pair {
            schedule.finish(later, worker, at, Outcome::Success);
        }
        at = later;
    }
}

fn fail(schedule: &mut Scheduler, now: Instant, worker: &Worker) {
    schedule.observe(now, worker, Evidence::Failure);
}

/// Guards against a request that is lost every two seconds at a worker which stays bad for nine.
#[test]
fn a_worker_that_fails_again_is_avoided_for_longer() {
    let now = Instant::now();
    let mut schedule = schedule(now, 10, 1);
    let bad = worker(0);
    fail(&mut schedule, now, &bad);
    let first = now + Duration::from_millis(1_500);
    assert!(!schedule.is_avoided(first, &bad));
    fail(&mut schedule, first, &bad);
    assert!(schedule.is_avoided(first + Duration::from_secs(4), &bad));
    assert!(!schedule.is_avoided(first + Duration::from_secs(5), &bad));
}

/// Guards against failures of requests that were under way at the same time, which say no more than one.
#[test]
fn failures_at_the_same_time_do_not_lengthen_the_doubt() {
    let now = Instant::now();
    let mut schedule = schedule(now, 10, 1);
    let bad = worker(0);
    for ms in [0, 5, 20, 300] {
        fail(&mut schedule, now + Duration::from_millis(ms), &bad);
    }
    assert!(!schedule.is_avoided(now + Duration::from_secs(2), &bad));
}

/// Guards against doubt that keeps more than 30% of the workers without requests for over 2 s.
#[test]
fn only_a_part_of_the_workers_is_avoided_for_long() {
    let now = Instant::now();
    let mut schedule = schedule(now, 10, 1);
    let again = now + Duration::from_millis(1_500);
    for at in [now, again] {
        for index in 0..10 {
            fail(&mut schedule, at, &worker(index));
        }
    }
    let later = again + Duration::from_secs(2);
    let held = (0..10).filter(|index| schedule.is_avoided(later, &worker(*index)));
    assert_eq!(held.count(), 2);
}

fn offer(schedule: &mut Scheduler, now: Instant, id: u64, tried: &[Worker]) -> Decision {
    let request = Request {
        tried: tried.to_vec(),
        ..request(id, now, Rank::Middle)
    };
    schedule.offer(now, request)
}

/// Guards against a worker that looks half full after each response, because it counts the request that ends.
#[test]
fn a_reported_load_counts_the_request_that_ends() {
    let now = Instant::now();
    let mut schedule = schedule(now, 1, 1);
    offer(&mut schedule, now, 1, &[]);
    let later = now + Duration::from_millis(100);
    schedule.record_load(later, &worker(0), 1);
    schedule.finish(later, &worker(0), now, Outcome::Success);
    for id in 2..4 {
        let decision = offer(&mut schedule, later, id, &[]);
        assert_eq!(decision, Decision::Send(worker(0)));
    }
}

/// Guards against requests of 20 ms that wait a quarter of a second for others which have ended.
#[test]
fn reported_requests_end_at_the_pace_of_the_service() {
    let mut now = Instant::now();
    let mut schedule = schedule(now, 1, 1);
    for id in 0..50 {
        offer(&mut schedule, now, id, &[]);
        let later = now + Duration::from_millis(20);
        schedule.finish(later, &worker(0), now, Outcome::Success);
        now = later;
    }
    offer(&mut schedule, now, 50, &[]);
    let later = now + Duration::from_millis(20);
    schedule.record_load(later, &worker(0), 3);
    schedule.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(offer(&mut schedule, later, 51, &[]), Decision::Wait);
    let actions = schedule.tick(later + Duration::from_millis(60));
    assert_eq!(actions, [Action::Send(51, worker(0))]);
}

/// Guards against a waiting request that wants no worker with room and holds up all behind it.
#[test]
fn a_request_that_was_tried_everywhere_does_not_hold_up_others() {
    let now = Instant::now();
    let mut schedule = schedule(now, 2, 1);
    for id in 0..4 {
        assert!(matches!(
            offer(&mut schedule, now, id, &[]),
            Decision::Send(_)
        ));
    }
    assert_eq!(offer(&mut schedule, now, 4, &[worker(0)]), Decision::Wait);
    assert_eq!(offer(&mut schedule, now, 5, &[]), Decision::Wait);
    let later = now + Duration::from_millis(100);
    let actions = schedule.finish(later, &worker(0), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(5, worker(0))]);
    let actions = schedule.finish(later, &worker(1), now, Outcome::Success);
    assert_eq!(actions, [Action::Send(4, worker(1))]);
}

/// Guards against a new connection for each request while an idle worker has one, and against a queue at a worker for the
/// sake of a connection.
#[test]
fn an_open_connection_decides_between_equally_loaded_workers() {
    let now = Instant::now();
    let mut schedule = schedule(now, 10, 1);
    let offer = |schedule: &mut Scheduler, id| {
        let request = Request {
            connected: vec![worker(7)],
            ..request(id, now, Rank::Middle)
        };
        schedule.offer(now, request)
    };
    let sent: Vec<Decision> = (0..20).map(|id| offer(&mut schedule, id)).collect();
    let at_connected = sent.iter().filter(|d| **d == Decision::Send(worker(7)));
    assert_eq!(at_connected.count(), 2);
    assert!(!sent.contains(&Decision::Wait));
    let first = sent.iter().position(|d| *d == Decision::Send(worker(7)));
    assert!(first.unwrap() < 3, "{first:?}");
}

/// Guards against workers that get no request for 2 s because they failed last, while others have proved good and many
/// requests fail or too few workers are in use; and against more tries than that on a calm day, which fail requests for
/// nothing.
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
    let mut schedule = schedule(now, 10, 1);
    schedule.set_floor(Some(0.7));
    for index in 0..failed {
        fail(&mut schedule, now, &worker(index));
    }
    let mut tried = [false; 10];
    for id in 1..=100 {
        if let Decision::Send(to) = offer(&mut schedule, now, id, &[]) {
            tried[index(&to)] = true;
            let sent = now;
            now += Duration::from_millis(20);
            let outcome = if id % one_shed_in == 0 {
                Outcome::Shed
            } else {
                Outcome::Success
            };
            schedule.finish(now, &to, sent, outcome);
        }
    }
    let again = tried[..failed].iter().filter(|tried| **tried).count();
    assert_eq!(again, expected);
    assert_eq!(tried[failed..], [true; 10][failed..]);
}
