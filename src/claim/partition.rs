//! One partition at one host: collects entries, appends them together and reads what they led to.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::key::{Key, Slot};
use super::message::Answer;
use super::record::{self, End, Entry, Id, Outcome, Reply};
use super::replica::Replica;
use super::state::Standing;
use crate::log;

/// Longest wait for the log's answer to an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time in which a batch whose append went unanswered is looked for in the log.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two looks for an unanswered batch.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Looks for an unanswered batch before it is appended again.
const LOOKS_PER_APPEND: u32 = 4;

/// How long claims are refused at once after the log failed.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Most entries of one record.
const MAX_BATCH: usize = 128;

/// Most entries that wait for their record.
const MAX_WAITING: usize = 4_096;

struct Waiting {
    entry: Entry,
    answer: oneshot::Sender<Answer>,
}

struct Queue {
    waiting: Vec<Waiting>,
    /// Entries of the record that is being appended.
    appending: Vec<Entry>,
    /// Responses of this host's own calls that are on their way to the log.
    own: HashMap<Slot, Reply>,
    flushing: bool,
    next_flush: Instant,
    down_until: Option<Instant>,
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
            waiting: Vec::new(),
            appending: Vec::new(),
            own: HashMap::new(),
            flushing: false,
            next_flush: Instant::now(),
            down_until: None,
        };
        Self {
            replica: Replica::new(log.clone(), stream.clone()),
            log,
            stream,
            interval,
            queue: Mutex::new(queue),
        }
    }

    /// Appends `entry` with others and says what came of it. `now_ms` is this host's wall clock.
    pub(crate) async fn submit(self: &Arc<Self>, entry: Entry, now_ms: u64) -> Answer {
        let Some(receiver) = self.enqueue(entry.clone(), now_ms) else {
            return self.recorded(&entry).await;
        };
        receiver.await.unwrap_or(Answer::Unsure)
    }

    /// The answer that needs no append.
    async fn recorded(&self, entry: &Entry) -> Answer {
        let Entry::Claim(claim) = entry else { return Answer::Refused };
        match self.replica.recorded(claim).await {
            Some(standing) => Answer::Standing(standing),
            None => Answer::Refused,
        }
    }

    fn enqueue(self: &Arc<Self>, entry: Entry, now_ms: u64) -> Option<oneshot::Receiver<Answer>> {
        let now = Instant::now();
        let (answer, receiver) = oneshot::channel();
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let down = queue.down_until.is_some_and(|until| now < until);
        if down || queue.waiting.len() >= MAX_WAITING {
            return None;
        }
        queue.waiting.push(Waiting { entry, answer });
        if !queue.flushing {
            queue.flushing = true;
            tokio::spawn(self.clone().flush(now_ms));
        }
        Some(receiver)
    }

    async fn flush(self: Arc<Self>, now_ms: u64) {
        while let Some(due) = self.next_flush() {
            sleep_until(due).await;
            let batch = self.take_batch();
            self.commit(batch, now_ms).await;
        }
    }

    /// When to append next, or `None` when nothing waits and the task must end.
    fn next_flush(&self) -> Option<Instant> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.waiting.is_empty() {
            queue.flushing = false;
            return None;
        }
        Some(queue.next_flush)
    }

    fn take_batch(&self) -> Vec<Waiting> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.next_flush = Instant::now() + self.interval;
        let count = queue.waiting.len().min(MAX_BATCH);
        let batch: Vec<Waiting> = queue.waiting.drain(..count).collect();
        queue.appending = batch.iter().map(|waiting| waiting.entry.clone()).collect();
        batch
    }

    async fn commit(&self, batch: Vec<Waiting>, now_ms: u64) {
        let entries: Vec<Entry> = batch.iter().map(|waiting| waiting.entry.clone()).collect();
        let result = match record::encode(&entries) {
            Ok(body) => self.store(&body, now_ms).await,
            Err(_) => Commit::Refused,
        };
        self.note_health(&result);
        for waiting in batch {
            let answer = match (&result, &waiting.entry) {
                (Commit::Stored(standings), Entry::Claim(claim)) => {
                    standings.get(&claim.id).map_or(Answer::Unsure, |s| Answer::Standing(s.clone()))
                }
                (Commit::Stored(_), Entry::Outcome(_)) => Answer::Stored,
                (Commit::Refused, entry) => self.recorded(entry).await,
                (Commit::Unsure, _) => Answer::Unsure,
            };
            // The one who waited may have given up.
            let _ = waiting.answer.send(answer);
        }
    }

    fn note_health(&self, result: &Commit) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.appending.clear();
        queue.down_until = match result {
            Commit::Stored(_) => None,
            Commit::Refused | Commit::Unsure => Some(Instant::now() + DOWN_TIME),
        };
    }

    /// Appends `body` and reads on until it is found.
    async fn store(&self, body: &Bytes, now_ms: u64) -> Commit {
        if self.replica.expect(body.clone(), now_ms).await.is_err() {
            return Commit::Refused;
        }
        match self.append(body).await {
            Err(log::Error::Refused(_) | log::Error::Unreachable) => return Commit::Refused,
            Ok(_) | Err(log::Error::Lost | log::Error::Malformed) => {}
        }
        timeout(SETTLE_TIMEOUT, self.settle(body, now_ms)).await.unwrap_or(Commit::Unsure)
    }

    async fn append(&self, body: &Bytes) -> Result<u64, log::Error> {
        let append = self.log.append(&self.stream, body.clone());
        timeout(APPEND_TIMEOUT, append).await.unwrap_or(Err(log::Error::Lost))
    }

    /// Looks for a batch that may be in the log. Appending it again is harmless: an attempt counts once.
    async fn settle(&self, body: &Bytes, now_ms: u64) -> Commit {
        let mut looks = 0;
        loop {
            if let Ok(Some(rulings)) = self.replica.find(now_ms).await {
                let standings = rulings.into_iter().map(|r| (r.id, r.standing)).collect();
                return Commit::Stored(standings);
            }
            looks += 1;
            if looks % LOOKS_PER_APPEND == 0 {
                // Found or not by the next look; the answer adds nothing.
                let _ = self.append(body).await;
            }
            sleep(SETTLE_INTERVAL).await;
        }
    }

    /// Where `key` stands now, with outcomes that are on their way to the log.
    pub(crate) async fn status(
        &self,
        slot: Slot,
        key: Key,
        now_ms: u64,
    ) -> Result<Standing, log::Error> {
        let standing = self.replica.status(slot, key, now_ms).await;
        if !matches!(standing, Err(_) | Ok(Standing::InProgress(_) | Standing::Unknown)) {
            return standing;
        }
        self.ended(slot).map_or(standing, |reply| Ok(Standing::Done(reply)))
    }

    /// Tells `reply` as the outcome of `slot` until [`Self::forget`].
    pub(crate) fn remember(&self, slot: Slot, reply: Reply) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.own.insert(slot, reply);
    }

    /// Leaves the outcome of `slot` to the log.
    pub(crate) fn forget(&self, slot: Slot) {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).own.remove(&slot);
    }

    fn ended(&self, slot: Slot) -> Option<Reply> {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(reply) = queue.own.get(&slot) {
            return Some(reply.clone());
        }
        let waiting = queue.waiting.iter().map(|waiting| &waiting.entry);
        waiting.chain(&queue.appending).find_map(|entry| match entry {
            Entry::Outcome(Outcome { end: End::Done(reply), .. }) if entry.slot() == slot => {
                Some(reply.clone())
            }
            _ => None,
        })
    }

    /// Where the claim `id` on an old key stands, or the key itself without an id, read from the log for this one key.
    pub(crate) async fn history(
        &self,
        slot: Slot,
        key: Key,
        id: Option<Id>,
        now_ms: u64,
    ) -> Result<Standing, log::Error> {
        self.replica.history(slot, key, id, now_ms).await
    }

    /// Appends an empty record if none was read for `age_ms`, so that the stream's history shows no hole.
    pub(crate) async fn mark(&self, age_ms: u64, now_ms: u64) -> Result<(), log::Error> {
        let newest_ms = self.replica.newest_ms(now_ms).await?;
        if now_ms.saturating_sub(newest_ms) < age_ms {
            return Ok(());
        }
        let Ok(body) = record::encode(&[]) else { return Ok(()) };
        self.append(&body).await.map(|_| ())
    }

    /// Whether entries wait here.
    pub(crate) fn busy(&self) -> bool {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).flushing
    }
}

enum Commit {
    Stored(HashMap<Id, Standing>),
    Refused,
    Unsure,
}
