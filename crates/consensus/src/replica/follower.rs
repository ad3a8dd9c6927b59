//! Follower: appended entries, heartbeats and snapshot chunks.

use std::time::Instant;

use super::Replica;
use crate::entry::{Entry, Position, Snapshot, Watermark};
use crate::membership::{Membership, ReplicaId};
use crate::message::{Commit, Message};

impl Replica {
    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
        timestamp_us: u64,
    ) {
        let result = if let Some(hint) = self.conflict_hint(previous) {
            Err(hint)
        } else {
            let end = previous.index + entries.len() as u64;
            self.append_entries(entries);
            self.advance_commit_to(commit.min(end));
            Ok(end)
        };
        let reply = Message::AppendReply {
            term: self.hard_state.term,
            result,
            timestamp_us,
        };
        self.send_when_durable(from, reply, result.unwrap_or(0));
    }

    /// Returns the index after which the leader should probe next, if the log does not contain `previous`.
    fn conflict_hint(&self, previous: Position) -> Option<u64> {
        let last = self.log.last().index;
        if previous.index > last {
            return Some(last);
        }
        // Entries up to the base are committed and therefore equal.
        let term = self.log.term(previous.index)?;
        if term == previous.term {
            return None;
        }
        let mut hint = previous.index - 1;
        while hint > self.hard_state.commit && self.log.term(hint) == Some(term) {
            hint -= 1;
        }
        Some(hint)
    }

    fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let position = entry.position;
            if position.index <= self.log.base().index
                || self.log.term(position.index) == Some(position.term)
            {
                continue;
            }
            if position.index <= self.log.last().index {
                assert!(
                    position.index > self.hard_state.commit,
                    "leader would replace committed entry {}",
                    position.index
                );
                self.log.truncate(position.index);
                self.output.record_truncation(position.index);
            }
            self.log.push(entry);
        }
    }

    pub(super) fn advance_commit_to(&mut self, commit: u64) {
        self.hard_state.commit = self
            .hard_state
            .commit
            .max(commit.min(self.log.last().index));
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        now: Instant,
        from: ReplicaId,
        commit: Commit,
        has_quorum: bool,
        watermarks: &[Watermark],
        timestamp_us: u64,
    ) {
        self.quorum_until = has_quorum.then(|| now + self.settings.election_timeout_max);
        self.advance_commit_to(commit.index.min(commit.match_index));
        if has_quorum {
            self.freshness.target.get_or_insert((commit.index, now));
            self.update_freshness();
        }
        for watermark in watermarks {
            self.record_watermark(watermark.id, watermark.position);
        }
        let reply = Message::HeartbeatReply {
            term: self.hard_state.term,
            timestamp_us,
        };
        self.send_when_durable(from, reply, 0);
    }

    /// Records that the caller has taken all entries that the leader had committed at an earlier instant.
    pub(super) fn update_freshness(&mut self) {
        let delivered = self.output.delivered_index();
        let reached = self.freshness.target.take_if(|t| t.0 <= delivered);
        if let Some((_, received_at)) = reached {
            self.freshness.current_at = Some(received_at);
        }
    }

    /// Appends a snapshot chunk and returns the number of bytes received so far; `None` if the snapshot is not needed.
    pub(super) fn receive_chunk(
        &mut self,
        position: Position,
        offset: u64,
        chunk: &[u8],
    ) -> Option<u64> {
        if position.index <= self.hard_state.commit {
            self.incoming_snapshot = None;
            return None;
        }
        let is_new = self
            .incoming_snapshot
            .as_ref()
            .is_none_or(|(p, _)| *p != position);
        if is_new {
            self.incoming_snapshot = Some((position, Vec::new()));
        }
        let (_, bytes) = self.incoming_snapshot.as_mut()?;
        if bytes.len() as u64 == offset {
            bytes.extend_from_slice(chunk);
        }
        Some(bytes.len() as u64)
    }

    pub(super) fn reply_to_chunk(
        &mut self,
        from: ReplicaId,
        position: Position,
        membership: Membership,
        received: Option<u64>,
        total_bytes: Option<u64>,
        timestamp_us: u64,
    ) {
        let term = self.hard_state.term;
        if let Some(received) = received {
            if total_bytes != Some(received) {
                let reply = Message::InstallSnapshotReply {
                    term,
                    position,
                    received,
                    timestamp_us,
                };
                return self.send_when_durable(from, reply, 0);
            }
            self.install_snapshot(position, membership);
        }
        let match_index = self.hard_state.commit;
        let reply = Message::AppendReply {
            term,
            result: Ok(match_index),
            timestamp_us,
        };
        self.send_when_durable(from, reply, match_index);
    }

    fn install_snapshot(&mut self, position: Position, membership: Membership) {
        let data = self.incoming_snapshot.take().map(|(_, bytes)| bytes);
        if self.log.term(position.index) != Some(position.term) {
            let snapshot = Snapshot {
                position,
                membership,
                data: data.unwrap_or_default().into(),
            };
            self.log.reset(snapshot.clone());
            self.output.begin_install(snapshot);
        }
        self.hard_state.commit = self.hard_state.commit.max(position.index);
    }
}
