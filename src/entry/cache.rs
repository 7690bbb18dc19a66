//! Cached state of the platform: the table parsed from the operators' document, the servers, the entry hosts, and how
//! fresh the document and the servers are.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::cold::Standing;
use crate::directory::{Directory, Incarnation, Server};
use crate::freshness::{Bounds, Purpose};
use crate::name;
use crate::origin::Sighting;
use crate::roster::{Roster, View};
use crate::route::Table;
use crate::store_sync::{
    LEAVING_RETENTION_MS, MismatchCounter, REWRITE_MS, Reply, Update, Watermark,
};

/// The state that one entry host has cached.
pub(crate) struct Cache {
    bounds: Bounds,
    state: Mutex<State>,
    /// Signals that another host has a newer document than the cached one.
    pub(crate) newer_document: Notify,
    /// Signals that other hosts know a different set of servers.
    pub(crate) servers_differ: Notify,
}

/// Largest number of queries to other hosts whose replies are still accepted: several times as many as are in flight at
/// once.
const MAX_OPEN_QUERIES: usize = 8;

/// Largest number of newer versions of the document whose notices are remembered. The first one decides how long the
/// cached document may still be used.
const MAX_NEWER_VERSIONS: usize = 64;

/// Longest time between two confirmations of the servers in which no build of a service can have come unseen, in
/// milliseconds: several times that of a host that is not cut off.
const MAX_SERVERS_GAP_MS: u64 = 3_000;

#[derive(Default)]
struct State {
    /// The parsed operators' document.
    table: Option<Arc<Table>>,
    /// Highest version of the document that another host has.
    known_version: u64,
    /// Versions newer than the table's that other hosts have, with the time at which this host learnt of each. Ascending
    /// in both.
    newer_versions: VecDeque<(u64, u64)>,
    /// When the store last came back from an older copy.
    records_lost_ms: Option<u64>,
    /// Times up to which the table is confirmed as the newest and the server entries as complete.
    watermark: Watermark,
    /// Servers that are leaving or gone, with the time at which this host learnt that.
    recently_leaving: VecDeque<(u64, Incarnation)>,
    /// Ids of queries to other hosts, with the time at which each was sent.
    queries: VecDeque<(u64, u64)>,
    mismatches: MismatchCounter,
    directory: Directory,
    /// Since when this host has known all servers without a gap; `None` until the complete list was read.
    servers_known_since_ms: Option<u64>,
    roster: Roster,
    /// Whether the list of entry hosts was read.
    hosts_listed: bool,
}

/// A table that is fresh enough for the purpose it was requested for.
#[derive(Clone)]
pub(crate) struct Current {
    pub(crate) table: Arc<Table>,
    /// Milliseconds since the table was last confirmed as the newest.
    pub(crate) age_ms: u64,
}

impl State {
    /// Records that all servers up to `confirmed_ms` are known. After a long gap, servers may have come and gone unseen.
    fn advance_servers(&mut self, confirmed_ms: u64) {
        if confirmed_ms > self.watermark.servers_ms + MAX_SERVERS_GAP_MS {
            self.servers_known_since_ms = self.servers_known_since_ms.map(|_| confirmed_ms);
        }
        self.watermark.servers_ms = self.watermark.servers_ms.max(confirmed_ms);
    }

    fn is_document_outdated(&self) -> bool {
        self.version() < self.known_version
    }

    /// Version of the table; 0 without one.
    fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Records that another host has a document of `version`.
    fn learn_version(&mut self, version: u64, now_ms: u64) {
        if version > self.known_version.max(self.version())
            && self.newer_versions.len() < MAX_NEWER_VERSIONS
        {
            self.newer_versions.push_back((version, now_ms));
        }
        self.known_version = self.known_version.max(version);
    }

    /// Time for which this host has known of a document newer than the table, in milliseconds; 0 if it knows of none.
    fn superseded_ms(&self, now_ms: u64) -> u64 {
        let first = self.newer_versions.front();
        first.map_or(0, |(_, learnt_ms)| now_ms.saturating_sub(*learnt_ms))
    }
}

impl Cache {
    pub(crate) fn new(bounds: Bounds) -> Self {
        let state = State { directory: Directory::new(), ..State::default() };
        let (newer_document, servers_differ) = (Notify::new(), Notify::new());
        Self { bounds, state: Mutex::new(state), newer_document, servers_differ }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The table, if it is fresh enough for `purpose`.
    pub(crate) fn current(&self, purpose: Purpose, now_ms: u64) -> Option<Current> {
        let state = self.state();
        let age_ms = now_ms.saturating_sub(state.watermark.document_ms);
        let superseded_ms = state.superseded_ms(now_ms);
        let allowed = self.bounds.allows(purpose, age_ms)
            && self.bounds.allows_superseded(purpose, superseded_ms);
        let table = state.table.as_ref().filter(|_| allowed)?;
        Some(Current { table: Arc::clone(table), age_ms })
    }

    /// Replaces the table if `table` has a higher version. Returns whether it did.
    pub(crate) fn replace_table(&self, table: Table) -> bool {
        let mut state = self.state();
        if state.table.as_ref().is_some_and(|old| old.version >= table.version) {
            return false;
        }
        state.newer_versions.retain(|(version, _)| *version > table.version);
        state.table = Some(Arc::new(table));
        true
    }

    /// Records that the store came back from an older copy at `now_ms`.
    pub(crate) fn mark_records_lost(&self, now_ms: u64) {
        self.state().records_lost_ms = Some(now_ms);
    }

    /// Records that the store confirmed the table as the newest at `confirmed_ms`. After the store has come back from an
    /// older copy, it does not know of a newer document that another host has, and confirms nothing: `false`.
    pub(crate) fn confirm_document(&self, confirmed_ms: u64) -> bool {
        let mut state = self.state();
        let rewritten_ms = state.records_lost_ms.map_or(0, |lost_ms| lost_ms + REWRITE_MS);
        if state.is_document_outdated() && confirmed_ms < rewritten_ms {
            return false;
        }
        state.watermark.document_ms = state.watermark.document_ms.max(confirmed_ms);
        true
    }

    /// Records that the store confirmed the server entries as complete up to `confirmed_ms`.
    pub(crate) fn confirm_servers(&self, confirmed_ms: u64) {
        self.state().advance_servers(confirmed_ms);
    }

    /// Times up to which the cached state is confirmed.
    pub(crate) fn watermark(&self) -> Watermark {
        self.state().watermark
    }

    /// Registers a query to another host and returns its id.
    pub(crate) fn begin_query(&self, now_ms: u64) -> u64 {
        let query = rand::random();
        let mut state = self.state();
        state.queries.push_back((query, now_ms));
        if state.queries.len() > MAX_OPEN_QUERIES {
            state.queries.pop_front();
        }
        query
    }

    /// The reply to a query of another host; `None` until the document and all servers are known.
    pub(crate) fn reply(&self, now_ms: u64) -> Option<Reply> {
        let mut state = self.state();
        let version =
            state.table.as_ref().filter(|_| state.servers_known_since_ms.is_some())?.version;
        while state
            .recently_leaving
            .front()
            .is_some_and(|(learnt_ms, _)| learnt_ms + LEAVING_RETENTION_MS < now_ms)
        {
            state.recently_leaving.pop_front();
        }
        Some(Reply {
            version,
            document_age_ms: now_ms.saturating_sub(state.watermark.document_ms),
            servers_age_ms: now_ms.saturating_sub(state.watermark.servers_ms),
            leaving: state
                .recently_leaving
                .iter()
                .map(|(_, incarnation)| incarnation.clone())
                .collect(),
            digest: state.directory.digest(),
        })
    }

    /// Applies another host's reply to a query. The caller has already marked the servers listed in `reply` as leaving.
    pub(crate) fn apply_reply(&self, query: u64, reply: &Reply, now_ms: u64) {
        let mut state = self.state();
        let index = state.queries.iter().position(|(id, _)| *id == query);
        // A duplicate reply, or one to an unknown query, confirms nothing.
        let Some((_, sent_ms)) = index.and_then(|index| state.queries.remove(index)) else {
            return;
        };
        let Some(version) = state
            .table
            .as_ref()
            .filter(|_| state.servers_known_since_ms.is_some())
            .map(|t| t.version)
        else {
            return;
        };
        let Update { watermark, newer_document } = state.watermark.apply(reply, version, sent_ms);
        state.watermark.document_ms = watermark.document_ms;
        state.advance_servers(watermark.servers_ms);
        let same_servers = state.directory.digest() == reply.digest;
        if state.mismatches.record(same_servers) {
            self.servers_differ.notify_one();
        }
        if newer_document {
            state.learn_version(reply.version, now_ms);
            self.newer_document.notify_one();
        }
    }

    /// Signals [`Self::newer_document`] if `version`, which another host has, is newer than the cached one.
    pub(crate) fn check_document_version(&self, version: u64, now_ms: u64) {
        let mut state = self.state();
        state.learn_version(version, now_ms);
        if state.is_document_outdated() {
            self.newer_document.notify_one();
        }
    }

    /// Whether another host has a newer document than the cached one.
    pub(crate) fn is_document_outdated(&self) -> bool {
        self.state().is_document_outdated()
    }

    /// Marks a server as leaving, as reported by another host or by the server. Returns whether its phase changed.
    pub(crate) fn mark_leaving(&self, incarnation: &Incarnation, now_ms: u64) -> bool {
        let mut state = self.state();
        let changed = state.directory.mark_leaving(incarnation);
        if changed {
            state.recently_leaving.push_back((now_ms, incarnation.clone()));
        }
        changed
    }

    /// Records a server that is leaving or gone according to the store, so that replies list it.
    pub(crate) fn record_leaving(&self, incarnation: Incarnation, now_ms: u64) {
        self.state().recently_leaving.push_back((now_ms, incarnation));
    }

    /// Whether the document and the complete list of servers are known, which serving requests requires.
    pub(crate) fn is_complete(&self) -> bool {
        let state = self.state();
        state.table.is_some() && state.servers_known_since_ms.is_some()
    }

    /// The servers of a service.
    pub(crate) fn servers(&self, service: &name::Service) -> Vec<Arc<Server>> {
        self.state().directory.servers(service).to_vec()
    }

    /// The builds of a service of which this host has known servers in the last `horizon_ms`.
    pub(crate) fn sighting(
        &self,
        service: &name::Service,
        horizon_ms: u64,
        now_ms: u64,
    ) -> Sighting {
        let state = self.state();
        let is_current = now_ms <= state.watermark.servers_ms + MAX_SERVERS_GAP_MS;
        let since_ms = state.servers_known_since_ms.filter(|_| is_current);
        Sighting {
            watched_ms: since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms)),
            builds: state.directory.builds(service, now_ms.saturating_sub(horizon_ms)),
        }
    }

    /// The hosts that keep the origin of the stream of `request`, other than `own`, live ones first; at most `count`.
    pub(crate) fn keepers(
        &self,
        own: &name::Host,
        is_live: impl Fn(&name::Host) -> bool,
        request: &str,
        count: usize,
    ) -> Vec<SocketAddr> {
        self.state().roster.keepers(own, is_live, request, count)
    }

    /// Whether `own` is among the first `count` live hosts that keep a fact about `key`.
    pub(crate) fn is_keeper(
        &self,
        own: &name::Host,
        is_live: impl Fn(&name::Host) -> bool,
        key: &str,
        count: usize,
    ) -> bool {
        self.state().roster.is_keeper(own, is_live, key, count)
    }

    /// The position of `own` among the first hosts that keep a fact about `key`, and the number of live ones among the
    /// first `candidates(listed)`; `None` until the list of entry hosts was read.
    pub(crate) fn standing(
        &self,
        own: &name::Host,
        is_live: impl Fn(&name::Host) -> bool,
        key: &str,
        candidates: impl Fn(usize) -> usize,
    ) -> Option<Standing> {
        let state = self.state();
        let listed = state.hosts_listed.then(|| state.roster.members().len())?;
        Some(state.roster.standing(own, is_live, key, candidates(listed)))
    }

    /// Applies `change` to the directory.
    pub(crate) fn update_directory<R>(&self, change: impl FnOnce(&mut Directory) -> R) -> R {
        change(&mut self.state().directory)
    }

    /// Records that the complete list of servers was read.
    pub(crate) fn mark_servers_listed(&self, now_ms: u64) {
        self.state().servers_known_since_ms.get_or_insert(now_ms);
    }

    /// Number of entry hosts; `None` until the list of entry hosts was read.
    pub(crate) fn host_count(&self) -> Option<usize> {
        let state = self.state();
        state.hosts_listed.then(|| state.roster.members().len())
    }

    /// Addresses of the entry hosts other than `own`.
    pub(crate) fn peers(&self, own: &name::Host) -> Vec<SocketAddr> {
        let state = self.state();
        let others = state.roster.members().iter().filter(|member| member.host != *own);
        others.map(|member| member.address).collect()
    }

    /// Addresses of those of `hosts` that are known.
    pub(crate) fn addresses(&self, hosts: &BTreeSet<name::Host>) -> Vec<SocketAddr> {
        let state = self.state();
        let listed = state.roster.members().iter().filter(|member| hosts.contains(&member.host));
        listed.map(|member| member.address).collect()
    }

    /// The groups of entry hosts and their readers, as seen by `own`.
    pub(crate) fn roster_view(
        &self,
        own: &name::Host,
        is_live: impl Fn(&name::Host) -> bool,
    ) -> View {
        self.state().roster.view(own, is_live)
    }

    /// Adds or updates the address of an entry host. Returns whether it is new or has moved.
    pub(crate) fn put_host(&self, host: name::Host, address: SocketAddr) -> bool {
        self.state().roster.put(host, address)
    }

    /// Records that the list of entry hosts was read.
    pub(crate) fn mark_hosts_listed(&self) {
        self.state().hosts_listed = true;
    }
}

#[cfg(test)]
mod tests;
