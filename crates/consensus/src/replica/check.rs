//! Inquiry after a restart, which recognises a disk that holds less than the replica has promised.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Error, Replica, Role};
use crate::entry::Position;
use crate::membership::ReplicaId;
use crate::message::Message;

impl Replica {
    /// Starts the inquiry where there is anybody to ask. Until a quorum, this replica included, has answered, the replica
    /// takes no part in its group. An empty replica knows nobody and waits for [`Replica::admit`].
    pub(super) fn begin_inquiry(&mut self, now: Instant) {
        let members = self.log.membership().1;
        // A follower's replies before the restart may have given the leader a lease that is still running.
        self.contact = Some(now);
        if members.is_voter(self.id) && members.quorum() == 1 {
            return;
        }
        self.inquiry = Some(BTreeSet::new());
    }

    pub(super) fn inquire(&mut self, now: Instant) {
        for voter in self.other_voters() {
            self.output.send(voter, Message::Inquire);
        }
        self.deadline = now + self.settings.heartbeat;
    }

    /// Asks whether this replica, which has no vote, was removed: without a vote it asks for none, which tells others.
    pub(super) fn ask_whether_removed(&mut self, now: Instant) {
        for voter in self.other_voters() {
            self.output.send(voter, Message::Inquire);
        }
        self.reset_deadline(now);
    }

    pub(super) fn answer_inquiry(&mut self, now: Instant, from: ReplicaId) {
        if self.refuses_stranger(now, from, &Message::Inquire) {
            return;
        }
        let known = self.known(from);
        self.output.send(from, Message::Recall { known });
        // The follower may have lost what was sent ahead of its acknowledgements.
        self.restart_progress(from);
    }

    /// Returns the greatest promise of a replica that this one knows of.
    #[must_use]
    pub fn known(&self, id: ReplicaId) -> Position {
        let known = self.hard.marks.iter().find(|mark| mark.id == id);
        known.map(|mark| mark.position).unwrap_or_default()
    }

    /// Ends the inquiry of an empty replica, after its caller has heard from a quorum of the first voters that they know of no
    /// promise of this replica.
    pub fn admit(&mut self, now: Instant) {
        if self.log.last().index == 0 && self.inquiry.take().is_some() {
            self.reset_deadline(now);
        }
    }

    /// Stops the replica if `known`, which its peers remember, is more than it has stored.
    pub fn compare(&mut self, known: Position) {
        let stored = Position {
            term: self.hard.term,
            index: self.log.last().index,
        };
        if known > stored {
            self.fault = Some(Error::RolledBack {
                id: self.id,
                known,
                stored,
            });
        }
    }

    pub(super) fn recalled(&mut self, now: Instant, from: ReplicaId, known: Position) {
        self.compare(known);
        if self.fault.is_some() {
            return;
        }
        let Some(mut answered) = self.inquiry.take() else {
            return;
        };
        answered.insert(from);
        answered.insert(self.id);
        let members = self.log.membership().1;
        let voters = members.voters().filter(|voter| answered.contains(voter));
        if voters.count() >= members.quorum() {
            self.reset_deadline(now);
        } else {
            self.inquiry = Some(answered);
        }
    }

    /// Tells a replica that is not a member so, if this is a leader whose view is current; returns whether the sender is such a
    /// replica.
    pub(super) fn refuses_stranger(
        &mut self,
        now: Instant,
        from: ReplicaId,
        message: &Message,
    ) -> bool {
        let asks = matches!(
            message,
            Message::PreVote { .. } | Message::Vote { .. } | Message::Inquire
        );
        if !asks || self.role != Role::Leader || self.lease(now).is_none() {
            return false;
        }
        let (members, committed) = self.membership();
        if !committed || members.get(from).is_some() {
            return false;
        }
        let term = self.hard.term;
        self.output.send(from, Message::Removed { term });
        true
    }
}
