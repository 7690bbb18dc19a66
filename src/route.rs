//! Route table: finds the route of a request by host and longest path prefix, chooses one of the route's services, and
//! finds the organisation that holds a key.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::homes;
use crate::migration::Link;
use crate::name;
use crate::rate;

/// Whether the requests of a route may be repeated, and whether they stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A stream of events. Runs once at most, unless another engine may resume it after the last event.
    Stream {
        /// Whether another engine may continue after the last event.
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

    /// Whether the response is a stream of events.
    ///
    /// ```
    /// assert!(!nutmeghead::route::Kind::Idempotent.is_stream());
    /// ```
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: name::Service,
    /// Its weight, relative to the other weights of the route.
    pub weight: u32,
}

/// Settings for the requests of one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name in the document.
    pub name: Arc<str>,
    /// Whether its requests may be repeated, and whether they stream.
    pub kind: Kind,
    /// Longest time until the end of the response.
    pub timeout: Duration,
    /// Target latency of the response, or of the first event of a stream. A later response is of less value.
    pub objective: Duration,
    /// Longest pause between two events that callers accept.
    pub max_pause: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the requests; at least one.
    pub targets: Vec<Target>,
    /// Most servers on which one request may run.
    pub max_runs: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests are prompts for model engines.
    pub generates: bool,
    /// Regions in which the requests may be served.
    pub homes: homes::Set,
}

/// Properties of the model engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pool {
    /// Generations that one engine decodes concurrently.
    pub batch: u32,
    /// Capacity of one engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Tokens per event of a stream.
    pub event_tokens: u64,
    /// Whether running generations can migrate between engines.
    pub can_migrate: bool,
    /// The link over which an engine copies KV caches.
    pub link: Link,
}

/// Servers of one service after their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cold {
    /// How long a server is cold after its start.
    pub start: Duration,
    /// Requests a second that it takes while it is cold; `None` without a limit.
    pub limit: Option<rate::Limit>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Longest time that the head of a request may take.
    pub head_timeout: Duration,
}

impl Default for Limits {
    /// What holds where a document states no limit.
    fn default() -> Self {
        let timeout = Duration::from_secs(15);
        Self {
            header_bytes: 64 << 10,
            body_bytes: 4 << 20,
            idle_timeout: timeout,
            head_timeout: timeout,
        }
    }
}

/// The organisation that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: name::Customer,
    /// Its priority, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    pub homes: homes::Set,
}

/// Routes by path prefix; `None` for those that are not usable.
type Prefixes = HashMap<Box<str>, Option<Arc<Route>>>;

/// One version of the operators' document, indexed for lookup.
#[derive(Clone, Debug)]
pub struct Table {
    /// Version of the document; increases with each document.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Routes by host, then by path prefix.
    routes: HashMap<Box<str>, Prefixes>,
    pools: HashMap<name::Service, Pool>,
    cold: HashMap<name::Service, Cold>,
    keys: HashMap<Box<str>, Arc<Organisation>>,
    has_homes: bool,
}

impl Table {
    /// A table without routes.
    ///
    /// ```
    /// use nutmeghead::route::{Limits, Table};
    /// assert!(Table::new(1, Limits::default()).find("a.example", "/x/").is_none());
    /// ```
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            limits,
            routes: HashMap::new(),
            pools: HashMap::new(),
            cold: HashMap::new(),
            keys: HashMap::new(),
            has_homes: false,
        }
    }

    /// Adds a route for paths of `host` that begin with `prefix`, which begins and ends with a slash.
    #[must_use]
    pub fn with_route(mut self, host: &str, prefix: &str, route: Route) -> Self {
        self.has_homes |= !route.homes.is_any();
        self.routes.entry(host.into()).or_default().insert(prefix.into(), Some(Arc::new(route)));
        self
    }

    /// Adds a route that is not usable. Its requests are refused: a route with a shorter prefix may lead to another service,
    /// or need no key.
    ///
    /// ```
    /// use nutmeghead::route::{Limits, Table};
    /// let table = Table::new(1, Limits::default()).with_unusable_route("a.example", "/x/");
    /// assert!(table.find("a.example", "/x/y").is_none());
    /// assert!(table.is_unusable("a.example", "/x/y") && !table.is_unusable("a.example", "/y/"));
    /// ```
    #[must_use]
    pub fn with_unusable_route(mut self, host: &str, prefix: &str) -> Self {
        self.routes.entry(host.into()).or_default().insert(prefix.into(), None);
        self
    }

    /// Adds the engine properties of a service.
    #[must_use]
    pub fn with_pool(mut self, service: name::Service, pool: Pool) -> Self {
        self.pools.insert(service, pool);
        self
    }

    /// Adds what holds for cold servers of a service.
    #[must_use]
    pub fn with_cold(mut self, service: name::Service, cold: Cold) -> Self {
        self.cold.insert(service, cold);
        self
    }

    /// Adds a key.
    #[must_use]
    pub fn with_key(mut self, key: &str, organisation: Arc<Organisation>) -> Self {
        self.has_homes |= !organisation.homes.is_any();
        self.keys.insert(key.into(), organisation);
        self
    }

    /// The route of the longest matching prefix; `None` without one, or if it is not usable. The cost grows with the number
    /// of slashes in `path`, not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.find_match(host, path)?.as_ref()
    }

    /// Whether the route of the longest matching prefix is not usable.
    pub fn is_unusable(&self, host: &str, path: &str) -> bool {
        self.find_match(host, path).is_some_and(Option::is_none)
    }

    fn find_match(&self, host: &str, path: &str) -> Option<&Option<Arc<Route>>> {
        let prefixes = self.routes.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        for (index, _) in slashes {
            if let Some(route) = prefixes.get(&path[..=index]) {
                return Some(route);
            }
        }
        None
    }

    /// The organisation that holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Whether a route or an organisation restricts the regions of its requests.
    pub fn has_homes(&self) -> bool {
        self.has_homes
    }

    /// The engine properties of a service; `None` for a plain service.
    pub fn pool(&self, service: &name::Service) -> Option<Pool> {
        self.pools.get(service).copied()
    }

    /// What holds for cold servers of a service; `None` if the document does not say.
    pub fn cold(&self, service: &name::Service) -> Option<Cold> {
        self.cold.get(service).copied()
    }
}

impl Route {
    /// Whether requests of the route may be sent to `service`.
    pub fn leads_to(&self, service: &name::Service) -> bool {
        let mut services = self.services();
        services.any(|target| target == service)
    }

    /// Whether all requests of the route are sent to one service.
    pub fn leads_to_one_service(&self) -> bool {
        self.services().count() == 1
    }

    /// The services that [`Self::choose_service`] can return.
    fn services(&self) -> impl Iterator<Item = &name::Service> {
        let all_zero = self.targets.iter().all(|target| target.weight == 0);
        let targets = self.targets.iter().enumerate();
        let chosen = targets.filter(move |(i, target)| target.weight > 0 || (all_zero && *i == 0));
        chosen.map(|(_, target)| &target.service)
    }

    /// Chooses the service for a request by weight. `sample` is a random number.
    pub fn choose_service(&self, sample: u64) -> &name::Service {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remainder = sample % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remainder < weight {
                return &target.service;
            }
            remainder -= weight;
        }
        &self.targets[0].service
    }
}

#[cfg(test)]
mod tests;
