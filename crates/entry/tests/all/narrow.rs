//! Large responses that are relayed over links of low bandwidth.

use std::ops::Range;
use std::time::Duration;

use chestnutvalve_model::routes::Kind;
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::control::Control;
use crate::fleet::{Entry, wait_until};
use crate::gateway::{announcement, answer, ask, ask_as, exchange, route, table};
use crate::worker::{Step, Worker};

/// Guards against a download that saturates a narrow link, and against one that is truncated or reordered by the
/// pacing.
#[rstest]
#[case::narrow(3, 300..2_000)]
#[case::wide(1_000, 0..300)]
#[tokio::test]
async fn downloads_over_a_narrow_link_are_paced(#[case] mbps: u32, #[case] took_ms: Range<u128>) {
    let numbers: Vec<String> = (0..20_000).map(|n| format!("{n:05}")).collect();
    let body = numbers.concat();
    let sent = body.clone();
    let worker = Worker::start("w1", move |seen| answer(seen, 200, "", &sent)).await;
    let control = Control::start().await;
    let mut download = route("/", Kind::Download);
    download.timeout_ms = 5_000;
    control.publish(table(1, vec![download]));
    control.register(&announcement(&worker, 1, false));
    let entry = Entry::start_with_link("e1", control.address, &[], mbps).await;
    wait_until("workers", || entry.state().roster.workers.len() == 1).await;
    let started = Instant::now();
    let reply = ask(&entry, "/x").await;
    let took = started.elapsed().as_millis();
    assert_eq!(reply.status, 200);
    assert!(reply.body == body.as_bytes(), "{} bytes", reply.body.len());
    assert!(took_ms.contains(&took), "{took} ms");
}

/// Guards against idle workers whose slots count as used while their responses are transferred over a narrow link.
#[tokio::test]
async fn a_transfer_over_a_narrow_link_releases_its_slot() {
    let body = "x".repeat(200_000);
    let worker = Worker::start("w1", move |seen| answer(seen, 200, "", &body)).await;
    let control = Control::start().await;
    let mut download = route("/", Kind::Download);
    (download.timeout_ms, download.target_ms) = (20_000, 20_000);
    control.publish(table(1, vec![download]));
    control.register(&announcement(&worker, 1, false));
    let entry = Entry::start_with_link("e1", control.address, &[], 3).await;
    wait_until("workers", || entry.state().roster.workers.len() == 1).await;
    let ids: Vec<String> = (0..4).map(|n| format!("id-{n}")).collect();
    let asked = ids.iter().map(|id| ask_as(&entry, "/x", id));
    let asked = futures_util::future::join_all(asked);
    let counted = async {
        // The first two transfers take 0.8 s each, even on a link of their own.
        sleep(Duration::from_millis(400)).await;
        worker.count()
    };
    let (replies, count) = tokio::join!(asked, counted);
    assert!(replies.iter().all(|r| r.status == 200));
    assert_eq!(count, 4);
}

/// Guards against a worker that breaks off transfers but is not avoided, because its slot was released before the
/// transfer ended.
#[tokio::test]
async fn a_transfer_that_breaks_off_counts_against_the_worker() {
    let body = "x".repeat(200_000);
    let sent = body.clone();
    let faulty = Worker::start("w1", move |seen| {
        let mut steps = answer(seen, 200, "", &sent);
        for step in &mut steps {
            if let Step::Write(bytes) = step {
                bytes.truncate(100_000);
            }
        }
        steps.push(Step::Close);
        steps
    });
    let (faulty, healthy) = (
        faulty.await,
        Worker::start("w2", move |seen| answer(seen, 200, "", &body)).await,
    );
    let control = Control::start().await;
    let mut download = route("/", Kind::Download);
    (download.timeout_ms, download.target_ms) = (20_000, 20_000);
    control.publish(table(1, vec![download]));
    control.register(&announcement(&faulty, 1, false));
    let entry = Entry::start_with_link("e1", control.address, &[], 3).await;
    wait_until("workers", || entry.state().roster.workers.len() == 1).await;
    let headers = [("host", "a.example"), ("chestnutvalve-attempt", "cut")];
    assert!(exchange(entry.gateway, "/x", &headers).await.is_err());
    control.register(&announcement(&healthy, 1, false));
    wait_until("workers", || entry.state().roster.workers.len() == 2).await;
    for n in 0..2 {
        let reply = ask_as(&entry, "/x", &format!("next-{n}")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!((faulty.count(), healthy.count()), (1, 2));
}
