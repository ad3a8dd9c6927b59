//! Reading of a response ahead of its caller.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_entry::holding::Holder;
use chestnutvalve_entry::read_ahead::{End, Limit, ReadAhead};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Returns the body of an endless response that a worker writes in parts of 64 kB with a `pause` between them.
async fn endless(pause: Duration) -> Incoming {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let _ = socket.read(&mut [0; 1_024]).await;
        let mut written = socket.write_all(b"HTTP/1.1 200 X\r\n\r\n").await;
        while written.is_ok() {
            written = socket.write_all(&vec![0; 64 * 1_024]).await;
            sleep(pause).await;
        }
    });
    let socket = TokioIo::new(TcpStream::connect(address).await.unwrap());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(socket).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::get("/").header("host", "w1");
    let request = request.body(Empty::<Bytes>::new()).unwrap();
    sender.send_request(request).await.unwrap().into_body()
}

/// Guards against a worker's slot that stays in use for as long as a caller without a deadline does not read, and against cutting
/// off a caller that reads slowly, or one whose worker is slow.
#[rstest]
#[case::unread(Duration::ZERO, None, Some(End::Unread))]
#[case::slow_caller(Duration::ZERO, Some(Duration::from_millis(100)), None)]
#[case::slow_worker(Duration::from_millis(300), Some(Duration::ZERO), None)]
#[case::stopped_worker(Duration::from_mins(1), Some(Duration::ZERO), Some(End::Late))]
#[tokio::test]
async fn a_caller_without_a_deadline_that_reads_nothing_ends_the_transfer(
    #[case] worker_pause: Duration,
    #[case] caller_pause: Option<Duration>,
    #[case] expected: Option<End>,
) {
    let rest = endless(worker_pause).await;
    let (sender, ended) = oneshot::channel();
    let limit = Limit::Stall {
        worker: Duration::from_secs(1),
        caller: Duration::from_secs(1),
    };
    let on_end = |end, _| sender.send(end).unwrap();
    let mut body = ReadAhead::open(VecDeque::new(), rest, limit, &Holder::default(), on_end);
    let _caller = tokio::spawn(async move {
        let Some(pause) = caller_pause else {
            return std::future::pending().await;
        };
        while let Some(Ok(_)) = body.frame().await {
            sleep(pause).await;
        }
    });
    let end = timeout(Duration::from_secs(3), ended).await;
    assert_eq!(end.ok().map(Result::unwrap), expected);
}
