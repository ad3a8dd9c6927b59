//! Request bodies, and callers that break them off.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fleet::{start_single, wait_until};
use crate::gateway::{ask_as, fleet, success};
use crate::worker::{Received, Step, Worker, response};

/// Body of which the callers send the first half.
const BODY: &str = "sixteen letters.";
/// Time in which an entry would send a broken request to a further worker.
const RETRY_TIME: Duration = Duration::from_millis(200);

/// Header that frames [`BODY`].
fn framing(chunked: bool) -> String {
    if chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {}", BODY.len())
    }
}

/// Opens a connection and sends the head of a request with the first half of [`BODY`].
async fn send_half(address: SocketAddr, path: &str, id: &str, chunked: bool) -> TcpStream {
    let (framing, half) = (framing(chunked), &BODY[..BODY.len() / 2]);
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nchestnutvalve-attempt: {id}\r\n{framing}\r\n\r\n"
    );
    let half = if chunked {
        format!("{:x}\r\n{half}\r\n", half.len())
    } else {
        half.to_owned()
    };
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all((head + &half).as_bytes()).await.unwrap();
    caller
}

fn id(seen: &Received) -> &str {
    &seen.headers["chestnutvalve-attempt"]
}

fn bodies(worker: &Worker) -> Vec<String> {
    let seen = worker.seen.lock().unwrap();
    let text = |s: &Received| String::from_utf8(s.body.clone()).unwrap();
    seen.iter().map(text).collect()
}

/// Guards against a retry that sends the first half of a body as a whole one after the caller has disconnected.
#[rstest]
#[case::chunked(true)]
#[case::length(false)]
#[tokio::test]
async fn a_request_whose_body_breaks_off_does_not_run(#[case] chunked: bool) {
    let first = Worker::start("w1", success).await;
    let second = Worker::start("w2", success).await;
    let (_control, entry) = fleet(&[&first, &second]).await;
    for n in 0..10 {
        let caller = send_half(entry.gateway, "/x", &format!("cut-{n}"), chunked).await;
        sleep(Duration::from_millis(20)).await;
        drop(caller);
        // A connection on which a part of a body is due must not carry the next request.
        assert_eq!(ask_as(&entry, "/x", &format!("id-{n}")).await.status, 200);
    }
    sleep(RETRY_TIME).await;
    let ran = [bodies(&first), bodies(&second)].concat();
    assert_eq!(ran, [""; 10]);
}

/// Guards against the same fault for a request that must not be repeated, after a worker has refused it early.
#[rstest]
#[case::chunked(true)]
#[case::length(false)]
#[tokio::test]
async fn a_refused_request_whose_body_breaks_off_does_not_run(#[case] chunked: bool) {
    // The text of the refusal arrives when the caller has left.
    let refuse = |seen: &Received| {
        let head = "chestnutvalve-not-executed: 1\r\ncontent-length: 4\r\n";
        let head = format!(
            "HTTP/1.1 503 X\r\nchestnutvalve-attempt: {}\r\n{head}\r\n",
            id(seen)
        );
        let text = Step::Write(b"full".to_vec());
        let pause = Step::Pause(Duration::from_millis(40));
        vec![Step::Write(head.into_bytes()), pause, text]
    };
    let full = Worker::start_early("w1", refuse, success).await;
    let other = Worker::start("w2", success).await;
    let (_control, entry) = fleet(&[&full, &other]).await;
    for n in 0..10 {
        let caller = send_half(entry.gateway, "/once/x", &format!("cut-{n}"), chunked).await;
        sleep(Duration::from_millis(20)).await;
        drop(caller);
        sleep(Duration::from_millis(30)).await;
    }
    for n in 0..10 {
        // A connection on which a part of a body is due must not carry this request.
        ask_as(&entry, "/once/x", &format!("id-{n}")).await;
    }
    sleep(RETRY_TIME).await;
    let ran = [bodies(&full), bodies(&other)].concat();
    assert!(ran.iter().all(String::is_empty), "{ran:?}");
}

/// Guards against a body that is dropped although its request is otherwise forwarded unchanged.
#[rstest]
#[tokio::test]
async fn a_body_is_forwarded_with_every_method(
    #[values("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH")] method: &str,
    #[values(true, false)] chunked: bool,
) {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let framing = framing(chunked);
    let body = if chunked {
        format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len())
    } else {
        BODY.to_owned()
    };
    let request = format!("{method} /x HTTP/1.1\r\nhost: a.example\r\n{framing}\r\n\r\n{body}");
    caller.write_all(request.as_bytes()).await.unwrap();
    wait_until("request", || worker.count() == 1).await;
    assert_eq!(bodies(&worker), [BODY]);
}

/// Guards against a request for a tunnel that runs at a worker, with another path and without the bytes that follow.
#[tokio::test]
async fn a_tunnel_is_refused() {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let request = b"CONNECT a.example:80 HTTP/1.1\r\nhost: a.example\r\n\r\n";
    caller.write_all(request).await.unwrap();
    let mut status = [0; 12];
    caller.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 400");
    assert_eq!(worker.count(), 0);
}

/// Returns an HTTP/2 frame of stream 1.
fn h2_frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let stream = u8::from(kind != 4);
    [&length[1..], &[kind, flags, 0, 0, 0, stream], payload].concat()
}

/// Returns the frames of a connection whose only request sends the first half of [`BODY`]: up to it, and a reset.
fn h2_cancelled_request(headers: &[(&str, &str)]) -> [Vec<u8>; 2] {
    // POST, http and / from the static table, then literal fields.
    let mut block = vec![0x83, 0x86, 0x84];
    for (name, value) in headers {
        let text = |text: &str| [&[u8::try_from(text.len()).unwrap()], text.as_bytes()].concat();
        block.extend([vec![0], text(name), text(value)].concat());
    }
    let start = [
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        h2_frame(4, 0, &[]),
        h2_frame(1, 4, &block),
        h2_frame(0, 0, &BODY.as_bytes()[..BODY.len() / 2]),
    ];
    [start.concat(), h2_frame(3, 0, &[0, 0, 0, 8])]
}

/// Guards against a cancelled HTTP/2 stream that ends its request body like a complete one.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_stream_is_cancelled_does_not_run(
    #[values(None, Some("k1"))] key: Option<&str>,
    #[values(0, 30)] delay_ms: u64,
) {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| response(200, "ok")).await;
    worker.announce(entry.platform, "rationdesk").await;
    let mut headers = vec![("chestnutvalve-service", "rationdesk")];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let [start, reset] = h2_cancelled_request(&headers);
    for _ in 0..10 {
        let mut caller = TcpStream::connect(entry.callers).await.unwrap();
        if delay_ms == 0 {
            let both = [&start[..], &reset].concat();
            caller.write_all(&both).await.unwrap();
        } else {
            caller.write_all(&start).await.unwrap();
            sleep(Duration::from_millis(delay_ms)).await;
            caller.write_all(&reset).await.unwrap();
        }
        sleep(Duration::from_millis(20)).await;
    }
    sleep(RETRY_TIME).await;
    assert_eq!(bodies(&worker), [""; 0]);
}
