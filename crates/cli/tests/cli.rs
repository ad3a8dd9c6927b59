//! Arguments and text output of the command line.

use chestnutvalve_burn::report::report;
use chestnutvalve_burn::{Count, Export, Series};
use chestnutvalve_cli::arguments::command;
use chestnutvalve_cli::{burn, routes, status, wait};
use chestnutvalve_control::daemon::status::{Control, Entry, Overview, Replica};
use chestnutvalve_control::replica::{Role, Status};
use chestnutvalve_model::account::{Account, Key, Limit, Summary};
use chestnutvalve_model::config::Document;
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::id::{self, Incarnation, Service, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::upstream::Announcement;
use chestnutvalve_model::version::Version;
use rstest::rstest;

fn version(revision: u64) -> Version {
    Version { term: 3, revision }
}

fn entry(name: &str, in_force: Option<Version>, draining: bool) -> Entry {
    let address = "127.0.0.1:7001".parse().unwrap();
    Entry {
        member: Member {
            entry: id::Entry::new(name).unwrap(),
            incarnation: Incarnation(17),
            zone: Zone::new("keene").unwrap(),
            callers: address,
            gateway: None,
            link_mbps: 1_000,
            platform: address,
            peers: address,
            draining,
        },
        in_force,
        in_force_ms: in_force.map(|_| 1_200),
        heartbeat_ms: in_force.map(|_| 300),
    }
}

fn overview() -> Overview {
    let replica = |group: &str, role, quorum| Replica {
        group: group.to_owned(),
        status: Status {
            role,
            term: 3,
            leader: Some("c1".to_owned()),
            commit: 41,
            applied: 41,
            quorum,
        },
    };
    let control = |name: &str, role, quorum| Control {
        control: name.to_owned(),
        version: version(12),
        replicas: vec![
            replica("config", role, quorum),
            replica("ledger-0", role, quorum),
        ],
    };
    Overview {
        control: "c1".to_owned(),
        stale: false,
        changed: version(10),
        version: version(12),
        controls: vec![
            control("c1", Role::Leader, true),
            control("c2", Role::Candidate, false),
        ],
        unreachable: vec!["c3".to_owned()],
        heartbeats: true,
        entries: vec![
            entry("e1", Some(version(12)), false),
            entry("e2", Some(version(9)), true),
            entry("e3", None, false),
        ],
    }
}

/// Guards against a status that hides a lost quorum, an unreachable instance or a lagging entry.
#[test]
fn status_text() {
    insta::assert_snapshot!(status::render(&overview()));
}

/// Guards against `--wait` returning while an entry has an older or unknown version in force.
#[test]
fn lagging_entries() {
    let lagging = |revision| wait::lagging_entries(&overview(), version(revision));
    assert_eq!(lagging(9), ["e3"]);
    assert_eq!(lagging(10), ["e2", "e3"]);
    assert_eq!(lagging(13), ["e1", "e2", "e3"]);
}

/// Guards against a report that hides an entry without a response, or an alert.
#[test]
fn burn_text() {
    let series = |name: &str, rank, good, total| Series {
        service: Service::new(name).unwrap(),
        rank,
        windows: [Count { good, total }; 5],
    };
    let export = Export {
        counted_s: 90,
        series: vec![
            series("rationdesk", Rank::Top, 500, 1_000),
            series("fieldbook", Rank::Middle, 1_990, 2_000),
        ],
    };
    let report = burn::Report {
        entries: 2,
        counted_s: 90,
        unreachable: vec!["e3 (127.0.0.1:7103): no answer in time".to_owned()],
        lines: report(&Document::default(), &[export.clone(), export]),
    };
    insta::assert_snapshot!(burn::render(&report));
}

/// Guards against ambiguous or incomplete arguments that are accepted and change something unintended.
#[rstest]
#[case::no_author(&["config", "apply", "--set", "timeout_ms=1", "--reason", "r"])]
#[case::no_reason(&["config", "apply", "--set", "timeout_ms=1", "--author", "a"])]
#[case::nothing_to_apply(&["config", "apply", "--author", "a", "--reason", "r"])]
#[case::document_and_edit(&["config", "apply", "f", "--remove", "x", "--author", "a", "--reason", "r"])]
#[case::bad_version(&["config", "apply", "f", "--expected", "7", "--author", "a", "--reason", "r"])]
#[case::bad_id(&["config", "apply", "f", "--change-id", "a/b", "--author", "a", "--reason", "r"])]
#[case::bad_address(&["--control", "localhost", "status"])]
#[case::recovery_without_reason(&["replica", "recover", "--author", "a"])]
#[case::no_command(&[])]
fn rejected_arguments(#[case] arguments: &[&str]) {
    let arguments = std::iter::once("chestnutvalve").chain(arguments.iter().copied());
    assert!(command().try_get_matches_from(arguments).is_err());
}

/// Guards against an inconsistent parser definition, which the argument parser otherwise reports only on use.
#[test]
fn definition_is_consistent() {
    command().debug_assert();
}

/// Guards against a list that hides which incarnation of a worker is registered, or that it is leaving.
#[test]
fn workers_are_listed_with_run_and_state() {
    let worker = |name: &str, leaving| Announcement {
        worker: id::Worker::new(name).unwrap(),
        incarnation: Incarnation(1_784_905_232_000),
        service: id::Service::new("kasa").unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        zone: Zone::new("keene").unwrap(),
        slots: 2,
        warm_up_ms: 0,
        leaving,
    };
    let workers = [worker("w1", false), worker("w2", true)];
    insta::assert_snapshot!(routes::render(&workers), @r"
    kasa  w1  run 1784905232000  127.0.0.1:8080  keene  2 slots  ready
    kasa  w2  run 1784905232000  127.0.0.1:8080  keene  2 slots  leaving
    ");
}

/// Guards against a list that hides a limit or the rank, or that shows a key.
#[test]
fn customers_are_listed_without_their_keys() {
    let account = |name: &str, keys: &[&str], rank, limit: Option<(f64, f64)>| Account {
        customer: id::Customer::new(name).unwrap(),
        keys: keys.iter().map(|k| Key::new(k)).collect(),
        rank,
        limit: limit.map(|(per_second, burst)| Limit { per_second, burst }),
    };
    let customers = [
        account(
            "co-op",
            &["secret-1", "secret-2"],
            Some(Rank::Top),
            Some((12.5, 30.0)),
        ),
        account("farm", &["secret-3"], None, Some((200.0, 0.0))),
        account("guest", &[], Some(Rank::Bottom), None),
    ];
    let customers: Vec<Summary> = customers.iter().map(Account::summary).collect();
    insta::assert_snapshot!(routes::render_customers(&customers), @r"
    co-op  2 keys  top  12.5 requests/s, burst 30
    farm  1 key  rank of the route  200 requests/s, burst 0
    guest  0 keys  bottom  no limit
    ");
    let json = serde_json::to_string(&customers).unwrap();
    assert!(!json.contains("secret"), "{json}");
}
