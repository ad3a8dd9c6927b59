//! Randomized fault soak over real processes.
//!
//! Faults are injected from outside the processes: forwarders on the links delay, drop or reset bytes, signals stop,
//! freeze and kill processes, which are then restarted, and workers misbehave. Faults follow each other and overlap. The
//! checks compare the responses that callers received with the executions that workers counted, and the configuration in
//! force with the changes that operators saw accepted. A seed fixes the faults and their order; the timing depends on
//! the machine.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutvalve_model::config::{Edit, Overrides};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::version::Version;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};

use crate::Error;
use crate::fleet::{Fleet, Layout, Programs, Service, layout::route, until};
use crate::forward::{Flow, Mode};
use crate::load::{self, Class, Plan};
use crate::worker::Fault as WorkerFault;

mod customers;
mod limits;
mod table;

use table::RouteTable;

const CONTROLS: usize = 3;
/// Entry instances at size 1.
const ENTRIES: usize = 3;
/// Workers at size 1.
const WORKERS: usize = 4;
const SERVICE: &str = "soak";
/// Load of idempotent requests through the service interface.
const IDEMPOTENT_LOAD: &str = "look";
/// Load of idempotent requests that are routed by host and path.
const IDEMPOTENT_ROUTED_LOAD: &str = "look-routed";
/// Load through the service interface of requests that may run at most once.
const AT_MOST_ONCE_LOAD: &str = "once";
/// Load of at-most-once requests that are routed by host and path. Starts with [`AT_MOST_ONCE_LOAD`], because the check of
/// executions matches request names by that prefix.
const AT_MOST_ONCE_ROUTED_LOAD: &str = "once-routed";
/// Rate of each load. A few dozen processes on one machine sustain it beside other work.
const REQUESTS_PER_S: f64 = 40.0;
/// Timeout for full recovery after the last fault. Covers an election, the expiry of members and proofs, and process starts
/// on a busy machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(200);
const CHANGE_INTERVAL: Duration = Duration::from_millis(900);
/// Time after its announcement of leaving from which a worker must receive no new request.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of requests from one gateway that a worker must bear while it wants none.
const MAX_REQUESTS_IN_PAUSE: u32 = 2;

/// Minimum time between the end of one disk loss and the next. Covers the longest other fault and the time until the emptied
/// instance votes again.
const DISK_LOSS_INTERVAL: Duration = Duration::from_secs(7);

/// Result of one seed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Injected faults in order, each with its start and duration.
    pub faults: Vec<String>,
    /// Requests with a complete response, before or after their deadline.
    pub good: u64,
    /// Requests whose response stated that they were not executed.
    pub not_executed: usize,
    /// Configuration changes acknowledged as accepted.
    pub changes: usize,
}

/// A fault with a start and an end. The variant names are printed in reports.
#[derive(Clone, Debug)]
enum Fault {
    Link(String, Mode),
    FrozenEntry(usize),
    FrozenControl(usize),
    FrozenWorker(usize),
    KilledEntry(usize),
    KilledControl(usize),
    StoppedEntry(usize),
    /// The control instance is killed and its data directory is removed.
    EmptiedControl(usize),
    /// All control and entry instances are killed.
    KilledAll,
    Worker(usize, WorkerFault),
}

impl Fault {
    /// Returns the kind of component that the fault affects. The fleet must tolerate one faulty component of each kind, so
    /// at most one fault per kind is active.
    fn target(&self) -> &'static str {
        match self {
            Self::Link(..) => "link",
            Self::FrozenEntry(_) | Self::KilledEntry(_) | Self::StoppedEntry(_) => "entry",
            Self::FrozenControl(_) | Self::KilledControl(_) | Self::EmptiedControl(_) => "control",
            Self::KilledAll => "all",
            Self::FrozenWorker(_) | Self::Worker(..) => "worker",
        }
    }

    /// Returns whether the two faults must not be active at the same time.
    fn conflicts_with(&self, other: &Self) -> bool {
        let targets = [self.target(), other.target()];
        let process = |target: &&str| ["all", "control", "entry"].contains(target);
        targets[0] == targets[1] || (targets.contains(&"all") && targets.iter().all(process))
    }

    fn sample(rng: &mut StdRng, links: &[String], size: usize) -> Self {
        let control = rng.random_range(0..CONTROLS);
        let entry = rng.random_range(0..ENTRIES * size);
        let worker = rng.random_range(0..WORKERS * size);
        match rng.random_range(0..11) {
            0 | 1 => {
                let link = links[rng.random_range(0..links.len())].clone();
                Self::Link(link, sample_link_mode(rng))
            }
            2 => Self::FrozenEntry(entry),
            3 => Self::FrozenControl(control),
            4 => Self::FrozenWorker(worker),
            5 => Self::KilledEntry(entry),
            6 => Self::KilledControl(control),
            7 => Self::StoppedEntry(entry),
            8 => Self::EmptiedControl(control),
            9 => Self::KilledAll,
            _ => Self::Worker(worker, sample_worker_fault(rng)),
        }
    }
}

fn sample_link_mode(rng: &mut StdRng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::partition(),
        1 => Mode::drop_responses(),
        2 => Mode::drop_requests(),
        3 => Mode::delay(Duration::from_millis(rng.random_range(20..400))),
        _ => Mode {
            to_origin: Flow {
                reset_after: rng.random_range(1..4_000),
                ..Flow::default()
            },
            ..Mode::default()
        },
    }
}

fn sample_worker_fault(rng: &mut StdRng) -> WorkerFault {
    let mut fault = WorkerFault::default();
    let percent = rng.random_range(20.0..90.0);
    match rng.random_range(0..5) {
        0 => fault.fail_percent = percent,
        1 => fault.truncate_percent = percent,
        2 => fault.hang_percent = percent,
        3 => (fault.shed_percent, fault.pause_ms) = (percent, rng.random_range(600..2_000)),
        _ => (fault.slow_percent, fault.slow_ms) = (percent, 600),
    }
    fault
}

fn layout(size: usize) -> Layout {
    Layout {
        controls: CONTROLS,
        entries: ENTRIES * size,
        services: vec![Service::new(SERVICE, WORKERS * size)],
        edits: vec![
            route(SERVICE, "/look/", Rank::Top, true),
            route(SERVICE, "/order/", Rank::Middle, false),
        ],
        links: true,
        gateway: true,
        ..Layout::default()
    }
}

fn load_plans(fleet: &Fleet, seed: u64, duration: Duration) -> Vec<Plan> {
    let lookup = Class {
        service: SERVICE.into(),
        rank: Rank::Top,
        path: "/look/".into(),
        ..Class::default()
    };
    let order = |key| Class {
        method: "POST".into(),
        path: "/order/".into(),
        rank: Rank::Middle,
        key,
        ..lookup.clone()
    };
    let orders = vec![order(true), order(false)];
    let with_key = |class: Class, customer| Class {
        credentials: Some(customers::credentials(customer)),
        ..class
    };
    let routed_lookups = vec![with_key(lookup.clone(), customers::READER)];
    let routed_orders = vec![with_key(order(false), customers::BUYER)];
    let (callers, gateways) = (fleet.callers(), fleet.gateways());
    [
        (IDEMPOTENT_LOAD, false, vec![lookup.clone()]),
        (IDEMPOTENT_ROUTED_LOAD, true, routed_lookups),
        (AT_MOST_ONCE_LOAD, false, orders),
        (AT_MOST_ONCE_ROUTED_LOAD, true, routed_orders),
    ]
    .into_iter()
    .map(|(name, direct, classes)| {
        let entries = if direct { &gateways } else { &callers };
        let mut plan = Plan::new(entries.clone(), classes, REQUESTS_PER_S, duration);
        plan.seed = seed;
        plan.name = name.into();
        plan.direct = direct;
        plan
    })
    .collect()
}

/// Runs one seed: injects faults for `duration`, then waits for recovery and runs the checks. `size` multiplies the number
/// of entries and workers.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or controlled. Violated guarantees are listed in the report. In both cases
/// the folder with the process logs is kept.
pub async fn run(
    programs: &Programs,
    seed: u64,
    duration: Duration,
    size: usize,
) -> Result<Report, Error> {
    let mut fleet = Fleet::start(programs, layout(size)).await?;
    fleet.keep_folder(true);
    let mut table = RouteTable::default();
    fleet.publish(&table.publication()).await?;
    table.mark_accepted();
    fleet.register_workers().await?;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut report = Report::default();
    let mut loads = tokio::task::JoinSet::new();
    for plan in load_plans(&fleet, seed, duration) {
        loads.spawn(async move { load::run(&plan).await });
    }
    let gateways = fleet.gateways();
    let limited = tokio::spawn(async move { limits::load(gateways, "limit", duration).await });
    let accepted_version =
        inject_faults(&mut fleet, &mut table, &mut rng, duration, &mut report).await?;
    let calm_since = Instant::now();
    let limited = limited.await.map_err(|e| Error::Invalid(e.to_string()))?;
    let mut not_executed = Vec::new();
    while let Some(load_report) = loads.join_next().await {
        let load_report = load_report.map_err(|e| Error::Invalid(e.to_string()))??;
        let total = load_report.total();
        report.good += total.good + total.late;
        if total.error("wrong_body") > 0 {
            let text = format!(
                "foreign or cut bodies as successes: {:?}",
                load_report.failures
            );
            report.violations.push(text);
        }
        let refused = total.error("unauthorized");
        if refused > 0 {
            let text = format!("{refused} requests with a valid key were refused");
            report.violations.push(text);
        }
        not_executed.extend(load_report.not_executed);
    }
    report.not_executed = not_executed.len();
    check_recovery(&fleet, accepted_version, &mut report).await;
    table.check_in_force(&fleet, &mut report).await;
    limits::check(&fleet, calm_since, limited, &mut report).await?;
    check_worker_that_says_it_leaves(&fleet, &mut report).await?;
    check_leaving_worker(&fleet, &mut report).await?;
    check_executions(&fleet, &not_executed, &mut report).await?;
    customers::check_output(fleet.folder(), &mut report)?;
    fleet.keep_folder(!report.violations.is_empty());
    Ok(report)
}

/// Injects faults and makes configuration changes for `duration`, then ends all faults. Returns the last accepted version.
async fn inject_faults(
    fleet: &mut Fleet,
    table: &mut RouteTable,
    rng: &mut StdRng,
    duration: Duration,
    report: &mut Report,
) -> Result<Version, Error> {
    let links: Vec<String> = fleet.links.keys().cloned().collect();
    let size = fleet.entries.len() / ENTRIES;
    let start = Instant::now();
    let mut active: Vec<(Instant, Fault)> = Vec::new();
    let mut highest_versions = BTreeMap::new();
    let mut accepted_version = Version::ZERO;
    let (mut next_fault, mut next_change, mut next_disk_loss) = (start, start, start);
    while start.elapsed() < duration {
        let now = Instant::now();
        let (expired, remaining): (Vec<_>, Vec<_>) =
            active.drain(..).partition(|(until, _)| now >= *until);
        active = remaining;
        for (_, fault) in expired {
            end_fault(fleet, &fault).await?;
        }
        if now >= next_fault {
            let fault = Fault::sample(rng, &links, size);
            let fault_duration = Duration::from_millis(rng.random_range(200..2_500));
            let pause = Duration::from_millis(rng.random_range(50..700));
            next_fault = now + pause;
            let loses_disk = matches!(fault, Fault::EmptiedControl(_));
            let too_early = loses_disk && now < next_disk_loss;
            if !too_early
                && !active
                    .iter()
                    .any(|(_, active)| active.conflicts_with(&fault))
            {
                if loses_disk {
                    next_disk_loss = now + fault_duration + DISK_LOSS_INTERVAL;
                }
                report.faults.push(format!(
                    "{:?} {fault:?} for {fault_duration:?}",
                    start.elapsed()
                ));
                start_fault(fleet, &fault).await?;
                active.push((now + fault_duration, fault));
            }
        }
        if now >= next_change {
            next_change = now + CHANGE_INTERVAL;
            let edit = Edit::SetDefaults(Overrides {
                timeout_ms: Some(rng.random_range(2_000..9_000)),
                ..Overrides::default()
            });
            let id = format!("soak-{}", report.changes);
            // A change without a response may or may not be accepted. Only an acknowledged one must take effect.
            if let Ok(version) = fleet.change(&id, &[edit]).await {
                accepted_version = accepted_version.max(version);
                report.changes += 1;
            }
            table.publish_next(fleet, report).await;
        }
        check_versions(fleet, &mut highest_versions, report).await;
        sleep(VERSION_POLL_INTERVAL).await;
    }
    for (_, fault) in active {
        end_fault(fleet, &fault).await?;
    }
    Ok(accepted_version)
}

async fn start_fault(fleet: &mut Fleet, fault: &Fault) -> Result<(), Error> {
    match fault {
        Fault::Link(link, mode) => fleet.forwarder(link)?.set_mode(*mode),
        Fault::FrozenEntry(n) => fleet.entries[*n].process()?.freeze()?,
        Fault::FrozenControl(n) => fleet.controls[*n].process()?.freeze()?,
        Fault::FrozenWorker(n) => fleet.workers[*n].process()?.freeze()?,
        Fault::KilledEntry(n) => fleet.entries[*n].kill(),
        Fault::KilledControl(n) => fleet.controls[*n].kill(),
        Fault::EmptiedControl(n) => fleet.controls[*n].wipe_data()?,
        Fault::KilledAll => fleet.kill_all(),
        Fault::StoppedEntry(n) => fleet.entries[*n].process()?.terminate()?,
        Fault::Worker(n, fault) => fleet.workers[*n].set_fault(&fleet.http, fault).await?,
    }
    Ok(())
}

async fn end_fault(fleet: &mut Fleet, fault: &Fault) -> Result<(), Error> {
    match fault {
        Fault::Link(link, _) => fleet.forwarder(link)?.set_mode(Mode::default()),
        Fault::FrozenEntry(n) => fleet.entries[*n].process()?.resume()?,
        Fault::FrozenControl(n) => fleet.controls[*n].process()?.resume()?,
        Fault::FrozenWorker(n) => fleet.workers[*n].process()?.resume()?,
        Fault::KilledEntry(n) => fleet.entries[*n].start()?,
        Fault::KilledControl(n) | Fault::EmptiedControl(n) => fleet.controls[*n].start()?,
        Fault::KilledAll => fleet.start_all()?,
        Fault::StoppedEntry(n) => {
            // If the graceful stop takes longer than the fault, the restart kills the old process.
            fleet.entries[*n].start()?;
        }
        Fault::Worker(n, _) => {
            let no_fault = WorkerFault::default();
            fleet.workers[*n].set_fault(&fleet.http, &no_fault).await?;
        }
    }
    Ok(())
}

/// Checks that the version of a running entry never decreases.
async fn check_versions(
    fleet: &Fleet,
    highest_versions: &mut BTreeMap<(String, u32), Version>,
    report: &mut Report,
) {
    for entry in fleet.entries.iter().filter(|e| e.is_running()) {
        let Ok(id) = entry.process().map(crate::fleet::process::Process::id) else {
            continue;
        };
        // A frozen entry does not respond.
        let Some(version) = fleet.version_of(entry).await else {
            continue;
        };
        let highest = highest_versions
            .entry((entry.name.clone(), id))
            .or_insert(version);
        if version < *highest {
            let text = format!("{} went back from {highest} to {version}", entry.name);
            report.violations.push(text);
        }
        *highest = version.max(*highest);
    }
}

/// Checks that the fleet serves requests again and that the last accepted change is in force.
async fn check_recovery(fleet: &Fleet, accepted_version: Version, report: &mut Report) {
    report.violations.extend(exited_instances(fleet));
    if let Err(error) = fleet
        .wait_in_force(accepted_version, RECOVERY_TIMEOUT)
        .await
    {
        report
            .violations
            .push(format!("accepted, but not in force: {error}"));
    }
    let served = until("requests are served again", RECOVERY_TIMEOUT, async || {
        let plans = load_plans(fleet, 1, Duration::from_secs(1));
        for mut plan in plans
            .into_iter()
            .filter(|plan| !plan.name.starts_with(AT_MOST_ONCE_LOAD))
        {
            plan.name = format!("after-{}", plan.name);
            let total = load::run(&plan).await.ok()?.total();
            if total.good < total.due {
                return None;
            }
        }
        Some(())
    });
    if let Err(error) = served.await {
        report.violations.push(format!("no recovery: {error}"));
    }
}

/// Returns the instances that exited without an injected fault. Instances that a fault killed or stopped are running again.
fn exited_instances(fleet: &Fleet) -> Vec<String> {
    let controls = fleet.controls.iter().map(|c| (&c.name, c.process()));
    let entries = fleet.entries.iter().map(|e| (&e.name, e.process()));
    controls
        .chain(entries)
        .filter_map(|(name, process)| Some((name, process.ok()?.status()?)))
        .map(|(name, status)| format!("{name} ended by itself: {status}"))
        .collect()
}

/// Checks that the gateways send no new request to a worker that has been leaving for [`LEAVE_TIMEOUT`].
async fn check_leaving_worker(fleet: &Fleet, report: &mut Report) -> Result<(), Error> {
    let Some(number) = fleet.workers.len().checked_sub(1) else {
        return Ok(());
    };
    fleet.register_worker(number, true).await?;
    sleep(LEAVE_TIMEOUT).await;
    let late = executed_under_load(fleet, number, "leaving").await?;
    if late > 0 {
        let name = &fleet.workers[number].name;
        let text = format!("{name} got {late} requests later than {LEAVE_TIMEOUT:?} after it left");
        report.violations.push(text);
    }
    Ok(())
}

/// Checks that the gateways send no new request to a worker whose responses say that it leaves, although its
/// announcement does not. Each gateway may send one before it is told.
async fn check_worker_that_says_it_leaves(fleet: &Fleet, report: &mut Report) -> Result<(), Error> {
    let Some(worker) = fleet.workers.first() else {
        return Ok(());
    };
    let leaving = WorkerFault {
        leaving: true,
        ..WorkerFault::default()
    };
    worker.set_fault(&fleet.http, &leaving).await?;
    executed_under_load(fleet, 0, "telling").await?;
    let late = executed_under_load(fleet, 0, "told").await?;
    if late > fleet.entries.len() as u64 {
        let text = format!(
            "{} got {late} requests after it said that it leaves",
            worker.name
        );
        report.violations.push(text);
    }
    Ok(())
}

/// Sends routed requests for a second, and returns how many of them a worker executed.
async fn executed_under_load(fleet: &Fleet, worker: usize, name: &str) -> Result<u64, Error> {
    let worker = &fleet.workers[worker];
    let before = worker.counts(&fleet.http).await?.executed;
    for plan in load_plans(fleet, 2, Duration::from_secs(1)) {
        if plan.name == IDEMPOTENT_ROUTED_LOAD {
            let name = format!("{name}-{}", plan.name);
            load::run(&Plan { name, ..plan }).await?;
        }
    }
    Ok(worker.counts(&fleet.http).await?.executed - before)
}

/// Checks the responses of callers against the executions that workers counted.
async fn check_executions(
    fleet: &Fleet,
    not_executed: &[String],
    report: &mut Report,
) -> Result<(), Error> {
    let counts = until("all executions ended", RECOVERY_TIMEOUT, async || {
        let counts = fleet.counts().await.ok()?;
        (counts.executed == counts.finished + counts.cancelled).then_some(counts)
    });
    let counts = counts.await?;
    if counts.most_in_pause > MAX_REQUESTS_IN_PAUSE {
        let text = format!(
            "a worker got {} requests of one gateway while it wanted none",
            counts.most_in_pause
        );
        report.violations.push(text);
    }
    if counts.misattributed > 0 {
        let text = format!(
            "workers got {} requests with a key or another customer",
            counts.misattributed
        );
        report.violations.push(text);
    }
    for id in not_executed
        .iter()
        .filter(|id| counts.requests.contains_key(*id))
    {
        report
            .violations
            .push(format!("told as not executed, but ran: {id}"));
    }
    let at_most_once = counts
        .requests
        .iter()
        .filter(|(id, _)| id.starts_with(AT_MOST_ONCE_LOAD));
    for (id, runs) in at_most_once.filter(|(_, runs)| **runs > 1) {
        report.violations.push(format!("ran {runs} times: {id}"));
    }
    Ok(())
}
