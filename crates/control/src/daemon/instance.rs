//! What the services of a control instance share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use chestnutvalve_model::config::Change;
use chestnutvalve_model::control::{Heartbeat, Registered};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::routes::Publication;
use chestnutvalve_model::upstream::Event;
use chestnutvalve_model::version::Version;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{OnceCell, watch};
use tokio::time::{Instant, timeout};

use super::batcher::Batcher;
use super::grants::Term;
use super::heartbeats::Heartbeats;
use super::ledger::Group;
use super::limit::Bucket;
use super::meters::Meters;
use super::peers::Peers;
use super::{Error, Token};
use crate::codec;
use crate::rendezvous::Rendezvous;
use crate::replica::{Committed, Handle, Machine, Network, Role, Status};
use crate::settings::Settings;
use crate::state::{Command, Outcome, Refusal, Store};

/// Time for a proposal to be committed and applied.
/// The replica gives up after 5 s and then knows more about the outcome than this limit tells.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for the leader to answer a read. Operators ask the next instance after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Shared state of one control instance.
#[derive(Debug)]
pub struct Instance {
    /// Settings, checked.
    pub settings: Settings,
    /// Token of the operators.
    pub token: Token,
    /// Metrics of the process.
    pub meters: Meters,
    /// The other control instances.
    pub peers: Peers,
    /// Heartbeats on their way to the leader.
    pub beats: Batcher<Heartbeat, Registered>,
    /// Ledger groups by number.
    pub ledgers: Vec<Arc<Group>>,
    /// Set once the number of ledger groups is known to be that of the fleet.
    pub ledger_checked: OnceCell<()>,
    requests: Mutex<Bucket>,
    grants: Mutex<Term>,
    failure: watch::Sender<Option<Fault>>,
    /// Connections and routes of this instance's replicas.
    pub network: Network,
    /// What this instance knows of the group's addresses while it is not a member.
    pub rendezvous: Rendezvous,
    store: Arc<RwLock<Store>>,
    versions: watch::Sender<Version>,
    heartbeats: Mutex<Heartbeats>,
    config: OnceLock<Handle>,
}

impl Instance {
    /// Creates the instance; its services are not started yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics can't be set up.
    pub fn new(settings: Settings, token: Token) -> Result<Self, Error> {
        let ledgers = 0..settings.ledger_groups;
        let configured = settings.members.iter().map(|member| member.peers);
        Ok(Self {
            peers: Peers::default(),
            ledgers: ledgers.map(|_| Arc::default()).collect(),
            ledger_checked: OnceCell::new(),
            grants: Mutex::default(),
            failure: watch::Sender::new(None),
            network: Network::default(),
            rendezvous: Rendezvous::new(configured.collect()),
            settings,
            token,
            meters: Meters::new()?,
            beats: Batcher::default(),
            requests: Mutex::new(Bucket::new(Instant::now().into_std())),
            store: Arc::default(),
            versions: watch::Sender::new(Version::ZERO),
            heartbeats: Mutex::default(),
            config: OnceLock::new(),
        })
    }

    /// Returns the replicated state as far as this instance has applied it.
    pub fn store(&self) -> RwLockReadGuard<'_, Store> {
        self.store.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the heartbeats that this instance keeps while it leads the config group.
    pub fn heartbeats(&self) -> MutexGuard<'_, Heartbeats> {
        let heartbeats = self.heartbeats.lock();
        heartbeats.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the ejection grants that this instance decides while it leads the config group.
    pub fn grants(&self) -> MutexGuard<'_, Term> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a replica has stopped by itself, so that the process must end.
    pub fn fail(&self, fault: Fault) {
        self.failure.send_replace(Some(fault));
    }

    /// Waits until a replica has stopped by itself, and returns why.
    pub async fn failed(&self) -> Fault {
        let mut failure = self.failure.subscribe();
        let failure = failure.wait_for(Option::is_some).await;
        let fault = failure.ok().and_then(|f| f.clone());
        fault.unwrap_or_else(|| Fault::new(Kind::Internal, "the instance has ended"))
    }

    /// Takes one of the requests that operators may send now; returns whether there was one.
    pub fn admit(&self) -> bool {
        let requests = self.requests.lock();
        let mut requests = requests.unwrap_or_else(PoisonError::into_inner);
        requests.take(Instant::now().into_std())
    }

    /// Returns a receiver of the applied version.
    pub fn versions(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Returns the state machine of the config group over this instance's state.
    pub fn machine(&self) -> Machine {
        let (applied, saved) = (Arc::clone(&self.store), Arc::clone(&self.store));
        let restored = Arc::clone(&self.store);
        let (after_apply, after_restore) = (self.versions.clone(), self.versions.clone());
        let announce = |versions: &watch::Sender<Version>, version: Version| {
            versions.send_if_modified(|v| std::mem::replace(v, version) != version);
        };
        Machine {
            apply: Box::new(move |committed: Committed<'_>| {
                let mut store = applied.write().unwrap_or_else(PoisonError::into_inner);
                let result = store.apply(committed);
                announce(&after_apply, store.state().version);
                result
            }),
            save: Box::new(move || saved.read().unwrap_or_else(PoisonError::into_inner).save()),
            restore: Box::new(move |snapshot| {
                let mut store = restored.write().unwrap_or_else(PoisonError::into_inner);
                store.restore(snapshot)?;
                announce(&after_restore, store.state().version);
                Ok(())
            }),
        }
    }

    /// Sets the running replica of the config group.
    pub fn set_config(&self, handle: Handle) {
        // The service that starts the replica runs once, so that the cell is empty.
        let _ = self.config.set(handle);
    }

    /// Returns the replica of the config group.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] before the replica has started.
    pub fn config(&self) -> Result<&Handle, Fault> {
        let missing = || Fault::new(Kind::NoQuorum, "the replica has not started yet");
        self.config.get().ok_or_else(missing)
    }

    /// Returns what this instance knows of the config group, `None` before its replica has started.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        self.config.get().map(Handle::status)
    }

    /// Returns whether this instance is out of contact with a quorum.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.status().is_none_or(|s| !s.quorum)
    }

    /// Returns whether the applied state was confirmed by a quorum since this instance has started.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.config.get().is_some_and(Handle::is_confirmed)
    }

    /// Returns the term in which this instance leads the config group with a quorum behind it.
    #[must_use]
    pub fn leads(&self) -> Option<u64> {
        let status = self.status()?;
        (status.role == Role::Leader && status.quorum).then_some(status.term)
    }

    /// Returns whether this instance leads the config group and no other one can.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        self.config.get().is_some_and(Handle::lease)
    }

    /// Returns the names and addresses of the control instances: the members of the config group, else the first voters.
    #[must_use]
    pub fn controls(&self) -> BTreeMap<String, SocketAddr> {
        let members = self.config.get().map(Handle::members).unwrap_or_default();
        if members.members.is_empty() {
            let voters = self.settings.members.iter();
            return voters.map(|v| (v.control.to_string(), v.peers)).collect();
        }
        let members = members.members.iter();
        members.map(|m| (m.name.clone(), m.address)).collect()
    }

    /// Returns the internal addresses of the members of the config group as far as this instance knows them.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let joined = self.config.get().map(Handle::members);
        if joined.is_some_and(|members| !members.members.is_empty()) {
            return self.controls().into_values().collect();
        }
        self.rendezvous.members()
    }

    /// Returns [`Instance::addresses`], or none when a later membership may be in force.
    #[must_use]
    pub fn fresh_addresses(&self) -> Vec<SocketAddr> {
        if self.is_stale() {
            return self.rendezvous.fresh_members();
        }
        self.addresses()
    }

    /// Proposes a command of the config group.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when it was certainly not appended and [`Kind::ChangeUnconfirmed`] when that is not known.
    pub async fn propose<A: DeserializeOwned>(&self, command: &Command) -> Result<A, Fault> {
        let proposed = self.config()?.propose(codec::encode(command));
        let unconfirmed = |_| Fault::new(Kind::ChangeUnconfirmed, "not committed in time");
        let result = timeout(PROPOSE_TIMEOUT, proposed).await;
        codec::decode(&result.map_err(unconfirmed)??)
    }

    /// Applies a change of the configuration.
    ///
    /// What this instance already knows to be refused is not proposed. It may lag behind, so that everything else is
    /// checked when the change is applied.
    ///
    /// # Errors
    ///
    /// Returns the refusal with its kind.
    pub async fn change(&self, change: Change) -> Outcome {
        let outcome = self.decide(change).await;
        let refused = |refusal: &Refusal| refusal.fault.kind.answer().code;
        self.meters.change(match &outcome {
            Ok(_) => "accepted",
            Err(refusal) => refused(refusal),
        });
        outcome
    }

    async fn decide(&self, change: Change) -> Outcome {
        {
            let store = self.store();
            match store.check(&change) {
                Ok(Some(first)) => return Ok(first),
                Ok(None) => {
                    let checked = store.state().document.check(&change.edits);
                    checked.map_err(|e| Fault::new(Kind::InvalidChange, e.to_string()))?;
                }
                Err(refusal) if change.expected <= store.changed() => return Err(refusal),
                Err(refusal) if refusal.fault.kind == Kind::InvalidChange => return Err(refusal),
                Err(_) => {}
            }
        }
        self.propose::<Outcome>(&Command::Change(change)).await?
    }

    /// Replaces the route table; returns the label in force.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidChange`], [`Kind::VersionConflict`], or as [`Instance::propose`] does.
    pub async fn publish(&self, publication: Publication) -> Result<u64, Fault> {
        // An invalid document stays invalid, so that it needs no place in the log.
        let checked = publication.table();
        checked.map_err(|e| Fault::new(Kind::InvalidChange, e.to_string()))?;
        let command = Command::Publish(publication);
        self.propose::<Result<u64, Fault>>(&command).await?
    }

    /// Returns the operator's route document, confirmed to be the newest.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when that can't be confirmed, and [`Kind::NotFound`] before the first publication.
    pub async fn read_published(&self) -> Result<Vec<u8>, Fault> {
        if !self.has_lease() {
            let read = self.call_leader("leader/published", &(), READ_TIMEOUT);
            return read.await;
        }
        self.own_published()
    }

    /// Returns the operator's route document while this instance is certainly the leader.
    ///
    /// # Errors
    ///
    /// As [`Instance::read_published`].
    pub fn own_published(&self) -> Result<Vec<u8>, Fault> {
        let store = self.store();
        // The lease is checked after the state is locked, so that no later leader can have committed anything newer.
        if !self.has_lease() {
            let context = "this instance can't be sure to have the newest state";
            return Err(Fault::new(Kind::NoQuorum, context));
        }
        let missing = || Fault::new(Kind::NotFound, "nothing was published yet");
        store
            .published()
            .source()
            .map(<[u8]>::to_vec)
            .ok_or_else(missing)
    }

    /// Registers an event of a worker; returns once it is committed, or at once when it changes nothing.
    ///
    /// # Errors
    ///
    /// As [`Instance::propose`].
    pub async fn record_worker_event(&self, event: Event) -> Result<(), Fault> {
        if !self.is_stale() && !self.store().state().roster.is_news(&event) {
            return Ok(());
        }
        let version: Version = self.propose(&Command::Workers(vec![event])).await?;
        spdlog::debug!("registered workers at version {version}");
        Ok(())
    }

    /// Calls the leader of the config group.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when no leader is known or it can't be reached.
    pub async fn call_leader<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, Fault> {
        let unknown = || Fault::new(Kind::NoQuorum, "no leader of the config group is known");
        let leader = self.status().and_then(|s| s.leader).ok_or_else(unknown)?;
        if leader == self.settings.control.as_str() {
            let context = "this instance leads, but has no quorum yet";
            return Err(Fault::new(Kind::NoQuorum, context));
        }
        let missing = || Fault::new(Kind::NoQuorum, format!("address of {leader} is not known"));
        let address = *self.controls().get(&leader).ok_or_else(missing)?;
        self.peers.call(address, path, message, limit).await
    }
}
