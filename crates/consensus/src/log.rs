//! In-memory part of the log: the latest snapshot and the entries after a base position.

use std::collections::VecDeque;

use crate::entry::{Entry, Payload, Position, Snapshot};
use crate::membership::Membership;

/// Entries after a base position, and the latest snapshot. The base is at or before the end of the snapshot.
#[derive(Debug, Default)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    snapshot: Snapshot,
    /// Memberships with the index from which each is in force, oldest first. The first one is in force at the base.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    /// Builds the log from stored state. Entries are kept only if they are contiguous with the snapshot.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let position = snapshot.position;
        let mut log = Self {
            base: position,
            memberships: vec![(position.index, snapshot.membership.clone())],
            snapshot,
            entries: VecDeque::new(),
        };
        // A snapshot is stored by two renames. A crash between them leaves the older log file, whose tail may have diverged.
        let at_snapshot = entries.iter().find(|e| e.position.index == position.index);
        let first = entries.first().map_or(0, |e| e.position.index);
        let contiguous =
            at_snapshot.map_or(first == position.index + 1, |e| e.position == position);
        if contiguous || position.index == 0 {
            for entry in entries {
                if entry.position.index > position.index {
                    log.push(entry);
                }
            }
        }
        log
    }

    /// Returns the position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |e| e.position)
    }

    /// Returns the position directly before the first entry in memory.
    #[must_use]
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the latest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the term of the entry at `index`, if the entry is in memory or is the base.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at `index`, if it is in memory.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` to `last`, both inclusive, that are in memory.
    pub fn range(&self, first: u64, last: u64) -> impl Iterator<Item = &Entry> {
        let first = first.max(self.base.index + 1);
        (first..=last).map_while(|index| self.get(index))
    }

    /// Appends an entry whose index directly follows the last one.
    ///
    /// # Panics
    ///
    /// Panics when the entry does not follow the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.position.index,
            self.last().index + 1,
            "entry does not follow the last one"
        );
        if let Some(membership) = entry.payload.membership() {
            self.memberships
                .push((entry.position.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Builds an entry at the next index, appends it and returns the index.
    pub fn append(&mut self, term: u64, payload: Payload) -> u64 {
        let index = self.last().index + 1;
        self.push(Entry {
            position: Position { term, index },
            payload,
        });
        index
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let retained = index.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.memberships
            .retain(|(since_index, _)| *since_index < index || *since_index <= self.base.index);
    }

    /// Returns the latest membership, committed or not, and the index from which it is in force.
    #[must_use]
    pub fn membership(&self) -> (u64, &Membership) {
        static EMPTY: Membership = Membership {
            members: Vec::new(),
        };
        let latest = self.memberships.last();
        latest.map_or((0, &EMPTY), |(since_index, membership)| {
            (*since_index, membership)
        })
    }

    /// Returns the membership in force at `index`.
    #[must_use]
    pub fn membership_at(&self, index: u64) -> Membership {
        let mut before = self.memberships.iter().rev();
        let found = before.find(|(since_index, _)| *since_index <= index);
        found
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default()
    }

    /// Replaces the snapshot and removes the entries before it, except for the last `keep` of them.
    pub fn compact(&mut self, snapshot: Snapshot, keep: u64) {
        let base = snapshot.position.index.saturating_sub(keep);
        while self.base.index < base
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.position;
        }
        let base = self.base.index;
        let obsolete = self
            .memberships
            .iter()
            .filter(|(since_index, _)| *since_index <= base);
        let obsolete = obsolete.count().saturating_sub(1);
        self.memberships.drain(..obsolete);
        self.snapshot = snapshot;
    }

    /// Discards all entries and starts again from a snapshot.
    pub fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::new(snapshot, Vec::new());
    }
}
