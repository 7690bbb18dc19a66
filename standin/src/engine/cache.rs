//! Prefix cache events, published with a delay and with gaps.

use std::collections::{HashSet, VecDeque};

use serde::Serialize;

use super::length;

/// Length of a prompt's prefix, in bytes. Shorter prompts have no prefix.
const PREFIX_BYTES: usize = 1_024;

/// Largest number of events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// Returns the hash of a prompt's prefix and the prefix length in tokens; none if the prompt is too short. The hash is
/// the first 8 bytes of the BLAKE3 hash of the prompt's first 1,024 bytes, as a big-endian number.
///
/// ```
/// assert_eq!(standin::engine::prefix("short"), None);
/// assert_eq!(standin::engine::prefix(&"x".repeat(2_000)).map(|(_, tokens)| tokens), Some(256));
/// ```
pub fn prefix(prompt: &str) -> Option<(u64, u32)> {
    let head = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let hash = blake3::hash(head);
    let (first, _) = hash.as_bytes().split_first_chunk()?;
    Some((u64::from_be_bytes(*first), length::tokens(PREFIX_BYTES)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Stored,
    Evicted,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Event {
    seq: u64,
    kind: Kind,
    /// Hash of the prefix, as 16 hexadecimal digits.
    prefix: String,
    #[serde(skip)]
    at_us: u64,
}

/// The response to a read of events.
#[derive(Debug, Serialize)]
pub(super) struct Page {
    events: Vec<Event>,
    next: u64,
}

/// The recorded cache events.
#[derive(Debug)]
pub(super) struct Journal {
    /// Delay of publication.
    lag_us: u64,
    /// Events whose sequence number is a multiple of this are left out; 0 leaves out none.
    gap: u64,
    next: u64,
    cached: HashSet<u64>,
    events: VecDeque<Event>,
}

impl Journal {
    pub(super) fn new(lag_ms: u64, gap: u64) -> Self {
        Self {
            lag_us: lag_ms * 1_000,
            gap,
            next: 0,
            cached: HashSet::new(),
            events: VecDeque::new(),
        }
    }

    /// Records the differences between the previous content of the cache and `prefixes`.
    pub(super) fn update(&mut self, now_us: u64, prefixes: Vec<u64>) {
        let current: HashSet<u64> = prefixes.into_iter().filter(|prefix| *prefix != 0).collect();
        let mut evicted: Vec<u64> = self.cached.difference(&current).copied().collect();
        let mut stored: Vec<u64> = current.difference(&self.cached).copied().collect();
        evicted.sort_unstable();
        stored.sort_unstable();
        self.cached = current;
        evicted.into_iter().for_each(|prefix| self.push(now_us, Kind::Evicted, prefix));
        stored.into_iter().for_each(|prefix| self.push(now_us, Kind::Stored, prefix));
    }

    /// The published events from sequence number `from` on.
    pub(super) fn read(&self, now_us: u64, from: u64) -> Page {
        let is_published = |event: &&Event| event.at_us + self.lag_us <= now_us;
        let published = self.events.iter().take_while(is_published);
        let events: Vec<Event> = published.filter(|event| event.seq >= from).cloned().collect();
        Page { next: events.last().map_or(from, |event| event.seq + 1), events }
    }

    fn push(&mut self, at_us: u64, kind: Kind, prefix: u64) {
        let seq = self.next;
        self.next += 1;
        if self.gap > 0 && seq > 0 && seq % self.gap == 0 {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { seq, kind, prefix: format!("{prefix:016x}"), at_us });
    }
}
