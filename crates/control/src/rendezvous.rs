//! How processes find the control group that know only configured addresses.
//!
//! A configured address may belong to an instance that holds no state, and after a restart of everything nothing else is
//! known. Voters of the group therefore announce its members at the configured addresses, where entries, emptied instances
//! and callers ask for them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutvalve_model::error::Fault;
use chestnutvalve_wire::{Client, Error, Router};
use tokio::time::Instant;

/// Time for which a list that was heard from a member is passed on to others. Two announcements may be lost meanwhile. An
/// older list could replace a newer one elsewhere.
const FRESH: Duration = Duration::from_millis(1_500);
/// Call with which a member announces the members.
const ANNOUNCE: &str = "rendezvous/announce";
/// Call with which others ask for the members.
const MEMBERS: &str = "rendezvous/members";

/// What a process knows of the group's addresses; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    known: Arc<Mutex<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    configured: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    heard: Option<Instant>,
}

impl Rendezvous {
    /// Creates the knowledge of a process that knows only the configured addresses.
    #[must_use]
    pub fn new(configured: Vec<SocketAddr>) -> Self {
        let known = Known {
            configured,
            ..Known::default()
        };
        Self {
            known: Arc::new(Mutex::new(known)),
        }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes other configured addresses.
    pub fn set_configured(&self, addresses: &[SocketAddr]) {
        addresses.clone_into(&mut self.known().configured);
    }

    /// Returns the configured addresses.
    #[must_use]
    pub fn configured(&self) -> Vec<SocketAddr> {
        self.known().configured.clone()
    }

    /// Takes the members that a member has told. An empty list tells nothing.
    pub fn adopt(&self, members: &[SocketAddr]) {
        if members.is_empty() {
            return;
        }
        let mut known = self.known();
        known.heard = Some(Instant::now());
        if known.members != members {
            spdlog::info!("control group found", kv: {members:?});
            members.clone_into(&mut known.members);
        }
    }

    /// Returns the members that were told last.
    #[must_use]
    pub fn members(&self) -> Vec<SocketAddr> {
        self.known().members.clone()
    }

    /// Returns the members, if a member has told them lately.
    #[must_use]
    pub fn fresh_members(&self) -> Vec<SocketAddr> {
        let known = self.known();
        let fresh = known.heard.is_some_and(|at| at.elapsed() < FRESH);
        if fresh {
            known.members.clone()
        } else {
            Vec::new()
        }
    }

    /// Adds the call with which voters announce the group, and the one that answers `members` to those that ask for it.
    #[must_use]
    pub fn route(
        &self,
        router: Router,
        members: impl Fn() -> Vec<SocketAddr> + Clone + Send + Sync + 'static,
    ) -> Router {
        let announced = self.clone();
        router
            .route(ANNOUNCE, move |members: Vec<SocketAddr>| {
                announced.adopt(&members);
                async { Ok::<(), Fault>(()) }
            })
            .route(MEMBERS, move |(): ()| {
                let members = members();
                async move { Ok::<_, Fault>(members) }
            })
    }
}

/// Announces the members at one address.
///
/// # Errors
///
/// Returns why the instance there has not heard it.
pub async fn announce(
    client: &Client,
    members: &Vec<SocketAddr>,
    limit: Duration,
) -> Result<(), Error> {
    client.call(ANNOUNCE, members, limit).await
}

/// Asks one instance for the members; the list is empty if it knows none.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn ask(client: &Client, limit: Duration) -> Result<Vec<SocketAddr>, Error> {
    client.call(MEMBERS, &(), limit).await
}
