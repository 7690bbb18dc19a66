//! What a node tells the report.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{Count, Flow, WINDOWS_S};
use crate::document::{Measure, Objective};
use crate::name;

/// All that a node has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Counts by objective, workload and organisation.
    pub rows: Vec<Entry>,
    /// How often each mechanism acted since the node started.
    pub actions: BTreeMap<String, u64>,
}

/// The counts of one objective for one organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
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
    /// Good and all samples, for each of [`WINDOWS_S`].
    pub windows: [(u64, u64); WINDOWS_S.len()],
}

/// Makes a node's page.
pub(super) fn page(
    objectives: &[Objective],
    windows: &[HashMap<Flow, Count>; WINDOWS_S.len()],
    actions: Vec<(String, u64)>,
) -> Page {
    let mut rows = Vec::new();
    let longest = &windows[WINDOWS_S.len() - 1];
    for flow in longest.keys() {
        let matches = |o: &&Objective| o.workload == flow.workload && o.measure == flow.measure;
        let Some(objective) = objectives.iter().find(matches) else { continue };
        let count = |window: &HashMap<Flow, Count>| {
            let count = window.get(flow).copied().unwrap_or_default();
            (count.good, count.total)
        };
        rows.push(Entry {
            workload: flow.workload.clone(),
            organisation: flow.organisation.clone(),
            measure: flow.measure,
            target_ms: objective.target_ms,
            ratio: objective.ratio,
            windows: [count(&windows[0]), count(&windows[1]), count(&windows[2])],
        });
    }
    Page { rows, actions: actions.into_iter().collect() }
}

impl From<&Entry> for Flow {
    fn from(entry: &Entry) -> Self {
        Self {
            workload: entry.workload.clone(),
            organisation: entry.organisation.clone(),
            measure: entry.measure,
        }
    }
}
