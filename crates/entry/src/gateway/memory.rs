//! Memory that the gateway holds for its connections, and the connections that give way when it is used up.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutvalve_model::routes::Kind;
use chestnutvalve_routing::memory::Budget;
use tokio::time::sleep;

use crate::clock;
use crate::holding::{Holder, Total};
use crate::meters::Meters;

/// Interval of the checks while bytes are scarce.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes that are held for the callers' connections.
#[derive(Debug)]
pub struct Memory {
    total: Arc<Total>,
    holders: Mutex<HashMap<u64, Holder>>,
    next_id: AtomicU64,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    memory: Arc<Memory>,
    id: u64,
    /// Count of the bytes that are held for it.
    pub holder: Holder,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.memory.holders().remove(&self.id);
    }
}

impl Memory {
    /// Creates an empty count; `limit_mb` is the memory limit of the process, in megabytes.
    #[must_use]
    pub fn new(limit_mb: Option<u32>, meters: &Meters) -> Self {
        let budget = Budget::new(limit_mb.map(|limit| u64::from(limit) * 1_000_000));
        let total = Arc::new(Total::new(budget));
        let counted = Arc::clone(&total);
        meters.observe_held_bytes(move || counted.held());
        Self {
            total,
            holders: Mutex::default(),
            next_id: AtomicU64::new(0),
        }
    }

    fn holders(&self) -> MutexGuard<'_, HashMap<u64, Holder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the process has a memory limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.total.budget.bytes().is_some()
    }

    /// Registers a connection until the result is dropped.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> Connection {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let holder = Holder::new(&self.total, id);
        self.holders().insert(id, holder.clone());
        Connection {
            memory: Arc::clone(self),
            id,
            holder,
        }
    }

    /// Decides whether a new request on a route of this kind fits.
    ///
    /// # Errors
    ///
    /// Refuses the request with the time after which its caller may come back.
    pub fn admit(&self, kind: Kind) -> Result<(), Duration> {
        let (budget, held) = (self.total.budget, self.total.held());
        budget.admit(held, kind == Kind::Download, rand::random())
    }

    /// Closes connections that have to give way, until dropped.
    pub async fn enforce(&self, meters: &Meters) {
        loop {
            self.total.scarce.notified().await;
            while self.total.budget.is_scarce(self.total.held()) {
                self.close_chosen(meters);
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    fn close_chosen(&self, meters: &Meters) {
        let now = clock::now();
        let mut holders = self.holders();
        let holdings: Vec<_> = holders.values().map(|h| h.holding(now)).collect();
        let total = self.total.held();
        for id in self.total.budget.choose(total, &holdings) {
            // A connection that was chosen ends after the answer to its request, and is not chosen again before.
            let Some(holder) = holders.remove(&id) else {
                continue;
            };
            let holding = holder.holding(now);
            let (held, progress) = (holding.held, holding.progress);
            let (age_ms, is_complete) = (holding.age.as_millis(), holding.is_complete);
            spdlog::warn!(
                "connection closed for its memory", kv: {held, progress, age_ms, is_complete, total}
            );
            meters.count_memory_close();
            holder.give_way();
        }
    }
}
