//! Bootstrap of a new group, and joining of an empty replica to an existing one.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{Kind, Member, Membership, Position};
use chestnutvalve_wire::Error;
use tokio::sync::{mpsc, oneshot};

use super::network::{Hello, HelloResponse, Input, Network};
use super::options::Peer;
use crate::rendezvous::{self, Rendezvous};

/// Interval between two rounds of calls to the known addresses.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Conclusion that a replica without a membership draws from the responses of its peers.
#[derive(Clone, Debug)]
pub(super) enum Finding {
    /// A quorum of the initial voters, or the leader, has no watermark of this replica.
    Fresh,
    /// All initial voters are empty and admitted, and this replica is the one that bootstraps the group.
    Bootstrap(Membership),
    /// A peer has a watermark of this replica that its empty data directory does not reach.
    DataLost(Position),
}

/// Inputs of the search for an existing group.
pub(super) struct Search {
    pub network: Network,
    pub hello: Hello,
    /// Initial voters.
    pub members: Vec<Peer>,
    pub rendezvous: Rendezvous,
}

/// Searches for the group until the driver has a membership and drops the receiver of `alive`.
pub(super) async fn search(
    search: Search,
    inputs: mpsc::Sender<Input>,
    alive: oneshot::Sender<()>,
) {
    while !alive.is_closed() {
        for finding in search.run_round().await {
            let _ = inputs.send(Input::Join(finding)).await;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

impl Search {
    async fn run_round(&self) -> Vec<Finding> {
        let mut visited = HashSet::from([self.hello.address]);
        let mut unvisited: Vec<SocketAddr> = self.members.iter().map(|peer| peer.address).collect();
        unvisited.extend(self.rendezvous.configured());
        unvisited.extend(self.rendezvous.members());
        let mut responses = Vec::new();
        while let Some(address) = unvisited.pop() {
            if !visited.insert(address) {
                continue;
            }
            let client = self.network.client(address);
            let answer =
                client.call::<_, HelloResponse>("replica/hello", &self.hello, CALL_TIMEOUT);
            match answer.await {
                Ok(response) if response.watermark > Position::default() => {
                    return vec![Finding::DataLost(response.watermark)];
                }
                Ok(response) => {
                    unvisited.extend(response.leader);
                    responses.push((response, address));
                }
                // An instance without a replica of the group may know the group's members.
                Err(Error::Fault(_)) => {
                    let members = rendezvous::fetch_members(&client, CALL_TIMEOUT).await;
                    unvisited.extend(members.unwrap_or_default());
                }
                Err(error) => spdlog::debug!("call to {address} for the group failed: {error}"),
            }
        }
        evaluate(&self.hello, &self.members, &responses)
    }
}

/// Evaluates the responses of one round.
fn evaluate(
    hello: &Hello,
    members: &[Peer],
    responses: &[(HelloResponse, SocketAddr)],
) -> Vec<Finding> {
    let own = members.iter().any(|peer| peer.name == hello.name);
    let reached = |peer: &&Peer| {
        responses
            .iter()
            .any(|(response, _)| response.name == peer.name)
    };
    let reached = members.iter().filter(reached).count() + usize::from(own);
    let mut findings = Vec::new();
    if reached > members.len() / 2 || responses.iter().any(|(r, _)| r.leads) {
        findings.push(Finding::Fresh);
    }
    // Only the replica with the lowest name bootstraps, so two different initial memberships can't exist.
    let first = members.iter().map(|peer| &peer.name).min();
    let ready = responses.iter().all(|(r, _)| r.admitted && !r.formed);
    if first == Some(&hello.name) && reached == members.len() && ready {
        findings.push(Finding::Bootstrap(initial_membership(hello, responses)));
    }
    findings
}

fn initial_membership(hello: &Hello, responses: &[(HelloResponse, SocketAddr)]) -> Membership {
    let others = responses
        .iter()
        .map(|(r, address)| (r.id, &r.name, *address));
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
