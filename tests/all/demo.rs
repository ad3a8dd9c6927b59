//! Demo: the whole fleet in one process.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use chestnutvalve_bench::client::Http;
use chestnutvalve_bench::fleet::{Process, port, until};
use serde_json::Value;
use tempfile::TempDir;

const STATE_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Port offsets of the demo's listeners from its base port.
const OFFSETS: [u16; 5] = [1, 101, 201, 401, 501];

fn listener(base: u16, offset: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], base + offset))
}

fn free_base() -> u16 {
    for _ in 0..1_000 {
        let base = port::free().expect("a free port").port() - 1;
        let free = |offset: &u16| TcpListener::bind(listener(base, *offset)).is_ok();
        if OFFSETS.iter().all(free) {
            return base;
        }
    }
    panic!("no base port is free");
}

/// Guards against a demo that does not start, serve or stop, and against a burn-rate report without its entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn demo_serves_and_stops() {
    let folder = TempDir::new().expect("temporary directory");
    let base = free_base();
    let program = Path::new(env!("CARGO_BIN_EXE_chestnutvalve"));
    let arguments = ["demo", "--port-base", &base.to_string()].map(str::to_owned);
    let demo = Process::start(program, &arguments, folder.path(), "demo").expect("started");
    let http = Http::new();
    until("a request served", STATE_TIMEOUT, async || {
        let request = hyper::Request::get(format!("http://{}/hello", listener(base, 1)))
            .header("chestnutvalve-service", "example")
            .body(http_body_util::Full::default())
            .ok()?;
        let answer = http.send(request, REQUEST_TIMEOUT).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await
    .expect("served");
    let operators = listener(base, 501).to_string();
    let run = |arguments: &[&str]| -> Value {
        let output = Command::new(program)
            .args(["--control", &operators])
            .args(arguments)
            .output()
            .expect("run the command");
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        serde_json::from_slice(&output.stdout).expect("JSON")
    };
    let status = run(&["status", "--json"]);
    assert_eq!(status["entries"][0]["member"]["entry"], "e1");
    let report = run(&["burn", "--json"]);
    assert_eq!(report["unreachable"].as_array().map(Vec::len), Some(0));
    assert_eq!(report["lines"][0]["service"], "example");
    demo.terminate().expect("signalled");
    let ended = demo.wait_for_exit(STATE_TIMEOUT).await.expect("ended");
    assert_eq!(ended.code(), Some(0));
}
