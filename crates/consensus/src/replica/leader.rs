//! Leader: log replication, commit index, heartbeats, check quorum and leader lease.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{LeaderState, Replica, Role};
use crate::entry::{Entry, Payload, Position, Watermark};
use crate::membership::ReplicaId;
use crate::message::{Commit, Message};
use crate::progress::{Mode, Progress};

impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.deadline = now;
        self.leader_state = LeaderState {
            progress: BTreeMap::new(),
            elected_at: now,
            contact_from_us: 0,
            term_start: self.log.last().index + 1,
            transfer: None,
            lease_released: false,
            broadcast_due: true,
        };
        self.append_as_leader(Payload::Noop);
        self.sync_progress();
        self.advance_commit(now);
    }

    /// Tracks exactly the other members of the latest membership.
    pub(super) fn sync_progress(&mut self) {
        let next = self.log.last().index.max(1);
        let membership = self.log.membership().1;
        let progress = &mut self.leader_state.progress;
        progress.retain(|id, _| membership.get(*id).is_some());
        for member in &membership.members {
            if member.id != self.id {
                progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(next));
            }
        }
    }

    pub(super) fn reset_progress(&mut self, id: ReplicaId) {
        if let Some(progress) = self.leader_state.progress.get_mut(&id) {
            progress.mode = Mode::Probe;
            progress.next_index = progress.match_index + 1;
            progress.in_flight_since = None;
            self.leader_state.broadcast_due = true;
        }
    }

    /// Returns the latest instant such that a quorum has replied to messages sent at or after it.
    pub(super) fn quorum_contact(&self, now: Instant) -> Option<Instant> {
        let last_contact = self.log.membership().1.quorum_value(|id| {
            if id == self.id {
                return Some(self.timestamp_us(now));
            }
            let progress = self.leader_state.progress.get(&id);
            progress
                .and_then(|p| p.last_acked_us)
                .filter(|acked_us| *acked_us >= self.leader_state.contact_from_us)
        });
        Some(self.clock_origin + Duration::from_micros(last_contact??))
    }

    /// Returns until when no other replica can become leader. Returns `None` unless this replica is the leader and its caller
    /// has taken an entry of its term, so that the applied state is up to date.
    #[must_use]
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        let is_active = self.role == Role::Leader
            && self.output.delivered_index() >= self.leader_state.term_start;
        if !is_active || self.leader_state.lease_released || self.fatal_error.is_some() {
            return None;
        }
        let lease_duration = self
            .settings
            .election_timeout_min
            .saturating_sub(self.settings.lease_margin);
        let until = self.quorum_contact(now)? + lease_duration;
        (until > now).then_some(until)
    }

    /// Returns until when the replica counts as in contact with a quorum. A follower relies on its leader's heartbeats.
    #[must_use]
    pub fn quorum_until(&self, now: Instant) -> Option<Instant> {
        match self.role {
            Role::Leader => self.lease_until(now),
            _ => self.quorum_until.filter(|until| *until > now),
        }
    }

    /// Sends heartbeats, or steps down if no quorum has replied within the max election timeout (check quorum).
    pub(super) fn tick_leader(&mut self, now: Instant) {
        let last_contact = self
            .quorum_contact(now)
            .unwrap_or(self.leader_state.elected_at);
        if now
            >= last_contact.max(self.leader_state.elected_at) + self.settings.election_timeout_max
        {
            return self.become_follower(now, self.hard_state.term);
        }
        self.deadline = now + self.settings.heartbeat_interval;
        self.reconcile_membership(now);
        self.continue_transfer(now);
        let followers: Vec<_> = self.leader_state.progress.keys().copied().collect();
        for id in followers {
            self.send_heartbeat(now, id);
            self.retry_unacknowledged(now, id);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, to: ReplicaId) {
        let Some(progress) = self.leader_state.progress.get_mut(&to) else {
            return;
        };
        progress.first_heartbeat.get_or_insert(now);
        let mut watermarks = self.hard_state.watermarks.clone();
        watermarks.retain(|watermark| watermark.id != self.id);
        watermarks.push(Watermark {
            id: self.id,
            position: Position {
                term: self.hard_state.term,
                index: self.output.durable_index(),
            },
        });
        let message = Message::Heartbeat {
            term: self.hard_state.term,
            commit: Commit {
                index: self.hard_state.commit,
                match_index: progress.match_index,
            },
            has_quorum: self.lease_until(now).is_some(),
            watermarks,
            timestamp_us: self.timestamp_us(now),
        };
        self.output.send(to, message);
    }

    /// Falls back to probing a follower that has not acknowledged entries in time, and resends them.
    fn retry_unacknowledged(&mut self, now: Instant, to: ReplicaId) {
        let limit = self.settings.election_timeout_min;
        let Some(progress) = self.leader_state.progress.get_mut(&to) else {
            return;
        };
        if progress.in_flight_since.is_some_and(|at| now >= at + limit) {
            progress.in_flight_since = None;
            if progress.mode == Mode::Replicate {
                progress.mode = Mode::Probe;
                progress.next_index = progress.match_index + 1;
            }
        }
        self.replicate(now, to);
    }

    /// Sends new entries and a new commit index to all followers.
    pub(super) fn broadcast_changes(&mut self, now: Instant) {
        if self.role != Role::Leader || !std::mem::take(&mut self.leader_state.broadcast_due) {
            return;
        }
        let followers: Vec<_> = self.leader_state.progress.keys().copied().collect();
        for id in followers {
            if !self.replicate(now, id) {
                self.send_heartbeat(now, id);
            }
        }
    }

    /// Sends the entries or snapshot chunks that the follower lacks, within the flow control limits. Returns whether anything
    /// was sent.
    fn replicate(&mut self, now: Instant, to: ReplicaId) -> bool {
        let mut sent = false;
        while let Some(message) = self.next_message(now, to) {
            self.output.send(to, message);
            sent = true;
        }
        sent
    }

    fn next_message(&mut self, now: Instant, to: ReplicaId) -> Option<Message> {
        let timestamp_us = self.timestamp_us(now);
        let term = self.hard_state.term;
        let last = self.log.last().index;
        let progress = self.leader_state.progress.get_mut(&to)?;
        let previous = progress.next_index - 1;
        if !matches!(progress.mode, Mode::Snapshot { .. }) && self.log.term(previous).is_none() {
            progress.mode = Mode::Snapshot {
                snapshot: self.log.snapshot().clone(),
                offset: 0,
            };
            progress.in_flight_since = None;
        }
        let window_full =
            progress.next_index - progress.match_index > self.settings.max_in_flight_entries;
        match &progress.mode {
            Mode::Snapshot { snapshot, offset } => {
                if progress.in_flight_since.is_some() {
                    return None;
                }
                progress.in_flight_since = Some(now);
                let start = usize::try_from(*offset).unwrap_or(usize::MAX);
                let end = start.saturating_add(self.settings.max_message_bytes);
                let end = end.min(snapshot.data.len());
                let done = end == snapshot.data.len();
                return Some(Message::InstallSnapshot {
                    term,
                    position: snapshot.position,
                    membership: snapshot.membership.clone(),
                    offset: *offset,
                    total_bytes: done.then_some(end as u64),
                    chunk: snapshot.data.get(start..end).unwrap_or_default().into(),
                    timestamp_us,
                });
            }
            Mode::Probe if progress.in_flight_since.is_some() => return None,
            Mode::Replicate if progress.next_index > last || window_full => return None,
            Mode::Probe | Mode::Replicate => {}
        }
        let entries = take_batch(
            self.log.range(progress.next_index, last),
            self.settings.max_message_bytes,
        );
        if progress.mode == Mode::Replicate {
            progress.next_index += entries.len() as u64;
        }
        progress.in_flight_since.get_or_insert(now);
        Some(Message::Append {
            term,
            previous: Position {
                term: self.log.term(previous)?,
                index: previous,
            },
            entries,
            commit: self.hard_state.commit,
            timestamp_us,
        })
    }

    fn record_reply(&mut self, from: ReplicaId, timestamp_us: u64) -> Option<&mut Progress> {
        if self.role != Role::Leader {
            return None;
        }
        let progress = self.leader_state.progress.get_mut(&from)?;
        progress.last_acked_us = progress.last_acked_us.max(Some(timestamp_us));
        Some(progress)
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        result: Result<u64, u64>,
        timestamp_us: u64,
    ) {
        let last = self.log.last().index;
        let Some(progress) = self.record_reply(from, timestamp_us) else {
            return;
        };
        match result {
            Ok(match_index) => {
                let match_index = match_index.min(last);
                progress.match_index = progress.match_index.max(match_index);
                progress.next_index = progress.next_index.max(progress.match_index + 1);
                let awaits_snapshot = match &progress.mode {
                    Mode::Snapshot { snapshot, .. } => snapshot.position.index > match_index,
                    Mode::Probe | Mode::Replicate => false,
                };
                if !awaits_snapshot {
                    progress.mode = Mode::Replicate;
                    let in_flight = progress.next_index > progress.match_index + 1;
                    progress.in_flight_since = in_flight.then_some(now);
                }
                let term = self.hard_state.term;
                self.record_watermark(
                    from,
                    Position {
                        term,
                        index: match_index,
                    },
                );
                self.advance_commit(now);
                self.continue_transfer(now);
            }
            // A hint at or after the probed index belongs to an earlier message.
            Err(hint) if hint + 1 < progress.next_index => {
                if matches!(progress.mode, Mode::Snapshot { .. }) {
                    return;
                }
                progress.next_index = (hint + 1).max(progress.match_index + 1);
                progress.mode = Mode::Probe;
                progress.in_flight_since = None;
            }
            Err(_) => return,
        }
        self.replicate(now, from);
    }

    pub(super) fn handle_heartbeat_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        timestamp_us: u64,
    ) {
        if self.record_reply(from, timestamp_us).is_some() {
            self.replicate(now, from);
        }
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        position: Position,
        received: u64,
        timestamp_us: u64,
    ) {
        let Some(progress) = self.record_reply(from, timestamp_us) else {
            return;
        };
        if let Mode::Snapshot { snapshot, offset } = &mut progress.mode
            && snapshot.position == position
            && *offset != received
        {
            *offset = received;
            progress.in_flight_since = None;
            self.replicate(now, from);
        }
    }

    /// Advances the commit index to what a quorum has stored, if the last such entry is of the current term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let membership = self.log.membership().1;
        let committed = membership.quorum_value(|id| {
            if id == self.id {
                return self.output.durable_index();
            }
            self.leader_state
                .progress
                .get(&id)
                .map_or(0, |p| p.match_index)
        });
        let committed = committed.unwrap_or(0);
        if committed > self.hard_state.commit
            && self.log.term(committed) == Some(self.hard_state.term)
        {
            self.hard_state.commit = committed;
            self.leader_state.broadcast_due = true;
            self.stop_if_removed(now);
        }
    }
}

/// Returns copies of the first entries with a total size of at most `limit` bytes, but at least one entry.
fn take_batch<'a>(entries: impl Iterator<Item = &'a Entry>, limit: usize) -> Vec<Entry> {
    let mut size = 0;
    let batch = entries.take_while(|entry| {
        let first = size == 0;
        size += 32 + entry.payload.size();
        first || size <= limit
    });
    batch.cloned().collect()
}
