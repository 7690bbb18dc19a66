//! A stand-in for a plain service, which counts executions.
//!
//! It accepts any method on any path. A call that has arrived is executed even if its caller disconnects.

mod control;
pub mod flags;
mod handler;

use std::net::SocketAddr;
use std::sync::Arc;

pub use control::{Change, Executions, State};
use handler::Service;

use crate::web::{self, Error, Stop};

/// Settings of a service at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Name of the service, contained in its responses.
    pub name: String,
    /// Time from a call to its effect, in milliseconds.
    pub work_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "service".to_owned(),
            work_ms: 0,
        }
    }
}

/// A running service, stopped on drop.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let service = standin::service::Server::start(standin::service::Settings::default())?;
/// assert_eq!(service.executions("01890a5d-ac96-774b-bcce-b302099a8057"), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    service: Arc<Service>,
    stop: Stop,
}

impl Server {
    /// Starts a service. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let stop = Stop::new();
        let requested = settings.address;
        let service = Arc::new(Service::new(settings, stop.clone()));
        let address = web::serve(requested, Arc::clone(&service), stop.clone())?;
        Ok(Self { address, service, stop })
    }

    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults.
    pub fn control(&self, change: Change) {
        self.service.control(change);
    }

    /// Faults and counters.
    pub fn state(&self) -> State {
        self.service.state()
    }

    /// Number of executed calls with this idempotency key.
    pub fn executions(&self, key: &str) -> u64 {
        self.service.executions().keys.get(key).copied().unwrap_or(0)
    }

    /// Numbers of executed calls.
    pub fn all_executions(&self) -> Executions {
        self.service.executions()
    }

    /// Closes the listener and all connections, as a killed process would.
    pub fn stop(&self) {
        self.stop.stop();
    }

    /// Whether the service is stopped.
    pub fn has_stopped(&self) -> bool {
        self.stop.is_stopped()
    }

    /// Waits until the service is stopped and its connections are closed.
    pub async fn stopped(&self) {
        self.stop.closed().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
