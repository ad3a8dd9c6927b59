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

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Reset,
    AnswersLost,
    RequestsLost,
    Frozen,
    Slow,
    Truncated,
    Full,
}

async fn cause(fleet: &Running, trouble: Trouble, worker: usize, on: bool) {
    let node = &fleet.workers[worker];
    let link = fleet.at(&node.name).unwrap();
    let mode = match trouble {
        Trouble::Reset => Mode {
            to_origin: Flow {
                reset_after: 1,
                ..Flow::default()
            },
            ..Mode::default()
        },
        Trouble::AnswersLost => Mode::cut_answers(),
        Trouble::RequestsLost => Mode::cut_requests(),
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
            node.fault(&fleet.http, &fault).await.unwrap();
            return;
        }
        Trouble::Full => return,
    };
    link.set(if on { mode } else { Mode::default() });
}

/// Guards against an entry that calls a request not executed although its bytes reached a worker.
#[rstest::rstest]
#[case::reset(31, Trouble::Reset)]
#[case::answers_lost(32, Trouble::AnswersLost)]
#[case::requests_lost(33, Trouble::RequestsLost)]
#[case::frozen_worker(34, Trouble::Frozen)]
#[case::slow(35, Trouble::Slow)]
#[case::truncated(36, Trouble::Truncated)]
#[case::full(37, Trouble::Full)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn not_executed_is_true(#[case] seed: u64, #[case] trouble: Trouble) {
    let mut random = support::random(seed);
    let mut layout = support::layout();
    layout.links = true;
    let full = matches!(trouble, Trouble::Full);
    layout.services[0].work_ms = if full { 40 } else { 5 };
    let fleet = support::start(layout).await;
    let classes = [
        lookup(),
        order(),
        Class {
            key: false,
            ..order()
        },
    ];
    let classes = classes.map(|c| Class {
        deadline_ms: SHORT_MS,
        ..c
    });
    let rate = if full { 400.0 } else { 120.0 };
    let mut plan = Plan::new(
        fleet.callers(),
        classes.to_vec(),
        rate,
        Duration::from_secs(5),
    );
    plan.seed = seed;
    let loading = tokio::spawn(async move { load::run(&plan).await });
    for _ in 0..8 {
        let worker = random.random_range(0..fleet.workers.len());
        cause(&fleet, trouble, worker, true).await;
        sleep(Duration::from_millis(random.random_range(200..600))).await;
        cause(&fleet, trouble, worker, false).await;
    }
    let report = loading.await.unwrap().unwrap();
    // Requests that a fault held back on their way may still run now.
    sleep(Duration::from_secs(1)).await;
    let counts = until("workers without work", SOON, async || {
        let counts = fleet.counts().await.ok()?;
        (counts.executed == counts.finished + counts.cancelled).then_some(counts)
    });
    let counts = counts.await.unwrap();
    print!("{}", report.table());
    let told = report.not_executed.len();
    println!(
        "{told} told as not executed, {} executions",
        counts.executed
    );
    let ran: Vec<_> = report
        .not_executed
        .iter()
        .filter(|id| counts.requests.contains_key(*id))
        .collect();
    assert!(ran.is_empty(), "told as not executed, but ran: {ran:?}");
    assert!(report.total().good > 0);
    assert!(!full || told > 0, "four workers can't carry this load");
}
