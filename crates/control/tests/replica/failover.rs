//! Replication, and loss and return of replicas.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chestnutvalve_consensus::Settings;
use chestnutvalve_control::rendezvous::Rendezvous;
use chestnutvalve_control::replica::options::Peer;
use chestnutvalve_control::replica::{Options, Role, Suspension};
use chestnutvalve_model::error::Kind;
use chestnutvalve_storage::Disk;
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, wait};

/// Guards against a group that is not bootstrapped, and against a follower that does not forward proposals.
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

/// Guards against groups that receive each other's messages or use each other's files, and against a group that fails with
/// another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_groups_share_connections_and_directories() {
    let mut cluster = Cluster::start_with(3, true).await;
    let second = |cluster: &Cluster, number: usize| {
        let instance = cluster.instances[number].as_ref().unwrap();
        instance.second.clone().unwrap()
    };
    for count in 1..=5_u64 {
        let handle = second(&cluster, 0);
        let result = handle.propose(b"second".to_vec()).await.unwrap();
        assert_eq!(result, count.to_le_bytes());
    }
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    assert_eq!(cluster.commands(0), [b"first".to_vec()]);
    cluster.crash(1).await;
    cluster.restart(1).await;
    cluster.handle(1).abort().await;
    let handle = second(&cluster, 1);
    let result = handle.propose(b"second".to_vec()).await.unwrap();
    assert_eq!(result, 6_u64.to_le_bytes());
}

/// Guards against a group that never forms because one of its first instances is lost before the others have met it, although the
/// settings name another one in its place; and against a group that forms without a replacement, at two instances, or where most of
/// the first instances don't respond and may have a group.
#[rstest]
#[case::replaced(&[2], &[0, 1, 3], true)]
#[case::replaced_and_another(&[2], &[0, 1, 3, 4], true)]
#[case::not_replaced(&[2], &[0, 1, 2], false)]
#[case::fewer(&[2], &[0, 1], false)]
#[case::replacement_is_silent(&[2], &[0, 1, 5], false)]
#[case::without_this_one(&[2], &[1, 3, 4], false)]
#[case::first_one_is_lost(&[0], &[1, 2, 3], false)]
#[case::most_are_lost(&[1, 2], &[0, 3, 4], false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_group_forms_with_the_replacement_of_a_lost_instance(
    #[case] lost: &[usize],
    #[case] named: &[usize],
    #[case] forms: bool,
) {
    let mut cluster = Cluster::idle(6).await;
    let peers = cluster.peers.clone();
    let select = |numbers: &[usize]| {
        numbers
            .iter()
            .map(|n| peers[*n].clone())
            .collect::<Vec<_>>()
    };
    let addresses = |peers: &[Peer]| peers.iter().map(|p| p.address).collect::<Vec<_>>();
    let first = select(&[0, 1, 2]);
    let rendezvous = Rendezvous::new(addresses(&first));
    for number in (0..3).filter(|number| !lost.contains(number)) {
        let (first, rendezvous) = (&first, &rendezvous);
        let adapt = |options: Options| {
            let options = options.with_members(first.clone());
            options.with_rendezvous(rendezvous.clone())
        };
        let started = cluster.restart_with(number, Disk::default(), adapt).await;
        started.unwrap();
    }
    for number in [3, 4] {
        let adapt = |options: Options| {
            let named = select(&[0, 1, 3]);
            let rendezvous = Rendezvous::new(addresses(&named));
            options.with_members(named).with_rendezvous(rendezvous)
        };
        let started = cluster.restart_with(number, Disk::default(), adapt).await;
        started.unwrap();
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.leader(), None, "formed without the lost instance");
    rendezvous.set_configured(&addresses(&select(named)));
    if !forms {
        sleep(Duration::from_secs(2)).await;
        assert_eq!(cluster.leader(), None);
        return;
    }
    cluster.wait_leader().await;
    cluster.handle(1).propose(b"first".to_vec()).await.unwrap();
    for number in [0, 1, 3] {
        cluster.wait_commands(number, 1).await;
    }
}

/// Guards against a second group of an instance that lost its disk, while the member that replacements would take the place of
/// is only cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_group_forms_with_replacements_beside_an_announced_one() {
    let mut cluster = Cluster::idle(4).await;
    let peers = cluster.peers.clone();
    let (first, named) = (&peers[..3], [0, 1, 3].map(|n: usize| peers[n].address));
    let rendezvous = Rendezvous::new(named.to_vec());
    rendezvous.record_members(&[peers[2].address]);
    for number in [0, 1, 3] {
        let adapt = |options: Options| {
            let options = options.with_members(first.to_vec());
            options.with_rendezvous(rendezvous.clone())
        };
        let started = cluster.restart_with(number, Disk::default(), adapt).await;
        started.unwrap();
    }
    sleep(Duration::from_secs(2)).await;
    assert_eq!(cluster.leader(), None);
}

/// Guards against the loss of committed commands when the leader is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_group_survives_the_loss_of_the_leader() {
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
async fn a_planned_stop_transfers_the_leadership() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.wait_leader().await;
    cluster.stop(leader).await;
    let stopped = Instant::now();
    cluster.wait_leader().await;
    assert!(stopped.elapsed() < Settings::default().election_timeout_min);
}

/// Guards against a proposal that is reported as not appended although it may be committed later, and against a replica that
/// reports contact with a quorum without having it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_without_a_quorum_are_reported_correctly() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.wait_leader().await;
    cluster.crash((leader + 1) % 3).await;
    cluster.crash((leader + 2) % 3).await;
    let open = cluster.handle(leader).propose(b"open".to_vec()).await;
    assert_eq!(open.unwrap_err().kind, Kind::ChangeUnconfirmed);
    assert!(!cluster.handle(leader).has_lease());
    assert!(!cluster.handle(leader).status().quorum);
    let refused = cluster.handle(leader).propose(b"refused".to_vec()).await;
    assert_eq!(refused.unwrap_err().kind, Kind::NoQuorum);
    cluster.restart((leader + 1) % 3).await;
    cluster
        .handle(leader)
        .propose(b"last".to_vec())
        .await
        .unwrap();
    let commands = cluster.commands(leader);
    assert!(!commands.contains(&b"refused".to_vec()));
    assert_eq!(commands.last().unwrap(), b"last");
}

/// Guards against a forced recovery that fails at the only surviving replica or loses commands.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_survivor_is_recovered_by_force() {
    let mut cluster = Cluster::start(3).await;
    let survivor = cluster.wait_leader().await;
    let propose = cluster.handle(survivor).propose(b"first".to_vec());
    propose.await.unwrap();
    let refused = cluster.handle(survivor).recover("by mistake").await;
    assert!(refused.is_err());
    cluster.crash((survivor + 1) % 3).await;
    cluster.crash((survivor + 2) % 3).await;
    let term = cluster.handle(survivor).status().term;
    wait("the loss of the quorum", || {
        (cluster.handle(survivor).status().role != Role::Leader).then_some(())
    })
    .await;
    cluster
        .handle(survivor)
        .recover("two disks burnt")
        .await
        .unwrap();
    let propose = cluster.handle(survivor).propose(b"second".to_vec());
    propose.await.unwrap();
    assert_eq!(
        cluster.commands(survivor),
        [b"first".to_vec(), b"second".to_vec()]
    );
    assert!(cluster.handle(survivor).status().term > term + 1_000_000);
}

/// Guards against a leader that confirms an older state after a suspension, because the clock that measures its lease stood still
/// meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_leader_has_no_lease_until_it_has_heard_a_quorum() {
    let mut cluster = Cluster::start(3).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    let suspended_ms = Arc::new(AtomicU64::new(0));
    let total = Arc::clone(&suspended_ms);
    let suspension = Suspension::new(move || Duration::from_millis(total.load(Ordering::Relaxed)));
    for number in 0..3 {
        cluster.crash(number).await;
    }
    for number in 0..3 {
        let adapt = |options: Options| options.with_suspension(suspension.clone());
        let started = cluster.restart_with(number, Disk::default(), adapt).await;
        started.unwrap();
    }
    let leader = cluster.wait_leader().await;
    wait("current followers", || {
        let mut followers = (0..3).filter(|number| *number != leader);
        followers
            .all(|number| cluster.handle(number).is_current())
            .then_some(())
    })
    .await;
    suspended_ms.store(5_000, Ordering::Relaxed);
    for number in 0..3 {
        let handle = cluster.handle(number);
        assert!(!handle.has_lease() && !handle.is_current(), "{number}");
    }
    wait("a lease again", || cluster.leader()).await;
    cluster.handle(0).propose(b"second".to_vec()).await.unwrap();
}
