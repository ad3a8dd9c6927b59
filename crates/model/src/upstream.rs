//! Workers that are registered with the control group.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Service, Worker, Zone};

/// Most departed workers whose late announcements are recognised. At 13,000 restarts a day this is the memory of about
/// seven hours.
const MAX_DEPARTED: usize = 4_096;

/// What a worker announces about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the worker.
    pub worker: Worker,
    /// Start of the process; a greater one is a later run.
    pub incarnation: Incarnation,
    /// Service that the worker belongs to.
    pub service: Service,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time for which it stays slow after its start, in milliseconds.
    pub warm_up_ms: u64,
    /// Whether it is about to leave and takes no new requests.
    pub leaving: bool,
}

impl Announcement {
    /// Returns whether another announcement differs in more than the time left to warm up, which shrinks by itself.
    #[must_use]
    fn is_same(&self, other: &Self) -> bool {
        let mut aligned = other.clone();
        aligned.warm_up_ms = self.warm_up_ms;
        *self == aligned
    }
}

/// Change of the registered workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Event {
    /// A worker announces itself.
    Announced(Announcement),
    /// A worker is gone, in this run or, without one, in its present run.
    Departed {
        /// Name of the worker.
        worker: Worker,
        /// Run that is over.
        incarnation: Option<Incarnation>,
    },
}

/// Registered workers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Roster {
    /// Workers by name.
    pub workers: BTreeMap<Worker, Announcement>,
    departed: VecDeque<(Worker, Incarnation)>,
}

impl Roster {
    /// Returns whether an event changes anything; late and repeated ones don't.
    #[must_use]
    pub fn would_change(&self, event: &Event) -> bool {
        match event {
            Event::Announced(new) => self.accepts(new),
            Event::Departed {
                worker,
                incarnation,
            } => self.workers.get(worker).is_some_and(|present| {
                incarnation.is_none_or(|incarnation| incarnation >= present.incarnation)
            }),
        }
    }

    fn accepts(&self, new: &Announcement) -> bool {
        let departed = self.departed.iter();
        let mut departed = departed.filter(|(worker, _)| *worker == new.worker);
        if departed.any(|(_, incarnation)| *incarnation >= new.incarnation) {
            return false;
        }
        // The address of a worker that is gone may be taken by a later one; its own late announcements are void.
        let mut others = self.workers.values().filter(|w| w.worker != new.worker);
        if others.any(|w| w.address == new.address && w.incarnation > new.incarnation) {
            return false;
        }
        match self.workers.get(&new.worker) {
            None => true,
            Some(present) if present.incarnation != new.incarnation => {
                new.incarnation > present.incarnation
            }
            // Leaving is final for one run, because announcements may arrive late.
            Some(present) if present.leaving => false,
            Some(present) => !present.is_same(new),
        }
    }

    /// Applies an event that [`Roster::would_change`].
    pub fn apply(&mut self, event: &Event) {
        if !self.would_change(event) {
            return;
        }
        match event {
            Event::Announced(new) => {
                let occupied =
                    |w: &Announcement| w.address == new.address && w.worker != new.worker;
                let replaced = self.workers.values().filter(|w| occupied(w));
                let replaced: Vec<_> = replaced
                    .map(|w| (w.worker.clone(), w.incarnation))
                    .collect();
                for (worker, incarnation) in replaced {
                    self.depart(worker, incarnation);
                }
                self.workers.insert(new.worker.clone(), new.clone());
            }
            Event::Departed { worker, .. } => {
                if let Some(present) = self.workers.get(worker).map(|w| w.incarnation) {
                    self.depart(worker.clone(), present);
                }
            }
        }
    }

    fn depart(&mut self, worker: Worker, incarnation: Incarnation) {
        self.workers.remove(&worker);
        self.departed.push_back((worker, incarnation));
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
    }
}
