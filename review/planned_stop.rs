//! Entries are stopped and started in turn while clients send further requests before the first one is answered.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, wait};
use crate::http::{self, Framing};
use crate::record::Record;
use crate::worker::Worker;

const TIME: Duration = Duration::from_secs(40);
const CLIENTS: usize = 12;
/// Requests that a client sends one behind the other, and the pause between them.
const PIPELINED: usize = 3;
const PAUSE: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(200);
const ANSWER_BYTES: usize = 400_000;
/// The link of a client: 16 kB in 4 ms, or 4 MB/s.
const READ_BYTES: usize = 16 * 1024;
const READ_INTERVAL: Duration = Duration::from_millis(4);
/// The bound `grace-s`.
const GRACE: Duration = Duration::from_secs(6);

const DOCUMENT: &str = r#"{"version":"00000001","base-version":"00000000","routes":[
{"name":"r-1","host":"a.example","path-prefix":"/p/","kind":"safe","timeout-s":4,"target-latency-s":0.8,"priority":0,"service":"s1","max-attempts":2}],
"services":[{"name":"s1","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":3,"idle-timeout-s":15}}"#;

/// A request that got the start of an answer or none before its connection ended.
struct Cut {
    id: String,
    front: SocketAddr,
    sent: Duration,
    ended: Duration,
    bytes: usize,
    cause: String,
}

/// Reads one answer slowly. Returns whether the connection stays open, or the number of bytes and the error.
fn read_answer(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<bool, (usize, String)> {
    let mut part = vec![0; READ_BYTES];
    loop {
        if let Some(head) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..head]).to_ascii_lowercase();
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
            let length: usize = length.unwrap_or_default();
            if buffer.len() >= head + 4 + length {
                buffer.drain(..head + 4 + length);
                return Ok(!text.contains("connection: close"));
            }
        }
        match socket.read(&mut part) {
            Ok(0) => return Err((buffer.len(), "closed".to_owned())),
            Ok(count) => buffer.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err((buffer.len(), error.to_string())),
        }
        thread::sleep(READ_INTERVAL);
    }
}

struct Client {
    number: usize,
    fronts: Vec<SocketAddr>,
    end: Instant,
    record: Arc<Record>,
    answered: Arc<AtomicUsize>,
    cuts: Arc<Mutex<Vec<Cut>>>,
}

impl Client {
    fn run(&self) {
        let mut next = 0;
        let mut at = self.number;
        while Instant::now() < self.end {
            at += 1;
            let front = self.fronts[at % self.fronts.len()];
            let Ok(socket) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let _ = socket.set_nodelay(true);
            let _ = socket.set_read_timeout(Some(Duration::from_secs(5)));
            self.use_connection(socket, front, &mut next);
        }
    }

    /// Sends groups of requests until the connection ends.
    fn use_connection(&self, mut socket: TcpStream, front: SocketAddr, next: &mut usize) {
        let mut buffer = Vec::new();
        while Instant::now() < self.end {
            let mut group = Vec::new();
            let Ok(mut sending) = socket.try_clone() else {
                return;
            };
            for number in 0..PIPELINED {
                let id = format!("c{}-{}", self.number, *next);
                *next += 1;
                let headers = [
                    ("Host", "a.example"),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "4000"),
                ];
                let sent =
                    http::write_request(&mut sending, "GET /p/x", &headers, b"", Framing::Length);
                group.push((id, self.record.now()));
                if sent.is_err() {
                    break;
                }
                if number + 1 < PIPELINED {
                    thread::sleep(PAUSE);
                }
            }
            for (id, sent) in group {
                match read_answer(&mut socket, &mut buffer) {
                    Ok(stays) => {
                        self.answered.fetch_add(1, Ordering::SeqCst);
                        self.record
                            .line(&format!("request {id} at {front} is answered"));
                        if !stays {
                            return;
                        }
                    }
                    Err((bytes, cause)) => {
                        let ended = self.record.now();
                        self.record.line(&format!(
                            "the connection of request {id} at {front} ends after {bytes} bytes of its answer: {cause}"
                        ));
                        let cut = Cut {
                            id,
                            front,
                            sent,
                            ended,
                            bytes,
                            cause,
                        };
                        self.cuts.lock().expect("lock the cuts").push(cut);
                        return;
                    }
                }
            }
            thread::sleep(PAUSE);
        }
    }
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let Some(mut fleet) = Fleet::start(DOCUMENT, record) else {
        return Verdict::NotRun;
    };
    let controls = fleet.controls();
    let address = SocketAddr::new(fleet.other_ip.into(), 0);
    for number in 0..12 {
        let zone = ["barre", "keene", "greenfield"][number % 3];
        let worker = Worker::start(&format!("i-{number}"), "s1", zone, address, WORK, record);
        if wait("the worker is registered", record, || {
            worker.announce(&controls)
        })
        .is_none()
        {
            return Verdict::NotRun;
        }
        worker.set_answer_bytes(ANSWER_BYTES);
    }
    let fronts: Vec<_> = fleet.machines.iter().map(|m| m.front()).collect();
    let headers = [
        ("Host", "a.example"),
        ("X-Request-Id", "first"),
        ("X-Deadline-Ms", "4000"),
    ];
    let served = |front| {
        let limit = Duration::from_secs(5);
        let answer = http::call(front, "GET /p/x", &headers, b"", Framing::Length, limit);
        answer.is_ok_and(|a| a.status() == 200)
    };
    for front in &fronts {
        if wait("a request is served", record, || served(*front)).is_none() {
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(2));
    let end = Instant::now() + TIME;
    let (answered, cuts) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                number,
                fronts: fronts.clone(),
                end,
                record: Arc::clone(record),
                answered: Arc::clone(&answered),
                cuts: Arc::clone(&cuts),
            };
            thread::spawn(move || client.run())
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut stops = Vec::new();
    for number in [0, 1, 2] {
        if !trouble {
            break;
        }
        let at = record.now();
        record.line(&format!("SIGTERM to the entry at {}", fronts[number]));
        fleet.machines[number].stop_entry(GRACE);
        record.line(&format!(
            "the entry at {} has ended and is started again",
            fronts[number]
        ));
        stops.push((fronts[number], at, record.now()));
        fleet.machines[number].start_entry(&controls);
        thread::sleep(Duration::from_secs(5));
    }
    for client in clients {
        let _ = client.join();
    }
    let runs = record.runs();
    let mut lost = 0;
    for cut in cuts.lock().expect("lock the cuts").iter() {
        // Passed on, and the worker was done long before the last sixth of `grace-s`.
        let run = runs.iter().find(|run| run.request == cut.id);
        let done = run.map(|run| run.at + WORK);
        let stop = stops.iter().find(|(front, at, _)| {
            *front == cut.front
                && cut.sent < *at + GRACE
                && cut.ended > *at
                && cut.ended < *at + GRACE
        });
        let (Some(done), Some((_, at, _))) = (done, stop) else {
            continue;
        };
        if done < *at + GRACE.mul_f64(5.0 / 6.0)
            && done < cut.ended
            && cut.ended < cut.sent + Duration::from_secs(3)
        {
            lost += 1;
            record.line(&format!(
                "lost: request {}, sent at {:.3} s, run and ended at {:.3} s, got {} of {ANSWER_BYTES} bytes by {:.3} s ({})",
                cut.id,
                cut.sent.as_secs_f64(),
                done.as_secs_f64(),
                cut.bytes,
                cut.ended.as_secs_f64(),
                cut.cause
            ));
        }
    }
    record.line(&format!(
        "requests answered: {}; passed on and not answered in whole around a planned stop: {lost}",
        answered.load(Ordering::SeqCst)
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
