//! Requests and responses that share a caller's connection.

use std::time::Duration;

use chestnutvalve_model::routes::{Kind, Route};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::fleet::{start_single, wait_until};
use crate::gateway::{answer, fleet, route, success, table};
use crate::worker::{Received, Step, Worker};

/// Size of a response that fits in a send buffer.
const RESPONSE_BYTES: usize = 40_000;
const TIMEOUT: Duration = Duration::from_secs(5);

fn path(seen: &Received) -> &str {
    seen.head.split(' ').nth(1).unwrap()
}

fn request(method: &str, path: &str, more: &str) -> String {
    let id = path.trim_start_matches('/');
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nchestnutvalve-attempt: {id}\r\n{more}\r\n"
    )
}

/// Reads the head of a response and as much of its body as it declares.
async fn read_response(caller: &mut TcpStream, has_body: bool) -> std::io::Result<(u16, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(timeout(TIMEOUT, caller.read_u8()).await??);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let status = head[9..12].parse().unwrap();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; if has_body { length } else { 0 }];
    timeout(TIMEOUT, caller.read_exact(&mut body)).await??;
    Ok((status, body))
}

/// Guards against bodies that are mixed up with the requests before and after them on a connection.
#[tokio::test]
async fn a_chunked_body_behind_another_request_runs_unchanged() {
    let worker = Worker::start("w1", |seen| {
        [vec![Step::Pause(Duration::from_millis(50))], success(seen)].concat()
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let chunked = "transfer-encoding: chunked\r\ntrailer: x-a\r\n";
    let start = [
        request("GET", "/a", ""),
        request("DELETE", "/b", chunked),
        "5\r\nfirst\r\n7;x=y\r\n sec".to_owned(),
    ];
    caller.write_all(start.concat().as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    let end = [
        "ond\r\n0\r\nx-a: b\r\n\r\n".to_owned(),
        request("GET", "/c", ""),
    ];
    caller.write_all(end.concat().as_bytes()).await.unwrap();
    for _ in 0..3 {
        assert_eq!(read_response(&mut caller, true).await.unwrap().0, 200);
    }
    let seen = worker.seen.lock().unwrap();
    let ran: Vec<(&str, &[u8])> = seen.iter().map(|s| (path(s), &s.body[..])).collect();
    let expected: [(&str, &[u8]); 3] = [("/a", b""), ("/b", b"first second"), ("/c", b"")];
    assert_eq!(ran, expected);
}

/// Guards against a caller that waits for leave to send its body until its request times out.
#[tokio::test]
async fn a_caller_that_expects_a_continue_gets_it() {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let head = request(
        "POST",
        "/a",
        "expect: 100-continue\r\ncontent-length: 4\r\n",
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    assert_eq!(read_response(&mut caller, true).await.unwrap().0, 100);
    caller.write_all(b"body").await.unwrap();
    assert_eq!(read_response(&mut caller, true).await.unwrap().0, 200);
    let seen = worker.seen.lock().unwrap();
    assert_eq!((seen.len(), &seen[0].body[..]), (1, &b"body"[..]));
}

/// Guards against a response to HEAD whose declared length is taken for a body, and against a body of a HEAD request that
/// is read as the next request.
#[tokio::test]
async fn a_head_request_leaves_its_connection_usable() {
    let worker = Worker::start("w1", |seen| {
        let mut steps = success(seen);
        if seen.head.starts_with("HEAD")
            && let Step::Write(bytes) = &mut steps[0]
        {
            bytes.truncate(bytes.len() - 2);
        }
        steps
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let head = request("HEAD", "/a", "content-length: 4\r\n") + "body";
    let both = head + &request("GET", "/b", "");
    caller.write_all(both.as_bytes()).await.unwrap();
    assert_eq!(read_response(&mut caller, false).await.unwrap().0, 200);
    let second = read_response(&mut caller, true).await.unwrap();
    assert_eq!(second, (200, b"ok".to_vec()));
    assert_eq!(worker.seen.lock().unwrap()[0].body, b"body");
}

/// Guards against a complete response that a caller loses because the response behind it breaks off, or is not complete at
/// its deadline, while further requests are unread.
#[rstest]
#[case::broken(true)]
#[case::late(false)]
#[tokio::test]
async fn a_failed_response_does_not_take_the_one_before_it_along(#[case] breaks: bool) {
    let body = "x".repeat(RESPONSE_BYTES);
    let worker = Worker::start("w1", move |seen| {
        let mut steps = answer(seen, 200, "", &body);
        if path(seen) != "/a"
            && let Step::Write(bytes) = &mut steps[0]
        {
            bytes.truncate(10_000);
            let end = if breaks {
                [Step::Pause(Duration::from_millis(700)), Step::Close]
            } else {
                [Step::Pause(Duration::from_secs(3)), Step::Close]
            };
            steps.extend(end);
        }
        steps
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    // The first response stays in the entry's send buffer.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    let mut caller = socket.connect(entry.gateway).await.unwrap();
    for path in ["/a", "/b", "/c", "/d", "/e"] {
        caller
            .write_all(request("GET", path, "").as_bytes())
            .await
            .unwrap();
        // The HTTP library reads one request ahead. Later ones stay in the socket.
        sleep(Duration::from_millis(100)).await;
    }
    // By now the entry has closed the connection because of the second response.
    sleep(Duration::from_millis(1_300)).await;
    let first = read_response(&mut caller, true).await;
    assert_eq!(first.unwrap().1.len(), RESPONSE_BYTES);
}

/// Guards against a planned stop that cuts off pipelined responses which their caller reads steadily, or a response that
/// it starts to read only during the stop.
#[rstest]
#[case::steadily(3, Duration::ZERO, 4_000_000)]
#[case::late(1, Duration::from_secs(2), usize::MAX)]
#[tokio::test]
async fn a_planned_stop_delivers_responses_to_a_slow_caller(
    #[case] requests: usize,
    #[case] unread: Duration,
    #[case] bytes_per_second: usize,
) {
    let body = "x".repeat(3_000_000);
    let worker = Worker::start("w1", move |seen| answer(seen, 200, "", &body)).await;
    let (control, entry) = fleet(&[&worker]).await;
    let patient = Route {
        timeout_ms: 8_000,
        ..route("/", Kind::Idempotent)
    };
    control.publish(table(2, vec![patient]));
    wait_until("routes", || entry.state().routes.label == 2).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    for n in 0..requests {
        let text = request("GET", &format!("/{n}"), "");
        caller.write_all(text.as_bytes()).await.unwrap();
    }
    wait_until("request", || worker.count() >= 1).await;
    sleep(Duration::from_millis(50)).await;
    entry.shutdown.request();
    sleep(unread).await;
    let mut read = Vec::new();
    let mut part = vec![0; 40_000];
    loop {
        let count = timeout(TIMEOUT, caller.read(&mut part))
            .await
            .unwrap()
            .unwrap();
        if count == 0 {
            break;
        }
        read.extend_from_slice(&part[..count]);
        if bytes_per_second < usize::MAX {
            sleep(Duration::from_micros(
                (count * 1_000_000 / bytes_per_second) as u64,
            ))
            .await;
        }
    }
    let text = String::from_utf8(read).unwrap();
    let responses = text.split("HTTP/1.1 200").skip(1);
    let bodies: Vec<usize> = responses
        .map(|r| r.split_once("\r\n\r\n").unwrap().1.len())
        .collect();
    assert!(
        !bodies.is_empty() && bodies.iter().all(|size| *size == 3_000_000),
        "{bodies:?}"
    );
}

/// Guards against a response that is cut off because its caller has closed its sending side, and against a connection that
/// stays open after it.
#[rstest]
#[case::gateway(true)]
#[case::proxy(false)]
#[tokio::test]
async fn a_caller_that_has_sent_everything_gets_its_response(#[case] gateway: bool) {
    let body = "x".repeat(8_000_000);
    let mut worker = Worker::start("w1", move |seen| answer(seen, 200, "", &body)).await;
    let (_control, entry) = if gateway {
        fleet(&[&worker]).await
    } else {
        let running = start_single().await;
        worker.announce(running.1.platform, "rationdesk").await;
        running
    };
    let address = if gateway {
        entry.gateway
    } else {
        entry.callers
    };
    let mut caller = TcpStream::connect(address).await.unwrap();
    let head = request("GET", "/a", "chestnutvalve-service: rationdesk\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut start = [0; 12];
    caller.read_exact(&mut start).await.unwrap();
    caller.shutdown().await.unwrap();
    let mut read = Vec::new();
    let all = timeout(TIMEOUT, caller.read_to_end(&mut read)).await;
    all.unwrap().unwrap();
    assert!(read.len() >= 8_000_000, "{} bytes", read.len());
}
