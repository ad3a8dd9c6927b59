//! Inputs: messages of other replicas, proposals, membership changes, stop.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_consensus::{
    self as consensus, Kind, Member, MembershipChange, Position, ReplicaId,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Driver;
use crate::replica::handle::no_quorum;
use crate::replica::join::Finding;
use crate::replica::network::{Envelope, Greeting, Hello, Input, Outcome, Proposal};

/// Longest time for a hand-over at a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);

impl Driver {
    pub(super) fn input(&mut self, input: Input) {
        let now = Instant::now().into_std();
        match input {
            Input::Step(envelope) => self.step(now, envelope),
            Input::Leader(id, address) => {
                // Whoever hears a leader knows its address better than others do.
                if self.replica.leader().is_none() {
                    self.links.set(id, address);
                }
            }
            Input::Propose(proposal) => self.propose(proposal),
            Input::Hello(hello, done) => {
                let _ = done.send(self.greet(now, &hello));
            }
            Input::Joined(Finding::Blank) => self.replica.finish_rollback_check(now),
            Input::Joined(Finding::Form(members)) => {
                // The replica may have heard of the group meanwhile.
                if self.replica.bootstrap(now, members).is_ok() {
                    spdlog::info!("group {}: formed", self.options.group);
                }
            }
            Input::Joined(Finding::Emptied(known)) => self.replica.check_watermark(known),
            Input::Change(change, done) => {
                let appended = self.replica.change_membership(change);
                self.wait(appended, done);
            }
            Input::Recover(reason, done) => {
                let appended = self.replica.force_recovery(now, reason);
                self.wait(appended, done);
            }
            Input::Stop { hand_over } => {
                let begun = hand_over && self.replica.transfer_leadership(now).is_ok();
                let limit = if begun {
                    HAND_OVER_TIMEOUT
                } else {
                    Duration::ZERO
                };
                self.stop = Some(Instant::now() + limit);
            }
        }
    }

    fn step(&mut self, now: std::time::Instant, envelope: Envelope) {
        if envelope.to != self.replica.id() {
            return;
        }
        let (from, address) = (envelope.from, envelope.address);
        self.links.set(from, address);
        self.correct_address(from, address);
        for message in envelope.messages {
            self.replica.step(now, envelope.from, message);
        }
    }

    /// Records the address of a member that was started at another one, the leader itself included.
    pub(super) fn correct_address(&mut self, id: ReplicaId, address: SocketAddr) {
        let member = self.replica.membership().0.get(id);
        if member.is_some_and(|member| member.address != address) {
            // Only the leader can, and not during another change; the next message is another occasion.
            let _ = self
                .replica
                .change_membership(MembershipChange::UpdateAddress(id, address));
        }
    }

    pub(super) fn propose(&mut self, proposal: Proposal) {
        let appended = self.replica.propose(proposal.command);
        self.wait(appended, proposal.done);
    }

    fn wait(
        &mut self,
        appended: Result<Position, consensus::Error>,
        done: oneshot::Sender<Outcome>,
    ) {
        match appended {
            Ok(position) => {
                self.waiting.insert(position.index, (position.term, done));
            }
            Err(error) => {
                let _ = done.send(Err(no_quorum(&error.to_string())));
            }
        }
    }

    /// Answers an empty replica; the leader adds it to the group.
    fn greet(&mut self, now: std::time::Instant, hello: &Hello) -> Greeting {
        let (members, _) = self.replica.membership();
        let formed = !members.members.is_empty();
        let known = self.replica.watermark(hello.id);
        let leader = self.replica.leader().filter(|id| *id != self.replica.id());
        let leader = leader.and_then(|id| members.get(id)).map(|m| m.address);
        let replaces = members.members.iter().any(|m| m.name == hello.name);
        let voting = members
            .members
            .iter()
            .filter(|m| matches!(m.kind, Kind::Voter | Kind::Joining));
        let full = voting.count() >= self.options.settings.target_voters;
        let kind = match (hello.voter, replaces || !full) {
            (false, _) => Kind::Learner,
            (true, true) => Kind::Joining,
            (true, false) => Kind::Standby,
        };
        if formed && members.get(hello.id).is_none() {
            let member = Member {
                id: hello.id,
                name: hello.name.clone(),
                address: hello.address,
                kind,
            };
            // A refused change is repeated with the next question.
            let _ = self
                .replica
                .change_membership(MembershipChange::Add(member));
        }
        Greeting {
            id: self.replica.id(),
            name: self.options.name.clone(),
            formed,
            leads: self.replica.lease_until(now).is_some(),
            admitted: !self.replica.is_checking_rollback(),
            leader,
            known,
        }
    }
}
