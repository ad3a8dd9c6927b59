//! Task that carries out the output of one replica's state machine.

mod apply;
mod group;
mod input;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_consensus::{
    self as consensus, Membership, PersistentState, Replica, ReplicaId, Snapshot, WriteId,
};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_storage::{Directory, Error, SnapshotWriter, Store};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use super::handle::{Handle, View};
use super::join;
use super::link::Links;
use super::network::{Hello, Input, Network, Outcome, Proposal};
use super::options::Options;
use super::{Machine, Role};

/// Inputs that wait for the driver.
const INPUTS: usize = 4_096;
/// Proposals of this process that wait for the driver.
const PROPOSALS: usize = 1_024;
/// Proposals that wait for their commit; further ones wait in the channel.
const OPEN_PROPOSALS: usize = 8_192;
/// Time of a write after which a leader hands over. Its followers commit without its disk, but it can't answer proposers. Syncs
/// on a busy disk take tens of milliseconds.
const SLOW_WRITE: Duration = Duration::from_secs(1);
/// Most inputs handled before their output is carried out.
const BATCH: usize = 1_024;

type Messages = Vec<(ReplicaId, consensus::Message)>;
type Writing = JoinHandle<(Store, Result<(), Error>)>;
type Saving = JoinHandle<Result<Snapshot, Error>>;
type End = watch::Sender<Option<Result<(), Fault>>>;

struct Driver {
    replica: Replica,
    machine: Machine,
    options: Options,
    links: Links,
    store: Option<Store>,
    writing: Option<(Writing, WriteId, Messages)>,
    /// When the write in progress counts as slow; `None` once that was noted.
    slow_at: Option<Instant>,
    saver: SnapshotWriter,
    saving: Option<Saving>,
    waiting: BTreeMap<u64, (u64, oneshot::Sender<Outcome>)>,
    applied: u64,
    /// Entries and bytes applied since the last snapshot, and the size of that snapshot.
    since_snapshot: (u64, usize, usize),
    view: watch::Sender<View>,
    /// Whether the applied state was confirmed by a leader since the start.
    confirmed: bool,
    /// Membership that the links were made for.
    members: Arc<Membership>,
    /// Dropped to end the search for a group.
    seeking: Option<oneshot::Receiver<()>>,
    stop: Option<Instant>,
    /// The data directory, released when the driver ends.
    directory: Arc<Directory>,
}

pub(super) fn spawn(
    network: &Network,
    directory: Arc<Directory>,
    store: Store,
    restored: PersistentState,
    options: Options,
    mut machine: Machine,
) -> Result<Handle, Error> {
    let now = Instant::now();
    let id = directory.identity();
    let applied = restored.snapshot.position.index;
    let size = restored.snapshot.data.len();
    if applied > 0
        && let Err(fault) = (machine.restore)(&restored.snapshot.data)
    {
        return Err(Error::SnapshotRejected(fault.to_string()));
    }
    let (inputs, received) = mpsc::channel(INPUTS);
    let (proposals, proposed) = mpsc::channel(PROPOSALS);
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
        lease_until: None,
        confirmed: false,
        members: Arc::default(),
    });
    let end = End::new(None);
    let handle = Handle {
        group: options.group.clone(),
        network: network.clone(),
        proposals,
        inputs: inputs.clone(),
        view: view.subscribe(),
        end: end.subscribe(),
    };
    let seeking = replica.membership().0.members.is_empty().then(|| {
        let (alive, ended) = oneshot::channel();
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
        tokio::spawn(join::seek(search, inputs.clone(), alive));
        ended
    });
    let driver = Driver {
        links: Links::new(
            network.clone(),
            inputs.clone(),
            options.group.clone(),
            id,
            options.address,
        ),
        replica,
        machine,
        options,
        slow_at: None,
        saver: store.snapshot_writer(),
        saving: None,
        store: Some(store),
        writing: None,
        waiting: BTreeMap::new(),
        applied,
        since_snapshot: (0, 0, size),
        confirmed: false,
        view,
        members: Arc::default(),
        seeking,
        stop: None,
        directory,
    };
    network.register(&handle.group, inputs.clone(), handle.view.clone());
    let (network, group) = (network.clone(), handle.group.clone());
    tokio::spawn(async move {
        let outcome = driver.run(received, proposed).await;
        if let Err(fault) = &outcome {
            spdlog::error!("group {group}: replica {id} has stopped: {fault}");
        }
        network.unregister(&group, &inputs);
        end.send_replace(Some(outcome));
    });
    Ok(handle)
}

impl Driver {
    async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut proposals: mpsc::Receiver<Proposal>,
    ) -> Result<(), Fault> {
        loop {
            self.carry_out()?;
            if self.stop.is_some_and(|at| Instant::now() >= at) {
                return self.finish().await;
            }
            let wake = Instant::from_std(self.replica.next_tick());
            let wake = [self.stop, self.slow_at]
                .into_iter()
                .flatten()
                .fold(wake, Instant::min);
            tokio::select! {
                Some(input) = inputs.recv() => {
                    self.input(input);
                    for _ in 0..BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.input(input);
                    }
                }
                proposal = proposals.recv(), if self.waiting.len() < OPEN_PROPOSALS => {
                    // All handles are dropped.
                    let Some(proposal) = proposal else { return self.finish().await };
                    self.propose(proposal);
                    for _ in 0..BATCH {
                        let Ok(proposal) = proposals.try_recv() else { break };
                        self.propose(proposal);
                    }
                }
                saved = saved(&mut self.saving) => self.saved(saved)?,
                written = written(&mut self.writing) => self.written(written)?,
                () = sleep_until(wake) => {}
            }
            let now = Instant::now();
            self.replica.tick(now.into_std());
            if self.slow_at.take_if(|at| now >= *at).is_some() {
                spdlog::warn!(
                    "group {}: a write takes longer than {SLOW_WRITE:?}",
                    self.options.group
                );
                // Only a leader can hand over; a follower's slow disk delays nobody while others are fast.
                let _ = self.replica.transfer_leadership(now.into_std());
            }
        }
    }

    /// Waits for a write in progress, so that the data directory is free afterwards.
    async fn finish(mut self) -> Result<(), Fault> {
        if let Some((writing, _, _)) = self.writing.take() {
            let _ = writing.await;
        }
        if let Some(saving) = self.saving.take() {
            let _ = saving.await;
        }
        Ok(())
    }

    fn carry_out(&mut self) -> Result<(), Fault> {
        let now = Instant::now().into_std();
        self.apply()?;
        self.correct_address(self.replica.id(), self.options.address);
        self.link();
        for (to, message) in self.replica.take_messages(now) {
            self.links.send(to, message);
        }
        if let Some(fault) = self.replica.fatal_error() {
            if matches!(fault, consensus::Error::Removed(_)) {
                // The identity never votes again; the next start joins with a new one.
                let retired = self.directory.retire();
                retired.map_err(|e| Fault::new(Kind::Internal, e.to_string()))?;
            }
            return Err(Fault::new(Kind::Internal, fault.to_string()));
        }
        self.start_write(now);
        self.publish(now);
        Ok(())
    }

    fn saved(&mut self, saved: Result<Snapshot, Error>) -> Result<(), Fault> {
        self.saving = None;
        let snapshot = saved.map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
        self.replica.compact(snapshot, self.options.keep_entries);
        Ok(())
    }

    fn start_write(&mut self, now: std::time::Instant) {
        // A snapshot of the leader would be stored to the same file.
        if self.saving.is_some() && self.replica.is_installing_snapshot() {
            return;
        }
        while let Some(mut write) = self.replica.take_write() {
            let messages = std::mem::take(&mut write.messages);
            let receipt = write.id;
            if write.is_empty() {
                self.replica.complete_write(now, receipt);
                self.send(messages);
                continue;
            }
            let Some(mut store) = self.store.take() else {
                return;
            };
            let writing = tokio::task::spawn_blocking(move || {
                let outcome = store.write(write);
                (store, outcome)
            });
            self.writing = Some((writing, receipt, messages));
            self.slow_at = Some(Instant::now() + SLOW_WRITE);
        }
    }

    fn send(&mut self, messages: Messages) {
        for (to, message) in messages {
            self.links.send(to, message);
        }
    }

    fn written(&mut self, written: Written) -> Result<(), Fault> {
        self.slow_at = None;
        let (store, outcome) = written.result;
        if let Err(error) = outcome {
            // It is unknown what the disk holds, so that the replica can't promise anything any more.
            return Err(Fault::new(Kind::Internal, error.to_string()));
        }
        self.store = Some(store);
        self.send(written.messages);
        self.replica
            .complete_write(Instant::now().into_std(), written.receipt);
        Ok(())
    }
}

/// Waits for the snapshot that is being saved; without one it waits forever.
async fn saved(saving: &mut Option<Saving>) -> Result<Snapshot, Error> {
    match saving {
        Some(task) => task.await.expect("saving a snapshot does not panic"),
        None => std::future::pending().await,
    }
}

struct Written {
    result: (Store, Result<(), Error>),
    receipt: WriteId,
    messages: Messages,
}

/// Waits for the write in progress; without one it waits forever.
async fn written(writing: &mut Option<(Writing, WriteId, Messages)>) -> Written {
    let Some((task, _, _)) = writing else {
        return std::future::pending().await;
    };
    let result = task.await.expect("a write does not panic");
    let (_, receipt, messages) = writing.take().expect("checked above");
    Written {
        result,
        receipt,
        messages,
    }
}
