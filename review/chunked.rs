//! Requests whose bodies are sent in chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, wait};
use crate::http::{self, Framing};
use crate::record::Record;
use crate::worker::Worker;

const REQUESTS_PER_METHOD: usize = 5;
const BODY_BYTES: usize = 1_200;

const DOCUMENT: &str = r#"{"version":"00000001","base-version":"00000000","routes":[
{"name":"r-1","host":"a.example","path-prefix":"/p/","kind":"safe","timeout-s":2,"target-latency-s":0.5,"priority":0,"service":"s1","max-attempts":2}],
"services":[{"name":"s1","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":3,"idle-timeout-s":15}}"#;

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let Some(fleet) = Fleet::start(DOCUMENT, record) else {
        return Verdict::NotRun;
    };
    let controls = fleet.controls();
    let address = SocketAddr::new(fleet.other_ip.into(), 0);
    let worker = Worker::start(
        "i-1",
        "s1",
        "barre",
        address,
        Duration::from_millis(20),
        record,
    );
    if wait("the worker is registered", record, || {
        worker.announce(&controls)
    })
    .is_none()
    {
        return Verdict::NotRun;
    }
    let front = fleet.machines[0].front();
    let framing = if trouble {
        Framing::Chunks
    } else {
        Framing::Length
    };
    let send = |id: &str, method: &str, body: &[u8]| {
        let headers = [
            ("Host", "a.example"),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", "2000"),
        ];
        let start = format!("{method} /p/query?q=1");
        let answer = http::call(
            front,
            &start,
            &headers,
            body,
            framing,
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |a| a.status());
        record.line(&format!(
            "request {id}: {start} with a body of {} bytes is answered {status}",
            body.len()
        ));
        status
    };
    if wait("a request is served", record, || {
        send("first", "POST", b"x") == 200
    })
    .is_none()
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let mut changed = 0;
    for method in ["POST", "PUT", "DELETE", "GET"] {
        for number in 0..REQUESTS_PER_METHOD {
            let id = format!("{method}-{number}");
            let letter = b'a' + u8::try_from(number).expect("few requests");
            let body = vec![letter; BODY_BYTES];
            send(&id, method, &body);
            let runs = record.runs();
            let runs = runs.iter().filter(|run| run.request == id);
            let differing =
                runs.filter(|r| r.body != body || r.method != method || r.path != "/p/query?q=1");
            let differing = differing.count();
            if differing > 0 {
                record.line(&format!(
                    "request {id} ran with another method, path or body than it was sent with"
                ));
            }
            changed += differing;
        }
    }
    record.line(&format!("runs with a changed request: {changed}"));
    if changed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
