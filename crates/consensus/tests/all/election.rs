//! Elections, one-way partitions, leader lease and leadership transfer.

use std::time::Duration;

use chestnutvalve_consensus::Role;
use rstest::rstest;

use crate::sim::Sim;

/// Max time until a leader without quorum steps down: the max election timeout and one heartbeat interval.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(675);

fn isolate(sim: &mut Sim, node_index: usize, outgoing: bool, incoming: bool) {
    for other in 0..sim.nodes.len() {
        if outgoing {
            sim.blocked.insert((node_index, other));
        }
        if incoming {
            sim.blocked.insert((other, node_index));
        }
    }
}

/// Guards against a partitioned leader that keeps its lease or role, whichever direction of its links is cut, and against a
/// group that elects no other leader.
#[rstest]
#[case::outgoing_cut(true, false)]
#[case::incoming_cut(false, true)]
#[case::both_cut(true, true)]
fn a_leader_without_quorum_loses_lease_and_role(
    #[case] outgoing: bool,
    #[case] incoming: bool,
    #[values(3, 5)] size: u64,
) {
    let mut sim = Sim::new(size, 7);
    let old = sim.elect();
    isolate(&mut sim, old, outgoing, incoming);
    sim.run(Duration::from_millis(300));
    assert_eq!(sim.replica(old).lease_until(sim.now), None);
    sim.run(STEP_DOWN_TIMEOUT);
    assert_ne!(sim.replica(old).role(), Role::Leader);
    sim.run(Duration::from_millis(1_500));
    let new = sim.leader().unwrap();
    assert_ne!(new, old);
    assert!(sim.replica(old).term() <= sim.replica(new).term());
}

/// Guards against a partitioned follower that raises the term and thereby deposes the leader when it returns.
#[rstest]
#[case::outgoing_cut(true, false)]
#[case::incoming_cut(false, true)]
#[case::both_cut(true, true)]
fn a_partitioned_follower_raises_no_term(
    #[case] outgoing: bool,
    #[case] incoming: bool,
    #[values(3, 5)] size: u64,
) {
    let mut sim = Sim::new(size, 11);
    let leader = sim.elect();
    let follower = usize::from(leader == 0);
    let term = sim.replica(leader).term();
    isolate(&mut sim, follower, outgoing, incoming);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.replica(follower).term(), term);
    sim.blocked.clear();
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.replica(leader).term(), term);
}

/// Guards against a follower that loses only its link to the leader and then deposes a leader that has a quorum.
#[test]
fn a_cut_link_between_leader_and_follower_changes_no_leader() {
    let mut sim = Sim::new(3, 3);
    let leader = sim.elect();
    let follower = usize::from(leader == 0);
    sim.blocked.extend([(leader, follower), (follower, leader)]);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.leader(), Some(leader));
}

/// Guards against a group that is without a leader for more than two max election timeouts after a leader crash.
#[rstest]
fn a_lost_leader_is_replaced(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut sim = Sim::new(5, seed);
    let old = sim.elect();
    sim.crash(old);
    sim.run(Duration::from_millis(1_200));
    assert!(sim.leader().is_some());
}

/// Guards against two replicas that hold a lease at once during a leadership transfer or a partition.
#[rstest]
fn only_one_replica_holds_a_lease(#[values(1, 2, 3, 4)] seed: u64) {
    let mut sim = Sim::new(3, seed);
    for round in 0..20 {
        let leader = sim.elect();
        if round % 2 == 0 {
            let now = sim.now;
            sim.replica_mut(leader).transfer_leadership(now).unwrap();
        } else {
            isolate(&mut sim, leader, false, true);
        }
        for _ in 0..1_500 {
            sim.run(Duration::from_millis(1));
            let holders = (0..3).filter(|n| sim.replica(*n).lease_until(sim.now).is_some());
            assert!(holders.count() <= 1);
        }
        sim.blocked.clear();
    }
}

/// Guards against a leadership transfer that waits for an election timeout.
#[test]
fn a_leadership_transfer_takes_less_than_an_election_timeout() {
    let mut sim = Sim::new(3, 5);
    let old = sim.elect();
    sim.propose(old, 1).unwrap();
    let now = sim.now;
    sim.replica_mut(old).transfer_leadership(now).unwrap();
    assert_eq!(sim.propose(old, 2), None);
    sim.run(Duration::from_millis(100));
    assert!(sim.leader().is_some_and(|new| new != old));
}

/// Guards against votes and acknowledgements that are sent before they are durable: a restarted replica must not vote for
/// another candidate in the same term.
#[test]
fn votes_and_acknowledgements_wait_for_durable_writes() {
    let mut sim = Sim::new(3, 2);
    sim.max_write_us = 0;
    let leader = sim.elect();
    sim.max_write_us = 3_600_000_000;
    let commit = sim.replica(leader).commit();
    sim.run(Duration::from_millis(100));
    sim.propose(leader, 1).unwrap();
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.replica(leader).commit(), commit);
    assert_eq!(sim.leader(), Some(leader), "heartbeats need no write");
    sim.crash(leader);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.leader(), None, "votes need a write");
}
