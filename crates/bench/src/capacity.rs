//! Measurements for the capacity page: resource usage of control and entry instances by number of entries and workers.

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

/// Service of the workers, whose route the configuration changes replace.
const SERVICE: &str = "measured";
/// Number of workers while the number of entries varies.
const FIXED_WORKERS: usize = 2;
/// Number of entries while the number of workers varies.
const FIXED_ENTRIES: usize = 3;
/// Number of changes whose delivery is timed.
const TIMED_CHANGES: u32 = 10;
/// Timeout for a change to be in force at all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for a new fleet to reach a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Maximum number of workers of one measurement, all of which run inside this process.
const MAX_WORKERS: usize = 1_000;

/// Fleet sizes to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Numbers of entries to measure, each with few workers.
    pub entries: Vec<usize>,
    /// Numbers of workers to measure, each with few entries.
    pub workers: Vec<usize>,
    /// Duration of each measurement.
    pub duration: Duration,
}

/// Measures all fleet sizes and prints a Markdown row for each state.
///
/// # Errors
///
/// Returns an error if a fleet can't be started, a change is not accepted or one does not come into force in time.
pub async fn run(programs: &Programs, plan: &Plan) -> Result<(), Error> {
    println!(
        "| entries | workers | state | control: processor, resident | entry: processor, resident \
         | control links: bytes/s, pieces/s an entry | peer and platform links: bytes/s an entry |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for entries in &plan.entries {
        let mut measurement = Measurement::start(programs, *entries, FIXED_WORKERS).await?;
        measurement.measure("idle", plan.duration, 0.0).await?;
        measurement
            .measure("1 change/s", plan.duration, 1.0)
            .await?;
        measurement.measure_delivery().await?;
        measurement.stop().await;
    }
    for workers in &plan.workers {
        let workers = (*workers).min(MAX_WORKERS);
        let mut measurement = Measurement::start(programs, FIXED_ENTRIES, workers).await?;
        measurement
            .measure("announcing", plan.duration, 0.0)
            .await?;
        measurement.stop().await;
    }
    Ok(())
}

struct Measurement {
    fleet: Fleet,
    workers: JoinSet<worker::Counts>,
    shutdown: Shutdown,
    worker_count: usize,
    revision: u32,
}

/// Cumulative counters at one instant.
struct Sample {
    control: Usage,
    entry: Usage,
    control_links: (u64, u64),
    entry_links: u64,
    taken_at: Instant,
}

impl Measurement {
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
        let mut measurement = Self {
            fleet,
            workers: JoinSet::new(),
            shutdown: Shutdown::default(),
            worker_count: workers,
            revision: 0,
        };
        let seeds: Vec<_> = measurement
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
            measurement
                .workers
                .spawn(bound.run(measurement.shutdown.clone()));
        }
        measurement
            .fleet
            .wait_service_ready(SERVICE, workers)
            .await?;
        sleep(SETTLE_TIME).await;
        Ok(measurement)
    }

    async fn stop(mut self) {
        self.shutdown.request();
        while self.workers.join_next().await.is_some() {}
    }

    fn read(&self) -> Sample {
        let controls = self.fleet.controls.iter().filter_map(|c| c.process().ok());
        let entries = self.fleet.entries.iter().filter_map(|e| e.process().ok());
        let (mut control_links, mut entry_links) = ((0, 0), 0);
        for (name, link) in &self.fleet.links {
            let (bytes, chunks) = link.traffic();
            if name.starts_with('e') && name.contains("-c") {
                control_links = (control_links.0 + bytes, control_links.1 + chunks);
            } else if name.starts_with('e') {
                entry_links += bytes;
            }
        }
        Sample {
            control: mean_usage(controls),
            entry: mean_usage(entries),
            control_links,
            entry_links,
            taken_at: Instant::now(),
        }
    }

    #[allow(clippy::cast_precision_loss)]
    async fn measure(
        &mut self,
        state: &str,
        duration: Duration,
        changes_per_s: f64,
    ) -> Result<(), Error> {
        let before = self.read();
        let mut changes_made = 0.0;
        while before.taken_at.elapsed() < duration {
            if changes_made < before.taken_at.elapsed().as_secs_f64() * changes_per_s {
                self.change().await?;
                changes_made += 1.0;
            }
            sleep(Duration::from_millis(50)).await;
        }
        let after = self.read();
        let seconds = (after.taken_at - before.taken_at).as_secs_f64();
        let entries = self.fleet.entries.len();
        let per_entry = |from: u64, to: u64| (to - from) as f64 / seconds / entries as f64;
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
            self.worker_count,
            usage(&before.control, &after.control),
            usage(&before.entry, &after.entry),
            per_entry(before.control_links.0, after.control_links.0),
            per_entry(before.control_links.1, after.control_links.1),
            per_entry(before.entry_links, after.entry_links),
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

    /// Measures the time from the request of a change until it is in force at all entries.
    async fn measure_delivery(&mut self) -> Result<(), Error> {
        let mut delivery_times = Vec::new();
        for _ in 0..TIMED_CHANGES {
            let start = Instant::now();
            let version = self.change().await?;
            self.fleet.wait_in_force(version, IN_FORCE_TIMEOUT).await?;
            delivery_times.push(start.elapsed());
        }
        delivery_times.sort();
        let (median, slowest) = (
            delivery_times[delivery_times.len() / 2],
            delivery_times[delivery_times.len() - 1],
        );
        println!(
            "| {} | {} | change in force everywhere | median {median:.0?}, worst {slowest:.0?} of {} | | | |",
            self.fleet.entries.len(),
            self.worker_count,
            delivery_times.len(),
        );
        Ok(())
    }
}

/// Returns the mean CPU time and the maximum resident memory of the processes.
fn mean_usage<'a>(processes: impl Iterator<Item = &'a Process>) -> Usage {
    let usages: Vec<_> = processes.filter_map(Process::usage).collect();
    let count = u32::try_from(usages.len().max(1)).unwrap_or(u32::MAX);
    Usage {
        cpu_time: usages.iter().map(|u| u.cpu_time).sum::<Duration>() / count,
        resident_bytes: usages.iter().map(|u| u.resident_bytes).max().unwrap_or(0),
    }
}
