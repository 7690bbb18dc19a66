//! Finds out whether an engine ended while it worked on a request of this host.

use slog::info;

use super::context::Context;
use super::request::Head;
use crate::connect;
use crate::directory::Server;

/// Checks whether `server`, whose response to the request with this head was broken off, still accepts connections. It
/// had sent the first event `writing_ms` ago; `None` if it had sent none.
pub(crate) async fn check(
    context: &Context,
    head: &Head,
    server: &Server,
    writing_ms: Option<u64>,
) {
    if head.prompt.is_none() {
        return;
    }
    let ended = connect::is_refused(server.entry.address).await;
    context.instruments.count_action(if ended { "engine_ended" } else { "engine_kept" });
    info!(context.logger, "engine broke off a request"; "request" => &*head.id_text,
        "server" => server.entry.id.as_str(), "ended" => ended, "writing_ms" => writing_ms,
        "parts" => head.parts_text());
}
