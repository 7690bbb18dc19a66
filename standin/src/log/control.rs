//! Faults and limits of the log, and its counters.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::control::set_if_some;

/// A change of faults and limits; absent fields stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether all calls are refused with 503.
    pub down: Option<bool>,
    /// Whether the log is frozen: calls have no effect and get no response until it is thawed.
    pub frozen: Option<bool>,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of upcoming appends that are refused with 503.
    pub refuse: Option<u64>,
    /// Number of upcoming appends that take effect but get no response.
    pub lose: Option<u64>,
    /// Fraction of all appends that take effect but get no response, in thousandths.
    pub lose_permille: Option<u64>,
    /// Largest rate of appends to all streams together, per second.
    pub append_rate: Option<f64>,
    /// Largest number of records that a stream retains.
    pub retention_records: Option<usize>,
    /// Age up to which a stream retains records, in milliseconds.
    pub retention_ms: Option<u64>,
    /// Offset of the log's clock, in milliseconds.
    pub clock_offset_ms: Option<i64>,
}

/// Faults, limits and counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Whether all calls are refused with 503.
    pub down: bool,
    /// Whether the log is frozen: calls have no effect and get no response.
    pub frozen: bool,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Remaining number of appends to refuse with 503.
    pub refuse: u64,
    /// Remaining number of appends that take effect but get no response.
    pub lose: u64,
    /// Fraction of all appends that take effect but get no response, in thousandths.
    pub lose_permille: u64,
    /// Largest rate of appends to all streams together, per second.
    pub append_rate: f64,
    /// Largest number of records that a stream retains.
    pub retention_records: usize,
    /// Age up to which a stream retains records, in milliseconds.
    pub retention_ms: u64,
    /// Offset of the log's clock, in milliseconds.
    pub clock_offset_ms: i64,
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused because of the rate limit.
    pub limited: u64,
    /// Calls refused with 503.
    pub refused: u64,
    /// Appends that took effect but got no response.
    pub lost: u64,
    /// Reads answered.
    pub reads: u64,
    /// The next offset of each stream.
    pub streams: BTreeMap<String, u64>,
}

impl State {
    pub(super) fn apply(&mut self, change: Change) {
        set_if_some(&mut self.down, change.down);
        set_if_some(&mut self.frozen, change.frozen);
        set_if_some(&mut self.slow_ms, change.slow_ms);
        set_if_some(&mut self.refuse, change.refuse);
        set_if_some(&mut self.lose, change.lose);
        set_if_some(
            &mut self.lose_permille,
            change.lose_permille.map(|permille| permille.min(1_000)),
        );
        set_if_some(&mut self.append_rate, change.append_rate);
        set_if_some(&mut self.retention_records, change.retention_records);
        set_if_some(&mut self.retention_ms, change.retention_ms);
        set_if_some(&mut self.clock_offset_ms, change.clock_offset_ms);
    }
}
