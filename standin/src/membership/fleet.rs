//! Node processes and what they tell of themselves.

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

/// Nodes that every node knows at its start.
const SEEDS: usize = 3;

/// Pause before a node that is not there yet is asked again.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Time allowed for reading a node's counters.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// What a node tells, and what it uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) at: Instant,
    pub(super) sent: f64,
    pub(super) received: f64,
    pub(super) refutations: f64,
    pub(super) deaths: f64,
    pub(super) cpu_s: f64,
    pub(super) resident_kib: f64,
}

/// What a node says of its state.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    /// Members in its view.
    pub members: u64,
    /// Members that take new work.
    pub alive: u64,
    /// Version of its document.
    pub document: u64,
}

/// One process, stopped when dropped.
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

/// Node processes with a log. Dropping it stops them all.
pub(super) struct Fleet {
    processes: Vec<Process>,
    binary: PathBuf,
    log: log::Server,
    client: Client<HttpConnector, Empty<Bytes>>,
}

struct Addresses {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Free addresses for all nodes. All are held until the last is found, so that none is given twice.
fn addresses(count: usize) -> std::io::Result<Vec<Addresses>> {
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
    /// Starts `count` nodes over three failure domains.
    pub(super) fn start(binary: &Path, count: usize) -> Result<Self, Error> {
        let process = |source| Error::Process { binary: binary.to_owned(), source };
        let log = log::Server::start(log::Settings::default())?;
        let addresses = addresses(count).map_err(process)?;
        let mut processes = Vec::new();
        for (index, own) in addresses.iter().enumerate() {
            let child = command(binary, index, own, &log, &addresses).spawn().map_err(process)?;
            processes.push(Process { child, operators: own.operators });
        }
        let client = Client::builder(TokioExecutor::new()).build_http();
        Ok(Self { processes, binary: binary.to_owned(), log, client })
    }

    pub(super) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Appends the document that follows version `base`, and returns its version. Other records, such as renewals, can
    /// come between two documents.
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

    /// Waits until `done` holds at all nodes.
    pub(super) async fn wait(
        &self,
        what: &'static str,
        limit: Duration,
        done: impl Fn(Status) -> bool,
    ) -> Result<(), Error> {
        self.wait_from(0, what, limit, done).await
    }

    /// Waits until `done` holds at all nodes but the first.
    pub(super) async fn wait_others(
        &self,
        what: &'static str,
        limit: Duration,
        done: impl Fn(Status) -> bool,
    ) -> Result<(), Error> {
        self.wait_from(1, what, limit, done).await
    }

    async fn wait_from(
        &self,
        first: usize,
        what: &'static str,
        limit: Duration,
        done: impl Fn(Status) -> bool,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + limit;
        for index in first..self.len() {
            loop {
                let seen = self.status(index).await;
                if seen.is_some_and(&done) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(Error::Late { nodes: self.len(), node: index, seen, what, limit });
                }
                tokio::time::sleep(POLL_PAUSE).await;
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
            document: value("nutmeghead_document_version")?,
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
            sent: counter(&text, "nutmeghead_peer_sent_bytes_total")?,
            received: counter(&text, "nutmeghead_peer_received_bytes_total")?,
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
    all: &[Addresses],
) -> Command {
    let mut command = Command::new(binary);
    command
        .args(["serve", "--name", &name(index), "--region", "local", "--environment", ENVIRONMENT])
        .args(["--domain", ["a", "b", "c"][index % 3], "--workers", "1"])
        .args(["--caller-address", &own.callers.to_string()])
        .args(["--operator-address", &own.operators.to_string()])
        .args(["--peer-address", &own.peers.to_string()])
        .args(["--log-address", &log.address().to_string(), "--fleet-key", FLEET_KEY]);
    for (seed, addresses) in all.iter().enumerate().take(SEEDS) {
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
