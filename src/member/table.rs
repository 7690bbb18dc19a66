//! Table of the records of all members.

use std::collections::BTreeMap;

use super::record::{Health, Record};
use super::ring::{self, RINGS};
use super::view;
use crate::name;

/// Largest number of records, dead members included.
const MAX_RECORDS: usize = 4_096;

/// A record with values derived from it.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) record: Record,
    /// When the record's health last changed, in milliseconds.
    pub(super) health_since_ms: u64,
    /// Sort keys in the rings, derived from the host name.
    pub(super) sort_keys: [u64; RINGS],
    digest: u64,
}

/// The records of all members, with a digest of those present.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<name::Host, Row>,
    digest: u64,
}

impl Table {
    pub(super) fn get(&self, host: &name::Host) -> Option<&Row> {
        self.rows.get(host)
    }

    pub(super) fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &Record> {
        self.rows.values().map(|row| &row.record)
    }

    /// Digest of the present members. Equal on hosts whose tables agree on the members' names, incarnations, revisions
    /// and `leaving` flags.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn is_full(&self) -> bool {
        self.rows.len() >= MAX_RECORDS
    }

    /// Inserts a record and returns the host's previous one.
    pub(super) fn put(&mut self, record: Record, now_ms: u64) -> Option<Record> {
        let host = record.host.clone();
        let digest = digest(&record);
        let old = self.rows.remove(&host);
        let health_since_ms = match &old {
            Some(row) if row.record.health == record.health => row.health_since_ms,
            _ => now_ms,
        };
        let sort_keys = match &old {
            Some(row) => row.sort_keys,
            None => ring::sort_keys(&host),
        };
        self.digest ^= digest ^ old.as_ref().map_or(0, |row| row.digest);
        self.rows.insert(host, Row { record, health_since_ms, sort_keys, digest });
        old.map(|row| row.record)
    }

    /// Removes members that have been dead or left since before `before_ms`.
    pub(super) fn purge(&mut self, before_ms: u64) {
        self.rows.retain(|_, row| row.record.is_present() || row.health_since_ms >= before_ms);
    }

    /// Extends the suspicions by `lag_ms`, a time in which this process did not run.
    pub(super) fn extend_suspicions(&mut self, lag_ms: u64) {
        let suspects = self.rows.values_mut().filter(|row| row.record.health == Health::Suspect);
        suspects.for_each(|row| row.health_since_ms += lag_ms);
    }
}

fn digest(record: &Record) -> u64 {
    if !record.is_present() {
        return 0;
    }
    let mut hash = view::hash(record.host.as_str());
    for part in [record.incarnation, u64::from(record.revision), u64::from(record.leaving)] {
        hash = view::mix(hash ^ part);
    }
    hash
}
