//! Record of what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A request that a worker began to run.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub worker: String,
    pub request: String,
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
    /// Request ids with bytes that a worker got where the rest of their bodies was due.
    rests: Mutex<Vec<(String, Vec<u8>)>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("create the record")),
            runs: Mutex::default(),
            rests: Mutex::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("lock the record");
        writeln!(file, "{at:8.3} s  {text}").expect("write the record");
    }

    pub fn run(&self, worker: &str, request: &str, method: &str, path: &str, body: &[u8]) {
        let run = Run {
            at: self.now(),
            worker: worker.to_owned(),
            request: request.to_owned(),
            method: method.to_owned(),
            path: path.to_owned(),
            body: body.to_vec(),
        };
        self.line(&format!(
            "worker {worker} runs request {request}: {method} {path}, body of {} bytes",
            body.len()
        ));
        self.runs.lock().expect("lock the runs").push(run);
    }

    pub fn rest_of_body(&self, worker: &str, request: &str, bytes: &[u8]) {
        let mut rests = self.rests.lock().expect("lock the rests");
        rests.push((request.to_owned(), bytes.to_vec()));
        let start = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
        self.line(&format!(
            "worker {worker} reads on and gets {} bytes as the body of request {request}: {start:?}",
            bytes.len()
        ));
    }

    pub fn rests(&self) -> Vec<(String, Vec<u8>)> {
        self.rests.lock().expect("lock the rests").clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock the runs").clone()
    }
}
