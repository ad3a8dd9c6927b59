//! Workers that send bytes other than the response to the request.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::control::Control;
use crate::fleet::{Entry, Reply, send, start_single, wait_until};
use crate::gateway::{answer, ask_as, fleet, success};
use crate::worker::{Received, Step, Worker, response};

const SERVICE: (&str, &str) = ("chestnutvalve-service", "rationdesk");
/// Timeout of the requests.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Margin after the timeout within which a request must have ended and the connection to its worker must be closed.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size of the send and receive buffers of two connections on which nobody reads, in bytes.
const MAX_SOCKET_BYTES: usize = 32 * 1024 * 1024;
/// Head of a complete response with status 200, without the final line breaks.
const HEAD: &str = "HTTP/1.1 200 X\r\nchestnutvalve-attempt: ID\r\nchestnutvalve-signature: s\r\n";

fn write(text: &str) -> Step {
    Step::Write(text.as_bytes().to_vec())
}

fn id(seen: &Received) -> &str {
    &seen.headers["chestnutvalve-attempt"]
}

/// Guards against reporting "not executed" for a request that a worker runs, and against running it twice, when the
/// worker repeats the refusal of an earlier request on a reused connection.
#[rstest]
#[case::with_its_id("chestnutvalve-attempt: first\r\n")]
#[case::without_an_id("")]
#[tokio::test]
async fn a_repeated_refusal_does_not_apply_to_the_next_request(#[case] echo: &'static str) {
    let worker = Worker::start("w1", move |seen| {
        if id(seen) == "first" {
            return answer(seen, 503, "chestnutvalve-not-executed: 1\r\n", "");
        }
        let refusal = format!(
            "HTTP/1.1 503 X\r\n{echo}chestnutvalve-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        [vec![write(&refusal)], success(seen)].concat()
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    assert_eq!(ask_as(&entry, "/once/x", "first").await.status, 503);
    // The worker is avoided for a short time after a refusal, and requests that do not reach it are refused.
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

/// Guards against the same fault for a request without an id, which the worker cannot repeat.
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

/// Guards against the same fault at the listener that proxies requests by service.
#[rstest]
#[case::with_its_id("chestnutvalve-attempt: first\r\n")]
#[case::without_an_id("")]
#[tokio::test]
async fn a_repeated_refusal_is_not_retried(#[case] echo: &'static str) {
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

/// Guards against bytes of a worker that reach a caller as the response, with the worker's signature, although their status is none of
/// a response.
#[rstest]
#[tokio::test]
async fn a_number_that_is_no_status_is_not_a_response(
    #[values("000", "099", "101", "600", "799", "999")] status: &'static str,
) {
    let worker = Worker::start("w1", move |seen| {
        let head = HEAD.replace("200", status).replace("ID", id(seen));
        vec![write(&format!("{head}content-length: 2\r\n\r\nok"))]
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let reply = ask_as(&entry, "/once/x", "first").await;
    assert_eq!(
        (reply.status, reply.header("chestnutvalve-executed")),
        (502, "unknown")
    );
    assert_eq!(reply.header("chestnutvalve-signature"), "");
    assert_eq!(worker.count(), 1);
    // A claim of the same bytes that the request was not executed doesn't count either.
    let refusing = Worker::start("w1", move |_| {
        let line = format!("HTTP/1.1 {status} X\r\nchestnutvalve-not-executed: 1\r\n");
        vec![write(&format!("{line}content-length: 0\r\n\r\n"))]
    })
    .await;
    let (_control, entry) = fleet(&[&refusing]).await;
    let reply = ask_as(&entry, "/once/x", "first").await;
    assert_eq!(
        (reply.status, reply.header("chestnutvalve-executed")),
        (502, "unknown")
    );
}

/// Guards against the same fault at the listener that proxies requests by service.
#[rstest]
#[tokio::test]
async fn the_proxy_passes_on_no_number_that_is_no_status(
    #[values("000", "101", "600", "999")] status: &'static str,
) {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", move |_| {
        vec![write(&format!(
            "HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok"
        ))]
    })
    .await;
    worker.announce(entry.platform, "rationdesk").await;
    let reply = send(entry.callers, "POST", "/", &[SERVICE], b"x").await;
    let reply = reply.unwrap();
    assert_eq!(
        (reply.status, reply.header("chestnutvalve-executed")),
        (502, "unknown")
    );
    assert_eq!(worker.count(), 1);
}

/// Guards against refusing what is a response: one after interim responses, and one with an unusual status.
#[rstest]
#[case::after_interim_responses(
    "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nlink: x\r\n\r\n",
    "200",
    200
)]
#[case::redirect("", "399", 399)]
#[case::last_client_error("", "499", 499)]
#[case::last_status("", "599", 599)]
#[tokio::test]
async fn every_final_status_is_passed_on(
    #[case] before: &'static str,
    #[case] status: &'static str,
    #[case] expected: u16,
) {
    let worker = Worker::start("w1", move |seen| {
        let head = HEAD.replace("200", status).replace("ID", id(seen));
        vec![write(&format!("{before}{head}content-length: 2\r\n\r\nok"))]
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let reply = ask_as(&entry, "/once/x", "first").await;
    assert_eq!((reply.status, &reply.body[..]), (expected, &b"ok"[..]));
    assert_eq!(reply.header("chestnutvalve-signature"), "s");
}

/// Guards against a success that a caller receives although the worker stopped within the head of its response.
#[rstest]
#[case::status("HTTP/1.1 200")]
#[case::status_line("HTTP/1.1 200 X\r\n")]
#[case::name("HEADcontent-le")]
#[case::value("HEADcontent-length: 1")]
#[case::line("HEADcontent-length: 12\r\n")]
#[case::chunked("HEADtransfer-encoding: chunked\r\n")]
#[case::end("HEAD\r")]
#[tokio::test]
async fn a_truncated_head_is_not_a_response(#[case] part: &str) {
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

/// Guards against an endless response that keeps a caller waiting beyond its timeout, that is delivered as a complete
/// response, or that is read on after the request has ended.
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
async fn endless_bytes_end_with_the_request(#[case] start: &str, #[case] more: &str) {
    let (start, more) = (start.to_owned(), more.repeat(512));
    let worker = Worker::start("w1", move |seen| {
        let start = start.replace("HEAD", HEAD).replace("ID", id(seen));
        vec![write(&start), Step::Repeat(more.clone().into_bytes())]
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let asked = Instant::now();
    let reply = attempt(&entry).await;
    assert!(
        asked.elapsed() < TIMEOUT + END_MARGIN,
        "{:?}",
        asked.elapsed()
    );
    if let Some(reply) = reply {
        assert!(matches!(reply.status, 502 | 504), "{}", reply.status);
        assert_eq!(reply.header("chestnutvalve-executed"), "unknown");
    }
    wait_until("close", || worker.cancelled.load(Ordering::SeqCst) == 1).await;
    assert!(
        asked.elapsed() < TIMEOUT + END_MARGIN,
        "{:?}",
        asked.elapsed()
    );
}

/// Starts a worker with an endless response, and a caller that sends a request and does not read.
async fn start_endless(start: &str, more: &str) -> (Worker, TcpStream, (Control, Entry)) {
    let (start, more) = (start.to_owned(), more.repeat(512));
    let worker = Worker::start("w1", move |seen| {
        let start = start.replace("HEAD", HEAD).replace("ID", id(seen));
        vec![write(&start), Step::Repeat(more.clone().into_bytes())]
    })
    .await;
    let running = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(running.1.gateway).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: a.example\r\nchestnutvalve-attempt: first\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    (worker, caller, running)
}

/// Guards against an entry that keeps an endless response in memory while its caller does not read it.
#[rstest]
#[case::unframed("HEAD\r\n", "nonsense")]
#[case::length("HEADcontent-length: 1000000000000\r\n\r\n", "nonsense")]
#[case::chunks("HEADtransfer-encoding: chunked\r\n\r\n", "8\r\nnonsense\r\n")]
#[case::refusal(
    "HTTP/1.1 503 X\r\nchestnutvalve-attempt: ID\r\nchestnutvalve-not-executed: 1\r\n\r\n",
    "nonsense"
)]
#[tokio::test]
async fn an_endless_response_is_read_as_its_caller_reads(#[case] start: &str, #[case] more: &str) {
    let (worker, _caller, _running) = start_endless(start, more).await;
    sleep(TIMEOUT + END_MARGIN).await;
    let read = worker.repeated.load(Ordering::SeqCst);
    assert!((1..MAX_SOCKET_BYTES).contains(&read), "{read} bytes");
}

/// Guards against a worker's slot that a caller holds beyond the deadline because it does not read.
#[rstest]
#[case::unframed("HEAD\r\n")]
#[case::length("HEADcontent-length: 1000000000000\r\n\r\n")]
#[tokio::test]
async fn a_transfer_ends_at_its_deadline_while_its_caller_does_not_read(#[case] start: &str) {
    let (worker, _caller, _running) = start_endless(start, "nonsense").await;
    sleep(TIMEOUT + END_MARGIN).await;
    assert_eq!(worker.cancelled.load(Ordering::SeqCst), 1);
}

/// Guards against the same fault at the listener that proxies requests by service.
#[rstest]
#[case::length("content-length: 1000000000000", "nonsense".repeat(512))]
#[case::chunks("transfer-encoding: chunked", format!("1000\r\n{}\r\n", "nonsense".repeat(512)))]
#[tokio::test]
async fn a_proxied_transfer_ends_at_its_deadline_while_its_caller_does_not_read(
    #[case] framing: &'static str,
    #[case] more: String,
) {
    let mut worker = Worker::start("w1", move |_| {
        let head = write(&format!("HTTP/1.1 200 X\r\n{framing}\r\n\r\n"));
        vec![head, Step::Repeat(more.clone().into_bytes())]
    })
    .await;
    let (_control, entry) = start_single().await;
    worker.announce(entry.platform, "rationdesk").await;
    let mut caller = TcpStream::connect(entry.callers).await.unwrap();
    let timeout = TIMEOUT.as_millis();
    let head = format!(
        "POST / HTTP/1.1\r\nhost: rationdesk\r\nchestnutvalve-service: rationdesk\r\nchestnutvalve-deadline-ms: {timeout}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(TIMEOUT + END_MARGIN).await;
    assert_eq!(worker.count(), 1);
    assert_eq!(worker.cancelled.load(Ordering::SeqCst), 1);
}

/// Guards against bytes after a complete response that reach a caller, and against reuse of the connection on which
/// they arrive.
#[tokio::test]
async fn endless_bytes_after_a_response_are_discarded() {
    let worker = Worker::start("w1", |seen| {
        let more = Step::Repeat(b"nonsense".repeat(512));
        [success(seen), vec![more]].concat()
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let reply = attempt(&entry).await.unwrap();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"ok"[..]));
    wait_until("close", || worker.cancelled.load(Ordering::SeqCst) == 1).await;
}

/// Returns the response to one request, or `None` if it broke off.
async fn attempt(entry: &Entry) -> Option<Reply> {
    let headers = [("host", "a.example"), ("chestnutvalve-attempt", "first")];
    let reply = send(entry.gateway, "POST", "/once/x", &headers, b"").await;
    reply.ok()
}
