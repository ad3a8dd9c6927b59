//! Tests of the graceful shutdown.

use std::time::Duration;

use tokio::time::sleep;

use crate::fleet::{send, start_single, wait_until};
use crate::worker::{Step, Worker, response};

/// Guards against requests that a planned shutdown aborts or refuses.
#[tokio::test]
async fn drain_finishes_requests_and_serves_late_ones() {
    let (control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |seen| {
        let mut steps = vec![];
        if seen.head.contains("/slow") {
            steps.push(Step::Wait(Duration::from_millis(4_500)));
        }
        steps.extend(response(200, "ok"));
        steps
    })
    .await;
    worker.announce(entry.platform, "rationdesk").await;
    let headers = [
        ("chestnutvalve-service", "rationdesk"),
        ("chestnutvalve-deadline-ms", "8000"),
    ];
    let callers = entry.callers;
    let slow =
        tokio::spawn(async move { send(callers, "GET", "/slow", &headers, b"").await.unwrap() });
    wait_until("slow request", || worker.count() == 1).await;
    entry.shutdown.request();
    entry.shutdown.request();
    wait_until("draining flag", || {
        let state = control.state.lock().unwrap();
        state.directory.members.values().all(|m| m.draining)
    })
    .await;
    let path = "/_chestnutvalve/addresses?service=rationdesk";
    let addresses = send(callers, "GET", path, &[], b"").await.unwrap();
    assert_eq!(
        addresses.status, 503,
        "a draining instance still lists itself as an owner"
    );
    for _ in 0..10 {
        let late = send(callers, "GET", "/late", &headers, b"").await.unwrap();
        assert_eq!((late.status, late.header("connection")), (200, "close"));
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(slow.await.unwrap().status, 200);
    wait_until("exit", || entry.running.is_finished()).await;
}
