//! Named figures of a scenario.

use std::fmt::{Display, Write as _};

use chestnutvalve_model::rank::Rank;
use serde_json::{Value, json};

use crate::load::Report;

/// Measured figures with their targets, in the order in which they were added.
#[derive(Clone, Debug)]
pub struct Figures {
    name: String,
    rows: Vec<[String; 3]>,
}

impl Figures {
    /// Creates an empty list for a scenario.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            rows: Vec::new(),
        }
    }

    /// Adds a figure with its target, which may be empty, and prints it to standard error.
    pub fn add(&mut self, name: impl Into<String>, value: impl Display, target: &str) {
        let row = [name.into(), value.to_string(), target.to_owned()];
        eprintln!("{}: {}", row[0], row[1]);
        self.rows.push(row);
    }

    /// Adds a figure with success rate, latency and errors for each rank in the report.
    pub fn add_ranks(
        &mut self,
        phase: &str,
        report: &Report,
        target: impl Fn(Rank) -> &'static str,
    ) {
        for (rank, row) in &report.rows {
            let errors: Vec<_> = row.errors.iter().map(|(c, n)| format!("{c} {n}")).collect();
            let value = format!(
                "{:.3}% of {}, p50 {:.1} ms, p99 {:.1} ms{}{}",
                row.success() * 100.0,
                row.due,
                row.quantile_ms(0.5),
                row.quantile_ms(0.99),
                if errors.is_empty() { "" } else { "; " },
                errors.join(", "),
            );
            self.add(format!("{phase}: {}", rank.name()), value, target(*rank));
        }
    }

    /// Renders a Markdown table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "| {} | measured | target |\n| --- | --- | --- |\n",
            self.name
        );
        for [name, value, target] in &self.rows {
            let _ = writeln!(text, "| {name} | {value} | {target} |");
        }
        text
    }

    /// Renders the JSON form of the table.
    #[must_use]
    pub fn json(&self) -> Value {
        let rows = self.rows.iter();
        let rows = rows.map(|[f, m, t]| json!({"figure": f, "measured": m, "target": t}));
        json!({"scenario": self.name, "figures": rows.collect::<Vec<_>>()})
    }
}
