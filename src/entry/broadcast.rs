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

use super::cold_start::ColdServer;
use super::context::Context;
use super::crash;
use super::evacuations;
use super::facts;
use super::freshness_query;
use super::full_server::FullServer;
use super::homes::{self, HostRegion};
use super::origins::{self, OriginQuery, OriginReply, StreamOrigin};
use super::server_limit::ServerLimit;
use super::server_speeds::{self, ServerSpeed};
use super::suspects::ServerBreaks;
use super::transfers::{self, Transfer};
use crate::clock::boot_ms;
use crate::directory::{Change, Entry, Incarnation, Phase};
use crate::load::{Load, Report, Reporter, Stamp};
use crate::platform::registry;
use crate::store_sync::Reply;
use crate::{evacuation, name, quarantine, wire};

/// Largest message, in bytes: one datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// A message between entry hosts, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Open requests of a host at each listed server. If `full`, the host has none at any other server.
    LoadReport {
        host: name::Host,
        incarnation: u64,
        sequence: u64,
        full: bool,
        loads: Vec<ServerLoad>,
    },
    /// A server is leaving, according to the store. Sent by earlier builds only.
    ServerLeaving { incarnation: Incarnation },
    /// The entry of a new server, as stored. Sent by earlier builds only.
    ServerAdded { key: String, value: Vec<u8> },
    /// The sender applied a document of this version.
    DocumentVersion { version: u64 },
    /// Asks for the age of the receiver's cached state.
    FreshnessQuery { query: u64 },
    /// Reply to the query with this number.
    FreshnessReply { query: u64, reply: Reply },
    /// Servers that left, according to one read of the store. Earlier builds also list servers that joined, without the
    /// versions of their software.
    ServerChanges { leaving: Vec<Incarnation>, added: Vec<AddedServer> },
    /// Servers that joined, according to one read of the store, with the versions of their software.
    ServersAdded { added: Vec<JoinedServer> },
    /// Where streams began. The receiver remembers it.
    StreamOrigins { origins: Vec<StreamOrigin> },
    /// Asks where a stream began.
    OriginQuery(OriginQuery),
    /// Reply to a query for the origin of a stream.
    OriginReply(OriginReply),
    /// What the sender knows of parts of prompts under which engines crashed.
    PromptParts(quarantine::wire::Message),
    /// The limit that a server names for the requests of all hosts together.
    ServerLimit(ServerLimit),
    /// A server that bears few rejections turned a request away.
    FullServer(FullServer),
    /// The evacuated failure domains that the sender knows.
    Evacuations(evacuation::Snapshot),
    /// What the sender measured and heard of the speed of servers.
    ServerSpeeds(Vec<ServerSpeed>),
    /// A server that is cold again.
    ColdServer(ColdServer),
    /// The window of a server in slow start. Sent by earlier builds only; what follows is not read.
    ServerWindow,
    /// Region of the sender.
    HostRegion(HostRegion),
    /// A migration of the sender begins to copy, or has ended.
    Transfer(Transfer),
    /// Requests that a server broke off, or its response after that.
    ServerBreaks(ServerBreaks),
}

/// The entry of a server that accepts requests.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct AddedServer {
    incarnation: Incarnation,
    service: name::Service,
    address: SocketAddr,
    domain: name::Domain,
    slots: u32,
    cold_ms: u64,
}

impl From<&Entry> for AddedServer {
    fn from(entry: &Entry) -> Self {
        Self {
            incarnation: entry.incarnation(),
            service: entry.service.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            slots: entry.slots,
            cold_ms: entry.cold_ms,
        }
    }
}

/// The entry of a server that accepts requests, with the version of its software.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct JoinedServer {
    server: AddedServer,
    build: Option<name::Build>,
}

impl From<&Entry> for JoinedServer {
    fn from(entry: &Entry) -> Self {
        Self { server: entry.into(), build: entry.build.clone() }
    }
}

impl From<JoinedServer> for Entry {
    fn from(JoinedServer { server, build }: JoinedServer) -> Self {
        let AddedServer { incarnation, service, address, domain, slots, cold_ms } = server;
        let Incarnation { id, started_ms } = incarnation;
        let phase = Phase::Ready;
        Self { id, service, address, domain, slots, cold_ms, started_ms, build, phase }
    }
}

/// Open requests of a host at one server.
#[derive(Clone, Serialize, Deserialize)]
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

/// A message about a change in the store.
pub(crate) struct Notice {
    pub(crate) message: Message,
    pub(crate) origin: Origin,
}

/// Where this host learnt of a change, which determines who else has to be notified.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// It read the change from the store.
    Store,
    /// Another host sent it.
    Host,
}

/// A message and its receivers.
pub(crate) type Envelope = (Vec<SocketAddr>, Message);

/// Changes that are sent to the other hosts immediately.
pub(crate) struct Updates {
    /// Notices of changes in the store.
    pub(crate) store_changes: mpsc::Receiver<Notice>,
    /// Servers at which a generation started or ended.
    pub(crate) load_changes: mpsc::Receiver<name::Server>,
    /// Messages of requests.
    pub(crate) messages: mpsc::Receiver<Envelope>,
}

/// Sends messages until the task is dropped.
pub(crate) async fn run(context: Arc<Context>, socket: Arc<UdpSocket>, updates: &mut Updates) {
    let mut reporter = Reporter::new(rand::random());
    loop {
        let wait = Duration::from_millis(reporter.due_ms().saturating_sub(boot_ms()));
        let report = tokio::select! {
            Some(notice) = updates.store_changes.recv() => {
                let view = context.roster_view();
                let receivers = match notice.origin {
                    Origin::Store => view.receivers(),
                    Origin::Host => view.forward_receivers(),
                };
                send(&context, &socket, &receivers, &notice.message).await;
                continue;
            }
            Some((receivers, message)) = updates.messages.recv() => {
                send(&context, &socket, &receivers, &message).await;
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
                let peers = context.cache.peers(&context.settings.host).len();
                let mut tracker = context.tracker();
                tracker.set_peers(peers);
                reporter.full_report(tracker.local(), peers, boot_ms())
            }
        };
        if let Some(report) = report {
            let message = Message::load_report(context.settings.host.clone(), &report);
            let peers = context.cache.peers(&context.settings.host);
            send(&context, &socket, &peers, &message).await;
        }
    }
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

/// Receives and applies messages until the task is dropped. Changes in the store are forwarded through `notices`.
pub(crate) async fn receive(
    context: Arc<Context>,
    socket: Arc<UdpSocket>,
    notices: mpsc::Sender<Notice>,
) {
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
                // A host that started later than this one read the list of hosts.
                if context.cache.put_host(host.clone(), sender) {
                    info!(context.logger, "host added"; "peer" => host.as_str(), "source" => "host");
                }
                let loads = loads.into_iter().map(Into::into).collect();
                let stamp = Stamp { incarnation, sequence };
                let report = Report { stamp, full, loads };
                if context.tracker().apply_report(host.clone(), report, boot_ms()) {
                    crash::inform(&context, &host, sender);
                    homes::inform(&context, sender);
                }
            }
            Message::ServerLeaving { incarnation } => {
                freshness_query::mark_leaving(&context, &incarnation, "host");
            }
            Message::ServerAdded { key, value } => match registry::parse(&key, &value) {
                Ok(entry) => {
                    add_server(&context, entry);
                }
                Err(_) => context.instruments.count_action("share_malformed"),
            },
            Message::ServerChanges { mut leaving, added: _ } => {
                // Servers without a version of their software are read from the store.
                leaving.retain(|server| freshness_query::mark_leaving(&context, server, "host"));
                notify_server_changes(&context, &notices, Origin::Host, leaving, Vec::new());
            }
            Message::ServersAdded { mut added } => {
                added.retain(|server| add_server(&context, server.clone().into()));
                notify_server_changes(&context, &notices, Origin::Host, Vec::new(), added);
            }
            Message::StreamOrigins { origins } => origins::keep(&context, origins),
            Message::OriginQuery(query) => {
                let reply = origins::answer(&context, query);
                send(&context, &socket, &[sender], &reply).await;
            }
            Message::OriginReply(reply) => origins::apply_reply(&context, sender, reply),
            Message::PromptParts(message) => crash::apply(&context, message),
            Message::ServerLimit(fact) => facts::receive(&context, fact),
            Message::FullServer(fact) => facts::receive(&context, fact),
            Message::Evacuations(snapshot) => evacuations::receive(&context, &notices, snapshot),
            Message::ServerWindow => {}
            Message::DocumentVersion { version } => {
                context.cache.check_document_version(version, boot_ms());
            }
            Message::ServerSpeeds(speeds) => server_speeds::receive(&context, speeds),
            Message::ColdServer(fact) => facts::receive(&context, fact),
            Message::ServerBreaks(fact) => facts::receive(&context, fact),
            Message::Transfer(transfer) => transfers::receive(&context, &transfer),
            Message::HostRegion(announced) => homes::receive(&context, sender, announced),
            Message::FreshnessQuery { query } => {
                freshness_query::answer(&context, &socket, sender, query).await;
            }
            Message::FreshnessReply { query, reply } => {
                freshness_query::apply_reply(&context, query, reply);
            }
        }
    }
}

/// Adds a server whose entry another host read from the store. Returns whether it is new.
fn add_server(context: &Context, entry: Entry) -> bool {
    let build = entry.build.as_ref().map(ToString::to_string);
    let change = context.cache.update_directory(|directory| directory.put(entry, boot_ms()));
    let Some(Change::Added(id)) = change else { return false };
    info!(context.logger, "server added"; "server" => id.as_str(), "build" => build.as_deref(),
        "source" => "host");
    origins::doubt_former(context, &id);
    true
}

/// Queues notices of servers that left or joined.
pub(crate) fn notify_server_changes(
    context: &Context,
    notices: &mpsc::Sender<Notice>,
    origin: Origin,
    leaving: Vec<Incarnation>,
    added: Vec<JoinedServer>,
) {
    if !leaving.is_empty() {
        let message = Message::ServerChanges { leaving, added: Vec::new() };
        notify_hosts(context, notices, Notice { message, origin });
    }
    if !added.is_empty() {
        notify_hosts(context, notices, Notice { message: Message::ServersAdded { added }, origin });
    }
}

/// Queues a notice for the other hosts. If the queue is full, it is dropped, and the other hosts learn of the change a
/// little later, from a freshness query or from the store.
pub(crate) fn notify_hosts(context: &Context, notices: &mpsc::Sender<Notice>, notice: Notice) {
    if notices.try_send(notice).is_err() {
        context.instruments.count_action("find_untold");
    }
}

#[cfg(test)]
mod tests;
