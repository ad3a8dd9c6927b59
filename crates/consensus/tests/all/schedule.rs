//! Random schedules with fixed seeds. The simulation checks that no two leaders share a term, that replicas apply the same
//! commands in the same order, and that no committed command is lost.

use std::time::Duration;

use chestnutvalve_consensus::{Kind, MembershipChange, ReplicaId, Settings};
use rand::RngExt;
use rstest::rstest;

use crate::sim::{Sim, member};

/// Steps of one schedule.
const STEPS: u64 = 400;

/// Elections are rare, as in operation.
fn calm() -> (Settings, f64, u64) {
    (Settings::default(), 0.03, 40_000)
}

/// Messages take about as long as the election timeout, so that candidates compete and leaders work on without knowing that
/// others were elected.
fn stormy() -> (Settings, f64, u64) {
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

/// Guards against lost or diverging commands under loss, duplication and reordering of messages, one-way partitions, crashes
/// with lost writes, snapshots, replaced disks and hand-overs.
#[rstest]
#[case::calm(calm())]
#[case::stormy(stormy())]
fn committed_commands_survive_every_schedule(
    #[case] (settings, loss, delay): (Settings, f64, u64),
) {
    let mut commands = 0;
    for seed in 0..60 {
        let size = if seed % 2 == 0 { 3 } else { 5 };
        let mut sim = Sim::with(size, seed, settings);
        sim.elect();
        sim.loss = loss;
        sim.duplication = 0.05;
        sim.max_delay_us = delay;
        sim.max_write_us = 30_000;
        for step in 0..STEPS {
            disturb(&mut sim, step);
            let pause = sim.random.random_range(1..40);
            sim.run(Duration::from_millis(pause));
        }
        commands += heal(&mut sim, seed);
    }
    // The checks say nothing about schedules in which nothing is committed.
    assert!(commands > 60 * STEPS / 8, "only {commands} commands");
}

fn disturb(sim: &mut Sim, step: u64) {
    let voters = sim.nodes.len();
    let number = sim.random.random_range(0..voters);
    let other = sim.random.random_range(0..voters);
    match sim.random.random_range(0..100) {
        0..60 => {
            sim.propose(number, step);
            if let Some(leader) = sim.leader() {
                sim.propose(leader, 1_000 + step);
            }
        }
        60..66 => sim.crash(number),
        66..78 if sim.nodes[number].replica.is_none() => sim.start(number),
        66..78 => {}
        78..81 => {
            sim.blocked.insert((number, other));
        }
        81..84 => {
            let cut = (0..voters).flat_map(|a| (0..voters).map(move |b| (a, b)));
            let side = |node: usize| (node + number) % voters <= voters / 2;
            sim.blocked
                .extend(cut.filter(|(a, b)| side(*a) != side(*b)));
        }
        84..90 => sim.blocked.clear(),
        90..95 => sim.compact(number, step % 5),
        95..97 => {
            let now = sim.now;
            if let Some(replica) = &mut sim.nodes[number].replica {
                // Refused where there is nothing to hand over.
                let _ = replica.transfer_leadership(now);
            }
        }
        _ => replace(sim, number),
    }
}

/// Empties the disk of a silent replica; it joins again under another identity.
fn replace(sim: &mut Sim, number: usize) {
    let Some(leader) = sim.leader().filter(|leader| *leader != number) else {
        return;
    };
    let running = sim.nodes.iter().filter(|node| node.replica.is_some());
    // More lost disks than a group can stand would lose committed commands in any protocol.
    let intact = running.count() == sim.nodes.len();
    let members = sim.replica(leader).membership().0;
    let present = |id| sim.nodes.iter().any(|node| node.id == id);
    let settled = members
        .members
        .iter()
        .all(|member| member.kind == Kind::Voter && present(member.id));
    if !intact || !settled {
        return;
    }
    let old = sim.nodes[number].id;
    let new = old.0 + 100;
    sim.crash(number);
    sim.nodes.remove(number);
    sim.blocked.clear();
    sim.add(new);
    let add = MembershipChange::Add(member(new, Kind::Joining));
    let leader = sim.leader();
    // Without a leader, or with a change in progress, the replica stays outside and the group goes on without it.
    let added = leader.map(|leader| sim.replica_mut(leader).change_membership(add));
    if !matches!(added, Some(Ok(_))) {
        sim.nodes.pop();
        sim.add(new);
    }
}

/// Ends all faults and checks that every member arrives at the same commands.
fn heal(sim: &mut Sim, seed: u64) -> u64 {
    sim.blocked.clear();
    sim.loss = 0.0;
    sim.max_delay_us = 1_000;
    sim.max_write_us = 1_000;
    for number in 0..sim.nodes.len() {
        if sim.nodes[number].replica.is_none() {
            sim.start(number);
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
        "seed {seed}: committed commands are lost"
    );
    let members: Vec<ReplicaId> = sim.replica(leader).membership().0.voters().collect();
    for node in sim.nodes.iter().filter(|node| members.contains(&node.id)) {
        let fatal_error = node.replica.as_ref().unwrap().fatal_error();
        assert_eq!(fatal_error, None, "seed {seed}");
        assert_eq!(node.applied, end, "seed {seed}: {:?} lags", node.id);
    }
    end
}
