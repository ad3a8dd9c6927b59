//! Internal calls between replicas, dispatched to the replicas of all groups of a process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use chestnutvalve_consensus::{Blob, Message, Position, ReplicaId};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::{Client, Router};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use super::handle::View;

/// Consensus messages from one replica to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Envelope {
    pub group: String,
    pub from: ReplicaId,
    /// Sender's own address, for receivers that do not have it in their membership yet.
    pub address: SocketAddr,
    /// Intended receiver; a replica with another identity at the same address must ignore the messages.
    pub to: ReplicaId,
    pub messages: Vec<Message>,
}

/// Leader from the receiver's point of view, for a sender that has an outdated address of it.
pub(super) type LeaderHint = Option<(ReplicaId, SocketAddr)>;

/// Proposal that a follower forwards to the leader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ForwardedProposal {
    pub group: String,
    pub command: Blob,
}

/// Request of a replica that has no membership yet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Hello {
    pub group: String,
    pub id: ReplicaId,
    pub name: String,
    pub address: SocketAddr,
    pub voter: bool,
}

/// Response to [`Hello`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct HelloResponse {
    pub id: ReplicaId,
    pub name: String,
    /// Whether the responding replica has a membership of the group.
    pub formed: bool,
    /// Whether the responding replica leads the group with a lease.
    pub leads: bool,
    /// Whether the responding replica may vote for the first leader.
    pub admitted: bool,
    /// Address of the leader, if it is another replica that the responding one knows.
    pub leader: Option<SocketAddr>,
    /// Highest acknowledged position that the responding replica has recorded for the requesting one.
    pub watermark: Position,
}

/// Result of a proposal: the encoded result of the state machine, or the fault.
pub(super) type Outcome = Result<Vec<u8>, Fault>;

/// Proposal, and the channel for its result.
pub(super) struct Proposal {
    pub command: Vec<u8>,
    pub reply: oneshot::Sender<Outcome>,
}

/// Input of a driver.
pub(super) enum Input {
    Step(Envelope),
    LeaderHint(ReplicaId, SocketAddr),
    Propose(Proposal),
    Hello(Hello, oneshot::Sender<HelloResponse>),
    Join(super::join::Finding),
    Change(
        chestnutvalve_consensus::MembershipChange,
        oneshot::Sender<Outcome>,
    ),
    Recover(String, oneshot::Sender<Outcome>),
    Stop {
        transfer: bool,
    },
}

/// Connections to other instances, shared by the replicas of a process, and the inboxes of these replicas by group.
#[derive(Clone, Debug, Default)]
pub struct Network {
    clients: Arc<Mutex<HashMap<SocketAddr, Client>>>,
    groups: Arc<Mutex<HashMap<String, Group>>>,
}

/// Inbox and published view of the local replica of a group.
#[derive(Clone, Debug)]
struct Group {
    inbox: mpsc::Sender<Input>,
    view: watch::Receiver<View>,
}

impl Network {
    /// Returns the client of an address; all callers share its connection.
    #[must_use]
    pub fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients
            .entry(address)
            .or_insert_with(|| Client::new(address));
        client.clone()
    }

    /// Adds the calls `consensus/step`, `replica/propose`, `replica/hello` and `replica/voters`.
    #[must_use]
    pub fn route(&self, router: Router) -> Router {
        let (step, propose, hello) = (self.clone(), self.clone(), self.clone());
        let voters = self.clone();
        router
            .route("replica/voters", move |group: String| {
                let group = voters.group(&group);
                async move {
                    let members = Arc::clone(&group?.view.borrow().members);
                    Ok::<Vec<ReplicaId>, Fault>(members.voters().collect())
                }
            })
            .route("consensus/step", move |envelope: Envelope| {
                let group = step.group(&envelope.group);
                async move {
                    let group = group?;
                    // A replica that can't keep up may lose messages; the consensus protocol resends them.
                    let _ = group.inbox.try_send(Input::Step(envelope));
                    let view = group.view.borrow();
                    Ok(view.leader.as_ref().map(|l| (l.id, l.address)) as LeaderHint)
                }
            })
            .route("replica/propose", move |forward: ForwardedProposal| {
                let inbox = propose.inbox(&forward.group);
                async move {
                    let (reply, outcome) = oneshot::channel();
                    let command = forward.command.to_vec();
                    let proposal = Input::Propose(Proposal { command, reply });
                    let sent = inbox?.send(proposal).await;
                    sent.map_err(|_| Fault::new(Kind::NoQuorum, "the replica has stopped"))?;
                    let outcome = outcome.await;
                    let outcome =
                        outcome.unwrap_or_else(|_| Err(unconfirmed("the replica has stopped")));
                    outcome.map(Blob::from)
                }
            })
            .route("replica/hello", move |request: Hello| {
                let inbox = hello.inbox(&request.group);
                async move {
                    let (sender, reply) = oneshot::channel();
                    // A dropped request gets no response, which the caller reports like a stopped replica.
                    let _ = inbox?.send(Input::Hello(request, sender)).await;
                    reply
                        .await
                        .map_err(|_| Fault::new(Kind::NoQuorum, "the replica has stopped"))
                }
            })
    }

    fn group(&self, name: &str) -> Result<Group, Fault> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let group = groups.get(name).cloned();
        group.ok_or_else(|| Fault::new(Kind::NoQuorum, format!("no replica of group {name:?}")))
    }

    fn inbox(&self, group: &str) -> Result<mpsc::Sender<Input>, Fault> {
        Ok(self.group(group)?.inbox)
    }

    pub(super) fn register(
        &self,
        name: &str,
        inbox: mpsc::Sender<Input>,
        view: watch::Receiver<View>,
    ) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.insert(name.to_owned(), Group { inbox, view });
    }

    /// Removes a stopped replica from the dispatch table, unless another replica of the group has replaced it.
    pub(super) fn unregister(&self, group: &str, inbox: &mpsc::Sender<Input>) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        if groups
            .get(group)
            .is_some_and(|own| own.inbox.same_channel(inbox))
        {
            groups.remove(group);
        }
    }
}

pub(super) fn unconfirmed(context: &str) -> Fault {
    Fault::new(Kind::ChangeUnconfirmed, context)
}
