//! P1: ejection keeps the minimum share of workers in use, across the whole fleet.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutvalve_bench::fleet::node::ejected_workers;
use chestnutvalve_bench::load::{self, Class, Plan};
use chestnutvalve_bench::worker::Fault;
use tokio::time::{Instant, sleep};

use crate::once::leader;
use crate::support::{self, Running, SERVICE, lookup};

/// Time after which the leader is killed even if fewer workers than allowed are ejected.
const LATEST_LEADER_KILL: Duration = Duration::from_secs(14);
/// 30% of 10 workers: the default floor is 70%.
const MAX_EJECTED: usize = 3;

async fn ejected(fleet: &Running) -> Vec<BTreeSet<String>> {
    let mut all = Vec::new();
    for entry in &fleet.entries {
        let status = fleet.entry_status(entry).await.unwrap_or_default();
        all.push(ejected_workers(&status, SERVICE));
    }
    all
}

/// Guards against entries that together eject more workers than a single entry may, also after the loss of the leader that
/// grants ejections.
#[rstest::rstest]
#[case::calm(false)]
#[case::leader_lost(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_floor_holds_across_entries(#[case] lose_leader: bool) {
    let mut layout = support::layout();
    layout.services[0].workers = 10;
    let mut fleet = support::start(layout).await;
    // The leader grants nothing in its first 12 s.
    let failing = Fault {
        fail_percent: 100.0,
        ..Fault::default()
    };
    for worker in &fleet.workers[..6] {
        worker.set_fault(&fleet.http, &failing).await.unwrap();
    }
    let classes = vec![Class {
        deadline_ms: 2_000,
        ..lookup()
    }];
    let plan = Plan::new(fleet.callers(), classes, 250.0, Duration::from_secs(30));
    let loading = tokio::spawn(async move { load::run(&plan).await });
    let (mut max_ejected, mut killed_leader) = (0, None);
    let start = Instant::now();
    let mut before = ejected(&fleet).await;
    while start.elapsed() < Duration::from_secs(29) {
        sleep(Duration::from_millis(100)).await;
        let now = ejected(&fleet).await;
        // A worker reported as ejected both before and after an instant was ejected at that instant.
        let ejected_now = before.iter().zip(&now).flat_map(|(b, n)| b & n);
        let ejected_now: BTreeSet<_> = ejected_now.collect();
        assert!(
            ejected_now.len() <= MAX_EJECTED,
            "ejected at one instant: {ejected_now:?}"
        );
        max_ejected = max_ejected.max(ejected_now.len());
        before = now;
        let due =
            max_ejected == MAX_EJECTED || max_ejected > 0 && start.elapsed() > LATEST_LEADER_KILL;
        if lose_leader && killed_leader.is_none() && due {
            killed_leader = leader(&fleet).await;
            if let Some(at) = killed_leader {
                fleet.controls[at].kill();
                fleet.controls[at].start().unwrap();
            }
        }
    }
    let report = loading.await.unwrap().unwrap();
    print!("{}", report.table());
    println!("at most {max_ejected} workers ejected at one instant");
    assert!(
        max_ejected > 0,
        "no worker was ejected, so the floor was not tested"
    );
    assert!(
        !lose_leader || killed_leader.is_some(),
        "no leader was killed_leader"
    );
}
