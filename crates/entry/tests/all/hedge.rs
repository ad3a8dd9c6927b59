//! Second attempts beside requests whose worker doesn't answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::coordinator;
use crate::gateway::{ask, fleet, success};
use crate::worker::{Step, Worker};

/// Guards against an idempotent request that waits for a silent worker until its deadline, against a second attempt of a
/// coordinated service while the first may still be in time, and against one of a request that must not run twice.
#[rstest]
#[case::idempotent(true, "/x", 200, 300..500, 2)]
#[case::at_most_once(true, "/once/x", 504, 900..1_100, 1)]
#[case::without_coordinator(false, "/x", 200, 90..300, 2)]
#[case::at_most_once_without_coordinator(false, "/once/x", 504, 900..1_100, 1)]
#[tokio::test]
async fn a_silent_worker_costs_a_second_attempt_just_before_the_target(
    #[case] is_coordinated: bool,
    #[case] path: &str,
    #[case] status: u16,
    #[case] took_ms: std::ops::Range<u128>,
    #[case] attempts: usize,
) {
    let silent = Arc::new(AtomicBool::new(false));
    let start = |name| {
        let silent = Arc::clone(&silent);
        Worker::start(name, move |seen| {
            if silent.swap(false, Ordering::Relaxed) {
                vec![Step::Wait(Duration::from_secs(3))]
            } else {
                success(seen)
            }
        })
    };
    let (first, second) = (start("w1").await, start("w2").await);
    let workers = [&first, &second];
    let (_control, entries) = if is_coordinated {
        let control = coordinator::control(&workers).await;
        let entries = coordinator::entries(&control, 2).await;
        (control, Vec::from(entries))
    } else {
        let (control, entry) = fleet(&workers).await;
        (control, vec![entry])
    };
    let entry = entries.last().expect("an entry");
    for _ in 0..20 {
        assert_eq!(ask(entry, "/x").await.status, 200);
    }
    let before = first.count() + second.count();
    silent.store(true, Ordering::Relaxed);
    let started = Instant::now();
    let reply = ask(entry, path).await;
    let took = started.elapsed().as_millis();
    assert_eq!(reply.status, status);
    assert!(took_ms.contains(&took), "{took} ms");
    assert_eq!(first.count() + second.count() - before, attempts);
}
