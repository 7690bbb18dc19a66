//! Faults of a service, and what it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::control::set_if_some;

/// A change of behaviour; absent parts stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether calls get no answer, and no effect, until this ends.
    pub frozen: Option<bool>,
    /// Whether `/healthz` answers 503.
    pub sick: Option<bool>,
    /// Time from a call to its effect, in milliseconds.
    pub work_ms: Option<u64>,
    /// Time from the effect to the answer, in milliseconds.
    pub late_ms: Option<u64>,
    /// Calls that are closed without effect or answer next.
    pub dropped: Option<u32>,
    /// Calls that take effect without an answer next.
    pub lose: Option<u32>,
    /// Calls that are answered with 500, without effect, next.
    pub fail: Option<u32>,
    /// Answers that carry another call's identity next.
    pub crossed: Option<u32>,
    /// Whether the service dies after the next effect, before the answer.
    pub die_after_effect: Option<bool>,
}

/// Behaviour and counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Whether calls get no answer.
    pub frozen: bool,
    /// Whether `/healthz` answers 503.
    pub sick: bool,
    /// Time from a call to its effect, in milliseconds.
    pub work_ms: u64,
    /// Time from the effect to the answer, in milliseconds.
    pub late_ms: u64,
    /// Calls still to be closed.
    pub dropped: u32,
    /// Calls still to go without an answer.
    pub lose: u32,
    /// Calls still to be answered with 500.
    pub fail: u32,
    /// Answers still to be crossed.
    pub crossed: u32,
    /// Whether the service dies after the next effect.
    pub die_after_effect: bool,
    /// Calls that arrived.
    pub calls: u64,
    /// Calls executed.
    pub executed: u64,
}

impl State {
    pub(super) fn apply(&mut self, change: Change) {
        set_if_some(&mut self.frozen, change.frozen);
        set_if_some(&mut self.sick, change.sick);
        set_if_some(&mut self.work_ms, change.work_ms);
        set_if_some(&mut self.late_ms, change.late_ms);
        set_if_some(&mut self.dropped, change.dropped);
        set_if_some(&mut self.lose, change.lose);
        set_if_some(&mut self.fail, change.fail);
        set_if_some(&mut self.crossed, change.crossed);
        set_if_some(&mut self.die_after_effect, change.die_after_effect);
    }
}

/// How often what was executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// By idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// By request id.
    pub requests: BTreeMap<String, u64>,
    /// By method and path, with a space between.
    pub paths: BTreeMap<String, u64>,
}
