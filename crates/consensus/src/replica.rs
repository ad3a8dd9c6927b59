//! Raft state machine of one replica.

mod change;
mod election;
mod follower;
mod leader;
mod output;
mod rollback;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::entry::{Entry, HardState, Payload, Position, Snapshot, Watermark};
use crate::log::Log;
use crate::membership::{Membership, ReplicaId};
use crate::message::Message;
use crate::progress::Progress;
use crate::settings::Settings;

pub use change::MembershipChange;
pub use output::{Write, WriteId};

/// Term increment of a forced recovery. It is large enough that members left behind cannot reach the new term by elections.
pub const RECOVERY_TERM_INCREMENT: u64 = 1 << 20;
/// Interval at which changed watermarks and a changed commit index are written when nothing else is.
const HARD_STATE_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Raft role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Replicates the log of a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends proposals and replicates the log.
    Leader,
}

/// Reason why a replica rejects an operation or has stopped.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// The replica is not the leader, or is transferring its leadership.
    #[error("this replica is not the leader")]
    NotLeader,
    /// An earlier membership change is not committed yet.
    #[error("another membership change is in progress")]
    ChangeInProgress,
    /// The membership change is invalid.
    #[error("membership change refused: {0}")]
    ChangeRefused(&'static str),
    /// Forced recovery was requested while the group has a leader, or at a replica that is not a member.
    #[error("forced recovery refused: {0}")]
    RecoveryRefused(&'static str),
    /// The disk holds less than this replica has acknowledged.
    #[error(
        "data directory was rolled back: replica {id} has acknowledged index {} in term {}, but its log ends at index {} and \
         its term is {}; empty the directory, so that the instance joins as a new replica",
        watermark.index, watermark.term, stored.index, stored.term
    )]
    RolledBack {
        /// The replica.
        id: ReplicaId,
        /// Last position that its peers recorded as acknowledged.
        watermark: Position,
        /// Stored term and last stored index.
        stored: Position,
    },
    /// The replica was removed from its group.
    #[error("replica {0} is no longer a member of its group")]
    Removed(ReplicaId),
}

/// Persistent state from which a replica starts. The default is that of an empty replica.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term, vote, commit index and watermarks.
    pub hard_state: HardState,
    /// Latest stored snapshot.
    pub snapshot: Snapshot,
    /// Stored entries, in log order.
    pub entries: Vec<Entry>,
}

/// Raft state machine of one replica. It does no I/O: the caller passes in messages and instants and carries out the output.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    settings: Settings,
    rng: SmallRng,
    clock_origin: Instant,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    fatal_error: Option<Error>,
    /// Election timeout of a follower, next heartbeat of a leader, or next round of watermark queries after a restart.
    deadline: Instant,
    /// Time of the last message from a leader. After a start, the start itself.
    last_contact: Option<Instant>,
    /// Until when the leader counts as in contact with a quorum.
    quorum_until: Option<Instant>,
    /// What a follower knows about the age of the state that its caller has taken.
    freshness: Freshness,
    votes: BTreeSet<ReplicaId>,
    /// Replicas that have answered the rollback check after a restart; `None` once a quorum has.
    rollback_check: Option<BTreeSet<ReplicaId>>,
    /// Position and received bytes of an incoming snapshot.
    incoming_snapshot: Option<(Position, Vec<u8>)>,
    leader_state: LeaderState,
    output: output::Output,
}

/// Age of the state of a follower, compared with the commit index of a leader that has a quorum and has committed an entry of
/// its term.
#[derive(Debug, Default)]
struct Freshness {
    /// Commit index of a leader, and when it was received. The state has not reached it yet.
    target: Option<(u64, Instant)>,
    /// Latest instant such that the state contains what the leader had committed when it sent what was received then.
    current_at: Option<Instant>,
}

/// State that only a leader uses.
#[derive(Debug)]
struct LeaderState {
    progress: BTreeMap<ReplicaId, Progress>,
    /// When this leader was elected, or its process was resumed after a suspension.
    elected_at: Instant,
    /// Timestamp of the first message whose reply proves contact.
    contact_from_us: u64,
    /// Index of the first entry of the leader's term.
    term_start: u64,
    /// Target of the leadership transfer in progress, and when the transfer began.
    transfer: Option<(ReplicaId, Instant)>,
    /// Whether `TimeoutNow` was sent in this term. The leader then holds no lease for the rest of the term.
    lease_released: bool,
    /// Whether entries were appended or committed since the last broadcast to the followers.
    broadcast_due: bool,
}

impl Replica {
    /// Builds a replica from its persistent state. `seed` randomizes the election timeout.
    #[must_use]
    pub fn new(
        now: Instant,
        id: ReplicaId,
        settings: Settings,
        restored: PersistentState,
        seed: u64,
    ) -> Self {
        let PersistentState {
            mut hard_state,
            snapshot,
            entries,
        } = restored;
        let snapshot_index = snapshot.position.index;
        let log = Log::new(snapshot, entries);
        let last = log.last();
        hard_state.term = hard_state.term.max(last.term);
        hard_state.commit = hard_state.commit.clamp(snapshot_index, last.index);
        let output = output::Output::new(&hard_state, snapshot_index, last.index);
        let mut replica = Self {
            id,
            settings,
            rng: SmallRng::seed_from_u64(seed ^ id.0),
            clock_origin: now,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            fatal_error: None,
            deadline: now,
            last_contact: None,
            quorum_until: None,
            freshness: Freshness::default(),
            votes: BTreeSet::new(),
            rollback_check: None,
            incoming_snapshot: None,
            leader_state: LeaderState {
                progress: BTreeMap::new(),
                elected_at: now,
                contact_from_us: 0,
                term_start: 0,
                transfer: None,
                lease_released: false,
                broadcast_due: false,
            },
            output,
        };
        replica.begin_rollback_check(now);
        replica
    }

    /// Appends the initial membership of a new group. Only one replica of the group may do this.
    ///
    /// # Errors
    ///
    /// Returns an error when the replica is not empty or not a voter.
    pub fn bootstrap(&mut self, now: Instant, membership: Membership) -> Result<(), Error> {
        if self.log.last().index > 0 || self.hard_state.term > 0 {
            return Err(Error::ChangeRefused("the replica is not empty"));
        }
        if !membership.is_voter(self.id) {
            return Err(Error::ChangeRefused("the replica is not a voter"));
        }
        self.hard_state.term = 1;
        self.log.append(1, Payload::Membership(membership));
        self.rollback_check = None;
        self.deadline = now;
        Ok(())
    }

    /// Handles the timers that are due: elections, heartbeats, watermark queries and hard state writes.
    pub fn tick(&mut self, now: Instant) {
        if self.fatal_error.is_some() {
            return;
        }
        self.output.schedule_hard_state_write(now, &self.hard_state);
        if now < self.deadline {
            return;
        }
        if self.rollback_check.is_some() {
            self.send_watermark_queries(now);
        } else if self.role == Role::Leader {
            self.tick_leader(now);
        } else if self.log.membership().1.is_voter(self.id) {
            self.start_pre_vote(now);
        } else {
            self.query_own_removal(now);
        }
    }

    /// Returns the instant at which [`Replica::tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        self.deadline
    }

    /// Discards all evidence of contact with other replicas, after a suspension during which the clock of the instants stood
    /// still. Another replica may lead by now.
    pub fn resume(&mut self, now: Instant) {
        self.quorum_until = None;
        self.freshness = Freshness::default();
        self.leader_state.elected_at = now;
        // Replies that arrive now may answer messages from before the suspension.
        self.leader_state.contact_from_us = self.timestamp_us(now);
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now: Instant, from: ReplicaId, message: Message) {
        if self.fatal_error.is_some() {
            return;
        }
        match (&message, self.rollback_check.is_some()) {
            (Message::WatermarkQuery, _) => return self.handle_watermark_query(now, from),
            (Message::WatermarkReply { watermark }, true) => {
                return self.handle_watermark_reply(now, from, *watermark);
            }
            (Message::Removed { term }, _) if *term >= self.hard_state.term => {
                self.fatal_error = Some(Error::Removed(self.id));
                return;
            }
            // Until the rollback check passes, the disk may have been rolled back, so that its votes and replies are not valid.
            (Message::WatermarkReply { .. }, false) | (_, true) => return,
            _ => {}
        }
        if self.reject_non_member(now, from, &message)
            || !self.apply_term_rules(now, from, &message)
        {
            return;
        }
        self.handle_message(now, from, message);
    }

    fn handle_message(&mut self, now: Instant, from: ReplicaId, message: Message) {
        match message {
            Message::PreVote { term, last } => self.handle_pre_vote(now, from, term, last),
            Message::PreVoteReply {
                requested_term,
                granted,
                ..
            } => {
                self.record_pre_vote(now, from, requested_term, granted);
            }
            Message::Vote { last, transfer, .. } => self.handle_vote(now, from, last, transfer),
            Message::VoteReply { granted, .. } => self.record_vote(now, from, granted),
            Message::Append {
                previous,
                entries,
                commit,
                timestamp_us,
                ..
            } => {
                self.record_leader_contact(now, from);
                self.handle_append(from, previous, entries, commit, timestamp_us);
            }
            Message::Heartbeat {
                commit,
                has_quorum,
                watermarks,
                timestamp_us,
                ..
            } => {
                self.record_leader_contact(now, from);
                self.handle_heartbeat(now, from, commit, has_quorum, &watermarks, timestamp_us);
            }
            Message::InstallSnapshot {
                position,
                membership,
                offset,
                total_bytes,
                chunk,
                timestamp_us,
                ..
            } => {
                self.record_leader_contact(now, from);
                let received = self.receive_chunk(position, offset, &chunk);
                self.reply_to_chunk(
                    from,
                    position,
                    membership,
                    received,
                    total_bytes,
                    timestamp_us,
                );
            }
            Message::AppendReply {
                result,
                timestamp_us,
                ..
            } => {
                self.handle_append_reply(now, from, result, timestamp_us);
            }
            Message::HeartbeatReply { timestamp_us, .. } => {
                self.handle_heartbeat_reply(now, from, timestamp_us);
            }
            Message::InstallSnapshotReply {
                position,
                received,
                timestamp_us,
                ..
            } => self.handle_snapshot_reply(now, from, position, received, timestamp_us),
            Message::TimeoutNow { .. } => self.handle_timeout_now(now, from),
            Message::Removed { .. } | Message::WatermarkQuery | Message::WatermarkReply { .. } => {}
        }
    }

    /// Appends a command if this replica is the leader, and returns its position in the log.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] when this replica does not accept proposals; nothing is appended then.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, Error> {
        if !self.accepts_proposals() {
            return Err(Error::NotLeader);
        }
        Ok(self.append_as_leader(Payload::Command(command.into())))
    }

    /// Returns whether this replica is a leader that appends proposals. A leader stops accepting them during a leadership
    /// transfer.
    #[must_use]
    pub fn accepts_proposals(&self) -> bool {
        self.role == Role::Leader
            && self.leader_state.transfer.is_none()
            && self.fatal_error.is_none()
    }

    fn append_as_leader(&mut self, payload: Payload) -> Position {
        let index = self.log.append(self.hard_state.term, payload);
        self.leader_state.broadcast_due = true;
        Position {
            term: self.hard_state.term,
            index,
        }
    }

    fn timestamp_us(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.clock_origin);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    fn reset_deadline(&mut self, now: Instant) {
        let range = self.settings.election_timeout_min..=self.settings.election_timeout_max;
        self.deadline = now + self.rng.random_range(range);
    }

    /// Raises the watermark of a replica to a position that it is known to have stored.
    fn record_watermark(&mut self, id: ReplicaId, position: Position) {
        let watermarks = &mut self.hard_state.watermarks;
        match watermarks.iter_mut().find(|watermark| watermark.id == id) {
            Some(watermark) => watermark.position = watermark.position.max(position),
            None => watermarks.push(Watermark { id, position }),
        }
    }

    /// Returns the identity of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the commit index known to this replica.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.hard_state.commit
    }

    /// Returns until when the state that the caller has taken counts as current. Contact with the leader is not enough: a
    /// follower whose disk hangs answers heartbeats, but applies nothing.
    #[must_use]
    pub fn current_until(&self, now: Instant) -> Option<Instant> {
        let quorum_until = self.quorum_until(now)?;
        if self.role == Role::Leader {
            return Some(quorum_until);
        }
        let until = self.freshness.current_at? + self.settings.election_timeout_max;
        (until > now).then_some(until.min(quorum_until))
    }

    /// Returns the in-memory log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest membership in the log, which is in force, and whether its entry is committed.
    #[must_use]
    pub fn membership(&self) -> (&Membership, bool) {
        let (since_index, membership) = self.log.membership();
        (membership, since_index <= self.hard_state.commit)
    }

    /// Returns the error that stopped the replica for good, if any.
    #[must_use]
    pub fn fatal_error(&self) -> Option<&Error> {
        self.fatal_error.as_ref()
    }

    /// Returns whether the rollback check after a start is still running.
    #[must_use]
    pub fn is_checking_rollback(&self) -> bool {
        self.rollback_check.is_some()
    }
}
