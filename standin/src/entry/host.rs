//! An entry host process.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;

use super::Error;
use crate::platform::Host;

/// Time limit for the entry host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "NUTMEGHEAD_SETTINGS";

/// A running entry host. Dropping it kills the process.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
    caller_address: SocketAddr,
    /// Contains the settings file; deleted when dropped.
    _directory: tempfile::TempDir,
}

impl Process {
    /// Starts an entry host and waits until it is ready.
    pub(super) async fn start(binary: &Path, store: SocketAddr) -> Result<Self, Error> {
        let directory = tempfile::tempdir()?;
        let path = directory.path().join("settings.toml");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        // All sockets are bound at once so that the ports differ, and released before the process binds them.
        let sockets = [TcpListener::bind(any)?, TcpListener::bind(any)?, TcpListener::bind(any)?];
        let (peers, metrics) = (UdpSocket::bind(any)?, sockets[2].local_addr()?);
        let host = Host {
            name: "front-a-1",
            caller_address: sockets[0].local_addr()?,
            readiness_address: sockets[1].local_addr()?,
            peer_port: peers.local_addr()?.port(),
            store_address: store,
        };
        drop((sockets, peers));
        std::fs::write(&path, host.settings())?;
        let child = Command::new(binary)
            .args(["entry", "--metrics-port", &metrics.port().to_string()])
            .env(SETTINGS_VARIABLE, &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        let process = Self { child, caller_address: host.caller_address, _directory: directory };
        wait_ready(host.readiness_address).await?;
        Ok(process)
    }

    /// The listen address for callers.
    pub(super) fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// The process ID.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn wait_ready(address: SocketAddr) -> Result<(), Error> {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri: http::Uri =
        format!("http://{address}/api/readyz").parse().map_err(|_| Error::NotReady)?;
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if client.get(uri.clone()).await.is_ok_and(|response| response.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
    Err(Error::NotReady)
}
