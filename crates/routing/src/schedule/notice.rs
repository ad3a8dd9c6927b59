//! What workers say about themselves in their responses: that they leave, or for how long they want no request.
//!
//! Load patterns: during a release, requests wait, run and are retried while workers leave, and an announcement of
//! leaving may be lost or late. Under overload, a worker that turns a request away names a time; requests that come
//! earlier only add to its load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Worker};

/// Maximum pause. A worker cannot know its load further ahead, and a malformed time must not take it out of use for a
/// day; one that is still overloaded asks again.
const MAX_PAUSE: Duration = Duration::from_mins(5);
/// Time for which the notice of a worker that is not registered is kept. An entry that takes the state of a control
/// instance that lags may see the worker registered again.
const RETENTION: Duration = Duration::from_mins(10);

/// What a worker says about itself in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The worker leaves and takes no new requests.
    Leaving,
    /// The worker wants no requests from this entry for this time.
    Pause(Duration),
}

/// Why a worker must not get a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    /// The worker leaves, has left, or has restarted since the request was assigned to it.
    Left,
    /// The worker wants no requests from this entry until this time.
    Paused(Instant),
}

/// Notices of one incarnation of a worker.
#[derive(Clone, Copy, Debug)]
struct Record {
    incarnation: Incarnation,
    leaving: bool,
    paused_until: Option<Instant>,
    updated_at: Instant,
}

/// Notices in force. They outlive the registration of their worker, which may be lost and come back, and end with a
/// later incarnation of the worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    by_worker: BTreeMap<Worker, Record>,
}

impl Notices {
    /// Records a notice. Returns whether it changes what is known. Notices of earlier incarnations are ignored.
    pub(super) fn record(
        &mut self,
        now: Instant,
        worker: &Worker,
        incarnation: Incarnation,
        notice: Notice,
    ) -> bool {
        let known = self.by_worker.get(worker);
        if known.is_some_and(|known| incarnation < known.incarnation) {
            return false;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        let mut record = known.copied().unwrap_or(Record {
            incarnation,
            leaving: false,
            paused_until: None,
            updated_at: now,
        });
        record.updated_at = now;
        let changed = match notice {
            Notice::Leaving => !std::mem::replace(&mut record.leaving, true),
            Notice::Pause(pause) => {
                // Responses may arrive in another order than the worker sent them in, so the longer pause counts.
                let until = now + pause.min(MAX_PAUSE);
                let longer = record.paused_until.is_none_or(|known| until > known);
                if longer {
                    record.paused_until = Some(until);
                }
                longer
            }
        };
        self.by_worker.insert(worker.clone(), record);
        changed
    }

    /// Returns why this incarnation of a worker must not get a request now.
    pub(super) fn hold(
        &self,
        now: Instant,
        worker: &Worker,
        incarnation: Incarnation,
    ) -> Option<Hold> {
        let known = self.by_worker.get(worker)?;
        if incarnation < known.incarnation {
            return Some(Hold::Left);
        }
        if incarnation > known.incarnation {
            return None;
        }
        if known.leaving {
            return Some(Hold::Left);
        }
        let until = known.paused_until.filter(|until| now < *until)?;
        Some(Hold::Paused(until))
    }

    /// Forgets notices that are old, except that a worker leaves whose incarnation is still registered.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        is_registered: impl Fn(&Worker, Incarnation) -> bool,
    ) {
        self.by_worker.retain(|worker, record| {
            let recent = now.saturating_duration_since(record.updated_at) < RETENTION;
            recent || (record.leaving && is_registered(worker, record.incarnation))
        });
    }
}
