//! Output of a replica that the caller carries out: messages, durable writes and committed entries.

use std::time::Instant;

use super::{HARD_STATE_WRITE_INTERVAL, Replica, Role};
use crate::entry::{Entry, HardState, Position, Snapshot};
use crate::membership::ReplicaId;
use crate::message::Message;

/// State to make durable, and the messages that may be sent only afterwards.
#[derive(Debug)]
pub struct Write {
    /// Hard state, if it has changed.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader. It must replace the stored one before the log is written.
    pub snapshot: Option<Snapshot>,
    /// Whether `hard_state` and `entries` are complete and replace the stored log.
    pub replaces_log: bool,
    /// Entries in log order. They replace stored entries with the same or a greater index.
    pub entries: Vec<Entry>,
    /// Votes, replies and acknowledgements that depend on this write.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Identifies the write in [`Replica::complete_write`].
    pub id: WriteId,
}

impl Write {
    /// Returns whether there is nothing to store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && !self.replaces_log && self.entries.is_empty()
    }
}

/// Identifies a write and what it makes durable.
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
    deferred: Vec<(ReplicaId, Message)>,
    last_hard_state: HardState,
    hard_state_checked_at: Option<Instant>,
    hard_state_due: bool,
    /// Whether a write was taken and is not completed.
    write_in_progress: bool,
    /// Durable term and vote.
    durable_vote: (u64, Option<ReplicaId>),
    /// First index that no write contains yet.
    next_unwritten: u64,
    /// Last index that is durable.
    durable_index: u64,
    snapshot: Option<Snapshot>,
    replaces_log: bool,
    pending_install: Option<Position>,
    /// Installed snapshot that the state machine has to be restored from.
    snapshot_to_restore: Option<Snapshot>,
    delivered_index: u64,
}

impl Output {
    pub(super) fn new(hard_state: &HardState, delivered_index: u64, last: u64) -> Self {
        Self {
            messages: Vec::new(),
            deferred: Vec::new(),
            last_hard_state: hard_state.clone(),
            hard_state_checked_at: None,
            hard_state_due: false,
            write_in_progress: false,
            durable_vote: (hard_state.term, hard_state.vote),
            next_unwritten: last + 1,
            durable_index: last,
            snapshot: None,
            replaces_log: false,
            pending_install: None,
            snapshot_to_restore: None,
            delivered_index,
        }
    }

    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        self.messages.push((to, message));
    }

    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub(super) fn delivered_index(&self) -> u64 {
        self.delivered_index
    }

    pub(super) fn discard_deferred(&mut self) {
        self.deferred.clear();
    }

    pub(super) fn record_truncation(&mut self, index: u64) {
        self.next_unwritten = self.next_unwritten.min(index);
        self.durable_index = self.durable_index.min(index - 1);
    }

    pub(super) fn begin_install(&mut self, snapshot: Snapshot) {
        self.next_unwritten = snapshot.position.index + 1;
        self.pending_install = Some(snapshot.position);
        self.snapshot = Some(snapshot);
        self.replaces_log = true;
    }

    /// Requests a write of changed watermarks and commit index once per [`HARD_STATE_WRITE_INTERVAL`].
    pub(super) fn schedule_hard_state_write(&mut self, now: Instant, hard_state: &HardState) {
        let due = self
            .hard_state_checked_at
            .is_none_or(|at| now >= at + HARD_STATE_WRITE_INTERVAL);
        if due {
            self.hard_state_checked_at = Some(now);
            self.hard_state_due = *hard_state != self.last_hard_state;
        }
    }
}

impl Replica {
    /// Sends a message that depends on the current term and vote and on the entries up to `index`, once these are durable.
    pub(super) fn send_when_durable(&mut self, to: ReplicaId, message: Message, index: u64) {
        let output = &mut self.output;
        let durable = output.durable_vote == (self.hard_state.term, self.hard_state.vote);
        if durable && output.pending_install.is_none() && index <= output.durable_index {
            output.messages.push((to, message));
        } else {
            output.deferred.push((to, message));
        }
    }

    /// Takes the messages that may be sent without waiting for a write.
    pub fn take_messages(&mut self, now: Instant) -> Vec<(ReplicaId, Message)> {
        self.broadcast_changes(now);
        std::mem::take(&mut self.output.messages)
    }

    /// Takes the next write. The caller makes it durable, then sends its messages and calls [`Replica::complete_write`].
    /// Returns `None` while another write is in progress. After a failed write the replica must not be used any more.
    pub fn take_write(&mut self) -> Option<Write> {
        let last = self.log.last().index;
        let output = &mut self.output;
        let vote_state = (self.hard_state.term, self.hard_state.vote);
        let has_content = vote_state != output.durable_vote
            || output.next_unwritten <= last
            || output.replaces_log
            || output.hard_state_due;
        let idle = !has_content && output.deferred.is_empty();
        if output.write_in_progress || self.fatal_error.is_some() || idle {
            return None;
        }
        let snapshot = output.snapshot.take();
        let replaces_log = std::mem::take(&mut output.replaces_log);
        let first = if replaces_log {
            self.log.base().index + 1
        } else {
            output.next_unwritten
        };
        let changed = has_content && (replaces_log || self.hard_state != output.last_hard_state);
        if changed {
            output.last_hard_state = self.hard_state.clone();
        }
        output.write_in_progress = true;
        output.hard_state_due = false;
        output.next_unwritten = last + 1;
        let installed = output.pending_install.filter(|_| snapshot.is_some());
        Some(Write {
            hard_state: changed.then(|| self.hard_state.clone()),
            snapshot,
            replaces_log,
            entries: self.log.range(first, last).cloned().collect(),
            messages: std::mem::take(&mut output.deferred),
            id: WriteId {
                term: vote_state.0,
                vote: vote_state.1,
                last,
                installed,
            },
        })
    }

    /// Records that a write is durable and its messages are sent.
    pub fn complete_write(&mut self, now: Instant, id: WriteId) {
        let output = &mut self.output;
        output.write_in_progress = false;
        output.durable_vote = (id.term, id.vote);
        if let Some(position) = id.installed
            && output.pending_install == Some(position)
        {
            output.pending_install = None;
            output.snapshot_to_restore = Some(self.log.snapshot().clone());
            output.delivered_index = position.index;
        }
        if output.pending_install.is_none() {
            // Entries that were truncated during the write are not durable.
            output.durable_index = id.last.min(output.next_unwritten - 1);
        }
        let own_vote = (self.hard_state.term, Some(self.id));
        if self.role == Role::Candidate && output.durable_vote == own_vote {
            self.record_vote(now, self.id, true);
        } else if self.role == Role::Leader {
            self.advance_commit(now);
        }
    }

    /// Takes the snapshot that the state machine has to be restored from before it applies further entries.
    pub fn take_snapshot_to_restore(&mut self) -> Option<Snapshot> {
        self.output.snapshot_to_restore.take()
    }

    /// Takes the committed and durable entries that the state machine has to apply next.
    pub fn take_committed_entries(&mut self) -> Vec<Entry> {
        let output = &mut self.output;
        if output.pending_install.is_some() {
            return Vec::new();
        }
        let last = self.hard_state.commit.min(output.durable_index);
        let entries: Vec<_> = self
            .log
            .range(output.delivered_index + 1, last)
            .cloned()
            .collect();
        output.delivered_index = output.delivered_index.max(last);
        self.update_freshness();
        entries
    }

    /// Returns whether a snapshot received from the leader is not durable yet.
    #[must_use]
    pub fn is_installing_snapshot(&self) -> bool {
        self.output.pending_install.is_some()
    }

    /// Builds a snapshot of the state machine, which must have applied exactly the entries taken so far. Returns `None` if it
    /// would be no newer than the latest snapshot or one is being installed. The caller makes it durable and then calls
    /// [`Replica::compact`].
    #[must_use]
    pub fn build_snapshot(&self, data: Vec<u8>) -> Option<Snapshot> {
        let index = self.output.delivered_index;
        let term = self.log.term(index)?;
        let newer = index > self.log.snapshot().position.index;
        (newer && !self.is_installing_snapshot()).then(|| Snapshot {
            position: Position { term, index },
            membership: self.log.membership_at(index),
            data: data.into(),
        })
    }

    /// Compacts the log up to a durable snapshot. The last `keep` entries before it stay for lagging followers.
    pub fn compact(&mut self, snapshot: Snapshot, keep: u64) {
        let newer = snapshot.position.index > self.log.snapshot().position.index;
        if newer && !self.is_installing_snapshot() {
            self.log.compact(snapshot, keep);
            self.output.replaces_log = true;
        }
    }
}
