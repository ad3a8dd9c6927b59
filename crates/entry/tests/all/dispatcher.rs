//! Reservations that outlive the incarnation or the promise of their worker, and requests that are displaced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_entry::gateway::charge::Charge;
use chestnutvalve_entry::gateway::dispatcher::{Dispatcher, Registration, Reservation, Unplaced};
use chestnutvalve_entry::gateway::observation::{Finding, Observation};
use chestnutvalve_model::id::{Incarnation, Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::retry::Bounds;
use chestnutvalve_routing::schedule::{Hold, Notice, Outcome, Reason, Request, Spec};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

const BUDGET: Bounds = Bounds {
    ratio: 0.1,
    slack: 10.0,
    window: Duration::from_secs(10),
};

fn worker() -> Worker {
    Worker::new("w1").unwrap()
}

fn sync(dispatcher: &Dispatcher, incarnation: u64, budget: Bounds) {
    let registration = Registration {
        spec: Spec {
            incarnation: Incarnation(incarnation),
            zone: Zone::new("z1").unwrap(),
            slots: 2,
            warm_up: Duration::ZERO,
        },
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    let registrations = BTreeMap::from([(worker(), registration)]);
    dispatcher.sync(&registrations, budget, 1, None);
}

/// Returns a dispatcher with the first incarnation of a worker, and the shared observations.
pub fn start(budget: Bounds) -> (Arc<Dispatcher>, mpsc::Receiver<Observation>) {
    let (sender, observations) = mpsc::channel(8);
    let (service, zone) = (Service::new("lookup").unwrap(), Zone::new("z1").unwrap());
    let dispatcher = Arc::new(Dispatcher::new(service, zone, budget, sender));
    sync(&dispatcher, 1, budget);
    (dispatcher, observations)
}

/// Returns a dispatcher with the first incarnation of a worker, a reservation of it and the shared observations.
async fn reserved() -> (Arc<Dispatcher>, Reservation, mpsc::Receiver<Observation>) {
    let (dispatcher, observations) = start(BUDGET);
    let reservation = dispatcher
        .admit(request(1, 0), Charge::Nothing)
        .await
        .unwrap();
    (dispatcher, reservation, observations)
}

pub fn request(id: u64, class: u64) -> Request {
    let now = Instant::now().into_std();
    Request {
        id,
        rank: Rank::Top,
        class,
        customer: None,
        download: false,
        at_most_once: true,
        target: now + Duration::from_secs(1),
        deadline: now + Duration::from_secs(2),
        tried: Vec::new(),
        connected: Vec::new(),
        remote: false,
    }
}

/// Guards against telling other entries that a worker failed although its incarnation had ended before.
#[tokio::test]
async fn the_failure_of_an_earlier_incarnation_is_not_shared() {
    let (dispatcher, reservation, mut observations) = reserved().await;
    sync(&dispatcher, 2, BUDGET);
    reservation.finish(Outcome::Failure);
    assert!(observations.try_recv().is_err());
}

/// Guards against sending a request on a reservation that was made before the worker said that it leaves, and against
/// other entries that don't hear of it, or hear of it again and again.
#[tokio::test]
async fn a_reservation_ends_when_the_worker_leaves() {
    let (_dispatcher, reservation, mut observations) = reserved().await;
    assert!(reservation.record_notice(Notice::Leaving));
    assert!(!reservation.record_notice(Notice::Leaving));
    let shared = observations.try_recv().map(|o| (o.incarnation, o.finding));
    assert_eq!(shared, Ok((Incarnation(1), Finding::Leaving)));
    assert!(observations.try_recv().is_err());
    assert_eq!(reservation.check().err(), Some(Hold::Left));
}

/// Guards against sending a request on a reservation that was made before the worker asked for a pause, and against
/// sharing a pause, which concerns one entry.
#[tokio::test]
async fn a_reservation_ends_when_the_worker_wants_a_pause() {
    let (_dispatcher, reservation, mut observations) = reserved().await;
    assert!(reservation.record_notice(Notice::Pause(Duration::from_secs(1))));
    assert!(observations.try_recv().is_err());
    assert!(matches!(reservation.check(), Err(Hold::Paused(_))));
}

/// Guards against sending a request to a worker that has restarted or left the state since the slot was reserved.
#[tokio::test]
async fn a_reservation_ends_with_its_incarnation() {
    let (dispatcher, reservation, _observations) = reserved().await;
    sync(&dispatcher, 2, BUDGET);
    assert_eq!(reservation.check().err(), Some(Hold::Left));
}

/// Guards against a waiting request that is refused because others need less work and hears of it only at the next
/// tick, and against a slot that is lost by it.
#[tokio::test(start_paused = true)]
async fn a_displaced_request_is_refused_at_once() {
    let (dispatcher, reservation, _observations) = reserved().await;
    reservation.finish(Outcome::Success);
    for (class, work_ms) in [(1, 200), (2, 20)].repeat(50) {
        let reservation = dispatcher
            .admit(request(class, class), Charge::Nothing)
            .await
            .unwrap();
        sleep(Duration::from_millis(work_ms)).await;
        reservation.finish(Outcome::Success);
    }
    let admit = |id, class| {
        let (dispatcher, request) = (Arc::clone(&dispatcher), request(id, class));
        tokio::spawn(async move { dispatcher.admit(request, Charge::Nothing).await })
    };
    let _running = [admit(3, 1).await, admit(4, 1).await];
    let mut long: Vec<_> = (10..16).map(|id| admit(id, 1)).collect();
    yield_now().await;
    let short: Vec<_> = (20..60).map(|id| admit(id, 2)).collect();
    yield_now().await;
    let displaced = long.pop().unwrap();
    assert!(displaced.is_finished());
    let Err(Unplaced::Refused(refusal)) = displaced.await.unwrap() else {
        panic!("not refused");
    };
    assert_eq!(refusal.reason, Reason::Overload);
    assert!(!short[0].is_finished());
}
