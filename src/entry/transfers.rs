//! Tells the other entry hosts which KV caches this host copies, and records what they tell.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::broadcast::Message;
use super::context::Context;
use crate::clock::boot_ms;
use crate::directory::{Phase, Server};
use crate::migration::{Progress, Traffic, Turn};
use crate::name;

/// State of a migration, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Transfer {
    source: name::Server,
    request: String,
    /// The engine that receives the copy, and the expected duration in milliseconds; `None` once the migration has ended.
    copy: Option<(name::Server, u64)>,
}

impl Transfer {
    fn progress(&self, now_ms: u64) -> Progress {
        match &self.copy {
            Some((target, copy_ms)) => Progress::copying(target.clone(), *copy_ms, now_ms),
            None => Progress::Ended { at_ms: now_ms },
        }
    }
}

/// The migrations of all hosts that this host knows.
#[derive(Default)]
pub(crate) struct Transfers {
    traffic: Mutex<Traffic>,
    changed: watch::Sender<()>,
}

impl Transfers {
    pub(crate) fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, transfer: &Transfer) {
        let now_ms = boot_ms();
        let (source, request) = (transfer.source.clone(), transfer.request.as_str().into());
        self.traffic().record(source, request, transfer.progress(now_ms), now_ms);
        self.changed.send_replace(());
    }

    /// Waits until the generations before `turn` have moved or should have. Returns of how many of them nothing was heard.
    pub(crate) async fn wait(&self, turn: &Turn) -> usize {
        let mut changes = self.changed.subscribe();
        loop {
            let starts_at_ms = turn.starts_at_ms(&self.traffic());
            let wait_ms = starts_at_ms.saturating_sub(boot_ms());
            if wait_ms == 0 {
                return turn.silent(&self.traffic());
            }
            // The sender lives as long as `self`.
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms), changes.changed()).await;
        }
    }
}

/// Records what another host told.
pub(crate) fn receive(context: &Context, transfer: &Transfer) {
    context.transfers.record(transfer);
}

/// The migration of one generation away from a leaving engine. Tells the other hosts that it has ended when dropped.
pub(crate) struct Announcement {
    context: Arc<Context>,
    source: Arc<Server>,
    request: Arc<str>,
}

impl Announcement {
    pub(crate) fn new(context: &Arc<Context>, source: &Arc<Server>, request: &Arc<str>) -> Self {
        let (context, source, request) =
            (Arc::clone(context), Arc::clone(source), Arc::clone(request));
        Self { context, source, request }
    }

    /// Tells that a copy to `target` begins, which takes `duration` if the links are free.
    pub(crate) fn begin(&self, target: &name::Server, duration: Duration) {
        self.announce(Some((target.clone(), duration.as_millis() as u64)));
    }

    fn announce(&self, copy: Option<(name::Server, u64)>) {
        let (source, request) = (self.source.entry.id.clone(), self.request.to_string());
        let transfer = Transfer { source, request, copy };
        self.context.transfers.record(&transfer);
        let receivers = self.context.addresses(&self.concerned_hosts());
        self.context.send(receivers, Message::Transfer(transfer));
    }

    /// The hosts that have requests at this source or at another leaving engine of the service.
    fn concerned_hosts(&self) -> BTreeSet<name::Host> {
        let mut engines = self.context.cache.servers(&self.source.entry.service);
        engines.retain(|engine| engine.phase() == Phase::Leaving);
        // An engine that leaves without notice is not listed any more.
        engines.push(Arc::clone(&self.source));
        let (tracker, now_ms) = (self.context.tracker(), boot_ms());
        engines.iter().flat_map(|engine| tracker.other_holders(&engine.entry.id, now_ms)).collect()
    }
}

impl Drop for Announcement {
    fn drop(&mut self) {
        self.announce(None);
    }
}
