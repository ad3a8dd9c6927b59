//! Driver of one replica of a replicated log: it carries out the actions of the consensus state machine.

mod driver;
mod handle;
mod join;
mod link;
pub mod network;
pub mod options;

use std::sync::Arc;

use chestnutvalve_model::error::Fault;
use chestnutvalve_storage::{Directory, Disk, Error};

pub use handle::{Handle, MAX_COMMAND_BYTES};
pub use network::Network;
pub use options::Options;

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
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
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
    /// After a start, the applied state was confirmed too.
    pub quorum: bool,
}

/// Starts a replica. Its group forms once all first voters run; a replica with an empty data directory joins a group that
/// exists. The replica stops when [`Handle::stop`] is called or all handles are dropped.
///
/// # Errors
///
/// Returns the error of the stored state.
///
/// # Panics
///
/// Panics outside a `tokio` runtime.
pub fn start(
    network: &Network,
    directory: &Arc<Directory>,
    disk: Disk,
    options: Options,
    machine: Machine,
) -> Result<Handle, Error> {
    let (store, restored) = directory.open_group(&options.group, disk)?;
    driver::spawn(
        network,
        Arc::clone(directory),
        store,
        restored,
        options,
        machine,
    )
}
