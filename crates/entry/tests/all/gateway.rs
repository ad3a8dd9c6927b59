//! Requests that are routed by host and path to registered workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chestnutvalve_entry::gateway::observation::{Finding, Observation};
use chestnutvalve_model::account::{Account, Key, Limit, Registry};
use chestnutvalve_model::control::State;
use chestnutvalve_model::id::{Customer, Incarnation, Service, Worker as Name, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{Kind, Limits, Route, Share, Table, Target};
use chestnutvalve_model::upstream::{Announcement, Event};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::control::Control;
use crate::fleet::{Entry, Reply, send, wait_until};
use crate::worker::{Received, Step, Worker};

const SERVICE: &str = "lookup";

pub fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout_ms: 1_000,
        target_ms: 500,
        rank: Rank::Middle,
        split: vec![Share {
            service: Service::new(SERVICE).unwrap(),
            weight: 1.0,
        }],
        attempts: 2,
        public: false,
    }
}

pub fn table(label: u64, routes: Vec<Route>) -> Table {
    let target = Target {
        health: "/healthz".to_owned(),
        max_connections: 100,
    };
    Table {
        label,
        routes: routes.into_iter().map(|r| (r.key(), r)).collect(),
        services: BTreeMap::from([(Service::new(SERVICE).unwrap(), target)]),
        limits: Limits::default(),
        accounts: Registry::default(),
    }
}

pub fn announcement(worker: &Worker, incarnation: u64, leaving: bool) -> Event {
    Event::Announced(Announcement {
        worker: Name::new(&worker.name).unwrap(),
        incarnation: Incarnation(incarnation),
        service: Service::new(SERVICE).unwrap(),
        address: worker.address,
        zone: Zone::new("z1").unwrap(),
        slots: 2,
        warm_up_ms: 0,
        leaving,
    })
}

impl Control {
    pub fn publish(&self, table: Table) {
        let mut state = self.state.lock().unwrap();
        state.routes = Arc::new(table);
        state.version.revision += 1;
    }

    pub fn register(&self, event: &Event) {
        let mut state = self.state.lock().unwrap();
        let State { roster, routes, .. } = &mut *state;
        Arc::make_mut(roster).apply(event, routes);
        state.version.revision += 1;
    }
}

/// Starts a control instance and an entry with an idempotent route at `/` and an at-most-once route at `/once/`, and
/// registers the workers.
pub async fn fleet(workers: &[&Worker]) -> (Control, Entry) {
    let control = Control::start().await;
    let routes = vec![route("/", Kind::Idempotent), route("/once/", Kind::Once)];
    control.publish(table(1, routes));
    for worker in workers {
        control.register(&announcement(worker, 1, false));
    }
    let entry = Entry::start("e1", control.address).await;
    let known = workers.len();
    wait_until("workers", || entry.state().roster.workers.len() == known).await;
    wait_until("directory", || !entry.state().directory.members.is_empty()).await;
    (control, entry)
}

/// Returns a worker's response that repeats the id of the request.
pub fn answer(seen: &Received, status: u16, more: &str, body: &str) -> Vec<Step> {
    let id = seen.headers.get("chestnutvalve-attempt").cloned();
    let id = id.unwrap_or_default();
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nchestnutvalve-attempt: {id}\r\nchestnutvalve-signature: s\r\n{more}content-length: {length}\r\n\r\n{body}"
    );
    vec![Step::Write(text.into_bytes())]
}

pub fn success(seen: &Received) -> Vec<Step> {
    answer(seen, 200, "", "ok")
}

fn shed(seen: &Received) -> Vec<Step> {
    answer(seen, 503, "chestnutvalve-not-executed: 1\r\n", "")
}

pub async fn ask(entry: &Entry, path: &str) -> Reply {
    ask_as(entry, path, "id-1").await
}

pub async fn ask_as(entry: &Entry, path: &str, id: &str) -> Reply {
    let headers = [("host", "a.example"), ("chestnutvalve-attempt", id)];
    exchange(entry.gateway, path, &headers).await.unwrap()
}

pub async fn exchange(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let method = if path.starts_with("/once/") {
        "POST"
    } else {
        "GET"
    };
    send(address, method, path, headers, b"").await
}

fn paths(worker: &Worker) -> Vec<String> {
    let seen = worker.seen.lock().unwrap();
    let path = |s: &Received| s.head.split(' ').nth(1).unwrap().to_owned();
    seen.iter().map(path).collect()
}

/// Guards against routing requests that no route allows, and against a 404 from an entry that has no route table yet.
#[tokio::test]
async fn only_routed_requests_reach_a_worker() {
    let worker = Worker::start("w1", success).await;
    let control = Control::start().await;
    let entry = Entry::start("e1", control.address).await;
    assert_eq!(ask(&entry, "/x").await.status, 503);
    control.publish(table(1, vec![route("/a/", Kind::Idempotent)]));
    wait_until("routes", || entry.state().routes.label == 1).await;
    let refused = ask(&entry, "/a/x").await;
    assert_eq!(
        (refused.status, refused.header("chestnutvalve-executed")),
        (503, "no")
    );
    control.register(&announcement(&worker, 1, false));
    wait_until("worker", || entry.state().roster.workers.len() == 1).await;
    let reply = ask(&entry, "/a/x?y=1").await;
    assert_eq!((reply.status, &reply.body[..]), (200, &b"ok"[..]));
    assert_eq!(ask(&entry, "/b/x").await.status, 404);
    assert_eq!(paths(&worker), ["/a/x?y=1"]);
    let seen = worker.seen.lock().unwrap()[0].clone();
    assert_eq!(seen.headers["chestnutvalve-expected-worker"], "w1");
}

/// Guards against refusals by an entry that receives its route table a moment later.
#[tokio::test]
async fn an_entry_that_has_just_started_waits_for_its_routes() {
    let worker = Worker::start("w1", success).await;
    let control = Control::start().await;
    let entry = Entry::start("e1", control.address).await;
    let asked = ask(&entry, "/x");
    let published = async {
        sleep(Duration::from_millis(150)).await;
        control.register(&announcement(&worker, 1, false));
        control.publish(table(1, vec![route("/", Kind::Idempotent)]));
    };
    let (reply, ()) = tokio::join!(asked, published);
    assert_eq!((reply.status, &reply.body[..]), (200, &b"ok"[..]));
}

/// Guards against refusals when the routes and workers become known at the same time, after another entry's observation
/// has already created the dispatcher of the service.
#[tokio::test]
async fn requests_that_waited_for_routes_find_the_workers() {
    let worker = Worker::start("w1", delayed_success).await;
    let control = Control::start().await;
    let entry = Entry::start("e1", control.address).await;
    let observation = Observation {
        service: Service::new(SERVICE).unwrap(),
        worker: Name::new("w1").unwrap(),
        incarnation: Incarnation(1),
        finding: Finding::Failure,
    };
    let peer = chestnutvalve_wire::Client::new(entry.peers);
    let limit = Duration::from_secs(1);
    let sent: Result<(), _> = peer
        .call("gateway/sightings", &vec![observation], limit)
        .await;
    sent.unwrap();
    let ids: Vec<String> = (0..4).map(|n| format!("id-{n}")).collect();
    let asked = ids.iter().map(|id| ask_as(&entry, "/x", id));
    let asked = futures_util::future::join_all(asked);
    let published = async {
        sleep(Duration::from_millis(150)).await;
        let mut state = control.state.lock().unwrap();
        let routes = table(1, vec![route("/", Kind::Idempotent)]);
        let roster = Arc::make_mut(&mut state.roster);
        roster.apply(&announcement(&worker, 1, false), &routes);
        state.routes = Arc::new(routes);
        state.version.revision += 1;
    };
    let (replies, ()) = tokio::join!(asked, published);
    let statuses: Vec<u16> = replies.iter().map(|r| r.status).collect();
    assert_eq!(statuses, [200; 4]);
}

/// Guards against a refusal that comes too late for the caller to try another entry, and against one that comes while
/// the caller could still wait.
#[tokio::test]
async fn without_routes_a_caller_is_refused_in_time_to_try_another_entry() {
    let control = Control::start().await;
    let entry = Entry::start("e1", control.address).await;
    let started = Instant::now();
    let headers = [
        ("host", "a.example"),
        ("chestnutvalve-attempt", "id-1"),
        ("chestnutvalve-deadline-ms", "700"),
    ];
    let reply = exchange(entry.gateway, "/x", &headers).await.unwrap();
    assert_eq!(reply.status, 503);
    let took = started.elapsed();
    let expected = Duration::from_millis(400)..Duration::from_millis(700);
    assert!(expected.contains(&took), "{took:?}");
}

/// Guards against losing several at-most-once requests in a row on connections that workers have dropped while they
/// were idle.
#[tokio::test]
async fn after_a_lost_connection_idle_ones_carry_no_request_that_must_not_repeat() {
    let worker = Worker::start("w1", |seen| {
        // The second request on the first connection finds it dropped.
        if seen.headers["chestnutvalve-attempt"] == "id-1" {
            vec![Step::Close]
        } else {
            success(seen)
        }
    });
    let worker = worker.await;
    let (_control, entry) = fleet(&[&worker]).await;
    for (n, status) in [200, 502, 200, 200].into_iter().enumerate() {
        let reply = ask_as(&entry, "/once/x", &format!("id-{n}")).await;
        assert_eq!(reply.status, status, "request {n}");
        sleep(Duration::from_millis(200)).await;
    }
    let seen = worker.seen.lock().unwrap();
    let connections: Vec<usize> = seen.iter().map(|s| s.connection).collect();
    assert_eq!(connections[0], connections[1]);
    assert_ne!(connections[2], connections[3]);
}

/// Guards against retrying a failed at-most-once request, and against not retrying a failed idempotent one.
#[rstest]
#[case::idempotent("/x", 200, 2)]
#[case::once("/once/x", 500, 1)]
#[tokio::test]
async fn a_failed_request_runs_again_only_if_it_may(
    #[case] path: &str,
    #[case] status: u16,
    #[case] runs: usize,
) {
    let fault = Arc::new(AtomicBool::new(false));
    let healthy = Worker::start("w1", delayed_success).await;
    let faulty = start_faulty("w2", &fault, |seen| answer(seen, 500, "", "no")).await;
    let (_control, entry) = fleet(&[&healthy, &faulty]).await;
    earn_budget(&entry, path).await;
    fault.store(true, Ordering::SeqCst);
    let before = (faulty.count(), healthy.count() + faulty.count());
    let mut statuses = pair(&entry, path, "last").await;
    statuses.sort_unstable();
    assert_eq!((statuses, faulty.count() - before.0), ([200, status], 1));
    assert_eq!(healthy.count() + faulty.count() - before.1, 1 + runs);
}

/// Returns a success after a delay, so that a second request finds the worker busy.
fn delayed_success(seen: &Received) -> Vec<Step> {
    let mut steps = vec![Step::Wait(Duration::from_millis(20))];
    steps.extend(success(seen));
    steps
}

/// Starts a worker that succeeds until `fault` is set.
async fn start_faulty(
    name: &str,
    fault: &Arc<AtomicBool>,
    failing: fn(&Received) -> Vec<Step>,
) -> Worker {
    let fault = Arc::clone(fault);
    let script = move |seen: &Received| {
        if fault.load(Ordering::SeqCst) {
            failing(seen)
        } else {
            delayed_success(seen)
        }
    };
    Worker::start(name, script).await
}

/// Sends two requests at the same time. Two idle workers with equal records get one each: the first request uses half
/// of a worker's slots, which outweighs the random spread between equal workers.
async fn pair(entry: &Entry, path: &str, id: &str) -> [u16; 2] {
    let (first, second) = (format!("{id}-a"), format!("{id}-b"));
    let replies = tokio::join!(ask_as(entry, path, &first), ask_as(entry, path, &second));
    [replies.0.status, replies.1.status]
}

/// Sends pairs of requests that earn an entry more than one retry and give two workers equal records.
async fn earn_budget(entry: &Entry, path: &str) {
    for n in 0..15 {
        assert_eq!(pair(entry, path, &format!("id-{n}")).await, [200, 200]);
    }
}

/// Guards against a refusal that says "not executed" although the request may have been executed.
#[rstest]
#[case::reset(vec![Step::Close])]
#[case::no_response(vec![Step::Write(b"nonsense\r\n\r\n".to_vec()), Step::Close])]
#[case::truncated(vec![Step::Write(b"HTTP/1.1 200 X\r\nchestnutvalve-signature: s\r\ncontent-length: 9\r\n\r\nab".to_vec()), Step::Close])]
#[case::unsigned(vec![Step::Write(b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok".to_vec())])]
#[case::other_request(vec![Step::Write(b"HTTP/1.1 200 X\r\nchestnutvalve-attempt: other\r\nchestnutvalve-signature: s\r\ncontent-length: 2\r\n\r\nok".to_vec())])]
#[tokio::test]
async fn an_unknown_outcome_is_not_reported_as_not_executed(#[case] steps: Vec<Step>) {
    let worker = Worker::start("w1", move |_: &Received| steps.clone()).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let reply = ask(&entry, "/once/x").await;
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header("chestnutvalve-executed"), "unknown");
    assert_eq!(worker.count(), 1);
}

/// Guards against a refusal without a retry time, and against one with a wrong execution status.
#[tokio::test]
async fn a_refusal_states_when_to_retry() {
    let full = Worker::start("w1", shed).await;
    let (_control, entry) = fleet(&[&full]).await;
    for _ in 0..10 {
        let reply = ask(&entry, "/once/x").await;
        assert_eq!(
            (reply.status, reply.header("chestnutvalve-executed")),
            (503, "no")
        );
        assert_ne!(reply.header("retry-after-ms"), "");
    }
}

/// Guards against giving up a refused request although another worker has a free slot.
#[tokio::test]
async fn a_request_that_was_not_executed_goes_to_another_worker() {
    let fault = Arc::new(AtomicBool::new(false));
    let healthy = Worker::start("w1", delayed_success).await;
    let full = start_faulty("w2", &fault, shed).await;
    let (_control, entry) = fleet(&[&healthy, &full]).await;
    earn_budget(&entry, "/once/x").await;
    fault.store(true, Ordering::SeqCst);
    let before = full.count();
    assert_eq!(pair(&entry, "/once/x", "last").await, [200, 200]);
    assert_eq!(full.count() - before, 1);
    let answered = entry.metric("gateway_request_ms_count", "answered").await;
    assert!((answered - 32.0).abs() < 0.5, "{answered} counted");
}

/// Guards against requests to a worker that is leaving, that has been replaced, or whose address belongs to another
/// worker.
#[tokio::test]
async fn gone_workers_get_no_requests() {
    let old = Worker::start("w1", |seen| answer(seen, 421, "", "")).await;
    let other = Worker::start("w2", success).await;
    let (control, entry) = fleet(&[&old, &other]).await;
    for n in 0..20 {
        ask_as(&entry, "/x", &format!("id-{n}")).await;
    }
    assert!(old.count() <= 1, "{} requests", old.count());
    control.register(&announcement(&other, 1, true));
    wait_until("leaving", || {
        let name = Name::new("w2").unwrap();
        entry.state().roster.workers[&name].leaving
    })
    .await;
    let before = other.count();
    assert_eq!(ask(&entry, "/x").await.status, 503);
    assert_eq!(other.count(), before);
}

/// Guards against callers that wait for a worker which does not answer, and against a deadline sent to a worker that
/// exceeds the remaining time.
#[tokio::test]
async fn the_route_timeout_is_enforced() {
    let worker = Worker::start("w1", |_| vec![Step::Wait(Duration::from_secs(5))]).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let started = Instant::now();
    let reply = ask(&entry, "/once/x").await;
    assert_eq!(
        (reply.status, reply.header("chestnutvalve-executed")),
        (504, "unknown")
    );
    assert!(
        started.elapsed() < Duration::from_millis(1_250),
        "{:?}",
        started.elapsed()
    );
    let seen = worker.seen.lock().unwrap()[0].clone();
    let left: u64 = seen.headers["chestnutvalve-deadline-ms"].parse().unwrap();
    assert!((900..=1_000).contains(&left), "{left} ms");
}

/// Guards against idempotent requests that time out at a silent worker while others answer.
#[tokio::test]
async fn a_silent_worker_does_not_delay_an_idempotent_request() {
    let fault = Arc::new(AtomicBool::new(false));
    let healthy = Worker::start("w1", delayed_success).await;
    let silent = start_faulty("w2", &fault, |_| vec![Step::Wait(Duration::from_secs(5))]).await;
    let (_control, entry) = fleet(&[&healthy, &silent]).await;
    earn_budget(&entry, "/x").await;
    fault.store(true, Ordering::SeqCst);
    let before = silent.count();
    assert_eq!(pair(&entry, "/x", "last").await, [200, 200]);
    assert_eq!(silent.count() - before, 1);
}

/// Guards against not counting a worker's failures when another worker answers the request, so that the faulty worker
/// keeps receiving requests.
#[tokio::test]
async fn a_failure_counts_against_its_worker_also_when_another_one_answers() {
    let fault = Arc::new(AtomicBool::new(false));
    let healthy = Worker::start("w1", delayed_success).await;
    let faulty = start_faulty("w2", &fault, |seen| answer(seen, 500, "", "no")).await;
    let (_control, entry) = fleet(&[&healthy, &faulty]).await;
    earn_budget(&entry, "/x").await;
    fault.store(true, Ordering::SeqCst);
    let before = faulty.count();
    for n in 0..10 {
        assert_eq!(pair(&entry, "/x", &format!("more-{n}")).await, [200, 200]);
    }
    // After a record without failures, one failure may be chance, because 1.2% of the requests fail at healthy workers.
    assert_eq!(faulty.count() - before, 2);
}

/// Guards against processing for a caller that has disconnected.
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request() {
    let worker = Worker::start("w1", |_| vec![Step::Wait(Duration::from_secs(5))]).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n";
    caller.write_all(request).await.unwrap();
    wait_until("request", || worker.count() == 1).await;
    drop(caller);
    let cancelled = || worker.cancelled.load(Ordering::SeqCst) == 1;
    timeout(
        Duration::from_millis(500),
        wait_until("cancellation", cancelled),
    )
    .await
    .unwrap();
}

/// Guards against responses in a different order from the requests on a connection, and against a deadline that starts
/// only when the previous response has ended.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let worker = Worker::start("w1", |seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(100))];
        let path = seen.head.split(' ').nth(1).unwrap().to_owned();
        steps.extend(answer(seen, 200, "", &path));
        steps
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let mut caller = TcpStream::connect(entry.gateway).await.unwrap();
    let deadline = "chestnutvalve-deadline-ms: 900";
    let request = |n| format!("GET /{n} HTTP/1.1\r\nhost: a.example\r\n{deadline}\r\n\r\n");
    let requests = [0, 1, 2].map(request).concat();
    caller.write_all(requests.as_bytes()).await.unwrap();
    let mut received = String::new();
    while received.matches("HTTP/1.1 200").count() < 3 || !received.ends_with("/2") {
        let mut bytes = [0; 4_096];
        let read = timeout(Duration::from_secs(2), caller.read(&mut bytes)).await;
        let read = read.unwrap().unwrap();
        assert_ne!(read, 0, "{received}");
        received.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
    }
    let order: Vec<usize> = (0..3)
        .map(|n| received.find(&format!("\r\n\r\n/{n}")).unwrap())
        .collect();
    assert!(order.is_sorted(), "{received}");
    let seen = worker.seen.lock().unwrap().clone();
    let left = |n: usize| {
        seen[n].headers["chestnutvalve-deadline-ms"]
            .parse::<u64>()
            .unwrap()
    };
    assert!(left(2) <= 720, "the third had {} of 900 ms left", left(2));
}

/// Guards against refusing a response without a length, and against treating one that was reset as complete.
#[rstest]
#[case::ended(false)]
#[case::reset(true)]
#[tokio::test]
async fn a_response_may_end_with_its_connection(#[case] broken: bool) {
    let worker = Worker::start("w1", move |seen| {
        let id = seen.headers["chestnutvalve-attempt"].clone();
        let head = format!(
            "HTTP/1.1 200 X\r\nchestnutvalve-attempt: {id}\r\nchestnutvalve-signature: s\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let plain = head.replace("transfer-encoding: chunked\r\n", "");
        if broken {
            vec![Step::Write(format!("{head}2\r\nok\r\n").into_bytes()), Step::Close]
        } else {
            vec![Step::Write(format!("{plain}ok").into_bytes()), Step::Close]
        }
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    let reply = ask(&entry, "/once/x").await;
    if broken {
        assert_eq!(reply.status, 502);
    } else {
        assert_eq!((reply.status, &reply.body[..]), (200, &b"ok"[..]));
    }
}

/// Guards against each entry detecting a faulty worker by its own requests only.
#[tokio::test]
async fn entries_share_observed_failures() {
    let fault = Arc::new(AtomicBool::new(false));
    let healthy = Worker::start("w1", delayed_success).await;
    let faulty = start_faulty("w2", &fault, |seen| answer(seen, 500, "", "no")).await;
    let (control, first) = fleet(&[&healthy, &faulty]).await;
    let second = Entry::start("e2", control.address).await;
    first.wait_for_members(2).await;
    second.wait_for_members(2).await;
    earn_budget(&second, "/x").await;
    earn_budget(&first, "/x").await;
    fault.store(true, Ordering::SeqCst);
    for n in 0..10 {
        assert_eq!(pair(&first, "/x", &format!("first-{n}")).await, [200, 200]);
    }
    sleep(Duration::from_millis(200)).await;
    let before = faulty.count();
    for n in 0..10 {
        assert_eq!(
            pair(&second, "/x", &format!("second-{n}")).await,
            [200, 200]
        );
    }
    assert_eq!(
        faulty.count(),
        before,
        "the second entry asked the failing worker"
    );
}

/// Guards against slots of queued requests that are never released, which would reduce the service's capacity over
/// time.
#[tokio::test]
async fn slots_of_queued_requests_are_released() {
    let worker = Worker::start("w1", |seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(5))];
        steps.extend(success(seen));
        steps
    })
    .await;
    let (_control, entry) = fleet(&[&worker]).await;
    for round in 0..10 {
        // Four of the six requests wait for one of the two slots.
        let requests = (0..6).map(|n| {
            let (address, id) = (entry.gateway, format!("id-{round}-{n}"));
            tokio::spawn(async move {
                let headers = [("host", "a.example"), ("chestnutvalve-attempt", &id[..])];
                exchange(address, "/once/x", &headers).await.unwrap().status
            })
        });
        for request in requests.collect::<Vec<_>>() {
            assert_eq!(request.await.unwrap(), 200, "round {round}");
        }
    }
}

/// Guards against a document with extreme values that ends the listener, and against headers of callers and workers that do: sums
/// and products of times, rates and weights must neither overflow nor be no number.
#[tokio::test]
async fn extreme_documents_and_headers_are_served() {
    let worker = Worker::start("w1", |seen| {
        let stated = "retry-after-ms: 18446744073709551615\r\nchestnutvalve-load: 4294967295\r\n";
        if seen.head.contains("/x") {
            return answer(seen, 200, stated, "ok");
        }
        let more = format!("{stated}chestnutvalve-not-executed: 1\r\n");
        answer(seen, 503, &more, "")
    })
    .await;
    let (control, entry) = fleet(&[&worker]).await;
    for label in 2..40_u64 {
        let extreme = |bit: u64| if label >> bit & 1 == 0 { 1 } else { u64::MAX };
        let rate = |bit: u64| {
            if label >> bit & 1 == 0 {
                f64::MIN_POSITIVE
            } else {
                f64::MAX
            }
        };
        let mut only = route(
            "/",
            [Kind::Idempotent, Kind::Download, Kind::Once][usize::try_from(label).unwrap() % 3],
        );
        (only.timeout_ms, only.target_ms) = (u64::MAX, extreme(0));
        only.attempts = if extreme(1) == 1 { 0 } else { u8::MAX };
        let share = only.split[0].clone();
        only.split = vec![
            Share {
                weight: f64::MIN_POSITIVE,
                ..share.clone()
            },
            Share {
                weight: rate(2) / 2.0,
                ..share
            },
        ];
        let mut extremes = table(label, vec![only]);
        extremes.limits = Limits {
            head_bytes: u32::MAX,
            body_bytes: extreme(3),
            head_ms: extreme(4),
            idle_ms: u64::MAX,
        };
        let account = Account {
            customer: Customer::new("acme").unwrap(),
            keys: vec![Key::new("k1")],
            rank: None,
            limit: Some(Limit {
                per_second: rate(4),
                burst: rate(3),
            }),
        };
        extremes.accounts = Registry::build(&[account]).unwrap();
        control.publish(extremes);
        wait_until("routes", || entry.state().routes.label == label).await;
        for deadline in ["0", "1", "18446744073709551615"] {
            let headers = [
                ("host", "a.example"),
                ("chestnutvalve-attempt", "id-1"),
                ("authorization", "Bearer k1"),
                ("chestnutvalve-deadline-ms", deadline),
            ];
            let reply = timeout(
                Duration::from_secs(5),
                exchange(entry.gateway, "/x", &headers),
            );
            let reply = reply.await.expect("an answer in time");
            let reply =
                reply.unwrap_or_else(|e| panic!("document {label}, deadline {deadline}: {e}"));
            assert!(
                [200, 429, 503, 504].contains(&reply.status),
                "{}",
                reply.status
            );
        }
    }
    control.publish(table(40, vec![route("/", Kind::Idempotent)]));
    wait_until("routes", || entry.state().routes.label == 40).await;
    assert_eq!(ask(&entry, "/x").await.status, 200);
    // The worker states an endless pause.
    assert_eq!(ask(&entry, "/shed").await.status, 503);
    assert_eq!(ask(&entry, "/x").await.status, 503);
}
