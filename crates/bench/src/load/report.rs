//! Outcomes of a load run, per rank.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use chestnutvalve_model::rank::Rank;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::{Call, Outcome, Verdict};

/// Maximum latency that the histograms can represent. Higher ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcomes of one rank.
#[derive(Clone, Debug)]
pub struct Row {
    /// Requests that were due, including those not sent.
    pub due: u64,
    /// Complete responses before the deadline.
    pub good: u64,
    /// Complete responses after the deadline.
    pub late: u64,
    /// Counts by error code, and by kind for requests without a complete response.
    pub errors: BTreeMap<String, u64>,
    /// Latency of complete responses, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self {
            due: 0,
            good: 0,
            late: 0,
            errors: BTreeMap::new(),
            latency: latency.expect("constant bounds are valid"),
        }
    }
}

impl Row {
    /// Returns the share of due requests with a complete response before the deadline, from 0 to 1. It is 1 if none was due.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn success(&self) -> f64 {
        if self.due == 0 {
            return 1.0;
        }
        self.good as f64 / self.due as f64
    }

    /// Returns a quantile of the latency, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the count of an error code, zero if it did not occur.
    #[must_use]
    pub fn error(&self, code: &str) -> u64 {
        self.errors.get(code).copied().unwrap_or(0)
    }
}

/// Outcomes of a load run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Rows of the ranks that had requests.
    pub rows: BTreeMap<Rank, Row>,
    /// Ids of requests whose response stated that they were not executed.
    pub not_executed: Vec<String>,
    /// Descriptions of the first failed requests: id, address and verdict.
    pub failures: Vec<String>,
}

const MAX_LISTED_FAILURES: usize = 50;

impl Report {
    /// Adds the outcome of one request.
    pub fn add(&mut self, call: &Call, outcome: &Outcome) {
        let row = self.rows.entry(call.class.rank).or_default();
        row.due += 1;
        if outcome.executed.as_deref() == Some("no") {
            self.not_executed.push(call.id.clone());
        }
        let code = match &outcome.verdict {
            Verdict::Good => {
                let latency = u64::try_from(outcome.latency.as_micros()).unwrap_or(u64::MAX);
                row.latency.saturating_record(latency);
                if outcome.latency.as_millis() <= u128::from(call.class.deadline_ms) {
                    row.good += 1;
                } else {
                    row.late += 1;
                }
                return;
            }
            Verdict::Wrong => "wrong_body".to_owned(),
            Verdict::Refused(code) => code.clone(),
            Verdict::Lost(failure) => format!("lost_{}", failure.name()),
        };
        *row.errors.entry(code).or_default() += 1;
        if self.failures.len() < MAX_LISTED_FAILURES {
            let text = format!("{} at {:?}: {:?}", call.id, outcome.entry, outcome.verdict);
            self.failures.push(text);
        }
    }

    /// Counts a request that was due but not sent because too many were in progress.
    pub fn skip(&mut self, call: &Call) {
        let row = self.rows.entry(call.class.rank).or_default();
        row.due += 1;
        *row.errors.entry("not_sent".into()).or_default() += 1;
    }

    /// Returns the row of a rank, an empty one if it had no requests.
    #[must_use]
    pub fn row(&self, rank: Rank) -> Row {
        self.rows.get(&rank).cloned().unwrap_or_default()
    }

    /// Returns the sum of the rows of all ranks.
    #[must_use]
    pub fn total(&self) -> Row {
        let mut total = Row::default();
        for row in self.rows.values() {
            total.due += row.due;
            total.good += row.good;
            total.late += row.late;
            for (code, count) in &row.errors {
                *total.errors.entry(code.clone()).or_default() += count;
            }
            // Both histograms have the same bounds.
            let _ = total.latency.add(&row.latency);
        }
        total
    }

    /// Returns the number of responses that were truncated, belonged to another request or were lost with the connection.
    #[must_use]
    pub fn broken_responses(&self) -> u64 {
        let total = self.total();
        ["lost_cut", "lost_broken", "wrong_body"]
            .iter()
            .map(|c| total.error(c))
            .sum()
    }

    /// Renders a text table with one line per rank.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<8}{:>9}{:>9}{:>7}{:>10}{:>9}{:>9}  errors\n",
            "rank", "due", "good", "late", "success", "p50 ms", "p99 ms"
        );
        for (rank, row) in &self.rows {
            let errors: Vec<_> = row.errors.iter().map(|(c, n)| format!("{c} {n}")).collect();
            let _ = writeln!(
                text,
                "{:<8}{:>9}{:>9}{:>7}{:>9.3}%{:>9.2}{:>9.2}  {}",
                rank.name(),
                row.due,
                row.good,
                row.late,
                row.success() * 100.0,
                row.quantile_ms(0.5),
                row.quantile_ms(0.99),
                errors.join(", "),
            );
        }
        text
    }

    /// Renders the JSON form of the table.
    #[must_use]
    pub fn json(&self) -> Value {
        let rows = self.rows.iter().map(|(rank, row)| {
            json!({
                "rank": rank.name(), "due": row.due, "good": row.good, "late": row.late,
                "success": row.success(), "p50_ms": row.quantile_ms(0.5),
                "p99_ms": row.quantile_ms(0.99), "errors": row.errors,
            })
        });
        json!({
            "ranks": rows.collect::<Vec<_>>(), "cut": self.broken_responses(),
            "not_executed": self.not_executed.len(),
        })
    }
}
