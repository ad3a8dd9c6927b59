//! Start and graceful shutdown of the daemon.

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
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::clock;
use crate::gateway::{self, Gateway};
use crate::instance::Instance;
use crate::settings::{Advertise, Settings};
use crate::{callers, eject, link, peers, platform};

/// Time between two looks at queues, proofs and connections.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(100);
/// Time for control instances and callers to learn of the drain beyond the time that addresses are kept.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a stopping gateway still accepts connections: callers keep an address answer for up to 2 s and need
/// a moment to learn of the drain.
const GATEWAY_DRAIN: Duration = Duration::from_secs(3);
/// Time after that for the requests in progress. Together they stay below the 6 s after which a process is killed.
const GATEWAY_FINISH: Duration = Duration::from_millis(2_500);
/// Time between two looks at the gateway's queues. A queue moves with every response; this covers workers that come back
/// and requests whose time is up.
const GATEWAY_TICK: Duration = Duration::from_millis(50);

/// A listener that can't be opened, or a service that fails to start or stop.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listening address can't be bound.
    #[error("listening on {address} for {purpose}: {cause}")]
    Listen {
        /// Purpose of the listener.
        purpose: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The metrics can't be set up.
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
    registry: Registry,
}

impl Daemon {
    /// Opens the listeners and starts all services, with the default settings of the gateway.
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

    /// Opens the listeners and starts all services, and those that `more` builds around the instance.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be opened.
    pub async fn start_with(
        settings: Settings,
        gateway: gateway::Settings,
        shutdown: Shutdown,
        more: impl FnOnce(&Arc<Instance>) -> Vec<Service>,
    ) -> Result<Self, Error> {
        let listen = |purpose, address| {
            move |cause| Error::Listen {
                purpose,
                address,
                cause,
            }
        };
        let (for_callers, for_platform, for_peers) =
            (settings.callers, settings.platform, settings.peers);
        let callers = TcpListener::bind(for_callers).await;
        let callers = callers.map_err(listen("callers", for_callers))?;
        let platform = poem::listener::TcpListener::bind(for_platform.to_string());
        let platform = platform.into_acceptor().await;
        let platform = platform.map_err(listen("platform", for_platform))?;
        let peers = Server::bind(for_peers).await;
        let peers = peers.map_err(listen("peers", for_peers))?;
        let front = match settings.gateway {
            Some(address) => {
                let bound = TcpListener::bind(address).await;
                Some(bound.map_err(listen("gateway", address))?)
            }
            None => None,
        };
        let bound = Advertise {
            callers: callers.local_addr().unwrap_or(for_callers),
            gateway: front.as_ref().and_then(|front| front.local_addr().ok()),
            platform: platform
                .local_addr()
                .first()
                .and_then(|a| a.as_socket_addr().copied())
                .unwrap_or(for_platform),
            peers: peers.address().unwrap_or(for_peers),
        };
        let advertise = settings.advertise.unwrap_or(bound);
        let instance = Arc::new(Instance::new(settings, advertise, shutdown)?);
        let mut registry = Registry::default();
        let (observations, seen) = mpsc::channel(gateway::observation::MAX_QUEUED_OBSERVATIONS);
        let (reports, ends) = mpsc::channel(gateway::coordinator::MAX_QUEUED_REPORTS);
        let gateway = Arc::new(Gateway::new(&instance, gateway, observations, reports));
        registry.register(Service::background("peers", {
            let router = peers::router(&instance);
            let router = gateway::coordinator::add_routes(
                gateway::observation::add_routes(router, &gateway),
                &gateway,
            );
            async move { peers.serve(router).await }
        }))?;
        registry.register(platform_service(&instance, platform))?;
        registry.register(Service::background(
            "watch",
            link::watch(Arc::clone(&instance)),
        ))?;
        registry.register(Service::background(
            "pulls",
            peers::pull(Arc::clone(&instance)),
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
            link::heartbeats(Arc::clone(&instance)),
        ))?;
        for service in more(&instance) {
            registry.register(service)?;
        }
        registry.register(callers_service(&instance, callers))?;
        if let Some(listener) = front {
            for service in gateway_services(&gateway, listener, seen, ends) {
                registry.register(service)?;
            }
        }
        registry.start().await?;
        let entry = &instance.settings.entry;
        spdlog::info!("entry {entry} serves callers on {}", bound.callers);
        Ok(Self { instance, registry })
    }

    /// Returns the shared state.
    #[must_use]
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Waits for the request to shut down, then finishes all requests in progress.
    ///
    /// # Errors
    ///
    /// Returns the first service that failed to stop.
    pub async fn run(mut self) -> Result<(), Error> {
        self.instance.shutdown.requested().await;
        spdlog::info!("shutting down");
        self.registry.stop().await?;
        spdlog::info!("all requests are finished");
        // Without this message the directory names the instance until it expires.
        link::leave(&self.instance).await;
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

/// The callers' listener, which is stopped first and takes as long as the requests in progress.
fn callers_service(instance: &Arc<Instance>, listener: TcpListener) -> Service {
    let (stop, stopped) = oneshot::channel::<()>();
    let task: Arc<Mutex<Option<JoinHandle<()>>>> = Arc::default();
    let started = Arc::clone(&task);
    let serving = Arc::clone(instance);
    let draining = Arc::clone(instance);
    Service::new("callers", Arc::clone(instance))
        .on_start(move || async move {
            let stop = async {
                let _ = stopped.await;
            };
            let run = callers::serve(serving, listener, stop);
            *started.lock().await = Some(tokio::spawn(run));
            Ok(())
        })
        .on_stop(move || async move {
            // The gateway, if there is one, has waited for the callers already.
            if !draining.is_draining() {
                draining.drain();
                sleep(drain_time(&draining)).await;
            }
            let _ = stop.send(());
            if let Some(task) = task.lock().await.take() {
                task.await.map_err(|e| Failure(e.to_string()))?;
            }
            draining.jobs.finished().await;
            Ok(())
        })
}

/// The gateway's listener, which is stopped before all others, and the task that follows the registered workers.
fn gateway_services(
    gateway: &Arc<Gateway>,
    listener: TcpListener,
    seen: mpsc::Receiver<gateway::observation::Observation>,
    ends: mpsc::Receiver<(SocketAddr, gateway::coordinator::Report)>,
) -> [Service; 2] {
    let (stop, stopped) = oneshot::channel::<()>();
    let task: Arc<Mutex<Option<JoinHandle<()>>>> = Arc::default();
    let started = Arc::clone(&task);
    let draining = Arc::clone(&gateway.instance);
    let serving = Arc::clone(gateway);
    let gateway = Arc::clone(gateway);
    let listener = Service::new("gateway", Arc::clone(&gateway))
        .on_start(move || async move {
            let stop = async {
                let _ = stopped.await;
            };
            let run = gateway::listener::serve(serving, listener, stop);
            *started.lock().await = Some(tokio::spawn(run));
            Ok(())
        })
        .on_stop(move || async move {
            draining.drain();
            sleep(GATEWAY_DRAIN).await;
            let _ = stop.send(());
            if let Some(task) = task.lock().await.take() {
                if let Ok(ended) = timeout(GATEWAY_FINISH, task).await {
                    ended.map_err(|e| Failure(e.to_string()))?;
                } else {
                    spdlog::warn!("requests are still in progress; ending anyway");
                }
            }
            Ok(())
        });
    let upkeep = async move {
        let follow = gateway::follow_state(Arc::clone(&gateway));
        let share = gateway::observation::forward(Arc::clone(&gateway), seen);
        let report = gateway::coordinator::forward_reports(Arc::clone(&gateway), ends);
        let ticks = async {
            let mut ticks = interval(GATEWAY_TICK);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                gateway.tick();
                gateway.reservations.expire();
                gateway.pool.close_idle();
            }
        };
        tokio::join!(follow, share, report, ticks);
    };
    [Service::background("gateway upkeep", upkeep), listener]
}

/// Returns the time for which callers may still use an address answer from before the drain.
fn drain_time(instance: &Instance) -> Duration {
    let state = instance.follow.state();
    let service_ttl = |serving: Arc<crate::serving::Serving>| {
        let target = Target {
            service: &serving.name,
            path: None,
            method: None,
            customer: None,
        };
        state.document.resolve(&target).address_ttl_ms
    };
    let services = instance.services.all().into_iter().map(service_ttl);
    let longest = services.max().unwrap_or(0);
    let longest = longest.max(state.document.defaults.address_ttl_ms);
    Duration::from_millis(longest.into()) + DRAIN_MARGIN
}

async fn housekeeping(instance: Arc<Instance>) {
    let mut ticks = interval(HOUSEKEEPING_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = clock::now();
        instance.registry().expire(now);
        instance.sync_all();
        instance.services.forget_unused(now);
        instance.workers.close_idle();
        instance.entries.close_idle();
    }
}
