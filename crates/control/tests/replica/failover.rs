//! Replication, loss and return of replicas.

use chestnutvalve_consensus::Settings;
use tokio::time::Instant;

use crate::cluster::Cluster;

/// Guards against a group that does not form, and against a follower that does not pass proposals on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_replicas_apply_the_proposals_of_each() {
    let cluster = Cluster::start(3).await;
    for number in 0..3 {
        let command = format!("from {number}").into_bytes();
        let result = cluster.handle(number).propose(command).await.unwrap();
        assert_eq!(result, (number + 1).to_le_bytes());
    }
    for number in 0..3 {
        cluster.wait_commands(number, 3).await;
        assert_eq!(cluster.commands(number), cluster.commands(0));
    }
}

/// Guards against the loss of committed commands with the leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_others_go_on_after_the_loss_of_the_leader() {
    let mut cluster = Cluster::start(3).await;
    cluster.handle(0).propose(b"before".to_vec()).await.unwrap();
    let lost = cluster.wait_leader().await;
    cluster.crash(lost).await;
    cluster.wait_leader().await;
    let other = (lost + 1) % 3;
    cluster
        .handle(other)
        .propose(b"after".to_vec())
        .await
        .unwrap();
    cluster.restart(lost).await;
    cluster.wait_commands(lost, 2).await;
    assert_eq!(cluster.commands(lost), cluster.commands(other));
}

/// Guards against a planned stop that leaves the group without a leader for an election timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_hands_the_leadership_over() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.wait_leader().await;
    cluster.stop(leader).await;
    let stopped = Instant::now();
    cluster.wait_leader().await;
    assert!(stopped.elapsed() < Settings::default().election_min);
}
