//! Membership changes, snapshots for lagging replicas, lost and rolled-back disks, forced recovery.

use std::time::Duration;

use chestnutvalve_consensus::{
    Error, Kind, MembershipChange, Payload, PersistentState, ReplicaId, Role, Settings,
};
use rstest::rstest;

use crate::sim::{Sim, member};

fn commit_commands(sim: &mut Sim, count: u64) {
    for command in 0..count {
        let leader = sim.elect();
        sim.propose(leader, command).unwrap();
        sim.run(Duration::from_millis(10));
    }
    sim.run(Duration::from_millis(300));
}

/// Guards against a joining replica that votes before it is caught up or is never promoted, with and without a snapshot.
#[rstest]
fn a_joining_replica_becomes_a_voter(#[values(false, true)] compacted: bool) {
    let settings = Settings {
        max_message_bytes: 3,
        ..Settings::default()
    };
    let mut sim = Sim::with_settings(3, 1, settings);
    commit_commands(&mut sim, 50);
    let leader = sim.elect();
    if compacted {
        sim.compact(leader, 0);
        sim.run(Duration::from_millis(10));
    }
    sim.add(4);
    let add = MembershipChange::Add(member(4, Kind::Joining));
    sim.replica_mut(leader).change_membership(add).unwrap();
    assert!(!sim.replica(leader).membership().0.is_voter(ReplicaId(4)));
    sim.run(Duration::from_secs(1));
    assert!(sim.replica(3).membership().0.is_voter(ReplicaId(4)));
    assert_eq!(sim.nodes[3].applied, sim.nodes[leader].applied);
}

/// Guards against a replaced replica after which the group does not tolerate the loss of another one.
#[rstest]
fn a_second_loss_after_a_replacement_is_tolerated(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut sim = Sim::new(3, seed);
    commit_commands(&mut sim, 5);
    let leader = sim.elect();
    let lost = usize::from(leader == 0);
    let old = sim.nodes[lost].id;
    sim.crash(lost);
    sim.nodes.remove(lost);
    sim.add(old.0 + 100);
    let leader = sim.elect();
    let add = MembershipChange::Add(member(old.0 + 100, Kind::Joining));
    sim.replica_mut(leader).change_membership(add).unwrap();
    // The old voter of that name is removed only after it has been unresponsive for a while.
    sim.run(Duration::from_secs(8));
    let leader = sim.elect();
    let members = sim.replica(leader).membership().0;
    assert!(members.is_voter(ReplicaId(old.0 + 100)));
    assert_eq!(members.get(old), None);
    sim.crash(leader);
    commit_commands(&mut sim, 3);
}

/// Guards against an emptied member whose former identity still counts towards the quorum when the next member is lost. The
/// next loss may come 4 s after the emptied member is back, even if it was the leader before.
#[rstest]
fn an_emptied_member_votes_again_before_the_next_loss(
    #[values(false, true)] led: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut sim = Sim::new(3, seed);
    commit_commands(&mut sim, 5);
    let leader = sim.elect();
    let lost = if led {
        leader
    } else {
        usize::from(leader == 0)
    };
    let old = sim.nodes[lost].id;
    sim.crash(lost);
    sim.nodes.remove(lost);
    let emptied = ReplicaId(old.0 + 100);
    sim.add(emptied.0);
    let back = sim.now;
    let leader = sim.elect();
    let add = MembershipChange::Add(member(emptied.0, Kind::Joining));
    sim.replica_mut(leader).change_membership(add).unwrap();
    while sim.now < back + Duration::from_secs(4) {
        sim.run(Duration::from_millis(100));
    }
    let leader = sim.elect();
    let members = sim.replica(leader).membership().0;
    assert!(members.is_voter(emptied), "{members}");
    assert_eq!(members.get(old), None);
    sim.crash(leader);
    commit_commands(&mut sim, 3);
}

/// Guards against removing a voter whose disk may still exist because an instance of the same name was started at another
/// address.
#[test]
fn a_replica_of_the_same_name_at_another_address_waits() {
    let mut sim = Sim::new(3, 1);
    commit_commands(&mut sim, 2);
    let leader = sim.elect();
    let lost = usize::from(leader == 0);
    let old = sim.nodes[lost].id;
    sim.crash(lost);
    sim.add(old.0 + 100);
    let mut same_name = member(old.0 + 100, Kind::Joining);
    same_name.address = "127.0.0.1:2".parse().unwrap();
    let add = MembershipChange::Add(same_name);
    sim.replica_mut(leader).change_membership(add).unwrap();
    sim.run(Duration::from_secs(4));
    assert!(sim.replica(leader).membership().0.is_voter(old));
}

/// Guards against a joining member that counts as unresponsive since the election of the leader and is removed before its first
/// reply.
#[test]
fn a_joining_member_has_time_for_its_first_reply() {
    let mut sim = Sim::new(3, 1);
    commit_commands(&mut sim, 2);
    sim.run(Duration::from_secs(10));
    let leader = sim.elect();
    let lost = usize::from(leader == 0);
    let emptied = ReplicaId(sim.nodes[lost].id.0 + 100);
    sim.crash(lost);
    sim.add(emptied.0);
    let node_index = sim.nodes.len() - 1;
    sim.blocked.insert((node_index, leader));
    let add = MembershipChange::Add(member(emptied.0, Kind::Joining));
    sim.replica_mut(leader).change_membership(add).unwrap();
    sim.run(Duration::from_millis(300));
    assert!(sim.replica(leader).membership().0.get(emptied).is_some());
    sim.blocked.clear();
    sim.run(Duration::from_secs(2));
    assert!(sim.replica(leader).membership().0.is_voter(emptied));
}

/// Guards against a removed non-voter that never learns of its removal because it sends no vote requests.
#[rstest]
fn a_removed_non_voter_stops(#[values(Kind::Joining, Kind::Learner, Kind::Standby)] kind: Kind) {
    let mut sim = Sim::new(3, 1);
    let leader = sim.elect();
    sim.add(4);
    let add = MembershipChange::Add(member(4, kind));
    sim.replica_mut(leader).change_membership(add).unwrap();
    sim.run(Duration::from_millis(40));
    assert!(sim.replica(3).membership().0.get(ReplicaId(4)).is_some());
    let remove = MembershipChange::Remove(ReplicaId(4));
    sim.replica_mut(leader).change_membership(remove).unwrap();
    sim.run(Duration::from_secs(5));
    assert_eq!(
        sim.replica(3).fatal_error(),
        Some(&Error::Removed(ReplicaId(4)))
    );
}

/// Guards against learners that accumulate in the membership after their disks were replaced.
#[test]
fn a_replaced_learner_is_removed() {
    let mut sim = Sim::new(1, 1);
    let leader = sim.elect();
    for id in [2, 102, 202] {
        sim.add(id);
        let add = MembershipChange::Add(member(id, Kind::Learner));
        sim.replica_mut(leader).change_membership(add).unwrap();
        sim.run(Duration::from_secs(1));
        assert!(sim.replica(leader).membership().0.members.len() <= 3);
        if id < 202 {
            sim.crash(sim.nodes.len() - 1);
        }
        sim.run(Duration::from_secs(6));
    }
    let members = sim.replica(leader).membership().0;
    let ids: Vec<u64> = members.members.iter().map(|member| member.id.0).collect();
    assert_eq!(ids, [1, 202]);
}

/// Guards against membership changes that overlap, remove the last voter or promote a lagging replica.
#[test]
fn unsafe_changes_are_refused() {
    let mut sim = Sim::new(1, 1);
    sim.elect();
    let replica = sim.replica_mut(0);
    let remove = replica.change_membership(MembershipChange::Remove(ReplicaId(1)));
    assert!(matches!(remove, Err(Error::ChangeRefused(_))));
    let add = replica.change_membership(MembershipChange::Add(member(2, Kind::Learner)));
    assert!(add.is_ok());
    let second = replica.change_membership(MembershipChange::Add(member(3, Kind::Learner)));
    assert_eq!(second, Err(Error::ChangeInProgress));
    sim.run(Duration::from_millis(100));
    let promote = sim
        .replica_mut(0)
        .change_membership(MembershipChange::Promote(ReplicaId(2)));
    assert!(matches!(promote, Err(Error::ChangeRefused(_))));
}

/// Guards against a removed replica that keeps requesting votes, and against a removed leader that does not step down.
#[rstest]
fn a_removed_replica_stops(#[values(false, true)] leader_itself: bool) {
    let mut sim = Sim::new(3, 4);
    let leader = sim.elect();
    let removed = if leader_itself {
        leader
    } else {
        usize::from(leader == 0)
    };
    let id = sim.nodes[removed].id;
    let change = MembershipChange::Remove(id);
    sim.replica_mut(leader).change_membership(change).unwrap();
    sim.run(Duration::from_secs(5));
    assert_eq!(
        sim.replica(removed).fatal_error(),
        Some(&Error::Removed(id))
    );
    commit_commands(&mut sim, 2);
}

/// Guards against a replica that votes or acknowledges after its disk was rolled back to an earlier state.
#[rstest]
#[case::earlier_entries(true)]
#[case::empty(false)]
fn a_rolled_back_disk_is_detected(#[case] keeps_some_entries: bool) {
    let mut sim = Sim::new(3, 6);
    commit_commands(&mut sim, 3);
    let leader = sim.elect();
    let follower = usize::from(leader == 0);
    let early = sim.nodes[follower].disk.clone();
    commit_commands(&mut sim, 3);
    sim.crash(follower);
    sim.nodes[follower].disk = if keeps_some_entries {
        early
    } else {
        PersistentState::default()
    };
    sim.start(follower);
    sim.run(Duration::from_secs(2));
    let fatal_error = sim.replica(follower).fatal_error();
    assert!(
        matches!(fatal_error, Some(Error::RolledBack { .. })),
        "{fatal_error:?}"
    );
}

/// Guards against watermarks that are lost with the leader that recorded them.
#[test]
fn watermarks_survive_leader_changes_and_restarts() {
    let mut sim = Sim::new(3, 8);
    commit_commands(&mut sim, 3);
    let leader = sim.elect();
    let follower = usize::from(leader == 0);
    let early = sim.nodes[follower].disk.clone();
    commit_commands(&mut sim, 3);
    sim.run(Duration::from_secs(3));
    for node_index in 0..3 {
        sim.crash(node_index);
    }
    sim.nodes[follower].disk = early;
    for node_index in (0..3).filter(|node_index| *node_index != leader) {
        sim.start(node_index);
    }
    sim.run(Duration::from_secs(2));
    let fatal_error = sim.replica(follower).fatal_error();
    assert!(
        matches!(fatal_error, Some(Error::RolledBack { .. })),
        "{fatal_error:?}"
    );
}

/// Guards against a forced recovery of a group with a leader, and against one that loses entries, is not recorded in the log or
/// raises the term by less than elections can.
#[test]
fn forced_recovery_makes_one_survivor_the_only_voter() {
    let mut sim = Sim::new(3, 9);
    commit_commands(&mut sim, 5);
    let survivor = sim.elect();
    let now = sim.now;
    let refused = sim.replica_mut(survivor).force_recovery(now, String::new());
    assert!(matches!(refused, Err(Error::RecoveryRefused(_))));
    for node_index in (0..3).filter(|node_index| *node_index != survivor) {
        sim.crash(node_index);
    }
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.leader(), None);
    let (now, term) = (sim.now, sim.replica(survivor).term());
    let reason = "two disks burnt".to_owned();
    let position = sim.replica_mut(survivor).force_recovery(now, reason);
    let position = position.unwrap();
    sim.run(Duration::from_secs(1));
    let replica = sim.replica(survivor);
    assert_eq!(replica.role(), Role::Leader);
    assert!(replica.term() > term + 1_000_000);
    let entry = replica.log().get(position.index).unwrap();
    assert!(matches!(&entry.payload, Payload::Recovery { reason, .. } if reason.contains("burnt")));
    assert_eq!(sim.nodes[survivor].applied, replica.log().last().index);
    let replaced = 10;
    sim.add(replaced);
    let add = MembershipChange::Add(member(replaced, Kind::Joining));
    sim.replica_mut(survivor).change_membership(add).unwrap();
    sim.run(Duration::from_secs(1));
    assert_eq!(sim.replica(survivor).membership().0.voters().count(), 2);
    // The replicas that were left behind return and must not form a group of their own.
    for node_index in (0..3).filter(|node_index| *node_index != survivor) {
        sim.start(node_index);
        sim.run(Duration::from_secs(1));
        let fatal_error = sim.replica(node_index).fatal_error();
        assert!(
            matches!(fatal_error, Some(Error::Removed(_))),
            "{fatal_error:?}"
        );
    }
}

/// Guards against a group that loses its quorum because voters that were replaced one after the other still count.
#[rstest]
fn a_standby_replaces_an_unresponsive_voter(#[values(1, 2, 3)] seed: u64) {
    let settings = Settings {
        target_voters: 3,
        ..Settings::default()
    };
    let mut sim = Sim::with_settings(3, seed, settings);
    commit_commands(&mut sim, 5);
    for id in [4, 5] {
        let leader = sim.elect();
        sim.add(id);
        let add = MembershipChange::Add(member(id, Kind::Standby));
        sim.replica_mut(leader).change_membership(add).unwrap();
        sim.run(Duration::from_secs(1));
        let leader = sim.elect();
        let lost = (0..3)
            .find(|n| *n != leader && sim.nodes[*n].replica.is_some())
            .unwrap();
        let old = sim.nodes[lost].id;
        sim.crash(lost);
        // A voter stays a member until the standby promotion timeout has passed.
        sim.run(Duration::from_secs(2));
        assert!(sim.replica(leader).membership().0.is_voter(old));
        sim.run(Duration::from_secs(4));
        let leader = sim.elect();
        let members = sim.replica(leader).membership().0;
        assert!(members.is_voter(ReplicaId(id)), "{members:?}");
        assert_eq!((members.get(old), members.voters().count()), (None, 3));
    }
    let leader = sim.elect();
    sim.crash(leader);
    commit_commands(&mut sim, 3);
}

/// Guards against a lost leader that still counts when the next member is lost, 4 s after its standby was started.
#[rstest]
fn a_standby_is_promoted_before_the_next_loss(#[values(1, 2, 3)] seed: u64) {
    let settings = Settings {
        target_voters: 3,
        standby_promotion_timeout: Duration::from_secs(2),
        ..Settings::default()
    };
    let mut sim = Sim::with_settings(3, seed, settings);
    commit_commands(&mut sim, 5);
    let lost = sim.elect();
    sim.crash(lost);
    sim.add(4);
    let started = sim.now;
    let leader = sim.elect();
    let add = MembershipChange::Add(member(4, Kind::Standby));
    sim.replica_mut(leader).change_membership(add).unwrap();
    sim.run((started + Duration::from_secs(4)).saturating_duration_since(sim.now));
    let leader = sim.elect();
    assert!(sim.replica(leader).membership().0.is_voter(ReplicaId(4)));
    sim.crash(leader);
    commit_commands(&mut sim, 3);
}

/// Guards against removing an unresponsive voter when no standby can replace it.
#[test]
fn without_a_standby_an_unresponsive_voter_stays_a_member() {
    let mut sim = Sim::new(3, 1);
    commit_commands(&mut sim, 2);
    let leader = sim.elect();
    sim.crash(usize::from(leader == 0));
    sim.run(Duration::from_secs(30));
    let leader = sim.elect();
    assert_eq!(sim.replica(leader).membership().0.voters().count(), 3);
}
