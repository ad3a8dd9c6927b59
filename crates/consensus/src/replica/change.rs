//! Membership changes, leadership transfer and forced recovery.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Error, RECOVERY_TERM_INCREMENT, Replica, Role};
use crate::entry::{Payload, Position};
use crate::membership::{Kind, Member, Membership, ReplicaId};
use crate::message::Message;

/// Max entries that a member may lag when it is promoted to voter.
const MAX_PROMOTION_LAG: u64 = 64;

/// Change of a single member.
#[derive(Clone, Debug)]
pub enum MembershipChange {
    /// Adds a non-voting member.
    Add(Member),
    /// Promotes a caught-up member to voter.
    Promote(ReplicaId),
    /// Sets the address of a member.
    UpdateAddress(ReplicaId, SocketAddr),
    /// Removes a member.
    Remove(ReplicaId),
}

impl Replica {
    /// Appends a membership change, which takes effect at once, and returns its position in the log.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] when this replica does not accept proposals or has not committed an entry of its term,
    /// [`Error::ChangeInProgress`] when an earlier change is not committed, and [`Error::ChangeRefused`] for an invalid change.
    pub fn change_membership(&mut self, change: MembershipChange) -> Result<Position, Error> {
        // A change before the first commit of the term could overlap with an uncommitted change of the previous leader.
        if !self.accepts_proposals() || self.hard_state.commit < self.leader_state.term_start {
            return Err(Error::NotLeader);
        }
        let (membership, committed) = self.membership();
        if !committed {
            return Err(Error::ChangeInProgress);
        }
        let membership = match change {
            MembershipChange::Add(member) => add_member(membership, member)?,
            MembershipChange::Promote(id) => self.promote_member(membership, id)?,
            MembershipChange::UpdateAddress(id, address) => {
                update_address(membership, id, address)?
            }
            MembershipChange::Remove(id) => remove_member(membership, id)?,
        };
        let position = self.append_as_leader(Payload::Membership(membership));
        self.sync_progress();
        Ok(position)
    }

    fn promote_member(&self, membership: &Membership, id: ReplicaId) -> Result<Membership, Error> {
        let member = membership
            .get(id)
            .ok_or(Error::ChangeRefused("no such member"))?;
        if member.kind == Kind::Voter {
            return Err(Error::ChangeRefused("the member is already a voter"));
        }
        if !self.is_follower_caught_up(id) {
            return Err(Error::ChangeRefused("the member is not caught up"));
        }
        Ok(membership.with(Member {
            kind: Kind::Voter,
            ..member.clone()
        }))
    }

    fn is_follower_caught_up(&self, id: ReplicaId) -> bool {
        let progress = self.leader_state.progress.get(&id);
        progress.is_some_and(|p| {
            p.match_index > 0 && p.match_index + MAX_PROMOTION_LAG >= self.log.last().index
        })
    }

    /// Promotes joining replicas that are caught up. A member with the same name, which the joining one replaces, is removed
    /// first, once it [is replaceable](Self::is_replaceable). Unresponsive non-voters are removed when a responsive member has
    /// the same name.
    pub(super) fn reconcile_membership(&mut self, now: Instant) {
        let membership = self.log.membership().1;
        let replaced = membership.members.iter().find(|old| {
            let mut others = membership.members.iter();
            old.kind != Kind::Voter
                && self.is_unresponsive(now, old.id)
                && others.any(|new| new.name == old.name && !self.is_unresponsive(now, new.id))
        });
        let joining = membership
            .members
            .iter()
            .filter(|m| m.kind == Kind::Joining);
        let change = joining
            .filter(|member| self.is_follower_caught_up(member.id))
            .find_map(|member| {
                let mut others = membership.members.iter();
                let replaced = others.find(|m| m.name == member.name && m.id != member.id);
                match replaced {
                    None => Some(MembershipChange::Promote(member.id)),
                    Some(old) if self.is_replaceable(now, old, member) => {
                        Some(MembershipChange::Remove(old.id))
                    }
                    Some(_) => None,
                }
            });
        let change = replaced
            .map(|old| MembershipChange::Remove(old.id))
            .or(change);
        let change = change.or_else(|| self.plan_standby_promotion(now));
        if let Some(change) = change {
            // A rejected change is retried at the next heartbeat.
            let _ = self.change_membership(change);
        }
    }

    /// Returns the next change that replaces an unresponsive voter by a standby. The voter is removed before the standby is
    /// promoted, so that the group is smaller in between and its quorum does not grow.
    fn plan_standby_promotion(&self, now: Instant) -> Option<MembershipChange> {
        let membership = self.log.membership().1;
        let timeout = self.settings.standby_promotion_timeout;
        let standby = membership.members.iter().find(|m| {
            let ready = m.kind == Kind::Standby && self.is_follower_caught_up(m.id);
            ready && !self.is_unresponsive_for(now, m.id, timeout)
        })?;
        if membership.voters().count() < self.settings.target_voters {
            return Some(MembershipChange::Promote(standby.id));
        }
        let unresponsive = membership
            .voters()
            .filter(|id| self.is_unresponsive_for(now, *id, timeout));
        let longest_unresponsive = unresponsive.min_by_key(|id| {
            self.leader_state
                .progress
                .get(id)
                .and_then(|p| p.last_acked_us)
        });
        longest_unresponsive.map(MembershipChange::Remove)
    }

    /// Returns whether the joining replica `new` may replace `old`, which has the same name. At the same address, `old` has
    /// ended and its data directory was emptied, because only one process can listen there. One election timeout without a
    /// reply is then enough, because the vote of `old` counts against the group until it is removed. At another address, the
    /// data directory of `old` may still exist.
    fn is_replaceable(&self, now: Instant, old: &Member, new: &Member) -> bool {
        let timeout = if old.address == new.address {
            self.settings.election_timeout_max
        } else {
            self.settings.replacement_timeout
        };
        self.is_unresponsive_for(now, old.id, timeout)
    }

    fn is_unresponsive(&self, now: Instant, id: ReplicaId) -> bool {
        self.is_unresponsive_for(now, id, self.settings.replacement_timeout)
    }

    fn is_unresponsive_for(&self, now: Instant, id: ReplicaId, timeout: Duration) -> bool {
        let Some(progress) = self.leader_state.progress.get(&id) else {
            return false;
        };
        let last_reply = progress.last_acked_us.map(Duration::from_micros);
        let last_reply = last_reply.map(|timestamp_us| self.clock_origin + timestamp_us);
        let last_reply = last_reply.or(progress.first_heartbeat);
        last_reply.is_some_and(|last_reply| now >= last_reply + timeout)
    }

    /// Stops this leader once its own removal is committed.
    pub(super) fn stop_if_removed(&mut self, now: Instant) {
        let (membership, committed) = self.membership();
        if !committed || membership.is_voter(self.id) {
            return;
        }
        if let Some(target) = self.choose_transferee() {
            let term = self.hard_state.term;
            self.output.send(target, Message::TimeoutNow { term });
        }
        self.become_follower(now, self.hard_state.term);
        self.fatal_error = Some(Error::Removed(self.id));
    }

    fn choose_transferee(&self) -> Option<ReplicaId> {
        let progress = self.leader_state.progress.iter();
        let voters = progress.filter(|(id, _)| self.log.membership().1.is_voter(**id));
        let best =
            voters.max_by_key(|(_, progress)| (progress.match_index, progress.last_acked_us));
        best.map(|(id, _)| *id)
    }

    /// Begins a leadership transfer to the most up-to-date voter. Proposals are rejected until it ends.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] when this replica is not the leader or no other voter exists.
    pub fn transfer_leadership(&mut self, now: Instant) -> Result<(), Error> {
        if self.role != Role::Leader {
            return Err(Error::NotLeader);
        }
        let target = self.choose_transferee().ok_or(Error::NotLeader)?;
        self.leader_state.transfer = Some((target, now));
        self.continue_transfer(now);
        Ok(())
    }

    /// Sends `TimeoutNow` to the transfer target once it has the whole log. Aborts the transfer after the max
    /// election timeout.
    pub(super) fn continue_transfer(&mut self, now: Instant) {
        let Some((target, since)) = self.leader_state.transfer else {
            return;
        };
        if now >= since + self.settings.election_timeout_max {
            self.leader_state.transfer = None;
            if self.leader_state.lease_released {
                // The lease cannot be regained in this term, because the target may still act on `TimeoutNow`.
                self.become_follower(now, self.hard_state.term);
            }
            return;
        }
        let progress = self.leader_state.progress.get(&target);
        if progress.is_some_and(|p| p.match_index == self.log.last().index) {
            self.leader_state.lease_released = true;
            let term = self.hard_state.term;
            self.output.send(target, Message::TimeoutNow { term });
        }
    }

    /// Makes this replica the only voter after the others are lost for good. Its uncommitted entries become committed;
    /// committed entries that only the lost replicas stored are lost. The appended entry records the reason, and the term is
    /// raised by [`RECOVERY_TERM_INCREMENT`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::RecoveryRefused`] when the group has a leader or this replica is not a member.
    pub fn force_recovery(&mut self, now: Instant, reason: String) -> Result<Position, Error> {
        if self.quorum_until(now).is_some() || self.has_active_leader(now) {
            return Err(Error::RecoveryRefused("the group has a leader"));
        }
        let Some(own) = self.log.membership().1.get(self.id) else {
            return Err(Error::RecoveryRefused("this replica is not a member"));
        };
        let membership = Membership::default().with(Member {
            kind: Kind::Voter,
            ..own.clone()
        });
        self.fatal_error = None;
        self.rollback_check = None;
        self.become_follower(now, self.hard_state.term + RECOVERY_TERM_INCREMENT);
        let term = self.hard_state.term;
        let index = self
            .log
            .append(term, Payload::Recovery { membership, reason });
        self.deadline = now;
        Ok(Position { term, index })
    }
}

fn add_member(membership: &Membership, member: Member) -> Result<Membership, Error> {
    if member.kind == Kind::Voter {
        return Err(Error::ChangeRefused(
            "a member must be added as a non-voter",
        ));
    }
    if membership.get(member.id).is_some() {
        return Err(Error::ChangeRefused("the replica is already a member"));
    }
    Ok(membership.with(member))
}

fn update_address(
    membership: &Membership,
    id: ReplicaId,
    address: SocketAddr,
) -> Result<Membership, Error> {
    match membership.get(id) {
        Some(member) if member.address != address => Ok(membership.with(Member {
            address,
            ..member.clone()
        })),
        Some(_) => Err(Error::ChangeRefused("the member already has that address")),
        None => Err(Error::ChangeRefused("no such member")),
    }
}

fn remove_member(membership: &Membership, id: ReplicaId) -> Result<Membership, Error> {
    if membership.get(id).is_none() {
        return Err(Error::ChangeRefused("no such member"));
    }
    let remaining = membership.without(id);
    if remaining.voters().next().is_none() {
        return Err(Error::ChangeRefused("the last voter cannot be removed"));
    }
    Ok(remaining)
}
