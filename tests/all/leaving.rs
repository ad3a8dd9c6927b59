//! P5: an upstream that is leaving receives no new work after 3 s.

use std::time::Duration;

use chestnutvalve_bench::forward::Mode;
use chestnutvalve_bench::load::{self, Class, Plan};
use chestnutvalve_bench::worker::Fault;
use tokio::time::sleep;

use crate::support::{self, SOON, lookup, order};

/// The stated bound, in milliseconds.
const BOUND_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// The worker stops announcing and tells nobody.
    Mute,
    /// Entries can't reach each other, and the withdrawal reaches one entry only.
    Cut,
    /// One entry is frozen while the worker leaves without telling, and has requests waiting when it resumes.
    FrozenEntry,
    /// The worker was frozen just before it leaves.
    FrozenWorker,
    /// Everything is in order.
    None,
}

/// Guards against entries that go on sending work to a worker whose withdrawal they did not hear.
#[rstest::rstest]
#[case::mute(Trouble::Mute)]
#[case::cut(Trouble::Cut)]
#[case::frozen_entry(Trouble::FrozenEntry)]
#[case::frozen_worker(Trouble::FrozenWorker)]
#[case::calm(Trouble::None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_worker_gets_no_work_after_the_bound(#[case] trouble: Trouble) {
    let mut layout = support::layout();
    layout.links = true;
    // Entries prefer workers of their own zone; here every entry has to use the leaving worker.
    layout.zones = vec!["z1".into()];
    layout.services[0].drain_ms = 8_000;
    let fleet = support::start(layout).await;
    // One load for each entry, because callers would leave a silent entry.
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
    assert!(before.executed > 0, "the worker had no work before it left");
    let frozen = fleet.entries[1].process().unwrap();
    let mute = Fault {
        mute: true,
        ..Fault::default()
    };
    match trouble {
        Trouble::Mute => worker.set_fault(&fleet.http, &mute).await.unwrap(),
        Trouble::Cut => {
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
        Trouble::FrozenEntry => {
            worker.set_fault(&fleet.http, &mute).await.unwrap();
            frozen.freeze().unwrap();
        }
        Trouble::FrozenWorker => {
            worker.process().unwrap().freeze().unwrap();
            sleep(Duration::from_millis(1_500)).await;
        }
        Trouble::None => {}
    }
    worker.process().unwrap().terminate().unwrap();
    if trouble == Trouble::FrozenWorker {
        worker.process().unwrap().resume().unwrap();
    }
    if trouble == Trouble::FrozenEntry {
        sleep(Duration::from_millis(3_500)).await;
        frozen.resume().unwrap();
    }
    while let Some(report) = loads.join_next().await {
        print!("{}", report.unwrap().unwrap().table());
    }
    worker.process().unwrap().wait_for_exit(SOON).await.unwrap();
    let counts = worker.counts(&fleet.http).await.unwrap();
    assert!(
        counts.executed >= before.executed,
        "the worker printed no counts"
    );
    let last = counts.after_leaving_ms.iter().max().copied().unwrap_or(0);
    println!(
        "{trouble:?}: {} executions before, {} in all, {} arrivals after the start of leaving, the last after {last} ms",
        before.executed,
        counts.executed,
        counts.after_leaving_ms.len()
    );
    assert!(
        last < BOUND_MS,
        "work arrived {last} ms after the start of leaving"
    );
}
