//! A node process with its own log and document.

use std::fmt::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use nutmeghead::config::{Change, Record};
use nutmeghead::document::key_sha256;
use tokio::time::Instant;

use super::caller::{BEARER, MODEL};
use super::{Error, MEMORY_TOKENS};
use crate::log;

/// Time limit for the node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The key of a fleet with a single node.
const FLEET_KEY: &str = "4242424242424242424242424242424242424242424242424242424242424242";

/// A running node and its log. Dropping it kills the node.
#[derive(Debug)]
pub(super) struct Node {
    address: SocketAddr,
    process: Child,
    /// Keeps the log running as long as the node.
    _log: log::Server,
}

impl Node {
    /// Starts a node in front of `engines` and waits until it is ready.
    pub(super) async fn start(binary: &Path, engines: &[SocketAddr]) -> Result<Self, Error> {
        let log = log::Server::start(log::Settings::default())?;
        let text = document(engines).into();
        let record = Record::new("relay", Change::Submit { base: 0, text });
        log.append("config.relay", record.encode()?);
        let start_error = |source| Error::Start { binary: binary.to_owned(), source };
        let (address, operators, peers) = unused_addresses().map_err(start_error)?;
        let process = Command::new(binary)
            .args([
                "serve",
                "--name",
                "entry-1",
                "--region",
                "local",
                "--domain",
                "a",
                "--environment",
                "relay",
            ])
            .args([
                "--caller-address",
                &address.to_string(),
                "--operator-address",
                &operators.to_string(),
            ])
            .args([
                "--peer-address",
                &peers.to_string(),
                "--log-address",
                &log.address().to_string(),
            ])
            .args(["--fleet-key", FLEET_KEY])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(start_error)?;
        let node = Self { address, process, _log: log };
        node.wait_ready(operators).await?;
        Ok(node)
    }

    /// The listen address for callers.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The process ID.
    pub(super) fn pid(&self) -> u32 {
        self.process.id()
    }

    async fn wait_ready(&self, operators: SocketAddr) -> Result<(), Error> {
        let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let uri: http::Uri =
            format!("http://{operators}/readyz").parse().map_err(|_| Error::NotReady)?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if client.get(uri.clone()).await.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(Error::NotReady)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Unused addresses for callers, operators and peers.
fn unused_addresses() -> std::io::Result<(SocketAddr, SocketAddr, SocketAddr)> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let sockets = (TcpListener::bind(any)?, TcpListener::bind(any)?, UdpSocket::bind(any)?);
    Ok((sockets.0.local_addr()?, sockets.1.local_addr()?, sockets.2.local_addr()?))
}

/// A document with limits that admit all streams.
fn document(engines: &[SocketAddr]) -> String {
    let key = key_sha256(BEARER);
    let mut text = format!(
        "[policy]\nurgent_headroom = 0.0\nmax_wait_ms = 10000\nmax_running = 65536\n\n\
         [[organisations]]\nname = \"relay\"\nkey_sha256 = [\"{key}\"]\nmax_open = 1000000\n\n\
         [[workloads]]\nname = \"relay\"\npriority = 5\n\n\
         [[models]]\nname = \"{MODEL}\"\nworkload = \"relay\"\n"
    );
    for (index, address) in engines.iter().enumerate() {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[[engines]]\nname = \"engine-{index}\"\naddress = \"{address}\"\ndomain = \"a\"\n\
             models = [\"{MODEL}\"]\nmemory_tokens = {MEMORY_TOKENS}\n"
        );
    }
    text
}
