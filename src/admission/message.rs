//! What goes into and out of a ledger.

use serde::{Deserialize, Serialize};

use crate::name;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The attempt's number, unique among all entry hosts.
    pub attempt: u128,
    /// The customer.
    pub organisation: name::Organisation,
    /// The customer's weight in fair sharing, above 0.
    pub share: f64,
    /// The kind of work.
    pub workload: name::Workload,
    /// The priority, 0 (most urgent) to 9.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate, if the caller gave one.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt's beginning, 0 if it has none worth caching.
    pub prefix: u64,
    /// Whether the request may be held; else it is granted or refused at once.
    pub hold: bool,
}

/// How busy an engine is, sent with each answer of its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// Largest expected use of memory, in thousandths of the engine's memory.
    pub load: u16,
    /// Generations that hold a permit.
    pub running: u16,
    /// Requests that are held.
    pub waiting: u16,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request may start now.
    Granted {
        /// Priority to send to the engine.
        engine_priority: u8,
        /// The engine's load.
        hint: Hint,
    },
    /// The request waits; [`Ledger::poll`](super::Ledger::poll) returns its decision later.
    Held {
        /// The engine's load.
        hint: Hint,
    },
    /// The request may not start.
    Refused {
        /// When to come back, in milliseconds from now.
        retry_after_ms: u32,
        /// The engine's load.
        hint: Hint,
    },
}

/// The late answer to a request that was held; never [`Answer::Held`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The attempt that asked.
    pub attempt: u128,
    /// The answer.
    pub answer: Answer,
}

/// A change of a running generation's priority, to be sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reorder {
    /// The attempt that holds the permit.
    pub attempt: u128,
    /// The new priority at the engine.
    pub engine_priority: u8,
}

/// Whether an engine takes new work, in its own words.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It serves.
    #[default]
    Serving,
    /// It loads a model and serves later.
    Loading,
    /// It takes no new work.
    Leaving,
}

/// An engine's report of its load. It lags.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether the engine takes new work.
    pub state: State,
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait at the engine, among them the preempted ones.
    pub waiting: u32,
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Preemptions since the engine's start.
    pub preemptions: u64,
    /// The engine's monotonic clock when the report was taken, in milliseconds.
    pub report_ms: u64,
    /// Time for one token of every generation in the batch, in milliseconds.
    pub token_ms: f64,
}
