//! Committed entries and snapshots.

use chestnutvalve_consensus::{Entry, Payload, Position};
use chestnutvalve_model::error::Fault;

use super::Driver;
use crate::replica::Committed;
use crate::replica::network::unconfirmed;

/// Size of the applied entries after which a snapshot is due whatever their number, in bytes. Entries stay in memory until then.
const COMPACT_BYTES: usize = 16 * 1024 * 1024;

impl Driver {
    pub(super) fn apply(&mut self) -> Result<(), Fault> {
        if let Some(snapshot) = self.replica.take_snapshot_to_restore() {
            (self.machine.restore)(&snapshot.data)?;
            self.applied = snapshot.position.index;
            self.since_snapshot = (0, 0, snapshot.data.len());
            let later = self.waiting.split_off(&(self.applied + 1));
            for (_, (_, done)) in std::mem::replace(&mut self.waiting, later) {
                let _ = done.send(Err(unconfirmed("the result is only in a snapshot")));
            }
        }
        for entry in self.replica.take_committed_entries() {
            self.apply_entry(&entry);
        }
        self.compact();
        Ok(())
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let Position { term, index } = entry.position;
        let result = match &entry.payload {
            Payload::Command(command) => (self.machine.apply)(Committed {
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
        if let Some((proposed, done)) = self.waiting.remove(&index) {
            let kept = proposed == term;
            // A proposer that has gone away needs no result.
            let _ = done.send(if kept {
                Ok(result)
            } else {
                Err(unconfirmed("the leader lost its leadership"))
            });
        }
    }

    /// Takes a snapshot when it is due. A large state is saved less often, so that writing snapshots costs no more than writing
    /// entries does.
    fn compact(&mut self) {
        if self.saving.is_some() {
            return;
        }
        let (entries, bytes, size) = self.since_snapshot;
        let limit = self.options.compact_entries;
        let many = entries >= limit || bytes >= COMPACT_BYTES;
        if entries >= 16 * limit || (many && bytes >= size) {
            let data = (self.machine.save)();
            self.since_snapshot = (0, 0, data.len());
            let Some(snapshot) = self.replica.build_snapshot(data) else {
                return;
            };
            let mut saver = self.saver.clone();
            self.saving = Some(tokio::task::spawn_blocking(move || {
                saver.save(&snapshot).map(|()| snapshot)
            }));
        }
    }
}
