//! Driver of one replica of a replicated log: it carries out the actions of the consensus state machine.

use chestnutvalve_model::error::{Fault, Kind};
use tokio::sync::{mpsc, oneshot};

/// A committed command, as the state machine sees it.
#[derive(Clone, Copy, Debug)]
pub struct Committed<'a> {
    /// Position in the log.
    pub index: u64,
    /// Term in which the command was appended.
    pub term: u64,
    /// The command.
    pub command: &'a [u8],
}

type Apply = Box<dyn FnMut(Committed<'_>) -> Vec<u8> + Send>;
type Save = Box<dyn FnMut() -> Vec<u8> + Send>;
type Restore = Box<dyn FnMut(&[u8]) -> Result<(), Fault> + Send>;

/// The replicated state machine, as closures over its state.
pub struct Machine {
    /// Applies a committed command and returns its result, the same at every replica.
    pub apply: Apply,
    /// Returns a snapshot of the state.
    pub save: Save,
    /// Replaces the state by a snapshot.
    pub restore: Restore,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes proposals and replicates them.
    Leader,
    /// Votes and follows the leader.
    Follower,
    /// Seeks votes.
    Candidate,
    /// Follows without voting.
    Learner,
}

/// What a replica knows of its group.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// Role of this replica.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Name of the leader, if it is known.
    pub leader: Option<String>,
    /// Greatest committed index.
    pub commit: u64,
    /// Greatest applied index.
    pub applied: u64,
    /// Whether the replica is in contact with a quorum: as leader by acknowledgements, else by a leader that has such contact.
    pub quorum: bool,
}

struct Proposal {
    command: Vec<u8>,
    done: oneshot::Sender<Vec<u8>>,
}

/// Handle of a running replica.
#[derive(Clone, Debug)]
pub struct Handle {
    proposals: mpsc::Sender<Proposal>,
}

impl Handle {
    /// Proposes a command, on any replica, and waits until it is committed and applied; returns the machine's result.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when the command was certainly not appended, and [`Kind::ChangeUnconfirmed`] when that is
    /// not known.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, Fault> {
        let (done, result) = oneshot::channel();
        let sent = self.proposals.send(Proposal { command, done }).await;
        sent.map_err(|_| Fault::new(Kind::NoQuorum, "replica has stopped"))?;
        result
            .await
            .map_err(|_| Fault::new(Kind::ChangeUnconfirmed, "replica has stopped"))
    }

    /// Returns what the replica knows of its group.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            role: Role::Leader,
            term: 1,
            leader: None,
            commit: 0,
            applied: 0,
            quorum: true,
        }
    }
}

/// Starts a replica that is alone in its group and keeps its log in memory.
#[must_use]
pub fn start(mut machine: Machine) -> Handle {
    let (proposals, mut received) = mpsc::channel::<Proposal>(1_024);
    tokio::spawn(async move {
        let mut index = 0;
        while let Some(proposal) = received.recv().await {
            index += 1;
            let committed = Committed {
                index,
                term: 1,
                command: &proposal.command,
            };
            // A proposer that has gone away needs no result.
            let _ = proposal.done.send((machine.apply)(committed));
        }
    });
    Handle { proposals }
}
