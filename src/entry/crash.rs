//! Finds out whether an engine ended while it worked on a request of this host, and shares with the other entry hosts
//! which parts of prompts may have been the cause.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::broadcast::Message;
use super::context::Context;
use super::request::{Head, Outgoing};
use crate::clock::boot_ms;
use crate::connect;
use crate::directory::{Phase, Server};
use crate::name;
use crate::quarantine::{Change, Crash, Merge, PROOF_MS, Quarantine, Record, Verdict};

/// Time after which a message about parts is sent again, as datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(150);

/// Records in one message: some 10 KB.
const MAX_MESSAGE_RECORDS: usize = 32;

/// Hosts that send the records to a host that has started.
const INFORMANTS: usize = 3;

/// What a host knows of a part of prompts, as encoded. Times are ages, as clocks differ between hosts.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct PartRecord {
    part: name::Part,
    depth: u32,
    /// Servers that crashed, and the milliseconds since.
    crashes: Vec<(name::Server, u64)>,
    quarantine: Option<PartQuarantine>,
}

/// The quarantine of a part, as encoded.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct PartQuarantine {
    age_ms: u64,
    trials: u32,
    next_trial_in_ms: u64,
}

impl PartRecord {
    fn new(part: &name::Part, record: &Record, now_ms: u64) -> Self {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let crashes = record.crashes.iter();
        let quarantine = record.quarantine.map(|quarantine| PartQuarantine {
            age_ms: age_ms(quarantine.since_ms),
            trials: quarantine.trials,
            next_trial_in_ms: quarantine.next_trial_ms.saturating_sub(now_ms),
        });
        Self {
            part: part.clone(),
            depth: u32::try_from(record.depth).unwrap_or(u32::MAX),
            crashes: crashes.map(|crash| (crash.server.clone(), age_ms(crash.at_ms))).collect(),
            quarantine,
        }
    }

    fn into_record(self, now_ms: u64) -> (name::Part, Record) {
        let at_ms = |age_ms: u64| now_ms.saturating_sub(age_ms);
        let crashes = self.crashes.into_iter();
        let crashes = crashes.map(|(server, age_ms)| Crash { server, at_ms: at_ms(age_ms) });
        let quarantine = self.quarantine.map(|quarantine| Quarantine {
            since_ms: at_ms(quarantine.age_ms),
            trials: quarantine.trials,
            next_trial_ms: now_ms.saturating_add(quarantine.next_trial_in_ms),
        });
        (self.part, Record::new(self.depth as usize, crashes.collect(), quarantine))
    }
}

/// Checks whether `server`, whose response to the request with this head was broken off, has ended, and if so records that
/// the request may be the cause. The server had sent the first event `writing_ms` ago; `None` if it had sent none.
pub(crate) async fn check(
    context: &Arc<Context>,
    head: &Head,
    server: &Server,
    writing_ms: Option<u64>,
) {
    if head.prompt.is_none() {
        return;
    }
    let ended = has_ended(server).await;
    context.instruments.count_action(if ended { "engine_ended" } else { "engine_kept" });
    info!(context.logger, "engine broke off a request"; "request" => &*head.id_text,
        "server" => server.entry.id.as_str(), "ended" => ended, "writing_ms" => writing_ms,
        "parts" => head.parts_text());
    let had_begun = writing_ms.is_some_and(|writing_ms| writing_ms >= PROOF_MS);
    if !ended || had_begun {
        return;
    }
    let parts = context.quarantine().record_crash(&head.shared_parts, &server.entry.id, boot_ms());
    share(context, parts);
}

/// Whether a server that did not announce that it leaves has ended.
pub(crate) async fn has_ended(server: &Server) -> bool {
    server.phase() == Phase::Ready && connect::is_refused(server.entry.address).await
}

/// Whether the request with this head may be sent to engines.
pub(crate) fn admit(context: &Arc<Context>, head: &Head) -> Verdict {
    let may_try = |part: &name::Part| context.is_keeper(part.as_str(), 1);
    let verdict = context.quarantine().admit(&head.shared_parts, may_try, boot_ms());
    let mut changed = log_changes(context);
    if verdict == Verdict::Trial {
        info!(context.logger, "trial of a quarantined prompt part";
            "request" => &*head.id_text, "parts" => head.parts_text());
        changed.extend(head.shared_parts.iter().cloned());
    }
    share(context, changed);
    verdict
}

/// Whether a part of the prompt has been quarantined since the request was admitted.
pub(crate) fn is_quarantined(context: &Context, request: &Outgoing) -> bool {
    let parts = &request.head.shared_parts;
    !request.is_trial && context.quarantine().is_quarantined(parts, boot_ms())
}

/// Whether a request that failed at one engine may be sent to another one.
pub(crate) fn may_repeat(context: &Context, request: &Outgoing) -> bool {
    let parts = &request.head.shared_parts;
    !request.is_trial && context.quarantine().may_repeat(parts, boot_ms())
}

/// Records that an engine processed the request with this head without crashing.
pub(crate) fn prove(context: &Arc<Context>, head: &Head) {
    let parts = context.quarantine().record_proof(&head.shared_parts, boot_ms());
    log_changes(context);
    share_proof(context, parts);
}

/// Applies the records of another host, and forwards them if they are new.
pub(crate) fn apply_records(context: &Arc<Context>, records: Vec<PartRecord>) {
    let now_ms = boot_ms();
    let (mut new, mut disproved) = (Vec::new(), Vec::new());
    for record in records {
        let (part, known) = record.clone().into_record(now_ms);
        match context.quarantine().merge(&part, &known, now_ms) {
            Merge::Known => {}
            Merge::New => new.push(record),
            Merge::Disproved => disproved.push(part),
        }
    }
    log_changes(context);
    if !new.is_empty() {
        let receivers = context.roster_view().forward_receivers();
        context.send(receivers, Message::PromptParts { parts: new });
    }
    share_proof(context, disproved);
}

/// Applies that another host found parts sound, and forwards it if it is new.
pub(crate) fn apply_proof(context: &Context, parts: &[name::Part]) {
    let parts = context.quarantine().record_proof(parts, boot_ms());
    log_changes(context);
    if !parts.is_empty() {
        let receivers = context.roster_view().forward_receivers();
        context.send(receivers, Message::SoundParts { parts });
    }
}

/// Sends all records to `host`, which has started, if this host is one of those that do so.
pub(crate) fn inform(context: &Context, host: &name::Host, address: SocketAddr) {
    if context.quarantine().records().next().is_none()
        || !context.is_keeper(host.as_str(), INFORMANTS)
    {
        return;
    }
    let now_ms = boot_ms();
    let table = context.quarantine();
    let records: Vec<_> =
        table.records().map(|(part, record)| PartRecord::new(part, record, now_ms)).collect();
    for records in records.chunks(MAX_MESSAGE_RECORDS) {
        context.send(vec![address], Message::PromptParts { parts: records.to_vec() });
    }
}

/// Sends what this host knows of `parts` to the other hosts.
fn share(context: &Arc<Context>, parts: Vec<name::Part>) {
    let now_ms = boot_ms();
    let records: Vec<_> = {
        let table = context.quarantine();
        let known = parts.iter().filter_map(|part| Some((part, table.record(part)?)));
        known.map(|(part, record)| PartRecord::new(part, record, now_ms)).collect()
    };
    if !records.is_empty() {
        send_twice(context, Message::PromptParts { parts: records });
    }
}

/// Tells the other hosts that `parts` do not crash engines.
fn share_proof(context: &Arc<Context>, parts: Vec<name::Part>) {
    if !parts.is_empty() {
        send_twice(context, Message::SoundParts { parts });
    }
}

/// Sends a message to the other hosts, and once more a little later.
fn send_twice(context: &Arc<Context>, message: Message) {
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
                warn!(context.logger, "prompt part quarantined"; "part" => part.as_str(),
                    "crashed" => crashes);
                quarantined.push(part);
            }
            Change::Released(part) => {
                context.instruments.count_action("part_released");
                info!(context.logger, "prompt part released"; "part" => part.as_str());
            }
        }
    }
    quarantined
}
