//! Callers that read slowly or not at all.

use std::time::Duration;

use chestnutvalve_model::routes::Kind;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::control::Control;
use crate::fleet::{Entry, wait_until};
use crate::gateway::{announcement, answer, ask_as, fleet, route, table};
use crate::worker::{Step, Worker};

/// Guards against a transfer that is aborted at its deadline and then looks complete to a caller that reads on.
#[rstest]
#[case::unframed("", "nonsense".repeat(512))]
#[case::length("content-length: 1000000000000\r\n", "nonsense".repeat(512))]
#[case::chunks("transfer-encoding: chunked\r\n", format!("1000\r\n{}\r\n", "nonsense".repeat(512)))]
#[tokio::test]
async fn a_transfer_beyond_its_deadline_is_not_complete(
    #[case] framing: &'static str,
    #[case] more: String,
) {
    let worker = Worker::start("w1", move |_| {
        let head = format!(
            "HTTP/1.1 200 X\r\nchestnutvalve-attempt: id-1\r\nchestnutvalve-signature: s\r\n{framing}\r\n"
        );
        let more = Step::Repeat(more.clone().into_bytes());
        vec![Step::Write(head.into_bytes()), more]
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: a.example\r\nchestnutvalve-attempt: id-1\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(1_500)).await;
    let mut read = Vec::new();
    // Whether the connection ends orderly or with an error does not matter here.
    let _ = caller.read_to_end(&mut read).await;
    let text = String::from_utf8_lossy(&read[..read.len().min(500)]).to_lowercase();
    assert!(text.starts_with("http/1.1 200"), "{text}");
    let is_framed = text.contains("content-length: 1000000000000")
        || text.contains("transfer-encoding: chunked");
    assert!(is_framed, "{text}");
    assert!(!read.ends_with(b"\r\n0\r\n\r\n"));
}

/// Starts an entry with a narrow link and a worker whose downloads take 0.8 s there, on a route with the timeout.
async fn narrow(worker: &Worker, timeout_ms: u64) -> (Control, Entry) {
    let control = Control::start().await;
    let mut download = route("/", Kind::Download);
    (download.timeout_ms, download.target_ms) = (timeout_ms, timeout_ms);
    control.publish(table(1, vec![download]));
    control.register(&announcement(worker, 1, false));
    let entry = Entry::start_with_link("e1", control.address, &[], 3).await;
    wait_until("workers", || entry.state().roster.workers.len() == 1).await;
    (control, entry)
}

/// Guards against a response that is cut off at its deadline although its worker has sent all of it.
#[tokio::test]
async fn a_response_that_was_received_whole_is_delivered_late() {
    let body = "x".repeat(200_000);
    let sent = body.clone();
    let worker = Worker::start("w1", move |seen| answer(seen, 200, "", &sent)).await;
    let (_control, entry) = narrow(&worker, 400).await;
    let reply = ask_as(&entry, "/x", "id-1").await;
    assert_eq!((reply.status, reply.body.len()), (200, body.len()));
}

/// Guards against a worker's connection that stays in use while the response, which the worker has sent, waits for the
/// entry's link.
#[tokio::test]
async fn a_worker_is_free_as_soon_as_it_has_sent_its_response() {
    let body = "x".repeat(200_000);
    let worker = Worker::start("w1", move |seen| answer(seen, 200, "", &body)).await;
    let (_control, entry) = narrow(&worker, 5_000).await;
    let second = async {
        sleep(Duration::from_millis(300)).await;
        ask_as(&entry, "/x", "id-2").await
    };
    let (first, second) = tokio::join!(ask_as(&entry, "/x", "id-1"), second);
    assert_eq!((first.status, second.status), (200, 200));
    let seen = worker.seen.lock().unwrap();
    let connections: Vec<usize> = seen.iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [0, 0]);
}
