//! Short soak test under faults with fixed seeds; `chestnutvalve-bench soak` runs longer ones.

use std::time::Duration;

use chestnutvalve_bench::soak;

use crate::support;

/// Guards against promises that are broken under successive and overlapping faults.
#[rstest::rstest]
#[case::first(1)]
#[case::second(2)]
#[case::third(3)]
#[case::fourth(4)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults(#[case] seed: u64) {
    let _permit = support::acquire_permit().await;
    let report = soak::run(&support::programs(), seed, Duration::from_secs(6), 1).await;
    let report = report.expect("the fleet can be started and controlled");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.good > 0 && report.changes > 0, "{report:#?}");
}
