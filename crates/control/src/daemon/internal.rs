//! Service that answers the internal protocol.

use std::sync::Arc;

use chestnutvalve_kernel::Service;
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_ledger::Command;
use chestnutvalve_model::control::{Ask, Heartbeat, Watch};
use chestnutvalve_model::id::{Entry, Incarnation};
use chestnutvalve_wire::{Router, Server};

use super::members::Action;
use super::{Instance, background_service, directory, grants, ledger, members, status, watch};

/// Service name in the registry.
pub const NAME: &str = "internal";

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    background_service(NAME, instance, |instance, shutdown| async move {
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
    let router = instance.network.route(Router::default());
    let asked = Arc::clone(instance);
    let members = move || asked.fresh_addresses();
    let router = instance.rendezvous.route(router, members);
    let router = route_entry_calls(router, instance);
    let router = route_ledger_calls(router, instance);
    route_control_calls(router, instance)
}

/// Adds the calls that entries send to any instance.
fn route_entry_calls(router: Router, instance: &Arc<Instance>) -> Router {
    let (watches, heartbeats) = (Arc::clone(instance), Arc::clone(instance));
    let (leaves, asks) = (Arc::clone(instance), Arc::clone(instance));
    router
        .route("config/watch", move |ask: Watch| {
            let instance = Arc::clone(&watches);
            async move { Ok(watch::answer_watch(&instance, &ask).await) }
        })
        .route("directory/heartbeat", move |heartbeat: Heartbeat| {
            let instance = Arc::clone(&heartbeats);
            async move { directory::submit_heartbeat(&instance, heartbeat).await }
        })
        .route("eject/grant", move |ask: Ask| {
            let instance = Arc::clone(&asks);
            async move { grants::request(&instance, &ask).await }
        })
        .route("directory/leave", move |left: (Entry, Incarnation)| {
            let instance = Arc::clone(&leaves);
            async move { directory::submit_leave(&instance, left).await }
        })
}

/// Adds the calls of the at-most-once ledger, which any instance answers.
fn route_ledger_calls(router: Router, instance: &Arc<Instance>) -> Router {
    let (claims, records) = (Arc::clone(instance), Arc::clone(instance));
    let releases = Arc::clone(instance);
    router
        .route("ledger/claim", move |command: Command| {
            let instance = Arc::clone(&claims);
            async move { ledger::claim(&instance, command).await }
        })
        .route("ledger/record", move |command: Command| {
            let instance = Arc::clone(&records);
            async move { ledger::settle(&instance, command).await }
        })
        .route("ledger/release", move |command: Command| {
            let instance = Arc::clone(&releases);
            async move { ledger::settle(&instance, command).await }
        })
}

/// Adds the calls between control instances.
fn route_control_calls(router: Router, instance: &Arc<Instance>) -> Router {
    let (batches, overviews) = (Arc::clone(instance), Arc::clone(instance));
    let (entries, leaves) = (Arc::clone(instance), Arc::clone(instance));
    let (asks, actions) = (Arc::clone(instance), Arc::clone(instance));
    let reads = Arc::clone(instance);
    router
        .route("leader/heartbeats", move |batch: Vec<Heartbeat>| {
            let instance = Arc::clone(&batches);
            async move { directory::receive_heartbeats(&instance, batch) }
        })
        .route("leader/grant", move |ask: Ask| {
            let instance = Arc::clone(&asks);
            async move { grants::decide_as_leader(&instance, &ask) }
        })
        .route("leader/member", move |action: Action| {
            let instance = Arc::clone(&actions);
            async move { members::apply_as_leader(&instance, &action).await }
        })
        .route("leader/leave", move |left: (Entry, Incarnation)| {
            let instance = Arc::clone(&leaves);
            async move { directory::receive_leave(&instance, &left) }
        })
        .route("leader/published", move |(): ()| {
            let instance = Arc::clone(&reads);
            async move { instance.read_published_as_leader() }
        })
        .route("leader/entries", move |(): ()| {
            let instance = Arc::clone(&entries);
            async move {
                directory::leading_term(&instance)?;
                Ok(status::entry_status(&instance))
            }
        })
        .route("control/status", move |(): ()| {
            let instance = Arc::clone(&overviews);
            async move { Ok(status::local_status(&instance)) }
        })
}
