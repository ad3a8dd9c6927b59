//! Fleet-wide grants of worker ejections, decided by the leader of the config group.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::control::{EjectionGrant, EjectionRequest};
use chestnutvalve_model::id::{Entry, Service, Worker};

/// Lifetime of a grant, from the instant at which its request was sent.
pub const GRANT_TTL: Duration = Duration::from_secs(10);
/// [`GRANT_TTL`] in milliseconds, as sent in the answer.
const GRANT_TTL_MS: u32 = 10_000;
/// Age at which the report of an entry stops counting.
pub const REPORT_TTL: Duration = Duration::from_secs(10);
/// Time during which a new leader only confirms grants that entries already hold, so that all grants of its predecessor
/// are either reported or expired. It exceeds [`GRANT_TTL`] by 2 s to cover requests in flight when the leader changes.
pub const RECOVERY_PERIOD: Duration = Duration::from_secs(12);

#[derive(Clone, Debug)]
struct Report {
    received_at: Instant,
    registered: BTreeSet<Worker>,
    eligible: BTreeSet<Worker>,
    floor_percent: u8,
}

#[derive(Clone, Debug)]
struct Ejection {
    /// Position in the order of grants; the latest are revoked first.
    sequence: u64,
    /// A revoked ejection still counts as ejected until the holders' grants have expired.
    revoked: bool,
    holders: BTreeMap<Entry, Instant>,
}

#[derive(Clone, Debug, Default)]
struct Group {
    reports: BTreeMap<Entry, Report>,
    ejections: BTreeMap<Worker, Ejection>,
}

/// Ejection grants of all services during one leadership term.
#[derive(Clone, Debug)]
pub struct Grants {
    start: Instant,
    last_sequence: u64,
    groups: HashMap<Service, Group>,
}

impl Grants {
    /// Creates the state of a new leader, which starts in its [`RECOVERY_PERIOD`].
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            last_sequence: 0,
            groups: HashMap::new(),
        }
    }

    /// Records the report of an entry and grants the ejections that the floor permits.
    pub fn decide(&mut self, now: Instant, request: &EjectionRequest) -> EjectionGrant {
        let recovering = now.saturating_duration_since(self.start) < RECOVERY_PERIOD;
        let group = self.groups.entry(request.service.clone()).or_default();
        group.expire(now);
        group.record_report(now, request);
        if recovering {
            for worker in request.eject.iter().filter(|w| request.held.contains(w)) {
                group.add_ejection(worker, &mut self.last_sequence);
            }
        }
        group.revoke_excess();
        let mut workers = Vec::new();
        for worker in &request.eject {
            // Even a granted ejection gets a new holder only if the floor holds, because the answer to the first holder
            // may be lost.
            let has_room = !recovering && group.has_room(worker);
            if has_room {
                group.add_ejection(worker, &mut self.last_sequence);
            }
            if (has_room || request.held.contains(worker))
                && group.add_holder(now, worker, &request.entry)
            {
                workers.push(worker.clone());
            }
        }
        group.ejections.retain(|_, e| !e.holders.is_empty());
        EjectionGrant {
            workers,
            ttl_ms: GRANT_TTL_MS,
        }
    }

    /// Removes expired reports and grants, and services that have neither.
    pub fn expire(&mut self, now: Instant) {
        self.groups.retain(|_, group| {
            group.expire(now);
            !group.reports.is_empty() || !group.ejections.is_empty()
        });
    }
}

impl Group {
    fn expire(&mut self, now: Instant) {
        let fresh = |r: &Report| now.saturating_duration_since(r.received_at) < REPORT_TTL;
        self.reports.retain(|_, r| fresh(r));
        self.ejections.retain(|_, e| {
            e.holders.retain(|_, until| now < *until);
            !e.holders.is_empty()
        });
    }

    fn record_report(&mut self, now: Instant, request: &EjectionRequest) {
        let report = Report {
            received_at: now,
            registered: request.registered.iter().cloned().collect(),
            eligible: request.eligible.iter().cloned().collect(),
            floor_percent: request.floor_percent,
        };
        self.reports.insert(request.entry.clone(), report);
    }

    /// Returns the workers that are eligible in every report.
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

    /// Returns the min number of workers to keep: the highest reported percentage of all registered workers.
    fn floor(&self) -> usize {
        let registered: BTreeSet<&Worker> =
            self.reports.values().flat_map(|r| &r.registered).collect();
        let percent = self.reports.values().map(|r| r.floor_percent).max();
        (registered.len() * usize::from(percent.unwrap_or(100))).div_ceil(100)
    }

    /// Revokes the latest grants while fewer workers than the floor remain.
    fn revoke_excess(&mut self) {
        let floor = self.floor();
        let eligible = self.eligible();
        let active = self.ejections.iter().filter(|(_, e)| !e.revoked);
        let mut active: Vec<(u64, Worker)> = active
            .filter(|(w, _)| eligible.contains(w))
            .map(|(w, e)| (e.sequence, w.clone()))
            .collect();
        active.sort_unstable();
        let mut remaining = eligible.len() - active.len();
        while remaining < floor
            && let Some((_, worker)) = active.pop()
        {
            remaining += 1;
            if let Some(ejection) = self.ejections.get_mut(&worker) {
                ejection.revoked = true;
            }
        }
    }

    /// Adds an ejection without holders if the worker is registered and not yet ejected.
    fn add_ejection(&mut self, worker: &Worker, last_sequence: &mut u64) {
        let registered = self.reports.values().any(|r| r.registered.contains(worker));
        if registered && !self.ejections.contains_key(worker) {
            *last_sequence += 1;
            let ejection = Ejection {
                sequence: *last_sequence,
                revoked: false,
                holders: BTreeMap::new(),
            };
            self.ejections.insert(worker.clone(), ejection);
        }
    }

    /// Grants an existing ejection to an entry, or renews its grant, unless the ejection is revoked.
    fn add_holder(&mut self, now: Instant, worker: &Worker, entry: &Entry) -> bool {
        let ejection = self.ejections.get_mut(worker).filter(|e| !e.revoked);
        let granted = ejection.map(|e| e.holders.insert(entry.clone(), now + GRANT_TTL));
        granted.is_some()
    }

    /// Returns whether the floor holds when `worker` is ejected too. Revoked ejections still count as ejected.
    fn has_room(&self, worker: &Worker) -> bool {
        let eligible = self.eligible();
        let remaining = eligible
            .iter()
            .filter(|w| **w != worker && !self.ejections.contains_key(**w));
        remaining.count() >= self.floor()
    }
}
