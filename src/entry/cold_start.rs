//! Cold engines: what their entries and responses and other hosts say, and this host's share of the requests that each of
//! them gets while it is cold.

use serde::{Deserialize, Serialize};
use slog::info;

use super::broadcast::Message;
use super::context::Context;
use super::facts::{self, Fact};
use crate::clock::boot_ms;
use crate::cold::{Plan, Standing};
use crate::directory::{Incarnation, Server};
use crate::freshness::Purpose;
use crate::name;
use crate::rate::{Limit, Share};
use crate::route::Cold;

/// Time after its start in which a host sends nothing to cold engines, in milliseconds. The other hosts learn meanwhile
/// that they share the limit with it, and it learns of them.
const MEET_MS: u64 = 2_000;

/// An engine that is cold again, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct ColdServer {
    incarnation: Incarnation,
    /// How long it stays cold, in milliseconds.
    left_ms: u64,
}

impl ColdServer {
    /// A server incarnation that stays cold for `left_ms`.
    pub(crate) fn new(incarnation: Incarnation, left_ms: u64) -> Self {
        Self { incarnation, left_ms }
    }
}

impl Fact for ColdServer {
    fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn apply(&self, context: &Context, server: &Server) -> bool {
        let is_news = server.cold().extend(self.left_ms, boot_ms());
        if is_news {
            log(context, server, "host");
        }
        is_news
    }

    fn into_message(self) -> Message {
        Message::ColdServer(self)
    }
}

/// Applies the time that `server` stays cold, as stated in the response to a request that was sent at `sent_ms`.
pub(crate) fn observe(context: &Context, server: &Server, left_ms: u64, sent_ms: u64) {
    let now_ms = boot_ms();
    let is_news = server.cold().observe(left_ms, sent_ms, now_ms);
    if is_news {
        log(context, server, "response");
        announce(context, server, now_ms);
    }
}

/// Tells the other hosts that a known incarnation is cold again, according to its entry in the store.
pub(crate) fn report_entry(context: &Context, incarnation: &Incarnation) {
    let server =
        context.cache.update_directory(|directory| directory.server(&incarnation.id).cloned());
    if let Some(server) = server {
        log(context, &server, "store");
        announce(context, &server, boot_ms());
    }
}

fn announce(context: &Context, server: &Server, now_ms: u64) {
    let left_ms = server.cold().until_ms().saturating_sub(now_ms);
    facts::announce(context, ColdServer::new(server.entry.incarnation(), left_ms));
}

fn log(context: &Context, server: &Server, source: &'static str) {
    context.instruments.count_action("server_cold");
    let left_ms = server.cold().until_ms().saturating_sub(boot_ms());
    info!(context.logger, "server is cold"; "server" => server.entry.id.as_str(),
        "ms" => left_ms, "source" => source);
}

impl Context {
    /// Records that all engines of a failure domain are cold for as long as after a start, as at the end of an evacuation.
    /// Every host learns that end itself, so other hosts are not told.
    pub(crate) fn mark_domain_cold(&self, domain: &name::Domain) {
        let now_ms = boot_ms();
        for server in self.cache.update_directory(|directory| directory.servers_in(domain)) {
            let Some(cold) = self.cold(&server.entry.service) else { continue };
            let left_ms = u64::try_from(cold.start.as_millis()).unwrap_or(u64::MAX);
            if server.cold().extend(left_ms, now_ms) {
                log(self, &server, "evacuation");
            }
        }
    }

    /// What the document says of cold servers of `service`.
    pub(crate) fn cold(&self, service: &name::Service) -> Option<Cold> {
        self.cache.current(Purpose::Continuation, boot_ms())?.table.cold(service)
    }
}

/// Sets the limit of `server` while it is cold, if its service has one.
pub(crate) fn update_limit(context: &Context, server: &Server, now_ms: u64) {
    let until_ms = server.cold().until_ms();
    if now_ms >= until_ms {
        return;
    }
    if let Some(limit) = context.cold(&server.entry.service).and_then(|cold| cold.limit) {
        let limit = context.settings.bounds.cold.shared_limit(limit);
        server.pace().set_cold(limit, until_ms, now_ms);
    }
}

/// The share of this host in `limit`, which is in force at `server`, and the shortest time between two of its requests in
/// milliseconds; `None` if `server` has no limit as a cold one.
pub(crate) fn share(
    context: &Context,
    server: &Server,
    limit: Limit,
    now_ms: u64,
) -> Option<(Share, u64)> {
    let cold_limit = server.pace().cold_limit(now_ms)?;
    let plan = |listed| Plan::new(cold_limit, context.settings.bounds.cold, listed);
    let id = server.entry.id.as_str();
    let standing = context.standing(id, |listed| plan(listed).candidates);
    let has_met = now_ms >= context.started_ms + MEET_MS;
    let Some(standing) = standing.filter(|_| has_met) else {
        return Some((Share { senders: 1, is_sender: false }, 0));
    };
    let Standing { listed, live_rank, .. } = standing;
    let plan = plan(listed);
    let mut share = plan.share(cold_limit, standing);
    if limit != cold_limit {
        // A lower limit that the server names is shared like that of a warm server.
        let senders = limit.senders(listed);
        share = Share { senders, is_sender: share.is_sender && live_rank < senders };
    }
    Some((share, plan.spacing_ms))
}
