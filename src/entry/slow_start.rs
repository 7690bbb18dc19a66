//! Slow start of servers: when it begins, what responses and other hosts say of it, and this host's part.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::info;

use super::broadcast::Message;
use super::context::Context;
use super::facts::{self, Fact};
use crate::clock::boot_ms;
use crate::directory::{Incarnation, Phase, Server};
use crate::lifecycle;
use crate::name;
use crate::slow_start::{Change, Outcome};

/// A change of a server's window, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct ServerWindow {
    incarnation: Incarnation,
    /// The host that saw the response. A reader sends the message back to it with its group.
    host: name::Host,
    change: WindowChange,
}

/// [`Change`], as encoded.
#[derive(Clone, Copy, Serialize, Deserialize)]
enum WindowChange {
    Began,
    Grown { requests: u32 },
    Reduced { requests: u32 },
    Ended,
}

impl From<Change> for WindowChange {
    fn from(change: Change) -> Self {
        match change {
            Change::Began => Self::Began,
            Change::Grown(requests) => Self::Grown { requests },
            Change::Reduced(requests) => Self::Reduced { requests },
            Change::Ended => Self::Ended,
        }
    }
}

impl From<WindowChange> for Change {
    fn from(change: WindowChange) -> Self {
        match change {
            WindowChange::Began => Self::Began,
            WindowChange::Grown { requests } => Self::Grown(requests),
            WindowChange::Reduced { requests } => Self::Reduced(requests),
            WindowChange::Ended => Self::Ended,
        }
    }
}

impl Fact for ServerWindow {
    fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn apply(&self, context: &Context, server: &Server) -> bool {
        if self.host == context.settings.host || !is_enabled(context, server) {
            return false;
        }
        let slots = server.entry.slots;
        let is_change = server.slow_start().hear(self.change.into(), slots, boot_ms());
        if is_change {
            log(context, server, "host");
        }
        true
    }

    fn into_message(self) -> Message {
        Message::ServerWindow(self)
    }
}

/// Whether servers of the service of `server` have a slow start: it is wanted where cold servers have a limit. Plain
/// services, whose errors are not a sign of too many requests, have none.
fn is_enabled(context: &Context, server: &Server) -> bool {
    let service = &server.entry.service;
    context.cold(service).is_some_and(|cold| cold.limit.is_some())
}

/// Begins slow start of `server` for `reason`, unless this host itself is starting: all servers are new to it then.
pub(crate) fn begin(context: &Context, server: &Server, reason: &'static str) {
    if context.control.phase() == lifecycle::Phase::Starting || !is_enabled(context, server) {
        return;
    }
    let mut window = server.slow_start();
    // Another host may have told of the window before.
    if window.is_active() {
        return;
    }
    window.begin(server.entry.slots, boot_ms());
    drop(window);
    log(context, server, reason);
}

/// Begins slow start of the server `id`, which was added.
pub(crate) fn begin_added(context: &Context, id: &name::Server) {
    let server = context.cache.update_directory(|directory| directory.server(id).cloned());
    if let Some(server) = server {
        begin(context, &server, "added");
    }
}

/// Updates the part of this host in the window of `server`, if it has one.
pub(crate) fn update_share(context: &Context, server: &Server, now_ms: u64) {
    if !server.slow_start().needs_position(now_ms) {
        return;
    }
    if let Some(standing) = context.standing(server.entry.id.as_str(), |listed| listed) {
        server.slow_start().set_position(standing.live_rank, standing.live, now_ms);
    }
}

/// Whether `server` has room for one more request of this host, or all servers of its service that accept requests have a
/// window: then its requests go to the least loaded ones.
pub(crate) fn may_send(context: &Context, server: &Server, now_ms: u64) -> bool {
    if !server.slow_start().is_active() {
        return true;
    }
    update_share(context, server, now_ms);
    // The request itself already counts.
    let is_idle = context.tracker().total(&server.entry.id, now_ms).requests <= 1;
    let mut window = *server.slow_start();
    window.leave();
    if window.has_room(is_idle, now_ms) {
        return true;
    }
    let servers = context.cache.servers(&server.entry.service);
    let mut ready = servers.iter().filter(|server| server.phase() == Phase::Ready);
    ready.all(|server| server.slow_start().is_active())
}

/// Records that a request to `server`, which was begun at `sent_ms`, failed, was rejected or, unless `is_sent`, could not be
/// sent. The latter does not show that the server has too many requests.
pub(crate) fn record_failure(context: &Context, server: &Server, is_sent: bool, sent_ms: u64) {
    if !is_enabled(context, server) {
        return;
    }
    let now_ms = boot_ms();
    let score = context.tracker().failure_score(&server.entry.id, now_ms);
    server.slow_start().note_score(score);
    if is_sent {
        record(context, server, Outcome::Bad, sent_ms);
    }
}

fn record(context: &Context, server: &Server, outcome: Outcome, sent_ms: u64) {
    let change = server.slow_start().record(outcome, server.entry.slots, sent_ms, boot_ms());
    let Some(change) = change else { return };
    if matches!(change, Change::Began | Change::Ended) {
        log(context, server, "response");
    }
    let host = context.settings.host.clone();
    let incarnation = server.entry.incarnation();
    facts::announce(context, ServerWindow { incarnation, host, change: change.into() });
}

fn log(context: &Context, server: &Server, reason: &'static str) {
    let requests = server.slow_start().requests();
    let action = if requests.is_some() { "slow_start_began" } else { "slow_start_ended" };
    context.instruments.count_action(action);
    info!(context.logger, "slow start of server"; "server" => server.entry.id.as_str(),
        "window" => requests, "reason" => reason);
}

/// A request that awaits the response of a server, or the first event of a stream, until this is dropped.
pub(crate) struct Awaiting {
    context: Arc<Context>,
    server: Arc<Server>,
    sent_ms: u64,
}

impl Awaiting {
    pub(crate) fn new(context: &Arc<Context>, server: &Arc<Server>) -> Self {
        server.slow_start().enter();
        Self { context: Arc::clone(context), server: Arc::clone(server), sent_ms: boot_ms() }
    }

    /// Records a successful response, which should arrive within `objective`.
    pub(crate) fn answer(self, objective: Duration) {
        if !is_enabled(&self.context, &self.server) {
            return;
        }
        let elapsed_ms = boot_ms().saturating_sub(self.sent_ms);
        let objective_ms = u64::try_from(objective.as_millis()).unwrap_or(u64::MAX);
        let outcome = Outcome::new(elapsed_ms, objective_ms);
        record(&self.context, &self.server, outcome, self.sent_ms);
    }
}

impl Drop for Awaiting {
    fn drop(&mut self) {
        self.server.slow_start().leave();
    }
}
