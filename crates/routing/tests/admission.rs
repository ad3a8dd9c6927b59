//! Admission control under floods: ranks, shares, customers, deadlines and the adaptive limit.

use std::time::{Duration, Instant};

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::admission::{Action, Admission, Decision, Limits, Request};
use chestnutvalve_routing::sample::{Sample, Verdict};
use rstest::rstest;

#[path = "../examples/decisions/flood.rs"]
mod flood;

use flood::{Policy, SHARES, Stats, Stream, stream};

/// Number of requests that the workers run concurrently.
const SLOTS: u32 = 20;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn run(seed: u64, slots: u32, loads: &[Stream]) -> Vec<Stats> {
    flood::run(Policy::Ranked, seed, slots, loads)
}

/// Guards against a bottom-rank flood of ten times the capacity that delays the top rank. Long requests of the bottom
/// rank could hold all slots for longer than a request of the top rank can wait.
#[rstest]
fn a_bottom_flood_does_not_delay_the_top_rank(
    #[values(1, 2, 3)] seed: u64,
    #[values(0.1, 0.4)] top: f64,
    #[values((SLOTS, 25.0), (5, 500.0))] (slots, service_ms): (u32, f64),
) {
    let flood = Stream {
        service_ms,
        ..stream(Rank::Bottom, "b", 10.0)
    };
    let stats = run(seed, slots, &[stream(Rank::Top, "a", top), flood]);
    println!("bottom flood of {service_ms} ms, seed {seed}: {stats:?}");
    assert!(stats[0].in_time >= 0.999 * stats[0].offered, "{stats:?}");
    // Without ranks, the flood must delay the top rank.
    let fifo = flood::run(
        Policy::Fifo,
        seed,
        slots,
        &[stream(Rank::Top, "a", top), flood],
    );
    assert!(fifo[0].in_time < 0.9 * fifo[0].offered, "{fifo:?}");
}

/// Guards against long requests that hold an entry's share for seconds while the workers have free slots, also after
/// the share has shrunk below the number of running requests.
#[test]
fn long_requests_do_not_stall_short_ones() {
    let limits = |slots| Limits {
        queue_limit: 256,
        min_share_percent: SHARES,
        slots,
        entries: 3,
    };
    let start = Instant::now();
    let request = |id, rank| Request {
        id,
        rank,
        customer: None,
        deadline: start + ms(20_000),
    };
    let mut admission = Admission::new(limits(8));
    for id in 0..2 {
        assert_eq!(
            admission.offer(start, request(id, Rank::Bottom)),
            Decision::Run
        );
    }
    admission.configure(limits(4));
    assert_eq!(
        admission.offer(start, request(2, Rank::Top)),
        Decision::Queue
    );
    assert_eq!(admission.tick(start + ms(100)), []);
    assert_eq!(admission.tick(start + ms(300)), [Action::Start(2)]);
    // The limit must stay within the slots of all workers.
    for id in 3..10 {
        admission.offer(start + ms(300), request(id, Rank::Top));
    }
    for round in 2..20 {
        admission.tick(start + ms(300 * round));
    }
    assert_eq!(admission.running(), 4);
}

/// Guards against a top-rank flood that takes the minimum shares of the other ranks.
#[rstest]
fn a_top_flood_leaves_the_minimum_shares(#[values(1, 2, 3)] seed: u64) {
    let ranks = [
        (Rank::Top, "a", 10.0),
        (Rank::Middle, "b", 1.0),
        (Rank::Bottom, "c", 1.0),
    ];
    let stats = run(
        seed,
        SLOTS,
        &ranks.map(|(rank, customer, offered)| stream(rank, customer, offered)),
    );
    println!("top flood, seed {seed}: {stats:?}");
    assert!(
        stats[1].share >= 0.20 && stats[2].share >= 0.05,
        "{stats:?}"
    );
    assert!(
        stats.iter().map(|s| s.used).sum::<f64>() > 0.95,
        "{stats:?}"
    );
}

/// Guards against capacity that is reserved for ranks without requests.
#[rstest]
#[case::bottom_alone(&[stream(Rank::Bottom, "c", 3.0)])]
#[case::no_top(&[stream(Rank::Middle, "b", 0.1), stream(Rank::Bottom, "c", 3.0)])]
fn unused_shares_are_used(#[case] loads: &[Stream], #[values(1, 2, 3)] seed: u64) {
    let stats = run(seed, SLOTS, loads);
    assert!(
        stats.iter().map(|s| s.used).sum::<f64>() > 0.95,
        "{stats:?}"
    );
}

/// Guards against one customer's flood that starves the other customers of its rank.
#[rstest]
fn a_customer_does_not_starve_its_peers(#[values(1, 2, 3)] seed: u64) {
    let customers = [("a", 0.2), ("b", 0.2), ("c", 10.0)];
    let stats = run(
        seed,
        SLOTS,
        &customers.map(|(c, offered)| stream(Rank::Middle, c, offered)),
    );
    for peer in &stats[..2] {
        assert!(peer.in_time >= 0.999 * peer.offered, "{stats:?}");
    }
}

fn limits(queue_limit: u32, slots: u32, entries: u32) -> Limits {
    Limits {
        queue_limit,
        min_share_percent: SHARES,
        slots,
        entries,
    }
}

fn request(id: u64, rank: Rank, customer: &str, deadline: Instant) -> Request {
    let customer = Some(Customer::new(customer).unwrap());
    Request {
        id,
        rank,
        customer,
        deadline,
    }
}

/// Returns an admission control with one slot, which is in use, and a queue limit of `limit`.
fn busy(now: Instant, limit: u32) -> Admission {
    let mut admission = Admission::new(limits(limit, 1, 1));
    let first = request(0, Rank::Middle, "a", now + ms(60_000));
    assert_eq!(admission.offer(now, first), Decision::Run);
    admission
}

/// Guards against a full queue that refuses urgent requests instead of the least urgent ones beyond their share of the
/// queue.
#[rstest]
#[case::bottom_gives_way(&[(Rank::Bottom, "a"), (Rank::Bottom, "b")], (Rank::Top, "a"), Some(2))]
#[case::newest_of_the_flood(&[(Rank::Top, "a"), (Rank::Top, "a"), (Rank::Top, "a")], (Rank::Top, "b"), Some(3))]
#[case::no_gain_for_the_flood(&[(Rank::Top, "a"), (Rank::Top, "b")], (Rank::Top, "a"), None)]
#[case::share_of_the_bottom(&[(Rank::Top, "a"), (Rank::Bottom, "b")], (Rank::Middle, "c"), None)]
#[case::below_the_share(&[(Rank::Top, "a"), (Rank::Top, "b")], (Rank::Bottom, "c"), Some(2))]
#[case::less_urgent(&[(Rank::Middle, "a"), (Rank::Top, "b")], (Rank::Bottom, "c"), None)]
fn a_full_queue_displaces_the_least_urgent(
    #[case] queued: &[(Rank, &str)],
    #[case] (rank, customer): (Rank, &str),
    #[case] displaced: Option<u64>,
) {
    let now = Instant::now();
    let deadline = now + ms(60_000);
    let mut admission = busy(now, u32::try_from(queued.len()).unwrap());
    for (id, (rank, customer)) in (1..).zip(queued) {
        assert_eq!(
            admission.offer(now, request(id, *rank, customer, deadline)),
            Decision::Queue
        );
    }
    let decision = admission.offer(now, request(9, rank, customer, deadline));
    assert_eq!(
        decision == Decision::Queue,
        displaced.is_some(),
        "{decision:?}"
    );
    let refused: Vec<Action> = admission.take_displaced();
    match (displaced, refused.as_slice()) {
        (None, []) => {}
        (
            Some(expected),
            [
                Action::Refuse {
                    id,
                    kind: Kind::Overloaded,
                    retry_after,
                },
            ],
        ) => {
            assert_eq!(*id, expected);
            assert!(*retry_after >= ms(50));
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against queueing requests that can't meet their deadline, and against starting or keeping them later.
#[test]
fn requests_that_cannot_be_in_time_are_refused() {
    let start = Instant::now();
    let mut admission = busy(start, 10);
    let done = Sample {
        latency: ms(100),
        verdict: Verdict::Success,
    };
    admission.finish(start, Rank::Middle, &done);
    let long = start + ms(60_000);
    assert_eq!(
        admission.offer(start, request(1, Rank::Middle, "a", long)),
        Decision::Run
    );
    assert_eq!(
        admission.offer(start, request(2, Rank::Middle, "a", long)),
        Decision::Queue
    );
    // Two requests of 100 ms are ahead, and the request itself takes 100 ms.
    let early = admission.offer(start, request(3, Rank::Middle, "b", start + ms(250)));
    assert!(
        matches!(
            early,
            Decision::Refuse {
                kind: Kind::Overloaded,
                ..
            }
        ),
        "{early:?}"
    );
    let queued = request(4, Rank::Middle, "b", start + ms(350));
    assert_eq!(admission.offer(start, queued), Decision::Queue);
    let past = admission.offer(start, request(5, Rank::Top, "b", start));
    assert!(matches!(
        past,
        Decision::Refuse {
            kind: Kind::DeadlineBeforeDispatch,
            ..
        }
    ));
    assert_eq!(admission.tick(start + ms(250)), []);
    let refused = admission.tick(start + ms(251));
    assert!(matches!(
        refused[..],
        [Action::Refuse {
            id: 4,
            kind: Kind::Overloaded,
            ..
        }]
    ));
    admission.cancel(2);
    assert_eq!(admission.queued(Rank::Middle), 0);
    assert_eq!(admission.finish(start + ms(300), Rank::Middle, &done), []);
}

/// Guards against a limit that ignores idle entries, inflated latency or shed requests, doesn't recover when the
/// service itself becomes slower, or leaves its bounds.
#[rstest]
#[case::steady_and_in_use(2_000, |_| 25.0, Verdict::Success, 20.0, 20.0)]
#[case::inflated(72, |_| 100.0, Verdict::Success, 2.5, 4.0)]
#[case::inflated_by_itself(2_000, |running: f64| 5.0 * running.max(5.0), Verdict::Success, 5.0, 13.0)]
#[case::slower_service(2_000, |_| 100.0, Verdict::Success, 15.0, 20.0)]
#[case::shed(100, |_| 1.0, Verdict::Shed, 2.5, 2.5)]
#[case::fast_errors(2_000, |_| 1.0, Verdict::Failure, 5.0, 5.0)]
fn the_limit_adapts(
    #[case] requests: u64,
    #[case] latency_ms: fn(f64) -> f64,
    #[case] verdict: Verdict,
    #[case] lower: f64,
    #[case] most: f64,
) {
    let mut now = Instant::now();
    let mut admission = Admission::new(limits(1_000, SLOTS, 4));
    let deadline = now + ms(3_600_000);
    for id in 0..100 {
        admission.offer(now, request(id, Rank::Top, "a", deadline));
        let sample = Sample {
            latency: ms(25),
            verdict: Verdict::Success,
        };
        admission.finish(now, Rank::Top, &sample);
    }
    // Without use, the limit is an equal share.
    assert!((admission.limit() - 5.0).abs() < f64::EPSILON);
    for id in 100..100 + requests {
        now += ms(10);
        while admission.queued(Rank::Top) < 5 {
            admission.offer(now, request(id, Rank::Top, "a", deadline));
        }
        let latency = Duration::from_secs_f64(latency_ms(f64::from(admission.running())) / 1_000.0);
        admission.finish(now, Rank::Top, &Sample { latency, verdict });
    }
    let limit = admission.limit();
    assert!((lower..=most).contains(&limit), "limit {limit}");
}

/// Guards against a limit that doesn't follow the workers, at an entry that starts before them or sees them join and
/// leave.
#[test]
fn the_limit_follows_the_workers() {
    let mut admission = Admission::new(limits(10, 0, 4));
    let mut follow = |slots| {
        admission.configure(limits(10, slots, 4));
        admission.limit()
    };
    let followed = [20, 40, 8, 0, 20].map(&mut follow);
    let expected = [5.0, 10.0, 2.0, 1.0, 5.0];
    let close = followed
        .iter()
        .zip(expected)
        .all(|(limit, e)| (limit - e).abs() < 1e-9);
    assert!(close, "{followed:?}");
}
