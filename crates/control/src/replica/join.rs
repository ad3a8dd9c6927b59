//! Bootstrap of a new group, and joining of an empty replica to an existing one.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_consensus::{Kind, Member, Membership, Position, ReplicaId};
use chestnutvalve_wire::{Client, Error};
use tokio::sync::{mpsc, oneshot};

use super::network::{Hello, HelloResponse, Input, Network};
use super::options::Peer;
use crate::rendezvous::{self, Rendezvous};
use crate::settings::MAX_VOTERS;

/// Interval between two rounds of calls to the known addresses.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Conclusion that a replica without a membership draws from the responses of its peers.
#[derive(Clone, Debug)]
pub(super) enum Finding {
    /// A quorum of the voters, or the leader, has no watermark of this replica.
    Fresh,
    /// All initial voters are empty and admitted, and this replica is the one that bootstraps the group.
    Bootstrap(Membership),
    /// A peer has a watermark of this replica, which data was lost from if its data directory does not reach it.
    Watermark(Position),
}

/// Inputs of the search for an existing group.
pub(super) struct Search {
    pub network: Network,
    pub hello: Hello,
    /// Initial voters.
    pub members: Vec<Peer>,
    pub rendezvous: Rendezvous,
}

/// Addresses of replicas that have sent messages to this replica, so that their memberships contain it.
type Contacts = Arc<Mutex<BTreeSet<SocketAddr>>>;

/// Running search, which ends when the guard is dropped.
pub(super) struct Guard {
    contacts: Contacts,
    _alive: oneshot::Receiver<()>,
}

impl Guard {
    /// Adds the address of a replica that has sent a message to this replica.
    pub fn record_contact(&self, address: SocketAddr) {
        let contacts = self.contacts.lock();
        contacts
            .unwrap_or_else(PoisonError::into_inner)
            .insert(address);
    }
}

/// Response of one replica to [`Hello`].
struct Response {
    hello: HelloResponse,
    address: SocketAddr,
    /// Voters in the membership of the responding replica; empty without a membership.
    voters: Vec<ReplicaId>,
}

/// Starts the search for the group and returns its guard.
pub(super) fn start(search: Search, inputs: mpsc::Sender<Input>) -> Guard {
    let (alive, guarded) = oneshot::channel();
    let contacts = Contacts::default();
    tokio::spawn(run(search, Arc::clone(&contacts), inputs, alive));
    Guard {
        contacts,
        _alive: guarded,
    }
}

async fn run(
    search: Search,
    contacts: Contacts,
    inputs: mpsc::Sender<Input>,
    alive: oneshot::Sender<()>,
) {
    while !alive.is_closed() {
        let contacted = contacts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for finding in search.run_round(contacted).await {
            let _ = inputs.send(Input::Join(finding)).await;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

impl Search {
    async fn run_round(&self, contacts: BTreeSet<SocketAddr>) -> Vec<Finding> {
        let mut visited = HashSet::from([self.hello.address]);
        let mut unvisited: Vec<SocketAddr> = self.members.iter().map(|peer| peer.address).collect();
        unvisited.extend(self.rendezvous.configured());
        unvisited.extend(self.rendezvous.members());
        unvisited.extend(contacts);
        let mut responses = Vec::new();
        let mut watermark = Position::default();
        while let Some(address) = unvisited.pop() {
            if !visited.insert(address) {
                continue;
            }
            let client = self.network.client(address);
            let answer =
                client.call::<_, HelloResponse>("replica/hello", &self.hello, CALL_TIMEOUT);
            match answer.await {
                Ok(hello) => {
                    unvisited.extend(hello.leader);
                    watermark = watermark.max(hello.watermark);
                    let voters = self.fetch_voters(&client, &hello).await;
                    responses.push(Response {
                        hello,
                        address,
                        voters,
                    });
                }
                // An instance without a replica of the group may know the group's members.
                Err(Error::Fault(_)) => {
                    let members = rendezvous::fetch_members(&client, CALL_TIMEOUT).await;
                    unvisited.extend(members.unwrap_or_default());
                }
                Err(error) => spdlog::debug!("call to {address} for the group failed: {error}"),
            }
        }
        // A replica that has voted has a watermark without having stored an entry.
        let mut findings = vec![Finding::Watermark(watermark)];
        // A group that was announced here exists, whether its members respond or not.
        let is_announced = !self.rendezvous.members().is_empty();
        let configured = (!is_announced).then(|| self.rendezvous.configured());
        let own = &self.hello;
        findings.extend(evaluate(own, &self.members, configured, &responses));
        findings
    }

    /// Queries the voters of a replica that has a membership. A replica that does not answer counts as having none.
    async fn fetch_voters(&self, client: &Client, hello: &HelloResponse) -> Vec<ReplicaId> {
        if !hello.formed {
            return Vec::new();
        }
        let voters = client.call("replica/voters", &self.hello.group, CALL_TIMEOUT);
        voters.await.unwrap_or_else(|error| {
            spdlog::debug!("query for the voters of {} failed: {error}", hello.name);
            Vec::new()
        })
    }
}

/// Evaluates the responses of one round. `members` are the initial voters, and `configured` the addresses that the settings
/// name now, if these may replace initial voters.
fn evaluate(
    hello: &Hello,
    members: &[Peer],
    configured: Option<Vec<SocketAddr>>,
    responses: &[Response],
) -> Vec<Finding> {
    let own = members.iter().any(|peer| peer.name == hello.name);
    let reached = |peer: &&Peer| responses.iter().any(|r| r.hello.name == peer.name);
    let reached = members.iter().filter(reached).count() + usize::from(own);
    let mut findings = Vec::new();
    if reached > members.len() / 2
        || responses
            .iter()
            .any(|r| r.hello.leads || is_quorum_reached(hello.id, &r.voters, responses))
    {
        findings.push(Finding::Fresh);
    }
    // Only the replica with the lowest name bootstraps, so two different initial memberships can't exist. It does so once.
    let first = members.iter().map(|peer| &peer.name).min();
    let ready = responses
        .iter()
        .all(|r| r.hello.admitted && !r.hello.formed);
    if first == Some(&hello.name) && ready {
        let voters: Option<Vec<&Response>> = if reached == members.len() {
            Some(responses.iter().collect())
        } else if reached > members.len() / 2 {
            configured.and_then(|c| replacements(hello, members, &c, responses))
        } else {
            None
        };
        findings.extend(voters.map(|v| Finding::Bootstrap(initial_membership(hello, &v))));
    }
    findings
}

/// Returns the responses of the other instances that the settings name now, if they name some in place of initial voters, for
/// example lost ones, and all of them respond. The replica must come first among them as it does among the initial voters, so
/// that no other one bootstraps too. A part of the initial voters does not suffice: one of them may have lost a disk on which
/// the group was formed with the others. Most of the initial voters must respond too, which shows that this replica has lost no
/// data that they know of, and leaves no quorum of them that does not respond.
fn replacements<'a>(
    hello: &Hello,
    members: &[Peer],
    configured: &[SocketAddr],
    responses: &'a [Response],
) -> Option<Vec<&'a Response>> {
    let initial: BTreeSet<_> = members.iter().map(|peer| peer.address).collect();
    let mut current: BTreeSet<_> = configured.iter().copied().collect();
    let size = initial.len()..=MAX_VOTERS;
    if current == initial || !size.contains(&current.len()) || !current.remove(&hello.address) {
        return None;
    }
    let is_later = |r: &&Response| current.contains(&r.address) && r.hello.name > hello.name;
    let others: Vec<&Response> = responses.iter().filter(is_later).collect();
    (others.len() == current.len()).then_some(others)
}

/// Returns whether the responding replicas and `own`, which must be one of the voters, form a quorum of `voters`. The settings
/// may name other instances than the voters.
fn is_quorum_reached(own: ReplicaId, voters: &[ReplicaId], responses: &[Response]) -> bool {
    let reached = |voter: &&ReplicaId| {
        **voter == own
            || responses
                .iter()
                .any(|response| response.hello.id == **voter)
    };
    voters.contains(&own) && voters.iter().filter(reached).count() > voters.len() / 2
}

fn initial_membership(hello: &Hello, responses: &[&Response]) -> Membership {
    let others = responses
        .iter()
        .map(|r| (r.hello.id, &r.hello.name, r.address));
    let all = others.chain([(hello.id, &hello.name, hello.address)]);
    let members = all.map(|(id, name, address)| Member {
        id,
        name: name.clone(),
        address,
        kind: Kind::Voter,
    });
    Membership {
        members: members.collect(),
    }
}
