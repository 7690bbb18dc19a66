//! A partition at one host: batches entries into records, appends them and reads back the decisions.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::key::{Key, Slot};
use super::message::Response;
use super::record::{self, End, Entry, Id, Outcome, Reply};
use super::replica::Replica;
use super::state::Resolution;
use crate::log;

/// Timeout of an append to the log.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time to search the log for an appended batch.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay between two reads for an appended batch.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// Reads for an unconfirmed batch before it is appended again.
const READS_PER_APPEND: u32 = 4;

/// How long entries are refused without an append after the log failed.
const LOG_BACKOFF: Duration = Duration::from_millis(500);

/// Most entries in one record.
const MAX_BATCH: usize = 128;

/// Most entries waiting to be appended.
const MAX_PENDING: usize = 4_096;

struct Pending {
    entry: Entry,
    response: oneshot::Sender<Response>,
}

struct Queue {
    pending: Vec<Pending>,
    /// Entries of the record being appended.
    in_flight: Vec<Entry>,
    /// Replies to this host's own calls whose outcomes are not yet in the log.
    own_replies: HashMap<Slot, Reply>,
    flushing: bool,
    next_flush: Instant,
    backoff_until: Option<Instant>,
}

/// A partition at this host.
pub(crate) struct Partition<L> {
    log: L,
    stream: String,
    interval: Duration,
    queue: Mutex<Queue>,
    replica: Replica<L>,
}

impl<L: log::Log> Partition<L> {
    pub(crate) fn new(log: L, number: u16, interval: Duration) -> Self {
        let stream = record::stream(number);
        let queue = Queue {
            pending: Vec::new(),
            in_flight: Vec::new(),
            own_replies: HashMap::new(),
            flushing: false,
            next_flush: Instant::now(),
            backoff_until: None,
        };
        Self {
            replica: Replica::new(log.clone(), stream.clone()),
            log,
            stream,
            interval,
            queue: Mutex::new(queue),
        }
    }

    /// Appends `entry` in the next batch and returns the result. `now_ms` is the wall clock of this host.
    pub(crate) async fn submit(self: &Arc<Self>, entry: Entry, now_ms: u64) -> Response {
        let Some(receiver) = self.enqueue(entry.clone(), now_ms) else {
            return self.respond_without_append(&entry).await;
        };
        receiver.await.unwrap_or(Response::Unconfirmed)
    }

    /// The response to an entry that is not appended: a final resolution in memory, or [`Response::Refused`].
    async fn respond_without_append(&self, entry: &Entry) -> Response {
        let Entry::Claim(claim) = entry else { return Response::Refused };
        match self.replica.final_resolution(claim).await {
            Some(resolution) => Response::Resolution(resolution),
            None => Response::Refused,
        }
    }

    fn enqueue(self: &Arc<Self>, entry: Entry, now_ms: u64) -> Option<oneshot::Receiver<Response>> {
        let now = Instant::now();
        let (response, receiver) = oneshot::channel();
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let backing_off = queue.backoff_until.is_some_and(|until| now < until);
        if backing_off || queue.pending.len() >= MAX_PENDING {
            return None;
        }
        queue.pending.push(Pending { entry, response });
        if !queue.flushing {
            queue.flushing = true;
            tokio::spawn(self.clone().flush(now_ms));
        }
        Some(receiver)
    }

    async fn flush(self: Arc<Self>, now_ms: u64) {
        while let Some(due) = self.next_flush_time() {
            sleep_until(due).await;
            let batch = self.next_batch();
            self.commit(batch, now_ms).await;
        }
    }

    /// Time of the next append, or `None` if nothing is pending and the flush task must end.
    fn next_flush_time(&self) -> Option<Instant> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.pending.is_empty() {
            queue.flushing = false;
            return None;
        }
        Some(queue.next_flush)
    }

    fn next_batch(&self) -> Vec<Pending> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.next_flush = Instant::now() + self.interval;
        let count = queue.pending.len().min(MAX_BATCH);
        let batch: Vec<Pending> = queue.pending.drain(..count).collect();
        queue.in_flight = batch.iter().map(|pending| pending.entry.clone()).collect();
        batch
    }

    async fn commit(&self, batch: Vec<Pending>, now_ms: u64) {
        let entries: Vec<Entry> = batch.iter().map(|pending| pending.entry.clone()).collect();
        let result = match record::encode(&entries) {
            Ok(body) => self.append_and_confirm(&body, now_ms).await,
            Err(_) => Commit::Refused,
        };
        self.finish_batch(&result);
        for pending in batch {
            let response = match (&result, &pending.entry) {
                (Commit::Stored(resolutions), Entry::Claim(claim)) => resolutions
                    .get(&claim.id)
                    .map_or(Response::Unconfirmed, |r| Response::Resolution(r.clone())),
                (Commit::Stored(_), Entry::Outcome(_)) => Response::Stored,
                (Commit::Refused, entry) => self.respond_without_append(entry).await,
                (Commit::Unconfirmed, _) => Response::Unconfirmed,
            };
            // Fails only if the receiver was dropped.
            let _ = pending.response.send(response);
        }
    }

    /// Clears the entries in flight, and backs off if the log failed.
    fn finish_batch(&self, result: &Commit) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.in_flight.clear();
        queue.backoff_until = match result {
            Commit::Stored(_) => None,
            Commit::Refused | Commit::Unconfirmed => Some(Instant::now() + LOG_BACKOFF),
        };
    }

    /// Appends `body` and reads the log until the record is found.
    async fn append_and_confirm(&self, body: &Bytes, now_ms: u64) -> Commit {
        if self.replica.expect_record(body.clone(), now_ms).await.is_err() {
            return Commit::Refused;
        }
        match self.append(body).await {
            Err(log::Error::Refused(_) | log::Error::Unreachable) => return Commit::Refused,
            Ok(_) | Err(log::Error::Lost | log::Error::Malformed) => {}
        }
        timeout(CONFIRM_TIMEOUT, self.confirm(body, now_ms)).await.unwrap_or(Commit::Unconfirmed)
    }

    async fn append(&self, body: &Bytes) -> Result<u64, log::Error> {
        let append = self.log.append(&self.stream, body.clone());
        timeout(APPEND_TIMEOUT, append).await.unwrap_or(Err(log::Error::Lost))
    }

    /// Reads the log until it contains the batch, and appends the batch again from time to time. This is safe because a
    /// second copy of an entry has no effect.
    async fn confirm(&self, body: &Bytes, now_ms: u64) -> Commit {
        let mut reads = 0;
        loop {
            if let Ok(Some(decisions)) = self.replica.poll_expected(now_ms).await {
                let resolutions = decisions.into_iter().map(|d| (d.id, d.resolution)).collect();
                return Commit::Stored(resolutions);
            }
            reads += 1;
            if reads % READS_PER_APPEND == 0 {
                // The next read shows whether the record was appended, so the result is ignored.
                let _ = self.append(body).await;
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Resolves `key`, including outcomes that are not yet in the log.
    pub(crate) async fn status(
        &self,
        slot: Slot,
        key: Key,
        now_ms: u64,
    ) -> Result<Resolution, log::Error> {
        let resolution = self.replica.status(slot, key, now_ms).await;
        if !matches!(resolution, Err(_) | Ok(Resolution::InProgress(_) | Resolution::Unknown)) {
            return resolution;
        }
        self.pending_reply(slot).map_or(resolution, |reply| Ok(Resolution::Done(reply)))
    }

    /// Returns `reply` for status queries on `slot` until [`Self::remove_reply`].
    pub(crate) fn cache_reply(&self, slot: Slot, reply: Reply) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.own_replies.insert(slot, reply);
    }

    /// Removes the cached reply of `slot` once its outcome is in the log.
    pub(crate) fn remove_reply(&self, slot: Slot) {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).own_replies.remove(&slot);
    }

    fn pending_reply(&self, slot: Slot) -> Option<Reply> {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(reply) = queue.own_replies.get(&slot) {
            return Some(reply.clone());
        }
        let pending = queue.pending.iter().map(|pending| &pending.entry);
        pending.chain(&queue.in_flight).find_map(|entry| match entry {
            Entry::Outcome(Outcome { end: End::Done(reply), .. }) if entry.slot() == slot => {
                Some(reply.clone())
            }
            _ => None,
        })
    }

    /// Resolves the claim `id` on an old key, or the key if `id` is `None`, by reading the log for this key alone.
    pub(crate) async fn resolve_from_history(
        &self,
        slot: Slot,
        key: Key,
        id: Option<Id>,
        now_ms: u64,
    ) -> Result<Resolution, log::Error> {
        self.replica.resolve_from_history(slot, key, id, now_ms).await
    }

    /// Appends an empty record if the newest one is older than `max_age_ms`, so that retention does not empty the
    /// stream and leave a gap in its history.
    pub(crate) async fn append_keepalive(
        &self,
        max_age_ms: u64,
        now_ms: u64,
    ) -> Result<(), log::Error> {
        let newest_ms = self.replica.newest_ms(now_ms).await?;
        if now_ms.saturating_sub(newest_ms) < max_age_ms {
            return Ok(());
        }
        let Ok(body) = record::encode(&[]) else { return Ok(()) };
        self.append(&body).await.map(|_| ())
    }

    /// Whether entries are pending or being appended.
    pub(crate) fn is_flushing(&self) -> bool {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).flushing
    }
}

enum Commit {
    Stored(HashMap<Id, Resolution>),
    Refused,
    Unconfirmed,
}
