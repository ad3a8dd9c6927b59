//! Cluster of control instances, called through their internal listeners.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutvalve_control::daemon::{Instance, members};
use chestnutvalve_model::control::{
    Content, EjectionGrant, EjectionRequest, Heartbeat, HeartbeatReply, State,
};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::{Incarnation, Worker, Zone};
use chestnutvalve_model::upstream::{Announcement, Event};
use chestnutvalve_model::version::Version;
use chestnutvalve_wire::Error;
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::harness::{CALL_TIMEOUT, Cluster, WAIT_TIMEOUT, follow, poll};
use crate::support::{change, entry, member, service, timeout};

/// Time within which an accepted change must be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Guards against calls of entries that only the leader answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_instance_serves_an_entry() {
    let cluster = Cluster::start(3).await;
    let follower = cluster.follower().await;
    let heartbeat = Heartbeat {
        member: member("e1", 1),
        in_force: Version::ZERO,
        in_force_ms: 0,
        rates: Vec::new(),
    };
    let registered =
        follower
            .client
            .call::<_, HeartbeatReply>("directory/heartbeat", &heartbeat, CALL_TIMEOUT);
    assert_eq!(
        registered.await.expect("heartbeat"),
        HeartbeatReply::Accepted
    );
    let sent = change("amy", Version::ZERO, timeout(1_000));
    let version = follower
        .instance
        .change(sent.clone())
        .await
        .expect("accepted");
    for (_, running) in cluster.alive() {
        let state = follow(&running.client, |s| {
            s.version >= version && s.directory.members.contains_key(&entry("e1"))
        });
        assert_eq!(state.await.document.defaults.timeout_ms, 1_000);
        assert_eq!(running.instance.change(sent.clone()).await, Ok(version));
    }
    let left = (entry("e1"), Incarnation(1));
    let answer: Result<(), Error> = follower
        .client
        .call("directory/leave", &left, CALL_TIMEOUT)
        .await;
    answer.expect("leave");
    follow(&follower.client, |s| {
        s.version > version && s.directory.members.is_empty()
    })
    .await;
}

/// Guards against a new leader that removes an entry too early, or keeps one that is no longer running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_entry_expires_after_the_leader_has_led_long_enough() {
    let mut cluster = Cluster::start(3).await;
    let heartbeat = Heartbeat {
        member: member("e1", 1),
        in_force: Version::ZERO,
        in_force_ms: 0,
        rates: Vec::new(),
    };
    let follower = cluster.follower().await;
    let registered =
        follower
            .client
            .call::<_, HeartbeatReply>("directory/heartbeat", &heartbeat, CALL_TIMEOUT);
    registered.await.expect("heartbeat");
    let joined = |s: &State| s.directory.members.contains_key(&entry("e1"));
    let before = follow(&follower.client, joined).await;
    let leader = cluster.leader().await;
    cluster.stop(leader).await;
    let next = cluster.leader().await;
    let since = Instant::now();
    let client = &cluster.running[next].as_ref().expect("runs").client;
    let expired = follow(client, |s| s.version >= before.version && !joined(s)).await;
    assert!(
        since.elapsed() >= Duration::from_millis(4_800),
        "{:?}",
        since.elapsed()
    );
    assert!(expired.version > before.version);
}

/// Guards against entries that keep an older configuration, because the follower that they watch has a hanging disk and still
/// counts as in contact with a quorum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_follower_that_applies_nothing_sends_its_watchers_away() {
    let cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let sent = change("amy", Version::ZERO, timeout(1_000));
    let leader = &cluster.running[leader].as_ref().expect("runs").instance;
    let before = leader.change(sent).await.expect("accepted");
    follow(&follower.client, |s| s.version >= before).await;
    follower.disk_hangs.store(true, Ordering::Relaxed);
    let sent = change("bob", before, timeout(2_000));
    let after = leader.change(sent).await.expect("accepted");
    let since = Instant::now();
    let mut update = poll(&follower.client, before, 200).await;
    while !update.stale && since.elapsed() < APPLY_LIMIT {
        update = poll(&follower.client, before, 200).await;
    }
    follower.disk_hangs.store(false, Ordering::Relaxed);
    assert!(update.stale, "{update:?}");
    let state = follow(&follower.client, |s| s.version >= after).await;
    assert_eq!(state.document.defaults.timeout_ms, 2_000);
}

/// Guards against an isolated instance that does not report that it is stale or accepts changes, and against a version
/// that decreases when the quorum returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_without_quorum_is_stale() {
    let mut cluster = Cluster::start(3).await;
    let sent = change("amy", Version::ZERO, timeout(1_000));
    let leader = cluster.leader().await;
    let instance = &cluster.running[leader].as_ref().expect("runs").instance;
    let version = instance.change(sent.clone()).await.expect("accepted");
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    for n in &others {
        cluster.stop(*n).await;
    }
    let running = cluster.running[leader].as_ref().expect("runs");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !poll(&running.client, version, 100).await.stale {
        assert!(
            Instant::now() < deadline,
            "the instance does not become stale"
        );
    }
    let state = poll(&running.client, Version::ZERO, 0).await;
    assert!(matches!(state.content, Content::Snapshot(s) if s.version >= version));
    let second = change("bob", version, timeout(2_000));
    let refused = running
        .instance
        .change(second)
        .await
        .expect_err("no quorum");
    assert!(matches!(
        refused.fault.kind,
        Kind::NoQuorum | Kind::ChangeUnconfirmed
    ));
    // The second operator's change may still be in the log of the instance and be committed once the quorum returns.
    for n in others {
        let restarted = cluster.launch(n).await;
        cluster.running[n] = Some(restarted);
    }
    cluster.leader().await;
    for (_, running) in cluster.alive() {
        let state = follow(&running.client, |s| s.version >= version).await;
        assert!(state.document.defaults.timeout_ms >= 1_000);
        assert_eq!(running.instance.change(sent.clone()).await, Ok(version));
    }
}

/// Guards against a new leader that grants ejections while grants of its predecessor may still be in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_leader_grants_nothing_at_first() {
    let cluster = Cluster::start(3).await;
    let names = |n: std::ops::Range<u32>| -> Vec<Worker> {
        n.map(|n| Worker::new(&format!("w{n}")).expect("valid name"))
            .collect()
    };
    let ask = EjectionRequest {
        entry: entry("e1"),
        service: service("kasa"),
        registered: names(0..10),
        eligible: names(0..10),
        eject: names(0..2),
        held: names(1..2),
        floor_percent: 70,
    };
    let client = &cluster.follower().await.client;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let granted: EjectionGrant = loop {
        match client.call("eject/grant", &ask, CALL_TIMEOUT).await {
            Ok(granted) => break granted,
            // A leader has no lease before its first heartbeat round.
            Err(error) => assert!(Instant::now() < deadline, "grant: {error}"),
        }
        sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(
        granted.workers,
        names(1..2),
        "only the ejection already held is confirmed"
    );
}

/// Guards against a start time that grows with the number of past changes, and against changes lost in a restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_after_two_thousand_changes_takes_less_than_two_seconds() {
    let mut cluster = Cluster::start(1).await;
    let instance = Arc::clone(&cluster.running[0].as_ref().expect("runs").instance);
    let mut version = Version::ZERO;
    for n in 0..2_000_u32 {
        let sent = change(&format!("c{n}"), version, timeout(1_000 + n));
        version = instance.change(sent).await.expect("accepted");
    }
    drop(instance);
    cluster.stop(0).await;
    let start = Instant::now();
    let running = cluster.launch(0).await;
    let state = follow(&running.client, |s| s.version >= version).await;
    let next = change("next", version, timeout(5_000));
    let deadline = start + WAIT_TIMEOUT;
    while running.instance.change(next.clone()).await.is_err() {
        assert!(Instant::now() < deadline, "no change is accepted");
    }
    let elapsed = start.elapsed();
    assert!(
        elapsed < Duration::from_secs(2),
        "serving after {elapsed:?}"
    );
    assert_eq!(state.document.defaults.timeout_ms, 2_999);
    assert_eq!(running.instance.store().history().accepted().len(), 2_001);
}

fn announcement() -> Announcement {
    Announcement {
        worker: Worker::new("w1").expect("valid name"),
        incarnation: Incarnation(1),
        service: service("lookup"),
        address: "10.0.0.1:8080".parse().expect("valid address"),
        zone: Zone::new("z1").expect("valid name"),
        slots: 2,
        warm_up_ms: 0,
        leaving: false,
    }
}

/// Guards against a departure that a follower acknowledges without a record, because it has not applied the registration
/// yet.
#[rstest]
#[case::of_an_incarnation(Event::Departed { worker: announcement().worker, incarnation: Some(Incarnation(1)) })]
#[case::of_any_incarnation(Event::Departed { worker: announcement().worker, incarnation: None })]
#[case::of_all_starts_so_far(Event::Ended { worker: announcement().worker, latest: Incarnation(0) })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_follower_that_lags_records_a_departure(#[case] departed: Event) {
    let cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let leader = &cluster.running[leader].as_ref().expect("runs").instance;
    let follower = cluster.follower().await;
    let registered = |instance: &Instance| !instance.store().state().roster.workers.is_empty();
    follower.disk_hangs.store(true, Ordering::Relaxed);
    let announced = leader.record_worker_event(Event::Announced(announcement()));
    announced.await.expect("registered");
    assert!(registered(leader) && !registered(&follower.instance));
    let recorded = follower.instance.record_worker_event(departed);
    let recorded = recorded.await;
    follower.disk_hangs.store(false, Ordering::Relaxed);
    recorded.expect("departed");
    assert!(!registered(leader));
}

/// Guards against a registered worker that no entry can reach, that warms up forever, or that no later run can supersede.
#[rstest]
#[case::port_zero(|a: &mut Announcement| a.address.set_port(0))]
#[case::no_host(|a: &mut Announcement| a.address.set_ip(Ipv4Addr::UNSPECIFIED.into()))]
#[case::warm_up(|a: &mut Announcement| a.warm_up_ms = u64::MAX)]
#[case::no_slots(|a: &mut Announcement| a.slots = 0)]
#[case::slots(|a: &mut Announcement| a.slots = u32::MAX)]
#[case::incarnation(|a: &mut Announcement| a.incarnation = Incarnation(u64::MAX))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unusable_worker_is_not_registered(#[case] spoil: fn(&mut Announcement)) {
    let cluster = Cluster::start(1).await;
    let instance = &cluster.alive().next().expect("runs").1.instance;
    let mut announcement = announcement();
    let valid = Event::Announced(announcement.clone());
    spoil(&mut announcement);
    let refused = instance.record_worker_event(Event::Announced(announcement));
    assert_eq!(refused.await.map_err(|f| f.kind), Err(Kind::BadRequest));
    assert!(instance.store().state().roster.workers.is_empty());
    instance.record_worker_event(valid).await.expect("recorded");
    assert_eq!(instance.store().state().roster.workers.len(), 1);
}

/// Load pattern: a hundred entries watch an instance while each of many workers registers with a version of its own.
///
/// Guards against an answer to every watcher for every version, which takes all the processor time of the instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_versions_is_sent_in_few_answers() {
    const WATCHERS: u32 = 100;
    const CHANGES: u32 = 100;
    let cluster = Cluster::start(1).await;
    let running = cluster.running[0].as_ref().expect("runs");
    let start = follow(&running.client, |_| true).await.version;
    let answers = Arc::new(AtomicU32::new(0));
    let mut watchers = JoinSet::new();
    let last = Arc::new(Mutex::new(None::<Version>));
    for _ in 0..WATCHERS {
        let (client, answers) = (running.client.clone(), Arc::clone(&answers));
        let last = Arc::clone(&last);
        watchers.spawn(async move {
            let mut have = start;
            while last.lock().unwrap().is_none_or(|last| have < last) {
                let update = poll(&client, have, 200).await;
                if update.content != Content::Unchanged {
                    answers.fetch_add(1, Ordering::Relaxed);
                }
                have = have.max(update.version);
            }
        });
    }
    sleep(Duration::from_millis(100)).await;
    let began = Instant::now();
    let mut version = Version::ZERO;
    for n in 0..CHANGES {
        let sent = change(&format!("amy-{n}"), version, timeout(1_000 + n));
        version = running.instance.change(sent).await.expect("accepted");
    }
    *last.lock().unwrap() = Some(version);
    let took = began.elapsed();
    tokio::time::timeout(APPLY_LIMIT, watchers.join_all())
        .await
        .expect("the last change is in force in time");
    // Each watcher gets one answer per batch of 100 ms, and one each for the first and the last change.
    let batches = u32::try_from(took.as_millis() / 100).unwrap() + 3;
    let answers = answers.load(Ordering::Relaxed);
    assert!(
        answers <= WATCHERS * batches,
        "{answers} answers in {took:?}"
    );
}

/// Guards against the end of a process, and of everything else that it serves, when its replica was removed from the group
/// while it was cut off, and against a state that differs from the group's because the log was applied to the former one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_removed_member_joins_again_without_ending() {
    let cluster = Cluster::start(4).await;
    let leader = cluster.leader().await;
    let removed = cluster
        .alive()
        .find(|(n, _)| *n != leader)
        .expect("a follower");
    let removed = &removed.1.instance;
    let heartbeat = Heartbeat {
        member: member("e1", 1),
        in_force: Version::ZERO,
        in_force_ms: 0,
        rates: Vec::new(),
    };
    let leader_client = &cluster.running[leader].as_ref().expect("it runs").client;
    let registered =
        leader_client.call::<_, HeartbeatReply>("directory/heartbeat", &heartbeat, CALL_TIMEOUT);
    registered.await.expect("heartbeat");
    let joined = |s: &State| s.directory.members.contains_key(&entry("e1"));
    follow(leader_client, joined).await;
    let left = (entry("e1"), Incarnation(1));
    let answer: Result<(), Error> = leader_client
        .call("directory/leave", &left, CALL_TIMEOUT)
        .await;
    answer.expect("leave");
    follow(leader_client, |s| s.version.revision > 1 && !joined(s)).await;
    let groups = members::groups(removed);
    let name = removed.settings.control.as_str();
    let config = groups
        .iter()
        .find(|g| g.group == "config")
        .expect("the config group");
    let member = config.members.iter().find(|m| m.control == name);
    let before = member.expect("a member").replica.clone();
    let action = members::Action::Remove {
        group: config.group.clone(),
        replica: before.clone(),
    };
    let leader = cluster.running[leader].as_ref().expect("it runs");
    members::apply_action(&leader.instance, &action)
        .await
        .expect("removed");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let groups = members::groups(&leader.instance);
        let all = groups.iter().flat_map(|g| &g.members);
        let joined = all
            .filter(|m| m.control == name && m.replica != before)
            .count();
        let is_current = !removed.is_stale() && removed.is_confirmed();
        if joined == groups.len() && is_current {
            break;
        }
        assert!(Instant::now() < deadline, "not joined again: {groups:?}");
        sleep(Duration::from_millis(50)).await;
    }
    let limit = Duration::from_millis(200);
    let failure = tokio::time::timeout(limit, removed.wait_for_failure()).await;
    assert!(failure.is_err(), "the instance reports {failure:?}");
    let state = poll(&leader.client, Version::ZERO, 0).await.version;
    while removed.store().state().version < state {
        assert!(Instant::now() < deadline, "behind version {state}");
        sleep(Duration::from_millis(20)).await;
    }
    // Commands that are applied to the state of before the removal give further versions.
    assert_eq!(removed.store().state(), leader.instance.store().state());
}
