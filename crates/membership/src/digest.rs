//! What sibling entries tell each other about the workers of shared services.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Service, Worker, Zone};
use serde::{Deserialize, Serialize};

use crate::worker::{Announcement, Record, is_fresh};

/// Workers and withdrawals that an entry knows. Ages are counted at the sender and rounded up.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Known workers.
    pub workers: Vec<Item>,
    /// Withdrawn incarnations.
    pub withdrawn: Vec<Withdrawn>,
}

/// One worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
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
    /// Requests in progress that the worker last reported.
    pub load: u32,
    /// Age of the newest proof, in milliseconds, unless it has expired.
    pub proof_age_ms: Option<u64>,
    /// Time since the worker was last heard at any entry, in milliseconds.
    pub last_seen_age_ms: u64,
    /// Time since the incarnation was first seen at any entry, in milliseconds.
    pub first_seen_age_ms: u64,
}

/// One withdrawn incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawn {
    /// Service of the worker.
    pub service: Service,
    /// Name of the worker.
    pub worker: Worker,
    /// Greatest withdrawn incarnation.
    pub incarnation: Incarnation,
    /// Time since the withdrawal was received by the first entry, in milliseconds.
    pub age_ms: u64,
}

/// Returns the age of `instant` in milliseconds, rounded up so that a proof never looks younger than it is.
pub(crate) fn age_ms(now: Instant, instant: Instant) -> u64 {
    let age = now.saturating_duration_since(instant);
    u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Returns the instant `age_ms` before `asked_at`, if the clock reaches back that far.
pub(crate) fn instant(asked_at: Instant, age_ms: u64) -> Option<Instant> {
    asked_at.checked_sub(Duration::from_millis(age_ms))
}

impl Record {
    pub(crate) fn item(&self, now: Instant, service: &Service) -> Item {
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
    pub(crate) fn announcement(&self) -> Announcement {
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
