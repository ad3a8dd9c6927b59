//! Fleet without injected faults: it serves all ranks, applies a change and loses an entry and a control instance.

use std::process::Command;
use std::time::Duration;

use chestnutvalve_bench::fleet::{TOKEN, until};
use chestnutvalve_bench::load::{self, Call, Caller, Plan, Verdict};
use chestnutvalve_model::rank::Rank;

use crate::support::{self, STATE_TIMEOUT, archive, lookup, order};

/// Guards against components that work in isolation but not together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_all_ranks_through_a_change_and_two_lost_instances() {
    let fleet = support::start(support::layout()).await;
    let classes = vec![lookup(), order(), archive()];
    let plan = Plan::new(
        fleet.callers(),
        classes.clone(),
        200.0,
        Duration::from_secs(5),
    );
    let loading = tokio::spawn(async move { load::run(&plan).await });

    let token = fleet.folder().join("operator-token");
    std::fs::write(&token, TOKEN).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutvalve"));
    for control in &fleet.controls {
        command.arg("--control").arg(control.operators.to_string());
    }
    command.arg("--token-file").arg(&token);
    command.args([
        "config",
        "apply",
        "--set",
        "timeout_ms=19000",
        "--author",
        "test",
    ]);
    command.args([
        "--reason",
        "seen in force at every entry",
        "--wait",
        "--wait-ms",
        "60000",
    ]);
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.unwrap().unwrap();
    assert!(output.status.success(), "{output:?}");
    let (version, document) = fleet.config(fleet.controls[0].operators).await.unwrap();
    assert_eq!(document.defaults.timeout_ms, 19_000);
    fleet.wait_in_force(version, STATE_TIMEOUT).await.unwrap();

    let report = loading.await.unwrap().unwrap();
    print!("{}", report.table());
    assert_eq!(report.total().due, 1_000);
    for rank in Rank::ALL {
        let row = report.row(rank);
        assert!(row.due > 100);
        assert!(
            row.errors.is_empty(),
            "{rank:?}: {:?} {:?}",
            row.errors,
            report.failures
        );
    }

    fleet.entries[0].kill();
    fleet.controls[0].kill();
    let caller = Caller::new(fleet.callers(), false);
    for class in &classes {
        until("a response after the kills", STATE_TIMEOUT, async || {
            let call = Call::new(class, format!("probe-{}", rand::random::<u64>()));
            (caller.call(&call).await.verdict == Verdict::Good).then_some(())
        })
        .await
        .unwrap();
    }
    let mut plan = Plan::new(fleet.callers(), classes, 100.0, Duration::from_secs(3));
    plan.name = "after".into();
    let report = load::run(&plan).await.unwrap();
    assert!(report.total().errors.is_empty(), "{:?}", report.failures);
}

/// Prints the latency that the fleet adds. The limit of 3 ms depends on the load of the machine, so
/// `chestnutvalve-bench scenario` checks it instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prints_the_added_latency() {
    let fleet = support::start(support::layout()).await;
    let through = Plan::new(
        fleet.callers(),
        vec![lookup()],
        100.0,
        Duration::from_secs(3),
    );
    let workers = fleet.workers.iter().map(|w| w.address).collect();
    let mut direct = Plan::new(workers, vec![lookup()], 100.0, Duration::from_secs(3));
    direct.direct = true;
    direct.name = "direct".into();
    let (through, direct) = (
        load::run(&through).await.unwrap(),
        load::run(&direct).await.unwrap(),
    );
    let (through, direct) = (through.row(Rank::Top), direct.row(Rank::Top));
    for quantile in [0.5, 0.99] {
        let (a, b) = (through.quantile_ms(quantile), direct.quantile_ms(quantile));
        println!(
            "quantile {quantile}: through an entry {a:.2} ms, direct {b:.2} ms, added {:.2} ms",
            a - b
        );
    }
    assert!(through.errors.is_empty(), "{:?}", through.errors);
}
