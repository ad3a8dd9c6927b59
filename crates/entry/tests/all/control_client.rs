//! Tests of the list of control instances that an entry uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutvalve_entry::control_client::ControlClient;
use chestnutvalve_entry::control_client::backoff::Backoff;
use chestnutvalve_model::routes::Kind;
use chestnutvalve_model::version::Version;
use chestnutvalve_wire::KeepAlive;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::control::Control;
use crate::fleet::{APPLY_LIMIT_MS, Entry, wait_until};
use crate::forwarder::Forwarder;
use crate::gateway::{route, table};

const KEEP_ALIVE: KeepAlive = KeepAlive {
    interval: Duration::from_millis(500),
    timeout: Duration::from_secs(1),
};

fn addresses(ports: &[u16]) -> Vec<SocketAddr> {
    let address = |port: &u16| SocketAddr::from(([127, 0, 0, 1], *port));
    ports.iter().map(address).collect()
}

/// Guards against a deadlock between the locks of the configured and the known addresses, in which a reload of the settings
/// blocked the whole entry.
#[test]
fn a_reload_adds_the_new_addresses_to_the_known_members() {
    let client = ControlClient::new(&addresses(&[1, 2, 3]), KEEP_ALIVE, &Arc::default());
    client.set_members(&addresses(&[2, 3, 4]));
    client.set_configured(&addresses(&[4, 5]));
    assert_eq!(client.addresses(), addresses(&[2, 3, 4, 5]));
}

/// Guards against an entry that drops all control instances because one responded before it knew the members of its group.
#[test]
fn an_empty_list_of_members_is_not_adopted() {
    let client = ControlClient::new(&addresses(&[1]), KEEP_ALIVE, &Arc::default());
    client.set_members(&[]);
    assert_eq!(client.addresses(), addresses(&[1]));
}

/// Guards against an entry that starts with an outdated state because the first instance that responds has lost its quorum.
#[tokio::test]
async fn a_state_without_a_quorum_is_the_last_choice() {
    let control = Control::start().await;
    control.quorum_lost.store(true, Ordering::SeqCst);
    // Never responds, so that the entry waits for it.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let controls = [control.address, silent.local_addr().unwrap()];
    // Each entry starts with a random one of the two.
    let mut entries = Vec::new();
    for number in 0..8 {
        entries
            .push(Entry::start_with_controls(&format!("e{number}"), &controls, &[], 1_000).await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let early = entries.iter().map(|entry| entry.state().version);
    assert_eq!(early.max(), Some(Version::ZERO));
    wait_until("state of the only instance that answers", || {
        let mut states = entries.iter().map(|entry| entry.state().version);
        states.all(|version| version > Version::ZERO)
    })
    .await;
}

/// Guards against entries that retry at the same time or too often, and against one that hears of a recovered group too
/// late.
#[test]
fn retries_are_spread_and_bounded() {
    let mut backoff = Backoff::default();
    let delays: Vec<u128> = (0..5)
        .map(|_| backoff.next_delay(0.0).as_millis())
        .collect();
    assert_eq!(delays, [200, 400, 800, 1_500, 1_500]);
    assert_eq!(backoff.next_delay(1.0), Duration::from_millis(750));
    backoff.reset();
    assert_eq!(backoff.next_delay(0.5), Duration::from_millis(150));
}

/// Load pattern: the group has lost its leader, and 447 entries share five instances with a quarter of a core each. The
/// instances can't elect a leader while they answer several thousand calls per second.
///
/// Guards against an entry that polls all instances more often than every 0.75 s, half of the longest delay, or sends a
/// heartbeat to more than two of them.
#[tokio::test]
async fn an_entry_calls_instances_without_a_quorum_less_and_less_often() {
    let controls = [
        Control::start().await,
        Control::start().await,
        Control::start().await,
    ];
    for control in &controls {
        control.quorum_lost.store(true, Ordering::SeqCst);
    }
    let addresses = controls.each_ref().map(|c| c.address);
    let _entry = Entry::start_with_controls("e1", &addresses, &[], 1_000).await;
    sleep(Duration::from_secs(2)).await;
    let calls = || -> usize {
        controls
            .iter()
            .map(|c| c.calls.load(Ordering::SeqCst))
            .sum()
    };
    let before = calls();
    sleep(Duration::from_secs(5)).await;
    let made = calls() - before;
    let (rounds, heartbeats) = (7, 6);
    assert!(made <= rounds * 3 + heartbeats * 2, "{made} calls in 5 s");
}

/// Guards against an entry that keeps an older state because its connections to all control instances went silent, and each
/// of them holds it up for the whole time limit of a watch.
#[tokio::test]
async fn a_change_arrives_in_time_after_all_connections_went_silent() {
    let control = Control::start().await;
    let mut forwarders = Vec::new();
    for _ in 0..3 {
        forwarders.push(Forwarder::start(control.address, Duration::ZERO).await);
    }
    let addresses: Vec<SocketAddr> = forwarders.iter().map(|f| f.address).collect();
    let entry = Entry::start_with_controls("e1", &addresses, &[], 1_000).await;
    entry.wait_for_members(1).await;
    // Early in a watch, which waits for 2.5 s.
    sleep(Duration::from_millis(100)).await;
    forwarders.iter().for_each(Forwarder::silence);
    control.publish(table(7, vec![route("/", Kind::Idempotent)]));
    let since = Instant::now();
    wait_until("change", || entry.state().routes.label == 7).await;
    let limit = Duration::from_millis(APPLY_LIMIT_MS.into());
    assert!(since.elapsed() < limit, "{:?}", since.elapsed());
}
