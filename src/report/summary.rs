//! Sums the counts of all nodes and calculates burn rates.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

use super::{Count, Series, Snapshot, WINDOWS_S};
use crate::document::Measure;
use crate::name;

/// Burn rate over the shortest window from which a row is marked because it needs immediate attention.
const FAST_BURN_RATE: f64 = 14.4;

/// Burn rates of one objective for one organisation, over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The workload.
    pub workload: name::Workload,
    /// The organisation.
    pub organisation: name::Organisation,
    /// The measure.
    pub measure: Measure,
    /// The target, in milliseconds.
    pub target_ms: u64,
    /// Fraction of samples that must be within the target.
    pub ratio: f64,
    /// Number of samples in the longest window.
    pub samples: u64,
    /// Burn rate of the error budget over each of [`WINDOWS_S`]; see [`Count::burn`].
    pub burn: [f64; WINDOWS_S.len()],
}

/// The complete report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Windows, in seconds.
    pub windows_s: [u64; WINDOWS_S.len()],
    /// Number of nodes that responded.
    pub nodes: usize,
    /// Addresses of nodes that did not respond.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<String>,
    /// One row per objective and organisation.
    pub rows: Vec<Row>,
    /// Number of actions of each mechanism, over all nodes.
    pub actions: BTreeMap<String, u64>,
}

impl Summary {
    /// Sums the counts of all nodes that responded. `unresponsive` are the addresses of those that did not.
    ///
    /// ```
    /// let summary = nutmeghead::report::Summary::new(&[], vec!["127.0.0.1:7002".to_owned()]);
    /// assert_eq!((summary.nodes, summary.rows.len()), (0, 0));
    /// ```
    pub fn new(snapshots: &[Snapshot], unresponsive: Vec<String>) -> Self {
        let mut counts: BTreeMap<Series, (u64, f64, [Count; WINDOWS_S.len()])> = BTreeMap::new();
        let mut actions = BTreeMap::new();
        for snapshot in snapshots {
            for entry in &snapshot.rows {
                let empty = (entry.target_ms, entry.ratio, Default::default());
                let row = counts.entry(entry.into()).or_insert(empty);
                for (sum, (good, total)) in row.2.iter_mut().zip(entry.windows) {
                    sum.add(Count { good, total });
                }
            }
            for (action, count) in &snapshot.actions {
                *actions.entry(action.clone()).or_default() += count;
            }
        }
        let rows = counts.into_iter().map(|(series, (target_ms, ratio, windows))| Row {
            workload: series.workload,
            organisation: series.organisation,
            measure: series.measure,
            target_ms,
            ratio,
            samples: windows[WINDOWS_S.len() - 1].total,
            burn: windows.map(|count| count.burn(ratio)),
        });
        Self {
            windows_s: WINDOWS_S,
            nodes: snapshots.len(),
            unresponsive,
            rows: rows.collect(),
            actions,
        }
    }

    /// Formats the report as a table for terminals.
    pub fn to_table(&self) -> String {
        let mut out = format!("entry hosts that answered: {}", self.nodes);
        if !self.unresponsive.is_empty() {
            let _ = write!(
                out,
                "; that did not: {} ({})",
                self.unresponsive.len(),
                self.unresponsive.join(", ")
            );
        }
        let _ = writeln!(
            out,
            "\n\n{:<14} {:<16} {:<15} {:>9} {:>7} {:>9} {:>8} {:>8} {:>8}",
            "workload",
            "organisation",
            "measure",
            "target",
            "ratio",
            "samples",
            "5 min",
            "1 h",
            "6 h"
        );
        for row in &self.rows {
            let [short, middle, long] = row.burn;
            let mark = if short >= FAST_BURN_RATE { "  burning" } else { "" };
            let _ = writeln!(
                out,
                "{:<14} {:<16} {:<15} {:>6} ms {:>7} {:>9} {short:>8.2} {middle:>8.2} {long:>8.2}{mark}",
                row.workload,
                row.organisation,
                measure_label(row.measure),
                row.target_ms,
                row.ratio,
                row.samples,
            );
        }
        out.push_str("\nhow often each mechanism acted\n");
        for (action, count) in &self.actions {
            let _ = writeln!(out, "{action:<20} {count:>10}");
        }
        out
    }
}

/// Label of a measure in tables and plots.
pub(super) fn measure_label(measure: Measure) -> &'static str {
    match measure {
        Measure::FirstToken => "first token",
        Measure::BetweenTokens => "between tokens",
        Measure::Stall => "stall",
        Measure::Call => "call",
        Measure::Refusal => "refusal",
    }
}
