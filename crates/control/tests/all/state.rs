//! Tests of the state machine of the config group.

use crate::support::{Log, change, entry, exception, member, service, timeout};
use chestnutvalve_control::daemon::watch::build_update;
use chestnutvalve_control::state::history::MAX_IDS;
use chestnutvalve_control::state::records::MAX_RECORDS;
use chestnutvalve_control::state::{Command, Outcome, Store};
use chestnutvalve_model::config::Edit;
use chestnutvalve_model::control::{Content, State, Step, Watch};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Incarnation;
use chestnutvalve_model::version::Version;
use rstest::rstest;

fn watch(have: Version, services: Option<&[&str]>) -> Watch {
    Watch {
        entry: entry("e1"),
        incarnation: Incarnation(1),
        have,
        services: services.map(|names| names.iter().map(|n| service(n)).collect()),
        wait_ms: 0,
    }
}

fn kind(outcome: &Outcome) -> Option<Kind> {
    outcome.as_ref().err().map(|refusal| refusal.fault.kind)
}

/// Guards against two concurrent changes that are both reported as accepted.
#[test]
fn one_of_two_changes_with_one_expected_version_is_accepted() {
    let mut log = Log::default();
    let base = log
        .change(&change("base", Version::ZERO, timeout(900)))
        .unwrap();
    let first = log.change(&change("amy", base, timeout(1_000)));
    let second = log.change(&change("bob", base, timeout(2_000)));
    assert_eq!(
        first,
        Ok(Version {
            term: 1,
            revision: 2
        })
    );
    assert_eq!(kind(&second), Some(Kind::VersionConflict));
    let refusal = second.unwrap_err();
    assert_eq!(refusal.current, first.ok());
    assert_eq!(refusal.difference, Some(timeout(1_000)));
    assert_eq!(log.store.state().document.defaults.timeout_ms, 1_000);
}

/// Guards against a change that is applied twice, or reported as a conflict with itself, when it is resent after a lost
/// answer.
#[test]
fn resend_gets_the_original_result() {
    let mut log = Log::default();
    let sent = change("amy", Version::ZERO, timeout(1_000));
    let first = log.change(&sent).unwrap();
    let other = log.change(&change("bob", first, timeout(2_000))).unwrap();
    log.term = 7;
    assert_eq!(log.change(&sent), Ok(first));
    assert_eq!(log.store.state().version, other);
    assert_eq!(log.store.state().document.defaults.timeout_ms, 2_000);
    let mut restored = Store::default();
    restored.restore(&log.store.save()).unwrap();
    log.store = restored;
    assert_eq!(log.change(&sent), Ok(first));
}

/// Guards against a change that is reported as accepted because another change had the same id.
#[test]
fn reused_id_with_other_content_is_refused() {
    let mut log = Log::default();
    log.change(&change("id", Version::ZERO, timeout(1_000)))
        .unwrap();
    let reused = log.change(&change("id", Version::ZERO, timeout(2_000)));
    assert_eq!(kind(&reused), Some(Kind::InvalidChange));
}

/// Guards against joins and leaves of entries that cause version conflicts for operators.
#[test]
fn directory_steps_do_not_conflict_with_a_change() {
    let mut log = Log::default();
    let base = log
        .change(&change("base", Version::ZERO, timeout(900)))
        .unwrap();
    log.apply_steps(vec![Step::Join(member("e1", 1))]);
    let seen = log.store.state().version;
    log.apply_steps(vec![Step::Join(member("e2", 1))]);
    log.change(&change("amy", base, timeout(1_000))).unwrap();
    let late = log.change(&change("bob", seen, timeout(2_000)));
    assert_eq!(kind(&late), Some(Kind::VersionConflict));
}

/// Guards against a change that is accepted although a forced recovery has discarded its expected version.
#[test]
fn discarded_version_is_a_conflict() {
    let mut log = Log::default();
    log.change(&change("base", Version::ZERO, timeout(900)))
        .unwrap();
    log.apply_steps(vec![Step::Join(member("e1", 1))]);
    log.term = 3;
    log.apply_steps(vec![Step::Join(member("e2", 1))]);
    let lost = Version {
        term: 2,
        revision: 2,
    };
    let outcome = log.change(&change("amy", lost, timeout(1_000)));
    assert_eq!(kind(&outcome), Some(Kind::VersionConflict));
}

/// Guards against an invalid configuration in force when the proposing instance did not detect the invalid change.
#[rstest]
#[case::out_of_range(timeout(1))]
#[case::no_reason(vec![Edit::PutException(exception("x", " ", Some("kasa")))])]
#[case::absent(vec![Edit::RemoveException("absent".to_owned())])]
#[case::no_edits(Vec::new())]
#[case::second_edit(vec![timeout(1_000).remove(0), timeout(1).remove(0)])]
fn invalid_change_has_no_effect(#[case] edits: Vec<Edit>) {
    let mut log = Log::default();
    let before = log.store.state().clone();
    let outcome = log.change(&change("amy", Version::ZERO, edits));
    assert_eq!(kind(&outcome), Some(Kind::InvalidChange));
    assert_eq!(log.store.state(), &before);
}

/// Guards against a replica that stops at a command that does not decode.
#[test]
fn malformed_command_has_no_effect() {
    let mut log = Log::default();
    let outcome: Outcome = log.apply(&[0xff; 40]);
    assert_eq!(kind(&outcome), Some(Kind::Internal));
    assert_eq!(log.store.state(), &State::default());
}

/// Guards against replicas that diverge because applying a command is not deterministic.
#[test]
fn same_log_gives_same_snapshot() {
    let run = || {
        let mut log = Log::default();
        for n in 0..50_u32 {
            let expected = log.store.config_version();
            let put = Edit::PutException(exception(&format!("x{}", n % 7), "why", Some("kasa")));
            let _ = log.change(&change(&format!("c{n}"), expected, vec![put]));
            log.apply_steps(vec![Step::Join(member("e1", n.into()))]);
        }
        log.store.save()
    };
    assert_eq!(run(), run());
}

/// Guards against a watcher that gets an older state from an instance that lags, was partitioned or was restored.
#[test]
fn older_instance_delivers_nothing() {
    let mut log = Log::default();
    let first = log
        .change(&change("a", Version::ZERO, timeout(1_000)))
        .unwrap();
    let old = log.store.save();
    let second = log.change(&change("b", first, timeout(2_000))).unwrap();
    let mut lagging = Store::default();
    lagging.restore(&old).unwrap();
    let delivered = build_update(&lagging, &watch(second, None), true);
    assert_eq!(delivered.content, Content::Unchanged);
    assert!(delivered.stale);
    let fault = log.store.restore(&old).unwrap_err();
    assert_eq!(fault.kind, Kind::Internal);
    assert_eq!(log.store.state().version, second);
}

/// Guards against a watcher that has a discarded version and gets records that don't follow it.
#[test]
fn unknown_version_gets_a_snapshot() {
    let mut log = Log::default();
    let first = log
        .change(&change("a", Version::ZERO, timeout(1_000)))
        .unwrap();
    log.term = 3;
    log.change(&change("b", first, timeout(2_000))).unwrap();
    let records = build_update(&log.store, &watch(first, None), false).content;
    assert!(matches!(records, Content::Records(r) if r.len() == 1));
    let lost = Version {
        term: 2,
        revision: 2,
    };
    let snapshot = build_update(&log.store, &watch(lost, None), false).content;
    assert_eq!(snapshot, Content::Snapshot(log.store.state().clone()));
}

/// Guards against entries that have different configurations after following records and after loading a snapshot.
#[test]
fn records_and_snapshot_give_the_same_configuration() {
    let services = ["kasa", "arhiv"];
    let mut log = Log::default();
    log.change(&change("base", Version::ZERO, timeout(900)))
        .unwrap();
    let Content::Snapshot(mut followed) =
        build_update(&log.store, &watch(Version::ZERO, Some(&services)), false).content
    else {
        panic!("expected a snapshot");
    };
    let scopes = [
        Some("kasa"),
        Some("dokumenti"),
        None,
        Some("arhiv"),
        Some("dokumenti"),
    ];
    for n in 0..60_usize {
        let id = format!("x{}", n % 4);
        let scope = scopes[n * 7 % scopes.len()];
        let mut edits = vec![Edit::PutException(exception(&id, "why", scope))];
        if n % 3 == 0 && log.store.state().document.exceptions.contains_key(&id) {
            edits.insert(0, Edit::RemoveException(id.clone()));
        }
        if n % 5 == 0 {
            edits.push(Edit::RemoveException(id));
        }
        let expected = log.store.config_version();
        log.change(&change(&format!("c{n}"), expected, edits))
            .unwrap();
        let have = followed.version;
        let Content::Records(records) =
            build_update(&log.store, &watch(have, Some(&services)), false).content
        else {
            panic!("expected records after {have}");
        };
        for record in &records {
            followed.apply(record).unwrap();
        }
        let names: Vec<_> = services.iter().map(|n| service(n)).collect();
        assert_eq!(
            followed.document,
            log.store.state().document.part(&names),
            "change {n}"
        );
    }
}

/// Guards against unbounded growth of the state, and against a gap after old records are dropped.
#[test]
fn retained_records_and_ids_are_bounded() {
    let mut log = Log::default();
    let mut early = Version::ZERO;
    for n in 0..MAX_IDS + 50 {
        let expected = log.store.config_version();
        let edits = timeout(1_000 + u32::try_from(n % 100).unwrap());
        let version = log
            .change(&change(&format!("c{n}"), expected, edits))
            .unwrap();
        if n == 10 {
            early = version;
        }
    }
    assert_eq!(log.store.history().accepted_ids().len(), MAX_IDS);
    assert!(log.store.history().find_id("c10").is_none());
    let late = build_update(&log.store, &watch(early, None), false).content;
    assert!(matches!(late, Content::Snapshot(_)));
    let revision = log.store.state().version.revision - MAX_RECORDS as u64;
    let oldest = build_update(
        &log.store,
        &watch(Version { term: 1, revision }, None),
        false,
    );
    assert!(matches!(oldest.content, Content::Records(r) if r.len() == MAX_RECORDS));
    // A resend whose id was dropped is still not applied a second time.
    let resent = log.change(&change("c10", early, timeout(1_010)));
    assert_eq!(kind(&resent), Some(Kind::VersionConflict));
}

/// Guards against a delayed heartbeat that clears the draining flag of an entry or restores an earlier incarnation.
#[test]
fn directory_keeps_later_incarnations_and_draining() {
    let mut log = Log::default();
    let mut draining = member("e1", 2);
    draining.draining = true;
    log.apply_steps(vec![Step::Join(draining.clone())]);
    let version = log.store.state().version;
    log.apply_steps(vec![
        Step::Join(member("e1", 2)),
        Step::Join(member("e1", 1)),
    ]);
    log.apply_steps(vec![Step::Leave {
        entry: entry("e1"),
        incarnation: Incarnation(1),
    }]);
    assert_eq!(log.store.state().directory.members[&entry("e1")], draining);
    assert_eq!(
        log.store.state().version,
        version,
        "steps without effect add no version"
    );
    let command = Command::Directory(vec![Step::Edits(timeout(1_000))]);
    log.propose::<Version>(&command);
    assert_eq!(
        log.store.state().version,
        version,
        "edits are only applied by a change with author and reason"
    );
}

/// Guards against an accepted document that does not fit into the frame that delivers it to entries.
#[test]
fn document_stays_small_enough_to_be_delivered() {
    let mut log = Log::default();
    let reason = "r".repeat(1_000);
    let fill = |from: usize| -> Vec<Edit> {
        let ids = from..from + 5_000;
        ids.map(|n| Edit::PutException(exception(&format!("x{n}"), &reason, Some("kasa"))))
            .collect()
    };
    let mut refused = None;
    for n in 0..20 {
        let sent = change(
            &format!("c{n}"),
            log.store.config_version(),
            fill(n * 5_000),
        );
        refused = log.change(&sent).err();
        if refused.is_some() {
            break;
        }
    }
    assert_eq!(refused.unwrap().fault.kind, Kind::InvalidChange);
    assert!(log.store.state().document.exceptions.len() >= 40_000);
    let everything = build_update(&log.store, &watch(Version::ZERO, None), false);
    chestnutvalve_wire::Frame::encode(&everything).expect("fits into a frame");
    let mut restored = Store::default();
    restored.restore(&log.store.save()).unwrap();
    log.store = restored;
    let expected = log.store.config_version();
    let again = change("again", expected, fill(50_000));
    assert_eq!(kind(&log.change(&again)), Some(Kind::InvalidChange));
    let ids: Vec<String> = log
        .store
        .state()
        .document
        .exceptions
        .keys()
        .cloned()
        .collect();
    let removals = ids.into_iter().take(9_000).map(Edit::RemoveException);
    let removed = change("remove", expected, removals.collect());
    let expected = log.change(&removed).unwrap();
    assert!(
        log.change(&change("refill", expected, fill(50_000)))
            .is_ok()
    );
}
