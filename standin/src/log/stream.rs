//! One stream of records.

use std::collections::VecDeque;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Serialize;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream, from 0.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its content.
    pub body: Bytes,
}

/// A record as sent.
#[derive(Debug, Serialize)]
pub(super) struct Wire {
    offset: u64,
    time_ms: u64,
    body: String,
}

impl From<&Record> for Wire {
    fn from(record: &Record) -> Self {
        Self { offset: record.offset, time_ms: record.time_ms, body: STANDARD.encode(&record.body) }
    }
}

/// The answer to a read.
#[derive(Debug, Serialize)]
pub(super) struct Batch {
    pub(super) records: Vec<Wire>,
    pub(super) next: u64,
    pub(super) first: u64,
}

/// Retained records with rising offsets.
#[derive(Debug, Default)]
pub(super) struct Stream {
    records: VecDeque<Record>,
    next: u64,
}

impl Stream {
    pub(super) fn append(&mut self, time_ms: u64, body: Bytes) -> u64 {
        let offset = self.next;
        self.records.push_back(Record { offset, time_ms, body });
        self.next += 1;
        offset
    }

    /// Drops records beyond `count` or older than `oldest_ms`.
    pub(super) fn retain(&mut self, count: usize, oldest_ms: u64) {
        while self.records.len() > count
            || self.records.front().is_some_and(|record| record.time_ms < oldest_ms)
        {
            self.records.pop_front();
        }
    }

    pub(super) fn next(&self) -> u64 {
        self.next
    }

    pub(super) fn read(&self, from: u64, limit: usize) -> Batch {
        let first = self.next - self.records.len() as u64;
        let start = from.max(first);
        let skipped = (start - first) as usize;
        let records: Vec<Wire> =
            self.records.iter().skip(skipped).take(limit).map(Wire::from).collect();
        let next = start.max(first) + records.len() as u64;
        Batch { next: next.min(self.next.max(start)), records, first }
    }

    pub(super) fn records(&self) -> Vec<Record> {
        self.records.iter().cloned().collect()
    }
}
