//! Addresses to try, for hosts that start, were parted, or are thought dead.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;
use rand::rngs::StdRng;

use super::record::Health;
use super::table::Table;

/// Time between two tries, in milliseconds.
const INTERVAL_MS: u64 = 5_000;

/// Time between two tries of a host that knows no other, in milliseconds.
const ALONE_INTERVAL_MS: u64 = 500;

/// Longest time between two tries of one address, in milliseconds.
const MAX_BACKOFF_MS: u64 = 60_000;

/// Largest number of addresses taken from the host list.
const MAX_LISTED: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    failures: u32,
    next_ms: u64,
}

/// Addresses from the settings, the host list and dead members, tried one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Contacts {
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    attempts: BTreeMap<SocketAddr, Attempt>,
    next_ms: u64,
}

impl Contacts {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..Self::default() }
    }

    /// Takes in the host list's addresses in place of its former ones.
    pub(super) fn list(&mut self, mut addresses: Vec<SocketAddr>) {
        addresses.truncate(MAX_LISTED);
        self.listed = addresses;
    }

    /// The address to try now, if a try is due. `own` is this host's address.
    pub(super) fn due(
        &mut self,
        table: &Table,
        own: SocketAddr,
        now_ms: u64,
        rng: &mut StdRng,
    ) -> Option<SocketAddr> {
        if now_ms < self.next_ms {
            return None;
        }
        let present: BTreeSet<SocketAddr> =
            table.records().filter(|r| r.is_present()).map(|r| r.address).collect();
        let alone = present.iter().all(|address| *address == own);
        let interval_ms = if alone { ALONE_INTERVAL_MS } else { INTERVAL_MS };
        self.next_ms = now_ms + interval_ms * rng.random_range(80..120) / 100;

        let dead = table.records().filter(|r| r.health == Health::Dead).map(|r| r.address);
        let mut open: BTreeSet<SocketAddr> =
            self.seeds.iter().chain(&self.listed).copied().chain(dead).collect();
        open.retain(|address| *address != own && !present.contains(address));
        self.attempts.retain(|address, _| open.contains(address));
        open.retain(|address| alone || self.is_ready(address, now_ms));
        let open: Vec<SocketAddr> = open.into_iter().collect();
        if open.is_empty() {
            return None;
        }
        Some(open[rng.random_range(0..open.len())])
    }

    fn is_ready(&self, address: &SocketAddr, now_ms: u64) -> bool {
        self.attempts.get(address).is_none_or(|attempt| attempt.next_ms <= now_ms)
    }

    /// Takes in that nothing new was found at an address.
    pub(super) fn fail(&mut self, address: SocketAddr, now_ms: u64) {
        let attempt = self.attempts.entry(address).or_default();
        let wait_ms = INTERVAL_MS << attempt.failures.min(8);
        attempt.failures += 1;
        attempt.next_ms = now_ms + wait_ms.min(MAX_BACKOFF_MS);
    }

    /// When the next try is due.
    pub(super) fn wake_ms(&self) -> u64 {
        self.next_ms
    }
}
