//! The records of one topic.

use std::collections::BTreeMap;

/// The content of a record: the length of its key in one byte, the key and the value. Without a value, it removes the
/// key. A record of another form has no key.
pub(super) type Record = Vec<u8>;

/// The record that sets the value of a key. The key has at most 255 bytes.
pub(super) fn record(key: &[u8], value: &[u8]) -> Record {
    [&[key.len() as u8], key, value].concat()
}

fn parse(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (key_length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*key_length))
}

#[derive(Clone, Debug, Default)]
pub(super) struct Topic {
    first: u64,
    records: Vec<Record>,
    /// Offset of a record whose length in responses exceeds them.
    broken: Option<u64>,
}

impl Topic {
    /// Offset of the first record that is kept.
    pub(super) fn first(&self) -> u64 {
        self.first
    }

    /// Offset of the next record.
    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub(super) fn append(&mut self, record: Record) {
        self.records.push(record);
    }

    /// States a length of the next record that exceeds the responses.
    pub(super) fn break_next(&mut self) {
        self.broken = Some(self.end());
    }

    /// Drops all records.
    pub(super) fn clear(&mut self) {
        self.first = self.end();
        self.records.clear();
    }

    /// Updates the newest value of each key.
    pub(super) fn apply_to(&self, newest: &mut BTreeMap<Vec<u8>, Vec<u8>>) {
        for (key, value) in self.records.iter().filter_map(|record| parse(record)) {
            match value {
                [] => newest.remove(key),
                value => newest.insert(key.to_vec(), value.to_vec()),
            };
        }
    }

    /// The response to a read of the records from offset `from` on.
    pub(super) fn encode_from(&self, from: u64) -> Vec<u8> {
        let mut body = [self.end().to_be_bytes(), self.first.to_be_bytes()].concat();
        let skip = from.saturating_sub(self.first) as usize;
        for (offset, record) in (self.first..).zip(&self.records).skip(skip) {
            let length = if self.broken == Some(offset) { u32::MAX } else { record.len() as u32 };
            body.extend_from_slice(&length.to_be_bytes());
            body.extend_from_slice(record);
        }
        body
    }
}
