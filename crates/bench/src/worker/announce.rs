//! Announcement, renewal and withdrawal of a worker over the documented HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};

use super::{Worker, lock};
use crate::client::Http;

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next entry is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which an entry that did not respond is skipped as home owner.
const AVOID_DURATION: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Registration {
    token: String,
    home: SocketAddr,
    owners: Vec<SocketAddr>,
    renew_ms: u64,
}

#[derive(Default)]
struct Announcer {
    token: Option<String>,
    owners: Vec<SocketAddr>,
    next: usize,
    avoided: Option<(SocketAddr, Instant)>,
}

/// Announces the worker and renews the announcement until the task is aborted.
pub async fn run(worker: Arc<Worker>) {
    let seeds = worker.settings.entries.clone();
    if seeds.is_empty() {
        return;
    }
    let http = Http::new();
    let mut announcer = Announcer {
        // Workers start at different entries, so that one dead entry does not delay all of them.
        next: usize::try_from(worker.settings.seed).unwrap_or(0),
        owners: seeds.clone(),
        ..Announcer::default()
    };
    loop {
        if lock(&worker.fault).0.silent {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let address = announcer.owners[announcer.next % announcer.owners.len()];
        let body = announcement(&worker, announcer.token.as_deref());
        let response = http
            .post(address, "/v1/workers", &body, None, RESPONSE_TIMEOUT)
            .await;
        let response = response.ok().filter(|a| a.status.is_success());
        let response = response.and_then(|a| serde_json::from_slice::<Registration>(&a.body).ok());
        let delay = match response {
            Some(response) => {
                lock(&worker.owners).clone_from(&response.owners);
                let delay = Duration::from_millis(response.renew_ms.clamp(50, 10_000));
                announcer
                    .handle_registration(address, response)
                    .map_or(delay, |()| Duration::ZERO)
            }
            None => announcer.handle_failure(address, &seeds),
        };
        tokio::time::sleep(delay).await;
    }
}

impl Announcer {
    /// Handles a successful announcement. Returns `Some` if the home owner has to be contacted immediately.
    fn handle_registration(&mut self, address: SocketAddr, response: Registration) -> Option<()> {
        self.token = Some(response.token);
        self.owners = response.owners;
        if self.owners.is_empty() {
            self.owners.push(address);
        }
        let avoided = self
            .avoided
            .is_some_and(|(a, since)| a == response.home && since.elapsed() < AVOID_DURATION);
        let owner = if avoided { address } else { response.home };
        let at = self.owners.iter().position(|o| *o == owner);
        self.next = at.unwrap_or_else(|| {
            self.owners.push(owner);
            self.owners.len() - 1
        });
        (owner != address).then_some(())
    }

    /// Moves on to the next owner. Once all owners have failed, adds the configured entries.
    fn handle_failure(&mut self, address: SocketAddr, seeds: &[SocketAddr]) -> Duration {
        self.token = None;
        self.avoided = Some((address, Instant::now()));
        self.next += 1;
        if self.next.is_multiple_of(self.owners.len()) {
            let missing = seeds.iter().filter(|s| !self.owners.contains(s));
            let missing: Vec<_> = missing.copied().collect();
            self.owners.extend(missing);
        }
        RETRY_DELAY
    }
}

fn announcement(worker: &Worker, token: Option<&str>) -> Value {
    let settings = &worker.settings;
    let mut body = json!({
        "service": settings.service, "worker": settings.worker,
        "incarnation": worker.incarnation, "address": worker.address,
        "zone": settings.zone, "slots": settings.slots, "load": worker.requests_in_progress(),
    });
    if let Some(token) = token {
        body["token"] = token.into();
    }
    body
}

/// Withdraws the announcement at all owners of the service.
pub async fn withdraw(worker: &Worker) {
    if lock(&worker.fault).0.mute || worker.settings.entries.is_empty() {
        return;
    }
    let http = Http::new();
    let mut owners = lock(&worker.owners).clone();
    if owners.is_empty() {
        owners.clone_from(&worker.settings.entries);
    }
    let body = json!({
        "service": worker.settings.service, "worker": worker.settings.worker,
        "incarnation": worker.incarnation,
    });
    let requests = owners.iter().map(|t| {
        let (http, body) = (http.clone(), body.clone());
        async move {
            http.post(*t, "/v1/workers/withdraw", &body, None, RESPONSE_TIMEOUT)
                .await
        }
    });
    futures_util::future::join_all(requests).await;
}
