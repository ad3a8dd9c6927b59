//! Load patterns under which not all requests can be answered in time.

use std::time::{Duration, Instant};

use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{Action, Decision, Outcome, Request, Scheduler};
use rstest::rstest;

use crate::pattern::{Kind, Order, Pattern, Simulation, Tally};
use crate::{fail, request, scheduler, worker};

const SEEDS: [u64; 3] = [1, 2, 3];

fn kind(rank: Rank, rate: f64, work_ms: u64, target_ms: u64, deadline_ms: u64) -> Kind {
    Kind {
        rank,
        customer: None,
        rate,
        burst: 1.0,
        work_ms,
        target_ms,
        deadline_ms,
        value: if rank == Rank::Top { 4.0 } else { 1.0 },
    }
}

fn pattern(workers: usize, kinds: Vec<Kind>) -> Pattern {
    Pattern {
        kinds,
        workers,
        duration_s: 16.0,
        disturbed_s: 4.0..12.0,
        slowness: 1.0,
        shed: 0.0,
        ranked_budget: true,
    }
}

/// 40 slots. The urgent kind needs a tenth of them, the long one 60% before the burst.
fn long_low_priority_burst() -> Pattern {
    let urgent = kind(Rank::Top, 60.0, 65, 250, 2_000);
    let long = Kind {
        burst: 2.6,
        ..kind(Rank::Bottom, 80.0, 300, 1_500, 5_000)
    };
    pattern(20, vec![urgent, long])
}

fn urgent_burst() -> Pattern {
    let urgent = Kind {
        burst: 1.8,
        ..kind(Rank::Top, 400.0, 65, 250, 2_000)
    };
    pattern(
        20,
        vec![urgent, kind(Rank::Bottom, 30.0, 300, 1_500, 5_000)],
    )
}

fn urgent_burst_of_two_kinds() -> Pattern {
    let short = Kind {
        burst: 1.8,
        ..kind(Rank::Top, 250.0, 65, 400, 2_000)
    };
    let long = Kind {
        burst: 1.8,
        ..kind(Rank::Top, 60.0, 250, 1_000, 2_000)
    };
    pattern(20, vec![short, long])
}

/// The short kind alone needs all slots and more.
fn short_requests_fill_all_slots() -> Pattern {
    let short = Kind {
        burst: 2.0,
        ..kind(Rank::Middle, 400.0, 65, 800, 2_000)
    };
    pattern(20, vec![short, kind(Rank::Middle, 30.0, 250, 1_500, 4_000)])
}

fn workers_shed_half() -> Pattern {
    let urgent = kind(Rank::Top, 60.0, 100, 800, 2_000);
    let other = Kind {
        value: 0.5,
        ..kind(Rank::Middle, 60.0, 100, 800, 2_000)
    };
    Pattern {
        shed: 0.5,
        ..pattern(
            20,
            vec![
                Kind {
                    value: 1.0,
                    ..urgent
                },
                other,
            ],
        )
    }
}

fn recovery_with_full_queue() -> Pattern {
    let lookup = kind(Rank::Middle, 130.0, 150, 1_500, 4_000);
    let order = kind(Rank::Middle, 25.0, 400, 1_500, 4_000);
    Pattern {
        disturbed_s: 4.0..8.0,
        slowness: 6.0,
        ..pattern(20, vec![lookup, order])
    }
}

fn mixed_deadlines() -> Pattern {
    let mixed = |rate, work_ms, target_ms, deadline_ms| Kind {
        burst: 1.5,
        ..kind(Rank::Middle, rate, work_ms, target_ms, deadline_ms)
    };
    let kinds = vec![
        mixed(80.0, 80, 400, 800),
        mixed(40.0, 150, 1_200, 2_500),
        mixed(30.0, 250, 1_500, 5_000),
        mixed(25.0, 400, 3_000, 10_000),
    ];
    pattern(20, kinds)
}

fn one_customer_floods() -> Pattern {
    let customer = |customer, rate| Kind {
        customer: Some(customer),
        ..kind(Rank::Middle, rate, 150, 1_200, 3_000)
    };
    let mut kinds = vec![Kind {
        burst: 10.0,
        ..customer(0, 60.0)
    }];
    kinds.extend((1..=9).map(|n| customer(n, 10.0)));
    pattern(20, kinds)
}

/// Returns the worth of a pattern with the scheduler, with each plain order, and with a plan that knows the future.
fn worths(pattern: &Pattern) -> ([f64; 4], f64) {
    let mean = |figure: &dyn Fn(u64) -> f64| SEEDS.map(figure).iter().sum::<f64>() / 3.0;
    let worths = Order::ALL.map(|order| mean(&|s| Simulation::run(pattern, order, s).worth()));
    let planned = mean(&|s| Simulation::run(pattern, Order::Arrival, s).planned_worth());
    (worths, planned)
}

fn share(part: u32, of: u32) -> f64 {
    f64::from(part) / f64::from(of.max(1))
}

/// Guards against an order that is worse than a plain one, and against one that loses more than a tenth of what a plan
/// earns that knows all requests and their work: late answers, urgent requests behind long ones, and refusals of
/// requests that need little work while others take the room.
#[rstest]
#[case::long_low_priority_burst(long_low_priority_burst())]
#[case::urgent_burst(urgent_burst())]
#[case::urgent_burst_of_two_kinds(urgent_burst_of_two_kinds())]
#[case::short_requests_fill_all_slots(short_requests_fill_all_slots())]
#[case::mixed_deadlines(mixed_deadlines())]
fn a_burst_earns_most_of_what_is_possible(#[case] pattern: Pattern) {
    let ([scheduler, plain @ ..], planned) = worths(&pattern);
    println!("worth {scheduler:.3} plain {plain:.3?} planned {planned:.3}");
    assert!(scheduler >= 0.9 * planned, "{scheduler} of {planned}");
    for other in plain {
        assert!(scheduler >= other, "{scheduler} against {other}");
    }
}

/// Guards against a kind that needs more work than the others of its rank and is refused always while they alone exceed
/// the capacity.
#[test]
fn the_longest_requests_are_not_all_refused() {
    let pattern = Pattern {
        disturbed_s: 0.0..16.0,
        ..short_requests_fill_all_slots()
    };
    for seed in SEEDS {
        let run = Simulation::run(&pattern, Order::Scheduler, seed);
        let shares = run.tallies().iter().map(|t| share(t.in_time, t.offered));
        let shares: Vec<f64> = shares.collect();
        println!("in time {shares:.3?}");
        assert!(shares[1] >= 0.1, "{shares:?}");
    }
}

/// Guards against urgent requests that are late because workers they share with longer ones are flooded.
#[test]
fn a_burst_of_long_requests_leaves_the_urgent_ones_in_time() {
    for seed in SEEDS {
        let run = Simulation::run(&long_low_priority_burst(), Order::Scheduler, seed);
        let [urgent, long] = run.tallies() else {
            panic!("two kinds");
        };
        assert!(share(urgent.in_time, urgent.offered) >= 0.99, "{urgent:?}");
        assert!(long.late * 10 <= long.in_time, "{long:?}");
    }
}

/// Guards against a queue that holds nearly late requests after workers were slow, so that each new request is late in
/// its turn; and against estimates of long requests, few of which end meanwhile, that don't follow.
#[test]
fn arrivals_are_in_time_soon_after_workers_recover() {
    let pattern = recovery_with_full_queue();
    let ([worth, plain @ ..], planned) = worths(&pattern);
    println!("worth {worth:.3} plain {plain:.3?} planned {planned:.3}");
    assert!(plain.iter().all(|p| worth >= *p), "{worth} {plain:?}");
    for seed in SEEDS {
        let run = Simulation::run(&pattern, Order::Scheduler, seed);
        let seconds = run
            .seconds
            .iter()
            .map(|(in_time, offered)| share(*in_time, *offered));
        let seconds: Vec<f64> = seconds.take(16).collect();
        println!("in time {seconds:.2?}");
        // The workers are well again after 8 s; the requests that then run need up to a second more.
        assert!(seconds[9..].iter().all(|s| *s >= 0.95), "{seconds:.2?}");
    }
}

/// Guards against a customer with ten times its usual requests that fills the queue which others share.
#[test]
fn a_flood_of_one_customer_leaves_the_others_their_response_time() {
    let pattern = one_customer_floods();
    let mut calm = pattern.clone();
    calm.kinds[0].burst = 1.0;
    let ([worth, plain @ ..], planned) = worths(&pattern);
    println!("worth {worth:.3} plain {plain:.3?} planned {planned:.3}");
    for seed in SEEDS {
        let flooded = Simulation::run(&pattern, Order::Scheduler, seed);
        let calm = Simulation::run(&calm, Order::Scheduler, seed);
        let mean = |t: &Tally| t.time / f64::from(t.in_time + t.late);
        for (flooded, calm) in flooded.tallies()[1..].iter().zip(&calm.tallies()[1..]) {
            assert!(
                share(flooded.in_time, flooded.offered) >= 0.99,
                "{flooded:?}"
            );
            assert!(mean(flooded) <= 1.5 * mean(calm), "{flooded:?} {calm:?}");
        }
        let large = flooded.tallies()[0];
        assert!(share(large.in_time, large.offered) >= 0.25, "{large:?}");
    }
}

/// Guards against a retry budget that requests of all ranks share alike while workers turn away half of the attempts,
/// so that more of the higher rank fail than need to.
#[test]
fn retries_of_the_higher_rank_come_first_while_workers_shed_half() {
    let pattern = workers_shed_half();
    let alike = Pattern {
        ranked_budget: false,
        ..pattern.clone()
    };
    for seed in SEEDS {
        let run = Simulation::run(&pattern, Order::Scheduler, seed);
        let alike = Simulation::run(&alike, Order::Scheduler, seed);
        println!(
            "worth {:.3}, without ranks {:.3}",
            run.worth(),
            alike.worth()
        );
        let served = |run: &Simulation| {
            let tallies = run.tallies();
            [0, 1].map(|kind: usize| share(tallies[kind].in_time, tallies[kind].offered))
        };
        let [high, low] = served(&run);
        let [high_alike, _] = served(&alike);
        assert!(high > low && high > high_alike, "{high} {low} {high_alike}");
        assert!(
            run.worth() > alike.worth(),
            "{} {}",
            run.worth(),
            alike.worth()
        );
    }
}

/// Classes of requests of 400 ms and of 40 ms.
const LONG: u64 = 1;
const SHORT: u64 = 2;

/// Returns a scheduler with one worker that knows the work of both classes, and whose queue is full of long requests.
/// Both slots are busy since the returned time.
fn full_of_long_requests() -> (Scheduler, Instant, u64) {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 1, 1);
    let mut id = 0;
    for _ in 0..50 {
        for (class, work_ms) in [(LONG, 400), (SHORT, 40)] {
            id += 1;
            scheduler.offer(now, of_class(id, now, class));
            let sent = now;
            now += Duration::from_millis(work_ms);
            scheduler.finish(now, &worker(0), sent, Outcome::Success);
        }
    }
    while !matches!(
        scheduler.offer(now, of_class(id + 1, now, LONG)),
        Decision::Refuse(_)
    ) {
        id += 1;
    }
    (scheduler, now, id)
}

fn of_class(id: u64, now: Instant, class: u64) -> Request {
    Request {
        class,
        ..request(id, now, Rank::Middle)
    }
}

/// Guards against refusing a request that needs little work because ones that need ten times as much were there first,
/// against refusing more of these than necessary, and against short requests that displace a long one which has waited
/// for half of its time.
#[rstest]
#[case::at_once(0, true)]
#[case::after_half_of_the_time(751, false)]
fn a_short_request_displaces_the_latest_long_one(#[case] waited_ms: u64, #[case] displaced: bool) {
    let (mut scheduler, now, latest) = full_of_long_requests();
    let later = now + Duration::from_millis(waited_ms);
    let mut waiting = 0;
    let mut refused = Vec::new();
    for id in 1_001..1_031 {
        let decision = scheduler.offer(later, of_class(id, later, SHORT));
        waiting += u32::from(decision == Decision::Wait);
        let actions = scheduler.take_displaced();
        refused.extend(actions.into_iter().map(|action| match action {
            Action::Refuse(id, _) => id,
            Action::Send(..) => panic!("{action:?}"),
        }));
    }
    if displaced {
        assert_eq!((waiting, refused.first()), (30, Some(&latest)));
        assert!(refused.len() <= 6, "{refused:?}");
    } else {
        assert_eq!(refused, [0; 0]);
    }
    assert!(scheduler.refusals().work == u64::try_from(refused.len()).unwrap());
}

/// Guards against a thousand callers that are refused while the queue is full and all return at the same moment.
#[test]
fn refused_callers_return_spread_over_time() {
    let (mut scheduler, now, _) = full_of_long_requests();
    let times = (0..1_000).map(|n| {
        let at = now + Duration::from_micros(n);
        match scheduler.offer(at, of_class(10_000 + n, at, LONG)) {
            Decision::Refuse(refusal) => refusal.retry_after.as_millis(),
            other => panic!("{other:?}"),
        }
    });
    let mut times: Vec<u128> = times.collect();
    times.sort_unstable();
    assert!(times[0] >= 100 && times[999] <= 2_000, "{times:?}");
    // No tenth of a second gets more than a fifth of them.
    let crowded = times.windows(201).any(|w| w[200] - w[0] < 100);
    assert!(!crowded, "{times:?}");
}

/// Guards against holding requests that can't be answered any more, because workers became slow, until their deadline.
#[test]
fn a_request_without_a_chance_is_refused_at_the_next_tick() {
    let (mut scheduler, now, _) = full_of_long_requests();
    let queued = scheduler.queue_len();
    // No slot becomes free until the first requests have too little time left.
    let later = now + Duration::from_millis(1_700);
    let refused = scheduler.tick(later);
    assert_eq!(refused.len(), queued);
    assert_eq!(
        scheduler.refusals().time_left,
        u64::try_from(queued).unwrap()
    );
}

/// Guards against one request that displaces all that wait, because the workers seem to be lost for a moment.
#[test]
fn a_request_displaces_a_bounded_number_of_others() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 40, 1);
    for id in 0..400 {
        let request = Request {
            target: now + Duration::from_millis(1_600),
            ..of_class(id, now, LONG)
        };
        scheduler.offer(now, request);
    }
    let queued = scheduler.queue_len();
    for w in (0..39).chain(0..39) {
        scheduler.finish(now, &worker(w), now, Outcome::Gone);
    }
    // It comes before the others, whose wait grows.
    let decision = scheduler.offer(now, of_class(1_000, now, SHORT));
    let displaced = scheduler.take_displaced().len();
    assert!(
        displaced <= 16 && queued - displaced >= 100,
        "{displaced} of {queued}, {decision:?}"
    );
}

/// Guards against attempts at a suspect worker that fail for nothing, because the wait of a request counts the work of its
/// own customer twice, and against queued requests that no longer have the margin that admission demands.
#[rstest]
#[case::one_customer(1)]
#[case::many_customers(10)]
fn requests_go_to_suspect_workers_only_if_their_wait_is_too_long(#[case] customers: u64) {
    let start = Instant::now();
    let mut scheduler = scheduler(start, 20, 1);
    scheduler.set_floor(Some(0.7));
    fail(&mut scheduler, start, &worker(0));
    let now = start + Duration::from_millis(1_100);
    fail(&mut scheduler, now, &worker(0));
    // The other 19 workers have 38 slots. Requests of 100 ms wait for up to 160 ms, 230 ms with the margin.
    for id in 0..98 {
        let request = Request {
            customer: Some(id % customers),
            at_most_once: false,
            target: now + Duration::from_millis(400),
            ..request(id, now, Rank::Top)
        };
        let decision = scheduler.offer(now, request);
        assert!(!matches!(decision, Decision::Refuse(_)), "{id}");
    }
    assert_eq!(scheduler.queue_len(), 60);
    assert_eq!(scheduler.tick(now), []);
    let actions = scheduler.tick(now + Duration::from_millis(100));
    let is_diverted = |action: &Action| matches!(action, Action::Send(_, to) if *to == worker(0));
    assert!(
        !actions.is_empty() && actions.iter().all(is_diverted),
        "{actions:?}"
    );
}

/// Returns a scheduler with 38 slots of regular workers in use, two free ones at a suspect worker, and queued requests of
/// two customers with these times to their targets, and the time at which they came. The customer of a request is the lowest
/// bit of its id.
fn full_beside_a_suspect_worker(target_ms: [u64; 2]) -> (Scheduler, Instant) {
    let start = Instant::now();
    let mut scheduler = scheduler(start, 20, 1);
    scheduler.set_floor(Some(0.7));
    fail(&mut scheduler, start, &worker(0));
    let now = start + Duration::from_millis(1_100);
    fail(&mut scheduler, now, &worker(0));
    for id in 0..98 {
        let request = Request {
            customer: Some(id % 2),
            at_most_once: false,
            target: now + Duration::from_millis(target_ms[usize::from(id % 2 == 1)]),
            ..request(id, now, Rank::Top)
        };
        let decision = scheduler.offer(now, request);
        assert!(!matches!(decision, Decision::Refuse(_)), "{id}");
    }
    (scheduler, now)
}

/// Returns the customers whose requests are sent, in ascending order.
fn customers_of(actions: &[Action]) -> Vec<u64> {
    let sent = actions.iter().map(|action| match action {
        Action::Send(id, _) => id % 2,
        Action::Refuse(..) => panic!("{actions:?}"),
    });
    let mut customers: Vec<u64> = sent.collect();
    customers.sort_unstable();
    customers
}

/// Guards against a customer whose requests get all attempts at a suspect worker because its hash is the lowest.
#[test]
fn customers_share_the_attempts_at_a_suspect_worker() {
    let (mut scheduler, start) = full_beside_a_suspect_worker([400, 400]);
    let now = start + Duration::from_millis(100);
    assert_eq!(customers_of(&scheduler.tick(now)), [0, 1]);
}

/// Guards against a customer that gets as many free slots as another one in addition to its attempts at a suspect worker.
#[test]
fn attempts_at_a_suspect_worker_count_as_slot_time() {
    let (mut scheduler, start) = full_beside_a_suspect_worker([400, 1_500]);
    let now = start + Duration::from_millis(100);
    assert_eq!(customers_of(&scheduler.tick(now)), [0, 0]);
    let ended = [1, 2].map(|w| scheduler.finish(now, &worker(w), start, Outcome::Cancelled));
    assert_eq!(customers_of(&ended.concat()), [1, 1]);
}

/// Guards against a lower rank whose requests are sent to a suspect worker that has room again before a higher one that waits
/// for a slot.
#[test]
fn a_suspect_worker_with_room_serves_the_higher_rank_first() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 1);
    scheduler.set_floor(Some(0.7));
    fail(&mut scheduler, now, &worker(1));
    scheduler.record_load(now, &worker(1), 6);
    let repeatable = |id, rank| Request {
        at_most_once: false,
        ..request(id, now, rank)
    };
    for id in 0..2 {
        let sent = scheduler.offer(now, repeatable(id, Rank::Bottom));
        assert_eq!(sent, Decision::Send(worker(0)));
    }
    for id in 10..40 {
        scheduler.offer(now, repeatable(id, Rank::Bottom));
    }
    assert_eq!(
        scheduler.offer(now, repeatable(3, Rank::Top)),
        Decision::Wait
    );
    let actions = scheduler.tick(now + Duration::from_millis(500));
    let sent = actions
        .iter()
        .find(|action| matches!(action, Action::Send(..)));
    assert_eq!(sent, Some(&Action::Send(3, worker(1))), "{actions:?}");
}
