//! Entries with narrow links that request reservations from a coordinator with a wide link.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_model::directory::Member;
use chestnutvalve_model::id::{Entry as Id, Incarnation, Zone};
use chestnutvalve_model::routes::Kind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::control::Control;
use crate::fleet::{Entry, wait_until};
use crate::gateway::{announcement, answer, ask_as, route, success, table};
use crate::worker::{Received, Step, Worker};

/// Bandwidth of narrow links, in megabits per second.
pub const NARROW_MBPS: u32 = 3;
pub const WIDE_MBPS: u32 = 1_000;
/// Processing time of a request.
const WORK_TIME: Duration = Duration::from_millis(100);

fn delayed_success(seen: &Received) -> Vec<Step> {
    let mut steps = vec![Step::Wait(WORK_TIME)];
    steps.extend(success(seen));
    steps
}

/// Starts a control instance with the routes `/` and `/once/`, and registers the workers.
pub async fn control(workers: &[&Worker]) -> Control {
    let control = Control::start().await;
    let routes = vec![route("/", Kind::Idempotent), route("/once/", Kind::Once)];
    control.publish(table(1, routes));
    for worker in workers {
        control.register(&announcement(worker, 1, false));
    }
    control
}

/// Starts one entry with a wide link and two with narrow ones.
pub async fn entries(control: &Control, workers: usize) -> [Entry; 3] {
    let start = |name, mbps| Entry::start_with_link(name, control.address, &[], mbps);
    let (wide, first) = (
        start("wide", WIDE_MBPS).await,
        start("n1", NARROW_MBPS).await,
    );
    let entries = [wide, first, start("n2", NARROW_MBPS).await];
    for entry in &entries {
        entry.wait_for_members(3).await;
        wait_until("workers", || entry.state().roster.workers.len() == workers).await;
    }
    entries
}

/// Guards against entries that distribute requests without a common view of the workers' slots: some workers queue
/// requests while others are idle.
#[tokio::test]
async fn requests_of_two_entries_fill_the_slots_of_the_workers() {
    let (a, b) = (
        Worker::start("w1", delayed_success).await,
        Worker::start("w2", delayed_success).await,
    );
    let control = control(&[&a, &b]).await;
    let [_wide, first, second] = entries(&control, 2).await;
    for round in 0..8 {
        let before = (a.count(), b.count());
        let ids: Vec<String> = (0..4).map(|n| format!("id-{round}-{n}")).collect();
        let (many, one) = match round % 2 {
            0 => (&first, &second),
            _ => (&second, &first),
        };
        let replies = tokio::join!(
            ask_as(many, "/x", &ids[0]),
            ask_as(many, "/x", &ids[1]),
            ask_as(many, "/x", &ids[2]),
            ask_as(one, "/x", &ids[3]),
        );
        let statuses = [
            replies.0.status,
            replies.1.status,
            replies.2.status,
            replies.3.status,
        ];
        assert_eq!(statuses, [200; 4]);
        let counts = (a.count() - before.0, b.count() - before.1);
        assert_eq!(counts, (2, 2), "round {round}");
    }
}

/// Guards against requests that fail or wait too long because the coordinator does not answer.
#[tokio::test]
async fn without_an_answer_an_entry_dispatches_its_requests_itself() {
    let worker = Worker::start("w1", success).await;
    let control = control(&[&worker]).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    {
        let mut state = control.state.lock().unwrap();
        state.directory.join(&Member {
            entry: Id::new("silent").unwrap(),
            incarnation: Incarnation(1),
            zone: Zone::new("z1").unwrap(),
            callers: address,
            gateway: Some(address),
            link_mbps: WIDE_MBPS,
            platform: address,
            peers: address,
            draining: false,
        });
        state.version.revision += 1;
    }
    let narrow = Entry::start_with_link("n1", control.address, &[], NARROW_MBPS).await;
    narrow.wait_for_members(2).await;
    for (n, most) in [Duration::from_millis(700), Duration::from_millis(100)]
        .into_iter()
        .enumerate()
    {
        let started = Instant::now();
        let reply = ask_as(&narrow, "/once/x", &format!("id-{n}")).await;
        let took = started.elapsed();
        assert_eq!(reply.status, 200);
        assert!(took < most, "request {n} took {took:?}");
    }
}

/// Guards against slots that stay reserved at the coordinator after the caller has disconnected before its answer.
#[tokio::test]
async fn a_reservation_is_released_when_the_caller_disconnects() {
    let worker = Worker::start("w1", |seen| {
        let id = &seen.headers["chestnutvalve-attempt"];
        if id.starts_with("stay") {
            success(seen)
        } else {
            vec![Step::Wait(Duration::from_secs(5))]
        }
    });
    let worker = worker.await;
    let control = control(&[&worker]).await;
    let [_wide, first, second] = entries(&control, 1).await;
    for n in 0..2 {
        let leaving = format!("leave-{n}");
        let asked = ask_as(&first, "/once/x", &leaving);
        assert!(timeout(Duration::from_millis(100), asked).await.is_err());
    }
    sleep(Duration::from_millis(50)).await;
    let replies = tokio::join!(
        ask_as(&first, "/x", "stay-1"),
        ask_as(&second, "/x", "stay-2")
    );
    assert_eq!([replies.0.status, replies.1.status], [200; 2]);
}

/// Guards against a request that is sent to a worker which its entry does not know, and against an entry that queries
/// again and again because the coordinator's state is older than its own.
#[tokio::test]
async fn a_worker_that_the_entry_does_not_know_is_not_used() {
    let (gone, stays) = (
        Worker::start("w1", success).await,
        Worker::start("w2", success).await,
    );
    let old = control(&[&gone]).await;
    let new = control(&[&stays]).await;
    let wide = Entry::start_with_link("wide", old.address, &[], WIDE_MBPS).await;
    wait_until("workers", || wide.state().roster.workers.len() == 1).await;
    // Its address is copied to the other control instance below.
    wide.wait_for_members(1).await;
    {
        let mut state = new.state.lock().unwrap();
        let members = old.state.lock().unwrap().directory.members.clone();
        for member in members.values() {
            state.directory.join(member);
        }
        state.version.revision += 1;
    }
    let narrow = Entry::start_with_link("n1", new.address, &[], NARROW_MBPS).await;
    narrow.wait_for_members(2).await;
    wait_until("workers", || narrow.state().roster.workers.len() == 1).await;
    for n in 0..10 {
        let id = format!("id-{n}");
        let asked = ask_as(&narrow, "/x", &id);
        let reply = timeout(Duration::from_secs(1), asked).await.unwrap();
        assert_eq!(reply.status, 200);
    }
    assert_eq!((gone.count(), stays.count()), (0, 10));
}

/// Guards against requests that are refused because the coordinator does not know the workers yet, as after a restart of
/// all processes.
#[tokio::test]
async fn a_coordinator_without_workers_does_not_refuse_for_others() {
    let worker = Worker::start("w1", success).await;
    let empty = Control::start().await;
    let control = control(&[&worker]).await;
    let wide = Entry::start_with_link("wide", empty.address, &[], WIDE_MBPS).await;
    // Its address is copied to the other control instance below.
    wide.wait_for_members(1).await;
    {
        let mut state = control.state.lock().unwrap();
        let members = empty.state.lock().unwrap().directory.members.clone();
        for member in members.values() {
            state.directory.join(member);
        }
        state.version.revision += 1;
    }
    let narrow = Entry::start_with_link("n1", control.address, &[], NARROW_MBPS).await;
    narrow.wait_for_members(2).await;
    wait_until("workers", || narrow.state().roster.workers.len() == 1).await;
    for (n, path) in ["/x", "/once/x"].into_iter().enumerate() {
        let reply = ask_as(&narrow, path, &format!("id-{n}")).await;
        assert_eq!(reply.status, 200, "{path}");
    }
    assert_eq!(worker.count(), 2);
}

/// Guards against an idempotent request that fails although another worker has a free slot a moment later.
#[tokio::test]
async fn a_failed_request_waits_for_another_worker() {
    let healthy = Worker::start("w1", delayed_success).await;
    let faulty = Worker::start("w2", |seen| answer(seen, 500, "", "no")).await;
    let control = control(&[&healthy, &faulty]).await;
    let [_wide, first, second] = entries(&control, 2).await;
    let ids: Vec<String> = (0..6).map(|n| format!("id-{n}")).collect();
    let asked = ids.iter().enumerate().map(|(n, id)| {
        let entry = if n % 2 == 0 { &first } else { &second };
        ask_as(entry, "/x", id)
    });
    let replies = futures_util::future::join_all(asked).await;
    let good = replies.iter().filter(|r| r.status == 200).count();
    // The retry budget allows each entry one retry before it has served more requests.
    assert!(good >= 4, "{good} of 6");
    assert!(healthy.count() + faulty.count() <= 12);
}

/// Guards against requests that lose their position in the coordinator's queue whenever their entry polls again.
#[tokio::test]
async fn waiting_requests_of_two_entries_are_served_in_order() {
    let worker = Worker::start("w1", |seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(240))];
        steps.extend(success(seen));
        steps
    });
    let worker = worker.await;
    let control = control(&[&worker]).await;
    let mut patient = route("/", Kind::Idempotent);
    (patient.timeout_ms, patient.target_ms) = (6_000, 3_000);
    control.publish(table(2, vec![patient]));
    let [_wide, first, second] = entries(&control, 1).await;
    for entry in [&first, &second] {
        wait_until("routes", || entry.state().routes.label == 2).await;
    }
    // The coordinator measures how long the work takes.
    for n in 0..6 {
        let reply = ask_as(&first, "/x", &format!("first-{n}")).await;
        assert_eq!(reply.status, 200);
    }
    let ids: Vec<String> = (0..8).map(|n| format!("id-{n}")).collect();
    let asked = ids.iter().enumerate().map(async |(n, id)| {
        let entry = if n % 2 == 0 { &first } else { &second };
        // Far longer than a task waits for a processor on a busy machine.
        let wait = u64::try_from(n).unwrap() * 50;
        sleep(Duration::from_millis(wait)).await;
        ask_as(entry, "/x", id).await.status
    });
    let statuses = futures_util::future::join_all(asked).await;
    assert_eq!(statuses, [200; 8]);
    let seen = worker.seen.lock().unwrap();
    let order = seen
        .iter()
        .skip(6)
        .map(|s| s.headers["chestnutvalve-attempt"].clone());
    let mut order: Vec<String> = order.collect();
    // Two slots become free at about the same time.
    order.chunks_mut(2).for_each(<[String]>::sort);
    assert_eq!(order, ids);
}

/// Proxies connections to `target`, and blocks the returned bytes while the gate is closed.
pub async fn gated_proxy(target: SocketAddr, open: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(target).await.unwrap();
            let (mut sent, mut back) = near.into_split();
            let (mut answers, mut there) = far.into_split();
            let mut open = open.clone();
            tokio::spawn(async move { tokio::io::copy(&mut sent, &mut there).await });
            tokio::spawn(async move {
                let mut buffer = vec![0; 65_536];
                while let Ok(read) = answers.read(&mut buffer).await
                    && read > 0
                {
                    open.wait_for(|open| *open).await.unwrap();
                    back.write_all(&buffer[..read]).await.unwrap();
                }
            });
        }
    });
    address
}

/// Guards against slots that stay reserved until the deadline of their requests because the coordinator's answer was
/// late.
#[tokio::test]
async fn the_reservation_in_a_late_answer_is_released() {
    let worker = Worker::start("w1", success).await;
    let (near, far) = (control(&[&worker]).await, control(&[&worker]).await);
    let wide = Entry::start_with_link("wide", far.address, &[], WIDE_MBPS).await;
    wait_until("workers", || wide.state().roster.workers.len() == 1).await;
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
    let first = Entry::start_with_link("n1", near.address, &[], NARROW_MBPS).await;
    let second = Entry::start_with_link("n2", near.address, &[], NARROW_MBPS).await;
    for entry in [&first, &second] {
        entry.wait_for_members(3).await;
        wait_until("workers", || entry.state().roster.workers.len() == 1).await;
    }
    assert_eq!(ask_as(&first, "/once/x", "before").await.status, 200);
    gate.send(false).unwrap();
    let late = tokio::join!(
        ask_as(&first, "/once/x", "late-1"),
        ask_as(&first, "/once/x", "late-2"),
    );
    assert_eq!([late.0.status, late.1.status], [200; 2]);
    gate.send(true).unwrap();
    sleep(Duration::from_millis(100)).await;
    let started = Instant::now();
    let replies = tokio::join!(
        ask_as(&second, "/x", "next-1"),
        ask_as(&second, "/x", "next-2"),
    );
    let took = started.elapsed();
    assert_eq!([replies.0.status, replies.1.status], [200; 2]);
    assert!(took < Duration::from_millis(200), "{took:?}");
}
