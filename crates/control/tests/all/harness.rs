//! Cluster of control instances in one process, and calls to them.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use chestnutvalve_control::daemon::{self, Instance};
use chestnutvalve_control::settings::{Settings, Voter};
use chestnutvalve_kernel::{Registry, registry};
use chestnutvalve_ledger::{ClaimReply, Command, Key};
use chestnutvalve_model::control::{Content, State, Update, Watch};
use chestnutvalve_model::id::{Control, Incarnation, Zone};
use chestnutvalve_model::version::Version;
use chestnutvalve_storage::Disk;
use chestnutvalve_wire::Client;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::support::{entry, service};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub struct Running {
    pub registry: Registry,
    pub instance: Arc<Instance>,
    pub client: Client,
    /// While set, no write to the disk completes.
    pub disk_hangs: Arc<AtomicBool>,
}

pub struct Cluster {
    pub directory: TempDir,
    pub ledger_groups: u32,
    pub members: Vec<Voter>,
    pub running: Vec<Option<Running>>,
}

/// Offset of the next port to try.
static NEXT_PORT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a free address below the range of ephemeral ports.
pub fn free_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(257);
    loop {
        let number = start.wrapping_add(NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(10_000 + number % 22_000).expect("below 32,000");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Cluster {
    pub async fn start(size: usize) -> Self {
        let name = |n| Control::new(&format!("c{n}")).expect("valid name");
        let voter = |n| Voter {
            control: name(n),
            peers: free_address(),
        };
        let mut cluster = Self {
            directory: TempDir::new().expect("temporary directory"),
            ledger_groups: 2,
            members: (0..size).map(voter).collect(),
            running: Vec::new(),
        };
        std::fs::write(cluster.directory.path().join("token"), "operators-token").expect("token");
        for n in 0..size {
            let running = cluster.launch(n).await;
            cluster.running.push(Some(running));
        }
        cluster.leader().await;
        cluster
    }

    pub async fn launch(&self, n: usize) -> Running {
        self.try_launch(n).await.expect("start the services")
    }

    pub async fn try_launch(&self, n: usize) -> Result<Running, registry::Error> {
        Self::run(self.settings(&self.members[n])).await
    }

    /// Starts an instance that does not vote.
    pub async fn launch_relay(&self) -> Running {
        let own = Voter {
            control: Control::new("relay").expect("valid name"),
            peers: free_address(),
        };
        let settings = Settings {
            voter: false,
            ..self.settings(&own)
        };
        Self::run(settings).await.expect("start the services")
    }

    fn settings(&self, own: &Voter) -> Settings {
        Settings {
            control: own.control.clone(),
            zone: Zone::new("barre").expect("valid name"),
            peers: own.peers,
            operators: free_address(),
            data: self.directory.path().join(own.control.as_str()),
            token_file: Some(self.directory.path().join("token")),
            members: self.members.clone(),
            voter: true,
            voters: 5,
            succession_ms: 4_000,
            ledger_groups: self.ledger_groups,
            log: chestnutvalve_telemetry::log::Threshold::Error,
        }
    }

    async fn run(settings: Settings) -> Result<Running, registry::Error> {
        let peers = settings.peers;
        let mut registry = Registry::default();
        let instance = daemon::register(&mut registry, settings).expect("register the services");
        let disk_hangs = Arc::new(AtomicBool::new(false));
        instance.set_disk(hanging_disk(&disk_hangs));
        registry.start().await?;
        Ok(Running {
            disk_hangs,
            registry,
            instance,
            client: Client::new(peers),
        })
    }

    pub async fn stop(&mut self, n: usize) {
        let running = self.running[n].take().expect("the instance runs");
        let Running {
            mut registry,
            instance,
            ..
        } = running;
        registry.stop().await.expect("stop the services");
        drop(instance);
    }

    pub fn alive(&self) -> impl Iterator<Item = (usize, &Running)> {
        let running = self.running.iter().enumerate();
        running.filter_map(|(n, running)| Some((n, running.as_ref()?)))
    }

    pub async fn leader(&self) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some((n, _)) = self
                .alive()
                .find(|(_, r)| r.instance.leading_term().is_some())
            {
                return n;
            }
            assert!(Instant::now() < deadline, "no leader");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn follower(&self) -> &Running {
        let leader = self.leader().await;
        let follower = self.alive().find(|(n, _)| *n != leader);
        follower.expect("a second instance runs").1
    }
}

fn hanging_disk(hangs: &Arc<AtomicBool>) -> Disk {
    let hangs = Arc::clone(hangs);
    let mut disk = Disk::default();
    let sync = disk.sync;
    disk.sync = Arc::new(move |file| {
        while hangs.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
        sync(file)
    });
    disk
}

pub fn watch(have: Version, wait_ms: u32) -> Watch {
    Watch {
        entry: entry("e1"),
        incarnation: Incarnation(1),
        have,
        services: None,
        wait_ms,
    }
}

pub async fn poll(client: &Client, have: Version, wait_ms: u32) -> Update {
    let answer = client
        .call("config/watch", &watch(have, wait_ms), CALL_TIMEOUT)
        .await;
    answer.expect("the watch is answered")
}

/// Polls an instance until its state meets the condition.
pub async fn follow(client: &Client, condition: impl Fn(&State) -> bool) -> State {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut state = State::default();
    while !condition(&state) {
        assert!(Instant::now() < deadline, "state not reached: {state:?}");
        match poll(client, state.version, 500).await.content {
            Content::Unchanged => {}
            Content::Snapshot(snapshot) => state = snapshot,
            Content::Records(records) => {
                for record in &records {
                    state.apply(record).expect("valid record");
                }
            }
        }
    }
    state
}

pub fn claim(key: &str, attempt: &str) -> Command {
    Command::Claim {
        key: Key {
            service: service("kasa"),
            customer: None,
            key: key.to_owned(),
        },
        fingerprint: 7,
        attempt: attempt.to_owned(),
        retention_s: 600,
    }
}

pub async fn claimed(client: &Client, command: &Command) -> ClaimReply {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match client.call("ledger/claim", command, CALL_TIMEOUT).await {
            Ok(claimed) => return claimed,
            Err(error) => assert!(Instant::now() < deadline, "claim: {error}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
}
