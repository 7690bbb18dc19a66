//! Which document is in force, decided from the log's records.
//!
//! A record is accepted if its base is the version in force before it and its document passes the checks; its version is
//! then its offset plus one. All other records are skipped. The verdict depends on the records before it alone, so every
//! reader decides alike. A reader that does not know what was in force before its first record is not anchored: it judges
//! nothing until a renewal, a restoration or a peer tells it.

use std::collections::VecDeque;
use std::sync::Arc;

use uuid::Uuid;

use super::{Change, FORMAT, Record, Snapshot, Source};
use crate::document::Active;
use crate::log;

/// Verdicts that a chain remembers.
const MAX_VERDICTS: usize = 256;

/// Longest time from the confirmation of a version in its own environment to its promotion, in milliseconds of the log's
/// clock.
const PROMOTION_TIMEOUT_MS: u64 = 30_000;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its document is in force under this version.
    Accepted {
        /// The version.
        version: u64,
    },
    /// Another document is in force than the one the record builds on.
    Conflict(Conflict),
    /// Its document fails the checks.
    Invalid,
    /// It confirmed the version in force at this time of the log, in milliseconds since the Unix epoch.
    Confirmed {
        /// The time.
        time_ms: u64,
    },
    /// It repeated the document in force.
    Renewed,
    /// It is a renewal that another record overtook.
    Void,
}

/// Why a record lost against another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// Its base is not the version in force.
    #[error("{}", in_force(*version, author))]
    Base {
        /// The version in force, 0 for none.
        version: u64,
        /// Who submitted it.
        author: Arc<str>,
    },
    /// The same or a later version of the source was promoted before.
    #[error("version {version} of {environment} was promoted before")]
    Superseded {
        /// The source's environment.
        environment: crate::name::Environment,
        /// The version that was promoted.
        version: u64,
    },
    /// The promotion came too long after its source was confirmed to be in force.
    #[error("the promotion came {late_ms} ms after its source was confirmed")]
    Late {
        /// Time since the confirmation, in milliseconds.
        late_ms: u64,
    },
}

fn in_force(version: u64, author: &str) -> String {
    match version {
        0 => "no document is in force".to_owned(),
        _ => format!("version {version} by {author} is in force"),
    }
}

/// A document in force.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// What the records say.
    pub snapshot: Snapshot,
    /// The checked document; none if a later software's document cannot be read by this one.
    pub active: Option<Arc<Active>>,
}

impl Accepted {
    /// Checks the document of `snapshot`. One of another [`FORMAT`] was checked by its author's software, so it counts
    /// even if this one cannot read it.
    pub(super) fn check(snapshot: Snapshot) -> Option<Self> {
        let parsed = Active::parse(snapshot.version, snapshot.text.clone());
        if parsed.is_err() && snapshot.format == FORMAT {
            return None;
        }
        Some(Self { snapshot, active: parsed.ok().map(Arc::new) })
    }
}

/// A reader of an environment's stream.
#[derive(Clone, Debug)]
pub struct Chain {
    accepted: Option<Accepted>,
    next: u64,
    first: u64,
    anchored: bool,
    anchor: Option<Anchor>,
    verdicts: VecDeque<(Uuid, Verdict)>,
}

/// The latest record from which a new reader can start.
#[derive(Clone, Copy, Debug)]
struct Anchor {
    offset: u64,
    time_ms: u64,
}

impl Default for Chain {
    fn default() -> Self {
        Self::new()
    }
}

impl Chain {
    /// A reader at the beginning of the stream.
    ///
    /// ```
    /// let chain = nutmeghead::config::Chain::new();
    /// assert_eq!((chain.version(), chain.next()), (0, 0));
    /// ```
    pub fn new() -> Self {
        Self {
            accepted: None,
            next: 0,
            first: 0,
            anchored: true,
            anchor: None,
            verdicts: VecDeque::new(),
        }
    }

    /// The offset to read from next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the reader knows what is in force at [`Self::next`].
    pub fn is_anchored(&self) -> bool {
        self.anchored
    }

    /// The document in force as far as was read.
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// The version in force as far as was read, 0 for none.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |a| a.snapshot.version)
    }

    /// The latest verdicts by record, oldest first.
    pub fn verdicts(&self) -> impl DoubleEndedIterator<Item = &(Uuid, Verdict)> {
        self.verdicts.iter()
    }

    /// The verdict on a record: the acceptance of any of its copies, else the latest.
    pub fn verdict(&self, id: Uuid) -> Option<Verdict> {
        if let Some(accepted) = self.accepted.as_ref().filter(|a| a.snapshot.id == id) {
            return Some(Verdict::Accepted { version: accepted.snapshot.version });
        }
        let of_id = || self.verdicts.iter().rev().filter(|(i, _)| *i == id).map(|(_, v)| v);
        let accepted = of_id().find(|v| matches!(v, Verdict::Accepted { .. }));
        accepted.or_else(|| of_id().next()).cloned()
    }

    /// Takes in what a read from [`Self::next`] returned.
    pub fn read(&mut self, batch: &log::Batch) {
        self.first = self.first.max(batch.first);
        self.skip_to(batch.first);
        for record in &batch.records {
            if record.offset < self.next {
                continue;
            }
            self.skip_to(record.offset);
            self.take(record);
        }
    }

    /// Goes on from `at` with what a peer knows to be in force before that offset, unless this reader knows as much.
    pub fn adopt(&mut self, at: u64, accepted: Accepted) {
        let knows = at < self.next || (at == self.next && self.anchored);
        if knows || accepted.snapshot.version < self.version() || accepted.snapshot.version > at {
            return;
        }
        self.accepted = Some(accepted);
        self.anchored = true;
        self.next = at;
    }

    /// The renewal that is due at `now_ms` if the last record from which a new reader can start is older than
    /// `after_ms`, both in milliseconds of the log's clock.
    pub fn renewal(&self, now_ms: u64, after_ms: u64) -> Option<Change> {
        let accepted = self.accepted.as_ref().filter(|_| self.anchored)?;
        // The log may also limit the number of records, so an anchor in the older half of them is not fresh either.
        let older_half = match self.first {
            0 => 0,
            first => first + self.next.saturating_sub(first) / 2,
        };
        let fresh =
            |a: Anchor| a.offset >= older_half && a.time_ms.saturating_add(after_ms) > now_ms;
        if self.anchor.is_some_and(fresh) {
            return None;
        }
        Some(Change::Renew { at: self.next, snapshot: accepted.snapshot.clone() })
    }

    /// Records before `offset` have expired unread.
    fn skip_to(&mut self, offset: u64) {
        if offset > self.next {
            self.anchored = false;
            self.next = offset;
        }
    }

    fn take(&mut self, record: &log::Record) {
        if record.offset == 0 {
            self.anchor = Some(Anchor { offset: 0, time_ms: record.time_ms });
        }
        self.next = record.offset.saturating_add(1);
        let Ok(Record { id, author, format, change }) = Record::decode(&record.body) else {
            return;
        };
        let place = Anchor { offset: record.offset, time_ms: record.time_ms };
        let new = |text| Snapshot {
            version: record.offset.saturating_add(1),
            id,
            author,
            format,
            text,
            promoted: self.promoted().cloned(),
        };
        let verdict = match change {
            Change::Renew { at, snapshot } => self.renew(place, at, snapshot),
            Change::Restore { text } => {
                let verdict = self.accept(new(text));
                self.restored(place, &verdict);
                verdict
            }
            _ if !self.anchored => return,
            Change::Submit { base, text } => {
                let snapshot = new(text);
                self.replace(base, snapshot)
            }
            Change::Promote { base, text, source } => {
                let snapshot = Snapshot { promoted: Some(source), ..new(text) };
                self.promote(base, place.time_ms, snapshot)
            }
            Change::Confirm { base } => match self.conflict(base) {
                Some(conflict) => Verdict::Conflict(conflict),
                None => Verdict::Confirmed { time_ms: place.time_ms },
            },
        };
        self.remember(id, verdict);
    }

    fn promoted(&self) -> Option<&Source> {
        self.accepted.as_ref()?.snapshot.promoted.as_ref()
    }

    /// The conflict of a record that builds on `base`.
    pub(super) fn conflict(&self, base: u64) -> Option<Conflict> {
        if base == self.version() {
            return None;
        }
        let author =
            self.accepted.as_ref().map_or_else(|| "".into(), |a| a.snapshot.author.clone());
        Some(Conflict::Base { version: self.version(), author })
    }

    fn replace(&mut self, base: u64, snapshot: Snapshot) -> Verdict {
        match self.conflict(base) {
            Some(conflict) => Verdict::Conflict(conflict),
            None => self.accept(snapshot),
        }
    }

    fn promote(&mut self, base: u64, time_ms: u64, snapshot: Snapshot) -> Verdict {
        let Some(source) = &snapshot.promoted else { return Verdict::Invalid };
        let late_ms = time_ms.saturating_sub(source.confirmed_ms);
        if late_ms > PROMOTION_TIMEOUT_MS {
            return Verdict::Conflict(Conflict::Late { late_ms });
        }
        let same = self.promoted().filter(|p| p.environment == source.environment);
        if let Some(last) = same.filter(|p| p.version >= source.version) {
            let (environment, version) = (last.environment.clone(), last.version);
            return Verdict::Conflict(Conflict::Superseded { environment, version });
        }
        self.replace(base, snapshot)
    }

    fn accept(&mut self, snapshot: Snapshot) -> Verdict {
        let version = snapshot.version;
        match Accepted::check(snapshot) {
            Some(accepted) => {
                self.accepted = Some(accepted);
                Verdict::Accepted { version }
            }
            None => Verdict::Invalid,
        }
    }

    fn restored(&mut self, place: Anchor, verdict: &Verdict) {
        if matches!(verdict, Verdict::Accepted { .. }) {
            self.anchored = true;
            self.anchor = Some(place);
        }
    }

    /// A renewal at the offset it names was written by a reader that knew every record before it.
    fn renew(&mut self, place: Anchor, at: u64, snapshot: Snapshot) -> Verdict {
        let overtaken = at != place.offset || snapshot.version > at;
        if overtaken || snapshot.version < self.version() {
            return Verdict::Void;
        }
        if self.anchored && snapshot.version != self.version() {
            return Verdict::Void;
        }
        if !self.anchored {
            let Some(accepted) = Accepted::check(snapshot) else { return Verdict::Invalid };
            self.accepted = Some(accepted);
            self.anchored = true;
        }
        self.anchor = Some(place);
        Verdict::Renewed
    }

    fn remember(&mut self, id: Uuid, verdict: Verdict) {
        if self.verdicts.len() == MAX_VERDICTS {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((id, verdict));
    }
}
