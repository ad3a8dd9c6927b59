//! Heartbeats of entry instances, kept in memory by the leader of the config group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_membership::size::Sizes;
use chestnutvalve_model::control::{Heartbeat, Registered, Step};
use chestnutvalve_model::directory::Directory;
use chestnutvalve_model::id::{Entry, Incarnation, Service};

/// Time after the last heartbeat at which an entry is removed from the directory.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest interval between two calls of [`Heartbeats::observe_leadership`] that does not count as a pause of this process.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(1);
/// Time for which late heartbeats of an entry that has left are ignored.
const DEPARTED_RETENTION: Duration = Duration::from_mins(1);

/// Last heartbeat of an entry.
#[derive(Clone, Debug)]
pub struct LastHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// When it arrived.
    pub received_at: Instant,
}

/// Heartbeats since this instance became leader.
#[derive(Debug, Default)]
pub struct Heartbeats {
    term: Option<u64>,
    /// Earliest instant from which silence of an entry counts.
    silence_since: Option<Instant>,
    observed_at: Option<Instant>,
    received: BTreeMap<Entry, LastHeartbeat>,
    departed: BTreeMap<Entry, (Incarnation, Instant)>,
    sizes: Sizes,
}

impl Heartbeats {
    /// Notes whether this instance leads, and in which term; must be called several times a second.
    ///
    /// A new leader has heard nobody, and a process that was paused has missed heartbeats, so that in both cases the
    /// silence of the entries counts from now on.
    pub fn observe_leadership(&mut self, now: Instant, leading_term: Option<u64>) {
        let paused = self
            .observed_at
            .is_some_and(|at| now - at > MAX_OBSERVATION_GAP);
        self.observed_at = Some(now);
        if leading_term != self.term {
            self.term = leading_term;
            self.received.clear();
            self.departed.clear();
            self.sizes = Sizes::default();
            self.silence_since = leading_term.map(|_| now);
        } else if paused && leading_term.is_some() {
            self.silence_since = Some(now);
        }
    }

    /// Takes a heartbeat.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        directory: &Directory,
        heartbeat: Heartbeat,
    ) -> Registered {
        let member = &heartbeat.member;
        let listed = directory.members.get(&member.entry).map(|m| m.incarnation);
        let last = self.received.get(&member.entry);
        let last = last.map(|h| h.heartbeat.member.incarnation);
        let departed = self.departed.get(&member.entry).map(|(i, _)| *i);
        if listed.max(last).max(departed) > Some(member.incarnation) {
            return Registered::Superseded;
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
        Registered::Accepted
    }

    /// Notes that an entry leaves.
    pub fn record_leave(&mut self, now: Instant, entry: &Entry, incarnation: Incarnation) {
        let newer = |h: &LastHeartbeat| h.heartbeat.member.incarnation > incarnation;
        if self.received.get(entry).is_some_and(newer) {
            return;
        }
        self.received.remove(entry);
        self.departed.insert(entry.clone(), (incarnation, now));
    }

    /// Returns the steps that bring the directory up to date, all in one list so that a mass loss is one proposal.
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

    /// Returns the steps that adapt the number of owners of the services to the load that the heartbeats report.
    #[must_use]
    pub fn owner_steps(&mut self, now: Instant, recorded: &BTreeMap<Service, u8>) -> Vec<Step> {
        // A new leader has not heard all entries yet, and would take the rest of the load for the whole.
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

    /// Returns the last heartbeat of an entry.
    #[must_use]
    pub fn last_heartbeat(&self, entry: &Entry) -> Option<&LastHeartbeat> {
        self.received.get(entry)
    }
}
