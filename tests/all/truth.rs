//! P3: a request that a caller was told was not executed did not run.

use std::time::Duration;

use chestnutvalve_bench::fleet::until;
use chestnutvalve_bench::forward::{Flow, Mode};
use chestnutvalve_bench::load::{self, Class, Plan};
use chestnutvalve_bench::worker::Fault;
use rand::RngExt;
use tokio::time::sleep;

use crate::support::{self, Running, SOON, lookup, order};

/// Deadline that the faults exceed, in milliseconds.
const SHORT_MS: u32 = 400;

/// Name of the load whose requests may run only once.
const ONCE: &str = "once";

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Reset,
    AnswersLost,
    RequestsLost,
    Frozen,
    Slow,
    Truncated,
    Full,
    FullAndReset,
}

async fn cause(fleet: &Running, trouble: Trouble, worker: usize, on: bool) {
    let node = &fleet.workers[worker];
    let link = fleet.forwarder(&node.name).unwrap();
    let mode = match trouble {
        Trouble::Reset | Trouble::FullAndReset => Mode {
            to_origin: Flow {
                reset_after: 1,
                ..Flow::default()
            },
            ..Mode::default()
        },
        Trouble::AnswersLost => Mode::drop_responses(),
        Trouble::RequestsLost => Mode::drop_requests(),
        Trouble::Frozen => {
            let process = node.process().unwrap();
            if on {
                process.freeze()
            } else {
                process.resume()
            }
            .unwrap();
            return;
        }
        Trouble::Slow | Trouble::Truncated => {
            let mut fault = Fault::default();
            if on {
                fault.slow_ms = u64::from(SHORT_MS) + 200;
                fault.slow_percent = if matches!(trouble, Trouble::Slow) {
                    50.0
                } else {
                    0.0
                };
                fault.truncate_percent = if matches!(trouble, Trouble::Truncated) {
                    50.0
                } else {
                    0.0
                };
            }
            node.set_fault(&fleet.http, &fault).await.unwrap();
            return;
        }
        Trouble::Full => return,
    };
    link.set_mode(if on { mode } else { Mode::default() });
}

/// Guards against an entry that calls a request not executed although its bytes reached a worker, and against a second
/// dispatch of a request that may run only once (P4, also without a key).
#[rstest::rstest]
#[case::reset(31, Trouble::Reset)]
#[case::answers_lost(32, Trouble::AnswersLost)]
#[case::requests_lost(33, Trouble::RequestsLost)]
#[case::frozen_worker(34, Trouble::Frozen)]
#[case::slow(35, Trouble::Slow)]
#[case::truncated(36, Trouble::Truncated)]
#[case::full(37, Trouble::Full)]
#[case::full_and_reset(38, Trouble::FullAndReset)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn not_executed_is_true(#[case] seed: u64, #[case] trouble: Trouble) {
    let mut random = support::random(seed);
    let mut layout = support::layout();
    layout.links = true;
    let full = matches!(trouble, Trouble::Full | Trouble::FullAndReset);
    layout.services[0].work_ms = if full { 40 } else { 5 };
    let fleet = support::start(layout).await;
    let keyless = Class {
        key: false,
        ..order()
    };
    let short = |c: Class| Class {
        deadline_ms: SHORT_MS,
        ..c
    };
    let rate = if full { 150.0 } else { 50.0 };
    let mut loads = tokio::task::JoinSet::new();
    for (name, classes, rate) in [
        ("lookup", vec![short(lookup())], rate),
        (ONCE, vec![short(order()), short(keyless)], 2.0 * rate),
    ] {
        let mut plan = Plan::new(fleet.callers(), classes, rate, Duration::from_secs(5));
        plan.seed = seed;
        plan.name = name.into();
        loads.spawn(async move { load::run(&plan).await });
    }
    for _ in 0..8 {
        let worker = random.random_range(0..fleet.workers.len());
        cause(&fleet, trouble, worker, true).await;
        sleep(Duration::from_millis(random.random_range(200..600))).await;
        cause(&fleet, trouble, worker, false).await;
    }
    let (mut denied, mut good) = (Vec::new(), 0);
    while let Some(report) = loads.join_next().await {
        let report = report.unwrap().unwrap();
        print!("{}", report.table());
        good += report.total().good;
        denied.extend(report.not_executed);
    }
    // Requests that a fault held back on their way may still run now.
    sleep(Duration::from_secs(1)).await;
    let counts = until("workers without work", SOON, async || {
        let counts = fleet.counts().await.ok()?;
        (counts.executed == counts.finished + counts.cancelled).then_some(counts)
    });
    let counts = counts.await.unwrap();
    let told = denied.len();
    println!(
        "{told} told as not executed, {} executions",
        counts.executed
    );
    denied.retain(|id| counts.requests.contains_key(id));
    assert!(
        denied.is_empty(),
        "told as not executed, but ran: {denied:?}"
    );
    let once = counts
        .requests
        .iter()
        .filter(|(id, _)| id.starts_with(ONCE));
    let twice: Vec<_> = once.filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    assert!(good > 0);
    assert!(!full || told > 0, "four workers can't carry this load");
}
