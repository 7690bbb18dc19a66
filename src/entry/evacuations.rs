//! Evacuations of failure domains: takes them from the store and from other hosts, and applies them to this host.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slog::{info, warn};
use tokio::sync::{mpsc, watch};

use super::broadcast::{Message, Notice, Origin, notify_hosts};
use super::context::Context;
use super::request::Continuation;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::evacuation::{Changes, Queue, Revision, Snapshot, State};
use crate::name;
use crate::platform::evacuation;
use crate::platform::store::Record;

/// The evacuations that this host knows. They belong to the domains, not to the servers: a new incarnation in an
/// evacuated domain gets no requests either.
pub(crate) struct Evacuations {
    state: Mutex<State>,
    queue: Mutex<Queue>,
    /// The evacuated domains.
    domains: watch::Sender<Arc<BTreeSet<name::Domain>>>,
}

impl Default for Evacuations {
    fn default() -> Self {
        let domains = watch::Sender::new(Arc::default());
        Self { state: Mutex::default(), queue: Mutex::default(), domains }
    }
}

impl Evacuations {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The generations of this host that wait to be moved.
    pub(crate) fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to changes of the evacuated domains.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<BTreeSet<name::Domain>>> {
        self.domains.subscribe()
    }

    /// Whether the servers of `domain` get nothing more.
    pub(crate) fn is_evacuated(&self, domain: &name::Domain) -> bool {
        self.state().is_evacuated(domain)
    }

    /// Whether a domain is evacuated.
    pub(crate) fn is_active(&self) -> bool {
        !self.domains.borrow().is_empty()
    }

    /// When this host learnt that `domain` is evacuated, in milliseconds; `None` if it is not.
    pub(crate) fn since_ms(&self, domain: &name::Domain) -> Option<u64> {
        self.state().since_ms(domain)
    }
}

/// Whether a request may be sent to `server`, which may be in an evacuated domain. A generation that was stopped for a
/// move may continue at its source for a short time after the evacuation was learnt.
pub(crate) fn may_send(
    context: &Context,
    server: &Server,
    continuation: Option<&Continuation>,
    now_ms: u64,
) -> bool {
    let kv_cache = continuation.and_then(|continuation| continuation.kv_cache.as_ref());
    let is_source = kv_cache.is_some_and(|kv_cache| kv_cache.source == server.entry.address);
    let state = context.evacuations.state();
    let domain = &server.entry.domain;
    !state.is_evacuated(domain) || (is_source && state.may_continue(domain, now_ms))
}

/// Applies the records of the document's topic that concern evacuations, up to `revision`.
pub(crate) fn apply_records(
    context: &Context,
    notices: &mpsc::Sender<Notice>,
    records: &[Record],
    complete: bool,
    revision: Revision,
) {
    let mut parsed = Vec::new();
    for record in records {
        match evacuation::parse(&record.key, record.value.is_some()) {
            Some(Ok(record)) => parsed.push(record),
            Some(Err(error)) => {
                context.instruments.count_action("evacuation_rejected");
                warn!(context.logger, "evacuation rejected"; "key" => &record.key,
                    "error" => error.to_string());
            }
            None => {}
        }
    }
    let changes = context.evacuations.state().apply(parsed, complete, revision, boot_ms());
    if changes.ignored > 0 {
        context.instruments.count_action("evacuation_rejected");
        warn!(context.logger, "too many evacuated domains"; "ignored" => changes.ignored);
    }
    handle_changes(context, &changes, "store");
    if changes.is_news {
        notify(context, notices, Origin::Store);
    }
}

/// Applies what another host knows, and forwards it if it is news.
pub(crate) fn receive(context: &Context, notices: &mpsc::Sender<Notice>, snapshot: Snapshot) {
    let changes = context.evacuations.state().merge(snapshot, boot_ms());
    handle_changes(context, &changes, "host");
    if changes.is_news {
        notify(context, notices, Origin::Host);
    }
}

/// Ends evacuations whose records the store lost and the operator did not write again.
pub(crate) fn expire(context: &Context) {
    let changes = context.evacuations.state().expire(boot_ms());
    handle_changes(context, &changes, "expiry");
}

/// What this host knows, for another one; `None` if no domain has been evacuated yet.
pub(crate) fn message(context: &Context) -> Option<Message> {
    context.evacuations.state().snapshot(boot_ms()).map(Message::Evacuations)
}

fn notify(context: &Context, notices: &mpsc::Sender<Notice>, origin: Origin) {
    if let Some(message) = message(context) {
        notify_hosts(context, notices, Notice { message, origin });
    }
}

fn handle_changes(context: &Context, changes: &Changes, source: &'static str) {
    let Changes { begun, ended, .. } = changes;
    if begun.is_empty() && ended.is_empty() {
        return;
    }
    // Before a request is sent there: the engines of the domain are cold now.
    ended.iter().for_each(|domain| context.mark_domain_cold(domain));
    let domains = context.evacuations.state().domains();
    context.tracker().set_evacuated(domains.clone());
    context.evacuations.domains.send_replace(Arc::new(domains));
    for domain in begun {
        context.instruments.count_action("evacuation_begun");
        info!(context.logger, "evacuation began"; "domain" => domain.as_str(), "source" => source);
    }
    for domain in ended {
        context.instruments.count_action("evacuation_ended");
        info!(context.logger, "evacuation ended"; "domain" => domain.as_str(), "source" => source);
    }
}

#[cfg(test)]
mod tests;
