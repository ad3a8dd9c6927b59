//! Announcement, renewal and withdrawal over the documented HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};

use super::{Worker, lock};
use crate::client::Http;

/// Time for an entry to answer an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next entry is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which an entry that did not answer is passed over.
const AVOID_TIME: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Response {
    token: String,
    home: SocketAddr,
    owners: Vec<SocketAddr>,
    renew_ms: u64,
}

#[derive(Default)]
struct Progress {
    token: Option<String>,
    owners: Vec<SocketAddr>,
    target: usize,
    avoided: Option<(SocketAddr, Instant)>,
}

/// Announces and renews until the task is aborted.
pub async fn run(worker: Arc<Worker>) {
    let seeds = worker.settings.entries.clone();
    if seeds.is_empty() {
        return;
    }
    let http = Http::new();
    let mut progress = Progress {
        // Workers start at different entries, so that one dead entry does not hold all of them up.
        target: usize::try_from(worker.settings.seed).unwrap_or(0),
        owners: seeds.clone(),
        ..Progress::default()
    };
    loop {
        if lock(&worker.fault).0.silent {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let address = progress.owners[progress.target % progress.owners.len()];
        let body = announcement(&worker, progress.token.as_deref());
        let answer = http
            .post(address, "/v1/workers", &body, None, ANSWER_TIMEOUT)
            .await;
        let answer = answer.ok().filter(|a| a.status.is_success());
        let answer = answer.and_then(|a| serde_json::from_slice::<Response>(&a.body).ok());
        let pause = match answer {
            Some(answer) => {
                lock(&worker.owners).clone_from(&answer.owners);
                let pause = Duration::from_millis(answer.renew_ms.clamp(50, 10_000));
                progress
                    .accept(address, answer)
                    .map_or(pause, |()| Duration::ZERO)
            }
            None => progress.refuse(address, &seeds),
        };
        tokio::time::sleep(pause).await;
    }
}

impl Progress {
    /// Takes over an answer; returns a value when the home owner has to be asked at once.
    fn accept(&mut self, address: SocketAddr, answer: Response) -> Option<()> {
        self.token = Some(answer.token);
        self.owners = answer.owners;
        if self.owners.is_empty() {
            self.owners.push(address);
        }
        let avoided = self
            .avoided
            .is_some_and(|(a, since)| a == answer.home && since.elapsed() < AVOID_TIME);
        let goal = if avoided { address } else { answer.home };
        let at = self.owners.iter().position(|o| *o == goal);
        self.target = at.unwrap_or_else(|| {
            self.owners.push(goal);
            self.owners.len() - 1
        });
        (goal != address).then_some(())
    }

    /// Moves to the next owner, or to the configured entries when no owner has answered.
    fn refuse(&mut self, address: SocketAddr, seeds: &[SocketAddr]) -> Duration {
        self.token = None;
        self.avoided = Some((address, Instant::now()));
        self.target += 1;
        if self.target.is_multiple_of(self.owners.len()) {
            let known = seeds.iter().filter(|s| !self.owners.contains(s));
            let known: Vec<_> = known.copied().collect();
            self.owners.extend(known);
        }
        RETRY_PAUSE
    }
}

fn announcement(worker: &Worker, token: Option<&str>) -> Value {
    let settings = &worker.settings;
    let mut body = json!({
        "service": settings.service, "worker": settings.worker,
        "incarnation": worker.incarnation, "address": worker.address,
        "zone": settings.zone, "slots": settings.slots, "load": worker.load(),
    });
    if let Some(token) = token {
        body["token"] = token.into();
    }
    body
}

/// Tells the owners of the service that the worker is leaving.
pub async fn withdraw(worker: &Worker) {
    if lock(&worker.fault).0.mute || worker.settings.entries.is_empty() {
        return;
    }
    let http = Http::new();
    let mut targets = lock(&worker.owners).clone();
    if targets.is_empty() {
        targets.clone_from(&worker.settings.entries);
    }
    let body = json!({
        "service": worker.settings.service, "worker": worker.settings.worker,
        "incarnation": worker.incarnation,
    });
    let calls = targets.iter().map(|t| {
        let (http, body) = (http.clone(), body.clone());
        async move {
            http.post(*t, "/v1/workers/withdraw", &body, None, ANSWER_TIMEOUT)
                .await
        }
    });
    futures_util::future::join_all(calls).await;
}
