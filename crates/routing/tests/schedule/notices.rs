//! Workers that leave, pause or restart while requests wait, run and are retried.

use std::time::{Duration, Instant};

use chestnutvalve_model::id::Incarnation;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{
    Action, Decision, Evidence, Hold, Notice, Outcome, Reason, Refusal, Request, Scheduler, Spec,
};
use rstest::rstest;

use crate::{DEADLINE, request, scheduler, spec, worker};

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const SHORT_PAUSE: Duration = Duration::from_millis(300);
const LONG_PAUSE: Duration = Duration::from_secs(30);

fn restarted() -> Spec {
    Spec {
        incarnation: SECOND,
        ..spec()
    }
}

fn offer(scheduler: &mut Scheduler, now: Instant, id: u64) -> Decision {
    scheduler.offer(now, request(id, now, Rank::Middle))
}

fn refused(decision: &Decision) -> Option<Refusal> {
    match decision {
        Decision::Refuse(refusal) => Some(*refusal),
        Decision::Send(_) | Decision::Wait => None,
    }
}

/// Guards against a worker that its last incarnation's late outcome takes out of use: the address of the old
/// incarnation may already belong to another worker, which says that the expected one is gone.
#[test]
fn an_outcome_of_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    assert_eq!(
        offer(&mut scheduler, now, 1),
        Decision::Send(worker(0)),
        "an idle worker takes the request"
    );
    scheduler.sync_workers(now, &[(worker(0), restarted())], 1);
    let later = now + Duration::from_millis(100);
    scheduler.finish(later, &worker(0), now, Outcome::Gone);
    assert_eq!(scheduler.usable_workers(), 1);
}

/// Guards against a notice of one incarnation that applies to a later one, and against one that is forgotten when the
/// registration is lost for a while.
#[test]
fn leaving_belongs_to_an_incarnation() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    assert!(scheduler.record_notice(now, &worker(0), FIRST, Notice::Leaving));
    assert!(!scheduler.record_notice(now, &worker(0), FIRST, Notice::Leaving));
    assert_eq!(scheduler.hold(now, &worker(0), FIRST), Some(Hold::Left));
    for specs in [&[][..], &[(worker(0), spec())][..]] {
        scheduler.sync_workers(now, specs, 1);
        assert_eq!(scheduler.usable_workers(), 0);
    }
    scheduler.sync_workers(now, &[(worker(0), restarted())], 1);
    assert_eq!(scheduler.hold(now, &worker(0), SECOND), None);
    scheduler.record_notice(now, &worker(0), FIRST, Notice::Leaving);
    assert_eq!(scheduler.usable_workers(), 1);
}

/// Guards against a notice that arrives before the registration of the worker and is lost, and against an older
/// registration that comes after it.
#[test]
fn a_notice_may_come_before_the_registration() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 0, 1);
    scheduler.record_notice(now, &worker(0), SECOND, Notice::Leaving);
    for spec in [restarted(), spec()] {
        scheduler.sync_workers(now, &[(worker(0), spec)], 1);
        assert_eq!(scheduler.usable_workers(), 0);
    }
}

/// Guards against queued requests that wait for a worker that leaves, and against holding them although no worker is
/// left.
#[test]
fn requests_that_wait_are_refused_when_the_last_worker_leaves() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    for id in 0..4 {
        offer(&mut scheduler, now, id);
    }
    scheduler.record_notice(now, &worker(0), FIRST, Notice::Leaving);
    let actions = scheduler.tick(now);
    let refused: Vec<u64> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse(id, refusal) if refusal.reason == Reason::NoWorker => Some(*id),
            _ => None,
        })
        .collect();
    assert_eq!(refused, [2, 3]);
    assert_eq!(scheduler.queue_len(), 0);
}

/// Guards against holding a request until its deadline although it may use none of the workers.
#[test]
fn a_request_that_excludes_all_workers_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 1);
    let request = Request {
        tried: vec![worker(0), worker(1)],
        ..request(1, now, Rank::Top)
    };
    let refusal = refused(&scheduler.offer(now, request));
    assert_eq!(refusal.map(|r| r.reason), Some(Reason::NoWorker));
}

/// Guards against requests to a worker within its pause by any path: a new request, a retry, the end of another
/// request, and a tick. Also guards against a pause that does not end.
#[test]
fn a_paused_worker_gets_no_request() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    assert_eq!(offer(&mut scheduler, now, 1), Decision::Send(worker(0)));
    scheduler.record_notice(now, &worker(0), FIRST, Notice::Pause(SHORT_PAUSE));
    assert_eq!(offer(&mut scheduler, now, 2), Decision::Wait);
    let retry = request(3, now, Rank::Middle);
    assert_eq!(scheduler.reserve_retry(now, &retry), None);
    let within = now + SHORT_PAUSE.saturating_sub(Duration::from_millis(1));
    assert_eq!(
        scheduler.finish(within, &worker(0), now, Outcome::Success),
        []
    );
    assert_eq!(scheduler.tick(within), []);
    let after = now + SHORT_PAUSE;
    assert_eq!(scheduler.tick(after), [Action::Send(2, worker(0))]);
}

/// Guards against requests to paused workers because all others are avoided: a pause is a request of the worker, while
/// avoidance is this entry's estimate.
#[test]
fn an_avoided_worker_is_used_before_a_paused_one() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 1);
    scheduler.record_notice(now, &worker(0), FIRST, Notice::Pause(LONG_PAUSE));
    for _ in 0..2 {
        scheduler.observe(now, &worker(1), Evidence::Failure);
    }
    assert!(scheduler.is_avoided(now, &worker(1)));
    assert_eq!(offer(&mut scheduler, now, 1), Decision::Send(worker(1)));
}

/// Guards against a request that is held although the pauses of all workers outlast it, against one that is refused
/// although it can wait, and against a time in the refusal at which it would be refused again.
#[rstest]
#[case::waits(SHORT_PAUSE, LONG_PAUSE, None)]
#[case::refused(LONG_PAUSE, 2 * LONG_PAUSE, Some(LONG_PAUSE))]
fn pauses_of_all_workers_decide_between_waiting_and_refusal(
    #[case] first: Duration,
    #[case] second: Duration,
    #[case] retry_after: Option<Duration>,
) {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 1);
    for (index, pause) in [first, second].into_iter().enumerate() {
        scheduler.record_notice(now, &worker(index), FIRST, Notice::Pause(pause));
    }
    let refusal = refused(&offer(&mut scheduler, now, 1));
    let expected = retry_after.map(|retry_after| Refusal {
        reason: Reason::Paused,
        retry_after,
    });
    assert_eq!(refusal, expected);
}

/// Guards against refusing the requests of other entries because of a pause that concerns this one only.
#[test]
fn requests_of_other_entries_ignore_the_pauses_of_this_one() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    scheduler.record_notice(now, &worker(0), FIRST, Notice::Pause(LONG_PAUSE));
    let remote = Request {
        remote: true,
        ..request(1, now, Rank::Top)
    };
    assert_eq!(scheduler.offer(now, remote), Decision::Send(worker(0)));
}

/// Guards against a second, shorter time that ends a pause early, since responses may overtake each other.
#[test]
fn the_longer_pause_counts() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    for pause in [LONG_PAUSE, SHORT_PAUSE] {
        scheduler.record_notice(now, &worker(0), FIRST, Notice::Pause(pause));
    }
    let hold = scheduler.hold(now, &worker(0), FIRST);
    assert_eq!(hold, Some(Hold::Paused(now + LONG_PAUSE)));
}

/// Guards against an absurd time that takes a worker out of use for a day, and against overflow.
#[rstest]
#[case::a_day(Duration::from_hours(24))]
#[case::largest(Duration::MAX)]
fn an_absurd_pause_is_limited(#[case] pause: Duration) {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    scheduler.record_notice(now, &worker(0), FIRST, Notice::Pause(pause));
    let limit = Duration::from_mins(5);
    let (within, later) = (now + limit.saturating_sub(DEADLINE), now + limit);
    assert!(scheduler.hold(within, &worker(0), FIRST).is_some());
    assert_eq!(scheduler.hold(later, &worker(0), FIRST), None);
}
