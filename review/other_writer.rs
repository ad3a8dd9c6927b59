//! Heartbeats of another writer name a service that no configuration names; sound workers at the same addresses are lost.

#[path = "support_2.rs"]
mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::*;

const WORKERS: usize = 10;
/// Workers at whose addresses the other writer announces something else.
const NAMED_TWICE: usize = 4;
/// Time that a worker takes for a request; the service runs 100 requests a second.
const WORK: Duration = Duration::from_millis(200);
/// Interval of the requests: 80 a second.
const INTERVAL: Duration = Duration::from_micros(12_500);
/// Time for which requests are sent, and into which the other writer comes in.
const LENGTH: Duration = Duration::from_secs(30);
const TROUBLE_AT: Duration = Duration::from_secs(10);
const WINDOW_S: f64 = 2.0;
const FLOOR_SHARE: f64 = 0.7;

fn main() {
    begin(&std::env::args().nth(1).expect("path of the record"));
    let fleet = Fleet::start(&document(1, 16_384));
    let arrivals: Arrivals = Arc::default();
    let workers: Vec<_> = (0..WORKERS)
        .map(|n| Worker::start(&fleet, &format!("i-{n}"), "desk", 2, WORK, &arrivals))
        .collect();
    until("the workers", || {
        workers
            .iter()
            .all(|w| w.acknowledged.load(Ordering::Relaxed) > 0)
    });
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = fleet.machines.iter().map(Machine::front).collect();
    // Time of each request, and whether it was served.
    let outcomes: Arc<Mutex<Vec<(f64, bool)>>> = Arc::default();
    let started = Instant::now();
    let next = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..200)
        .map(|_| {
            let (fronts, next, outcomes) = (fronts.clone(), Arc::clone(&next), Arc::clone(&outcomes));
            thread::spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let at = INTERVAL * u32::try_from(number).unwrap_or(u32::MAX);
                    if at >= LENGTH {
                        return;
                    }
                    thread::sleep(at.saturating_sub(started.elapsed()));
                    let sent_at = now();
                    let mut caller = Caller::connect(fronts[number % fronts.len()]);
                    caller.send(&format!(
                        "GET /safe/{number} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q{number}\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
                    ));
                    let status = caller.answer().map_or(0, |(head, _)| head.status());
                    record(&format!("q{number} of {sent_at:.3} s: answer {status}"));
                    outcomes.lock().unwrap().push((sent_at, status == 200));
                }
            })
        })
        .collect();
    thread::sleep(TROUBLE_AT.saturating_sub(started.elapsed()));
    let trouble_at = now();
    let beats = || {
        workers
            .iter()
            .map(|w| w.acknowledged.load(Ordering::Relaxed))
            .collect::<Vec<_>>()
    };
    let beats_before = beats();
    if has_trouble() {
        for worker in &workers[..NAMED_TWICE] {
            let body = heartbeat("desk-old-name", worker.address, 2, 1, worker.born + 60_000);
            let path = format!("/v1/instances/other-{}", worker.id);
            let answer = call("PUT", fleet.machines[0].control(), &path, &body);
            record(&format!(
                "another writer names {} as a worker of desk-old-name: {answer:?}",
                worker.address
            ));
        }
    }
    for caller in callers {
        caller.join().expect("a caller");
    }
    let outcomes = outcomes.lock().unwrap().clone();
    let arrivals = arrivals.lock().unwrap().clone();
    let end = outcomes.iter().map(|o| o.0).fold(0.0, f64::max);
    let (mut from, mut broken) = (outcomes.iter().map(|o| o.0).fold(f64::MAX, f64::min), 0);
    while from + WINDOW_S <= end {
        let to = from + WINDOW_S;
        let in_window: Vec<_> = outcomes
            .iter()
            .filter(|o| (from..to).contains(&o.0))
            .collect();
        let unserved = in_window.iter().filter(|o| !o.1).count();
        let used: BTreeSet<&str> = arrivals
            .iter()
            .filter(|a| (from..to).contains(&a.at))
            .map(|a| a.worker.as_str())
            .collect();
        let share = used.len() as f64 / WORKERS as f64;
        let unserved_share = unserved as f64 / in_window.len().max(1) as f64;
        let is_broken =
            share > 0.0 && share < FLOOR_SHARE && unserved_share > 0.1 && unserved_share < 0.5;
        broken += usize::from(is_broken);
        record(&format!(
            "window {from:.1} to {to:.1} s: {} of {WORKERS} workers used, {unserved} of {} not served{}",
            used.len(),
            in_window.len(),
            if is_broken { ": broken" } else { "" }
        ));
        from += 0.5;
    }
    let beats_after = beats();
    for (at, worker) in workers.iter().enumerate() {
        let got = arrivals
            .iter()
            .filter(|a| a.worker == worker.id && a.at > trouble_at + 2.0)
            .count();
        say(&format!(
            "{}: {} heartbeats acknowledged after the change, {got} requests from 2 s after it",
            worker.id,
            beats_after[at] - beats_before[at]
        ));
    }
    say(&format!(
        "windows of 2 s in which the floor was broken: {broken}"
    ));
    verdict("FLOOR", broken > 0);
}
