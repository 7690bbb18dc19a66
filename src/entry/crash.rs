//! Finds out whether a server ended while it worked on a request of this host, and shares with the other entry hosts
//! which parts of its content may have been the cause.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::broadcast;
use super::context::Context;
use super::request::{Head, Outgoing, join};
use crate::clock::boot_ms;
use crate::connect;
use crate::directory::{Phase, Server};
use crate::name;
use crate::quarantine::wire::Message;
use crate::quarantine::{Change, PROOF_MS, VOUCHING_HOSTS, Verdict};

/// Time after which a message about parts is sent again, as datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(150);

/// Records in one message: some 10 KB.
const MAX_MESSAGE_RECORDS: usize = 32;

/// Hosts that send the records to a host that has started.
const INFORMANTS: usize = 3;

/// Checks whether `server`, whose response to `request` was broken off, has ended, and if so records that the request may be
/// the cause. The server had sent the first event `writing_ms` ago; `None` if it had sent none. Returns whether it has ended.
pub(crate) async fn check(
    context: &Arc<Context>,
    request: &Outgoing,
    server: &Server,
    writing_ms: Option<u64>,
) -> bool {
    let head = &request.head;
    // An evacuated domain gets no connection checks, and what ends there is not a crash under a request.
    let is_evacuated = context.evacuations.is_evacuated(&server.entry.domain);
    let ended = !is_evacuated && has_ended(server).await;
    context.instruments.count_action(if ended { "server_ended" } else { "server_kept" });
    info!(context.logger, "server broke off a request"; "request" => &*head.id_text,
        "server" => server.entry.id.as_str(), "ended" => ended, "writing_ms" => writing_ms,
        "content" => request.content_text());
    let fell_over = server.room().was_full(boot_ms());
    let had_just_begun = writing_ms.is_none_or(|writing_ms| writing_ms < PROOF_MS);
    if !ended || fell_over || !had_just_begun {
        return ended;
    }
    let parts = context.quarantine().record_crash(&request.content, &server.entry.id, boot_ms());
    share(context, &parts);
    vouch(context);
    ended
}

/// Whether a server that did not announce that it leaves has ended.
pub(crate) async fn has_ended(server: &Server) -> bool {
    server.phase() == Phase::Ready && connect::is_refused(server.entry.address).await
}

/// Whether the request with this head and content may be sent to servers.
pub(crate) fn admit(context: &Arc<Context>, head: &Head, content: &[name::Part]) -> Verdict {
    let may_try = |part: &name::Part| context.is_keeper(part.as_str(), 1);
    let verdict = context.quarantine().admit(content, may_try, boot_ms());
    let mut changed = log_changes(context);
    if verdict == Verdict::Trial {
        info!(context.logger, "trial of quarantined content";
            "request" => &*head.id_text, "content" => join(content));
        changed.extend_from_slice(content);
    }
    share(context, &changed);
    verdict
}

/// Whether a request that failed at one server may be sent to another one.
pub(crate) fn may_repeat(context: &Context, request: &Outgoing) -> bool {
    !request.is_trial && context.quarantine().may_repeat(&request.content, boot_ms())
}

/// Records that a server processed the request without crashing.
pub(crate) fn prove(context: &Arc<Context>, request: &Outgoing) {
    let parts = context.quarantine().record_proof(&request.content, boot_ms());
    log_changes(context);
    send_twice(context, Message::sound(parts));
}

/// Applies a message of another host, and forwards what is new.
pub(crate) fn apply(context: &Arc<Context>, message: Message) {
    let applied = message.apply(&mut context.quarantine(), boot_ms());
    log_changes(context);
    if let Some(message) = applied.forward {
        let receivers = context.roster_view().forward_receivers();
        context.send(receivers, broadcast::Message::PromptParts(message));
    }
    send_twice(context, applied.reply);
    vouch(context);
}

/// Tells the other hosts which suspected parts were sound at this host before. A few of the hosts do so.
fn vouch(context: &Arc<Context>) {
    let may_vouch = |part: &name::Part| context.is_keeper(part.as_str(), VOUCHING_HOSTS);
    let proofs = context.quarantine().take_earlier_proofs(may_vouch);
    send_twice(context, Message::earlier_proofs(proofs, boot_ms()));
}

/// Sends all records to `host`, which has started, if this host is one of those that do so.
pub(crate) fn inform(context: &Context, host: &name::Host, address: SocketAddr) {
    let parts: Vec<_> = context.quarantine().records().map(|(part, _)| part.clone()).collect();
    if parts.is_empty() || !context.is_keeper(host.as_str(), INFORMANTS) {
        return;
    }
    for parts in parts.chunks(MAX_MESSAGE_RECORDS) {
        if let Some(message) = Message::records(&context.quarantine(), parts, boot_ms()) {
            context.send(vec![address], broadcast::Message::PromptParts(message));
        }
    }
}

/// Sends what this host knows of `parts` to the other hosts.
fn share(context: &Arc<Context>, parts: &[name::Part]) {
    let message = Message::records(&context.quarantine(), parts, boot_ms());
    send_twice(context, message);
}

/// Sends a message to the other hosts, and once more a little later.
fn send_twice(context: &Arc<Context>, message: Option<Message>) {
    let Some(message) = message.map(broadcast::Message::PromptParts) else { return };
    context.send(context.roster_view().witness_receivers(), message.clone());
    let context = Arc::clone(context);
    tokio::spawn(async move {
        tokio::time::sleep(REPEAT_DELAY).await;
        context.send(context.roster_view().witness_receivers(), message);
    });
}

/// Logs the changes of parts, and returns those that this host has quarantined.
fn log_changes(context: &Context) -> Vec<name::Part> {
    let changes = context.quarantine().take_changes();
    let mut quarantined = Vec::new();
    for change in changes {
        match change {
            Change::Quarantined(part) => {
                context.instruments.count_action("part_quarantined");
                let crashes = context.quarantine().record(&part).map(|record| {
                    let servers = record.crashes.iter().map(|crash| crash.server.as_str());
                    servers.collect::<Vec<_>>().join(",")
                });
                warn!(context.logger, "content quarantined"; "part" => part.as_str(),
                    "crashed" => crashes);
                quarantined.push(part);
            }
            Change::Released(part) => {
                context.instruments.count_action("part_released");
                info!(context.logger, "content released"; "part" => part.as_str());
            }
        }
    }
    quarantined
}
