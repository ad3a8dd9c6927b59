//! Order of start and stop, and lookup of services.

use std::sync::{Arc, Mutex};

use chestnutvalve_kernel::service::Failure;
use chestnutvalve_kernel::{Registry, Service};

type Calls = Arc<Mutex<Vec<String>>>;

fn service(name: &'static str, calls: &Calls, fail_start: bool) -> Service {
    let (on_start, on_stop) = (Arc::clone(calls), Arc::clone(calls));
    let start = move || async move {
        on_start.lock().unwrap().push(format!("start {name}"));
        if fail_start {
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

fn recorded(calls: &Calls) -> Vec<String> {
    calls.lock().unwrap().clone()
}

/// Guards against stopping a service before the services that use it.
#[tokio::test]
async fn services_stop_in_reverse_order() {
    let calls = Calls::default();
    let mut registry = Registry::default();
    registry
        .register(service("storage", &calls, false))
        .unwrap();
    registry.register(service("proxy", &calls, false)).unwrap();
    registry.start().await.unwrap();
    registry.stop().await.unwrap();
    assert_eq!(
        recorded(&calls),
        ["start storage", "start proxy", "stop proxy", "stop storage"]
    );
}

/// Guards against services that keep running after the start of a later service failed.
#[tokio::test]
async fn failed_start_stops_the_started_services() {
    let calls = Calls::default();
    let mut registry = Registry::default();
    registry
        .register(service("storage", &calls, false))
        .unwrap();
    registry.register(service("proxy", &calls, true)).unwrap();
    let error = registry.start().await.unwrap_err();
    assert_eq!(error.to_string(), "starting service \"proxy\": no disk");
    assert_eq!(
        recorded(&calls),
        ["start storage", "start proxy", "stop storage"]
    );
}

/// Guards against replacing a registered service silently and against returning a handle of another type.
#[tokio::test]
async fn names_are_unique_and_handles_are_typed() {
    let calls = Calls::default();
    let mut registry = Registry::default();
    registry
        .register(service("storage", &calls, false))
        .unwrap();
    assert!(
        registry
            .register(service("storage", &calls, false))
            .is_err()
    );
    assert_eq!(
        *registry.find::<&'static str>("storage").unwrap(),
        "storage"
    );
    assert!(registry.find::<u64>("storage").is_err());
    assert!(registry.find::<u64>("absent").is_err());
}
