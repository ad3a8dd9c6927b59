//! P3: a request reported to its caller as not executed was not executed.

use std::time::Duration;

use chestnutvalve_bench::fleet::until;
use chestnutvalve_bench::forward::{Flow, Mode};
use chestnutvalve_bench::load::{self, Class, Plan};
use chestnutvalve_bench::worker::Fault;
use rand::RngExt;
use tokio::time::sleep;

use crate::support::{self, Running, STATE_TIMEOUT, lookup, order};

/// Deadline that the injected delays exceed.
const SHORT_DEADLINE_MS: u32 = 400;

/// Name of the load whose requests are executed at most once.
const AT_MOST_ONCE: &str = "once";

#[derive(Clone, Copy, Debug)]
enum Disruption {
    Reset,
    ResponsesLost,
    RequestsLost,
    Frozen,
    Slow,
    Truncated,
    Full,
    FullAndReset,
}

async fn set_disruption(fleet: &Running, disruption: Disruption, worker: usize, on: bool) {
    let node = &fleet.workers[worker];
    let link = fleet.forwarder(&node.name).unwrap();
    let mode = match disruption {
        Disruption::Reset | Disruption::FullAndReset => Mode {
            to_origin: Flow {
                reset_after: 1,
                ..Flow::default()
            },
            ..Mode::default()
        },
        Disruption::ResponsesLost => Mode::drop_responses(),
        Disruption::RequestsLost => Mode::drop_requests(),
        Disruption::Frozen => {
            let process = node.process().unwrap();
            if on {
                process.freeze()
            } else {
                process.resume()
            }
            .unwrap();
            return;
        }
        Disruption::Slow | Disruption::Truncated => {
            let mut fault = Fault::default();
            if on {
                fault.slow_ms = u64::from(SHORT_DEADLINE_MS) + 200;
                fault.slow_percent = if matches!(disruption, Disruption::Slow) {
                    50.0
                } else {
                    0.0
                };
                fault.truncate_percent = if matches!(disruption, Disruption::Truncated) {
                    50.0
                } else {
                    0.0
                };
            }
            node.set_fault(&fleet.http, &fault).await.unwrap();
            return;
        }
        Disruption::Full => return,
    };
    link.set_mode(if on { mode } else { Mode::default() });
}

/// Guards against an entry that reports a request as not executed although its bytes reached a worker, and against a second
/// dispatch of a request that is executed at most once (P4, also without a key).
#[rstest::rstest]
#[case::reset(31, Disruption::Reset)]
#[case::answers_lost(32, Disruption::ResponsesLost)]
#[case::requests_lost(33, Disruption::RequestsLost)]
#[case::frozen_worker(34, Disruption::Frozen)]
#[case::slow(35, Disruption::Slow)]
#[case::truncated(36, Disruption::Truncated)]
#[case::full(37, Disruption::Full)]
#[case::full_and_reset(38, Disruption::FullAndReset)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn not_executed_is_true(#[case] seed: u64, #[case] disruption: Disruption) {
    let mut random = support::random(seed);
    let mut layout = support::layout();
    layout.links = true;
    let full = matches!(disruption, Disruption::Full | Disruption::FullAndReset);
    layout.services[0].work_ms = if full { 40 } else { 5 };
    let fleet = support::start(layout).await;
    let keyless = Class {
        key: false,
        ..order()
    };
    let short = |c: Class| Class {
        deadline_ms: SHORT_DEADLINE_MS,
        ..c
    };
    let rate = if full { 150.0 } else { 50.0 };
    let mut loads = tokio::task::JoinSet::new();
    for (name, classes, rate) in [
        ("lookup", vec![short(lookup())], rate),
        (
            AT_MOST_ONCE,
            vec![short(order()), short(keyless)],
            2.0 * rate,
        ),
    ] {
        let mut plan = Plan::new(fleet.callers(), classes, rate, Duration::from_secs(5));
        plan.seed = seed;
        plan.name = name.into();
        loads.spawn(async move { load::run(&plan).await });
    }
    for _ in 0..8 {
        let worker = random.random_range(0..fleet.workers.len());
        set_disruption(&fleet, disruption, worker, true).await;
        sleep(Duration::from_millis(random.random_range(200..600))).await;
        set_disruption(&fleet, disruption, worker, false).await;
    }
    let (mut denied, mut good) = (Vec::new(), 0);
    while let Some(report) = loads.join_next().await {
        let report = report.unwrap().unwrap();
        print!("{}", report.table());
        good += report.total().good;
        denied.extend(report.not_executed);
    }
    // Requests delayed by a fault may still be executed now.
    sleep(Duration::from_secs(1)).await;
    let counts = until("idle workers", STATE_TIMEOUT, async || {
        let counts = fleet.counts().await.ok()?;
        (counts.executed == counts.finished + counts.cancelled).then_some(counts)
    });
    let counts = counts.await.unwrap();
    let reported = denied.len();
    println!(
        "{reported} reported as not executed, {} executions",
        counts.executed
    );
    denied.retain(|id| counts.requests.contains_key(id));
    assert!(
        denied.is_empty(),
        "reported as not executed, but executed: {denied:?}"
    );
    let once = counts
        .requests
        .iter()
        .filter(|(id, _)| id.starts_with(AT_MOST_ONCE));
    let twice: Vec<_> = once.filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "executed more than once: {twice:?}");
    assert!(good > 0);
    assert!(
        !full || reported > 0,
        "no request was rejected although the load exceeds four workers"
    );
}
