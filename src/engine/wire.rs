//! Messages of engines.

use serde::Deserialize;

/// One event of a generation, borrowed from its bytes.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk<'a> {
    /// The engine's identifier of the generation.
    pub id: &'a str,
    /// The attempt that the generation answers.
    pub request_id: &'a str,
    /// One entry with the token.
    #[serde(borrow)]
    pub choices: [Choice<'a>; 1],
}

/// The token of an event.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice<'a> {
    /// The token's text, as JSON.
    #[serde(borrow)]
    pub text: &'a serde_json::value::RawValue,
    /// Why the generation ended, with its last token.
    pub finish_reason: Option<&'a str>,
}

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It takes work.
    Serving,
    /// It loads a model.
    Loading,
    /// It takes no new work and will go.
    Leaving,
}

/// An engine's load report, which lags.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Load {
    /// Whether the engine takes work.
    pub state: Phase,
    /// Generations being decoded.
    pub running: u32,
    /// Generations that wait in the engine.
    pub waiting: u32,
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// The engine's clock when the report was taken, in milliseconds.
    pub report_ms: u64,
    /// Time until the engine goes, in milliseconds.
    #[serde(default)]
    pub leave_in_ms: Option<u64>,
    /// Present time between two tokens, in milliseconds.
    #[serde(default)]
    pub token_ms: f64,
}

#[derive(Deserialize)]
struct Refusal {
    error: Fault,
}

#[derive(Deserialize)]
struct Fault {
    #[serde(rename = "type")]
    kind: String,
}

/// The type of the fault in an engine's error, if `body` is one.
pub fn fault(body: &[u8]) -> Option<String> {
    Some(serde_json::from_slice::<Refusal>(body).ok()?.error.kind)
}
