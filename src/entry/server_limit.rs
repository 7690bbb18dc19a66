//! Limits of servers: what their responses say, and what the entry hosts tell each other.

use serde::{Deserialize, Serialize};
use slog::info;

use super::broadcast::Message;
use super::cold_start;
use super::context::Context;
use super::facts::{self, Fact};
use crate::clock::boot_ms;
use crate::directory::{Incarnation, Server};
use crate::rate::{Limit, Notice, Share};

/// The limit of a server, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct ServerLimit {
    incarnation: Incarnation,
    /// `None` once it names no limit any more.
    limit: Option<Limit>,
}

impl ServerLimit {
    /// The limit that a server incarnation names; `None` once it names none any more.
    pub(crate) fn new(incarnation: Incarnation, limit: Option<Limit>) -> Self {
        Self { incarnation, limit }
    }
}

impl Fact for ServerLimit {
    fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn apply(&self, context: &Context, server: &Server) -> bool {
        let notice = server.pace().hear(self.limit, boot_ms());
        handle_change(context, server, self.limit, notice, "host");
        notice.tell
    }

    fn into_message(self) -> Message {
        Message::ServerLimit(self)
    }
}

/// Applies what `server` said in the response to a request that was sent at `sent_ms`.
pub(crate) fn observe(context: &Context, server: &Server, limit: Option<Limit>, sent_ms: u64) {
    let notice = server.pace().observe(limit, sent_ms, boot_ms());
    handle_change(context, server, limit, notice, "response");
    if notice.tell {
        facts::announce(context, ServerLimit::new(server.entry.incarnation(), limit));
    }
}

/// Updates the share of this host in the requests for `server`, if it names a limit or has one while it is cold.
pub(crate) fn update_share(context: &Context, server: &Server, now_ms: u64) {
    cold_start::update_limit(context, server, now_ms);
    let Some(limit) = server.pace().limit_to_share(now_ms) else { return };
    if let Some((share, spacing_ms)) = cold_start::share(context, server, limit, now_ms) {
        let mut pace = server.pace();
        pace.set_cold_spacing(spacing_ms);
        pace.set_share(share, rand::random(), now_ms);
        return;
    }
    let senders = limit.senders(context.cache.host_count().unwrap_or(usize::MAX));
    let is_sender = context.is_keeper(server.entry.id.as_str(), senders);
    server.pace().set_share(Share { senders, is_sender }, rand::random(), now_ms);
}

/// Logs a change of a limit, and derives the share of this host in it.
fn handle_change(
    context: &Context,
    server: &Server,
    limit: Option<Limit>,
    notice: Notice,
    source: &'static str,
) {
    if notice.is_new {
        update_share(context, server, boot_ms());
        context.instruments.count_action("server_limit");
        info!(context.logger, "server names another limit"; "server" => server.entry.id.as_str(),
            "per_s" => limit.map(Limit::per_s), "source" => source);
    }
}
