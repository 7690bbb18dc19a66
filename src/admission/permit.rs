//! Permits of generations that run on an engine.

use super::length::Length;
use super::message::Ask;

/// The distribution of lengths of one workload.
#[derive(Clone, Debug)]
pub(super) struct Class {
    pub workload: crate::name::Workload,
    pub length: Length,
}

/// The right of one generation to run on the engine.
#[derive(Clone, Debug)]
pub(super) struct Permit {
    pub ask: Ask,
    /// Index of its workload's class.
    pub class: usize,
    /// The engine's token clock when the first token was expected.
    pub started_at: f64,
    /// When its entry host last spoke of it, in milliseconds.
    pub renewed_ms: u64,
    /// Buckets of its class that count it already.
    pub passed: usize,
    /// The priority that the engine has for it.
    pub engine_priority: u8,
}

impl Permit {
    /// Tokens that it is expected to have produced at `clock`.
    pub fn produced(&self, clock: f64) -> f64 {
        (clock - self.started_at).max(0.0).min(self.limit())
    }

    /// Tokens that it holds in the engine's memory at `clock`.
    pub fn held(&self, clock: f64) -> f64 {
        f64::from(self.ask.prompt_tokens) + self.produced(clock)
    }

    /// Most tokens that it may produce.
    pub fn limit(&self) -> f64 {
        self.ask.max_tokens.map_or(f64::INFINITY, f64::from)
    }
}
