//! P6: a planned stop cuts off no request in flight.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_bench::fleet::until;
use chestnutvalve_bench::load::{self, Call, Caller, Class, Plan, Verdict};
use tokio::time::sleep;

use crate::support::{self, SOON, archive, lookup, order};

#[derive(Clone, Copy, Debug)]
enum Stopped {
    Entry,
    Control,
    Worker,
}

/// Guards against a stop that cuts long archive pulls, loses requests in flight or ends with an error.
#[rstest::rstest]
#[case::entry(Stopped::Entry)]
#[case::control(Stopped::Control)]
#[case::worker(Stopped::Worker)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_nothing(#[case] stopped: Stopped) {
    let fleet = support::start(support::layout()).await;
    // 123 pieces of 16 KiB with 50 ms before each: the pull outlasts the time for which callers keep addresses.
    let pull = Class {
        size: 2_000_000,
        pace_ms: 50,
        ..archive()
    };
    let address = fleet.entries[0].callers;
    let caller = Arc::new(Caller::new(vec![address], true));
    let mut pulls = tokio::task::JoinSet::new();
    for number in 0..2 {
        let (caller, call) = (
            Arc::clone(&caller),
            Call::new(&pull, format!("pull-{number}")),
        );
        pulls.spawn(async move { caller.call_at(&call, address).await });
    }
    until("the pulls run", SOON, async || {
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
    while let Some(pulled) = pulls.join_next().await {
        let pulled = pulled.unwrap();
        assert_eq!(pulled.verdict, Verdict::Good, "{pulled:?}");
    }
    for process in &stopping {
        let status = process.wait_for_exit(SOON).await.unwrap();
        assert!(status.success(), "{status}");
    }
    let report = loading.await.unwrap().unwrap();
    print!("{}", report.table());
    assert_eq!(report.broken_responses(), 0, "{:?}", report.failures);
    let total = report.total();
    assert_eq!(
        total.error("draining"),
        0,
        "callers were sent away: {:?}",
        report.failures
    );
}
