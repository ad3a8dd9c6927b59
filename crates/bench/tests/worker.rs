//! Stand-in worker under direct load, without an entry.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_bench::client::Http;
use chestnutvalve_bench::load::{self, Class, Plan, Verdict};
use chestnutvalve_bench::load::{Call, Caller};
use chestnutvalve_bench::worker::{self, Counts, Settings};
use chestnutvalve_kernel::Shutdown;
use chestnutvalve_model::rank::Rank;
use serde_json::json;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

async fn start_worker(settings: Settings) -> (SocketAddr, Shutdown) {
    let address = free_address();
    let shutdown = Shutdown::default();
    let settings = Settings {
        listen: address,
        ..settings
    };
    let bound = worker::bind(settings).await.unwrap();
    tokio::spawn(bound.run(shutdown.clone()));
    let http = Http::new();
    for _ in 0..500 {
        if http
            .get(address, "/_worker/health", REQUEST_TIMEOUT)
            .await
            .is_ok()
        {
            return (address, shutdown);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the worker did not become healthy within 500 polls");
}

async fn counts(address: SocketAddr) -> Counts {
    let response = Http::new()
        .get(address, "/_worker/counts", REQUEST_TIMEOUT)
        .await;
    serde_json::from_slice(&response.unwrap().body).unwrap()
}

async fn set_fault(address: SocketAddr, fault: serde_json::Value) {
    let response = Http::new()
        .post(address, "/_worker/fault", &fault, None, REQUEST_TIMEOUT)
        .await;
    assert!(response.unwrap().status.is_success());
}

/// Guards against counts that differ from the responses to callers, on which all checks of executions rely.
#[tokio::test]
async fn executions_and_sheds_add_up_to_the_requests_sent() {
    let settings = Settings {
        service_time: Duration::from_millis(20),
        ..Settings::default()
    };
    let (address, _shutdown) = start_worker(settings).await;
    let class = Class {
        key: true,
        ..Class::default()
    };
    let mut plan = Plan::new(vec![address], vec![class], 400.0, Duration::from_secs(1));
    plan.direct = true;
    let report = load::run(&plan).await.unwrap();
    let row = report.row(Rank::Middle);
    let counts = counts(address).await;
    assert_eq!(row.due, counts.executed + counts.shed);
    assert_eq!(row.good + row.late, counts.finished);
    assert_eq!(report.not_executed.len() as u64, counts.shed);
    assert!(
        counts.shed > 0,
        "20 ms and 2 slots can't carry 400 requests/s"
    );
    assert!(counts.keys.values().all(|n| *n == 1));
    let executed = report
        .not_executed
        .iter()
        .filter(|id| counts.requests.contains_key(*id));
    assert_eq!(executed.count(), 0);
}

/// Guards against faults that have no effect on callers, so that tests that inject them would pass without a fault.
#[tokio::test]
async fn each_fault_is_visible_to_the_caller() {
    let (address, _shutdown) = start_worker(Settings::default()).await;
    let caller = Caller::new(vec![address], true);
    let class = Class {
        size: 100_000,
        ..Class::default()
    };
    let call = Call::new(&class, "r1");
    assert_eq!(caller.call(&call).await.verdict, Verdict::Good);
    set_fault(address, json!({"truncate_percent": 100})).await;
    let truncated = caller.call(&call).await.verdict;
    assert!(matches!(truncated, Verdict::Lost(_)), "{truncated:?}");
    set_fault(address, json!({"fail_percent": 100})).await;
    assert_eq!(
        caller.call(&call).await.verdict,
        Verdict::Refused("500".into())
    );
    set_fault(address, json!({"fail_percent": 100, "route": "/other"})).await;
    assert_eq!(caller.call(&call).await.verdict, Verdict::Good);
    set_fault(address, json!({"slow_ms": 300})).await;
    assert!(caller.call(&call).await.latency >= Duration::from_millis(300));
}

/// Guards against a slot that stays occupied after its caller has disconnected.
#[tokio::test]
async fn cancelled_request_releases_its_slot() {
    let settings = Settings {
        slots: 1,
        ..Settings::default()
    };
    let (address, _shutdown) = start_worker(settings).await;
    set_fault(address, json!({"hang_percent": 100})).await;
    let caller = Caller::new(vec![address], true);
    let call = Call::new(&Class::default(), "r1");
    let cancelled = tokio::time::timeout(Duration::from_millis(200), caller.call(&call)).await;
    assert!(cancelled.is_err());
    set_fault(address, json!({})).await;
    for _ in 0..500 {
        if counts(address).await.cancelled == 1 {
            assert_eq!(caller.call(&call).await.verdict, Verdict::Good);
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the worker did not count the cancelled request within 500 polls");
}
