//! Membership change, planned hand-over and forced recovery.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Error, RECOVERY_TERM_INCREMENT, Replica, Role};
use crate::entry::{Payload, Position};
use crate::membership::{Kind, Member, Membership, ReplicaId};
use crate::message::Message;

/// Entries that a joining replica may lack when it becomes a voter.
const PROMOTION_LAG: u64 = 64;

/// Change of one member.
#[derive(Clone, Debug)]
pub enum MembershipChange {
    /// Adds a member that does not vote.
    Add(Member),
    /// Makes a caught-up member a voter.
    Promote(ReplicaId),
    /// Records that a member has another address.
    UpdateAddress(ReplicaId, SocketAddr),
    /// Removes a member.
    Remove(ReplicaId),
}

impl Replica {
    /// Appends a membership change, which is in force at once; returns where it is.
    ///
    /// # Errors
    ///
    /// Returns an error when this is not the leader, an earlier change is not committed, or the change is not possible.
    pub fn change_membership(&mut self, change: MembershipChange) -> Result<Position, Error> {
        // A change before the first commit of the term could overlap with an uncommitted change of the previous leader.
        if !self.accepts_proposals() || self.hard_state.commit < self.leading.first {
            return Err(Error::NotLeader);
        }
        let (membership, committed) = self.membership();
        if !committed {
            return Err(Error::ChangeInProgress);
        }
        let membership = match change {
            MembershipChange::Add(member) => add(membership, member)?,
            MembershipChange::Promote(id) => self.promote(membership, id)?,
            MembershipChange::UpdateAddress(id, address) => relocate(membership, id, address)?,
            MembershipChange::Remove(id) => remove(membership, id)?,
        };
        let position = self.append_own(Payload::Membership(membership));
        self.track_members();
        Ok(position)
    }

    fn promote(&self, membership: &Membership, id: ReplicaId) -> Result<Membership, Error> {
        let member = membership
            .get(id)
            .ok_or(Error::ChangeRefused("no such member"))?;
        if member.kind == Kind::Voter {
            return Err(Error::ChangeRefused("the member is a voter"));
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
        let progress = self.leading.progress.get(&id);
        progress.is_some_and(|p| {
            p.match_index > 0 && p.match_index + PROMOTION_LAG >= self.log.last().index
        })
    }

    /// Promotes joining replicas that are caught up. A voter of the same name, which the joining one replaces, is removed first,
    /// once it [is superseded](Self::is_superseded). Silent replicas without a vote are removed when another one has their name.
    pub(super) fn reconcile(&mut self, now: Instant) {
        let membership = self.log.membership().1;
        let replaced = membership.members.iter().find(|old| {
            let mut others = membership.members.iter();
            old.kind != Kind::Voter
                && self.is_silent(now, old.id)
                && others.any(|new| new.name == old.name && !self.is_silent(now, new.id))
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
                    Some(old) if self.is_superseded(now, old, member) => {
                        Some(MembershipChange::Remove(old.id))
                    }
                    Some(_) => None,
                }
            });
        let change = replaced
            .map(|old| MembershipChange::Remove(old.id))
            .or(change);
        let change = change.or_else(|| self.succession(now));
        if let Some(change) = change {
            // A refused change is tried again at the next heartbeat.
            let _ = self.change_membership(change);
        }
    }

    /// Returns the next step with which a standby replica takes the place of a voter that is gone: first the voter is
    /// removed, then the other one votes, so that the group is smaller meanwhile and needs no more answers than before.
    fn succession(&self, now: Instant) -> Option<MembershipChange> {
        let membership = self.log.membership().1;
        let limit = self.settings.standby_promotion_timeout;
        let standby = membership.members.iter().find(|m| {
            let ready = m.kind == Kind::Standby && self.is_follower_caught_up(m.id);
            ready && !self.is_silent_for(now, m.id, limit)
        })?;
        if membership.voters().count() < self.settings.target_voters {
            return Some(MembershipChange::Promote(standby.id));
        }
        let gone = membership
            .voters()
            .filter(|id| self.is_silent_for(now, *id, limit));
        let longest = gone.min_by_key(|id| self.leading.progress.get(id).and_then(|p| p.heard));
        longest.map(MembershipChange::Remove)
    }

    /// Returns whether a joining replica may take the place of `old`, which has the same name. At the same address, `old` has
    /// ended and its data directory was emptied: only one process can listen there. It then has to be silent for an election
    /// timeout only, because its vote counts against the group until it is removed. At another address, the directory of
    /// `old` may still exist.
    fn is_superseded(&self, now: Instant, old: &Member, new: &Member) -> bool {
        let limit = if old.address == new.address {
            self.settings.election_timeout_max
        } else {
            self.settings.replacement_timeout
        };
        self.is_silent_for(now, old.id, limit)
    }

    fn is_silent(&self, now: Instant, id: ReplicaId) -> bool {
        self.is_silent_for(now, id, self.settings.replacement_timeout)
    }

    fn is_silent_for(&self, now: Instant, id: ReplicaId, limit: Duration) -> bool {
        let Some(progress) = self.leading.progress.get(&id) else {
            return false;
        };
        let heard = progress.heard.map(Duration::from_micros);
        let heard = heard.map(|timestamp_us| self.epoch + timestamp_us);
        let heard = heard.or(progress.since);
        heard.is_some_and(|heard| now >= heard + limit)
    }

    /// Stops once the removal of this replica is committed.
    pub(super) fn leave_if_removed(&mut self, now: Instant) {
        let (membership, committed) = self.membership();
        if !committed || membership.is_voter(self.id) {
            return;
        }
        if let Some(successor) = self.best_successor() {
            let term = self.hard_state.term;
            self.output.send(successor, Message::TimeoutNow { term });
        }
        self.become_follower(now, self.hard_state.term);
        self.fatal_error = Some(Error::Removed(self.id));
    }

    fn best_successor(&self) -> Option<ReplicaId> {
        let progress = self.leading.progress.iter();
        let voters = progress.filter(|(id, _)| self.log.membership().1.is_voter(**id));
        let best = voters.max_by_key(|(_, progress)| (progress.match_index, progress.heard));
        best.map(|(id, _)| *id)
    }

    /// Begins to hand the leadership to the voter that lacks least; no proposals are taken from here on.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] when this is not the leader or no other voter exists.
    pub fn transfer_leadership(&mut self, now: Instant) -> Result<(), Error> {
        if self.role != Role::Leader {
            return Err(Error::NotLeader);
        }
        let successor = self.best_successor().ok_or(Error::NotLeader)?;
        self.leading.successor = Some((successor, now));
        self.pass_on(now);
        Ok(())
    }

    /// Tells the successor to start an election once it has the whole log; gives up when it is too slow.
    pub(super) fn pass_on(&mut self, now: Instant) {
        let Some((successor, since)) = self.leading.successor else {
            return;
        };
        if now >= since + self.settings.election_timeout_max {
            self.leading.successor = None;
            if self.leading.released {
                // The lease can't be had back in this term, because the successor may still act on the message.
                self.become_follower(now, self.hard_state.term);
            }
            return;
        }
        let progress = self.leading.progress.get(&successor);
        if progress.is_some_and(|p| p.match_index == self.log.last().index) {
            self.leading.released = true;
            let term = self.hard_state.term;
            self.output.send(successor, Message::TimeoutNow { term });
        }
    }

    /// Makes this replica the only voter, after the others are lost for good. Entries that were not committed become committed;
    /// committed entries that only lost replicas had are lost. The entry records the reason, and the term is raised by
    /// [`RECOVERY_TERM_INCREMENT`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::RecoveryRefused`] when the group works or this replica has no membership.
    pub fn force_recovery(&mut self, now: Instant, reason: String) -> Result<Position, Error> {
        if self.quorum_until(now).is_some() || self.has_leader(now) {
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
        self.inquiry = None;
        self.become_follower(now, self.hard_state.term + RECOVERY_TERM_INCREMENT);
        let term = self.hard_state.term;
        let index = self
            .log
            .append(term, Payload::Recovery { membership, reason });
        self.deadline = now;
        Ok(Position { term, index })
    }
}

fn add(membership: &Membership, member: Member) -> Result<Membership, Error> {
    if member.kind == Kind::Voter {
        return Err(Error::ChangeRefused("a member joins without a vote"));
    }
    if membership.get(member.id).is_some() {
        return Err(Error::ChangeRefused("the replica is a member"));
    }
    Ok(membership.with(member))
}

fn relocate(
    membership: &Membership,
    id: ReplicaId,
    address: SocketAddr,
) -> Result<Membership, Error> {
    match membership.get(id) {
        Some(member) if member.address != address => Ok(membership.with(Member {
            address,
            ..member.clone()
        })),
        Some(_) => Err(Error::ChangeRefused("the member has that address")),
        None => Err(Error::ChangeRefused("no such member")),
    }
}

fn remove(membership: &Membership, id: ReplicaId) -> Result<Membership, Error> {
    if membership.get(id).is_none() {
        return Err(Error::ChangeRefused("no such member"));
    }
    let rest = membership.without(id);
    if rest.voters().next().is_none() {
        return Err(Error::ChangeRefused("the last voter can't be removed"));
    }
    Ok(rest)
}
