//! A worker's first heartbeat is late, and arrives after the worker's departure was acknowledged.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, wait};
use crate::http::{self, Framing};
use crate::record::Record;
use crate::worker::Worker;

/// Delay of the late heartbeat: "A heartbeat may arrive seconds late."
const DELAY: Duration = Duration::from_secs(3);
/// Time from the start of the worker until it is told to leave; it has no acknowledgement by then.
const LIFE: Duration = Duration::from_millis(500);
/// The bound `drain-s` of the deployment.
const DRAIN: Duration = Duration::from_secs(2);
/// How long the worker serves after its departure was acknowledged. The pages: `drain-s` and "at times many seconds".
const SERVES: Duration = Duration::from_secs(9);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

const DOCUMENT: &str = r#"{"version":"00000001","base-version":"00000000","routes":[
{"name":"r-1","host":"a.example","path-prefix":"/p/","kind":"safe","timeout-s":2,"target-latency-s":0.5,"priority":0,"service":"s1","max-attempts":2}],
"services":[{"name":"s1","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":3,"idle-timeout-s":15}}"#;

/// Network path to a control instance that delivers one call `delay` after it was sent.
fn slow_path(
    control: SocketAddr,
    at: SocketAddr,
    delay: Duration,
    record: &Arc<Record>,
) -> SocketAddr {
    let listener = TcpListener::bind(at).expect("bind the path");
    let address = listener.local_addr().expect("own address");
    let record = Arc::clone(record);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let Ok(mut answer_to) = socket.try_clone() else {
                continue;
            };
            let Ok(call) = http::read(&mut BufReader::new(socket), false) else {
                continue;
            };
            thread::sleep(delay);
            let start = format!("{} {}", call.method(), call.path());
            let host = control.to_string();
            let headers = [
                ("Host", host.as_str()),
                ("Content-Type", "application/json"),
            ];
            let limit = Duration::from_secs(5);
            let answer = http::call(
                control,
                &start,
                &headers,
                &call.body,
                Framing::Length,
                limit,
            );
            let status = answer.map_or(0, |a| a.status());
            record.line(&format!(
                "the delayed {start} is delivered at {control}: {status}"
            ));
            let _ = write!(
                answer_to,
                "HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n"
            );
        }
    });
    address
}

/// Sends requests through all entries until `end`.
fn send_requests(fleet: &Fleet, end: Instant, record: &Arc<Record>) -> Vec<thread::JoinHandle<()>> {
    let fronts: Vec<_> = fleet.machines.iter().map(|m| m.front()).collect();
    let client = |(client, front): (usize, SocketAddr)| {
        let record = Arc::clone(record);
        thread::spawn(move || {
            for number in 0.. {
                if Instant::now() >= end {
                    return;
                }
                let id = format!("c{client}-{number}");
                let headers = [
                    ("Host", "a.example"),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "2000"),
                ];
                let limit = Duration::from_secs(3);
                record.line(&format!("request {id} is sent to {front}"));
                let answer = http::call(front, "GET /p/x", &headers, b"", Framing::Length, limit);
                let status = answer.map_or(0, |a| a.status());
                record.line(&format!("request {id} is answered {status}"));
                thread::sleep(REQUEST_INTERVAL);
            }
        })
    };
    fronts.into_iter().enumerate().map(client).collect()
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let Some(fleet) = Fleet::start(DOCUMENT, record) else {
        return Verdict::NotRun;
    };
    let controls = fleet.controls();
    let address = |port| SocketAddr::new(fleet.other_ip.into(), port);
    let work = Duration::from_millis(50);
    let start = |id: &str, zone: &str| Worker::start(id, "s1", zone, address(0), work, record);
    let steady = [start("i-steady1", "barre"), start("i-steady2", "keene")];
    for worker in &steady {
        let (worker, controls) = (Arc::clone(worker), controls.clone());
        thread::spawn(move || {
            loop {
                worker.announce(&controls);
                thread::sleep(Duration::from_millis(1500));
            }
        });
    }
    let front = fleet.machines[0].front();
    let served = || {
        let headers = [
            ("Host", "a.example"),
            ("X-Request-Id", "first"),
            ("X-Deadline-Ms", "2000"),
        ];
        let answer = http::call(
            front,
            "GET /p/x",
            &headers,
            b"",
            Framing::Length,
            Duration::from_secs(3),
        );
        answer.is_ok_and(|a| a.status() == 200)
    };
    if wait("a request is served", record, served).is_none() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let clients = send_requests(&fleet, Instant::now() + Duration::from_secs(14), record);
    thread::sleep(Duration::from_secs(1));

    let brief = start("i-brief", "greenfield");
    let delay = if trouble { DELAY } else { Duration::ZERO };
    let path = slow_path(controls[0], address(0), delay, record);
    let first_heartbeat = {
        let brief = Arc::clone(&brief);
        thread::spawn(move || {
            let mut socket = TcpStream::connect(path).expect("connect to the path");
            let body = brief.heartbeat("ready");
            let target = format!("PUT /v1/instances/{}", brief.id);
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            http::write_request(
                &mut socket,
                &target,
                &headers,
                body.as_bytes(),
                Framing::Length,
            )
            .expect("send the heartbeat");
            socket
        })
    };
    record.line("worker i-brief sends its first heartbeat");
    // The worker gives the call up when it is told to leave; the bytes stay on their way.
    let in_transit = first_heartbeat.join();
    thread::sleep(LIFE);
    record.line("worker i-brief is told to leave");
    if !brief.depart(controls[1]) {
        record.line("the departure was not acknowledged");
        return Verdict::NotRun;
    }
    let acknowledged = record.now();
    thread::sleep(SERVES);
    brief.end();
    drop(in_transit);
    for client in clients {
        let _ = client.join();
    }
    let runs = record.runs();
    let of_brief = || runs.iter().filter(|run| run.worker == brief.id);
    let late = of_brief()
        .filter(|run| run.at > acknowledged + DRAIN)
        .count();
    record.line(&format!(
        "departure acknowledged at {:.3} s; requests at i-brief: {}, later than drain-s (2 s) after that: {late}; at the others: {}",
        acknowledged.as_secs_f64(),
        of_brief().count(),
        runs.len() - of_brief().count()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
