//! Bounds the age of the state that hosts cache from the platform's store. A few hosts, the readers of the
//! [`roster`](crate::roster), poll the store, and the others query the readers.
//!
//! A reply states the age of the replying host's cached state. The querying host subtracts this age from the time of
//! its query, on its own clock. Clock offsets and delayed or duplicated datagrams therefore never make cached state
//! look newer than it is.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::directory::Incarnation;

#[cfg(test)]
mod tests;

/// Age of cached state above which a reader is queried, in milliseconds: less than the interval between a reader's
/// reads.
const QUERY_AGE_MS: u64 = 700;

/// Interval between two queries by one host.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(400);

/// Age of the cached server entries at which a host reads the store itself, as a fraction of the time after which a
/// leaving server gets no new requests. The rest of that time is for the read.
const SERVERS_FRACTION: f64 = 0.65;

/// Age of the cached document at which a host reads the store itself, as a multiple of the time within which an
/// accepted document is in force. Unknown routes and keys are rejected up to 1.4 of that time, so the rest is for the
/// read.
const DOCUMENT_FACTOR: f64 = 1.1;

/// Divisor of the age at which a host reads the document itself that gives the wait before it reads a newer one. Operators
/// change the document several times within a second, and every change would cause a read by every host.
const DOCUMENT_DELAY_DIVISOR: u64 = 8;

/// Time in which the operator writes records again that the store has lost, in milliseconds.
pub const REWRITE_MS: u64 = 30_000;

/// Age of the cached document at which a host reads the store itself, as a fraction of the time within which an
/// evacuation is in force. The rest of that time is for the read, which may be repeated.
const EVACUATION_FRACTION: f64 = 0.5;

/// Time for which replies list a leaving server, in milliseconds: several times the highest age of cached state.
pub const LEAVING_RETENTION_MS: u64 = 10_000;

/// Consecutive replies with a different server digest after which a host reads the store itself. A change that is still
/// being distributed explains a single one.
const MISMATCHES_BEFORE_READ: u32 = 2;

/// Reply to a query: the age of the replying host's cached document and server entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Version of its document.
    pub version: u64,
    /// Time since this version was known to be the newest, in milliseconds.
    pub document_age_ms: u64,
    /// Time since it was known to have all server entries, in milliseconds.
    pub servers_age_ms: u64,
    /// Servers that the replying host learnt to be leaving or gone within the last [`LEAVING_RETENTION_MS`].
    pub leaving: Vec<Incarnation>,
    /// Digest of the servers that accept requests.
    pub digest: u64,
}

/// Times up to which a host's cached state is confirmed, in milliseconds of its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watermark {
    /// Its document was the newest at this time.
    pub document_ms: u64,
    /// It had all server entries at this time.
    pub servers_ms: u64,
}

/// Result of applying a [`Reply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// The new watermark.
    pub watermark: Watermark,
    /// Whether the replying host has a newer document.
    pub newer_document: bool,
}

impl Watermark {
    /// Whether the cached document or server entries are old enough to query a reader.
    pub fn needs_query(self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.document_ms.min(self.servers_ms)) > QUERY_AGE_MS
    }

    /// Applies a reply to a query sent at `queried_ms`, for a host whose document has `version`.
    ///
    /// ```
    /// use nutmeghead::store_sync::{Watermark, Reply};
    /// let watermark = Watermark { document_ms: 1_000, servers_ms: 1_000 };
    /// let reply = Reply {
    ///     version: 7,
    ///     document_age_ms: 300,
    ///     servers_age_ms: 200,
    ///     leaving: Vec::new(),
    ///     digest: 0,
    /// };
    /// let updated = watermark.apply(&reply, 7, 2_000).watermark;
    /// assert_eq!(updated, Watermark { document_ms: 1_700, servers_ms: 1_800 });
    /// ```
    pub fn apply(self, reply: &Reply, version: u64, queried_ms: u64) -> Update {
        let mut watermark = self;
        if reply.version == version {
            let confirmed_ms = queried_ms.saturating_sub(reply.document_age_ms);
            watermark.document_ms = watermark.document_ms.max(confirmed_ms);
        }
        // A reply does not list servers that left before the retention time, so older entries could still have one.
        if queried_ms.saturating_sub(self.servers_ms) < LEAVING_RETENTION_MS {
            let confirmed_ms = queried_ms.saturating_sub(reply.servers_age_ms);
            watermark.servers_ms = watermark.servers_ms.max(confirmed_ms);
        }
        Update { watermark, newer_document: reply.version > version }
    }
}

/// Ages of the cached state at which a host that is not a reader reads the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    document_ms: u64,
    servers_ms: u64,
}

impl Limits {
    /// Limits that leave time for a read before the cached state is too old: a leaving server gets no new requests
    /// after `leaving`, and a document is in force after `configuration`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmeghead::store_sync::Limits;
    /// let limits = Limits::new(Duration::from_secs(2), Duration::from_secs(2));
    /// assert_eq!((limits.document_due_ms(1_000), limits.servers_due_ms(1_000)), (3_200, 2_300));
    /// ```
    pub fn new(leaving: Duration, configuration: Duration) -> Self {
        let scaled = |time: Duration, factor: f64| time.mul_f64(factor).as_millis() as u64;
        Self {
            document_ms: scaled(configuration, DOCUMENT_FACTOR),
            servers_ms: scaled(leaving, SERVERS_FRACTION),
        }
    }

    /// Also leaves time for a read before an evacuation, whose records are in the topic of the document, has to be in force
    /// after `bound`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmeghead::store_sync::Limits;
    /// let limits = Limits::new(Duration::from_secs(2), Duration::from_secs(2));
    /// assert_eq!(limits.with_evacuation(Duration::from_secs(1)).document_due_ms(0), 500);
    /// ```
    pub fn with_evacuation(mut self, bound: Duration) -> Self {
        let evacuation_ms = bound.mul_f64(EVACUATION_FRACTION).as_millis() as u64;
        self.document_ms = self.document_ms.min(evacuation_ms);
        self
    }

    /// When a document that was confirmed at `confirmed_ms` has to be read again.
    pub fn document_due_ms(self, confirmed_ms: u64) -> u64 {
        confirmed_ms + self.document_ms
    }

    /// Time for which a host that is not a reader waits before it reads a newer document.
    pub fn document_delay(self) -> Duration {
        Duration::from_millis(self.document_ms / DOCUMENT_DELAY_DIVISOR)
    }

    /// When server entries that were confirmed at `confirmed_ms` have to be read again.
    pub fn servers_due_ms(self, confirmed_ms: u64) -> u64 {
        confirmed_ms + self.servers_ms
    }
}

/// Counts consecutive replies whose server digest differs from this host's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MismatchCounter {
    consecutive: u32,
}

impl MismatchCounter {
    /// Counts a reply. Returns whether this host has to read the server entries from the store.
    pub fn record(&mut self, same: bool) -> bool {
        self.consecutive = if same { 0 } else { self.consecutive + 1 };
        if self.consecutive < MISMATCHES_BEFORE_READ {
            return false;
        }
        self.consecutive = 0;
        true
    }
}
