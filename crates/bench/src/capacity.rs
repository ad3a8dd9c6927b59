//! Slopes for the capacity page: what control and entries use against the number of entries and workers.

use std::time::{Duration, Instant};

use chestnutvalve_kernel::Shutdown;
use chestnutvalve_model::config::Edit;
use chestnutvalve_model::rank::Rank;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Error;
use crate::fleet::layout::route;
use crate::fleet::process::Usage;
use crate::fleet::{Fleet, Layout, Process, Programs, Service, port};
use crate::worker::{self, Settings};

/// Service whose route the changes replace.
const SERVICE: &str = "measured";
/// Workers while the number of entries varies.
const FEW_WORKERS: usize = 2;
/// Entries while the number of workers varies.
const FEW_ENTRIES: usize = 3;
/// Changes whose delivery is timed.
const TIMED_CHANGES: u32 = 10;
/// Time for a change to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(20);
/// Time for a new fleet to come to rest.
const SETTLE: Duration = Duration::from_secs(6);
/// Most workers of one measurement; they run inside this process.
const MAX_WORKERS: usize = 1_000;

/// Points to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Numbers of entries.
    pub entries: Vec<usize>,
    /// Numbers of workers.
    pub workers: Vec<usize>,
    /// Duration of each measurement.
    pub duration: Duration,
}

/// Measures all points and prints a row for each.
///
/// # Errors
///
/// Returns an error when a fleet can't be started.
pub async fn run(programs: &Programs, plan: &Plan) -> Result<(), Error> {
    println!(
        "| entries | workers | state | control: processor, resident | entry: processor, resident \
         | control links: bytes/s, pieces/s an entry | peer and platform links: bytes/s an entry |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for entries in &plan.entries {
        let mut point = Point::start(programs, *entries, FEW_WORKERS).await?;
        point.measure("idle", plan.duration, 0.0).await?;
        point.measure("1 change/s", plan.duration, 1.0).await?;
        point.delivery().await?;
        point.stop().await;
    }
    for workers in &plan.workers {
        let workers = (*workers).min(MAX_WORKERS);
        let mut point = Point::start(programs, FEW_ENTRIES, workers).await?;
        point.measure("announcing", plan.duration, 0.0).await?;
        point.stop().await;
    }
    Ok(())
}

struct Point {
    fleet: Fleet,
    workers: JoinSet<worker::Counts>,
    shutdown: Shutdown,
    number: usize,
    revision: u32,
}

/// Counters at one instant.
struct Reading {
    control: Usage,
    entry: Usage,
    control_links: (u64, u64),
    entry_links: u64,
    at: Instant,
}

impl Point {
    async fn start(programs: &Programs, entries: usize, workers: usize) -> Result<Self, Error> {
        let layout = Layout {
            entries,
            services: vec![Service::new(SERVICE, 0)],
            edits: vec![route(SERVICE, "/a", Rank::Top, true)],
            links: true,
            log: "warn".into(),
            ..Layout::default()
        };
        let fleet = Fleet::start(programs, layout).await?;
        let mut point = Self {
            fleet,
            workers: JoinSet::new(),
            shutdown: Shutdown::default(),
            number: workers,
            revision: 0,
        };
        let seeds: Vec<_> = point
            .fleet
            .entries
            .iter()
            .map(|e| e.advertised_platform)
            .collect();
        for number in 0..workers {
            let settings = Settings {
                service: SERVICE.into(),
                worker: format!("w{number}"),
                zone: "z1".into(),
                listen: port::free()?,
                entries: seeds
                    .iter()
                    .copied()
                    .cycle()
                    .skip(number % seeds.len())
                    .take(3)
                    .collect(),
                drain: Duration::ZERO,
                seed: number as u64,
                ..Settings::default()
            };
            let bound = worker::bind(settings).await?;
            point.workers.spawn(bound.run(point.shutdown.clone()));
        }
        point.fleet.wait_service_ready(SERVICE, workers).await?;
        sleep(SETTLE).await;
        Ok(point)
    }

    async fn stop(mut self) {
        self.shutdown.request();
        while self.workers.join_next().await.is_some() {}
    }

    fn read(&self) -> Reading {
        let controls = self.fleet.controls.iter().filter_map(|c| c.process().ok());
        let entries = self.fleet.entries.iter().filter_map(|e| e.process().ok());
        let (mut control_links, mut entry_links) = ((0, 0), 0);
        for (name, link) in &self.fleet.links {
            let (bytes, pieces) = link.traffic();
            if name.starts_with('e') && name.contains("-c") {
                control_links = (control_links.0 + bytes, control_links.1 + pieces);
            } else if name.starts_with('e') {
                entry_links += bytes;
            }
        }
        Reading {
            control: most(controls),
            entry: most(entries),
            control_links,
            entry_links,
            at: Instant::now(),
        }
    }

    #[allow(clippy::cast_precision_loss)]
    async fn measure(
        &mut self,
        state: &str,
        duration: Duration,
        changes: f64,
    ) -> Result<(), Error> {
        let before = self.read();
        let mut made = 0.0;
        while before.at.elapsed() < duration {
            if made < before.at.elapsed().as_secs_f64() * changes {
                self.change().await?;
                made += 1.0;
            }
            sleep(Duration::from_millis(50)).await;
        }
        let after = self.read();
        let seconds = (after.at - before.at).as_secs_f64();
        let entries = self.fleet.entries.len();
        let each = |from: u64, to: u64| (to - from) as f64 / seconds / entries as f64;
        let usage = |from: &Usage, to: &Usage| {
            let spent = to.cpu_time.saturating_sub(from.cpu_time).as_secs_f64() / seconds;
            format!(
                "{:.2}%, {:.1} MB",
                spent * 100.0,
                to.resident_bytes as f64 / 1e6
            )
        };
        println!(
            "| {entries} | {} | {state} | {} | {} | {:.0}, {:.1} | {:.0} |",
            self.number,
            usage(&before.control, &after.control),
            usage(&before.entry, &after.entry),
            each(before.control_links.0, after.control_links.0),
            each(before.control_links.1, after.control_links.1),
            each(before.entry_links, after.entry_links),
        );
        Ok(())
    }

    async fn change(&mut self) -> Result<chestnutvalve_model::version::Version, Error> {
        self.revision += 1;
        let edits: Vec<Edit> = vec![route(
            SERVICE,
            "/a",
            Rank::Top,
            self.revision.is_multiple_of(2),
        )];
        let id = format!("capacity-{}", self.revision);
        self.fleet.change(&id, &edits).await
    }

    /// Times changes from the request to the last entry that has them in force.
    async fn delivery(&mut self) -> Result<(), Error> {
        let mut times = Vec::new();
        for _ in 0..TIMED_CHANGES {
            let start = Instant::now();
            let version = self.change().await?;
            self.fleet.wait_in_force(version, IN_FORCE_LIMIT).await?;
            times.push(start.elapsed());
        }
        times.sort();
        let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "| {} | {} | change in force everywhere | median {median:.0?}, worst {worst:.0?} of {} | | | |",
            self.fleet.entries.len(),
            self.number,
            times.len(),
        );
        Ok(())
    }
}

/// Returns the mean processor time and the greatest memory of some processes.
fn most<'a>(processes: impl Iterator<Item = &'a Process>) -> Usage {
    let usages: Vec<_> = processes.filter_map(Process::usage).collect();
    let count = u32::try_from(usages.len().max(1)).unwrap_or(u32::MAX);
    Usage {
        cpu_time: usages.iter().map(|u| u.cpu_time).sum::<Duration>() / count,
        resident_bytes: usages.iter().map(|u| u.resident_bytes).max().unwrap_or(0),
    }
}
