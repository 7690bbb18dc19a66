//! Asks other entry hosts how old their beliefs are, and answers the same.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;
use tokio::net::UdpSocket;

use super::context::Context;
use super::share::{self, Message};
use crate::clock::boot_ms;
use crate::directory::Incarnation;
use crate::store_sync::{QUERY_INTERVAL, Reply};

/// Asks again and again, while this host's beliefs are not young, until the task is dropped.
pub(crate) async fn ask(context: Arc<Context>, socket: Arc<UdpSocket>) {
    loop {
        tokio::time::sleep(QUERY_INTERVAL).await;
        let now_ms = boot_ms();
        if !context.beliefs.known().is_stale(now_ms) {
            continue;
        }
        let Some(reader) = reader(&context, now_ms) else { continue };
        let question = context.beliefs.ask(now_ms);
        share::send(&context, &socket, &[reader], &Message::Ask { question }).await;
    }
}

/// Another host that follows the store.
fn reader(context: &Context, now_ms: u64) -> Option<SocketAddr> {
    let own = &context.settings.host;
    let heard = context.ledger().current_hosts(own, now_ms);
    let rank = context.ledger().rank(own, now_ms);
    let name = heard.get(rank.pick_reader(rand::random())).filter(|name| *name != own)?;
    context.beliefs.hosts()?.get(name).copied()
}

/// Answers the question of another host, if this one knows anything.
pub(crate) async fn answer(
    context: &Context,
    socket: &UdpSocket,
    asker: SocketAddr,
    question: u64,
) {
    let Some(statement) = context.beliefs.statement(boot_ms()) else { return };
    share::send(context, socket, &[asker], &Message::Statement { question, statement }).await;
}

/// Takes in an answer.
pub(crate) fn take(context: &Context, question: u64, statement: Reply) {
    for life in &statement.leaving {
        leave(context, life, "host");
    }
    context.beliefs.conclude(question, &statement);
}

/// Takes in that a server leaves. `source` tells who found out.
pub(crate) fn leave(context: &Context, life: &Incarnation, source: &'static str) {
    if context.beliefs.leave(life, boot_ms()) {
        info!(context.logger, "server leaving"; "server" => life.id.as_str(), "source" => source);
    }
}
