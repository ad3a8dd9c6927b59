//! Digests of worker state that entries exchange about shared services.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Service, Worker, Zone};
use serde::{Deserialize, Serialize};

use crate::worker::{Announcement, Record, is_fresh};

/// Workers and withdrawals known to an entry. The sender computes the ages and rounds them up.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Workers that are not leaving.
    pub workers: Vec<Item>,
    /// Withdrawals that the sender still remembers.
    pub withdrawn: Vec<Withdrawn>,
}

/// State of one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// Service of the worker.
    pub service: Service,
    /// Name of the worker.
    pub worker: Worker,
    /// Start counter of the worker.
    pub incarnation: Incarnation,
    /// Address at which the worker takes requests.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Max requests that the worker runs concurrently.
    pub slots: u32,
    /// Requests in progress, as last reported by the worker.
    pub load: u32,
    /// Age of the newest proof of liveness, in milliseconds; `None` if there is none or it has expired.
    pub proof_age_ms: Option<u64>,
    /// Time since any entry last received a message from the worker, in milliseconds.
    pub last_seen_age_ms: u64,
    /// Time since any entry first observed this incarnation, in milliseconds.
    pub first_seen_age_ms: u64,
}

/// Withdrawal of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawn {
    /// Service of the worker.
    pub service: Service,
    /// Name of the worker.
    pub worker: Worker,
    /// Highest withdrawn incarnation.
    pub incarnation: Incarnation,
    /// Time since the first entry received the withdrawal, in milliseconds.
    pub age_ms: u64,
}

/// Returns the age of `instant` in milliseconds, rounded up so that a proof never appears younger than it is.
pub(crate) fn age_ms(now: Instant, instant: Instant) -> u64 {
    let age = now.saturating_duration_since(instant);
    u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Returns the instant `age_ms` before `requested_at`, or `None` if `Instant` can't represent it.
pub(crate) fn instant_before(requested_at: Instant, age_ms: u64) -> Option<Instant> {
    requested_at.checked_sub(Duration::from_millis(age_ms))
}

impl Record {
    pub(crate) fn to_digest_item(&self, now: Instant, service: &Service) -> Item {
        let proof = self.proof.filter(|&p| is_fresh(now, p));
        Item {
            service: service.clone(),
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            address: self.address,
            zone: self.zone.clone(),
            slots: self.slots,
            load: self.load,
            proof_age_ms: proof.map(|p| age_ms(now, p)),
            last_seen_age_ms: age_ms(now, self.last_seen),
            first_seen_age_ms: age_ms(now, self.first_seen),
        }
    }
}

impl Item {
    pub(crate) fn to_announcement(&self) -> Announcement {
        Announcement {
            service: self.service.clone(),
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            address: self.address,
            zone: self.zone.clone(),
            slots: self.slots,
            load: self.load,
            token: None,
        }
    }
}
