//! The engines and backend servers that may get work, as the platform's store names them.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::name;

/// Time after the return of the store in which live servers that lapsed with the outage write their entries again, in
/// milliseconds. The platform states about two seconds.
const RETURN_ALLOWANCE_MS: u64 = 2_300;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes new work.
    Ready,
    /// It finishes what it has and ends soon.
    Leaving,
}

/// One life of a server: the same name may stand for another process later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The server's name.
    pub id: name::Server,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not say.
    pub started_ms: u64,
}

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name, unique over all services.
    pub id: name::Server,
    /// The service that it belongs to.
    pub service: name::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long it is still slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not say.
    pub started_ms: u64,
    /// Whether it takes new work.
    pub phase: Phase,
}

/// A server, for as long as a request holds it.
#[derive(Debug)]
pub struct Server {
    /// What it said when it was first seen in this life.
    pub entry: Entry,
    phase: watch::Sender<Phase>,
    /// When it is no longer slow.
    warm_at_ms: u64,
}

impl Entry {
    /// Which life of the server it speaks of.
    pub fn life(&self) -> Life {
        Life { id: self.id.clone(), started_ms: self.started_ms }
    }
}

impl Server {
    /// A server as its entry states it.
    pub fn new(entry: Entry) -> Self {
        let phase = watch::Sender::new(entry.phase);
        Self { entry, phase, warm_at_ms: 0 }
    }

    /// The same server, which was slow after its start when it said so at `now_ms`.
    pub fn with_entry_at(mut self, now_ms: u64) -> Self {
        self.warm_at_ms = now_ms + self.entry.cold_ms;
        self
    }

    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.warm_at_ms
    }

    /// Whether it takes new work now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Tells of each change of phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    fn set_phase(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|old| std::mem::replace(old, phase) != phase)
    }
}

/// A change of the directory, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server was added.
    Added(name::Server),
    /// A server takes no new work from now on.
    Leaving(Life),
    /// The entry of a server is missing; it is kept until the store has been back for a while.
    Missing(name::Server),
}

/// All known servers, by service.
#[derive(Debug, Default)]
pub struct Directory {
    servers: HashMap<name::Server, Arc<Server>>,
    services: HashMap<name::Service, Vec<Arc<Server>>>,
    /// Entries that vanished with an outage of the store.
    missing: Vec<name::Server>,
    /// Until when vanished entries may come back, in milliseconds; `None` while the store cannot be read.
    grace_until: Option<u64>,
}

impl Directory {
    /// A directory without servers.
    ///
    /// ```
    /// assert!(nutmeghead::directory::Directory::new().is_empty());
    /// ```
    pub fn new() -> Self {
        Self { grace_until: Some(0), ..Self::default() }
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// A server by its name.
    pub fn server(&self, id: &name::Server) -> Option<&Arc<Server>> {
        self.servers.get(id)
    }

    /// The servers of a service that are not known to have gone.
    pub fn servers(&self, service: &name::Service) -> &[Arc<Server>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Stands for the names of all servers that take work: two hosts that know the same ones have the same digest.
    pub fn digest(&self) -> u64 {
        let ready = self.servers.values().filter(|server| server.phase() == Phase::Ready);
        // Order does not matter to a sum.
        ready.fold(0, |sum: u64, server| {
            let mut hasher = DefaultHasher::new();
            (&server.entry.id, server.entry.started_ms).hash(&mut hasher);
            sum.wrapping_add(hasher.finish())
        })
    }

    /// The store could not be read.
    pub fn lost_store(&mut self) {
        self.grace_until = None;
    }

    /// Whether the store can be read, so that notices of leaving arrive.
    pub fn hears_store(&self) -> bool {
        self.grace_until.is_some()
    }

    /// The store could be read again after a failure.
    pub fn regained_store(&mut self, now_ms: u64) {
        if self.grace_until.is_none() {
            self.grace_until = Some(now_ms + RETURN_ALLOWANCE_MS);
        }
    }

    /// Takes in an entry that was heard of at `now_ms`.
    pub fn put(&mut self, entry: Entry, now_ms: u64) -> Option<Change> {
        self.missing.retain(|id| *id != entry.id);
        if let Some(server) = self.servers.get(&entry.id) {
            let same = server.entry.address == entry.address
                && server.entry.service == entry.service
                && server.entry.started_ms == entry.started_ms;
            if same {
                // A server that leaves does not come back in the same life; an older entry may be read after its notice.
                if entry.started_ms != 0 && server.phase() == Phase::Leaving {
                    return None;
                }
                let changed = server.set_phase(entry.phase);
                return (changed && entry.phase == Phase::Leaving)
                    .then_some(Change::Leaving(entry.life()));
            }
            // A new life under the same name knows nothing of the work of the old one.
            let id = entry.id.clone();
            self.remove(&id);
        }
        let id = entry.id.clone();
        let server = Arc::new(Server::new(entry).with_entry_at(now_ms));
        self.services.entry(server.entry.service.clone()).or_default().push(Arc::clone(&server));
        self.servers.insert(id.clone(), server);
        Some(Change::Added(id))
    }

    /// Another host read in the store that a server leaves, or it says so itself. Returns whether that is news.
    pub fn leave(&mut self, life: &Life) -> bool {
        let server = self.servers.get(&life.id);
        let server = server.filter(|server| server.entry.started_ms == life.started_ms);
        server.is_some_and(|server| server.set_phase(Phase::Leaving))
    }

    /// The entry of a server is gone, or can no longer be read.
    pub fn drop_entry(&mut self, id: &str, now_ms: u64) -> Option<Change> {
        let server = self.servers.get(id)?;
        let id = server.entry.id.clone();
        let lapsed_with_store = self.grace_until.is_none_or(|until| now_ms < until);
        if lapsed_with_store && server.phase() == Phase::Ready {
            if !self.missing.contains(&id) {
                self.missing.push(id.clone());
                return Some(Change::Missing(id));
            }
            return None;
        }
        let life = server.entry.life();
        self.remove(&id);
        Some(Change::Leaving(life))
    }

    /// Takes in all entries there are: whatever is not among them is gone.
    pub fn replace(&mut self, entries: Vec<Entry>, now_ms: u64) -> Vec<Change> {
        let listed: Vec<_> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut gone: Vec<_> =
            self.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
        gone.sort_unstable();
        let mut changes: Vec<_> =
            gone.iter().filter_map(|id| self.drop_entry(id.as_str(), now_ms)).collect();
        changes.extend(entries.into_iter().filter_map(|entry| self.put(entry, now_ms)));
        changes
    }

    /// Removes servers whose entries did not come back in time after an outage.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        if self.missing.is_empty() || self.grace_until.is_none_or(|until| now_ms < until) {
            return Vec::new();
        }
        let missing = std::mem::take(&mut self.missing);
        let lives = missing.iter().filter_map(|id| Some(self.servers.get(id)?.entry.life()));
        let lives: Vec<_> = lives.collect();
        lives.into_iter().filter(|life| self.remove(&life.id)).map(Change::Leaving).collect()
    }

    /// Forgets a server; whoever holds it sees that it leaves.
    fn remove(&mut self, id: &name::Server) -> bool {
        let Some(server) = self.servers.remove(id) else { return false };
        server.set_phase(Phase::Leaving);
        if let Some(servers) = self.services.get_mut(&server.entry.service) {
            servers.retain(|other| other.entry.id != *id);
        }
        true
    }
}

#[cfg(test)]
mod tests;
