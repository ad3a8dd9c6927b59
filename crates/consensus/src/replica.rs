//! One replica of a group.

mod change;
mod check;
mod election;
mod follower;
mod leader;
mod output;

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

/// Step by which a forced recovery raises the term, so that no member that was left behind reaches it by elections.
pub const RECOVERY_TERM_INCREMENT: u64 = 1 << 20;
/// Time between writes of the marks and the commit index when nothing else is written.
const HARD_STATE_PERIOD: Duration = Duration::from_secs(1);

/// What a replica does in its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Takes proposals.
    Leader,
}

/// Reason for which a replica refuses an operation or has stopped.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// The replica is not the leader, or hands over its leadership.
    #[error("this replica is not the leader")]
    NotLeader,
    /// Another membership change has not been committed.
    #[error("another membership change is in progress")]
    ChangeInProgress,
    /// The membership change is not possible.
    #[error("membership change refused: {0}")]
    ChangeRefused(&'static str),
    /// Recovery was asked for while the group works.
    #[error("forced recovery refused: {0}")]
    RecoveryRefused(&'static str),
    /// The disk holds less than what this replica has promised.
    #[error(
        "data directory was rolled back: replica {id} has acknowledged index {} in term {}, but its log ends at index {} and \
         its term is {}; empty the directory, so that the instance joins as a new replica",
        watermark.index, watermark.term, stored.index, stored.term
    )]
    RolledBack {
        /// The replica.
        id: ReplicaId,
        /// What its peers remember.
        watermark: Position,
        /// What the disk holds.
        stored: Position,
    },
    /// The group has removed this replica.
    #[error("replica {0} is no longer a member of its group")]
    Removed(ReplicaId),
}

/// Stored state from which a replica starts; the default is an empty one.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term, vote, commit index and marks.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries in order.
    pub entries: Vec<Entry>,
}

/// State machine of one replica.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    settings: Settings,
    random: SmallRng,
    epoch: Instant,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    fatal_error: Option<Error>,
    /// Election time of a follower, next heartbeat of a leader, next inquiry of a replica that has restarted.
    deadline: Instant,
    /// When a leader was last heard.
    contact: Option<Instant>,
    /// Until when the leader was known to have a quorum.
    quorum_until: Option<Instant>,
    /// Whether the commit index has reached that of the present leader, after it has committed an entry of its term. Before,
    /// the leader's own commit index may lag behind what is committed.
    current: bool,
    votes: BTreeSet<ReplicaId>,
    /// Peers that have answered the inquiry after a restart; `None` once a quorum has.
    inquiry: Option<BTreeSet<ReplicaId>>,
    /// Snapshot that is being received.
    receiving: Option<(Position, Vec<u8>)>,
    leading: Leading,
    output: output::Output,
}

/// State of a leader.
#[derive(Debug)]
struct Leading {
    progress: BTreeMap<ReplicaId, Progress>,
    since: Instant,
    /// First entry of the leader's own term.
    first: u64,
    /// Replica that is to take over, and since when.
    successor: Option<(ReplicaId, Instant)>,
    /// Whether a replica was told to take over, which ends the lease for the rest of the term.
    released: bool,
    /// Entries were appended or committed since the followers were last told.
    news: bool,
}

impl Replica {
    /// Builds a replica from its stored state. `seed` randomises the election timeout.
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
        let start = snapshot.position.index;
        let log = Log::new(snapshot, entries);
        let last = log.last();
        hard_state.term = hard_state.term.max(last.term);
        hard_state.commit = hard_state.commit.clamp(start, last.index);
        let output = output::Output::new(&hard_state, start, last.index);
        let mut replica = Self {
            id,
            settings,
            random: SmallRng::seed_from_u64(seed ^ id.0),
            epoch: now,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            fatal_error: None,
            deadline: now,
            contact: None,
            quorum_until: None,
            current: false,
            votes: BTreeSet::new(),
            inquiry: None,
            receiving: None,
            leading: Leading {
                progress: BTreeMap::new(),
                since: now,
                first: 0,
                successor: None,
                released: false,
                news: false,
            },
            output,
        };
        replica.begin_inquiry(now);
        replica
    }

    /// Gives an empty replica the first membership of its group. Only one replica of a new group may do this.
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
        self.inquiry = None;
        self.deadline = now;
        Ok(())
    }

    /// Does what is due at this instant.
    pub fn tick(&mut self, now: Instant) {
        if self.fatal_error.is_some() {
            return;
        }
        self.output.store_hard_state(now, &self.hard_state);
        if now < self.deadline {
            return;
        }
        if self.inquiry.is_some() {
            self.inquire(now);
        } else if self.role == Role::Leader {
            self.lead(now);
        } else if self.log.membership().1.is_voter(self.id) {
            self.seek_election(now);
        } else {
            self.ask_whether_removed(now);
        }
    }

    /// Returns when [`Replica::tick`] has something to do.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        self.deadline
    }

    /// Handles a message of another replica.
    pub fn step(&mut self, now: Instant, from: ReplicaId, message: Message) {
        if self.fatal_error.is_some() {
            return;
        }
        match (&message, self.inquiry.is_some()) {
            (Message::WatermarkQuery, _) => return self.answer_inquiry(now, from),
            (Message::WatermarkReply { watermark }, true) => {
                return self.recalled(now, from, *watermark);
            }
            (Message::Removed { term }, _) if *term >= self.hard_state.term => {
                self.fatal_error = Some(Error::Removed(self.id));
                return;
            }
            // Before the inquiry is answered, the disk may be a rolled-back one, whose word counts for nothing.
            (Message::WatermarkReply { .. }, false) | (_, true) => return,
            _ => {}
        }
        if self.refuses_stranger(now, from, &message) || !self.adopt_term(now, from, &message) {
            return;
        }
        self.dispatch(now, from, message);
    }

    fn dispatch(&mut self, now: Instant, from: ReplicaId, message: Message) {
        match message {
            Message::PreVote { term, last } => self.answer_pre_vote(now, from, term, last),
            Message::PreVoteReply {
                requested_term,
                granted,
                ..
            } => {
                self.count_pre_vote(now, from, requested_term, granted);
            }
            Message::Vote { last, transfer, .. } => self.answer_vote(now, from, last, transfer),
            Message::VoteReply { granted, .. } => self.count_vote(now, from, granted),
            Message::Append {
                previous,
                entries,
                commit,
                timestamp_us,
                ..
            } => {
                self.follow(now, from);
                self.append(from, previous, entries, commit, timestamp_us);
            }
            Message::Heartbeat {
                commit,
                has_quorum,
                watermarks,
                timestamp_us,
                ..
            } => {
                self.follow(now, from);
                self.heartbeat(now, from, commit, has_quorum, &watermarks, timestamp_us);
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
                self.follow(now, from);
                let received = self.receive(position, offset, &chunk);
                self.answer_part(
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
                self.acknowledged(now, from, result, timestamp_us);
            }
            Message::HeartbeatReply { timestamp_us, .. } => {
                self.heartbeat_answered(now, from, timestamp_us)
            }
            Message::InstallSnapshotReply {
                position,
                received,
                timestamp_us,
                ..
            } => self.part_received(now, from, position, received, timestamp_us),
            Message::TimeoutNow { .. } => self.take_over(now, from),
            Message::Removed { .. } | Message::WatermarkQuery | Message::WatermarkReply { .. } => {}
        }
    }

    /// Appends a command and returns where, if this replica is the leader.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`]; nothing is appended then.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, Error> {
        if !self.accepts_proposals() {
            return Err(Error::NotLeader);
        }
        Ok(self.append_own(Payload::Command(command.into())))
    }

    /// Returns whether proposals are appended here.
    #[must_use]
    pub fn accepts_proposals(&self) -> bool {
        self.role == Role::Leader && self.leading.successor.is_none() && self.fatal_error.is_none()
    }

    fn append_own(&mut self, payload: Payload) -> Position {
        let index = self.log.append(self.hard_state.term, payload);
        self.leading.news = true;
        Position {
            term: self.hard_state.term,
            index,
        }
    }

    fn timestamp_us(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.epoch);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    fn reset_deadline(&mut self, now: Instant) {
        let range = self.settings.election_timeout_min..=self.settings.election_timeout_max;
        self.deadline = now + self.random.random_range(range);
    }

    /// Records what a replica is known to have stored.
    fn remember(&mut self, id: ReplicaId, position: Position) {
        let watermarks = &mut self.hard_state.watermarks;
        match watermarks.iter_mut().find(|watermark| watermark.id == id) {
            Some(watermark) => watermark.position = watermark.position.max(position),
            None => watermarks.push(Watermark { id, position }),
        }
    }

    /// Returns this replica's identity.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the role.
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

    /// Returns the greatest committed index.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.hard_state.commit
    }

    /// Returns whether the commit index has reached that of a leader with a quorum, by this replica's own or its leader's
    /// knowledge. After a restart it lags behind until a leader has sent its own.
    #[must_use]
    pub fn is_caught_up(&self, now: Instant) -> bool {
        let current = self.current || self.role == Role::Leader;
        current && self.quorum_until(now).is_some()
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership in force and whether the entry that holds it is committed.
    #[must_use]
    pub fn membership(&self) -> (&Membership, bool) {
        let (from, membership) = self.log.membership();
        (membership, from <= self.hard_state.commit)
    }

    /// Returns why the replica has stopped for good, if it has.
    #[must_use]
    pub fn fatal_error(&self) -> Option<&Error> {
        self.fatal_error.as_ref()
    }

    /// Returns whether the replica still waits to hear whether its disk was rolled back.
    #[must_use]
    pub fn is_checking_rollback(&self) -> bool {
        self.inquiry.is_some()
    }
}
