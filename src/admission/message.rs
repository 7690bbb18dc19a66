//! Inputs and outputs of the admission controller.

use serde::{Deserialize, Serialize};

use crate::name;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the attempt, unique across entry hosts.
    pub attempt: u128,
    /// The caller's organisation.
    pub organisation: name::Organisation,
    /// The organisation's weight in fair sharing, above 0.
    pub share: f64,
    /// The kind of work.
    pub workload: name::Workload,
    /// The priority, 0 (most urgent) to 9.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate, if the caller gave one.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt prefix, 0 if there is no prefix worth caching.
    pub prefix: u64,
    /// Whether the request may be held; otherwise it is granted or refused immediately.
    pub hold: bool,
}

/// Load of an engine, sent by its owner with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// Highest expected memory use, in thousandths of the engine's memory.
    pub load_permille: u16,
    /// Number of open permits.
    pub running: u16,
    /// Number of held requests.
    pub held: u16,
}

/// The reply to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request may start now.
    Granted {
        /// Priority to send to the engine.
        engine_priority: u8,
        /// The engine's load.
        hint: Hint,
    },
    /// The request is held; [`Controller::poll`](super::Controller::poll) returns the decision later.
    Held {
        /// The engine's load.
        hint: Hint,
    },
    /// The request may not start.
    Refused {
        /// Time to wait before a retry, in milliseconds.
        retry_after_ms: u32,
        /// The engine's load.
        hint: Hint,
    },
}

/// The decision on a held request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Id of the attempt.
    pub attempt: u128,
    /// The reply; never [`Reply::Held`].
    pub reply: Reply,
}

/// A change of a running generation's priority, to be sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityChange {
    /// Id of the attempt that holds the permit.
    pub attempt: u128,
    /// The new priority at the engine.
    pub engine_priority: u8,
}

/// Whether an engine accepts new work, as reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new work.
    #[default]
    Serving,
    /// Loads a model and will accept work afterwards.
    Loading,
    /// Is about to leave and accepts no new work.
    Leaving,
}

/// Load report of an engine. It is already out of date when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether the engine accepts new work.
    pub state: State,
    /// Generations in the batch.
    pub running: u32,
    /// Generations queued at the engine, including preempted ones.
    pub waiting: u32,
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Preemptions since the engine's start.
    pub preemptions: u64,
    /// Monotonic time of the engine when it made the report, in milliseconds.
    pub report_ms: u64,
    /// Duration of one decoding step of the batch, in milliseconds.
    pub token_ms: f64,
}
