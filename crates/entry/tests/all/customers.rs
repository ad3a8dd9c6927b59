//! Requests of customers with API keys, over the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::account::{Account, Key, Registry};
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{Kind, Route, Table};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::control::Control;
use crate::fleet::{Entry, wait_until};
use crate::gateway::{announcement, exchange, fleet, route, success, table};
use crate::worker::{Received, Step, Worker};

const LIMIT: Duration = Duration::from_secs(5);

fn account(name: &str, key: &str, rank: Option<Rank>) -> Account {
    Account {
        customer: Customer::new(name).unwrap(),
        keys: vec![Key::new(key)],
        rank,
        limit: None,
    }
}

fn public_route() -> Route {
    Route {
        public: true,
        ..route("/public/", Kind::Idempotent)
    }
}

fn guarded_table(label: u64, accounts: &[Account]) -> Table {
    let routes = vec![
        route("/", Kind::Idempotent),
        route("/once/", Kind::Once),
        public_route(),
    ];
    Table {
        accounts: Registry::build(accounts).unwrap(),
        ..table(label, routes)
    }
}

/// Starts a fleet with the customers `a` and `b`, whose keys are `key-a` and `key-b`.
async fn start(worker: &Worker) -> (Control, Entry) {
    let (control, entry) = fleet(&[worker]).await;
    let accounts = [account("a", "key-a", None), account("b", "key-b", None)];
    control.publish(guarded_table(2, &accounts));
    wait_until("accounts", || entry.state().routes.label == 2).await;
    (control, entry)
}

async fn status(entry: &Entry, path: &str, credentials: &str) -> u16 {
    let headers = [
        ("host", "a.example"),
        ("chestnutvalve-attempt", "id-1"),
        ("authorization", credentials),
    ];
    exchange(entry.gateway, path, &headers)
        .await
        .unwrap()
        .status
}

/// Returns the header lines with the customer or credentials that a worker received, in lower case.
fn identity(seen: &Received) -> Vec<String> {
    let lines = seen.lines.iter().map(|l| l.to_lowercase());
    let names = ["authorization", "chestnutvalve-customer", "key-", "forged"];
    let mut lines: Vec<String> = lines
        .filter(|l| names.iter().any(|name| l.contains(name)))
        .collect();
    lines.sort();
    lines
}

/// Sends raw bytes on a new connection and returns everything that is received within `limit` or until the connection closes.
async fn send_raw(address: SocketAddr, bytes: &[u8], limit: Duration) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    let _ = timeout(limit, socket.read_to_end(&mut received)).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Sends raw requests whose last one closes the connection, and returns the statuses of the responses.
async fn statuses(entry: &Entry, bytes: &[u8]) -> Vec<u16> {
    let received = send_raw(entry.gateway, bytes, LIMIT).await;
    let heads = received.split("HTTP/1.1 ").skip(1);
    heads.map(|h| h[..3].parse().unwrap()).collect()
}

/// Guards against a caller who acts for another customer, against a worker that learns a key, and against a caller's
/// customer header that reaches a worker on any way.
#[rstest]
#[case::plain("/x", "Authorization: Bearer key-a\r\n", Some("a"))]
#[case::other_customer("/x", "AUTHORIZATION: bearer key-b\r\n", Some("b"))]
#[case::forged(
    "/x",
    "Authorization: Bearer key-a\r\nchestnutvalve-customer: forged\r\n",
    Some("a")
)]
#[case::forged_twice(
    "/x",
    "chestnutvalve-customer: forged\r\nAuthorization: Bearer key-a\r\nChestnutValve-CUSTOMER: forged2\r\nCHESTNUTVALVE-CUSTOMER: \r\n",
    Some("a")
)]
#[case::listed(
    "/x",
    "Connection: chestnutvalve-customer, authorization\r\nAuthorization: Bearer key-a\r\nchestnutvalve-customer: forged\r\n",
    Some("a")
)]
#[case::proxy_credentials(
    "/x",
    "Authorization: Bearer key-a\r\nProxy-Authorization: Bearer key-a\r\n",
    Some("a")
)]
#[case::at_most_once(
    "/once/x",
    "Authorization: Bearer key-a\r\nchestnutvalve-customer: b\r\n",
    Some("a")
)]
#[case::public_without_key("/public/x", "", None)]
#[case::public_forged("/public/x", "chestnutvalve-customer: forged\r\n", None)]
#[case::public_unknown_key(
    "/public/x",
    "Authorization: Bearer key-c\r\nchestnutvalve-customer: forged\r\n",
    None
)]
#[case::public_several_keys(
    "/public/x",
    "Authorization: Bearer key-a\r\nAuthorization: Bearer key-b\r\n",
    None
)]
#[case::public_listed(
    "/public/x",
    "Connection: authorization\r\nAuthorization: Bearer key-c\r\n",
    None
)]
#[case::public_with_key(
    "/public/x",
    "Authorization: Bearer key-a\r\nchestnutvalve-customer: b\r\n",
    Some("a")
)]
#[tokio::test]
async fn workers_get_the_customer_and_no_key(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] customer: Option<&str>,
) {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = start(&worker).await;
    let method = if path.starts_with("/once/") {
        "POST"
    } else {
        "GET"
    };
    let close = if headers.contains("Connection") {
        ""
    } else {
        "Connection: close\r\n"
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nchestnutvalve-attempt: id-1\r\n{headers}{close}Content-Length: 0\r\n\r\n"
    );
    let received = send_raw(entry.gateway, request.as_bytes(), Duration::from_secs(1)).await;
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    let expected = customer.map(|name| format!("chestnutvalve-customer: {name}"));
    let seen = worker.seen.lock().unwrap();
    assert_eq!(seen.len(), 1);
    assert_eq!(identity(&seen[0]), expected.into_iter().collect::<Vec<_>>());
}

/// Guards against a customer header in a trailer that reaches a worker.
#[tokio::test]
async fn trailers_do_not_reach_a_worker() {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = start(&worker).await;
    let request = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nchestnutvalve-attempt: id-1\r\nConnection: close\r\n\
        Authorization: Bearer key-a\r\nTE: trailers\r\nTrailer: chestnutvalve-customer\r\nTransfer-Encoding: chunked\r\n\r\n\
        2\r\nhi\r\n0\r\nchestnutvalve-customer: forged\r\nauthorization: Bearer key-b\r\n\r\n";
    assert_eq!(statuses(&entry, request.as_bytes()).await, [200]);
    {
        let seen = worker.seen.lock().unwrap();
        assert_eq!(seen[0].body, b"hi");
        let customers = identity(&seen[0]);
        let customers: Vec<_> = customers
            .iter()
            .filter(|l| !l.starts_with("trailer"))
            .collect();
        assert_eq!(customers, ["chestnutvalve-customer: a"]);
    }
    // A trailer of the first request would be the start of the second one on the same connection.
    assert_eq!(status(&entry, "/once/x", "Bearer key-a").await, 200);
}

/// Guards against deployments without accounts whose workers no longer get their callers' headers.
#[tokio::test]
async fn without_accounts_headers_pass_unchanged() {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = fleet(&[&worker]).await;
    let request = "GET /x HTTP/1.1\r\nHost: a.example\r\nchestnutvalve-attempt: id-1\r\nConnection: close\r\n\
        Authorization: Basic forged\r\nchestnutvalve-customer: forged\r\n\r\n";
    assert_eq!(statuses(&entry, request.as_bytes()).await, [200]);
    let seen = worker.seen.lock().unwrap();
    assert_eq!(
        identity(&seen[0]),
        [
            "authorization: basic forged",
            "chestnutvalve-customer: forged"
        ]
    );
}

/// Guards against a request without a valid key that reaches a worker or waits for one, and against a refusal that does
/// not say why.
#[rstest]
#[case::missing("", "missing", "no API key")]
#[case::unknown("Authorization: Bearer key-c\r\n", "unknown", "no customer has")]
#[case::malformed("Authorization: key-a\r\n", "malformed", "malformed")]
#[case::other_scheme("Authorization: Token key-a\r\n", "malformed", "malformed")]
#[case::duplicate(
    "Authorization: Bearer key-a\r\nAuthorization: Bearer key-a\r\n",
    "duplicate",
    "more than one"
)]
#[tokio::test]
async fn requests_without_a_valid_key_are_refused(
    #[case] headers: &str,
    #[case] reason: &str,
    #[case] cause: &str,
) {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = start(&worker).await;
    let request =
        format!("GET /x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{headers}\r\n");
    let received = send_raw(entry.gateway, request.as_bytes(), LIMIT).await;
    assert!(received.starts_with("HTTP/1.1 401"), "{received}");
    for part in [
        "www-authenticate: Bearer\r\n",
        "chestnutvalve-executed: no",
        "chestnutvalve-error: unauthorized",
        cause,
    ] {
        assert!(received.contains(part), "{part}: {received}");
    }
    assert!(!received.contains("key-"), "{received}");
    assert_eq!(worker.count(), 0);
    let reason = format!("reason=\"{reason}\"");
    for (name, label) in [
        ("rejected_credentials", reason.as_str()),
        ("refusals", "kind=\"unauthorized\""),
    ] {
        let counted = entry.metric(name, label).await;
        assert!((counted - 1.0).abs() < f64::EPSILON, "{name}: {counted}");
    }
}

/// Guards against a refusal before the body of a request was read that is followed by the body's bytes as the next
/// request.
#[rstest]
#[case::length("Content-Length: 70\r\n", "")]
#[case::chunked("Transfer-Encoding: chunked\r\n", "46\r\n")]
#[tokio::test]
async fn a_refused_body_is_not_taken_for_a_request(#[case] framing: &str, #[case] size: &str) {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = start(&worker).await;
    let smuggled =
        "GET /smuggled HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-a\r\n\r\n";
    let smuggled = &smuggled[..70];
    let end = if size.is_empty() { "" } else { "\r\n0\r\n\r\n" };
    let refused = format!(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-c\r\n{framing}\r\n{size}{smuggled}{end}"
    );
    let next = "GET /next HTTP/1.1\r\nHost: a.example\r\nchestnutvalve-attempt: id-2\r\nAuthorization: Bearer key-a\r\nConnection: close\r\n\r\n";
    let received = statuses(&entry, format!("{refused}{next}").as_bytes()).await;
    // The connection may be closed in place of reading the body.
    assert!(
        [&[401][..], &[401, 200]].contains(&&received[..]),
        "{received:?}"
    );
    let seen = worker.seen.lock().unwrap();
    assert!(seen.iter().all(|s| s.head.contains("/next")), "{seen:?}");
    assert_eq!(seen.len(), received.len() - 1);
}

/// Guards against a refusal that waits for a body which the caller sends only after it was told to continue, and against
/// one that comes only after the whole body has arrived.
#[rstest]
#[case::expects_continue("Expect: 100-continue\r\n", "")]
#[case::body_in_part("", "begin")]
#[tokio::test]
async fn a_request_is_refused_before_its_body(#[case] expect: &str, #[case] part: &str) {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = start(&worker).await;
    let request = format!(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n{expect}Content-Length: 100000\r\n\r\n{part}"
    );
    let mut socket = TcpStream::connect(entry.gateway).await.unwrap();
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut received = vec![0; 1_024];
    let read = timeout(Duration::from_secs(1), socket.read(&mut received));
    let read = read
        .await
        .expect("the refusal comes before the body")
        .unwrap();
    let received = String::from_utf8_lossy(&received[..read]);
    assert!(received.starts_with("HTTP/1.1 401"), "{received}");
}

/// Guards against refusals that stop the other requests on their connection.
#[tokio::test]
async fn a_refusal_leaves_its_connection_open() {
    let worker = Worker::start("w1", success).await;
    let (_control, entry) = start(&worker).await;
    let request = |key: &str, id: &str, close: &str| {
        format!(
            "GET /x HTTP/1.1\r\nHost: a.example\r\nchestnutvalve-attempt: {id}\r\nAuthorization: Bearer {key}\r\n{close}\r\n"
        )
    };
    let pipelined = [
        request("key-a", "1", ""),
        request("key-c", "2", ""),
        request("key-b", "3", ""),
        request("key-c", "4", ""),
        request("key-a", "5", "Connection: close\r\n"),
    ];
    let received = statuses(&entry, pipelined.concat().as_bytes()).await;
    assert_eq!(received, [200, 401, 200, 401, 200]);
    let seen = worker.seen.lock().unwrap();
    let customers: Vec<Vec<String>> = seen.iter().map(identity).collect();
    assert_eq!(
        customers.concat(),
        ["a", "b", "a"].map(|c| format!("chestnutvalve-customer: {c}"))
    );
}

/// Guards against a 401 from an entry that has no table, which would end the caller's request for good.
#[tokio::test]
async fn an_entry_without_a_table_refuses_with_503() {
    let control = Control::start().await;
    let entry = Entry::start("e1", control.address).await;
    let headers = [
        ("host", "a.example"),
        ("chestnutvalve-deadline-ms", "300"),
        ("authorization", "Bearer key-a"),
    ];
    let reply = exchange(entry.gateway, "/x", &headers).await.unwrap();
    assert_eq!(reply.status, 503);
}

/// Guards against a key that stays in use after it was withdrawn, moved or given back, against one that is accepted before
/// it was given, and against an entry that is cut off and forgets its keys.
#[tokio::test]
async fn keys_follow_the_table() {
    let worker = Worker::start("w1", success).await;
    let (control, entry) = start(&worker).await;
    let tables: [&[Account]; 4] = [
        &[account("a", "key-b", None), account("b", "key-a", None)],
        &[account("a", "key-b", None)],
        &[account("a", "key-c", None)],
        &[],
    ];
    let mut served = vec![];
    for (at, accounts) in tables.iter().enumerate() {
        let label = 3 + at as u64;
        control.publish(guarded_table(label, accounts));
        wait_until("accounts", || entry.state().routes.label == label).await;
        let mut row = Vec::new();
        for key in ["key-a", "key-b", "key-c"] {
            let before = worker.count();
            let status = status(&entry, "/x", &format!("Bearer {key}")).await;
            let seen = worker.seen.lock().unwrap();
            let customer = seen.get(before).map(identity);
            row.push(format!("{key}: {status} {customer:?}"));
        }
        served.push(row);
    }
    control.publish(guarded_table(7, &[account("a", "key-a", None)]));
    wait_until("accounts", || entry.state().routes.label == 7).await;
    control.stop();
    sleep(Duration::from_millis(300)).await;
    let cut_off = [
        status(&entry, "/x", "Bearer key-a").await,
        status(&entry, "/x", "Bearer key-b").await,
    ];
    insta::assert_debug_snapshot!((served, cut_off));
}

/// Guards against an account's rank that is not used, and against a route's rank that is lost.
#[tokio::test]
async fn the_rank_of_an_account_replaces_that_of_its_route() {
    let worker = Worker::start("w1", success).await;
    let (control, entry) = fleet(&[&worker]).await;
    let accounts = [
        account("top", "key-top", Some(Rank::Top)),
        account("bottom", "key-bottom", Some(Rank::Bottom)),
        account("none", "key-none", None),
    ];
    control.publish(guarded_table(2, &accounts));
    wait_until("accounts", || entry.state().routes.label == 2).await;
    for key in [
        "key-top",
        "key-bottom",
        "key-bottom",
        "key-none",
        "key-none",
        "key-none",
    ] {
        assert_eq!(status(&entry, "/x", &format!("Bearer {key}")).await, 200);
    }
    for (rank, expected) in [("top", 1.0), ("bottom", 2.0), ("middle", 3.0)] {
        let counted = entry.metric("requests", &format!("rank=\"{rank}\"")).await;
        assert!(
            (counted - expected).abs() < f64::EPSILON,
            "{rank}: {counted}"
        );
    }
}

/// Guards against a request whose account's rank does not decide who waits: the urgent request comes last and is answered
/// first.
#[tokio::test]
async fn urgent_accounts_do_not_wait_behind_others() {
    let worker = Worker::start("w1", |seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(60))];
        steps.extend(success(seen));
        steps
    });
    let worker = worker.await;
    let (control, entry) = fleet(&[&worker]).await;
    let accounts = [
        account("urgent", "key-u", Some(Rank::Top)),
        account("other", "key-o", Some(Rank::Bottom)),
    ];
    control.publish(guarded_table(2, &accounts));
    control.register(&announcement(&worker, 2, false));
    wait_until("accounts", || entry.state().routes.label == 2).await;
    let entry = Arc::new(entry);
    let ask = |key: &'static str| {
        let entry = Arc::clone(&entry);
        tokio::spawn(async move { status(&entry, "/x", &format!("Bearer {key}")).await })
    };
    let mut asked: Vec<_> = (0..6).map(|_| ask("key-o")).collect();
    sleep(Duration::from_millis(30)).await;
    asked.push(ask("key-u"));
    for reply in asked {
        assert_eq!(reply.await.unwrap(), 200);
    }
    let seen = worker.seen.lock().unwrap();
    let position = seen
        .iter()
        .position(|s| identity(s) == ["chestnutvalve-customer: urgent"]);
    // Two of the others run when the urgent request arrives; a third may have been sent ahead of a free slot.
    assert!(position.is_some_and(|at| at <= 3), "{position:?}");
}
