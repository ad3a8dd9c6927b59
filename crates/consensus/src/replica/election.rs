//! Leader election: pre-vote, vote, term rules and leadership transfer.

use std::time::Instant;

use super::{Freshness, Replica, Role};
use crate::entry::Position;
use crate::membership::ReplicaId;
use crate::message::Message;

impl Replica {
    /// Returns whether the replica had contact with a leader within the min election timeout, so that it grants no vote. A
    /// leader itself needs such contact with a quorum.
    pub(super) fn has_active_leader(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return self.quorum_contact(now).is_some_and(|last_contact| {
                now.saturating_duration_since(last_contact) < self.settings.election_timeout_min
            });
        }
        self.last_contact.is_some_and(|at| {
            now.saturating_duration_since(at) < self.settings.election_timeout_min
        })
    }

    /// Applies the Raft rules for terms: adopts a later one and rejects messages of an earlier one. Returns whether to handle
    /// the message.
    pub(super) fn apply_term_rules(
        &mut self,
        now: Instant,
        from: ReplicaId,
        message: &Message,
    ) -> bool {
        let Some(term) = message.term() else {
            return true;
        };
        if term > self.hard_state.term {
            let is_transfer = matches!(message, Message::Vote { transfer: true, .. });
            let is_vote = matches!(message, Message::Vote { .. });
            if is_vote && !is_transfer && self.has_active_leader(now) {
                return false;
            }
            self.become_follower(now, term);
        } else if term < self.hard_state.term && !matches!(message, Message::PreVoteReply { .. }) {
            self.reject_stale_term(from, message);
            return false;
        }
        let is_reply = matches!(
            message,
            Message::VoteReply { .. } | Message::HeartbeatReply { .. }
        );
        if is_reply || matches!(message, Message::Heartbeat { .. }) {
            self.record_watermark(from, Position { term, index: 0 });
        }
        true
    }

    fn reject_stale_term(&mut self, from: ReplicaId, message: &Message) {
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
        self.send_when_durable(from, reply, 0);
    }

    /// Becomes a follower without a known leader, and adopts `term` if it is later.
    pub(super) fn become_follower(&mut self, now: Instant, term: u64) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.output.discard_deferred();
        }
        self.role = Role::Follower;
        self.leader = None;
        self.quorum_until = None;
        self.freshness = Freshness::default();
        self.votes.clear();
        self.incoming_snapshot = None;
        self.leader_state.progress.clear();
        self.leader_state.transfer = None;
        self.reset_deadline(now);
    }

    /// Records a message from the leader of the current term and restarts the election timeout.
    pub(super) fn record_leader_contact(&mut self, now: Instant, leader: ReplicaId) {
        if self.role != Role::Follower {
            self.become_follower(now, self.hard_state.term);
        }
        self.leader = Some(leader);
        self.last_contact = Some(now);
        self.reset_deadline(now);
    }

    /// Requests pre-votes, or starts an election at once if this replica is the only voter.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.become_follower(now, self.hard_state.term);
        if self.log.membership().1.quorum() == 1 {
            return self.start_election(now, false);
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

    fn start_election(&mut self, now: Instant, transfer: bool) {
        self.become_follower(now, self.hard_state.term + 1);
        self.role = Role::Candidate;
        self.hard_state.vote = Some(self.id);
        let message = Message::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            transfer,
        };
        for voter in self.other_voters() {
            self.send_when_durable(voter, message.clone(), 0);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.membership().1.voters();
        voters.filter(|voter| *voter != self.id).collect()
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        requested_term: u64,
        last: Position,
    ) {
        let granted = requested_term > self.hard_state.term
            && last >= self.log.last()
            && !self.has_active_leader(now);
        let reply = Message::PreVoteReply {
            term: self.hard_state.term,
            requested_term,
            granted,
        };
        self.send_when_durable(from, reply, 0);
    }

    pub(super) fn handle_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        last: Position,
        transfer: bool,
    ) {
        let not_voted = self.hard_state.vote.is_none_or(|vote| vote == from);
        // The term may have been adopted from another message while the lease of the previous leader was valid.
        let lease_may_run = !transfer && self.has_active_leader(now);
        let granted = not_voted && !lease_may_run && last >= self.log.last();
        if granted {
            self.become_follower(now, self.hard_state.term);
            self.hard_state.vote = Some(from);
        }
        let reply = Message::VoteReply {
            term: self.hard_state.term,
            granted,
        };
        self.send_when_durable(from, reply, 0);
    }

    pub(super) fn record_pre_vote(
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
        if self.has_vote_quorum() {
            self.start_election(now, false);
        }
    }

    pub(super) fn record_vote(&mut self, now: Instant, from: ReplicaId, granted: bool) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_vote_quorum() {
            self.become_leader(now);
        }
    }

    fn has_vote_quorum(&self) -> bool {
        let membership = self.log.membership().1;
        let votes = membership
            .voters()
            .filter(|voter| self.votes.contains(voter));
        votes.count() >= membership.quorum()
    }

    /// Starts the election of a leadership transfer. The other voters grant their votes although they have an active leader.
    pub(super) fn handle_timeout_now(&mut self, now: Instant, from: ReplicaId) {
        let voter = self.log.membership().1.is_voter(self.id);
        if voter && self.role == Role::Follower && self.leader == Some(from) {
            self.start_election(now, true);
        }
    }
}
