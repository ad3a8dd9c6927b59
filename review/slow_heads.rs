//! A planned stop breaks off orders whose heads were completed late in it and that it has passed on to workers.

#[path = "support_2.rs"]
mod support;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use support::*;

/// Callers whose requests are complete only after the first 3 s of the stop.
const SLOW_CALLERS: usize = 10;
/// When they connect and send the first line, and when they send the rest, both after SIGTERM. The time between them stays
/// below `header-timeout-s` (3 s).
const FIRST_AT: Duration = Duration::from_millis(2_000);
const REST_AT: Duration = Duration::from_millis(4_500);
/// Usual work of an order and the longest, those of `visit-order` in the small deployment.
const WORK: Duration = Duration::from_millis(160);
const LONG_WORK: Duration = Duration::from_millis(970);
const GRACE_S: f64 = 6.0;

fn main() {
    begin(&std::env::args().nth(1).expect("path of the record"));
    let fleet = Fleet::start(&document(1, 16_384));
    let arrivals: Arrivals = Arc::default();
    let work = |path: &str| {
        if path.contains("/long") {
            LONG_WORK
        } else {
            WORK
        }
    };
    let workers: Vec<_> = (0..10)
        .map(|n| Worker::start_with(&fleet, &format!("i-{n}"), "desk", 2, work, &arrivals))
        .collect();
    until("the workers", || {
        workers
            .iter()
            .all(|w| w.acknowledged.load(std::sync::atomic::Ordering::Relaxed) > 0)
    });
    thread::sleep(Duration::from_secs(2));
    let front = fleet.machines[0].front();
    for number in 0..60 {
        let mut caller = Caller::connect(front);
        caller.send(&format!(
            "POST /once/usual HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: usual-{number}\r\nX-Deadline-Ms: 4000\r\nContent-Length: 5\r\nConnection: close\r\n\r\norder"
        ));
        let status = caller.answer().map_or(0, |(head, _)| head.status());
        record(&format!("usual-{number}: answer {status}"));
    }
    let stopped_at = now();
    if has_trouble() {
        signal("-TERM", fleet.entries[0]);
        record(&format!("SIGTERM to the entry on {}", fleet.machines[0].ip));
    }
    // Id, when the last byte was sent, status, and when the answer or the end of the connection came.
    let outcomes: Arc<Mutex<Vec<(String, f64, u16, f64)>>> = Arc::default();
    let callers: Vec<_> = (0..SLOW_CALLERS)
        .map(|number| {
            let outcomes = Arc::clone(&outcomes);
            thread::spawn(move || {
                let id = format!("slow-{number}");
                thread::sleep(FIRST_AT);
                let mut caller = Caller::connect(front);
                caller.send(&format!(
                    "POST /once/long HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n"
                ));
                record(&format!("{id} sends the first part of its head"));
                thread::sleep(REST_AT - FIRST_AT);
                caller.send("X-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder");
                let sent_at = now();
                record(&format!("{id} has sent its request"));
                let status = caller.answer().map_or(0, |(head, _)| head.status());
                record(&format!("{id}: answer {status}"));
                outcomes.lock().unwrap().push((id, sent_at, status, now()));
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("a caller");
    }
    thread::sleep(Duration::from_secs(1));
    let arrivals = arrivals.lock().unwrap().clone();
    let outcomes = outcomes.lock().unwrap().clone();
    let mut broken = 0;
    for (id, sent_at, status, ended_at) in &outcomes {
        let arrival = arrivals.iter().rfind(|a| a.id == *id);
        let was_at_work = arrival.is_some_and(|a| a.ran_at.is_some() && a.dropped);
        let (sent, ended) = (sent_at - stopped_at, ended_at - stopped_at);
        // A promise (408, 421, 429 or 503) or no passing on is no break; 504 at the caller's deadline or the route's timeout isn't either.
        let is_excused = ended_at - sent_at >= 3.9 || sent <= 3.0;
        let is_lost = *status != 200 && was_at_work && !is_excused && ended <= GRACE_S + 1.0;
        broken += usize::from(is_lost);
        say(&format!(
            "{id}: sent {sent:.2} s after the stop began, answer {status} at {ended:.2} s{}",
            if is_lost {
                ", broken off while its worker was at work"
            } else {
                ""
            }
        ));
    }
    assert!(outcomes.len() == SLOW_CALLERS, "not all callers ran");
    say(&format!("requests broken off: {broken} of {SLOW_CALLERS}"));
    verdict(
        "LOST",
        has_trouble() && broken > 0 || !has_trouble() && outcomes.iter().any(|o| o.2 != 200),
    );
}
