//! What an entry host believes about the platform, and since when.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::directory::{Directory, Incarnation, Server};
use crate::freshness::{Bounds, Purpose};
use crate::name;
use crate::route::Table;
use crate::store_sync::{LEAVING_RETENTION_MS, MismatchCounter, Reply, Update, Watermark};

/// The beliefs of one entry host.
pub(crate) struct Beliefs {
    bounds: Bounds,
    state: Mutex<State>,
    /// Tells that another host has a newer document.
    pub(crate) newer_document: Notify,
    /// Tells that other hosts know other servers.
    pub(crate) other_servers: Notify,
}

/// Questions to other hosts that may still be answered: several times as many as are open at once.
const OPEN_QUESTIONS: usize = 8;

#[derive(Default)]
struct State {
    table: Option<Arc<Table>>,
    /// Up to when the table was the newest, and all entries of servers are known.
    known: Watermark,
    /// Servers that were found to leave, and when.
    left: VecDeque<(u64, Incarnation)>,
    /// Questions to other hosts, and when they were asked.
    questions: VecDeque<(u64, u64)>,
    comparison: MismatchCounter,
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
        let (newer_document, other_servers) = (Notify::new(), Notify::new());
        Self { bounds, state: Mutex::new(state), newer_document, other_servers }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The table, if it is fresh enough for `what`.
    pub(crate) fn current(&self, what: Purpose, now_ms: u64) -> Option<Current> {
        let state = self.state();
        let age_ms = now_ms.saturating_sub(state.known.document_ms);
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

    /// The store proved that the table was the newest at `proven_ms`.
    pub(crate) fn confirm_document(&self, proven_ms: u64) {
        let mut state = self.state();
        state.known.document_ms = state.known.document_ms.max(proven_ms);
    }

    /// The store proved that all entries of servers up to `proven_ms` are known.
    pub(crate) fn confirm_servers(&self, proven_ms: u64) {
        let mut state = self.state();
        state.known.servers_ms = state.known.servers_ms.max(proven_ms);
    }

    /// Up to when everything is known.
    pub(crate) fn known(&self) -> Watermark {
        self.state().known
    }

    /// Begins a question to another host.
    pub(crate) fn ask(&self, now_ms: u64) -> u64 {
        let question = rand::random();
        let mut state = self.state();
        state.questions.push_back((question, now_ms));
        if state.questions.len() > OPEN_QUESTIONS {
            state.questions.pop_front();
        }
        question
    }

    /// What this host can say to others.
    pub(crate) fn statement(&self, now_ms: u64) -> Option<Reply> {
        let mut state = self.state();
        let version = state.table.as_ref().filter(|_| state.listed)?.version;
        while state.left.front().is_some_and(|(at_ms, _)| at_ms + LEAVING_RETENTION_MS < now_ms) {
            state.left.pop_front();
        }
        Some(Reply {
            version,
            document_age_ms: now_ms.saturating_sub(state.known.document_ms),
            servers_age_ms: now_ms.saturating_sub(state.known.servers_ms),
            leaving: state.left.iter().map(|(_, life)| life.clone()).collect(),
            digest: state.directory.digest(),
        })
    }

    /// Takes in what another host says in answer to a question; the servers that it names as leaving were taken in before.
    pub(crate) fn conclude(&self, question: u64, statement: &Reply) {
        let mut state = self.state();
        let asked = state.questions.iter().position(|(asked, _)| *asked == question);
        // An answer that comes twice or to no question proves nothing.
        let Some((_, asked_ms)) = asked.and_then(|index| state.questions.remove(index)) else {
            return;
        };
        let Some(version) = state.table.as_ref().filter(|_| state.listed).map(|t| t.version) else {
            return;
        };
        let Update { watermark: known, newer_document } =
            state.known.apply(statement, version, asked_ms);
        state.known = known;
        let same = state.directory.digest() == statement.digest;
        if state.comparison.record(same) {
            self.other_servers.notify_one();
        }
        if newer_document {
            self.newer_document.notify_one();
        }
    }

    /// Another host has a document of `version`.
    pub(crate) fn hear_of_document(&self, version: u64) {
        if self.state().table.as_ref().is_none_or(|table| table.version < version) {
            self.newer_document.notify_one();
        }
    }

    /// Another host or the server itself says that it leaves. Returns whether that is news.
    pub(crate) fn leave(&self, life: &Incarnation, now_ms: u64) -> bool {
        let mut state = self.state();
        let news = state.directory.mark_leaving(life);
        if news {
            state.left.push_back((now_ms, life.clone()));
        }
        news
    }

    /// A server was found in the store to leave or to be gone.
    pub(crate) fn note_left(&self, life: Incarnation, now_ms: u64) {
        self.state().left.push_back((now_ms, life));
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
