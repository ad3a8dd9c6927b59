//! Tests of at-most-once execution.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rstest::rstest;

use crate::control::Control;
use crate::fleet::{Entry, Reply, send, start_single, wait_until};
use crate::worker::{Step, Worker, response};

const HEADERS: [(&str, &str); 4] = [
    ("chestnutvalve-service", "kasa"),
    ("chestnutvalve-customer", "c1"),
    ("chestnutvalve-deadline-ms", "3000"),
    ("idempotency-key", "k1"),
];

async fn pay(entry: &Entry, body: &[u8]) -> Reply {
    send(entry.callers, "POST", "/pay", &HEADERS, body)
        .await
        .unwrap()
}

/// Guards against a second execution when a caller resends a request to another entry.
#[rstest]
#[case::one_after_the_other(false)]
#[case::at_the_same_time(true)]
#[tokio::test]
async fn two_resends_run_once(#[case] together: bool) {
    let control = Control::start().await;
    let first = Entry::start("e1", control.address).await;
    let second = Entry::start("e2", control.address).await;
    first.wait_for_members(2).await;
    second.wait_for_members(2).await;
    let mut worker = Worker::start("w1", |_| {
        let mut steps = vec![Step::Wait(Duration::from_millis(100))];
        steps.extend(response(201, "paid"));
        steps
    })
    .await;
    worker.announce(first.platform, "kasa").await;
    first.wait_for_workers("kasa", 1).await;
    second.wait_for_workers("kasa", 1).await;
    let replies = if together {
        let (a, b) = tokio::join!(pay(&first, b"5"), pay(&second, b"5"));
        [a, b]
    } else {
        let a = pay(&first, b"5").await;
        wait_until("record", || control.records.load(Ordering::SeqCst) == 1).await;
        [a, pay(&second, b"5").await]
    };
    assert_eq!(worker.count(), 1);
    let paid = |r: &Reply| r.status == 201 && r.body == b"paid";
    if together {
        assert!(replies.iter().any(paid), "{replies:?}");
        let other = |r: &Reply| paid(r) || r.header("chestnutvalve-error") == "outcome_unknown";
        assert!(replies.iter().all(other), "{replies:?}");
    } else {
        assert!(replies.iter().all(paid), "{replies:?}");
    }
}

/// Guards against an execution without a claim, and against a refusal that wrongly says "not executed".
#[tokio::test]
async fn unreachable_ledger_means_not_executed() {
    let (control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| response(201, "paid")).await;
    worker.announce(entry.platform, "kasa").await;
    control.ledger_down.store(true, Ordering::SeqCst);
    let refused = pay(&entry, b"5").await;
    assert_eq!(refused.header("chestnutvalve-error"), "ledger_unavailable");
    assert_eq!(refused.header("chestnutvalve-executed"), "no");
    assert_eq!(worker.count(), 0);
    control.ledger_down.store(false, Ordering::SeqCst);
    assert_eq!(pay(&entry, b"5").await.status, 201);
    assert_eq!(worker.count(), 1);
}

/// Guards against a key that stays claimed although nothing was dispatched.
#[tokio::test]
async fn claim_is_released_when_nothing_was_dispatched() {
    let (_control, entry) = start_single().await;
    let full = Arc::new(AtomicBool::new(true));
    let sheds_requests = Arc::clone(&full);
    let mut worker = Worker::start("w1", move |_| {
        if !sheds_requests.load(Ordering::SeqCst) {
            return response(201, "paid");
        }
        let text = "HTTP/1.1 503 X\r\nchestnutvalve-executed: no\r\ncontent-length: 0\r\n\r\n";
        vec![Step::Write(text.as_bytes().to_vec())]
    })
    .await;
    worker.announce(entry.platform, "kasa").await;
    let refused = pay(&entry, b"5").await;
    assert_eq!(refused.header("chestnutvalve-error"), "refused_by_upstream");
    assert_eq!(refused.header("chestnutvalve-executed"), "no");
    full.store(false, Ordering::SeqCst);
    assert_eq!(pay(&entry, b"5").await.status, 201);
}

/// Guards against a second execution after an attempt without a response, and against a key that is reused for a different
/// request.
#[tokio::test]
async fn unknown_outcome_is_not_executed_again() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| vec![Step::Close]).await;
    worker.announce(entry.platform, "kasa").await;
    let broken = pay(&entry, b"5").await;
    assert_eq!(broken.header("chestnutvalve-executed"), "unknown");
    let again = pay(&entry, b"5").await;
    assert_eq!(again.header("chestnutvalve-error"), "outcome_unknown");
    let different = pay(&entry, b"6").await;
    assert_eq!(different.header("chestnutvalve-error"), "key_reused");
    assert_eq!(worker.count(), 1);
}
