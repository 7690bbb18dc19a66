//! Faults of an engine, and what it counts.

use serde::{Deserialize, Serialize};

use crate::change::set;

/// How new work is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It is not.
    #[default]
    None,
    /// The engine leaves.
    Leaving,
    /// The engine has no room.
    Busy,
}

/// A change of behaviour; absent parts stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether the engine stands still as a whole: no tokens, no answers.
    pub frozen: Option<bool>,
    /// Whether tokens stop while calls are answered.
    pub stalled: Option<bool>,
    /// How new work is refused.
    pub refuse: Option<Refusal>,
    /// Answers to completions that come late next.
    pub late: Option<u32>,
    /// How late they come, in milliseconds.
    pub late_ms: Option<u64>,
    /// Streams of which each event is sent twice next.
    pub doubled: Option<u32>,
    /// Answers that carry another generation's identity next.
    pub crossed: Option<u32>,
    /// Completions that take effect without an answer next.
    pub dropped: Option<u32>,
    /// Streams that break after `cut_after` tokens next, while the generation goes on.
    pub cut: Option<u32>,
    /// Tokens after which such a stream breaks.
    pub cut_after: Option<u32>,
    /// Whether orders with an old fencing number are refused.
    pub fences: Option<bool>,
    /// How long an order takes, in milliseconds.
    pub order_ms: Option<u64>,
    /// How long a generation goes on without a reader, in milliseconds.
    pub linger_ms: Option<u64>,
    /// Gives notice: the engine takes no new work and dies after so many milliseconds.
    pub reclaim_in_ms: Option<u64>,
    /// Dies now, without notice.
    pub die: bool,
}

/// Behaviour that can be changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Whether the engine stands still as a whole.
    pub frozen: bool,
    /// Whether tokens stop while calls are answered.
    pub stalled: bool,
    /// How new work is refused.
    pub refuse: Refusal,
    /// Answers still to come late.
    pub late: u32,
    /// How late they come, in milliseconds.
    pub late_ms: u64,
    /// Streams still to be doubled.
    pub doubled: u32,
    /// Answers still to be crossed.
    pub crossed: u32,
    /// Completions still to go without an answer.
    pub dropped: u32,
    /// Streams still to break.
    pub cut: u32,
    /// Tokens after which such a stream breaks.
    pub cut_after: u32,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
    /// How long an order takes, in milliseconds.
    pub order_ms: u64,
    /// How long a generation goes on without a reader, in milliseconds.
    pub linger_ms: u64,
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
    /// Generations cancelled after their linger time.
    pub orphaned: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Orders refused for their fencing number.
    pub fenced: u64,
}

/// Behaviour, load and counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Behaviour that can be changed.
    pub faults: Faults,
    /// Counters since the start.
    pub counters: Counters,
    /// Generations that run now.
    pub running: usize,
    /// Generations that wait now.
    pub waiting: usize,
    /// Memory in use now, in tokens.
    pub used_tokens: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
}

impl Faults {
    pub(super) fn apply(&mut self, change: &Change) {
        set(&mut self.frozen, change.frozen);
        set(&mut self.stalled, change.stalled);
        set(&mut self.refuse, change.refuse);
        set(&mut self.late, change.late);
        set(&mut self.late_ms, change.late_ms);
        set(&mut self.doubled, change.doubled);
        set(&mut self.crossed, change.crossed);
        set(&mut self.dropped, change.dropped);
        set(&mut self.cut, change.cut);
        set(&mut self.cut_after, change.cut_after);
        set(&mut self.fences, change.fences);
        set(&mut self.order_ms, change.order_ms);
        set(&mut self.linger_ms, change.linger_ms);
    }
}
