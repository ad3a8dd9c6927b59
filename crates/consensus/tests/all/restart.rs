//! Caught-up state after a restart of all replicas.

use std::time::Duration;

use rstest::rstest;

use crate::sim::Sim;

/// Guards against a replica that counts as caught up after a restart of the whole group because it has reached the commit index
/// that a new leader sent before it had committed an entry of its own term.
#[rstest]
fn a_restarted_replica_is_caught_up_only_with_all_committed_entries(
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
    let mut caught_up = 0;
    for _ in 0..20_000 {
        sim.run(Duration::from_micros(100));
        caught_up = 0;
        for node_index in 0..3 {
            let replica = sim.replica(node_index);
            if replica.is_caught_up(sim.now) {
                caught_up += 1;
                assert!(replica.commit() >= committed, "{}", replica.commit());
            }
        }
    }
    assert_eq!(caught_up, 3);
}
