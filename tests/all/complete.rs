//! P2: a caller receives the complete response to its own request.

use std::time::Duration;

use chestnutvalve_bench::forward::{Flow, Mode};
use chestnutvalve_bench::load::{self, Class, Plan};
use chestnutvalve_bench::worker::Fault;
use rand::RngExt;
use tokio::time::sleep;

use crate::support::{self, archive, lookup, order};

/// Guards against truncated responses that appear complete, and against responses delivered to another request after a
/// timeout, a reset or a late response on a reused connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_complete_and_belong_to_the_request() {
    let mut random = support::random(21);
    let mut layout = support::layout();
    layout.links = true;
    let fleet = support::start(layout).await;
    let truncating = Fault {
        truncate_percent: 30.0,
        ..Fault::default()
    };
    fleet.workers[0]
        .set_fault(&fleet.http, &truncating)
        .await
        .unwrap();
    // Slow responses arrive after the deadline of half of the request classes, when the entry no longer waits for them.
    let late = Fault {
        slow_ms: 500,
        slow_percent: 30.0,
        ..Fault::default()
    };
    fleet.workers[1]
        .set_fault(&fleet.http, &late)
        .await
        .unwrap();
    let short = |c: Class| Class {
        deadline_ms: 300,
        ..c
    };
    let long = |c: Class| Class { size: 200_000, ..c };
    let classes = vec![
        short(lookup()),
        short(order()),
        lookup(),
        order(),
        long(archive()),
        short(long(archive())),
    ];
    let mut plan = Plan::new(fleet.callers(), classes, 150.0, Duration::from_secs(8));
    plan.seed = 21;
    let loading = tokio::spawn(async move { load::run(&plan).await });
    for _ in 0..12 {
        let link = fleet
            .forwarder(&fleet.workers[random.random_range(2..4)].name)
            .unwrap();
        let to_origin = match random.random_range(0..3) {
            0 => Flow {
                reset_after: 100_000,
                ..Flow::default()
            },
            1 => Flow {
                stall: true,
                ..Flow::default()
            },
            _ => Flow {
                delay_ms: 200,
                ..Flow::default()
            },
        };
        link.set_mode(Mode {
            to_origin,
            ..Mode::default()
        });
        sleep(Duration::from_millis(random.random_range(200..600))).await;
        link.set_mode(Mode::default());
    }
    let report = loading.await.unwrap().unwrap();
    print!("{}", report.table());
    let total = report.total();
    assert_eq!(total.error("wrong_body"), 0, "{:?}", report.failures);
    assert!(
        total.good > total.due / 4,
        "too few responses for a meaningful test"
    );
    assert!(
        report.broken_responses() > 0,
        "the faults interrupted no relayed response"
    );
}
