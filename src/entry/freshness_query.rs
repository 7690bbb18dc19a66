//! Queries readers, the entry hosts that poll the store, for the age of their cached state, and replies to such
//! queries.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;
use tokio::net::UdpSocket;

use super::broadcast::{self, Message};
use super::context::Context;
use super::evacuations;
use crate::clock::boot_ms;
use crate::directory::{Incarnation, Server};
use crate::store_sync::{QUERY_INTERVAL, Reply};

/// Sends a query every [`QUERY_INTERVAL`] while this host's cached state is old, until the task is dropped.
pub(crate) async fn run(context: Arc<Context>, socket: Arc<UdpSocket>) {
    loop {
        tokio::time::sleep(QUERY_INTERVAL).await;
        let now_ms = boot_ms();
        if !context.cache.watermark().needs_query(now_ms) {
            continue;
        }
        let view = context.roster_view();
        let Some(reader) = view.pick_reader(rand::random()).map(|reader| reader.address) else {
            continue;
        };
        // The reader may not know that a domain was evacuated, and would not tell of the end.
        if let Some(message) =
            evacuations::message(&context).filter(|_| context.evacuations.is_active())
        {
            broadcast::send(&context, &socket, &[reader], &message).await;
        }
        let query = context.cache.begin_query(now_ms);
        broadcast::send(&context, &socket, &[reader], &Message::FreshnessQuery { query }).await;
    }
}

/// Replies to a query of another host, once this host knows the document and all servers.
pub(crate) async fn answer(context: &Context, socket: &UdpSocket, sender: SocketAddr, query: u64) {
    let Some(reply) = context.cache.reply(boot_ms()) else { return };
    // Sent before the reply, which confirms the document, and with it the records of evacuations, as the newest.
    if let Some(message) = evacuations::message(context) {
        broadcast::send(context, socket, &[sender], &message).await;
    }
    let message = Message::FreshnessReply { query, reply };
    broadcast::send(context, socket, &[sender], &message).await;
}

/// Applies the reply to a query.
pub(crate) fn apply_reply(context: &Context, query: u64, reply: Reply) {
    for incarnation in &reply.leaving {
        mark_leaving(context, incarnation, "reply");
    }
    context.cache.apply_reply(query, &reply, boot_ms());
}

/// Marks a server as leaving that said so itself, and notifies the other hosts if this host did not know.
pub(crate) fn report_leaving(context: &Context, server: &Server, source: &'static str) {
    let incarnation = server.entry.incarnation();
    if mark_leaving(context, &incarnation, source) {
        let message = Message::ServerChanges { leaving: vec![incarnation], added: Vec::new() };
        context.send(context.roster_view().witness_receivers(), message);
    }
}

/// Marks a server as leaving. `source` is logged: who reported it. Returns whether its phase changed.
pub(crate) fn mark_leaving(
    context: &Context,
    incarnation: &Incarnation,
    source: &'static str,
) -> bool {
    let changed = context.cache.mark_leaving(incarnation, boot_ms());
    if changed {
        info!(context.logger, "server leaving"; "server" => incarnation.id.as_str(), "source" => source);
    }
    changed
}
