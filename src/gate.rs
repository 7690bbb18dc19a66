//! Permits for engines, as an entry host asks for them.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::{document, name};

pub mod remote;
#[cfg(test)]
mod tests;

/// A request that needs an engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// The attempt, a new one for each engine that is tried.
    pub attempt: Uuid,
    /// The model.
    pub model: name::Model,
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
    /// Hash of the prompt's beginning.
    pub prefix: u64,
}

/// No engine can take the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no engine can take the request for {retry_after:?}")]
pub struct Refusal {
    /// When to come back.
    pub retry_after: Duration,
}

/// Permission to start a generation.
#[derive(Debug)]
pub struct Grant<P> {
    /// The engine to start it on.
    pub engine: Arc<document::Engine>,
    /// The priority to give to the engine.
    pub engine_priority: u8,
    /// Tells the engine's owner what becomes of the generation.
    pub permit: P,
}

/// A permit that was granted. Dropping it tells the owner that the generation was given up.
pub trait Permit: Send + 'static {
    /// The generation's first token came.
    fn started(&mut self, generation: Uuid);

    /// The generation ended after `produced` tokens.
    fn finished(self, produced: u64);

    /// The engine failed or refused the work.
    fn failed(self);
}

/// Grants permits.
pub trait Gate: Send + Sync + 'static {
    /// The permits it grants.
    type Permit: Permit;

    /// Asks for a permit for one of `engines`, except for those in `tried`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] as soon as it is known that no engine can take the request in time.
    fn admit(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
        tried: &[name::Engine],
    ) -> impl Future<Output = Result<Grant<Self::Permit>, Refusal>> + Send;
}
