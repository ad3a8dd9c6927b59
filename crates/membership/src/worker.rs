//! Registry of workers with their proofs of liveness.
//!
//! A worker may receive requests only while its newest proof is younger than [`PROOF_LIFETIME`]. A proof is an instant
//! at which the worker was certainly not leaving, so no loss, delay or reordering of messages extends the time for
//! which a leaving worker receives requests.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::id::{Entry, Incarnation, Service, Worker, Zone};
use serde::{Deserialize, Serialize};

use crate::digest::{self, Digest, Item, Withdrawn};
use crate::token::Token;

/// Max age of the proof of a worker that may receive requests. A leaving worker must receive none after 3 s; the
/// remaining 0.2 s cover the time between the check and the send.
pub const PROOF_LIFETIME: Duration = Duration::from_millis(2_800);
/// Time without a message after which a worker is removed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time for which a withdrawal is kept.
pub const WITHDRAWAL_RETENTION: Duration = Duration::from_mins(10);
/// Max workers, and max withdrawals, of one service.
pub const MAX_PER_SERVICE: usize = 4_096;
/// Max workers, and max withdrawals, of all services together.
pub const MAX_TOTAL: usize = 65_536;
/// Max tokens per worker that can still be presented. A worker holds one; the others cover repeated and reordered
/// renewals.
const MAX_TOKENS: usize = 4;

/// First announcement of a worker, or its renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service of the worker.
    pub service: Service,
    /// Name of the worker.
    pub worker: Worker,
    /// Start counter of the worker.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Max requests that the worker runs concurrently.
    pub slots: u32,
    /// Requests in progress at the worker.
    #[serde(default)]
    pub load: u32,
    /// Last token that the worker received; absent in the first announcement.
    #[serde(default)]
    pub token: Option<String>,
}

/// State of a registered worker.
#[derive(Clone, Debug)]
pub struct Record {
    /// Name of the worker.
    pub worker: Worker,
    /// Start counter of the worker.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Max requests that the worker runs concurrently.
    pub slots: u32,
    /// Requests in progress, as last reported by the worker.
    pub load: u32,
    /// Whether the incarnation has withdrawn.
    pub leaving: bool,
    /// Last instant at which the worker was certainly not leaving.
    pub proof: Option<Instant>,
    /// First instant at which any entry observed this incarnation.
    pub first_seen: Instant,
    /// Last instant at which any entry received a message from the worker.
    pub last_seen: Instant,
    tokens: VecDeque<(u64, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    incarnation: Incarnation,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Group {
    workers: BTreeMap<Worker, Record>,
    withdrawn: BTreeMap<Worker, Withdrawal>,
}

/// Workers known to an entry, by service.
#[derive(Clone, Debug)]
pub struct Registry {
    entry: Entry,
    incarnation: Incarnation,
    counter: u64,
    groups: HashMap<Service, Group>,
    workers: usize,
    withdrawn: usize,
}

impl Registry {
    /// Creates an empty registry; `entry` and `incarnation` must identify the process uniquely.
    #[must_use]
    pub fn new(entry: Entry, incarnation: Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            counter: 0,
            groups: HashMap::new(),
            workers: 0,
            withdrawn: 0,
        }
    }

    /// Records an announcement or renewal and returns the token for the next renewal.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRequest`] for an incarnation that has withdrawn or is older than the registered one, and
    /// [`Kind::Overloaded`] for a new worker when the registry is full.
    pub fn announce(&mut self, now: Instant, a: &Announcement) -> Result<String, Fault> {
        self.check_incarnation(a)?;
        let known = self.record(&a.service, &a.worker);
        if known.is_none_or(|r| r.incarnation < a.incarnation) {
            if known.is_none() {
                self.check_capacity(&a.service)?;
            }
            self.insert_record(now, a);
        }
        self.counter += 1;
        let counter = self.counter;
        let presented = a.token.as_ref().and_then(|t| t.parse::<Token>().ok());
        let own = |t: &Token| t.entry == self.entry && t.incarnation == self.incarnation;
        let presented = presented.filter(own).map(|t| t.counter);
        if let Some(record) = self.record_mut(&a.service, &a.worker) {
            let issued = record.tokens.iter().find(|(c, _)| Some(*c) == presented);
            let issued = issued.map(|&(_, issued)| issued);
            record.proof = record.proof.max(issued);
            record.last_seen = now;
            record.load = a.load;
            record.slots = a.slots;
            record.address = a.address;
            if record.tokens.len() == MAX_TOKENS {
                record.tokens.pop_front();
            }
            record.tokens.push_back((counter, now));
        }
        let token = Token {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            counter,
        };
        Ok(token.to_string())
    }

    fn check_incarnation(&self, a: &Announcement) -> Result<(), Fault> {
        let refused = |text: &str| {
            let context = format!("worker {} of service {}: {text}", a.worker, a.service);
            Err(Fault::new(Kind::BadRequest, context))
        };
        let Some(group) = self.groups.get(&a.service) else {
            return Ok(());
        };
        let withdrawn = group.withdrawn.get(&a.worker);
        if withdrawn.is_some_and(|w| w.incarnation >= a.incarnation) {
            return refused("this incarnation has withdrawn");
        }
        let known = group.workers.get(&a.worker);
        if known.is_some_and(|r| r.incarnation > a.incarnation) {
            return refused("a later incarnation is registered");
        }
        // The withdrawal itself may be missing because there was no room for it.
        if known.is_some_and(|r| r.incarnation == a.incarnation && r.leaving) {
            return refused("this incarnation has withdrawn");
        }
        Ok(())
    }

    fn check_capacity(&self, service: &Service) -> Result<(), Fault> {
        if self.has_room(service) {
            return Ok(());
        }
        let context =
            format!("worker registry is full: no room for another worker of service {service}");
        Err(Fault::new(Kind::Overloaded, context))
    }

    fn has_room(&self, service: &Service) -> bool {
        let group = self.groups.get(service);
        self.workers < MAX_TOTAL && group.is_none_or(|g| g.workers.len() < MAX_PER_SERVICE)
    }

    /// Inserts a new record, without proof or tokens, in place of any earlier incarnation.
    fn insert_record(&mut self, now: Instant, a: &Announcement) {
        let record = Record {
            worker: a.worker.clone(),
            incarnation: a.incarnation,
            address: a.address,
            zone: a.zone.clone(),
            slots: a.slots,
            load: a.load,
            leaving: false,
            proof: None,
            first_seen: now,
            last_seen: now,
            tokens: VecDeque::new(),
        };
        let group = self.groups.entry(a.service.clone()).or_default();
        if group.workers.insert(a.worker.clone(), record).is_none() {
            self.workers += 1;
        }
    }

    /// Records that an incarnation, and with it every earlier one, is leaving permanently.
    pub fn withdraw(
        &mut self,
        now: Instant,
        service: &Service,
        worker: &Worker,
        incarnation: Incarnation,
    ) {
        if let Some(record) = self.record_mut(service, worker)
            && record.incarnation <= incarnation
        {
            record.leaving = true;
        }
        let group = self.groups.entry(service.clone()).or_default();
        match group.withdrawn.get_mut(worker) {
            Some(known) if known.incarnation >= incarnation => {}
            Some(known) => {
                *known = Withdrawal {
                    incarnation,
                    at: now,
                }
            }
            None => {
                // Dropping a withdrawal can't route requests to a leaving worker, because its tokens are dropped too.
                let room = self.withdrawn < MAX_TOTAL && group.withdrawn.len() < MAX_PER_SERVICE;
                if room {
                    let withdrawal = Withdrawal {
                        incarnation,
                        at: now,
                    };
                    group.withdrawn.insert(worker.clone(), withdrawal);
                    self.withdrawn += 1;
                }
            }
        }
    }

    /// Records the proof in a response that states `accepting`; `dispatched_at` is the instant at which its request was
    /// dispatched.
    pub fn record_proof(
        &mut self,
        service: &Service,
        worker: &Worker,
        incarnation: Incarnation,
        dispatched_at: Instant,
    ) {
        if let Some(record) = self.record_mut(service, worker)
            && record.incarnation == incarnation
        {
            record.proof = record.proof.max(Some(dispatched_at));
            record.last_seen = record.last_seen.max(dispatched_at);
        }
    }

    /// Returns whether a worker may receive requests: it is not leaving and has a proof younger than
    /// [`PROOF_LIFETIME`].
    #[must_use]
    pub fn has_proof(&self, now: Instant, service: &Service, worker: &Worker) -> bool {
        self.record(service, worker)
            .is_some_and(|r| !r.leaving && r.proof.is_some_and(|p| is_fresh(now, p)))
    }

    /// Returns all registered workers of a service, including those that are leaving or have no fresh proof.
    #[must_use]
    pub fn workers(&self, service: &Service) -> Vec<&Record> {
        let group = self.groups.get(service);
        group.map_or_else(Vec::new, |g| g.workers.values().collect())
    }

    /// Returns the digest of `services` for other entries: workers that are not leaving, and withdrawals.
    #[must_use]
    pub fn digest(&self, now: Instant, services: &[Service]) -> Digest {
        let mut digest = Digest::default();
        for service in services {
            let Some(group) = self.groups.get(service) else {
                continue;
            };
            let remaining = group.workers.values().filter(|r| !r.leaving);
            digest
                .workers
                .extend(remaining.map(|r| r.to_digest_item(now, service)));
            let withdrawn = group.withdrawn.iter();
            digest
                .withdrawn
                .extend(withdrawn.map(|(worker, w)| Withdrawn {
                    service: service.clone(),
                    worker: worker.clone(),
                    incarnation: w.incarnation,
                    age_ms: digest::age_ms(now, w.at),
                }));
        }
        digest
    }

    /// Merges the digest of another entry; `requested_at` is the instant at which the digest was requested.
    ///
    /// Ages count back from `requested_at`, which precedes the sender's computation of them, so that no proof appears
    /// younger after the transfer.
    pub fn merge(&mut self, requested_at: Instant, now: Instant, digest: &Digest) {
        for w in &digest.withdrawn {
            let at = digest::instant_before(requested_at, w.age_ms).unwrap_or(now);
            if now.saturating_duration_since(at) < WITHDRAWAL_RETENTION {
                self.withdraw(at, &w.service, &w.worker, w.incarnation);
            }
        }
        for item in &digest.workers {
            self.merge_item(requested_at, now, item);
        }
    }

    fn merge_item(&mut self, requested_at: Instant, now: Instant, item: &Item) {
        let last_seen = digest::instant_before(requested_at, item.last_seen_age_ms);
        let Some(last_seen) =
            last_seen.filter(|&h| now.saturating_duration_since(h) < SILENCE_TIMEOUT)
        else {
            return;
        };
        let a = item.to_announcement();
        let known = self.record(&a.service, &a.worker).map(|r| r.incarnation);
        let room = known.is_some() || self.has_room(&a.service);
        if self.check_incarnation(&a).is_err() || !room {
            return;
        }
        if known.is_none_or(|k| k < a.incarnation) {
            self.insert_record(last_seen, &a);
        }
        let first_seen = digest::instant_before(requested_at, item.first_seen_age_ms);
        let proof = item
            .proof_age_ms
            .and_then(|age| digest::instant_before(requested_at, age));
        if let Some(record) = self.record_mut(&a.service, &a.worker) {
            if last_seen > record.last_seen {
                record.last_seen = last_seen;
                record.load = a.load;
                record.slots = a.slots;
            }
            record.proof = record.proof.max(proof);
            record.first_seen = first_seen.map_or(record.first_seen, |s| s.min(record.first_seen));
        }
    }

    /// Removes workers that sent nothing for [`SILENCE_TIMEOUT`] and withdrawals older than [`WITHDRAWAL_RETENTION`].
    ///
    /// Returns the removed workers, sorted.
    pub fn expire(&mut self, now: Instant) -> Vec<(Service, Worker)> {
        let mut removed = Vec::new();
        for (service, group) in &mut self.groups {
            group.workers.retain(|worker, record| {
                let keep = now.saturating_duration_since(record.last_seen) < SILENCE_TIMEOUT;
                if !keep {
                    removed.push((service.clone(), worker.clone()));
                }
                keep
            });
            let before = group.withdrawn.len();
            group
                .withdrawn
                .retain(|_, w| now.saturating_duration_since(w.at) < WITHDRAWAL_RETENTION);
            self.withdrawn -= before - group.withdrawn.len();
        }
        self.workers -= removed.len();
        self.groups
            .retain(|_, g| !g.workers.is_empty() || !g.withdrawn.is_empty());
        removed.sort_unstable();
        removed
    }

    fn record(&self, service: &Service, worker: &Worker) -> Option<&Record> {
        self.groups.get(service)?.workers.get(worker)
    }

    fn record_mut(&mut self, service: &Service, worker: &Worker) -> Option<&mut Record> {
        self.groups.get_mut(service)?.workers.get_mut(worker)
    }
}

/// Returns whether a proof is younger than [`PROOF_LIFETIME`].
pub(crate) fn is_fresh(now: Instant, proof: Instant) -> bool {
    now.saturating_duration_since(proof) < PROOF_LIFETIME
}
