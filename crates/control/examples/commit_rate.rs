//! Benchmark of replicas on real files over loopback: commit rate and latency, restart time, time without a leader.

use std::error::Error;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chestnutvalve_control::replica::options::Peer;
use chestnutvalve_control::replica::{self, Handle, Network, Options, StateMachine};
use chestnutvalve_storage::{Directory, Disk};
use chestnutvalve_wire::{Router, Server};
use hdrhistogram::Histogram;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Duration of one measurement of the commit rate.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(3);
/// Size of a command: about that of a change with one edit.
const COMMAND_BYTES: usize = 200;
/// Number of leader losses in one measurement.
const LEADER_LOSS_ROUNDS: usize = 20;

type Failure = Box<dyn Error + Send + Sync>;

struct Instance {
    handle: Handle,
    server: JoinHandle<()>,
}

struct Cluster {
    folder: tempfile::TempDir,
    peers: Vec<Peer>,
    compact: u64,
    instances: Vec<Option<Instance>>,
}

/// Builds a state machine that counts commands, with a snapshot as large as the commands.
fn state_machine() -> StateMachine {
    let state = Arc::new(AtomicU64::new(0));
    let (apply, save, restore) = (state.clone(), state.clone(), state);
    StateMachine {
        check: Box::new(|_| Ok(())),
        apply: Box::new(move |_| {
            let count = apply.fetch_add(1, Ordering::Relaxed) + 1;
            count.to_le_bytes().to_vec()
        }),
        save: Box::new(move || {
            let count = save.load(Ordering::Relaxed);
            let mut bytes = count.to_le_bytes().to_vec();
            bytes.resize(8 + usize::try_from(count).unwrap_or(0) * COMMAND_BYTES, 0);
            bytes
        }),
        restore: Box::new(move |bytes| {
            let count = bytes.first_chunk().map_or(0, |b| u64::from_le_bytes(*b));
            restore.store(count, Ordering::Relaxed);
            Ok(())
        }),
    }
}

impl Cluster {
    async fn start(size: usize, compact: u64) -> Result<Self, Failure> {
        let mut cluster = Self {
            folder: tempfile::tempdir()?,
            peers: Vec::new(),
            compact,
            instances: Vec::new(),
        };
        let mut servers = Vec::new();
        for number in 0..size {
            let server = Server::bind("127.0.0.1:0".parse()?).await?;
            cluster.peers.push(Peer {
                name: format!("c{number}"),
                address: server.address()?,
            });
            servers.push(server);
        }
        for (number, server) in servers.into_iter().enumerate() {
            let instance = cluster.launch(number, server)?;
            cluster.instances.push(Some(instance));
        }
        Ok(cluster)
    }

    fn launch(&self, number: usize, server: Server) -> Result<Instance, Failure> {
        let peer = &self.peers[number];
        let path = self.folder.path().join(&peer.name);
        let directory = Arc::new(Directory::open(&path, &mut Disk::default())?);
        let options = Options::new("bench", &peer.name, peer.address)
            .with_members(self.peers.clone())
            .with_compaction(self.compact, 100);
        let network = Network::default();
        let disk = Disk::default();
        let handle = replica::start(&network, &directory, disk, options, state_machine())?;
        let server = tokio::spawn(server.serve(network.route(Router::default())));
        Ok(Instance { handle, server })
    }

    async fn end(&mut self, number: usize, planned: bool) {
        if let Some(instance) = self.instances[number].take() {
            if planned {
                instance.handle.stop().await;
            }
            instance.server.abort();
            instance.handle.abort().await;
            let _ = instance.server.await;
        }
    }

    async fn restart(&mut self, number: usize) -> Result<(), Failure> {
        let server = Server::bind(self.peers[number].address).await?;
        self.instances[number] = Some(self.launch(number, server)?);
        Ok(())
    }

    async fn leader(&self) -> usize {
        loop {
            let leads = |i: &Option<Instance>| i.as_ref().is_some_and(|i| i.handle.has_lease());
            if let Some(number) = self.instances.iter().position(leads) {
                return number;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn handle(&self, number: usize) -> Result<Handle, Failure> {
        let instance = self.instances[number].as_ref();
        Ok(instance
            .ok_or("the instance is not running")?
            .handle
            .clone())
    }
}

/// Commits with the given number of proposers for the measurement duration; returns the latencies in microseconds.
async fn measure_commits(handle: &Handle, proposers: usize) -> Result<Histogram<u64>, Failure> {
    let end = Instant::now() + MEASUREMENT_DURATION;
    let tasks = (0..proposers).map(|_| {
        let handle = handle.clone();
        tokio::spawn(async move {
            let mut times = Histogram::<u64>::new(3)?;
            while Instant::now() < end {
                let start = Instant::now();
                handle.propose(vec![7; COMMAND_BYTES]).await?;
                times.record(u64::try_from(start.elapsed().as_micros())?)?;
            }
            Ok::<_, Failure>(times)
        })
    });
    let mut times = Histogram::new(3)?;
    for task in tasks.collect::<Vec<_>>() {
        times.add(task.await??)?;
    }
    Ok(times)
}

async fn report_commit_rates(size: usize) -> Result<(), Failure> {
    let cluster = Cluster::start(size, 1_024).await?;
    let leader = cluster.leader().await;
    let follower = (leader + 1) % size;
    for (place, number) in [("leader", leader), ("follower", follower)] {
        for proposers in [1, 16, 256] {
            let times = measure_commits(&cluster.handle(number)?, proposers).await?;
            println!(
                "{size} replicas, {proposers:3} proposers at the {place}: {:6} commits/s, p50 {:5} us, p99 {:5} us",
                times.len() / MEASUREMENT_DURATION.as_secs(),
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
            );
        }
    }
    Ok(())
}

async fn report_restarts(entries: u64, compact: u64) -> Result<(), Failure> {
    let mut cluster = Cluster::start(1, compact).await?;
    cluster.leader().await;
    let handle = cluster.handle(0)?;
    let proposals = (0..entries).map(|_| {
        let handle = handle.clone();
        tokio::spawn(async move { handle.propose(vec![7; COMMAND_BYTES]).await })
    });
    for proposal in proposals.collect::<Vec<_>>() {
        proposal.await??;
    }
    drop(handle);
    let mut times = Vec::new();
    for _ in 0..5 {
        cluster.end(0, false).await;
        let start = Instant::now();
        cluster.restart(0).await?;
        cluster.leader().await;
        times.push(start.elapsed());
    }
    times.sort();
    let kind = if compact > entries { "without" } else { "with" };
    println!(
        "restart after {entries:5} entries {kind} snapshot: median {:?}, max {:?}",
        times[2], times[4]
    );
    Ok(())
}

async fn report_leader_losses(size: usize, planned: bool) -> Result<(), Failure> {
    let mut cluster = Cluster::start(size, 1_024).await?;
    let mut times = Vec::new();
    for _ in 0..LEADER_LOSS_ROUNDS {
        let leader = cluster.leader().await;
        // Lets the followers' election timers start from a heartbeat.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let start = Instant::now();
        cluster.end(leader, planned).await;
        cluster.leader().await;
        times.push(start.elapsed());
        cluster.restart(leader).await?;
    }
    times.sort();
    println!(
        "{size} replicas, leader {}: without a leader for median {:?}, max {:?} of {LEADER_LOSS_ROUNDS}",
        if planned { "stopped" } else { "lost" },
        times[LEADER_LOSS_ROUNDS / 2],
        times[LEADER_LOSS_ROUNDS - 1]
    );
    Ok(())
}

/// Measures write and sync without replication, as the baseline of a commit.
fn report_syncs(folder: &Path) -> Result<(), Failure> {
    let mut file = std::fs::File::create(folder.join("baseline"))?;
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..500 {
        let start = Instant::now();
        file.write_all(&[7; 4 * COMMAND_BYTES])?;
        file.sync_all()?;
        times.record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    println!(
        "write and sync alone: p50 {} us, p99 {} us",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99)
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    report_syncs(folder.path())?;
    for size in [3, 5] {
        report_commit_rates(size).await?;
    }
    for entries in [100, 500, 2_000] {
        report_restarts(entries, u64::MAX / 16).await?;
        report_restarts(entries, entries / 4).await?;
    }
    for planned in [false, true] {
        report_leader_losses(3, planned).await?;
    }
    report_leader_losses(5, false).await
}
