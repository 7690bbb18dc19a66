//! A partition's state as read from the log by this host.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::timeout;

use super::key::{Key, Slot};
use super::record::{Claim, Id};
use super::state::{MEMORY_MS, Ruling, Standing, State, UNKNOWN_START_MS};
use crate::log;

/// Longest wait for the log's answer to a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Allowance for a log whose time steps back, in milliseconds.
const STEP_BACK_MS: u64 = 10_000;

/// Reads a partition's stream and keeps its state.
pub(crate) struct Replica<L> {
    log: L,
    stream: String,
    memory: Mutex<Memory>,
    /// Lets one reading of an old key's history go at a time.
    history: Mutex<()>,
}

#[derive(Default)]
struct Memory {
    state: Option<State>,
    expected: Option<Bytes>,
    found: Option<Vec<Ruling>>,
}

impl Memory {
    fn apply(&mut self, batch: &log::Batch) {
        let Some(state) = &mut self.state else { return };
        for record in &batch.records {
            let rulings = state.apply(record);
            if self.expected.as_ref() == Some(&record.body) {
                self.expected = None;
                self.found = Some(rulings);
            }
        }
    }
}

impl<L: log::Log> Replica<L> {
    pub(crate) fn new(log: L, stream: String) -> Self {
        Self { log, stream, memory: Mutex::default(), history: Mutex::default() }
    }

    /// Looks out for a record with this body, from now on.
    pub(crate) async fn expect(&self, body: Bytes, now_ms: u64) -> Result<(), log::Error> {
        let mut memory = self.opened(now_ms).await?;
        memory.expected = Some(body);
        memory.found = None;
        Ok(())
    }

    /// Reads to the tail, and returns what the expected record makes of its claims once it was read.
    pub(crate) async fn find(&self, now_ms: u64) -> Result<Option<Vec<Ruling>>, log::Error> {
        let mut memory = self.opened(now_ms).await?;
        self.read_to_tail(&mut memory).await?;
        Ok(memory.found.take())
    }

    /// Where `key` stands at the tail of the log. While the log is down, only a final standing in memory is told.
    pub(crate) async fn status(
        &self,
        slot: Slot,
        key: Key,
        now_ms: u64,
    ) -> Result<Standing, log::Error> {
        let mut memory = self.opened(now_ms).await?;
        let read = self.read_to_tail(&mut memory).await;
        let standing =
            memory.state.as_ref().map_or(Standing::Stale, |s| s.status(slot, key, now_ms));
        match (read, standing) {
            (Ok(()), standing) | (Err(_), standing @ Standing::Done(_)) => Ok(standing),
            (Err(error), _) => Err(error),
        }
    }

    /// What is recorded in memory for the key of `claim`.
    pub(crate) async fn recorded(&self, claim: &Claim) -> Option<Standing> {
        self.memory.lock().await.state.as_ref()?.recorded(claim)
    }

    /// The log's time of the newest record, in milliseconds since the Unix epoch; 0 if there is none.
    pub(crate) async fn newest_ms(&self, now_ms: u64) -> Result<u64, log::Error> {
        let mut memory = self.opened(now_ms).await?;
        self.read_to_tail(&mut memory).await?;
        Ok(memory.state.as_ref().map_or(0, State::newest_ms))
    }

    /// Reads all that the log has about one key, and returns the standing of the claim `id`, or of the key without one.
    pub(crate) async fn history(
        &self,
        slot: Slot,
        key: Key,
        id: Option<Id>,
        now_ms: u64,
    ) -> Result<Standing, log::Error> {
        let _turn = self.history.lock().await;
        let mut state = self.open_from(key.earliest_ms()).await?.with_only(slot);
        loop {
            let batch = self.read(state.next()).await?;
            if batch.records.is_empty() {
                break;
            }
            for record in &batch.records {
                let rulings = state.apply(record);
                if let Some(ruling) = rulings.into_iter().find(|r| Some(r.id) == id) {
                    return Ok(ruling.standing);
                }
            }
        }
        Ok(state.status(slot, key, now_ms))
    }

    async fn read_to_tail(&self, memory: &mut Memory) -> Result<(), log::Error> {
        loop {
            let next = memory.state.as_ref().map_or(0, State::next);
            let batch = self.read(next).await?;
            if batch.records.is_empty() {
                return Ok(());
            }
            memory.apply(&batch);
        }
    }

    async fn opened(&self, now_ms: u64) -> Result<MutexGuard<'_, Memory>, log::Error> {
        let mut memory = self.memory.lock().await;
        if memory.state.is_none() {
            memory.state = Some(self.open_from(now_ms.saturating_sub(MEMORY_MS)).await?);
        }
        Ok(memory)
    }

    async fn read(&self, from: u64) -> Result<log::Batch, log::Error> {
        let read = self.log.read(&self.stream, from, 0);
        timeout(READ_TIMEOUT, read).await.unwrap_or(Err(log::Error::Lost))
    }

    /// A state that will have read every record of time `from_ms` or later, as far back as the log still goes.
    async fn open_from(&self, from_ms: u64) -> Result<State, log::Error> {
        let time_ms = from_ms.saturating_sub(STEP_BACK_MS);
        let head = self.read(0).await?;
        let Some(oldest) = head.records.first() else {
            let start_ms = if head.first == 0 && head.next == 0 { 0 } else { UNKNOWN_START_MS };
            return Ok(State::new(head.next, start_ms));
        };
        if oldest.time_ms >= time_ms {
            let start_ms = if oldest.offset == 0 { 0 } else { oldest.time_ms.saturating_add(1) };
            return Ok(State::new(oldest.offset, start_ms));
        }
        let offset = self.search(oldest.offset, time_ms).await?;
        Ok(State::new(offset, from_ms))
    }

    /// The first offset above `low` whose record has time `time_ms` or later, or the tail. `low` is before it.
    async fn search(&self, mut low: u64, time_ms: u64) -> Result<u64, log::Error> {
        let mut step = 1;
        let mut high = loop {
            let probe = low + step;
            if !self.is_before(probe, time_ms).await? {
                break probe;
            }
            low = probe;
            step *= 2;
        };
        while high - low > 1 {
            let middle = low + (high - low) / 2;
            if self.is_before(middle, time_ms).await? {
                low = middle;
            } else {
                high = middle;
            }
        }
        Ok(high)
    }

    async fn is_before(&self, offset: u64, time_ms: u64) -> Result<bool, log::Error> {
        let batch = self.read(offset).await?;
        Ok(batch.records.first().is_some_and(|record| record.time_ms < time_ms))
    }
}
