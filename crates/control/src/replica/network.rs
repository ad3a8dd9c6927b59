//! Internal calls between the replicas of all groups of a process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use chestnutvalve_consensus::{Blob, Message, Position, ReplicaId};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::{Client, Router};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use super::handle::View;

/// Messages of one replica to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Envelope {
    pub group: String,
    pub from: ReplicaId,
    /// Where the sender takes messages, for receivers that do not know it as a member yet.
    pub address: SocketAddr,
    /// Intended receiver; another identity at the same address must not take its messages.
    pub to: ReplicaId,
    pub messages: Vec<Message>,
}

/// Leader as the receiver of messages knows it, for a sender that has an old address of it.
pub(super) type Hint = Option<(ReplicaId, SocketAddr)>;

/// Proposal that is passed on to the leader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Forward {
    pub group: String,
    pub command: Blob,
}

/// Question of a replica that has no membership.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Hello {
    pub group: String,
    pub id: ReplicaId,
    pub name: String,
    pub address: SocketAddr,
    pub voter: bool,
}

/// Answer to [`Hello`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Greeting {
    pub id: ReplicaId,
    pub name: String,
    /// Whether the group exists.
    pub formed: bool,
    /// Whether the answering replica leads the group with a lease.
    pub leads: bool,
    /// Whether the answering replica may vote for the first leader.
    pub admitted: bool,
    /// Address of the leader, if the answering replica knows another one.
    pub leader: Option<SocketAddr>,
    /// Greatest promise of the asking replica that is known.
    pub known: Position,
}

/// Result of a proposal.
pub(super) type Outcome = Result<Vec<u8>, Fault>;

/// A proposal and where its result is expected.
pub(super) struct Proposal {
    pub command: Vec<u8>,
    pub done: oneshot::Sender<Outcome>,
}

/// Input of a driver.
pub(super) enum Input {
    Step(Envelope),
    Leader(ReplicaId, SocketAddr),
    Propose(Proposal),
    Hello(Hello, oneshot::Sender<Greeting>),
    Joined(super::join::Finding),
    Change(
        chestnutvalve_consensus::MembershipChange,
        oneshot::Sender<Outcome>,
    ),
    Recover(String, oneshot::Sender<Outcome>),
    Stop {
        hand_over: bool,
    },
}

/// Connections to other instances, shared by the replicas of a process, and the routes to these replicas.
#[derive(Clone, Debug, Default)]
pub struct Network {
    clients: Arc<Mutex<HashMap<SocketAddr, Client>>>,
    groups: Arc<Mutex<HashMap<String, Group>>>,
}

/// Where the messages of a group go, and what its replica knows.
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

    /// Adds the calls `consensus/step`, `replica/propose` and `replica/hello`.
    #[must_use]
    pub fn route(&self, router: Router) -> Router {
        let (step, propose, hello) = (self.clone(), self.clone(), self.clone());
        router
            .route("consensus/step", move |envelope: Envelope| {
                let group = step.group(&envelope.group);
                async move {
                    let group = group?;
                    // A replica that can't keep up may lose messages; they are sent again.
                    let _ = group.inbox.try_send(Input::Step(envelope));
                    let view = group.view.borrow();
                    Ok(view.leader.as_ref().map(|l| (l.id, l.address)) as Hint)
                }
            })
            .route("replica/propose", move |forward: Forward| {
                let inbox = propose.inbox(&forward.group);
                async move {
                    let (done, outcome) = oneshot::channel();
                    let command = forward.command.to_vec();
                    let proposal = Input::Propose(Proposal { command, done });
                    let sent = inbox?.send(proposal).await;
                    sent.map_err(|_| Fault::new(Kind::NoQuorum, "replica has stopped"))?;
                    let outcome = outcome.await;
                    let outcome =
                        outcome.unwrap_or_else(|_| Err(unconfirmed("replica has stopped")));
                    outcome.map(Blob::from)
                }
            })
            .route("replica/hello", move |question: Hello| {
                let inbox = hello.inbox(&question.group);
                async move {
                    let (done, greeting) = oneshot::channel();
                    // A dropped question gets no greeting, which the asking replica sees as a stopped one.
                    let _ = inbox?.send(Input::Hello(question, done)).await;
                    greeting
                        .await
                        .map_err(|_| Fault::new(Kind::NoQuorum, "replica has stopped"))
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

    /// Removes the route of a replica that has stopped, unless another one of the group has started.
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
