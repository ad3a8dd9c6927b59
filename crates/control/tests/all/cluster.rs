//! Control instances in one process, called through their listeners.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_control::daemon::{self, Instance};
use chestnutvalve_control::settings::{Settings, Voter};
use chestnutvalve_kernel::Registry;
use chestnutvalve_ledger::{Claimed, Command, Key, Outcome};
use chestnutvalve_model::control::{
    Ask, Content, Granted, Heartbeat, Registered, State, Update, Watch,
};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::{Control, Incarnation, Worker, Zone};
use chestnutvalve_model::version::Version;
use chestnutvalve_wire::{Client, Error};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::support::{change, entry, member, service, timeout};

const LIMIT: Duration = Duration::from_secs(10);
const CALL: Duration = Duration::from_secs(3);

struct Running {
    registry: Registry,
    instance: Arc<Instance>,
    client: Client,
}

struct Cluster {
    directory: TempDir,
    members: Vec<Voter>,
    running: Vec<Option<Running>>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    listener.local_addr().expect("address of the listener")
}

impl Cluster {
    async fn start(size: usize) -> Self {
        let name = |n| Control::new(&format!("c{n}")).expect("valid name");
        let voter = |n| Voter {
            control: name(n),
            peers: free_address(),
        };
        let mut cluster = Self {
            directory: TempDir::new().expect("temporary directory"),
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

    async fn launch(&self, n: usize) -> Running {
        let own = &self.members[n];
        let settings = Settings {
            control: own.control.clone(),
            zone: Zone::new("barre").expect("valid name"),
            peers: own.peers,
            operators: free_address(),
            data: self.directory.path().join(own.control.as_str()),
            token_file: self.directory.path().join("token"),
            members: self.members.clone(),
            voter: true,
            ledger_groups: 2,
            log: chestnutvalve_telemetry::log::Threshold::Error,
        };
        let mut registry = Registry::default();
        let instance = daemon::register(&mut registry, settings).expect("register the services");
        registry.start().await.expect("start the services");
        Running {
            registry,
            instance,
            client: Client::new(own.peers),
        }
    }

    async fn stop(&mut self, n: usize) {
        let running = self.running[n].take().expect("the instance runs");
        let Running {
            mut registry,
            instance,
            ..
        } = running;
        registry.stop().await.expect("stop the services");
        drop(instance);
    }

    fn alive(&self) -> impl Iterator<Item = (usize, &Running)> {
        let running = self.running.iter().enumerate();
        running.filter_map(|(n, running)| Some((n, running.as_ref()?)))
    }

    async fn leader(&self) -> usize {
        let deadline = Instant::now() + LIMIT;
        loop {
            if let Some((n, _)) = self.alive().find(|(_, r)| r.instance.leads().is_some()) {
                return n;
            }
            assert!(Instant::now() < deadline, "no leader");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn follower(&self) -> &Running {
        let leader = self.leader().await;
        let follower = self.alive().find(|(n, _)| *n != leader);
        follower.expect("a second instance runs").1
    }
}

fn watch(have: Version, wait_ms: u32) -> Watch {
    Watch {
        entry: entry("e1"),
        incarnation: Incarnation(1),
        have,
        services: None,
        wait_ms,
    }
}

async fn poll(client: &Client, have: Version, wait_ms: u32) -> Update {
    let answer = client
        .call("config/watch", &watch(have, wait_ms), CALL)
        .await;
    answer.expect("the watch is answered")
}

/// Follows an instance until its state meets the condition.
async fn follow(client: &Client, condition: impl Fn(&State) -> bool) -> State {
    let deadline = Instant::now() + LIMIT;
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

fn claim(key: &str, attempt: &str) -> Command {
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

async fn claimed(client: &Client, command: &Command) -> Claimed {
    let deadline = Instant::now() + LIMIT;
    loop {
        match client.call("ledger/claim", command, CALL).await {
            Ok(claimed) => return claimed,
            Err(error) => assert!(Instant::now() < deadline, "claim: {error}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against entries that only the leader can serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_instance_serves_an_entry() {
    let cluster = Cluster::start(3).await;
    let follower = cluster.follower().await;
    let heartbeat = Heartbeat {
        member: member("e1", 1),
        in_force: Version::ZERO,
        in_force_ms: 0,
        rates: Vec::new(),
    };
    let registered = follower
        .client
        .call::<_, Registered>("directory/heartbeat", &heartbeat, CALL);
    assert_eq!(registered.await.expect("heartbeat"), Registered::Accepted);
    let sent = change("amy", Version::ZERO, timeout(1_000));
    let version = follower
        .instance
        .change(sent.clone())
        .await
        .expect("accepted");
    for (_, running) in cluster.alive() {
        let state = follow(&running.client, |s| {
            s.version >= version && s.directory.members.contains_key(&entry("e1"))
        });
        assert_eq!(state.await.document.defaults.timeout_ms, 1_000);
        assert_eq!(running.instance.change(sent.clone()).await, Ok(version));
    }
    let left = (entry("e1"), Incarnation(1));
    let answer: Result<(), Error> = follower.client.call("directory/leave", &left, CALL).await;
    answer.expect("leave");
    follow(&follower.client, |s| {
        s.version > version && s.directory.members.is_empty()
    })
    .await;
}

/// Guards against an entry that is removed by a new leader, or kept after it has died.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_entry_expires_after_the_leader_has_led_long_enough() {
    let mut cluster = Cluster::start(3).await;
    let heartbeat = Heartbeat {
        member: member("e1", 1),
        in_force: Version::ZERO,
        in_force_ms: 0,
        rates: Vec::new(),
    };
    let follower = cluster.follower().await;
    let registered = follower
        .client
        .call::<_, Registered>("directory/heartbeat", &heartbeat, CALL);
    registered.await.expect("heartbeat");
    let joined = |s: &State| s.directory.members.contains_key(&entry("e1"));
    let before = follow(&follower.client, joined).await;
    let leader = cluster.leader().await;
    cluster.stop(leader).await;
    let next = cluster.leader().await;
    let since = Instant::now();
    let client = &cluster.running[next].as_ref().expect("runs").client;
    let expired = follow(client, |s| s.version >= before.version && !joined(s)).await;
    assert!(
        since.elapsed() >= Duration::from_millis(4_800),
        "{:?}",
        since.elapsed()
    );
    assert!(expired.version > before.version);
}

/// Guards against a second execution after a change of leader, a restart of the instance or a resend at another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_survive_changes_of_leader() {
    let mut cluster = Cluster::start(3).await;
    let first = cluster.follower().await.client.clone();
    for key in ["k1", "k2", "k3", "k4"] {
        assert_eq!(claimed(&first, &claim(key, "a1")).await, Claimed::Granted);
    }
    let outcome = Outcome {
        status: 201,
        headers: Vec::new(),
        body: Some(b"done".to_vec()),
    };
    let Command::Claim { key, .. } = claim("k1", "a1") else {
        unreachable!()
    };
    let record = Command::Record {
        key,
        attempt: "a1".to_owned(),
        outcome: outcome.clone(),
    };
    let recorded: Result<(), Error> = first.call("ledger/record", &record, CALL).await;
    recorded.expect("recorded");
    let leader = cluster.leader().await;
    cluster.stop(leader).await;
    for (_, running) in cluster.alive() {
        let client = &running.client;
        assert_eq!(
            claimed(client, &claim("k1", "a2")).await,
            Claimed::Recorded(outcome.clone())
        );
        assert_eq!(claimed(client, &claim("k2", "a1")).await, Claimed::Held);
        assert_eq!(claimed(client, &claim("k3", "a2")).await, Claimed::Unknown);
    }
    let restarted = cluster.launch(leader).await;
    assert_eq!(
        claimed(&restarted.client, &claim("k4", "a2")).await,
        Claimed::Unknown
    );
}

/// Guards against an instance that takes commands of the log from the network, such as a jump of log time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_time_is_not_moved_from_outside() {
    let cluster = Cluster::start(1).await;
    let client = &cluster.alive().next().expect("an instance runs").1.client;
    let command = Command::Advance {
        elapsed_ms: u64::MAX,
    };
    for path in ["ledger/claim", "ledger/record", "ledger/release"] {
        let answer: Result<(), Error> = client.call(path, &command, CALL).await;
        assert!(
            matches!(answer, Err(Error::Fault(f)) if f.kind == Kind::BadRequest),
            "{path}"
        );
    }
}

/// Guards against an instance that is cut off and neither says so nor refuses changes, and against a version that
/// goes back when it returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_without_quorum_is_stale() {
    let mut cluster = Cluster::start(3).await;
    let sent = change("amy", Version::ZERO, timeout(1_000));
    let leader = cluster.leader().await;
    let instance = &cluster.running[leader].as_ref().expect("runs").instance;
    let version = instance.change(sent.clone()).await.expect("accepted");
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    for n in &others {
        cluster.stop(*n).await;
    }
    let running = cluster.running[leader].as_ref().expect("runs");
    let deadline = Instant::now() + LIMIT;
    while !poll(&running.client, version, 100).await.stale {
        assert!(Instant::now() < deadline, "the instance does not notice");
    }
    let state = poll(&running.client, Version::ZERO, 0).await;
    assert!(matches!(state.content, Content::Snapshot(s) if s.version >= version));
    let second = change("bob", version, timeout(2_000));
    let refused = running
        .instance
        .change(second)
        .await
        .expect_err("no quorum");
    assert!(matches!(
        refused.fault.kind,
        Kind::NoQuorum | Kind::ChangeUnconfirmed
    ));
    // The second operator's change may still be in the log of the instance and be committed on return.
    for n in others {
        let restarted = cluster.launch(n).await;
        cluster.running[n] = Some(restarted);
    }
    cluster.leader().await;
    for (_, running) in cluster.alive() {
        let state = follow(&running.client, |s| s.version >= version).await;
        assert!(state.document.defaults.timeout_ms >= 1_000);
        assert_eq!(running.instance.change(sent.clone()).await, Ok(version));
    }
}

/// Guards against a new leader that grants ejections while grants of its predecessor may last.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_leader_grants_nothing_at_first() {
    let cluster = Cluster::start(3).await;
    let names = |n: std::ops::Range<u32>| -> Vec<Worker> {
        n.map(|n| Worker::new(&format!("w{n}")).expect("valid name"))
            .collect()
    };
    let ask = Ask {
        entry: entry("e1"),
        service: service("kasa"),
        registered: names(0..10),
        eligible: names(0..10),
        eject: names(0..2),
        held: names(1..2),
        floor_percent: 70,
    };
    let client = &cluster.follower().await.client;
    let deadline = Instant::now() + LIMIT;
    let granted: Granted = loop {
        match client.call("eject/grant", &ask, CALL).await {
            Ok(granted) => break granted,
            // A leader has no lease before its first round of heartbeats.
            Err(error) => assert!(Instant::now() < deadline, "grant: {error}"),
        }
        sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(
        granted.workers,
        names(1..2),
        "only the held one is confirmed"
    );
}

/// Guards against a start that takes longer the more changes there were, and against changes lost by a restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_after_two_thousand_changes_takes_less_than_two_seconds() {
    let mut cluster = Cluster::start(1).await;
    let instance = Arc::clone(&cluster.running[0].as_ref().expect("runs").instance);
    let mut version = Version::ZERO;
    for n in 0..2_000_u32 {
        let sent = change(&format!("c{n}"), version, timeout(1_000 + n));
        version = instance.change(sent).await.expect("accepted");
    }
    drop(instance);
    cluster.stop(0).await;
    let start = Instant::now();
    let running = cluster.launch(0).await;
    let state = follow(&running.client, |s| s.version >= version).await;
    let next = change("next", version, timeout(5_000));
    let deadline = start + LIMIT;
    while running.instance.change(next.clone()).await.is_err() {
        assert!(Instant::now() < deadline, "no change is accepted");
    }
    let elapsed = start.elapsed();
    assert!(
        elapsed < Duration::from_secs(2),
        "serving after {elapsed:?}"
    );
    assert_eq!(state.document.defaults.timeout_ms, 2_999);
    assert_eq!(running.instance.store().history().accepted().len(), 2_001);
}

/// Guards against claims that expire by an entry's clock, early or never.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_time_expires_claims() {
    let cluster = Cluster::start(1).await;
    let client = &cluster.running[0].as_ref().expect("runs").client;
    let short = |attempt: &str| {
        let mut command = claim("k1", attempt);
        if let Command::Claim { retention_s, .. } = &mut command {
            *retention_s = 6;
        }
        command
    };
    let start = Instant::now();
    assert_eq!(claimed(client, &short("a1")).await, Claimed::Granted);
    while claimed(client, &short("a2")).await == Claimed::Unknown {
        assert!(start.elapsed() < 3 * LIMIT, "the claim does not expire");
        sleep(Duration::from_millis(200)).await;
    }
    let elapsed = start.elapsed();
    assert!(
        elapsed >= Duration::from_secs(6),
        "expired after {elapsed:?}"
    );
}
