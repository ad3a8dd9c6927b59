//! Ejections that the whole fleet allows, decided at the leader of the config group.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::control::{Ask, Granted};
use chestnutvalve_model::id::{Entry, Service, Worker};

/// Duration of a grant, from the instant at which its request was sent.
pub const GRANT: Duration = Duration::from_secs(10);
/// Duration of a grant, in milliseconds.
const GRANT_MS: u32 = 10_000;
/// Age up to which a report counts.
pub const REPORT: Duration = Duration::from_secs(10);
/// Time for which a new leader only confirms held grants, so that all grants of its predecessor are either reported
/// or expired. It is 2 s longer than a grant, for requests on their way when the leader changes.
pub const RECOVERY: Duration = Duration::from_secs(12);

#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    registered: BTreeSet<Worker>,
    eligible: BTreeSet<Worker>,
    floor_percent: u8,
}

#[derive(Clone, Debug)]
struct Ejection {
    /// Position in the order of grants; the latest are taken back first.
    number: u64,
    /// Whether the grant is taken back. It still counts as ejected until the holders' grants have expired.
    revoked: bool,
    holders: BTreeMap<Entry, Instant>,
}

#[derive(Clone, Debug, Default)]
struct Group {
    reports: BTreeMap<Entry, Report>,
    ejections: BTreeMap<Worker, Ejection>,
}

/// Grants of all services.
#[derive(Clone, Debug)]
pub struct Grants {
    start: Instant,
    number: u64,
    groups: HashMap<Service, Group>,
}

impl Grants {
    /// Creates the grants of a new leader.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            number: 0,
            groups: HashMap::new(),
        }
    }

    /// Records the report of an entry and returns the workers that it may eject.
    pub fn ask(&mut self, now: Instant, ask: &Ask) -> Granted {
        let recovering = now.saturating_duration_since(self.start) < RECOVERY;
        let group = self.groups.entry(ask.service.clone()).or_default();
        group.expire(now);
        group.report(now, ask);
        group.take_back();
        let mut workers = Vec::new();
        for worker in &ask.eject {
            let held = recovering && ask.held.contains(worker);
            if group.grant(now, worker, &ask.entry, &mut self.number, held, recovering) {
                workers.push(worker.clone());
            }
        }
        Granted {
            workers,
            ttl_ms: GRANT_MS,
        }
    }

    /// Forgets services without reports and grants.
    pub fn expire(&mut self, now: Instant) {
        self.groups.retain(|_, group| {
            group.expire(now);
            !group.reports.is_empty() || !group.ejections.is_empty()
        });
    }
}

impl Group {
    fn expire(&mut self, now: Instant) {
        let fresh = |r: &Report| now.saturating_duration_since(r.at) < REPORT;
        self.reports.retain(|_, r| fresh(r));
        self.ejections.retain(|_, e| {
            e.holders.retain(|_, until| now < *until);
            !e.holders.is_empty()
        });
    }

    fn report(&mut self, now: Instant, ask: &Ask) {
        let report = Report {
            at: now,
            registered: ask.registered.iter().cloned().collect(),
            eligible: ask.eligible.iter().cloned().collect(),
            floor_percent: ask.floor_percent,
        };
        self.reports.insert(ask.entry.clone(), report);
    }

    /// Returns the workers that every report calls eligible.
    fn eligible(&self) -> BTreeSet<&Worker> {
        let mut reports = self.reports.values();
        let Some(first) = reports.next() else {
            return BTreeSet::new();
        };
        let mut eligible: BTreeSet<&Worker> = first.eligible.iter().collect();
        for report in reports {
            eligible.retain(|w| report.eligible.contains(*w));
        }
        eligible
    }

    /// Returns the number of workers that must stay.
    fn floor(&self) -> usize {
        let registered: BTreeSet<&Worker> =
            self.reports.values().flat_map(|r| &r.registered).collect();
        let percent = self.reports.values().map(|r| r.floor_percent).max();
        (registered.len() * usize::from(percent.unwrap_or(100))).div_ceil(100)
    }

    /// Takes back the latest grants while fewer workers than the floor stay.
    fn take_back(&mut self) {
        let floor = self.floor();
        let eligible = self.eligible();
        let active = self.ejections.iter().filter(|(_, e)| !e.revoked);
        let mut active: Vec<(u64, Worker)> = active
            .filter(|(w, _)| eligible.contains(w))
            .map(|(w, e)| (e.number, w.clone()))
            .collect();
        active.sort_unstable();
        let mut left = eligible.len() - active.len();
        while left < floor
            && let Some((_, worker)) = active.pop()
        {
            left += 1;
            if let Some(ejection) = self.ejections.get_mut(&worker) {
                ejection.revoked = true;
            }
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        worker: &Worker,
        entry: &Entry,
        number: &mut u64,
        held: bool,
        recovering: bool,
    ) -> bool {
        let until = now + GRANT;
        if let Some(ejection) = self.ejections.get_mut(worker) {
            if !ejection.revoked {
                ejection.holders.insert(entry.clone(), until);
            }
            return !ejection.revoked;
        }
        if !held && (recovering || !self.has_room(worker)) {
            return false;
        }
        *number += 1;
        let ejection = Ejection {
            number: *number,
            revoked: false,
            holders: BTreeMap::from([(entry.clone(), until)]),
        };
        self.ejections.insert(worker.clone(), ejection);
        true
    }

    /// Returns whether enough workers stay when `worker` is ejected too. Revoked grants still count as ejected.
    fn has_room(&self, worker: &Worker) -> bool {
        let eligible = self.eligible();
        let left = eligible
            .iter()
            .filter(|w| **w != worker && !self.ejections.contains_key(**w));
        left.count() >= self.floor()
    }
}
