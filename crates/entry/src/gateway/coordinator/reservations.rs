//! State that a coordinator keeps for other entries: reservations that it granted, and queued requests.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::dispatcher::{Reservation, Unplaced};

/// Time within which an entry must poll again for a queued request: 100 ms each way on a narrow link that carries
/// downloads, and as much again as a margin.
const NEXT_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Pending admission of a request. Dropping it removes the request from the queue or releases its reservation.
pub type Admission = Pin<Box<dyn Future<Output = Result<Reservation, Unplaced>> + Send>>;

/// Reservations granted to other entries and their queued requests, each with its expiry time.
#[derive(Default)]
pub struct Reservations {
    granted: Mutex<HashMap<u64, (Reservation, Instant)>>,
    waiting: Mutex<HashMap<u64, (Admission, Instant)>>,
}

impl Reservations {
    /// Stores a reservation until its entry reports the outcome, or until `until`.
    pub fn insert(&self, id: u64, reservation: Reservation, until: Instant) {
        lock(&self.granted).insert(id, (reservation, until));
    }

    /// Removes and returns the reservation with this id, if it has not expired.
    pub fn remove(&self, id: u64) -> Option<Reservation> {
        lock(&self.granted)
            .remove(&id)
            .map(|(reservation, _)| reservation)
    }

    /// Keeps the admission of a queued request until its entry polls again.
    pub fn suspend(&self, id: u64, admission: Admission) {
        lock(&self.waiting).insert(id, (admission, Instant::now() + NEXT_POLL_TIMEOUT));
    }

    /// Removes and returns the pending admission of a request for which its entry polls again.
    pub fn resume(&self, id: u64) -> Option<Admission> {
        lock(&self.waiting).remove(&id).map(|(waiting, _)| waiting)
    }

    /// Releases reservations whose entries have not reported an outcome, and cancels requests that are no longer
    /// polled.
    pub fn expire(&self) {
        let mut reservations = remove_expired(&self.granted);
        // The attempts may have been made.
        reservations.iter_mut().for_each(Reservation::mark_used);
        let waiting = remove_expired(&self.waiting);
        if !reservations.is_empty() || !waiting.is_empty() {
            let (places, waiting) = (reservations.len(), waiting.len());
            spdlog::info!("reservations expired without a report", kv: {places, waiting});
        }
    }
}

impl fmt::Debug for Reservations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waiting = lock(&self.waiting).len();
        let granted = lock(&self.granted).len();
        let mut reservations = f.debug_struct("Reservations");
        reservations
            .field("granted", &granted)
            .field("waiting", &waiting);
        reservations.finish()
    }
}

/// Removes and returns expired values. They are returned because dropping them takes other locks.
fn remove_expired<T>(entries: &Mutex<HashMap<u64, (T, Instant)>>) -> Vec<T> {
    let now = Instant::now();
    let mut entries = lock(entries);
    let expired = entries.extract_if(|_, (_, until)| *until <= now);
    expired.map(|(_, (value, _))| value).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
