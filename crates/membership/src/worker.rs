//! Registry of workers with proofs that they were not leaving.
//!
//! A worker may be given work only while its newest proof is younger than [`PROOF_LIFETIME`]. A proof stands for an
//! instant at which the worker was certainly not leaving, so that no loss, delay or reordering of messages extends
//! the time for which a leaving worker is given work.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::id::{Entry, Incarnation, Service, Worker, Zone};
use serde::{Deserialize, Serialize};

use crate::digest::{self, Digest, Item, Withdrawn};
use crate::token::Token;

/// Greatest age of a proof with which a worker may be given work. The bound for leaving workers is 3 s; the
/// remaining 0.2 s are for the time between the check and the send.
pub const PROOF_LIFETIME: Duration = Duration::from_millis(2_800);
/// Time after which a silent worker is forgotten.
pub const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time for which a withdrawn incarnation is remembered.
pub const WITHDRAWAL_RETENTION: Duration = Duration::from_mins(10);
/// Most workers, and most withdrawals, of one service.
pub const MAX_PER_SERVICE: usize = 4_096;
/// Most workers, and most withdrawals, of all services.
pub const MAX_TOTAL: usize = 65_536;
/// Tokens of a worker that can still be presented. A worker holds one; the others cover repeated and reordered
/// renewals.
const TOKENS: usize = 4;

/// Announcement or renewal of a worker.
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
    /// Requests that the worker runs at the same time.
    pub slots: u32,
    /// Requests in progress.
    #[serde(default)]
    pub load: u32,
    /// Last token that the worker received; absent in a first announcement.
    #[serde(default)]
    pub token: Option<String>,
}

/// What is known about a worker.
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
    /// Requests that the worker runs at the same time.
    pub slots: u32,
    /// Requests in progress that the worker last reported.
    pub load: u32,
    /// Whether the incarnation has withdrawn.
    pub leaving: bool,
    /// Last instant at which the worker was certainly not leaving.
    pub proof: Option<Instant>,
    /// First instant at which any entry saw this incarnation.
    pub first_seen: Instant,
    /// Last instant at which any entry heard from the worker.
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

/// Workers that an entry knows.
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
    /// Creates an empty registry for one process, which `entry` and `incarnation` must identify.
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

    /// Records an announcement or renewal and returns a new token.
    ///
    /// # Errors
    ///
    /// Refuses an incarnation that has withdrawn or is older than the known one, and a new worker when the registry is
    /// full.
    pub fn announce(&mut self, now: Instant, a: &Announcement) -> Result<String, Fault> {
        self.check_incarnation(a)?;
        let known = self.record(&a.service, &a.worker);
        if known.is_none_or(|r| r.incarnation < a.incarnation) {
            if known.is_none() {
                self.check_room(&a.service)?;
            }
            self.replace(now, a);
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
            if record.tokens.len() == TOKENS {
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
            let context = format!("worker {} of {}: {text}", a.worker, a.service);
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
            return refused("a later incarnation is known");
        }
        // The withdrawal itself may be missing when there was no room for it.
        if known.is_some_and(|r| r.incarnation == a.incarnation && r.leaving) {
            return refused("this incarnation has withdrawn");
        }
        Ok(())
    }

    fn check_room(&self, service: &Service) -> Result<(), Fault> {
        if self.has_room(service) {
            return Ok(());
        }
        let context = format!("no room for another worker of {service}");
        Err(Fault::new(Kind::Overloaded, context))
    }

    fn has_room(&self, service: &Service) -> bool {
        let group = self.groups.get(service);
        self.workers < MAX_TOTAL && group.is_none_or(|g| g.workers.len() < MAX_PER_SERVICE)
    }

    /// Starts a new record, which has neither proof nor tokens.
    fn replace(&mut self, now: Instant, a: &Announcement) {
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

    /// Records that an incarnation, and with it each earlier one, is leaving for good.
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
                // A forgotten withdrawal can't give a leaving worker work, because its tokens are forgotten too.
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

    /// Records the proof of a response that says `accepting`; `at` is the instant at which the request was dispatched.
    pub fn record_proof(
        &mut self,
        service: &Service,
        worker: &Worker,
        incarnation: Incarnation,
        at: Instant,
    ) {
        if let Some(record) = self.record_mut(service, worker)
            && record.incarnation == incarnation
        {
            record.proof = record.proof.max(Some(at));
            record.last_seen = record.last_seen.max(at);
        }
    }

    /// Returns whether a worker may be given work now: not leaving, and with a proof younger than [`PROOF_LIFETIME`].
    #[must_use]
    pub fn has_proof(&self, now: Instant, service: &Service, worker: &Worker) -> bool {
        self.record(service, worker)
            .is_some_and(|r| !r.leaving && r.proof.is_some_and(|p| is_fresh(now, p)))
    }

    /// Returns the known workers of a service, including those that are leaving or have no fresh proof.
    #[must_use]
    pub fn workers(&self, service: &Service) -> Vec<&Record> {
        let group = self.groups.get(service);
        group.map_or_else(Vec::new, |g| g.workers.values().collect())
    }

    /// Returns what siblings need to know about `services`.
    #[must_use]
    pub fn digest(&self, now: Instant, services: &[Service]) -> Digest {
        let mut digest = Digest::default();
        for service in services {
            let Some(group) = self.groups.get(service) else {
                continue;
            };
            let staying = group.workers.values().filter(|r| !r.leaving);
            digest.workers.extend(staying.map(|r| r.item(now, service)));
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

    /// Takes over what a sibling knows; `asked_at` is the instant at which the digest was requested.
    ///
    /// Ages count from `asked_at`, before the sender counted them, so that no proof gets younger on its way.
    pub fn merge(&mut self, asked_at: Instant, now: Instant, digest: &Digest) {
        for w in &digest.withdrawn {
            let at = digest::instant(asked_at, w.age_ms).unwrap_or(now);
            if now.saturating_duration_since(at) < WITHDRAWAL_RETENTION {
                self.withdraw(at, &w.service, &w.worker, w.incarnation);
            }
        }
        for item in &digest.workers {
            self.merge_item(asked_at, now, item);
        }
    }

    fn merge_item(&mut self, asked_at: Instant, now: Instant, item: &Item) {
        let heard = digest::instant(asked_at, item.last_seen_age_ms);
        let Some(heard) = heard.filter(|&h| now.saturating_duration_since(h) < SILENCE_TIMEOUT)
        else {
            return;
        };
        let a = item.announcement();
        let known = self.record(&a.service, &a.worker).map(|r| r.incarnation);
        let room = known.is_some() || self.has_room(&a.service);
        if self.check_incarnation(&a).is_err() || !room {
            return;
        }
        if known.is_none_or(|k| k < a.incarnation) {
            self.replace(heard, &a);
        }
        let seen = digest::instant(asked_at, item.first_seen_age_ms);
        let proof = item
            .proof_age_ms
            .and_then(|age| digest::instant(asked_at, age));
        if let Some(record) = self.record_mut(&a.service, &a.worker) {
            if heard > record.last_seen {
                record.last_seen = heard;
                record.load = a.load;
                record.slots = a.slots;
            }
            record.proof = record.proof.max(proof);
            record.first_seen = seen.map_or(record.first_seen, |s| s.min(record.first_seen));
        }
    }

    /// Forgets silent workers and old withdrawals; returns the forgotten workers.
    pub fn expire(&mut self, now: Instant) -> Vec<(Service, Worker)> {
        let mut forgotten = Vec::new();
        for (service, group) in &mut self.groups {
            group.workers.retain(|worker, record| {
                let keep = now.saturating_duration_since(record.last_seen) < SILENCE_TIMEOUT;
                if !keep {
                    forgotten.push((service.clone(), worker.clone()));
                }
                keep
            });
            let before = group.withdrawn.len();
            group
                .withdrawn
                .retain(|_, w| now.saturating_duration_since(w.at) < WITHDRAWAL_RETENTION);
            self.withdrawn -= before - group.withdrawn.len();
        }
        self.workers -= forgotten.len();
        self.groups
            .retain(|_, g| !g.workers.is_empty() || !g.withdrawn.is_empty());
        forgotten.sort_unstable();
        forgotten
    }

    fn record(&self, service: &Service, worker: &Worker) -> Option<&Record> {
        self.groups.get(service)?.workers.get(worker)
    }

    fn record_mut(&mut self, service: &Service, worker: &Worker) -> Option<&mut Record> {
        self.groups.get_mut(service)?.workers.get_mut(worker)
    }
}

/// Returns whether a proof is young enough to give its worker work.
pub(crate) fn is_fresh(now: Instant, proof: Instant) -> bool {
    now.saturating_duration_since(proof) < PROOF_LIFETIME
}
