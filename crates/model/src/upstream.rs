//! Workers that are registered with the control group.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config::Invalid;
use crate::id::{Incarnation, Service, Worker, Zone};

/// Max departed workers that are kept to recognize late announcements. At 13,000 restarts a day they cover about seven
/// hours.
const MAX_DEPARTED: usize = 4_096;

/// Max slots of a worker; actual workers have a few.
pub const MAX_SLOTS: u32 = 100_000;
/// Max remaining warm-up time, in milliseconds. Until it has passed, entries send few requests to the worker.
pub const MAX_WARM_UP_MS: u64 = 3_600_000;
/// Max incarnation: the year 2100, where incarnations are Unix times in milliseconds. No later run could supersede one at the end
/// of the range.
pub const MAX_INCARNATION: Incarnation = Incarnation(4_102_444_800_000);

/// Announcement of a worker about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the worker.
    pub worker: Worker,
    /// Start counter of the process; a later run has a higher one.
    pub incarnation: Incarnation,
    /// Service that the worker belongs to.
    pub service: Service,
    /// Address at which the worker takes requests.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Max requests that the worker runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time, during which the worker is slow, in milliseconds.
    pub warm_up_ms: u64,
    /// Whether the worker is about to leave and takes no new requests.
    pub leaving: bool,
}

impl Announcement {
    /// Checks that entries can use the announcement. An accepted one reaches all of them and is kept across restarts.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), Invalid> {
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(Invalid::new("address", self.address, "unicast IP:PORT"));
        }
        check_range("slots", self.slots, 1, MAX_SLOTS)?;
        check_range("warm_up_ms", self.warm_up_ms, 0, MAX_WARM_UP_MS)?;
        check_incarnation(self.incarnation)
    }

    /// Returns whether another announcement is equal apart from the remaining warm-up time, which decreases by itself.
    #[must_use]
    fn is_equivalent(&self, other: &Self) -> bool {
        let mut with_same_warm_up = other.clone();
        with_same_warm_up.warm_up_ms = self.warm_up_ms;
        *self == with_same_warm_up
    }
}

fn check_incarnation(incarnation: Incarnation) -> Result<(), Invalid> {
    check_range("incarnation", incarnation.0, 0, MAX_INCARNATION.0)
}

fn check_range<T: Copy + Display + PartialOrd>(
    field: &str,
    value: T,
    min: T,
    max: T,
) -> Result<(), Invalid> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Invalid::new(field, value, format!("{min} to {max}")))
}

/// Change of the registered workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Event {
    /// A worker announced itself.
    Announced(Announcement),
    /// A worker left: the stated incarnation and earlier ones, or the registered one if none is stated.
    Departed {
        /// Name of the worker.
        worker: Worker,
        /// Highest incarnation that has ended.
        incarnation: Option<Incarnation>,
    },
    /// A worker left without stating its incarnation, which is a start time: the registered one, and each that started by
    /// `latest`, because its announcement may still arrive.
    Ended {
        /// Name of the worker.
        worker: Worker,
        /// Incarnation that a worker would have which started when the departure was received.
        latest: Incarnation,
    },
}

/// Workers that are registered, and those that departed recently.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Roster {
    /// Workers by name.
    pub workers: BTreeMap<Worker, Announcement>,
    departed: VecDeque<(Worker, Incarnation)>,
}

impl Event {
    /// Checks the fields of the event. An accepted one reaches all entries and is kept across restarts.
    ///
    /// # Errors
    ///
    /// As [`Announcement::check`]; of a departure, only the incarnation can be invalid.
    pub fn check(&self) -> Result<(), Invalid> {
        match self {
            Self::Announced(announcement) => announcement.check(),
            Self::Departed { incarnation, .. } => incarnation.map_or(Ok(()), check_incarnation),
            Self::Ended { latest, .. } => check_incarnation(*latest),
        }
    }
}

impl Roster {
    /// Returns whether applying an event would change the roster; late and repeated events don't.
    ///
    /// The departure of an incarnation that is not registered does, because its announcement may still arrive.
    #[must_use]
    pub fn would_change(&self, event: &Event) -> bool {
        match event {
            Event::Announced(new) => self.accepts(new),
            Event::Departed {
                worker,
                incarnation,
            } => match (self.workers.get(worker), incarnation) {
                (Some(registered), Some(incarnation)) => *incarnation >= registered.incarnation,
                (None, Some(incarnation)) => !self.has_departed(worker, *incarnation),
                (registered, None) => registered.is_some(),
            },
            Event::Ended { worker, latest } => {
                self.workers.contains_key(worker) || !self.has_departed(worker, *latest)
            }
        }
    }

    /// Returns whether an incarnation of a worker, or a later one, is recorded as departed.
    fn has_departed(&self, worker: &Worker, incarnation: Incarnation) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(name, departed)| name == worker && *departed >= incarnation)
    }

    fn accepts(&self, new: &Announcement) -> bool {
        if self.has_departed(&new.worker, new.incarnation) {
            return false;
        }
        // A later worker may reuse the address of a departed one, whose own late announcements are ignored.
        let mut others = self.workers.values().filter(|w| w.worker != new.worker);
        if others.any(|w| w.address == new.address && w.incarnation > new.incarnation) {
            return false;
        }
        match self.workers.get(&new.worker) {
            None => true,
            Some(registered) if registered.incarnation != new.incarnation => {
                new.incarnation > registered.incarnation
            }
            // Leaving is final for one incarnation, because announcements may arrive late.
            Some(registered) if registered.leaving => false,
            Some(registered) => !registered.is_equivalent(new),
        }
    }

    /// Applies an event; one that would change nothing is ignored.
    pub fn apply(&mut self, event: &Event) {
        if !self.would_change(event) {
            return;
        }
        match event {
            Event::Announced(new) => {
                let has_address =
                    |w: &Announcement| w.address == new.address && w.worker != new.worker;
                let replaced = self.workers.values().filter(|w| has_address(w));
                let replaced: Vec<_> = replaced
                    .map(|w| (w.worker.clone(), w.incarnation))
                    .collect();
                for (worker, incarnation) in replaced {
                    self.remove(worker, incarnation);
                }
                self.workers.insert(new.worker.clone(), new.clone());
            }
            Event::Departed {
                worker,
                incarnation,
            } => self.depart(worker, *incarnation),
            Event::Ended { worker, latest } => self.depart(worker, Some(*latest)),
        }
    }

    /// Removes a worker and records that it has departed: the registered incarnation, `incarnation` and all earlier ones.
    fn depart(&mut self, worker: &Worker, incarnation: Option<Incarnation>) {
        let registered = self.workers.get(worker).map(|w| w.incarnation);
        if let Some(last) = registered.max(incarnation) {
            self.remove(worker.clone(), last);
        }
    }

    /// Removes a worker and records that `incarnation` and earlier ones have departed.
    fn remove(&mut self, worker: Worker, incarnation: Incarnation) {
        self.workers.remove(&worker);
        self.departed.retain(|(name, _)| *name != worker);
        self.departed.push_back((worker, incarnation));
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
    }
}
