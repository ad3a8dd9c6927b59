//! Formation of a new group, and entry of an empty replica into one that exists.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{Kind, Member, Membership, Position};
use chestnutvalve_wire::Error;
use tokio::sync::{mpsc, oneshot};

use super::network::{Hello, HelloReply, Input, Network};
use super::options::Peer;
use crate::rendezvous::{self, Rendezvous};

/// Time between rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// What an empty replica learns from its peers.
#[derive(Clone, Debug)]
pub(super) enum Finding {
    /// A quorum of the first voters, or the leader, knows of no promise of this replica.
    Fresh,
    /// All first voters are empty and admitted, and it falls to this replica to form the group.
    Bootstrap(Membership),
    /// A peer knows of a promise that the empty data directory does not hold.
    DataLost(Position),
}

/// What an empty replica searches with.
pub(super) struct Search {
    pub network: Network,
    pub hello: Hello,
    /// First voters.
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
        let mut replies = Vec::new();
        while let Some(address) = unvisited.pop() {
            if !visited.insert(address) {
                continue;
            }
            let client = self.network.client(address);
            let answer = client.call::<_, HelloReply>("replica/hello", &self.hello, CALL_TIMEOUT);
            match answer.await {
                Ok(reply) if reply.known > Position::default() => {
                    return vec![Finding::DataLost(reply.known)];
                }
                Ok(reply) => {
                    unvisited.extend(reply.leader);
                    replies.push((reply, address));
                }
                // An instance without a replica of the group may know its members.
                Err(Error::Fault(_)) => {
                    let members = rendezvous::fetch_members(&client, CALL_TIMEOUT).await;
                    unvisited.extend(members.unwrap_or_default());
                }
                Err(error) => spdlog::debug!("asking {address} for the group: {error}"),
            }
        }
        evaluate(&self.hello, &self.members, &replies)
    }
}

/// Returns what follows from the answers of one round.
fn evaluate(hello: &Hello, members: &[Peer], replies: &[(HelloReply, SocketAddr)]) -> Vec<Finding> {
    let own = members.iter().any(|peer| peer.name == hello.name);
    let reached = |peer: &&Peer| replies.iter().any(|(reply, _)| reply.name == peer.name);
    let reached = members.iter().filter(reached).count() + usize::from(own);
    let mut findings = Vec::new();
    if reached > members.len() / 2 || replies.iter().any(|(r, _)| r.leads) {
        findings.push(Finding::Fresh);
    }
    // One replica alone may form a group, so that two differing first memberships can't exist.
    let first = members.iter().map(|peer| &peer.name).min();
    let ready = replies.iter().all(|(r, _)| r.admitted && !r.formed);
    if first == Some(&hello.name) && reached == members.len() && ready {
        findings.push(Finding::Bootstrap(initial_membership(hello, replies)));
    }
    findings
}

fn initial_membership(hello: &Hello, replies: &[(HelloReply, SocketAddr)]) -> Membership {
    let others = replies.iter().map(|(r, address)| (r.id, &r.name, *address));
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
