//! Drivers and stand-ins of the scripts in the case folders. Usage: `standins CASE RECORD`, in the root of the repository.
//! The environment variable `TROUBLE=0` leaves out the disruption.

mod chunked;
mod cut_upload;
mod first_start;
mod fleet;
mod http;
mod late_heartbeat;
mod other_bytes;
mod planned_stop;
mod record;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(Path::new(path)));
    let verdict = match case.as_str() {
        "late-heartbeat" => late_heartbeat::run(trouble, &record),
        "cut-upload" => cut_upload::run(trouble, false, &record),
        "cut-order" => cut_upload::run(trouble, true, &record),
        "chunked" => chunked::run(trouble, &record),
        "other-bytes" => other_bytes::run(trouble, &record),
        "planned-stop" => planned_stop::run(trouble, &record),
        "first-start" => first_start::run(trouble, &record),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
