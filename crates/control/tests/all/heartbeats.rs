//! Tests of entry expiry at the leader.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_control::daemon::heartbeats::Heartbeats;
use chestnutvalve_model::control::{Heartbeat, HeartbeatReply, Rate, Step};
use chestnutvalve_model::directory::Directory;
use chestnutvalve_model::id::{Incarnation, Service};
use chestnutvalve_model::version::Version;

use crate::support::{entry, member};

fn beat(name: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
        member: member(name, incarnation),
        in_force: Version::ZERO,
        in_force_ms: 0,
        rates: Vec::new(),
    }
}

/// Leader with a directory and a simulated clock.
struct Leader {
    start: Instant,
    directory: Directory,
    heartbeats: Heartbeats,
}

impl Leader {
    fn new(names: &[&str]) -> Self {
        let mut directory = Directory::default();
        for name in names {
            directory.join(&member(name, 1));
        }
        Self {
            start: Instant::now(),
            directory,
            heartbeats: Heartbeats::default(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Advances the clock from `from` to `to` with a check every 100 ms; returns the steps with their times.
    fn run(&mut self, from: u64, to: u64, term: Option<u64>, beats: &[&str]) -> Vec<(u64, Step)> {
        let mut all = Vec::new();
        for ms in (from..to).step_by(100) {
            let now = self.at(ms);
            self.heartbeats.observe_leadership(now, term);
            if ms % 1_000 == 0 {
                for name in beats {
                    self.heartbeats
                        .record_heartbeat(now, &self.directory, beat(name, 1));
                }
            }
            let steps = self.heartbeats.directory_steps(now, &self.directory);
            for step in steps {
                match &step {
                    Step::Join(member) => self.directory.join(member),
                    Step::Leave { entry, incarnation } => {
                        self.directory.leave(entry, *incarnation);
                    }
                    Step::Edits(_) | Step::Resize { .. } | Step::Routes(_) | Step::Worker(_) => {}
                }
                all.push((ms, step));
            }
        }
        all
    }
}

fn leaves(steps: &[(u64, Step)]) -> Vec<u64> {
    let leaves = steps
        .iter()
        .filter(|(_, s)| matches!(s, Step::Leave { .. }));
    leaves.map(|(ms, _)| *ms).collect()
}

/// Guards against a new leader that removes entries because it has not received their heartbeats yet.
#[test]
fn new_leader_waits_for_the_expiry_time() {
    let mut leader = Leader::new(&["e1", "e2"]);
    let steps = leader.run(0, 20_000, Some(1), &["e1"]);
    assert_eq!(leaves(&steps), [5_100]);
    assert!(leader.directory.members.contains_key(&entry("e1")));
}

/// Guards against expiry at an instance that does not lead, or that led in an earlier term.
#[test]
fn only_a_leader_expires_entries() {
    let mut leader = Leader::new(&["e1"]);
    assert!(leader.run(0, 20_000, None, &[]).is_empty());
    assert!(leader.run(20_000, 24_000, Some(1), &[]).is_empty());
    assert!(leader.run(24_000, 28_000, None, &[]).is_empty());
    assert_eq!(leaves(&leader.run(28_000, 40_000, Some(2), &[])), [33_100]);
}

/// Guards against a leader that removes all entries after a pause, while their heartbeats wait in its socket buffers.
#[test]
fn pause_of_the_leader_does_not_expire_entries() {
    let mut leader = Leader::new(&["e1", "e2"]);
    assert!(leader.run(0, 10_000, Some(1), &["e1", "e2"]).is_empty());
    assert!(
        leader
            .run(30_000, 40_000, Some(1), &["e1", "e2"])
            .is_empty()
    );
}

/// Guards against a proposal for each entry when a rack or an availability zone is lost.
#[test]
fn mass_loss_is_one_list_of_steps() {
    let names: Vec<String> = (0..400).map(|n| format!("e{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut leader = Leader::new(&names);
    leader.run(0, 3_000, Some(1), &names);
    let steps = leader.run(3_000, 20_000, Some(1), &names[..100]);
    let leaves = leaves(&steps);
    assert_eq!(leaves.len(), 300);
    assert!(
        leaves.iter().all(|ms| *ms == leaves[0]),
        "one list at one time"
    );
    assert_eq!(leaves[0], 7_100, "5 s after the last heartbeat");
}

/// Guards against a restarted entry that is displaced by delayed heartbeats of its predecessor, and against two running
/// processes with the same name.
#[test]
fn earlier_incarnation_is_superseded() {
    let mut leader = Leader::new(&[]);
    let now = leader.at(0);
    leader.heartbeats.observe_leadership(now, Some(1));
    let directory = Directory::default();
    let mut send = |incarnation| {
        leader
            .heartbeats
            .record_heartbeat(now, &directory, beat("e1", incarnation))
    };
    assert_eq!(send(1), HeartbeatReply::Accepted);
    assert_eq!(send(2), HeartbeatReply::Accepted);
    assert_eq!(send(1), HeartbeatReply::Superseded);
    let steps = leader.heartbeats.directory_steps(now, &directory);
    assert_eq!(steps, [Step::Join(member("e1", 2))]);
}

/// Guards against a departed entry that rejoins through a heartbeat that was in transit.
#[test]
fn late_heartbeat_does_not_undo_a_leave() {
    let mut leader = Leader::new(&[]);
    leader.run(0, 2_000, Some(1), &["e1"]);
    let now = leader.at(2_000);
    leader
        .heartbeats
        .record_leave(now, &entry("e1"), Incarnation(1));
    let steps = leader.run(2_000, 4_000, Some(1), &["e1"]);
    assert_eq!(leaves(&steps), [2_000]);
    assert!(leader.directory.members.is_empty());
    let restarted =
        leader
            .heartbeats
            .record_heartbeat(leader.at(4_000), &leader.directory, beat("e1", 2));
    assert_eq!(restarted, HeartbeatReply::Accepted);
    let steps = leader
        .heartbeats
        .directory_steps(leader.at(4_000), &leader.directory);
    assert_eq!(steps, [Step::Join(member("e1", 2))]);
}

/// Guards against a new leader that takes the load reported so far for the total load.
#[test]
fn new_leader_waits_for_all_entries_before_it_changes_the_number_of_owners() {
    let service = Service::new("desk").unwrap();
    let mut leader = Leader::new(&["e1", "e2"]);
    let mut resized = Vec::new();
    for ms in (0..8_000).step_by(100) {
        let now = leader.at(ms);
        leader.heartbeats.observe_leadership(now, Some(2));
        for name in ["e1", "e2"] {
            let mut beat = beat(name, 1);
            beat.rates = vec![Rate {
                service: service.clone(),
                per_second: 500,
            }];
            leader
                .heartbeats
                .record_heartbeat(now, &leader.directory, beat);
        }
        let steps = leader.heartbeats.owner_steps(now, &BTreeMap::new());
        resized.extend(steps.into_iter().map(|step| (ms, step)));
    }
    let (first, step) = resized.first().unwrap();
    assert!(*first > 5_000, "changed {first} ms after the election");
    // 1,000 requests/s need 5 owners of 200 requests/s, and one is added as a reserve.
    assert_eq!(*step, Step::Resize { service, owners: 6 });
}

/// Guards against an entry that a delayed heartbeat lists again, after a delayed departure of its earlier incarnation.
#[test]
fn a_late_departure_does_not_replace_a_later_one() {
    let mut leader = Leader::new(&[]);
    let now = leader.at(0);
    leader.heartbeats.observe_leadership(now, Some(1));
    for incarnation in [2, 1] {
        let left = Incarnation(incarnation);
        leader.heartbeats.record_leave(now, &entry("e1"), left);
    }
    let late = beat("e1", 2);
    leader
        .heartbeats
        .record_heartbeat(now, &leader.directory, late);
    let steps = leader.heartbeats.directory_steps(now, &leader.directory);
    assert!(steps.is_empty(), "{steps:?}");
}
