//! Clients leave before they have sent their bodies, and workers turn long requests away before they have read the body.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, wait};
use crate::http::{self, Framing};
use crate::record::Record;
use crate::worker::Worker;

const TIME: Duration = Duration::from_secs(45);
const CLIENTS: usize = 9;
/// One request in five is that of a client that leaves. The largest share of `give_up` in the site file is 0.3.
const LEAVES_EACH: usize = 5;
const BODY_BYTES: usize = 20_000;
/// Time between the head and the body of a request.
const PAUSE: Duration = Duration::from_millis(30);
/// Three of five workers turn one long request in twenty away early (`garble`: share 0.6, x 0.05).
const EARLY_EACH: u32 = 20;

const DOCUMENT: &str = r#"{"version":"00000001","base-version":"00000000","routes":[
{"name":"r-1","host":"a.example","path-prefix":"/p/","kind":"safe","timeout-s":2,"target-latency-s":0.5,"priority":0,"service":"s1","max-attempts":3}],
"services":[{"name":"s1","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":3,"idle-timeout-s":15}}"#;

/// Sends a request with a long body. A client that leaves closes its connection before it has sent any of the body.
fn send_long(front: SocketAddr, id: &str, leaves: bool) -> std::io::Result<u16> {
    let mut socket = TcpStream::connect(front)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(Duration::from_secs(3)))?;
    let head = format!(
        "POST /p/query HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    socket.write_all(head.as_bytes())?;
    thread::sleep(PAUSE);
    if leaves {
        socket.shutdown(Shutdown::Both)?;
        return Ok(0);
    }
    socket.write_all(&vec![b'x'; BODY_BYTES])?;
    Ok(http::read(&mut BufReader::new(socket), true)?.status())
}

fn send_short(front: SocketAddr, id: &str) -> std::io::Result<u16> {
    let headers = [
        ("Host", "a.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "2000"),
    ];
    let limit = Duration::from_secs(3);
    let answer = http::call(front, "GET /p/short", &headers, b"", Framing::Length, limit)?;
    Ok(answer.status())
}

fn run_client(client: usize, front: SocketAddr, trouble: bool, end: Instant, record: &Record) {
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("c{client}-{number}");
        let position = number % LEAVES_EACH;
        let leaves = trouble && position == 0;
        let is_long = position < 2;
        let outcome = if is_long {
            send_long(front, &id, leaves)
        } else {
            send_short(front, &id)
        };
        let outcome = match outcome {
            Ok(0) => "its client left before it sent the body".to_owned(),
            Ok(status) => format!("answered {status}"),
            Err(error) => format!("not answered: {error}"),
        };
        let kind = if is_long { "long" } else { "short" };
        record.line(&format!("{kind} request {id} at {front}: {outcome}"));
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let Some(fleet) = Fleet::start(DOCUMENT, record) else {
        return Verdict::NotRun;
    };
    let controls = fleet.controls();
    let address = SocketAddr::new(fleet.other_ip.into(), 0);
    let zones = ["barre", "keene", "greenfield", "barre", "keene"];
    let start = |(number, zone): (usize, &&str)| {
        let (id, work) = (format!("i-{number}"), Duration::from_millis(10));
        let early = if number < 3 { EARLY_EACH } else { 0 };
        Worker::start_early(&id, "s1", zone, address, work, early, record)
    };
    let workers: Vec<_> = zones.iter().enumerate().map(start).collect();
    for worker in &workers {
        if wait("the worker is registered", record, || {
            worker.announce(&controls)
        })
        .is_none()
        {
            return Verdict::NotRun;
        }
    }
    let fronts: Vec<_> = fleet.machines.iter().map(|m| m.front()).collect();
    for front in &fronts {
        let served = || send_short(*front, "first").is_ok_and(|status| status == 200);
        if wait("a request is served", record, served).is_none() {
            return Verdict::NotRun;
        }
    }
    let end = Instant::now() + TIME;
    let client = |client: usize| {
        let (front, record) = (fronts[client % fronts.len()], Arc::clone(record));
        thread::spawn(move || run_client(client, front, trouble, end, &record))
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(3));
    let rests = record.rests();
    let other: Vec<_> = rests
        .iter()
        .filter(|(_, bytes)| bytes.iter().any(|b| *b != b'x'))
        .collect();
    record.line(&format!(
        "requests whose bodies were continued with bytes that their clients did not send: {}",
        other.len()
    ));
    if other.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
