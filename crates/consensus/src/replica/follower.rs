//! Following a leader: appends, heartbeats and snapshots.

use std::time::Instant;

use super::Replica;
use crate::entry::{Entry, Mark, Position, Snapshot};
use crate::membership::{Membership, ReplicaId};
use crate::message::{Commit, Message};

impl Replica {
    pub(super) fn append(
        &mut self,
        from: ReplicaId,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
        stamp: u64,
    ) {
        let matched = if let Some(hint) = self.conflict(previous) {
            Err(hint)
        } else {
            let end = previous.index + entries.len() as u64;
            self.store(entries);
            self.commit_to(commit.min(end));
            Ok(end)
        };
        let reply = Message::AppendReply {
            term: self.hard.term,
            matched,
            stamp,
        };
        self.reply(from, reply, matched.unwrap_or(0));
    }

    /// Returns the index after which the leader should try, if the log does not contain `previous`.
    fn conflict(&self, previous: Position) -> Option<u64> {
        let last = self.log.last().index;
        if previous.index > last {
            return Some(last);
        }
        // Everything up to the base is committed and therefore equal.
        let term = self.log.term(previous.index)?;
        if term == previous.term {
            return None;
        }
        let mut hint = previous.index - 1;
        while hint > self.hard.commit && self.log.term(hint) == Some(term) {
            hint -= 1;
        }
        Some(hint)
    }

    fn store(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let position = entry.position;
            if position.index <= self.log.base().index
                || self.log.term(position.index) == Some(position.term)
            {
                continue;
            }
            if position.index <= self.log.last().index {
                assert!(
                    position.index > self.hard.commit,
                    "committed entry {} would be replaced",
                    position.index
                );
                self.log.truncate(position.index);
                self.output.truncated(position.index);
            }
            self.log.push(entry);
        }
    }

    pub(super) fn commit_to(&mut self, commit: u64) {
        self.hard.commit = self.hard.commit.max(commit.min(self.log.last().index));
    }

    pub(super) fn heartbeat(
        &mut self,
        now: Instant,
        from: ReplicaId,
        commit: Commit,
        quorum: bool,
        marks: &[Mark],
        stamp: u64,
    ) {
        self.quorum_until = quorum.then(|| now + self.settings.election_max);
        self.commit_to(commit.index.min(commit.matched));
        self.current |= quorum && self.hard.commit >= commit.index;
        for mark in marks {
            self.remember(mark.id, mark.position);
        }
        let reply = Message::HeartbeatReply {
            term: self.hard.term,
            stamp,
        };
        self.reply(from, reply, 0);
    }

    /// Adds a part of a snapshot and returns how many bytes there are; `None` if the snapshot is not needed.
    pub(super) fn receive(&mut self, position: Position, offset: u64, part: &[u8]) -> Option<u64> {
        if position.index <= self.hard.commit {
            self.receiving = None;
            return None;
        }
        let other = self.receiving.as_ref().is_none_or(|(p, _)| *p != position);
        if other {
            self.receiving = Some((position, Vec::new()));
        }
        let (_, bytes) = self.receiving.as_mut()?;
        if bytes.len() as u64 == offset {
            bytes.extend_from_slice(part);
        }
        Some(bytes.len() as u64)
    }

    pub(super) fn answer_part(
        &mut self,
        from: ReplicaId,
        position: Position,
        members: Membership,
        received: Option<u64>,
        size: Option<u64>,
        stamp: u64,
    ) {
        let term = self.hard.term;
        if let Some(received) = received {
            if size != Some(received) {
                let reply = Message::SnapshotReply {
                    term,
                    position,
                    received,
                    stamp,
                };
                return self.reply(from, reply, 0);
            }
            self.install(position, members);
        }
        let matched = self.hard.commit;
        let reply = Message::AppendReply {
            term,
            matched: Ok(matched),
            stamp,
        };
        self.reply(from, reply, matched);
    }

    fn install(&mut self, position: Position, members: Membership) {
        let data = self.receiving.take().map(|(_, bytes)| bytes);
        if self.log.term(position.index) != Some(position.term) {
            let snapshot = Snapshot {
                position,
                members,
                data: data.unwrap_or_default().into(),
            };
            self.log.reset(snapshot.clone());
            self.output.install(snapshot);
        }
        self.hard.commit = self.hard.commit.max(position.index);
    }
}
