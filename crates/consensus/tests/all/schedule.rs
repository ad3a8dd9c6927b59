//! Random fault schedules with fixed seeds. The simulation checks that a term has at most one leader, that replicas apply the
//! same commands in the same order, and that no committed command is lost.

use std::time::Duration;

use chestnutvalve_consensus::{Kind, MembershipChange, ReplicaId, Settings};
use rand::RngExt;
use rstest::rstest;

use crate::sim::{Sim, member};

/// Number of steps in one schedule.
const STEPS: u64 = 400;

/// Returns settings, loss and max message delay with which elections are rare, as in production.
fn rare_elections() -> (Settings, f64, u64) {
    (Settings::default(), 0.03, 40_000)
}

/// Returns settings, loss and max message delay with which messages take about as long as the election timeout, so that
/// candidates compete and leaders continue without knowing that others were elected.
fn frequent_elections() -> (Settings, f64, u64) {
    let settings = Settings {
        heartbeat_interval: Duration::from_millis(20),
        election_timeout_min: Duration::from_millis(50),
        election_timeout_max: Duration::from_millis(120),
        lease_margin: Duration::from_millis(5),
        replacement_timeout: Duration::from_millis(500),
        ..Settings::default()
    };
    (settings, 0.1, 30_000)
}

/// Guards against lost or diverging commands under message loss, duplication and reordering, one-way partitions, crashes with
/// lost writes, snapshots, replaced disks and leadership transfers.
#[rstest]
#[case::rare_elections(rare_elections())]
#[case::frequent_elections(frequent_elections())]
fn committed_commands_survive_every_schedule(
    #[case] (settings, loss, delay): (Settings, f64, u64),
) {
    let mut commands = 0;
    for seed in 0..60 {
        let size = if seed % 2 == 0 { 3 } else { 5 };
        let mut sim = Sim::with_settings(size, seed, settings);
        sim.elect();
        sim.loss = loss;
        sim.duplication = 0.05;
        sim.max_delay_us = delay;
        sim.max_write_us = 30_000;
        for step in 0..STEPS {
            inject_fault(&mut sim, step);
            let delay_ms = sim.random.random_range(1..40);
            sim.run(Duration::from_millis(delay_ms));
        }
        commands += recover(&mut sim, seed);
    }
    // The checks prove nothing for schedules that commit nothing.
    assert!(commands > 60 * STEPS / 8, "only {commands} commands");
}

fn inject_fault(sim: &mut Sim, step: u64) {
    let voters = sim.nodes.len();
    let node_index = sim.random.random_range(0..voters);
    let other = sim.random.random_range(0..voters);
    match sim.random.random_range(0..100) {
        0..60 => {
            sim.propose(node_index, step);
            if let Some(leader) = sim.leader() {
                sim.propose(leader, 1_000 + step);
            }
        }
        60..66 => sim.crash(node_index),
        66..78 if sim.nodes[node_index].replica.is_none() => sim.start(node_index),
        66..78 => {}
        78..81 => {
            sim.blocked.insert((node_index, other));
        }
        81..84 => {
            let links = (0..voters).flat_map(|a| (0..voters).map(move |b| (a, b)));
            let side = |node: usize| (node + node_index) % voters <= voters / 2;
            sim.blocked
                .extend(links.filter(|(a, b)| side(*a) != side(*b)));
        }
        84..90 => sim.blocked.clear(),
        90..95 => sim.compact(node_index, step % 5),
        95..97 => {
            let now = sim.now;
            if let Some(replica) = &mut sim.nodes[node_index].replica {
                // Fails at a replica that is not the leader.
                let _ = replica.transfer_leadership(now);
            }
        }
        _ => replace_node(sim, node_index),
    }
}

/// Replaces a node by one with an empty disk, which joins under a new identity.
fn replace_node(sim: &mut Sim, node_index: usize) {
    let Some(leader) = sim.leader().filter(|leader| *leader != node_index) else {
        return;
    };
    let running = sim.nodes.iter().filter(|node| node.replica.is_some());
    // Any protocol loses committed commands if more disks are lost than the group tolerates.
    let all_running = running.count() == sim.nodes.len();
    let members = sim.replica(leader).membership().0;
    let present = |id| sim.nodes.iter().any(|node| node.id == id);
    let all_voters = members
        .members
        .iter()
        .all(|member| member.kind == Kind::Voter && present(member.id));
    if !all_running || !all_voters {
        return;
    }
    let old = sim.nodes[node_index].id;
    let new = old.0 + 100;
    sim.crash(node_index);
    sim.nodes.remove(node_index);
    sim.blocked.clear();
    sim.add(new);
    let add = MembershipChange::Add(member(new, Kind::Joining));
    let leader = sim.leader();
    // Without a leader, or with a membership change in progress, the new node stays outside the group.
    let added = leader.map(|leader| sim.replica_mut(leader).change_membership(add));
    if !matches!(added, Some(Ok(_))) {
        sim.nodes.pop();
        sim.add(new);
    }
}

/// Ends all faults and checks that every voter reaches the same commands.
fn recover(sim: &mut Sim, seed: u64) -> u64 {
    sim.blocked.clear();
    sim.loss = 0.0;
    sim.max_delay_us = 1_000;
    sim.max_write_us = 1_000;
    for node_index in 0..sim.nodes.len() {
        if sim.nodes[node_index].replica.is_none() {
            sim.start(node_index);
        }
    }
    let leader = sim.elect();
    let acknowledged = *sim.committed.keys().last().unwrap();
    sim.propose(leader, u64::MAX);
    sim.run(Duration::from_secs(20));
    let leader = sim.elect();
    let end = sim.nodes[leader].applied;
    assert!(
        end >= acknowledged,
        "seed {seed}: committed commands were lost"
    );
    let members: Vec<ReplicaId> = sim.replica(leader).membership().0.voters().collect();
    for node in sim.nodes.iter().filter(|node| members.contains(&node.id)) {
        let fatal_error = node.replica.as_ref().unwrap().fatal_error();
        assert_eq!(fatal_error, None, "seed {seed}");
        assert_eq!(node.applied, end, "seed {seed}: {:?} lags", node.id);
    }
    end
}
