//! Local copy of the replicated control state that is in force at this instance.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use chestnutvalve_model::config::validate;
use chestnutvalve_model::control::{Content, State};
use chestnutvalve_model::version::Version;
use tokio::sync::watch;

use crate::clock;

/// An update or state that can't be adopted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The state fails the validation of this build.
    #[error("state {version}: {cause}")]
    Invalid {
        /// Version of the state.
        version: Version,
        /// First invalid field.
        cause: validate::Invalid,
    },
}

/// Replicated state in force, replaced whenever a newer version arrives.
#[derive(Debug)]
pub struct ControlState {
    state: watch::Sender<Arc<State>>,
    since: Mutex<Instant>,
    /// When the state that a quorum confirmed last was asked for, and its version.
    confirmed: Mutex<Option<(Instant, Version)>>,
}

impl Default for ControlState {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(Arc::default()),
            since: Mutex::new(clock::now()),
            confirmed: Mutex::default(),
        }
    }
}

impl ControlState {
    /// Returns the state in force.
    #[must_use]
    pub fn current(&self) -> Arc<State> {
        Arc::clone(&self.state.borrow())
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.state.borrow().version
    }

    /// Returns when the version in force was adopted.
    #[must_use]
    pub fn in_force_since(&self) -> Instant {
        *self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a control instance with a quorum had no newer state than the one in force, when it was asked at
    /// `asked_at` on the clock that counts suspensions.
    pub fn confirm(&self, asked_at: Instant) {
        let confirmed = Some((asked_at, self.version()));
        *self
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = confirmed;
    }

    /// Returns when the state that a quorum confirmed last was asked for, on the clock that counts suspensions, and its
    /// version.
    #[must_use]
    pub fn confirmed(&self) -> Option<(Instant, Version)> {
        *self
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of each new state.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.state.subscribe()
    }

    /// Applies an update from a control instance, if it is newer; returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns an error when a record or snapshot is not valid.
    pub fn adopt(&self, content: Content) -> Result<bool, Error> {
        match content {
            Content::Unchanged => Ok(false),
            Content::Snapshot(state) => self.replace(state),
            Content::Records(records) => {
                let mut state = (*self.current()).clone();
                for record in &records {
                    let applied = state.apply(record);
                    applied.map_err(|cause| Error::Invalid {
                        version: record.version,
                        cause,
                    })?;
                }
                Ok(self.store_if_newer(state))
            }
        }
    }

    /// Adopts a complete state, if it is valid and newer; returns whether it was newer.
    ///
    /// # Errors
    ///
    /// Returns an error when the configuration is not valid.
    pub fn replace(&self, state: State) -> Result<bool, Error> {
        let checked = validate::document(&state.document);
        checked.map_err(|cause| Error::Invalid {
            version: state.version,
            cause,
        })?;
        Ok(self.store_if_newer(state))
    }

    /// Stores a state unless the one in force is at least as new, because updates can arrive out of order.
    fn store_if_newer(&self, state: State) -> bool {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        if state.version <= self.version() {
            return false;
        }
        *since = clock::now();
        self.state.send_replace(Arc::new(state));
        true
    }
}
