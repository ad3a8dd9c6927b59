//! Discovery of the control group by processes that know only the configured addresses.
//!
//! A configured address may belong to an instance that holds no state, and after a restart of the whole fleet no other
//! addresses are known. The voters of the group therefore announce its members at the configured addresses, where entries,
//! emptied instances and callers query them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutvalve_model::error::Fault;
use chestnutvalve_wire::{Client, Error, Router};
use tokio::time::Instant;

/// Time for which a list that a member announced is passed on to others; it covers two lost announcements. An older list
/// could replace a newer one elsewhere.
const MEMBERS_TTL: Duration = Duration::from_millis(1_500);
/// Call that announces the members.
const ANNOUNCE_CALL: &str = "rendezvous/announce";
/// Call that queries the members.
const MEMBERS_CALL: &str = "rendezvous/members";

/// Addresses of the control group that a process knows; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    configured: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    updated_at: Option<Instant>,
}

impl Rendezvous {
    /// Creates the state of a process that knows only the configured addresses.
    #[must_use]
    pub fn new(configured: Vec<SocketAddr>) -> Self {
        let state = State {
            configured,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the configured addresses, for example after a reload of the settings.
    pub fn set_configured(&self, addresses: &[SocketAddr]) {
        addresses.clone_into(&mut self.lock().configured);
    }

    /// Returns the addresses at which the group is announced and queried.
    #[must_use]
    pub fn configured(&self) -> Vec<SocketAddr> {
        self.lock().configured.clone()
    }

    /// Records the members that a member announced or returned. Ignores an empty list, which carries no information.
    pub fn record_members(&self, members: &[SocketAddr]) {
        if members.is_empty() {
            return;
        }
        let mut state = self.lock();
        state.updated_at = Some(Instant::now());
        if state.members != members {
            spdlog::info!("control group found", kv: {members:?});
            members.clone_into(&mut state.members);
        }
    }

    /// Returns the members that were recorded last.
    #[must_use]
    pub fn members(&self) -> Vec<SocketAddr> {
        self.lock().members.clone()
    }

    /// Returns the members if they were recorded recently, otherwise none.
    #[must_use]
    pub fn fresh_members(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let fresh = state
            .updated_at
            .is_some_and(|at| at.elapsed() < MEMBERS_TTL);
        if fresh {
            state.members.clone()
        } else {
            Vec::new()
        }
    }

    /// Adds the call that records announcements, and the call that answers queries with `members`.
    #[must_use]
    pub fn route(
        &self,
        router: Router,
        members: impl Fn() -> Vec<SocketAddr> + Clone + Send + Sync + 'static,
    ) -> Router {
        let announced = self.clone();
        router
            .route(ANNOUNCE_CALL, move |members: Vec<SocketAddr>| {
                announced.record_members(&members);
                async { Ok::<(), Fault>(()) }
            })
            .route(MEMBERS_CALL, move |(): ()| {
                let members = members();
                async move { Ok::<_, Fault>(members) }
            })
    }
}

/// Announces the members at one address.
///
/// # Errors
///
/// Returns an error when the instance at that address did not confirm the announcement.
pub async fn announce_members(
    client: &Client,
    members: &Vec<SocketAddr>,
    timeout: Duration,
) -> Result<(), Error> {
    client.call(ANNOUNCE_CALL, members, timeout).await
}

/// Queries one instance for the members; the list is empty if it knows none.
///
/// # Errors
///
/// Returns an error when the instance did not answer.
pub async fn fetch_members(client: &Client, timeout: Duration) -> Result<Vec<SocketAddr>, Error> {
    client.call(MEMBERS_CALL, &(), timeout).await
}
