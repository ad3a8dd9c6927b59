//! Protocol between entries: worker digests, withdrawals and the replicated state.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_membership::digest::Digest;
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::error::Fault;
use chestnutvalve_model::id::{Incarnation, Service, Worker};
use chestnutvalve_wire::{Client, Error, Router, Traffic};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock;
use crate::instance::Instance;

/// Interval between pulls of worker digests.
const PULL_INTERVAL: Duration = Duration::from_millis(600);
/// Time limit for the response to a pull; the proofs in a later response would be almost expired.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit for a peer to acknowledge a withdrawal.
const PUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of attempts to send a withdrawal to a peer.
const MAX_PUSH_ATTEMPTS: u32 = 3;
/// Time without a response after which workers are not directed to a peer as their home.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Notice that a worker is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Service that the worker leaves.
    pub service: Service,
    /// Name of the worker.
    pub worker: Worker,
    /// Incarnation that is leaving, which can't register again.
    pub incarnation: Incarnation,
}

/// Clients of the other entries, and since when each has not responded.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, Client>>,
    unresponsive_since: Mutex<HashMap<SocketAddr, Instant>>,
    traffic: Arc<Traffic>,
}

impl Peers {
    /// Creates an empty table whose clients count their messages in `traffic`.
    #[must_use]
    pub fn new(traffic: &Arc<Traffic>) -> Self {
        Self {
            traffic: Arc::clone(traffic),
            ..Self::default()
        }
    }

    /// Returns the client of a peer, and creates it if necessary.
    #[must_use]
    pub fn client(&self, peer: SocketAddr) -> Client {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Client::new(peer).counted(&self.traffic);
        let client = clients.entry(peer).or_insert_with(new);
        client.clone()
    }

    fn record_answer(&self, now: Instant, peer: SocketAddr, answered: bool) {
        let unresponsive = self.unresponsive_since.lock();
        let mut unresponsive = unresponsive.unwrap_or_else(PoisonError::into_inner);
        if answered {
            unresponsive.remove(&peer);
        } else {
            unresponsive.entry(peer).or_insert(now);
        }
    }

    /// Returns whether a peer has not responded for 2 s or longer.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant, peer: SocketAddr) -> bool {
        let unresponsive = self.unresponsive_since.lock();
        let unresponsive = unresponsive.unwrap_or_else(PoisonError::into_inner);
        let since = unresponsive.get(&peer);
        since.is_some_and(|since| now.saturating_duration_since(*since) >= SILENCE_TIMEOUT)
    }

    /// Removes the peers that have left the directory.
    fn retain(&self, live: &[SocketAddr]) {
        let clients = self.clients.lock();
        clients
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|a, _| live.contains(a));
        let unresponsive = self.unresponsive_since.lock();
        unresponsive
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|a, _| live.contains(a));
    }
}

/// Returns the router of the calls that other entries make.
pub fn router(instance: &Arc<Instance>) -> Router {
    let digest = Arc::clone(instance);
    let withdraw = Arc::clone(instance);
    let fetch = Arc::clone(instance);
    Router::default()
        .counted(&instance.peers.traffic)
        .route("workers/digest", move |services: Vec<Service>| {
            let response = serve_digest(&digest, &services);
            async move { Ok::<Digest, Fault>(response) }
        })
        .route("workers/withdraw", move |message: Withdrawal| {
            withdraw.withdraw(&message);
            async { Ok::<(), Fault>(()) }
        })
        .route("config/fetch", move |(): ()| {
            let state = fetch.control_state.current();
            async move { Ok::<_, Fault>((*state).clone()) }
        })
}

fn serve_digest(instance: &Instance, services: &[Service]) -> Digest {
    // The peer asks for services that this instance may own too but has no state for yet.
    for service in services {
        if instance.owns(service) {
            instance.services.get_or_create(service);
        }
    }
    instance.registry().digest(clock::now(), services)
}

/// Pulls worker digests from the other owners of each service until dropped.
pub async fn pull_digests(instance: Arc<Instance>) {
    let mut ticks = interval(PULL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut requests: BTreeMap<SocketAddr, Vec<Service>> = BTreeMap::new();
        for service in instance.services.names() {
            // A draining instance still needs fresh proofs for the requests that it finishes.
            if !instance.owns(&service) && !instance.is_draining() {
                continue;
            }
            for owner in instance.other_owners(&service) {
                requests
                    .entry(owner.peers)
                    .or_default()
                    .push(service.clone());
            }
        }
        let state = instance.control_state.current();
        let members = state.directory.members.values();
        let live: Vec<SocketAddr> = members.map(|m| m.peers).collect();
        instance.peers.retain(&live);
        let pulls = requests
            .iter()
            .map(|(peer, services)| pull_digest(&instance, *peer, services));
        join_all(pulls).await;
        instance.sync_all();
    }
}

async fn pull_digest(instance: &Instance, peer: SocketAddr, services: &Vec<Service>) {
    let client = instance.peers.client(peer);
    let sent_at = clock::now();
    let digest: Result<Digest, Error> = client.call("workers/digest", services, PULL_TIMEOUT).await;
    let now = clock::now();
    instance.peers.record_answer(now, peer, digest.is_ok());
    match digest {
        Ok(digest) => instance.registry().merge(sent_at, now, &digest),
        Err(error) => spdlog::debug!("digest from {peer}: {error}"),
    }
}

/// Sends a withdrawal to the other owners of the service.
pub async fn push_withdrawal(instance: Arc<Instance>, message: Withdrawal) {
    let owners = instance.other_owners(&message.service);
    let pushes = owners.iter().map(|o| push_to(&instance, o, &message));
    join_all(pushes).await;
}

async fn push_to(instance: &Instance, owner: &Member, message: &Withdrawal) {
    let client = instance.peers.client(owner.peers);
    for _ in 0..MAX_PUSH_ATTEMPTS {
        let pushed: Result<(), Error> =
            client.call("workers/withdraw", message, PUSH_TIMEOUT).await;
        match pushed {
            Ok(()) => return,
            Err(error) => spdlog::debug!("withdrawal to {}: {error}", owner.entry),
        }
    }
}
