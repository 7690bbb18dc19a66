//! Messages of the engine's HTTP calls.

use serde::{Deserialize, Serialize};

/// A request for a completion.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Completion {
    pub(super) model: String,
    pub(super) prompt: String,
    #[serde(default)]
    pub(super) max_tokens: Option<u32>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) priority: u8,
    #[serde(default)]
    pub(super) request_id: String,
}

/// A change of the priority of a generation.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Patch {
    pub(super) priority: u8,
}

/// Whether an engine accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Phase {
    Serving,
    Loading,
    Leaving,
}

/// A load report.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Load {
    pub(super) state: Phase,
    pub(super) role: String,
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) memory_tokens: u64,
    pub(super) used_tokens: u64,
    pub(super) preemptions: u64,
    pub(super) report_ms: u64,
    pub(super) leave_in_ms: Option<u64>,
    pub(super) token_ms: f64,
}
