//! Randomized fault soak over real processes.
//!
//! Faults are injected from outside: links of the loopback forwarder that delay, lose or reset bytes, signals that stop,
//! freeze, kill and restart, and workers that misbehave. They come in series and overlap. What callers were told is compared
//! with what workers have executed, and the configuration with what operators were told. A seed fixes the faults and
//! their order, while the moments vary with the machine.

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
use crate::worker::Fault;

mod table;

use table::Table;

/// Control instances.
const CONTROLS: usize = 3;
/// Entry instances of the usual size.
const ENTRIES: usize = 3;
/// Workers of the usual size.
const WORKERS: usize = 4;
/// Service of the soak.
const SERVICE: &str = "soak";
/// Name of the load of the service interface whose requests may repeat.
const LOOK_SERVICE: &str = "look";
/// The same for requests that are routed by host and path.
const LOOK_ROUTE: &str = "look-routed";
/// Name of the load of the service interface whose requests must not run twice.
const ONCE: &str = "once";
/// The same for requests that are routed by host and path; it begins with [`ONCE`].
const ONCE_ROUTE: &str = "once-routed";
/// Requests a second of each load. A few dozen processes on one machine carry them beside other work.
const RATE: f64 = 40.0;
/// Longest time for the fleet to be whole again after the last fault: election, expiry of members and proofs, and the
/// start of processes on a busy machine.
const RECOVERY: Duration = Duration::from_secs(30);
/// Time between two looks at the versions in force.
const LOOK: Duration = Duration::from_millis(200);
/// Time between two changes of the configuration.
const CHANGE: Duration = Duration::from_millis(900);
/// Time after which a leaving worker gets no new work.
const LEAVING: Duration = Duration::from_secs(3);

/// Time between two lost disks: the longest other fault, and time for the emptied instance to vote again.
const DISK_PAUSE: Duration = Duration::from_secs(7);

/// What one seed has shown.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Broken promises.
    pub violations: Vec<String>,
    /// Faults in order.
    pub faults: Vec<String>,
    /// Requests with a whole answer.
    pub good: u64,
    /// Requests that callers were told did not run.
    pub not_executed: usize,
    /// Changes that operators were told are accepted.
    pub changes: usize,
}

/// One fault that can be ended.
#[derive(Clone, Debug)]
enum Trouble {
    Link(String, Mode),
    FrozenEntry(usize),
    FrozenControl(usize),
    FrozenWorker(usize),
    KilledEntry(usize),
    KilledControl(usize),
    StoppedEntry(usize),
    /// The control instance is killed and loses its disk.
    EmptiedControl(usize),
    /// All control and entry instances are killed.
    KilledAll,
    Worker(usize, Fault),
}

impl Trouble {
    /// Returns what the fault takes out; at most one of each is out at a time, which the fleet must survive.
    fn subject(&self) -> &'static str {
        match self {
            Self::Link(..) => "link",
            Self::FrozenEntry(_) | Self::KilledEntry(_) | Self::StoppedEntry(_) => "entry",
            Self::FrozenControl(_) | Self::KilledControl(_) | Self::EmptiedControl(_) => "control",
            Self::KilledAll => "all",
            Self::FrozenWorker(_) | Self::Worker(..) => "worker",
        }
    }

    /// Returns whether both can't be open at the same time.
    fn excludes(&self, other: &Self) -> bool {
        let subjects = [self.subject(), other.subject()];
        let process = |subject: &&str| ["all", "control", "entry"].contains(subject);
        subjects[0] == subjects[1] || (subjects.contains(&"all") && subjects.iter().all(process))
    }

    fn draw(random: &mut StdRng, links: &[String], size: usize) -> Self {
        let control = random.random_range(0..CONTROLS);
        let entry = random.random_range(0..ENTRIES * size);
        let worker = random.random_range(0..WORKERS * size);
        match random.random_range(0..11) {
            0 | 1 => {
                let link = links[random.random_range(0..links.len())].clone();
                Self::Link(link, mode(random))
            }
            2 => Self::FrozenEntry(entry),
            3 => Self::FrozenControl(control),
            4 => Self::FrozenWorker(worker),
            5 => Self::KilledEntry(entry),
            6 => Self::KilledControl(control),
            7 => Self::StoppedEntry(entry),
            8 => Self::EmptiedControl(control),
            9 => Self::KilledAll,
            _ => Self::Worker(worker, fault(random)),
        }
    }
}

fn mode(random: &mut StdRng) -> Mode {
    match random.random_range(0..5) {
        0 => Mode::partition(),
        1 => Mode::drop_responses(),
        2 => Mode::drop_requests(),
        3 => Mode::delay(Duration::from_millis(random.random_range(20..400))),
        _ => Mode {
            to_origin: Flow {
                reset_after: random.random_range(1..4_000),
                ..Flow::default()
            },
            ..Mode::default()
        },
    }
}

fn fault(random: &mut StdRng) -> Fault {
    let mut fault = Fault::default();
    let share = random.random_range(20.0..90.0);
    match random.random_range(0..4) {
        0 => fault.fail_percent = share,
        1 => fault.truncate_percent = share,
        2 => fault.hang_percent = share,
        _ => (fault.slow_percent, fault.slow_ms) = (share, 600),
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

fn plans(fleet: &Fleet, seed: u64, duration: Duration) -> Vec<Plan> {
    let look = Class {
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
        ..look.clone()
    };
    let orders = vec![order(true), order(false)];
    let routed = vec![order(false)];
    let (callers, gateways) = (fleet.callers(), fleet.gateways());
    [
        (LOOK_SERVICE, false, vec![look.clone()]),
        (LOOK_ROUTE, true, vec![look.clone()]),
        (ONCE, false, orders),
        (ONCE_ROUTE, true, routed),
    ]
    .into_iter()
    .map(|(name, direct, classes)| {
        let entries = if direct { &gateways } else { &callers };
        let mut plan = Plan::new(entries.clone(), classes, RATE, duration);
        plan.seed = seed;
        plan.name = name.into();
        plan.direct = direct;
        plan
    })
    .collect()
}

/// Runs one seed for about `duration` and the time to recover. `size` multiplies the usual number of entries and workers.
///
/// # Errors
///
/// Returns an error when the fleet can't be started or controlled. Broken promises are in the report. After either, the folder
/// with the logs of the processes stays.
pub async fn run(
    programs: &Programs,
    seed: u64,
    duration: Duration,
    size: usize,
) -> Result<Report, Error> {
    let mut fleet = Fleet::start(programs, layout(size)).await?;
    fleet.keep_folder(true);
    let mut table = Table::default();
    fleet.publish(&table.publication()).await?;
    table.accepted();
    fleet.register_workers().await?;
    let mut random = StdRng::seed_from_u64(seed);
    let mut report = Report::default();
    let mut loads = tokio::task::JoinSet::new();
    for plan in plans(&fleet, seed, duration) {
        loads.spawn(async move { load::run(&plan).await });
    }
    let accepted = disturb(&mut fleet, &mut table, &mut random, duration, &mut report).await?;
    let mut denied = Vec::new();
    while let Some(loaded) = loads.join_next().await {
        let loaded = loaded.map_err(|e| Error::Invalid(e.to_string()))??;
        let total = loaded.total();
        report.good += total.good + total.late;
        if total.error("wrong_body") > 0 {
            let text = format!("foreign or cut bodies as successes: {:?}", loaded.failures);
            report.violations.push(text);
        }
        denied.extend(loaded.not_executed);
    }
    report.not_executed = denied.len();
    recover(&fleet, accepted, &mut report).await;
    table.check(&fleet, &mut report).await;
    leave(&fleet, &mut report).await?;
    executions(&fleet, &denied, &mut report).await?;
    fleet.keep_folder(!report.violations.is_empty());
    Ok(report)
}

/// Injects faults until the time is up, makes changes meanwhile, and ends all faults. Returns the last accepted version.
async fn disturb(
    fleet: &mut Fleet,
    table: &mut Table,
    random: &mut StdRng,
    duration: Duration,
    report: &mut Report,
) -> Result<Version, Error> {
    let links: Vec<String> = fleet.links.keys().cloned().collect();
    let size = fleet.entries.len() / ENTRIES;
    let started = Instant::now();
    let mut open: Vec<(Instant, Trouble)> = Vec::new();
    let mut seen = BTreeMap::new();
    let mut accepted = Version::ZERO;
    let (mut next_trouble, mut next_change, mut next_disk) = (started, started, started);
    while started.elapsed() < duration {
        let now = Instant::now();
        let (due, kept): (Vec<_>, Vec<_>) = open.drain(..).partition(|(until, _)| now >= *until);
        open = kept;
        for (_, trouble) in due {
            end(fleet, &trouble).await?;
        }
        if now >= next_trouble {
            let trouble = Trouble::draw(random, &links, size);
            let lasting = Duration::from_millis(random.random_range(200..2_500));
            let pause = Duration::from_millis(random.random_range(50..700));
            next_trouble = now + pause;
            let disk = matches!(trouble, Trouble::EmptiedControl(_));
            let early = disk && now < next_disk;
            if !early && !open.iter().any(|(_, t)| t.excludes(&trouble)) {
                if disk {
                    next_disk = now + lasting + DISK_PAUSE;
                }
                report.faults.push(format!(
                    "{:?} {trouble:?} for {lasting:?}",
                    started.elapsed()
                ));
                begin(fleet, &trouble).await?;
                open.push((now + lasting, trouble));
            }
        }
        if now >= next_change {
            next_change = now + CHANGE;
            let edit = Edit::SetDefaults(Overrides {
                timeout_ms: Some(random.random_range(2_000..9_000)),
                ..Overrides::default()
            });
            let id = format!("soak-{}", report.changes);
            // A change without an answer may be accepted or not; only an acknowledged one is a promise.
            if let Ok(version) = fleet.change(&id, &[edit]).await {
                accepted = accepted.max(version);
                report.changes += 1;
            }
            table.replace(fleet, report).await;
        }
        watch(fleet, &mut seen, report).await;
        sleep(LOOK).await;
    }
    for (_, trouble) in open {
        end(fleet, &trouble).await?;
    }
    Ok(accepted)
}

async fn begin(fleet: &mut Fleet, trouble: &Trouble) -> Result<(), Error> {
    match trouble {
        Trouble::Link(link, mode) => fleet.forwarder(link)?.set_mode(*mode),
        Trouble::FrozenEntry(n) => fleet.entries[*n].process()?.freeze()?,
        Trouble::FrozenControl(n) => fleet.controls[*n].process()?.freeze()?,
        Trouble::FrozenWorker(n) => fleet.workers[*n].process()?.freeze()?,
        Trouble::KilledEntry(n) => fleet.entries[*n].kill(),
        Trouble::KilledControl(n) => fleet.controls[*n].kill(),
        Trouble::EmptiedControl(n) => fleet.controls[*n].wipe_data()?,
        Trouble::KilledAll => fleet.kill_all(),
        Trouble::StoppedEntry(n) => fleet.entries[*n].process()?.terminate()?,
        Trouble::Worker(n, fault) => fleet.workers[*n].set_fault(&fleet.http, fault).await?,
    }
    Ok(())
}

async fn end(fleet: &mut Fleet, trouble: &Trouble) -> Result<(), Error> {
    match trouble {
        Trouble::Link(link, _) => fleet.forwarder(link)?.set_mode(Mode::default()),
        Trouble::FrozenEntry(n) => fleet.entries[*n].process()?.resume()?,
        Trouble::FrozenControl(n) => fleet.controls[*n].process()?.resume()?,
        Trouble::FrozenWorker(n) => fleet.workers[*n].process()?.resume()?,
        Trouble::KilledEntry(n) => fleet.entries[*n].start()?,
        Trouble::KilledControl(n) | Trouble::EmptiedControl(n) => fleet.controls[*n].start()?,
        Trouble::KilledAll => fleet.start_all()?,
        Trouble::StoppedEntry(n) => {
            // A restart overlaps the planned stop when that takes longer; the process is then gone at once.
            fleet.entries[*n].start()?;
        }
        Trouble::Worker(n, _) => {
            let none = Fault::default();
            fleet.workers[*n].set_fault(&fleet.http, &none).await?;
        }
    }
    Ok(())
}

/// Checks that no running entry goes back to an older version.
async fn watch(fleet: &Fleet, seen: &mut BTreeMap<(String, u32), Version>, report: &mut Report) {
    for entry in fleet.entries.iter().filter(|e| e.is_running()) {
        let Ok(id) = entry.process().map(crate::fleet::process::Process::id) else {
            continue;
        };
        // A frozen entry gives no answer.
        let Some(version) = fleet.version_of(entry).await else {
            continue;
        };
        let before = seen.entry((entry.name.clone(), id)).or_insert(version);
        if version < *before {
            let text = format!("{} went back from {before} to {version}", entry.name);
            report.violations.push(text);
        }
        *before = version.max(*before);
    }
}

/// Checks that the fleet is whole again and that what operators were told is in force.
async fn recover(fleet: &Fleet, accepted: Version, report: &mut Report) {
    report.violations.extend(ended(fleet));
    if let Err(error) = fleet.wait_in_force(accepted, RECOVERY).await {
        report
            .violations
            .push(format!("accepted, but not in force: {error}"));
    }
    let served = until("requests are served again", RECOVERY, async || {
        let plans = plans(fleet, 1, Duration::from_secs(1));
        for mut plan in plans
            .into_iter()
            .filter(|plan| !plan.name.starts_with(ONCE))
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

/// Returns the instances that have ended by themselves: those that were killed or stopped were started again.
fn ended(fleet: &Fleet) -> Vec<String> {
    let controls = fleet.controls.iter().map(|c| (&c.name, c.process()));
    let entries = fleet.entries.iter().map(|e| (&e.name, e.process()));
    controls
        .chain(entries)
        .filter_map(|(name, process)| Some((name, process.ok()?.status()?)))
        .map(|(name, status)| format!("{name} ended by itself: {status}"))
        .collect()
}

/// Checks that a worker that leaves gets no new work through the gateways a few seconds later.
async fn leave(fleet: &Fleet, report: &mut Report) -> Result<(), Error> {
    let Some(number) = fleet.workers.len().checked_sub(1) else {
        return Ok(());
    };
    fleet.register_worker(number, true).await?;
    sleep(LEAVING).await;
    let worker = &fleet.workers[number];
    let before = worker.counts(&fleet.http).await?.executed;
    for plan in plans(fleet, 2, Duration::from_secs(1)) {
        if plan.name == LOOK_ROUTE {
            let name = format!("leaving-{}", plan.name);
            load::run(&Plan { name, ..plan }).await?;
        }
    }
    let after = worker.counts(&fleet.http).await?.executed;
    if after > before {
        let (name, late) = (&worker.name, after - before);
        let text = format!("{name} got {late} requests later than {LEAVING:?} after it left");
        report.violations.push(text);
    }
    Ok(())
}

/// Compares what callers were told with what workers have executed.
async fn executions(fleet: &Fleet, denied: &[String], report: &mut Report) -> Result<(), Error> {
    let counts = until("workers without work", RECOVERY, async || {
        let counts = fleet.counts().await.ok()?;
        (counts.executed == counts.finished + counts.cancelled).then_some(counts)
    });
    let counts = counts.await?;
    for id in denied.iter().filter(|id| counts.requests.contains_key(*id)) {
        report
            .violations
            .push(format!("told as not executed, but ran: {id}"));
    }
    let once = counts
        .requests
        .iter()
        .filter(|(id, _)| id.starts_with(ONCE));
    for (id, runs) in once.filter(|(_, runs)| **runs > 1) {
        report.violations.push(format!("ran {runs} times: {id}"));
    }
    Ok(())
}
