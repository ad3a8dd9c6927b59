//! Stand-in worker process.
//!
//! A worker has a fixed number of slots and sheds what exceeds them. It counts what it executed, so that tests compare what
//! callers were told with what ran.

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

/// Longest time for requests in progress after the drain time.
const MAX_DRAIN: Duration = Duration::from_secs(30);

/// What a worker is and how it behaves when nothing is wrong.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Service of the worker.
    pub service: String,
    /// Name of the worker.
    pub worker: String,
    /// Availability zone.
    pub zone: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to announce, when it differs from the bound one.
    pub advertise: Option<SocketAddr>,
    /// Platform addresses of entries; empty for a worker that is called directly.
    pub entries: Vec<SocketAddr>,
    /// Requests in progress at a time.
    pub slots: u32,
    /// Connections at a time.
    pub connections: u32,
    /// Typical service time.
    pub work: Duration,
    /// Share of requests with the tail's service time, in percent.
    pub tail_percent: f64,
    /// Service time of the tail.
    pub tail: Duration,
    /// Time after the start in which requests take up to three times as long.
    pub cold: Duration,
    /// Share of requests that fail at random, in percent.
    pub error_percent: f64,
    /// Shortest time between the start of leaving and the exit.
    pub drain: Duration,
    /// Seed of the random numbers.
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
            work: Duration::from_millis(5),
            tail_percent: 1.0,
            tail: Duration::from_millis(50),
            cold: Duration::ZERO,
            error_percent: 0.0,
            drain: Duration::from_millis(3_500),
            seed: 1,
        }
    }
}

/// State that the parts of a worker share.
#[derive(Debug)]
pub struct Worker {
    settings: Settings,
    incarnation: u64,
    address: SocketAddr,
    slots: Arc<Semaphore>,
    started: Instant,
    fault: Mutex<(Fault, Instant)>,
    counts: Mutex<Counts>,
    leaving: Mutex<Option<Instant>>,
    /// Platform addresses of the service's owners, home first.
    owners: Mutex<Vec<SocketAddr>>,
    random: Mutex<StdRng>,
}

/// Locks a mutex whose data stays valid when a holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    /// Returns the requests in progress.
    fn load(&self) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        self.settings.slots.saturating_sub(free)
    }

    /// Returns when the worker began to leave.
    fn left_at(&self) -> Option<Instant> {
        *lock(&self.leaving)
    }
}

/// A worker that listens but does not yet announce itself.
#[derive(Debug)]
pub struct Bound {
    worker: Arc<Worker>,
    listener: TcpListener,
    address: SocketAddr,
}

/// Listens on the worker's address.
///
/// # Errors
///
/// Returns an error when the address is not usable.
pub async fn bind(settings: Settings) -> Result<Bound, Error> {
    let listen = loopback(settings.listen)?;
    let listener = TcpListener::bind(listen).await;
    let listener = listener.map_err(Error::io(format!("listening on {listen}")))?;
    let address = listener.local_addr().map_err(Error::io("own address"))?;
    let since_epoch = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    let worker = Arc::new(Worker {
        // Milliseconds grow from one start of a worker to the next.
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        address: settings.advertise.unwrap_or(address),
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        started: Instant::now(),
        fault: Mutex::new((Fault::default(), Instant::now())),
        counts: Mutex::default(),
        leaving: Mutex::default(),
        owners: Mutex::default(),
        random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
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

    /// Runs the worker until it is told to stop and has drained; returns what it counted.
    pub async fn run(self, shutdown: Shutdown) -> Counts {
        let worker = self.worker;
        let serving = tokio::spawn(accept(self.listener, Arc::clone(&worker)));
        let renewing = tokio::spawn(announce::run(Arc::clone(&worker)));
        shutdown.requested().await;
        *lock(&worker.leaving) = Some(Instant::now());
        renewing.abort();
        announce::withdraw(&worker).await;
        tokio::time::sleep(worker.settings.drain).await;
        let idle = worker.slots.acquire_many(worker.settings.slots);
        let _ = tokio::time::timeout(MAX_DRAIN, idle).await;
        serving.abort();
        lock(&worker.counts).clone()
    }
}

async fn accept(listener: TcpListener, worker: Arc<Worker>) {
    let places = Arc::new(Semaphore::new(worker.settings.connections as usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let worker = Arc::clone(&worker);
        tokio::spawn(async move {
            let _place = place;
            let service = hyper::service::service_fn(move |request| {
                let worker = Arc::clone(&worker);
                async move { serve::handle(worker, request).await }
            });
            let server = auto::Builder::new(TokioExecutor::new());
            // Errors of a connection concern its client only.
            let _ = server.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}
