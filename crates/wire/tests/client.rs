//! Calls to peers that don't respond.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_wire::{Client, Error};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

/// Starts a listener that accepts nothing, and fills its queue. Like a host without power, it does not respond to the
/// first packet of a further connection.
async fn unresponsive_listener() -> (SocketAddr, Vec<TcpStream>, tokio::net::TcpListener) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    let limit = Duration::from_millis(100);
    while let Ok(opened) = timeout(limit, TcpStream::connect(address)).await {
        queued.push(opened.unwrap());
        assert!(queued.len() < 100, "the accept queue does not fill");
    }
    (address, queued, listener)
}

/// Guards against a group that has no leader for a second after all instances restarted: the first packet to the last
/// ones is lost, and TCP retransmits it only after 1 s.
#[tokio::test]
async fn connecting_to_an_unresponsive_peer_times_out_quickly() {
    let (address, _queued, _listener) = unresponsive_listener().await;
    let client = Client::new(address);
    let started = Instant::now();
    let called: Result<(), Error> = client.call("any", &(), Duration::from_secs(5)).await;
    assert!(
        matches!(called, Err(Error::Unreachable { .. })),
        "{called:?}"
    );
    assert!(started.elapsed() < Duration::from_millis(400));
}
