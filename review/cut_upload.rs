//! Clients leave while their request bodies are on the way.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, wait};
use crate::http;
use crate::record::Record;
use crate::worker::Worker;

const REQUESTS: usize = 40;
/// Share of the clients that leave: one in five. The largest share of `give_up` in the site file is 0.3.
const LEAVES_EACH: usize = 5;
const BODY_BYTES: usize = 6_000;
/// Pause of a client in the middle of its body, in the two variants of the case.
const PAUSE: Duration = Duration::from_millis(100);
const SHORT_PAUSE: Duration = Duration::from_millis(20);

const DOCUMENT: &str = r#"{"version":"00000001","base-version":"00000000","routes":[
{"name":"r-1","host":"a.example","path-prefix":"/p/","kind":"KIND","timeout-s":3,"target-latency-s":0.5,"priority":0,"service":"s1","max-attempts":2}],
"services":[{"name":"s1","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":3,"idle-timeout-s":15}}"#;

fn chunks(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(500) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Sends one request in two parts; a client that leaves closes its connection after the first part.
fn send(
    front: SocketAddr,
    id: &str,
    body: &[u8],
    pause: Duration,
    leaves: bool,
) -> std::io::Result<u16> {
    let mut socket = TcpStream::connect(front)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(Duration::from_secs(4)))?;
    let head = format!(
        "POST /p/query HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let bytes = chunks(body);
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    socket.write_all(head.as_bytes())?;
    socket.write_all(first)?;
    thread::sleep(pause);
    if leaves {
        socket.shutdown(Shutdown::Both)?;
        return Ok(0);
    }
    socket.write_all(rest)?;
    Ok(http::read(&mut BufReader::new(socket), true)?.status())
}

/// Runs the case with requests that may be repeated, or, with `orders`, with requests that must not. In that variant every
/// second request is first turned away by a worker that is full and has not read the body.
pub fn run(trouble: bool, orders: bool, record: &Arc<Record>) -> Verdict {
    let (kind, pause, early) = if orders {
        ("unsafe", SHORT_PAUSE, 2)
    } else {
        ("safe", PAUSE, 0)
    };
    let Some(fleet) = Fleet::start(&DOCUMENT.replace("KIND", kind), record) else {
        return Verdict::NotRun;
    };
    let controls = fleet.controls();
    let address = SocketAddr::new(fleet.other_ip.into(), 0);
    let start = |number: usize| {
        let id = format!("i-{number}");
        let zone = ["barre", "keene", "greenfield"][number];
        Worker::start_early(
            &id,
            "s1",
            zone,
            address,
            Duration::from_millis(20),
            early,
            record,
        )
    };
    let workers: Vec<_> = (0..3).map(start).collect();
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
    let body = vec![b'x'; BODY_BYTES];
    for front in &fronts {
        let served =
            || send(*front, "first", &body, pause, false).is_ok_and(|status| status == 200);
        if wait("a request is served", record, served).is_none() {
            return Verdict::NotRun;
        }
    }
    let mut left = 0;
    for number in 0..REQUESTS {
        let leaves = trouble && number % LEAVES_EACH == 0;
        left += usize::from(leaves);
        let id = format!("c-{number}");
        let front = fronts[number % fronts.len()];
        let answer = send(front, &id, &body, pause, leaves);
        let outcome = match answer {
            Ok(0) => "its client left in the middle of the body".to_owned(),
            Ok(status) => format!("answered {status}"),
            Err(error) => format!("not answered: {error}"),
        };
        record.line(&format!(
            "request {id} at {front}, body of {BODY_BYTES} bytes in chunks: {outcome}"
        ));
    }
    thread::sleep(Duration::from_secs(4));
    let runs = record.runs();
    let changed: Vec<_> = runs
        .iter()
        .filter(|run| run.request.starts_with("c-") && run.body != body)
        .collect();
    for run in &changed {
        record.line(&format!(
            "worker {} ran {} with a body of {} of {BODY_BYTES} bytes",
            run.worker,
            run.request,
            run.body.len()
        ));
    }
    record.line(&format!(
        "requests: {REQUESTS}, of clients that left: {left}; runs with a changed body: {}",
        changed.len()
    ));
    if changed.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
