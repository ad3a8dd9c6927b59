//! Limits of customers that several accountants hold, on given instants.

use std::time::{Duration, Instant};

use chestnutvalve_model::account::Limit;
use chestnutvalve_model::id::Customer;
use chestnutvalve_routing::quota::{Book, Bounds, Need, Wait};
use proptest::prelude::*;
use rstest::rstest;

mod fleet;
mod membership;

use fleet::{BOUNDS, Fleet, NODES, STEP, most_in_window};

const LIMIT: Limit = Limit {
    per_second: 20.0,
    burst: 20.0,
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Spreads a customer's requests over accountants of all zones, unevenly.
const UNEVEN: [(usize, f64); 12] = [
    (0, 0.17),
    (3, 0.1),
    (6, 0.09),
    (9, 0.06),
    (1, 0.12),
    (4, 0.08),
    (7, 0.06),
    (10, 0.04),
    (2, 0.11),
    (5, 0.07),
    (8, 0.06),
    (11, 0.04),
];

/// Guards against a limit that grows with the number of accountants that a customer reaches.
#[rstest]
#[case::all_accountants(&[0, 1, 2, 3, 4, 5])]
#[case::three(&[0, 1, 2])]
fn a_customer_far_over_its_limit_gets_the_limit(#[case] used: &[usize]) {
    let mut fleet = Fleet::start(LIMIT, 1);
    let weight = 1.0 / f64::from(u32::try_from(used.len()).unwrap());
    let weights: Vec<(usize, f64)> = used.iter().map(|n| (*n, weight)).collect();
    fleet.run(seconds(30), |f| f.poisson(240.0, &weights));
    fleet.assert_within_limit();
    let permits = fleet.permits_in_last(seconds(10));
    assert!(
        (190..=210).contains(&permits),
        "{permits} of 200 permits in 10 s"
    );
}

/// Guards against requests below the limit that are refused because the customer's demand isn't spread as its shares are.
#[test]
fn below_the_limit_hardly_any_request_is_refused() {
    let customer = Customer::new("acme").unwrap();
    let (mut asked, mut refused, mut lender_messages) = (0, 0, 0);
    for seed in 1..=4 {
        let mut fleet = Fleet::start(LIMIT, seed);
        // One bucket for the whole fleet shows what the chance arrivals alone cost.
        let (mut single, mut refused_by_single) = (Book::new(BOUNDS), 0);
        fleet.run(seconds(600), |f| {
            let requests = f.poisson(19.0, &UNEVEN);
            let count = requests.iter().sum();
            refused_by_single += count - single.take(f.now, &customer, &LIMIT, count);
            requests
        });
        fleet.assert_within_limit();
        println!(
            "seed {seed}: {} of {} refused, {refused_by_single} by a single bucket, {} messages to lenders",
            fleet.refused, fleet.asked, fleet.asks
        );
        asked += fleet.asked;
        refused += fleet.refused;
        lender_messages += fleet.asks;
    }
    assert!(refused * 200 < asked, "{refused} of {asked} refused");
    assert!(
        lender_messages < 2 * asked,
        "{lender_messages} messages to lenders for {asked} requests"
    );
}

/// Guards against shares that stay where the demand has been.
#[test]
fn tokens_follow_the_demand_into_another_zone() {
    let mut fleet = Fleet::start(LIMIT, 1);
    for zone in [0, 1, 2, 0] {
        (fleet.asked, fleet.refused) = (0, 0);
        let weights = [(zone, 0.6), (zone + 3, 0.4)];
        fleet.run(seconds(20), |f| f.poisson(14.0, &weights));
        let (refused, asked) = (f64::from(fleet.refused), f64::from(fleet.asked));
        assert!(
            refused / asked < 0.005,
            "zone {zone}: {refused} of {asked} refused"
        );
    }
    fleet.assert_within_limit();
}

/// Guards against an accountant that is replaced while it still grants permits.
#[rstest]
#[case::lost(|f: &mut Fleet| f.nodes[0].dead = true)]
#[case::cut_off(|f: &mut Fleet| f.nodes[0].cut = true)]
#[case::frozen(|f: &mut Fleet| f.nodes[0].frozen_until = Some(f.now + seconds(5)))]
#[case::frozen_for_long(|f: &mut Fleet| f.nodes[0].frozen_until = Some(f.now + seconds(25)))]
fn a_fault_of_an_accountant_doesnt_raise_the_limit(#[case] fault: fn(&mut Fleet)) {
    let mut fleet = Fleet::start(LIMIT, 1);
    let everyone: Vec<(usize, f64)> = (0..9).map(|n| (n, 1.0 / 9.0)).collect();
    fleet.run(seconds(10), |f| f.poisson(240.0, &everyone));
    fault(&mut fleet);
    fleet.run(seconds(50), |f| f.poisson(240.0, &everyone));
    fleet.assert_within_limit();
    let permits = fleet.permits_in_last(seconds(10));
    assert!(
        (190..=210).contains(&permits),
        "{permits} of 200 permits in 10 s"
    );
}

/// Guards against tokens of the former limit that are used after it was lowered.
#[test]
fn a_lower_limit_holds_at_once() {
    let high = Limit {
        per_second: 200.0,
        burst: 200.0,
    };
    let mut fleet = Fleet::start(high, 1);
    fleet.run(seconds(10), |_| [0; NODES]);
    fleet.publish(LIMIT);
    fleet.steps.clear();
    fleet.run(seconds(20), |f| f.poisson(400.0, &UNEVEN));
    fleet.assert_within_limit();
    assert!(fleet.worst_window().1 < most_in_window(&high));
}

/// Guards against a burst of each process that restarts, and against a customer that is refused for long after it.
#[test]
fn after_a_restart_of_all_the_limit_holds_and_is_granted() {
    let mut fleet = Fleet::start(LIMIT, 1);
    for _ in 0..4 {
        fleet.run(seconds(3), |f| f.poisson(240.0, &UNEVEN));
        for node in 0..NODES {
            fleet.restart(node);
        }
    }
    fleet.run(seconds(2), |f| f.poisson(240.0, &UNEVEN));
    let permits = fleet.permits_in_last(seconds(1));
    assert!(permits >= 14, "{permits} permits in the second second");
    fleet.run(seconds(30), |f| f.poisson(240.0, &UNEVEN));
    fleet.assert_within_limit();
}

/// Guards against refusals below a limit after all machines lost power: the tokens of the time in which the processes start,
/// and nobody can be granted any, are there when they grant again.
#[test]
fn after_a_loss_of_power_a_customer_below_its_limit_is_served() {
    for (rate, expects_service) in [(12.5, true), (16.0, false), (19.0, false)] {
        let (mut asked, mut refused) = (0, 0);
        for seed in 1..=4 {
            let mut fleet = Fleet::start(LIMIT, seed);
            fleet.run(seconds(20), |f| f.poisson(rate, &UNEVEN));
            fleet.lose_power(Duration::from_millis(1_500), seconds(2));
            (fleet.asked, fleet.refused) = (0, 0);
            fleet.run(seconds(10), |f| f.poisson(rate, &UNEVEN));
            asked += fleet.asked;
            refused += fleet.refused;
            fleet.assert_within_limit();
        }
        println!("{rate} requests a second: {refused} of {asked} refused in 10 s");
        // As without faults.
        assert!(!expects_service || refused * 200 < asked);
    }
}

/// Guards against memory that grows with the customers that were ever active, and against a burst for each customer that
/// was forgotten.
#[test]
fn idle_customers_are_forgotten_only_with_a_full_bucket() {
    let mut book = Book::new(BOUNDS);
    let start = Instant::now();
    let customers: Vec<Customer> = (0..100)
        .map(|n| Customer::new(&format!("c{n}")).unwrap())
        .collect();
    for customer in &customers {
        let granted = book.take(start, customer, &LIMIT, 1_000);
        assert_eq!(granted, 40);
    }
    book.forget_idle(start + seconds(1));
    assert_eq!(book.len(), 100);
    assert_eq!(
        book.take(start + seconds(1), &customers[0], &LIMIT, 1_000),
        20
    );
    book.forget_idle(start + seconds(2));
    assert_eq!(book.len(), 1);
    book.forget_idle(start + seconds(3));
    assert!(book.is_empty());
}

/// Guards against a bucket that holds tokens of the time before its accountant may grant.
#[test]
fn a_book_that_starts_empty_grants_only_what_has_accrued_since() {
    let mut book = Book::new(BOUNDS);
    let (start, customer) = (Instant::now(), Customer::new("acme").unwrap());
    book.take(start, &customer, &LIMIT, 1);
    book.empty(start);
    assert_eq!(book.take(start, &customer, &LIMIT, 100), 0);
    let other = Customer::new("other").unwrap();
    assert_eq!(book.take(start + STEP * 10, &other, &LIMIT, 100), 2);
}

/// Guards against a customer that never gets a permit because each share of its limit is below one request.
#[test]
fn fractions_of_tokens_add_up() {
    let small = Limit {
        per_second: 1.0,
        burst: 0.0,
    };
    let strict = Bounds::default();
    let (now, customer) = (Instant::now(), Customer::new("acme").unwrap());
    let mut books = [Book::new(strict), Book::new(strict), Book::new(strict)];
    for book in &mut books {
        book.set_shares(3);
    }
    assert_eq!(books[0].take(now, &customer, &small, 1), 0);
    let need = books[0].need(now, &customer, &small, 1);
    assert!(
        matches!(need, Need::Ask { lenders: 100.., .. }),
        "all must be asked: {need:?}"
    );
    let lent: f64 = (1..3)
        .map(|n| books[n].lend(now, &customer, &small, 1.0, true).0)
        .sum();
    assert_eq!(books[0].accept(now, &customer, &small, lent, 1), 1);
    assert_eq!(books[0].take(now, &customer, &small, 1), 0);
}

/// Guards against tokens that are lost with requests that are refused late, so that a customer below its limit is refused.
#[test]
fn permits_that_come_back_late_count_again() {
    let mut fleet = Fleet::start(LIMIT, 1);
    (fleet.unused, fleet.return_time) = (0.5, seconds(3));
    fleet.run(seconds(60), |f| f.poisson(36.0, &UNEVEN));
    fleet.assert_within_limit();
    let permits = fleet.permits_in_last(seconds(50));
    assert!(permits >= 800, "{permits} of 900 permits in 50 s");
}

/// Guards against a window with the tokens of two full buckets: those of late permits come back after a burst.
#[test]
fn permits_that_come_back_late_dont_raise_the_limit() {
    let mut fleet = Fleet::start(LIMIT, 1);
    (fleet.unused, fleet.return_time) = (1.0, seconds(3));
    let mut full = [0; NODES];
    for accountant in fleet.accountants() {
        full[accountant] = 3;
    }
    fleet.run(STEP, |_| full);
    fleet.run(Duration::from_millis(2_800), |_| [0; NODES]);
    fleet.unused = 0.0;
    fleet.run(seconds(6), |f| f.poisson(240.0, &UNEVEN));
    fleet.assert_within_limit();
}

/// Guards against a customer that gets a second burst with permits that come back after its bucket has been full again.
#[test]
fn a_token_comes_back_only_if_the_bucket_would_still_have_it() {
    let mut book = Book::new(Bounds::default());
    let (start, customer) = (Instant::now(), Customer::new("acme").unwrap());
    assert_eq!(book.take(start, &customer, &LIMIT, 10), 10);
    let stamp = book.stamp();
    let later = start + Duration::from_millis(250);
    assert_eq!(book.take(later, &customer, &LIMIT, 1), 1);
    // The bucket has had room for five tokens at least.
    book.give_back(later, &customer, &LIMIT, 10, stamp);
    assert_eq!(book.take(later, &customer, &LIMIT, 100), 19);
    let full = later + seconds(2);
    assert_eq!(book.take(full, &customer, &LIMIT, 100), 20);
    book.give_back(full, &customer, &LIMIT, 5, stamp);
    assert_eq!(book.take(full, &customer, &LIMIT, 100), 0);
}

/// Guards against a customer that gets a second burst with permits that come back after its bucket was full at a smaller share.
#[test]
fn a_token_comes_back_only_if_the_smaller_bucket_would_still_have_it() {
    let mut book = Book::new(Bounds::default());
    let (start, customer) = (Instant::now(), Customer::new("acme").unwrap());
    book.set_shares(2);
    assert_eq!(book.take(start, &customer, &LIMIT, 10), 10);
    let stamp = book.stamp();
    let full = start + seconds(2);
    book.set_shares(1);
    book.give_back(full, &customer, &LIMIT, 10, stamp);
    assert_eq!(book.take(full, &customer, &LIMIT, 100), 10);
}

/// Guards against permits of a former process, or of tokens that were dropped, that add to the limit.
#[test]
fn permits_of_dropped_tokens_dont_come_back() {
    let (now, customer) = (Instant::now(), Customer::new("acme").unwrap());
    let mut book = Book::new(BOUNDS);
    book.take(now, &customer, &LIMIT, 10);
    let stamp = book.stamp();
    book.empty(now);
    assert_eq!(book.take(now, &customer, &LIMIT, 1), 0);
    book.give_back(now, &customer, &LIMIT, 10, stamp);
    let mut restarted = Book::new(BOUNDS);
    restarted.number_from(1_000);
    restarted.empty(now);
    assert_eq!(restarted.take(now, &customer, &LIMIT, 1), 0);
    restarted.give_back(now, &customer, &LIMIT, 10, stamp);
    for book in [&mut book, &mut restarted] {
        assert_eq!(book.take(now, &customer, &LIMIT, 10), 0);
    }
}

/// Guards against callers that are refused together, come back together and are refused again.
#[test]
fn refused_requests_wait_for_different_tokens() {
    let mut book = Book::new(Bounds::default());
    let (now, customer) = (Instant::now(), Customer::new("acme").unwrap());
    let limit = Limit {
        per_second: 10.0,
        burst: 1.0,
    };
    assert_eq!(book.take(now, &customer, &limit, 5), 1);
    let wait = book.refuse(now, &customer, &limit, 4);
    let waits: Vec<u128> = (0..4).map(|n| wait.of(n).as_millis()).collect();
    assert_eq!(waits, [100, 200, 300, 400]);
    let next = book.refuse(now, &customer, &limit, 1);
    assert_eq!(next.of(0).as_millis(), 500);
    let wait = Wait {
        first: Duration::from_millis(1_900),
        step: Duration::from_millis(100),
    };
    let waits: Vec<u128> = (0..4).map(|n| wait.of(n).as_millis()).collect();
    assert_eq!(waits, [1_900, 2_000, 1_100, 1_200]);
}

/// One event of a fault sequence, at an entry.
#[derive(Clone, Debug)]
enum Event {
    Cut(usize),
    Heal(usize),
    Freeze(usize, u64),
    Kill(usize),
    Restart(usize),
    RestartAll,
    Lower,
    Raise,
    Quiet,
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..9_usize;
    prop_oneof![
        3 => node.clone().prop_map(Event::Cut),
        3 => node.clone().prop_map(Event::Heal),
        2 => (node.clone(), 1..15_u64).prop_map(|(n, s)| Event::Freeze(n, s)),
        2 => node.clone().prop_map(Event::Kill),
        3 => node.prop_map(Event::Restart),
        1 => Just(Event::RestartAll),
        1 => Just(Event::Lower),
        1 => Just(Event::Raise),
        2 => Just(Event::Quiet),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    /// Guards against any order of faults and changes that raises a limit: a customer at twelve times its limit asks all
    /// entries, also those that are cut off from the control group.
    #[test]
    fn no_order_of_faults_raises_the_limit(
        events in prop::collection::vec((event(), 100..6_000_u64), 1..14),
        round_trip in 1..30_u32,
        unused in 0.0..0.9,
        return_ms in 0..12_000_u64,
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::start(LIMIT, seed);
        fleet.round_trip = STEP * round_trip;
        fleet.unused = unused;
        fleet.return_time = Duration::from_millis(return_ms);
        let everyone: Vec<(usize, f64)> = (0..9).map(|n| (n, 1.0 / 9.0)).collect();
        for (event, wait_ms) in &events {
            let rate = if matches!(event, Event::Quiet) { 0.0 } else { 240.0 };
            match *event {
                Event::Cut(n) => fleet.nodes[n].cut = true,
                Event::Heal(n) => fleet.nodes[n].cut = false,
                Event::Freeze(n, s) => fleet.nodes[n].frozen_until = Some(fleet.now + seconds(s)),
                Event::Kill(n) => fleet.nodes[n].dead = true,
                Event::Restart(n) => fleet.restart(n),
                Event::RestartAll => (0..NODES).for_each(|n| fleet.restart(n)),
                Event::Lower => fleet.publish(Limit { per_second: 2.0, burst: 2.0 }),
                Event::Raise => fleet.publish(LIMIT),
                Event::Quiet => {}
            }
            fleet.run(Duration::from_millis(*wait_ms), |f| f.poisson(rate, &everyone));
        }
        let (permits, most) = fleet.worst_window();
        prop_assert!(permits <= most, "{permits} permits in a window of {most}");
    }
}

/// Returns values of an accepted limit, with the ends of the range.
fn extreme() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::from_bits(1)),
        Just(f64::MIN_POSITIVE),
        Just(f64::MAX),
        1e-300..1e300_f64,
    ]
}

proptest! {
    /// Guards against a limit of an accepted document that makes a bucket panic, hold no number of tokens, or grant more than
    /// was asked for.
    #[test]
    fn extreme_limits_are_applied(
        per_second in extreme(),
        burst in prop_oneof![Just(0.0), extreme()],
        (over, slack) in (prop_oneof![Just(0.0), 0.0..10.0_f64], prop_oneof![Just(0.0), 0.0..1e6_f64]),
        shares in 1..100_usize,
        steps in prop::collection::vec((0..u64::MAX / 1_000_000, 0..4_u32, any::<u32>()), 1..20),
    ) {
        let (limit, customer) = (Limit { per_second, burst }, Customer::new("acme").unwrap());
        let bounds = Bounds { over, slack, ..Bounds::default() };
        prop_assert!(bounds.capacity(&limit) >= 1.0);
        let mut book = Book::new(bounds);
        book.set_shares(shares);
        let mut now = Instant::now();
        for (pause_ms, action, count) in steps {
            now += Duration::from_millis(pause_ms % 100_000_000);
            match action {
                0 => prop_assert!(book.take(now, &customer, &limit, count) <= count),
                1 => {
                    let wait = book.refuse(now, &customer, &limit, count);
                    prop_assert!(wait.of(count) <= seconds(2));
                }
                2 => {
                    let (lent, spare) = book.lend(now, &customer, &limit, f64::from(count), true);
                    prop_assert!(lent >= 0.0 && spare >= 0.0, "{lent} lent, {spare} spare");
                    let taken = book.accept(now, &customer, &limit, lent, count);
                    prop_assert!(taken <= count);
                }
                _ => {
                    if let Need::Ask { tokens, .. } = book.need(now, &customer, &limit, count) {
                        prop_assert!(tokens > 0.0, "{tokens} tokens asked for");
                    }
                }
            }
        }
    }
}
