//! Adds up what the nodes tell.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

use super::{Count, Flow, Page, WINDOWS_S};
use crate::document::Measure;
use crate::name;

/// Burn above which the short window calls for attention now.
const FAST_BURN: f64 = 14.4;

/// Burn of one objective for one organisation, over all nodes.
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
    /// Share of samples that must be within the target.
    pub ratio: f64,
    /// Samples in the longest window.
    pub samples: u64,
    /// How many times faster than allowed the error budget burns, for each of [`WINDOWS_S`].
    pub burn: [f64; WINDOWS_S.len()],
}

/// The whole report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Windows, in seconds.
    pub windows_s: [u64; WINDOWS_S.len()],
    /// Nodes that answered.
    pub nodes: usize,
    /// Nodes that did not.
    pub silent: Vec<String>,
    /// One row for each objective and organisation.
    pub rows: Vec<Row>,
    /// How often each mechanism acted.
    pub actions: BTreeMap<String, u64>,
}

impl Summary {
    /// Adds up the pages of all nodes that answered; `silent` did not.
    ///
    /// ```
    /// let summary = nutmeghead::report::Summary::new(&[], vec!["127.0.0.1:7002".to_owned()]);
    /// assert_eq!((summary.nodes, summary.rows.len()), (0, 0));
    /// ```
    pub fn new(pages: &[Page], silent: Vec<String>) -> Self {
        let mut counts: BTreeMap<Flow, (u64, f64, [Count; WINDOWS_S.len()])> = BTreeMap::new();
        let mut actions = BTreeMap::new();
        for page in pages {
            for entry in &page.rows {
                let empty = (entry.target_ms, entry.ratio, Default::default());
                let row = counts.entry(entry.into()).or_insert(empty);
                for (sum, (good, total)) in row.2.iter_mut().zip(entry.windows) {
                    sum.add(Count { good, total });
                }
            }
            for (action, count) in &page.actions {
                *actions.entry(action.clone()).or_default() += count;
            }
        }
        let rows = counts.into_iter().map(|(flow, (target_ms, ratio, windows))| Row {
            workload: flow.workload,
            organisation: flow.organisation,
            measure: flow.measure,
            target_ms,
            ratio,
            samples: windows[WINDOWS_S.len() - 1].total,
            burn: windows.map(|count| count.burn(ratio)),
        });
        Self { windows_s: WINDOWS_S, nodes: pages.len(), silent, rows: rows.collect(), actions }
    }

    /// The report as a table for people.
    pub fn to_table(&self) -> String {
        let mut out = format!("entry hosts that answered: {}", self.nodes);
        if !self.silent.is_empty() {
            let _ =
                write!(out, "; that did not: {} ({})", self.silent.len(), self.silent.join(", "));
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
            let mark = if short >= FAST_BURN { "  burning" } else { "" };
            let _ = writeln!(
                out,
                "{:<14} {:<16} {:<15} {:>6} ms {:>7} {:>9} {short:>8.2} {middle:>8.2} {long:>8.2}{mark}",
                row.workload,
                row.organisation,
                measure(row.measure),
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

/// The words for a measure.
pub(super) fn measure(measure: Measure) -> &'static str {
    match measure {
        Measure::FirstToken => "first token",
        Measure::BetweenTokens => "between tokens",
        Measure::Stall => "stall",
        Measure::Call => "call",
        Measure::Refusal => "refusal",
    }
}
