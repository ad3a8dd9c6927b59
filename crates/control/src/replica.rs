//! Replica of a replicated log: connects the consensus state machine with the network, the disk and the application state.

mod driver;
mod handle;
mod join;
mod link;
pub mod network;
pub mod options;
mod suspension;

use std::sync::Arc;

use chestnutvalve_model::error::Fault;
use chestnutvalve_storage::{Directory, Disk, Error};

pub use handle::{Handle, MAX_COMMAND_BYTES};
pub use network::Network;
pub use options::Options;
pub use suspension::Suspension;

/// Committed command as it is passed to the state machine.
#[derive(Clone, Copy, Debug)]
pub struct CommittedCommand<'a> {
    /// Index in the log.
    pub index: u64,
    /// Term in which the command was appended.
    pub term: u64,
    /// Encoded command.
    pub command: &'a [u8],
}

type Apply = Box<dyn FnMut(CommittedCommand<'_>) -> Vec<u8> + Send>;
type Save = Box<dyn FnMut() -> Vec<u8> + Send>;
type Restore = Box<dyn FnMut(&[u8]) -> Result<(), Fault> + Send>;

/// Application state machine, given as closures over its state.
pub struct StateMachine {
    /// Applies a committed command and returns its result, which must be the same at every replica.
    pub apply: Apply,
    /// Returns an encoded snapshot of the state.
    pub save: Save,
    /// Replaces the state by a snapshot.
    pub restore: Restore,
}

/// Role of a replica in its group.
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts proposals and replicates them.
    Leader,
    /// Votes and replicates the log of the leader.
    Follower,
    /// Requests votes in an election.
    Candidate,
    /// Replicates the log without voting.
    Learner,
}

/// Status of a group as one replica observes it.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// Role of this replica.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Name of the instance that leads, if known.
    pub leader: Option<String>,
    /// Highest committed index.
    pub commit: u64,
    /// Highest applied index.
    pub applied: u64,
    /// Whether the replica has contact with a quorum: a leader through acknowledgements, any other replica through such a
    /// leader. After a start it stays `false` until the applied state is confirmed.
    pub quorum: bool,
}

/// Starts a replica. A new group is bootstrapped once all initial voters run; a replica with an empty data directory joins
/// an existing group. The replica stops when [`Handle::stop`] is called or all handles are dropped.
///
/// # Errors
///
/// Returns an error when the stored state can't be read or restored.
///
/// # Panics
///
/// Panics outside a `tokio` runtime.
pub fn start(
    network: &Network,
    directory: &Arc<Directory>,
    disk: Disk,
    options: Options,
    state_machine: StateMachine,
) -> Result<Handle, Error> {
    let (store, restored) = directory.open_group(&options.group, disk.clone())?;
    driver::spawn(
        network,
        Arc::clone(directory),
        (store, restored, disk),
        options,
        state_machine,
    )
}
