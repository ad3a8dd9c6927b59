//! Accountants that are not asked for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// How long an accountant that did not answer is not asked.
const DURATION: Duration = Duration::from_secs(1);

/// Until when each accountant that did not answer is not asked.
#[derive(Debug, Default)]
pub struct Silence(Mutex<HashMap<SocketAddr, Instant>>);

impl Silence {
    /// Returns whether the accountant is not asked at present.
    #[must_use]
    pub fn is_silent(&self, accountant: SocketAddr) -> bool {
        let until = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let until = until.get(&accountant);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Records that an accountant did not answer.
    pub fn record(&self, accountant: SocketAddr) {
        let now = Instant::now();
        let mut until = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        until.retain(|_, until| now < *until);
        until.insert(accountant, now + DURATION);
    }
}
