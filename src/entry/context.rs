//! What all requests of an entry host share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::Logger;
use tokio::sync::mpsc;

use super::belief::Beliefs;
use super::settings::Settings;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::lifecycle::Control;
use crate::load::{
    Capacity, Choice, MIGRATION_CANDIDATES, MIGRATION_JITTER, MIGRATION_REMOTE_DOMAIN_COST,
    Preference, REMOTE_DOMAIN_COST, REQUEST_JITTER, Requirement, Tracker,
};
use crate::metrics::Instruments;
use crate::name;
use crate::retry::Window;
use crate::route::Table;
use crate::store_sync::{Limits, Rank};

/// Pause after a failed call, while nothing can be served without its answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a failed call for each host of the fleet, and its bound: refused calls are paid for as well, and whoever
/// reaches the store first tells the others.
const RETRY_PAUSE_PER_HOST: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// What all requests of an entry host share.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) beliefs: Arc<Beliefs>,
    pub(crate) control: Arc<Control>,
    pub(crate) instruments: Instruments,
    pub(crate) logger: Logger,
    /// When this host reads the store itself, if it relies on others.
    pub(crate) limits: Limits,
    ledger: Mutex<Tracker>,
    budgets: Mutex<HashMap<name::Service, Window>>,
    /// Engines at which a generation began or ended, which other hosts should know before they place theirs.
    changed: mpsc::Sender<name::Server>,
}

impl Context {
    pub(crate) fn new(
        settings: Settings,
        beliefs: Arc<Beliefs>,
        control: Arc<Control>,
        instruments: Instruments,
        logger: Logger,
        changed: mpsc::Sender<name::Server>,
    ) -> Self {
        let limits = Limits::new(settings.bounds.leaving, settings.bounds.configuration);
        Self {
            limits,
            settings,
            beliefs,
            control,
            instruments,
            logger,
            ledger: Mutex::default(),
            budgets: Mutex::default(),
            changed,
        }
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Tracker> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This host's place among those that hear each other.
    pub(crate) fn rank(&self) -> Rank {
        self.ledger().rank(&self.settings.host, boot_ms())
    }

    /// Pause after a failed call to the store.
    pub(crate) fn retry_pause(&self) -> Duration {
        if !self.beliefs.complete() {
            return RETRY_PAUSE;
        }
        let hosts = u32::try_from(self.rank().count).unwrap_or(u32::MAX);
        (RETRY_PAUSE_PER_HOST * hosts).clamp(RETRY_PAUSE, MAX_RETRY_PAUSE)
    }

    /// The server for a request.
    pub(crate) fn choose(
        &self,
        table: &Table,
        service: &name::Service,
        excluded: &[name::Server],
        need: Requirement,
    ) -> Option<Choice> {
        let domain = &self.settings.domain;
        let preference = Preference {
            domain,
            remote_cost: REMOTE_DOMAIN_COST,
            jitter: REQUEST_JITTER,
            max_candidates: usize::MAX,
            seed: rand::random(),
        };
        self.choose_by(table, service, excluded, need, preference)
    }

    /// The engine for a running generation that leaves an engine in `domain`.
    pub(crate) fn choose_target(
        &self,
        table: &Table,
        service: &name::Service,
        excluded: &[name::Server],
        need: Requirement,
        domain: &name::Domain,
    ) -> Option<Choice> {
        let preference = Preference {
            domain,
            remote_cost: MIGRATION_REMOTE_DOMAIN_COST,
            jitter: MIGRATION_JITTER,
            max_candidates: MIGRATION_CANDIDATES,
            seed: rand::random(),
        };
        self.choose_by(table, service, excluded, need, preference)
    }

    fn choose_by(
        &self,
        table: &Table,
        service: &name::Service,
        excluded: &[name::Server],
        need: Requirement,
        preference: Preference<'_>,
    ) -> Option<Choice> {
        let servers = self.beliefs.servers(service);
        let pool = table.pool(service);
        let capacity = |server: &Server| match pool {
            Some(pool) => Capacity { requests: pool.batch, tokens: pool.memory_tokens },
            None => Capacity { requests: server.entry.slots, tokens: 0 },
        };
        self.ledger().choose(&servers, excluded, capacity, need, preference, boot_ms())
    }

    /// Counts a request against the load of `server` until the result is dropped.
    pub(crate) fn occupy(
        self: &Arc<Self>,
        server: &Arc<Server>,
        tokens: u64,
        unread: u64,
    ) -> Place {
        self.ledger().begin(&server.entry.id, tokens, unread);
        self.tell_change(server, tokens);
        Place { context: Arc::clone(self), server: Arc::clone(server), tokens, unread }
    }

    /// Lets the other hosts know that a request of `tokens` began or ended; those without tokens are too short for that.
    fn tell_change(&self, server: &Server, tokens: u64) {
        // The next message that states everything makes up for a full queue.
        if tokens > 0 && self.changed.try_send(server.entry.id.clone()).is_err() {
            self.instruments.act("change_untold");
        }
    }

    /// Counts a request for a service.
    pub(crate) fn earn(&self, service: &name::Service) {
        self.with_budget(service, |budget| budget.count_request(boot_ms()));
    }

    /// Takes a retry at a service, if one is left.
    pub(crate) fn spend(&self, service: &name::Service) -> bool {
        let hosts = self.beliefs.host_count();
        self.with_budget(service, |budget| budget.try_retry(boot_ms(), hosts))
    }

    /// Counts a further attempt at a service that is made in any case.
    pub(crate) fn charge(&self, service: &name::Service) {
        self.with_budget(service, |budget| budget.count_retry(boot_ms()));
    }

    fn with_budget<R>(&self, service: &name::Service, act: impl FnOnce(&mut Window) -> R) -> R {
        let bounds = &self.settings.bounds;
        let new = || {
            let window_ms = bounds.retry_window.as_millis() as u64;
            Window::new(bounds.retry_share, bounds.retry_allowance, window_ms)
        };
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        act(budgets.entry(service.clone()).or_insert_with(new))
    }
}

/// A request that counts against the load of a server.
pub(crate) struct Place {
    context: Arc<Context>,
    pub(crate) server: Arc<Server>,
    tokens: u64,
    /// Tokens of its prompt that are not read yet.
    unread: u64,
}

impl Place {
    /// The generation has made `tokens` more.
    pub(crate) fn grow(&mut self, tokens: u64) {
        self.tokens += tokens;
        self.context.ledger().grow(&self.server.entry.id, tokens);
    }

    /// The prompt was read.
    pub(crate) fn read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.context.ledger().end_prefill(&self.server.entry.id, unread);
        }
    }

    /// Tokens that the request counts for.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.context.ledger().end(&self.server.entry.id, self.tokens, self.unread);
        self.context.tell_change(&self.server, self.tokens);
    }
}

/// The time left of `allowed` since `start_ms`.
pub(crate) fn time_left(start_ms: u64, allowed: Duration) -> Duration {
    allowed.saturating_sub(Duration::from_millis(boot_ms().saturating_sub(start_ms)))
}
