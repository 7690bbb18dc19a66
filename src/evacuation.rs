//! Failure domains that the operator evacuates: nothing more is sent to servers there.
//!
//! The operator's records are read from the store by some hosts only, which tell the others. A [`State`] therefore has a
//! revision, the position up to which the store's records are included, and news of a lower revision never replaces it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::name;
use crate::store_sync::REWRITE_MS;

mod queue;
mod turn;
mod wire;

pub use queue::{Queue, Ticket};
pub use turn::may_start;
pub use wire::{Held, Snapshot};

/// Largest number of domains that can be evacuated. Bounds the messages between hosts to some 30 KB.
pub const MAX_DOMAINS: usize = 128;

/// Time after an evacuation was learnt in which a generation that was stopped for a move may continue at its source, in
/// milliseconds.
const CONTINUATION_MS: u64 = 1_000;

/// Position in the store's topic up to which records are included. Offsets of different eras cannot be compared, and a
/// higher era is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// How often the store has come back from an older copy.
    pub era: u64,
    /// Offset of the next record.
    pub offset: u64,
}

/// The newest record of a domain, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The failure domain.
    pub domain: name::Domain,
    /// Whether the record is present.
    pub is_evacuated: bool,
}

/// What changed with new records or a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Domains whose evacuation began.
    pub begun: Vec<name::Domain>,
    /// Domains whose evacuation ended.
    pub ended: Vec<name::Domain>,
    /// Whether other hosts should know.
    pub is_news: bool,
    /// Records that were ignored because more than [`MAX_DOMAINS`] domains have one.
    pub ignored: usize,
}

/// What one host tells others of the operator's records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Known {
    /// Domains with a record in the store.
    evacuated: BTreeSet<name::Domain>,
    /// Domains whose record was removed in this era of the store.
    ended: BTreeSet<name::Domain>,
    /// Domains with a record in an earlier era that the store may have lost, with the time up to which they stay
    /// evacuated, in milliseconds.
    held: BTreeMap<name::Domain, u64>,
}

impl Known {
    /// Whether `other` names the same domains.
    fn has_same_domains(&self, other: &Self) -> bool {
        self.evacuated == other.evacuated
            && self.ended == other.ended
            && self.held.keys().eq(other.held.keys())
    }
}

/// The evacuated domains, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct State {
    revision: Revision,
    known: Known,
    /// Domains that are evacuated, with the time at which this host learnt that, in milliseconds.
    since_ms: BTreeMap<name::Domain, u64>,
    /// Whether a domain is or was evacuated here or, by what it told, at another host.
    is_used: bool,
}

impl State {
    /// A state without evacuated domains.
    ///
    /// ```
    /// use nutmeghead::evacuation::{Record, Revision, State};
    /// use nutmeghead::name;
    /// let domain = name::Domain::new("a")?;
    /// let mut state = State::new();
    /// let record = Record { domain: domain.clone(), is_evacuated: true };
    /// state.apply(vec![record], false, Revision { era: 0, offset: 7 }, 0);
    /// assert!(state.is_evacuated(&domain));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies records of the store up to `revision`, in their order. With `complete` they are the newest of all domains.
    pub fn apply(
        &mut self,
        records: Vec<Record>,
        complete: bool,
        revision: Revision,
        now_ms: u64,
    ) -> Changes {
        if revision < self.revision {
            return Changes::default();
        }
        let before = self.known.clone();
        self.advance(revision, now_ms);
        if complete {
            // The newest records do not show removals.
            let earlier = std::mem::take(&mut self.known.evacuated);
            let listed = |domain: &name::Domain| records.iter().any(|r| r.domain == *domain);
            earlier
                .into_iter()
                .filter(|domain| !listed(domain))
                .for_each(|domain| self.end(domain));
        }
        let mut ignored = 0;
        for Record { domain, is_evacuated } in records {
            if !is_evacuated {
                self.end(domain);
            } else if self.known.evacuated.len() < MAX_DOMAINS {
                self.known.ended.remove(&domain);
                self.known.evacuated.insert(domain);
            } else if !self.known.evacuated.contains(&domain) {
                ignored += 1;
            }
        }
        Changes { ignored, ..self.settle(&before, now_ms) }
    }

    /// Applies what another host knows.
    pub fn merge(&mut self, snapshot: Snapshot, now_ms: u64) -> Changes {
        let before = self.known.clone();
        self.is_used |= !snapshot.evacuated.is_empty() || !snapshot.held.is_empty();
        if snapshot.revision > self.revision {
            self.advance(snapshot.revision, now_ms);
            self.known.evacuated = snapshot.evacuated.into_iter().take(MAX_DOMAINS).collect();
            self.known.ended = snapshot.ended.into_iter().take(MAX_DOMAINS).collect();
        }
        if snapshot.revision.era == self.revision.era {
            for Held { domain, left_ms } in snapshot.held.into_iter().take(MAX_DOMAINS) {
                if left_ms > 0 && self.known.held.len() < MAX_DOMAINS {
                    let until_ms = now_ms + left_ms.min(REWRITE_MS);
                    self.known.held.entry(domain).or_insert(until_ms);
                }
            }
        }
        self.settle(&before, now_ms)
    }

    /// Ends the evacuation of domains whose records the store lost and the operator did not write again.
    pub fn expire(&mut self, now_ms: u64) -> Changes {
        if self.known.held.values().all(|until_ms| now_ms < *until_ms) {
            return Changes::default();
        }
        let before = self.known.clone();
        self.known.held.retain(|_, until_ms| now_ms < *until_ms);
        Changes { is_news: false, ..self.settle(&before, now_ms) }
    }

    /// What this host tells others; `None` if no domain has been evacuated yet.
    pub fn snapshot(&self, now_ms: u64) -> Option<Snapshot> {
        let Known { evacuated, ended, held } = &self.known;
        let held = held.iter().map(|(domain, until_ms)| Held {
            domain: domain.clone(),
            left_ms: until_ms.saturating_sub(now_ms),
        });
        self.is_used.then(|| Snapshot {
            revision: self.revision,
            evacuated: evacuated.iter().cloned().collect(),
            ended: ended.iter().cloned().collect(),
            held: held.collect(),
        })
    }

    /// The evacuated domains.
    pub fn domains(&self) -> BTreeSet<name::Domain> {
        self.since_ms.keys().cloned().collect()
    }

    /// Whether `domain` is evacuated.
    pub fn is_evacuated(&self, domain: &name::Domain) -> bool {
        self.since_ms.contains_key(domain)
    }

    /// When this host learnt that `domain` is evacuated, in milliseconds; `None` if it is not.
    pub fn since_ms(&self, domain: &name::Domain) -> Option<u64> {
        self.since_ms.get(domain).copied()
    }

    /// Whether a generation that was stopped for a move may continue at its source in `domain`.
    pub fn may_continue(&self, domain: &name::Domain, now_ms: u64) -> bool {
        self.since_ms(domain).is_none_or(|since_ms| now_ms < since_ms + CONTINUATION_MS)
    }

    /// Sets the revision. In a new era, domains of the earlier one stay evacuated for some time, as their records may be
    /// lost.
    fn advance(&mut self, revision: Revision, now_ms: u64) {
        if revision.era > self.revision.era {
            let evacuated = std::mem::take(&mut self.known.evacuated);
            let earlier = std::mem::take(&mut self.known.held).into_keys();
            let held = evacuated.into_iter().chain(earlier).take(MAX_DOMAINS);
            self.known.held = held.map(|domain| (domain, now_ms + REWRITE_MS)).collect();
            self.known.ended.clear();
        }
        self.revision = revision;
    }

    fn end(&mut self, domain: name::Domain) {
        self.known.evacuated.remove(&domain);
        self.known.held.remove(&domain);
        if self.known.ended.len() < MAX_DOMAINS {
            self.known.ended.insert(domain);
        }
    }

    /// Derives the evacuated domains, and what changed since `before`.
    fn settle(&mut self, before: &Known, now_ms: u64) -> Changes {
        let Known { evacuated, ended, held } = &mut self.known;
        held.retain(|domain, _| !evacuated.contains(domain) && !ended.contains(domain));
        let in_force: BTreeSet<_> = evacuated.iter().chain(held.keys()).cloned().collect();
        let begun = in_force.iter().filter(|domain| !self.since_ms.contains_key(*domain));
        let begun: Vec<_> = begun.cloned().collect();
        let ended = self.since_ms.keys().filter(|domain| !in_force.contains(*domain));
        let ended: Vec<_> = ended.cloned().collect();
        self.since_ms.retain(|domain, _| in_force.contains(domain));
        self.since_ms.extend(begun.iter().map(|domain| (domain.clone(), now_ms)));
        self.is_used |= !in_force.is_empty();
        let is_news = !before.has_same_domains(&self.known);
        Changes { begun, ended, is_news, ignored: 0 }
    }
}

#[cfg(test)]
mod tests;
