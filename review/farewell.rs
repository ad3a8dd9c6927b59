//! A worker takes its leave before its first heartbeat, which is late, has arrived; the system sends it requests again.

#[path = "support_2.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use support::*;

/// Time by which the heartbeat is late.
const LATE: Duration = Duration::from_secs(3);
/// Time after which the worker is told to leave.
const LEAVES_AT: Duration = Duration::from_millis(500);
/// Time for which it serves after its departure was acknowledged: `drain-s` and a little longer.
const SERVES: Duration = Duration::from_secs(9);
const DRAIN_S: f64 = 2.0;
/// Interval of the callers' requests.
const INTERVAL: Duration = Duration::from_millis(25);

fn main() {
    begin(&std::env::args().nth(1).expect("path of the record"));
    let fleet = Fleet::start(&document(1, 16_384));
    let arrivals: Arrivals = Arc::default();
    let work = Duration::from_millis(200);
    let workers: Vec<_> = (0..3)
        .map(|n| Worker::start(&fleet, &format!("i-{n}"), "desk", 2, work, &arrivals))
        .collect();
    until("the workers", || {
        workers
            .iter()
            .all(|w| w.acknowledged.load(Ordering::Relaxed) > 0)
    });
    thread::sleep(Duration::from_secs(2));
    let leaver = Worker::listen("i-leaver", "desk", 2, move |_| work, &arrivals);
    let controls: Vec<_> = fleet.machines.iter().map(Machine::control).collect();
    let body = heartbeat("desk", leaver.address, 2, 1, leaver.born);
    let nodes = [controls[1], controls[2], controls[0]];
    let beat = thread::spawn(move || {
        if has_trouble() {
            thread::sleep(LATE);
        }
        // A heartbeat that is not acknowledged goes to the next node.
        nodes.into_iter().any(|node| {
            let answer = call("PUT", node, "/v1/instances/i-leaver", &body);
            record(&format!(
                "the heartbeat of i-leaver arrives at {node}: {answer:?}"
            ));
            answer.is_some_and(|a| a.0 == 200)
        })
    });
    thread::sleep(LEAVES_AT);
    let answer = call("DELETE", controls[0], "/v1/instances/i-leaver", "");
    let acknowledged_at = now();
    record(&format!("DELETE /v1/instances/i-leaver: {answer:?}"));
    assert!(
        answer.is_some_and(|a| a.0 == 200),
        "the departure was not acknowledged"
    );
    let started = Instant::now();
    let mut number = 0;
    let mut callers = Vec::new();
    while started.elapsed() < SERVES {
        let front = fleet.machines[number % fleet.machines.len()].front();
        callers.push(thread::spawn(move || {
            let id = format!("q{number}");
            let mut caller = Caller::connect(front);
            caller.send(&format!(
                "GET /safe/{number} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
            ));
            let status = caller.answer().map_or(0, |(head, _)| head.status());
            record(&format!("{id}: answer {status}"));
        }));
        number += 1;
        thread::sleep(INTERVAL);
    }
    for caller in callers {
        caller.join().expect("a caller");
    }
    assert!(
        beat.join().expect("the heartbeat"),
        "no node acknowledged the heartbeat"
    );
    let arrivals = arrivals.lock().unwrap().clone();
    let late = arrivals
        .iter()
        .filter(|a| a.worker == "i-leaver" && a.at > acknowledged_at + DRAIN_S);
    let late: Vec<f64> = late.map(|a| a.at - acknowledged_at).collect();
    let first = late.first().copied().unwrap_or_default();
    say(&format!(
        "requests that reached the worker more than 2 s after its departure was acknowledged: {} (the first after {first:.2} s)",
        late.len()
    ));
    verdict("DRAIN", !late.is_empty());
}
