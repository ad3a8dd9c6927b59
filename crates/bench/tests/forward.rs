//! Faults of the forwarder as observed at both ends of a connection.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_bench::forward::{Flow, Forwarder, Mode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which bytes count as lost. Far above a loopback round trip.
const LOSS_TIMEOUT: Duration = Duration::from_millis(300);
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

async fn connect_pair(mode: Mode) -> (Forwarder, TcpStream, TcpStream) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let target = listener.local_addr().unwrap();
    let forwarder = Forwarder::start(any, target).await.unwrap();
    let origin = TcpStream::connect(forwarder.address()).await.unwrap();
    let accepted = timeout(TEST_TIMEOUT, listener.accept())
        .await
        .unwrap()
        .unwrap()
        .0;
    forwarder.set_mode(mode);
    (forwarder, origin, accepted)
}

async fn delivers(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"ping").await.unwrap();
    let mut bytes = [0; 4];
    timeout(LOSS_TIMEOUT, to.read_exact(&mut bytes))
        .await
        .is_ok_and(|r| r.is_ok() && bytes == *b"ping")
}

/// Guards against a one-way drop that also affects the other direction, so that tests of asymmetric partitions would test
/// symmetric ones.
#[tokio::test]
async fn one_way_drop_affects_one_direction_and_keeps_the_connection() {
    let (forwarder, mut origin, mut target) = connect_pair(Mode::drop_responses()).await;
    assert!(delivers(&mut origin, &mut target).await);
    assert!(!delivers(&mut target, &mut origin).await);
    forwarder.set_mode(Mode::default());
    assert!(delivers(&mut target, &mut origin).await);
    assert!(delivers(&mut origin, &mut target).await);
}

/// Guards against a partition that closes connections, which real packet loss does not do.
#[tokio::test]
async fn partition_drops_both_directions_until_it_ends() {
    let (forwarder, mut origin, mut target) = connect_pair(Mode::partition()).await;
    assert!(!delivers(&mut origin, &mut target).await);
    assert!(!delivers(&mut target, &mut origin).await);
    forwarder.set_mode(Mode::default());
    assert!(delivers(&mut origin, &mut target).await);
}

/// Guards against a reset that the reader takes for the regular end of a body.
#[tokio::test]
async fn reset_within_a_body_is_a_read_error() {
    let to_origin = Flow {
        reset_after: 100_000,
        ..Flow::default()
    };
    let (_forwarder, mut origin, mut target) = connect_pair(Mode {
        to_origin,
        ..Mode::default()
    })
    .await;
    let sending = tokio::spawn(async move {
        let sent = target.write_all(&vec![7; 1_000_000]).await;
        (sent, target)
    });
    let mut bytes = Vec::new();
    let read = timeout(TEST_TIMEOUT, origin.read_to_end(&mut bytes))
        .await
        .unwrap();
    assert!(read.is_err(), "read {} bytes without an error", bytes.len());
    let _ = timeout(TEST_TIMEOUT, sending).await.unwrap();
}

/// Guards against refused connections that hang instead of failing.
#[tokio::test]
async fn refusal_closes_open_and_new_connections() {
    let refuse = Mode {
        refuse: true,
        ..Mode::default()
    };
    let (forwarder, mut origin, _target) = connect_pair(refuse).await;
    let mut byte = [0];
    let read = timeout(TEST_TIMEOUT, origin.read(&mut byte)).await.unwrap();
    assert!(matches!(read, Err(_) | Ok(0)));
    let mut new = TcpStream::connect(forwarder.address()).await.unwrap();
    let read = timeout(TEST_TIMEOUT, new.read(&mut byte)).await.unwrap();
    assert!(matches!(read, Err(_) | Ok(0)));
}

/// Guards against a delay that is not applied, so that scenarios of distant zones would measure nothing.
#[tokio::test]
async fn delay_applies_to_bytes() {
    let delay = Duration::from_millis(100);
    let (_forwarder, mut origin, mut target) = connect_pair(Mode::delay(delay)).await;
    let start = std::time::Instant::now();
    assert!(delivers(&mut origin, &mut target).await);
    assert!(start.elapsed() >= delay);
}
