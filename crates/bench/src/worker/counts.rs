//! What a worker has executed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most distinct names that are counted in each table; a run is expected to stay below.
const MAX_NAMES: usize = 1_000_000;

/// Executions of a worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that were given a slot.
    pub executed: u64,
    /// Requests whose answer was built.
    pub finished: u64,
    /// Requests that were refused as not executed.
    pub shed: u64,
    /// Requests whose caller went away before the answer.
    pub cancelled: u64,
    /// Requests that ended because their deadline passed.
    pub expired: u64,
    /// Executions by `customer/idempotency key`.
    pub keys: BTreeMap<String, u32>,
    /// Executions by attempt id.
    pub attempts: BTreeMap<String, u32>,
    /// Executions by request name.
    pub requests: BTreeMap<String, u32>,
    /// Time from the start of leaving to each later arrival, in milliseconds.
    pub after_leaving_ms: Vec<u64>,
}

impl Counts {
    /// Counts one execution under a name of one of the tables.
    pub fn add(table: &mut BTreeMap<String, u32>, name: Option<String>) {
        let Some(name) = name else { return };
        if table.len() < MAX_NAMES || table.contains_key(&name) {
            *table.entry(name).or_default() += 1;
        }
    }

    /// Adds the counts of another worker.
    pub fn merge(&mut self, other: &Self) {
        self.executed += other.executed;
        self.finished += other.finished;
        self.shed += other.shed;
        self.cancelled += other.cancelled;
        self.expired += other.expired;
        self.after_leaving_ms.extend(&other.after_leaving_ms);
        for (sum, part) in [
            (&mut self.keys, &other.keys),
            (&mut self.attempts, &other.attempts),
            (&mut self.requests, &other.requests),
        ] {
            for (name, count) in part {
                *sum.entry(name.clone()).or_default() += count;
            }
        }
    }
}
