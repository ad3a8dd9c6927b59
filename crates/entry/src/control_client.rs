//! Client of the control instances: watch of the state, heartbeats and calls to any reachable instance.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use chestnutvalve_model::control::{Heartbeat, HeartbeatReply, Rate, State, Update, Watch};
use chestnutvalve_model::version::Version;
use chestnutvalve_wire::{Client, Error, KeepAlive, Traffic};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::clock;
use crate::instance::Instance;

pub mod backoff;

use backoff::Backoff;

/// Maximum time that a control instance holds a watch open.
///
/// Together with [`WATCH_MARGIN`] it bounds the time until an instance is abandoned that responds to pings but not to the
/// watch. A silent connection is replaced earlier, within the limit of the settings.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Time that the response to a watch may take beyond [`WATCH_WAIT`].
const WATCH_MARGIN: Duration = Duration::from_secs(1);
/// Delay before an instance that responds at once without an update is polled again.
const REPEATED_POLL_DELAY: Duration = Duration::from_millis(200);
/// Interval between heartbeats; a member expires after 5 s without one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for one heartbeat at one control instance.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the call by which a stopping instance leaves the directory.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a peer entry to send the state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum rate at which a service is reported, in requests per second, so that idle services cause no control traffic.
const MIN_REPORTED_RATE: u32 = 20;
/// Maximum number of control instances that one heartbeat is sent to. The next heartbeat starts at the instance that is
/// current then.
const MAX_HEARTBEAT_ATTEMPTS: usize = 2;
/// Maximum number of services that one heartbeat reports.
const MAX_REPORTED_RATES: usize = 64;

/// Error of a watch at an instance without quorum, after which the next instance is tried.
const NO_QUORUM: &str = "control instance has lost its quorum";

/// Clients of the control instances, one of which is current.
#[derive(Debug)]
pub struct ControlClient {
    /// Addresses from the settings, used until the group has reported its members and when none of those responds.
    configured: Mutex<Vec<SocketAddr>>,
    clients: RwLock<Vec<Client>>,
    keep_alive: KeepAlive,
    traffic: Arc<Traffic>,
    current: AtomicUsize,
}

impl ControlClient {
    /// Creates the clients and starts at a random instance, so that entries spread over all of them.
    #[must_use]
    pub fn new(control: &[SocketAddr], keep_alive: KeepAlive, traffic: &Arc<Traffic>) -> Self {
        let start = rand::random_range(0..control.len().max(1));
        let client = Self {
            configured: Mutex::new(control.to_vec()),
            clients: RwLock::default(),
            keep_alive,
            traffic: Arc::clone(traffic),
            current: AtomicUsize::new(start),
        };
        client.set_members(control);
        client
    }

    /// Replaces the addresses from the settings and adds them to the known members.
    pub fn set_configured(&self, control: &[SocketAddr]) {
        control.clone_into(&mut self.configured());
        self.add_configured();
    }

    fn configured(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        let configured = self.configured.lock();
        configured.unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the configured addresses to the known members.
    fn add_configured(&self) {
        let mut all = self.addresses();
        let configured = self.configured().clone();
        for address in configured {
            if !all.contains(&address) {
                all.push(address);
            }
        }
        self.set_members(&all);
    }

    /// Replaces the control instances with the members that the group has reported; known ones keep their connections. An
    /// empty list is ignored.
    pub fn set_members(&self, members: &[SocketAddr]) {
        let mut clients = self.clients.write().unwrap_or_else(PoisonError::into_inner);
        let same = members.len() == clients.len()
            && members
                .iter()
                .all(|m| clients.iter().any(|c| c.peer() == *m));
        if members.is_empty() || same {
            return;
        }
        let current = clients.get(self.current() % clients.len().max(1));
        let current = current.map(Client::peer);
        let kept = |address: &SocketAddr| clients.iter().find(|c| c.peer() == *address).cloned();
        let opened = |address: &SocketAddr| {
            let client = Client::new(*address).with_traffic(&self.traffic);
            client.with_keep_alive(self.keep_alive)
        };
        let next = members.iter().map(|m| kept(m).unwrap_or_else(|| opened(m)));
        *clients = next.collect();
        if let Some(at) = members.iter().position(|m| Some(*m) == current) {
            self.current.store(at, Ordering::Relaxed);
        }
    }

    fn clients(&self) -> Vec<Client> {
        let clients = self.clients.read();
        clients.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the addresses of the control instances that are tried in turn.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.clients().iter().map(Client::peer).collect()
    }

    /// Returns the number of control instances that are tried in turn.
    fn count(&self) -> usize {
        let clients = self.clients.read();
        clients.unwrap_or_else(PoisonError::into_inner).len().max(1)
    }

    fn client_at(&self, index: usize) -> Option<Client> {
        let clients = self.clients.read();
        let clients = clients.unwrap_or_else(PoisonError::into_inner);
        clients.get(index % clients.len().max(1)).cloned()
    }

    fn current(&self) -> usize {
        self.current.load(Ordering::Relaxed)
    }

    /// Makes the instance after `index` current, unless another task has already done so.
    fn advance_past(&self, index: usize) {
        let next = (index + 1) % self.count();
        let _ = self
            .current
            .compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Calls the current control instance, and after an error the others in turn.
    ///
    /// # Errors
    ///
    /// Returns the error of the last instance called.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, Error> {
        self.call_some(path, message, timeout, usize::MAX).await
    }

    /// Calls the current control instance, and after an error up to `attempts - 1` others in turn.
    async fn call_some<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
        attempts: usize,
    ) -> Result<A, Error> {
        let first = self.current();
        let mut outcome = Err(Error::Malformed("no control instance is configured"));
        for offset in 0..self.count().min(attempts) {
            let Some(client) = self.client_at(first + offset) else {
                break;
            };
            outcome = client.call(path, message, timeout).await;
            if outcome.is_ok() {
                break;
            }
        }
        outcome
    }
}

/// Watches the replicated state and keeps it in force until dropped.
pub async fn watch(instance: Arc<Instance>) {
    let mut failures = 0;
    let mut backoff = Backoff::default();
    let mut lost_at: Option<Instant> = None;
    let mut watched = None;
    let mut last_cause = String::new();
    loop {
        let index = instance.control.current();
        let address = instance.control.client_at(index).map(|c| c.peer());
        match poll_watch(&instance, index, failures).await {
            Ok(()) => {
                failures = 0;
                backoff.reset();
                if watched != address {
                    watched = address;
                    let cause = std::mem::take(&mut last_cause);
                    spdlog::info!("watching a control instance", kv: {address:?, left: = cause});
                }
                if let Some(lost_at) = lost_at.take() {
                    let lost_ms = lost_at.elapsed().as_millis();
                    spdlog::info!("watch at a control instance restored", kv: {lost_ms});
                }
            }
            Err(cause) => {
                spdlog::debug!("watch: {cause}");
                last_cause.clone_from(&cause);
                instance.control.advance_past(index);
                failures += 1;
                if failures % instance.control.count() == 0 {
                    if lost_at.is_none() {
                        lost_at = Some(Instant::now());
                        let asked = instance.control.addresses();
                        spdlog::warn!("no control instance serves the watch", kv: {asked:?, cause});
                    }
                    instance.control.add_configured();
                    fetch_from_peers(&instance).await;
                    sleep(backoff.next_delay(rand::random())).await;
                }
            }
        }
    }
}

/// Polls one control instance for updates, after `failures` others have failed in turn.
async fn poll_watch(instance: &Instance, index: usize, failures: usize) -> Result<(), String> {
    let client = instance
        .control
        .client_at(index)
        .ok_or("no control instance is configured")?;
    let mut message = Watch {
        entry: instance.settings.entry.clone(),
        incarnation: instance.incarnation,
        have: instance.control_state.version(),
        services: None,
        wait_ms: u32::try_from(WATCH_WAIT.as_millis()).unwrap_or(u32::MAX),
    };
    let mut sent_at = Instant::now();
    let mut asked_at = clock::now_with_suspension();
    let limit = WATCH_WAIT + WATCH_MARGIN;
    let mut update: Result<Update, Error> = client.call("config/watch", &message, limit).await;
    if let Err(Error::Connection { .. }) = update {
        // The instance may be well although the connection to it was lost or went silent. It then answers at once.
        message.wait_ms = 0;
        sent_at = Instant::now();
        asked_at = clock::now_with_suspension();
        update = client.call("config/watch", &message, WATCH_MARGIN).await;
    }
    let update = update.map_err(|e| e.to_string())?;
    let version = update.version;
    instance.control.set_members(&update.controls);
    let others = instance.control.count() - 1;
    if update.stale && message.have == Version::ZERO && failures < others {
        // Other instances may have a later state.
        return Err(NO_QUORUM.to_owned());
    }
    let adopted = instance.control_state.adopt(update.content);
    if adopted.map_err(|e| e.to_string())? {
        spdlog::info!("state {version} is in force");
    } else if !update.stale && sent_at.elapsed() < WATCH_WAIT / 10 {
        // An instance that responds at once without an update has an older state than this entry.
        sleep(REPEATED_POLL_DELAY).await;
        if version < message.have {
            return Err(format!(
                "control instance is at {version}, which is behind this entry"
            ));
        }
    }
    if update.stale {
        return Err(NO_QUORUM.to_owned());
    }
    if version >= instance.control_state.version() {
        instance.control_state.confirm(asked_at);
    }
    Ok(())
}

/// Fetches the state from a peer entry when this instance has none.
async fn fetch_from_peers(instance: &Instance) {
    if instance.control_state.version() > Version::ZERO {
        return;
    }
    for peer in &instance.settings.peers_hint {
        let client = instance.peers.client(*peer);
        let state: Result<State, Error> = client.call("config/fetch", &(), FETCH_TIMEOUT).await;
        let adopted = match state {
            Ok(state) => instance
                .control_state
                .replace(state)
                .map_err(|e| e.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match adopted {
            Ok(true) => {
                let version = instance.control_state.version();
                spdlog::warn!("no control instance is reachable; state {version} is from {peer}");
                return;
            }
            Ok(false) => {}
            Err(cause) => spdlog::warn!("state from peer {peer}: {cause}"),
        }
    }
}

/// Sends heartbeats until dropped; the first one joins the directory.
pub async fn heartbeats(instance: Arc<Instance>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // A drain must be announced before the next tick.
            () = instance.heartbeat_due.notified() => {}
        }
        heartbeat(&instance).await;
    }
}

async fn heartbeat(instance: &Instance) {
    let in_force = clock::now().saturating_duration_since(instance.control_state.in_force_since());
    let message = Heartbeat {
        member: instance.member(),
        in_force: instance.control_state.version(),
        in_force_ms: u64::try_from(in_force.as_millis()).unwrap_or(u64::MAX),
        rates: rates(instance),
    };
    let call = instance.control.call_some(
        "directory/heartbeat",
        &message,
        HEARTBEAT_TIMEOUT,
        MAX_HEARTBEAT_ATTEMPTS,
    );
    let total = HEARTBEAT_TIMEOUT * 3;
    match timeout(total, call).await {
        Ok(Ok(HeartbeatReply::Accepted)) => {}
        Ok(Ok(HeartbeatReply::Superseded)) => {
            spdlog::error!("a later incarnation of this instance is running; shutting down");
            instance.shutdown.request();
        }
        Ok(Err(error)) => spdlog::debug!("heartbeat: {error}"),
        Err(_) => spdlog::debug!("heartbeat: no control instance responded in time"),
    }
}

/// Returns the request rates of the busiest services; the others need no more owners than configured.
fn rates(instance: &Instance) -> Vec<Rate> {
    let now = clock::now();
    let all = instance.services.all().into_iter();
    let mut rates: Vec<Rate> = all
        .map(|service_state| Rate {
            per_second: service_state.rate(now),
            service: service_state.name.clone(),
        })
        .filter(|rate| rate.per_second >= MIN_REPORTED_RATE)
        .collect();
    rates.sort_unstable_by_key(|rate| Reverse(rate.per_second));
    rates.truncate(MAX_REPORTED_RATES);
    rates
}

/// Removes the instance from the directory; if no control instance responds, its membership expires.
pub async fn leave(instance: &Instance) {
    let member = (instance.settings.entry.clone(), instance.incarnation);
    let call = instance
        .control
        .call("directory/leave", &member, LEAVE_TIMEOUT);
    match timeout(LEAVE_TIMEOUT, call).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => spdlog::debug!("leaving the directory: {error}"),
        Err(_) => spdlog::debug!("leaving the directory: no response in time"),
    }
}
