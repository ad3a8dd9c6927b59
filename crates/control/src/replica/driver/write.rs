//! Writes to the disk: one at a time, repeated while the disk has no room.

use std::time::Duration;

use chestnutvalve_consensus::{Write, WriteId};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_storage::{Error, Store};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::{Driver, Messages, SLOW_WRITE_THRESHOLD};
use crate::replica::network::unconfirmed;

/// Interval between two attempts at a write for which the disk has no room.
const FULL_DISK_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Write in progress.
pub(super) struct Pending {
    pub task: JoinHandle<Finished>,
    id: WriteId,
    /// Messages to send once the write is durable.
    messages: Messages,
    /// Since when the write is repeated because the disk has no room.
    full_since: Option<Instant>,
}

/// Outcome of an attempt at a write.
pub(super) struct Finished {
    store: Store,
    write: Write,
    outcome: Result<(), Error>,
}

impl Driver {
    pub(super) fn start_write(&mut self, now: std::time::Instant) {
        // Installing a snapshot of the leader would write to the same file.
        if self.snapshot_task.is_some() && self.replica.is_installing_snapshot() {
            return;
        }
        while let Some(mut write) = self.replica.take_write() {
            let messages = std::mem::take(&mut write.messages);
            let id = write.id;
            if write.is_empty() {
                self.replica.complete_write(now, id);
                self.send(messages);
                continue;
            }
            let Some(store) = self.store.take() else {
                return;
            };
            self.pending_write = Some(Pending {
                task: tokio::task::spawn_blocking(move || attempt(store, write)),
                id,
                messages,
                full_since: None,
            });
            self.slow_write_at = Some(Instant::now() + SLOW_WRITE_THRESHOLD);
        }
    }

    fn send(&mut self, messages: Messages) {
        for (to, message) in messages {
            self.links.send(to, message);
        }
    }

    /// Answers the proposals that wait for a commit which this replica can't apply soon. Another replica can tell their outcome
    /// earlier.
    pub(super) fn give_up_proposals(&mut self, cause: &str) {
        for (_, (_, reply)) in std::mem::take(&mut self.pending) {
            let _ = reply.send(Err(unconfirmed(cause)));
        }
    }

    pub(super) fn finish_write(&mut self, finished: Finished) -> Result<(), Fault> {
        let Some(pending) = self.pending_write.take() else {
            return Ok(());
        };
        match finished.outcome {
            Ok(()) => self.complete_write(pending, finished.store),
            Err(error @ Error::Full { .. }) => {
                self.repeat_write(pending, finished.store, finished.write, &error);
            }
            // After a failed write the content of the disk is unknown, so the replica must not acknowledge anything.
            Err(error) => return Err(Fault::new(Kind::Internal, error.to_string())),
        }
        Ok(())
    }

    fn complete_write(&mut self, pending: Pending, store: Store) {
        if let Some(since) = pending.full_since {
            let (group, full_ms) = (self.options.group.as_str(), since.elapsed().as_millis());
            spdlog::info!("the disk has room again", kv: {group, full_ms});
        }
        self.slow_write_at = None;
        self.store = Some(store);
        self.send(pending.messages);
        let now = Instant::now().into_std();
        self.replica.complete_write(now, pending.id);
    }

    /// Repeats a write for which the disk had no room, after a delay.
    fn repeat_write(&mut self, mut pending: Pending, store: Store, write: Write, cause: &Error) {
        let now = Instant::now();
        if pending.full_since.is_none() {
            let group = self.options.group.as_str();
            spdlog::error!("write is repeated until the disk has room", kv: {group, cause: = cause});
            pending.full_since = Some(now);
        }
        self.give_up_proposals("the disk has no room");
        // The followers may have room. A transfer in progress rejects proposals.
        if self.replica.accepts_proposals() {
            let _ = self.replica.transfer_leadership(now.into_std());
        }
        self.slow_write_at = None;
        pending.task = tokio::spawn(attempt_after_delay(store, write));
        self.pending_write = Some(pending);
    }
}

fn attempt(mut store: Store, write: Write) -> Finished {
    let outcome = store.write(&write);
    Finished {
        store,
        write,
        outcome,
    }
}

async fn attempt_after_delay(store: Store, write: Write) -> Finished {
    sleep(FULL_DISK_RETRY_INTERVAL).await;
    let task = tokio::task::spawn_blocking(move || attempt(store, write));
    task.await.expect("a write does not panic")
}

/// Waits for the write in progress; never completes when there is none.
pub(super) async fn finished(pending: &mut Option<Pending>) -> Finished {
    match pending {
        Some(pending) => (&mut pending.task).await.expect("a write does not panic"),
        None => std::future::pending().await,
    }
}
