//! Leading: replication, commit, lease.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Leading, Replica, Role};
use crate::entry::{Entry, Payload, Position, Watermark};
use crate::membership::ReplicaId;
use crate::message::{Commit, Message};
use crate::progress::{Mode, Progress};

impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.deadline = now;
        self.leading = Leading {
            progress: BTreeMap::new(),
            since: now,
            first: self.log.last().index + 1,
            successor: None,
            released: false,
            news: true,
        };
        self.append_own(Payload::Noop);
        self.track_members();
        self.advance(now);
    }

    /// Makes the followed replicas those of the membership in force.
    pub(super) fn track_members(&mut self) {
        let next = self.log.last().index.max(1);
        let membership = self.log.membership().1;
        let progress = &mut self.leading.progress;
        progress.retain(|id, _| membership.get(*id).is_some());
        for member in &membership.members {
            if member.id != self.id {
                progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(next));
            }
        }
    }

    pub(super) fn restart_progress(&mut self, id: ReplicaId) {
        if let Some(progress) = self.leading.progress.get_mut(&id) {
            progress.mode = Mode::Probe;
            progress.next = progress.match_index + 1;
            progress.active = None;
            self.leading.news = true;
        }
    }

    /// Returns the instant of the latest message to which a quorum has replied.
    pub(super) fn heard_quorum(&self, now: Instant) -> Option<Instant> {
        let heard = self.log.membership().1.quorum_value(|id| {
            if id == self.id {
                return Some(self.timestamp_us(now));
            }
            self.leading.progress.get(&id).and_then(|p| p.heard)
        });
        Some(self.epoch + Duration::from_micros(heard??))
    }

    /// Returns until when no other replica can become leader, if this one is leader and its caller has taken an entry of its
    /// term, so that the applied state is current.
    #[must_use]
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        let leads = self.role == Role::Leader && self.output.delivered() >= self.leading.first;
        if !leads || self.leading.released || self.fatal_error.is_some() {
            return None;
        }
        let held = self
            .settings
            .election_timeout_min
            .saturating_sub(self.settings.lease_margin);
        let until = self.heard_quorum(now)? + held;
        (until > now).then_some(until)
    }

    /// Returns until when the replica counts as in contact with a quorum, by its own or its leader's knowledge.
    #[must_use]
    pub fn quorum_until(&self, now: Instant) -> Option<Instant> {
        match self.role {
            Role::Leader => self.lease_until(now),
            _ => self.quorum_until.filter(|until| *until > now),
        }
    }

    /// Sends heartbeats, or steps down without a quorum.
    pub(super) fn lead(&mut self, now: Instant) {
        let heard = self.heard_quorum(now).unwrap_or(self.leading.since);
        if now >= heard.max(self.leading.since) + self.settings.election_timeout_max {
            return self.become_follower(now, self.hard_state.term);
        }
        self.deadline = now + self.settings.heartbeat_interval;
        self.reconcile(now);
        self.pass_on(now);
        let followers: Vec<_> = self.leading.progress.keys().copied().collect();
        for id in followers {
            self.send_heartbeat(now, id);
            self.resend(now, id);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, to: ReplicaId) {
        let Some(progress) = self.leading.progress.get_mut(&to) else {
            return;
        };
        progress.since.get_or_insert(now);
        let mut watermarks = self.hard_state.watermarks.clone();
        watermarks.retain(|watermark| watermark.id != self.id);
        watermarks.push(Watermark {
            id: self.id,
            position: Position {
                term: self.hard_state.term,
                index: self.output.stable(),
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

    /// Sends again what was not acknowledged in time.
    fn resend(&mut self, now: Instant, to: ReplicaId) {
        let limit = self.settings.election_timeout_min;
        let Some(progress) = self.leading.progress.get_mut(&to) else {
            return;
        };
        if progress.active.is_some_and(|at| now >= at + limit) {
            progress.active = None;
            if progress.mode == Mode::Replicate {
                progress.mode = Mode::Probe;
                progress.next = progress.match_index + 1;
            }
        }
        self.replicate(now, to);
    }

    /// Sends new entries and the new commit index.
    pub(super) fn spread_news(&mut self, now: Instant) {
        if self.role != Role::Leader || !std::mem::take(&mut self.leading.news) {
            return;
        }
        let followers: Vec<_> = self.leading.progress.keys().copied().collect();
        for id in followers {
            if !self.replicate(now, id) {
                self.send_heartbeat(now, id);
            }
        }
    }

    /// Sends what the follower lacks, as far as it may be sent now; returns whether anything was sent.
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
        let progress = self.leading.progress.get_mut(&to)?;
        let previous = progress.next - 1;
        if !matches!(progress.mode, Mode::Snapshot { .. }) && self.log.term(previous).is_none() {
            progress.mode = Mode::Snapshot {
                snapshot: self.log.snapshot().clone(),
                offset: 0,
            };
            progress.active = None;
        }
        let ahead = progress.next - progress.match_index > self.settings.max_in_flight_entries;
        match &progress.mode {
            Mode::Snapshot { snapshot, offset } => {
                if progress.active.is_some() {
                    return None;
                }
                progress.active = Some(now);
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
            Mode::Probe if progress.active.is_some() => return None,
            Mode::Replicate if progress.next > last || ahead => return None,
            Mode::Probe | Mode::Replicate => {}
        }
        let entries = batch(
            self.log.range(progress.next, last),
            self.settings.max_message_bytes,
        );
        if progress.mode == Mode::Replicate {
            progress.next += entries.len() as u64;
        }
        progress.active.get_or_insert(now);
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

    fn heard(&mut self, from: ReplicaId, timestamp_us: u64) -> Option<&mut Progress> {
        if self.role != Role::Leader {
            return None;
        }
        let progress = self.leading.progress.get_mut(&from)?;
        progress.heard = progress.heard.max(Some(timestamp_us));
        Some(progress)
    }

    pub(super) fn acknowledged(
        &mut self,
        now: Instant,
        from: ReplicaId,
        result: Result<u64, u64>,
        timestamp_us: u64,
    ) {
        let last = self.log.last().index;
        let Some(progress) = self.heard(from, timestamp_us) else {
            return;
        };
        match result {
            Ok(match_index) => {
                let match_index = match_index.min(last);
                progress.match_index = progress.match_index.max(match_index);
                progress.next = progress.next.max(progress.match_index + 1);
                let waits = match &progress.mode {
                    Mode::Snapshot { snapshot, .. } => snapshot.position.index > match_index,
                    Mode::Probe | Mode::Replicate => false,
                };
                if !waits {
                    progress.mode = Mode::Replicate;
                    let open = progress.next > progress.match_index + 1;
                    progress.active = open.then_some(now);
                }
                let term = self.hard_state.term;
                self.remember(
                    from,
                    Position {
                        term,
                        index: match_index,
                    },
                );
                self.advance(now);
                self.pass_on(now);
            }
            // A hint at or after the probed place belongs to an earlier message.
            Err(hint) if hint + 1 < progress.next => {
                if matches!(progress.mode, Mode::Snapshot { .. }) {
                    return;
                }
                progress.next = (hint + 1).max(progress.match_index + 1);
                progress.mode = Mode::Probe;
                progress.active = None;
            }
            Err(_) => return,
        }
        self.replicate(now, from);
    }

    pub(super) fn heartbeat_answered(&mut self, now: Instant, from: ReplicaId, timestamp_us: u64) {
        if self.heard(from, timestamp_us).is_some() {
            self.replicate(now, from);
        }
    }

    pub(super) fn part_received(
        &mut self,
        now: Instant,
        from: ReplicaId,
        position: Position,
        received: u64,
        timestamp_us: u64,
    ) {
        let Some(progress) = self.heard(from, timestamp_us) else {
            return;
        };
        if let Mode::Snapshot { snapshot, offset } = &mut progress.mode
            && snapshot.position == position
            && *offset != received
        {
            *offset = received;
            progress.active = None;
            self.replicate(now, from);
        }
    }

    /// Commits what a quorum has stored, if the last of it is of the current term.
    pub(super) fn advance(&mut self, now: Instant) {
        let membership = self.log.membership().1;
        let reached = membership.quorum_value(|id| {
            if id == self.id {
                return self.output.stable();
            }
            self.leading.progress.get(&id).map_or(0, |p| p.match_index)
        });
        let reached = reached.unwrap_or(0);
        if reached > self.hard_state.commit && self.log.term(reached) == Some(self.hard_state.term)
        {
            self.hard_state.commit = reached;
            self.leading.news = true;
            self.leave_if_removed(now);
        }
    }
}

/// Returns copies of the first entries, up to a size but at least one.
fn batch<'a>(entries: impl Iterator<Item = &'a Entry>, limit: usize) -> Vec<Entry> {
    let mut size = 0;
    let fitting = entries.take_while(|entry| {
        let first = size == 0;
        size += 32 + entry.payload.size();
        first || size <= limit
    });
    fitting.cloned().collect()
}
