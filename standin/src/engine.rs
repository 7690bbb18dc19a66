//! A stand-in for a model engine.
//!
//! A completion produces the tokens ` t0`, ` t1` and so on. A prompt with a word `len=N` has a true length of N tokens;
//! any other prompt has a random length with a heavy-tailed distribution.

mod cache;
mod clock;
mod control;
mod core;
pub mod flags;
mod generation;
mod handler;
mod inner;
mod length;
pub mod model;
mod order;
mod stream;
#[cfg(test)]
mod tests;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;

pub use cache::prefix;
pub use control::{Change, Counters, Faults, Refusal, State};
pub use order::Record as OrderRecord;
pub use stream::Events;
use uuid::Uuid;

use self::core::Core;
use crate::web::{self, Error, Stop};

/// Settings of an engine at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Speed and capacity.
    pub model: model::Settings,
    /// Models loaded at the start; if empty, every model is served.
    pub models: Vec<String>,
    /// Version at the start.
    pub version: String,
    /// Role at the start.
    pub role: String,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
    /// Number of waiting generations at which new work is refused.
    pub max_waiting: usize,
    /// How long a generation continues without a reader, in milliseconds.
    pub linger_ms: u64,
    /// How long a generation can be read after its end, in milliseconds.
    pub retention_ms: u64,
    /// Duration of an order, in milliseconds.
    pub order_ms: u64,
    /// Delay until a cache event is published, in milliseconds.
    pub cache_lag_ms: u64,
    /// Cache events whose sequence number is a multiple of this are left out; 0 leaves out none.
    pub cache_gap: u64,
    /// Whether the text of a token contains the time of sending, in microseconds since the Unix epoch:
    /// ` t7@MICROSECONDS`.
    pub stamps: bool,
}

impl Default for Settings {
    fn default() -> Self {
        let model = model::Settings {
            base_step_us: 20_000,
            per_sequence_us: 0,
            ..model::Settings::default()
        };
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            model,
            models: Vec::new(),
            version: "1".to_owned(),
            role: "mixed".to_owned(),
            fences: true,
            max_waiting: 256,
            linger_ms: 30_000,
            retention_ms: 30_000,
            order_ms: 0,
            cache_lag_ms: 500,
            cache_gap: 10,
            stamps: false,
        }
    }
}

/// A running engine, stopped on drop.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let engine = standin::engine::Server::start(standin::engine::Settings::default())?;
/// engine.control(standin::engine::Change { frozen: Some(true), ..Default::default() });
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    core: Arc<Core>,
    stop: Stop,
}

impl Server {
    /// Starts an engine. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let stop = Stop::new();
        let requested = settings.address;
        let core = Arc::new(Core::new(settings, stop.clone()));
        let address = web::serve(requested, Arc::clone(&core), stop.clone())?;
        tokio::spawn(Arc::clone(&core).run());
        Ok(Self { address, core, stop })
    }

    /// The address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults.
    pub fn control(&self, change: Change) {
        self.core.control(change);
    }

    /// Faults, load and counters.
    pub fn state(&self) -> State {
        self.core.state()
    }

    /// Number of generations started for a request.
    pub fn executions(&self, request_id: &str) -> u64 {
        self.core.executions(request_id)
    }

    /// Number of tokens that a generation has produced, and whether it has ended; none if it is unknown.
    pub fn progress(&self, generation: Uuid) -> Option<(u32, bool)> {
        self.core.progress(generation)
    }

    /// The orders received, in order.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.core.orders()
    }

    /// Whether the engine was stopped.
    pub fn has_stopped(&self) -> bool {
        self.core.has_stopped()
    }

    /// Closes the listener and all connections, as a killed process would.
    pub fn stop(&self) {
        self.stop.stop();
    }

    /// Waits until the engine is stopped and its connections are closed.
    pub async fn stopped(&self) {
        self.stop.closed().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
