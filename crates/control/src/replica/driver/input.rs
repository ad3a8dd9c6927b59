//! Inputs of the driver: messages of other replicas, proposals, membership changes and stop requests.

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
use crate::replica::network::{Envelope, Hello, HelloResponse, Input, Outcome, Proposal};

/// Maximum time that a planned stop waits for the leadership transfer.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

impl Driver {
    pub(super) fn handle_input(&mut self, input: Input) {
        let now = Instant::now().into_std();
        match input {
            Input::Step(envelope) => self.step(now, envelope),
            Input::LeaderHint(id, address) => {
                // A replica that has a leader has its current address; a hint from others may be outdated.
                if self.replica.leader().is_none() {
                    self.links.connect(id, address);
                }
            }
            Input::Propose(proposal) => self.propose(proposal),
            Input::Hello(hello, reply) => {
                let _ = reply.send(self.answer_hello(now, &hello));
            }
            Input::Join(Finding::Fresh) => self.replica.finish_rollback_check(now),
            Input::Join(Finding::Bootstrap(members)) => {
                // Fails when the replica has received a membership in the meantime.
                if self.replica.bootstrap(now, members).is_ok() {
                    spdlog::info!("group {}: bootstrapped", self.options.group);
                }
            }
            Input::Join(Finding::Watermark(watermark)) => self.replica.check_watermark(watermark),
            Input::Change(change, reply) => {
                let appended = self.replica.change_membership(change);
                self.track_pending(appended, reply);
            }
            Input::Recover(reason, reply) => {
                let appended = self.replica.force_recovery(now, reason);
                self.track_pending(appended, reply);
            }
            Input::Stop { transfer } => {
                let started = transfer && self.replica.transfer_leadership(now).is_ok();
                let limit = if started {
                    LEADERSHIP_TRANSFER_TIMEOUT
                } else {
                    Duration::ZERO
                };
                self.stop_at = Some(Instant::now() + limit);
            }
        }
    }

    fn step(&mut self, now: std::time::Instant, envelope: Envelope) {
        if envelope.to != self.replica.id() {
            return;
        }
        let (from, address) = (envelope.from, envelope.address);
        if let Some(search) = &self.join_guard {
            search.record_contact(address);
        }
        self.links.connect(from, address);
        self.update_address(from, address);
        for message in envelope.messages {
            self.replica.step(now, envelope.from, message);
        }
    }

    /// Proposes the new address of a member that was restarted at another one. The member may be this replica.
    pub(super) fn update_address(&mut self, id: ReplicaId, address: SocketAddr) {
        let member = self.replica.membership().0.get(id);
        if member.is_some_and(|member| member.address != address) {
            // Succeeds only at the leader while no other change is in progress; the next message retries it.
            let _ = self
                .replica
                .change_membership(MembershipChange::UpdateAddress(id, address));
        }
    }

    pub(super) fn propose(&mut self, proposal: Proposal) {
        let appended = self.replica.propose(proposal.command);
        self.track_pending(appended, proposal.reply);
    }

    fn track_pending(
        &mut self,
        appended: Result<Position, consensus::Error>,
        reply: oneshot::Sender<Outcome>,
    ) {
        match appended {
            Ok(position) => {
                self.pending.insert(position.index, (position.term, reply));
            }
            Err(error) => {
                let _ = reply.send(Err(no_quorum(&error.to_string())));
            }
        }
    }

    /// Answers a replica without a membership; the leader also adds it to the group.
    fn answer_hello(&mut self, now: std::time::Instant, hello: &Hello) -> HelloResponse {
        let (members, _) = self.replica.membership();
        let formed = !members.members.is_empty();
        let watermark = self.replica.watermark(hello.id);
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
            // A refused change is retried with the next request.
            let _ = self
                .replica
                .change_membership(MembershipChange::Add(member));
        }
        HelloResponse {
            id: self.replica.id(),
            name: self.options.name.clone(),
            formed,
            leads: self.replica.lease_until(now).is_some(),
            admitted: !self.replica.is_checking_rollback(),
            leader,
            watermark,
        }
    }
}
