//! Replays an environment's stream to determine the document in force.
//!
//! A record is accepted if its base is the version in force before it and its document passes the checks; its version
//! is then its offset plus one. All other records are skipped. The outcome depends only on the preceding records, so
//! all readers agree. A reader that does not know which document was in force before its first record is not synced: it
//! skips all records until a renewal, a restoration or a peer supplies the document in force.

use std::collections::VecDeque;
use std::sync::Arc;

use uuid::Uuid;

use super::{Change, FORMAT, Record, Snapshot, Source};
use crate::document::Active;
use crate::log;

/// Number of recent outcomes that a reader retains.
const MAX_OUTCOMES: usize = 256;

/// Longest time between the confirmation of a version in its source environment and its promotion, in milliseconds of
/// the log's clock.
const PROMOTION_TIMEOUT_MS: u64 = 30_000;

/// The outcome of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its document came into force.
    Accepted {
        /// The document's version.
        version: u64,
    },
    /// The document in force is not the one that the record is based on.
    Conflict(Conflict),
    /// Its document fails the checks.
    Invalid,
    /// It confirmed the version in force.
    Confirmed {
        /// The log's time at which the version was in force, in milliseconds since the Unix epoch.
        time_ms: u64,
    },
    /// It repeated the document in force.
    Renewed,
    /// It is a renewal, but another record was appended before it or its version is not the one in force.
    Stale,
}

/// Why a record conflicts with an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// Its base is not the version in force.
    #[error("{}", in_force(*version, author))]
    Base {
        /// The version in force, 0 for none.
        version: u64,
        /// The author of that version.
        author: Arc<str>,
    },
    /// The same or a later version of the source was already promoted.
    #[error("version {version} of {environment} was already promoted")]
    Superseded {
        /// The source's environment.
        environment: crate::name::Environment,
        /// The promoted version.
        version: u64,
    },
    /// The promotion was appended too long after its source was confirmed to be in force.
    #[error("the promotion was appended {late_ms} ms after its source was confirmed")]
    Late {
        /// Time between the confirmation and the promotion, in milliseconds.
        late_ms: u64,
    },
}

fn in_force(version: u64, author: &str) -> String {
    match version {
        0 => "no document is in force".to_owned(),
        _ => format!("version {version} by {author} is in force"),
    }
}

/// An accepted document.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The document's text and metadata, as read from the records.
    pub snapshot: Snapshot,
    /// The checked document; `None` if a newer release wrote it in a format that this release cannot read.
    pub active: Option<Arc<Active>>,
}

impl Accepted {
    /// Checks the document of `snapshot`; `None` if it fails. A document of another [`FORMAT`] is accepted even if this
    /// release cannot read it, because its author's release has checked it.
    pub(super) fn check(snapshot: Snapshot) -> Option<Self> {
        let parsed = Active::parse(snapshot.version, snapshot.text.clone());
        if parsed.is_err() && snapshot.format == FORMAT {
            return None;
        }
        Some(Self { snapshot, active: parsed.ok().map(Arc::new) })
    }
}

/// A reader of an environment's stream. It holds the document in force before the offset [`Self::next`].
#[derive(Clone, Debug)]
pub struct Reader {
    accepted: Option<Accepted>,
    next: u64,
    first: u64,
    synced: bool,
    checkpoint: Option<Checkpoint>,
    outcomes: VecDeque<(Uuid, Outcome)>,
}

/// A record from which a new reader can start.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    offset: u64,
    time_ms: u64,
}

impl Default for Reader {
    fn default() -> Self {
        Self::new()
    }
}

impl Reader {
    /// Creates a reader at the beginning of the stream.
    ///
    /// ```
    /// let reader = nutmeghead::config::Reader::new();
    /// assert_eq!((reader.version(), reader.next()), (0, 0));
    /// ```
    pub fn new() -> Self {
        Self {
            accepted: None,
            next: 0,
            first: 0,
            synced: true,
            checkpoint: None,
            outcomes: VecDeque::new(),
        }
    }

    /// The offset to read from next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the reader knows which document is in force at [`Self::next`].
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// The document in force at [`Self::next`].
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// The version in force at [`Self::next`], 0 for none.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |a| a.snapshot.version)
    }

    /// The latest outcomes with the identifiers of their records, oldest first.
    pub fn outcomes(&self) -> impl DoubleEndedIterator<Item = &(Uuid, Outcome)> {
        self.outcomes.iter()
    }

    /// The outcome of record `id`: the acceptance of any of its copies, otherwise the latest outcome.
    pub fn outcome(&self, id: Uuid) -> Option<Outcome> {
        if let Some(accepted) = self.accepted.as_ref().filter(|a| a.snapshot.id == id) {
            return Some(Outcome::Accepted { version: accepted.snapshot.version });
        }
        let of_id = || self.outcomes.iter().rev().filter(|(i, _)| *i == id).map(|(_, v)| v);
        let accepted = of_id().find(|v| matches!(v, Outcome::Accepted { .. }));
        accepted.or_else(|| of_id().next()).cloned()
    }

    /// Applies the result of a read from [`Self::next`].
    pub fn apply(&mut self, batch: &log::Batch) {
        self.first = self.first.max(batch.first);
        self.skip_to(batch.first);
        for record in &batch.records {
            if record.offset < self.next {
                continue;
            }
            self.skip_to(record.offset);
            self.apply_record(record);
        }
    }

    /// Continues from offset `at` with the document that a peer reports in force there, unless this reader has already
    /// reached that offset.
    pub fn adopt(&mut self, at: u64, accepted: Accepted) {
        let reached = at < self.next || (at == self.next && self.synced);
        if reached || accepted.snapshot.version < self.version() || accepted.snapshot.version > at {
            return;
        }
        self.accepted = Some(accepted);
        self.synced = true;
        self.next = at;
    }

    /// The renewal due at `now_ms`; `None` if the reader is not synced or the latest checkpoint is recent, which means
    /// less than `after_ms` old and in the newer half of the retained records. Both times are in milliseconds of the
    /// log's clock.
    pub fn renewal(&self, now_ms: u64, after_ms: u64) -> Option<Change> {
        let accepted = self.accepted.as_ref().filter(|_| self.synced)?;
        // The log may also limit the number of records, so a checkpoint in the older half of them is not recent either.
        let middle = match self.first {
            0 => 0,
            first => first + self.next.saturating_sub(first) / 2,
        };
        let recent =
            |a: Checkpoint| a.offset >= middle && a.time_ms.saturating_add(after_ms) > now_ms;
        if self.checkpoint.is_some_and(recent) {
            return None;
        }
        Some(Change::Renew { at: self.next, snapshot: accepted.snapshot.clone() })
    }

    /// Continues at `offset` if the records before it expired unread; the reader is then not synced.
    fn skip_to(&mut self, offset: u64) {
        if offset > self.next {
            self.synced = false;
            self.next = offset;
        }
    }

    fn apply_record(&mut self, record: &log::Record) {
        if record.offset == 0 {
            self.checkpoint = Some(Checkpoint { offset: 0, time_ms: record.time_ms });
        }
        self.next = record.offset.saturating_add(1);
        let Ok(Record { id, author, format, change }) = Record::decode(&record.body) else {
            return;
        };
        let position = Checkpoint { offset: record.offset, time_ms: record.time_ms };
        let new_snapshot = |text| Snapshot {
            version: record.offset.saturating_add(1),
            id,
            author,
            format,
            text,
            promoted: self.promoted().cloned(),
        };
        let outcome = match change {
            Change::Renew { at, snapshot } => self.renew(position, at, snapshot),
            Change::Restore { text } => {
                let outcome = self.accept(new_snapshot(text));
                self.set_checkpoint_if_accepted(position, &outcome);
                outcome
            }
            _ if !self.synced => return,
            Change::Submit { base, text } => {
                let snapshot = new_snapshot(text);
                self.replace(base, snapshot)
            }
            Change::Promote { base, text, source } => {
                let snapshot = Snapshot { promoted: Some(source), ..new_snapshot(text) };
                self.promote(base, position.time_ms, snapshot)
            }
            Change::Confirm { base } => match self.conflict(base) {
                Some(conflict) => Outcome::Conflict(conflict),
                None => Outcome::Confirmed { time_ms: position.time_ms },
            },
        };
        self.record_outcome(id, outcome);
    }

    fn promoted(&self) -> Option<&Source> {
        self.accepted.as_ref()?.snapshot.promoted.as_ref()
    }

    /// The conflict of a record that is based on version `base`.
    pub(super) fn conflict(&self, base: u64) -> Option<Conflict> {
        if base == self.version() {
            return None;
        }
        let author =
            self.accepted.as_ref().map_or_else(|| "".into(), |a| a.snapshot.author.clone());
        Some(Conflict::Base { version: self.version(), author })
    }

    fn replace(&mut self, base: u64, snapshot: Snapshot) -> Outcome {
        match self.conflict(base) {
            Some(conflict) => Outcome::Conflict(conflict),
            None => self.accept(snapshot),
        }
    }

    fn promote(&mut self, base: u64, time_ms: u64, snapshot: Snapshot) -> Outcome {
        let Some(source) = &snapshot.promoted else { return Outcome::Invalid };
        let late_ms = time_ms.saturating_sub(source.confirmed_ms);
        if late_ms > PROMOTION_TIMEOUT_MS {
            return Outcome::Conflict(Conflict::Late { late_ms });
        }
        let last = self.promoted().filter(|p| p.environment == source.environment);
        if let Some(last) = last.filter(|p| p.version >= source.version) {
            let (environment, version) = (last.environment.clone(), last.version);
            return Outcome::Conflict(Conflict::Superseded { environment, version });
        }
        self.replace(base, snapshot)
    }

    fn accept(&mut self, snapshot: Snapshot) -> Outcome {
        let version = snapshot.version;
        match Accepted::check(snapshot) {
            Some(accepted) => {
                self.accepted = Some(accepted);
                Outcome::Accepted { version }
            }
            None => Outcome::Invalid,
        }
    }

    fn set_checkpoint_if_accepted(&mut self, position: Checkpoint, outcome: &Outcome) {
        if matches!(outcome, Outcome::Accepted { .. }) {
            self.synced = true;
            self.checkpoint = Some(position);
        }
    }

    /// Applies a renewal. If its offset is `at`, its author had applied every record before it.
    fn renew(&mut self, position: Checkpoint, at: u64, snapshot: Snapshot) -> Outcome {
        let stale = at != position.offset || snapshot.version > at;
        if stale || snapshot.version < self.version() {
            return Outcome::Stale;
        }
        if self.synced && snapshot.version != self.version() {
            return Outcome::Stale;
        }
        if !self.synced {
            let Some(accepted) = Accepted::check(snapshot) else { return Outcome::Invalid };
            self.accepted = Some(accepted);
            self.synced = true;
        }
        self.checkpoint = Some(position);
        Outcome::Renewed
    }

    fn record_outcome(&mut self, id: Uuid, outcome: Outcome) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((id, outcome));
    }
}
