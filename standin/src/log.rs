//! A stand-in for the platform's log service.

mod control;
pub mod flags;
mod handler;
mod stream;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
pub use control::{Change, State};
use handler::Service;
pub use stream::Record;

use crate::web::{self, Error, Stop};

/// Settings of a log at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Largest rate of appends to all streams together, per second.
    pub append_rate: f64,
    /// Largest number of records that a stream retains.
    pub retention_records: usize,
    /// Age up to which a stream retains records, in milliseconds.
    pub retention_ms: u64,
    /// Seed of random faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            append_rate: 500.0,
            retention_records: 1_000_000,
            retention_ms: 7 * 86_400_000,
            seed: 1,
        }
    }
}

/// A running log, stopped on drop.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let log = standin::log::Server::start(standin::log::Settings::default())?;
/// assert_eq!(log.append("claims.0", "first".into()), 0);
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
    /// Starts a log. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let stop = Stop::new();
        let requested = settings.address;
        let service = Arc::new(Service::new(settings));
        let address = web::serve(requested, Arc::clone(&service), stop.clone())?;
        Ok(Self { address, service, stop })
    }

    /// The address that the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes faults and limits.
    pub fn control(&self, change: Change) {
        self.service.control(change);
    }

    /// Faults, limits and counters.
    pub fn state(&self) -> State {
        self.service.state()
    }

    /// Appends a record regardless of faults and limits, and returns its offset.
    pub fn append(&self, stream: &str, body: Bytes) -> u64 {
        self.service.append(stream, body)
    }

    /// The retained records of a stream.
    pub fn records(&self, stream: &str) -> Vec<Record> {
        self.service.records(stream)
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.stop.stop();
    }

    /// Waits until the log is stopped and its connections are closed.
    pub async fn stopped(&self) {
        self.stop.closed().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
