//! What the entries of a service tell each other about its workers.
//!
//! Load pattern: one entry sees a few requests a second at each worker, and a bad worker fails one request at every entry
//! before all have found out. Sharing the first failure costs one message to each of the others.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::control::State;
use chestnutvalve_model::error::Fault;
use chestnutvalve_model::id::{Incarnation, Service, Worker};
use chestnutvalve_routing::schedule::Evidence;
use chestnutvalve_wire::{Error, Router};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{Gateway, assignment};
use crate::instance::Instance;

/// Sightings that wait to be passed on, several seconds' worth at the worst rate of failures.
pub const MAX_QUEUED_OBSERVATIONS: usize = 1_024;
/// Most entries that hear of one sighting. Beyond it the messages cost more than the failures that they spare.
const MAX_RECIPIENTS: usize = 64;
/// Time for another entry to take a sighting; later it is of little worth.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which sightings are gathered; a bad worker fails a few requests in it at most.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Sightings in one message.
const MAX_BATCH_OBSERVATIONS: usize = 64;

/// What an attempt has shown of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// Service of the worker.
    pub service: Service,
    /// The worker.
    pub worker: Worker,
    /// Run of the worker.
    pub incarnation: Incarnation,
    /// Whether the attempt failed.
    pub failed: bool,
}

impl Observation {
    /// Returns what the sighting shows.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        if self.failed {
            Evidence::Failure
        } else {
            Evidence::Success
        }
    }
}

/// Returns the internal addresses of the entries that serve a service: those that are named for its hosts.
#[must_use]
pub fn serving_entries(state: &State, service: &Service) -> BTreeSet<SocketAddr> {
    let routes = state.routes.routes.values();
    let serves = |r: &&chestnutvalve_model::routes::Route| {
        r.split.iter().any(|share| share.service == *service)
    };
    let hosts: BTreeSet<&str> = routes.filter(serves).map(|r| r.host.as_str()).collect();
    let assigned = hosts
        .iter()
        .flat_map(|host| assignment::owners(state, host));
    assigned.map(|m| m.peers).collect()
}

/// Passes sightings on until dropped.
pub async fn forward(gateway: Arc<Gateway>, mut observations: mpsc::Receiver<Observation>) {
    let mut batch = Vec::new();
    while observations
        .recv_many(&mut batch, MAX_BATCH_OBSERVATIONS)
        .await
        > 0
    {
        // Failures come in groups; one message then carries several.
        sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH_OBSERVATIONS
            && let Ok(more) = observations.try_recv()
        {
            batch.push(more);
        }
        let mut messages: HashMap<SocketAddr, Vec<Observation>> = HashMap::new();
        for observation in batch.drain(..) {
            let recipients = gateway.dispatching_entries(&observation.service);
            // Of too many, others hear of each sighting, so that none is left out for good.
            let sample = recipients.iter().sample(&mut rand::rng(), MAX_RECIPIENTS);
            for recipient in sample {
                messages
                    .entry(*recipient)
                    .or_default()
                    .push(observation.clone());
            }
        }
        let own = gateway.instance.member().peers;
        for (recipient, message) in messages {
            if recipient != own {
                tokio::spawn(send(Arc::clone(&gateway.instance), recipient, message));
            }
        }
    }
}

async fn send(instance: Arc<Instance>, recipient: SocketAddr, message: Vec<Observation>) {
    let client = instance.peers.client(recipient);
    let sent: Result<(), Error> = client.call(PATH, &message, SEND_TIMEOUT).await;
    if let Err(error) = sent {
        spdlog::debug!("observations for {recipient}: {error}");
    }
}

/// Path of the internal call.
const PATH: &str = "gateway/sightings";

/// Adds the handler of other entries' sightings.
#[must_use]
pub fn add_routes(router: Router, gateway: &Arc<Gateway>) -> Router {
    let gateway = Arc::clone(gateway);
    router.route(PATH, move |message: Vec<Observation>| {
        for observation in &message {
            gateway
                .dispatcher(&observation.service)
                .record_observation(observation);
        }
        async { Ok::<(), Fault>(()) }
    })
}
