//! Reservations that a coordinator made for this entry, and the reports of their outcomes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_routing::schedule::Outcome;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::instance::Instance;

/// How long reports are collected before they are sent in one message.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of reports in one message.
const MAX_BATCH_REPORTS: usize = 64;
/// Maximum number of reports that wait to be sent: several seconds' worth at the highest rate.
pub const MAX_QUEUED_REPORTS: usize = 1_024;
/// Timeout of a call that delivers reports to a coordinator.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Path at which a coordinator receives reports.
pub const PATH: &str = "gateway/report";

/// Outcome of a reservation, sent to the coordinator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Id of the reservation at the coordinator.
    pub reservation: u64,
    outcome: ReportedOutcome,
    /// Number of requests at the worker, if the worker reported it.
    pub load: Option<u32>,
    /// Whether the attempt was started, so that its budget is used.
    pub is_used: bool,
}

impl Report {
    /// Returns the outcome of the attempt.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome.into()
    }
}

/// The part of [`Outcome`] that applies to other entries as well.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum ReportedOutcome {
    Success,
    Failure,
    Shed,
    Gone,
    /// The attempt provides no evidence about the worker.
    NoEvidence,
}

impl From<Outcome> for ReportedOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::Success,
            Outcome::Failure => Self::Failure,
            Outcome::Shed => Self::Shed,
            Outcome::Gone => Self::Gone,
            // This entry's network path to the worker says nothing about the paths of others.
            Outcome::Unreachable | Outcome::Cancelled => Self::NoEvidence,
        }
    }
}

impl From<ReportedOutcome> for Outcome {
    fn from(outcome: ReportedOutcome) -> Self {
        match outcome {
            ReportedOutcome::Success => Self::Success,
            ReportedOutcome::Failure => Self::Failure,
            ReportedOutcome::Shed => Self::Shed,
            ReportedOutcome::Gone => Self::Gone,
            ReportedOutcome::NoEvidence => Self::Cancelled,
        }
    }
}

/// Queue of reports, each with the address of its coordinator.
pub type ReportSender = mpsc::Sender<(SocketAddr, Report)>;

/// A reservation that a coordinator made for this entry. Dropping it reports the outcome.
#[derive(Debug)]
pub struct RemoteReservation {
    coordinator: SocketAddr,
    id: u64,
    reports: ReportSender,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Number of requests at the worker, if the worker reported it.
    pub load: Option<u32>,
    /// Whether the attempt was started, so that its budget is used.
    pub is_used: bool,
}

impl RemoteReservation {
    /// Creates the reservation that `coordinator` made under `id`. Its outcome is sent to `reports`.
    #[must_use]
    pub fn new(coordinator: SocketAddr, id: u64, reports: ReportSender) -> Self {
        Self {
            coordinator,
            id,
            reports,
            outcome: Outcome::Cancelled,
            load: None,
            is_used: false,
        }
    }
}

impl Drop for RemoteReservation {
    fn drop(&mut self) {
        let report = Report {
            reservation: self.id,
            outcome: self.outcome.into(),
            load: self.load,
            is_used: self.is_used,
        };
        if self.reports.try_send((self.coordinator, report)).is_err() {
            spdlog::debug!(
                "dropped the outcome report of reservation {}: the queue is full",
                self.id
            );
        }
    }
}

/// Sends queued reports to their coordinators until dropped.
pub async fn forward(instance: Arc<Instance>, mut reports: mpsc::Receiver<(SocketAddr, Report)>) {
    let mut batch = Vec::new();
    while reports.recv_many(&mut batch, MAX_BATCH_REPORTS).await > 0 {
        sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH_REPORTS
            && let Ok(more) = reports.try_recv()
        {
            batch.push(more);
        }
        let mut messages: HashMap<SocketAddr, Vec<Report>> = HashMap::new();
        for (coordinator, report) in batch.drain(..) {
            messages.entry(coordinator).or_default().push(report);
        }
        for (coordinator, message) in messages {
            let client = instance.peers.client(coordinator);
            tokio::spawn(async move {
                let sent = client.call::<_, ()>(PATH, &message, REPORT_TIMEOUT).await;
                if let Err(error) = sent {
                    spdlog::debug!("sending reports to coordinator {coordinator} failed: {error}");
                }
            });
        }
    }
}
