//! Route tables: validation, differences between tables, and the route of a request.

use std::collections::BTreeMap;

use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{
    Kind, Limits, MAX_DURATION_MS, Publication, Route, Share, Target,
};
use rstest::rstest;

fn service(name: &str) -> Service {
    Service::new(name).unwrap()
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout_ms: 2_000,
        target_ms: 800,
        rank: Rank::Middle,
        split: vec![Share {
            service: service("lookup"),
            weight: 1.0,
        }],
        attempts: 2,
        public: false,
    }
}

fn publication(routes: Vec<Route>) -> Publication {
    let target = Target {
        health: "/healthz".to_owned(),
        max_connections: 400,
    };
    Publication {
        label: 1,
        base: 0,
        routes,
        services: BTreeMap::from([(service("lookup"), target)]),
        limits: Limits::default(),
        accounts: Vec::new(),
        source: Vec::new(),
    }
}

/// Guards against accepting an invalid document.
#[rstest]
#[case::unknown_service(|r: &mut Route| r.split[0].service = service("other"))]
#[case::weight_below_zero(|r: &mut Route| r.split[0].weight = -1.0)]
#[case::no_weight(|r: &mut Route| r.split[0].weight = 0.0)]
#[case::weight_not_a_number(|r: &mut Route| r.split[0].weight = f64::NAN)]
#[case::no_service(|r: &mut Route| r.split.clear())]
#[case::no_timeout(|r: &mut Route| r.timeout_ms = 0)]
#[case::target_a_minute_above_timeout(|r: &mut Route| r.target_ms = 62_000)]
#[case::prefix_without_slash(|r: &mut Route| r.prefix = "/a".to_owned())]
#[case::no_host(|r: &mut Route| r.host.clear())]
#[case::same_host_and_prefix(|r: &mut Route| r.prefix = "/".to_owned())]
fn an_invalid_document_is_refused(#[case] invalidate: fn(&mut Route)) {
    let mut invalid = route("r2", "a.example", "/a/");
    assert!(
        publication(vec![route("r1", "a.example", "/"), invalid.clone()])
            .table()
            .is_ok()
    );
    invalidate(&mut invalid);
    let refused = publication(vec![route("r1", "a.example", "/"), invalid]).table();
    let refused = refused.unwrap_err();
    assert!(refused.path.starts_with("routes[1]"), "{refused}");
}

/// Guards against times beyond any use, whose sums overflow, and against an error that does not name the field.
#[rstest]
#[case::timeout("routes[0].timeout", |p: &mut Publication, ms| p.routes[0].timeout_ms = ms)]
#[case::target("routes[0].target", |p: &mut Publication, ms| p.routes[0].target_ms = ms)]
#[case::head("limits.head_ms", |p: &mut Publication, ms| p.limits.head_ms = ms)]
#[case::idle("limits.idle_ms", |p: &mut Publication, ms| p.limits.idle_ms = ms)]
fn a_time_above_a_day_is_named(#[case] path: &str, #[case] set: fn(&mut Publication, u64)) {
    let mut long = publication(vec![route("r1", "a.example", "/")]);
    set(&mut long, MAX_DURATION_MS);
    assert_eq!(long.too_long(), []);
    for ms in [MAX_DURATION_MS + 1, u64::MAX] {
        set(&mut long, ms);
        let named = long.too_long();
        let named: Vec<&str> = named.iter().map(|invalid| invalid.path.as_str()).collect();
        assert_eq!(named, [path]);
    }
}

/// Guards against refusing a valid document.
#[rstest]
#[case::target_above_timeout(|r: &mut Route| r.target_ms = 61_999)]
#[case::one_part_without_weight(|r: &mut Route| r.split.push(Share { service: service("lookup"), weight: 0.0 }))]
#[case::same_name(|r: &mut Route| r.name = "r1".to_owned())]
fn an_unusual_document_is_accepted(#[case] change: fn(&mut Route)) {
    let mut unusual = route("r2", "a.example", "/a/");
    change(&mut unusual);
    let table = publication(vec![route("r1", "a.example", "/"), unusual]).table();
    assert!(table.is_ok(), "{table:?}");
}

/// Guards against selecting the route of a shorter prefix, of another host, or of a prefix that ends inside a path
/// segment.
#[rstest]
#[case("a.example", "/x", Some("root"))]
#[case("a.example", "/one/x", Some("one"))]
#[case("a.example", "/one/two/", Some("two"))]
#[case("a.example", "/one/two/three/four", Some("two"))]
#[case("a.example", "/onemore/x", Some("root"))]
#[case("a.example", "/one", Some("root"))]
#[case("b.example", "/one/x", None)]
#[case("b.example", "/two/x", Some("other"))]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![
        route("root", "a.example", "/"),
        route("one", "a.example", "/one/"),
        route("two", "a.example", "/one/two/"),
        route("other", "b.example", "/two/"),
    ];
    let table = publication(routes).table().unwrap();
    let found = table.find(host, path).map(|r| r.name.as_str());
    assert_eq!(found, expected);
}

/// Guards against an entry whose table differs from the published one after applying the difference.
#[test]
fn applying_a_difference_gives_the_next_table() {
    let before = publication(vec![
        route("r1", "a.example", "/"),
        route("r2", "a.example", "/gone/"),
        route("r3", "a.example", "/changed/"),
    ]);
    let mut next = publication(vec![
        route("r1", "a.example", "/"),
        route("r3", "a.example", "/changed/"),
        route("r4", "b.example", "/new/"),
    ]);
    next.label = 9;
    next.limits.idle_ms = 1;
    next.routes[1].timeout_ms = 7;
    let (mut table, next) = (before.table().unwrap(), next.table().unwrap());
    let delta = table.delta(&next);
    assert_eq!(delta.put.len(), 2);
    assert_eq!(delta.removed.len(), 1);
    assert_eq!(delta.services, None);
    table.apply(&delta);
    assert_eq!(table, next);
}
