//! Ejection grants: the floor over the whole fleet, sharing, renewal and a change of the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use chestnutvalve_membership::grant::{GRANT_TTL, Grants, REPORT_TTL};
use chestnutvalve_model::control::EjectionRequest;
use chestnutvalve_model::id::{Entry, Service, Worker};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const FLOOR: u8 = 70;

fn workers(numbers: impl IntoIterator<Item = u32>) -> Vec<Worker> {
    let name = |n| Worker::new(&format!("w{n}")).unwrap();
    numbers.into_iter().map(name).collect()
}

/// EjectionRequest of an entry that sees workers 0 to 9.
fn ask(entry: u32, eject: &[u32], held: &[u32]) -> EjectionRequest {
    EjectionRequest {
        entry: Entry::new(&format!("e{entry}")).unwrap(),
        service: Service::new("kasa").unwrap(),
        registered: workers(0..10),
        eligible: workers(0..10),
        eject: workers(eject.iter().copied()),
        held: workers(held.iter().copied()),
        floor_percent: FLOOR,
    }
}

/// Returns the grants of a leader that has recovered, and its time.
fn recovered() -> (Grants, Instant) {
    let start = Instant::now();
    (Grants::new(start), start + Duration::from_secs(12))
}

/// Guards against entries that together eject more than the floor allows, and against counting shared grants twice.
#[test]
fn the_floor_holds_over_all_entries() {
    let (mut grants, now) = recovered();
    assert_eq!(
        grants.decide(now, &ask(1, &[0, 1], &[])).workers,
        workers([0, 1])
    );
    assert_eq!(
        grants.decide(now, &ask(2, &[1, 2, 3], &[])).workers,
        workers([1, 2])
    );
    assert_eq!(
        grants.decide(now, &ask(3, &[4, 0, 2], &[])).workers,
        workers([0, 2])
    );
    let expired = now + GRANT_TTL;
    assert_eq!(
        grants.decide(expired, &ask(3, &[4], &[])).workers,
        workers([4])
    );
}

/// Guards against a grant that counts workers which another entry can't use, or leaves out workers only it knows.
#[test]
fn every_report_counts() {
    let (mut grants, now) = recovered();
    let mut partial = ask(1, &[], &[]);
    partial.eligible = workers(1..9);
    grants.decide(now, &partial);
    assert_eq!(
        grants.decide(now, &ask(2, &[1, 2], &[])).workers,
        workers([1])
    );
    partial.registered = workers(0..11);
    grants.decide(now, &partial);
    assert!(grants.decide(now, &ask(3, &[3], &[])).workers.is_empty());
    let later = now + REPORT_TTL;
    assert_eq!(
        grants.decide(later, &ask(2, &[1, 2, 3], &[])).workers,
        workers([1, 2, 3])
    );
}

/// Guards against renewals that keep the floor broken after workers were lost.
#[test]
fn lost_workers_take_the_latest_grants_back() {
    let (mut grants, now) = recovered();
    grants.decide(now, &ask(1, &[5, 0, 1], &[]));
    let mut report = ask(2, &[5], &[]);
    report.eligible = workers(0..8);
    // Only 5 workers are left until the first holder has heard that two grants are taken back.
    assert!(grants.decide(now, &report).workers.is_empty());
    assert_eq!(
        grants.decide(now, &ask(1, &[5, 0, 1], &[5, 0, 1])).workers,
        workers([5])
    );
    let later = now + Duration::from_secs(9);
    assert_eq!(
        grants.decide(later, &ask(1, &[5, 0], &[5])).workers,
        workers([5])
    );
    assert_eq!(
        grants.decide(later, &ask(2, &[5, 2], &[])).workers,
        workers([5])
    );
    let expired = now + GRANT_TTL;
    assert_eq!(
        grants.decide(expired, &ask(2, &[5, 2], &[5])).workers,
        workers([5, 2])
    );
}

/// Guards against a new leader that grants before it knows the grants of its predecessor.
#[test]
fn a_new_leader_only_confirms() {
    let start = Instant::now();
    let mut grants = Grants::new(start);
    assert!(grants.decide(start, &ask(1, &[0], &[])).workers.is_empty());
    assert_eq!(
        grants.decide(start, &ask(2, &[1, 2], &[1])).workers,
        workers([1])
    );
    let last = start + Duration::from_millis(11_999);
    assert!(grants.decide(last, &ask(1, &[0], &[])).workers.is_empty());
    let recovered = start + Duration::from_secs(12);
    assert_eq!(
        grants.decide(recovered, &ask(1, &[0], &[])).workers,
        workers([0])
    );
}

/// Runs 200 asks of four entries with different views, lost answers and changes of the leader. Returns the number of
/// new ejections, or the first that broke the floor.
fn run(seed: u64, loss: f64) -> Result<u32, String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut grants = Grants::new(now);
    let mut reports: BTreeMap<u32, (Instant, BTreeSet<Worker>, BTreeSet<Worker>)> = BTreeMap::new();
    let mut live: BTreeMap<u32, BTreeMap<Worker, Instant>> = BTreeMap::new();
    let mut ejected = 0;
    for _ in 0..200 {
        let asked_at = now;
        now += Duration::from_millis(random.random_range(0..1_500));
        if random.random_bool(0.01) {
            grants = Grants::new(now);
        }
        let entry = random.random_range(0..4);
        let held = live.entry(entry).or_default();
        held.retain(|_, until| asked_at < *until);
        let mut ask = ask(entry, &[], &[]);
        ask.registered = workers((0..12).filter(|_| random.random_bool(0.95)));
        ask.eligible = ask.registered.clone();
        ask.eligible.retain(|_| random.random_bool(0.97));
        ask.eject = workers((0..12).filter(|n| random.random_bool(if *n < 3 { 0.8 } else { 0.1 })));
        ask.held = held.keys().cloned().collect();
        let registered = ask.registered.iter().cloned().collect();
        let eligible = ask.eligible.iter().cloned().collect();
        reports.insert(entry, (now, registered, eligible));
        reports.retain(|_, (at, ..)| now.saturating_duration_since(*at) < REPORT_TTL);
        let answer = grants.decide(now, &ask);
        let before: BTreeSet<Worker> = live
            .values()
            .flat_map(|held| held.iter().filter(|(_, until)| now < **until))
            .map(|(worker, _)| worker.clone())
            .collect();
        let new = answer
            .workers
            .iter()
            .filter(|w| !before.contains(*w) && !ask.held.contains(*w));
        let new: BTreeSet<Worker> = new.cloned().collect();
        if !new.is_empty() {
            ejected += new.len();
            let union: BTreeSet<&Worker> = reports.values().flat_map(|r| &r.1).collect();
            let usable = union
                .iter()
                .filter(|w| reports.values().all(|r| r.2.contains(**w)));
            let left = usable
                .filter(|w| !before.contains(**w) && !new.contains(**w))
                .count();
            if left * 100 < usize::from(FLOOR) * union.len() {
                return Err(format!("{new:?} leave {left} of {}", union.len()));
            }
        }
        if !random.random_bool(loss) {
            let until = asked_at + GRANT_TTL;
            let answered = answer.workers.into_iter().map(|w| (w, until));
            live.insert(entry, answered.collect());
        }
    }
    Ok(u32::try_from(ejected).unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(150) })]

    /// Guards against any order of reports, lost answers and leader changes that ejects beyond the floor.
    #[test]
    fn no_new_ejection_breaks_the_floor(seed: u64, loss in 0.0..0.6) {
        prop_assert!(run(seed, loss).is_ok(), "{:?}", run(seed, loss));
    }
}

/// Guards against the floor holding only because nothing is ever granted.
#[test]
fn ejections_are_granted() {
    let ejected: u32 = (0..20).map(|seed| run(seed, 0.1).unwrap()).sum();
    assert!(ejected > 20, "{ejected} ejections in 20 runs");
}
