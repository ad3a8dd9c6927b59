//! State that the services of a control instance share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use chestnutvalve_model::config::Change;
use chestnutvalve_model::control::{Heartbeat, HeartbeatReply, State};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::routes::Publication;
use chestnutvalve_model::upstream::Event;
use chestnutvalve_model::version::Version;
use chestnutvalve_storage::Disk;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{OnceCell, watch};
use tokio::time::{Instant, timeout};

use super::batcher::Batcher;
use super::grants::TermGrants;
use super::heartbeats::Heartbeats;
use super::ledger::Group;
use super::limit::TokenBucket;
use super::meters::Meters;
use super::peers::Peers;
use super::watch::OpenPolls;
use super::{Error, Token};
use crate::codec;
use crate::rendezvous::Rendezvous;
use crate::replica::{CommittedCommand, Handle, Network, Role, StateMachine, Status};
use crate::settings::Settings;
use crate::state::{Command, Outcome, Refusal, Store};

/// Timeout of a proposal. The replica gives up earlier, after 5 s, and its fault says more about the outcome than this
/// timeout could.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout of a read at the leader. Operators try the next instance after 1 s.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Shared state of one control instance.
#[derive(Debug)]
pub struct Instance {
    /// Validated settings.
    pub settings: Settings,
    /// Token of the operators.
    pub token: Token,
    /// Metrics of the process.
    pub meters: Meters,
    /// Clients of the other control instances.
    pub peers: Peers,
    /// Batches heartbeats on their way to the leader.
    pub heartbeat_batcher: Batcher<Heartbeat, HeartbeatReply>,
    /// Ledger groups by number.
    pub ledgers: Vec<Arc<Group>>,
    /// Set once the configured number of ledger groups is confirmed to be that of the fleet.
    pub group_count_confirmed: OnceCell<()>,
    requests: Mutex<TokenBucket>,
    grants: Mutex<TermGrants>,
    failure: watch::Sender<Option<Fault>>,
    /// Connections and inboxes of this instance's replicas.
    pub network: Network,
    /// Polls of watchers that wait for a change.
    pub open_polls: OpenPolls,
    /// Addresses of the group, used while this instance is not a member.
    pub rendezvous: Rendezvous,
    store: Arc<RwLock<Store>>,
    versions: watch::Sender<Version>,
    heartbeats: Mutex<Heartbeats>,
    config: RwLock<Option<Handle>>,
    disk: OnceLock<Disk>,
}

impl Instance {
    /// Creates the instance without starting its services.
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
            group_count_confirmed: OnceCell::new(),
            grants: Mutex::default(),
            failure: watch::Sender::new(None),
            network: Network::default(),
            open_polls: OpenPolls::default(),
            rendezvous: Rendezvous::new(configured.collect()),
            settings,
            token,
            meters: Meters::new()?,
            heartbeat_batcher: Batcher::default(),
            requests: Mutex::new(TokenBucket::new(Instant::now().into_std())),
            store: Arc::default(),
            versions: watch::Sender::new(Version::ZERO),
            heartbeats: Mutex::default(),
            config: RwLock::default(),
            disk: OnceLock::new(),
        })
    }

    /// Returns the replicated state as applied by this instance.
    pub fn store(&self) -> RwLockReadGuard<'_, Store> {
        self.store.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the heartbeats that this instance receives while it leads the config group.
    pub fn heartbeats(&self) -> MutexGuard<'_, Heartbeats> {
        let heartbeats = self.heartbeats.lock();
        heartbeats.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the ejection grants that this instance makes while it leads the config group.
    pub fn grants(&self) -> MutexGuard<'_, TermGrants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports that a replica stopped by itself, after which the process must end.
    pub fn report_failure(&self, fault: Fault) {
        self.failure.send_replace(Some(fault));
    }

    /// Waits until a replica stops by itself and returns the reason.
    pub async fn wait_for_failure(&self) -> Fault {
        let mut failure = self.failure.subscribe();
        let failure = failure.wait_for(Option::is_some).await;
        let fault = failure.ok().and_then(|f| f.clone());
        fault.unwrap_or_else(|| Fault::new(Kind::Internal, "the instance was dropped"))
    }

    /// Returns whether the rate limit admits one more operator request now, and counts it.
    pub fn admit_request(&self) -> bool {
        let requests = self.requests.lock();
        let mut requests = requests.unwrap_or_else(PoisonError::into_inner);
        requests.try_take(Instant::now().into_std())
    }

    /// Returns a receiver that follows the applied version.
    pub fn versions(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Returns the state machine of the config group, which updates this instance's state.
    pub fn state_machine(&self) -> StateMachine {
        let (applied, saved) = (Arc::clone(&self.store), Arc::clone(&self.store));
        let restored = Arc::clone(&self.store);
        let (after_apply, after_restore) = (self.versions.clone(), self.versions.clone());
        let publish_version = |versions: &watch::Sender<Version>, version: Version| {
            versions.send_if_modified(|v| std::mem::replace(v, version) != version);
        };
        StateMachine {
            check: Box::new(Store::check),
            apply: Box::new(move |committed: CommittedCommand<'_>| {
                let mut store = applied.write().unwrap_or_else(PoisonError::into_inner);
                let result = store.apply(committed);
                publish_version(&after_apply, store.state().version);
                result
            }),
            save: Box::new(move || saved.read().unwrap_or_else(PoisonError::into_inner).save()),
            restore: Box::new(move |snapshot| {
                let mut store = restored.write().unwrap_or_else(PoisonError::into_inner);
                store.restore(snapshot)?;
                publish_version(&after_restore, store.state().version);
                Ok(())
            }),
        }
    }

    /// Sets the disk operations that the replicas use. Has an effect only before the services start.
    pub fn set_disk(&self, disk: Disk) {
        let _ = self.disk.set(disk);
    }

    /// Returns the disk operations that the replicas use.
    pub(super) fn disk(&self) -> Disk {
        self.disk.get_or_init(Disk::default).clone()
    }

    /// Sets the replica of the config group once it is running.
    pub fn set_config(&self, handle: Handle) {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        *config = Some(handle);
    }

    /// Discards the replicated state, of which a replica that joins anew knows nothing.
    pub fn clear_store(&self) {
        let mut store = self.store.write().unwrap_or_else(PoisonError::into_inner);
        *store = Store::default();
    }

    fn running_config(&self) -> Option<Handle> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        config.clone()
    }

    /// Returns the replica of the config group.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] before the replica has started.
    pub fn config(&self) -> Result<Handle, Fault> {
        let missing = || Fault::new(Kind::NoQuorum, "the replica has not started yet");
        self.running_config().ok_or_else(missing)
    }

    /// Returns the status of the config group at this instance, or `None` before its replica has started.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        self.running_config().as_ref().map(Handle::status)
    }

    /// Returns whether this instance has no contact with a quorum of the config group, or applies its log late.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        !self
            .running_config()
            .as_ref()
            .is_some_and(Handle::is_current)
    }

    /// Returns whether the applied state was confirmed by a quorum since this instance started.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.running_config()
            .as_ref()
            .is_some_and(Handle::is_confirmed)
    }

    /// Returns the term in which this instance leads the config group with a quorum, or `None` when it does not.
    #[must_use]
    pub fn leading_term(&self) -> Option<u64> {
        let status = self.status()?;
        (status.role == Role::Leader && status.quorum).then_some(status.term)
    }

    /// Returns whether this instance leads the config group with a lease, so that no other instance can.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        self.running_config()
            .as_ref()
            .is_some_and(Handle::has_lease)
    }

    /// Returns the addresses of the control instances by name: the members of the config group, or the initial voters before
    /// it has joined.
    #[must_use]
    pub fn control_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let config = self.running_config();
        let members = config.as_ref().map(Handle::members).unwrap_or_default();
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
        let joined = self.running_config().as_ref().map(Handle::members);
        if joined.is_some_and(|members| !members.members.is_empty()) {
            return self.control_addresses().into_values().collect();
        }
        self.rendezvous.members()
    }

    /// Returns [`Instance::addresses`] unless a later membership may be in force; then only recently announced ones.
    #[must_use]
    pub fn fresh_addresses(&self) -> Vec<SocketAddr> {
        if self.is_stale() {
            return self.rendezvous.fresh_members();
        }
        self.addresses()
    }

    /// Proposes a command to the config group and returns its decoded result.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when the command was definitely not appended, and [`Kind::ChangeUnconfirmed`] when its
    /// outcome is unknown.
    pub async fn propose<A: DeserializeOwned>(&self, command: &Command) -> Result<A, Fault> {
        let config = self.config()?;
        let proposed = config.propose(codec::encode(command));
        let unconfirmed = |_| Fault::new(Kind::ChangeUnconfirmed, "not committed in time");
        let result = timeout(PROPOSE_TIMEOUT, proposed).await;
        codec::decode(&result.map_err(unconfirmed)??)
    }

    /// Applies a configuration change.
    ///
    /// A change that this instance can already refuse is not proposed. The instance may lag behind, so everything else is
    /// checked when the change is applied.
    ///
    /// # Errors
    ///
    /// Returns the refusal; its fault has the same kinds as [`Instance::propose`] when the proposal fails.
    pub async fn change(&self, change: Change) -> Outcome {
        let outcome = self.check_and_propose(change).await;
        let refused = |refusal: &Refusal| refusal.fault.kind.answer().code;
        self.meters.count_change(match &outcome {
            Ok(_) => "accepted",
            Err(refusal) => refused(refusal),
        });
        outcome
    }

    async fn check_and_propose(&self, change: Change) -> Outcome {
        {
            let store = self.store();
            match store.check_change(&change) {
                Ok(Some(first)) => return Ok(first),
                Ok(None) => {
                    let checked = store.state().document.check(&change.edits);
                    checked.map_err(|e| Fault::new(Kind::InvalidChange, e.to_string()))?;
                }
                Err(refusal) if change.expected <= store.config_version() => return Err(refusal),
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
        // An invalid document is invalid in any state, so it does not have to be logged.
        let checked = publication.table().map(drop);
        let too_long = publication.too_long().into_iter().next();
        let checked = checked.and(too_long.map_or(Ok(()), Err));
        checked.map_err(|e| Fault::new(Kind::InvalidChange, e.to_string()))?;
        let command = Command::Publish(publication);
        self.propose::<Result<u64, Fault>>(&command).await?
    }

    /// Returns the operator's route document, confirmed to be the latest.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when the document can't be confirmed to be the latest, and [`Kind::NotFound`] before the
    /// first publication.
    pub async fn read_published(&self) -> Result<Vec<u8>, Fault> {
        if !self.has_lease() {
            let read = self.call_leader("leader/published", &(), READ_TIMEOUT);
            return read.await;
        }
        self.read_published_as_leader()
    }

    /// Returns the operator's route document if this instance is the leader and holds the lease.
    ///
    /// # Errors
    ///
    /// As [`Instance::read_published`].
    pub fn read_published_as_leader(&self) -> Result<Vec<u8>, Fault> {
        let store = self.store();
        // The lease is checked after the state is locked, so that no later leader can have committed a newer document.
        if !self.has_lease() {
            let context = "this instance does not hold the lease to confirm the latest state";
            return Err(Fault::new(Kind::NoQuorum, context));
        }
        let missing = || Fault::new(Kind::NotFound, "no route document was published yet");
        store
            .published()
            .source()
            .map(<[u8]>::to_vec)
            .ok_or_else(missing)
    }

    /// Records a registration or departure of a worker; returns once it is committed, or immediately when it is known to
    /// change nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRequest`] for an invalid announcement, otherwise as [`Instance::propose`] does.
    pub async fn record_worker_event(&self, event: Event) -> Result<(), Fault> {
        let checked = event.check();
        checked.map_err(|e| Fault::new(Kind::BadRequest, e.to_string()))?;
        if !self.is_stale() && self.is_recorded(&event) {
            return Ok(());
        }
        let version: Version = self.propose(&Command::Workers(vec![event])).await?;
        spdlog::debug!("worker event committed at version {version}");
        Ok(())
    }

    /// Returns whether an event of a worker is known to change nothing. This instance may lag behind, so that it ignores the end of a
    /// worker only if that is recorded.
    fn is_recorded(&self, event: &Event) -> bool {
        let store = self.store();
        let State { roster, routes, .. } = store.state();
        if event.ends_worker() {
            roster.records_end(event)
        } else {
            !roster.would_change(event, routes)
        }
    }

    /// Calls the leader of the config group and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when no leader is known or it can't be reached.
    pub async fn call_leader<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, Fault> {
        let unknown = || Fault::new(Kind::NoQuorum, "no leader of the config group is known");
        let leader = self.status().and_then(|s| s.leader).ok_or_else(unknown)?;
        if leader == self.settings.control.as_str() {
            let context = "this instance leads, but has no contact with a quorum yet";
            return Err(Fault::new(Kind::NoQuorum, context));
        }
        let missing = || Fault::new(Kind::NoQuorum, format!("address of {leader} is not known"));
        let address = *self.control_addresses().get(&leader).ok_or_else(missing)?;
        self.peers.call(address, path, message, timeout).await
    }
}
