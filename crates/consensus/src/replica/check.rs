//! Inquiry after a restart, which recognises a disk that holds less than the replica has promised.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Error, Replica, Role};
use crate::entry::Position;
use crate::membership::ReplicaId;
use crate::message::Message;

impl Replica {
    /// Starts the inquiry where there is anybody to ask. Until a quorum, this replica included, has answered, the replica
    /// takes no part in its group. An empty replica knows nobody and waits for [`Replica::finish_rollback_check`].
    pub(super) fn begin_inquiry(&mut self, now: Instant) {
        let membership = self.log.membership().1;
        // A follower's replies before the restart may have given the leader a lease that is still running.
        self.contact = Some(now);
        if membership.is_voter(self.id) && membership.quorum() == 1 {
            return;
        }
        self.inquiry = Some(BTreeSet::new());
    }

    pub(super) fn inquire(&mut self, now: Instant) {
        for voter in self.other_voters() {
            self.output.send(voter, Message::WatermarkQuery);
        }
        self.deadline = now + self.settings.heartbeat_interval;
    }

    /// Asks whether this replica, which has no vote, was removed: without a vote it asks for none, which tells others.
    pub(super) fn ask_whether_removed(&mut self, now: Instant) {
        for voter in self.other_voters() {
            self.output.send(voter, Message::WatermarkQuery);
        }
        self.reset_deadline(now);
    }

    pub(super) fn answer_inquiry(&mut self, now: Instant, from: ReplicaId) {
        if self.refuses_stranger(now, from, &Message::WatermarkQuery) {
            return;
        }
        let watermark = self.watermark(from);
        self.output
            .send(from, Message::WatermarkReply { watermark });
        // The follower may have lost what was sent ahead of its acknowledgements.
        self.restart_progress(from);
    }

    /// Returns the greatest promise of a replica that this one knows of.
    #[must_use]
    pub fn watermark(&self, id: ReplicaId) -> Position {
        let watermark = self
            .hard_state
            .watermarks
            .iter()
            .find(|watermark| watermark.id == id);
        watermark
            .map(|watermark| watermark.position)
            .unwrap_or_default()
    }

    /// Ends the inquiry of an empty replica, after its caller has heard from a quorum of the first voters that they know of no
    /// promise of this replica.
    pub fn finish_rollback_check(&mut self, now: Instant) {
        if self.log.last().index == 0 && self.inquiry.take().is_some() {
            self.reset_deadline(now);
        }
    }

    /// Stops the replica if `known`, which its peers remember, is more than it has stored.
    pub fn check_watermark(&mut self, watermark: Position) {
        let stored = Position {
            term: self.hard_state.term,
            index: self.log.last().index,
        };
        if watermark > stored {
            self.fatal_error = Some(Error::RolledBack {
                id: self.id,
                watermark,
                stored,
            });
        }
    }

    pub(super) fn recalled(&mut self, now: Instant, from: ReplicaId, watermark: Position) {
        self.check_watermark(watermark);
        if self.fatal_error.is_some() {
            return;
        }
        let Some(mut answered) = self.inquiry.take() else {
            return;
        };
        answered.insert(from);
        answered.insert(self.id);
        let membership = self.log.membership().1;
        let voters = membership.voters().filter(|voter| answered.contains(voter));
        if voters.count() >= membership.quorum() {
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
            Message::PreVote { .. } | Message::Vote { .. } | Message::WatermarkQuery
        );
        if !asks || self.role != Role::Leader || self.lease_until(now).is_none() {
            return false;
        }
        let (membership, committed) = self.membership();
        if !committed || membership.get(from).is_some() {
            return false;
        }
        let term = self.hard_state.term;
        self.output.send(from, Message::Removed { term });
        true
    }
}
