//! Workers that send other bytes than the response to the request.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::fleet::{Entry, Reply, send, start_single, wait_until};
use crate::gateway::{answer, ask_as, fleet, good};
use crate::worker::{Seen, Step, Worker, response};

const SERVICE: (&str, &str) = ("chestnutvalve-service", "rationdesk");
/// Time limit of the requests.
const LIMIT: Duration = Duration::from_secs(1);
/// Time after the limit by which a request must have ended and the connection to its worker must be closed.
const SLACK: Duration = Duration::from_millis(500);
/// Head of a complete response of 200 without its end.
const HEAD: &str = "HTTP/1.1 200 X\r\nchestnutvalve-attempt: ID\r\nchestnutvalve-signature: s\r\n";

fn write(text: &str) -> Step {
    Step::Write(text.as_bytes().to_vec())
}

fn id(seen: &Seen) -> &str {
    &seen.headers["chestnutvalve-attempt"]
}

/// Guards against "not executed" for a request that a worker runs, and against its second run, when the worker repeats the
/// refusal of an earlier request on a kept connection.
#[rstest]
#[case::with_its_id("chestnutvalve-attempt: first\r\n")]
#[case::without_an_id("")]
#[tokio::test]
async fn a_repeated_refusal_says_nothing_of_the_next_request(#[case] echo: &'static str) {
    let worker = Worker::start("w1", move |seen| {
        if id(seen) == "first" {
            return answer(seen, 503, "chestnutvalve-not-executed: 1\r\n", "");
        }
        let refusal = format!(
            "HTTP/1.1 503 X\r\n{echo}chestnutvalve-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        [vec![write(&refusal)], good(seen)].concat()
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    assert_eq!(ask_as(&entry, "/once/x", "first").await.status, 503);
    // The worker is avoided for a moment after a refusal, and requests that don't reach it are refused.
    let mut reply = ask_as(&entry, "/once/x", "next-0").await;
    for n in 1..20 {
        if worker.count() > 1 {
            break;
        }
        sleep(Duration::from_millis(100)).await;
        reply = ask_as(&entry, "/once/x", &format!("next-{n}")).await;
    }
    let connections: Vec<usize> = {
        let seen = worker.seen.lock().unwrap();
        seen.iter().map(|seen| seen.connection).collect()
    };
    assert_eq!(connections, [0, 0], "the connection was not kept");
    assert_eq!(
        (reply.status, reply.header("chestnutvalve-executed")),
        (502, "unknown")
    );
}

/// The same for a request without an id, which the worker can't repeat.
#[tokio::test]
async fn a_refusal_on_a_kept_connection_needs_an_id() {
    let asked = AtomicUsize::new(0);
    let worker = Worker::start("w1", move |_| {
        let first = asked.fetch_add(1, Ordering::SeqCst) == 0;
        let status = if first {
            "200 X\r\nchestnutvalve-signature: s"
        } else {
            "503 X\r\nchestnutvalve-not-executed: 1"
        };
        vec![write(&format!(
            "HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n"
        ))]
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let host = [("host", "a.example")];
    let ask = || send(entry.gateway, "POST", "/once/x", &host, b"");
    assert_eq!(ask().await.unwrap().status, 200);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(ask().await.unwrap().status, 502);
    assert_eq!(worker.count(), 2);
}

/// The same at the listener that proxies requests by service.
#[rstest]
#[case::with_its_id("chestnutvalve-attempt: first\r\n")]
#[case::without_an_id("")]
#[tokio::test]
async fn a_repeated_refusal_is_not_tried_again(#[case] echo: &'static str) {
    let (_control, entry) = start_single().await;
    let asked = AtomicUsize::new(0);
    let mut worker = Worker::start("w1", move |_| {
        if asked.fetch_add(1, Ordering::SeqCst) == 0 {
            return response(200, "");
        }
        let refusal = format!(
            "HTTP/1.1 503 X\r\n{echo}chestnutvalve-executed: no\r\ncontent-length: 0\r\n\r\n"
        );
        vec![write(&refusal)]
    })
    .await;
    worker.announce(entry.platform, "rationdesk").await;
    let ask = || send(entry.callers, "POST", "/", &[SERVICE], b"x");
    assert_eq!(ask().await.unwrap().status, 200);
    sleep(Duration::from_millis(100)).await;
    let reply = ask().await.unwrap();
    assert_eq!(worker.count(), 2, "the request was sent again");
    assert_eq!(reply.header("chestnutvalve-executed"), "unknown");
}

/// Guards against a success that a caller gets although the worker stopped within the head of its response.
#[rstest]
#[case::status("HTTP/1.1 200")]
#[case::status_line("HTTP/1.1 200 X\r\n")]
#[case::name("HEADcontent-le")]
#[case::value("HEADcontent-length: 1")]
#[case::line("HEADcontent-length: 12\r\n")]
#[case::chunked("HEADtransfer-encoding: chunked\r\n")]
#[case::end("HEAD\r")]
#[tokio::test]
async fn a_head_that_breaks_off_is_no_response(#[case] part: &str) {
    let part = part.to_owned();
    let worker = Worker::start("w1", move |seen| {
        let part = part.replace("HEAD", HEAD).replace("ID", id(seen));
        vec![write(&part), Step::Close]
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let reply = ask_as(&entry, "/once/x", "first").await;
    assert_eq!(
        (reply.status, reply.header("chestnutvalve-executed")),
        (502, "unknown")
    );
    assert_eq!(worker.count(), 1);
}

/// Guards against bytes without end that hold a caller beyond its time limit, that it gets as a complete response, or that
/// are read on after the request has ended.
#[rstest]
#[case::no_response("", "nonsense ")]
#[case::headers("HEAD", "x-a: b\r\n")]
#[case::header("HEADx-a: ", "b")]
#[case::informational("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::unframed("HEAD\r\n", "nonsense")]
#[case::chunk_size("HEADtransfer-encoding: chunked\r\n\r\n", "0")]
#[case::extension("HEADtransfer-encoding: chunked\r\n\r\n1;", "x")]
#[case::trailers("HEADtransfer-encoding: chunked\r\n\r\n0\r\n", "x-a: b\r\n")]
#[tokio::test]
async fn bytes_without_end_end_with_the_request(#[case] start: &str, #[case] more: &str) {
    let (start, more) = (start.to_owned(), more.repeat(512));
    let worker = Worker::start("w1", move |seen| {
        let start = start.replace("HEAD", HEAD).replace("ID", id(seen));
        vec![write(&start), Step::Repeat(more.clone().into_bytes())]
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let asked = Instant::now();
    let reply = attempt(&entry).await;
    assert!(asked.elapsed() < LIMIT + SLACK, "{:?}", asked.elapsed());
    if let Some(reply) = reply {
        assert!(matches!(reply.status, 502 | 504), "{}", reply.status);
        assert_eq!(reply.header("chestnutvalve-executed"), "unknown");
    }
    wait_until("close", || worker.cancelled.load(Ordering::SeqCst) == 1).await;
    assert!(asked.elapsed() < LIMIT + SLACK, "{:?}", asked.elapsed());
}

/// Guards against bytes behind a complete response that reach a caller, and against a connection that is kept with them.
#[tokio::test]
async fn bytes_without_end_behind_a_response_reach_nobody() {
    let worker = Worker::start("w1", |seen| {
        let more = Step::Repeat(b"nonsense".repeat(512));
        [good(seen), vec![more]].concat()
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let reply = attempt(&entry).await.unwrap();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"ok"[..]));
    wait_until("close", || worker.cancelled.load(Ordering::SeqCst) == 1).await;
}

/// Returns the response to one request, `None` if it broke off.
async fn attempt(entry: &Entry) -> Option<Reply> {
    let headers = [("host", "a.example"), ("chestnutvalve-attempt", "first")];
    let reply = send(entry.gateway, "POST", "/once/x", &headers, b"").await;
    reply.ok()
}
