//! Permits to run generations on engines. An entry host requests one before each attempt to start a generation; the
//! host that owns the engine grants or refuses it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::{document, name};

pub mod remote;
#[cfg(test)]
mod tests;

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the attempt to start a generation. A retry after an engine failed has a new id.
    pub attempt: Uuid,
    /// The model.
    pub model: name::Model,
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
}

/// No engine can accept the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no engine can accept the request within {retry_after:?}")]
pub struct Refusal {
    /// Time to wait before a retry.
    pub retry_after: Duration,
}

/// Permission to start a generation.
#[derive(Debug)]
pub struct Grant<P> {
    /// The engine on which to start the generation.
    pub engine: Arc<document::Engine>,
    /// Priority to send to the engine.
    pub engine_priority: u8,
    /// Reports the progress of the generation to the engine's owner.
    pub permit: P,
}

/// A granted permit. Dropping it cancels it at the owner.
pub trait Permit: Send + 'static {
    /// The generation produced its first token.
    fn started(&mut self, generation: Uuid);

    /// The generation finished after `produced` tokens.
    fn finished(self, produced: u64);

    /// The engine failed or refused the generation.
    fn failed(self);
}

/// Issues permits to requests.
pub trait Issuer: Send + Sync + 'static {
    /// The type of permit.
    type Permit: Permit;

    /// Requests a permit for one of `engines`, excluding those in `tried`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] as soon as it is known that no engine can accept the request in time.
    fn admit(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
        tried: &[name::Engine],
    ) -> impl Future<Output = Result<Grant<Self::Permit>, Refusal>> + Send;
}
