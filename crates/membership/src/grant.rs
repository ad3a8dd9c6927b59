//! Ejections that the whole fleet allows, decided at the leader of the config group.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::control::{EjectionGrant, EjectionRequest};
use chestnutvalve_model::id::{Entry, Service, Worker};

/// Duration of a grant, from the instant at which its request was sent.
pub const GRANT_TTL: Duration = Duration::from_secs(10);
/// Duration of a grant, in milliseconds.
const GRANT_TTL_MS: u32 = 10_000;
/// Age up to which a report counts.
pub const REPORT_TTL: Duration = Duration::from_secs(10);
/// Time for which a new leader only confirms held grants, so that all grants of its predecessor are either reported
/// or expired. It is 2 s longer than a grant, for requests on their way when the leader changes.
pub const RECOVERY_PERIOD: Duration = Duration::from_secs(12);

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
    pub fn decide(&mut self, now: Instant, ask: &EjectionRequest) -> EjectionGrant {
        let recovering = now.saturating_duration_since(self.start) < RECOVERY_PERIOD;
        let group = self.groups.entry(ask.service.clone()).or_default();
        group.expire(now);
        group.report(now, ask);
        if recovering {
            for worker in ask.eject.iter().filter(|w| ask.held.contains(w)) {
                group.eject(worker, &mut self.number);
            }
        }
        group.take_back();
        let mut workers = Vec::new();
        for worker in &ask.eject {
            // A new holder needs room even for a granted worker, because the answer to the first holder may be lost.
            let room = !recovering && group.has_room(worker);
            if room {
                group.eject(worker, &mut self.number);
            }
            if (room || ask.held.contains(worker)) && group.hold(now, worker, &ask.entry) {
                workers.push(worker.clone());
            }
        }
        group.ejections.retain(|_, e| !e.holders.is_empty());
        EjectionGrant {
            workers,
            ttl_ms: GRANT_TTL_MS,
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
        let fresh = |r: &Report| now.saturating_duration_since(r.at) < REPORT_TTL;
        self.reports.retain(|_, r| fresh(r));
        self.ejections.retain(|_, e| {
            e.holders.retain(|_, until| now < *until);
            !e.holders.is_empty()
        });
    }

    fn report(&mut self, now: Instant, ask: &EjectionRequest) {
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

    /// Adds an ejection without holders if the worker is registered and not ejected yet.
    fn eject(&mut self, worker: &Worker, number: &mut u64) {
        let registered = self.reports.values().any(|r| r.registered.contains(worker));
        if registered && !self.ejections.contains_key(worker) {
            *number += 1;
            let ejection = Ejection {
                number: *number,
                revoked: false,
                holders: BTreeMap::new(),
            };
            self.ejections.insert(worker.clone(), ejection);
        }
    }

    /// Grants a present ejection to an entry, or renews its grant, unless it is taken back.
    fn hold(&mut self, now: Instant, worker: &Worker, entry: &Entry) -> bool {
        let ejection = self.ejections.get_mut(worker).filter(|e| !e.revoked);
        let present = ejection.map(|e| e.holders.insert(entry.clone(), now + GRANT_TTL));
        present.is_some()
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
