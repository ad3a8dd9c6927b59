//! Handle of a running replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_consensus::{Membership, MembershipChange, ReplicaId};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_wire::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::network::{Forward, Input, Network, Outcome, Proposal, unconfirmed};
use super::{Role, Status};

/// Largest command. A message holds at least one whole entry, and several messages share a frame of at most 64 MiB.
pub const MAX_COMMAND_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for a proposal to be committed.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time in which a proposal waits for a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between attempts when the known leader refuses.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

/// The leader, as a replica knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Leader {
    pub id: ReplicaId,
    pub name: String,
    pub address: SocketAddr,
}

/// What the driver publishes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct View {
    pub role: Role,
    pub term: u64,
    pub leader: Option<Leader>,
    pub commit: u64,
    pub applied: u64,
    pub quorum_until: Option<Instant>,
    pub lease_until: Option<Instant>,
    pub confirmed: bool,
    pub members: Arc<Membership>,
}

/// Handle of a running replica.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) group: String,
    pub(super) network: Network,
    pub(super) proposals: mpsc::Sender<Proposal>,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) view: watch::Receiver<View>,
    pub(super) end: watch::Receiver<Option<Result<(), Fault>>>,
}

impl Handle {
    /// Proposes a command, on any replica, and waits until it is committed and applied; returns the machine's result.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when the command was certainly not appended, [`Kind::ChangeUnconfirmed`] when that is not
    /// known, and [`Kind::TooLarge`] for a command above [`MAX_COMMAND_BYTES`].
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, Fault> {
        if command.len() > MAX_COMMAND_BYTES {
            let context = format!("command of {} bytes", command.len());
            return Err(Fault::new(Kind::TooLarge, context));
        }
        let start = Instant::now();
        loop {
            let outcome = self.attempt(&command, start + PROPOSAL_TIMEOUT).await;
            match outcome {
                Err(fault) if fault.kind == Kind::NoQuorum => {
                    let left = LEADER_TIMEOUT.saturating_sub(start.elapsed());
                    if left.is_zero() || self.end.borrow().is_some() {
                        return Err(fault);
                    }
                    let mut view = self.view.clone();
                    // A change of the view may bring a leader; otherwise the next attempt follows after the period.
                    let _ = timeout(RETRY_PERIOD.min(left), view.changed()).await;
                }
                outcome => return outcome,
            }
        }
    }

    async fn attempt(&self, command: &[u8], deadline: Instant) -> Outcome {
        if self.end.borrow().is_some() {
            return Err(no_quorum("replica has stopped"));
        }
        let (role, leader) = {
            let view = self.view.borrow();
            (view.role, view.leader.clone())
        };
        if role == Role::Leader {
            return self.append(command.to_vec(), deadline).await;
        }
        let leader = leader.ok_or_else(|| no_quorum("no leader is known"))?;
        let forward = Forward {
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
                    "passing a proposal on to {}: {error}",
                    leader.name
                )),
            })
    }

    async fn append(&self, command: Vec<u8>, deadline: Instant) -> Outcome {
        let (done, outcome) = oneshot::channel();
        let sent = timeout_at(deadline, self.proposals.send(Proposal { command, done })).await;
        match sent {
            Err(_) => return Err(no_quorum("too many proposals wait")),
            Ok(Err(_)) => return Err(no_quorum("replica has stopped")),
            Ok(Ok(())) => {}
        }
        match timeout_at(deadline, outcome).await {
            Err(_) => Err(unconfirmed("proposal was not committed in time")),
            Ok(Err(_)) => Err(unconfirmed("replica has stopped")),
            Ok(Ok(outcome)) => outcome,
        }
    }

    /// Returns what the replica knows of its group.
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
                && self.end.borrow().is_none()
                && view
                    .quorum_until
                    .is_some_and(|until| Instant::now() < until),
        }
    }

    /// Returns whether this replica is the leader and no other one can be, so that the applied state is current.
    #[must_use]
    pub fn lease(&self) -> bool {
        let until = self.view.borrow().lease_until;
        self.end.borrow().is_none() && until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether a leader with a quorum has confirmed the applied state since the start of this replica. Until then the
    /// state is what the disk holds, which may lack what was committed last.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.view.borrow().confirmed
    }

    /// Returns the members of the group, as far as this replica knows.
    #[must_use]
    pub fn members(&self) -> Arc<Membership> {
        Arc::clone(&self.view.borrow().members)
    }

    /// Waits until the status has changed. Returns `false` when the replica has stopped.
    pub async fn changed(&mut self) -> bool {
        self.view.changed().await.is_ok()
    }

    /// Changes one member; only the leader can.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when this replica is not the leader or refuses, [`Kind::ChangeUnconfirmed`] when the outcome
    /// is not known.
    pub async fn change(&self, change: MembershipChange) -> Result<(), Fault> {
        self.ask(|done| Input::Change(change, done)).await
    }

    /// Makes this replica the only voter of its group, after a quorum is lost for good.
    ///
    /// # Errors
    ///
    /// As [`Handle::change`].
    pub async fn recover(&self, reason: &str) -> Result<(), Fault> {
        let reason = reason.to_owned();
        self.ask(|done| Input::Recover(reason, done)).await
    }

    async fn ask(
        &self,
        input: impl FnOnce(oneshot::Sender<Outcome>) -> Input,
    ) -> Result<(), Fault> {
        let (done, outcome) = oneshot::channel();
        let sent = self.inputs.send(input(done)).await;
        sent.map_err(|_| no_quorum("replica has stopped"))?;
        match timeout(PROPOSAL_TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => outcome.map(|_| ()),
            Ok(Err(_)) | Err(_) => Err(unconfirmed("membership change was not committed in time")),
        }
    }

    /// Stops the replica and waits until it has; a leader first hands over its leadership.
    pub async fn stop(&self) {
        let _ = self.inputs.send(Input::Stop { hand_over: true }).await;
        let _ = self.stopped().await;
    }

    /// Stops the replica at once, as a crash would, and waits until it has.
    pub async fn abort(&self) {
        let _ = self.inputs.send(Input::Stop { hand_over: false }).await;
        let _ = self.stopped().await;
    }

    /// Waits until the replica has stopped.
    ///
    /// # Errors
    ///
    /// Returns why the replica has stopped by itself, for example because a write to the disk failed.
    pub async fn stopped(&self) -> Result<(), Fault> {
        let mut end = self.end.clone();
        match end.wait_for(Option::is_some).await {
            Ok(end) => end.clone().unwrap_or(Ok(())),
            Err(_) => Err(Fault::new(Kind::Internal, "replica has ended unexpectedly")),
        }
    }
}

pub(super) fn no_quorum(context: &str) -> Fault {
    Fault::new(Kind::NoQuorum, context)
}
