//! State machine of a partition. All readers that apply the same records reach the same decisions.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::key::{Key, Slot};
use super::record::{Claim, End, Entry, Id, Outcome, Reply, decode};
use crate::fingerprint::Fingerprint;
use crate::log;

/// How long entries stay in memory after their key's timestamp, in milliseconds. Older keys are read from the log.
pub const CACHE_WINDOW_MS: u64 = 15 * 60_000;

/// Largest size of a partition's entries in memory, in bytes.
pub const MAX_STATE_BYTES: usize = 16 << 20;

/// Value of `complete_from_ms` when the start of the history is unknown until the next record.
pub const UNKNOWN_START_MS: u64 = u64::MAX;

/// Allowance for clock skew between a holder and the log, in milliseconds.
const CLOCK_SKEW_MS: u64 = 1_000;

/// Interval between two evictions of old entries, in milliseconds of log time.
const EVICT_INTERVAL_MS: u64 = 30_000;

/// Most ineligible attempts stored for one key. A late duplicate of an evicted one may win, but its holder never
/// dispatches, so at worst the key is blocked.
const MAX_INELIGIBLE: usize = 32;

/// How the log resolves an attempt or a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// The attempt is the first on its key; its holder may dispatch.
    Won,
    /// Another attempt may still be running, until about this log time (milliseconds since the Unix epoch).
    InProgress(u64),
    /// The call ran, with this response.
    Done(Reply),
    /// The call may have run.
    Unknown,
    /// The key was used for another request.
    Conflict,
    /// The holder withdrew the attempt before its claim was read.
    Withdrawn,
    /// The timestamp of the key is too far in the future.
    KeyAhead,
    /// This reader did not read all records since the key's timestamp.
    HistoryMissing,
    /// No attempt is recorded, or all were withdrawn before dispatch.
    Unclaimed,
}

/// The decision on one claim of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Id of the attempt.
    pub id: Id,
    /// The resolution of the attempt.
    pub resolution: Resolution,
}

#[derive(Debug)]
struct Winner {
    id: Id,
    fingerprint: Fingerprint,
    deadline_ms: u64,
    completion: Option<Completion>,
}

#[derive(Debug)]
enum Completion {
    Done(Box<Reply>),
    Unknown,
}

#[derive(Debug)]
struct SlotState {
    key: Key,
    winner: Option<Winner>,
    /// Attempts that lost or were withdrawn. A late duplicate of their record must not win.
    ineligible: Vec<Id>,
}

impl SlotState {
    fn new(key: Key) -> Self {
        Self { key, winner: None, ineligible: Vec::new() }
    }

    fn mark_ineligible(&mut self, id: Id) {
        if self.ineligible.contains(&id) {
            return;
        }
        if self.ineligible.len() == MAX_INELIGIBLE {
            self.ineligible.remove(0);
        }
        self.ineligible.push(id);
    }

    fn size(&self) -> usize {
        let reply = match &self.winner {
            Some(Winner { completion: Some(Completion::Done(reply)), .. }) => reply.size(),
            _ => 0,
        };
        size_of::<(Slot, Self)>() + self.ineligible.capacity() * size_of::<Id>() + reply
    }
}

/// The state of one partition.
///
/// Apply the records of the stream in order. The state is complete for keys whose earliest claim is at or after
/// [`State::complete_from_ms`]; other keys resolve to [`Resolution::HistoryMissing`].
///
/// ```
/// let state = nutmeghead::claim::State::new(0, 0);
/// assert_eq!((state.next_offset(), state.size_bytes()), (0, 0));
/// ```
#[derive(Debug)]
pub struct State {
    slots: HashMap<Slot, SlotState>,
    next_offset: u64,
    complete_from_ms: u64,
    newest_ms: u64,
    last_eviction_ms: u64,
    size_bytes: usize,
    max_bytes: usize,
    slot_filter: Option<Slot>,
    malformed: u64,
}

impl State {
    /// Creates an empty state. Every record of log time `complete_from_ms` or later has the offset `next_offset` or a
    /// larger one.
    pub fn new(next_offset: u64, complete_from_ms: u64) -> Self {
        Self {
            slots: HashMap::new(),
            next_offset,
            complete_from_ms,
            newest_ms: 0,
            last_eviction_ms: 0,
            size_bytes: 0,
            max_bytes: MAX_STATE_BYTES,
            slot_filter: None,
            malformed: 0,
        }
    }

    /// Limits the entries in memory to about `max_bytes`.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Self {
        self.max_bytes = max_bytes;
        self
    }

    /// Applies only the entries of `slot` and never evicts them.
    pub fn with_slot_filter(mut self, slot: Slot) -> Self {
        self.slot_filter = Some(slot);
        self
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Log time from which the state is complete, in milliseconds since the Unix epoch.
    pub fn complete_from_ms(&self) -> u64 {
        self.complete_from_ms
    }

    /// Log time of the newest record read, in milliseconds since the Unix epoch; 0 before the first.
    pub fn newest_ms(&self) -> u64 {
        self.newest_ms
    }

    /// Memory used by the entries, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Number of records that could not be decoded.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Applies the next record and returns the decision on each of its claims.
    pub fn apply(&mut self, record: &log::Record) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if record.offset < self.next_offset {
            return decisions;
        }
        if record.offset > self.next_offset || self.complete_from_ms == UNKNOWN_START_MS {
            self.reset_after_gap(record.time_ms);
        }
        self.next_offset = record.offset + 1;
        self.newest_ms = self.newest_ms.max(record.time_ms);
        match decode(&record.body) {
            Ok(entries) => {
                for entry in entries {
                    self.apply_entry(entry, record.time_ms, &mut decisions);
                }
            }
            Err(_) => self.malformed += 1,
        }
        self.evict();
        decisions
    }

    /// Clears the state because records older than `time_ms` left the log unread.
    fn reset_after_gap(&mut self, time_ms: u64) {
        self.slots.clear();
        self.size_bytes = 0;
        let start_ms = time_ms.saturating_add(1);
        self.complete_from_ms = match self.complete_from_ms {
            UNKNOWN_START_MS => start_ms,
            start => start.max(start_ms),
        };
    }

    fn apply_entry(&mut self, entry: Entry, time_ms: u64, decisions: &mut Vec<Decision>) {
        let slot = entry.slot();
        if self.slot_filter.is_some_and(|filter| filter != slot) {
            return;
        }
        match entry {
            Entry::Claim(claim) => {
                let resolution = self.apply_claim(slot, &claim, time_ms);
                decisions.push(Decision { id: claim.id, resolution });
            }
            Entry::Outcome(outcome) => self.apply_outcome(slot, outcome, time_ms),
        }
    }

    fn apply_claim(&mut self, slot: Slot, claim: &Claim, time_ms: u64) -> Resolution {
        if time_ms < claim.key.earliest_claim_ms() {
            return Resolution::KeyAhead;
        }
        if !self.covers(claim.key) {
            return Resolution::HistoryMissing;
        }
        let deadline_ms = time_ms
            .saturating_add(u64::from(claim.dispatch_ms))
            .saturating_add(u64::from(claim.timeout_ms))
            .saturating_add(CLOCK_SKEW_MS);
        self.update_slot(slot, claim.key, |slot_state| {
            let resolution = match &slot_state.winner {
                None if slot_state.ineligible.contains(&claim.id) => Resolution::Withdrawn,
                None => {
                    let (id, fingerprint) = (claim.id, claim.fingerprint);
                    slot_state.winner =
                        Some(Winner { id, fingerprint, deadline_ms, completion: None });
                    Resolution::Won
                }
                Some(winner) if winner.id == claim.id && winner.completion.is_none() => {
                    Resolution::Won
                }
                Some(winner) if winner.fingerprint != claim.fingerprint => Resolution::Conflict,
                Some(winner) => resolve_winner(winner, time_ms),
            };
            if resolution != Resolution::Won {
                slot_state.mark_ineligible(claim.id);
            }
            resolution
        })
    }

    fn apply_outcome(&mut self, slot: Slot, outcome: Outcome, time_ms: u64) {
        let Outcome { id, key, end, .. } = outcome;
        if time_ms < key.earliest_claim_ms() || !self.covers(key) {
            return;
        }
        self.update_slot(slot, key, |slot_state| {
            let winner = slot_state.winner.as_mut().filter(|winner| winner.id == id);
            match (winner, end) {
                (Some(winner), End::Done(reply)) => {
                    winner.completion = Some(Completion::Done(Box::new(reply)))
                }
                (Some(winner), End::Unknown) if winner.completion.is_none() => {
                    winner.completion = Some(Completion::Unknown)
                }
                (Some(winner), End::NotRun) if winner.completion.is_none() => {
                    slot_state.winner = None;
                    slot_state.mark_ineligible(id);
                }
                (None, End::NotRun) => slot_state.mark_ineligible(id),
                _ => {}
            }
        });
    }

    fn update_slot<R>(
        &mut self,
        slot: Slot,
        key: Key,
        change: impl FnOnce(&mut SlotState) -> R,
    ) -> R {
        let existed = self.slots.contains_key(&slot);
        let slot_state = self.slots.entry(slot).or_insert_with(|| SlotState::new(key));
        let before = if existed { slot_state.size() } else { 0 };
        let result = change(slot_state);
        self.size_bytes = (self.size_bytes + slot_state.size()).saturating_sub(before);
        result
    }

    fn covers(&self, key: Key) -> bool {
        key.earliest_claim_ms() >= self.complete_from_ms
    }

    /// Resolves `key` at time `now_ms` (milliseconds since the Unix epoch).
    pub fn status(&self, slot: Slot, key: Key, now_ms: u64) -> Resolution {
        if !self.covers(key) {
            return Resolution::HistoryMissing;
        }
        match self.slots.get(&slot).and_then(|slot_state| slot_state.winner.as_ref()) {
            Some(winner) => resolve_winner(winner, now_ms),
            None => Resolution::Unclaimed,
        }
    }

    /// The resolution of the key of `claim`, if it is in memory and can no longer change.
    pub fn final_resolution(&self, claim: &Claim) -> Option<Resolution> {
        let winner = self.slots.get(&claim.slot())?.winner.as_ref()?;
        if winner.fingerprint != claim.fingerprint {
            return Some(Resolution::Conflict);
        }
        match winner.completion {
            Some(Completion::Done(_)) => Some(resolve_winner(winner, 0)),
            _ => None,
        }
    }

    /// Evicts keys older than the cache window, and the older half of the keys if the memory limit is exceeded.
    fn evict(&mut self) {
        if self.slot_filter.is_some() {
            return;
        }
        if self.newest_ms.saturating_sub(self.last_eviction_ms) >= EVICT_INTERVAL_MS {
            self.last_eviction_ms = self.newest_ms;
            self.evict_before(self.newest_ms.saturating_sub(CACHE_WINDOW_MS));
        }
        if self.size_bytes > self.max_bytes {
            self.evict_before(self.median_claim_ms().saturating_add(1));
        }
    }

    fn median_claim_ms(&self) -> u64 {
        let mut times: Vec<u64> = self.slots.values().map(|s| s.key.earliest_claim_ms()).collect();
        if times.is_empty() {
            return 0;
        }
        let middle = times.len() / 2;
        *times.select_nth_unstable(middle).1
    }

    fn evict_before(&mut self, time_ms: u64) {
        if time_ms <= self.complete_from_ms {
            return;
        }
        self.complete_from_ms = time_ms;
        self.slots.retain(|_, slot_state| slot_state.key.earliest_claim_ms() >= time_ms);
        self.size_bytes = self.slots.values().map(SlotState::size).sum();
    }
}

fn resolve_winner(winner: &Winner, now_ms: u64) -> Resolution {
    match &winner.completion {
        Some(Completion::Done(reply)) => Resolution::Done(reply.as_ref().clone()),
        Some(Completion::Unknown) => Resolution::Unknown,
        None if now_ms < winner.deadline_ms => Resolution::InProgress(winner.deadline_ms),
        None => Resolution::Unknown,
    }
}
