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

use crate::entry::{Entry, HardState, Mark, Payload, Position, Snapshot};
use crate::log::Log;
use crate::membership::{Membership, ReplicaId};
use crate::message::Message;
use crate::progress::Progress;
use crate::settings::Settings;

pub use change::Change;
pub use output::{Receipt, Write};

/// Step by which a forced recovery raises the term, so that no member that was left behind reaches it by elections.
pub const RECOVERY_TERM_STEP: u64 = 1 << 20;
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
        known.index, known.term, stored.index, stored.term
    )]
    RolledBack {
        /// The replica.
        id: ReplicaId,
        /// What its peers remember.
        known: Position,
        /// What the disk holds.
        stored: Position,
    },
    /// The group has removed this replica.
    #[error("replica {0} is no longer a member of its group")]
    Removed(ReplicaId),
}

/// Stored state from which a replica starts; the default is an empty one.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Term, vote, commit index and marks.
    pub hard: HardState,
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
    hard: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    fault: Option<Error>,
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
        restored: Restored,
        seed: u64,
    ) -> Self {
        let Restored {
            mut hard,
            snapshot,
            entries,
        } = restored;
        let start = snapshot.position.index;
        let log = Log::new(snapshot, entries);
        let last = log.last();
        hard.term = hard.term.max(last.term);
        hard.commit = hard.commit.clamp(start, last.index);
        let output = output::Output::new(&hard, start, last.index);
        let mut replica = Self {
            id,
            settings,
            random: SmallRng::seed_from_u64(seed ^ id.0),
            epoch: now,
            hard,
            log,
            role: Role::Follower,
            leader: None,
            fault: None,
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
    pub fn bootstrap(&mut self, now: Instant, members: Membership) -> Result<(), Error> {
        if self.log.last().index > 0 || self.hard.term > 0 {
            return Err(Error::ChangeRefused("the replica is not empty"));
        }
        if !members.is_voter(self.id) {
            return Err(Error::ChangeRefused("the replica is not a voter"));
        }
        self.hard.term = 1;
        self.log.append(1, Payload::Members(members));
        self.inquiry = None;
        self.deadline = now;
        Ok(())
    }

    /// Does what is due at this instant.
    pub fn tick(&mut self, now: Instant) {
        if self.fault.is_some() {
            return;
        }
        self.output.store_hard_state(now, &self.hard);
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
        if self.fault.is_some() {
            return;
        }
        match (&message, self.inquiry.is_some()) {
            (Message::Inquire, _) => return self.answer_inquiry(now, from),
            (Message::Recall { known }, true) => return self.recalled(now, from, *known),
            (Message::Removed { term }, _) if *term >= self.hard.term => {
                self.fault = Some(Error::Removed(self.id));
                return;
            }
            // Before the inquiry is answered, the disk may be a rolled-back one, whose word counts for nothing.
            (Message::Recall { .. }, false) | (_, true) => return,
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
            Message::PreVoteReply { asked, granted, .. } => {
                self.count_pre_vote(now, from, asked, granted);
            }
            Message::Vote { last, handover, .. } => self.answer_vote(now, from, last, handover),
            Message::VoteReply { granted, .. } => self.count_vote(now, from, granted),
            Message::Append {
                previous,
                entries,
                commit,
                stamp,
                ..
            } => {
                self.follow(now, from);
                self.append(from, previous, entries, commit, stamp);
            }
            Message::Heartbeat {
                commit,
                quorum,
                marks,
                stamp,
                ..
            } => {
                self.follow(now, from);
                self.heartbeat(now, from, commit, quorum, &marks, stamp);
            }
            Message::Snapshot {
                position,
                members,
                offset,
                size,
                part,
                stamp,
                ..
            } => {
                self.follow(now, from);
                let received = self.receive(position, offset, &part);
                self.answer_part(from, position, members, received, size, stamp);
            }
            Message::AppendReply { matched, stamp, .. } => {
                self.acknowledged(now, from, matched, stamp);
            }
            Message::HeartbeatReply { stamp, .. } => self.heartbeat_answered(now, from, stamp),
            Message::SnapshotReply {
                position,
                received,
                stamp,
                ..
            } => self.part_received(now, from, position, received, stamp),
            Message::TakeOver { .. } => self.take_over(now, from),
            Message::Removed { .. } | Message::Inquire | Message::Recall { .. } => {}
        }
    }

    /// Appends a command and returns where, if this replica is the leader.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`]; nothing is appended then.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, Error> {
        if !self.takes_proposals() {
            return Err(Error::NotLeader);
        }
        Ok(self.append_own(Payload::Command(command.into())))
    }

    /// Returns whether proposals are appended here.
    #[must_use]
    pub fn takes_proposals(&self) -> bool {
        self.role == Role::Leader && self.leading.successor.is_none() && self.fault.is_none()
    }

    fn append_own(&mut self, payload: Payload) -> Position {
        let index = self.log.append(self.hard.term, payload);
        self.leading.news = true;
        Position {
            term: self.hard.term,
            index,
        }
    }

    fn stamp(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.epoch);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    fn reset_deadline(&mut self, now: Instant) {
        let range = self.settings.election_min..=self.settings.election_max;
        self.deadline = now + self.random.random_range(range);
    }

    /// Records what a replica is known to have stored.
    fn remember(&mut self, id: ReplicaId, position: Position) {
        let marks = &mut self.hard.marks;
        match marks.iter_mut().find(|mark| mark.id == id) {
            Some(mark) => mark.position = mark.position.max(position),
            None => marks.push(Mark { id, position }),
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
        self.hard.term
    }

    /// Returns the leader of the current term, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the greatest committed index.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.hard.commit
    }

    /// Returns whether the commit index has reached that of a leader with a quorum, by this replica's own or its leader's
    /// knowledge. After a restart it lags behind until a leader has sent its own.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
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
        let (from, members) = self.log.membership();
        (members, from <= self.hard.commit)
    }

    /// Returns why the replica has stopped for good, if it has.
    #[must_use]
    pub fn fault(&self) -> Option<&Error> {
        self.fault.as_ref()
    }

    /// Returns whether the replica still waits to hear whether its disk was rolled back.
    #[must_use]
    pub fn is_inquiring(&self) -> bool {
        self.inquiry.is_some()
    }
}
