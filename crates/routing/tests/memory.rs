//! Decisions on the memory that is held for connections.

use std::time::Duration;

use chestnutvalve_routing::memory::{Budget, Holding, MAX_AHEAD_BYTES, MIN_AHEAD_BYTES};
use rstest::rstest;

const MEGABYTE: u64 = 1_000_000;
const MEMORY: u64 = 160 * MEGABYTE;

fn holding(id: u64, held: u64, progress: u64, age_s: u64, is_complete: bool) -> Holding {
    Holding {
        id,
        held,
        progress,
        age: Duration::from_secs(age_s),
        idle: Duration::from_secs(1),
        is_delivering: true,
        is_complete,
        complete_age: Duration::ZERO,
        complete_progress: 0,
    }
}

/// Guards against refusals of an entry that has room, and against one that takes requests until it is killed.
#[rstest]
#[case::no_limit(None, 1_000_000 * MEGABYTE, [true, true])]
#[case::empty(Some(MEMORY), 0, [true, true])]
#[case::most(Some(MEMORY), 33 * MEGABYTE, [true, true])]
#[case::scarce(Some(MEMORY), 34 * MEGABYTE, [true, false])]
#[case::used_up(Some(MEMORY), 38 * MEGABYTE, [false, false])]
fn requests_are_refused_before_the_budget_is_used_up(
    #[case] memory: Option<u64>,
    #[case] held: u64,
    #[case] admitted: [bool; 2],
) {
    let budget = Budget::new(memory);
    let admit = |is_download| budget.admit(held, is_download, 0.5).is_ok();
    assert_eq!([false, true].map(admit), admitted);
}

/// Guards against callers of one moment that all come back together.
#[test]
fn refused_callers_are_spread() {
    let refuse = |spread| {
        let admitted = Budget::new(Some(MEMORY)).admit(MEMORY, false, spread);
        admitted.unwrap_err()
    };
    let times = [0.0, 0.5, 1.0].map(refuse);
    assert_eq!(times, [300, 600, 900].map(Duration::from_millis));
}

/// Guards against responses that fill the budget by being read ahead, and against small ones that hold their workers.
#[test]
fn responses_are_read_ahead_while_there_is_room() {
    let budget = Budget::new(Some(MEMORY));
    let ahead = [0, 18, 19, 20, 39].map(|held| budget.read_ahead(held * MEGABYTE));
    let expected = [
        MAX_AHEAD_BYTES,
        250_000,
        125_000,
        MIN_AHEAD_BYTES,
        MIN_AHEAD_BYTES,
    ];
    assert_eq!(ahead, expected);
    assert_eq!(Budget::new(None).read_ahead(MEMORY), MAX_AHEAD_BYTES);
}

/// Guards against closing a connection that makes progress, or one with a complete response, in place of one that does
/// not, and against closing more than is needed.
#[test]
fn the_connection_with_most_bytes_and_least_progress_gives_way() {
    let budget = Budget::new(Some(8 * MEGABYTE));
    let holdings = [
        holding(1, 600_000, 9_000_000, 5, false),
        holding(2, 600_000, 1_000, 5, false),
        holding(3, 400_000, 1_000, 5, false),
        holding(4, 700_000, 0, 5, true),
        holding(5, 30_000, 0, 1, false),
    ];
    let choose = |held: u64| budget.choose(held, &holdings);
    assert_eq!(choose(1_500_000), [0; 0]);
    assert_eq!(choose(1_500_001), [2]);
    assert_eq!(choose(2_330_000), [2, 3]);
    // The first needs 312 ms for what it holds, and does not count as slow before less is left.
    assert_eq!(choose(2_700_000), [2, 3, 5]);
    assert_eq!(choose(3_000_000), [2, 3, 1]);
    assert_eq!(choose(9_000_000), [2, 3, 1, 5]);
}

/// Guards against closing connections that wait for a slow worker, as long as the budget is kept.
#[test]
fn requests_give_way_only_when_the_budget_is_used_up() {
    let budget = Budget::new(Some(4 * MEGABYTE));
    let request = Holding {
        is_delivering: false,
        ..holding(1, 500_000, 0, 4, false)
    };
    assert_eq!(budget.choose(1_000_000, &[request]), [0; 0]);
    assert_eq!(budget.choose(1_000_001, &[request]), [1]);
}

/// Guards against an entry that refuses all requests for ever because callers with complete responses have gone silent.
#[test]
fn complete_responses_give_way_only_to_a_silent_caller() {
    let budget = Budget::new(Some(4 * MEGABYTE));
    let silent = Holding {
        idle: Duration::from_secs(30),
        ..holding(1, 900_000, 0, 40, true)
    };
    let holdings = [
        silent,
        holding(2, 900_000, 0, 40, true),
        holding(3, 100, 9_000, 1, false),
    ];
    assert_eq!(budget.choose(1_900_100, &holdings), [3, 1]);
}

/// Guards against an entry that refuses all requests for ever because callers take a byte of their complete responses now and
/// then, and against closing a slow caller that gets its response within two minutes.
#[rstest]
#[case::trickle(60, 60, true)]
#[case::trickle_that_has_just_begun(29, 29, false)]
#[case::slow(40, 300_000, false)]
#[case::slow_at_first(100, 700_000, false)]
fn complete_responses_give_way_to_a_trickle(
    #[case] age_s: u64,
    #[case] progress: u64,
    #[case] gives_way: bool,
) {
    let budget = Budget::new(Some(4 * MEGABYTE));
    let trickle = Holding {
        complete_age: Duration::from_secs(age_s),
        complete_progress: progress,
        ..holding(1, 900_000 - progress, progress, age_s, true)
    };
    let chosen = budget.choose(980_000, &[trickle]);
    assert_eq!(chosen, if gives_way { vec![1] } else { Vec::new() });
    assert_eq!(budget.choose(740_000, &[trickle]), [0; 0]);
}

/// Guards against a burst of slow callers for which requests are refused, before the callers count as slow for sure.
#[test]
fn transfers_give_way_sooner_when_less_is_left() {
    let budget = Budget::new(Some(4 * MEGABYTE));
    let fresh = Holding {
        age: Duration::from_millis(200),
        ..holding(1, 100_000, 0, 0, false)
    };
    assert_eq!(budget.choose(850_000, &[fresh]), [0; 0]);
    assert_eq!(budget.choose(850_001, &[fresh]), [1]);
}

/// Guards against slow callers that push out the normal load: of 100 callers a second that read 1 kB/s, beside requests of 20
/// kB that are delivered at once, slow ones give way, the budget holds, and no request is refused.
#[test]
fn slow_callers_do_not_push_out_normal_load() {
    let budget = Budget::new(Some(MEMORY));
    let limit = budget.bytes().unwrap();
    let mut slow: Vec<Holding> = Vec::new();
    let (mut refused, mut closed) = (0, 0);
    for step in 0..600 {
        for n in 0..10 {
            let held: u64 = slow.iter().map(|h| h.held).sum();
            if budget.admit(held, true, 0.5).is_err() {
                refused += 1;
                continue;
            }
            // A frame of 64 kB may exceed the bound.
            let ahead = budget.read_ahead(held) + 64 * 1024;
            slow.push(holding(step * 10 + n, ahead, 0, 0, false));
        }
        for holding in &mut slow {
            holding.age += Duration::from_millis(100);
            holding.progress += 100;
        }
        let fast = (0..20).map(|n| Holding {
            age: Duration::from_millis(10),
            progress: 10_000,
            ..holding(1_000_000 + n, 20_000, 0, 0, false)
        });
        let all: Vec<Holding> = slow.iter().copied().chain(fast).collect();
        let held: u64 = all.iter().map(|h| h.held).sum();
        let chosen = budget.choose(held, &all);
        assert!(chosen.iter().all(|id| *id < 1_000_000), "{chosen:?}");
        closed += chosen.len();
        slow.retain(|h| !chosen.contains(&h.id));
        let held: u64 = slow.iter().map(|h| h.held).sum();
        assert!(held <= limit, "{held} bytes in step {step}");
    }
    assert_eq!((refused, closed + slow.len()), (0, 6_000));
}
