//! Tells other entry hosts how many requests this one has open at each server and which servers leave, and hears the
//! same from them.
//!
//! Each message states everything anew, so a lost datagram costs nothing but time.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::context::Context;
use crate::clock::boot_ms;
use crate::load::{News, Pace, Share, Stamp};
use crate::{name, wire};

/// Largest message, in bytes: one datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// A message, as written.
#[derive(Serialize, Deserialize)]
enum Message {
    /// Open requests of a host: all, or those at some servers.
    Shares { host: name::Host, life: u64, number: u64, whole: bool, shares: Vec<Entry> },
    /// The store says that a server leaves.
    Leaving { server: name::Server },
}

#[derive(Serialize, Deserialize)]
struct Entry {
    server: name::Server,
    requests: u32,
    tokens: u64,
    unread: u64,
}

impl From<(&name::Server, &Share)> for Entry {
    fn from((server, share): (&name::Server, &Share)) -> Self {
        Self {
            server: server.clone(),
            requests: share.requests,
            tokens: share.tokens,
            unread: share.unread,
        }
    }
}

impl From<Entry> for (name::Server, Share) {
    fn from(entry: Entry) -> Self {
        let share = Share { requests: entry.requests, tokens: entry.tokens, unread: entry.unread };
        (entry.server, share)
    }
}

impl Message {
    fn new(host: name::Host, news: &News) -> Self {
        let Stamp { life, number } = news.stamp;
        let shares = news.shares.iter().map(Entry::from).collect();
        Self::Shares { host, life, number, whole: news.whole, shares }
    }
}

/// What the other hosts should hear of at once.
pub(crate) struct Urgent {
    /// Servers that leave.
    pub(crate) leaving: mpsc::Receiver<name::Server>,
    /// Engines at which a generation began or ended.
    pub(crate) changed: mpsc::Receiver<name::Server>,
}

/// Sends messages until the task is dropped.
pub(crate) async fn tell(context: Arc<Context>, socket: Arc<UdpSocket>, mut urgent: Urgent) {
    let mut pace = Pace::new(rand::random());
    loop {
        let peers = peers(&context);
        let wait = Duration::from_millis(pace.due_ms().saturating_sub(boot_ms()));
        let news = tokio::select! {
            Some(server) = urgent.leaving.recv() => {
                send(&context, &socket, &peers, &Message::Leaving { server }).await;
                continue;
            }
            Some(server) = urgent.changed.recv() => {
                let mut servers = HashSet::from([server]);
                while let Ok(server) = urgent.changed.try_recv() {
                    servers.insert(server);
                }
                Some(pace.changes(context.ledger().own(), servers))
            }
            () = tokio::time::sleep(wait) => {
                pace.whole(context.ledger().own(), peers.len(), boot_ms())
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

async fn send(context: &Context, socket: &UdpSocket, peers: &[SocketAddr], message: &Message) {
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
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // Refusals of earlier datagrams are reported here as well.
            context.instruments.act("share_refused");
            tokio::task::yield_now().await;
            continue;
        };
        match wire::decode::<Message>(&buffer[..length]) {
            Ok(Message::Shares { host, life, number, whole, shares }) => {
                let shares = shares.into_iter().map(Into::into).collect();
                let news = News { stamp: Stamp { life, number }, whole, shares };
                context.ledger().told(host, news, boot_ms());
            }
            Ok(Message::Leaving { server }) => {
                if context.beliefs.update(|directory| directory.leave(&server)) {
                    info!(context.logger, "server leaving"; "server" => server.as_str(),
                        "source" => "host");
                }
            }
            Err(_) => context.instruments.act("share_malformed"),
        }
    }
}
