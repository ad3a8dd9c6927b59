//! Current state after a restart of all replicas, after a suspension and while a disk hangs.

use std::time::Duration;

use rstest::rstest;

use crate::sim::Sim;

/// Guards against a replica whose state counts as current after a restart of the whole group because it has reached the commit
/// index that a new leader sent before it had committed an entry of its own term.
#[rstest]
fn a_restarted_replica_is_current_only_with_all_committed_entries(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut sim = Sim::new(3, seed);
    for command in 0..20 {
        let leader = sim.elect();
        sim.propose(leader, command).unwrap();
        sim.run(Duration::from_millis(10));
    }
    let committed = *sim.committed.keys().max().unwrap();
    for node_index in 0..3 {
        sim.crash(node_index);
    }
    for node_index in 0..3 {
        sim.start(node_index);
    }
    let mut current = 0;
    for _ in 0..20_000 {
        sim.run(Duration::from_micros(100));
        current = 0;
        for node_index in 0..3 {
            let applied = sim.nodes[node_index].applied;
            if sim.replica(node_index).current_until(sim.now).is_some() {
                current += 1;
                assert!(applied >= committed, "{applied}");
            }
        }
    }
    assert_eq!(current, 3);
}

/// Guards against a follower that counts as current because it answers heartbeats, although its disk hangs and it applies
/// nothing.
#[rstest]
fn a_follower_whose_disk_hangs_is_not_current(#[values(1, 2, 3, 4)] seed: u64) {
    let mut sim = Sim::new(3, seed);
    let leader = sim.elect();
    sim.run(Duration::from_secs(1));
    let follower = usize::from(leader == 0);
    sim.nodes[follower].disk_hangs = true;
    let term = sim.replica(leader).term();
    for command in 0..200 {
        sim.propose(leader, command).unwrap();
        sim.run(Duration::from_millis(10));
        let committed = *sim.committed.keys().max().unwrap();
        let behind = sim.nodes[follower].applied < committed;
        let current = sim.replica(follower).current_until(sim.now).is_some();
        assert!(command < 70 || behind && !current, "command {command}");
    }
    assert!(sim.replica(follower).quorum_until(sim.now).is_some());
    sim.nodes[follower].disk_hangs = false;
    sim.run(Duration::from_millis(200));
    assert!(sim.replica(follower).current_until(sim.now).is_some());
    assert_eq!(sim.nodes[follower].applied, sim.nodes[leader].applied);
    assert_eq!(sim.replica(leader).term(), term);
}

/// Guards against a leader that counts replies to messages from before a suspension as contact: another replica may lead since.
#[rstest]
fn a_resumed_leader_needs_replies_to_later_messages(#[values(1, 2, 3, 4)] seed: u64) {
    let mut sim = Sim::new(3, seed);
    // Replies are under way at any time.
    sim.max_delay_us = 60_000;
    let leader = sim.elect();
    sim.run(Duration::from_secs(1));
    let term = sim.replica(leader).term();
    let resumed_at = sim.now;
    sim.replica_mut(leader).resume(resumed_at);
    let later = Duration::from_millis(1);
    while sim.replica(leader).lease_until(sim.now).is_none() {
        sim.run(later);
    }
    // A heartbeat is due every 75 ms.
    assert!(sim.now > resumed_at + later, "{:?}", sim.now - resumed_at);
    assert!(sim.now < resumed_at + Duration::from_millis(300));
    assert_eq!(sim.replica(leader).term(), term);
    let until = sim.replica(leader).lease_until(sim.now).unwrap();
    assert!(until >= resumed_at + Duration::from_millis(250));
}
