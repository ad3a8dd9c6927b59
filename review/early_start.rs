//! Workers that end as planned and start again under their ids while the clocks of their machines are behind.

#[path = "support_3.rs"]
mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::{
    FRONT_PORT, Fleet, Record, SMALL_BOUNDS, WORKER_PORT, Worker, call, trouble, unix_ms,
};

const WORKERS: u8 = 4;
/// Workers that are restarted, and whose machines' clocks jump.
const RESTARTED: u8 = 2;
const SLOTS: u32 = 2;
const WORK: Duration = Duration::from_millis(100);
/// Jump of the clock, in milliseconds: the default of `clock_step`. It lasts 5 s, from 4 s on.
const STEP_MS: u64 = 2_000;
/// When the workers begin to drain, when their clocks are right again, and the time that is judged.
const DRAIN_AT: Duration = Duration::from_secs(5);
const CLOCK_RIGHT_AT: Duration = Duration::from_secs(9);
const JUDGED: (Duration, Duration) = (Duration::from_secs(18), Duration::from_secs(30));
/// Requests per second: two thirds of what four workers can do.
const RATE: f64 = 54.0;
const WINDOW: Duration = Duration::from_secs(2);
const FLOOR_SHARE: f64 = 0.7;

const DOCUMENT: &str = r#"{"version":"00000001","base-version":"00000000","routes":[
{"name":"r-1","host":"a.example","path-prefix":"/p/","kind":"safe","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"resultdesk","max-attempts":2}],
"services":[{"name":"resultdesk","health-path":"/healthz","max-connections":450,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

/// One request: when it was sent, and whether it was served.
type Outcome = (Duration, bool);
/// One run: when it began, and at which worker.
type Run = (Duration, u8);

fn main() {
    let record = Record::create();
    let code = match run(&record) {
        Ok(broken) => i32::from(broken),
        Err(cause) => {
            record.note(&format!("could not run: {cause}"));
            2
        }
    };
    record.note(&format!("exit {code}"));
    std::process::exit(code);
}

fn start_worker(
    number: u8,
    fleet: &Fleet,
    born: u64,
    record: &Arc<Record>,
    since: Instant,
    runs: &Arc<Mutex<Vec<Run>>>,
) -> Result<Arc<Worker>, String> {
    let address = SocketAddr::new(fleet.ip(100 + number).into(), WORKER_PORT);
    let zone = ["barre", "keene", "greenfield"][usize::from(number) % 3];
    let runs = Arc::clone(runs);
    Worker::start(
        (&format!("i-{number}"), "resultdesk", address),
        (zone, SLOTS, born),
        &fleet.controls(),
        record,
        move |_| {
            runs.lock().unwrap().push((since.elapsed(), number));
            WORK
        },
    )
    .map_err(|e| e.to_string())
}

fn run(record: &Arc<Record>) -> Result<bool, String> {
    let mut fleet = Fleet::new(SMALL_BOUNDS);
    for zone in ["barre", "keene", "greenfield"] {
        fleet.add(zone, true, 1000.0);
    }
    fleet.start().map_err(|e| e.to_string())?;
    let status = fleet.put_config(DOCUMENT, Duration::from_secs(20))?;
    record.note(&format!("configuration -> {status}"));
    fleet.wait_ready(Duration::from_secs(20))?;
    let since = Instant::now();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        workers.push(start_worker(
            number,
            &fleet,
            unix_ms(),
            record,
            since,
            &runs,
        )?);
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = fleet
        .machines
        .iter()
        .map(|m| m.address(FRONT_PORT))
        .collect();
    let traffic = {
        let (outcomes, ended, record) = (
            Arc::clone(&outcomes),
            Arc::clone(&ended),
            Arc::clone(record),
        );
        thread::spawn(move || {
            let start = Instant::now() + Duration::from_secs(1);
            for number in 0.. {
                let at = start + Duration::from_secs_f64(f64::from(number) / RATE);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let front = fronts[number as usize % fronts.len()];
                let (outcomes, record) = (Arc::clone(&outcomes), Arc::clone(&record));
                thread::spawn(move || {
                    let sent = since.elapsed();
                    let id = format!("q-{number}");
                    let headers = [
                        ("Host", "a.example"),
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Ms", "2000"),
                    ];
                    let answer = call(front, "GET", "/p/x", &headers, b"", Duration::from_secs(2));
                    let status = answer.map_or_else(|e| e, |r| r.status.to_string());
                    record.note(&format!(
                        "client gets {status} for {id}, sent {:.3}",
                        sent.as_secs_f64()
                    ));
                    outcomes.lock().unwrap().push((sent, status == "200"));
                });
            }
        })
    };
    thread::sleep(DRAIN_AT.saturating_sub(since.elapsed()));
    for worker in workers.iter().take(RESTARTED.into()) {
        if !worker.drain() {
            return Err("draining was not acknowledged".into());
        }
    }
    thread::sleep(Duration::from_millis(2_500));
    for worker in workers.iter().take(RESTARTED.into()) {
        if !worker.depart() {
            return Err("a farewell was not acknowledged".into());
        }
        worker.stop();
    }
    thread::sleep(Duration::from_millis(600));
    let behind = if trouble() { STEP_MS } else { 0 };
    for number in 0..RESTARTED {
        let born = unix_ms() - behind;
        record.note(&format!(
            "i-{number} starts again; the clock of its machine is {behind} ms behind"
        ));
        workers.push(start_worker(number, &fleet, born, record, since, &runs)?);
    }
    record.note(&format!("the clocks are right again at {CLOCK_RIGHT_AT:?}"));
    thread::sleep(JUDGED.1.saturating_sub(since.elapsed()));
    ended.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(3));
    let (runs, mut outcomes) = (runs.lock().unwrap(), outcomes.lock().unwrap());
    outcomes.sort_unstable();
    let mut broken = 0;
    let mut windows = 0;
    let mut from = JUDGED.0;
    while from + WINDOW <= JUDGED.1 {
        let within = |at: Duration| at >= from && at < from + WINDOW;
        let used: BTreeSet<u8> = runs.iter().filter(|r| within(r.0)).map(|r| r.1).collect();
        let sent: Vec<_> = outcomes.iter().filter(|o| within(o.0)).collect();
        let unserved = sent.iter().filter(|o| !o.1).count();
        let (asked, share) = (sent.len(), used.len() as f64 / f64::from(WORKERS));
        let part = unserved as f64 / asked.max(1) as f64;
        let is_broken = share > 0.0 && share < FLOOR_SHARE && part > 0.1 && part < 0.5;
        record.note(&format!(
            "window from {:.1} s: {} of {WORKERS} workers get requests, {unserved} of {asked} requests aren't served{}",
            from.as_secs_f64(),
            used.len(),
            if is_broken { ": FLOOR" } else { "" }
        ));
        windows += 1;
        broken += i32::from(is_broken);
        from += WINDOW / 2;
    }
    record.note(&format!("{broken} of {windows} windows break the rule"));
    Ok(broken > 0)
}
