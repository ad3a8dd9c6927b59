//! Callers that have sent further requests before the first answer leave; the system goes on with their requests.

#[path = "support_2.rs"]
mod support;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use support::*;

/// Rounds of callers, and callers in each.
const ROUNDS: usize = 12;
const CALLERS: usize = 10;
/// Callers of each round that leave: a share of 0.3.
const LEAVING: usize = 3;
/// Safe requests that each caller sends at once.
const REQUESTS: usize = 3;
/// Time after which they leave.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time that a worker takes for a request.
const WORK: Duration = Duration::from_millis(1_000);

fn main() {
    begin(&std::env::args().nth(1).expect("path of the record"));
    let fleet = Fleet::start(&document(1, 16_384));
    let arrivals: Arrivals = Arc::default();
    let workers: Vec<_> = (0..10)
        .map(|n| Worker::start(&fleet, &format!("i-{n}"), "desk", 2, WORK, &arrivals))
        .collect();
    until("the workers", || {
        workers
            .iter()
            .all(|w| w.acknowledged.load(std::sync::atomic::Ordering::Relaxed) > 0)
    });
    thread::sleep(Duration::from_secs(2));
    let front = fleet.machines[0].front();
    // When the caller of a connection left, by the name of the connection.
    let left: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let mut unanswered = 0;
    for round in 0..ROUNDS {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (name, left) = (format!("r{round}c{number}"), Arc::clone(&left));
                let leaves = has_trouble() && number < LEAVING;
                thread::spawn(move || {
                    let mut caller = Caller::connect(front);
                    let request = |at| {
                        format!("GET /safe/{at} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {name}-{at}\r\nX-Deadline-Ms: 6000\r\n\r\n")
                    };
                    let all: String = (0..REQUESTS).map(request).collect();
                    record(&format!("{name} sends {REQUESTS} requests"));
                    caller.send(&all);
                    if leaves {
                        thread::sleep(PATIENCE);
                        left.lock().unwrap().push((name.clone(), now()));
                        caller.leave();
                        record(&format!("{name} leaves"));
                        return 0;
                    }
                    let answers = (0..REQUESTS).map_while(|_| caller.answer());
                    let served = answers.filter(|(head, _)| head.status() == 200).count();
                    record(&format!("{name} got {served} successes"));
                    REQUESTS - served
                })
            })
            .collect();
        for caller in callers {
            unanswered += caller.join().unwrap_or(REQUESTS);
        }
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(3));
    let arrivals = arrivals.lock().unwrap().clone();
    let left = left.lock().unwrap().clone();
    let left_at = |id: &str| {
        let caller = id.split('-').next().unwrap_or_default();
        left.iter()
            .find(|(name, _)| name == caller)
            .map(|(_, at)| *at)
    };
    let (mut late, mut working, mut lasting) = (0, 0, 0);
    for arrival in &arrivals {
        let Some(left_at) = left_at(&arrival.id) else {
            continue;
        };
        if arrival.at > left_at + 0.5 {
            late += 1;
        }
        let Some(ran_at) = arrival.ran_at.filter(|at| *at < left_at) else {
            continue;
        };
        if ran_at + WORK.as_secs_f64() > left_at + 0.5 {
            lasting += 1;
            working += usize::from(arrival.ended_at.is_none_or(|at| at > left_at + 0.5));
        }
    }
    say(&format!(
        "callers that left: {}; requests without a success of those that stayed: {unanswered}",
        left.len()
    ));
    say(&format!(
        "requests that reached a worker over 0.5 s after their caller had left: {late}"
    ));
    say(&format!(
        "requests at work 0.5 s after their caller had left: {working} of {lasting} that would have lasted so long"
    ));
    verdict("GONE", late > 5 || working * 4 > lasting);
}
