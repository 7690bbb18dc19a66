//! An in-memory log with faults that the tests inject.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;

use crate::log::{Batch, Error, Log, Record};

/// A log of any number of streams. Clones share their state.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<State>>);

/// The streams and the injected faults.
#[derive(Default)]
pub struct State {
    streams: HashMap<String, Stream>,
    /// The log's clock.
    pub now_ms: u64,
    /// Whether every call is refused.
    pub down: bool,
    /// Appends that fail with a lost response, the last entry first; the record is stored if the entry is true.
    pub lost_responses: Vec<bool>,
    /// Most records returned by one read, 0 for no limit.
    pub batch_limit: usize,
    /// How often a call yields to other tasks before it runs: one entry for each call, the last entry first.
    pub yields: Vec<u32>,
    /// A stream, and the milliseconds by which the log's clock advances before the next append to it.
    pub append_delay: Option<(String, u64)>,
}

#[derive(Default)]
struct Stream {
    records: Vec<Record>,
    first: u64,
}

impl Memory {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    async fn yield_to_others(&self) {
        let yields = self.state().yields.pop().unwrap_or(0);
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
    }
}

impl State {
    pub fn append(&mut self, stream: &str, body: Bytes) -> u64 {
        let time_ms = self.now_ms;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.records.len() as u64;
        stream.records.push(Record { offset, time_ms, body });
        offset
    }

    pub fn read(&self, stream: &str, from: u64) -> Batch {
        let Some(stream) = self.streams.get(stream) else { return Batch::default() };
        let from = from.max(stream.first) as usize;
        let limit = if self.batch_limit == 0 { usize::MAX } else { self.batch_limit };
        let records: Vec<_> = stream.records.iter().skip(from).take(limit).cloned().collect();
        Batch { next: (from + records.len()) as u64, records, first: stream.first }
    }

    /// Drops records older than `retention_ms`.
    pub fn expire(&mut self, retention_ms: u64) {
        let now_ms = self.now_ms;
        for stream in self.streams.values_mut() {
            let old = |r: &&Record| r.time_ms + retention_ms < now_ms;
            stream.first = stream.records.iter().take_while(old).count() as u64;
        }
    }
}

impl Log for Memory {
    async fn append(&self, stream: &str, body: Bytes) -> Result<u64, Error> {
        self.yield_to_others().await;
        let mut state = self.state();
        if state.down {
            return Err(Error::Refused(503));
        }
        if let Some((_, delay_ms)) = state.append_delay.take_if(|(name, _)| name == stream) {
            state.now_ms += delay_ms;
        }
        state.now_ms += 1;
        match state.lost_responses.pop() {
            Some(true) => {
                state.append(stream, body);
                Err(Error::Lost)
            }
            Some(false) => Err(Error::Lost),
            None => Ok(state.append(stream, body)),
        }
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Batch, Error> {
        self.yield_to_others().await;
        for _ in 0..=wait_ms.min(100) {
            let batch = self.state().read(stream, from);
            if self.state().down {
                return Err(Error::Refused(503));
            }
            if !batch.records.is_empty() || wait_ms == 0 {
                return Ok(batch);
            }
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        Ok(self.state().read(stream, from))
    }
}
