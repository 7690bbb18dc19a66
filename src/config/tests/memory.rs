//! A log in memory whose faults are switched by the tests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;

use crate::log::{Batch, Error, Log, Record};

/// A log of any number of streams.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<State>>);

/// What the log holds, and its faults.
#[derive(Default)]
pub struct State {
    streams: HashMap<String, Stream>,
    /// The log's clock.
    pub now_ms: u64,
    /// Whether every call is refused.
    pub down: bool,
    /// Appends whose answer is lost; the record is kept if the entry is true.
    pub lost: Vec<bool>,
    /// Most records of one read.
    pub limit: usize,
    /// Numbers of times that the other tasks run before a call, one a call.
    pub pauses: Vec<u32>,
    /// A stream before whose next append so many milliseconds pass.
    pub freeze: Option<(String, u64)>,
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

    async fn interleave(&self) {
        let pauses = self.state().pauses.pop().unwrap_or(0);
        for _ in 0..pauses {
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
        let limit = if self.limit == 0 { usize::MAX } else { self.limit };
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
        self.interleave().await;
        let mut state = self.state();
        if state.down {
            return Err(Error::Refused(503));
        }
        if let Some((_, pause_ms)) = state.freeze.take_if(|(name, _)| name == stream) {
            state.now_ms += pause_ms;
        }
        state.now_ms += 1;
        match state.lost.pop() {
            Some(true) => {
                state.append(stream, body);
                Err(Error::Lost)
            }
            Some(false) => Err(Error::Lost),
            None => Ok(state.append(stream, body)),
        }
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Batch, Error> {
        self.interleave().await;
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
