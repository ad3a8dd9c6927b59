//! A configuration allows larger heads; connections that were open before refuse them.

#[path = "support_2.rs"]
mod support;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use support::*;

/// Kept connections of callers to each entry.
const CALLERS: usize = 10;
/// Limits on the head of a request before and after the change, and the size of the heads that callers send then.
const LIMIT_BEFORE: u32 = 16_384;
const LIMIT_AFTER: u32 = 65_536;
const HEAD_BYTES: usize = 24_000;
/// Bound of the deployment for a change to be in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

fn ask(caller: &mut Caller, id: &str, padding: usize) -> u16 {
    caller.send(&format!(
        "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nX-Context: {}\r\n\r\n",
        "c".repeat(padding)
    ));
    let status = caller.answer().map_or(0, |(head, _)| head.status());
    record(&format!(
        "{id}, head of {} bytes: answer {status}",
        padding + 120
    ));
    status
}

fn main() {
    begin(&std::env::args().nth(1).expect("path of the record"));
    let fleet = Fleet::start(&document(1, LIMIT_BEFORE));
    let arrivals: Arrivals = Arc::default();
    let workers: Vec<_> = (0..4)
        .map(|n| {
            Worker::start(
                &fleet,
                &format!("i-{n}"),
                "desk",
                2,
                Duration::from_millis(20),
                &arrivals,
            )
        })
        .collect();
    until("the workers", || {
        workers
            .iter()
            .all(|w| w.acknowledged.load(std::sync::atomic::Ordering::Relaxed) > 0)
    });
    thread::sleep(Duration::from_secs(1));
    let mut callers: Vec<Caller> = Vec::new();
    let (mut before, mut after, mut fresh, mut sent) = (0, 0, 0, 0);
    for machine in &fleet.machines {
        for number in 0..CALLERS {
            let mut caller = Caller::connect(machine.front());
            sent += 1;
            before += usize::from(
                ask(&mut caller, &format!("before-{}-{number}", machine.ip), 100) == 200,
            );
            callers.push(caller);
        }
    }
    if has_trouble() {
        fleet.publish(&document(2, LIMIT_AFTER));
    }
    // The connections stay in use, and the change has twice the time of the bound.
    thread::sleep(2 * CONFIG_APPLY);
    let padding = if has_trouble() { HEAD_BYTES } else { 8_000 };
    let mut refused = 0;
    for (number, caller) in callers.iter_mut().enumerate() {
        sent += 1;
        let status = ask(caller, &format!("after-{number}"), padding);
        after += usize::from(status == 200);
        refused += usize::from((400..500).contains(&status));
    }
    for machine in &fleet.machines {
        sent += 1;
        fresh += usize::from(
            ask(
                &mut Caller::connect(machine.front()),
                &format!("fresh-{}", machine.ip),
                padding,
            ) == 200,
        );
    }
    let all = callers.len();
    say(&format!(
        "kept connections served before the change: {before} of {all}; after it: {after} of {all}, refused with a 4xx: {refused}"
    ));
    say(&format!(
        "new connections served after the change: {fresh} of {}",
        fleet.machines.len()
    ));
    say(&format!(
        "proper requests refused with a 4xx: {refused}; the rule allows 5 and one in 500 of {sent}"
    ));
    verdict("DENIED", refused > 5 + sent / 500);
}
