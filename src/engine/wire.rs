//! JSON messages sent by engines.

use serde::Deserialize;

/// The data of one event of a generation. Borrows from the event's bytes.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk<'a> {
    /// The id that the engine assigned to the generation.
    pub id: &'a str,
    /// The id of the attempt that started the generation.
    pub request_id: &'a str,
    /// A single entry, which holds the token.
    #[serde(borrow)]
    pub choices: [Choice<'a>; 1],
}

/// The token of an event.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice<'a> {
    /// The token's text, as an unparsed JSON string.
    #[serde(borrow)]
    pub text: &'a serde_json::value::RawValue,
    /// Why the generation ended; only the last token has one.
    pub finish_reason: Option<&'a str>,
}

/// Whether an engine accepts new generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It accepts new generations.
    Serving,
    /// It is loading a model.
    Loading,
    /// It accepts no new generations and will shut down.
    Leaving,
}

/// A load report of an engine. It lags behind the engine's real load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Load {
    /// Whether the engine accepts new generations.
    pub state: Phase,
    /// Generations being decoded.
    pub running: u32,
    /// Generations that wait in the queue of the engine.
    pub waiting: u32,
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
    /// Time of the report by the engine's clock, in milliseconds.
    pub report_ms: u64,
    /// Time until the engine shuts down, in milliseconds.
    #[serde(default)]
    pub leave_in_ms: Option<u64>,
    /// Current time between two tokens of a generation, in milliseconds.
    #[serde(default)]
    pub token_ms: f64,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    #[serde(rename = "type")]
    kind: String,
}

/// Returns the error type in an engine's error message, or `None` if `body` is not an error message.
pub fn error_type(body: &[u8]) -> Option<String> {
    Some(serde_json::from_slice::<ErrorBody>(body).ok()?.error.kind)
}
