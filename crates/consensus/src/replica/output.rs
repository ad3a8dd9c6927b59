//! What the caller of a replica has to carry out.

use std::time::Instant;

use super::{HARD_STATE_PERIOD, Replica, Role};
use crate::entry::{Entry, HardState, Position, Snapshot};
use crate::membership::ReplicaId;
use crate::message::Message;

/// What is to be made durable, and the messages that may be sent only afterwards.
#[derive(Debug)]
pub struct Write {
    /// Hard state, if it has changed.
    pub hard_state: Option<HardState>,
    /// Snapshot of the leader, which replaces the stored one before the log is written.
    pub snapshot: Option<Snapshot>,
    /// Whether `hard` and `entries` are complete and replace the stored log.
    pub replaces_log: bool,
    /// Entries in order; they replace stored entries with the same or a greater index.
    pub entries: Vec<Entry>,
    /// Messages that promise what this write makes durable.
    pub messages: Vec<(ReplicaId, Message)>,
    /// To be returned with [`Replica::complete_write`].
    pub id: WriteId,
}

impl Write {
    /// Returns whether there is nothing to store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && !self.replaces_log && self.entries.is_empty()
    }
}

/// Identifies a write.
#[derive(Clone, Copy, Debug)]
pub struct WriteId {
    term: u64,
    vote: Option<ReplicaId>,
    last: u64,
    installed: Option<Position>,
}

#[derive(Debug)]
pub(super) struct Output {
    messages: Vec<(ReplicaId, Message)>,
    held: Vec<(ReplicaId, Message)>,
    stored: HardState,
    stored_at: Option<Instant>,
    store_hard: bool,
    /// A write was taken and is not finished.
    writing: bool,
    /// Term and vote that are durable.
    durable: (u64, Option<ReplicaId>),
    /// First index that has not been given to a write.
    next_write: u64,
    /// Greatest index that is durable.
    stable: u64,
    snapshot: Option<Snapshot>,
    replaces_log: bool,
    installing: Option<Position>,
    /// Snapshot that the state machine has to be replaced by.
    restore: Option<Snapshot>,
    delivered: u64,
}

impl Output {
    pub(super) fn new(hard_state: &HardState, delivered: u64, last: u64) -> Self {
        Self {
            messages: Vec::new(),
            held: Vec::new(),
            stored: hard_state.clone(),
            stored_at: None,
            store_hard: false,
            writing: false,
            durable: (hard_state.term, hard_state.vote),
            next_write: last + 1,
            stable: last,
            snapshot: None,
            replaces_log: false,
            installing: None,
            restore: None,
            delivered,
        }
    }

    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        self.messages.push((to, message));
    }

    pub(super) fn stable(&self) -> u64 {
        self.stable
    }

    pub(super) fn delivered(&self) -> u64 {
        self.delivered
    }

    pub(super) fn drop_held(&mut self) {
        self.held.clear();
    }

    pub(super) fn truncated(&mut self, index: u64) {
        self.next_write = self.next_write.min(index);
        self.stable = self.stable.min(index - 1);
    }

    pub(super) fn install(&mut self, snapshot: Snapshot) {
        self.next_write = snapshot.position.index + 1;
        self.installing = Some(snapshot.position);
        self.snapshot = Some(snapshot);
        self.replaces_log = true;
    }

    /// Requests a write of marks and commit index from time to time.
    pub(super) fn store_hard_state(&mut self, now: Instant, hard_state: &HardState) {
        let due = self
            .stored_at
            .is_none_or(|at| now >= at + HARD_STATE_PERIOD);
        if due {
            self.stored_at = Some(now);
            self.store_hard = *hard_state != self.stored;
        }
    }
}

impl Replica {
    /// Sends a message that promises the current term and vote and the entries up to `index`, once these are durable.
    pub(super) fn reply(&mut self, to: ReplicaId, message: Message, index: u64) {
        let output = &mut self.output;
        let durable = output.durable == (self.hard_state.term, self.hard_state.vote);
        if durable && output.installing.is_none() && index <= output.stable {
            output.messages.push((to, message));
        } else {
            output.held.push((to, message));
        }
    }

    /// Takes the messages that may be sent at once.
    pub fn take_messages(&mut self, now: Instant) -> Vec<(ReplicaId, Message)> {
        self.spread_news(now);
        std::mem::take(&mut self.output.messages)
    }

    /// Takes the next write. The caller makes it durable, then sends its messages and calls [`Replica::complete_write`]. Returns
    /// `None` while a write is unfinished. After a failure the replica must not be used any more.
    pub fn take_write(&mut self) -> Option<Write> {
        let last = self.log.last().index;
        let output = &mut self.output;
        let promise = (self.hard_state.term, self.hard_state.vote);
        let content = promise != output.durable
            || output.next_write <= last
            || output.replaces_log
            || output.store_hard;
        let idle = !content && output.held.is_empty();
        if output.writing || self.fatal_error.is_some() || idle {
            return None;
        }
        let snapshot = output.snapshot.take();
        let replaces_log = std::mem::take(&mut output.replaces_log);
        let first = if replaces_log {
            self.log.base().index + 1
        } else {
            output.next_write
        };
        let changed = content && (replaces_log || self.hard_state != output.stored);
        if changed {
            output.stored = self.hard_state.clone();
        }
        output.writing = true;
        output.store_hard = false;
        output.next_write = last + 1;
        let installed = output.installing.filter(|_| snapshot.is_some());
        Some(Write {
            hard_state: changed.then(|| self.hard_state.clone()),
            snapshot,
            replaces_log,
            entries: self.log.range(first, last).cloned().collect(),
            messages: std::mem::take(&mut output.held),
            id: WriteId {
                term: promise.0,
                vote: promise.1,
                last,
                installed,
            },
        })
    }

    /// Notes that a write is durable and its messages are sent.
    pub fn complete_write(&mut self, now: Instant, id: WriteId) {
        let output = &mut self.output;
        output.writing = false;
        output.durable = (id.term, id.vote);
        if let Some(position) = id.installed
            && output.installing == Some(position)
        {
            output.installing = None;
            output.restore = Some(self.log.snapshot().clone());
            output.delivered = position.index;
        }
        if output.installing.is_none() {
            // Entries that were truncated meanwhile are not durable.
            output.stable = id.last.min(output.next_write - 1);
        }
        let promised = (self.hard_state.term, Some(self.id));
        if self.role == Role::Candidate && output.durable == promised {
            self.count_vote(now, self.id, true);
        } else if self.role == Role::Leader {
            self.advance(now);
        }
    }

    /// Takes the snapshot that the state machine has to be replaced by, before it applies further entries.
    pub fn take_snapshot_to_restore(&mut self) -> Option<Snapshot> {
        self.output.restore.take()
    }

    /// Takes the committed and stored entries that the state machine has to apply next.
    pub fn take_committed_entries(&mut self) -> Vec<Entry> {
        let output = &mut self.output;
        if output.installing.is_some() {
            return Vec::new();
        }
        let last = self.hard_state.commit.min(output.stable);
        let entries: Vec<_> = self
            .log
            .range(output.delivered + 1, last)
            .cloned()
            .collect();
        output.delivered = output.delivered.max(last);
        entries
    }

    /// Returns whether a snapshot of the leader is not stored yet.
    #[must_use]
    pub fn is_installing_snapshot(&self) -> bool {
        self.output.installing.is_some()
    }

    /// Builds a snapshot of the state machine, which has applied exactly the entries taken so far; `None` if there is no news.
    /// The caller makes it durable and then calls [`Replica::compact`].
    #[must_use]
    pub fn build_snapshot(&self, data: Vec<u8>) -> Option<Snapshot> {
        let index = self.output.delivered;
        let term = self.log.term(index)?;
        let newer = index > self.log.snapshot().position.index;
        (newer && !self.is_installing_snapshot()).then(|| Snapshot {
            position: Position { term, index },
            membership: self.log.membership_at(index),
            data: data.into(),
        })
    }

    /// Replaces the entries that a durable snapshot contains. The last `keep` of them stay for followers that lag.
    pub fn compact(&mut self, snapshot: Snapshot, keep: u64) {
        let newer = snapshot.position.index > self.log.snapshot().position.index;
        if newer && !self.is_installing_snapshot() {
            self.log.compact(snapshot, keep);
            self.output.replaces_log = true;
        }
    }
}
