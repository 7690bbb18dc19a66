//! Servers that break off requests: what this host sees, and what the entry hosts tell each other.

use serde::{Deserialize, Serialize};
use slog::info;

use super::broadcast::Message;
use super::context::Context;
use super::facts::{self, Fact};
use crate::clock::boot_ms;
use crate::directory::{Incarnation, Server};
use crate::name;

/// What a host has seen of a server, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct ServerBreaks {
    incarnation: Incarnation,
    /// The host that saw it. A reader sends the message back to it with its group.
    host: name::Host,
    /// Requests that the server broke off since its last response to this host; 0 after a response.
    breaks: u32,
}

impl Fact for ServerBreaks {
    fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn apply(&self, context: &Context, server: &Server) -> bool {
        if self.host == context.settings.host {
            return false;
        }
        let was_suspected = server.suspicion().is_suspected();
        let is_news = if self.breaks == 0 {
            server.suspicion().hear_response()
        } else {
            let turn = turn(context, server);
            server.suspicion().hear_break(&self.host, self.breaks, turn, boot_ms())
        };
        log_change(context, server, was_suspected, "host");
        is_news
    }

    fn into_message(self) -> Message {
        Message::ServerBreaks(self)
    }
}

/// Records that `server` accepted a connection and broke off the request that was sent on it.
pub(crate) fn record_break(context: &Context, server: &Server) {
    let turn = turn(context, server);
    let was_suspected = server.suspicion().is_suspected();
    let breaks = server.suspicion().record_break(turn, boot_ms());
    log_change(context, server, was_suspected, "request");
    announce(context, server, breaks);
}

/// Records a response of `server` to a request that was sent at `sent_ms`.
pub(crate) fn record_response(context: &Context, server: &Server, sent_ms: u64) {
    let was_suspected = server.suspicion().is_suspected();
    if server.suspicion().record_response(sent_ms) {
        log_change(context, server, was_suspected, "request");
        announce(context, server, 0);
    }
}

fn announce(context: &Context, server: &Server, breaks: u32) {
    let (incarnation, host) = (server.entry.incarnation(), context.settings.host.clone());
    facts::announce(context, ServerBreaks { incarnation, host, breaks });
}

/// The position of this host among those that try `server` in turn.
fn turn(context: &Context, server: &Server) -> usize {
    let standing = context.standing(server.entry.id.as_str(), |listed| listed);
    standing.map_or(0, |standing| standing.live_rank)
}

fn log_change(context: &Context, server: &Server, was_suspected: bool, source: &'static str) {
    let is_suspected = server.suspicion().is_suspected();
    if was_suspected == is_suspected {
        return;
    }
    let action = if is_suspected { "server_set_aside" } else { "server_cleared" };
    context.instruments.count_action(action);
    info!(context.logger, "server breaks off requests"; "server" => server.entry.id.as_str(),
        "set_aside" => is_suspected, "source" => source);
}
