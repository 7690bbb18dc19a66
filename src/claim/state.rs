//! What a partition's records say about its keys, decided alike by every reader.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::key::{Fingerprint, Key, Slot};
use super::record::{Claim, End, Entry, Id, Outcome, Reply, decode};
use crate::log;

/// How long entries stay in memory after their key's time, in milliseconds. Older keys are read from the log.
pub const MEMORY_MS: u64 = 15 * 60_000;

/// Largest memory of one partition's entries, in bytes.
pub const MAX_STATE_BYTES: usize = 16 << 20;

/// Stands for a history whose start will be known with the next record.
pub const UNKNOWN_START_MS: u64 = u64::MAX;

/// Allowance for clocks that differ between a holder and the log, in milliseconds.
const CLOCK_BOUND_MS: u64 = 1_000;

/// How often old entries are dropped, in milliseconds of the log's time.
const EVICT_INTERVAL_MS: u64 = 30_000;

/// Spent attempts remembered for one key. A forgotten one whose copy comes late can at worst block its key: its holder
/// never dispatches.
const MAX_SPENT: usize = 32;

/// What the log says about an attempt or a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The attempt is the first; its holder may dispatch.
    Won,
    /// Another attempt may still be running, until about this time of the log in milliseconds since the Unix epoch.
    InProgress(u64),
    /// The call ran, with this response.
    Done(Reply),
    /// The call may have run.
    Unknown,
    /// The key was used for another request.
    Conflict,
    /// The holder gave the attempt up before its record was taken in.
    Withdrawn,
    /// The key's time lies too far ahead.
    Early,
    /// This reader has not read far enough back to know.
    Stale,
    /// No attempt is recorded, or all were given up before the call was dispatched.
    Free,
}

/// What a record makes of one claim in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ruling {
    /// The attempt.
    pub id: Id,
    /// Where it stands.
    pub standing: Standing,
}

#[derive(Debug)]
struct Held {
    id: Id,
    fingerprint: Fingerprint,
    until_ms: u64,
    end: Option<Ended>,
}

#[derive(Debug)]
enum Ended {
    Done(Box<Reply>),
    Unknown,
}

#[derive(Debug)]
struct Slotted {
    key: Key,
    held: Option<Held>,
    /// Attempts that did not win or were given up: a late copy of their record must not win.
    spent: Vec<Id>,
}

impl Slotted {
    fn new(key: Key) -> Self {
        Self { key, held: None, spent: Vec::new() }
    }

    fn spend(&mut self, id: Id) {
        if self.spent.contains(&id) {
            return;
        }
        if self.spent.len() == MAX_SPENT {
            self.spent.remove(0);
        }
        self.spent.push(id);
    }

    fn size(&self) -> usize {
        let reply = match &self.held {
            Some(Held { end: Some(Ended::Done(reply)), .. }) => reply.size(),
            _ => 0,
        };
        size_of::<(Slot, Self)>() + self.spent.capacity() * size_of::<Id>() + reply
    }
}

/// The state of one partition.
///
/// Give it the records of the stream in order. It knows everything about keys whose history starts at or after
/// [`State::complete_from_ms`]; about others it answers [`Standing::Stale`].
///
/// ```
/// let state = nutmeghead::claim::State::new(0, 0);
/// assert_eq!((state.next(), state.size_bytes()), (0, 0));
/// ```
#[derive(Debug)]
pub struct State {
    slots: HashMap<Slot, Slotted>,
    next: u64,
    complete_from_ms: u64,
    newest_ms: u64,
    evicted_ms: u64,
    size_bytes: usize,
    max_bytes: usize,
    only: Option<Slot>,
    malformed: u64,
}

impl State {
    /// A state that reads from offset `next` on, where every record of time `complete_from_ms` or later comes.
    pub fn new(next: u64, complete_from_ms: u64) -> Self {
        Self {
            slots: HashMap::new(),
            next,
            complete_from_ms,
            newest_ms: 0,
            evicted_ms: 0,
            size_bytes: 0,
            max_bytes: MAX_STATE_BYTES,
            only: None,
            malformed: 0,
        }
    }

    /// Keeps at most about `max_bytes` of entries.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Self {
        self.max_bytes = max_bytes;
        self
    }

    /// Keeps only the entries of `slot`, however old its key is.
    pub fn with_only(mut self, slot: Slot) -> Self {
        self.only = Some(slot);
        self
    }

    /// The offset to read from next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The log's time from which every record was read, in milliseconds since the Unix epoch.
    pub fn complete_from_ms(&self) -> u64 {
        self.complete_from_ms
    }

    /// The latest time of a record read, in milliseconds since the Unix epoch; 0 before the first.
    pub fn newest_ms(&self) -> u64 {
        self.newest_ms
    }

    /// Memory that the entries take, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Number of records that were no list of entries.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Takes in the next record and returns what it makes of each claim in it.
    pub fn apply(&mut self, record: &log::Record) -> Vec<Ruling> {
        let mut rulings = Vec::new();
        if record.offset < self.next {
            return rulings;
        }
        if record.offset > self.next || self.complete_from_ms == UNKNOWN_START_MS {
            self.skip_lost(record.time_ms);
        }
        self.next = record.offset + 1;
        self.newest_ms = self.newest_ms.max(record.time_ms);
        match decode(&record.body) {
            Ok(entries) => {
                for entry in entries {
                    self.apply_entry(entry, record.time_ms, &mut rulings);
                }
            }
            Err(_) => self.malformed += 1,
        }
        self.evict();
        rulings
    }

    /// Forgets everything: records before one of `time_ms` are gone from the log, unread.
    fn skip_lost(&mut self, time_ms: u64) {
        self.slots.clear();
        self.size_bytes = 0;
        let start_ms = time_ms.saturating_add(1);
        self.complete_from_ms = match self.complete_from_ms {
            UNKNOWN_START_MS => start_ms,
            known => known.max(start_ms),
        };
    }

    fn apply_entry(&mut self, entry: Entry, time_ms: u64, rulings: &mut Vec<Ruling>) {
        let slot = entry.slot();
        if self.only.is_some_and(|only| only != slot) {
            return;
        }
        match entry {
            Entry::Claim(claim) => {
                let standing = self.apply_claim(slot, &claim, time_ms);
                rulings.push(Ruling { id: claim.id, standing });
            }
            Entry::Outcome(outcome) => self.apply_outcome(slot, outcome, time_ms),
        }
    }

    fn apply_claim(&mut self, slot: Slot, claim: &Claim, time_ms: u64) -> Standing {
        if time_ms < claim.key.earliest_ms() {
            return Standing::Early;
        }
        if !self.knows(claim.key) {
            return Standing::Stale;
        }
        let until_ms = time_ms
            .saturating_add(u64::from(claim.dispatch_ms))
            .saturating_add(u64::from(claim.timeout_ms))
            .saturating_add(CLOCK_BOUND_MS);
        self.update(slot, claim.key, |slotted| {
            let standing = match &slotted.held {
                None if slotted.spent.contains(&claim.id) => Standing::Withdrawn,
                None => {
                    let (id, fingerprint) = (claim.id, claim.fingerprint);
                    slotted.held = Some(Held { id, fingerprint, until_ms, end: None });
                    Standing::Won
                }
                Some(held) if held.id == claim.id && held.end.is_none() => Standing::Won,
                Some(held) if held.fingerprint != claim.fingerprint => Standing::Conflict,
                Some(held) => standing(held, time_ms),
            };
            if standing != Standing::Won {
                slotted.spend(claim.id);
            }
            standing
        })
    }

    fn apply_outcome(&mut self, slot: Slot, outcome: Outcome, time_ms: u64) {
        let Outcome { id, key, end, .. } = outcome;
        if time_ms < key.earliest_ms() || !self.knows(key) {
            return;
        }
        self.update(slot, key, |slotted| {
            let held = slotted.held.as_mut().filter(|held| held.id == id);
            match (held, end) {
                (Some(held), End::Done(reply)) => held.end = Some(Ended::Done(Box::new(reply))),
                (Some(held), End::Unknown) if held.end.is_none() => held.end = Some(Ended::Unknown),
                (Some(held), End::NotRun) if held.end.is_none() => {
                    slotted.held = None;
                    slotted.spend(id);
                }
                (None, End::NotRun) => slotted.spend(id),
                _ => {}
            }
        });
    }

    fn update<R>(&mut self, slot: Slot, key: Key, change: impl FnOnce(&mut Slotted) -> R) -> R {
        let known = self.slots.contains_key(&slot);
        let slotted = self.slots.entry(slot).or_insert_with(|| Slotted::new(key));
        let before = if known { slotted.size() } else { 0 };
        let result = change(slotted);
        self.size_bytes = (self.size_bytes + slotted.size()).saturating_sub(before);
        result
    }

    fn knows(&self, key: Key) -> bool {
        key.earliest_ms() >= self.complete_from_ms
    }

    /// What became of `key`, at time `now_ms` in milliseconds since the Unix epoch.
    pub fn status(&self, slot: Slot, key: Key, now_ms: u64) -> Standing {
        if !self.knows(key) {
            return Standing::Stale;
        }
        match self.slots.get(&slot).and_then(|slotted| slotted.held.as_ref()) {
            Some(held) => standing(held, now_ms),
            None => Standing::Free,
        }
    }

    /// What is recorded for the key of `claim` and can no longer change, if it is in memory.
    pub fn recorded(&self, claim: &Claim) -> Option<Standing> {
        let held = self.slots.get(&claim.slot())?.held.as_ref()?;
        if held.fingerprint != claim.fingerprint {
            return Some(Standing::Conflict);
        }
        match held.end {
            Some(Ended::Done(_)) => Some(standing(held, 0)),
            _ => None,
        }
    }

    fn evict(&mut self) {
        if self.only.is_some() {
            return;
        }
        if self.newest_ms.saturating_sub(self.evicted_ms) >= EVICT_INTERVAL_MS {
            self.evicted_ms = self.newest_ms;
            self.forget_before(self.newest_ms.saturating_sub(MEMORY_MS));
        }
        if self.size_bytes > self.max_bytes {
            self.forget_before(self.median_ms().saturating_add(1));
        }
    }

    fn median_ms(&self) -> u64 {
        let mut times: Vec<u64> = self.slots.values().map(|s| s.key.earliest_ms()).collect();
        if times.is_empty() {
            return 0;
        }
        let middle = times.len() / 2;
        *times.select_nth_unstable(middle).1
    }

    fn forget_before(&mut self, time_ms: u64) {
        if time_ms <= self.complete_from_ms {
            return;
        }
        self.complete_from_ms = time_ms;
        self.slots.retain(|_, slotted| slotted.key.earliest_ms() >= time_ms);
        self.size_bytes = self.slots.values().map(Slotted::size).sum();
    }
}

fn standing(held: &Held, now_ms: u64) -> Standing {
    match &held.end {
        Some(Ended::Done(reply)) => Standing::Done(reply.as_ref().clone()),
        Some(Ended::Unknown) => Standing::Unknown,
        None if now_ms < held.until_ms => Standing::InProgress(held.until_ms),
        None => Standing::Unknown,
    }
}
