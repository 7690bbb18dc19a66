//! Tells other entry hosts how many requests this one has open at each server and which servers leave, and hears the
//! same from them.
//!
//! Each message states everything anew, so a lost datagram costs nothing but time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::context::Context;
use crate::clock::boot_ms;
use crate::load::{SHARE_LIFETIME_MS, Share};
use crate::{name, wire};

/// Time between two messages to all hosts while no generation is placed, in milliseconds.
const INTERVAL_MS: u64 = 300;

/// Datagrams that a host sends in a second at most; with many hosts, messages become rarer.
const DATAGRAMS_PER_S: u64 = 400;

/// Time after which a host without open requests says so again, in milliseconds.
const REPEAT_MS: u64 = SHARE_LIFETIME_MS / 3;

/// Largest message, in bytes: one datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// A message, as written.
#[derive(Serialize, Deserialize)]
enum Message {
    /// All open requests of a host.
    Shares { host: name::Host, shares: Vec<Entry> },
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

/// Sends messages until the task is dropped.
pub(crate) async fn tell(
    context: Arc<Context>,
    socket: Arc<UdpSocket>,
    mut leaving: mpsc::Receiver<name::Server>,
) {
    let mut told = HashMap::new();
    let mut told_ms = 0;
    let mut due = Instant::now();
    loop {
        let peers = peers(&context);
        tokio::select! {
            Some(server) = leaving.recv() => {
                send(&context, &socket, &peers, &Message::Leaving { server }).await;
                continue;
            }
            () = next(&context, due) => {}
        }
        due = Instant::now() + Duration::from_millis(peers.len() as u64 * 1_000 / DATAGRAMS_PER_S);
        let now_ms = boot_ms();
        let own = context.ledger().own().clone();
        if own == told && now_ms.saturating_sub(told_ms) < REPEAT_MS {
            continue;
        }
        let shares = own.iter().map(Entry::from).collect();
        let message = Message::Shares { host: context.settings.host.clone(), shares };
        send(&context, &socket, &peers, &message).await;
        (told, told_ms) = (own, now_ms);
    }
}

/// Waits until the next message is due: other hosts should know of a generation before they place theirs; ends and
/// growth can wait.
async fn next(context: &Context, due: Instant) {
    tokio::time::sleep_until(due).await;
    // Either way it is time for a message.
    let _ =
        tokio::time::timeout(Duration::from_millis(INTERVAL_MS), context.placed.notified()).await;
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
            Ok(Message::Shares { host, shares }) => {
                let shares = shares.into_iter().map(Into::into).collect();
                context.ledger().told(host, shares, boot_ms());
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
