//! Worker registry: incarnations, tokens, digests and size limits.

use std::time::{Duration, Instant};

use chestnutvalve_membership::worker::{
    Announcement, MAX_PER_SERVICE, MAX_TOTAL, Registry, SILENCE_TIMEOUT,
};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::{Entry, Incarnation, Service, Worker, Zone};
use rstest::rstest;

fn service() -> Service {
    Service::new("kasa").unwrap()
}

fn worker() -> Worker {
    Worker::new("w1").unwrap()
}

fn registry(entry: &str, incarnation: u64) -> Registry {
    Registry::new(Entry::new(entry).unwrap(), Incarnation(incarnation))
}

fn announcement(incarnation: u64, token: Option<String>) -> Announcement {
    Announcement {
        service: service(),
        worker: worker(),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:9001".parse().unwrap(),
        zone: Zone::new("sofia-1").unwrap(),
        slots: 2,
        load: 0,
        token,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against dating a proof from the arrival of the renewal, by which a delayed renewal would extend it.
#[test]
fn proof_dates_from_the_issue_of_the_token() {
    let start = Instant::now();
    let mut registry = registry("e1", 1);
    let token = registry.announce(start, &announcement(1, None)).unwrap();
    assert!(!registry.has_proof(start, &service(), &worker()));
    let late = start + ms(2_700);
    registry
        .announce(late, &announcement(1, Some(token)))
        .unwrap();
    assert!(registry.has_proof(late, &service(), &worker()));
    let last = start + ms(2_799);
    assert!(registry.has_proof(last, &service(), &worker()));
    assert!(!registry.has_proof(last + ms(1), &service(), &worker()));
}

/// Guards against accepting a token of another process, or of an earlier incarnation of the worker, as a proof.
#[rstest]
#[case::another_entry("e2", 1, 1)]
#[case::earlier_incarnation_of_the_entry("e1", 0, 1)]
#[case::earlier_incarnation_of_the_worker("e1", 1, 2)]
fn foreign_token_proves_nothing(
    #[case] entry: &str,
    #[case] incarnation: u64,
    #[case] worker_incarnation: u64,
) {
    let now = Instant::now();
    let mut local = registry("e1", 1);
    let mut issuer = registry(entry, incarnation);
    let own = local.announce(now, &announcement(1, None)).unwrap();
    let foreign = issuer.announce(now, &announcement(1, None)).unwrap();
    let token = if worker_incarnation == 1 {
        foreign
    } else {
        own
    };
    local
        .announce(now, &announcement(worker_incarnation, Some(token)))
        .unwrap();
    assert!(!local.has_proof(now, &service(), &worker()));
}

/// Guards against a malformed token that makes the renewal fail or that counts as a proof.
#[rstest]
#[case("")]
#[case("1/1")]
#[case("1/1/e1/")]
#[case("-1/1/e1")]
#[case("ffffffffffffffffff/1/e1")]
fn malformed_token_proves_nothing(#[case] token: &str) {
    let now = Instant::now();
    let mut registry = registry("e1", 1);
    registry.announce(now, &announcement(1, None)).unwrap();
    let renewal = announcement(1, Some(token.to_owned()));
    assert!(registry.announce(now, &renewal).is_ok());
    assert!(!registry.has_proof(now, &service(), &worker()));
}

/// Guards against a withdrawn or replaced incarnation that registers again, in any order of messages.
#[rstest]
#[case::withdrawn(1, Some(1), false)]
#[case::before_the_withdrawn(0, Some(1), false)]
#[case::after_the_withdrawn(2, Some(1), true)]
#[case::older_than_known(0, None, false)]
#[case::same_as_known(1, None, true)]
fn withdrawn_or_older_incarnations_are_refused(
    #[case] incarnation: u64,
    #[case] withdrawn: Option<u64>,
    #[case] accepted: bool,
) {
    let now = Instant::now();
    let mut registry = registry("e1", 1);
    registry.announce(now, &announcement(1, None)).unwrap();
    if let Some(withdrawn) = withdrawn {
        registry.withdraw(now, &service(), &worker(), Incarnation(withdrawn));
    }
    let answer = registry.announce(now, &announcement(incarnation, None));
    assert_eq!(answer.is_ok(), accepted);
    if !accepted {
        assert_eq!(answer.unwrap_err().kind, Kind::BadRequest);
    }
}

/// Guards against losing a withdrawal that arrives before the announcement or through another entry.
#[test]
fn withdrawal_before_the_announcement_takes_effect_and_spreads() {
    let now = Instant::now();
    let (mut first, mut second) = (registry("e1", 1), registry("e2", 1));
    first.withdraw(now, &service(), &worker(), Incarnation(1));
    let token = second.announce(now, &announcement(1, None)).unwrap();
    second.announce(now, &announcement(1, Some(token))).unwrap();
    first.merge(now, now, &second.digest(now, &[service()]));
    assert!(first.workers(&service()).is_empty());
    second.merge(now, now, &first.digest(now, &[service()]));
    assert!(!second.has_proof(now, &service(), &worker()));
    let answer = Instant::now();
    second.record_proof(&service(), &worker(), Incarnation(1), answer);
    assert!(!second.has_proof(answer, &service(), &worker()));
}

/// Guards against a digest that makes a proof younger in transit, and against two entries that keep a dead worker
/// registered by exchanging digests.
#[test]
fn digest_ages_count_from_the_request() {
    let start = Instant::now();
    let (mut first, mut second) = (registry("e1", 1), registry("e2", 1));
    let token = first.announce(start, &announcement(1, None)).unwrap();
    first
        .announce(start, &announcement(1, Some(token)))
        .unwrap();
    let digest = first.digest(start + ms(1_000) + Duration::from_micros(1), &[service()]);
    assert_eq!(digest.workers[0].proof_age_ms, Some(1_001));
    // Requested 200 ms before the digest was built, received 500 ms after.
    second.merge(start + ms(800), start + ms(1_500), &digest);
    let last = start + ms(2_598);
    assert!(second.has_proof(last, &service(), &worker()));
    assert!(!second.has_proof(last + ms(1), &service(), &worker()));

    let mut now = start;
    while now < start + SILENCE_TIMEOUT + ms(1_000) {
        now += ms(600);
        let digest = second.digest(now, &[service()]);
        first.merge(now, now, &digest);
        let digest = first.digest(now, &[service()]);
        second.merge(now, now, &digest);
        second.expire(now);
        first.expire(now);
    }
    assert!(first.workers(&service()).is_empty() && second.workers(&service()).is_empty());
}

/// Guards against unbounded growth from announcements and withdrawals under invented names.
#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut registry = registry("e1", 1);
    let mut refused = 0;
    for index in 0..MAX_TOTAL + 2 * MAX_PER_SERVICE {
        let mut a = announcement(1, None);
        a.service = Service::new(&format!("s{}", index / (MAX_PER_SERVICE + 1))).unwrap();
        a.worker = Worker::new(&format!("w{index}")).unwrap();
        refused += usize::from(registry.announce(now, &a).is_err());
        registry.withdraw(now, &a.service, &a.worker, Incarnation(1));
    }
    assert!(refused >= 2 * MAX_PER_SERVICE);
    assert_eq!(registry.expire(now + SILENCE_TIMEOUT).len(), MAX_TOTAL);
    assert!(registry.announce(now, &announcement(1, None)).is_ok());
}
