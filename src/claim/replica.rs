//! A partition's state as read from the log by this host.

use bytes::Bytes;
use tokio::sync::{Mutex, MutexGuard};

use super::key::{Key, Slot};
use super::record::{Claim, Id};
use super::state::{MEMORY_MS, Ruling, Standing, State, UNKNOWN_START_MS};
use crate::seek::Coverage;
use crate::{log, seek};

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
        seek::read(&self.log, &self.stream, from).await
    }

    /// A state that will have read every record of time `from_ms` or later, as far back as the log still goes.
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
