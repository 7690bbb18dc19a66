//! Replica of a partition, read from the log.

use bytes::Bytes;
use tokio::sync::{Mutex, MutexGuard};

use super::key::{Key, Slot};
use super::record::{Claim, Id};
use super::state::{CACHE_WINDOW_MS, Decision, Resolution, State, UNKNOWN_START_MS};
use crate::seek::Coverage;
use crate::{log, seek};

/// Reads a partition's stream and caches its state.
pub(crate) struct Replica<L> {
    log: L,
    stream: String,
    cache: Mutex<Cache>,
    /// Serialises reads of the history of old keys.
    history_lock: Mutex<()>,
}

#[derive(Default)]
struct Cache {
    state: Option<State>,
    /// Body of the record being appended, until it is read.
    expected_body: Option<Bytes>,
    /// Decisions of the expected record, once it was read.
    decisions: Option<Vec<Decision>>,
}

impl Cache {
    fn apply(&mut self, batch: &log::Batch) {
        let Some(state) = &mut self.state else { return };
        for record in &batch.records {
            let decisions = state.apply(record);
            if self.expected_body.as_ref() == Some(&record.body) {
                self.expected_body = None;
                self.decisions = Some(decisions);
            }
        }
    }
}

impl<L: log::Log> Replica<L> {
    pub(crate) fn new(log: L, stream: String) -> Self {
        Self { log, stream, cache: Mutex::default(), history_lock: Mutex::default() }
    }

    /// Sets the body of the record that [`Self::poll_expected`] waits for.
    pub(crate) async fn expect_record(&self, body: Bytes, now_ms: u64) -> Result<(), log::Error> {
        let mut cache = self.lock_cache(now_ms).await?;
        cache.expected_body = Some(body);
        cache.decisions = None;
        Ok(())
    }

    /// Reads to the tail, and returns the decisions of the expected record once it was read.
    pub(crate) async fn poll_expected(
        &self,
        now_ms: u64,
    ) -> Result<Option<Vec<Decision>>, log::Error> {
        let mut cache = self.lock_cache(now_ms).await?;
        self.read_to_tail(&mut cache).await?;
        Ok(cache.decisions.take())
    }

    /// Resolves `key` at the tail of the log. While the log is down, only a cached [`Resolution::Done`] is returned.
    pub(crate) async fn status(
        &self,
        slot: Slot,
        key: Key,
        now_ms: u64,
    ) -> Result<Resolution, log::Error> {
        let mut cache = self.lock_cache(now_ms).await?;
        let read = self.read_to_tail(&mut cache).await;
        let resolution = cache
            .state
            .as_ref()
            .map_or(Resolution::HistoryMissing, |s| s.status(slot, key, now_ms));
        match (read, resolution) {
            (Ok(()), resolution) | (Err(_), resolution @ Resolution::Done(_)) => Ok(resolution),
            (Err(error), _) => Err(error),
        }
    }

    /// The resolution of the key of `claim`, if it is cached and final.
    pub(crate) async fn final_resolution(&self, claim: &Claim) -> Option<Resolution> {
        self.cache.lock().await.state.as_ref()?.final_resolution(claim)
    }

    /// Log time of the newest record, in milliseconds since the Unix epoch; 0 if there is none.
    pub(crate) async fn newest_ms(&self, now_ms: u64) -> Result<u64, log::Error> {
        let mut cache = self.lock_cache(now_ms).await?;
        self.read_to_tail(&mut cache).await?;
        Ok(cache.state.as_ref().map_or(0, State::newest_ms))
    }

    /// Reads all retained records that can concern `key`. Returns the resolution of the claim `id`, or of the key if
    /// `id` is `None`.
    pub(crate) async fn resolve_from_history(
        &self,
        slot: Slot,
        key: Key,
        id: Option<Id>,
        now_ms: u64,
    ) -> Result<Resolution, log::Error> {
        let _history_guard = self.history_lock.lock().await;
        let mut state = self.open_from(key.earliest_claim_ms()).await?.with_slot_filter(slot);
        loop {
            let batch = self.read(state.next_offset()).await?;
            if batch.records.is_empty() {
                break;
            }
            for record in &batch.records {
                let decisions = state.apply(record);
                if let Some(decision) = decisions.into_iter().find(|d| Some(d.id) == id) {
                    return Ok(decision.resolution);
                }
            }
        }
        Ok(state.status(slot, key, now_ms))
    }

    async fn read_to_tail(&self, cache: &mut Cache) -> Result<(), log::Error> {
        loop {
            let next_offset = cache.state.as_ref().map_or(0, State::next_offset);
            let batch = self.read(next_offset).await?;
            if batch.records.is_empty() {
                return Ok(());
            }
            cache.apply(&batch);
        }
    }

    /// Locks the cache. On first use, finds the start of the cache window in the log.
    async fn lock_cache(&self, now_ms: u64) -> Result<MutexGuard<'_, Cache>, log::Error> {
        let mut cache = self.cache.lock().await;
        if cache.state.is_none() {
            cache.state = Some(self.open_from(now_ms.saturating_sub(CACHE_WINDOW_MS)).await?);
        }
        Ok(cache)
    }

    async fn read(&self, from: u64) -> Result<log::Batch, log::Error> {
        seek::read(&self.log, &self.stream, from).await
    }

    /// Creates a state that starts at or before the first retained record of log time `from_ms` or later.
    async fn open_from(&self, from_ms: u64) -> Result<State, log::Error> {
        let start = seek::seek(&self.log, &self.stream, from_ms).await?;
        let complete_from_ms = match start.coverage {
            Coverage::Full => 0,
            Coverage::Since(time_ms) => time_ms,
            Coverage::FutureOnly => UNKNOWN_START_MS,
        };
        Ok(State::new(start.offset, complete_from_ms))
    }
}
