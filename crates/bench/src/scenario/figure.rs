//! Named figures of a scenario.

use std::fmt::{Display, Write as _};

use chestnutvalve_model::rank::Rank;
use serde_json::{Value, json};

use crate::load::Report;

/// Figures in the order in which they were measured.
#[derive(Clone, Debug)]
pub struct Figures {
    name: String,
    rows: Vec<[String; 3]>,
}

impl Figures {
    /// Creates an empty table for a scenario.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            rows: Vec::new(),
        }
    }

    /// Adds a figure with its target, which may be empty.
    pub fn add(&mut self, name: impl Into<String>, value: impl Display, target: &str) {
        let row = [name.into(), value.to_string(), target.to_owned()];
        eprintln!("{}: {}", row[0], row[1]);
        self.rows.push(row);
    }

    /// Adds success and latency of each rank.
    pub fn ranks(&mut self, phase: &str, report: &Report, target: impl Fn(Rank) -> &'static str) {
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

    /// Renders JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        let rows = self.rows.iter();
        let rows = rows.map(|[f, m, t]| json!({"figure": f, "measured": m, "target": t}));
        json!({"scenario": self.name, "figures": rows.collect::<Vec<_>>()})
    }
}
