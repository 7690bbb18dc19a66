//! Who may give an engine orders, decided alike by every reader of the lease records.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::claim::Holder;
use crate::{log, name, wire};

/// The stream of lease records.
pub const STREAM: &str = "leases";

/// Longest term of a lease, in milliseconds.
pub const MAX_TERM_MS: u32 = 180_000;

/// Longest time that an order takes to reach an engine, in milliseconds.
pub const ARRIVAL_TIMEOUT_MS: u64 = 30_000;

/// Allowance for clocks that differ over one term, in milliseconds.
const CLOCK_SKEW_MS: u64 = 5_000;

/// Wait after another holder's lease before orders go to an engine that does not fence, in milliseconds.
pub const SETTLE_MS: u64 = ARRIVAL_TIMEOUT_MS + CLOCK_SKEW_MS;

/// Most engines of one record.
const MAX_ENGINES: usize = 1_024;

/// A lease record: one holder asks for some engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The attempt.
    pub id: u128,
    /// Who asks.
    pub holder: Holder,
    /// The environment whose document is to be obeyed.
    pub environment: name::Environment,
    /// The version of the document that the holder obeys.
    pub version: u64,
    /// Time from the record on, in milliseconds; 0 gives the engines back.
    pub term_ms: u32,
    /// The engines.
    pub engines: Vec<name::Engine>,
}

#[derive(Clone, Debug)]
struct Grant {
    holder: Holder,
    until_ms: u64,
    /// When the last order of any earlier holder has arrived.
    settled_ms: u64,
}

impl Grant {
    /// When the last order of this and any earlier holder has arrived.
    fn all_settled_ms(&self) -> u64 {
        self.until_ms.saturating_add(SETTLE_MS).max(self.settled_ms)
    }
}

/// What a record makes of the leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The attempt.
    pub id: u128,
    /// The fencing number of orders under these leases: the offset of the record.
    pub fence: u64,
    /// The engines that the holder now has.
    pub granted: Vec<Granted>,
}

/// One engine of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// The engine.
    pub engine: name::Engine,
    /// How long orders of earlier holders may still be under way, in milliseconds from the record on.
    pub settle_ms: u64,
}

/// The leases as the records have them.
///
/// ```
/// use nutmeghead::{name::Engine, order::lease::State};
/// let state = State::new(0, 0);
/// assert!(state.holder(&Engine::new("e-1")?, 1_000).is_none());
/// # Ok::<(), nutmeghead::name::Error>(())
/// ```
#[derive(Debug)]
pub struct State {
    grants: HashMap<name::Engine, Grant>,
    versions: HashMap<name::Environment, u64>,
    next_offset: u64,
    newest_ms: u64,
    grants_from_ms: u64,
}

/// Stands for leases of unread records that end at an unknown time: the longest term after the next record.
pub const UNKNOWN_START_MS: u64 = u64::MAX;

impl State {
    /// A state that reads from offset `next` on and grants nothing before `grants_from_ms` of the log's time, because
    /// an unread lease may last until then.
    pub fn new(next_offset: u64, grants_from_ms: u64) -> Self {
        Self {
            grants: HashMap::new(),
            versions: HashMap::new(),
            next_offset,
            newest_ms: 0,
            grants_from_ms,
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The latest time of a record read, in milliseconds since the Unix epoch; 0 before the first.
    pub fn newest_ms(&self) -> u64 {
        self.newest_ms
    }

    /// Who has `engine` at time `now_ms` of the log.
    pub fn holder(&self, engine: &name::Engine, now_ms: u64) -> Option<&Holder> {
        self.grants.get(engine).filter(|grant| now_ms < grant.until_ms).map(|grant| &grant.holder)
    }

    /// Takes in the next record. `None` if it is no lease record.
    pub fn apply(&mut self, record: &log::Record) -> Option<Decision> {
        if record.offset < self.next_offset {
            return None;
        }
        if record.offset > self.next_offset || self.grants_from_ms == UNKNOWN_START_MS {
            self.reset_after_gap(record.time_ms);
        }
        self.next_offset = record.offset + 1;
        self.newest_ms = self.newest_ms.max(record.time_ms);
        let lease: Lease = wire::decode(&record.body).ok()?;
        if lease.term_ms > MAX_TERM_MS || lease.engines.len() > MAX_ENGINES {
            return None;
        }
        self.evict(record.time_ms);
        let granted = if self.has_newest_version(&lease) {
            self.grant(&lease, record.time_ms)
        } else {
            Vec::new()
        };
        Some(Decision { id: lease.id, fence: record.offset, granted })
    }

    /// Records are gone unread: any lease may last for the longest term.
    fn reset_after_gap(&mut self, time_ms: u64) {
        self.grants.clear();
        self.grants_from_ms = time_ms.saturating_add(u64::from(MAX_TERM_MS) + SETTLE_MS);
    }

    /// Whether no later document has been obeyed, so that a holder left behind orders nothing old.
    fn has_newest_version(&mut self, lease: &Lease) -> bool {
        let newest = self.versions.entry(lease.environment.clone()).or_default();
        *newest = (*newest).max(lease.version);
        lease.version == *newest
    }

    fn grant(&mut self, lease: &Lease, time_ms: u64) -> Vec<Granted> {
        let mut granted = Vec::new();
        for engine in &lease.engines {
            let last = self.grants.get(engine);
            let other_holder = last.filter(|grant| grant.holder != lease.holder);
            if other_holder.is_some_and(|grant| time_ms < grant.until_ms)
                || time_ms < self.grants_from_ms
            {
                continue;
            }
            let settled_ms = match (other_holder, last) {
                (Some(other_holder), _) => other_holder.all_settled_ms(),
                (None, Some(own)) => own.settled_ms,
                (None, None) => 0,
            };
            let until_ms = time_ms.saturating_add(u64::from(lease.term_ms));
            let grant = Grant { holder: lease.holder.clone(), until_ms, settled_ms };
            self.grants.insert(engine.clone(), grant);
            if lease.term_ms > 0 {
                let settle_ms = settled_ms.saturating_sub(time_ms);
                granted.push(Granted { engine: engine.clone(), settle_ms });
            }
        }
        granted
    }

    /// Drops leases whose last order has settled.
    fn evict(&mut self, time_ms: u64) {
        self.grants.retain(|_, grant| time_ms < grant.all_settled_ms());
    }
}
