//! Coordinators of two availability zones that exchange summaries.

use std::time::Duration;

use chestnutvalve_model::id::Zone;
use chestnutvalve_model::routes::Kind;
use chestnutvalve_model::upstream::Event;
use tokio::time::{Instant, sleep};

use crate::control::Control;
use crate::fleet::{Entry, wait_until};
use crate::gateway::{announcement, ask_as, route, success, table};
use crate::worker::{Received, Step, Worker};

/// Bandwidths of links, in megabits per second.
const NARROW_MBPS: u32 = 3;
const WIDE_MBPS: u32 = 1_000;
const WORK_TIME: Duration = Duration::from_millis(100);
/// Time after which a new coordinator has offered its slots to others.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

fn delayed_success(seen: &Received) -> Vec<Step> {
    let mut steps = vec![Step::Wait(WORK_TIME)];
    steps.extend(success(seen));
    steps
}

fn announcement_in(zone: &str, worker: &Worker, slots: u32) -> Event {
    let mut event = announcement(worker, 1, false);
    if let Event::Announced(announcement) = &mut event {
        announcement.zone = Zone::new(zone).unwrap();
        announcement.slots = slots;
    }
    event
}

/// Guards against requests that leave their zone while it has free slots, and against ones that wait in it although
/// another zone has free slots.
#[tokio::test]
async fn requests_leave_their_zone_only_if_it_is_full() {
    let near = Worker::start("w1", delayed_success).await;
    let far = Worker::start("w2", delayed_success).await;
    let control = Control::start().await;
    control.publish(table(1, vec![route("/", Kind::Idempotent)]));
    control.register(&announcement_in("z1", &near, 2));
    control.register(&announcement_in("z2", &far, 16));
    let start = |name, zone, mbps| Entry::start_in_zone(name, zone, control.address, mbps);
    let entries = [
        start("wide-1", "z1", WIDE_MBPS).await,
        start("narrow-1", "z1", NARROW_MBPS).await,
        start("wide-2", "z2", WIDE_MBPS).await,
        start("narrow-2", "z2", NARROW_MBPS).await,
    ];
    for entry in &entries {
        entry.wait_for_members(4).await;
        wait_until("workers", || entry.state().roster.workers.len() == 2).await;
    }
    let entry = &entries[1];
    assert_eq!(ask_as(entry, "/x", "first").await.status, 200);
    sleep(SETTLING_TIME).await;

    let before = far.count();
    for number in 0..8 {
        let reply = ask_as(entry, "/x", &format!("alone-{number}")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(far.count(), before);

    // The entry reports the end of the last request some milliseconds after its response.
    sleep(WORK_TIME).await;
    let started = Instant::now();
    let replies = tokio::join!(
        ask_as(entry, "/x", "burst-1"),
        ask_as(entry, "/x", "burst-2"),
        ask_as(entry, "/x", "burst-3"),
        ask_as(entry, "/x", "burst-4"),
        ask_as(entry, "/x", "burst-5"),
        ask_as(entry, "/x", "burst-6"),
    );
    let took = started.elapsed();
    let statuses = [
        replies.0.status,
        replies.1.status,
        replies.2.status,
        replies.3.status,
        replies.4.status,
        replies.5.status,
    ];
    assert_eq!(statuses, [200; 6]);
    assert_eq!(far.count(), before + 4);
    // In their zone, they would take three times the work.
    assert!(took < 2 * WORK_TIME, "{took:?}");
}
