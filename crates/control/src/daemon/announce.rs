//! Service of voters that announces the group's members at the configured addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Service;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::{Instance, background_service};
use crate::rendezvous;
use crate::replica::Role;

/// Service name in the registry.
pub const NAME: &str = "announce";
/// Interval between two announcements at an address. Entries that start at the same time as the group wait for the next
/// one.
const INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one announcement, so that an unreachable address doesn't delay the next round for long.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    background_service(NAME, instance, |instance, shutdown| async move {
        Ok(async move {
            tokio::select! {
                () = run(&instance) => {}
                () = shutdown.requested() => {}
            }
        })
    })
}

async fn run(instance: &Arc<Instance>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if should_announce(instance) {
            announce_to_all(instance).await;
        }
    }
}

/// Returns whether this instance announces the group. A stale member may have an outdated membership. There may be many members
/// without a vote, whose announcements would overload the few configured addresses.
fn should_announce(instance: &Instance) -> bool {
    let status = instance.status();
    !instance.is_stale() && status.is_some_and(|status| status.role != Role::Learner)
}

async fn announce_to_all(instance: &Arc<Instance>) {
    let members: Arc<Vec<SocketAddr>> =
        Arc::new(instance.control_addresses().into_values().collect());
    let mut calls = JoinSet::new();
    for address in instance.rendezvous.configured() {
        if address == instance.settings.peers {
            continue;
        }
        let (client, members) = (instance.network.client(address), Arc::clone(&members));
        calls.spawn(async move {
            if let Err(error) = rendezvous::announce_members(&client, &members, CALL_TIMEOUT).await
            {
                spdlog::debug!("announcing the members at {address} failed: {error}");
            }
        });
    }
    calls.join_all().await;
}
