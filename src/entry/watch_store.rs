//! Follows the platform's store: the operators' document, the servers, and the other entry hosts.

use std::future::Future;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use super::belief::Beliefs;
use super::context::Context;
use super::share::Message;
use crate::clock::{Clock as _, System, boot_ms};
use crate::directory::{Change, Directory};
use crate::name;
use crate::platform::store::{self, Batch, Client, Error, Record};
use crate::platform::{configuration, registry};
use crate::turn::until_next;

/// Wait of one read for a new document, for each host that reads: all together make ten such calls a second.
const DOCUMENT_WAIT_PER_READER: Duration = Duration::from_millis(100);

/// Bounds of that wait. Each answer proves that the document in force is still the newest, so the wait is part of the
/// belief's age, which must stay well below the time until a removed key must be dead.
const DOCUMENT_WAIT: RangeInclusive<Duration> =
    Duration::from_millis(1_200)..=Duration::from_millis(2_400);

/// Longest wait of one read for an entry of a server; most find one at once.
const REGISTRY_WAIT: Duration = Duration::from_millis(1_000);

/// Longest wait of one read for news of other entry hosts, which are needed for hints only.
const HOSTS_WAIT: Duration = Duration::from_secs(25);

/// Time between two reads of the servers' entries by any host. A notice of leaving comes as little as 1.5 s ahead, and
/// copying memory takes a second.
const READ_INTERVAL: Duration = Duration::from_millis(110);

/// Time between two reads of the hosts' entries: all hosts write theirs within a second at a start, and each entry would
/// wake all of them.
const HOSTS_INTERVAL: Duration = Duration::from_secs(2);

/// After a rest of this time the newest entries are read instead of all records since: fewer bytes, and the store keeps
/// its history for 20 s only.
const LONG_REST: Duration = Duration::from_secs(4);

/// Pause before this host's address is written again.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);

/// Whoever takes in the records of one topic.
pub(crate) trait Reader {
    /// The topic.
    const TOPIC: &'static str;
    /// Whether it matters when the store last said that there is nothing new.
    const PROVES: bool = false;

    /// Longest wait of one read.
    fn wait(&self) -> Duration;

    /// Waits until the next read is due, when the last one took `took`.
    fn rest(&self, took: Duration) -> impl Future<Output = ()> + Send;

    /// Pause after a failed call.
    fn retry_pause(&self) -> Duration;

    /// Takes in records; with `whole` they are all there are.
    fn take(&mut self, records: Vec<Record>, whole: bool);

    /// The store answered a question of `asked_ms`; all records up to then were taken in.
    fn confirm(&mut self, _asked_ms: u64) {}

    /// The store could not be read.
    fn lost(&mut self, _error: Error) {}

    /// The store can be read again.
    fn regained(&mut self) {}
}

/// Reads a topic until the task is dropped.
pub(crate) async fn follow<R: Reader>(client: Client, mut reader: R) {
    let mut position = None;
    let mut furthest = 0;
    let mut sound = true;
    let mut news = false;
    loop {
        let asked_ms = boot_ms();
        // Right after news a read that does not wait proves at once that there is nothing else.
        let wait = if news { Duration::ZERO } else { reader.wait() };
        let read = match position {
            None => client.newest(R::TOPIC).await,
            Some(from) => client.read(R::TOPIC, from, wait).await,
        };
        let answered = match read {
            Ok(batch) => Some(batch),
            Err(Error::Compacted) => {
                position = None;
                continue;
            }
            Err(error) => {
                if std::mem::replace(&mut sound, false) {
                    reader.lost(error);
                }
                None
            }
        };
        let Some(batch) = answered else {
            tokio::time::sleep(reader.retry_pause()).await;
            continue;
        };
        if !std::mem::replace(&mut sound, true) {
            reader.regained();
        }
        // An end before one that was seen is a stale answer, which proves nothing.
        if batch.end < furthest {
            tokio::time::sleep(reader.retry_pause()).await;
            continue;
        }
        furthest = batch.end;
        news = R::PROVES && !batch.records.is_empty();
        let waited = position.map_or(Duration::ZERO, |_| wait);
        let proven_ms = proven(&batch, waited, asked_ms, boot_ms());
        take(&mut reader, batch, &mut position, proven_ms);
        let took = Duration::from_millis(boot_ms().saturating_sub(asked_ms));
        let rested_ms = boot_ms();
        reader.rest(took).await;
        if boot_ms().saturating_sub(rested_ms) > LONG_REST.as_millis() as u64 {
            position = None;
        }
    }
}

/// The time up to which an answer proves that nothing else happened: the store answers a read that finds nothing at the
/// end of its wait, any other call at once.
fn proven(batch: &Batch, wait: Duration, asked_ms: u64, answered_ms: u64) -> u64 {
    let waited_ms = asked_ms + wait.as_millis() as u64;
    if batch.records.is_empty() && answered_ms >= waited_ms {
        return waited_ms;
    }
    asked_ms
}

fn take<R: Reader>(reader: &mut R, batch: Batch, position: &mut Option<u64>, proven_ms: u64) {
    let whole = position.is_none();
    let caught_up = batch.next >= batch.end;
    *position = Some(batch.next);
    if whole || !batch.records.is_empty() {
        reader.take(batch.records, whole);
    }
    if caught_up {
        reader.confirm(proven_ms);
    }
}

/// Takes in the operators' document.
pub(crate) struct Documents {
    pub(crate) context: Arc<Context>,
    /// Takes what other hosts should know at once.
    pub(crate) found: mpsc::Sender<Message>,
}

impl Reader for Documents {
    const TOPIC: &'static str = store::CONFIGURATION_TOPIC;
    const PROVES: bool = true;

    fn wait(&self) -> Duration {
        match self.context.rank().reader_index() {
            Some((_, readers)) => {
                let wait = DOCUMENT_WAIT_PER_READER * u32::try_from(readers).unwrap_or(u32::MAX);
                wait.clamp(*DOCUMENT_WAIT.start(), *DOCUMENT_WAIT.end())
            }
            // The question alone is what another host could not answer.
            None => Duration::ZERO,
        }
    }

    /// Readers ask again at once; the others once nobody else has proven for long that the document is the newest, or
    /// another host has a newer one.
    async fn rest(&self, _: Duration) {
        let beliefs = &self.context.beliefs;
        loop {
            let due_ms = self.context.limits.document_due_ms(beliefs.known().document_ms);
            let now_ms = boot_ms();
            if now_ms >= due_ms || self.context.rank().reader_index().is_some() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(due_ms - now_ms)) => {}
                () = beliefs.newer_document.notified() => return,
            }
        }
    }

    fn retry_pause(&self) -> Duration {
        self.context.retry_pause()
    }

    fn take(&mut self, records: Vec<Record>, _: bool) {
        let newest = records.into_iter().rev().find(|record| record.key == configuration::KEY);
        let Some(value) = newest.and_then(|record| record.value) else { return };
        match configuration::parse(&value) {
            Ok(table) => {
                let version = table.version;
                if self.context.beliefs.adopt(table) {
                    self.context.instruments.document_version.set(version as i64);
                    info!(self.context.logger, "document in force"; "version" => version);
                    tell(&self.context, &self.found, Message::Document { version });
                }
            }
            Err(error) => {
                self.context.instruments.act("document_rejected");
                warn!(self.context.logger, "document rejected, the last one stays in force";
                    "error" => error.to_string());
            }
        }
    }

    fn confirm(&mut self, proven_ms: u64) {
        self.context.beliefs.confirm_document(proven_ms);
    }

    fn lost(&mut self, error: Error) {
        warn!(self.context.logger, "store lost"; "topic" => Self::TOPIC,
            "error" => error.to_string());
    }

    fn regained(&mut self) {
        info!(self.context.logger, "store regained"; "topic" => Self::TOPIC);
    }
}

/// Lets other hosts know at once; they find out a little later anyway.
fn tell(context: &Context, found: &mpsc::Sender<Message>, message: Message) {
    if found.try_send(message).is_err() {
        context.instruments.act("find_untold");
    }
}

/// Takes in entries of servers.
pub(crate) struct Servers {
    pub(crate) context: Arc<Context>,
    /// Takes what other hosts should know at once.
    pub(crate) found: mpsc::Sender<Message>,
}

impl Servers {
    fn update<R>(&self, change: impl FnOnce(&mut Directory) -> R) -> R {
        self.context.beliefs.update(change)
    }

    fn log(&self, changes: Vec<Change>) {
        let logger = &self.context.logger;
        for change in changes {
            match change {
                Change::Added(id) => info!(logger, "server added"; "server" => id.as_str()),
                Change::Leaving(life) => {
                    let id = life.id.as_str();
                    info!(logger, "server leaving"; "server" => id, "source" => "store");
                    self.context.beliefs.note_left(life.clone(), boot_ms());
                    tell(&self.context, &self.found, Message::Leaving { life });
                }
                Change::Missing(id) => {
                    info!(logger, "server entry lapsed, kept for now"; "server" => id.as_str());
                }
            }
        }
    }

    fn tell_added(&self, record: &Record, change: Option<&Change>) {
        let (Some(Change::Added(_)), Some(value)) = (change, &record.value) else { return };
        let message = Message::Added { key: record.key.clone(), value: value.to_vec() };
        tell(&self.context, &self.found, message);
    }

    fn reject(&self, record: &Record, error: &registry::Error) {
        self.context.instruments.act("entry_rejected");
        warn!(self.context.logger, "entry rejected"; "key" => &record.key, "error" => error.to_string());
    }
}

impl Reader for Servers {
    const TOPIC: &'static str = store::REGISTRY_TOPIC;

    fn wait(&self) -> Duration {
        REGISTRY_WAIT
    }

    /// Servers write every 1.2 s each, so nearly every read finds something: the pause sets the cost. Readers that hear
    /// each other take turns and pass on what they find; the others read once nobody else has proven for long that
    /// they know everything, or others know other servers.
    async fn rest(&self, _: Duration) {
        let (context, beliefs) = (&self.context, &self.context.beliefs);
        loop {
            let now_ms = boot_ms();
            let rank = context.rank();
            let due_ms = context.limits.servers_due_ms(beliefs.known().servers_ms);
            if let Some((turn, readers)) = rank.reader_index() {
                let most_ms = context.limits.servers_due_ms(0) / readers as u64;
                let slot_ms = most_ms.min(READ_INTERVAL.as_millis() as u64);
                let wall_ms = System::new().read().wall_ms;
                let pause_ms = until_next(turn, readers, slot_ms, wall_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                return;
            }
            if now_ms >= due_ms {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(due_ms - now_ms)) => {}
                () = beliefs.other_servers.notified() => return,
            }
        }
    }

    fn retry_pause(&self) -> Duration {
        self.context.retry_pause()
    }

    fn take(&mut self, records: Vec<Record>, whole: bool) {
        let now_ms = boot_ms();
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        for record in records {
            let parsed = record.value.as_ref().map(|value| registry::parse(&record.key, value));
            match parsed {
                Some(Ok(entry)) if whole => entries.push(entry),
                Some(Ok(entry)) => {
                    let change = self.update(|d| d.put(entry, now_ms));
                    self.tell_added(&record, change.as_ref());
                    changes.extend(change);
                }
                Some(Err(error)) => {
                    self.reject(&record, &error);
                    changes.extend(self.update(|d| d.remove_entry(&record.key, now_ms)));
                }
                None => changes.extend(self.update(|d| d.remove_entry(&record.key, now_ms))),
            }
        }
        if whole {
            changes.extend(self.update(|d| d.replace(entries, now_ms)));
            self.context.beliefs.set_listed();
        }
        self.log(changes);
    }

    fn confirm(&mut self, proven_ms: u64) {
        self.context.beliefs.confirm_servers(proven_ms);
        let expired = self.update(|directory| directory.expire(boot_ms()));
        self.log(expired);
    }

    fn lost(&mut self, error: Error) {
        self.update(Directory::mark_store_lost);
        warn!(self.context.logger, "store lost"; "topic" => Self::TOPIC, "error" => error.to_string());
    }

    fn regained(&mut self) {
        self.update(|directory| directory.mark_store_recovered(boot_ms()));
        info!(self.context.logger, "store regained"; "topic" => Self::TOPIC);
    }
}

/// Takes in addresses of entry hosts.
pub(crate) struct Hosts {
    pub(crate) beliefs: Arc<Beliefs>,
    pub(crate) logger: Logger,
}

impl Reader for Hosts {
    const TOPIC: &'static str = store::HOSTS_TOPIC;

    fn wait(&self) -> Duration {
        HOSTS_WAIT
    }

    async fn rest(&self, took: Duration) {
        tokio::time::sleep(HOSTS_INTERVAL.saturating_sub(took)).await;
    }

    fn retry_pause(&self) -> Duration {
        HOSTS_INTERVAL
    }

    fn take(&mut self, records: Vec<Record>, _: bool) {
        let mut hosts = Vec::new();
        for record in records {
            match parse_host(&record) {
                Some(host) => hosts.push(host),
                None => warn!(self.logger, "entry of a host rejected"; "key" => record.key),
            }
        }
        info!(self.logger, "entry hosts learnt"; "count" => hosts.len());
        self.beliefs.add_hosts(hosts);
    }
}

fn parse_host(record: &Record) -> Option<(name::Host, SocketAddr)> {
    let host = name::Host::new(&record.key).ok()?;
    let address = std::str::from_utf8(record.value.as_ref()?).ok()?.parse().ok()?;
    Some((host, address))
}

/// Writes this host's address into the store, until it was written once.
pub(crate) async fn announce(
    client: Client,
    host: name::Host,
    address: SocketAddr,
    logger: Logger,
) {
    let value = address.to_string();
    loop {
        match client.append(store::HOSTS_TOPIC, host.as_str(), value.as_bytes()).await {
            Ok(()) => return,
            Err(error) => warn!(logger, "host not announced yet"; "error" => error.to_string()),
        }
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}
