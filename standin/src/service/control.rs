//! Faults of a service, and its counters.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::control::set_if_some;

/// A change of the faults; absent fields stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether the service is frozen: calls have no effect and get no response until it is thawed.
    pub frozen: Option<bool>,
    /// Whether `/healthz` answers 503.
    pub sick: Option<bool>,
    /// Time from a call to its effect, in milliseconds.
    pub work_ms: Option<u64>,
    /// Time from the effect to the response, in milliseconds.
    pub late_ms: Option<u64>,
    /// Number of upcoming calls that have no effect and get no response.
    pub dropped: Option<u32>,
    /// Number of upcoming calls that take effect but get no response.
    pub lose: Option<u32>,
    /// Number of upcoming calls that have no effect and are answered with 500.
    pub fail: Option<u32>,
    /// Number of upcoming responses that carry the identity of another call.
    pub crossed: Option<u32>,
    /// Whether the service stops after the next effect, before the response.
    pub die_after_effect: Option<bool>,
    /// Path of the calls under which the service stops before the response.
    pub die_on: Option<String>,
}

/// Faults and counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Whether the service is frozen: calls have no effect and get no response.
    pub frozen: bool,
    /// Whether `/healthz` answers 503.
    pub sick: bool,
    /// Time from a call to its effect, in milliseconds.
    pub work_ms: u64,
    /// Time from the effect to the response, in milliseconds.
    pub late_ms: u64,
    /// Remaining number of calls that have no effect and get no response.
    pub dropped: u32,
    /// Remaining number of calls that take effect but get no response.
    pub lose: u32,
    /// Remaining number of calls that have no effect and are answered with 500.
    pub fail: u32,
    /// Remaining number of responses that carry the identity of another call.
    pub crossed: u32,
    /// Whether the service stops after the next effect, before the response.
    pub die_after_effect: bool,
    /// Path of the calls under which the service stops before the response; empty for none.
    pub die_on: String,
    /// Calls processed, whether executed or not.
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
        set_if_some(&mut self.die_on, change.die_on);
    }
}

/// Numbers of executed calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// By idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// By request identifier.
    pub requests: BTreeMap<String, u64>,
    /// By method and path, separated by a space.
    pub paths: BTreeMap<String, u64>,
}
