//! Planned stop of the gateway.

use std::time::Duration;

use chestnutvalve_model::routes::{Kind, Route};
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::fleet::wait_until;
use crate::gateway::{ask_as, exchange, fleet, route, success, table};
use crate::worker::{Step, Worker};

/// Time after which a process that was told to stop is killed.
const GRACE: Duration = Duration::from_secs(6);

/// Guards against a planned stop that aborts or refuses requests while the caller's connection is open.
#[tokio::test]
async fn a_planned_stop_finishes_received_requests() {
    let worker = Worker::start("w1", |seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(300))];
        steps.extend(success(seen));
        steps
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let address = entry.gateway;
    let headers = [("host", "a.example"), ("chestnutvalve-attempt", "id-1")];
    let request = tokio::spawn(async move { exchange(address, "/x", &headers).await });
    wait_until("request", || worker.count() == 1).await;
    entry.shutdown.request();
    assert_eq!(request.await.unwrap().unwrap().status, 200);
    // Callers that do not know of the stop yet still get responses, and are told to close the connection.
    sleep(Duration::from_millis(200)).await;
    let late = ask_as(&entry, "/x", "id-2").await;
    assert_eq!((late.status, late.header("connection")), (200, "close"));
}

/// Guards against requests that a stopping entry takes although they can't end before its process does: they were passed on
/// and then cut without an answer.
#[rstest]
#[case::in_progress_before_the_stop(Duration::ZERO, &[504])]
#[case::late_in_the_stop(Duration::from_millis(2_500), &[503, 504])]
#[tokio::test]
async fn a_planned_stop_answers_all_requests_that_it_took(
    #[case] delay: Duration,
    #[case] statuses: &[u16],
) {
    let worker = Worker::start("w1", |_| vec![Step::Wait(Duration::from_secs(20))]).await;
    let (control, entry) = fleet(&[&worker]).await;
    let patient = Route {
        timeout_ms: 30_000,
        ..route("/once/", Kind::Once)
    };
    control.publish(table(2, vec![patient]));
    wait_until("routes", || entry.state().routes.label == 2).await;
    let address = entry.gateway;
    let spawn_request = |id: String| {
        tokio::spawn(async move {
            let headers = [
                ("host", "a.example"),
                ("chestnutvalve-attempt", id.as_str()),
            ];
            exchange(address, "/once/x", &headers).await
        })
    };
    let mut requests = Vec::new();
    if delay.is_zero() {
        requests.push(spawn_request("id-0".to_owned()));
        wait_until("request", || worker.count() == 1).await;
    }
    let since = Instant::now();
    entry.shutdown.request();
    sleep(delay).await;
    // Two run at the worker, and the others wait for its slots.
    for number in 1..6 {
        requests.push(spawn_request(format!("id-{number}")));
    }
    let mut answered = Vec::new();
    for request in requests {
        answered.push(request.await.unwrap().unwrap().status);
    }
    assert!(since.elapsed() < GRACE, "{:?}", since.elapsed());
    assert!(
        answered.iter().all(|s| [503, 504].contains(s)),
        "{answered:?}"
    );
    for status in statuses {
        assert!(answered.contains(status), "{answered:?}");
    }
    // What was refused with 503 has not run.
    let refused = answered.iter().filter(|status| **status == 503).count();
    assert_eq!(worker.count() + refused, answered.len());
}
