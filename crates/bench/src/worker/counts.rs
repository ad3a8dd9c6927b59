//! Counts of a worker's executions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of distinct names in each table; further names are not counted. A run is expected to stay below.
const MAX_NAMES_PER_TABLE: usize = 1_000_000;

/// Counts since the start of a worker, served as JSON and printed at its exit.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that obtained a slot.
    pub executed: u64,
    /// Requests whose response body was produced completely, or that ended with an error response.
    pub finished: u64,
    /// Requests that were rejected with the statement that they were not executed.
    pub shed: u64,
    /// Requests that were dropped before their response was complete, for example because the caller disconnected.
    pub cancelled: u64,
    /// Requests that ended because their deadline passed; also counted as finished.
    pub expired: u64,
    /// Executions by `customer/idempotency key`.
    pub keys: BTreeMap<String, u32>,
    /// Executions by attempt id.
    pub attempts: BTreeMap<String, u32>,
    /// Executions by request id.
    pub requests: BTreeMap<String, u32>,
    /// Most routed requests that arrived on one connection within a pause, from half a second after its start.
    pub most_in_pause: u32,
    /// Requests with an API key, or with another customer than the one that their key belongs to.
    pub misattributed: u64,
    /// Time from the start of leaving to the arrival of each later request, in milliseconds.
    pub after_leaving_ms: Vec<u64>,
}

impl Counts {
    /// Counts one execution in `table` under `name`, if there is a name.
    pub fn record(table: &mut BTreeMap<String, u32>, name: Option<String>) {
        let Some(name) = name else { return };
        if table.len() < MAX_NAMES_PER_TABLE || table.contains_key(&name) {
            *table.entry(name).or_default() += 1;
        }
    }

    /// Adds the counts of another worker to these.
    pub fn merge(&mut self, other: &Self) {
        self.executed += other.executed;
        self.finished += other.finished;
        self.shed += other.shed;
        self.cancelled += other.cancelled;
        self.expired += other.expired;
        self.misattributed += other.misattributed;
        self.most_in_pause = self.most_in_pause.max(other.most_in_pause);
        self.after_leaving_ms.extend(&other.after_leaving_ms);
        for (total, part) in [
            (&mut self.keys, &other.keys),
            (&mut self.attempts, &other.attempts),
            (&mut self.requests, &other.requests),
        ] {
            for (name, count) in part {
                *total.entry(name.clone()).or_default() += count;
            }
        }
    }
}
