//! Tests of the proxy: relaying, retries, truncated responses and cancellation.

use std::time::Duration;

use chestnutvalve_model::config::{Edit, Overrides};
use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::control::Control;
use crate::fleet::{Entry, Reply, send, send_h2, start_single, wait_until};
use crate::worker::{Step, Worker, response};

const SERVICE: (&str, &str) = ("chestnutvalve-service", "rationdesk");

fn head(extra: &str) -> Step {
    Step::Write(format!("HTTP/1.1 200 OK\r\n{extra}\r\n").into_bytes())
}

/// Sends requests until the metrics show an attempt with the result; `passes` must hold for every response.
async fn wait_until_attempted(
    control: &Control,
    entry: &Entry,
    result: &str,
    passes: impl Fn(&Reply) -> bool,
) {
    // Four concurrent requests, because the balancer may send a single one always to the worker that responded before. The
    // retry budget of two plus half of the requests covers all four.
    let overrides = Overrides {
        retry_percent: Some(50),
        ..Overrides::default()
    };
    control.edit(Edit::SetDefaults(overrides));
    wait_until("change", || {
        entry.state().document.defaults.retry_percent == 50
    })
    .await;
    sleep(Duration::from_millis(150)).await;
    let label = format!("result=\"{result}\"");
    for round in 0.. {
        assert!(round < 200, "the faulty worker is never selected");
        let calls = (0..4).map(|_| send(entry.callers, "GET", "/", &[SERVICE], b""));
        for reply in join_all(calls).await {
            let reply = reply.unwrap();
            assert!(passes(&reply), "{reply:?}");
        }
        if entry.metric("attempts_total", &label).await > 0.0 {
            break;
        }
    }
}

/// Guards against parts of a request or response that are lost or mixed up.
#[tokio::test]
async fn relays_request_and_response() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |seen| response(200, &seen.head)).await;
    worker.announce(entry.platform, "rationdesk").await;
    let headers = [SERVICE, ("chestnutvalve-deadline-ms", "2000"), ("x-a", "b")];
    let reply = send(entry.callers, "POST", "/lookup?q=1", &headers, b"body").await;
    let reply = reply.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, b"POST /lookup?q=1 HTTP/1.1");
    assert_eq!(reply.header("chestnutvalve-worker"), "");
    let seen = worker.seen.lock().unwrap()[0].clone();
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.headers["x-a"], "b");
    let left: u64 = seen.headers["chestnutvalve-deadline-ms"].parse().unwrap();
    assert!((1_000..=2_000).contains(&left), "{left} ms left");
    assert!(seen.headers.contains_key("chestnutvalve-attempt"));
}

/// Guards against a port that supports only one HTTP version.
#[tokio::test]
async fn serves_http2_on_the_same_port() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |seen| response(200, &seen.head)).await;
    worker.announce(entry.platform, "rationdesk").await;
    let reply = send_h2(entry.callers, "/a", &[SERVICE]).await.unwrap();
    assert_eq!((reply.status, &*reply.body), (200, &b"GET /a HTTP/1.1"[..]));
}

/// Guards against a truncated response that appears complete, and against a missing retry for it.
#[rstest]
#[case::length("content-length: 10\r\n", "hello")]
#[case::chunked("transfer-encoding: chunked\r\n", "5\r\nhello\r\n")]
#[case::unframed("", "hello")]
#[tokio::test]
async fn truncated_response_is_retried_elsewhere(#[case] framing: &str, #[case] part: &str) {
    let (control, entry) = start_single().await;
    let (framing, part) = (framing.to_owned(), part.to_owned());
    let mut faulty = Worker::start("bad", move |_| {
        vec![
            head(&framing),
            Step::Write(part.clone().into_bytes()),
            Step::Close,
        ]
    })
    .await;
    let mut good = Worker::start("good", |_| response(200, "whole")).await;
    faulty.announce(entry.platform, "rationdesk").await;
    good.announce(entry.platform, "rationdesk").await;
    let whole = |reply: &Reply| (reply.status, &*reply.body) == (200, &b"whole"[..]);
    wait_until_attempted(&control, &entry, "truncated", whole).await;
    assert!(faulty.count() > 0);
}

/// Guards against a response that is truncated after its start was relayed and appears complete to the caller.
#[rstest]
#[case::length("content-length: 100000\r\n", "")]
#[case::chunked("transfer-encoding: chunked\r\n", "10000\r\n")]
#[tokio::test]
async fn truncation_after_the_start_resets_the_caller(#[case] framing: &str, #[case] size: &str) {
    let (_control, entry) = start_single().await;
    let (framing, size) = (framing.to_owned(), size.to_owned());
    let mut worker = Worker::start("w1", move |_| {
        let start = [size.as_bytes(), &vec![b'x'; 0x10000]].concat();
        vec![
            head(&framing),
            Step::Write(start),
            Step::Write(if size.is_empty() {
                vec![]
            } else {
                b"\r\n".to_vec()
            }),
            Step::Wait(Duration::from_millis(200)),
            Step::Close,
        ]
    })
    .await;
    worker.announce(entry.platform, "rationdesk").await;
    let reply = send(entry.callers, "GET", "/", &[SERVICE], b"").await;
    assert!(reply.is_err(), "a truncated response appeared complete");
    let reply = send_h2(entry.callers, "/", &[SERVICE]).await;
    assert!(reply.is_err(), "a truncated stream appeared complete");
    assert_eq!(
        worker.count(),
        2,
        "a request was retried after its response was relayed"
    );
}

/// Guards against the reuse of a connection on which the response to a cancelled request may still arrive.
#[tokio::test]
async fn connection_of_a_cancelled_exchange_is_not_reused() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |seen| {
        let mut steps = vec![];
        if seen.head.contains("/slow") {
            steps.push(Step::Wait(Duration::from_secs(5)));
        }
        steps.extend(response(200, &seen.head));
        steps
    })
    .await;
    worker.announce(entry.platform, "rationdesk").await;
    let slow = send(entry.callers, "GET", "/slow", &[SERVICE], b"");
    assert!(timeout(Duration::from_millis(300), slow).await.is_err());
    wait_until("cancellation", || {
        worker.cancelled.load(std::sync::atomic::Ordering::SeqCst) == 1
    })
    .await;
    for n in 0..3 {
        let path = format!("/{n}");
        let reply = send(entry.callers, "GET", &path, &[SERVICE], b"")
            .await
            .unwrap();
        assert_eq!(reply.body, format!("GET {path} HTTP/1.1").as_bytes());
    }
    let seen = worker.seen.lock().unwrap();
    assert!(seen[1..].iter().all(|s| s.connection != seen[0].connection));
    assert_eq!(
        seen[1].connection, seen[2].connection,
        "complete exchanges share connections"
    );
}

/// Guards against a request that fails on a refused connection although another worker is available.
#[tokio::test]
async fn refused_connection_is_retried_on_another_worker() {
    let (control, entry) = start_single().await;
    let mut gone = Worker::start("gone", |_| response(200, "")).await;
    let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    gone.address = unused.local_addr().unwrap();
    drop(unused);
    let mut good = Worker::start("good", |_| response(200, "ok")).await;
    gone.announce(entry.platform, "rationdesk").await;
    good.announce(entry.platform, "rationdesk").await;
    wait_until_attempted(&control, &entry, "refused", |reply| reply.status == 200).await;
}

/// Guards against a refused request when the only worker is full for a moment.
#[tokio::test]
async fn shed_request_is_retried() {
    let (_control, entry) = start_single().await;
    let asked = std::sync::atomic::AtomicUsize::new(0);
    let mut worker = Worker::start("w1", move |_| {
        if asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst) > 0 {
            return response(200, "ok");
        }
        let text = "HTTP/1.1 503 X\r\nchestnutvalve-executed: no\r\ncontent-length: 0\r\n\r\n";
        vec![Step::Write(text.as_bytes().to_vec())]
    })
    .await;
    worker.announce(entry.platform, "rationdesk").await;
    let reply = send(entry.callers, "POST", "/", &[SERVICE], b"x").await;
    assert_eq!(reply.unwrap().status, 200);
    assert_eq!(worker.count(), 2);
}

/// Guards against an error that says "not executed" for a request that a worker has received.
#[tokio::test]
async fn timed_out_dispatch_is_unknown() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| vec![Step::Wait(Duration::from_secs(9))]).await;
    worker.announce(entry.platform, "rationdesk").await;
    let headers = [SERVICE, ("chestnutvalve-deadline-ms", "200")];
    let reply = send(entry.callers, "POST", "/", &headers, b"")
        .await
        .unwrap();
    assert_eq!(reply.status, 504);
    assert_eq!(reply.header("chestnutvalve-executed"), "unknown");
    assert_eq!(worker.count(), 1);
}

/// Guards against new requests to a worker that is leaving.
#[tokio::test]
async fn withdrawn_worker_gets_no_requests() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| response(200, "ok")).await;
    worker.announce(entry.platform, "rationdesk").await;
    let body = br#"{"service":"rationdesk","worker":"w1","incarnation":1}"#;
    let withdrawn = send(entry.platform, "POST", "/v1/workers/withdraw", &[], body).await;
    assert_eq!(withdrawn.unwrap().status, 200);
    sleep(Duration::from_millis(300)).await;
    let reply = send(entry.callers, "GET", "/", &[SERVICE], b"")
        .await
        .unwrap();
    assert_eq!(reply.header("chestnutvalve-executed"), "no");
    assert_eq!(worker.count(), 0);
}
