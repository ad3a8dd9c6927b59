//! Instance without state, which tells others where the control group is.
//!
//! It runs where there is no disk. Voters announce the group to it when its address is a configured one; otherwise it asks
//! the configured addresses and the members that it knows.

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

/// Name of the service.
pub const NAME: &str = "locator";
/// Time between two rounds of questions.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Time for one answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Builds the service, which listens at `address` for the internal protocol.
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

/// Returns the answer to an entry that asks an instance without state.
fn referral(controls: Vec<SocketAddr>) -> Update {
    Update {
        stale: true,
        version: Version::ZERO,
        controls,
        content: Content::Unchanged,
    }
}

/// Asks for the members unless they were announced lately.
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

/// Asks one address after the other until one knows the members.
async fn query_addresses(own: SocketAddr, rendezvous: &Rendezvous, addresses: &[SocketAddr]) {
    for address in addresses.iter().filter(|address| **address != own) {
        match rendezvous::fetch_members(&Client::new(*address), QUERY_TIMEOUT).await {
            Ok(members) if !members.is_empty() => return rendezvous.record_members(&members),
            Ok(_) => {}
            Err(error) => spdlog::debug!("asking {address} for the members: {error}"),
        }
    }
}
