//! Elections: pre-vote, vote, check of the leader's quorum, planned hand-over.

use std::time::Instant;

use super::{Replica, Role};
use crate::entry::Position;
use crate::membership::ReplicaId;
use crate::message::Message;

impl Replica {
    /// Returns whether the replica knows of a working leader, so that it grants no vote.
    pub(super) fn has_leader(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return self.heard_quorum(now).is_some_and(|heard| {
                now.saturating_duration_since(heard) < self.settings.election_timeout_min
            });
        }
        self.contact.is_some_and(|at| {
            now.saturating_duration_since(at) < self.settings.election_timeout_min
        })
    }

    /// Applies the rules for terms; returns whether the message is to be handled.
    pub(super) fn adopt_term(&mut self, now: Instant, from: ReplicaId, message: &Message) -> bool {
        let Some(term) = message.term() else {
            return true;
        };
        if term > self.hard_state.term {
            let asked_by_leader = matches!(message, Message::Vote { transfer: true, .. });
            let is_vote = matches!(message, Message::Vote { .. });
            if is_vote && !asked_by_leader && self.has_leader(now) {
                return false;
            }
            self.become_follower(now, term);
        } else if term < self.hard_state.term && !matches!(message, Message::PreVoteReply { .. }) {
            self.refuse_old_term(from, message);
            return false;
        }
        let replied = matches!(
            message,
            Message::VoteReply { .. } | Message::HeartbeatReply { .. }
        );
        if replied || matches!(message, Message::Heartbeat { .. }) {
            self.remember(from, Position { term, index: 0 });
        }
        true
    }

    fn refuse_old_term(&mut self, from: ReplicaId, message: &Message) {
        let term = self.hard_state.term;
        let reply = match message {
            Message::Vote { .. } => Message::VoteReply {
                term,
                granted: false,
            },
            Message::Append { timestamp_us, .. }
            | Message::Heartbeat { timestamp_us, .. }
            | Message::InstallSnapshot { timestamp_us, .. } => Message::HeartbeatReply {
                term,
                timestamp_us: *timestamp_us,
            },
            _ => return,
        };
        self.reply(from, reply, 0);
    }

    /// Becomes a follower without a known leader; a greater term is adopted.
    pub(super) fn become_follower(&mut self, now: Instant, term: u64) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.output.drop_held();
        }
        self.role = Role::Follower;
        self.leader = None;
        self.quorum_until = None;
        self.current = false;
        self.votes.clear();
        self.receiving = None;
        self.leading.progress.clear();
        self.leading.successor = None;
        self.reset_deadline(now);
    }

    /// Notes a sign of life of the leader.
    pub(super) fn follow(&mut self, now: Instant, leader: ReplicaId) {
        if self.role != Role::Follower {
            self.become_follower(now, self.hard_state.term);
        }
        self.leader = Some(leader);
        self.contact = Some(now);
        self.reset_deadline(now);
    }

    /// Asks for pre-votes, or campaigns at once where no other replica votes.
    pub(super) fn seek_election(&mut self, now: Instant) {
        self.become_follower(now, self.hard_state.term);
        if self.log.membership().1.quorum() == 1 {
            return self.campaign(now, false);
        }
        self.role = Role::PreCandidate;
        self.votes.insert(self.id);
        let message = Message::PreVote {
            term: self.hard_state.term + 1,
            last: self.log.last(),
        };
        for voter in self.other_voters() {
            self.output.send(voter, message.clone());
        }
    }

    fn campaign(&mut self, now: Instant, transfer: bool) {
        self.become_follower(now, self.hard_state.term + 1);
        self.role = Role::Candidate;
        self.hard_state.vote = Some(self.id);
        let message = Message::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            transfer,
        };
        for voter in self.other_voters() {
            self.reply(voter, message.clone(), 0);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.membership().1.voters();
        voters.filter(|voter| *voter != self.id).collect()
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        requested_term: u64,
        last: Position,
    ) {
        let granted = requested_term > self.hard_state.term
            && last >= self.log.last()
            && !self.has_leader(now);
        let reply = Message::PreVoteReply {
            term: self.hard_state.term,
            requested_term,
            granted,
        };
        self.reply(from, reply, 0);
    }

    pub(super) fn answer_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        last: Position,
        transfer: bool,
    ) {
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        // The term may have been adopted from another message while the lease of the previous leader was running.
        let leased = !transfer && self.has_leader(now);
        let granted = free && !leased && last >= self.log.last();
        if granted {
            self.become_follower(now, self.hard_state.term);
            self.hard_state.vote = Some(from);
        }
        let reply = Message::VoteReply {
            term: self.hard_state.term,
            granted,
        };
        self.reply(from, reply, 0);
    }

    pub(super) fn count_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        requested_term: u64,
        granted: bool,
    ) {
        if self.role != Role::PreCandidate || requested_term != self.hard_state.term + 1 || !granted
        {
            return;
        }
        self.votes.insert(from);
        if self.won() {
            self.campaign(now, false);
        }
    }

    pub(super) fn count_vote(&mut self, now: Instant, from: ReplicaId, granted: bool) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.won() {
            self.become_leader(now);
        }
    }

    fn won(&self) -> bool {
        let membership = self.log.membership().1;
        let votes = membership
            .voters()
            .filter(|voter| self.votes.contains(voter));
        votes.count() >= membership.quorum()
    }

    /// Starts an election that the leader asked for; the other replicas grant their vote although they hear the leader.
    pub(super) fn take_over(&mut self, now: Instant, from: ReplicaId) {
        let voter = self.log.membership().1.is_voter(self.id);
        if voter && self.role == Role::Follower && self.leader == Some(from) {
            self.campaign(now, true);
        }
    }
}
