//! Connections on which the peer goes silent.

#[path = "support/forwarder.rs"]
mod forwarder;

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_model::error::Fault;
use chestnutvalve_wire::{Client, Error, KeepAlive, Router, Server};
use rstest::rstest;
use tokio::time::{Instant, sleep};

use forwarder::Forwarder;

const KEEP_ALIVE: KeepAlive = KeepAlive {
    interval: Duration::from_millis(100),
    timeout: Duration::from_millis(200),
};
/// Time in which a silent connection is noticed, and a margin.
const NOTICE_TIME: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(5);

/// Starts a server whose call `wait` answers after the milliseconds that it is asked for.
async fn start_server() -> SocketAddr {
    let server = Server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = server.address().unwrap();
    let router = Router::default().route("wait", |ms: u64| async move {
        sleep(Duration::from_millis(ms)).await;
        Ok::<u64, Fault>(ms)
    });
    tokio::spawn(server.serve(router));
    address
}

async fn wait(client: &Client, ms: u64) -> Result<u64, Error> {
    client.call("wait", &ms, LIMIT).await
}

/// Guards against calls that wait for their whole time limit on a connection that has gone silent, also when it went silent
/// right after the answer to a ping.
#[rstest]
#[tokio::test]
async fn a_call_on_a_silent_connection_fails_early(
    #[values(50, 105, 150, 205, 305)] silent_after_ms: u64,
) {
    let forwarder = Forwarder::start(start_server().await, Duration::ZERO).await;
    let client = Client::new(forwarder.address).with_keep_alive(KEEP_ALIVE);
    assert_eq!(wait(&client, 0).await.unwrap(), 0);
    let second = client.clone();
    let waiting = tokio::spawn(async move { wait(&second, 4_000).await });
    let first = wait(&client, 4_000);
    let silence = async {
        sleep(Duration::from_millis(silent_after_ms)).await;
        forwarder.silence();
        Instant::now()
    };
    let (first, second, since) = tokio::join!(first, waiting, silence);
    assert!(since.elapsed() < NOTICE_TIME, "{:?}", since.elapsed());
    for outcome in [first, second.unwrap()] {
        assert!(
            matches!(outcome, Err(Error::Connection { .. })),
            "{outcome:?}"
        );
    }
    // The next call opens a connection to the same peer.
    assert_eq!(wait(&client, 1).await.unwrap(), 1);
}

/// Guards against a call that is lost on a connection that has gone silent while it was idle.
#[tokio::test]
async fn a_call_after_a_pause_uses_a_new_connection() {
    let forwarder = Forwarder::start(start_server().await, Duration::ZERO).await;
    let client = Client::new(forwarder.address).with_keep_alive(KEEP_ALIVE);
    assert_eq!(wait(&client, 0).await.unwrap(), 0);
    forwarder.silence();
    sleep(KEEP_ALIVE.interval + KEEP_ALIVE.timeout).await;
    let since = Instant::now();
    assert_eq!(wait(&client, 1).await.unwrap(), 1);
    assert!(since.elapsed() < KEEP_ALIVE.interval);
}

/// Guards against a peer that counts as silent because its link is slow or because it answers a call late.
#[rstest]
#[case::late_answer(0)]
#[case::slow_link(80)]
#[tokio::test]
async fn a_slow_peer_is_not_silent(#[case] delay_ms: u64) {
    let delay = Duration::from_millis(delay_ms);
    let forwarder = Forwarder::start(start_server().await, delay).await;
    let client = Client::new(forwarder.address).with_keep_alive(KEEP_ALIVE);
    assert_eq!(wait(&client, 2_000).await.unwrap(), 2_000);
}

/// Guards against connections that are replaced again and again while an overloaded peer prepares its first answer.
#[tokio::test]
async fn a_peer_has_the_whole_limit_for_its_first_answer() {
    let forwarder = Forwarder::start(start_server().await, KEEP_ALIVE.timeout).await;
    let client = Client::new(forwarder.address).with_keep_alive(KEEP_ALIVE);
    assert_eq!(wait(&client, 500).await.unwrap(), 500);
}

/// Guards against a time limit that is shorter than the round trip on a link with a delay of 300 ms.
#[test]
fn the_limit_of_a_deployment_allows_slow_links() {
    let keep_alive = KeepAlive::within(Duration::from_secs(2));
    assert!(keep_alive.timeout > Duration::from_millis(600));
    assert!(keep_alive.interval + keep_alive.timeout < Duration::from_secs(2));
}
