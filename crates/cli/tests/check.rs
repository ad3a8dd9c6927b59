//! Command `routes check`: report, sources of the document in force, and exit codes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use chestnutvalve_cli::arguments::command;
use chestnutvalve_cli::http::Client;
use chestnutvalve_cli::{Error, check, output};
use chestnutvalve_entry::replay::MAX_REPLAY_BYTES;
use chestnutvalve_model::review::{MAX_REPEATED_BODY_BYTES, Report};
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

fn document(label: u64, base: u64) -> Value {
    json!({
        "label": label, "base": base,
        "routes": [{
            "name": "rations", "host": "desk.example", "prefix": "/rations/", "kind": "Idempotent",
            "timeout_ms": 2_000, "target_ms": 800, "rank": "top",
            "split": [{"service": "rationdesk", "weight": 1.0}], "attempts": 1,
        }],
        "services": {"rationdesk": {"health": "/healthz", "max_connections": 450}},
        "limits": {"head_bytes": 16_384, "body_bytes": 1_000_000, "head_ms": 3_000, "idle_ms": 15_000},
        "accounts": [{"customer": "farm", "keys": ["secret-1"], "rank": null, "limit": null}],
    })
}

/// Returns a document with warnings only.
fn with_warnings() -> Value {
    let mut next = document(2, 1);
    next["routes"][0]["attempts"] = json!(0);
    next["routes"][0]["timeout_ms"] = json!(700);
    next["accounts"][0]["keys"] = json!([]);
    next
}

fn with_errors() -> Value {
    let mut next = document(1, 3);
    next["routes"][0]["prefix"] = json!("rations");
    next["accounts"][0]["keys"] = json!(["secret-2", ""]);
    next
}

fn write(directory: &TempDir, name: &str, document: &Value) -> String {
    let path = directory.path().join(name);
    std::fs::write(&path, document.to_string()).unwrap();
    path.to_string_lossy().into_owned()
}

async fn review(arguments: &[&str]) -> Result<Report, Error> {
    let arguments = ["chestnutvalve", "routes", "check"].iter().chain(arguments);
    let matches = command().try_get_matches_from(arguments).unwrap();
    let client = Client::new(&matches).unwrap();
    let (_, routes) = matches.subcommand().unwrap();
    let (_, matches) = routes.subcommand().unwrap();
    check::review(&client, matches).await
}

/// Starts a stand-in for a control instance that sends one response.
fn respond(status: &'static str, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            socket.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        let length = body.len();
        write!(
            socket,
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .unwrap();
    });
    address
}

/// Guards against an output that leaves out a finding or a difference.
#[rstest]
#[case::sound("sound", &document(2, 1))]
#[case::warnings("warnings", &with_warnings())]
#[case::errors("errors", &with_errors())]
#[tokio::test]
async fn output_of_a_comparison(#[case] name: &str, #[case] next: &Value) {
    let directory = TempDir::new().unwrap();
    let current = write(&directory, "current", &document(1, 0));
    let next = write(&directory, "next", next);
    let report = review(&[&next, "--against", &current]).await.unwrap();
    let (text, json) = (
        check::render(&report),
        output::to_pretty_json(&report).unwrap(),
    );
    assert!(
        !text.contains("secret") && !json.contains("secret"),
        "{text}{json}"
    );
    insta::assert_snapshot!(format!("check_{name}_text"), text);
    insta::assert_snapshot!(format!("check_{name}_json"), json);
}

/// Guards against an exit code by which a script publishes a document with errors, or stops at a note.
#[rstest]
#[case::sound(&document(2, 1), false, 0)]
#[case::sound_strict(&document(2, 1), true, 0)]
#[case::warnings(&with_warnings(), false, 0)]
#[case::warnings_strict(&with_warnings(), true, 1)]
#[case::errors(&with_errors(), false, 2)]
#[case::errors_strict(&with_errors(), true, 2)]
#[tokio::test]
async fn exit_codes(#[case] next: &Value, #[case] strict: bool, #[case] expected: u8) {
    let directory = TempDir::new().unwrap();
    let next = write(&directory, "next", next);
    let report = review(&[&next, "--offline"]).await.unwrap();
    let code = check::conclude(&report, strict).map_or_else(|e| e.code(), |()| 0);
    assert_eq!(code, expected);
}

/// Guards against a comparison with anything but the document that the control instances confirm, and against a first
/// publication that can't be checked.
#[tokio::test]
async fn the_document_in_force_comes_from_control() {
    let directory = TempDir::new().unwrap();
    let next = write(&directory, "next", &document(2, 1));
    let control = respond("200 OK", document(1, 0).to_string()).to_string();
    let report = review(&[&next, "--control", &control]).await.unwrap();
    assert_eq!(report.differences, Some(Vec::new()));
    assert!(check::conclude(&report, true).is_ok());

    let first = write(&directory, "first", &document(1, 0));
    let missing = json!({"code": "not_found", "context": "no route document was published yet"});
    let control = respond("404 Not Found", missing.to_string()).to_string();
    let report = review(&[&first, "--control", &control]).await.unwrap();
    assert!(check::conclude(&report, true).is_ok(), "{report:?}");

    let refused = json!({"code": "unauthorized", "context": "no token"});
    let control = respond("401 Unauthorized", refused.to_string()).to_string();
    let error = review(&[&next, "--control", &control]).await.unwrap_err();
    assert_eq!(error.code(), 1, "{error}");
}

/// Guards against a key in the error for a document that can't be parsed.
#[tokio::test]
async fn a_parse_error_contains_no_key() {
    let directory = TempDir::new().unwrap();
    let mut invalid = document(2, 1);
    invalid["accounts"][0]["keys"] = json!("secret-1");
    let path = write(&directory, "invalid", &invalid);
    let next = write(&directory, "next", &document(2, 1));
    let control = respond("200 OK", invalid.to_string()).to_string();
    let cases: [(&[&str], u8); 3] = [
        (&[&path, "--offline"], 2),
        (&[&next, "--against", &path], 2),
        (&[&next, "--control", &control], 1),
    ];
    for (arguments, code) in cases {
        let error = review(arguments).await.unwrap_err();
        assert_eq!(error.code(), code, "{error}");
        assert!(!error.to_string().contains("secret"), "{error}");
    }
}

/// Guards against a bound in reports that differs from the one of entries.
#[test]
fn the_bound_of_repeated_bodies_is_that_of_entries() {
    assert_eq!(u64::try_from(MAX_REPLAY_BYTES), Ok(MAX_REPEATED_BODY_BYTES));
}
