//! Formation of a new group, and entry of an empty replica into one that exists.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{Kind, Member, Membership, Position};
use chestnutvalve_wire::Error;
use tokio::sync::{mpsc, oneshot};

use super::network::{Greeting, Hello, Input, Network};
use super::options::Peer;
use crate::rendezvous::{self, Rendezvous};

/// Time between rounds of questions.
const PERIOD: Duration = Duration::from_millis(100);
/// Time for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What an empty replica learns from its peers.
#[derive(Clone, Debug)]
pub(super) enum Finding {
    /// A quorum of the first voters, or the leader, knows of no promise of this replica.
    Blank,
    /// All first voters are empty and admitted, and it falls to this replica to form the group.
    Form(Membership),
    /// A peer knows of a promise that the empty data directory does not hold.
    Emptied(Position),
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
pub(super) async fn seek(search: Search, inputs: mpsc::Sender<Input>, alive: oneshot::Sender<()>) {
    while !alive.is_closed() {
        for finding in search.round().await {
            let _ = inputs.send(Input::Joined(finding)).await;
        }
        tokio::time::sleep(PERIOD).await;
    }
}

impl Search {
    async fn round(&self) -> Vec<Finding> {
        let mut asked = HashSet::from([self.hello.address]);
        let mut open: Vec<SocketAddr> = self.members.iter().map(|peer| peer.address).collect();
        open.extend(self.rendezvous.configured());
        open.extend(self.rendezvous.members());
        let mut greetings = Vec::new();
        while let Some(address) = open.pop() {
            if !asked.insert(address) {
                continue;
            }
            let client = self.network.client(address);
            let answer = client.call::<_, Greeting>("replica/hello", &self.hello, TIMEOUT);
            match answer.await {
                Ok(greeting) if greeting.known > Position::default() => {
                    return vec![Finding::Emptied(greeting.known)];
                }
                Ok(greeting) => {
                    open.extend(greeting.leader);
                    greetings.push((greeting, address));
                }
                // An instance without a replica of the group may know its members.
                Err(Error::Fault(_)) => {
                    let members = rendezvous::ask(&client, TIMEOUT).await;
                    open.extend(members.unwrap_or_default());
                }
                Err(error) => spdlog::debug!("asking {address} for the group: {error}"),
            }
        }
        findings(&self.hello, &self.members, &greetings)
    }
}

/// Returns what follows from the answers of one round.
fn findings(hello: &Hello, members: &[Peer], greetings: &[(Greeting, SocketAddr)]) -> Vec<Finding> {
    let own = members.iter().any(|peer| peer.name == hello.name);
    let heard = |peer: &&Peer| {
        greetings
            .iter()
            .any(|(greeting, _)| greeting.name == peer.name)
    };
    let heard = members.iter().filter(heard).count() + usize::from(own);
    let mut findings = Vec::new();
    if heard > members.len() / 2 || greetings.iter().any(|(g, _)| g.leads) {
        findings.push(Finding::Blank);
    }
    // One replica alone may form a group, so that two differing first memberships can't exist.
    let first = members.iter().map(|peer| &peer.name).min();
    let ready = greetings.iter().all(|(g, _)| g.admitted && !g.formed);
    if first == Some(&hello.name) && heard == members.len() && ready {
        findings.push(Finding::Form(first_members(hello, greetings)));
    }
    findings
}

fn first_members(hello: &Hello, greetings: &[(Greeting, SocketAddr)]) -> Membership {
    let others = greetings
        .iter()
        .map(|(g, address)| (g.id, &g.name, *address));
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
