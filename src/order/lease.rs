//! Leases on engines. All readers that apply the same lease records reach the same decisions.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::claim::Holder;
use crate::{log, name, wire};

/// The stream of lease records.
pub const STREAM: &str = "leases";

/// Longest term of a lease, in milliseconds.
pub const MAX_TERM_MS: u32 = 180_000;

/// Time after which an order that has not reached its engine is dropped, in milliseconds.
pub const ARRIVAL_TIMEOUT_MS: u64 = 30_000;

/// Allowance for clock drift over one lease term, in milliseconds.
const CLOCK_DRIFT_MS: u64 = 5_000;

/// Wait after another holder's lease before sending orders to an engine that does not fence, in milliseconds.
pub const SETTLE_MS: u64 = ARRIVAL_TIMEOUT_MS + CLOCK_DRIFT_MS;

/// Most engines in one record.
const MAX_ENGINES: usize = 1_024;

/// The body of a lease record: a holder requests or releases leases on engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Unique id of the request.
    pub id: u128,
    /// The process that requests or releases the leases.
    pub holder: Holder,
    /// The environment of the document.
    pub environment: name::Environment,
    /// The document version that the holder applies.
    pub version: u64,
    /// Term of the leases from the record's log time, in milliseconds; 0 releases the engines.
    pub term_ms: u32,
    /// The engines.
    pub engines: Vec<name::Engine>,
}

#[derive(Clone, Debug)]
struct Grant {
    holder: Holder,
    until_ms: u64,
    /// Log time by which all orders of earlier holders have arrived or been dropped.
    settled_ms: u64,
}

impl Grant {
    /// Log time by which all orders of this and earlier holders have arrived or been dropped.
    fn all_settled_ms(&self) -> u64 {
        self.until_ms.saturating_add(SETTLE_MS).max(self.settled_ms)
    }
}

/// The decision on a [`Request`]: the leases that its record was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Id of the request.
    pub id: u128,
    /// Fencing number of orders under these leases: the offset of the record.
    pub fence: u64,
    /// The engines on which the holder was granted a lease.
    pub granted: Vec<Granted>,
}

/// A lease granted on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// The engine.
    pub engine: name::Engine,
    /// Time after the record in which orders of earlier holders may still arrive, in milliseconds.
    pub settle_ms: u64,
}

/// State machine of the leases.
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

/// Value of `grants_from_ms` when the log time is unknown until the next record. Grants then start at the time of that
/// record plus the longest term and the settle time.
pub const UNKNOWN_START_MS: u64 = u64::MAX;

impl State {
    /// Creates an empty state to be read from `next_offset`. It grants nothing before the log time `grants_from_ms`,
    /// because an unread lease may last until then.
    pub fn new(next_offset: u64, grants_from_ms: u64) -> Self {
        Self {
            grants: HashMap::new(),
            versions: HashMap::new(),
            next_offset,
            newest_ms: 0,
            grants_from_ms,
        }
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Log time of the newest record read, in milliseconds since the Unix epoch; 0 before the first.
    pub fn newest_ms(&self) -> u64 {
        self.newest_ms
    }

    /// The holder of the lease on `engine` at log time `now_ms`, if any.
    pub fn holder(&self, engine: &name::Engine, now_ms: u64) -> Option<&Holder> {
        self.grants.get(engine).filter(|grant| now_ms < grant.until_ms).map(|grant| &grant.holder)
    }

    /// Applies the next record. Returns `None` if it is not a valid lease record.
    pub fn apply(&mut self, record: &log::Record) -> Option<Decision> {
        if record.offset < self.next_offset {
            return None;
        }
        if record.offset > self.next_offset || self.grants_from_ms == UNKNOWN_START_MS {
            self.reset_after_gap(record.time_ms);
        }
        self.next_offset = record.offset + 1;
        self.newest_ms = self.newest_ms.max(record.time_ms);
        let request: Request = wire::decode(&record.body).ok()?;
        if request.term_ms > MAX_TERM_MS || request.engines.len() > MAX_ENGINES {
            return None;
        }
        self.evict(record.time_ms);
        let granted = if self.has_newest_version(&request) {
            self.grant(&request, record.time_ms)
        } else {
            Vec::new()
        };
        Some(Decision { id: request.id, fence: record.offset, granted })
    }

    /// Clears the grants because records left the log unread. Any lease in them may last for the longest term.
    fn reset_after_gap(&mut self, time_ms: u64) {
        self.grants.clear();
        self.grants_from_ms = time_ms.saturating_add(u64::from(MAX_TERM_MS) + SETTLE_MS);
    }

    /// Records the document version of `request` and returns whether it is the newest so far. A holder with an older
    /// version gets no lease, so that it cannot apply an old document.
    fn has_newest_version(&mut self, request: &Request) -> bool {
        let newest = self.versions.entry(request.environment.clone()).or_default();
        *newest = (*newest).max(request.version);
        request.version == *newest
    }

    fn grant(&mut self, request: &Request, time_ms: u64) -> Vec<Granted> {
        let mut granted = Vec::new();
        for engine in &request.engines {
            let last = self.grants.get(engine);
            let other_holder = last.filter(|grant| grant.holder != request.holder);
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
            let until_ms = time_ms.saturating_add(u64::from(request.term_ms));
            let grant = Grant { holder: request.holder.clone(), until_ms, settled_ms };
            self.grants.insert(engine.clone(), grant);
            if request.term_ms > 0 {
                let settle_ms = settled_ms.saturating_sub(time_ms);
                granted.push(Granted { engine: engine.clone(), settle_ms });
            }
        }
        granted
    }

    /// Drops leases whose orders have all settled.
    fn evict(&mut self, time_ms: u64) {
        self.grants.retain(|_, grant| time_ms < grant.all_settled_ms());
    }
}
