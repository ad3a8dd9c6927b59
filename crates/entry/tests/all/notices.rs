//! Workers that say in their responses that they leave, or that they want no requests for some time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chestnutvalve_model::routes::Kind;
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};

use crate::control::Control;
use crate::fleet::{Entry, wait_until};
use crate::gateway::{announcement, answer, ask_as, fleet, route, success, table};
use crate::worker::{Received, Step, Worker};

const LEAVING: &str = "chestnutvalve-worker: leaving\r\n";
/// Time that observations need to reach other entries.
const SHARING_TIME: Duration = Duration::from_millis(200);

/// What a worker says about itself in one response.
#[derive(Clone, Copy, Debug)]
enum Said {
    /// That it leaves, with a success.
    Leaving,
    /// That it leaves, while it turns the request away.
    LeavingFull,
    /// That it wants no requests for two seconds.
    Pause,
}

impl Said {
    fn response(self, seen: &Received) -> Vec<Step> {
        match self {
            Self::Leaving => answer(seen, 200, LEAVING, "ok"),
            Self::LeavingFull => {
                let more = format!("{LEAVING}chestnutvalve-not-executed: 1\r\n");
                answer(seen, 503, &more, "")
            }
            Self::Pause => turn_away(seen, "2000"),
        }
    }
}

/// Turns a request away with a time in milliseconds.
fn turn_away(seen: &Received, pause_ms: &str) -> Vec<Step> {
    let more = format!("chestnutvalve-not-executed: 1\r\nretry-after-ms: {pause_ms}\r\n");
    answer(seen, 503, &more, "")
}

/// Starts a worker that answers with a success until the returned flag is set, and with `said` afterwards.
async fn start_talking(name: &str, said: Said) -> (Worker, Arc<AtomicBool>) {
    let talks = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&talks);
    let worker = Worker::start(name, move |seen| {
        if flag.load(Ordering::SeqCst) {
            said.response(seen)
        } else {
            success(seen)
        }
    });
    (worker.await, talks)
}

/// Sends requests one after the other until `worker` has received one.
async fn ask_until_received(entry: &Entry, worker: &Worker) {
    let before = worker.count();
    let received = async {
        for n in 0.. {
            ask_as(entry, "/x", &format!("until-{n}")).await;
            if worker.count() > before {
                return;
            }
        }
    };
    let received = timeout(Duration::from_secs(5), received).await;
    received.expect("the worker received no request");
}

async fn ask_many(entry: &Entry, path: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for n in 0..30 {
        statuses.push(ask_as(entry, path, &format!("many-{n}")).await.status);
    }
    statuses
}

/// Guards against new requests to a worker that has said that it leaves or wants none, although its announcement is
/// unchanged.
#[rstest]
#[case::leaving(Said::Leaving)]
#[case::leaving_full(Said::LeavingFull)]
#[case::pause(Said::Pause)]
#[tokio::test]
async fn new_requests_go_elsewhere(
    #[case] said: Said,
    #[values("/x", "/once/x")] path: &'static str,
) {
    let (worker, talks) = start_talking("w1", said).await;
    let other = Worker::start("w2", success).await;
    let (_control, entry) = fleet(&[&worker, &other]).await;
    talks.store(true, Ordering::SeqCst);
    ask_until_received(&entry, &worker).await;
    let before = worker.count();
    assert_eq!(ask_many(&entry, path).await, [200; 30]);
    assert_eq!(worker.count(), before);
}

/// Guards against sending requests that waited while the worker said that it leaves or wants none, and against holding
/// them until their deadline although no worker is left.
#[rstest]
#[case::leaving(Said::Leaving)]
#[case::leaving_full(Said::LeavingFull)]
#[case::pause(Said::Pause)]
#[tokio::test]
async fn waiting_requests_are_refused_at_once(#[case] said: Said) {
    let worker = Worker::start("w1", move |seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(150))];
        steps.extend(said.response(seen));
        steps
    });
    let worker = worker.await;
    let (_control, entry) = fleet(&[&worker]).await;
    let ids: Vec<String> = (0..6).map(|n| format!("id-{n}")).collect();
    let started = Instant::now();
    let asked = ids.iter().map(|id| ask_as(&entry, "/once/x", id));
    let replies = futures_util::future::join_all(asked).await;
    let took = started.elapsed();
    assert_eq!(worker.count(), 2);
    let refused = replies.iter().filter(|r| r.status == 503);
    assert!(refused.count() >= 4);
    assert!(took < Duration::from_millis(500), "{took:?}");
}

/// Guards against a retry of a failed request at a worker that has said that it leaves or wants none.
#[rstest]
#[case::leaving(Said::Leaving)]
#[case::pause(Said::Pause)]
#[tokio::test]
async fn retries_go_elsewhere(#[case] said: Said) {
    let (worker, talks) = start_talking("w1", said).await;
    let failing = Worker::start("w2", |seen| answer(seen, 500, "", "no")).await;
    let (_control, entry) = fleet(&[&worker, &failing]).await;
    talks.store(true, Ordering::SeqCst);
    ask_until_received(&entry, &worker).await;
    let before = worker.count();
    for status in ask_many(&entry, "/x").await {
        assert_eq!(status, 500);
    }
    assert_eq!(worker.count(), before);
}

/// Guards against requests of one entry to a worker that has told another entry that it leaves.
#[tokio::test]
async fn other_entries_hear_that_a_worker_leaves() {
    let (worker, talks) = start_talking("w1", Said::Leaving).await;
    let other = Worker::start("w2", success).await;
    let (control, first) = fleet(&[&worker, &other]).await;
    let second = Entry::start("e2", control.address).await;
    for entry in [&first, &second] {
        entry.wait_for_members(2).await;
        wait_until("workers", || entry.state().roster.workers.len() == 2).await;
    }
    talks.store(true, Ordering::SeqCst);
    ask_until_received(&first, &worker).await;
    sleep(SHARING_TIME).await;
    let before = worker.count();
    assert_eq!(ask_many(&second, "/x").await, [200; 30]);
    assert_eq!(worker.count(), before);
}

/// Guards against a pause that one entry was asked for and that keeps the requests of all entries away.
#[tokio::test]
async fn a_pause_concerns_one_entry() {
    let (worker, talks) = start_talking("w1", Said::Pause).await;
    let other = Worker::start("w2", success).await;
    let (control, first) = fleet(&[&worker, &other]).await;
    let second = Entry::start("e2", control.address).await;
    second.wait_for_members(2).await;
    wait_until("workers", || second.state().roster.workers.len() == 2).await;
    talks.store(true, Ordering::SeqCst);
    ask_until_received(&first, &worker).await;
    talks.store(false, Ordering::SeqCst);
    ask_until_received(&second, &worker).await;
}

/// Guards against a reservation by a coordinator that does not know what the worker has told the entry.
#[rstest]
#[case::leaving(Said::Leaving)]
#[case::pause(Said::Pause)]
#[tokio::test]
async fn reservations_of_a_coordinator_go_elsewhere(#[case] said: Said) {
    let (worker, talks) = start_talking("w1", said).await;
    let other = Worker::start("w2", success).await;
    let control = Control::start().await;
    control.publish(table(1, vec![route("/", Kind::Idempotent)]));
    for worker in [&worker, &other] {
        control.register(&announcement(worker, 1, false));
    }
    let wide = Entry::start_with_link("wide", control.address, &[], 1_000).await;
    let narrow = Entry::start_with_link("n1", control.address, &[], 3).await;
    for entry in [&wide, &narrow] {
        entry.wait_for_members(2).await;
        wait_until("workers", || entry.state().roster.workers.len() == 2).await;
    }
    talks.store(true, Ordering::SeqCst);
    ask_until_received(&narrow, &worker).await;
    let before = worker.count();
    assert_eq!(ask_many(&narrow, "/x").await, [200; 30]);
    assert_eq!(worker.count(), before);
}

/// Guards against using a worker that said that it leaves after it was lost from the state and came back, as in the
/// state of a control instance that lags, and against keeping a later incarnation out of use.
#[tokio::test]
async fn leaving_ends_with_a_later_incarnation_only() {
    let (worker, talks) = start_talking("w1", Said::Leaving).await;
    let other = Worker::start("w2", success).await;
    let (control, entry) = fleet(&[&worker, &other]).await;
    talks.store(true, Ordering::SeqCst);
    ask_until_received(&entry, &worker).await;
    let registered = |incarnation: u64, leaving: bool| {
        let event = announcement(&worker, incarnation, leaving);
        control.register(&event);
        let version = control.state.lock().unwrap().version;
        let entry = &entry;
        async move { wait_until("state", || entry.state().version == version).await }
    };
    {
        let mut state = control.state.lock().unwrap();
        let roster = Arc::make_mut(&mut state.roster);
        roster.workers.retain(|name, _| name.as_str() != "w1");
        state.version.revision += 1;
    }
    wait_until("loss", || entry.state().roster.workers.len() == 1).await;
    ask_as(&entry, "/x", "without").await;
    registered(1, false).await;
    let before = worker.count();
    assert_eq!(ask_many(&entry, "/x").await, [200; 30]);
    assert_eq!(worker.count(), before, "the same incarnation");
    talks.store(false, Ordering::SeqCst);
    registered(2, false).await;
    ask_until_received(&entry, &worker).await;
}

/// Guards against a worker that is kept out of use after the end of the time for which it wanted no requests.
#[tokio::test]
async fn a_pause_ends() {
    let paused = Arc::new(AtomicBool::new(true));
    let flag = Arc::clone(&paused);
    let worker = Worker::start("w1", move |seen| {
        if flag.swap(false, Ordering::SeqCst) {
            turn_away(seen, "300")
        } else {
            success(seen)
        }
    });
    let worker = worker.await;
    let other = Worker::start("w2", success).await;
    let (_control, entry) = fleet(&[&worker, &other]).await;
    ask_until_received(&entry, &worker).await;
    let told = Instant::now();
    ask_until_received(&entry, &worker).await;
    let pause = told.elapsed();
    assert!(pause >= Duration::from_millis(290), "{pause:?}");
}

/// Guards against refusing a request that can wait until the end of a pause, against holding one that can't, and
/// against a time in the refusal at which the worker still wants no requests.
#[rstest]
#[case::short("300", 200, 0..=0)]
#[case::long("30000", 503, 29_000..=30_000)]
#[tokio::test]
async fn when_all_workers_want_a_pause_requests_wait_or_are_refused(
    #[case] pause_ms: &'static str,
    #[case] status: u16,
    #[case] expected_ms: std::ops::RangeInclusive<u64>,
) {
    let paused = Arc::new(AtomicBool::new(true));
    let worker = Worker::start("w1", move |seen| {
        if paused.swap(false, Ordering::SeqCst) {
            turn_away(seen, pause_ms)
        } else {
            success(seen)
        }
    });
    let worker = worker.await;
    let (_control, entry) = fleet(&[&worker]).await;
    let started = Instant::now();
    ask_as(&entry, "/once/x", "id-1").await;
    let reply = ask_as(&entry, "/once/x", "id-2").await;
    let took = started.elapsed();
    assert_eq!(reply.status, status);
    let stated = reply.header("retry-after-ms").parse().unwrap_or(0);
    assert!(expected_ms.contains(&stated), "{stated}");
    if status == 503 {
        assert!(took < Duration::from_millis(200), "{took:?}");
    }
}

/// Guards against a worker that a malformed time takes out of use.
#[rstest]
#[case::negative("-1")]
#[case::no_number("soon")]
#[case::empty("")]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT")]
#[case::too_large("99999999999999999999999")]
#[tokio::test]
async fn a_malformed_time_is_no_pause(#[case] stated: &'static str) {
    let first = AtomicBool::new(true);
    let worker = Worker::start("w1", move |seen| {
        if first.swap(false, Ordering::SeqCst) {
            turn_away(seen, stated)
        } else {
            success(seen)
        }
    });
    let worker = worker.await;
    let (_control, entry) = fleet(&[&worker]).await;
    let asked = async {
        ask_as(&entry, "/x", "id-1").await;
        // Longer than a worker counts as full after it has turned a request away.
        sleep(Duration::from_millis(200)).await;
        ask_as(&entry, "/x", "id-2").await
    };
    let reply = timeout(Duration::from_secs(3), asked).await.unwrap();
    assert_eq!(reply.status, 200);
}
