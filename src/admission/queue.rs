//! Queue of held requests.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::message::Request;
use crate::name;

/// Memory in use by each organisation, in tokens.
pub(super) type Usage = BTreeMap<name::Organisation, f64>;

/// A held request.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub request: Request,
    pub arrived_ms: u64,
    /// Expected memory use, in tokens.
    pub memory_tokens: f64,
}

/// The part of the queue that is served before a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ahead {
    /// Number of requests.
    pub count: usize,
    /// Expected memory use of these requests, in tokens.
    pub memory_tokens: f64,
}

/// Held requests, ordered by priority, then by the organisation's memory use relative to its share (lowest first), then
/// by arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    pub fn push(&mut self, now_ms: u64, request: Request, memory_tokens: f64) {
        self.entries.push(Entry { request, arrived_ms: now_ms, memory_tokens });
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes the request of `attempt`.
    pub fn remove(&mut self, attempt: u128) -> Option<Entry> {
        let index = self.entries.iter().position(|entry| entry.request.attempt == attempt)?;
        Some(self.entries.swap_remove(index))
    }

    /// The request to serve next.
    pub fn next(&self, usage: &Usage) -> Option<&Entry> {
        self.entries
            .iter()
            .min_by(|a, b| compare((&a.request, a.arrived_ms), (&b.request, b.arrived_ms), usage))
    }

    /// The requests that are served before a request that arrived at `arrived_ms`.
    pub fn ahead(&self, request: &Request, arrived_ms: u64, usage: &Usage) -> Ahead {
        let mut ahead = Ahead::default();
        for other in &self.entries {
            if compare((&other.request, other.arrived_ms), (request, arrived_ms), usage).is_lt() {
                ahead.count += 1;
                ahead.memory_tokens += other.memory_tokens;
            }
        }
        ahead
    }

    /// All requests in serving order.
    pub fn sorted(&self, usage: &Usage) -> Vec<&Entry> {
        let mut sorted: Vec<&Entry> = self.entries.iter().collect();
        sorted
            .sort_by(|a, b| compare((&a.request, a.arrived_ms), (&b.request, b.arrived_ms), usage));
        sorted
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}

fn compare(a: (&Request, u64), b: (&Request, u64), usage: &Usage) -> Ordering {
    let relative_use = |request: &Request| {
        usage.get(&request.organisation).copied().unwrap_or(0.0) / request.share
    };
    let by_priority = a.0.priority.cmp(&b.0.priority);
    let by_use = relative_use(a.0).total_cmp(&relative_use(b.0));
    let by_arrival = (a.1, a.0.attempt).cmp(&(b.1, b.0.attempt));
    by_priority.then(by_use).then(by_arrival)
}
