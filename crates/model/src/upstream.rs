//! Workers that are registered with the control group.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config::Invalid;
use crate::id::{Incarnation, Service, Worker, Zone};
use crate::routes::Table;

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
///
/// A worker of a service that the routing table does not name is registered too, because the table may name it later. Its
/// announcement may come from a sender that uses the address or the name of another worker, so that it displaces no worker until its
/// service is named and it announces itself again, and keeps out no worker of a named service.
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

    /// Returns whether the worker takes no new requests once the event is recorded.
    #[must_use]
    pub fn ends_worker(&self) -> bool {
        match self {
            Self::Announced(announcement) => announcement.leaving,
            Self::Departed { .. } | Self::Ended { .. } => true,
        }
    }
}

impl Roster {
    /// Returns whether applying an event would change the roster; late and repeated events don't.
    ///
    /// The departure of an incarnation that is not registered does, because its announcement may still arrive.
    #[must_use]
    pub fn would_change(&self, event: &Event, table: &Table) -> bool {
        if let Event::Announced(new) = event {
            return self.accepts(new, table);
        }
        let Some((worker, last)) = self.departure(event, table) else {
            return false;
        };
        match self.workers.get(worker) {
            Some(registered) if ends(event, last, registered) => true,
            Some(registered) if table.has_service(&registered.service) => false,
            _ => !self.has_departed(worker, last),
        }
    }

    /// Returns whether the end of a worker that the event states is recorded. An instance that lags may not know which other events
    /// change nothing.
    #[must_use]
    pub fn records_end(&self, event: &Event) -> bool {
        match event {
            Event::Announced(new) if new.leaving => {
                let registered = self.workers.get(&new.worker);
                let is_leaving = |w: &Announcement| w.incarnation == new.incarnation && w.leaving;
                registered.is_some_and(is_leaving)
                    || self.has_departed(&new.worker, new.incarnation)
            }
            Event::Departed {
                worker,
                incarnation: Some(incarnation),
            } => self.has_departed(worker, *incarnation),
            Event::Announced(_) | Event::Departed { .. } | Event::Ended { .. } => false,
        }
    }

    /// Returns the worker that an event ends, and the last incarnation that has ended.
    fn departure<'a>(&self, event: &'a Event, table: &Table) -> Option<(&'a Worker, Incarnation)> {
        match event {
            Event::Announced(_) => None,
            Event::Departed {
                worker,
                incarnation,
            } => {
                let registered = self.workers.get(worker).map(|w| w.incarnation);
                Some((worker, incarnation.or(registered)?))
            }
            Event::Ended { worker, latest } => {
                let registered = self.workers.get(worker);
                let configured = registered.filter(|w| table.has_service(&w.service));
                let last = configured.map_or(*latest, |w| w.incarnation.max(*latest));
                Some((worker, last))
            }
        }
    }

    /// Returns whether an incarnation of a worker, or a later one, is recorded as departed.
    fn has_departed(&self, worker: &Worker, incarnation: Incarnation) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(name, departed)| name == worker && *departed >= incarnation)
    }

    /// Returns the other workers that are registered at the address of `new`.
    fn others_at_address(&self, new: &Announcement) -> impl Iterator<Item = &Announcement> {
        let others = self.workers.values();
        others.filter(|w| w.address == new.address && w.worker != new.worker)
    }

    fn accepts(&self, new: &Announcement, table: &Table) -> bool {
        if self.has_departed(&new.worker, new.incarnation) {
            return false;
        }
        let is_configured = table.has_service(&new.service);
        // A later worker may reuse the address of a departed one, whose own late announcements are ignored.
        let holds_address = |w: &Announcement| {
            w.incarnation > new.incarnation && (!is_configured || table.has_service(&w.service))
        };
        let mut displaces = false;
        for other in self.others_at_address(new) {
            if holds_address(other) {
                return false;
            }
            displaces |= is_configured && is_earlier(other, new);
        }
        let Some(registered) = self.workers.get(&new.worker) else {
            return true;
        };
        match (is_configured, table.has_service(&registered.service)) {
            (true, false) => return true,
            (false, true) => return false,
            _ => {}
        }
        if registered.incarnation != new.incarnation {
            return new.incarnation > registered.incarnation;
        }
        // Leaving is final for one incarnation, because announcements may arrive late.
        if registered.leaving {
            return false;
        }
        displaces || !registered.is_equivalent(new)
    }

    /// Applies an event; one that would change nothing is ignored.
    pub fn apply(&mut self, event: &Event, table: &Table) {
        if !self.would_change(event, table) {
            return;
        }
        if let Event::Announced(new) = event {
            if table.has_service(&new.service) {
                self.displace_earlier(new);
            }
            self.workers.insert(new.worker.clone(), new.clone());
        } else if let Some((worker, last)) = self.departure(event, table) {
            let registered = self.workers.get(worker);
            if registered.is_some_and(|registered| ends(event, last, registered)) {
                self.workers.remove(worker);
            }
            self.record_departed(worker.clone(), last);
        }
    }

    /// Removes the workers that were at the address of `new` before, which have departed.
    fn displace_earlier(&mut self, new: &Announcement) {
        let others = self.others_at_address(new);
        let earlier = others.filter(|w| is_earlier(w, new));
        let earlier: Vec<_> = earlier.map(|w| (w.worker.clone(), w.incarnation)).collect();
        for (worker, incarnation) in earlier {
            self.workers.remove(&worker);
            self.record_departed(worker, incarnation);
        }
    }

    /// Records that `incarnation` of a worker and earlier ones have departed.
    fn record_departed(&mut self, worker: Worker, incarnation: Incarnation) {
        let mut last = incarnation;
        self.departed.retain(|(name, departed)| {
            let is_other = *name != worker;
            if !is_other {
                last = last.max(*departed);
            }
            is_other
        });
        self.departed.push_back((worker, last));
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
    }
}

/// Returns whether a worker was at the address of `new` before it.
fn is_earlier(worker: &Announcement, new: &Announcement) -> bool {
    worker.incarnation <= new.incarnation
}

/// Returns whether a departure that covers incarnations up to `last` ends a registered one. One without an incarnation ends it even
/// if its clock is ahead.
fn ends(event: &Event, last: Incarnation, registered: &Announcement) -> bool {
    registered.incarnation <= last || matches!(event, Event::Ended { .. })
}
