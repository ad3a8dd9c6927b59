//! What a coordinator holds for other entries: the seats that it gave out, and the requests that wait for one.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutvalve_routing::schedule::Refusal;
use tokio::time::Instant;

use crate::gateway::dispatcher::Reservation;

/// Time for an entry to ask again for a request that waits: 100 ms each way on a narrow link that carries downloads, and as
/// much in reserve.
const NEXT_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Admission of a request; dropping it takes the request out of the queue, or gives its seat back.
pub type Admission = Pin<Box<dyn Future<Output = Result<Reservation, Refusal>> + Send>>;

/// Seats given to other entries and requests of theirs that wait, with the times at which they are given up.
#[derive(Default)]
pub struct Reservations {
    granted: Mutex<HashMap<u64, (Reservation, Instant)>>,
    waiting: Mutex<HashMap<u64, (Admission, Instant)>>,
}

impl Reservations {
    /// Keeps a seat until its entry reports how its use ended, `until` at the latest.
    pub fn insert(&self, id: u64, reservation: Reservation, until: Instant) {
        lock(&self.granted).insert(id, (reservation, until));
    }

    /// Returns the seat with this number, which ends its use.
    pub fn remove(&self, id: u64) -> Option<Reservation> {
        lock(&self.granted)
            .remove(&id)
            .map(|(reservation, _)| reservation)
    }

    /// Keeps a request in the queue until its entry asks for it again.
    pub fn suspend(&self, id: u64, admission: Admission) {
        lock(&self.waiting).insert(id, (admission, Instant::now() + NEXT_POLL_TIMEOUT));
    }

    /// Returns the admission of a request that waits, for which its entry asks again.
    pub fn resume(&self, id: u64) -> Option<Admission> {
        lock(&self.waiting).remove(&id).map(|(waiting, _)| waiting)
    }

    /// Gives up seats whose entries have not reported an end, and requests for which they no longer ask.
    pub fn expire(&self) {
        let reservations = remove_expired(&self.granted);
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

/// Removes what is past its time. The values are returned, because dropping them needs locks of their own.
fn remove_expired<T>(entries: &Mutex<HashMap<u64, (T, Instant)>>) -> Vec<T> {
    let now = Instant::now();
    let mut entries = lock(entries);
    let expired = entries.extract_if(|_, (_, until)| *until <= now);
    expired.map(|(_, (value, _))| value).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
