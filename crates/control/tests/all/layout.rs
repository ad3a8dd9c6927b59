//! Data directories that another version has written.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_control::codec;
use chestnutvalve_control::replica::options::Peer;
use chestnutvalve_control::replica::{self, Network, Options, StateMachine};
use chestnutvalve_control::settings::Voter;
use chestnutvalve_control::state::{Command, Store};
use chestnutvalve_model::account::{Account, Key, Limit};
use chestnutvalve_model::config::Edit;
use chestnutvalve_model::control::Step;
use chestnutvalve_model::id::{Control, Customer, Incarnation, Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{Kind, Limits, Publication, Share, Target};
use chestnutvalve_model::upstream::{Announcement, Event};
use chestnutvalve_model::version::Version;
use chestnutvalve_storage::format::FORMAT;
use chestnutvalve_storage::{Directory, Disk};
use rstest::rstest;
use serde::Serialize;
use tempfile::TempDir;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

use crate::harness::{Cluster, follow, free_address};
use crate::publish::{apply, publication, publish};
use crate::support::{change, exception, member, service, timeout};

/// Routes before they could be public.
#[derive(Serialize)]
struct EarlierRoute {
    name: String,
    host: String,
    prefix: String,
    kind: Kind,
    timeout_ms: u64,
    target_ms: u64,
    rank: Rank,
    split: Vec<Share>,
    attempts: u8,
}

/// Publications before they had accounts.
#[derive(Serialize)]
struct EarlierPublication {
    label: u64,
    base: u64,
    routes: Vec<EarlierRoute>,
    services: BTreeMap<Service, Target>,
    limits: Limits,
    source: Vec<u8>,
}

#[derive(Serialize)]
enum EarlierCommand {
    #[allow(dead_code, reason = "the number of the variant counts")]
    Change,
    #[allow(dead_code, reason = "the number of the variant counts")]
    Directory,
    Publish(EarlierPublication),
}

fn earlier(publication: Publication) -> EarlierCommand {
    let routes = publication.routes.into_iter().map(|route| EarlierRoute {
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        kind: route.kind,
        timeout_ms: route.timeout_ms,
        target_ms: route.target_ms,
        rank: route.rank,
        split: route.split,
        attempts: route.attempts,
    });
    EarlierCommand::Publish(EarlierPublication {
        label: publication.label,
        base: publication.base,
        routes: routes.collect(),
        services: publication.services,
        limits: publication.limits,
        source: publication.source,
    })
}

/// Stores a command, and a snapshot if there is one, as a replica does that has its group for itself.
async fn write_folder(own: &Voter, path: &Path, command: Vec<u8>, snapshot: Option<Vec<u8>>) {
    let directory = Arc::new(Directory::open(path, &mut Disk::default()).unwrap());
    let peer = Peer {
        name: own.control.to_string(),
        address: own.peers,
    };
    let options = Options::new("config", own.control.as_str(), own.peers);
    let entries = if snapshot.is_some() { 1 } else { u64::MAX / 16 };
    let options = options.with_members(vec![peer]).with_compaction(entries, 0);
    let file = path.join("config/snapshot");
    let is_due = snapshot.is_some();
    let machine = StateMachine {
        check: Box::new(|_| Ok(())),
        apply: Box::new(|_| Vec::new()),
        save: Box::new(move || snapshot.clone().unwrap_or_default()),
        restore: Box::new(|_| Ok(())),
    };
    let network = Network::default();
    let replica = replica::start(&network, &directory, Disk::default(), options, machine).unwrap();
    replica.propose(command).await.unwrap();
    while is_due && !file.exists() {
        sleep(Duration::from_millis(10)).await;
    }
    replica.stop().await;
}

fn set_format(path: &Path, format: u8) {
    let mut bytes = fs::read(path).unwrap();
    bytes[7] = format;
    fs::write(path, bytes).unwrap();
}

fn content(path: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut paths: Vec<PathBuf> = ["", "config"]
        .iter()
        .flat_map(|folder| fs::read_dir(path.join(folder)).unwrap())
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.is_file())
        .collect();
    paths.sort();
    let read = |path: PathBuf| (path.clone(), fs::read(&path).unwrap());
    paths.into_iter().map(read).collect()
}

/// Guards against a data directory of another version of which commands are skipped without a word, or that ends the process
/// with an error that does not say why; against a change of its files; and against refusing a folder that only states the
/// earlier format.
#[rstest]
#[case::earlier_command(true, false, 1, Some("command at index"))]
#[case::earlier_snapshot(false, true, 1, Some("snapshot at index"))]
#[case::later(false, false, 4, Some("another version"))]
#[case::same_command(false, false, 1, None)]
#[case::same_snapshot(false, false, 1, None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_directory_of_another_layout_is_refused(
    #[case] has_earlier_command: bool,
    #[case] has_earlier_snapshot: bool,
    #[case] format: u8,
    #[case] refused: Option<&str>,
    #[values(false, true)] has_snapshot: bool,
) {
    if has_earlier_command && has_snapshot || has_earlier_snapshot && !has_snapshot {
        return;
    }
    let own = Voter {
        control: Control::new("c0").unwrap(),
        peers: free_address(),
    };
    let cluster = Cluster {
        directory: TempDir::new().unwrap(),
        ledger_groups: 1,
        members: vec![own.clone()],
        running: Vec::new(),
    };
    fs::write(cluster.directory.path().join("token"), "operators-token").unwrap();
    let path = cluster.directory.path().join("c0");
    let first = publication(1, 0, 700);
    let command = if has_earlier_command {
        codec::encode(&earlier(first.clone()))
    } else {
        codec::encode(&Command::Publish(first.clone()))
    };
    let mut store = Store::default();
    assert_eq!(publish(&mut store, &first), Ok(1));
    let mut snapshot = store.save();
    if has_earlier_snapshot {
        snapshot.pop();
    }
    write_folder(&own, &path, command, has_snapshot.then_some(snapshot)).await;
    for file in ["config/log", "config/snapshot"] {
        let file = path.join(file);
        if file.exists() {
            set_format(&file, format);
        }
    }
    let before = content(&path);
    let started = cluster.try_launch(0).await;
    let Some(cause) = refused else {
        let running = started.unwrap();
        let state = follow(&running.client, |s| s.routes.label == 1).await;
        assert!(state.routes.find("a.example", "/x").is_some());
        return;
    };
    let error = started.err().expect("an error").to_string();
    let folder = path.display().to_string();
    for part in [&folder, &format!("format {format}"), "format 2", cause] {
        assert!(error.contains(part), "{error}");
    }
    assert_eq!(content(&path), before);
}

/// Guards against a change of the stored layout without another format, after which folders of this version are skipped in part or
/// refused with a puzzling error. With a new layout, raise the format and state the new digest.
#[test]
fn another_layout_needs_another_format() {
    let mut publication = publication(1, 0, 700);
    publication.accounts = vec![Account {
        customer: Customer::new("acme").unwrap(),
        keys: vec![Key::new("k1")],
        rank: Some(Rank::Top),
        limit: Some(Limit {
            per_second: 2.5,
            burst: 1.0,
        }),
    }];
    let worker = Announcement {
        worker: Worker::new("w1").unwrap(),
        incarnation: Incarnation(3),
        service: service("lookup"),
        address: "127.0.0.1:8080".parse().unwrap(),
        zone: Zone::new("z1").unwrap(),
        slots: 2,
        warm_up_ms: 5,
        leaving: false,
    };
    let departed = Event::Departed {
        worker: Worker::new("w2").unwrap(),
        incarnation: Some(Incarnation(4)),
    };
    let edits = vec![Edit::PutException(exception("e1", "test", Some("lookup")))];
    let commands = [
        Command::Change(change("amy", Version::ZERO, timeout(1_000))),
        Command::Change(change(
            "bob",
            Version {
                term: 1,
                revision: 1,
            },
            edits,
        )),
        Command::Directory(vec![Step::Join(member("e1", 1))]),
        Command::Publish(publication),
        Command::Workers(vec![Event::Announced(worker), departed]),
    ];
    let mut store = Store::default();
    let mut digest = Xxh3::new();
    for command in &commands {
        digest.update(&codec::encode(command));
        apply(&mut store, command);
    }
    assert_eq!(store.state().version.revision, 6);
    digest.update(&store.save());
    assert_eq!(
        (FORMAT, format!("{:016x}", digest.digest())),
        (2, "936b81bbcfc00492".to_owned())
    );
}
