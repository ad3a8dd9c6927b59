//! Order of start and stop.

use std::sync::{Arc, Mutex};

use chestnutvalve_kernel::service::Failure;
use chestnutvalve_kernel::{Registry, Service};

type Journal = Arc<Mutex<Vec<String>>>;

fn service(name: &'static str, journal: &Journal, fails: bool) -> Service {
    let (on_start, on_stop) = (Arc::clone(journal), Arc::clone(journal));
    let start = move || async move {
        on_start.lock().unwrap().push(format!("start {name}"));
        if fails {
            Err(Failure("no disk".into()))
        } else {
            Ok(())
        }
    };
    let stop = move || async move {
        on_stop.lock().unwrap().push(format!("stop {name}"));
        Ok(())
    };
    Service::new(name, Arc::new(name))
        .on_start(start)
        .on_stop(stop)
}

fn entries(journal: &Journal) -> Vec<String> {
    journal.lock().unwrap().clone()
}

/// Guards against stopping a service before those that use it.
#[tokio::test]
async fn services_stop_in_reverse_order() {
    let journal = Journal::default();
    let mut registry = Registry::default();
    registry
        .register(service("storage", &journal, false))
        .unwrap();
    registry
        .register(service("proxy", &journal, false))
        .unwrap();
    registry.start().await.unwrap();
    registry.stop().await.unwrap();
    assert_eq!(
        entries(&journal),
        ["start storage", "start proxy", "stop proxy", "stop storage"]
    );
}

/// Guards against services that keep running after a failed start.
#[tokio::test]
async fn failed_start_stops_the_started_services() {
    let journal = Journal::default();
    let mut registry = Registry::default();
    registry
        .register(service("storage", &journal, false))
        .unwrap();
    registry.register(service("proxy", &journal, true)).unwrap();
    let error = registry.start().await.unwrap_err();
    assert_eq!(error.to_string(), "starting service \"proxy\": no disk");
    assert_eq!(
        entries(&journal),
        ["start storage", "start proxy", "stop storage"]
    );
}

/// Guards against silent replacement of a service and against handles of another type.
#[tokio::test]
async fn names_are_unique_and_handles_are_typed() {
    let journal = Journal::default();
    let mut registry = Registry::default();
    registry
        .register(service("storage", &journal, false))
        .unwrap();
    assert!(
        registry
            .register(service("storage", &journal, false))
            .is_err()
    );
    assert_eq!(
        *registry.find::<&'static str>("storage").unwrap(),
        "storage"
    );
    assert!(registry.find::<u64>("storage").is_err());
    assert!(registry.find::<u64>("absent").is_err());
}
