//! At-most-once claims at a cluster of control instances.

use std::time::Duration;

use chestnutvalve_ledger::{Claimed, Command, Outcome};
use chestnutvalve_model::error::Kind;
use chestnutvalve_wire::Error;
use tokio::time::{Instant, sleep};

use crate::harness::{CALL_TIMEOUT, Cluster, WAIT_TIMEOUT, claim, claimed};

/// Guards against a second execution after a change of leader, a restart of the instance or a retry at another one.
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
    let recorded: Result<(), Error> = first.call("ledger/record", &record, CALL_TIMEOUT).await;
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

/// Guards against an instance that accepts internal log commands from the network, such as an advance of log time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_time_is_not_advanced_from_outside() {
    let cluster = Cluster::start(1).await;
    let client = &cluster.alive().next().expect("an instance runs").1.client;
    let command = Command::Advance {
        elapsed_ms: u64::MAX,
    };
    for path in ["ledger/claim", "ledger/record", "ledger/release"] {
        let answer: Result<(), Error> = client.call(path, &command, CALL_TIMEOUT).await;
        assert!(
            matches!(answer, Err(Error::Fault(f)) if f.kind == Kind::BadRequest),
            "{path}"
        );
    }
}

/// Guards against claims that expire by an entry's clock, too early or never.
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
        assert!(
            start.elapsed() < 3 * WAIT_TIMEOUT,
            "the claim does not expire"
        );
        sleep(Duration::from_millis(200)).await;
    }
    let elapsed = start.elapsed();
    assert!(
        elapsed >= Duration::from_secs(6),
        "expired after {elapsed:?}"
    );
}

/// Guards against a second execution through an instance whose settings map keys to other groups.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_with_another_number_of_groups_makes_no_claims() {
    let mut cluster = Cluster::start(3).await;
    let first = cluster.running[0].as_ref().expect("runs").client.clone();
    for n in 0..8 {
        let granted = claimed(&first, &claim(&format!("k{n}"), "a1")).await;
        assert_eq!(granted, Claimed::Granted);
    }
    cluster.stop(2).await;
    cluster.ledger_groups = 3;
    let wrong = cluster.launch(2).await;
    for n in 0..8 {
        let command = claim(&format!("k{n}"), "a2");
        let answer: Result<Claimed, Error> = wrong
            .client
            .call("ledger/claim", &command, CALL_TIMEOUT)
            .await;
        assert!(
            !matches!(answer, Ok(Claimed::Granted | Claimed::Held)),
            "{answer:?}"
        );
    }
}

/// Guards against the loss of claims, or of the number of groups, when the log is compacted into a snapshot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_survive_compaction_and_restart() {
    let mut cluster = Cluster::start(1).await;
    let client = cluster.running[0].as_ref().expect("runs").client.clone();
    // Each of the two groups takes a snapshot after 1,024 entries.
    for n in 0..2_600 {
        let granted = claimed(&client, &claim(&format!("k{n}"), "a1")).await;
        assert_eq!(granted, Claimed::Granted);
    }
    cluster.stop(0).await;
    let running = cluster.launch(0).await;
    let client = &running.client;
    for n in [0, 1, 2, 3, 1_500, 2_599] {
        let again = claimed(client, &claim(&format!("k{n}"), "a2")).await;
        assert_eq!(again, Claimed::Unknown, "k{n}");
    }
    let kept: usize = running.instance.ledgers.iter().map(|g| g.stats().0).sum();
    assert_eq!(kept, 2_600);
}
