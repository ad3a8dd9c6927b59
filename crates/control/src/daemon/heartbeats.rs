//! Heartbeats of entry instances, kept in memory by the leader of the config group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_membership::scaling::OwnerScaler;
use chestnutvalve_model::control::{Heartbeat, HeartbeatReply, Step};
use chestnutvalve_model::directory::Directory;
use chestnutvalve_model::id::{Entry, Incarnation, Service};

/// Time after the last heartbeat at which an entry is removed from the directory.
pub const EXPIRY: Duration = Duration::from_secs(5);
/// Longest interval between two calls of [`Heartbeats::observe`] that does not count as a pause of this process.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time for which late heartbeats of an entry that has left are ignored.
const LEFT_RETENTION: Duration = Duration::from_mins(1);

/// Last heartbeat of an entry.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// When it arrived.
    pub at: Instant,
}

/// Heartbeats since this instance became leader.
#[derive(Debug, Default)]
pub struct Heartbeats {
    term: Option<u64>,
    /// Earliest instant from which silence of an entry counts.
    since: Option<Instant>,
    observed: Option<Instant>,
    heard: BTreeMap<Entry, Heard>,
    left: BTreeMap<Entry, (Incarnation, Instant)>,
    sizes: OwnerScaler,
}

impl Heartbeats {
    /// Notes whether this instance leads, and in which term; must be called several times a second.
    ///
    /// A new leader has heard nobody, and a process that was paused has missed heartbeats, so that in both cases the
    /// silence of the entries counts from now on.
    pub fn observe(&mut self, now: Instant, leads: Option<u64>) {
        let paused = self.observed.is_some_and(|at| now - at > MAX_PAUSE);
        self.observed = Some(now);
        if leads != self.term {
            self.term = leads;
            self.heard.clear();
            self.left.clear();
            self.sizes = OwnerScaler::default();
            self.since = leads.map(|_| now);
        } else if paused && leads.is_some() {
            self.since = Some(now);
        }
    }

    /// Takes a heartbeat.
    pub fn beat(
        &mut self,
        now: Instant,
        directory: &Directory,
        heartbeat: Heartbeat,
    ) -> HeartbeatReply {
        let member = &heartbeat.member;
        let listed = directory.members.get(&member.entry).map(|m| m.incarnation);
        let heard = self.heard.get(&member.entry);
        let heard = heard.map(|h| h.heartbeat.member.incarnation);
        let left = self.left.get(&member.entry).map(|(i, _)| *i);
        if listed.max(heard).max(left) > Some(member.incarnation) {
            return HeartbeatReply::Superseded;
        }
        if left != Some(member.incarnation) {
            let entry = member.entry.clone();
            self.heard.insert(entry, Heard { heartbeat, at: now });
        }
        HeartbeatReply::Accepted
    }

    /// Notes that an entry leaves.
    pub fn leave(&mut self, now: Instant, entry: &Entry, incarnation: Incarnation) {
        let newer = |h: &Heard| h.heartbeat.member.incarnation > incarnation;
        if self.heard.get(entry).is_some_and(newer) {
            return;
        }
        self.heard.remove(entry);
        self.left.insert(entry.clone(), (incarnation, now));
    }

    /// Returns the steps that bring the directory up to date, all in one list so that a mass loss is one proposal.
    #[must_use]
    pub fn steps(&mut self, now: Instant, directory: &Directory) -> Vec<Step> {
        let Some(since) = self.since else {
            return Vec::new();
        };
        self.left.retain(|_, (_, at)| now - *at < LEFT_RETENTION);
        self.heard
            .retain(|_, heard| now - heard.at.max(since) <= EXPIRY);
        let joins = self.heard.values().filter_map(|heard| {
            let member = &heard.heartbeat.member;
            let listed = directory.members.get(&member.entry);
            let mut member = member.clone();
            if let Some(listed) = listed.filter(|l| l.incarnation == member.incarnation) {
                member.draining |= listed.draining;
            }
            let joins = listed.is_none_or(|l| *l != member && l.incarnation <= member.incarnation);
            joins.then_some(Step::Join(member))
        });
        let leaves = directory.members.values().filter_map(|member| {
            let left = self.left.get(&member.entry);
            let has_left = left.is_some_and(|(i, _)| *i >= member.incarnation);
            let silent = now - since > EXPIRY && !self.heard.contains_key(&member.entry);
            (has_left || silent).then(|| Step::Leave {
                entry: member.entry.clone(),
                incarnation: member.incarnation,
            })
        });
        leaves.chain(joins).collect()
    }

    /// Returns the steps that adapt the number of owners of the services to the load that the heartbeats report.
    #[must_use]
    pub fn resizes(&mut self, now: Instant, recorded: &BTreeMap<Service, u8>) -> Vec<Step> {
        // A new leader has not heard all entries yet, and would take the rest of the load for the whole.
        if self.since.is_none_or(|since| now - since <= EXPIRY) {
            return Vec::new();
        }
        let mut rates = BTreeMap::new();
        for rate in self.heard.values().flat_map(|h| &h.heartbeat.rates) {
            let total: &mut u32 = rates.entry(rate.service.clone()).or_default();
            *total = total.saturating_add(rate.per_second);
        }
        let changes = self.sizes.changes(now, &rates, recorded).into_iter();
        let resize = |(service, owners)| Step::Resize { service, owners };
        changes.map(resize).collect()
    }

    /// Returns the last heartbeat of an entry.
    #[must_use]
    pub fn last(&self, entry: &Entry) -> Option<&Heard> {
        self.heard.get(entry)
    }
}
