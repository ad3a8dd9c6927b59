//! Evidence about workers that the entries of a service share with each other.
//!
//! In the expected load, one entry sends a few requests per second to each worker, so that without sharing a faulty
//! worker fails one request at every entry before all have detected it. Sharing the first failure costs one message to
//! each other entry.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::control::State;
use chestnutvalve_model::error::Fault;
use chestnutvalve_model::id::{Incarnation, Service, Worker};
use chestnutvalve_wire::{Error, Router};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{Gateway, assignment};
use crate::instance::Instance;

/// Maximum number of observations that wait to be sent: several seconds' worth at the highest failure rate.
pub const MAX_QUEUED_OBSERVATIONS: usize = 1_024;
/// Maximum number of entries that receive one observation. Beyond it, the messages cost more than the failures that
/// they prevent.
const MAX_RECIPIENTS: usize = 64;
/// Timeout of a call that delivers observations. Older ones are of little use.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// How long observations are collected before they are sent. A faulty worker fails only a few requests in this time.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of observations in one message.
const MAX_BATCH_OBSERVATIONS: usize = 64;

/// What an attempt has shown about a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// Service of the worker.
    pub service: Service,
    /// The worker that was observed.
    pub worker: Worker,
    /// Incarnation of the worker that was observed.
    pub incarnation: Incarnation,
    /// What was observed.
    pub finding: Finding,
}

/// What the response of a worker has shown. The order of the variants is part of the message format.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Finding {
    /// The attempt succeeded.
    Success,
    /// The attempt failed.
    Failure,
    /// The worker said that it leaves.
    Leaving,
}

/// Returns the peer addresses of the entries that serve a service: those that are assigned to its hosts.
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

/// Sends queued observations to the other entries until dropped.
pub async fn forward(gateway: Arc<Gateway>, mut observations: mpsc::Receiver<Observation>) {
    let mut batch = Vec::new();
    while observations
        .recv_many(&mut batch, MAX_BATCH_OBSERVATIONS)
        .await
        > 0
    {
        // Failures come in bursts, so that one message can carry several.
        sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH_OBSERVATIONS
            && let Ok(more) = observations.try_recv()
        {
            batch.push(more);
        }
        let mut messages: HashMap<SocketAddr, Vec<Observation>> = HashMap::new();
        for observation in batch.drain(..) {
            let recipients = gateway.dispatching_entries(&observation.service);
            // If there are too many recipients, each observation goes to a random sample, so that no entry is
            // permanently left out.
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
        spdlog::debug!("sending observations to {recipient} failed: {error}");
    }
}

const PATH: &str = "gateway/sightings";

/// Adds the handler of observations from other entries.
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
