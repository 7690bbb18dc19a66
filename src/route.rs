//! Which service a request goes to, by its host and the longest path prefix.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::name;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A series of events. Runs once at most, unless it may be resumed elsewhere after its last event.
    Stream {
        /// Whether another engine may go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a second run is harmless.
    ///
    /// ```
    /// use nutmeghead::route::Kind;
    /// assert!(Kind::Stream { resumable: true }.may_repeat());
    /// assert!(!Kind::NonIdempotent.may_repeat());
    /// ```
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    ///
    /// ```
    /// assert!(!nutmeghead::route::Kind::Idempotent.is_stream());
    /// ```
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: name::Service,
    /// Its share, against the other weights of the route.
    pub weight: u32,
}

/// What holds for the requests of one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name in the document.
    pub name: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time in which an answer (of a stream: its first event) has its full value.
    pub objective: Duration,
    /// Longest pause between two events that callers accept.
    pub max_pause: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that the requests go to; at least one.
    pub targets: Vec<Target>,
    /// Servers on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests carry prompts for model engines.
    pub generates: bool,
}

/// Model engines of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Generations that one engine decodes at once.
    pub batch: u32,
    /// Tokens that the memory of one engine holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
    /// Whether running generations can be moved between engines.
    pub transfers: bool,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for which a connection may stay unused.
    pub idle: Duration,
}

/// Whoever holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: name::Organisation,
    /// Its rank, which goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// One version of the operators' document, ready for look-ups.
#[derive(Clone, Debug)]
pub struct Table {
    /// Rises with each document.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    /// By host, then by prefix.
    routes: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    pools: HashMap<name::Service, Pool>,
    keys: HashMap<Box<str>, Arc<Organisation>>,
}

impl Table {
    /// A table without routes.
    ///
    /// ```
    /// use nutmeghead::route::{Limits, Table};
    /// let limits = Limits { header_bytes: 16_384, body_bytes: 1 << 20, idle: std::time::Duration::from_secs(15) };
    /// assert!(Table::new(1, limits).find("a.example", "/x/").is_none());
    /// ```
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            limits,
            routes: HashMap::new(),
            pools: HashMap::new(),
            keys: HashMap::new(),
        }
    }

    /// Adds a route for paths of `host` that begin with `prefix`, which begins and ends with a slash.
    #[must_use]
    pub fn with_route(mut self, host: &str, prefix: &str, route: Route) -> Self {
        self.routes.entry(host.into()).or_default().insert(prefix.into(), Arc::new(route));
        self
    }

    /// Adds what is known of a service's engines.
    #[must_use]
    pub fn with_pool(mut self, service: name::Service, pool: Pool) -> Self {
        self.pools.insert(service, pool);
        self
    }

    /// Adds a key.
    #[must_use]
    pub fn with_key(mut self, key: &str, organisation: Arc<Organisation>) -> Self {
        self.keys.insert(key.into(), organisation);
        self
    }

    /// The route of the longest prefix. The cost grows with the slashes in `path`, not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        for (index, _) in slashes {
            if let Some(route) = prefixes.get(&path[..=index]) {
                return Some(route);
            }
        }
        None
    }

    /// Whoever holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// What is known of a service's engines; `None` for a plain service.
    pub fn pool(&self, service: &name::Service) -> Option<Pool> {
        self.pools.get(service).copied()
    }
}

impl Route {
    /// The service for a request, by weight. `sample` is a random number.
    pub fn target(&self, sample: u64) -> &name::Service {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = sample % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return &target.service;
            }
            rest -= weight;
        }
        &self.targets[0].service
    }
}

#[cfg(test)]
mod tests;
