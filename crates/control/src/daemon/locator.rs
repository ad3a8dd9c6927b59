//! Stateless control instance that directs others to the control group.
//!
//! It runs on machines without a disk. Voters announce the group to it when its address is a configured one; otherwise it
//! queries the configured addresses and the members that it knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_model::control::{Content, Update, Watch};
use chestnutvalve_model::error::Fault;
use chestnutvalve_model::version::Version;
use chestnutvalve_wire::{Client, Router, Server};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::rendezvous::{self, Rendezvous};

/// Service name in the registry.
pub const NAME: &str = "locator";
/// Interval between two rounds of queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Builds the service, which serves the internal protocol at `address`.
#[must_use]
pub fn service(address: SocketAddr, rendezvous: &Rendezvous) -> Service {
    let task = Arc::new(Mutex::new(JoinSet::new()));
    let (started, rendezvous) = (Arc::clone(&task), rendezvous.clone());
    Service::new(NAME, Arc::new(rendezvous.clone()))
        .on_start(move || async move {
            let server = Server::bind(address).await;
            let server = server.map_err(|e| Failure(format!("peers {address}: {e}")))?;
            let mut tasks = started.lock().await;
            tasks.spawn(server.serve(router(&rendezvous)));
            tasks.spawn(poll_members(address, rendezvous));
            Ok(())
        })
        .on_stop(move || async move {
            task.lock().await.shutdown().await;
            Ok(())
        })
}

fn router(rendezvous: &Rendezvous) -> Router {
    let (asked, watched) = (rendezvous.clone(), rendezvous.clone());
    let router = rendezvous.route(Router::default(), move || asked.fresh_members());
    router.route("config/watch", move |_: Watch| {
        let update = referral(watched.members());
        async move { Ok::<_, Fault>(update) }
    })
}

/// Returns the answer to a watch: no content, only the addresses of the control instances.
fn referral(controls: Vec<SocketAddr>) -> Update {
    Update {
        stale: true,
        version: Version::ZERO,
        controls,
        content: Content::Unchanged,
    }
}

/// Queries the members repeatedly, except while recent announcements are available.
async fn poll_members(own: SocketAddr, rendezvous: Rendezvous) {
    loop {
        if rendezvous.fresh_members().is_empty() {
            let mut addresses = rendezvous.members();
            addresses.extend(rendezvous.configured());
            query_addresses(own, &rendezvous, &addresses).await;
        }
        sleep(QUERY_INTERVAL).await;
    }
}

/// Queries the addresses one after another until one returns members.
async fn query_addresses(own: SocketAddr, rendezvous: &Rendezvous, addresses: &[SocketAddr]) {
    for address in addresses.iter().filter(|address| **address != own) {
        match rendezvous::fetch_members(&Client::new(*address), QUERY_TIMEOUT).await {
            Ok(members) if !members.is_empty() => return rendezvous.record_members(&members),
            Ok(_) => {}
            Err(error) => spdlog::debug!("querying {address} for the members failed: {error}"),
        }
    }
}
