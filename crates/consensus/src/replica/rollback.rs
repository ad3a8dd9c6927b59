//! Rollback check after a restart: detects a disk that holds less than the replica has acknowledged.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Error, Replica, Role};
use crate::entry::Position;
use crate::membership::ReplicaId;
use crate::message::Message;

impl Replica {
    /// Starts the rollback check unless this replica is the only voter. Until a quorum, this replica included, has answered,
    /// the replica takes no part in its group. An empty replica knows no peers and waits for
    /// [`Replica::finish_rollback_check`].
    pub(super) fn begin_rollback_check(&mut self, now: Instant) {
        let membership = self.log.membership().1;
        // Replies sent before the restart may have extended a leader lease that is still valid.
        self.last_contact = Some(now);
        if membership.is_voter(self.id) && membership.quorum() == 1 {
            return;
        }
        self.rollback_check = Some(BTreeSet::new());
    }

    pub(super) fn send_watermark_queries(&mut self, now: Instant) {
        for voter in self.other_voters() {
            self.output.send(voter, Message::WatermarkQuery);
        }
        self.deadline = now + self.settings.heartbeat_interval;
    }

    /// Sends queries by which a non-voter learns of its removal. It starts no elections, so that it would not learn of it
    /// otherwise.
    pub(super) fn query_own_removal(&mut self, now: Instant) {
        for voter in self.other_voters() {
            self.output.send(voter, Message::WatermarkQuery);
        }
        self.reset_deadline(now);
    }

    pub(super) fn handle_watermark_query(&mut self, now: Instant, from: ReplicaId) {
        if self.reject_non_member(now, from, &Message::WatermarkQuery) {
            return;
        }
        let watermark = self.watermark(from);
        self.output
            .send(from, Message::WatermarkReply { watermark });
        // The restarted follower may have lost entries that were sent but not acknowledged.
        self.reset_progress(from);
    }

    /// Returns the recorded watermark of a replica, or the default position if there is none.
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

    /// Ends the rollback check of an empty replica, after its caller has learned from a quorum of the initial voters that they
    /// have no watermark of this replica.
    pub fn finish_rollback_check(&mut self, now: Instant) {
        if self.log.last().index == 0 && self.rollback_check.take().is_some() {
            self.reset_deadline(now);
        }
    }

    /// Stops the replica if `watermark`, which a peer has recorded, is beyond what the replica has stored.
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

    pub(super) fn handle_watermark_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        watermark: Position,
    ) {
        self.check_watermark(watermark);
        if self.fatal_error.is_some() {
            return;
        }
        let Some(mut replies) = self.rollback_check.take() else {
            return;
        };
        replies.insert(from);
        replies.insert(self.id);
        let membership = self.log.membership().1;
        let voters = membership.voters().filter(|voter| replies.contains(voter));
        if voters.count() >= membership.quorum() {
            self.reset_deadline(now);
        } else {
            self.rollback_check = Some(replies);
        }
    }

    /// Sends `Removed` to a replica that requests votes or watermarks and is not a member, if this replica is a leader with a
    /// lease. Returns whether it did.
    pub(super) fn reject_non_member(
        &mut self,
        now: Instant,
        from: ReplicaId,
        message: &Message,
    ) -> bool {
        let is_request = matches!(
            message,
            Message::PreVote { .. } | Message::Vote { .. } | Message::WatermarkQuery
        );
        if !is_request || self.role != Role::Leader || self.lease_until(now).is_none() {
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
