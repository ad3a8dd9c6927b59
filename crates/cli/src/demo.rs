//! Demo: a control instance, an entry instance and an example worker as services of one process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_bench::worker;
use chestnutvalve_control::daemon;
use chestnutvalve_control::settings::{Settings, Voter};
use chestnutvalve_entry::{Daemon, Settings as EntrySettings};
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_kernel::{Registry, Service, Shutdown, shutdown};
use chestnutvalve_model::id::{Control, Entry, Zone};
use chestnutvalve_telemetry::log::{self, Threshold};
use clap::ArgMatches;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::{Error, output};

/// Name of the service that the example worker provides.
pub const SERVICE: &str = "example";
/// Time for which the example worker keeps serving after it starts to leave. Entries stop sending to it within 3 s.
const WORKER_DRAIN_TIME: Duration = Duration::from_millis(3_200);

/// Listener addresses of the demo.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    platform: SocketAddr,
    peers: SocketAddr,
    control: SocketAddr,
    operators: SocketAddr,
}

impl Addresses {
    fn new(base: u16) -> Self {
        let at = |offset| SocketAddr::from(([127, 0, 0, 1], base + offset));
        Self {
            callers: at(1),
            platform: at(101),
            peers: at(201),
            control: at(401),
            operators: at(501),
        }
    }
}

/// Runs the demo until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`Error::Failed`] when a service can't be started or stopped.
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Failed(e.to_string());
    log::install("demo", Threshold::Warn).map_err(|e| failed(&e))?;
    let base: Option<&u16> = matches.get_one("port-base");
    let addresses = Addresses::new(base.copied().unwrap_or(7_000));
    let temporary = tempfile::tempdir().map_err(|e| failed(&e))?;
    let data_argument: Option<&PathBuf> = matches.get_one("data");
    let data = data_argument.map_or(temporary.path(), PathBuf::as_path);
    let token = data.join("token");
    write_token(&token).map_err(|e| failed(&e))?;
    let mut registry = Registry::default();
    let control = control_settings(addresses, data, &token)?;
    daemon::register(&mut registry, control).map_err(|e| failed(&e))?;
    let entry = entry_settings(addresses)?;
    for service in [entry_service(entry), worker_service(addresses)] {
        registry.register(service).map_err(|e| failed(&e))?;
    }
    registry.start().await.map_err(|e| failed(&e))?;
    output::print(&instructions(addresses, &token))?;
    let signal = shutdown::signal_received().await;
    output::print("stopping; requests in progress are finished\n")?;
    registry.stop().await.map_err(|e| failed(&e))?;
    signal.map_err(|e| failed(&e))
}

fn write_token(path: &Path) -> std::io::Result<()> {
    use std::io::Write as _;
    use std::os::unix::fs::OpenOptionsExt as _;
    if let Some(directory) = path.parent() {
        std::fs::create_dir_all(directory)?;
    }
    let mut options = std::fs::OpenOptions::new();
    let options = options.create(true).truncate(true).write(true);
    let mut file = options.mode(0o600).open(path)?;
    writeln!(file, "{:032x}", rand::random::<u128>())
}

fn checked_name<T, E: std::fmt::Display>(result: Result<T, E>) -> Result<T, Error> {
    result.map_err(|e| Error::Failed(e.to_string()))
}

fn control_settings(addresses: Addresses, data: &Path, token: &Path) -> Result<Settings, Error> {
    let control = checked_name(Control::new("c1"))?;
    let voter = Voter {
        control: control.clone(),
        peers: addresses.control,
    };
    Ok(Settings {
        control,
        zone: checked_name(Zone::new("demo"))?,
        peers: addresses.control,
        operators: addresses.operators,
        data: data.join("c1"),
        token_file: Some(token.to_owned()),
        members: vec![voter],
        voter: true,
        voters: 1,
        succession_ms: chestnutvalve_control::settings::DEFAULT_SUCCESSION_MS,
        ledger_groups: 1,
        log: Threshold::Warn,
    })
}

fn entry_settings(addresses: Addresses) -> Result<EntrySettings, Error> {
    Ok(EntrySettings {
        entry: checked_name(Entry::new("e1"))?,
        zone: checked_name(Zone::new("demo"))?,
        callers: addresses.callers,
        gateway: None,
        link_mbps: chestnutvalve_entry::settings::DEFAULT_LINK_MBPS,
        memory_mb: None,
        apply_limit_ms: chestnutvalve_entry::settings::DEFAULT_APPLY_LIMIT_MS,
        platform: addresses.platform,
        peers: addresses.peers,
        advertise: None,
        control: vec![addresses.control],
        peers_hint: Vec::new(),
        log: Threshold::Warn,
    })
}

/// Handle of a task that ends after a shutdown request, once it was started.
type Task<T> = Arc<Mutex<Option<JoinHandle<Result<(), T>>>>>;

async fn shut_down<T: std::fmt::Display>(shutdown: Shutdown, task: Task<T>) -> Result<(), Failure> {
    shutdown.request();
    let Some(task) = task.lock().await.take() else {
        return Ok(());
    };
    let result = task.await.map_err(|e| Failure(e.to_string()))?;
    result.map_err(|e| Failure(e.to_string()))
}

fn entry_service(settings: EntrySettings) -> Service {
    let shutdown = Shutdown::default();
    let task: Task<chestnutvalve_entry::daemon::Error> = Arc::default();
    let (task_shutdown, started_task) = (shutdown.clone(), Arc::clone(&task));
    Service::new("entry", Arc::new(()))
        .on_start(move || async move {
            let daemon = Daemon::start(settings, task_shutdown).await;
            let daemon = daemon.map_err(|e| Failure(e.to_string()))?;
            *started_task.lock().await = Some(tokio::spawn(daemon.run()));
            Ok(())
        })
        .on_stop(move || shut_down(shutdown, task))
}

fn worker_service(addresses: Addresses) -> Service {
    let shutdown = Shutdown::default();
    let task: Task<chestnutvalve_bench::Error> = Arc::default();
    let (task_shutdown, started_task) = (shutdown.clone(), Arc::clone(&task));
    let settings = worker::Settings {
        service: SERVICE.to_owned(),
        zone: "demo".to_owned(),
        entries: vec![addresses.platform],
        drain: WORKER_DRAIN_TIME,
        ..worker::Settings::default()
    };
    Service::new("worker", Arc::new(()))
        .on_start(move || async move {
            let bound = worker::bind(settings).await;
            let bound = bound.map_err(|e| Failure(e.to_string()))?;
            *started_task.lock().await = Some(tokio::spawn(async move {
                bound.run(task_shutdown).await;
                Ok(())
            }));
            Ok(())
        })
        .on_stop(move || shut_down(shutdown, task))
}

fn instructions(addresses: Addresses, token: &Path) -> String {
    let Addresses {
        callers,
        platform,
        operators,
        ..
    } = addresses;
    let token = token.display();
    format!(
        "\
One control instance, one entry instance and one worker of the service {SERVICE:?} run in this process.
Send a request:    curl -H 'chestnutvalve-service: {SERVICE}' http://{callers}/hello
Ask for addresses: curl 'http://{callers}/_chestnutvalve/addresses?service={SERVICE}'
See the entry:     curl http://{platform}/v1/status
See the fleet:     chestnutvalve --control {operators} status
Change it:         chestnutvalve --control {operators} --token-file {token} config apply --set timeout_ms=2000 --author me --reason demo --wait
Stop it:           Ctrl-C
"
    )
}
