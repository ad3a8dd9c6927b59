//! Sharing of workers, configuration and state between entries.

use std::time::Duration;

use chestnutvalve_model::config::{Edit, Overrides};
use tokio::time::sleep;

use crate::control::Control;
use crate::fleet::{Entry, send, start_single, wait_until};
use crate::worker::{Worker, response};

/// Guards against an entry that starts without a control instance and serves without the fleet's configuration.
#[tokio::test]
async fn state_is_fetched_from_a_peer_while_control_is_unavailable() {
    let (control, first) = start_single().await;
    let overrides = Overrides {
        timeout_ms: Some(1_234),
        ..Overrides::default()
    };
    control.edit(Edit::SetDefaults(overrides));
    let timeout = |entry: &Entry| entry.state().document.defaults.timeout_ms;
    wait_until("change", || timeout(&first) == 1_234).await;
    control.stop();
    let second = Entry::start_with_hints("e2", control.address, &[first.peers]).await;
    wait_until("fetched state", || timeout(&second) == 1_234).await;
    assert_eq!(second.state().version, first.state().version);
}

/// Guards against a request that fails because it reached an entry that does not own its service.
#[tokio::test]
async fn request_at_another_entry_is_forwarded() {
    let control = Control::start().await;
    let mut entries = Vec::new();
    for n in 0..5 {
        entries.push(Entry::start(&format!("e{n}"), control.address).await);
    }
    for entry in &entries {
        entry.wait_for_members(5).await;
    }
    let mut worker = Worker::start("w1", |_| response(200, "ok")).await;
    worker.announce(entries[0].platform, "arhiv").await;
    let headers = [("chestnutvalve-service", "arhiv")];
    for entry in &entries {
        let reply = send(entry.callers, "GET", "/", &headers, b"").await;
        assert_eq!(reply.unwrap().status, 200);
    }
}

/// Guards against metrics that omit requests, and against an instance whose overhead is not measured.
#[tokio::test]
async fn requests_are_counted() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| response(200, "ok")).await;
    worker.announce(entry.platform, "arhiv").await;
    let headers = [("chestnutvalve-service", "arhiv")];
    for _ in 0..3 {
        let reply = send(entry.callers, "GET", "/", &headers, b"").await;
        assert_eq!(reply.unwrap().status, 200);
    }
    let burn = send(entry.platform, "GET", "/v1/burn", &[], b"").await;
    let burn: serde_json::Value = serde_json::from_slice(&burn.unwrap().body).unwrap();
    let minute = &burn["series"][0]["windows"][0];
    assert_eq!(
        (&minute["good"], &minute["total"]),
        (&3.into(), &3.into()),
        "{burn}"
    );
    let answered = entry.metric("requests_total", "outcome=\"answered\"").await;
    let latencies = entry.metric("added_latency_ms_count", "").await;
    assert_eq!((answered, latencies), (3.0, 3.0));
    assert!(
        entry
            .metric("control_bytes_total", "direction=\"in\"")
            .await
            > 0.0
    );
}

/// Guards against requests to a worker that no longer renews its announcement, such as one that is leaving while a
/// network partition hides it.
#[tokio::test]
async fn silent_worker_gets_no_work_after_its_proof_has_expired() {
    let (_control, entry) = start_single().await;
    let mut worker = Worker::start("w1", |_| response(200, "ok")).await;
    worker.announce(entry.platform, "arhiv").await;
    entry.wait_for_workers("arhiv", 1).await;
    worker.stop_announcing();
    sleep(Duration::from_secs(3)).await;
    let headers = [("chestnutvalve-service", "arhiv")];
    let reply = send(entry.callers, "GET", "/", &headers, b"")
        .await
        .unwrap();
    assert_eq!(reply.header("chestnutvalve-error"), "no_eligible_worker");
    assert_eq!(worker.count(), 0);
}
