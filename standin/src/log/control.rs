//! Faults of the log, and what it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::control::set_if_some;

/// A change of behaviour; absent parts stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether all calls are refused with 503.
    pub down: Option<bool>,
    /// Whether calls get no answer, and no effect, until this ends.
    pub frozen: Option<bool>,
    /// Added to each call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Appends that are refused with 503 next.
    pub refuse: Option<u64>,
    /// Appends that take effect next without an answer.
    pub lose: Option<u64>,
    /// Share of all appends that take effect without an answer, in thousandths.
    pub lose_permille: Option<u64>,
    /// Appends per second over all streams.
    pub append_rate: Option<f64>,
    /// Records that a stream keeps.
    pub retention_records: Option<usize>,
    /// Age up to which a stream keeps records, in milliseconds.
    pub retention_ms: Option<u64>,
    /// Added to the log's clock, in milliseconds.
    pub clock_offset_ms: Option<i64>,
}

/// Behaviour and counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Whether all calls are refused with 503.
    pub down: bool,
    /// Whether calls get no answer.
    pub frozen: bool,
    /// Added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Appends still to be refused.
    pub refuse: u64,
    /// Appends still to go without an answer.
    pub lose: u64,
    /// Share of all appends that go without an answer, in thousandths.
    pub lose_permille: u64,
    /// Appends per second over all streams.
    pub append_rate: f64,
    /// Records that a stream keeps.
    pub retention_records: usize,
    /// Age up to which a stream keeps records, in milliseconds.
    pub retention_ms: u64,
    /// Added to the log's clock, in milliseconds.
    pub clock_offset_ms: i64,
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused over the rate.
    pub limited: u64,
    /// Calls refused in an outage.
    pub refused: u64,
    /// Appends that took effect without an answer.
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
        set_if_some(&mut self.lose_permille, change.lose_permille.map(|share| share.min(1_000)));
        set_if_some(&mut self.append_rate, change.append_rate);
        set_if_some(&mut self.retention_records, change.retention_records);
        set_if_some(&mut self.retention_ms, change.retention_ms);
        set_if_some(&mut self.clock_offset_ms, change.clock_offset_ms);
    }
}
