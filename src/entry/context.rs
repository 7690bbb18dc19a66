//! State that all requests of an entry host share.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::Logger;
use tokio::sync::mpsc;

use super::broadcast::{Envelope, Message};
use super::cache::Cache;
use super::evacuations::Evacuations;
use super::homes::Constraint;
use super::memory::Account;
use super::origins::Origins;
use super::server_limit;
use super::settings::Settings;
use super::transfers::Transfers;
use crate::clock::boot_ms;
use crate::cold::Standing;
use crate::directory::{Phase, Server};
use crate::homes;
use crate::lifecycle::Control;
use crate::links;
use crate::load::{
    self, Capacity, Choice, MIGRATION_CANDIDATES, MIGRATION_JITTER, MIGRATION_REMOTE_DOMAIN_COST,
    Preference, REMOTE_DOMAIN_COST, REQUEST_JITTER, Requirement, Tracker,
};
use crate::metrics::Instruments;
use crate::name;
use crate::quarantine;
use crate::retry::SharedBudget;
use crate::roster::View;
use crate::route::Table;
use crate::store_sync::Limits;

/// Shortest delay after a failed call to the store; always used until the host can serve requests.
const MIN_STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Delay after a failed call to the store, per entry host. Refused calls cost money as well, and the first host that
/// reaches the store notifies the others.
const STORE_RETRY_DELAY_PER_HOST: Duration = Duration::from_millis(100);

/// Upper bound of the delay after a failed call to the store.
const MAX_STORE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// State that all requests of an entry host share.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) cache: Arc<Cache>,
    pub(crate) control: Arc<Control>,
    pub(crate) instruments: Instruments,
    pub(crate) logger: Logger,
    /// When this host started, in milliseconds.
    pub(crate) started_ms: u64,
    /// Ages of cached state above which this host reads the store itself instead of querying other hosts.
    pub(crate) store_read_limits: Limits,
    tracker: Mutex<Tracker>,
    budgets: Mutex<HashMap<name::Service, SharedBudget>>,
    pub(crate) origins: Origins,
    pub(crate) transfers: Transfers,
    quarantine: Mutex<quarantine::Table>,
    links: Mutex<links::State>,
    pub(crate) evacuations: Evacuations,
    host_regions: Mutex<homes::Hosts>,
    /// Bytes held for callers.
    pub(crate) memory: Arc<Account>,
    /// Queue of messages for other hosts.
    outbox: mpsc::Sender<Envelope>,
    /// Queue of engines at which a generation started or ended, which are reported to the other hosts.
    load_changes: mpsc::Sender<name::Server>,
}

impl Context {
    pub(crate) fn new(
        settings: Settings,
        cache: Arc<Cache>,
        control: Arc<Control>,
        instruments: Instruments,
        logger: Logger,
        load_changes: mpsc::Sender<name::Server>,
        outbox: mpsc::Sender<Envelope>,
    ) -> Self {
        let mut store_read_limits =
            Limits::new(settings.bounds.leaving, settings.bounds.configuration);
        if let Some(evacuation) = settings.bounds.evacuation {
            store_read_limits = store_read_limits.with_evacuation(evacuation);
        }
        let memory = Arc::new(Account::new(settings.memory_bytes));
        Self {
            store_read_limits,
            settings,
            cache,
            control,
            instruments,
            logger,
            started_ms: boot_ms(),
            tracker: Mutex::default(),
            budgets: Mutex::default(),
            origins: Origins::default(),
            transfers: Transfers::default(),
            quarantine: Mutex::default(),
            links: Mutex::default(),
            evacuations: Evacuations::default(),
            host_regions: Mutex::default(),
            memory,
            outbox,
            load_changes,
        }
    }

    pub(crate) fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, quarantine::Table> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn links(&self) -> MutexGuard<'_, links::State> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The regions of other hosts.
    pub(crate) fn host_regions(&self) -> MutexGuard<'_, homes::Hosts> {
        self.host_regions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this host is among the first `count` live hosts that keep a fact about `key`.
    pub(crate) fn is_keeper(&self, key: &str, count: usize) -> bool {
        let (tracker, now_ms) = (self.tracker(), boot_ms());
        let is_live = |host: &name::Host| tracker.is_live(host, now_ms);
        self.cache.is_keeper(&self.settings.host, is_live, key, count)
    }

    /// The position of this host among those that keep a fact about `key`, see [`Cache::standing`].
    pub(crate) fn standing(
        &self,
        key: &str,
        candidates: impl Fn(usize) -> usize,
    ) -> Option<Standing> {
        let (tracker, now_ms) = (self.tracker(), boot_ms());
        let is_live = |host: &name::Host| tracker.is_live(host, now_ms);
        self.cache.standing(&self.settings.host, is_live, key, candidates)
    }

    /// The groups of entry hosts and their readers, as seen by this host.
    pub(crate) fn roster_view(&self) -> View {
        let (tracker, now_ms) = (self.tracker(), boot_ms());
        self.cache.roster_view(&self.settings.host, |host| tracker.is_live(host, now_ms))
    }

    /// Queues a message for other hosts. If the queue is full, it is dropped like a lost datagram.
    pub(crate) fn send(&self, receivers: Vec<SocketAddr>, message: Message) {
        if !receivers.is_empty() && self.outbox.try_send((receivers, message)).is_err() {
            self.instruments.count_action("message_unsent");
        }
    }

    /// The hosts that keep the origin of the stream of `request`, at most `count`, live ones first.
    pub(crate) fn keepers(&self, request: &str, count: usize) -> Vec<SocketAddr> {
        let (tracker, now_ms) = (self.tracker(), boot_ms());
        let is_live = |host: &name::Host| tracker.is_live(host, now_ms);
        self.cache.keepers(&self.settings.host, is_live, request, count)
    }

    /// Addresses of those of `hosts` that are known.
    pub(crate) fn addresses(&self, hosts: &BTreeSet<name::Host>) -> Vec<SocketAddr> {
        self.cache.addresses(hosts)
    }

    /// Delay after a failed call to the store.
    pub(crate) fn store_retry_delay(&self) -> Duration {
        if !self.cache.is_complete() {
            return MIN_STORE_RETRY_DELAY;
        }
        let hosts = self.tracker().live_peers(boot_ms()) + 1;
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        (STORE_RETRY_DELAY_PER_HOST * hosts).clamp(MIN_STORE_RETRY_DELAY, MAX_STORE_RETRY_DELAY)
    }

    /// Chooses the server for a request; `None` if none that `constraint` allows is available outside `excluded`.
    pub(crate) fn choose(
        &self,
        table: &Table,
        service: &name::Service,
        excluded: &[name::Server],
        requirement: Requirement,
        constraint: &Constraint<'_>,
    ) -> Option<Choice> {
        let domain = &self.settings.domain;
        let preference = Preference {
            domain,
            remote_cost: REMOTE_DOMAIN_COST,
            jitter: REQUEST_JITTER,
            max_candidates: usize::MAX,
            seed: rand::random(),
        };
        self.choose_with(table, service, excluded, requirement, preference, constraint)
    }

    /// Time until the first server of `service` that `constraint` allows takes requests again; `None` if one does now,
    /// or none is available outside `excluded`.
    pub(crate) fn wait(
        &self,
        service: &name::Service,
        excluded: &[name::Server],
        constraint: &Constraint<'_>,
    ) -> Option<Duration> {
        let mut servers = self.servers(service, constraint);
        servers.retain(|server| !self.evacuations.is_evacuated(&server.entry.domain));
        load::wait_ms(&servers, excluded, boot_ms()).map(Duration::from_millis)
    }

    /// Whether all servers of `service` that take requests and that `constraint` allows are in evacuated failure domains.
    /// `false` if there is none.
    pub(crate) fn is_evacuated(
        &self,
        service: &name::Service,
        constraint: &Constraint<'_>,
    ) -> bool {
        let mut servers = self.servers(service, constraint);
        servers.retain(|server| server.phase() == Phase::Ready);
        let is_evacuated =
            |server: &Arc<Server>| self.evacuations.is_evacuated(&server.entry.domain);
        !servers.is_empty() && servers.iter().all(is_evacuated)
    }

    /// Whether a server of `service` that `constraint` allows has room for few requests of this host only.
    pub(crate) fn is_limited(&self, service: &name::Service, constraint: &Constraint<'_>) -> bool {
        let servers = self.servers(service, constraint);
        servers.iter().any(|server| server.room().rejections_per_s().is_some())
    }

    /// The servers of `service` that `constraint` allows.
    fn servers(&self, service: &name::Service, constraint: &Constraint<'_>) -> Vec<Arc<Server>> {
        let mut servers = self.cache.servers(service);
        servers.retain(|server| constraint.allows(self, &server.entry));
        let now_ms = boot_ms();
        for server in &servers {
            server_limit::update_share(self, server, now_ms);
        }
        servers
    }

    /// Chooses the engine to which a running generation migrates, preferably in `domain`, where it runs now.
    pub(crate) fn choose_migration_target(
        &self,
        table: &Table,
        service: &name::Service,
        excluded: &[name::Server],
        requirement: Requirement,
        domain: &name::Domain,
        constraint: &Constraint<'_>,
    ) -> Option<Choice> {
        let preference = Preference {
            domain,
            remote_cost: MIGRATION_REMOTE_DOMAIN_COST,
            jitter: MIGRATION_JITTER,
            max_candidates: MIGRATION_CANDIDATES,
            seed: rand::random(),
        };
        let choice =
            self.choose_with(table, service, excluded, requirement, preference, constraint)?;
        // The continuation is sent in any case once the generation was stopped, so the limit of a cold engine is used now.
        let (mut pace, now_ms) = (choice.server.pace(), boot_ms());
        if pace.cold_limit(now_ms).is_some() {
            pace.count(now_ms);
        }
        drop(pace);
        Some(choice)
    }

    fn choose_with(
        &self,
        table: &Table,
        service: &name::Service,
        excluded: &[name::Server],
        requirement: Requirement,
        preference: Preference<'_>,
        constraint: &Constraint<'_>,
    ) -> Option<Choice> {
        let servers = self.servers(service, constraint);
        let capacity = |server: &Server| capacity(table, server);
        let now_ms = boot_ms();
        let choice =
            self.tracker().choose(&servers, excluded, capacity, requirement, preference, now_ms)?;
        if choice.fits {
            choice.server.suspicion().record_sent(now_ms);
        }
        Some(choice)
    }

    /// Whether what was sent to `server` or reserved there fits, the request of `requirement` included.
    pub(crate) fn still_fits(
        &self,
        table: &Table,
        server: &Server,
        requirement: Requirement,
    ) -> bool {
        let capacity = capacity(table, server);
        self.tracker().still_fits(server, capacity, requirement, boot_ms())
    }

    /// Counts a request as load of `server` until the returned reservation is dropped. `tokens` are those that it holds
    /// in the KV cache, `prefill_tokens` those of its prompt that still need prefill.
    pub(crate) fn reserve(
        self: &Arc<Self>,
        server: &Arc<Server>,
        tokens: u64,
        prefill_tokens: u64,
    ) -> Reservation {
        self.tracker().begin(&server.entry.id, tokens, prefill_tokens);
        self.notify_load_change(server, tokens);
        Reservation {
            context: Arc::clone(self),
            server: Arc::clone(server),
            tokens,
            prefill_tokens,
        }
    }

    /// Notifies the other hosts that a request of `tokens` started or ended. Requests without tokens are too short to
    /// report.
    fn notify_load_change(&self, server: &Server, tokens: u64) {
        // If the queue is full, the next complete load report covers the change.
        if tokens > 0 && self.load_changes.try_send(server.entry.id.clone()).is_err() {
            self.instruments.count_action("change_untold");
        }
    }

    /// Counts a request for a service, which adds to its retry budget.
    pub(crate) fn count_request(&self, service: &name::Service) {
        self.with_budget(service, |budget| budget.count_request(boot_ms()));
    }

    /// Uses one retry of a service's budget and returns whether one was available.
    pub(crate) fn try_retry(&self, service: &name::Service) -> bool {
        let hosts = self.cache.host_count();
        self.with_budget(service, |budget| budget.try_retry(boot_ms(), hosts))
    }

    /// Counts a retry that is made regardless of a service's budget.
    pub(crate) fn count_retry(&self, service: &name::Service) {
        self.with_budget(service, |budget| budget.count_retry(boot_ms()));
    }

    fn with_budget<R>(
        &self,
        service: &name::Service,
        update: impl FnOnce(&mut SharedBudget) -> R,
    ) -> R {
        let bounds = &self.settings.bounds;
        let create = || {
            let window_ms = bounds.retry_window.as_millis() as u64;
            SharedBudget::new(bounds.retry_ratio, bounds.retry_slack, window_ms)
        };
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        update(budgets.entry(service.clone()).or_insert_with(create))
    }
}

fn capacity(table: &Table, server: &Server) -> Capacity {
    match table.pool(&server.entry.service) {
        Some(pool) => Capacity { requests: pool.batch, tokens: pool.memory_tokens },
        None => Capacity { requests: server.entry.slots, tokens: 0 },
    }
}

/// Counts a request as load of a server until the reservation is dropped.
pub(crate) struct Reservation {
    context: Arc<Context>,
    pub(crate) server: Arc<Server>,
    tokens: u64,
    /// Tokens of the prompt that still need prefill.
    prefill_tokens: u64,
}

impl Reservation {
    /// Adds `tokens` that the generation has produced.
    pub(crate) fn add_tokens(&mut self, tokens: u64) {
        self.tokens += tokens;
        self.context.tracker().grow(&self.server.entry.id, tokens);
    }

    /// Records that the prefill has finished.
    pub(crate) fn mark_prefilled(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        if prefill_tokens > 0 {
            self.context.tracker().mark_prefilled(&self.server.entry.id, prefill_tokens);
        }
    }

    /// Tokens of the prompt that still need prefill.
    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    pub(crate) fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Tokens that the request holds in the KV cache.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.context.tracker().end(&self.server.entry.id, self.tokens, self.prefill_tokens);
        self.context.notify_load_change(&self.server, self.tokens);
    }
}

/// The time that remains of `timeout`, which started at `start_ms`.
pub(crate) fn remaining_time(start_ms: u64, timeout: Duration) -> Duration {
    timeout.saturating_sub(Duration::from_millis(boot_ms().saturating_sub(start_ms)))
}
