//! Reads topics of the platform's store into the [`Cache`](super::cache::Cache): the operators' document and the servers.

use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::mpsc;

use super::broadcast::{JoinedServer, Notice, Origin, notify_server_changes};
use super::context::Context;
use super::{cold_start, origins};
use crate::clock::{Clock as _, System, boot_ms};
use crate::directory::{Change, Directory};
use crate::evacuation::Revision;
use crate::platform::registry;
use crate::platform::store::{self, Batch, Client, Error, Record};
use crate::turn::until_next;

mod documents;

pub(crate) use documents::Documents;

/// Long-poll timeout of a read of the servers' entries. Most reads return entries immediately.
const REGISTRY_POLL: Duration = Duration::from_millis(1_000);

/// Time between two reads of the servers' entries by any host. The notice that a server leaves may come only 1.5 s
/// before it ends, and copying a KV cache takes one second.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(110);

/// Time after which a host that is not a reader checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// After a pause longer than this, the newest record of each key is read instead of all records since the last read:
/// that is less data, and the store retains records for 20 s only.
const MAX_INCREMENTAL_PAUSE: Duration = Duration::from_secs(4);

/// Which records of a topic are read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those since the last read. The call fails if the store has dropped the oldest of them.
    New,
    /// The newest of each key.
    Newest,
}

/// Applies the records of one topic.
pub(crate) trait Consumer {
    /// Name of the topic.
    const TOPIC: &'static str;
    /// Longest time for which a read of the newest records may wait behind appends to the topic.
    const MAX_QUEUE: Duration = Duration::ZERO;

    /// Whether new records are followed by a read that does not wait, to confirm that there are no others.
    fn confirms_at_once(&self) -> bool {
        false
    }

    /// Long-poll timeout of the next read.
    fn poll_timeout(&self) -> Duration;

    /// Waits until the next read is due, and returns what to read. `elapsed` is the time that the last read took.
    fn until_next_read(&self, elapsed: Duration) -> impl Future<Output = Scope> + Send;

    /// Delay after a failed or stale read.
    fn retry_delay(&self) -> Duration;

    /// Applies records. With `complete` they are the newest of all keys, else those since the last read.
    fn apply(&mut self, records: Vec<Record>, complete: bool);

    /// Applies records up to `_revision`.
    fn apply_up_to(&mut self, records: Vec<Record>, complete: bool, _revision: Revision) {
        self.apply(records, complete);
    }

    /// Called when all records up to `confirmed_ms` have been applied. Returns whether that confirms the cached state. If not,
    /// the next read is delayed like one after a failure.
    fn confirm(&mut self, _confirmed_ms: u64) -> bool {
        true
    }

    /// Called when the store becomes unreachable.
    fn on_store_lost(&mut self, _error: Error) {}

    /// Called when the store is reachable again.
    fn on_store_recovered(&mut self) {}

    /// Called when the store has come back from an older copy, before the newest records are read from it.
    fn on_records_lost(&mut self, _era: u64) {}
}

/// Reads a topic until the task is dropped.
pub(crate) async fn follow<C: Consumer>(client: Client, mut consumer: C) {
    let mut position = None;
    let mut highest_end = 0;
    let mut era = None;
    let mut reachable = true;
    let mut had_records = false;
    loop {
        let sent_ms = boot_ms();
        // After new records, a read that does not wait confirms at once that there are no others.
        let wait = if had_records { Duration::ZERO } else { consumer.poll_timeout() };
        let read = match position {
            None => client.newest(C::TOPIC, C::MAX_QUEUE).await,
            Some(from) => client.read(C::TOPIC, from, wait).await,
        };
        let batch = match read {
            Ok(batch) => Some(batch),
            Err(Error::Compacted) => {
                position = None;
                continue;
            }
            Err(Error::EarlierEra) => {
                tokio::time::sleep(consumer.retry_delay()).await;
                continue;
            }
            Err(error) => {
                if std::mem::replace(&mut reachable, false) {
                    consumer.on_store_lost(error);
                }
                // The records from this position on may stay unreadable; a listing does not depend on them.
                if error == Error::Malformed {
                    position = None;
                }
                None
            }
        };
        let Some(batch) = batch else {
            tokio::time::sleep(consumer.retry_delay()).await;
            continue;
        };
        if !std::mem::replace(&mut reachable, true) {
            consumer.on_store_recovered();
        }
        if batch.era != era {
            highest_end = 0;
            if let (Some(_), Some(new)) = (std::mem::replace(&mut era, batch.era), batch.era) {
                consumer.on_records_lost(new);
            }
            // Offsets of the earlier era mean nothing in this one.
            if position.take().is_some() {
                continue;
            }
        }
        // A response whose end is lower than an earlier one is stale and confirms nothing.
        if batch.end < highest_end {
            tokio::time::sleep(consumer.retry_delay()).await;
            continue;
        }
        highest_end = batch.end;
        had_records = consumer.confirms_at_once() && !batch.records.is_empty();
        let waited = position.map_or(Duration::ZERO, |_| wait);
        let confirmed_ms = confirmed_ms(&batch, waited, sent_ms, boot_ms());
        if !apply(&mut consumer, batch, &mut position, confirmed_ms) {
            tokio::time::sleep(consumer.retry_delay()).await;
        }
        let elapsed = Duration::from_millis(boot_ms().saturating_sub(sent_ms));
        let paused_ms = boot_ms();
        let scope = consumer.until_next_read(elapsed).await;
        let paused = Duration::from_millis(boot_ms().saturating_sub(paused_ms));
        if scope == Scope::Newest || paused > MAX_INCREMENTAL_PAUSE {
            position = None;
        }
    }
}

/// The time up to which a response confirms that there are no other records. The store responds at the end of the
/// long-poll timeout to a read without records, and at once to any other call.
fn confirmed_ms(batch: &Batch, wait: Duration, sent_ms: u64, received_ms: u64) -> u64 {
    let timeout_ms = sent_ms + wait.as_millis() as u64;
    if batch.records.is_empty() && received_ms >= timeout_ms {
        return timeout_ms;
    }
    sent_ms
}

/// Applies a batch. Returns `false` if the consumer's state is not confirmed by it.
fn apply<C: Consumer>(
    consumer: &mut C,
    batch: Batch,
    position: &mut Option<u64>,
    confirmed_ms: u64,
) -> bool {
    let complete = position.is_none();
    let caught_up = batch.next >= batch.end;
    *position = Some(batch.next);
    if complete || !batch.records.is_empty() {
        let revision = Revision { era: batch.era.unwrap_or(0), offset: batch.next };
        consumer.apply_up_to(batch.records, complete, revision);
    }
    !caught_up || consumer.confirm(confirmed_ms)
}

/// Waits until `due_ms`, or until this host has to check whether it has become a reader.
async fn sleep_until_due_or_role_check(due_ms: u64, now_ms: u64) {
    let until_due = Duration::from_millis(due_ms.saturating_sub(now_ms));
    tokio::time::sleep(until_due.min(ROLE_CHECK_INTERVAL)).await;
}

/// Consumes the entries of servers.
pub(crate) struct Servers {
    pub(crate) context: Arc<Context>,
    /// Notices to send to the other hosts immediately.
    pub(crate) notices: mpsc::Sender<Notice>,
}

impl Servers {
    fn update_directory<R>(&self, change: impl FnOnce(&mut Directory) -> R) -> R {
        self.context.cache.update_directory(change)
    }

    /// Logs changes, and notifies the other hosts of servers that left or joined.
    fn report(&self, changes: Vec<Change>, added: Vec<JoinedServer>) {
        let logger = &self.context.logger;
        let mut leaving = Vec::new();
        for change in changes {
            match change {
                Change::Added(id) => {
                    let server = self.update_directory(|directory| directory.server(&id).cloned());
                    info!(logger, "server added"; "server" => id.as_str(),
                        "build" => server.as_ref().and_then(|server| server.build_text()));
                    origins::doubt_former(&self.context, &id);
                }
                Change::ColdAgain(incarnation) => {
                    cold_start::report_entry(&self.context, &incarnation);
                }
                Change::Leaving(incarnation) => {
                    let id = incarnation.id.as_str();
                    info!(logger, "server leaving"; "server" => id, "source" => "store");
                    self.context.cache.record_leaving(incarnation.clone(), boot_ms());
                    leaving.push(incarnation);
                }
                Change::Missing(id) => {
                    info!(logger, "server entry missing after store outage; server kept for a grace period";
                        "server" => id.as_str());
                }
            }
        }
        notify_server_changes(&self.context, &self.notices, Origin::Store, leaving, added);
    }

    fn reject(&self, record: &Record, error: &registry::Error) {
        self.context.instruments.count_action("entry_rejected");
        warn!(self.context.logger, "server entry rejected"; "key" => &record.key, "error" => error.to_string());
    }
}

impl Consumer for Servers {
    const TOPIC: &'static str = store::REGISTRY_TOPIC;

    fn poll_timeout(&self) -> Duration {
        REGISTRY_POLL
    }

    /// Each server writes every 1.2 s, so nearly every read returns records and the pause determines the cost. The
    /// readers take turns and forward what is new. Another host reads once its entries have not been confirmed for too
    /// long, or other hosts know a different set of servers.
    async fn until_next_read(&self, _: Duration) -> Scope {
        let (context, cache) = (&self.context, &self.context.cache);
        loop {
            let now_ms = boot_ms();
            let view = context.roster_view();
            let due_ms = context.store_read_limits.servers_due_ms(cache.watermark().servers_ms);
            if let Some(turn) = view.turn() {
                let turns = view.turns();
                let max_slot_ms = context.store_read_limits.servers_due_ms(0) / turns as u64;
                let slot_ms = max_slot_ms.min(REGISTRY_INTERVAL.as_millis() as u64);
                let wall_ms = System::new().read().wall_ms;
                let pause_ms = until_next(turn, turns, slot_ms, wall_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                return Scope::New;
            }
            if now_ms >= due_ms {
                return Scope::New;
            }
            tokio::select! {
                () = sleep_until_due_or_role_check(due_ms, now_ms) => {}
                () = cache.servers_differ.notified() => return Scope::New,
            }
        }
    }

    fn retry_delay(&self) -> Duration {
        self.context.store_retry_delay()
    }

    fn apply(&mut self, records: Vec<Record>, complete: bool) {
        let now_ms = boot_ms();
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        let mut added = Vec::new();
        let records = match complete {
            true => records,
            false => self.update_directory(|directory| without_history(records, directory)),
        };
        for record in records {
            let parsed = record.value.as_ref().map(|value| registry::parse(&record.key, value));
            match parsed {
                Some(Ok(entry)) if complete => entries.push(entry),
                Some(Ok(entry)) => {
                    let server = JoinedServer::from(&entry);
                    let change = self.update_directory(|directory| directory.put(entry, now_ms));
                    if matches!(change, Some(Change::Added(_))) {
                        added.push(server);
                    }
                    changes.extend(change);
                }
                Some(Err(error)) => {
                    self.reject(&record, &error);
                    changes.extend(
                        self.update_directory(|directory| {
                            directory.remove_entry(&record.key, now_ms)
                        }),
                    );
                }
                None => changes.extend(
                    self.update_directory(|directory| directory.remove_entry(&record.key, now_ms)),
                ),
            }
        }
        if complete {
            changes.extend(self.update_directory(|directory| directory.replace(entries, now_ms)));
            self.context.cache.mark_servers_listed(now_ms);
        }
        self.report(changes, added);
    }

    fn confirm(&mut self, confirmed_ms: u64) -> bool {
        self.context.cache.confirm_servers(confirmed_ms);
        let expired = self.update_directory(|directory| directory.expire(boot_ms()));
        self.report(expired, Vec::new());
        true
    }

    fn on_store_lost(&mut self, error: Error) {
        self.update_directory(Directory::mark_store_lost);
        warn!(self.context.logger, "store unreachable"; "topic" => Self::TOPIC, "error" => error.to_string());
    }

    /// Entries that servers wrote since the copy are missing until they write them again, as after an outage.
    fn on_records_lost(&mut self, era: u64) {
        self.update_directory(|directory| directory.mark_records_lost(boot_ms()));
        warn!(self.context.logger, "store lost records"; "topic" => Self::TOPIC, "era" => era);
    }

    fn on_store_recovered(&mut self) {
        self.update_directory(|directory| directory.mark_store_recovered(boot_ms()));
        info!(self.context.logger, "store reachable again"; "topic" => Self::TOPIC);
    }
}

/// Drops the records that are older than what the directory has: those before the entry of an incarnation that other hosts
/// have told of already. Its server would seem to leave and to join again.
fn without_history(mut records: Vec<Record>, directory: &Directory) -> Vec<Record> {
    let mut known_at = HashMap::new();
    let mut keys = HashSet::new();
    for (index, record) in records.iter().enumerate() {
        // The first record of a key has none before it.
        if keys.insert(record.key.as_str()) {
            continue;
        }
        let entry =
            record.value.as_ref().and_then(|value| registry::parse(&record.key, value).ok());
        if entry.is_some_and(|entry| directory.is_known(&entry.incarnation())) {
            known_at.insert(record.key.clone(), index);
        }
    }
    let mut index = 0;
    records.retain(|record| {
        index += 1;
        known_at.get(&record.key).is_none_or(|known_at| *known_at < index)
    });
    records
}

#[cfg(test)]
mod tests;
