//! Connections that the entry closes while the caller still sends.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_entry::socket::Socket;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::fleet::{start_single, wait_until};
use crate::gateway::{answer, fleet};
use crate::worker::{Received, Step, Worker, response};

/// Size of a response that fits in the buffers of both sockets, so that the entry has written all of it before the caller
/// has received it.
const RESPONSE_BYTES: usize = 400_000;
/// Time in which the entry writes a response and closes the connection.
const CLOSE_TIME: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(5);

fn long_answer(seen: &Received) -> Vec<Step> {
    let answer = answer(seen, 200, "", &"x".repeat(RESPONSE_BYTES));
    [vec![Step::Pause(Duration::from_millis(100))], answer].concat()
}

/// Reads until the connection ends and returns the size of the body.
async fn read_body(caller: &mut TcpStream) -> std::io::Result<usize> {
    let mut bytes = Vec::new();
    timeout(TIMEOUT, caller.read_to_end(&mut bytes)).await??;
    let head = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    assert!(bytes.starts_with(b"HTTP/1.1 200 "));
    Ok(bytes.len() - head.expect("a complete head") - 4)
}

async fn pipeline(caller: &mut TcpStream, address: SocketAddr, requests: usize) {
    let headers = format!("host: {address}\r\nchestnutvalve-service: rationdesk");
    for _ in 0..requests {
        // The HTTP library reads one request ahead. Later ones stay in the socket.
        sleep(Duration::from_millis(10)).await;
        let request = format!("GET /x HTTP/1.1\r\n{headers}\r\n\r\n");
        caller.write_all(request.as_bytes()).await.unwrap();
    }
}

/// Guards against a planned stop that cuts off the response to a caller which has sent further requests.
#[tokio::test]
async fn a_planned_stop_delivers_the_response_of_a_pipelining_caller() {
    let worker = Worker::start("w1", long_answer).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n";
    caller.write_all(request).await.unwrap();
    wait_until("request", || worker.count() == 1).await;
    entry.shutdown.request();
    pipeline(&mut caller, entry.gateway, 3).await;
    sleep(CLOSE_TIME).await;
    assert_eq!(read_body(&mut caller).await.unwrap(), RESPONSE_BYTES);
}

/// Guards against the same fault at the listener that proxies requests by service.
#[tokio::test]
async fn a_planned_stop_of_the_proxy_delivers_the_response_of_a_pipelining_caller() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| {
        let answer = response(200, &"x".repeat(RESPONSE_BYTES));
        [vec![Step::Pause(Duration::from_millis(100))], answer].concat()
    })
    .await;
    worker.announce(entry.platform, "rationdesk").await;
    let mut caller = TcpStream::connect(entry.callers).await.unwrap();
    pipeline(&mut caller, entry.callers, 1).await;
    wait_until("request", || worker.count() == 1).await;
    entry.shutdown.request();
    pipeline(&mut caller, entry.callers, 3).await;
    sleep(CLOSE_TIME).await;
    assert_eq!(read_body(&mut caller).await.unwrap(), RESPONSE_BYTES);
}

/// Guards against cutting off a response that a worker sent before it read the whole body of the request.
#[tokio::test]
async fn an_early_response_is_delivered_to_a_caller_that_still_sends() {
    let worker = Worker::start_early("w1", long_answer, |_| Vec::new()).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let size = 4 * RESPONSE_BYTES;
    let head = format!("POST /x HTTP/1.1\r\nhost: a.example\r\ncontent-length: {size}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    let (mut reading, mut writing) = caller.split();
    let send = async {
        for _ in 0..size / 1_000 {
            sleep(Duration::from_millis(1)).await;
            if writing.write_all(&[b'x'; 1_000]).await.is_err() {
                break;
            }
        }
    };
    let receive = async {
        sleep(CLOSE_TIME).await;
        let mut bytes = Vec::new();
        let read = timeout(TIMEOUT, reading.read_to_end(&mut bytes)).await;
        (read.unwrap().map_err(|e| e.kind()), bytes.len())
    };
    let ((read, received), ()) = tokio::join!(receive, send);
    assert!(
        read.is_ok() && received > RESPONSE_BYTES,
        "{read:?} after {received} bytes"
    );
}

/// Guards against a closed connection that a silent caller keeps open.
#[rstest]
#[case::open(false)]
#[case::closed(true)]
#[tokio::test(start_paused = true)]
async fn a_closed_connection_ends(#[case] caller_closes: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let mut socket = Socket::new(accepted);
    let _open = (!caller_closes).then_some(caller);
    let since = Instant::now();
    socket.shutdown().await.unwrap();
    let expected = Duration::from_secs(if caller_closes { 0 } else { 3 });
    assert_eq!(since.elapsed().as_secs(), expected.as_secs());
}
