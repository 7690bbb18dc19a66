//! Faults of an engine, and its counters.

use serde::{Deserialize, Serialize};

use crate::control::set_if_some;

/// Whether and how new work is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// New work is accepted.
    #[default]
    None,
    /// New work is refused with the error type `leaving`.
    Leaving,
    /// New work is refused with the error type `busy`.
    Busy,
}

/// A change of the faults; absent fields stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether the engine is frozen: it produces no tokens and answers no calls.
    pub frozen: Option<bool>,
    /// Whether the engine is stalled: it produces no tokens but answers calls.
    pub stalled: Option<bool>,
    /// Whether and how new work is refused.
    pub refuse: Option<Refusal>,
    /// Number of upcoming completions whose response is late by `late_ms`.
    pub late: Option<u32>,
    /// Delay of a late response, in milliseconds.
    pub late_ms: Option<u64>,
    /// Number of upcoming completions whose stream sends each event twice.
    pub doubled: Option<u32>,
    /// Number of upcoming completions whose response carries the identity of another generation.
    pub crossed: Option<u32>,
    /// Number of upcoming completions that start a generation and get no response.
    pub dropped: Option<u32>,
    /// Number of upcoming completions whose stream breaks after `cut_after` tokens, while the generation continues.
    pub cut: Option<u32>,
    /// Number of tokens after which such a stream breaks.
    pub cut_after: Option<u32>,
    /// Whether orders with an old fencing number are refused.
    pub fences: Option<bool>,
    /// Duration of an order, in milliseconds.
    pub order_ms: Option<u64>,
    /// How long a generation continues without a reader, in milliseconds.
    pub linger_ms: Option<u64>,
    /// Announces a reclaim: the engine refuses new work and stops after this time, in milliseconds.
    pub reclaim_in_ms: Option<u64>,
    /// Stops the engine at once when it begins a prompt that starts with this text.
    pub die_on: Option<String>,
    /// Stops the engine at once, as a killed process would.
    pub die: bool,
}

/// The faults in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Whether the engine is frozen: it produces no tokens and answers no calls.
    pub frozen: bool,
    /// Whether the engine is stalled: it produces no tokens but answers calls.
    pub stalled: bool,
    /// Whether and how new work is refused.
    pub refuse: Refusal,
    /// Remaining number of late responses.
    pub late: u32,
    /// Delay of a late response, in milliseconds.
    pub late_ms: u64,
    /// Remaining number of streams that send each event twice.
    pub doubled: u32,
    /// Remaining number of responses with the identity of another generation.
    pub crossed: u32,
    /// Remaining number of completions without a response.
    pub dropped: u32,
    /// Remaining number of streams that break.
    pub cut: u32,
    /// Number of tokens after which such a stream breaks.
    pub cut_after: u32,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
    /// Duration of an order, in milliseconds.
    pub order_ms: u64,
    /// How long a generation continues without a reader, in milliseconds.
    pub linger_ms: u64,
    /// Start of the prompts that stop the engine; empty for none.
    pub die_on: String,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Generations started.
    pub started: u64,
    /// Generations that produced their last token.
    pub finished: u64,
    /// Generations cancelled by a call.
    pub cancelled: u64,
    /// Generations cancelled because they had no reader for the linger time.
    pub orphaned: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Orders refused because of an old fencing number.
    pub fenced: u64,
}

/// Faults, load and counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Faults in effect.
    pub faults: Faults,
    /// Counters since the start.
    pub counters: Counters,
    /// Generations that run.
    pub running: usize,
    /// Generations that wait.
    pub waiting: usize,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
}

impl Faults {
    pub(super) fn apply(&mut self, change: &Change) {
        set_if_some(&mut self.frozen, change.frozen);
        set_if_some(&mut self.stalled, change.stalled);
        set_if_some(&mut self.refuse, change.refuse);
        set_if_some(&mut self.late, change.late);
        set_if_some(&mut self.late_ms, change.late_ms);
        set_if_some(&mut self.doubled, change.doubled);
        set_if_some(&mut self.crossed, change.crossed);
        set_if_some(&mut self.dropped, change.dropped);
        set_if_some(&mut self.cut, change.cut);
        set_if_some(&mut self.cut_after, change.cut_after);
        set_if_some(&mut self.fences, change.fences);
        set_if_some(&mut self.order_ms, change.order_ms);
        set_if_some(&mut self.linger_ms, change.linger_ms);
        set_if_some(&mut self.die_on, change.die_on.clone());
    }
}
