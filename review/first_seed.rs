//! The first seed of three machines is lost during the first start and replaced; the control group never forms.

#[path = "support_2.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use support::*;

/// Time until the empty machine starts, and from then on until the settings of the others name it (`seed-lag-s` is 3).
const REPLACED_AFTER: Duration = Duration::from_secs(2);
const SEED_LAG: Duration = Duration::from_secs(3);
/// Time for which the operator and the callers try.
const TIME: Duration = Duration::from_secs(60);

fn main() {
    begin(&std::env::args().nth(1).expect("path of the record"));
    let fleet = Fleet::prepare(4);
    let seeds: Vec<SocketAddr> = fleet.machines[..3].iter().map(Machine::control).collect();
    let start = |number: usize, seeds: &[SocketAddr]| {
        ["control", "entry"].map(|role| fleet.machines[number].start(role, seeds))
    };
    let first = start(0, &seeds);
    if has_trouble() {
        // The machine loses power for good before the others have met it.
        first.iter().for_each(|process| signal("-KILL", *process));
    }
    let others = [start(1, &seeds), start(2, &seeds)];
    let mut running = vec![0, 1, 2];
    if has_trouble() {
        thread::sleep(REPLACED_AFTER);
        running = vec![1, 2, 3];
        let seeds: Vec<SocketAddr> = fleet.machines[1..].iter().map(Machine::control).collect();
        start(3, &seeds);
        record(&format!(
            "an empty machine starts at {}",
            fleet.machines[3].ip
        ));
        thread::sleep(SEED_LAG);
        for (number, processes) in [(1, others[0]), (2, others[1])] {
            for (role, process) in ["control", "entry"].into_iter().zip(processes) {
                fleet.machines[number].write_settings(role, &seeds);
                signal("-HUP", process);
            }
        }
        record(&format!("the settings of all machines name {seeds:?}"));
    }
    let started = Instant::now();
    let arrivals: Arrivals = Arc::default();
    let workers: Vec<_> = (0..3)
        .map(|n| {
            Worker::start(
                &fleet,
                &format!("i-{n}"),
                "desk",
                2,
                Duration::from_millis(50),
                &arrivals,
            )
        })
        .collect();
    let (mut acknowledged_after, mut served, mut sent) = (None, 0, 0);
    while started.elapsed() < TIME && served < 20 {
        for number in &running {
            let machine = &fleet.machines[*number];
            if acknowledged_after.is_none() {
                let answer = call("PUT", machine.control(), "/v1/config", &document(1, 16_384));
                record(&format!("PUT /v1/config at {}: {answer:?}", machine.ip));
                if answer.is_some_and(|a| a.0 == 200) {
                    acknowledged_after = Some(started.elapsed());
                }
            }
            sent += 1;
            // An entry that has just been started may not listen yet.
            let status = Caller::try_connect(machine.front()).map_or(0, |mut caller| {
                caller.send(&format!(
                    "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q{sent}\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
                ));
                caller.answer().map_or(0, |(head, _)| head.status())
            });
            record(&format!("q{sent} at {}: answer {status}", machine.ip));
            served += usize::from(status == 200);
        }
        thread::sleep(Duration::from_millis(300));
    }
    let beats: u32 = workers
        .iter()
        .map(|w| w.acknowledged.load(std::sync::atomic::Ordering::Relaxed))
        .sum();
    say(&format!(
        "configuration acknowledged after: {acknowledged_after:?}; heartbeats acknowledged: {beats}; requests served: {served} of {sent}"
    ));
    verdict("Fault", acknowledged_after.is_none() && served == 0);
}
