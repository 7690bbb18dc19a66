//! Content of requests that crashes the servers that process it: parts of prompts, and requests as a whole.
//!
//! A request that crashes its server is sent to the next one by its host or its caller, and the next request with the
//! same content follows, so that one part of a prompt, or one call that is repeated, can end all servers of a service.
//! Servers do not say what crashed them. Each crash is therefore recorded against all parts of the requests that the server
//! had just begun, by all hosts: the shared parts of the prompt, and as the last part the request itself. A request that
//! ends well, or a generation that keeps running, proves its parts sound. A part with several crashes and no proof since
//! is quarantined: requests with it are refused, except for a rare trial. Of parts that always occur together, only the
//! last one is quarantined, as the earlier ones are shared by more requests.

use std::collections::HashMap;

use crate::name;

mod service;
pub mod wire;

pub use service::Service;

#[cfg(test)]
mod tests;

/// Crashes without a proof in between after which a part is quarantined, if it was not proven sound before them.
pub const MIN_CRASHES: usize = 3;

/// As [`MIN_CRASHES`], for a part that was proven sound before. If all servers of a service end at once for another reason,
/// nothing can prove a frequent request sound until they are back; it is then sent once more.
const MIN_CRASHES_AFTER_PROOF: usize = MIN_CRASHES + 1;

/// Crashes without a proof in between after which a request that crashed an engine is not repeated.
const MIN_CRASHES_TO_SUSPECT: usize = 2;

/// Shortest time from the first crash until a part is suspected, in milliseconds. If many engines crash at once, a part
/// that most requests share is proven sound by those at the other engines within this time.
const MIN_SUSPICION_MS: u64 = 500;

/// Time within which the hosts notice engines that end at the same moment, in milliseconds: a few connections and messages,
/// also where hosts are slow.
const SAME_MOMENT_MS: u64 = 100;

/// Time for which an engine has to write before this proves the parts of its prompt sound, in milliseconds. Engines crash
/// as they begin to write.
pub const PROOF_MS: u64 = 1_000;

/// Reports of one server within this time are about the same crash, in milliseconds: a server takes longer to start.
const SAME_CRASH_MS: u64 = 1_000;

/// Time for which crashes count, in milliseconds.
const CRASH_RETENTION_MS: u64 = 60_000;

/// Time until the first trial of a quarantined part, in milliseconds. It doubles with each trial that fails.
const FIRST_TRIAL_MS: u64 = 60_000;

/// Longest time between two trials, in milliseconds.
const MAX_TRIAL_MS: u64 = 600_000;

/// Most crashes that are remembered of one part.
const MAX_CRASHES: usize = 8;

/// Hosts that tell the others, if they can, that a suspected part was proven sound before its crashes.
pub const VOUCHING_HOSTS: usize = 8;

/// Time for which a proof is remembered, in milliseconds.
const PROOF_RETENTION_MS: u64 = 120_000;

/// Shortest time between two searches for what has expired, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Most proofs that are remembered. Some 1 MB.
const MAX_PROOFS: usize = 8_192;

/// Most parts with a record.
const MAX_RECORDS: usize = 1_024;

/// A crash of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The server.
    pub server: name::Server,
    /// When a host noticed it, in milliseconds on this host's clock.
    pub at_ms: u64,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        self.server == other.server && self.at_ms.abs_diff(other.at_ms) < SAME_CRASH_MS
    }
}

/// The quarantine of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// When it began, in milliseconds.
    pub since_ms: u64,
    /// Trials so far.
    pub trials: u32,
    /// When the next trial may begin, in milliseconds.
    pub next_trial_ms: u64,
}

/// Whether other hosts were told that a part was proven sound before its crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Voucher {
    #[default]
    Undecided,
    /// This host leaves it to others.
    Declined,
    Sent,
}

/// What is known about a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Position of the part in prompts; the highest if there are several.
    pub depth: usize,
    /// Crashes under requests with the part since the last proof, oldest first.
    pub crashes: Vec<Crash>,
    /// The quarantine, if the part is in one.
    pub quarantine: Option<Quarantine>,
    voucher: Voucher,
    updated_ms: u64,
}

impl Record {
    /// A record with what another host knows of a part.
    pub fn new(depth: usize, crashes: Vec<Crash>, quarantine: Option<Quarantine>) -> Self {
        Self { depth, crashes, quarantine, ..Self::default() }
    }

    fn is_suspect(&self, min_crashes: usize, now_ms: u64) -> bool {
        let first = self.crashes.first().filter(|_| self.crashes.len() >= min_crashes);
        first.is_some_and(|crash| now_ms >= crash.at_ms + MIN_SUSPICION_MS)
    }

    /// Whether engines crashed one after the other, and not all at the same moment.
    fn has_sequence(&self) -> bool {
        let ends = self.crashes.first().zip(self.crashes.last());
        ends.is_some_and(|(first, last)| last.at_ms >= first.at_ms + SAME_MOMENT_MS)
    }

    /// Adds a crash. Returns whether it was not known.
    fn add(&mut self, crash: &Crash) -> bool {
        if self.crashes.iter().any(|known| known.is_same(crash)) {
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at_ms <= crash.at_ms);
        self.crashes.insert(index, crash.clone());
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }
}

/// Whether a request may be sent to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has no quarantined part.
    Allowed,
    /// It has a quarantined part and is the trial that shows whether engines still crash.
    Trial,
    /// It has a quarantined part, the next trial of which may begin after `wait_ms`.
    Refused {
        /// Milliseconds until the next trial.
        wait_ms: u64,
    },
}

/// What the record of another host changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Nothing.
    Known,
    /// This host knew less.
    New,
    /// The other host has quarantined a part that was proven sound.
    Disproved,
}

/// A change of a part's state, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The part was quarantined.
    Quarantined(name::Part),
    /// The part was proven sound.
    Released(name::Part),
}

/// The parts under which engines crashed.
#[derive(Debug, Default)]
pub struct Table {
    records: HashMap<name::Part, Record>,
    /// When parts were last proven sound, in milliseconds.
    proofs: HashMap<name::Part, u64>,
    changes: Vec<Change>,
    expired_ms: u64,
}

impl Table {
    /// A table without crashes.
    ///
    /// ```
    /// use nutmeghead::{name, quarantine::{Table, Verdict}};
    /// let (mut table, part) = (Table::new(), name::Part::new("p-1")?);
    /// for (at_ms, server) in [(0, "e-1"), (900, "e-2"), (1_800, "e-3")] {
    ///     table.record_crash(&[part.clone()], &name::Server::new(server)?, at_ms);
    /// }
    /// assert!(matches!(table.admit(&[part], |_| true, 2_000), Verdict::Refused { .. }));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a new request with these parts may be sent. `may_try` says whether this host is the one that tries a part.
    pub fn admit(
        &mut self,
        parts: &[name::Part],
        may_try: impl Fn(&name::Part) -> bool,
        now_ms: u64,
    ) -> Verdict {
        self.quarantine_suspects(now_ms);
        let mut tried = None;
        let mut wait_ms = None;
        for part in parts {
            let record = self.records.get_mut(part);
            let Some(record) = record.filter(|record| record.quarantine.is_some()) else {
                continue;
            };
            record.updated_ms = now_ms;
            let next_ms = record.quarantine.map_or(0, |quarantine| quarantine.next_trial_ms);
            wait_ms = wait_ms.max(Some(next_ms.saturating_sub(now_ms)));
            tried = Some(part).filter(|part| next_ms <= now_ms && may_try(part));
        }
        match (tried, wait_ms) {
            (_, None) => Verdict::Allowed,
            (Some(part), Some(0)) => {
                self.begin_trial(part, now_ms);
                Verdict::Trial
            }
            (_, Some(wait_ms)) => Verdict::Refused { wait_ms },
        }
    }

    /// Whether a request with these parts that crashed an engine may be sent to another one. Until a quarantine can begin,
    /// each repetition may end one more engine, so crashes one after the other under a part that was never proven sound
    /// forbid it at once.
    pub fn may_repeat(&self, parts: &[name::Part], now_ms: u64) -> bool {
        let mut records = parts.iter().filter_map(|part| Some((part, self.records.get(part)?)));
        !records.any(|(part, record)| {
            let is_unproven = !self.proofs.contains_key(part);
            record.quarantine.is_some()
                || (is_unproven && record.has_sequence())
                || record.is_suspect(MIN_CRASHES_TO_SUSPECT, now_ms)
        })
    }

    /// Records that `server` crashed when it had just begun a request with these parts. Returns the parts that this is
    /// recorded against: if one is quarantined, that one only.
    pub fn record_crash(
        &mut self,
        parts: &[name::Part],
        server: &name::Server,
        now_ms: u64,
    ) -> Vec<name::Part> {
        let crash = Crash { server: server.clone(), at_ms: now_ms };
        let is_quarantined = |part: &name::Part| {
            self.records.get(part).is_some_and(|record| record.quarantine.is_some())
        };
        let quarantined: Vec<_> =
            parts.iter().filter(|part| is_quarantined(part)).cloned().collect();
        if !quarantined.is_empty() {
            for part in &quarantined {
                self.add_crash(part, 0, &crash, now_ms);
                self.explain(part);
            }
            return quarantined;
        }
        if self.is_explained(&crash) {
            return Vec::new();
        }
        let added = parts.iter().enumerate();
        let added = added.filter(|(depth, part)| self.add_crash(part, *depth, &crash, now_ms));
        added.map(|(_, part)| part.clone()).collect()
    }

    /// Records that an engine processed a request with these parts without crashing. Returns the parts of which other
    /// hosts should know that.
    pub fn record_proof(&mut self, parts: &[name::Part], now_ms: u64) -> Vec<name::Part> {
        let mut proven = Vec::new();
        for part in parts {
            if self.proofs.len() < MAX_PROOFS || self.proofs.contains_key(part) {
                self.proofs.insert(part.clone(), now_ms);
            }
            let Some(record) = self.records.get_mut(part) else { continue };
            let was_quarantined = record.quarantine.take().is_some();
            if was_quarantined || !record.crashes.is_empty() {
                proven.push(part.clone());
            }
            if was_quarantined {
                self.changes.push(Change::Released(part.clone()));
            }
            record.crashes.clear();
            record.voucher = Voucher::Undecided;
            record.updated_ms = now_ms;
        }
        proven
    }

    /// Applies what another host knows of a part. Its quarantine holds if enough of its crashes came after the last proof
    /// that this host knows of: the other host may have missed that. It is not taken over, and not disproved either, if this
    /// host had proof before the crashes and waits for another crash.
    pub fn merge(&mut self, part: &name::Part, other: &Record, now_ms: u64) -> Merge {
        let mut is_new = false;
        for crash in &other.crashes {
            if other.quarantine.is_some() || !self.is_explained(crash) {
                is_new |= self.add_crash(part, other.depth, crash, now_ms);
            }
        }
        let min_crashes = self.min_crashes(part);
        let Some(record) = self.records.get_mut(part) else { return Merge::Known };
        match (&mut record.quarantine, other.quarantine) {
            (Some(own), Some(theirs)) if own.trials < theirs.trials => {
                *own = Quarantine { since_ms: own.since_ms, ..theirs };
                is_new = true;
            }
            (None, Some(_)) if record.crashes.len() < MIN_CRASHES => return Merge::Disproved,
            (None, Some(_)) if record.crashes.len() < min_crashes => {}
            (None, Some(theirs)) => {
                record.quarantine = Some(theirs);
                record.updated_ms = now_ms;
                self.changes.push(Change::Quarantined(part.clone()));
                is_new = true;
            }
            _ => {}
        }
        if record.quarantine.is_some() {
            self.explain(part);
        }
        if is_new { Merge::New } else { Merge::Known }
    }

    /// Parts with several crashes that this host had proof for before them, and when, in milliseconds. Hosts without proof
    /// would take them for the cause. `may_vouch` says for each part whether this host tells the others; each is returned
    /// once.
    pub fn take_earlier_proofs(
        &mut self,
        mut may_vouch: impl FnMut(&name::Part) -> bool,
    ) -> Vec<(name::Part, u64)> {
        let suspects = self.records.iter_mut().filter(|(_, record)| {
            record.voucher == Voucher::Undecided && record.crashes.len() >= MIN_CRASHES_TO_SUSPECT
        });
        let proven = suspects.filter_map(|(part, record)| {
            let proven_ms = *self.proofs.get(part)?;
            record.voucher = if may_vouch(part) { Voucher::Sent } else { Voucher::Declined };
            (record.voucher == Voucher::Sent).then(|| (part.clone(), proven_ms))
        });
        proven.collect()
    }

    /// Records that another host had proof for a part at `at_ms`. Returns whether other hosts should know that.
    pub fn record_earlier_proof(&mut self, part: &name::Part, at_ms: u64) -> bool {
        let proven_ms = self.proofs.get(part).copied().unwrap_or(0).max(at_ms);
        if self.proofs.len() < MAX_PROOFS || self.proofs.contains_key(part) {
            self.proofs.insert(part.clone(), proven_ms);
        }
        let Some(record) = self.records.get_mut(part) else { return false };
        record.crashes.retain(|crash| crash.at_ms > proven_ms);
        std::mem::replace(&mut record.voucher, Voucher::Sent) != Voucher::Sent
    }

    /// What is known of a part.
    pub fn record(&self, part: &name::Part) -> Option<&Record> {
        self.records.get(part)
    }

    /// The parts that are quarantined or have crashes.
    pub fn records(&self) -> impl Iterator<Item = (&name::Part, &Record)> {
        let is_known = |record: &Record| record.quarantine.is_some() || !record.crashes.is_empty();
        self.records.iter().filter(move |(_, record)| is_known(record))
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Removes crashes that no longer count, and records of parts that were not seen for as long as trials may be apart.
    pub fn expire(&mut self, now_ms: u64) {
        if now_ms < self.expired_ms + EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_ms = now_ms;
        for record in self.records.values_mut().filter(|record| record.quarantine.is_none()) {
            record.crashes.retain(|crash| crash.at_ms + CRASH_RETENTION_MS > now_ms);
        }
        self.proofs.retain(|_, proven_ms| *proven_ms + PROOF_RETENTION_MS > now_ms);
        self.records.retain(|_, record| {
            let retention_ms = match record.quarantine {
                Some(_) => MAX_TRIAL_MS,
                None => CRASH_RETENTION_MS,
            };
            record.updated_ms + retention_ms > now_ms
        });
    }

    fn begin_trial(&mut self, part: &name::Part, now_ms: u64) {
        let record = self.records.get_mut(part);
        if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
            quarantine.trials = quarantine.trials.saturating_add(1);
            let pause_ms = FIRST_TRIAL_MS << quarantine.trials.min(u32::BITS - 1);
            quarantine.next_trial_ms = now_ms + pause_ms.min(MAX_TRIAL_MS);
        }
    }

    fn add_crash(&mut self, part: &name::Part, depth: usize, crash: &Crash, now_ms: u64) -> bool {
        let is_old = self.proofs.get(part).is_some_and(|proven_ms| crash.at_ms <= *proven_ms);
        if is_old || !self.make_room(part) {
            return false;
        }
        let record = self.records.entry(part.clone()).or_default();
        record.depth = record.depth.max(depth);
        record.updated_ms = now_ms;
        record.add(crash)
    }

    /// Makes room for a record of `part`: drops the one with the fewest crashes that was not updated for longest. Returns
    /// whether there is room.
    fn make_room(&mut self, part: &name::Part) -> bool {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(part) {
            return true;
        }
        let records = self.records.iter().filter(|(_, record)| record.quarantine.is_none());
        let least = records.min_by_key(|(_, record)| (record.crashes.len(), record.updated_ms));
        let least = least.map(|(part, _)| part.clone());
        least.is_some_and(|least| self.records.remove(&least).is_some())
    }

    /// Quarantines the parts that explain most crashes, one after the other: each takes its crashes away from the others.
    /// Parts that cannot be told apart are quarantined together, as each of them may be the cause.
    fn quarantine_suspects(&mut self, now_ms: u64) {
        loop {
            let suspects = self.most_suspect(now_ms);
            if suspects.is_empty() {
                return;
            }
            let quarantine =
                Quarantine { since_ms: now_ms, trials: 0, next_trial_ms: now_ms + FIRST_TRIAL_MS };
            for part in &suspects {
                if let Some(record) = self.records.get_mut(part) {
                    record.quarantine = Some(quarantine);
                }
            }
            suspects.iter().for_each(|part| self.explain(part));
            self.changes.extend(suspects.into_iter().map(Change::Quarantined));
        }
    }

    /// Crashes after which `part` is quarantined.
    fn min_crashes(&self, part: &name::Part) -> usize {
        if self.proofs.contains_key(part) { MIN_CRASHES_AFTER_PROOF } else { MIN_CRASHES }
    }

    /// The parts that are most probably the cause of crashes: those that were never proven sound, if there are any.
    fn most_suspect(&self, now_ms: u64) -> Vec<name::Part> {
        let suspects = self.records.iter().filter(|(part, record)| {
            record.quarantine.is_none() && record.is_suspect(self.min_crashes(part), now_ms)
        });
        let ranks = suspects.map(|(part, record)| {
            let is_unproven = !self.proofs.contains_key(part);
            ((is_unproven, record.crashes.len(), record.depth), part)
        });
        let ranks: Vec<_> = ranks.collect();
        let highest = ranks.iter().map(|(rank, _)| *rank).max();
        let most = ranks.into_iter().filter(|(rank, _)| Some(*rank) == highest);
        most.map(|(_, part)| part.clone()).collect()
    }

    /// Whether a quarantined part explains the crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        let mut quarantined = self.records.values().filter(|record| record.quarantine.is_some());
        quarantined.any(|record| record.crashes.iter().any(|known| known.is_same(crash)))
    }

    /// Removes the crashes of the quarantined `part` from all other parts that are not quarantined.
    fn explain(&mut self, part: &name::Part) {
        let crashes = self.records.get(part).map_or_else(Vec::new, |record| record.crashes.clone());
        for record in self.records.values_mut().filter(|record| record.quarantine.is_none()) {
            record.crashes.retain(|crash| !crashes.iter().any(|known| known.is_same(crash)));
        }
    }
}
