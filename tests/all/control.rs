//! Control daemon and operator commands, run as processes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use chestnutvalve_bench::fleet::port;
use rstest::rstest;
use tempfile::TempDir;

const START_TIMEOUT: Duration = Duration::from_secs(10);
const TOKEN: &str = "operators-token-1";

/// Single-member control instance, killed on drop.
struct Control {
    process: Child,
    operators: SocketAddr,
    directory: TempDir,
}

fn free_address() -> SocketAddr {
    port::free().expect("a free port")
}

impl Control {
    fn start() -> Self {
        let directory = TempDir::new().expect("temporary directory");
        let (peers, operators) = (free_address(), free_address());
        let path = |name: &str| directory.path().join(name);
        std::fs::write(path("token"), format!("{TOKEN}\n")).expect("token file");
        let settings = serde_json::json!({
            "control": "c1", "zone": "barre", "peers": peers, "operators": operators,
            "data": path("data"), "token_file": path("token"),
            "members": [{ "control": "c1", "peers": peers }], "log": "warn",
        });
        std::fs::write(path("c1.json"), settings.to_string()).expect("settings file");
        let process = Command::new(env!("CARGO_BIN_EXE_chestnutvalve-control"))
            .args(["--settings".as_ref(), path("c1.json").as_os_str()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("start the control daemon");
        let control = Self {
            process,
            operators,
            directory,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        while control.run(&["status", "--json"]).status.code() != Some(0) {
            assert!(
                Instant::now() < deadline,
                "the control daemon did not start"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        control
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_chestnutvalve"))
            .args(["--control", &self.operators.to_string()])
            .args(["--token-file".as_ref(), self.path("token").as_os_str()])
            .args(arguments)
            .output()
            .expect("run the command")
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn apply(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let by = ["config", "apply", "--author", "amy", "--reason", "test"];
        let output = self.run(&[&by, arguments].concat());
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).expect("text"))
    }

    /// Sends bytes and returns the response up to the end of the connection.
    fn send(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.operators).expect("connect");
        let limit = Some(Duration::from_secs(5));
        stream.set_read_timeout(limit).expect("set the timeout");
        // The daemon may close the connection before it has read all bytes.
        let _ = stream.write_all(bytes);
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }

    fn post(&self, token: &str, body: &str) -> String {
        let length = body.len();
        let head = format!(
            "POST /v1/changes HTTP/1.1\r\nhost: c1\r\nconnection: close\r\n\
             authorization: Bearer {token}\r\ncontent-length: {length}\r\n\r\n"
        );
        self.send(&[head.as_bytes(), body.as_bytes()].concat())
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Guards against operators who overwrite each other's changes, and against exit codes that scripts can't distinguish.
#[test]
fn exit_codes_of_apply() {
    let control = Control::start();
    let set = |ms: &str, expected: &str, id: &str| {
        let field = format!("timeout_ms={ms}");
        control.apply(&["--set", &field, "--expected", expected, "--change-id", id])
    };
    assert_eq!(set("1000", "0.0", "a").0, Some(0));
    assert_eq!(
        set("1000", "0.0", "a").0,
        Some(0),
        "a resend returns the first result"
    );
    let (code, text) = set("2000", "0.0", "b");
    assert_eq!(code, Some(3));
    assert!(text.contains(r#"~ defaults {"timeout_ms":1000}"#), "{text}");
    assert_eq!(control.apply(&["--set", "timeout_ms=1"]).0, Some(2));
    assert_eq!(control.apply(&["--set", "no_such_field=1"]).0, Some(2));
    let read = Command::new(env!("CARGO_BIN_EXE_chestnutvalve"))
        .args(["--control", &free_address().to_string(), "config", "show"])
        .output()
        .expect("run the command");
    assert_eq!(read.status.code(), Some(1));
}

/// Guards against a printed document that can't be applied unchanged, or resent after a lost response.
#[test]
fn document_round_trip() {
    let control = Control::start();
    assert_eq!(control.apply(&["--set", "timeout_ms=1000"]).0, Some(0));
    let shown = control.run(&["config", "show"]).stdout;
    let document = String::from_utf8(shown).expect("text");
    let file = control.path("document.jsonc");
    let edited = document.replace("\"timeout_ms\": 1000", "\"timeout_ms\": 1500 // slow links");
    std::fs::write(&file, &edited).expect("write the document");
    let file = file.to_str().expect("path as text");
    let first = control.apply(&[file, "--change-id", "doc"]);
    assert_eq!(first.0, Some(0), "{}", first.1);
    assert_eq!(control.apply(&["--set", "timeout_ms=3000"]).0, Some(0));
    assert_eq!(control.apply(&[file, "--change-id", "doc"]), first);
    assert_eq!(
        control.apply(&[file]).0,
        Some(3),
        "based on an older version"
    );
}

/// Guards against malformed changes that crash the daemon, and against changes accepted without the token.
#[rstest]
#[case::no_token("wrong-token-1234", "{}", "401", "unauthorized")]
#[case::prefix_of_token("operators-token", "{}", "401", "unauthorized")]
#[case::empty(TOKEN, "", "400", "bad_request")]
#[case::unknown_field(TOKEN, r#"{"id":"a","bogus":1}"#, "400", "bad_request")]
#[case::deep(TOKEN, &"[".repeat(1_000_000), "400", "bad_request")]
#[case::too_large(TOKEN, &" ".repeat(5_000_000), "413", "too_large")]
#[case::no_author(
    TOKEN,
    r#"{"id":"a","author":" ","reason":"r","expected":{"term":0,"revision":0},"edits":[]}"#,
    "422",
    "invalid_change"
)]
fn malformed_change(
    #[case] token: &str,
    #[case] body: &str,
    #[case] status: &str,
    #[case] code: &str,
) {
    let control = Control::start();
    let response = control.post(token, body);
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(
        response.contains(&format!("\"code\":\"{code}\"")),
        "{response}"
    );
    let status = control.run(&["status"]);
    assert_eq!(status.status.code(), Some(0), "the daemon still serves");
}

/// Guards against a daemon that crashes on other protocols or malformed requests.
#[test]
fn broken_requests() {
    let control = Control::start();
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(2_000_000));
    for bytes in [&b"\0\xff\xfe\r\n\r\n"[..], b"GET\r\n\r\n", long.as_bytes()] {
        let response = control.send(bytes);
        assert!(!response.starts_with("HTTP/1.1 2"), "{response}");
    }
    let get = |path: &str| {
        control.send(
            format!("GET {path} HTTP/1.1\r\nhost: c1\r\nconnection: close\r\n\r\n").as_bytes(),
        )
    };
    assert!(get("/v1/nothing").contains("not_found"));
    assert!(
        get("/v1/changes").contains("bad_request"),
        "the method is wrong"
    );
    assert!(get("/v1/history?limit=x").contains("bad_request"));
    assert!(get("/v1/changes/unknown").contains("not_found"));
    assert!(get("/v1/config").starts_with("HTTP/1.1 200"));
}

/// Guards against a single client that monopolizes the daemon.
#[test]
fn requests_are_limited() {
    let control = Control::start();
    let request = "GET /v1/history HTTP/1.1\r\nhost: c1\r\n\r\n".repeat(900);
    let last = "GET /v1/history HTTP/1.1\r\nhost: c1\r\nconnection: close\r\n\r\n";
    let responses = control.send(format!("{request}{last}").as_bytes());
    let refused = responses.matches("HTTP/1.1 503").count();
    let served = responses.matches("HTTP/1.1 200").count();
    assert!(
        refused > 0 && served > 0,
        "{served} served, {refused} refused"
    );
    assert!(responses.contains("overloaded"));
}

/// Guards against invalid settings that are detected only when they are used.
#[rstest]
#[case::unknown_field(r#"{"bogus": 1}"#, "bogus")]
#[case::no_members(r#"{"control":"c1","zone":"z","peers":"127.0.0.1:1","operators":"127.0.0.1:2","data":"d","token_file":"t","members":[]}"#, "members")]
#[case::bad_address(r#"{"control":"c1","zone":"z","peers":"localhost"}"#, "peers")]
#[case::same_address(r#"{"control":"c1","zone":"z","peers":"127.0.0.1:1","operators":"127.0.0.1:1","data":"d","token_file":"t","members":[{"control":"c1","peers":"127.0.0.1:1"}]}"#, "operators")]
#[case::no_token(r#"{"control":"c1","zone":"z","peers":"127.0.0.1:1","operators":"127.0.0.1:2","data":"d","token_file":"absent","members":[{"control":"c1","peers":"127.0.0.1:1"}]}"#, "token_file")]
fn wrong_settings(#[case] settings: &str, #[case] field: &str) {
    let directory = TempDir::new().expect("temporary directory");
    let file = directory.path().join("settings.json");
    std::fs::write(&file, settings).expect("settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutvalve-control"))
        .args(["--check".as_ref(), "--settings".as_ref(), file.as_os_str()])
        .output()
        .expect("run the daemon");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(field), "{text}");
}

/// Guards against a client that holds so many connections open that operators, or the log, get none.
#[test]
fn open_connections_are_limited() {
    let control = Control::start();
    let idle: Vec<TcpStream> = (0..300)
        .map(|_| TcpStream::connect(control.operators).expect("queued by the system"))
        .collect();
    let request = b"GET /v1/config HTTP/1.1\r\nhost: c1\r\n\r\n";
    let mut responded = 0;
    for mut stream in &idle {
        stream.write_all(request).expect("sent");
        let limit = Some(Duration::from_millis(50));
        stream.set_read_timeout(limit).expect("set the timeout");
        responded += usize::from(stream.read(&mut [0; 16]).is_ok_and(|n| n > 0));
    }
    assert!(responded <= 256, "{responded} connections are served");
    drop(idle);
    let deadline = Instant::now() + START_TIMEOUT;
    while control.run(&["config", "show"]).status.code() != Some(0) {
        assert!(
            Instant::now() < deadline,
            "no response after the connections were closed"
        );
    }
}

/// Guards against a published document that is not in force, is read back changed, or replaces a version that its author
/// has not seen.
#[test]
fn routes_are_published_and_read_back() {
    let control = Control::start();
    let publish = |label: u32, base: u32, service: &str| {
        let document = serde_json::json!({
            "label": label, "base": base,
            "routes": [{
                "name": "r1", "host": "a.example", "prefix": "/", "kind": "Once",
                "timeout_ms": 2_000, "target_ms": 800, "rank": "middle", "attempts": 1,
                "split": [{ "service": service, "weight": 1.0 }],
            }],
            "services": { "desk": { "health": "/healthz", "max_connections": 400 } },
            "limits": {
                "head_bytes": 16_384, "body_bytes": 65_536, "head_ms": 3_000, "idle_ms": 15_000,
            },
        });
        let path = control
            .directory
            .path()
            .join(format!("routes-{label}.json"));
        std::fs::write(&path, document.to_string()).unwrap();
        let output = control.run(&["routes", "publish", path.to_str().unwrap()]);
        println!("{}", String::from_utf8_lossy(&output.stderr));
        (output.status.code(), document)
    };
    let shown = || {
        let output = control.run(&["routes", "show"]);
        serde_json::from_slice::<serde_json::Value>(&output.stdout).ok()
    };
    assert_eq!(shown(), None);
    let (code, first) = publish(3, 0, "desk");
    assert_eq!((code, shown()), (Some(0), Some(first.clone())));
    assert_eq!(publish(4, 0, "desk").0, Some(3));
    assert_eq!(publish(4, 3, "unknown").0, Some(2));
    assert_eq!(publish(2, 3, "desk").0, Some(2));
    assert_eq!(shown(), Some(first.clone()));
    // A resend is acknowledged like the first request.
    assert_eq!(publish(3, 0, "desk").0, Some(0));
    assert_eq!(shown(), Some(first));
}

/// Guards against API keys that are shown without the operators' token, in the list of customers or in an error, and against
/// a token that is required to read a document without keys.
#[test]
fn customers_are_shown_without_their_keys() {
    let control = Control::start();
    let publish = |label: u32, accounts: &str| {
        let document = format!(
            r#"{{"label":{label},"base":{base},"routes":[],"services":{{}},"accounts":{accounts},
            "limits":{{"head_bytes":16384,"body_bytes":65536,"head_ms":3000,"idle_ms":15000}}}}"#,
            base = label - 1
        );
        let path = control.path(&format!("routes-{label}.json"));
        std::fs::write(&path, document).unwrap();
        let output = control.run(&["routes", "publish", path.to_str().unwrap()]);
        let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        (output.status.code(), text)
    };
    let read = || control.send(b"GET /v1/routes HTTP/1.1\r\nhost: c1\r\nconnection: close\r\n\r\n");
    let shown = |subcommand: &str| {
        let output = control.run(&["routes", subcommand]);
        assert!(output.status.success());
        String::from_utf8(output.stdout).unwrap()
    };
    assert_eq!(publish(1, "[]").0, Some(0));
    assert!(read().starts_with("HTTP/1.1 200"));
    assert_eq!(shown("customers"), "");
    let accounts = r#"[{"customer":"farm","keys":["secret-1","secret-2"],"limit":{"per_second":5.5,"burst":10}},
        {"customer":"co-op","keys":["secret-3"],"rank":"top"},{"customer":"guest"}]"#;
    assert_eq!(publish(2, accounts).0, Some(0));
    let refused = read();
    assert!(refused.starts_with("HTTP/1.1 401"), "{refused}");
    assert!(!refused.contains("secret"), "{refused}");
    assert!(shown("show").contains("secret-1"));
    insta::assert_snapshot!(shown("customers"));
    for contradictory in [
        r#"[{"customer":"a","keys":["secret"]},{"customer":"b","keys":["secret"]}]"#,
        r#"[{"customer":"a","keys":"secret"}]"#,
        r#"[{"customer":"secret /"}]"#,
        r#"["secret"]"#,
    ] {
        let (code, text) = publish(3, contradictory);
        assert_eq!(code, Some(2), "{text}");
        assert!(!text.contains("secret"), "{text}");
    }
    assert_eq!(publish(3, "[]").0, Some(0));
    assert!(read().starts_with("HTTP/1.1 200"));
}
