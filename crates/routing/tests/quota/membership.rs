//! When an accountant may grant permits.

use std::time::{Duration, Instant};

use chestnutvalve_model::version::Version;
use chestnutvalve_routing::quota::Membership;
use chestnutvalve_routing::quota::membership::{Change, Origin, Start, View};

fn view(confirmed_at: Instant, revision: u64) -> View {
    View {
        version: Version { term: 1, revision },
        accountants: 6,
        listed: true,
        origin: Origin::Unknown,
        limits: true,
        confirmed: Some((confirmed_at, Version { term: 1, revision })),
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Observes `view`, confirmed at each time, every 100 ms for `time`. Returns the changes and when they came.
fn follow(
    membership: &mut Membership,
    from: Instant,
    time: Duration,
    view: &View,
) -> Vec<(u128, Change)> {
    let steps = time.as_millis() / 100;
    let mut changes = Vec::new();
    for step in 1..=steps {
        let after = Duration::from_millis(100 * u64::try_from(step).unwrap());
        let version = view.confirmed.unwrap().1;
        let view = View {
            confirmed: Some((from + after, version)),
            ..*view
        };
        if let Some(change) = membership.observe(from + after, &view) {
            changes.push((after.as_millis(), change));
        }
    }
    changes
}

/// Guards against a fleet that refuses all requests of limited customers for 10 s after its first table.
#[test]
fn at_the_first_table_with_limits_nobody_waits() {
    let start = Instant::now();
    let mut membership = Membership::default();
    let unlimited = View {
        limits: false,
        ..view(start, 1)
    };
    assert_eq!(
        follow(&mut membership, start, seconds(2), &unlimited),
        vec![]
    );
    let started = follow(
        &mut membership,
        start + seconds(2),
        seconds(1),
        &view(start, 2),
    );
    assert_eq!(started, [(100, Change::Started(Start::Full))]);
}

/// Guards against an accountant that waits because a whole watch without news came before the first limits, and against one
/// that takes limits for the first ones after it saw nothing for long.
#[test]
fn the_state_before_the_first_limits_is_recent() {
    let start = Instant::now();
    for (after_ms, expected) in [(3_200, Some(Change::Started(Start::Full))), (6_000, None)] {
        let mut membership = Membership::default();
        let unlimited = View {
            limits: false,
            ..view(start, 1)
        };
        assert_eq!(membership.observe(start, &unlimited), None);
        let now = start + Duration::from_millis(after_ms);
        let asked = start + Duration::from_millis(1_500);
        assert_eq!(membership.observe(now, &view(asked, 2)), expected);
    }
}

/// Guards against an accountant that starts while the one that it replaces may still grant.
#[test]
fn a_new_accountant_waits() {
    let start = Instant::now();
    let mut membership = Membership::default();
    let changes = follow(&mut membership, start, seconds(12), &view(start, 1));
    assert_eq!(changes, [(10_100, Change::Started(Start::Empty))]);
}

/// Guards against an outage after all entries restart.
#[test]
fn a_restarted_accountant_starts_empty_with_smaller_shares() {
    let start = Instant::now();
    let mut membership = Membership::default();
    let restarted = View {
        origin: Origin::Restarted,
        ..view(start, 1)
    };
    let change = membership.observe(start, &restarted);
    assert_eq!(change, Some(Change::Started(Start::Restarted)));
    assert_eq!(membership.shares(start), 10);
    follow(&mut membership, start, seconds(11), &restarted);
    assert_eq!(membership.shares(start + seconds(11)), 6);
}

/// Guards against a fleet that refuses all requests of limited customers for 10 s after its start, because its first state
/// has limits already; and against an accountant that takes the start of the fleet for its own much later.
#[test]
fn the_accountants_of_a_fleet_that_starts_dont_wait() {
    let start = Instant::now();
    let fresh = View {
        origin: Origin::NewFleet,
        ..view(start, 1)
    };
    let outside = View {
        listed: false,
        ..fresh
    };
    for (joined_after, expected) in [(1, 100), (11, 10_100)] {
        let mut membership = Membership::default();
        follow(&mut membership, start, seconds(joined_after), &outside);
        let joined = start + seconds(joined_after);
        let changes = follow(&mut membership, joined, seconds(11), &fresh);
        assert_eq!(changes, [(expected, Change::Started(Start::Empty))]);
    }
}

/// Guards against an accountant that grants although it may have been replaced, also if it was frozen meanwhile and sees
/// the next confirmation first.
#[test]
fn without_confirmation_an_accountant_stops_and_waits() {
    let start = Instant::now();
    let mut membership = Membership::default();
    follow(&mut membership, start, seconds(11), &view(start, 1));
    let last = start + seconds(11);
    assert_eq!(
        membership.observe(last + seconds(8), &view(last, 1)),
        None,
        "not yet too old"
    );
    let late = last + Duration::from_millis(8_001);
    assert_eq!(
        membership.observe(late, &view(last, 1)),
        Some(Change::Stopped)
    );
    let back = last + seconds(20);
    let changes = follow(&mut membership, back, seconds(11), &view(back, 2));
    assert_eq!(changes, [(10_100, Change::Started(Start::Empty))]);

    let frozen_until = back + seconds(30);
    assert_eq!(
        membership.observe(frozen_until, &view(frozen_until, 3)),
        Some(Change::Stopped)
    );
}

/// Guards against a wait after the control group was out of service: nothing can have changed without it.
#[test]
fn an_accountant_resumes_with_an_unchanged_state() {
    let start = Instant::now();
    let mut membership = Membership::default();
    follow(&mut membership, start, seconds(11), &view(start, 1));
    let last = start + seconds(11);
    let back = last + seconds(20);
    membership.observe(last + seconds(9), &view(last, 1));
    assert_eq!(
        membership.observe(back, &view(back, 1)),
        Some(Change::Started(Start::Resumed))
    );
}

/// Guards against an accountant that waits for 10 s, or stops, by the view that a request took before the state changed.
#[test]
fn views_of_older_states_are_ignored() {
    let start = Instant::now();
    let mut membership = Membership::default();
    let before = View {
        version: Version::ZERO,
        accountants: 0,
        listed: false,
        limits: false,
        ..view(start, 2)
    };
    assert_eq!(membership.observe(start, &before), None);
    let restarted = View {
        origin: Origin::Restarted,
        ..view(start, 2)
    };
    let change = membership.observe(start, &restarted);
    assert_eq!(change, Some(Change::Started(Start::Restarted)));
    assert_eq!(membership.observe(start, &before), None);
    assert!(membership.is_active());
    let late = start + Duration::from_millis(8_001);
    let change = membership.observe(late, &before);
    assert_eq!(change, Some(Change::Stopped));
}

/// Guards against larger shares at some accountants while others still hold their part of the former division.
#[test]
fn shares_grow_only_after_a_hold() {
    let start = Instant::now();
    let mut membership = Membership::default();
    follow(&mut membership, start, seconds(2), &view(start, 1));
    let fewer = View {
        accountants: 4,
        ..view(start, 2)
    };
    let left = start + seconds(2);
    follow(&mut membership, left, seconds(10), &fewer);
    assert_eq!(membership.shares(left + seconds(10)), 6);
    follow(&mut membership, left + seconds(10), seconds(1), &fewer);
    assert_eq!(membership.shares(left + seconds(11)), 4);
    let more = View {
        accountants: 5,
        ..view(start, 3)
    };
    membership.observe(left + seconds(12), &more);
    assert_eq!(membership.shares(left + seconds(12)), 5);
}
