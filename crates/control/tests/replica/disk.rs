//! Failed syncs, rolled-back and replaced disks, restarts.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use chestnutvalve_consensus::{MembershipChange, Settings};
use chestnutvalve_control::replica::options::Peer;
use chestnutvalve_control::replica::{Options, Role};
use chestnutvalve_model::error::Kind;
use chestnutvalve_storage::{Directory, Disk};
use rstest::rstest;
use tokio::time::{Instant, timeout};

use crate::cluster::{Cluster, wait};

/// Number of commands before the measured restart.
const COMMANDS: usize = 2_000;
/// Maximum time until a replica stops after a failed sync.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time until a restarted replica serves.
const RESTART_TIMEOUT: Duration = Duration::from_secs(2);

fn with_quick_replacement(options: Options) -> Options {
    options.with_settings(Settings {
        replacement_timeout: Duration::from_millis(500),
        ..Settings::default()
    })
}

/// Guards against a replica that keeps voting and acknowledging after a failed sync, and against a group that stops with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_stops_after_a_failed_sync() {
    let mut cluster = Cluster::start(3).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    let leader = cluster.wait_leader().await;
    cluster.crash(leader).await;
    let fails = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&fails);
    let mut disk = Disk::default();
    let sync = disk.sync;
    disk.sync = Arc::new(move |file| {
        if switch.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("device is gone"));
        }
        sync(file)
    });
    cluster.restart_with(leader, disk, |o| o).await.unwrap();
    cluster.wait_commands(leader, 1).await;
    fails.store(true, Ordering::Relaxed);
    let other = (leader + 1) % 3;
    // If the failing replica leads again, it can't tell whether this is committed.
    let _ = cluster.handle(other).propose(b"second".to_vec()).await;
    let end = cluster.handle(leader).stopped();
    let fault = timeout(Duration::from_secs(5), end).await.unwrap();
    assert!(fault.unwrap_err().context.contains("device is gone"));
    assert!(!cluster.handle(leader).status().quorum);
    let refused = cluster.handle(leader).propose(b"third".to_vec()).await;
    assert_eq!(refused.unwrap_err().kind, Kind::NoQuorum);
    cluster.wait_leader().await;
    cluster
        .handle(other)
        .propose(b"fourth".to_vec())
        .await
        .unwrap();
}

/// Returns a disk on which syncs of files longer than `max_bytes` fail, and the length of the last file that was synced.
fn disk_with_limit(max_bytes: u64) -> (Disk, Arc<AtomicU64>) {
    let synced = Arc::new(AtomicU64::new(0));
    let last = Arc::clone(&synced);
    let mut disk = Disk::default();
    let sync = disk.sync;
    disk.sync = Arc::new(move |file| {
        let metadata = file.metadata()?;
        if metadata.is_file() && metadata.len() > max_bytes {
            return Err(std::io::Error::other("device is full"));
        }
        sync(file)?;
        if metadata.is_file() {
            last.store(metadata.len(), Ordering::Relaxed);
        }
        Ok(())
    });
    (disk, synced)
}

/// Returns the length of the log file of an empty replica.
fn empty_log_bytes() -> u64 {
    let folder = tempfile::tempdir().unwrap();
    let directory = Directory::open(folder.path(), &mut Disk::default()).unwrap();
    directory.open_group("test", Disk::default()).unwrap();
    fs::metadata(folder.path().join("test/log")).unwrap().len()
}

/// Guards against a group without a leader: the settings name other instances than the voters, one voter has lost its disk,
/// and another one had stored no membership yet, or only its vote, so that its next vote is needed.
#[rstest]
#[case::stored_nothing(0)]
#[case::stored_its_vote(64)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_voter_without_a_stored_membership_votes_after_a_restart(#[case] room_bytes: u64) {
    let (limited, synced) = disk_with_limit(empty_log_bytes() + room_bytes);
    let disks = [Disk::default(), Disk::default(), limited];
    let mut cluster = Cluster::start_on(&disks, false).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    let end = cluster.handle(2).stopped();
    timeout(STOP_TIMEOUT, end).await.unwrap().unwrap_err();
    for number in 0..3 {
        cluster.crash(number).await;
    }
    // Power loss: the unsynced part of the log is gone.
    let log = fs::File::options()
        .write(true)
        .open(cluster.path(2).join("test/log"));
    log.unwrap()
        .set_len(synced.load(Ordering::Relaxed))
        .unwrap();
    let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let seed = Peer {
        name: "seed".to_owned(),
        address: unused.local_addr().unwrap(),
    };
    drop(unused);
    for number in [0, 2] {
        let adapt = |options: Options| options.with_members(vec![seed.clone()]);
        let started = cluster.restart_with(number, Disk::default(), adapt).await;
        started.unwrap();
    }
    cluster.wait_leader().await;
    cluster.handle(2).propose(b"second".to_vec()).await.unwrap();
}

/// Guards against a leader that keeps its leadership while its disk hangs and proposers get no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_with_a_hanging_disk_transfers_its_leadership() {
    let mut cluster = Cluster::start(3).await;
    let hangs: [Arc<AtomicBool>; 3] = Default::default();
    for (number, switch) in hangs.iter().cloned().enumerate() {
        let mut disk = Disk::default();
        let sync = disk.sync;
        disk.sync = Arc::new(move |file| {
            if switch.swap(false, Ordering::Relaxed) {
                std::thread::sleep(Duration::from_secs(6));
            }
            sync(file)
        });
        cluster.crash(number).await;
        cluster.restart_with(number, disk, |o| o).await.unwrap();
    }
    let leader = cluster.wait_leader().await;
    hangs[leader].store(true, Ordering::Relaxed);
    let slow = cluster.handle(leader).clone();
    let open = tokio::spawn(async move { slow.propose(b"first".to_vec()).await });
    let new = wait("another leader", || {
        cluster.leader().filter(|new| *new != leader)
    })
    .await;
    cluster
        .handle(new)
        .propose(b"second".to_vec())
        .await
        .unwrap();
    assert_eq!(
        cluster.commands(new),
        [b"first".to_vec(), b"second".to_vec()]
    );
    assert_eq!(
        open.await.unwrap().unwrap_err().kind,
        Kind::ChangeUnconfirmed
    );
}

/// Guards against a follower that passes for current while its disk hangs: it answers heartbeats, but applies nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_follower_with_a_hanging_disk_is_not_current() {
    let mut cluster = Cluster::start(3).await;
    let follower = (cluster.wait_leader().await + 1) % 3;
    let hangs = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&hangs);
    let mut disk = Disk::default();
    let sync = disk.sync;
    disk.sync = Arc::new(move |file| {
        while switch.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
        sync(file)
    });
    cluster.crash(follower).await;
    cluster.restart_with(follower, disk, |o| o).await.unwrap();
    let handle = cluster.handle(follower).clone();
    let is_current = |expected| (handle.is_current() == expected).then_some(());
    wait("current follower", || is_current(true)).await;
    hangs.store(true, Ordering::Relaxed);
    let other = cluster.handle((follower + 1) % 3);
    other.propose(b"first".to_vec()).await.unwrap();
    wait("follower that is not current", || is_current(false)).await;
    assert!(handle.status().quorum);
    assert!(cluster.commands(follower).is_empty());
    hangs.store(false, Ordering::Relaxed);
    wait("current follower", || is_current(true)).await;
    assert_eq!(cluster.commands(follower), [b"first".to_vec()]);
}

/// Guards against replicas that end, or changes that stay refused, after the disks were full for a while in turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_group_continues_after_full_disks_in_turn() {
    let full: [Arc<AtomicBool>; 3] = Default::default();
    let disks: Vec<Disk> = full.iter().map(full_disk).collect();
    let mut cluster = Cluster::start_on(&disks, false).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    for number in 0..6 {
        // The leader's disk every other time.
        let leader = cluster.wait_leader().await;
        let filled = if number % 2 == 0 {
            leader
        } else {
            (leader + 1) % 3
        };
        full[filled].store(true, Ordering::Relaxed);
        // A leader can't tell whether what it appended before it noticed will be committed.
        let _ = cluster.handle(leader).propose(b"unclear".to_vec()).await;
        tokio::time::sleep(Duration::from_millis(800)).await;
        let other = cluster.handle((filled + 1) % 3);
        other.propose(b"accepted".to_vec()).await.unwrap();
        full[filled].store(false, Ordering::Relaxed);
        let handle = cluster.handle(filled);
        wait("current replica", || handle.is_current().then_some(())).await;
    }
    let since = Instant::now();
    cluster.handle(0).propose(b"last".to_vec()).await.unwrap();
    assert!(since.elapsed() < RESTART_TIMEOUT, "{:?}", since.elapsed());
    let leader = cluster.wait_leader().await;
    let commands = cluster.commands(leader);
    let accepted = commands.iter().filter(|c| *c == b"accepted");
    assert_eq!(accepted.count(), 6);
    for (number, full) in full.iter().enumerate() {
        cluster.wait_commands(number, commands.len()).await;
        assert_eq!(cluster.commands(number), commands);
        // A replica with a full disk stops when it is told to.
        full.store(true, Ordering::Relaxed);
    }
    for number in 0..3 {
        timeout(STOP_TIMEOUT, cluster.stop(number)).await.unwrap();
    }
}

/// Returns a disk that refuses writes while `full` is set.
fn full_disk(full: &Arc<AtomicBool>) -> Disk {
    let full = Arc::clone(full);
    let mut disk = Disk::default();
    let write = disk.write;
    disk.write = Arc::new(move |file, bytes| {
        if full.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        write(file, bytes)
    });
    disk
}

/// Guards against a restart that exceeds the time limit after many commands, with and without a snapshot.
#[rstest]
#[case::without_snapshot(u64::MAX / 16)]
#[case::with_snapshots(500)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_after_many_commands_is_fast(#[case] entries: u64) {
    let mut cluster = Cluster::start(1).await;
    let adapt = move |options: Options| options.with_compaction(entries, 100);
    cluster.crash(0).await;
    cluster
        .restart_with(0, Disk::default(), adapt)
        .await
        .unwrap();
    let proposals = (0..COMMANDS).map(|number| {
        let handle = cluster.handle(0).clone();
        tokio::spawn(async move { handle.propose(number.to_le_bytes().to_vec()).await })
    });
    for proposal in proposals.collect::<Vec<_>>() {
        proposal.await.unwrap().unwrap();
    }
    let before = cluster.commands(0);
    cluster.crash(0).await;
    let start = Instant::now();
    cluster
        .restart_with(0, Disk::default(), adapt)
        .await
        .unwrap();
    cluster.handle(0).propose(b"last".to_vec()).await.unwrap();
    assert!(start.elapsed() < RESTART_TIMEOUT, "{:?}", start.elapsed());
    assert_eq!(cluster.commands(0)[..COMMANDS], before);
    let snapshot = cluster.path(0).join("test/snapshot").exists();
    assert_eq!(snapshot, entries == 500);
}

/// Guards against a lagging replica that can't catch up because the entries it lacks are compacted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lagging_replica_receives_a_snapshot() {
    let mut cluster = Cluster::start(3).await;
    let lost = cluster.wait_leader().await;
    let adapt = |options: Options| options.with_compaction(20, 5);
    for number in 0..3 {
        cluster.crash(number).await;
    }
    for number in (0..3).filter(|number| *number != lost) {
        cluster
            .restart_with(number, Disk::default(), adapt)
            .await
            .unwrap();
    }
    let leader = cluster.wait_leader().await;
    for number in 0..100_u32 {
        let command = number.to_le_bytes().to_vec();
        cluster.handle(leader).propose(command).await.unwrap();
    }
    cluster.restart(lost).await;
    cluster.wait_commands(lost, 100).await;
    assert_eq!(cluster.commands(lost), cluster.commands(leader));
}

/// Guards against a replica with a replaced disk that votes under its old identity or never becomes a voter again, and against
/// a group that does not survive the loss of another replica right after the repair.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_replica_may_be_lost_after_a_repair() {
    let mut cluster = Cluster::start(3).await;
    for number in 0..3 {
        cluster.crash(number).await;
        cluster
            .restart_with(number, Disk::default(), with_quick_replacement)
            .await
            .unwrap();
    }
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    let leader = cluster.wait_leader().await;
    let lost = (leader + 1) % 3;
    let before = cluster.handle(leader).members();
    cluster.crash(lost).await;
    fs::remove_dir_all(cluster.path(lost)).unwrap();
    cluster
        .restart_with(lost, Disk::default(), with_quick_replacement)
        .await
        .unwrap();
    wait("the repair", || {
        let members = cluster.handle(leader).members();
        let replaced = members
            .members
            .iter()
            .all(|member| member.name != format!("c{lost}") || before.get(member.id).is_none());
        (replaced && members.voters().count() == 3).then_some(())
    })
    .await;
    cluster.crash(leader).await;
    cluster.wait_leader().await;
    cluster
        .handle(lost)
        .propose(b"second".to_vec())
        .await
        .unwrap();
    cluster.wait_commands(lost, 2).await;
}

/// Guards against a replica that votes and acknowledges although its data directory was restored from an earlier copy, which
/// lacks entries that it has acknowledged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolled_back_data_directory_is_refused() {
    let mut cluster = Cluster::start(3).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    let leader = cluster.wait_leader().await;
    let rolled_back = (leader + 1) % 3;
    cluster.wait_commands(rolled_back, 1).await;
    let log = cluster.path(rolled_back).join("test/log");
    let early = fs::read(&log).unwrap();
    cluster.handle(0).propose(b"second".to_vec()).await.unwrap();
    cluster.wait_commands(rolled_back, 2).await;
    cluster.crash(rolled_back).await;
    fs::write(&log, early).unwrap();
    cluster.restart(rolled_back).await;
    let end = cluster.handle(rolled_back).stopped();
    let fault = timeout(Duration::from_secs(5), end).await.unwrap();
    assert!(fault.unwrap_err().context.contains("rolled back"));
}

/// Guards against a process whose other tasks stand still while the removal of its replica is stored on a slow disk.
#[tokio::test]
async fn a_removal_is_stored_beside_other_tasks() {
    let mut disk = Disk::default();
    let write = disk.write;
    disk.write = Arc::new(move |file, bytes| {
        if bytes.starts_with(b"removed") {
            std::thread::sleep(Duration::from_secs(2));
        }
        write(file, bytes)
    });
    let cluster = Cluster::start_on(&vec![disk; 3], false).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    let leader = cluster.wait_leader().await;
    let removed = (leader + 1) % 3;
    let name = format!("c{removed}");
    let members = cluster.handle(leader).members();
    let member = members.members.iter().find(|m| m.name == name).unwrap();
    let change = MembershipChange::Remove(member.id);
    cluster.handle(leader).change(change).await.unwrap();
    let removed = cluster.handle(removed).clone();
    let end = tokio::spawn(async move { timeout(2 * STOP_TIMEOUT, removed.stopped()).await });
    let mut longest = Duration::ZERO;
    while !end.is_finished() {
        let since = Instant::now();
        tokio::time::sleep(Duration::from_millis(10)).await;
        longest = longest.max(since.elapsed());
    }
    let fault = end.await.unwrap().unwrap().unwrap_err();
    assert_eq!(fault.kind, Kind::MemberRemoved);
    assert!(
        longest < Duration::from_secs(1),
        "stood still for {longest:?}"
    );
}

/// Guards against a replica that its group can no longer reach after a restart at another address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_may_restart_at_another_address() {
    let mut cluster = Cluster::start(3).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    for number in 0..3 {
        cluster.crash(number).await;
        cluster.peers[number].address.set_port(0);
        cluster.restart(number).await;
        cluster.wait_commands(number, 1).await;
        let leader = cluster.wait_leader().await;
        cluster
            .handle(leader)
            .propose(b"next".to_vec())
            .await
            .unwrap();
        cluster.wait_commands(number, number + 2).await;
    }
    cluster.handle(0).propose(b"last".to_vec()).await.unwrap();
}

/// Guards against an additional instance that becomes a voter although it was started as a learner, or does not replicate.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_replicates_without_a_vote() {
    let mut cluster = Cluster::start(3).await;
    cluster.handle(0).propose(b"first".to_vec()).await.unwrap();
    let relay = |options: Options| options.with_voter(false);
    cluster
        .restart_with(3, Disk::default(), relay)
        .await
        .unwrap();
    cluster.wait_commands(3, 1).await;
    cluster.handle(3).propose(b"second".to_vec()).await.unwrap();
    let status = cluster.handle(3).status();
    assert_eq!(status.role, Role::Learner);
    wait("contact with a quorum", || {
        cluster.handle(3).status().quorum.then_some(())
    })
    .await;
    let leader = cluster.wait_leader().await;
    assert_eq!(cluster.handle(leader).members().voters().count(), 3);
}
