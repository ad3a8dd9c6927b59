//! P5: an upstream that is leaving receives no new requests after 3 s.

use std::time::Duration;

use chestnutvalve_bench::forward::Mode;
use chestnutvalve_bench::load::{self, Class, Plan};
use chestnutvalve_bench::worker::Fault;
use tokio::time::sleep;

use crate::support::{self, STATE_TIMEOUT, lookup, order};

/// Maximum time from the start of leaving to the last request.
const MAX_ARRIVAL_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Disruption {
    /// The worker stops announcing itself and does not send its withdrawal.
    Mute,
    /// Entries can't reach each other, and the withdrawal reaches only one of them.
    Cut,
    /// One entry is frozen while the worker leaves without a withdrawal, and has requests waiting when it resumes.
    FrozenEntry,
    /// The worker is frozen just before it leaves.
    FrozenWorker,
    /// No fault.
    None,
}

/// Guards against entries that keep sending requests to a worker whose withdrawal they did not receive.
#[rstest::rstest]
#[case::mute(Disruption::Mute)]
#[case::cut(Disruption::Cut)]
#[case::frozen_entry(Disruption::FrozenEntry)]
#[case::frozen_worker(Disruption::FrozenWorker)]
#[case::calm(Disruption::None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_worker_gets_no_work_after_the_bound(#[case] disruption: Disruption) {
    let mut layout = support::layout();
    layout.links = true;
    // Entries prefer workers in their own zone. A single zone makes every entry use the leaving worker.
    layout.zones = vec!["z1".into()];
    layout.services[0].drain_ms = 8_000;
    let fleet = support::start(layout).await;
    // Each entry has its own load, because callers would switch away from an unresponsive entry.
    let mut loads = tokio::task::JoinSet::new();
    for entry in &fleet.entries {
        let classes = [
            lookup(),
            Class {
                key: false,
                ..order()
            },
        ];
        let classes = classes.map(|c| Class {
            deadline_ms: 6_000,
            ..c
        });
        let mut plan = Plan::new(
            vec![entry.callers],
            classes.to_vec(),
            40.0,
            Duration::from_secs(9),
        );
        plan.direct = true;
        plan.name.clone_from(&entry.name);
        loads.spawn(async move { load::run(&plan).await });
    }
    sleep(Duration::from_secs(2)).await;
    let worker = &fleet.workers[0];
    let before = worker.counts(&fleet.http).await.unwrap();
    assert!(
        before.executed > 0,
        "the worker executed no request before it left"
    );
    let frozen = fleet.entries[1].process().unwrap();
    let mute = Fault {
        mute: true,
        ..Fault::default()
    };
    match disruption {
        Disruption::Mute => worker.set_fault(&fleet.http, &mute).await.unwrap(),
        Disruption::Cut => {
            for (at, entry) in fleet.entries.iter().enumerate() {
                fleet
                    .forwarder(&format!("{}-peers", entry.name))
                    .unwrap()
                    .set_mode(Mode::partition());
                if at > 0 {
                    fleet
                        .forwarder(&format!("{}-platform", entry.name))
                        .unwrap()
                        .set_mode(Mode::partition());
                }
            }
        }
        Disruption::FrozenEntry => {
            worker.set_fault(&fleet.http, &mute).await.unwrap();
            frozen.freeze().unwrap();
        }
        Disruption::FrozenWorker => {
            worker.process().unwrap().freeze().unwrap();
            sleep(Duration::from_millis(1_500)).await;
        }
        Disruption::None => {}
    }
    worker.process().unwrap().terminate().unwrap();
    if disruption == Disruption::FrozenWorker {
        worker.process().unwrap().resume().unwrap();
    }
    if disruption == Disruption::FrozenEntry {
        sleep(Duration::from_millis(3_500)).await;
        frozen.resume().unwrap();
    }
    while let Some(report) = loads.join_next().await {
        print!("{}", report.unwrap().unwrap().table());
    }
    worker
        .process()
        .unwrap()
        .wait_for_exit(STATE_TIMEOUT)
        .await
        .unwrap();
    let counts = worker.counts(&fleet.http).await.unwrap();
    assert!(
        counts.executed >= before.executed,
        "the worker reported no counts"
    );
    let last = counts.after_leaving_ms.iter().max().copied().unwrap_or(0);
    println!(
        "{disruption:?}: {} executions before, {} in all, {} arrivals after the start of leaving, the last after {last} ms",
        before.executed,
        counts.executed,
        counts.after_leaving_ms.len()
    );
    assert!(
        last < MAX_ARRIVAL_MS,
        "a request arrived {last} ms after the start of leaving"
    );
}
