//! Tells other entry hosts how many requests this one has open at each server and what it found in the store, and hears
//! the same from them.
//!
//! A lost datagram costs nothing but time: all open requests are stated again and again, and a host that misses something
//! of the store finds out by asking.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::ask;
use super::context::Context;
use crate::clock::boot_ms;
use crate::directory::{Change, Incarnation};
use crate::load::{Load, Report, Reporter, Stamp};
use crate::platform::registry;
use crate::store_sync::Reply;
use crate::{name, wire};

/// Largest message, in bytes: one datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// A message, as written.
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    /// Open requests of a host: all, or those at some servers.
    Shares { host: name::Host, life: u64, number: u64, whole: bool, shares: Vec<Entry> },
    /// The store says that a server leaves.
    Leaving { life: Incarnation },
    /// An entry of a server that is new, as the store holds it.
    Added { key: String, value: Vec<u8> },
    /// A document of this version is in force.
    Document { version: u64 },
    /// Asks how old the other host's beliefs are.
    Ask { question: u64 },
    /// Answers that.
    Statement { question: u64, statement: Reply },
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Entry {
    server: name::Server,
    requests: u32,
    tokens: u64,
    unread: u64,
}

impl From<(&name::Server, &Load)> for Entry {
    fn from((server, share): (&name::Server, &Load)) -> Self {
        Self {
            server: server.clone(),
            requests: share.requests,
            tokens: share.tokens,
            unread: share.pending_prefill,
        }
    }
}

impl From<Entry> for (name::Server, Load) {
    fn from(entry: Entry) -> Self {
        let share =
            Load { requests: entry.requests, tokens: entry.tokens, pending_prefill: entry.unread };
        (entry.server, share)
    }
}

impl Message {
    fn new(host: name::Host, news: &Report) -> Self {
        let Stamp { incarnation: life, sequence: number } = news.stamp;
        let shares = news.loads.iter().map(Entry::from).collect();
        Self::Shares { host, life, number, whole: news.full, shares }
    }
}

/// What the other hosts should hear of at once.
pub(crate) struct Urgent {
    /// What was found in the store.
    pub(crate) found: mpsc::Receiver<Message>,
    /// Engines at which a generation began or ended.
    pub(crate) changed: mpsc::Receiver<name::Server>,
}

/// Sends messages until the task is dropped.
pub(crate) async fn tell(context: Arc<Context>, socket: Arc<UdpSocket>, mut urgent: Urgent) {
    let mut pace = Reporter::new(rand::random());
    loop {
        let peers = peers(&context);
        let wait = Duration::from_millis(pace.due_ms().saturating_sub(boot_ms()));
        let news = tokio::select! {
            Some(found) = urgent.found.recv() => {
                send(&context, &socket, &peers, &found).await;
                continue;
            }
            Some(server) = urgent.changed.recv() => {
                let mut servers = HashSet::from([server]);
                while let Ok(server) = urgent.changed.try_recv() {
                    servers.insert(server);
                }
                Some(pace.partial_report(context.ledger().local(), servers))
            }
            () = tokio::time::sleep(wait) => {
                pace.full_report(context.ledger().local(), peers.len(), boot_ms())
            }
        };
        if let Some(news) = news {
            let message = Message::new(context.settings.host.clone(), &news);
            send(&context, &socket, &peers, &message).await;
        }
    }
}

fn peers(context: &Context) -> Vec<SocketAddr> {
    let hosts = context.beliefs.hosts().unwrap_or_default();
    hosts.into_iter().filter(|(host, _)| *host != context.settings.host).map(|(_, a)| a).collect()
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
            warn!(context.logger, "message not sent"; "error" => error.to_string());
            return;
        }
    };
    for peer in peers {
        if socket.send_to(&bytes, peer).await.is_err() {
            // A host that is gone refuses datagrams; the next message states everything again.
            context.instruments.act("share_unsent");
        }
    }
}

/// Takes in messages until the task is dropped.
pub(crate) async fn hear(context: Arc<Context>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // Refusals of earlier datagrams are reported here as well.
            context.instruments.act("share_refused");
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(message) = wire::decode::<Message>(&buffer[..length]) else {
            context.instruments.act("share_malformed");
            continue;
        };
        match message {
            Message::Shares { host, life, number, whole, shares } => {
                let shares = shares.into_iter().map(Into::into).collect();
                let news = Report {
                    stamp: Stamp { incarnation: life, sequence: number },
                    full: whole,
                    loads: shares,
                };
                context.ledger().apply_report(host, news, boot_ms());
            }
            Message::Leaving { life } => ask::leave(&context, &life, "host"),
            Message::Added { key, value } => add(&context, &key, &value),
            Message::Document { version } => context.beliefs.hear_of_document(version),
            Message::Ask { question } => ask::answer(&context, &socket, sender, question).await,
            Message::Statement { question, statement } => ask::take(&context, question, statement),
        }
    }
}

/// Takes in the entry of a server that another host found in the store.
fn add(context: &Context, key: &str, value: &[u8]) {
    let Ok(entry) = registry::parse(key, value) else {
        context.instruments.act("share_malformed");
        return;
    };
    if let Some(Change::Added(id)) =
        context.beliefs.update(|directory| directory.put(entry, boot_ms()))
    {
        info!(context.logger, "server added"; "server" => id.as_str(), "source" => "host");
    }
}
