//! Control instances that an entry knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutvalve_entry::control_client::ControlClient;
use chestnutvalve_model::version::Version;
use tokio::net::TcpListener;

use crate::control::Control;
use crate::fleet::{Entry, wait_until};

fn addresses(ports: &[u16]) -> Vec<SocketAddr> {
    let address = |port: &u16| SocketAddr::from(([127, 0, 0, 1], *port));
    ports.iter().map(address).collect()
}

/// Guards against a deadlock between the two lists: a reload stopped the whole entry.
#[test]
fn a_reload_adds_the_new_addresses_to_the_known_members() {
    let link = ControlClient::new(&addresses(&[1, 2, 3]), &Arc::default());
    link.set_members(&addresses(&[2, 3, 4]));
    link.set_configured(&addresses(&[4, 5]));
    assert_eq!(link.addresses(), addresses(&[2, 3, 4, 5]));
}

/// Guards against an entry that forgets all control instances because one answered before it knew the group.
#[test]
fn an_empty_list_of_members_is_not_adopted() {
    let link = ControlClient::new(&addresses(&[1]), &Arc::default());
    link.set_members(&[]);
    assert_eq!(link.addresses(), addresses(&[1]));
}

/// Guards against an entry that starts with an older state, because the first instance that answers has lost its quorum.
#[tokio::test]
async fn a_state_without_a_quorum_is_the_last_choice() {
    let control = Control::start().await;
    control.quorum_lost.store(true, Ordering::SeqCst);
    // Answers nothing, so that the entry waits for it.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let controls = [control.address, silent.local_addr().unwrap()];
    // Each entry begins with one of them at random.
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
