//! Formation of a new group, and entry of an empty replica into one that exists.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{Kind, Member, Membership, Position};
use tokio::sync::mpsc;

use super::network::{Greeting, Hello, Input, Network};
use super::options::Peer;

/// Time between rounds of questions.
const PERIOD: Duration = Duration::from_millis(200);
/// Time for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What an empty replica learns from its peers.
#[derive(Clone, Debug)]
pub(super) enum Finding {
    /// All first voters are empty, and it falls to this replica to form the group.
    Form(Membership),
    /// Peers know of promises that the empty data directory does not hold.
    Emptied(Position),
}

/// Asks the first voters until the driver has a membership and drops the receiver of `alive`.
pub(super) async fn seek(
    network: Network,
    hello: Hello,
    members: Vec<Peer>,
    inputs: mpsc::Sender<Input>,
    alive: tokio::sync::oneshot::Sender<()>,
) {
    while !alive.is_closed() {
        if let Some(finding) = round(&network, &hello, &members).await {
            let _ = inputs.send(Input::Joined(finding)).await;
        }
        tokio::time::sleep(PERIOD).await;
    }
}

async fn round(network: &Network, hello: &Hello, members: &[Peer]) -> Option<Finding> {
    let mut empty = vec![member(hello.id, &hello.name, hello.address)];
    let mut asked = HashSet::from([hello.address]);
    let mut open: Vec<SocketAddr> = members.iter().map(|peer| peer.address).collect();
    let mut formed = false;
    while let Some(address) = open.pop() {
        if !asked.insert(address) {
            continue;
        }
        let client = network.client(address);
        let answer = client.call::<_, Greeting>("replica/hello", hello, TIMEOUT);
        let Ok(greeting) = answer.await else { continue };
        if greeting.known > Position::default() {
            return Some(Finding::Emptied(greeting.known));
        }
        formed |= greeting.formed;
        open.extend(greeting.leader);
        empty.push(member(greeting.id, &greeting.name, address));
    }
    // One replica alone may form a group, so that two differing first memberships can't exist.
    let first = members.iter().map(|peer| &peer.name).min()?;
    let all = members
        .iter()
        .all(|peer| empty.iter().any(|member| member.name == peer.name));
    let forms = !formed && all && empty.len() == members.len() && *first == hello.name;
    forms.then_some(Finding::Form(Membership { members: empty }))
}

fn member(id: chestnutvalve_consensus::ReplicaId, name: &str, address: SocketAddr) -> Member {
    Member {
        id,
        name: name.to_owned(),
        address,
        kind: Kind::Voter,
    }
}
