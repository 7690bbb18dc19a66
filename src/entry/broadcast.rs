//! Sends load reports and changes in the store to the other entry hosts, and receives theirs.
//!
//! A lost datagram only causes a delay: full load reports are repeated, and a host that missed a change in the
//! store detects that with a freshness query.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::context::Context;
use super::freshness_query;
use crate::clock::boot_ms;
use crate::directory::{Change, Incarnation};
use crate::load::{Load, Report, Reporter, Stamp};
use crate::platform::registry;
use crate::store_sync::Reply;
use crate::{name, wire};

/// Largest message, in bytes: one datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// A message between entry hosts, as encoded.
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    /// Open requests of a host at each listed server. If `full`, the host has none at any other server.
    LoadReport {
        host: name::Host,
        incarnation: u64,
        sequence: u64,
        full: bool,
        loads: Vec<ServerLoad>,
    },
    /// A server is leaving, according to the store.
    ServerLeaving { incarnation: Incarnation },
    /// The entry of a new server, as stored.
    ServerAdded { key: String, value: Vec<u8> },
    /// The sender applied a document of this version.
    DocumentVersion { version: u64 },
    /// Asks for the age of the receiver's cached state.
    FreshnessQuery { query: u64 },
    /// Reply to the query with this number.
    FreshnessReply { query: u64, reply: Reply },
}

/// Open requests of a host at one server.
#[derive(Serialize, Deserialize)]
pub(crate) struct ServerLoad {
    server: name::Server,
    requests: u32,
    tokens: u64,
    prefill_tokens: u64,
}

impl From<(&name::Server, &Load)> for ServerLoad {
    fn from((server, load): (&name::Server, &Load)) -> Self {
        Self {
            server: server.clone(),
            requests: load.requests,
            tokens: load.tokens,
            prefill_tokens: load.prefill_tokens,
        }
    }
}

impl From<ServerLoad> for (name::Server, Load) {
    fn from(load: ServerLoad) -> Self {
        let ServerLoad { server, requests, tokens, prefill_tokens } = load;
        (server, Load { requests, tokens, prefill_tokens })
    }
}

impl Message {
    fn load_report(host: name::Host, report: &Report) -> Self {
        let Stamp { incarnation, sequence } = report.stamp;
        let loads = report.loads.iter().map(ServerLoad::from).collect();
        Self::LoadReport { host, incarnation, sequence, full: report.full, loads }
    }
}

/// Changes that are sent to the other hosts immediately.
pub(crate) struct Updates {
    /// Messages about changes in the store.
    pub(crate) store_changes: mpsc::Receiver<Message>,
    /// Servers at which a generation started or ended.
    pub(crate) load_changes: mpsc::Receiver<name::Server>,
}

/// Sends messages until the task is dropped.
pub(crate) async fn run(context: Arc<Context>, socket: Arc<UdpSocket>, mut updates: Updates) {
    let mut reporter = Reporter::new(rand::random());
    loop {
        let peers = peers(&context);
        let wait = Duration::from_millis(reporter.due_ms().saturating_sub(boot_ms()));
        let report = tokio::select! {
            Some(message) = updates.store_changes.recv() => {
                send(&context, &socket, &peers, &message).await;
                continue;
            }
            Some(server) = updates.load_changes.recv() => {
                let mut servers = HashSet::from([server]);
                while let Ok(server) = updates.load_changes.try_recv() {
                    servers.insert(server);
                }
                Some(reporter.partial_report(context.tracker().local(), servers))
            }
            () = tokio::time::sleep(wait) => {
                reporter.full_report(context.tracker().local(), peers.len(), boot_ms())
            }
        };
        if let Some(report) = report {
            let message = Message::load_report(context.settings.host.clone(), &report);
            send(&context, &socket, &peers, &message).await;
        }
    }
}

/// Addresses of the other entry hosts.
fn peers(context: &Context) -> Vec<SocketAddr> {
    let hosts = context.cache.hosts().unwrap_or_default();
    hosts
        .into_iter()
        .filter(|(host, _)| *host != context.settings.host)
        .map(|(_, address)| address)
        .collect()
}

/// Sends a message to `peers`.
pub(crate) async fn send(
    context: &Context,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    message: &Message,
) {
    let bytes = match wire::encode(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(context.logger, "cannot encode message to entry hosts"; "error" => error.to_string());
            return;
        }
    };
    for peer in peers {
        if socket.send_to(&bytes, peer).await.is_err() {
            // A stopped host refuses datagrams. The next full load report replaces a lost one.
            context.instruments.count_action("share_unsent");
        }
    }
}

/// Receives and applies messages until the task is dropped.
pub(crate) async fn receive(context: Arc<Context>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // The system also reports here that earlier datagrams were refused.
            context.instruments.count_action("share_refused");
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(message) = wire::decode::<Message>(&buffer[..length]) else {
            context.instruments.count_action("share_malformed");
            continue;
        };
        match message {
            Message::LoadReport { host, incarnation, sequence, full, loads } => {
                let loads = loads.into_iter().map(Into::into).collect();
                let stamp = Stamp { incarnation, sequence };
                let report = Report { stamp, full, loads };
                context.tracker().apply_report(host, report, boot_ms());
            }
            Message::ServerLeaving { incarnation } => {
                freshness_query::mark_leaving(&context, &incarnation, "host");
            }
            Message::ServerAdded { key, value } => add_server(&context, &key, &value),
            Message::DocumentVersion { version } => context.cache.check_document_version(version),
            Message::FreshnessQuery { query } => {
                freshness_query::answer(&context, &socket, sender, query).await;
            }
            Message::FreshnessReply { query, reply } => {
                freshness_query::apply_reply(&context, query, reply);
            }
        }
    }
}

/// Adds a server whose entry another host read from the store.
fn add_server(context: &Context, key: &str, value: &[u8]) {
    let Ok(entry) = registry::parse(key, value) else {
        context.instruments.count_action("share_malformed");
        return;
    };
    if let Some(Change::Added(id)) =
        context.cache.update_directory(|directory| directory.put(entry, boot_ms()))
    {
        info!(context.logger, "server added"; "server" => id.as_str(), "source" => "host");
    }
}
