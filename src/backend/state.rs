//! What an entry host knows of the backend servers.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::document::{Intent, Server};
use crate::name;

#[cfg(test)]
mod tests;

/// Failures in a row after which a backend server is asked last.
const MAX_FAILURES: u32 = 2;

/// Time for which a failing backend server is asked last, in milliseconds.
const EJECTED_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    open: u32,
    failures: u32,
    failed_ms: u64,
}

/// Open calls and failures of backend servers.
#[derive(Debug)]
pub struct State {
    seen: HashMap<name::Server, Seen>,
    random: StdRng,
}

impl State {
    /// Knows nothing of any backend server.
    pub fn new(seed: u64) -> Self {
        Self { seen: HashMap::new(), random: StdRng::seed_from_u64(seed) }
    }

    /// Picks the less busy of two random backend servers that take new work and were not `tried`.
    ///
    /// `leaves` says which backend servers the platform is about to take away.
    pub fn choose<'a>(
        &mut self,
        now_ms: u64,
        servers: &'a [Server],
        tried: &[name::Server],
        leaves: impl Fn(&str) -> bool,
    ) -> Option<&'a Server> {
        let serving = |server: &&Server| {
            server.intent == Intent::Serve
                && !leaves(server.name.as_str())
                && !tried.contains(&server.name)
        };
        let all: Vec<&Server> = servers.iter().filter(serving).collect();
        let sound: Vec<&Server> =
            all.iter().copied().filter(|server| !self.is_ejected(now_ms, &server.name)).collect();
        let pool = if sound.is_empty() { &all } else { &sound };
        if pool.is_empty() {
            return None;
        }
        let first = pool[self.random.random_range(0..pool.len())];
        let second = pool[self.random.random_range(0..pool.len())];
        let less_busy =
            if self.open(&second.name) < self.open(&first.name) { second } else { first };
        Some(less_busy)
    }

    /// A call to `server` begins.
    pub fn begin(&mut self, server: &name::Server) {
        self.seen.entry(server.clone()).or_default().open += 1;
    }

    /// A call to `server` ended; `answered` says whether it gave an answer that is not a server error.
    pub fn end(&mut self, now_ms: u64, server: &name::Server, answered: bool) {
        let seen = self.seen.entry(server.clone()).or_default();
        seen.open = seen.open.saturating_sub(1);
        if answered {
            seen.failures = 0;
        } else {
            seen.failures += 1;
            seen.failed_ms = now_ms;
        }
    }

    fn open(&self, server: &name::Server) -> u32 {
        self.seen.get(server).map_or(0, |seen| seen.open)
    }

    fn is_ejected(&self, now_ms: u64, server: &name::Server) -> bool {
        self.seen.get(server).is_some_and(|seen| {
            seen.failures >= MAX_FAILURES && now_ms.saturating_sub(seen.failed_ms) < EJECTED_MS
        })
    }
}
