//! JSON format in which a node serves its counts.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{Count, Series, WINDOWS_S};
use crate::document::{Measure, Objective};
use crate::name;

/// The counts of one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Counts by objective, workload and organisation.
    pub rows: Vec<Entry>,
    /// Number of actions of each mechanism since the node started.
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
    /// Fraction of samples that must be within the target.
    pub ratio: f64,
    /// Number of good samples and of all samples in each of [`WINDOWS_S`].
    pub windows: [(u64, u64); WINDOWS_S.len()],
}

/// Creates a snapshot. Series without an objective are omitted.
pub(super) fn snapshot(
    objectives: &[Objective],
    windows: &[HashMap<Series, Count>; WINDOWS_S.len()],
    actions: Vec<(String, u64)>,
) -> Snapshot {
    let mut rows = Vec::new();
    let longest = &windows[WINDOWS_S.len() - 1];
    for series in longest.keys() {
        let matches = |o: &&Objective| o.workload == series.workload && o.measure == series.measure;
        let Some(objective) = objectives.iter().find(matches) else { continue };
        let count = |window: &HashMap<Series, Count>| {
            let count = window.get(series).copied().unwrap_or_default();
            (count.good, count.total)
        };
        rows.push(Entry {
            workload: series.workload.clone(),
            organisation: series.organisation.clone(),
            measure: series.measure,
            target_ms: objective.target_ms,
            ratio: objective.ratio,
            windows: [count(&windows[0]), count(&windows[1]), count(&windows[2])],
        });
    }
    Snapshot { rows, actions: actions.into_iter().collect() }
}

impl From<&Entry> for Series {
    fn from(entry: &Entry) -> Self {
        Self {
            workload: entry.workload.clone(),
            organisation: entry.organisation.clone(),
            measure: entry.measure,
        }
    }
}
