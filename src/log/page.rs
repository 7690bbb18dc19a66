//! Converts the pages of the log service to a batch.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

use super::{Batch, Error, Record};
use crate::lenient;

/// The JSON response to a read.
#[derive(Deserialize)]
struct Page {
    records: lenient::List<Item>,
    next: u64,
    first: u64,
}

/// The JSON form of a record, with its body in Base64.
#[derive(Deserialize)]
struct Item {
    offset: u64,
    time_ms: u64,
    #[serde(default)]
    body: Value,
}

impl From<Item> for Record {
    /// The body is empty if it cannot be decoded; no stream has such records.
    fn from(item: Item) -> Self {
        let body = item.body.as_str().and_then(|body| STANDARD.decode(body).ok());
        Self { offset: item.offset, time_ms: item.time_ms, body: body.unwrap_or_default().into() }
    }
}

/// The pages of a read, up to the first one that has a readable record. The offsets of a stream have no gaps other than
/// expired records, so an unreadable record has the offset before the next one.
#[derive(Debug)]
pub(super) struct Pages {
    batch: Batch,
    /// First offset that the next record may have.
    expected: u64,
    /// Unreadable records since the last readable one.
    unreadable: u64,
}

impl Pages {
    /// Pages of a read from offset `from`.
    pub(super) fn new(from: u64) -> Self {
        let batch = Batch { next: from, ..Batch::default() };
        Self { batch, expected: from, unreadable: 0 }
    }

    /// The offset from which to read the next page.
    pub(super) fn next(&self) -> u64 {
        self.batch.next
    }

    /// Adds the next page. Returns whether it completes the batch: it has a readable record, or none at all.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the page cannot be parsed, or its records do not follow each other.
    pub(super) fn add(&mut self, body: &[u8]) -> Result<bool, Error> {
        let page: Page = lenient::parse(body).map_err(|_| Error::Malformed)?;
        let offsets = self.batch.next..page.next;
        (self.batch.next, self.batch.first) = (page.next, page.first);
        if page.records.0.is_empty() {
            return Ok(true);
        }
        if offsets.is_empty() {
            return Err(Error::Malformed);
        }
        for item in page.records.0 {
            match item.filter(|item| offsets.contains(&item.offset)) {
                Some(item) => self.push(item.into())?,
                None => self.unreadable += 1,
            }
        }
        Ok(!self.batch.records.is_empty())
    }

    /// Adds a record, after the unreadable ones before it.
    fn push(&mut self, record: Record) -> Result<(), Error> {
        let missing = record.offset.checked_sub(self.expected).ok_or(Error::Malformed)?;
        let unreadable = std::mem::take(&mut self.unreadable).min(missing);
        for offset in record.offset - unreadable..record.offset {
            let (time_ms, body) = (record.time_ms, Bytes::new());
            self.batch.records.push(Record { offset, time_ms, body });
        }
        self.expected = record.offset + 1;
        self.batch.records.push(record);
        Ok(())
    }

    /// The records of all pages.
    pub(super) fn finish(self) -> Batch {
        self.batch
    }
}
