//! Task that feeds one consensus replica with inputs and processes its output: messages, writes and committed entries.

mod apply;
mod group;
mod input;
mod write;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_consensus::{
    self as consensus, Membership, PersistentState, Replica, ReplicaId, Snapshot,
};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_storage::{Directory, Disk, Error, SnapshotWriter, Store};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use super::handle::{Handle, View};
use super::join;
use super::link::Links;
use super::network::{Hello, Input, Network, Outcome, Proposal};
use super::options::Options;
use super::{Role, StateMachine};

/// Inputs that may wait for the driver.
const INPUT_QUEUE_CAPACITY: usize = 4_096;
/// Proposals of this process that may wait for the driver.
const PROPOSAL_QUEUE_CAPACITY: usize = 1_024;
/// Appended proposals that may wait for their commit; further ones stay in the channel.
const MAX_PENDING_PROPOSALS: usize = 8_192;
/// Duration of a write after which a leader transfers its leadership: the followers still commit without its disk, but it
/// can't answer proposers. Syncs on a busy disk take tens of milliseconds.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_secs(1);
/// Maximum number of inputs that are handled before their output is processed.
const MAX_INPUTS_PER_ROUND: usize = 1_024;

type Messages = Vec<(ReplicaId, consensus::Message)>;
type SnapshotTask = JoinHandle<Result<Snapshot, Error>>;
type ExitSender = watch::Sender<Option<Result<(), Fault>>>;

struct Driver {
    replica: Replica,
    state_machine: StateMachine,
    options: Options,
    links: Links,
    store: Option<Store>,
    pending_write: Option<write::Pending>,
    /// When the write in progress counts as slow; `None` once the leadership transfer was requested.
    slow_write_at: Option<Instant>,
    snapshot_writer: SnapshotWriter,
    snapshot_task: Option<SnapshotTask>,
    pending: BTreeMap<u64, (u64, oneshot::Sender<Outcome>)>,
    applied: u64,
    /// Entries and bytes applied since the last snapshot, and the size of that snapshot in bytes.
    since_snapshot: (u64, usize, usize),
    view: watch::Sender<View>,
    /// Whether a leader has confirmed the applied state since the start.
    confirmed: bool,
    /// Total suspended time up to which the evidence of contact with other replicas is valid.
    suspended: Duration,
    /// Since when the applied state is behind the leader.
    lagging_since: Option<std::time::Instant>,
    /// Membership that the links match.
    members: Arc<Membership>,
    /// Search for an existing group, while this replica has no membership.
    join_guard: Option<join::Guard>,
    stop_at: Option<Instant>,
    /// Kept open so that the data directory is released when the driver ends.
    directory: Arc<Directory>,
    disk: Disk,
}

pub(super) fn spawn(
    network: &Network,
    directory: Arc<Directory>,
    (store, restored, disk): (Store, PersistentState, Disk),
    options: Options,
    mut state_machine: StateMachine,
) -> Result<Handle, Error> {
    let now = Instant::now();
    let id = directory.identity();
    let applied = restored.snapshot.position.index;
    let size = restored.snapshot.data.len();
    if applied > 0
        && let Err(fault) = (state_machine.restore)(&restored.snapshot.data)
    {
        return Err(Error::SnapshotRejected(fault.to_string()));
    }
    let (inputs, received) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (proposals, proposed) = mpsc::channel(PROPOSAL_QUEUE_CAPACITY);
    let replica = Replica::new(
        now.into_std(),
        id,
        options.settings,
        restored,
        rand::random(),
    );
    let view = watch::Sender::new(View {
        role: Role::Follower,
        term: replica.term(),
        leader: None,
        commit: replica.commit(),
        applied,
        quorum_until: None,
        current_until: None,
        lease_until: None,
        suspended: options.suspension.total(),
        confirmed: false,
        members: Arc::default(),
    });
    let exit = ExitSender::new(None);
    let handle = Handle {
        group: options.group.clone(),
        network: network.clone(),
        proposals,
        inputs: inputs.clone(),
        view: view.subscribe(),
        exit: exit.subscribe(),
        suspension: options.suspension.clone(),
    };
    let is_new = replica.membership().0.members.is_empty();
    let join_guard = is_new.then(|| start_search(network, id, &options, inputs.clone()));
    let mut driver = Driver {
        links: Links::new(
            network.clone(),
            inputs.clone(),
            options.group.clone(),
            id,
            options.address,
        ),
        replica,
        state_machine,
        suspended: options.suspension.total(),
        options,
        slow_write_at: None,
        snapshot_writer: store.snapshot_writer(),
        snapshot_task: None,
        store: Some(store),
        pending_write: None,
        pending: BTreeMap::new(),
        applied,
        since_snapshot: (0, 0, size),
        confirmed: false,
        lagging_since: None,
        view,
        members: Arc::default(),
        join_guard,
        stop_at: None,
        directory,
        disk,
    };
    network.register(&handle.group, inputs.clone(), handle.view.clone());
    let (network, group) = (network.clone(), handle.group.clone());
    tokio::spawn(async move {
        let mut outcome = driver.run(received, proposed).await;
        if let Err(fault) = &outcome {
            spdlog::error!("group {group}: replica {id} stopped: {fault}");
            if fault.kind == Kind::MemberRemoved {
                let retired = driver.retire().await;
                outcome = retired.and(outcome);
            }
        }
        drop(driver);
        network.unregister(&group, &inputs);
        exit.send_replace(Some(outcome));
    });
    Ok(handle)
}

/// Starts the search for the group of a replica without a membership.
fn start_search(
    network: &Network,
    id: ReplicaId,
    options: &Options,
    inputs: mpsc::Sender<Input>,
) -> join::Guard {
    let hello = Hello {
        group: options.group.clone(),
        id,
        name: options.name.clone(),
        address: options.address,
        voter: options.voter,
    };
    let search = join::Search {
        network: network.clone(),
        hello,
        members: options.members.clone(),
        rendezvous: options.rendezvous.clone(),
    };
    join::start(search, inputs)
}

impl Driver {
    async fn run(
        &mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut proposals: mpsc::Receiver<Proposal>,
    ) -> Result<(), Fault> {
        loop {
            self.check_suspension();
            self.process_output()?;
            if self.stop_at.is_some_and(|at| Instant::now() >= at) {
                self.finish().await;
                return Ok(());
            }
            let wake = Instant::from_std(self.replica.next_tick());
            let wake = [self.stop_at, self.slow_write_at]
                .into_iter()
                .flatten()
                .fold(wake, Instant::min);
            tokio::select! {
                Some(input) = inputs.recv() => {
                    self.handle_input(input);
                    for _ in 0..MAX_INPUTS_PER_ROUND {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.handle_input(input);
                    }
                }
                proposal = proposals.recv(), if self.pending.len() < MAX_PENDING_PROPOSALS => {
                    // All handles were dropped.
                    let Some(proposal) = proposal else {
                        self.finish().await;
                        return Ok(());
                    };
                    self.propose(proposal);
                    for _ in 0..MAX_INPUTS_PER_ROUND {
                        let Ok(proposal) = proposals.try_recv() else { break };
                        self.propose(proposal);
                    }
                }
                saved = snapshot_saved(&mut self.snapshot_task) => self.finish_snapshot(saved)?,
                written = write::finished(&mut self.pending_write) => self.finish_write(written)?,
                () = sleep_until(wake) => {}
            }
            let now = Instant::now();
            self.replica.tick(now.into_std());
            if self.slow_write_at.take_if(|at| now >= *at).is_some() {
                spdlog::warn!(
                    "group {}: a disk write takes longer than {SLOW_WRITE_THRESHOLD:?}",
                    self.options.group
                );
                // Fails at a follower, whose slow disk delays no commit while a quorum of others is fast.
                let _ = self.replica.transfer_leadership(now.into_std());
                self.give_up_proposals("the disk is slow");
            }
        }
    }

    /// Discards the evidence of contact with other replicas after a suspension.
    fn check_suspension(&mut self) {
        let suspension = &self.options.suspension;
        if !suspension.occurred_since(self.suspended) {
            return;
        }
        let total = suspension.total();
        let suspended_ms = total.saturating_sub(self.suspended).as_millis();
        let group = self.options.group.as_str();
        spdlog::warn!("resumed after a suspension", kv: {group, suspended_ms});
        self.suspended = total;
        self.replica.resume(Instant::now().into_std());
    }

    /// Waits for writes in progress, so that nothing uses the data directory afterwards.
    async fn finish(&mut self) {
        if let Some(pending) = self.pending_write.take() {
            let _ = pending.task.await;
        }
        if let Some(snapshot_task) = self.snapshot_task.take() {
            let _ = snapshot_task.await;
        }
    }

    /// Marks the data directory as that of a removed replica. Its identity must never vote again; the instance empties the
    /// directory before it joins again with a new one.
    async fn retire(&mut self) -> Result<(), Fault> {
        let (directory, mut disk) = (Arc::clone(&self.directory), self.disk.clone());
        let retired = tokio::task::spawn_blocking(move || directory.retire(&mut disk));
        let retired = retired.await.expect("a write does not panic");
        self.finish().await;
        retired.map_err(|e| Fault::new(Kind::Internal, e.to_string()))
    }

    fn process_output(&mut self) -> Result<(), Fault> {
        let now = Instant::now().into_std();
        self.apply()?;
        self.update_address(self.replica.id(), self.options.address);
        self.update_links();
        for (to, message) in self.replica.take_messages(now) {
            self.links.send(to, message);
        }
        if let Some(fault) = self.replica.fatal_error() {
            let kind = match fault {
                consensus::Error::Removed(_) => Kind::MemberRemoved,
                _ => Kind::Internal,
            };
            return Err(Fault::new(kind, fault.to_string()));
        }
        self.start_write(now);
        self.publish_view(now);
        Ok(())
    }

    fn finish_snapshot(&mut self, saved: Result<Snapshot, Error>) -> Result<(), Fault> {
        self.snapshot_task = None;
        let snapshot = match saved {
            Ok(snapshot) => snapshot,
            Err(error @ Error::Full { .. }) => {
                // The log still has all entries. The next snapshot is due after as many further ones.
                let group = self.options.group.as_str();
                spdlog::error!("no snapshot was stored", kv: {group, cause: = error});
                return Ok(());
            }
            Err(error) => return Err(Fault::new(Kind::Internal, error.to_string())),
        };
        self.replica
            .compact(snapshot, self.options.retained_entries);
        Ok(())
    }
}

/// Waits for the snapshot that is being saved; never completes when there is none.
async fn snapshot_saved(snapshot_task: &mut Option<SnapshotTask>) -> Result<Snapshot, Error> {
    match snapshot_task {
        Some(task) => task.await.expect("saving a snapshot does not panic"),
        None => std::future::pending().await,
    }
}
