//! Retry budget of a zone, which the coordinator counts and grants.

use std::collections::{HashMap, HashSet};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutvalve_entry::gateway::charge::Charge;
use chestnutvalve_entry::gateway::coordinator::{Reservations, coordinators};
use chestnutvalve_entry::gateway::dispatcher::Unplaced;
use chestnutvalve_model::id::{Service, Zone};
use chestnutvalve_routing::retry::Bounds;
use chestnutvalve_routing::schedule::Outcome;
use rstest::rstest;
use spdlog::sink::WriteSink;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::coordinator::{NARROW_MBPS, WIDE_MBPS, control, entries, gated_proxy};
use crate::dispatcher;
use crate::fleet::{Entry, wait_until};
use crate::gateway::{answer, ask_as, success};
use crate::worker::{Step, Worker};

/// Starts workers that wait `delay` and fail the first attempt of requests whose id starts with `fail`, and all attempts
/// of those whose id starts with `lose`.
async fn workers(count: usize, delay: Duration) -> Vec<Worker> {
    let failed: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut workers = Vec::new();
    for n in 0..count {
        let failed = Arc::clone(&failed);
        let name = format!("w{n}");
        let worker = Worker::start(&name, move |seen| {
            let id = seen.headers["chestnutvalve-attempt"].clone();
            if id.starts_with("lose") {
                return answer(seen, 500, "", "lost");
            }
            if id.starts_with("fail") && failed.lock().unwrap().insert(id) {
                return [vec![Step::Wait(delay)], answer(seen, 500, "", "failed")].concat();
            }
            success(seen)
        });
        workers.push(worker.await);
    }
    workers
}

async fn ask_all(entry: &Entry, kind: &str, count: usize) -> usize {
    let mut good = 0;
    for n in 0..count {
        let reply = ask_as(entry, "/x", &format!("{kind}-{n}")).await;
        good += usize::from(reply.status == 200);
    }
    good
}

/// Guards against requests that fail because the part of one entry is used up while the zone has budget: the requests of
/// one entry permit the retries of another one, and those of the coordinator do, too.
#[rstest]
#[case::another_entry(2)]
#[case::the_coordinator(0)]
#[tokio::test]
async fn requests_of_another_entry_permit_retries(#[case] other: usize) {
    let workers = workers(4, Duration::ZERO).await;
    let control = control(&workers.iter().collect::<Vec<_>>()).await;
    let entries = entries(&control, 4).await;
    assert_eq!(ask_all(&entries[other], "good", 60).await, 60);
    // The fixed number permits 2.8 at each entry, and the requests before permit 5.1.
    assert_eq!(ask_all(&entries[1], "fail", 7).await, 7);
}

/// Bytes that a log sink has written.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against more retries than the budget, whichever entry asks, and against a request that is not retried without
/// its last answer or without a trace of the reason.
#[tokio::test]
async fn an_exhausted_budget_is_logged_and_the_last_answer_returned() {
    let log = Log::default();
    let sink = WriteSink::builder().target(log.clone()).build().unwrap();
    let logger = spdlog::default_logger().fork_with(|logger| {
        logger.sinks_mut().push(Arc::new(sink));
        Ok(())
    });
    spdlog::set_default_logger(logger.unwrap());
    let workers = workers(4, Duration::ZERO).await;
    let control = control(&workers.iter().collect::<Vec<_>>()).await;
    let entries = entries(&control, 4).await;
    for n in 0..20 {
        let reply = ask_as(&entries[1 + n % 2], "/x", &format!("lose-{n}")).await;
        assert_eq!((reply.status, reply.body.as_slice()), (500, &b"lost"[..]));
    }
    let attempts: usize = workers.iter().map(Worker::count).sum();
    // The fleet's budget is ten and a tenth of the requests.
    assert!((22..=32).contains(&attempts), "{attempts} attempts");
    let log = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
    let mut lines = log.lines().filter(|l| l.contains("request not retried"));
    let line = lines.find(|l| l.contains("lose-19"));
    let line = line.expect("a line for the last request");
    assert!(line.contains("the retry budget is exhausted"), "{line}");
    let denied = entries[1]
        .metric("denied_attempts_total", "purpose=\"retry\"")
        .await;
    assert!(denied >= 1.0, "{denied}");
}

/// Guards against a request that fails because its coordinator is lost between the first attempt and the retry, or that
/// is retried more often than its route allows by then.
#[tokio::test]
async fn a_request_is_retried_after_its_coordinator_is_lost() {
    let workers = workers(2, Duration::from_millis(200)).await;
    let all: Vec<&Worker> = workers.iter().collect();
    let (near, far) = (control(&all).await, control(&all).await);
    let wide = Entry::start_with_link("wide", far.address, &[], WIDE_MBPS).await;
    wait_until("workers", || wide.state().roster.workers.len() == 2).await;
    wide.wait_for_members(1).await;
    let (gate, open) = watch::channel(true);
    let relay = gated_proxy(wide.peers, open).await;
    {
        let mut state = near.state.lock().unwrap();
        let members = far.state.lock().unwrap().directory.members.clone();
        for mut member in members.into_values() {
            member.peers = relay;
            state.directory.join(&member);
        }
        state.version.revision += 1;
    }
    let narrow = Entry::start_with_link("n1", near.address, &[], NARROW_MBPS).await;
    narrow.wait_for_members(2).await;
    wait_until("workers", || narrow.state().roster.workers.len() == 2).await;
    assert_eq!(ask_all(&narrow, "good", 4).await, 4);
    let count = || workers.iter().map(Worker::count).sum::<usize>();
    let before = count();
    let asked = ask_as(&narrow, "/x", "fail-1");
    let lose = async {
        sleep(Duration::from_millis(100)).await;
        gate.send(false).unwrap();
    };
    let (reply, ()) = tokio::join!(asked, lose);
    assert_eq!((reply.status, count() - before), (200, 2));
}

/// Guards against retries that are denied although the second coordinator could grant them after the first one is lost,
/// and against one that the entry then makes twice. The entry's own part permits one.
#[tokio::test]
async fn the_next_coordinator_grants_retries() {
    let workers = workers(2, Duration::from_millis(200)).await;
    let all: Vec<&Worker> = workers.iter().collect();
    let (near, far) = (control(&all).await, control(&all).await);
    let mut gates = HashMap::new();
    let mut wide = Vec::new();
    for name in ["wide-1", "wide-2"] {
        let entry = Entry::start_with_link(name, far.address, &[], WIDE_MBPS).await;
        wait_until("workers", || entry.state().roster.workers.len() == 2).await;
        wide.push(entry);
    }
    wide[0].wait_for_members(2).await;
    let members = far.state.lock().unwrap().directory.members.clone();
    for mut member in members.into_values() {
        let (gate, open) = watch::channel(true);
        member.peers = gated_proxy(member.peers, open).await;
        gates.insert(member.peers, gate);
        near.state.lock().unwrap().directory.join(&member);
    }
    near.state.lock().unwrap().version.revision += 1;
    let narrow = Entry::start_with_link("n1", near.address, &[], NARROW_MBPS).await;
    narrow.wait_for_members(3).await;
    wait_until("workers", || narrow.state().roster.workers.len() == 2).await;
    assert_eq!(ask_all(&narrow, "good", 4).await, 4);
    let (service, zone) = (Service::new("lookup").unwrap(), Zone::new("z1").unwrap());
    let candidates = coordinators(&narrow.state(), &service, &zone);
    assert_eq!(candidates.len(), 2);
    let count = || workers.iter().map(Worker::count).sum::<usize>();
    let before = count();
    let asked = async {
        tokio::join!(
            ask_as(&narrow, "/x", "fail-1"),
            ask_as(&narrow, "/x", "fail-2"),
            ask_as(&narrow, "/x", "fail-3")
        )
    };
    let lose = async {
        sleep(Duration::from_millis(100)).await;
        gates[&candidates[0]].send(false).unwrap();
    };
    let (replies, ()) = tokio::join!(asked, lose);
    let statuses = [replies.0.status, replies.1.status, replies.2.status];
    assert_eq!((statuses, count() - before), ([200; 3], 6));
}

/// Guards against budget that is lost with a retry whose caller leaves while it waits for a slot, or that gets a slot and
/// doesn't use it, and against a retry that is made without budget.
#[tokio::test(start_paused = true)]
async fn a_retry_that_is_not_made_costs_nothing() {
    let budget = Bounds {
        ratio: 0.0,
        slack: 1.0,
        window: Duration::from_secs(10),
    };
    let retry = Charge::Retry { is_repeated: false };
    let (dispatcher, _observations) = dispatcher::start(budget);
    let admit = |id, charge| {
        let (dispatcher, request) = (Arc::clone(&dispatcher), dispatcher::request(id, 0));
        async move { dispatcher.admit(request, charge).await }
    };
    let first = admit(1, Charge::Nothing).await.unwrap();
    let _second = admit(2, Charge::Nothing).await.unwrap();
    for id in [3, 4] {
        let waits = admit(id, retry);
        assert!(timeout(Duration::from_millis(10), waits).await.is_err());
    }
    let waiting = tokio::spawn(admit(5, retry));
    sleep(Duration::from_millis(10)).await;
    assert!(matches!(admit(6, retry).await, Err(Unplaced::Denied)));
    first.finish(Outcome::Success);
    drop(waiting.await.unwrap().unwrap());
    let mut used = admit(7, retry).await.unwrap();
    used.mark_used();
    used.finish(Outcome::Success);
    assert!(matches!(admit(8, retry).await, Err(Unplaced::Denied)));
}

/// Guards against more attempts than the budget when reports are lost: a retry whose reservation expires without a report
/// may have been made.
#[tokio::test(start_paused = true)]
async fn a_retry_without_a_report_costs_its_budget() {
    let budget = Bounds {
        ratio: 0.0,
        slack: 1.0,
        window: Duration::from_secs(10),
    };
    let retry = Charge::Retry { is_repeated: false };
    let (dispatcher, _observations) = dispatcher::start(budget);
    let admit = |id| dispatcher.admit(dispatcher::request(id, 0), retry);
    let reservations = Reservations::default();
    let until = Instant::now() + Duration::from_millis(500);
    reservations.insert(1, admit(1).await.unwrap(), until);
    sleep(Duration::from_secs(1)).await;
    reservations.expire();
    assert!(reservations.remove(1).is_none());
    assert!(matches!(admit(2).await, Err(Unplaced::Denied)));
}
