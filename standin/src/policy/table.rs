//! Text tables of metrics over several seeds.

use std::fmt::Write as _;

use serde::Serialize;

use super::score::Row;

/// Median and range of one metric over the seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The smallest value.
    pub min: f64,
    /// The largest value.
    pub max: f64,
}

impl Spread {
    /// Summarises at least one value.
    pub fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Self { median: at(values.len() / 2), min: at(0), max: at(values.len().saturating_sub(1)) }
    }
}

/// The runs of one policy on one trace.
#[derive(Clone, Debug, Serialize)]
pub struct Group {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the trace.
    pub trace: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// One row per seed.
    pub rows: Vec<Row>,
}

/// A column: its heading and its metric.
pub type Column = (&'static str, fn(&Row) -> f64);

/// All columns of the table.
pub const COLUMNS: [Column; 17] = [
    ("stall s", |row| row.stall_s),
    ("stall p99 ms", |row| row.stall_p99_ms),
    ("long stall s", |row| row.long_stall_s),
    ("long stall p99", |row| row.long_stall_p99_ms),
    ("preempt", |row| row.preemptions),
    ("long preempt", |row| row.long_preemptions),
    ("for lesser", |row| row.long_for_lesser),
    ("tbt p95 ms", |row| row.between_p95_ms),
    ("tbt p99 ms", |row| row.between_p99_ms),
    ("ttft p95 ms", |row| row.first_p95_ms),
    ("refused %", |row| row.refused_percent),
    ("long refused %", |row| row.long_refused_percent),
    ("lost", |row| row.lost),
    ("wasted tok", |row| row.wasted_tokens),
    ("tok/s", |row| row.finished_tokens_s),
    ("jain", |row| row.jain),
    ("score", |row| row.score),
];

impl Group {
    /// Median and range of a column.
    pub fn spread(&self, column: &Column) -> Spread {
        Spread::new(self.rows.iter().map(column.1).collect())
    }
}

/// Formats a text table: one block per trace and two lines per policy, medians above their ranges.
pub fn text(groups: &[Group]) -> String {
    let mut text = String::new();
    let mut previous = None;
    for group in groups {
        let trace = (group.deployment, group.trace.as_str());
        if previous != Some(trace) {
            write_heading(&mut text, group);
            previous = Some(trace);
        }
        let spreads: Vec<Spread> = COLUMNS.iter().map(|column| group.spread(column)).collect();
        let _ = write!(text, "{:<14}", group.policy);
        spreads
            .iter()
            .for_each(|spread| text.push_str(&format!(" {:>15}", format_value(spread.median))));
        let _ = write!(text, "\n{:<14}", "");
        for spread in &spreads {
            let range = format!("{}..{}", format_value(spread.min), format_value(spread.max));
            let _ = write!(text, " {range:>15}");
        }
        text.push('\n');
    }
    text
}

fn write_heading(text: &mut String, group: &Group) {
    let _ = write!(
        text,
        "\n{} / {} ({} seeds)\n{:<14}",
        group.deployment,
        group.trace,
        group.rows.len(),
        ""
    );
    COLUMNS.iter().for_each(|(name, _)| text.push_str(&format!(" {name:>15}")));
    text.push('\n');
}

fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 { format!("{value:.0}") } else { format!("{value:.2}") }
}
