//! What replicas that restart take for current.

use std::time::Duration;

use rstest::rstest;

use crate::sim::Sim;

/// Guards against a replica that takes its state for current after a restart of all, because it has the commit index that a new
/// leader sent before an entry of its own term was committed.
#[rstest]
fn a_replica_is_current_only_with_all_that_was_committed(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut sim = Sim::new(3, seed);
    for command in 0..20 {
        let leader = sim.elect();
        sim.propose(leader, command).unwrap();
        sim.run(Duration::from_millis(10));
    }
    let committed = *sim.committed.keys().max().unwrap();
    for number in 0..3 {
        sim.crash(number);
    }
    for number in 0..3 {
        sim.start(number);
    }
    let mut current = 0;
    for _ in 0..20_000 {
        sim.run(Duration::from_micros(100));
        current = 0;
        for number in 0..3 {
            let replica = sim.replica(number);
            if replica.is_caught_up(sim.now) {
                current += 1;
                assert!(replica.commit() >= committed, "{}", replica.commit());
            }
        }
    }
    assert_eq!(current, 3);
}
