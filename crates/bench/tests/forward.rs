//! Faults of the forwarder, seen from both ends of a connection.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_bench::forward::{Flow, Forwarder, Mode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which bytes count as lost; far above a loopback round trip.
const LOST: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(10);

async fn pair(mode: Mode) -> (Forwarder, TcpStream, TcpStream) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let target = listener.local_addr().unwrap();
    let forwarder = Forwarder::start(any, target).await.unwrap();
    let origin = TcpStream::connect(forwarder.address()).await.unwrap();
    let accepted = timeout(LIMIT, listener.accept()).await.unwrap().unwrap().0;
    forwarder.set_mode(mode);
    (forwarder, origin, accepted)
}

async fn passes(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"ping").await.unwrap();
    let mut bytes = [0; 4];
    timeout(LOST, to.read_exact(&mut bytes))
        .await
        .is_ok_and(|r| r.is_ok() && bytes == *b"ping")
}

/// Guards against a one-way cut that also loses the other way, which would hide faults of asymmetric partitions.
#[tokio::test]
async fn a_one_way_cut_loses_one_way_only_and_keeps_the_connection() {
    let (forwarder, mut origin, mut target) = pair(Mode::drop_responses()).await;
    assert!(passes(&mut origin, &mut target).await);
    assert!(!passes(&mut target, &mut origin).await);
    forwarder.set_mode(Mode::default());
    assert!(passes(&mut target, &mut origin).await);
    assert!(passes(&mut origin, &mut target).await);
}

/// Guards against a cut that closes connections, which a real loss of packets does not do.
#[tokio::test]
async fn a_cut_both_ways_swallows_and_ends() {
    let (forwarder, mut origin, mut target) = pair(Mode::partition()).await;
    assert!(!passes(&mut origin, &mut target).await);
    assert!(!passes(&mut target, &mut origin).await);
    forwarder.set_mode(Mode::default());
    assert!(passes(&mut origin, &mut target).await);
}

/// Guards against a reset that looks like the regular end of a body.
#[tokio::test]
async fn a_reset_in_a_body_is_an_error_at_the_reader() {
    let to_origin = Flow {
        reset_after: 100_000,
        ..Flow::default()
    };
    let (_forwarder, mut origin, mut target) = pair(Mode {
        to_origin,
        ..Mode::default()
    })
    .await;
    let sending = tokio::spawn(async move {
        let sent = target.write_all(&vec![7; 1_000_000]).await;
        (sent, target)
    });
    let mut bytes = Vec::new();
    let read = timeout(LIMIT, origin.read_to_end(&mut bytes))
        .await
        .unwrap();
    assert!(read.is_err(), "read {} bytes without an error", bytes.len());
    let _ = timeout(LIMIT, sending).await.unwrap();
}

/// Guards against refused connections that hang instead of failing.
#[tokio::test]
async fn refusal_ends_open_and_new_connections() {
    let refuse = Mode {
        refuse: true,
        ..Mode::default()
    };
    let (forwarder, mut origin, _target) = pair(refuse).await;
    let mut byte = [0];
    let read = timeout(LIMIT, origin.read(&mut byte)).await.unwrap();
    assert!(matches!(read, Err(_) | Ok(0)));
    let mut new = TcpStream::connect(forwarder.address()).await.unwrap();
    let read = timeout(LIMIT, new.read(&mut byte)).await.unwrap();
    assert!(matches!(read, Err(_) | Ok(0)));
}

/// Guards against a delay that is not applied, which would make scenarios of distant zones meaningless.
#[tokio::test]
async fn a_delay_holds_bytes_back() {
    let delay = Duration::from_millis(100);
    let (_forwarder, mut origin, mut target) = pair(Mode::delay(delay)).await;
    let start = std::time::Instant::now();
    assert!(passes(&mut origin, &mut target).await);
    assert!(start.elapsed() >= delay);
}
