//! The cache of shared prompt prefixes.

use std::collections::{BTreeMap, HashMap};

#[derive(Debug)]
struct Entry {
    tokens: u32,
    references: u32,
    last_used: u64,
}

/// A least-recently-used cache. Prefixes of running sequences are not evicted.
#[derive(Debug)]
pub(super) struct Cache {
    capacity_tokens: u64,
    used_tokens: u64,
    /// Counts uses; the time of `last_used`.
    clock: u64,
    entries: HashMap<u64, Entry>,
    /// Prefixes by the time of their last use.
    by_last_use: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            clock: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Length of a cached prefix, in tokens; 0 if it is not cached.
    pub(super) fn cached_tokens(&self, prefix: u64) -> u32 {
        self.entries.get(&prefix).map_or(0, |entry| entry.tokens)
    }

    /// Adds a reference to a prefix, and caches the prefix if memory allows. Returns whether it is cached.
    pub(super) fn acquire(&mut self, prefix: u64, tokens: u32) -> bool {
        if !self.entries.contains_key(&prefix) && !self.insert(prefix, tokens) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&prefix) else {
            return false;
        };
        self.by_last_use.remove(&entry.last_used);
        self.clock += 1;
        entry.last_used = self.clock;
        entry.references += 1;
        self.by_last_use.insert(self.clock, prefix);
        true
    }

    /// Removes a reference to a prefix.
    pub(super) fn release(&mut self, prefix: u64) {
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.references -= 1;
        }
    }

    /// Cached prefixes, most recently used last.
    pub(super) fn prefixes(&self) -> Vec<u64> {
        self.by_last_use.values().copied().collect()
    }

    fn insert(&mut self, prefix: u64, tokens: u32) -> bool {
        let size = u64::from(tokens);
        while self.used_tokens + size > self.capacity_tokens {
            let unused =
                |prefix: &&u64| self.entries.get(prefix).is_some_and(|entry| entry.references == 0);
            let Some(oldest) = self.by_last_use.values().find(unused).copied() else {
                return false;
            };
            self.evict(oldest);
        }
        self.used_tokens += size;
        self.clock += 1;
        self.entries.insert(prefix, Entry { tokens, references: 0, last_used: self.clock });
        true
    }

    fn evict(&mut self, prefix: u64) {
        if let Some(entry) = self.entries.remove(&prefix) {
            self.used_tokens -= u64::from(entry.tokens);
            self.by_last_use.remove(&entry.last_used);
        }
    }
}
