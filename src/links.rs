//! Whether this host reaches the servers of a service, and which other hosts may serve requests in its place.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::name;

#[cfg(test)]
mod tests;

/// Servers to which connections have to fail, without a connection to any other in between, until the links to all servers
/// of a service count as cut; fewer if the service has fewer.
const MIN_FAILED_SERVERS: usize = 3;

/// Time for which a failed connection counts, in milliseconds.
const FAILURE_RETENTION_MS: u64 = 2_000;

/// Time for which a host that could not serve a request is not asked again, in milliseconds.
const DECLINED_MS: u64 = 1_000;

/// A change of the links to a service, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No server is reached any more.
    Cut,
    /// A server is reached again.
    Restored,
}

/// The links to the servers of one service.
#[derive(Debug, Default)]
struct Service {
    /// When connections failed since the last one that did not, by server, in milliseconds.
    failures: HashMap<name::Server, u64>,
    is_cut: bool,
}

/// The links of this host.
#[derive(Debug, Default)]
pub struct State {
    services: HashMap<name::Service, Service>,
    /// Until when other hosts are not asked, in milliseconds.
    declined_until_ms: HashMap<SocketAddr, u64>,
}

impl State {
    /// A host that has not connected to servers yet.
    ///
    /// ```
    /// use nutmeghead::{links::State, name};
    /// let (mut links, service) = (State::new(), name::Service::new("app")?);
    /// for server in ["s-1", "s-2", "s-3"] {
    ///     links.record_failure(&service, &name::Server::new(server)?, 18, 0);
    /// }
    /// assert!(links.is_cut(&service));
    /// links.record_connection(&service);
    /// assert!(!links.is_cut(&service));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a connection to a server of `service`.
    pub fn record_connection(&mut self, service: &name::Service) -> Option<Change> {
        let was_cut = self.services.remove(service).is_some_and(|links| links.is_cut);
        was_cut.then_some(Change::Restored)
    }

    /// Records that a connection to `server` failed, one of `servers` of `service`.
    pub fn record_failure(
        &mut self,
        service: &name::Service,
        server: &name::Server,
        servers: usize,
        now_ms: u64,
    ) -> Option<Change> {
        let links = self.services.entry(service.clone()).or_default();
        if !links.is_cut {
            links.failures.retain(|_, failed_ms| *failed_ms + FAILURE_RETENTION_MS > now_ms);
        }
        links.failures.insert(server.clone(), now_ms);
        let is_cut = links.failures.len() >= MIN_FAILED_SERVERS.min(servers.max(1));
        let changed = is_cut && !links.is_cut;
        links.is_cut |= is_cut;
        changed.then_some(Change::Cut)
    }

    /// Whether this host reaches no server of `service`.
    pub fn is_cut(&self, service: &name::Service) -> bool {
        self.services.get(service).is_some_and(|links| links.is_cut)
    }

    /// The servers of `service` to which connections failed.
    pub fn failed_servers(&self, service: &name::Service) -> Vec<name::Server> {
        let links = self.services.get(service);
        links.map_or_else(Vec::new, |links| links.failures.keys().cloned().collect())
    }

    /// The services of which this host reaches no server.
    pub fn cut_services(&self) -> Vec<name::Service> {
        let cut = self.services.iter().filter(|(_, links)| links.is_cut);
        cut.map(|(service, _)| service.clone()).collect()
    }

    /// Records that the host at `address` cannot serve requests.
    pub fn record_declined(&mut self, address: SocketAddr, now_ms: u64) {
        self.declined_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.declined_until_ms.insert(address, now_ms + DECLINED_MS);
    }

    /// Whether the host at `address` may be asked.
    pub fn may_ask(&self, address: SocketAddr, now_ms: u64) -> bool {
        self.declined_until_ms.get(&address).is_none_or(|until_ms| *until_ms <= now_ms)
    }
}
