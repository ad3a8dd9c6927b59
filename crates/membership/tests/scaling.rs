//! Number of owners of a service as its load changes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_membership::scaling::{MAX_OWNERS, OwnerScaler};
use chestnutvalve_model::id::Service;
use rstest::rstest;

fn service() -> Service {
    Service::new("desk").unwrap()
}

/// Applies a constant rate for `seconds`, updates `recorded`, and returns how often the number of owners changed.
fn apply_rate(
    scaler: &mut OwnerScaler,
    recorded: &mut BTreeMap<Service, u8>,
    from: Instant,
    rate: u32,
    seconds: u64,
) -> usize {
    let rates = BTreeMap::from([(service(), rate)]);
    let mut changes = 0;
    for second in 0..seconds {
        let now = from + Duration::from_secs(second);
        for (service, owners) in scaler.changes(now, &rates, recorded) {
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

/// Guards against too few owners for a busy service, and against a record for every quiet service.
#[rstest]
#[case::quiet(50, None)]
#[case::covered_by_the_minimum(400, None)]
#[case::busy(1_000, Some(6))]
#[case::at_the_maximum(1_000_000, Some(MAX_OWNERS))]
fn owners_follow_load(#[case] rate: u32, #[case] expected: Option<u8>) {
    let (mut scaler, mut recorded) = (OwnerScaler::default(), BTreeMap::new());
    apply_rate(&mut scaler, &mut recorded, Instant::now(), rate, 5);
    assert_eq!(recorded.get(&service()).copied(), expected);
}

/// Guards against removing and adding owners at every pause of the load, which would move workers back and forth.
#[test]
fn owners_are_removed_only_after_a_long_pause() {
    let (mut scaler, mut recorded) = (OwnerScaler::default(), BTreeMap::new());
    let start = Instant::now();
    assert_eq!(apply_rate(&mut scaler, &mut recorded, start, 1_000, 10), 1);
    let pause = start + Duration::from_secs(10);
    assert_eq!(apply_rate(&mut scaler, &mut recorded, pause, 0, 59), 0);
    let again = start + Duration::from_secs(70);
    assert_eq!(apply_rate(&mut scaler, &mut recorded, again, 1_000, 10), 0);
    let end = start + Duration::from_secs(80);
    assert_eq!(apply_rate(&mut scaler, &mut recorded, end, 0, 90), 1);
    assert!(recorded.is_empty());
}
