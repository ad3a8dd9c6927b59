//! Number of owners by load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_membership::scaling::{MAX_OWNERS, OwnerScaler};
use chestnutvalve_model::id::Service;
use rstest::rstest;

fn service() -> Service {
    Service::new("desk").unwrap()
}

/// Lets a constant rate act for `seconds` and returns the recorded number of owners and how often it changed.
fn run(
    sizes: &mut OwnerScaler,
    recorded: &mut BTreeMap<Service, u8>,
    from: Instant,
    rate: u32,
    seconds: u64,
) -> usize {
    let rates = BTreeMap::from([(service(), rate)]);
    let mut changes = 0;
    for second in 0..seconds {
        let now = from + Duration::from_secs(second);
        for (service, owners) in sizes.changes(now, &rates, recorded) {
            changes += 1;
            if owners == 0 {
                recorded.remove(&service);
            } else {
                recorded.insert(service, owners);
            }
        }
    }
    changes
}

/// Guards against a hot service that keeps the owners of a quiet one, and against a record for each quiet service.
#[rstest]
#[case::quiet(50, None)]
#[case::carried_by_the_minimum(400, None)]
#[case::hot(1_000, Some(6))]
#[case::hottest(1_000_000, Some(MAX_OWNERS))]
fn owners_follow_the_load(#[case] rate: u32, #[case] expected: Option<u8>) {
    let (mut sizes, mut recorded) = (OwnerScaler::default(), BTreeMap::new());
    run(&mut sizes, &mut recorded, Instant::now(), rate, 5);
    assert_eq!(recorded.get(&service()).copied(), expected);
}

/// Guards against owners that come and go with each pause of the load, which would move workers back and forth.
#[test]
fn short_pause_changes_nothing_and_a_long_one_removes_the_owners() {
    let (mut sizes, mut recorded) = (OwnerScaler::default(), BTreeMap::new());
    let start = Instant::now();
    assert_eq!(run(&mut sizes, &mut recorded, start, 1_000, 10), 1);
    let pause = start + Duration::from_secs(10);
    assert_eq!(run(&mut sizes, &mut recorded, pause, 0, 59), 0);
    let again = start + Duration::from_secs(70);
    assert_eq!(run(&mut sizes, &mut recorded, again, 1_000, 10), 0);
    let end = start + Duration::from_secs(80);
    assert_eq!(run(&mut sizes, &mut recorded, end, 0, 90), 1);
    assert!(recorded.is_empty());
}
