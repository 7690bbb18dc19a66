//! Permits of generations that run on an engine.

use super::length::Distribution;
use super::message::Request;

/// Generation lengths of one workload.
#[derive(Clone, Debug)]
pub(super) struct Class {
    pub workload: crate::name::Workload,
    pub lengths: Distribution,
}

/// Permission for one generation to run on the engine.
#[derive(Clone, Debug)]
pub(super) struct Permit {
    pub request: Request,
    /// Index of the workload's class.
    pub class: usize,
    /// Token clock of the controller at the expected or reported first token.
    pub started_at: f64,
    /// Time of the grant or of the last renewal, in milliseconds.
    pub renewed_ms: u64,
    /// Number of buckets of the class in which this generation is already counted.
    pub counted_buckets: usize,
    /// Priority at the engine.
    pub engine_priority: u8,
}

impl Permit {
    /// Tokens expected to be produced by the time `token_clock`.
    pub fn produced(&self, token_clock: f64) -> f64 {
        (token_clock - self.started_at).max(0.0).min(self.max_tokens())
    }

    /// Memory in use at the time `token_clock`, in tokens.
    pub fn memory_tokens(&self, token_clock: f64) -> f64 {
        f64::from(self.request.prompt_tokens) + self.produced(token_clock)
    }

    /// Upper limit of the tokens to generate; infinite if the caller gave none.
    pub fn max_tokens(&self) -> f64 {
        self.request.max_tokens.map_or(f64::INFINITY, f64::from)
    }
}
