//! The copies that entry hosts make over the links of engines, as they tell each other.
//!
//! Copies queue on the link of their source and on that of their target. A host that knows the copies of the others
//! starts its own when the link becomes free, and chooses a target whose link is free.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::name;

/// Time for which a migration is remembered, in milliseconds: longer than an engine runs after its notice.
const RETENTION_MS: u64 = 10_000;

/// Most remembered migrations; beyond it, new ones are ignored. Some 100 KB.
const MAX_MIGRATIONS: usize = 1_000;

/// How many times the expected duration of a copy others wait for it.
const PATIENCE: u64 = 2;

/// Longest expected duration of a copy that counts, in milliseconds. Messages may be malformed.
const MAX_COPY_MS: u64 = 4_000;

/// Time for the calls and messages of one migration, in milliseconds.
const CALLS_MS: u64 = 50;

/// State of one migration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Its KV cache is copied to `target`.
    Copying {
        /// The engine that receives the copy.
        target: name::Server,
        /// Until when others wait for it, in milliseconds: some copies queue behind others.
        until_ms: u64,
    },
    /// It copies nothing more: the generation has moved, has ended or stays.
    Ended {
        /// When, in milliseconds.
        at_ms: u64,
    },
}

impl Progress {
    /// A copy to `target` that begins at `now_ms` and takes `copy_ms` if no other delays it.
    ///
    /// ```
    /// use nutmeghead::{migration::Progress, name};
    /// let progress = Progress::copying(name::Server::new("e-2")?, 200, 1_000);
    /// assert!(matches!(progress, Progress::Copying { until_ms: 1_400.., .. }));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn copying(target: name::Server, copy_ms: u64, now_ms: u64) -> Self {
        let until_ms = now_ms + PATIENCE * copy_ms.min(MAX_COPY_MS) + CALLS_MS;
        Self::Copying { target, until_ms }
    }
}

/// The migrations of all hosts, by source and request.
#[derive(Debug, Default)]
pub struct Traffic {
    migrations: HashMap<(name::Server, Arc<str>), (Progress, u64)>,
}

impl Traffic {
    /// No migrations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the state of the migration of `request` away from `source`. One that has ended does not begin again.
    ///
    /// ```
    /// use nutmeghead::{migration::{Progress, Traffic}, name};
    /// let (source, target) = (name::Server::new("e-1")?, name::Server::new("e-2")?);
    /// let mut traffic = Traffic::new();
    /// traffic.record(source, "r-1".into(), Progress::copying(target.clone(), 300, 0), 0);
    /// assert!(traffic.receivers(300).contains(&target) && traffic.receivers(900).is_empty());
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn record(
        &mut self,
        source: name::Server,
        request: Arc<str>,
        progress: Progress,
        now_ms: u64,
    ) {
        let is_recent = |_: &_, (_, at_ms): &mut (_, u64)| *at_ms + RETENTION_MS > now_ms;
        self.migrations.retain(is_recent);
        let key = (source, request);
        let known = self.migrations.get(&key).map(|(progress, _)| progress);
        let is_late = matches!(known, Some(Progress::Ended { .. }));
        let has_room = known.is_some() || self.migrations.len() < MAX_MIGRATIONS;
        if !is_late && has_room {
            self.migrations.insert(key, (progress, now_ms));
        }
    }

    /// The state of the migration of `request` away from `source`; `None` if it has not begun to copy.
    pub fn progress(&self, source: &name::Server, request: &Arc<str>) -> Option<&Progress> {
        let key = (source.clone(), Arc::clone(request));
        self.migrations.get(&key).map(|(progress, _)| progress)
    }

    /// Until when copies from `source` occupy its link, in milliseconds; 0 if none does.
    pub fn busy_until_ms(&self, source: &name::Server) -> u64 {
        let of_source = self.migrations.iter().filter(|((from, _), _)| from == source);
        let until_ms = of_source.filter_map(|(_, (progress, _))| match progress {
            Progress::Copying { until_ms, .. } => Some(*until_ms),
            Progress::Ended { .. } => None,
        });
        until_ms.max().unwrap_or(0)
    }

    /// The engines to which copies are in progress.
    pub fn receivers(&self, now_ms: u64) -> BTreeSet<name::Server> {
        let progresses = self.migrations.values().map(|(progress, _)| progress);
        let receivers = progresses.filter_map(|progress| match progress {
            Progress::Copying { target, until_ms } if *until_ms > now_ms => Some(target.clone()),
            _ => None,
        });
        receivers.collect()
    }
}
