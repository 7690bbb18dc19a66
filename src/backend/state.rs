//! Load balancing over the backend servers of a service.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::document::{Intent, Server};
use crate::name;

#[cfg(test)]
mod tests;

/// Consecutive failures after which a backend server is ejected.
const MAX_FAILURES: u32 = 2;

/// Time for which a backend server stays ejected after its last failure, in milliseconds.
const EJECTION_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, Default)]
struct Stats {
    open_calls: u32,
    failures: u32,
    last_failure_ms: u64,
}

/// Open calls and failures of backend servers.
#[derive(Debug)]
pub struct State {
    stats: HashMap<name::Server, Stats>,
    random: StdRng,
}

impl State {
    /// A state without calls or failures; `seed` seeds the random choice.
    pub fn new(seed: u64) -> Self {
        Self { stats: HashMap::new(), random: StdRng::seed_from_u64(seed) }
    }

    /// Chooses two random backend servers and returns the one with fewer open calls.
    ///
    /// Servers that do not accept new work, are in `tried` or are about to be removed by the platform (`is_leaving`)
    /// are excluded. Ejected servers are used only if no other server is eligible.
    pub fn choose<'a>(
        &mut self,
        now_ms: u64,
        servers: &'a [Server],
        tried: &[name::Server],
        is_leaving: impl Fn(&str) -> bool,
    ) -> Option<&'a Server> {
        let is_eligible = |server: &&Server| {
            server.intent == Intent::Serve
                && !is_leaving(server.name.as_str())
                && !tried.contains(&server.name)
        };
        let eligible: Vec<&Server> = servers.iter().filter(is_eligible).collect();
        let healthy: Vec<&Server> = eligible
            .iter()
            .copied()
            .filter(|server| !self.is_ejected(now_ms, &server.name))
            .collect();
        let candidates = if healthy.is_empty() { &eligible } else { &healthy };
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.random.random_range(0..candidates.len())];
        let second = candidates[self.random.random_range(0..candidates.len())];
        let less_loaded = if self.open_calls(&second.name) < self.open_calls(&first.name) {
            second
        } else {
            first
        };
        Some(less_loaded)
    }

    /// Records the start of a call to `server`.
    pub fn begin(&mut self, server: &name::Server) {
        self.stats.entry(server.clone()).or_default().open_calls += 1;
    }

    /// Records the end of a call to `server`; `succeeded` means that it sent a response other than a server error.
    pub fn end(&mut self, now_ms: u64, server: &name::Server, succeeded: bool) {
        let stats = self.stats.entry(server.clone()).or_default();
        stats.open_calls = stats.open_calls.saturating_sub(1);
        if succeeded {
            stats.failures = 0;
        } else {
            stats.failures += 1;
            stats.last_failure_ms = now_ms;
        }
    }

    fn open_calls(&self, server: &name::Server) -> u32 {
        self.stats.get(server).map_or(0, |stats| stats.open_calls)
    }

    fn is_ejected(&self, now_ms: u64, server: &name::Server) -> bool {
        self.stats.get(server).is_some_and(|stats| {
            stats.failures >= MAX_FAILURES
                && now_ms.saturating_sub(stats.last_failure_ms) < EJECTION_MS
        })
    }
}
