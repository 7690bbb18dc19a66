//! What an entry host believes about the platform, and since when.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::directory::{Directory, Server};
use crate::freshness::{Bounds, Use};
use crate::name;
use crate::route::Table;

/// The beliefs of one entry host.
pub(crate) struct Beliefs {
    bounds: Bounds,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    table: Option<Arc<Table>>,
    /// When the store last confirmed that the table is the newest.
    confirmed_ms: u64,
    directory: Directory,
    listed: bool,
    hosts: Option<HashMap<name::Host, SocketAddr>>,
}

/// A table that may be acted on.
#[derive(Clone)]
pub(crate) struct Current {
    pub(crate) table: Arc<Table>,
    /// Time since the store confirmed it.
    pub(crate) age_ms: u64,
}

impl Beliefs {
    pub(crate) fn new(bounds: Bounds) -> Self {
        let state = State { directory: Directory::new(), ..State::default() };
        Self { bounds, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The table, if it is fresh enough for `what`.
    pub(crate) fn current(&self, what: Use, now_ms: u64) -> Option<Current> {
        let state = self.state();
        let age_ms = now_ms.saturating_sub(state.confirmed_ms);
        let table = state.table.as_ref().filter(|_| self.bounds.allows(what, age_ms))?;
        Some(Current { table: Arc::clone(table), age_ms })
    }

    /// Puts a newer table in force; an older one never replaces a newer one.
    pub(crate) fn adopt(&self, table: Table) -> bool {
        let mut state = self.state();
        if state.table.as_ref().is_some_and(|old| old.version >= table.version) {
            return false;
        }
        state.table = Some(Arc::new(table));
        true
    }

    /// The store answered a question of `asked_ms` and named nothing newer.
    pub(crate) fn confirm(&self, asked_ms: u64) {
        let mut state = self.state();
        state.confirmed_ms = state.confirmed_ms.max(asked_ms);
    }

    /// Whether requests can be served at all.
    pub(crate) fn complete(&self) -> bool {
        let state = self.state();
        state.table.is_some() && state.listed
    }

    /// The servers of a service.
    pub(crate) fn servers(&self, service: &name::Service) -> Vec<Arc<Server>> {
        self.state().directory.servers(service).to_vec()
    }

    /// Changes the directory.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut Directory) -> R) -> R {
        change(&mut self.state().directory)
    }

    /// The whole list of servers was read.
    pub(crate) fn set_listed(&self) {
        self.state().listed = true;
    }

    /// Other entry hosts and their addresses, as the store names them.
    pub(crate) fn hosts(&self) -> Option<HashMap<name::Host, SocketAddr>> {
        self.state().hosts.clone()
    }

    /// Number of entry hosts, if known.
    pub(crate) fn host_count(&self) -> Option<usize> {
        self.state().hosts.as_ref().map(HashMap::len)
    }

    /// Takes in addresses of entry hosts.
    pub(crate) fn add_hosts(&self, hosts: Vec<(name::Host, SocketAddr)>) {
        self.state().hosts.get_or_insert_default().extend(hosts);
    }
}
