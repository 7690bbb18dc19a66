//! The cache of shared prompt prefixes.

use std::collections::{BTreeMap, HashMap};

#[derive(Debug)]
struct Entry {
    tokens: u32,
    users: u32,
    used_at: u64,
}

/// A least-recently-used cache. Prefixes of running sequences stay.
#[derive(Debug)]
pub(super) struct Cache {
    limit_tokens: u64,
    held_tokens: u64,
    uses: u64,
    entries: HashMap<u64, Entry>,
    by_use: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn new(limit_tokens: u64) -> Self {
        Self {
            limit_tokens,
            held_tokens: 0,
            uses: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Cached tokens of a prefix.
    pub(super) fn cached(&self, prefix: u64) -> u32 {
        self.entries.get(&prefix).map_or(0, |entry| entry.tokens)
    }

    /// Takes a use of a prefix, caching it if there is room. Returns whether the cache now holds it.
    pub(super) fn take(&mut self, prefix: u64, tokens: u32) -> bool {
        if !self.entries.contains_key(&prefix) && !self.insert(prefix, tokens) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&prefix) else {
            return false;
        };
        self.by_use.remove(&entry.used_at);
        self.uses += 1;
        entry.used_at = self.uses;
        entry.users += 1;
        self.by_use.insert(self.uses, prefix);
        true
    }

    /// Gives a use back.
    pub(super) fn give_back(&mut self, prefix: u64) {
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.users -= 1;
        }
    }

    /// Cached prefixes, most recently used last.
    pub(super) fn prefixes(&self) -> Vec<u64> {
        self.by_use.values().copied().collect()
    }

    fn insert(&mut self, prefix: u64, tokens: u32) -> bool {
        let size = u64::from(tokens);
        while self.held_tokens + size > self.limit_tokens {
            let unused =
                |prefix: &&u64| self.entries.get(prefix).is_some_and(|entry| entry.users == 0);
            let Some(oldest) = self.by_use.values().find(unused).copied() else {
                return false;
            };
            self.evict(oldest);
        }
        self.held_tokens += size;
        self.uses += 1;
        self.entries.insert(prefix, Entry { tokens, users: 0, used_at: self.uses });
        true
    }

    fn evict(&mut self, prefix: u64) {
        if let Some(entry) = self.entries.remove(&prefix) {
            self.held_tokens -= u64::from(entry.tokens);
            self.by_use.remove(&entry.used_at);
        }
    }
}
