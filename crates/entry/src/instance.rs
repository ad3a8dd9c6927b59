//! Shared state of one entry instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::time::Instant;

use chestnutvalve_burn::Counters;
use chestnutvalve_kernel::Shutdown;
use chestnutvalve_membership::worker::{Announcement, Record, Registry};
use chestnutvalve_model::config::{Document, Target};
use chestnutvalve_model::control::State;
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::id::{Incarnation, Service, Worker};
use chestnutvalve_routing::placement;
use chestnutvalve_telemetry::metrics;
use chestnutvalve_wire::{KeepAlive, Traffic};
use tokio::sync::{Notify, Semaphore, watch};

use crate::clock;
use crate::control_client::ControlClient;
use crate::control_state::ControlState;
use crate::meters::Meters;
use crate::peers::{Peers, Withdrawal, push_withdrawal};
use crate::pool::Pool;
use crate::service::{Candidate, ServiceState};
use crate::services::Services;
use crate::settings::{Advertise, Settings};

/// Maximum number of requests that wait for the ledger concurrently. With a timeout of 1.5 s each, at most 680 requests
/// per second wait for an unreachable ledger.
const MAX_WAITING_CLAIMS: usize = 1_024;

/// Maximum number of idle connections to one worker. A worker that accepts 400 connections can serve 50 owners.
const MAX_IDLE_PER_WORKER: usize = 8;
/// Maximum number of idle connections to one other entry.
const MAX_IDLE_PER_ENTRY: usize = 64;

/// Shared state of one entry instance.
#[derive(Debug)]
pub struct Instance {
    /// Settings of the process.
    pub settings: Settings,
    /// Incarnation of the process: its start time in Unix milliseconds, because an entry has no disk for a counter.
    pub incarnation: Incarnation,
    /// Replicated control state in force.
    pub control_state: ControlState,
    /// Client of the control instances.
    pub control: ControlClient,
    /// Clients of the other entries.
    pub peers: Peers,
    /// Routing state of the services that were requested or registered here.
    pub services: Services,
    /// Connection pool for workers.
    pub worker_pool: Arc<Pool>,
    /// Connection pool for other entries, to which requests are forwarded.
    pub entry_pool: Arc<Pool>,
    /// Shutdown signal of the process.
    pub shutdown: Shutdown,
    /// Notified when a heartbeat must be sent before the next tick.
    pub heartbeat_due: Notify,
    /// Notified when a new suspect needs an ejection grant.
    pub grants_due: Notify,
    /// Background tasks that must finish before the process ends.
    pub tasks: TaskTracker,
    /// Metric instruments.
    pub meters: Meters,
    burn: Mutex<Counters>,
    /// Permits for requests that wait for the ledger.
    pub claim_permits: Arc<Semaphore>,
    registry: Mutex<Registry>,
    advertise: Advertise,
    draining: AtomicBool,
    attempts: AtomicU64,
}

impl Instance {
    /// Creates an instance that other processes reach at the addresses in `advertise`.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics exporter can't be set up.
    pub fn new(
        settings: Settings,
        advertise: Advertise,
        shutdown: Shutdown,
    ) -> Result<Self, metrics::Error> {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let started = since_epoch.unwrap_or_default().as_millis();
        let incarnation = Incarnation(u64::try_from(started).unwrap_or(u64::MAX));
        let traffic: Arc<Traffic> = Arc::default();
        let apply_limit = Duration::from_millis(settings.apply_limit_ms.into());
        let keep_alive = KeepAlive::within(apply_limit);
        Ok(Self {
            incarnation,
            control_state: ControlState::default(),
            control: ControlClient::new(&settings.control, keep_alive, &traffic),
            peers: Peers::new(&traffic),
            services: Services::new(settings.zone.clone()),
            worker_pool: Arc::new(Pool::new(MAX_IDLE_PER_WORKER)),
            entry_pool: Arc::new(Pool::new(MAX_IDLE_PER_ENTRY)),
            shutdown,
            heartbeat_due: Notify::new(),
            grants_due: Notify::new(),
            tasks: TaskTracker::default(),
            claim_permits: Arc::new(Semaphore::new(MAX_WAITING_CLAIMS)),
            meters: Meters::new(&traffic)?,
            burn: Mutex::new(Counters::new(clock::now())),
            registry: Mutex::new(Registry::new(settings.entry.clone(), incarnation)),
            advertise,
            draining: AtomicBool::new(false),
            attempts: AtomicU64::new(0),
            settings,
        })
    }

    /// Locks the burn rate counters.
    pub fn burn(&self) -> MutexGuard<'_, Counters> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the registry of workers. The guard must not be held across an await or together with a service's state.
    pub fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the instance is shutting down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether the instance can serve routed requests: it has a route table and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.control_state.current().routes.label > 0
    }

    /// Marks the instance as draining and triggers a heartbeat that announces it.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.heartbeat_due.notify_one();
    }

    /// Returns the directory member that describes the instance.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            entry: self.settings.entry.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            callers: self.advertise.callers,
            gateway: self.advertise.gateway,
            link_mbps: self.settings.link_mbps,
            platform: self.advertise.platform,
            peers: self.advertise.peers,
            draining: self.is_draining(),
        }
    }

    /// Returns a new id, unique among all attempts of all entries.
    #[must_use]
    pub fn next_attempt_id(&self) -> String {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let Self {
            settings,
            incarnation,
            ..
        } = self;
        format!("{}-{:x}-{number:x}", settings.entry, incarnation.0)
    }

    /// Returns the owners of a service, in placement order.
    ///
    /// While the directory is empty, before the first contact with a control instance, this instance owns every service.
    #[must_use]
    pub fn owners(&self, service: &Service) -> Arc<Vec<Member>> {
        let state = self.control_state.current();
        match self.services.get(service) {
            Some(service_state) => {
                let key = (state.version, self.is_draining());
                service_state.owners(key, || {
                    self.compute_owners(&state, &service_state.document(&state), service)
                })
            }
            None => Arc::new(self.compute_owners(&state, &state.document, service)),
        }
    }

    fn compute_owners(&self, state: &State, document: &Document, service: &Service) -> Vec<Member> {
        if state.directory.members.is_empty() {
            let sole_owner = (!self.is_draining()).then(|| self.member());
            return sole_owner.into_iter().collect();
        }
        let target = Target {
            service,
            path: None,
            method: None,
            customer: None,
        };
        let configured = document.resolve(&target).entries_per_service;
        let size = state.owners_of(service, configured);
        let owners = placement::owners(service, size, &state.directory);
        let members = owners
            .iter()
            .filter_map(|o| state.directory.members.get(o).cloned());
        // The directory records the drain later than the instance itself.
        let leaving = |m: &Member| self.is_draining() && m.entry == self.settings.entry;
        members.filter(|m| !leaving(m)).collect()
    }

    /// Returns whether this instance owns a service.
    #[must_use]
    pub fn owns(&self, service: &Service) -> bool {
        self.owners(service).iter().any(|o| self.is_self(o))
    }

    /// Returns the owners of a service other than this instance.
    #[must_use]
    pub fn other_owners(&self, service: &Service) -> Vec<Member> {
        let owners = self.owners(service);
        let others = owners.iter().filter(|o| !self.is_self(o));
        others.cloned().collect()
    }

    fn is_self(&self, member: &Member) -> bool {
        member.entry == self.settings.entry
    }

    /// Sorts the owners so that unresponsive ones come last; the order is kept otherwise.
    #[must_use]
    pub fn responsive_first(&self, mut owners: Vec<Member>) -> Vec<Member> {
        let now = clock::now();
        owners.sort_by_key(|o| self.peers.is_unresponsive(now, o.peers));
        owners
    }

    /// Returns the platform address of the owner to which a worker renews its announcement.
    #[must_use]
    pub fn home(&self, announcement: &Announcement) -> SocketAddr {
        let owners = self.owners(&announcement.service);
        let now = clock::now();
        let responsive: Vec<&Member> = owners
            .iter()
            .filter(|o| self.is_self(o) || !self.peers.is_unresponsive(now, o.peers))
            .collect();
        let home = placement::home(&announcement.worker, &announcement.zone, &responsive);
        let home = home.and_then(|home| responsive.iter().find(|o| o.entry == home).copied());
        home.map_or(self.advertise.platform, |m| m.platform)
    }

    /// Records that a worker is leaving.
    pub fn withdraw(&self, message: &Withdrawal) {
        let Withdrawal {
            service,
            worker,
            incarnation,
        } = message;
        self.registry()
            .withdraw(clock::now(), service, worker, *incarnation);
    }

    /// Records that a worker is leaving and notifies the other owners in the background.
    pub fn propagate_withdrawal(self: &Arc<Self>, message: Withdrawal) {
        self.withdraw(&message);
        let guard = self.tasks.track();
        let instance = Arc::clone(self);
        tokio::spawn(async move {
            push_withdrawal(instance, message).await;
            drop(guard);
        });
    }

    /// Applies the registered workers and the configuration to the routing state of a service.
    pub fn sync(&self, service_state: &ServiceState) {
        let now = clock::now();
        let records = self.candidates(now, &service_state.name);
        let entries = self.owners(&service_state.name).len().max(1);
        service_state.sync(now, &self.control_state.current(), records, entries);
    }

    fn candidates(&self, now: Instant, service: &Service) -> HashMap<Worker, Candidate> {
        let registry = self.registry();
        let present = registry.workers(service).into_iter().filter(|r| !r.leaving);
        let candidate = |r: &Record| Candidate {
            incarnation: r.incarnation,
            address: r.address,
            zone: r.zone.clone(),
            slots: r.slots,
            usable: registry.has_proof(now, service, &r.worker),
            load: r.load,
            first_seen: r.first_seen,
        };
        present.map(|r| (r.worker.clone(), candidate(r))).collect()
    }

    /// Applies the registered workers and the configuration to all services.
    pub fn sync_all(&self) {
        for service_state in self.services.all() {
            self.sync(&service_state);
        }
    }
}

/// Counter of running background tasks.
#[derive(Debug)]
pub struct TaskTracker(watch::Sender<usize>);

impl Default for TaskTracker {
    fn default() -> Self {
        Self(watch::Sender::new(0))
    }
}

/// Guard of one background task, which counts as running until the guard is dropped.
#[derive(Debug)]
pub struct TaskGuard(watch::Sender<usize>);

impl TaskTracker {
    /// Registers a task.
    #[must_use]
    pub fn track(&self) -> TaskGuard {
        self.0.send_modify(|n| *n += 1);
        TaskGuard(self.0.clone())
    }

    /// Waits until no task is running.
    pub async fn wait_until_empty(&self) {
        let mut receiver = self.0.subscribe();
        let _ = receiver.wait_for(|n| *n == 0).await;
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}
