//! Service of the internal protocol.

use std::sync::Arc;

use chestnutvalve_kernel::Service;
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_model::control::{Heartbeat, Watch};
use chestnutvalve_wire::{Router, Server};

use super::{Instance, directory, status, task, watch};

/// Name of the service.
pub const NAME: &str = "internal";

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    task(NAME, instance, |instance, shutdown| async move {
        let address = instance.settings.peers;
        let server = Server::bind(address).await;
        let server = server.map_err(|e| Failure(format!("peers {address}: {e}")))?;
        Ok(async move {
            tokio::select! {
                () = server.serve(router(&instance)) => {}
                () = shutdown.requested() => {}
            }
        })
    })
}

fn router(instance: &Arc<Instance>) -> Router {
    let (watches, heartbeats) = (Arc::clone(instance), Arc::clone(instance));
    let (batches, overviews) = (Arc::clone(instance), Arc::clone(instance));
    let entries = Arc::clone(instance);
    let router = instance.network.route(Router::default());
    router
        .route("config/watch", move |ask: Watch| {
            let instance = Arc::clone(&watches);
            async move { Ok(watch::watch(&instance, &ask).await) }
        })
        .route("directory/heartbeat", move |heartbeat: Heartbeat| {
            let instance = Arc::clone(&heartbeats);
            async move { directory::heartbeat(&instance, heartbeat).await }
        })
        .route("leader/heartbeats", move |batch: Vec<Heartbeat>| {
            let instance = Arc::clone(&batches);
            async move { directory::receive(&instance, batch) }
        })
        .route("control/status", move |(): ()| {
            let instance = Arc::clone(&overviews);
            async move { Ok(status::own(&instance)) }
        })
        .route("leader/entries", move |(): ()| {
            let instance = Arc::clone(&entries);
            async move { Ok(status::entries(&instance)) }
        })
}
