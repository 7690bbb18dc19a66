//! Addresses of hosts that may be reachable but are not present members: they are starting, were partitioned off or
//! have been declared dead.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;
use rand::rngs::StdRng;

use super::record::Health;
use super::table::Table;

/// Mean time between two attempts to exchange tables with an address, in milliseconds.
const INTERVAL_MS: u64 = 5_000;

/// Mean time between two attempts while this host knows no other, in milliseconds.
const ALONE_INTERVAL_MS: u64 = 500;

/// Longest backoff of one address, in milliseconds.
const MAX_BACKOFF_MS: u64 = 60_000;

/// Largest number of addresses used from the host list.
const MAX_LISTED: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    failures: u32,
    next_ms: u64,
}

/// Addresses from the settings, the host list and dead members, tried one at a time in random order.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates {
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    backoffs: BTreeMap<SocketAddr, Backoff>,
    next_ms: u64,
}

impl Candidates {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..Self::default() }
    }

    /// Replaces the addresses from the host list.
    pub(super) fn set_listed(&mut self, mut addresses: Vec<SocketAddr>) {
        addresses.truncate(MAX_LISTED);
        self.listed = addresses;
    }

    /// The address to exchange tables with now, if an attempt is due. `own` is this host's address.
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
        let mut candidates: BTreeSet<SocketAddr> =
            self.seeds.iter().chain(&self.listed).copied().chain(dead).collect();
        candidates.retain(|address| *address != own && !present.contains(address));
        self.backoffs.retain(|address, _| candidates.contains(address));
        candidates.retain(|address| alone || self.is_due(address, now_ms));
        let candidates: Vec<SocketAddr> = candidates.into_iter().collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())])
    }

    fn is_due(&self, address: &SocketAddr, now_ms: u64) -> bool {
        self.backoffs.get(address).is_none_or(|backoff| backoff.next_ms <= now_ms)
    }

    /// Records a failed attempt and extends the backoff of the address.
    pub(super) fn record_failure(&mut self, address: SocketAddr, now_ms: u64) {
        let backoff = self.backoffs.entry(address).or_default();
        let backoff_ms = INTERVAL_MS << backoff.failures.min(8);
        backoff.failures += 1;
        backoff.next_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// When the next attempt is due, in milliseconds.
    pub(super) fn wake_ms(&self) -> u64 {
        self.next_ms
    }
}
