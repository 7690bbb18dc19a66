//! A stream of records.

use std::collections::VecDeque;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Serialize;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Time of the append on the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Content.
    pub body: Bytes,
}

/// A record, as on the wire.
#[derive(Debug, Serialize)]
pub(super) struct Item {
    offset: u64,
    time_ms: u64,
    body: String,
}

impl From<&Record> for Item {
    fn from(record: &Record) -> Self {
        Self { offset: record.offset, time_ms: record.time_ms, body: STANDARD.encode(&record.body) }
    }
}

/// The response to a read.
#[derive(Debug, Serialize)]
pub(super) struct Batch {
    pub(super) records: Vec<Item>,
    pub(super) next: u64,
    pub(super) first: u64,
}

/// The retained records of a stream, by ascending offset.
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

    /// Offset of the next record.
    pub(super) fn next_offset(&self) -> u64 {
        self.next
    }

    pub(super) fn read(&self, from: u64, limit: usize) -> Batch {
        let first = self.next - self.records.len() as u64;
        let start = from.max(first);
        let skip = (start - first) as usize;
        let records: Vec<Item> =
            self.records.iter().skip(skip).take(limit).map(Item::from).collect();
        let next = start.max(first) + records.len() as u64;
        Batch { next: next.min(self.next.max(start)), records, first }
    }

    pub(super) fn records(&self) -> Vec<Record> {
        self.records.iter().cloned().collect()
    }
}
