//! Registered workers: late, repeated and conflicting announcements.

use std::net::SocketAddr;
use std::ops::Deref;

use chestnutvalve_model::id::{Incarnation, Service, Worker, Zone};
use chestnutvalve_model::routes::{Table, Target};
use chestnutvalve_model::upstream::{Announcement, Event, MAX_INCARNATION, Roster};
use rstest::rstest;

fn worker(name: &str) -> Worker {
    Worker::new(name).unwrap()
}

fn announcement(name: &str, incarnation: u64, port: u16) -> Announcement {
    Announcement {
        worker: worker(name),
        incarnation: Incarnation(incarnation),
        service: Service::new("lookup").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: Zone::new("z1").unwrap(),
        slots: 2,
        warm_up_ms: 0,
        leaving: false,
    }
}

fn departed(name: &str, incarnation: Option<u64>) -> Event {
    Event::Departed {
        worker: worker(name),
        incarnation: incarnation.map(Incarnation),
    }
}

/// Returns a table that names services.
fn table(services: &[&str]) -> Table {
    let target = || Target {
        health: "/healthz".to_owned(),
        max_connections: 100,
    };
    let services = services
        .iter()
        .map(|s| (Service::new(s).unwrap(), target()));
    Table {
        services: services.collect(),
        ..Table::default()
    }
}

/// Roster under a table that names the service of [`announcement`].
#[derive(Default)]
struct Known(Roster);

impl Known {
    fn would_change(&self, event: &Event) -> bool {
        self.0.would_change(event, &table(&["lookup"]))
    }

    fn apply(&mut self, event: &Event) {
        self.0.apply(event, &table(&["lookup"]));
    }
}

impl Deref for Known {
    type Target = Roster;

    fn deref(&self) -> &Roster {
        &self.0
    }
}

fn roster(events: &[Event]) -> Known {
    let mut roster = Known::default();
    for event in events {
        roster.apply(event);
    }
    roster
}

/// Guards against committing a log record for an announcement that changes nothing.
#[test]
fn a_repeated_announcement_changes_nothing() {
    let first = announcement("a", 1, 1);
    let known = roster(&[Event::Announced(first.clone())]);
    let mut warmer = first.clone();
    warmer.warm_up_ms = 500;
    assert!(!known.would_change(&Event::Announced(warmer)));
    let mut moved = first;
    moved.address.set_port(2);
    assert!(known.would_change(&Event::Announced(moved)));
}

/// Guards against sending requests to a leaving worker again after a late announcement.
#[test]
fn leaving_is_final_for_one_incarnation() {
    let ready = announcement("a", 1, 1);
    let mut leaving = ready.clone();
    leaving.leaving = true;
    let known = roster(&[Event::Announced(leaving.clone())]);
    assert!(!known.would_change(&Event::Announced(ready)));
    let next = announcement("a", 2, 1);
    assert!(known.would_change(&Event::Announced(next)));
}

/// Guards against registering a departed worker again when a partition delayed one of its announcements.
#[test]
fn a_departed_incarnation_is_not_registered_again() {
    let known = roster(&[
        Event::Announced(announcement("a", 5, 1)),
        departed("a", Some(5)),
    ]);
    assert!(known.workers.is_empty());
    assert!(!known.would_change(&Event::Announced(announcement("a", 5, 1))));
    assert!(known.would_change(&Event::Announced(announcement("a", 6, 1))));
}

/// Guards against registering a worker whose first announcement arrives after its departure was acknowledged.
#[test]
fn a_departure_before_the_first_announcement_is_final() {
    let left = departed("a", Some(5));
    let known = roster(std::slice::from_ref(&left));
    assert!(Known::default().would_change(&left));
    assert!(!known.would_change(&left));
    assert!(!known.would_change(&Event::Announced(announcement("a", 5, 1))));
    assert!(!known.would_change(&Event::Announced(announcement("a", 4, 1))));
    assert!(known.would_change(&Event::Announced(announcement("a", 6, 1))));
}

/// Guards against registering an incarnation that departed while an earlier one was registered under the same name.
#[test]
fn a_departure_covers_the_incarnation_that_it_names() {
    let known = roster(&[
        Event::Announced(announcement("a", 5, 1)),
        departed("a", Some(7)),
    ]);
    assert!(known.workers.is_empty());
    assert!(!known.would_change(&Event::Announced(announcement("a", 7, 1))));
    assert!(known.would_change(&Event::Announced(announcement("a", 8, 1))));
}

fn ended(name: &str, latest: u64) -> Event {
    let (worker, latest) = (worker(name), Incarnation(latest));
    Event::Ended { worker, latest }
}

/// Guards against registering a worker whose announcement arrives after a departure that stated no incarnation: one that was never
/// registered, and one that was registered only in an earlier incarnation.
#[rstest]
#[case::never_registered(None)]
#[case::earlier_incarnation_registered(Some(3))]
#[case::registered(Some(5))]
fn a_departure_without_an_incarnation_is_final(#[case] registered: Option<u64>) {
    let registered = registered.map(|i| Event::Announced(announcement("a", i, 1)));
    let left = ended("a", 6);
    let mut known = roster(registered.as_slice());
    assert!(known.would_change(&left));
    known.apply(&left);
    assert!(known.workers.is_empty());
    assert!(!known.would_change(&left));
    assert!(!known.would_change(&Event::Announced(announcement("a", 5, 1))));
    let mut leaving = announcement("a", 5, 1);
    leaving.leaving = true;
    assert!(!known.would_change(&Event::Announced(leaving)));
}

/// Guards against a departure without an incarnation that keeps out a later start under the same name, other workers, or a worker
/// whose clock is ahead for good.
#[test]
fn a_departure_without_an_incarnation_ends_only_earlier_starts() {
    let known = roster(&[ended("a", 6)]);
    assert!(known.would_change(&Event::Announced(announcement("a", 7, 1))));
    assert!(known.would_change(&Event::Announced(announcement("b", 5, 1))));
    let mut known = roster(&[
        Event::Announced(announcement("a", 8, 1)),
        ended("a", 6),
        ended("a", 7),
    ]);
    assert!(known.workers.is_empty());
    assert!(!known.would_change(&Event::Announced(announcement("a", 8, 1))));
    known.apply(&Event::Announced(announcement("a", 9, 1)));
    assert_eq!(known.workers[&worker("a")].incarnation, Incarnation(9));
}

/// Guards against one worker whose repeated departures displace the records of all others.
#[test]
fn a_worker_has_one_record_of_its_departure() {
    let mut known = roster(&[departed("a", Some(5))]);
    for incarnation in 1..=10_000 {
        known.apply(&departed("b", Some(incarnation)));
    }
    assert!(!known.would_change(&Event::Announced(announcement("a", 5, 1))));
}

/// Guards against a departure that keeps a worker out for good.
#[test]
fn a_departure_names_a_valid_incarnation() {
    assert!(departed("a", Some(MAX_INCARNATION.0)).check().is_ok());
    assert!(departed("a", Some(MAX_INCARNATION.0 + 1)).check().is_err());
    assert!(departed("a", None).check().is_ok());
    assert!(ended("a", MAX_INCARNATION.0).check().is_ok());
    assert!(ended("a", MAX_INCARNATION.0 + 1).check().is_err());
}

/// Guards against a delayed departure of an earlier incarnation that removes the registered one.
#[test]
fn a_late_departure_does_not_remove_a_later_incarnation() {
    let known = roster(&[Event::Announced(announcement("a", 6, 1))]);
    assert!(!known.would_change(&departed("a", Some(5))));
    assert!(known.would_change(&departed("a", Some(6))));
    assert!(known.would_change(&departed("a", None)));
    assert!(!known.would_change(&departed("b", None)));
}

/// Guards against keeping a departed worker registered at an address that a later worker has taken over.
#[test]
fn an_address_belongs_to_the_worker_that_started_last() {
    let mut known = roster(&[
        Event::Announced(announcement("old", 5, 1)),
        Event::Announced(announcement("new", 6, 1)),
    ]);
    assert_eq!(known.workers.keys().collect::<Vec<_>>(), [&worker("new")]);
    let late = Event::Announced(announcement("old", 5, 1));
    assert!(!known.would_change(&late));
    known.apply(&late);
    assert_eq!(known.workers.len(), 1);
    // An older worker that was never registered can't take the address either.
    assert!(!known.would_change(&Event::Announced(announcement("older", 4, 1))));
}

/// Returns the announcement of a worker of `service`.
fn of_service(service: &str, name: &str, incarnation: u64, port: u16) -> Announcement {
    Announcement {
        service: Service::new(service).unwrap(),
        ..announcement(name, incarnation, port)
    }
}

/// Returns the names and services of the registered workers.
fn names(roster: &Roster) -> Vec<(&str, &str)> {
    let workers = roster.workers.values();
    workers
        .map(|w| (w.worker.as_str(), w.service.as_str()))
        .collect()
}

/// Guards against a worker that is lost to an announcement of a service that the table does not name: one that uses its address, its
/// name or both, with any incarnation, before or after its own.
#[rstest]
fn a_worker_holds_against_a_service_that_is_not_named(
    #[values("a", "other")] name: &str,
    #[values(4, 5, 6)] incarnation: u64,
    #[values(1, 2)] port: u16,
    #[values(false, true)] leaving: bool,
    #[values(false, true)] comes_first: bool,
) {
    let own = Event::Announced(announcement("a", 5, 1));
    let foreign = Event::Announced(Announcement {
        leaving,
        ..of_service("old-name", name, incarnation, port)
    });
    let mut events = [
        own.clone(),
        foreign.clone(),
        own.clone(),
        foreign,
        own.clone(),
    ];
    if comes_first {
        events.reverse();
        events.rotate_left(1);
    }
    let mut known = roster(&events);
    assert_eq!(known.workers[&worker("a")], announcement("a", 5, 1));
    assert!(!known.would_change(&own));
    let mut left = announcement("a", 5, 1);
    left.leaving = true;
    assert!(known.would_change(&Event::Announced(left)));
    known.apply(&departed("a", Some(5)));
    assert!(!known.would_change(&own));
    assert!(known.would_change(&Event::Announced(announcement("a", 6, 1))));
}

/// Guards against a departure that leaves no record because a service that is not named has announced a later start.
#[rstest]
#[case::with_an_incarnation(departed("a", Some(5)))]
#[case::without(ended("a", 5))]
fn a_departure_is_recorded_beside_a_service_that_is_not_named(#[case] left: Event) {
    let mut known = roster(&[
        Event::Announced(of_service("old-name", "a", 9, 1)),
        left.clone(),
    ]);
    assert!(!known.would_change(&left));
    assert!(!known.would_change(&Event::Announced(announcement("a", 5, 1))));
    known.apply(&Event::Announced(announcement("a", 6, 1)));
    assert_eq!(names(&known), [("a", "lookup")]);
}

/// Guards against an instance that lags and acknowledges the end of a worker because its state ignores the event.
#[test]
fn the_end_of_a_worker_counts_as_recorded_only_with_its_record() {
    let mut leaving = announcement("a", 5, 1);
    leaving.leaving = true;
    let leaving = Event::Announced(leaving);
    let later = Event::Announced(announcement("a", 6, 1));
    let known = roster(&[later]);
    let ends = [
        leaving.clone(),
        departed("a", Some(5)),
        departed("a", None),
        ended("a", 5),
    ];
    assert!(
        ends.iter()
            .all(|event| event.ends_worker() && !known.records_end(event))
    );
    assert!(roster(std::slice::from_ref(&leaving)).records_end(&leaving));
    let known = roster(&[ended("a", 5)]);
    assert!(known.records_end(&leaving) && known.records_end(&departed("a", Some(5))));
}

/// Guards against a record of a departure that an earlier time replaces.
#[test]
fn a_departure_is_not_forgotten_with_a_later_one_of_an_earlier_time() {
    let known = roster(&[
        ended("a", 9),
        Event::Announced(of_service("old-name", "a", 10, 1)),
        ended("a", 5),
    ]);
    assert!(!known.would_change(&Event::Announced(announcement("a", 9, 1))));
}

/// Guards against a worker that is ignored because it announced itself before the table named its service, also at an address that a
/// worker of another service had.
#[test]
fn a_worker_may_announce_itself_before_its_service_is_named() {
    let early = Event::Announced(of_service("new-name", "b", 6, 1));
    let mut known = roster(&[Event::Announced(announcement("a", 5, 1)), early.clone()]).0;
    assert_eq!(names(&known), [("a", "lookup"), ("b", "new-name")]);
    let named = table(&["lookup", "new-name"]);
    assert!(known.would_change(&early, &named));
    known.apply(&early, &named);
    assert_eq!(names(&known), [("b", "new-name")]);
    assert!(!known.would_change(&early, &named));
    let late = Event::Announced(announcement("a", 5, 1));
    assert!(!known.would_change(&late, &named));
}

/// Guards against workers that displace each other before the first table, and against one that is kept out afterwards.
#[test]
fn the_first_table_decides_between_workers_at_one_address() {
    let none = Table::default();
    let own = Event::Announced(announcement("a", 5, 1));
    let foreign = Event::Announced(of_service("old-name", "other", 6, 1));
    let mut known = Roster::default();
    for event in [&own, &foreign, &own] {
        known.apply(event, &none);
    }
    assert!(known.workers.contains_key(&worker("a")));
    let mut known = Roster::default();
    for event in [&foreign, &own] {
        known.apply(event, &none);
    }
    known.apply(&own, &table(&["lookup"]));
    assert!(known.workers.contains_key(&worker("a")));
}
