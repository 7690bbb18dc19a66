//! Prefix cache events: late and with gaps.

use std::collections::{HashSet, VecDeque};

use serde::Serialize;

use super::length;

/// Bytes of a prompt that make up its prefix. Shorter prompts have none.
const PREFIX_BYTES: usize = 1_024;

/// Events kept for readers.
const KEPT_EVENTS: usize = 10_000;

/// The prefix of a prompt and its tokens; none if the prompt is too short. The hash is the first 8 bytes of the BLAKE3
/// hash of the prompt's first 1,024 bytes, as a big-endian number.
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
    /// 16 hexadecimal digits.
    prefix: String,
    #[serde(skip)]
    at_us: u64,
}

/// The answer to a read of events.
#[derive(Debug, Serialize)]
pub(super) struct Page {
    events: Vec<Event>,
    next: u64,
}

/// Events since the start.
#[derive(Debug)]
pub(super) struct Journal {
    lag_us: u64,
    gap: u64,
    next: u64,
    held: HashSet<u64>,
    events: VecDeque<Event>,
}

impl Journal {
    pub(super) fn new(lag_ms: u64, gap: u64) -> Self {
        Self { lag_us: lag_ms * 1_000, gap, next: 0, held: HashSet::new(), events: VecDeque::new() }
    }

    /// Takes the prefixes that the cache now holds.
    pub(super) fn update(&mut self, now_us: u64, prefixes: Vec<u64>) {
        let now: HashSet<u64> = prefixes.into_iter().filter(|prefix| *prefix != 0).collect();
        let mut evicted: Vec<u64> = self.held.difference(&now).copied().collect();
        let mut stored: Vec<u64> = now.difference(&self.held).copied().collect();
        evicted.sort_unstable();
        stored.sort_unstable();
        self.held = now;
        evicted.into_iter().for_each(|prefix| self.push(now_us, Kind::Evicted, prefix));
        stored.into_iter().for_each(|prefix| self.push(now_us, Kind::Stored, prefix));
    }

    /// The published events from number `from`.
    pub(super) fn read(&self, now_us: u64, from: u64) -> Page {
        let published = |event: &&Event| event.at_us + self.lag_us <= now_us;
        let known = self.events.iter().take_while(published);
        let events: Vec<Event> = known.filter(|event| event.seq >= from).cloned().collect();
        Page { next: events.last().map_or(from, |event| event.seq + 1), events }
    }

    fn push(&mut self, at_us: u64, kind: Kind, prefix: u64) {
        let seq = self.next;
        self.next += 1;
        if self.gap > 0 && seq > 0 && seq % self.gap == 0 {
            return;
        }
        if self.events.len() == KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { seq, kind, prefix: format!("{prefix:016x}"), at_us });
    }
}
