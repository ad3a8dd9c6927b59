//! Application of committed entries, and snapshots.

use chestnutvalve_consensus::{Entry, Payload, Position};
use chestnutvalve_model::error::Fault;

use super::Driver;
use crate::replica::CommittedCommand;
use crate::replica::network::unconfirmed;

/// Size of the applied entries after which a snapshot is due regardless of their number. Entries stay in memory until then.
const SNAPSHOT_THRESHOLD_BYTES: usize = 16 * 1024 * 1024;

impl Driver {
    pub(super) fn apply(&mut self) -> Result<(), Fault> {
        if let Some(snapshot) = self.replica.take_snapshot_to_restore() {
            (self.state_machine.restore)(&snapshot.data)?;
            self.applied = snapshot.position.index;
            self.since_snapshot = (0, 0, snapshot.data.len());
            let later = self.pending.split_off(&(self.applied + 1));
            for (_, (_, reply)) in std::mem::replace(&mut self.pending, later) {
                let _ = reply.send(Err(unconfirmed(
                    "the command was applied through a snapshot, which has no result",
                )));
            }
        }
        for entry in self.replica.take_committed_entries() {
            self.apply_entry(&entry);
        }
        self.snapshot_if_due();
        Ok(())
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let Position { term, index } = entry.position;
        let result = match &entry.payload {
            Payload::Command(command) => (self.state_machine.apply)(CommittedCommand {
                index,
                term,
                command,
            }),
            Payload::Recovery { reason, .. } => {
                spdlog::warn!(
                    "group {}: forced recovery at index {index} in term {term}: {reason}",
                    self.options.group
                );
                Vec::new()
            }
            Payload::Noop | Payload::Membership(_) => Vec::new(),
        };
        self.applied = index;
        self.since_snapshot.0 += 1;
        self.since_snapshot.1 += entry.payload.size();
        if let Some((proposed, reply)) = self.pending.remove(&index) {
            let same_term = proposed == term;
            // Ignores a proposer that no longer waits.
            let _ = reply.send(if same_term {
                Ok(result)
            } else {
                Err(unconfirmed(
                    "the leader lost its leadership before the commit",
                ))
            });
        }
    }

    /// Takes a snapshot when one is due. A large state is saved less often, so that snapshots write no more bytes than entries
    /// do.
    fn snapshot_if_due(&mut self) {
        if self.snapshot_task.is_some() {
            return;
        }
        let (entries, bytes, size) = self.since_snapshot;
        let limit = self.options.snapshot_entries;
        let enough = entries >= limit || bytes >= SNAPSHOT_THRESHOLD_BYTES;
        if entries >= 16 * limit || (enough && bytes >= size) {
            let data = (self.state_machine.save)();
            self.since_snapshot = (0, 0, data.len());
            let Some(snapshot) = self.replica.build_snapshot(data) else {
                return;
            };
            let mut snapshot_writer = self.snapshot_writer.clone();
            self.snapshot_task = Some(tokio::task::spawn_blocking(move || {
                snapshot_writer.save(&snapshot).map(|()| snapshot)
            }));
        }
    }
}
