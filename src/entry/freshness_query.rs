//! Queries other entry hosts for the age of their cached state, and answers such queries.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;
use tokio::net::UdpSocket;

use super::broadcast::{self, Message};
use super::context::Context;
use crate::clock::boot_ms;
use crate::directory::Life;
use crate::proof::{ASK_INTERVAL, Statement};

/// Sends a query every [`ASK_INTERVAL`] while this host's cached state is old, until the task is dropped.
pub(crate) async fn run(context: Arc<Context>, socket: Arc<UdpSocket>) {
    loop {
        tokio::time::sleep(ASK_INTERVAL).await;
        let now_ms = boot_ms();
        if !context.cache.known().is_old(now_ms) {
            continue;
        }
        let Some(reader) = choose_reader(&context, now_ms) else { continue };
        let query = context.cache.begin_query(now_ms);
        broadcast::send(&context, &socket, &[reader], &Message::FreshnessQuery { query }).await;
    }
}

/// Chooses a random host among the others that read the store.
fn choose_reader(context: &Context, now_ms: u64) -> Option<SocketAddr> {
    let own = &context.settings.host;
    let hosts = context.ledger().heard(own, now_ms);
    let rank = context.ledger().rank(own, now_ms);
    let name = hosts.get(rank.pick(rand::random())).filter(|name| *name != own)?;
    context.cache.hosts()?.get(name).copied()
}

/// Answers a query of another host, once this host knows the document and all servers.
pub(crate) async fn answer(context: &Context, socket: &UdpSocket, sender: SocketAddr, query: u64) {
    let Some(statement) = context.cache.statement(boot_ms()) else { return };
    let message = Message::FreshnessAnswer { query, statement };
    broadcast::send(context, socket, &[sender], &message).await;
}

/// Applies the answer to a query.
pub(crate) fn apply_answer(context: &Context, query: u64, statement: Statement) {
    for life in &statement.left {
        mark_leaving(context, life, "host");
    }
    context.cache.apply_statement(query, &statement);
}

/// Marks a server as leaving. `source` names in the log where that was learnt from.
pub(crate) fn mark_leaving(context: &Context, life: &Life, source: &'static str) {
    if context.cache.mark_leaving(life, boot_ms()) {
        info!(context.logger, "server leaving"; "server" => life.id.as_str(), "source" => source);
    }
}
