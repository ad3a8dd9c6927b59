//! Startup and graceful shutdown of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::service::Failure;
use chestnutvalve_kernel::{Registry, Service, Shutdown};
use chestnutvalve_model::config::Target;
use chestnutvalve_wire::Server;
use poem::listener::{Acceptor, Listener};
use tokio::net::TcpListener;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::clock;
use crate::gateway::{self, Gateway};
use crate::instance::Instance;
use crate::settings::{Advertise, Settings};
use crate::{callers, control_client, eject, peers, platform};

/// Interval at which queues, proofs and idle connections are checked for expiry.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Time beyond the lifetime of address responses for the drain to reach control instances and callers.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a stopping gateway still accepts connections: callers cache an address response for up to 2 s, and the
/// drain takes a moment to reach them.
const GATEWAY_DRAIN_DELAY: Duration = Duration::from_secs(3);
/// Time limit after [`GATEWAY_DRAIN_DELAY`] for the requests in progress. The sum stays below the 6 s after which a process
/// is killed.
const GATEWAY_FINISH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time before the end of [`GATEWAY_FINISH_TIMEOUT`] at which the requests still in progress are answered, so that the answers
/// reach the callers.
const GATEWAY_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Interval at which the gateway's queues are checked. Each response already advances a queue; the tick covers workers that
/// recover and requests that expire.
const GATEWAY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Error of the startup or the shutdown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listening address can't be bound.
    #[error("listening on {address} for {purpose}: {cause}")]
    Listen {
        /// Interface that the listener serves.
        purpose: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The metrics exporter can't be set up.
    #[error(transparent)]
    Metrics(#[from] chestnutvalve_telemetry::metrics::Error),
    /// A service failed to start or to stop.
    #[error(transparent)]
    Service(#[from] chestnutvalve_kernel::registry::Error),
}

/// A running entry instance.
#[derive(Debug)]
pub struct Daemon {
    instance: Arc<Instance>,
    gateway: Arc<Gateway>,
    registry: Registry,
}

impl Daemon {
    /// Binds the listeners and starts all services, with the default settings of the gateway.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be opened.
    pub async fn start(settings: Settings, shutdown: Shutdown) -> Result<Self, Error> {
        Self::start_with(settings, gateway::Settings::default(), shutdown, |_| {
            Vec::new()
        })
        .await
    }

    /// Binds the listeners and starts all services, including those that `extra_services` creates for the instance.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be opened.
    pub async fn start_with(
        settings: Settings,
        gateway: gateway::Settings,
        shutdown: Shutdown,
        extra_services: impl FnOnce(&Arc<Instance>) -> Vec<Service>,
    ) -> Result<Self, Error> {
        let listen = |purpose, address| {
            move |cause| Error::Listen {
                purpose,
                address,
                cause,
            }
        };
        let (callers_address, platform_address, peers_address) =
            (settings.callers, settings.platform, settings.peers);
        let callers = TcpListener::bind(callers_address).await;
        let callers = callers.map_err(listen("callers", callers_address))?;
        let platform = poem::listener::TcpListener::bind(platform_address.to_string());
        let platform = platform.into_acceptor().await;
        let platform = platform.map_err(listen("platform", platform_address))?;
        let peers = Server::bind(peers_address).await;
        let peers = peers.map_err(listen("peers", peers_address))?;
        let gateway_listener = match settings.gateway {
            Some(address) => {
                let bound = gateway::listener::bind(address, settings.memory_mb);
                Some(bound.map_err(listen("gateway", address))?)
            }
            None => None,
        };
        let bound = Advertise {
            callers: callers.local_addr().unwrap_or(callers_address),
            gateway: gateway_listener
                .as_ref()
                .and_then(|gateway_listener| gateway_listener.local_addr().ok()),
            platform: platform
                .local_addr()
                .first()
                .and_then(|a| a.as_socket_addr().copied())
                .unwrap_or(platform_address),
            peers: peers.address().unwrap_or(peers_address),
        };
        let advertise = settings.advertise.unwrap_or(bound);
        let instance = Arc::new(Instance::new(settings, advertise, shutdown)?);
        let mut registry = Registry::default();
        let (observations, observations_receiver) =
            mpsc::channel(gateway::observation::MAX_QUEUED_OBSERVATIONS);
        let (reports, reports_receiver) = mpsc::channel(gateway::report::MAX_QUEUED_REPORTS);
        let gateway = Arc::new(Gateway::new(&instance, gateway, observations, reports));
        registry.register(Service::background("peers", {
            let router = peers::router(&instance);
            let router = gateway::coordinator::add_routes(
                gateway::observation::add_routes(router, &gateway),
                &gateway,
            );
            let router = gateway::quota::add_routes(router, &gateway.quota);
            let router = gateway::zones::add_routes(router, &gateway);
            async move { peers.serve(router).await }
        }))?;
        registry.register(platform_service(&instance, platform))?;
        registry.register(Service::background(
            "watch",
            control_client::watch(Arc::clone(&instance)),
        ))?;
        registry.register(Service::background(
            "pulls",
            peers::pull_digests(Arc::clone(&instance)),
        ))?;
        registry.register(Service::background(
            "ejections",
            eject::run(Arc::clone(&instance)),
        ))?;
        registry.register(Service::background(
            "housekeeping",
            housekeeping(Arc::clone(&instance)),
        ))?;
        registry.register(Service::background(
            "heartbeats",
            control_client::heartbeats(Arc::clone(&instance)),
        ))?;
        for service in extra_services(&instance) {
            registry.register(service)?;
        }
        registry.register(callers_service(&instance, callers))?;
        if let Some(listener) = gateway_listener {
            for service in
                gateway_services(&gateway, listener, observations_receiver, reports_receiver)
            {
                registry.register(service)?;
            }
        }
        registry.start().await?;
        let entry = &instance.settings.entry;
        spdlog::info!("entry {entry} serves callers on {}", bound.callers);
        Ok(Self {
            instance,
            gateway,
            registry,
        })
    }

    /// Returns the shared state of the instance.
    #[must_use]
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Returns the gateway of the instance.
    #[must_use]
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Waits for the shutdown signal, then finishes all requests in progress.
    ///
    /// # Errors
    ///
    /// Returns the first service that failed to stop.
    pub async fn run(mut self) -> Result<(), Error> {
        self.instance.shutdown.requested().await;
        spdlog::info!("shutting down");
        self.registry.stop().await?;
        spdlog::info!("all requests have finished");
        // Without this call the directory lists the instance until its membership expires.
        control_client::leave(&self.instance).await;
        Ok(())
    }
}

fn platform_service(instance: &Arc<Instance>, acceptor: impl Acceptor + 'static) -> Service {
    let routes = platform::routes(Arc::clone(instance));
    Service::background("platform", async move {
        let server = poem::Server::new_with_acceptor(acceptor);
        if let Err(error) = server.run(routes).await {
            spdlog::error!("platform listener: {error}");
        }
    })
}

/// Creates the service of the callers' listener, which stops before all services but the gateway's. Its stop lasts as long as
/// the requests in progress.
fn callers_service(instance: &Arc<Instance>, listener: TcpListener) -> Service {
    let (stop, stopped) = oneshot::channel::<()>();
    let task: Arc<Mutex<Option<JoinHandle<()>>>> = Arc::default();
    let started = Arc::clone(&task);
    let serving_instance = Arc::clone(instance);
    let draining_instance = Arc::clone(instance);
    Service::new("callers", Arc::clone(instance))
        .on_start(move || async move {
            let stop = async {
                let _ = stopped.await;
            };
            let run = callers::serve(serving_instance, listener, stop);
            *started.lock().await = Some(tokio::spawn(run));
            Ok(())
        })
        .on_stop(move || async move {
            // The gateway, if there is one, stops first and has already waited for the callers.
            if !draining_instance.is_draining() {
                draining_instance.drain();
                sleep(drain_delay(&draining_instance)).await;
            }
            let _ = stop.send(());
            if let Some(task) = task.lock().await.take() {
                task.await.map_err(|e| Failure(e.to_string()))?;
            }
            draining_instance.tasks.wait_until_empty().await;
            Ok(())
        })
}

/// Creates the services of the gateway: its listener, which stops before all other services, and its maintenance task.
fn gateway_services(
    gateway: &Arc<Gateway>,
    listener: TcpListener,
    observations: mpsc::Receiver<gateway::observation::Observation>,
    reports: mpsc::Receiver<(SocketAddr, gateway::report::Report)>,
) -> [Service; 2] {
    let (stop, stopped) = oneshot::channel::<()>();
    let task: Arc<Mutex<Option<JoinHandle<()>>>> = Arc::default();
    let started = Arc::clone(&task);
    let stopping_gateway = Arc::clone(gateway);
    let serving_gateway = Arc::clone(gateway);
    let gateway = Arc::clone(gateway);
    let listener = Service::new("gateway", Arc::clone(&gateway))
        .on_start(move || async move {
            let stop = async {
                let _ = stopped.await;
            };
            let run = gateway::listener::serve(serving_gateway, listener, stop);
            *started.lock().await = Some(tokio::spawn(run));
            Ok(())
        })
        .on_stop(move || async move {
            let end = Instant::now() + GATEWAY_DRAIN_DELAY + GATEWAY_FINISH_TIMEOUT;
            stopping_gateway.set_answer_by(end - GATEWAY_ANSWER_MARGIN);
            stopping_gateway.instance.drain();
            sleep(GATEWAY_DRAIN_DELAY).await;
            let _ = stop.send(());
            if let Some(task) = task.lock().await.take() {
                if let Ok(ended) = timeout(GATEWAY_FINISH_TIMEOUT, task).await {
                    ended.map_err(|e| Failure(e.to_string()))?;
                } else {
                    spdlog::warn!(
                        "connections of callers are still open at the shutdown timeout; closing them"
                    );
                }
            }
            Ok(())
        });
    let maintenance = async move {
        let follow = gateway::follow_state(Arc::clone(&gateway));
        let share = gateway::observation::forward(Arc::clone(&gateway), observations);
        let report = gateway::report::forward(Arc::clone(&gateway.instance), reports);
        let summarize = gateway::zones::exchange(Arc::clone(&gateway));
        let ticks = async {
            let mut ticks = interval(GATEWAY_TICK_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                gateway.tick();
                gateway.reservations.expire();
                gateway.pool.close_idle();
            }
        };
        let enforce = gateway.memory.enforce(&gateway.instance.meters);
        tokio::join!(follow, share, report, summarize, ticks, enforce);
    };
    [Service::background("gateway upkeep", maintenance), listener]
}

/// Returns the time for which callers may still use an address response from before the drain.
fn drain_delay(instance: &Instance) -> Duration {
    let state = instance.control_state.current();
    let service_ttl = |service_state: Arc<crate::service::ServiceState>| {
        let target = Target {
            service: &service_state.name,
            path: None,
            method: None,
            customer: None,
        };
        state.document.resolve(&target).address_ttl_ms
    };
    let services = instance.services.all().into_iter().map(service_ttl);
    let max_ttl_ms = services.max().unwrap_or(0);
    let max_ttl_ms = max_ttl_ms.max(state.document.defaults.address_ttl_ms);
    Duration::from_millis(max_ttl_ms.into()) + DRAIN_MARGIN
}

async fn housekeeping(instance: Arc<Instance>) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = clock::now();
        instance.registry().expire(now);
        instance.sync_all();
        instance.services.remove_unused(now);
        instance.worker_pool.close_idle();
        instance.entry_pool.close_idle();
    }
}
