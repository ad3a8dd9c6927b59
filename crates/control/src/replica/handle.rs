//! Handle of a running replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_consensus::{Membership, MembershipChange, ReplicaId};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::network::{ForwardedProposal, Input, Network, Outcome, Proposal, unconfirmed};
use super::{Role, Status, Suspension};

/// Maximum size of a command. A message contains at least one whole entry, and several messages share a frame of at most
/// 64 MiB.
pub const MAX_COMMAND_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time until a proposal is committed.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time that a proposal waits for a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts when the known leader refuses the proposal.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Leader from the point of view of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Leader {
    pub id: ReplicaId,
    pub name: String,
    pub address: SocketAddr,
}

/// Replica state that the driver publishes to the handles.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct View {
    pub role: Role,
    pub term: u64,
    pub leader: Option<Leader>,
    pub commit: u64,
    pub applied: u64,
    pub quorum_until: Option<Instant>,
    pub current_until: Option<Instant>,
    pub lease_until: Option<Instant>,
    /// Total suspended time up to which the instants of this view are valid.
    pub suspended: Duration,
    pub confirmed: bool,
    pub members: Arc<Membership>,
}

/// Cloneable handle of a running replica; the replica stops when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) group: String,
    pub(super) network: Network,
    pub(super) proposals: mpsc::Sender<Proposal>,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) view: watch::Receiver<View>,
    pub(super) exit: watch::Receiver<Option<Result<(), Fault>>>,
    pub(super) suspension: Suspension,
}

impl View {
    /// Returns whether an instant of this view is still ahead. After a suspension none is.
    fn is_ahead(&self, until: Option<Instant>, suspension: &Suspension) -> bool {
        until.is_some_and(|until| Instant::now() < until)
            && !suspension.occurred_since(self.suspended)
    }
}

impl Handle {
    /// Proposes a command at any replica and waits until it is committed and applied; returns the result of the state machine.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when the command was definitely not appended, [`Kind::ChangeUnconfirmed`] when its outcome
    /// is unknown, and [`Kind::TooLarge`] for a command above [`MAX_COMMAND_BYTES`].
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, Fault> {
        if command.len() > MAX_COMMAND_BYTES {
            let context = format!(
                "command of {} bytes; expected at most {MAX_COMMAND_BYTES}",
                command.len()
            );
            return Err(Fault::new(Kind::TooLarge, context));
        }
        let start = Instant::now();
        loop {
            let outcome = self.try_propose(&command, start + PROPOSAL_TIMEOUT).await;
            match outcome {
                Err(fault) if fault.kind == Kind::NoQuorum => {
                    let left = LEADER_TIMEOUT.saturating_sub(start.elapsed());
                    if left.is_zero() || self.exit.borrow().is_some() {
                        return Err(fault);
                    }
                    let mut view = self.view.clone();
                    // A changed view may have a leader; otherwise the next attempt follows after the delay.
                    let _ = timeout(RETRY_INTERVAL.min(left), view.changed()).await;
                }
                outcome => return outcome,
            }
        }
    }

    async fn try_propose(&self, command: &[u8], deadline: Instant) -> Outcome {
        if self.exit.borrow().is_some() {
            return Err(no_quorum("the replica has stopped"));
        }
        let (role, leader) = {
            let view = self.view.borrow();
            (view.role, view.leader.clone())
        };
        if role == Role::Leader {
            return self.propose_locally(command.to_vec(), deadline).await;
        }
        let leader = leader.ok_or_else(|| no_quorum("no leader is known"))?;
        let forward = ForwardedProposal {
            group: self.group.clone(),
            command: command.into(),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let client = self.network.client(leader.address);
        let outcome = client.call("replica/propose", &forward, left).await;
        outcome
            .map(|result: chestnutvalve_consensus::Blob| result.to_vec())
            .map_err(|error| match error {
                Error::Fault(fault) => fault,
                Error::Unreachable { .. } => no_quorum(&error.to_string()),
                Error::TooLarge { .. } => Fault::new(Kind::TooLarge, error.to_string()),
                error => unconfirmed(&format!(
                    "forwarding a proposal to {} failed: {error}",
                    leader.name
                )),
            })
    }

    async fn propose_locally(&self, command: Vec<u8>, deadline: Instant) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let sent = timeout_at(deadline, self.proposals.send(Proposal { command, reply })).await;
        match sent {
            Err(_) => return Err(no_quorum("too many proposals are waiting")),
            Ok(Err(_)) => return Err(no_quorum("the replica has stopped")),
            Ok(Ok(())) => {}
        }
        match timeout_at(deadline, outcome).await {
            Err(_) => Err(unconfirmed("the proposal was not committed in time")),
            Ok(Err(_)) => Err(unconfirmed("the replica has stopped")),
            Ok(Ok(outcome)) => outcome,
        }
    }

    /// Returns the status of the group from the point of view of this replica.
    #[must_use]
    pub fn status(&self) -> Status {
        let view = self.view.borrow();
        Status {
            role: view.role,
            term: view.term,
            leader: view.leader.as_ref().map(|leader| leader.name.clone()),
            commit: view.commit,
            applied: view.applied,
            quorum: view.confirmed
                && self.exit.borrow().is_none()
                && view.is_ahead(view.quorum_until, &self.suspension),
        }
    }

    /// Returns whether this replica is the leader and holds the lease, so that no other leader can exist and the applied
    /// state is current.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        let view = self.view.borrow();
        self.exit.borrow().is_none() && view.is_ahead(view.lease_until, &self.suspension)
    }

    /// Returns whether the applied state contains all that was committed up to a moment ago. A replica that has contact with a
    /// quorum may apply late, for example because its disk is slow.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let view = self.view.borrow();
        self.exit.borrow().is_none() && view.is_ahead(view.current_until, &self.suspension)
    }

    /// Returns whether a leader with a quorum has confirmed the applied state since this replica started. Until then the
    /// state is that of the disk, which may lack the latest commits.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.view.borrow().confirmed
    }

    /// Returns the latest membership of the group that this replica has.
    #[must_use]
    pub fn members(&self) -> Arc<Membership> {
        Arc::clone(&self.view.borrow().members)
    }

    /// Waits until the status has changed. Returns `false` when the replica has stopped.
    pub async fn wait_for_change(&mut self) -> bool {
        self.view.changed().await.is_ok()
    }

    /// Changes one member of the group; works only at the leader.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when this replica is not the leader or refuses the change, and [`Kind::ChangeUnconfirmed`]
    /// when the outcome is unknown.
    pub async fn change(&self, change: MembershipChange) -> Result<(), Fault> {
        self.request_change(|reply| Input::Change(change, reply))
            .await
    }

    /// Makes this replica the only voter of its group, after the permanent loss of a quorum.
    ///
    /// # Errors
    ///
    /// As [`Handle::change`].
    pub async fn recover(&self, reason: &str) -> Result<(), Fault> {
        let reason = reason.to_owned();
        self.request_change(|reply| Input::Recover(reason, reply))
            .await
    }

    async fn request_change(
        &self,
        input: impl FnOnce(oneshot::Sender<Outcome>) -> Input,
    ) -> Result<(), Fault> {
        let (reply, outcome) = oneshot::channel();
        let sent = self.inputs.send(input(reply)).await;
        sent.map_err(|_| no_quorum("the replica has stopped"))?;
        match timeout(PROPOSAL_TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => outcome.map(|_| ()),
            Ok(Err(_)) | Err(_) => Err(unconfirmed(
                "the membership change was not committed in time",
            )),
        }
    }

    /// Stops the replica and waits for its end; a leader first transfers its leadership.
    pub async fn stop(&self) {
        let _ = self.inputs.send(Input::Stop { transfer: true }).await;
        let _ = self.stopped().await;
    }

    /// Stops the replica immediately, as a crash would, and waits for its end.
    pub async fn abort(&self) {
        let _ = self.inputs.send(Input::Stop { transfer: false }).await;
        let _ = self.stopped().await;
    }

    /// Waits until the replica has stopped.
    ///
    /// # Errors
    ///
    /// Returns the reason when the replica stopped by itself, for example because a disk write failed.
    pub async fn stopped(&self) -> Result<(), Fault> {
        let mut exit = self.exit.clone();
        match exit.wait_for(Option::is_some).await {
            Ok(exit) => exit.clone().unwrap_or(Ok(())),
            Err(_) => Err(Fault::new(Kind::Internal, "the replica ended unexpectedly")),
        }
    }
}

pub(super) fn no_quorum(context: &str) -> Fault {
    Fault::new(Kind::NoQuorum, context)
}
