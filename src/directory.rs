//! Directory of engines and backend servers, built from their entries in the platform's store.

use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::origin::Origin;
use crate::rate::Pace;
use crate::room::Room;
use crate::{cold, name, suspicion};

/// Time after a store outage in which live servers whose entries expired register again, in milliseconds. The platform
/// states about two seconds.
const REREGISTRATION_GRACE_MS: u64 = 2_300;

/// Time for which incarnations that left are remembered, in milliseconds: longer than the age of the store's copies.
const LEFT_RETENTION_MS: u64 = 120_000;

/// Time after the store came back from an older copy in which its list may have servers that had left before, in
/// milliseconds. Their entries are removed again once these servers have been silent for some seconds.
const GHOST_MS: u64 = 30_000;

/// Time for which a build without servers is remembered, in milliseconds.
const BUILD_RETENTION_MS: u64 = crate::origin::RETENTION_MS;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It finishes its open requests and ends soon.
    Leaving,
}

/// One run of a server process: another process may use the same name later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The server's name.
    pub id: name::Server,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not say.
    pub started_ms: u64,
}

/// A server's own description in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name, unique over all services.
    pub id: name::Server,
    /// The service that it belongs to.
    pub service: name::Service,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// How long it is slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not say.
    pub started_ms: u64,
    /// Version of its software; `None` if it does not say.
    pub build: Option<name::Build>,
    /// Whether it accepts new requests.
    pub phase: Phase,
}

/// A server of the directory. Requests keep a reference to it.
#[derive(Debug)]
pub struct Server {
    /// Its entry when this incarnation was first read.
    pub entry: Entry,
    phase: watch::Sender<Phase>,
    /// How long it stays cold.
    cold: Mutex<cold::State>,
    /// Until when it wants no requests from this host, as it said last.
    wait_until_ms: AtomicU64,
    /// This host's requests, if it names a limit.
    pace: Mutex<Pace>,
    /// The room for this host's requests, if it bears few rejections.
    room: Mutex<Room>,
    /// The requests that it broke off.
    suspicion: Mutex<suspicion::State>,
}

impl Entry {
    /// The server incarnation that this entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_ms: self.started_ms }
    }
}

impl Server {
    /// A server with the given entry.
    pub fn new(entry: Entry) -> Self {
        let phase = watch::Sender::new(entry.phase);
        Self {
            entry,
            phase,
            cold: Mutex::default(),
            wait_until_ms: AtomicU64::new(0),
            pace: Mutex::default(),
            room: Mutex::default(),
            suspicion: Mutex::default(),
        }
    }

    /// Sets `now_ms` as the start of the time for which the server is cold.
    pub fn cold_from(mut self, now_ms: u64) -> Self {
        self.cold = Mutex::new(cold::State::new(self.entry.cold_ms, now_ms));
        self
    }

    /// How long it stays cold.
    pub fn cold(&self) -> MutexGuard<'_, cold::State> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The requests that it broke off.
    pub fn suspicion(&self) -> MutexGuard<'_, suspicion::State> {
        self.suspicion.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        self.cold().is_cold(now_ms)
    }

    /// Version of its software, for logs.
    pub fn build_text(&self) -> Option<&str> {
        self.entry.build.as_ref().map(name::Build::as_str)
    }

    /// This host's requests, for a server that names a limit.
    pub fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The room for this host's requests, if it bears few rejections.
    pub fn room(&self) -> MutexGuard<'_, Room> {
        self.room.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When it takes the next request of this host, after the time that it asked for and by its limit; `None` if it does
    /// now.
    pub fn busy_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.wait_until_ms(now_ms).max(self.pace().until_ms(now_ms))
    }

    /// Records that it wants no requests from this host until `until_ms`. A later response replaces an earlier one.
    pub fn set_wait(&self, until_ms: u64) {
        self.wait_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Until when it wants no requests from this host; `None` if it takes requests.
    pub fn wait_until_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.wait_until_ms.load(Ordering::Relaxed)).filter(|until_ms| *until_ms > now_ms)
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Subscribes to changes of the phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    fn set_phase(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|old| std::mem::replace(old, phase) != phase)
    }
}

/// An incarnation that left.
#[derive(Clone, Debug)]
struct Departure {
    service: name::Service,
    build: Option<name::Build>,
    started_ms: u64,
    at_ms: u64,
    /// Whether it announced that before its entry was removed. Then it never serves again.
    announced: bool,
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server was added.
    Added(name::Server),
    /// A server is leaving or was removed. Either way it accepts no new requests.
    Leaving(Incarnation),
    /// The entry of a known incarnation states again that it is cold.
    ColdAgain(Incarnation),
    /// The entry of a server is missing in or shortly after a store outage. The server is kept for a grace period.
    Missing(name::Server),
}

/// All known servers, by service.
#[derive(Debug, Default)]
pub struct Directory {
    servers: HashMap<name::Server, Arc<Server>>,
    services: HashMap<name::Service, Vec<Arc<Server>>>,
    /// The last incarnation that left under each name.
    left: HashMap<name::Server, Departure>,
    /// Until when listed entries may be those of incarnations that had left before, in milliseconds.
    ghosts_until_ms: u64,
    /// When the last server of a build was removed, by service and build.
    former_builds: HashMap<(name::Service, Option<name::Build>), u64>,
    /// Servers whose entries disappeared during a store outage.
    missing: Vec<name::Server>,
    /// End of the grace period for missing entries, in milliseconds; `None` while the store cannot be read.
    grace_until_ms: Option<u64>,
}

impl Directory {
    /// A directory without servers.
    ///
    /// ```
    /// assert!(nutmeghead::directory::Directory::new().is_empty());
    /// ```
    pub fn new() -> Self {
        Self { grace_until_ms: Some(0), ..Self::default() }
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// A server by its name.
    pub fn server(&self, id: &name::Server) -> Option<&Arc<Server>> {
        self.servers.get(id)
    }

    /// Whether the present server of its name is this incarnation. `false` if it does not say when it started.
    pub fn is_known(&self, incarnation: &Incarnation) -> bool {
        let server = self.servers.get(&incarnation.id).filter(|_| incarnation.started_ms != 0);
        server.is_some_and(|server| server.entry.started_ms == incarnation.started_ms)
    }

    /// Where streams began at the last incarnation before the present one of the server `id`; `None` if there was none, or
    /// if both are alike.
    pub fn former_origin(&self, id: &name::Server) -> Option<Origin> {
        let departure = self.left.get(id)?;
        let (service, build) = (departure.service.clone(), departure.build.clone());
        let present = &self.servers.get(id)?.entry;
        Some(Origin { service, build }).filter(|origin| !origin.matches(present))
    }

    /// The known servers of a service.
    pub fn servers(&self, service: &name::Service) -> &[Arc<Server>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The known servers of a failure domain.
    pub fn servers_in(&self, domain: &name::Domain) -> Vec<Arc<Server>> {
        let servers = self.servers.values().filter(|server| server.entry.domain == *domain);
        servers.cloned().collect()
    }

    /// The builds of a service of which servers were known at `since_ms` or later.
    pub fn builds(&self, service: &name::Service, since_ms: u64) -> BTreeSet<Option<name::Build>> {
        let present = self.servers(service).iter().map(|server| server.entry.build.clone());
        let former = self.former_builds.iter();
        let former = former.filter(|((of, _), at_ms)| of == service && **at_ms >= since_ms);
        present.chain(former.map(|((_, build), _)| build.clone())).collect()
    }

    /// Digest of the incarnations of all servers that accept requests. Hosts that know the same servers have the same
    /// digest.
    pub fn digest(&self) -> u64 {
        let ready = self.servers.values().filter(|server| server.phase() == Phase::Ready);
        // A sum does not depend on the order.
        ready.fold(0, |sum: u64, server| {
            let mut hasher = DefaultHasher::new();
            (&server.entry.id, server.entry.started_ms).hash(&mut hasher);
            sum.wrapping_add(hasher.finish())
        })
    }

    /// Records that the store could not be read.
    pub fn mark_store_lost(&mut self) {
        self.grace_until_ms = None;
    }

    /// Whether the store can be read. Otherwise its entries do not show that a server is leaving.
    pub fn is_store_readable(&self) -> bool {
        self.grace_until_ms.is_some()
    }

    /// Records that the store could be read again, and starts the grace period after an outage.
    pub fn mark_store_recovered(&mut self, now_ms: u64) {
        if self.grace_until_ms.is_none() {
            self.grace_until_ms = Some(now_ms + REREGISTRATION_GRACE_MS);
        }
    }

    /// Records that the store came back from an older copy at `now_ms`: entries written since the copy are missing, and
    /// entries removed since are back.
    pub fn mark_records_lost(&mut self, now_ms: u64) {
        self.grace_until_ms = Some(now_ms + REREGISTRATION_GRACE_MS);
        self.ghosts_until_ms = now_ms + GHOST_MS;
    }

    /// Adds or updates a server from an entry that was received at `now_ms`.
    pub fn put(&mut self, entry: Entry, now_ms: u64) -> Option<Change> {
        self.missing.retain(|id| *id != entry.id);
        if let Some(server) = self.servers.get(&entry.id) {
            let same = server.entry.address == entry.address
                && server.entry.service == entry.service
                && server.entry.build == entry.build
                && server.entry.started_ms == entry.started_ms;
            if same {
                // An incarnation that is leaving never becomes ready again, but an older entry may be read after its
                // notice.
                if entry.started_ms != 0 && server.phase() == Phase::Leaving {
                    return None;
                }
                let changed = server.set_phase(entry.phase);
                let is_cold_again = server.cold().read_entry(entry.cold_ms, now_ms);
                if changed && entry.phase == Phase::Leaving {
                    return Some(Change::Leaving(entry.incarnation()));
                }
                return is_cold_again.then(|| Change::ColdAgain(entry.incarnation()));
            }
            // A new incarnation under the same name does not have the requests of the old one.
            let id = entry.id.clone();
            self.remove(&id, now_ms);
        }
        let departure = self.departure(&entry);
        if departure.is_some_and(|departure| departure.announced) {
            return None;
        }
        let id = entry.id.clone();
        let server = Arc::new(Server::new(entry).cold_from(now_ms));
        self.services.entry(server.entry.service.clone()).or_default().push(Arc::clone(&server));
        self.servers.insert(id.clone(), server);
        Some(Change::Added(id))
    }

    /// Marks a server as leaving, after a notice from another host or from the server itself. Returns whether its phase
    /// changed.
    pub fn mark_leaving(&mut self, incarnation: &Incarnation) -> bool {
        let server = self.servers.get(&incarnation.id);
        let server = server.filter(|server| server.entry.started_ms == incarnation.started_ms);
        server.is_some_and(|server| server.set_phase(Phase::Leaving))
    }

    /// Removes a server whose entry was deleted or can no longer be parsed. A ready server whose entry disappears in or
    /// shortly after a store outage is kept as missing.
    pub fn remove_entry(&mut self, id: &str, now_ms: u64) -> Option<Change> {
        let server = self.servers.get(id)?;
        let id = server.entry.id.clone();
        let in_grace_period = self.grace_until_ms.is_none_or(|until| now_ms < until);
        if in_grace_period && server.phase() == Phase::Ready {
            if !self.missing.contains(&id) {
                self.missing.push(id.clone());
                return Some(Change::Missing(id));
            }
            return None;
        }
        let incarnation = server.entry.incarnation();
        self.remove(&id, now_ms);
        Some(Change::Leaving(incarnation))
    }

    /// Replaces all entries; servers that are not listed are handled as deleted.
    pub fn replace(&mut self, entries: Vec<Entry>, now_ms: u64) -> Vec<Change> {
        let listed: Vec<_> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut deleted: Vec<_> =
            self.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
        deleted.sort_unstable();
        let mut changes: Vec<_> =
            deleted.iter().filter_map(|id| self.remove_entry(id.as_str(), now_ms)).collect();
        for entry in entries {
            // An incarnation whose entry was removed is gone unless it writes the entry again.
            if now_ms >= self.ghosts_until_ms || self.departure(&entry).is_none() {
                changes.extend(self.put(entry, now_ms));
            }
        }
        changes
    }

    /// When and how the incarnation of `entry` left; `None` if it did not, or does not say when it started.
    fn departure(&self, entry: &Entry) -> Option<&Departure> {
        let departure = self.left.get(&entry.id).filter(|_| entry.started_ms != 0)?;
        (departure.started_ms == entry.started_ms).then_some(departure)
    }

    /// Removes servers whose entries are still missing at the end of the grace period.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        if self.missing.is_empty() || self.grace_until_ms.is_none_or(|until| now_ms < until) {
            return Vec::new();
        }
        let missing = std::mem::take(&mut self.missing);
        let incarnations =
            missing.iter().filter_map(|id| Some(self.servers.get(id)?.entry.incarnation()));
        let incarnations: Vec<_> = incarnations.collect();
        incarnations
            .into_iter()
            .filter(|incarnation| self.remove(&incarnation.id, now_ms))
            .map(Change::Leaving)
            .collect()
    }

    /// Removes a server. Holders of a reference see its phase change to leaving.
    fn remove(&mut self, id: &name::Server, now_ms: u64) -> bool {
        let Some(server) = self.servers.remove(id) else { return false };
        self.former_builds.retain(|_, at_ms| *at_ms + BUILD_RETENTION_MS > now_ms);
        let Entry { service, build, .. } = &server.entry;
        self.former_builds.insert((service.clone(), build.clone()), now_ms);
        let announced = !server.set_phase(Phase::Leaving);
        self.left.retain(|_, departure| departure.at_ms + LEFT_RETENTION_MS > now_ms);
        let departure = Departure {
            service: service.clone(),
            build: build.clone(),
            started_ms: server.entry.started_ms,
            at_ms: now_ms,
            announced,
        };
        self.left.insert(id.clone(), departure);
        if let Some(servers) = self.services.get_mut(&server.entry.service) {
            servers.retain(|other| other.entry.id != *id);
        }
        true
    }
}

#[cfg(test)]
mod tests;
