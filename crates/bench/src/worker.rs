//! Stand-in worker process.
//!
//! A worker has a fixed number of slots and sheds requests that exceed them. It counts its executions, so that tests can
//! check the responses of callers against them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use chestnutvalve_kernel::Shutdown;

use crate::error::{Error, loopback};

pub mod announce;
pub mod counts;
pub mod fault;
pub mod serve;

pub use counts::Counts;
pub use fault::Fault;

/// Maximum time for requests in progress to end after the drain time.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(30);

/// Identity of a worker and its behavior without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the service that the worker serves.
    pub service: String,
    /// Name, unique within the service.
    pub worker: String,
    /// Availability zone.
    pub zone: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to announce instead of the bound one, for example that of a forwarder.
    pub advertise: Option<SocketAddr>,
    /// Platform addresses of the entries to announce at. Empty for a worker that is only called directly.
    pub entries: Vec<SocketAddr>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of open connections. Further ones are closed when accepted.
    pub connections: u32,
    /// Typical service time.
    pub service_time: Duration,
    /// Share of requests with the service time of the tail, in percent.
    pub tail_percent: f64,
    /// Service time of the tail.
    pub tail_service_time: Duration,
    /// Time after the start during which requests take longer: three times as long at first, then linearly less.
    pub warm_up: Duration,
    /// Share of requests that fail at random, in percent.
    pub error_percent: f64,
    /// Minimum time between the start of leaving and the exit.
    pub drain: Duration,
    /// Seed of the random numbers. Also selects the first entry to announce at.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: "service".into(),
            worker: "w1".into(),
            zone: "zone".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            entries: Vec::new(),
            slots: 2,
            connections: 450,
            service_time: Duration::from_millis(5),
            tail_percent: 1.0,
            tail_service_time: Duration::from_millis(50),
            warm_up: Duration::ZERO,
            error_percent: 0.0,
            drain: Duration::from_millis(3_500),
            seed: 1,
        }
    }
}

/// State shared between the server and the announcer of a worker.
#[derive(Debug)]
pub struct Worker {
    settings: Settings,
    incarnation: u64,
    address: SocketAddr,
    slots: Arc<Semaphore>,
    started: Instant,
    fault: Mutex<(Fault, Instant)>,
    counts: Mutex<Counts>,
    leaving_since: Mutex<Option<Instant>>,
    /// Platform addresses of the service's owners, with the home owner first.
    owners: Mutex<Vec<SocketAddr>>,
    rng: Mutex<StdRng>,
}

/// Locks a mutex and ignores poisoning: the data stays valid if a holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    fn requests_in_progress(&self) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        self.settings.slots.saturating_sub(free)
    }

    /// Returns when the worker started to leave, `None` before that.
    fn leaving_since(&self) -> Option<Instant> {
        *lock(&self.leaving_since)
    }
}

/// A worker that listens but does not yet announce itself or accept requests.
#[derive(Debug)]
pub struct Bound {
    worker: Arc<Worker>,
    listener: TcpListener,
    address: SocketAddr,
}

/// Binds the listener of a worker.
///
/// # Errors
///
/// Returns an error if the address is not on the loopback network or is in use.
pub async fn bind(settings: Settings) -> Result<Bound, Error> {
    let listen = loopback(settings.listen)?;
    let listener = TcpListener::bind(listen).await;
    let listener = listener.map_err(Error::io(format!("listening on {listen}")))?;
    let address = listener
        .local_addr()
        .map_err(Error::io("reading the address of the listener"))?;
    let since_epoch = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    let worker = Arc::new(Worker {
        // Milliseconds since the epoch increase from one start of a worker to the next.
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        address: settings.advertise.unwrap_or(address),
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        started: Instant::now(),
        fault: Mutex::new((Fault::default(), Instant::now())),
        counts: Mutex::default(),
        leaving_since: Mutex::default(),
        owners: Mutex::default(),
        rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
        settings,
    });
    Ok(Bound {
        worker,
        listener,
        address,
    })
}

impl Bound {
    /// Returns the address that the worker listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs the worker until shutdown is requested and it has drained. Returns its counts.
    pub async fn run(self, shutdown: Shutdown) -> Counts {
        let worker = self.worker;
        let server = tokio::spawn(accept_connections(self.listener, Arc::clone(&worker)));
        let announcer = tokio::spawn(announce::run(Arc::clone(&worker)));
        shutdown.requested().await;
        *lock(&worker.leaving_since) = Some(Instant::now());
        announcer.abort();
        announce::withdraw(&worker).await;
        tokio::time::sleep(worker.settings.drain).await;
        let all_slots = worker.slots.acquire_many(worker.settings.slots);
        let _ = tokio::time::timeout(MAX_DRAIN_TIME, all_slots).await;
        server.abort();
        lock(&worker.counts).clone()
    }
}

async fn accept_connections(listener: TcpListener, worker: Arc<Worker>) {
    let connection_permits = Arc::new(Semaphore::new(worker.settings.connections as usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let worker = Arc::clone(&worker);
        tokio::spawn(async move {
            let _permit = permit;
            let pause: Arc<Mutex<serve::Pause>> = Arc::default();
            let service = hyper::service::service_fn(move |request| {
                let (worker, pause) = (Arc::clone(&worker), Arc::clone(&pause));
                async move { serve::handle(worker, &pause, request).await }
            });
            let server = auto::Builder::new(TokioExecutor::new());
            // Errors of a connection affect only its client.
            let _ = server.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}
