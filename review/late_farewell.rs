//! A worker that ends as planned and starts again under its id while one control machine stands still.

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

const WORKERS: u8 = 3;
const SLOTS: u32 = 2;
const WORK: Duration = Duration::from_millis(100);
/// Machine that stands still.
const FROZEN: usize = 0;
/// When the worker begins to drain, when the machine stands still, and the time that is judged.
const DRAIN_AT: Duration = Duration::from_secs(5);
const FREEZE_AT: Duration = Duration::from_secs(7);
const FREEZE: Duration = Duration::from_secs(4);
const JUDGED: (Duration, Duration) = (Duration::from_secs(19), Duration::from_secs(31));
/// Requests per second: seven eighths of what three workers can do.
const RATE: f64 = 52.0;
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
    if !workers[0].drain() {
        return Err("draining was not acknowledged".into());
    }
    thread::sleep(FREEZE_AT.saturating_sub(since.elapsed()));
    let is_frozen = trouble();
    if is_frozen {
        record.note(&format!(
            "machine {} stands still",
            fleet.machines[FROZEN].name
        ));
        fleet.machines[FROZEN].signal("control", "STOP")?;
        fleet.machines[FROZEN].signal("entry", "STOP")?;
    }
    thread::sleep(Duration::from_millis(500));
    if !workers[0].depart_at(FROZEN) {
        return Err("the farewell was not acknowledged".into());
    }
    workers[0].stop();
    thread::sleep(Duration::from_millis(600));
    record.note("i-0 starts again");
    workers.push(start_worker(0, &fleet, unix_ms(), record, since, &runs)?);
    thread::sleep((FREEZE_AT + FREEZE).saturating_sub(since.elapsed()));
    if is_frozen {
        fleet.machines[FROZEN].signal("control", "CONT")?;
        fleet.machines[FROZEN].signal("entry", "CONT")?;
        record.note(&format!("machine {} goes on", fleet.machines[FROZEN].name));
    }
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
