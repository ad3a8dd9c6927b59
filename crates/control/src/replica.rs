//! Replica of a replicated log: connects the consensus state machine with the network, the disk and the application state.

mod driver;
mod handle;
mod join;
mod link;
pub mod network;
pub mod options;
mod suspension;

use std::sync::Arc;

use chestnutvalve_consensus::{Payload, PersistentState, Position};
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

/// Stored bytes that a state machine must be able to read.
#[derive(Clone, Copy, Debug)]
pub enum Stored<'a> {
    /// Encoded command.
    Command(&'a [u8]),
    /// Encoded snapshot.
    Snapshot(&'a [u8]),
}

type Check = Box<dyn Fn(Stored<'_>) -> Result<(), Fault> + Send>;

/// Application state machine, given as closures over its state.
pub struct StateMachine {
    /// Checks that stored bytes decode, without any effect. A command that doesn't would be skipped when it is applied.
    pub check: Check,
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

/// Returns why stored state does not have the layout of this version.
fn check_layout(machine: &StateMachine, restored: &PersistentState) -> Result<(), String> {
    let check = |what: &str, position: Position, stored: Stored<'_>| {
        let index = position.index;
        (machine.check)(stored).map_err(|fault| format!("{what} at index {index}: {fault}"))
    };
    let snapshot = &restored.snapshot;
    if snapshot.position.index > 0 {
        let stored = Stored::Snapshot(&snapshot.data);
        check("snapshot", snapshot.position, stored)?;
    }
    let applied = snapshot.position.index;
    for entry in restored
        .entries
        .iter()
        .filter(|e| e.position.index > applied)
    {
        if let Payload::Command(command) = &entry.payload {
            check("command", entry.position, Stored::Command(command))?;
        }
    }
    Ok(())
}

/// Starts a replica. A new group is bootstrapped once all initial voters run; a replica with an empty data directory joins
/// an existing group. The replica stops when [`Handle::stop`] is called or all handles are dropped.
///
/// # Errors
///
/// Returns an error when the stored state can't be read or restored, or has the format of another version.
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
    let check = |restored: &PersistentState| check_layout(&state_machine, restored);
    let (store, restored) = directory.open_group_checked(&options.group, disk.clone(), check)?;
    driver::spawn(
        network,
        Arc::clone(directory),
        (store, restored, disk),
        options,
        state_machine,
    )
}
