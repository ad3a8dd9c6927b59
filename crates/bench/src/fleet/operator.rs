//! What an operator does, over the documented HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_model::config::{Change, Document, Edit};
use chestnutvalve_model::routes::Publication;
use chestnutvalve_model::version::Version;
use serde_json::{Value, json};

use super::{Fleet, READY_TIMEOUT, TOKEN, until};
use crate::Error;
use crate::client::Response;
use crate::forward::Forwarder;

/// Time for a control instance to answer a change.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// Time for a control instance to answer a publication; the operator then asks the next one.
const PUBLISH_LIMIT: Duration = Duration::from_secs(1);
/// Slots of a registered worker, as in the default of a service.
const REGISTERED_SLOTS: u32 = 2;
/// Time for a control instance to answer a read.
const READ_LIMIT: Duration = Duration::from_secs(2);

impl Fleet {
    /// Makes the layout's first change, as soon as there is a leader.
    pub(super) async fn configure(&self) -> Result<(), Error> {
        let edits = self.layout.edits.clone();
        until("the first change accepted", READY_TIMEOUT, async || {
            if edits.is_empty() {
                return self.config(self.controls[0].operators).await.map(drop);
            }
            self.change("first-change", &edits).await.ok().map(drop)
        })
        .await
    }

    /// Publishes routes at the first control instance, as soon as there is a leader.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn publish(&self, publication: &Publication) -> Result<(), Error> {
        let body = serde_json::to_value(publication).map_err(|e| Error::Invalid(e.to_string()))?;
        self.post("/v1/routes", &body).await
    }

    /// Publishes routes at the first running control instance that gives a clear answer.
    ///
    /// # Errors
    ///
    /// Returns an error when none does; the routes may be accepted all the same.
    pub async fn try_publish(&self, publication: &Publication) -> Result<Response, Error> {
        let body = serde_json::to_value(publication).map_err(|e| Error::Invalid(e.to_string()))?;
        let mut cause = String::from("no control instance runs");
        for control in self.controls.iter().filter(|c| c.is_running()) {
            let posted = self.http.post(
                control.operators,
                "/v1/routes",
                &body,
                Some(TOKEN),
                PUBLISH_LIMIT,
            );
            match posted.await {
                Ok(answer) if !answer.status.is_server_error() => return Ok(answer),
                Ok(answer) => cause = format!("{}: {}", answer.status, answer.json()),
                Err(error) => cause = error.to_string(),
            }
        }
        let what = format!("routes {}", publication.label);
        Err(Error::Http { what, cause })
    }

    /// Registers all workers with the control group.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn register_workers(&self) -> Result<(), Error> {
        for number in 0..self.workers.len() {
            self.register_worker(number, false).await?;
        }
        Ok(())
    }

    /// Registers one worker with the control group, or that it is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn register_worker(&self, number: usize, leaving: bool) -> Result<(), Error> {
        let worker = &self.workers[number];
        let link = self.links.get(&worker.name).map(Forwarder::address);
        let event = json!({"Announced": {
            "worker": worker.name, "incarnation": 1, "service": worker.service,
            "address": link.unwrap_or(worker.address), "zone": self.layout.zone(0),
            "slots": REGISTERED_SLOTS, "warm_up_ms": 0, "leaving": leaving,
        }});
        self.post("/v1/workers", &event).await
    }

    async fn post(&self, path: &str, body: &Value) -> Result<(), Error> {
        let operators = self.controls[0].operators;
        until(&format!("{path} accepted"), READY_TIMEOUT, async || {
            let posted = self
                .http
                .post(operators, path, body, Some(TOKEN), CHANGE_LIMIT);
            let answer = posted.await.ok()?;
            answer.status.is_success().then_some(())
        })
        .await
    }

    /// Reads version and document from one control instance.
    pub async fn config(&self, operators: SocketAddr) -> Option<(Version, Document)> {
        let answer = self
            .http
            .get(operators, "/v1/config", READ_LIMIT)
            .await
            .ok()?;
        let value = answer.json();
        let version = serde_json::from_value(value.get("version")?.clone()).ok()?;
        let document = serde_json::from_value(value.get("document")?.clone()).ok()?;
        Some((version, document))
    }

    /// Sends a change to one control instance.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer.
    pub async fn propose(&self, operators: SocketAddr, change: &Change) -> Result<Response, Error> {
        let body = serde_json::to_value(change).map_err(|e| Error::Invalid(e.to_string()))?;
        self.http
            .post(operators, "/v1/changes", &body, Some(TOKEN), CHANGE_LIMIT)
            .await
    }

    /// Makes a change at the first running control instance that accepts it; returns its version.
    ///
    /// # Errors
    ///
    /// Returns an error when no control instance accepts the change.
    pub async fn change(&self, id: &str, edits: &[Edit]) -> Result<Version, Error> {
        let mut cause = String::from("no control instance runs");
        for control in self.controls.iter().filter(|c| c.is_running()) {
            let Some((expected, _)) = self.config(control.operators).await else {
                cause = format!("{} gives no configuration", control.name);
                continue;
            };
            let change = Change {
                id: id.to_owned(),
                author: "bench".into(),
                reason: "measurement".into(),
                expected,
                edits: edits.to_vec(),
            };
            match self.propose(control.operators, &change).await {
                Ok(answer) if answer.status.is_success() => {
                    return version(&answer.json()["version"]);
                }
                Ok(answer) => cause = format!("{}: {}", answer.status, answer.json()),
                Err(error) => cause = error.to_string(),
            }
        }
        let what = format!("change {id}");
        Err(Error::Http { what, cause })
    }

    /// Waits until all running entries have a version of at least `version` in force.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes longer than `limit`.
    pub async fn wait_in_force(&self, version: Version, limit: Duration) -> Result<(), Error> {
        let what = format!("version {version} in force at all entries");
        until(&what, limit, async || {
            for entry in self.entries.iter().filter(|e| e.is_running()) {
                if self.version_of(entry).await? < version {
                    return None;
                }
            }
            Some(())
        })
        .await
    }

    /// Returns the version that an entry has in force.
    pub async fn version_of(&self, entry: &super::Entry) -> Option<Version> {
        version(&self.entry_status(entry).await?["version"]).ok()
    }
}

/// Reads a version from JSON.
///
/// # Errors
///
/// Returns an error for anything else.
pub fn version(value: &Value) -> Result<Version, Error> {
    if let Some(text) = value.as_str() {
        return text.parse().map_err(|e| Error::Invalid(format!("{e}")));
    }
    serde_json::from_value(value.clone()).map_err(|e| Error::Invalid(format!("version: {e}")))
}
