//! P6: a planned stop interrupts no request in flight.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_bench::fleet::until;
use chestnutvalve_bench::load::{self, Call, Caller, Class, Plan, Verdict};
use tokio::time::sleep;

use crate::support::{self, STATE_TIMEOUT, archive, lookup, order};

#[derive(Clone, Copy, Debug)]
enum Stopped {
    Entry,
    Control,
    Worker,
}

/// Guards against a stop that interrupts long downloads, loses requests in flight or exits with an error.
#[rstest::rstest]
#[case::entry(Stopped::Entry)]
#[case::control(Stopped::Control)]
#[case::worker(Stopped::Worker)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_nothing(#[case] stopped: Stopped) {
    let fleet = support::start(support::layout()).await;
    // 123 chunks of 16 KiB with a delay of 50 ms before each: the download outlasts the time for which callers cache
    // addresses.
    let download = Class {
        size: 2_000_000,
        pace_ms: 50,
        ..archive()
    };
    let address = fleet.entries[0].callers;
    let caller = Arc::new(Caller::new(vec![address], true));
    let mut downloads = tokio::task::JoinSet::new();
    for number in 0..2 {
        let (caller, call) = (
            Arc::clone(&caller),
            Call::new(&download, format!("pull-{number}")),
        );
        downloads.spawn(async move { caller.call_at(&call, address).await });
    }
    until("the downloads running", STATE_TIMEOUT, async || {
        (fleet.counts().await.ok()?.executed >= 2).then_some(())
    })
    .await
    .unwrap();
    let classes = vec![lookup(), order()];
    let plan = Plan::new(fleet.callers(), classes, 100.0, Duration::from_secs(6));
    let loading = tokio::spawn(async move { load::run(&plan).await });
    sleep(Duration::from_secs(1)).await;
    let stopping: Vec<_> = match stopped {
        Stopped::Entry => vec![fleet.entries[0].process().unwrap()],
        Stopped::Control => vec![fleet.controls[0].process().unwrap()],
        Stopped::Worker => fleet.workers[..2]
            .iter()
            .map(|w| w.process().unwrap())
            .collect(),
    };
    for process in &stopping {
        process.terminate().unwrap();
    }
    while let Some(outcome) = downloads.join_next().await {
        let outcome = outcome.unwrap();
        assert_eq!(outcome.verdict, Verdict::Good, "{outcome:?}");
    }
    for process in &stopping {
        let status = process.wait_for_exit(STATE_TIMEOUT).await.unwrap();
        assert!(status.success(), "{status}");
    }
    let report = loading.await.unwrap().unwrap();
    print!("{}", report.table());
    assert_eq!(report.broken_responses(), 0, "{:?}", report.failures);
    let total = report.total();
    assert_eq!(
        total.error("draining"),
        0,
        "callers were rejected: {:?}",
        report.failures
    );
}
