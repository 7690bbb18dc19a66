//! Where resumable streams began: at which service, and at which build of its engines.
//!
//! Events of several builds cannot be combined, so a stream continues only at the build that began it, also when its
//! caller resumes it at another host. The host that forwards the first event of a stream therefore sends the origin to
//! a few other hosts, its keepers, which every host derives from the request id. A host that does not know the origin
//! of a stream queries them; see [`Inquiry`].

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::directory::Entry;
use crate::name;

#[cfg(test)]
mod tests;

/// Time for which an origin is remembered, in milliseconds: more than twice the longest time that callers wait for a
/// stream, so that they can resume it more than once.
pub const RETENTION_MS: u64 = 90_000;

/// Most remembered origins; the oldest are removed first. Some 3 MB.
const MAX_ORIGINS: usize = 20_000;

/// Longest request id that is remembered, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Time after a host read the new entry of a server that started again in which other hosts may not have read it, in
/// milliseconds.
const DOUBT_MS: u64 = 10_000;

/// Most doubts at a time: servers of a service that start again within [`DOUBT_MS`].
const MAX_DOUBTS: usize = 256;

/// Hosts to which the origin of a stream is sent. With 60 in 100 hosts killed at once, one of them survives in seven of
/// eight cases.
pub const KEEPERS: usize = 4;

/// Hosts that are queried for an origin. More than [`KEEPERS`], because hosts do not agree exactly on which others are
/// live.
pub const QUERIED_HOSTS: usize = 2 * KEEPERS;

/// The service and the build of the engine that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The service of the engine.
    pub service: name::Service,
    /// The build of the engine; `None` if it does not say.
    pub build: Option<name::Build>,
}

impl Origin {
    /// Whether the server with this entry can continue the stream.
    pub fn matches(&self, entry: &Entry) -> bool {
        self.service == entry.service && self.build == entry.build
    }
}

impl From<&Entry> for Origin {
    fn from(entry: &Entry) -> Self {
        Self { service: entry.service.clone(), build: entry.build.clone() }
    }
}

/// Streams that may have begun at another build than their host believed: a server started again under its name with
/// another build, and hosts send requests there before they read its new entry.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Doubt {
    /// What the hosts believed.
    origin: Origin,
    /// When the server started again, in milliseconds.
    since_ms: u64,
    /// Until when a host may not know that, in milliseconds.
    until_ms: u64,
}

/// The origins that a host remembers, by the id of the request that brought the first event of the stream.
#[derive(Debug, Default)]
pub struct Table {
    origins: HashMap<Arc<str>, (u64, Origin)>,
    /// The remembered requests, in the order in which they were added.
    order: VecDeque<Arc<str>>,
    doubts: Vec<Doubt>,
}

impl Table {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Remembers the origin of the stream of `request`, which began `age_ms` ago. The origin of a stream never changes,
    /// so a known one is kept.
    ///
    /// ```
    /// use nutmeghead::{name, origin::{Origin, RETENTION_MS, Table}};
    /// let mut table = Table::new();
    /// let origin = Origin { service: name::Service::new("pool")?, build: None };
    /// table.insert("r-1".into(), origin.clone(), 100, 5_000);
    /// assert_eq!(table.get("r-1", 5_000), Some(&origin));
    /// assert_eq!(table.get("r-1", 5_000 + RETENTION_MS), None);
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn insert(&mut self, request: Arc<str>, origin: Origin, age_ms: u64, now_ms: u64) {
        self.expire(now_ms);
        let began_ms = now_ms.saturating_sub(age_ms);
        if request.len() > MAX_ID_BYTES
            || age_ms >= RETENTION_MS
            || self.origins.contains_key(&request)
            || self.is_doubtful(&origin, began_ms)
        {
            return;
        }
        if self.order.len() == MAX_ORIGINS {
            self.remove_oldest();
        }
        self.order.push_back(Arc::clone(&request));
        self.origins.insert(request, (began_ms, origin));
    }

    /// Forgets the streams of `origin` that began at `since_ms` or later: one of its servers has started again with another
    /// build since. Those that other hosts report shortly afterwards are ignored.
    pub fn doubt(&mut self, origin: Origin, since_ms: u64, now_ms: u64) {
        self.doubts.retain(|doubt| doubt.until_ms > now_ms);
        self.origins.retain(|_, (began_ms, known)| *known != origin || *began_ms < since_ms);
        let origins = &self.origins;
        self.order.retain(|request| origins.contains_key(request));
        if self.doubts.len() < MAX_DOUBTS {
            self.doubts.push(Doubt { origin, since_ms, until_ms: now_ms + DOUBT_MS });
        }
    }

    fn is_doubtful(&self, origin: &Origin, began_ms: u64) -> bool {
        let is_doubtful = |doubt: &Doubt| {
            doubt.origin == *origin && (doubt.since_ms..doubt.until_ms).contains(&began_ms)
        };
        self.doubts.iter().any(is_doubtful)
    }

    /// The origin of the stream that `request` began.
    pub fn get(&self, request: &str, now_ms: u64) -> Option<&Origin> {
        let (began_ms, origin) = self.origins.get(request)?;
        (now_ms.saturating_sub(*began_ms) < RETENTION_MS).then_some(origin)
    }

    /// All remembered requests with their origins and ages in milliseconds.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&Arc<str>, &Origin, u64)> {
        let records = self.origins.iter();
        records.map(move |(request, (began_ms, origin))| {
            (request, origin, now_ms.saturating_sub(*began_ms))
        })
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some(oldest) = self.order.front() {
            if self.get(oldest, now_ms).is_some() {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.origins.remove(&oldest);
        }
    }
}

/// The builds of a service of which a host has seen servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// Time for which the host has known the servers, in milliseconds.
    pub watched_ms: u64,
    /// The builds during that time, or during the horizon of the inquiry if that is shorter.
    pub builds: BTreeSet<Option<name::Build>>,
}

/// The search for the origin of a stream that this host does not know.
///
/// If no host knows it, the origin is inferred only if the stream cannot have begun at more than one build: a host has
/// seen the servers for at least as long as callers resume a stream, and none saw a second build. A host to which none of
/// the queried ones replies infers nothing: it may be cut off from them, or have been suspended, while engines of another
/// build joined.
#[derive(Debug)]
pub struct Inquiry {
    horizon_ms: u64,
    /// Hosts whose reply is awaited.
    awaited: usize,
    /// Whether other hosts were queried and none has replied.
    is_apart: bool,
    known: Option<Origin>,
    sighting: Sighting,
}

impl Inquiry {
    /// An inquiry of `awaited` hosts. No stream is older than `horizon_ms`; `own` is what this host has seen.
    ///
    /// ```
    /// use nutmeghead::{name, origin::{Inquiry, Sighting}};
    /// let service = name::Service::new("pool")?;
    /// let own = Sighting { watched_ms: 9_000, builds: [Some(name::Build::new("v1")?)].into() };
    /// let inquiry = Inquiry::new(0, 5_000, own);
    /// assert!(inquiry.is_settled() && inquiry.conclude(&service).is_some());
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn new(awaited: usize, horizon_ms: u64, own: Sighting) -> Self {
        Self { horizon_ms, awaited, is_apart: awaited > 0, known: None, sighting: own }
    }

    /// Records the reply of one host.
    pub fn record(&mut self, known: Option<Origin>, sighting: Sighting) {
        self.awaited = self.awaited.saturating_sub(1);
        self.is_apart = false;
        self.known = self.known.take().or(known);
        self.sighting.watched_ms = self.sighting.watched_ms.max(sighting.watched_ms);
        self.sighting.builds.extend(sighting.builds);
    }

    /// Whether further replies cannot change the conclusion.
    pub fn is_settled(&self) -> bool {
        self.known.is_some() || self.awaited == 0
    }

    /// The origin of the stream, which is resumed at `service`; `None` if it cannot be determined.
    pub fn conclude(self, service: &name::Service) -> Option<Origin> {
        if self.known.is_some() {
            return self.known;
        }
        let Sighting { watched_ms, builds } = self.sighting;
        if self.is_apart || watched_ms < self.horizon_ms || builds.len() != 1 {
            return None;
        }
        let build = builds.into_iter().next()?;
        Some(Origin { service: service.clone(), build })
    }
}
