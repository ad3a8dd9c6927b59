//! Placement, warm-up, execution state and the retry budgets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnutvalve_model::directory::{Directory, Member};
use chestnutvalve_model::error::Executed;
use chestnutvalve_model::id::{Entry, Incarnation, Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::balance::{Balancer, Upstream};
use chestnutvalve_routing::execution::{Stage, executed, executed_in_any};
use chestnutvalve_routing::placement::{home, owners};
use chestnutvalve_routing::retry::{Bounds, Purpose, TokenBucket, WindowBudget, is_allowed};
use chestnutvalve_routing::sample::{Sample, Verdict};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const ENTRIES: usize = 51;
const SERVICES: usize = 6_700;
const OWNERS: usize = 4;

fn member(index: usize) -> Member {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Member {
        entry: Entry::new(&format!("e{index}")).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new(&format!("z{}", index % 3)).unwrap(),
        callers: address,
        gateway: None,
        link_mbps: 1_000,
        platform: address,
        peers: address,
        draining: false,
    }
}

fn directory(members: impl Iterator<Item = usize>) -> Directory {
    let mut directory = Directory::default();
    members.for_each(|index| directory.join(&member(index)));
    directory
}

fn owner_sets(directory: &Directory) -> Vec<Vec<Entry>> {
    let name = |n| Service::new(&format!("service-{n}")).unwrap();
    (0..SERVICES)
        .map(|n| owners(&name(n), OWNERS, directory))
        .collect()
}

/// Guards against owners that depend on the order of joins, are all in one availability zone or include a draining
/// member.
#[test]
fn owners_are_agreed_and_spread() {
    let mut first = directory(0..ENTRIES);
    let mut second = directory((0..ENTRIES).rev());
    for directory in [&mut first, &mut second] {
        directory
            .members
            .get_mut(&member(7).entry)
            .unwrap()
            .draining = true;
    }
    assert_eq!(owner_sets(&first), owner_sets(&second));
    for set in owner_sets(&first) {
        let mut zones: BTreeMap<&Zone, usize> = BTreeMap::new();
        for entry in &set {
            *zones.entry(&first.members[entry].zone).or_default() += 1;
        }
        assert_eq!(set.len(), OWNERS);
        assert!(
            zones.len() == 3 && zones.values().all(|&n| n <= 2),
            "{zones:?}"
        );
        assert!(!set.contains(&member(7).entry));
    }
    let few = directory(0..3);
    assert_eq!(owner_sets(&few)[0].len(), 3);
}

/// Guards against a join or leave that changes more than the services of that member. Each set of owners contains it
/// with a probability of `OWNERS / ENTRIES`, and then changes by one owner.
#[test]
fn one_member_moves_only_its_own_services() {
    let (all, without) = (directory(0..ENTRIES), directory(1..ENTRIES));
    let (mut changed, mut ownerships) = (0, 0);
    for (with, without) in owner_sets(&all).iter().zip(owner_sets(&without)) {
        let moved = with.iter().filter(|e| !without.contains(e)).count();
        changed += usize::from(moved > 0);
        ownerships += moved;
    }
    println!("{changed} of {SERVICES} sets changed, in {ownerships} ownerships");
    assert_eq!(ownerships, changed);
    assert!(
        changed * ENTRIES <= SERVICES * OWNERS * 11 / 10,
        "{changed} sets changed"
    );
}

/// Guards against members that own far more services, or are the home of far more workers, than others.
#[test]
fn owners_and_homes_are_balanced() {
    let all = directory(0..ENTRIES);
    let (mut ownerships, mut homes) = (BTreeMap::new(), BTreeMap::new());
    for set in owner_sets(&all) {
        for entry in set {
            *ownerships.entry(entry).or_insert(0) += 1;
        }
    }
    let (fewest, most) = (
        ownerships.values().min().unwrap(),
        ownerships.values().max().unwrap(),
    );
    println!("{fewest} to {most} services at a member");
    assert!(
        ownerships.len() == ENTRIES && most * 10 <= fewest * 15,
        "{fewest} to {most}"
    );

    let owners: Vec<Member> = (0..4).map(member).collect();
    let owners: Vec<&Member> = owners.iter().collect();
    for index in 0..4_000 {
        let (worker, zone) = (Worker::new(&format!("w{index}")).unwrap(), index % 4);
        let zone = Zone::new(&format!("z{zone}")).unwrap();
        let home = home(&worker, &zone, &owners).unwrap();
        let local = owners.iter().filter(|m| m.zone == zone);
        assert!(local.clone().count() == 0 || local.clone().any(|m| m.entry == home));
        *homes.entry(home).or_insert(0) += 1;
    }
    assert!(
        homes.values().all(|count| (600..1_400).contains(count)),
        "{homes:?}"
    );
}

/// Guards against a new worker that gets its full share immediately, or no requests at all.
#[rstest]
#[case::new(0, 20..70)]
#[case::half_way(5_000, 100..240)]
#[case::warm(10_000, 280..390)]
fn new_workers_warm_up(#[case] age_ms: u64, #[case] expected: std::ops::Range<u32>) {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(1);
    let zone = Zone::new("z").unwrap();
    let mut balancer = Balancer::new(zone.clone());
    for (index, warm_up) in [Duration::ZERO, Duration::ZERO, Duration::from_secs(10)]
        .into_iter()
        .enumerate()
    {
        let worker = Worker::new(&format!("w{index}")).unwrap();
        balancer.upsert(
            start,
            Upstream {
                worker,
                zone: zone.clone(),
                slots: 1_000,
                warm_up,
            },
        );
    }
    let now = start + Duration::from_millis(age_ms);
    let mut picked = 0;
    for _ in 0..1_000 {
        let worker = balancer.pick(now, |_| true, |_| 0.0, &mut random).unwrap();
        picked += u32::from(worker.as_str() == "w2");
    }
    assert!(expected.contains(&picked), "{picked} of 1000");
    assert!(
        balancer
            .pick(now, |_| false, |_| 0.0, &mut random)
            .is_none()
    );
}

/// Guards against reporting "not executed" for a request that may have run.
#[rstest]
#[case(&[], Executed::No)]
#[case(&[Stage::NotSent], Executed::No)]
#[case(&[Stage::ConnectRefused, Stage::StreamRefused, Stage::ShedByWorker], Executed::No)]
#[case(&[Stage::Sent], Executed::Unknown)]
#[case(&[Stage::Sent, Stage::ConnectRefused], Executed::Unknown)]
#[case(&[Stage::ShedByWorker, Stage::Sent, Stage::Answered], Executed::Yes)]
#[case(&[Stage::Answered, Stage::NotSent], Executed::Yes)]
fn execution_is_derived_from_the_stages(#[case] stages: &[Stage], #[case] expected: Executed) {
    assert_eq!(executed_in_any(stages), expected);
    if let [stage] = stages {
        assert_eq!(executed(stage), expected);
    }
}

/// Guards against retries of requests that may have run, or that can't be in time.
#[rstest]
#[case(true, Executed::Unknown, 100, true)]
#[case(true, Executed::Yes, 100, true)]
#[case(false, Executed::No, 100, true)]
#[case(false, Executed::Unknown, 100, false)]
#[case(false, Executed::Yes, 100, false)]
#[case(true, Executed::No, 49, false)]
#[case(true, Executed::No, 0, false)]
fn retries_are_safe_and_in_time(
    #[case] idempotent: bool,
    #[case] executed: Executed,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let (left, typical) = (Duration::from_millis(left_ms), Duration::from_millis(50));
    assert_eq!(is_allowed(idempotent, executed, left, typical), expected);
}

/// Guards against retries beyond the percentage of first attempts, also after a quiet period.
#[rstest]
fn retries_stay_within_the_budget(#[values(0, 10, 50)] percent: u8) {
    let mut budget = TokenBucket::new(percent);
    (0..1_000).for_each(|_| budget.deposit());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        while budget.try_withdraw() {
            retries += 1;
        }
    }
    let expected = 10 * u32::from(percent);
    assert!(
        (expected..=expected + 10).contains(&retries),
        "{retries} retries"
    );
    budget.configure(0);
    budget.deposit();
    assert!(!budget.try_withdraw());
}

/// Guards against the preference for the own availability zone that selects its only free worker, a faulty one.
#[test]
fn a_suspicious_worker_is_not_picked_for_its_zone() {
    let now = Instant::now();
    let (own, other) = (Zone::new("barre").unwrap(), Zone::new("keene").unwrap());
    let mut balancer = Balancer::new(own.clone());
    let workers = [
        ("bad", &own),
        ("busy", &own),
        ("w1", &other),
        ("w2", &other),
        ("w3", &other),
    ];
    let name = |name: &str| Worker::new(name).unwrap();
    for (worker, zone) in workers {
        balancer.upsert(
            now,
            Upstream {
                worker: name(worker),
                zone: zone.clone(),
                slots: 2,
                warm_up: Duration::ZERO,
            },
        );
    }
    let (faulty, busy) = (name("bad"), name("busy"));
    let mut random = StdRng::seed_from_u64(5);
    for _ in 0..2 {
        balancer
            .pick(now, |w| *w == busy, |_| 0.0, &mut random)
            .unwrap();
    }
    let suspicion = |w: &Worker| if *w == faulty { 0.95 } else { 0.0 };
    let mut taken = 0;
    for _ in 0..1_000 {
        let worker = balancer
            .pick(now, |_| true, suspicion, &mut random)
            .unwrap();
        taken += u32::from(worker == faulty);
        let sample = Sample {
            latency: Duration::from_millis(10),
            verdict: Verdict::Cancelled,
        };
        balancer.finish(now, &worker, &sample);
    }
    // The target is below 2% of the traffic.
    assert!(taken < 20, "{taken} of 1000 requests");
}

/// Returns the part of one of a hundred entries in a fleet whose budget is a fifth of the requests and 178 more
/// attempts.
fn bounds() -> Bounds {
    Bounds {
        ratio: 0.2,
        slack: 1.78,
        window: Duration::from_secs(10),
    }
}

/// Guards against retry budget that is lost: each of 100 entries has one or two attempts of the fixed number, and a
/// worker that becomes faulty fails several requests within a second.
#[test]
fn budget_of_a_window_can_be_spent_at_once() {
    let start = Instant::now();
    let mut budget = WindowBudget::new(bounds());
    for n in 0..50 {
        budget.deposit(start + Duration::from_millis(150 * n));
    }
    let now = start + Duration::from_secs(8);
    let taken = (0..50).filter(|_| budget.try_withdraw(now, Purpose::Retry));
    assert_eq!(taken.count(), 11);
}

/// Guards against a budget that allows a window more extra attempts than its requests and the fixed number permit, in
/// any order of requests and attempts.
#[test]
fn no_window_exceeds_its_budget() {
    let start = Instant::now();
    let mut budget = WindowBudget::new(bounds());
    let mut taken: Vec<u64> = Vec::new();
    let mut requests_ms: Vec<u64> = Vec::new();
    for ms in (0..60_000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        // Requests arrive in bursts of two seconds.
        if ms / 2_000 % 3 == 0 {
            budget.deposit(now);
            requests_ms.push(ms);
        }
        if budget.try_withdraw(now, Purpose::Retry) {
            taken.push(ms);
        }
    }
    let within =
        |list: &[u64], from: u64, to: u64| list.iter().filter(|ms| (from..to).contains(ms)).count();
    for end in (10_000..60_000).step_by(100) {
        let extra = within(&taken, end - 10_000, end);
        // Requests count for up to a second longer, because they are counted in slices of half a second. That is a
        // tenth of the window, and entries use 85% of the fleet's budget.
        let requests = within(&requests_ms, (end - 10_000_u64).saturating_sub(1_000), end);
        let most = 0.2 * f64::from(u32::try_from(requests).unwrap()) + 1.78;
        let extra = f64::from(u32::try_from(extra).unwrap());
        assert!(extra <= most, "{extra} of {most} before {end} ms");
    }
}

/// Guards against hedges that use up the budget that retries need.
#[test]
fn hedges_leave_half_of_the_budget_to_retries() {
    let now = Instant::now();
    let mut budget = WindowBudget::new(bounds());
    for _ in 0..31 {
        budget.deposit(now);
    }
    let mut take = |purpose| {
        (0..50)
            .filter(|_| budget.try_withdraw(now, purpose))
            .count()
    };
    assert_eq!([take(Purpose::Hedge), take(Purpose::Retry)], [3, 4]);
}

/// Guards against requests of a lower rank that use the retries which higher ones need while workers turn away half of
/// the attempts, and against a lower rank without retries when there is budget for all.
#[rstest]
#[case::shortage(2)]
#[case::enough(20)]
fn retries_leave_room_for_higher_ranks(#[case] turned_away_in: u64) {
    let start = Instant::now();
    let mut budget = WindowBudget::new(bounds());
    let (mut asked, mut taken) = (0, [0; 2]);
    for n in 0..1_000_u64 {
        let now = start + Duration::from_millis(16 * n);
        // Both ranks have the same number of requests; workers are full in the last 8 s. The budget of a window is 251.
        for (at, rank) in [Rank::Top, Rank::Middle].into_iter().enumerate() {
            budget.deposit_for(now, rank);
            if n >= 500 && n.is_multiple_of(turned_away_in) {
                asked += 1;
                let allowed = budget.try_withdraw_for(now, Purpose::Retry, rank);
                taken[at] += u32::from(allowed);
            }
        }
    }
    if asked <= 251 {
        assert_eq!(taken, [asked / 2; 2]);
    } else {
        assert!(
            taken[0] >= 3 * taken[1] && taken[0] + taken[1] >= 240,
            "{taken:?} of {asked}"
        );
    }
}
