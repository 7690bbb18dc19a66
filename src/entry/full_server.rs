//! Servers that bear few rejections: what their responses say, and what the entry hosts tell each other of rejections.

use serde::{Deserialize, Serialize};
use slog::info;

use super::broadcast::Message;
use super::context::Context;
use super::facts::{self, Fact};
use crate::clock::boot_ms;
use crate::directory::{Incarnation, Server};

/// A server that turned a request away, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct FullServer {
    incarnation: Incarnation,
    /// Requests that it bears to turn away in a second.
    rejections_per_s: u32,
}

impl FullServer {
    /// A server incarnation that bears `rejections_per_s` and turned a request away.
    pub(crate) fn new(incarnation: Incarnation, rejections_per_s: u32) -> Self {
        Self { incarnation, rejections_per_s }
    }
}

impl Fact for FullServer {
    fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn apply(&self, context: &Context, server: &Server) -> bool {
        server.room().state(Some(self.rejections_per_s));
        reject(context, server)
    }

    fn into_message(self) -> Message {
        Message::FullServer(self)
    }
}

/// Applies what `server` said in a response, which turned the request away if `is_rejection`.
pub(crate) fn observe(
    context: &Context,
    server: &Server,
    rejections_per_s: Option<u32>,
    is_rejection: bool,
) {
    let was_brittle = server.room().rejections_per_s().is_some();
    server.room().state(rejections_per_s);
    if was_brittle != rejections_per_s.is_some() {
        info!(context.logger, "server bears few rejections"; "server" => server.entry.id.as_str(),
            "per_s" => rejections_per_s);
    }
    let Some(rejections_per_s) = rejections_per_s.filter(|_| is_rejection) else { return };
    if reject(context, server) {
        facts::announce(context, FullServer::new(server.entry.incarnation(), rejections_per_s));
    }
}

/// Records a rejection. Returns whether other hosts should know.
fn reject(context: &Context, server: &Server) -> bool {
    let hosts = context.cache.host_count().unwrap_or(1).max(1);
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    // The rest goes to one request each of some hosts, which all hosts derive alike.
    let slots = server.entry.slots;
    let has_rest = context.is_keeper(server.entry.id.as_str(), (slots % hosts) as usize);
    let share = slots / hosts + u32::from(has_rest);
    let is_new = server.room().reject(share, boot_ms());
    if is_new {
        context.instruments.count_action("server_full");
    }
    is_new
}
