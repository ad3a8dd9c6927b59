//! Links to the members of the group, and the published view of it.

use std::sync::Arc;

use chestnutvalve_consensus as consensus;
use tokio::time::Instant;

use super::Driver;
use crate::replica::Role;
use crate::replica::handle::{Leader, View};

impl Driver {
    pub(super) fn update_links(&mut self) {
        let (members, _) = self.replica.membership();
        if *self.members == *members {
            return;
        }
        self.members = Arc::new(members.clone());
        let (group, own) = (&self.options.group, self.replica.id());
        spdlog::info!("group {group}: replica {own}, members {members}");
        self.join_guard = None;
        self.links.retain(|id| members.get(id).is_some());
        for member in &members.members {
            self.links.connect(member.id, member.address);
        }
    }

    pub(super) fn publish_view(&mut self, now: std::time::Instant) {
        let (members, _) = self.replica.membership();
        let leader = self.replica.leader().and_then(|id| members.get(id));
        let own = self.replica.id();
        let role = match self.replica.role() {
            consensus::Role::Leader => Role::Leader,
            _ if !members.is_voter(own) => Role::Learner,
            consensus::Role::Follower => Role::Follower,
            consensus::Role::PreCandidate | consensus::Role::Candidate => Role::Candidate,
        };
        let current_until = self.replica.current_until(now);
        self.confirmed |= current_until.is_some();
        let view = View {
            role,
            term: self.replica.term(),
            leader: leader.map(|member| Leader {
                id: member.id,
                name: member.name.clone(),
                address: member.address,
            }),
            commit: self.replica.commit(),
            applied: self.applied,
            quorum_until: self.replica.quorum_until(now).map(Instant::from_std),
            current_until: current_until.map(Instant::from_std),
            lease_until: self.replica.lease_until(now).map(Instant::from_std),
            suspended: self.suspended,
            confirmed: self.confirmed,
            members: Arc::clone(&self.members),
        };
        self.log_lag(now, current_until.is_some());
        if role != Role::Leader && self.stop_at.is_some() {
            self.stop_at = Some(Instant::now());
        }
        self.view.send_if_modified(|current| {
            if (current.term, &current.leader) != (view.term, &view.leader) {
                let leader = view.leader.as_ref().map_or("none", |leader| &leader.name);
                let (group, term) = (&self.options.group, view.term);
                spdlog::info!("group {group}: term {term}, leader {leader}");
            }
            let modified = *current != view;
            *current = view;
            modified
        });
    }

    /// Logs when the applied state falls behind the leader although the leader is heard, and when it has caught up again.
    fn log_lag(&mut self, now: std::time::Instant, current: bool) {
        let (group, applied) = (self.options.group.as_str(), self.applied);
        if current {
            if let Some(since) = self.lagging_since.take() {
                let behind_ms = now.saturating_duration_since(since).as_millis();
                spdlog::info!("state is current again", kv: {group, applied, behind_ms});
            }
        } else if self.confirmed
            && self.lagging_since.is_none()
            && self.replica.quorum_until(now).is_some()
        {
            self.lagging_since = Some(now);
            let commit = self.replica.commit();
            spdlog::warn!("state is behind the leader", kv: {group, applied, commit});
        }
    }
}
