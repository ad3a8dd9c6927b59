//! Formation of a new group, and entry of an empty replica into one that exists.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{Kind, Member, Membership, Position};
use tokio::sync::{mpsc, oneshot};

use super::network::{Greeting, Hello, Input, Network};
use super::options::Peer;

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

/// Asks the first voters until the driver has a membership and drops the receiver of `alive`.
pub(super) async fn seek(
    network: Network,
    hello: Hello,
    members: Vec<Peer>,
    inputs: mpsc::Sender<Input>,
    alive: oneshot::Sender<()>,
) {
    while !alive.is_closed() {
        for finding in round(&network, &hello, &members).await {
            let _ = inputs.send(Input::Joined(finding)).await;
        }
        tokio::time::sleep(PERIOD).await;
    }
}

async fn round(network: &Network, hello: &Hello, members: &[Peer]) -> Vec<Finding> {
    let mut asked = HashSet::from([hello.address]);
    let mut open: Vec<SocketAddr> = members.iter().map(|peer| peer.address).collect();
    let mut greetings = Vec::new();
    while let Some(address) = open.pop() {
        if !asked.insert(address) {
            continue;
        }
        let client = network.client(address);
        let answer = client.call::<_, Greeting>("replica/hello", hello, TIMEOUT);
        if let Ok(greeting) = answer.await {
            if greeting.known > Position::default() {
                return vec![Finding::Emptied(greeting.known)];
            }
            open.extend(greeting.leader);
            greetings.push((greeting, address));
        }
    }
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
        findings.push(Finding::Form(first_members(hello, &greetings)));
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
