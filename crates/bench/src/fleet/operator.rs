//! Operator actions over the documented HTTP interface: configuration changes, route tables and worker registrations.

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

const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one publication, after which the next control instance is tried.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Slots of a registered worker; equal to the default of a service.
const REGISTERED_SLOTS: u32 = 2;
const READ_TIMEOUT: Duration = Duration::from_secs(2);

impl Fleet {
    /// Makes the first change of the layout. Retries until there is a leader.
    pub(super) async fn apply_initial_edits(&self) -> Result<(), Error> {
        let edits = self.layout.edits.clone();
        until("the first change accepted", READY_TIMEOUT, async || {
            if edits.is_empty() {
                return self.config(self.controls[0].operators).await.map(drop);
            }
            self.change("first-change", &edits).await.ok().map(drop)
        })
        .await
    }

    /// Publishes routes at the first control instance. Retries until they are accepted, which needs a leader.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn publish(&self, publication: &Publication) -> Result<(), Error> {
        let body = serde_json::to_value(publication).map_err(|e| Error::Invalid(e.to_string()))?;
        self.post_until_accepted("/v1/routes", &body).await
    }

    /// Publishes routes at the first running control instance whose response is conclusive: anything but a server error.
    ///
    /// # Errors
    ///
    /// Returns an error if no response is conclusive. The routes may have been accepted nevertheless.
    pub async fn try_publish(&self, publication: &Publication) -> Result<Response, Error> {
        let body = serde_json::to_value(publication).map_err(|e| Error::Invalid(e.to_string()))?;
        let mut cause = String::from("no control instance runs");
        for control in self.controls.iter().filter(|c| c.is_running()) {
            let posted = self.http.post(
                control.operators,
                "/v1/routes",
                &body,
                Some(TOKEN),
                PUBLISH_TIMEOUT,
            );
            match posted.await {
                Ok(response) if !response.status.is_server_error() => return Ok(response),
                Ok(response) => cause = format!("{}: {}", response.status, response.json()),
                Err(error) => cause = error.to_string(),
            }
        }
        let what = format!("routes {}", publication.label);
        Err(Error::Http { what, cause })
    }

    /// Registers all workers with the control group, one after the other.
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

    /// Registers the worker at index `number` with the control group, or records that it is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn register_worker(&self, number: usize, leaving: bool) -> Result<(), Error> {
        let worker = &self.workers[number];
        let forwarder_address = self.links.get(&worker.name).map(Forwarder::address);
        let event = json!({"Announced": {
            "worker": worker.name, "incarnation": 1, "service": worker.service,
            "address": forwarder_address.unwrap_or(worker.address), "zone": self.layout.zone(0),
            "slots": REGISTERED_SLOTS, "warm_up_ms": 0, "leaving": leaving,
        }});
        self.post_until_accepted("/v1/workers", &event).await
    }

    async fn post_until_accepted(&self, path: &str, body: &Value) -> Result<(), Error> {
        let operators = self.controls[0].operators;
        until(&format!("{path} accepted"), READY_TIMEOUT, async || {
            let posted = self
                .http
                .post(operators, path, body, Some(TOKEN), CHANGE_TIMEOUT);
            let response = posted.await.ok()?;
            response.status.is_success().then_some(())
        })
        .await
    }

    /// Reads the version and the configuration document from one control instance. Returns `None` if it has no such response.
    pub async fn config(&self, operators: SocketAddr) -> Option<(Version, Document)> {
        let response = self
            .http
            .get(operators, "/v1/config", READ_TIMEOUT)
            .await
            .ok()?;
        let value = response.json();
        let version = serde_json::from_value(value.get("version")?.clone()).ok()?;
        let document = serde_json::from_value(value.get("document")?.clone()).ok()?;
        Some((version, document))
    }

    /// Sends a change to one control instance and returns its response, whatever the status.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub async fn propose(&self, operators: SocketAddr, change: &Change) -> Result<Response, Error> {
        let body = serde_json::to_value(change).map_err(|e| Error::Invalid(e.to_string()))?;
        self.http
            .post(operators, "/v1/changes", &body, Some(TOKEN), CHANGE_TIMEOUT)
            .await
    }

    /// Makes a change at the first running control instance that accepts it and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error if no control instance accepts the change. It may have been accepted nevertheless if a response was
    /// lost.
    pub async fn change(&self, id: &str, edits: &[Edit]) -> Result<Version, Error> {
        let mut cause = String::from("no control instance runs");
        for control in self.controls.iter().filter(|c| c.is_running()) {
            let Some((expected, _)) = self.config(control.operators).await else {
                cause = format!("{} returned no configuration", control.name);
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
                Ok(response) if response.status.is_success() => {
                    return version(&response.json()["version"]);
                }
                Ok(response) => cause = format!("{}: {}", response.status, response.json()),
                Err(error) => cause = error.to_string(),
            }
        }
        let what = format!("change {id}");
        Err(Error::Http { what, cause })
    }

    /// Waits until the version in force at all running entries is at least `version`.
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

    /// Returns the version in force at an entry, or `None` if it does not respond.
    pub async fn version_of(&self, entry: &super::Entry) -> Option<Version> {
        version(&self.entry_status(entry).await?["version"]).ok()
    }
}

/// Parses a version from its text or structured JSON form.
///
/// # Errors
///
/// Returns an error if the value has neither form.
pub fn version(value: &Value) -> Result<Version, Error> {
    if let Some(text) = value.as_str() {
        return text.parse().map_err(|e| Error::Invalid(format!("{e}")));
    }
    serde_json::from_value(value.clone()).map_err(|e| Error::Invalid(format!("version: {e}")))
}
