//! Node processes and their metrics.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmeghead::config::{Change, Record};
use nutmeghead::document::key_sha256;
use tokio::time::Instant;

use super::Error;
use crate::log;
use crate::relay::usage::Usage;

const FLEET_KEY: &str = "4242424242424242424242424242424242424242424242424242424242424242";
const ENVIRONMENT: &str = "membership";

/// Number of seed nodes that each node is started with.
const SEEDS: usize = 3;

/// Interval between two status requests to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for reading a node's metrics.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters and resource usage of a node at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) at: Instant,
    pub(super) sent_bytes: f64,
    pub(super) received_bytes: f64,
    pub(super) refutations: f64,
    pub(super) deaths: f64,
    pub(super) cpu_s: f64,
    pub(super) resident_kib: f64,
}

/// Membership and configuration state that a node reports.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    /// Number of members that the node knows.
    pub members: u64,
    /// Number of members that accept new work.
    pub alive: u64,
    /// Version of the node's document.
    pub document_version: u64,
}

/// A node process. Dropping it kills the process.
struct Process {
    child: Child,
    operators: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Node processes and their log. Dropping it stops all of them.
pub(super) struct Fleet {
    processes: Vec<Process>,
    binary: PathBuf,
    log: log::Server,
    client: Client<HttpConnector, Empty<Bytes>>,
}

/// Listen addresses of a node.
struct Addresses {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Unused addresses for all nodes. All sockets stay bound until the last address is chosen, so that no address is used
/// twice.
fn unused_addresses(count: usize) -> std::io::Result<Vec<Addresses>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind = |_| Ok((TcpListener::bind(any)?, TcpListener::bind(any)?, UdpSocket::bind(any)?));
    let sockets = (0..count).map(bind).collect::<std::io::Result<Vec<_>>>()?;
    let addresses = sockets.iter().map(|(callers, operators, peers)| {
        Ok(Addresses {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
        })
    });
    addresses.collect()
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

impl Fleet {
    /// Starts `count` nodes, distributed over three failure domains.
    pub(super) fn start(binary: &Path, count: usize) -> Result<Self, Error> {
        let process_error = |source| Error::Process { binary: binary.to_owned(), source };
        let log = log::Server::start(log::Settings::default())?;
        let addresses = unused_addresses(count).map_err(process_error)?;
        let mut processes = Vec::new();
        for (index, own) in addresses.iter().enumerate() {
            let child =
                command(binary, index, own, &log, &addresses).spawn().map_err(process_error)?;
            processes.push(Process { child, operators: own.operators });
        }
        let client = Client::builder(TokioExecutor::new()).build_http();
        Ok(Self { processes, binary: binary.to_owned(), log, client })
    }

    pub(super) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Appends the document that follows version `base` and returns its version. Versions of successive documents need not
    /// be consecutive, because other records, such as renewals, can be in between.
    pub(super) fn submit(&self, base: u64) -> Result<u64, Error> {
        let change = Change::Submit { base, text: document(base).into() };
        let record = Record::new("membership", change).encode()?;
        let offset = self.log.append(&format!("config.{ENVIRONMENT}"), record);
        Ok(offset + 1)
    }

    /// Kills the last node.
    pub(super) fn kill_last(&mut self) {
        self.processes.pop();
    }

    /// Sends a signal to one node.
    pub(super) fn signal(&self, index: usize, signal: &str) -> Result<(), Error> {
        let pid = self.processes[index].child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        sent.map_err(|source| Error::Process { binary: self.binary.clone(), source })?;
        Ok(())
    }

    /// Waits until `is_met` holds for the status of each node; `condition` names it in the error.
    pub(super) async fn wait(
        &self,
        condition: &'static str,
        timeout: Duration,
        is_met: impl Fn(Status) -> bool,
    ) -> Result<(), Error> {
        self.wait_from(0, condition, timeout, is_met).await
    }

    /// Waits until `is_met` holds for the status of each node but the first.
    pub(super) async fn wait_others(
        &self,
        condition: &'static str,
        timeout: Duration,
        is_met: impl Fn(Status) -> bool,
    ) -> Result<(), Error> {
        self.wait_from(1, condition, timeout, is_met).await
    }

    async fn wait_from(
        &self,
        first: usize,
        condition: &'static str,
        timeout: Duration,
        is_met: impl Fn(Status) -> bool,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        for index in first..self.len() {
            loop {
                let status = self.status(index).await;
                if status.is_some_and(&is_met) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(Error::Timeout {
                        nodes: self.len(),
                        node: index,
                        status,
                        condition,
                        timeout,
                    });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn status(&self, index: usize) -> Option<Status> {
        let text = self.metrics(index).await?;
        let value = |name| counter(&text, name).map(|value| value as u64);
        Some(Status {
            members: value("nutmeghead_members")?,
            alive: value("nutmeghead_members_alive")?,
            document_version: value("nutmeghead_document_version")?,
        })
    }

    pub(super) async fn sample_all(&self) -> Result<Vec<Sample>, Error> {
        let mut samples = Vec::new();
        for index in 0..self.len() {
            samples.push(self.sample(index).await.ok_or(Error::Counters(index))?);
        }
        Ok(samples)
    }

    async fn sample(&self, index: usize) -> Option<Sample> {
        let text = self.metrics(index).await?;
        let usage = Usage::read(self.processes[index].child.id())?;
        Some(Sample {
            at: Instant::now(),
            sent_bytes: counter(&text, "nutmeghead_peer_sent_bytes_total")?,
            received_bytes: counter(&text, "nutmeghead_peer_received_bytes_total")?,
            refutations: counter(&text, "nutmeghead_member_refutations_total")?,
            deaths: counter(&text, "nutmeghead_member_deaths_total")?,
            cpu_s: usage.cpu_s(),
            resident_kib: usage.resident_kib as f64,
        })
    }

    async fn metrics(&self, index: usize) -> Option<String> {
        let operators = self.processes[index].operators;
        let uri: http::Uri = format!("http://{operators}/metrics").parse().ok()?;
        let read = async {
            let response = self.client.get(uri).await.ok()?;
            let body = response.into_body().collect().await.ok()?.to_bytes();
            String::from_utf8(body.to_vec()).ok()
        };
        tokio::time::timeout(READ_TIMEOUT, read).await.ok()?
    }
}

/// The value of a counter or gauge without labels in the text format of Prometheus.
pub(super) fn counter(text: &str, name: &str) -> Option<f64> {
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

fn command(
    binary: &Path,
    index: usize,
    own: &Addresses,
    log: &log::Server,
    fleet: &[Addresses],
) -> Command {
    let mut command = Command::new(binary);
    command
        .args(["serve", "--name", &name(index), "--region", "local", "--environment", ENVIRONMENT])
        .args(["--domain", ["a", "b", "c"][index % 3], "--workers", "1"])
        .args(["--caller-address", &own.callers.to_string()])
        .args(["--operator-address", &own.operators.to_string()])
        .args(["--peer-address", &own.peers.to_string()])
        .args(["--log-address", &log.address().to_string(), "--fleet-key", FLEET_KEY]);
    for (seed, addresses) in fleet.iter().enumerate().take(SEEDS) {
        command.args(["--seed", &format!("{}={}", name(seed), addresses.peers)]);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command
}

fn document(base: u64) -> String {
    let key = key_sha256("membership");
    format!(
        "[policy]\nmax_wait_ms = {}\n\n[[organisations]]\nname = \"one\"\nkey_sha256 = [\"{key}\"]\n\n\
         [[workloads]]\nname = \"one\"\npriority = 5\n",
        1_000 + base
    )
}
