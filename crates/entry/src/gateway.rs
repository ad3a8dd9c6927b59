//! Gateway: routes callers' requests by host and path to workers that are registered with the control group.
//!
//! A request passes through the modules in one direction: [`listener`] accepts its connection, [`connection`] receives it,
//! [`inbound`] parses it,
//! [`credentials`] authenticates it,
//! [`dispatcher`] admits it and chooses a worker, [`attempt`] exchanges it with the worker, and [`relay`] relays the
//! response.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_model::control::State;
use chestnutvalve_model::id::{Incarnation, Service, Worker};
use chestnutvalve_model::routes::{Kind, Route};
use chestnutvalve_model::version::Version;
use chestnutvalve_routing::bandwidth::Link;
use chestnutvalve_routing::quota::Bounds as QuotaBounds;
use chestnutvalve_routing::retry::{Bounds, Place};
use chestnutvalve_routing::schedule::Spec;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock;
use crate::instance::Instance;
use crate::pool::Pool;

pub mod assignment;
pub mod attempt;
pub mod charge;
pub mod connection;
pub mod coordinator;
pub mod credentials;
pub mod dialect;
pub mod dispatcher;
pub mod inbound;
pub mod listener;
pub mod memory;
pub mod observation;
pub mod proxy;
pub mod quota;
pub mod relay;
pub mod report;
pub mod zones;

use coordinator::{Contacts, Reservations};
pub use dialect::Dialect;
use dispatcher::Dispatcher;
use memory::Memory;
use observation::Observation;
use quota::Quota;
use relay::SharedLink;
use report::ReportSender;

/// Maximum number of idle connections to one worker: two for each of the two slots that workers usually have.
const MAX_IDLE_PER_WORKER: usize = 4;

/// Default retry budget of the fleet: a tenth of the requests, and ten more in ten seconds.
const DEFAULT_RETRY_BUDGET: Bounds = Bounds {
    ratio: 0.1,
    slack: 10.0,
    window: Duration::from_secs(10),
};
/// Default share of a service's workers that must stay in use.
const DEFAULT_FLOOR_SHARE: f64 = 0.7;
/// Share of the fleet's budget that the entries use. Time windows slide, and callers may still use an entry that is no
/// longer assigned to them.
const LOCAL_BUDGET_FACTOR: f64 = 0.85;

/// Settings of the gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names and formats of the headers.
    pub dialect: Dialect,
    /// Retries of requests for one service that all entries together may make.
    pub retry_budget: Bounds,
    /// Share of a service's workers that must stay in use, 0 to 1, however many failed recently.
    pub floor_share: f64,
    /// What is tolerated beyond the limits of customers.
    pub quota: QuotaBounds,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            dialect: Dialect::default(),
            retry_budget: DEFAULT_RETRY_BUDGET,
            floor_share: DEFAULT_FLOOR_SHARE,
            quota: QuotaBounds::default(),
        }
    }
}

/// Peer addresses of entries.
type Addresses = Arc<BTreeSet<SocketAddr>>;
/// Values that are derived from the state for each service, each with the version of the state.
type Cache<T> = Mutex<HashMap<Service, (Version, T)>>;

/// The gateway of one entry.
#[derive(Debug)]
pub struct Gateway {
    /// The entry that runs the gateway.
    pub instance: Arc<Instance>,
    /// Settings that the entry was started with.
    pub settings: Settings,
    /// Connection pool for workers.
    pub pool: Arc<Pool>,
    dispatchers: Mutex<HashMap<Service, Arc<Dispatcher>>>,
    /// Version of the state to which the dispatchers are updated.
    synced: Mutex<Option<Version>>,
    /// Accumulated weights by route and service, for an even distribution over the services of a split.
    splits: Mutex<HashMap<String, Vec<f64>>>,
    next_id: AtomicU64,
    observations: mpsc::Sender<Observation>,
    /// Queue of attempt outcomes for coordinators.
    pub reports: ReportSender,
    /// Reservations granted to other entries, and their queued requests.
    pub reservations: Reservations,
    /// Which coordinators have answered recently.
    pub contacts: Contacts,
    /// Permits for requests of customers with a limit.
    pub quota: Arc<Quota>,
    /// Entries that may coordinate a service, cached for a version of the state.
    coordinators: Cache<Arc<Vec<SocketAddr>>>,
    /// Bytes that are held for the callers' connections.
    pub memory: Arc<Memory>,
    /// Link of the entry, if it is so narrow that downloads can fill it.
    link: Option<SharedLink>,
    /// Entries that may coordinate a service in any zone, cached for a version of the state.
    all_coordinators: Cache<Addresses>,
    /// Incarnations of the entries by peer address, cached for a version of the state.
    incarnations: Cache<Arc<HashMap<SocketAddr, Incarnation>>>,
    /// Entries that serve a service, cached for a version of the state.
    serving_entries: Cache<Addresses>,
    /// Time by which a stopping entry must have answered all requests.
    answer_by: watch::Sender<Option<Instant>>,
    /// When the process started.
    started: Instant,
}

impl Gateway {
    /// Creates the gateway of an entry. Evidence about workers for other entries is sent to `observations`, and attempt
    /// outcomes for coordinators to `reports`.
    #[must_use]
    pub fn new(
        instance: &Arc<Instance>,
        settings: Settings,
        observations: mpsc::Sender<Observation>,
        reports: ReportSender,
    ) -> Self {
        Self {
            observations,
            reports,
            reservations: Reservations::default(),
            contacts: Contacts::default(),
            quota: Arc::new(Quota::new(instance, settings.quota)),
            coordinators: Mutex::default(),
            memory: Arc::new(Memory::new(instance.settings.memory_mb, &instance.meters)),
            link: shared_link(instance.settings.link_mbps),
            all_coordinators: Mutex::default(),
            incarnations: Mutex::default(),
            serving_entries: Mutex::default(),
            answer_by: watch::Sender::new(None),
            started: Instant::now(),
            instance: Arc::clone(instance),
            settings,
            pool: Arc::new(Pool::new(MAX_IDLE_PER_WORKER)),
            dispatchers: Mutex::default(),
            synced: Mutex::default(),
            splits: Mutex::default(),
            // A random start keeps entries from distributing their requests in the same way.
            next_id: AtomicU64::new(rand::random()),
        }
    }

    /// Sets the time by which the stopping entry must have answered all requests.
    pub fn set_answer_by(&self, time: Instant) {
        self.answer_by.send_replace(Some(time));
    }

    /// Returns the time by which the entry must have answered all requests, if it is stopping.
    #[must_use]
    pub fn answer_by(&self) -> Option<Instant> {
        *self.answer_by.borrow()
    }

    /// Waits until the time by which the stopping entry must have answered all requests.
    pub async fn wait_for_answer_by(&self) {
        let mut times = self.answer_by.subscribe();
        // The sender lives as long as the gateway.
        if let Ok(time) = times.wait_for(Option::is_some).await.map(|time| *time)
            && let Some(time) = time
        {
            sleep_until(time).await;
        }
    }

    /// Returns the link whose bandwidth the responses on routes of this kind share.
    #[must_use]
    pub fn link(&self, kind: Kind) -> Option<&SharedLink> {
        self.link.as_ref().filter(|_| kind == Kind::Download)
    }

    /// Returns a request id that is unique at this entry.
    pub fn next_request_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the dispatcher of a service, and creates it for the first request.
    #[must_use]
    pub fn dispatcher(&self, service: &Service) -> Arc<Dispatcher> {
        let mut dispatchers = self
            .dispatchers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(dispatcher) = dispatchers.get(service) {
            return Arc::clone(dispatcher);
        }
        let zone = self.instance.settings.zone.clone();
        let state = self.instance.control_state.current();
        let mut initial = self.retry_budget(service);
        if self.joined_running_fleet(&state) {
            initial.slack = 0.0;
        }
        let dispatcher = Dispatcher::new(service.clone(), zone, initial, self.observations.clone());
        self.sync_dispatcher(&state, &dispatcher);
        let dispatcher = Arc::new(dispatcher);
        dispatchers.insert(service.clone(), Arc::clone(&dispatcher));
        dispatcher
    }

    /// Returns the dispatchers of all services that have had requests.
    #[must_use]
    pub fn dispatchers(&self) -> Vec<Arc<Dispatcher>> {
        let dispatchers = self.dispatchers.lock();
        let dispatchers = dispatchers.unwrap_or_else(PoisonError::into_inner);
        dispatchers.values().cloned().collect()
    }

    /// Returns the peer addresses of the entries that serve a service.
    #[must_use]
    pub fn serving_entries(&self, service: &Service) -> Addresses {
        self.cached(&self.serving_entries, service, |state| {
            Arc::new(observation::serving_entries(state, service))
        })
    }

    /// Returns the peer addresses of the entries that may coordinate a service in this zone, in order of preference.
    #[must_use]
    pub fn coordinators(&self, service: &Service) -> Arc<Vec<SocketAddr>> {
        let zone = &self.instance.settings.zone;
        self.cached(&self.coordinators, service, |state| {
            Arc::new(coordinator::coordinators(state, service, zone))
        })
    }

    /// Returns the peer addresses of the entries that dispatch requests to the workers of a service.
    #[must_use]
    pub fn dispatching_entries(&self, service: &Service) -> Addresses {
        let coordinators = self.all_coordinators(service);
        if coordinators.is_empty() {
            self.serving_entries(service)
        } else {
            coordinators
        }
    }

    /// Returns the peer addresses of the entries that may coordinate a service in any zone.
    fn all_coordinators(&self, service: &Service) -> Addresses {
        self.cached(&self.all_coordinators, service, |state| {
            Arc::new(coordinator::coordinators_of_all_zones(state, service))
        })
    }

    /// Returns the id of the part of a service's retry budget at an entry. A restarted process has a new part.
    fn budget_part(&self, service: &Service, entry: SocketAddr) -> u64 {
        let parts = self.cached(&self.incarnations, service, |state| {
            let members = state.directory.members.values();
            Arc::new(members.map(|m| (m.peers, m.incarnation)).collect())
        });
        let own = self.instance.member();
        let incarnation = if entry == own.peers {
            Some(&own.incarnation)
        } else {
            parts.get(&entry)
        };
        let incarnation = incarnation.map_or(0, |i| i.0);
        xxh3_64_with_seed(entry.to_string().as_bytes(), incarnation)
    }

    /// Returns a value that is derived from the state for a service, computed once for each version of the state.
    fn cached<T: Clone>(
        &self,
        cache: &Cache<T>,
        service: &Service,
        derive: impl FnOnce(&State) -> T,
    ) -> T {
        let state = self.instance.control_state.current();
        let mut cache = cache.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((version, value)) = cache.get(service)
            && *version == state.version
        {
            return value.clone();
        }
        let value = derive(&state);
        cache.insert(service.clone(), (state.version, value.clone()));
        value
    }

    /// Returns whether this entry is the coordinator of a service in its zone.
    fn is_coordinator(&self, service: &Service) -> bool {
        self.coordinators(service).first() == Some(&self.instance.member().peers)
    }

    /// Returns the share of its zone's workers that this entry must keep in use, if it coordinates the service there.
    fn floor_share(&self, service: &Service) -> Option<f64> {
        self.is_coordinator(service)
            .then_some(self.settings.floor_share)
    }

    /// Returns the number of entries that dispatch requests to the workers of a service: one per zone where there are
    /// coordinators.
    fn dispatching_entry_count(&self, service: &Service) -> u32 {
        let entries = if self.is_coordinator(service) {
            self.zone_count()
        } else {
            self.serving_entries(service).len()
        };
        u32::try_from(entries).unwrap_or(u32::MAX).max(1)
    }

    fn zone_count(&self) -> usize {
        let state = self.instance.control_state.current();
        let zones: BTreeSet<_> = state.directory.members.values().map(|m| &m.zone).collect();
        zones.len()
    }

    /// Returns this entry's part of the retry budget of a service. Whoever counts a request earns its proportional share.
    /// The fixed number is divided among the coordinators, if there are any, and the entries that are assigned to its hosts.
    fn retry_budget(&self, service: &Service) -> Bounds {
        let serving_entries = self.serving_entries(service);
        let own = self.instance.member().peers;
        let serving = serving_entries
            .contains(&own)
            .then(|| serving_entries.len());
        let share = if self.all_coordinators(service).is_empty() {
            let entries = serving.map(|count| u32::try_from(count).unwrap_or(u32::MAX));
            entries.map_or(0.0, |count| 1.0 / f64::from(count))
        } else {
            let place = Place {
                zones: self.zone_count(),
                coordinator: self.coordinators(service).iter().position(|c| *c == own),
                serving,
            };
            place.share()
        };
        let Bounds {
            ratio,
            slack,
            window,
        } = self.settings.retry_budget;
        Bounds {
            ratio: ratio * LOCAL_BUDGET_FACTOR,
            slack: slack * LOCAL_BUDGET_FACTOR * share,
            window,
        }
    }

    /// Updates all dispatchers with the registered workers, if the state has changed. A request that waited for the
    /// first routes may run before [`follow_state`] has seen them, so that requests call this too.
    pub fn sync(&self) {
        let mut synced = self.synced.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.instance.control_state.current();
        if synced.replace(state.version) == Some(state.version) {
            return;
        }
        self.quota.tick();
        let dispatchers = self
            .dispatchers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for dispatcher in dispatchers.values() {
            self.sync_dispatcher(&state, dispatcher);
        }
    }

    fn sync_dispatcher(&self, state: &State, dispatcher: &Dispatcher) {
        let service = &dispatcher.service;
        dispatcher.set_pooled(!self.coordinators(service).is_empty());
        dispatcher.sync(
            &registrations(state, service),
            self.retry_budget(service),
            self.dispatching_entry_count(service),
            self.floor_share(service),
        );
    }

    /// Returns whether this process started within the last window of the retry budget, and others before it: an
    /// earlier process of this entry may have spent its fixed number of retries in the window.
    fn joined_running_fleet(&self, state: &State) -> bool {
        let window = self.settings.retry_budget.window;
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        let own = self.instance.incarnation.0;
        let mut members = state.directory.members.values();
        self.started.elapsed() < window
            && members.any(|m| m.incarnation.0.saturating_add(window_ms) < own)
    }

    /// Dispatches or refuses queued requests that are due, for all services.
    pub fn tick(&self) {
        self.quota.tick();
        let dispatchers = self
            .dispatchers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for dispatcher in dispatchers.values() {
            dispatcher.tick(clock::now());
        }
    }

    /// Chooses the service of a request on a route by weighted round robin: after each request, the distribution is as
    /// close to the weights as whole requests allow.
    #[must_use]
    pub fn choose_service<'a>(&self, route: &'a Route) -> Option<&'a Service> {
        if let [only] = route.split.as_slice() {
            return Some(&only.service);
        }
        let total: f64 = route.split.iter().map(|s| s.weight).sum();
        let mut splits = self.splits.lock().unwrap_or_else(PoisonError::into_inner);
        let credits = splits.entry(route.name.clone()).or_default();
        credits.resize(route.split.len(), 0.0);
        for (credit, share) in credits.iter_mut().zip(&route.split) {
            *credit += share.weight / total;
        }
        let weighted = |at: &usize| route.split[*at].weight > 0.0;
        let best = (0..credits.len()).filter(weighted);
        let best = best.max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[best] -= 1.0;
        Some(&route.split[best].service)
    }
}

/// Returns the link on which downloads are paced, if the entry's link is narrow.
fn shared_link(mbps: u32) -> Option<SharedLink> {
    (mbps < assignment::NARROW_LINK_MBPS).then(|| Arc::new(Mutex::new(Link::new(mbps))))
}

fn registrations(state: &State, service: &Service) -> BTreeMap<Worker, dispatcher::Registration> {
    let workers = state.roster.workers.values();
    let workers = workers.filter(|w| w.service == *service && !w.leaving);
    let registration = |w: &chestnutvalve_model::upstream::Announcement| {
        let spec = Spec {
            incarnation: w.incarnation,
            zone: w.zone.clone(),
            slots: w.slots,
            warm_up: Duration::from_millis(w.warm_up_ms),
        };
        (
            w.worker.clone(),
            dispatcher::Registration {
                spec,
                address: w.address,
            },
        )
    };
    workers.map(registration).collect()
}

/// Follows the state and updates the dispatchers until dropped.
pub async fn follow_state(gateway: Arc<Gateway>) {
    let mut states = gateway.instance.control_state.subscribe();
    while states.changed().await.is_ok() {
        states.borrow_and_update();
        gateway.sync();
    }
}
