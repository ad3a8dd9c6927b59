//! Heartbeats of entries, held in memory by the leader of the config group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_membership::scaling::OwnerScaler;
use chestnutvalve_model::control::{Heartbeat, HeartbeatReply, Step};
use chestnutvalve_model::directory::Directory;
use chestnutvalve_model::id::{Entry, Incarnation, Service};

/// Time without a heartbeat after which an entry is removed from the directory.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum interval between calls of [`Heartbeats::observe_leadership`] before this process counts as paused.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(1);
/// Time for which delayed heartbeats of a departed entry are ignored.
const DEPARTED_RETENTION: Duration = Duration::from_mins(1);

/// Last heartbeat of an entry.
#[derive(Clone, Debug)]
pub struct LastHeartbeat {
    /// Heartbeat as the entry sent it.
    pub heartbeat: Heartbeat,
    /// When the leader received it.
    pub received_at: Instant,
}

/// Heartbeats received since this instance became the leader.
#[derive(Debug, Default)]
pub struct Heartbeats {
    term: Option<u64>,
    /// Time from which missing heartbeats count; `None` while this instance does not lead.
    silence_since: Option<Instant>,
    observed_at: Option<Instant>,
    received: BTreeMap<Entry, LastHeartbeat>,
    departed: BTreeMap<Entry, (Incarnation, Instant)>,
    sizes: OwnerScaler,
}

impl Heartbeats {
    /// Records the term in which this instance leads, if any; must be called several times a second.
    ///
    /// A new leader has received no heartbeats yet, and a paused process has missed some. In both cases missing
    /// heartbeats count only from now on.
    pub fn observe_leadership(&mut self, now: Instant, leading_term: Option<u64>) {
        let paused = self
            .observed_at
            .is_some_and(|at| now - at > MAX_OBSERVATION_GAP);
        self.observed_at = Some(now);
        if leading_term != self.term {
            self.term = leading_term;
            self.received.clear();
            self.departed.clear();
            self.sizes = OwnerScaler::default();
            self.silence_since = leading_term.map(|_| now);
        } else if paused && leading_term.is_some() {
            self.silence_since = Some(now);
        }
    }

    /// Records a heartbeat; returns `Superseded` when a later incarnation of the entry is known.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        directory: &Directory,
        heartbeat: Heartbeat,
    ) -> HeartbeatReply {
        let member = &heartbeat.member;
        let listed = directory.members.get(&member.entry).map(|m| m.incarnation);
        let last = self.received.get(&member.entry);
        let last = last.map(|h| h.heartbeat.member.incarnation);
        let departed = self.departed.get(&member.entry).map(|(i, _)| *i);
        if listed.max(last).max(departed) > Some(member.incarnation) {
            return HeartbeatReply::Superseded;
        }
        if departed != Some(member.incarnation) {
            let entry = member.entry.clone();
            self.received.insert(
                entry,
                LastHeartbeat {
                    heartbeat,
                    received_at: now,
                },
            );
        }
        HeartbeatReply::Accepted
    }

    /// Records that an entry leaves, unless a later incarnation has sent heartbeats.
    pub fn record_leave(&mut self, now: Instant, entry: &Entry, incarnation: Incarnation) {
        let newer = |h: &LastHeartbeat| h.heartbeat.member.incarnation > incarnation;
        if self.received.get(entry).is_some_and(newer) {
            return;
        }
        self.received.remove(entry);
        let departed = self.departed.get(entry).map(|(i, _)| *i);
        let last = departed.map_or(incarnation, |departed| departed.max(incarnation));
        self.departed.insert(entry.clone(), (last, now));
    }

    /// Returns the steps that bring the directory up to date. They form one list, so that a mass loss is one proposal.
    #[must_use]
    pub fn directory_steps(&mut self, now: Instant, directory: &Directory) -> Vec<Step> {
        let Some(since) = self.silence_since else {
            return Vec::new();
        };
        self.departed
            .retain(|_, (_, at)| now - *at < DEPARTED_RETENTION);
        self.received
            .retain(|_, last| now - last.received_at.max(since) <= EXPIRY_TIMEOUT);
        let joins = self.received.values().filter_map(|last| {
            let member = &last.heartbeat.member;
            let listed = directory.members.get(&member.entry);
            let mut member = member.clone();
            if let Some(listed) = listed.filter(|l| l.incarnation == member.incarnation) {
                member.draining |= listed.draining;
            }
            let joins = listed.is_none_or(|l| *l != member && l.incarnation <= member.incarnation);
            joins.then_some(Step::Join(member))
        });
        let leaves = directory.members.values().filter_map(|member| {
            let departed = self.departed.get(&member.entry);
            let has_departed = departed.is_some_and(|(i, _)| *i >= member.incarnation);
            let silent = now - since > EXPIRY_TIMEOUT && !self.received.contains_key(&member.entry);
            (has_departed || silent).then(|| Step::Leave {
                entry: member.entry.clone(),
                incarnation: member.incarnation,
            })
        });
        leaves.chain(joins).collect()
    }

    /// Returns the steps that adjust the number of owners of each service to the load reported by the heartbeats.
    #[must_use]
    pub fn owner_steps(&mut self, now: Instant, recorded: &BTreeMap<Service, u8>) -> Vec<Step> {
        // A new leader lacks the heartbeats of some entries and would mistake a part of the load for the total.
        if self
            .silence_since
            .is_none_or(|since| now - since <= EXPIRY_TIMEOUT)
        {
            return Vec::new();
        }
        let mut rates = BTreeMap::new();
        for rate in self.received.values().flat_map(|h| &h.heartbeat.rates) {
            let total: &mut u32 = rates.entry(rate.service.clone()).or_default();
            *total = total.saturating_add(rate.per_second);
        }
        let changes = self.sizes.changes(now, &rates, recorded).into_iter();
        let resize = |(service, owners)| Step::Resize { service, owners };
        changes.map(resize).collect()
    }

    /// Returns the last heartbeat of an entry, if one was received in this term.
    #[must_use]
    pub fn last_heartbeat(&self, entry: &Entry) -> Option<&LastHeartbeat> {
        self.received.get(entry)
    }
}
