//! Tests of route publications and worker events in the replicated state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chestnutvalve_control::codec;
use chestnutvalve_control::replica::CommittedCommand;
use chestnutvalve_control::state::{Command, Store};
use chestnutvalve_model::control::State;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::id::{Incarnation, Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{
    self, Limits, MAX_DURATION_MS, Publication, Route, Share, Target,
};
use chestnutvalve_model::upstream::{Announcement, Event};
use chestnutvalve_model::version::Version;

use crate::harness::Cluster;

pub fn publication(label: u64, base: u64, timeout_ms: u64) -> Publication {
    let service = Service::new("lookup").unwrap();
    let target = Target {
        health: "/healthz".to_owned(),
        max_connections: 400,
    };
    let route = Route {
        name: "r1".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: routes::Kind::Once,
        timeout_ms,
        target_ms: 1,
        rank: Rank::Top,
        split: vec![Share {
            service: service.clone(),
            weight: 1.0,
        }],
        attempts: 1,
        public: false,
    };
    Publication {
        label,
        base,
        routes: vec![route],
        services: BTreeMap::from([(service, target)]),
        limits: Limits::default(),
        accounts: Vec::new(),
        source: format!("{label} {base} {timeout_ms}").into_bytes(),
    }
}

pub fn apply(store: &mut Store, command: &Command) -> Vec<u8> {
    store.apply(CommittedCommand {
        term: 1,
        index: 1,
        command: &codec::encode(command),
    })
}

pub fn publish(store: &mut Store, publication: &Publication) -> Result<u64, Kind> {
    let result = apply(store, &Command::Publish(publication.clone()));
    let result: Result<u64, Fault> = codec::decode(&result).unwrap();
    result.map_err(|fault| fault.kind)
}

/// Guards against a refused resend, two accepted publications with the same base, and a label that decreases.
#[test]
fn publications_are_totally_ordered() {
    let mut store = Store::default();
    let first = publication(1, 0, 100);
    assert_eq!(publish(&mut store, &first), Ok(1));
    assert_eq!(publish(&mut store, &first), Ok(1));
    let winner = publication(5, 1, 200);
    assert_eq!(publish(&mut store, &winner), Ok(5));
    let loser = publication(5, 1, 300);
    assert_eq!(publish(&mut store, &loser), Err(Kind::VersionConflict));
    let same_label = publication(5, 5, 300);
    assert_eq!(publish(&mut store, &same_label), Err(Kind::InvalidChange));
    // A resend of an accepted document is acknowledged even after a later publication.
    assert_eq!(publish(&mut store, &first), Ok(5));
    assert_eq!(store.state().routes.label, 5);
    assert_eq!(store.published().source(), Some(&winner.source[..]));
}

/// Guards against a refused publication that changes the state.
#[test]
fn a_refused_publication_changes_nothing() {
    let mut store = Store::default();
    let mut invalid = publication(1, 0, 100);
    invalid.routes[0].split[0].weight = -1.0;
    assert_eq!(publish(&mut store, &invalid), Err(Kind::InvalidChange));
    assert_eq!(store.state(), &State::default());
    assert_eq!(store.published().source(), None);
}

/// Guards against a restart from a snapshot that loses acknowledged publications or workers, and against records from
/// which watchers build a different state.
#[test]
fn snapshots_and_records_carry_routes_and_workers() {
    let mut store = Store::default();
    let mut followed = State::default();
    publish(&mut store, &publication(1, 0, 100)).unwrap();
    let announced = Event::Announced(Announcement {
        worker: Worker::new("w1").unwrap(),
        incarnation: Incarnation(1),
        service: Service::new("lookup").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::new("z1").unwrap(),
        slots: 2,
        warm_up_ms: 0,
        leaving: false,
    });
    let events = vec![announced.clone(), announced];
    apply(&mut store, &Command::Workers(events));
    publish(&mut store, &publication(2, 1, 200)).unwrap();
    assert_eq!(store.state().roster.workers.len(), 1);
    for record in store.records().after(Version::ZERO).unwrap() {
        followed.apply(record).unwrap();
    }
    assert_eq!(&followed, store.state());
    let mut restored = Store::default();
    restored.restore(&store.save()).unwrap();
    assert_eq!(restored.state(), store.state());
    assert_eq!(restored.published(), store.published());
    assert_eq!(publish(&mut restored, &publication(1, 0, 100)), Ok(2));
}

/// Guards against a time beyond any use that reaches the entries, and against a replica that refuses a document which its group
/// accepted before such times were refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_time_above_a_day_is_refused_before_it_is_proposed() {
    let cluster = Cluster::start(1).await;
    let (_, running) = cluster.alive().next().expect("the instance runs");
    for timeout_ms in [MAX_DURATION_MS + 1, u64::MAX] {
        let long = publication(1, 0, timeout_ms);
        let refused = running.instance.publish(long.clone()).await.unwrap_err();
        assert_eq!(refused.kind, Kind::InvalidChange);
        assert!(
            refused.context.starts_with("routes[0].timeout"),
            "{refused}"
        );
        assert_eq!(publish(&mut Store::default(), &long), Ok(1));
    }
    let longest = publication(1, 0, MAX_DURATION_MS);
    assert_eq!(running.instance.publish(longest).await, Ok(1));
}
