//! The model engine stand-in.
//!
//! A completion produces the tokens ` t0`, ` t1` and so on. A prompt with a word `len=N` has a true length of N tokens;
//! any other prompt has a random heavy-tailed one.

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
pub use order::Seen;
pub use stream::Events;
use uuid::Uuid;

use self::core::Core;
use crate::web::{self, Error, Stop};

/// How an engine behaves from its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Speed and memory.
    pub model: model::Settings,
    /// Models loaded at the start; with none, every model is served.
    pub models: Vec<String>,
    /// Version at the start.
    pub version: String,
    /// Role at the start.
    pub role: String,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
    /// Waiting generations above which new work is refused.
    pub max_waiting: usize,
    /// How long a generation goes on without a reader, in milliseconds.
    pub linger_ms: u64,
    /// How long an ended generation can be read, in milliseconds.
    pub keep_ms: u64,
    /// How long an order takes, in milliseconds.
    pub order_ms: u64,
    /// Age at which cache events are published, in milliseconds.
    pub cache_lag_ms: u64,
    /// Every cache event of which the number is a multiple of this is left out; 0 leaves out none.
    pub cache_gap: u64,
    /// Whether a token's text tells when it was sent: ` t7@MICROSECONDS`, since the Unix epoch.
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
            keep_ms: 30_000,
            order_ms: 0,
            cache_lag_ms: 500,
            cache_gap: 10,
            stamps: false,
        }
    }
}

/// A running engine. Dropping it stops it.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes its behaviour.
    pub fn control(&self, change: Change) {
        self.core.control(change);
    }

    /// Its behaviour and counters.
    pub fn state(&self) -> State {
        self.core.state()
    }

    /// How often generations were started for a request.
    pub fn executions(&self, request_id: &str) -> u64 {
        self.core.executions(request_id)
    }

    /// Tokens that a generation has produced and whether it has ended; none if it is unknown.
    pub fn progress(&self, generation: Uuid) -> Option<(u32, bool)> {
        self.core.progress(generation)
    }

    /// The orders received, in order.
    pub fn orders(&self) -> Vec<Seen> {
        self.core.orders()
    }

    /// Closes the listener and all connections, as a killed process would.
    pub fn stop(&self) {
        self.stop.stop();
    }

    /// Waits until it is stopped and its connections are closed.
    pub async fn stopped(&self) {
        self.stop.closed().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
