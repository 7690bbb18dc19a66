//! Requests that wait for a permit.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::message::Ask;
use crate::name;

/// Memory in use by each organisation, in tokens.
pub(super) type Usage = BTreeMap<name::Organisation, f64>;

/// A request that is held.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub ask: Ask,
    pub asked_ms: u64,
    /// Memory that it is expected to need, in tokens.
    pub need: f64,
}

/// What stands before a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ahead {
    /// Requests.
    pub count: usize,
    /// Memory that they are expected to need, in tokens.
    pub tokens: f64,
}

/// Held requests: priority first, below it the organisation that uses least for its share, then the earliest.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub fn push(&mut self, now_ms: u64, ask: Ask, need: f64) {
        self.waiting.push(Waiting { ask, asked_ms: now_ms, need });
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Removes the request of `attempt`.
    pub fn remove(&mut self, attempt: u128) -> Option<Waiting> {
        let index = self.waiting.iter().position(|waiting| waiting.ask.attempt == attempt)?;
        Some(self.waiting.swap_remove(index))
    }

    /// The request to serve next, given each organisation's use of memory in tokens.
    pub fn next(&self, usage: &Usage) -> Option<&Waiting> {
        self.waiting.iter().min_by(|a, b| order((&a.ask, a.asked_ms), (&b.ask, b.asked_ms), usage))
    }

    /// What is served before a request that asked at `asked_ms`.
    pub fn ahead(&self, ask: &Ask, asked_ms: u64, usage: &Usage) -> Ahead {
        let mut ahead = Ahead::default();
        for other in &self.waiting {
            if order((&other.ask, other.asked_ms), (ask, asked_ms), usage).is_lt() {
                ahead.count += 1;
                ahead.tokens += other.need;
            }
        }
        ahead
    }

    /// All requests in the order in which they are served.
    pub fn sorted(&self, usage: &Usage) -> Vec<&Waiting> {
        let mut sorted: Vec<&Waiting> = self.waiting.iter().collect();
        sorted.sort_by(|a, b| order((&a.ask, a.asked_ms), (&b.ask, b.asked_ms), usage));
        sorted
    }

    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }
}

fn order(a: (&Ask, u64), b: (&Ask, u64), usage: &Usage) -> Ordering {
    let used = |ask: &Ask| usage.get(&ask.organisation).copied().unwrap_or(0.0) / ask.share;
    let by_priority = a.0.priority.cmp(&b.0.priority);
    let by_use = used(a.0).total_cmp(&used(b.0));
    let by_age = (a.1, a.0.attempt).cmp(&(b.1, b.0.attempt));
    by_priority.then(by_use).then(by_age)
}
