//! Reconciles engines with the document, with one lease holder per engine.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use uuid::Uuid;

use super::counter::Counter;
use super::lease::{
    Decision, Granted, MAX_TERM_MS, Request, SETTLE_MS, STREAM, State, UNKNOWN_START_MS,
};
use super::plan::{Step, plan};
use super::target::{Error, Order, Target};
use crate::claim::{Holder, Ownership};
use crate::clock::{Clock, Reading};
use crate::document::{Document, Engine};
use crate::seek::Coverage;
use crate::{log, name, seek, wire};

/// Term of a lease, in milliseconds.
const TERM_MS: u32 = MAX_TERM_MS;

/// Least remaining term of a lease that is used for a round of orders, in milliseconds.
const MIN_REMAINING_MS: u64 = 60_000;

/// Time after which a round stops waiting for its orders.
const ROUND_TIMEOUT: Duration = Duration::from_secs(10);

/// Age of the newest record after which an empty one is appended, in milliseconds.
const KEEPALIVE_AGE_MS: u64 = 60_000;

/// Timeout of an append to the log.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads for an appended lease record, and the delay between two reads.
const CONFIRM_READS: u32 = 5;
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// The desired state of the engines: a version of the document.
#[derive(Clone, Debug)]
pub struct Desired {
    /// The environment of the document.
    pub environment: name::Environment,
    /// The version of the document.
    pub version: u64,
    /// The document.
    pub document: Arc<Document>,
}

/// A lease as tracked by its holder.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: u64,
    version: u64,
    /// Read before the record is appended, so that the lease ends at its holder before it ends in the log.
    requested_at: Reading,
    /// When the grant was read from the log, and the time after it in which orders of earlier holders may still arrive.
    granted_at: Reading,
    settle_ms: u64,
}

impl HeldLease {
    fn remaining_ms(&self, now: Reading) -> u64 {
        u64::from(TERM_MS).saturating_sub(now.since(self.requested_at))
    }

    fn is_settled(&self, now: Reading) -> bool {
        now.since(self.granted_at) >= self.settle_ms
    }
}

struct Inner<L, T, V, C> {
    holder: Holder,
    log: L,
    target: T,
    ownership: V,
    clock: C,
    /// The leases as read from the log; `None` until the first read.
    lease_state: tokio::sync::Mutex<Option<State>>,
    held_leases: Mutex<HashMap<name::Engine, HeldLease>>,
    /// Engines that are being reconciled.
    in_progress: Mutex<HashSet<name::Engine>>,
    /// Time until which no weights are requested, after the weight store refused a request because of its rate limit.
    weights_backoff_until: Mutex<Option<Instant>>,
    counter: Counter,
}

/// The orders service of a host. Clones share one state.
pub struct Service<L, T, V, C>(Arc<Inner<L, T, V, C>>);

impl<L, T, V, C> Clone for Service<L, T, V, C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<L: log::Log, T: Target, V: Ownership, C: Clock> Service<L, T, V, C> {
    /// Creates the service of `holder`.
    pub fn new(holder: Holder, log: L, target: T, ownership: V, clock: C) -> Self {
        Self(Arc::new(Inner {
            holder,
            log,
            target,
            ownership,
            clock,
            lease_state: tokio::sync::Mutex::default(),
            held_leases: Mutex::default(),
            in_progress: Mutex::default(),
            weights_backoff_until: Mutex::default(),
            counter: Counter::new(),
        }))
    }

    /// The counters.
    pub fn counter(&self) -> &Counter {
        &self.0.counter
    }

    /// Appends a record without engines if the newest one is older than 60 s, so that retention does not empty the
    /// stream and leave a gap in its history. Call it about every 20 s.
    pub async fn maintain(&self, desired: &Desired) {
        if self.0.ownership.owners(STREAM, 1).first() != Some(&self.0.holder.host) {
            return;
        }
        let mut lease_state = self.0.lease_state.lock().await;
        let Ok(mut state) = self.open(lease_state.take()).await else { return };
        let read = self.read_to_tail(&mut state, 0).await;
        let now_ms = self.0.clock.read().wall_ms;
        if read.is_ok() && now_ms.saturating_sub(state.newest_ms()) >= KEEPALIVE_AGE_MS {
            self.append(&mut state, Vec::new(), desired, 0).await;
        }
        *lease_state = Some(state);
    }

    /// Runs one round: reads the state of the engines that this host owns, and sends orders for the difference to
    /// `desired`.
    ///
    /// Call it every few seconds and when the document changes. A round without a difference appends nothing.
    pub async fn reconcile(&self, desired: &Desired) {
        let drifted = self.drifted(desired).await;
        if drifted.is_empty() {
            return;
        }
        let unleased: Vec<name::Engine> = drifted
            .iter()
            .map(|engine| engine.name.clone())
            .filter(|engine| self.usable_lease(engine, desired.version).is_none())
            .collect();
        if !unleased.is_empty() {
            self.acquire(unleased, desired).await;
        }
        let mut orders = JoinSet::new();
        for engine in drifted {
            let (service, desired) = (self.clone(), desired.clone());
            self.in_progress().insert(engine.name.clone());
            orders.spawn(async move {
                let result = service.reconcile_engine(&desired, &engine).await;
                service.in_progress().remove(&engine.name);
                service.0.counter.count(&result);
            });
        }
        let all = async { while orders.join_next().await.is_some() {} };
        // A load can take minutes. It continues during the following rounds.
        let _ = timeout(ROUND_TIMEOUT, all).await;
        orders.detach_all();
    }

    fn in_progress(&self) -> MutexGuard<'_, HashSet<name::Engine>> {
        self.0.in_progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn owns(&self, engine: &Engine) -> bool {
        let topic = format!("order/{}", engine.name);
        self.0.ownership.owners(&topic, 1).first() == Some(&self.0.holder.host)
    }

    /// The engines owned by this host whose state differs from the document.
    async fn drifted(&self, desired: &Desired) -> Vec<Engine> {
        let mut reads = JoinSet::new();
        let in_progress = self.in_progress().clone();
        let owned_and_idle =
            |engine: &&Engine| !in_progress.contains(&engine.name) && self.owns(engine);
        for engine in desired.document.engines.iter().filter(owned_and_idle).cloned() {
            let (service, desired) = (self.clone(), desired.clone());
            reads.spawn(async move {
                let actual = service.0.target.state(engine.address).await.ok()?;
                let steps = plan(&desired.document, &engine, &actual);
                (!steps.is_empty()).then_some(engine)
            });
        }
        reads.join_all().await.into_iter().flatten().collect()
    }

    /// The lease on `engine` for this document version, if its remaining term is long enough for a round.
    fn usable_lease(&self, engine: &name::Engine, version: u64) -> Option<HeldLease> {
        let held = self.held_leases().get(engine).copied()?;
        let is_long_enough = held.remaining_ms(self.0.clock.read()) >= MIN_REMAINING_MS;
        (is_long_enough && held.version == version).then_some(held)
    }

    fn held_leases(&self) -> MutexGuard<'_, HashMap<name::Engine, HeldLease>> {
        self.0.held_leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests leases, in one record, on the engines that no other process holds.
    async fn acquire(&self, mut engines: Vec<name::Engine>, desired: &Desired) {
        let mut lease_state = self.0.lease_state.lock().await;
        let Ok(mut state) = self.open(lease_state.take()).await else { return };
        if self.read_to_tail(&mut state, 0).await.is_ok() {
            let now_ms = self.0.clock.read().wall_ms;
            let holder = &self.0.holder;
            engines.retain(|e| state.holder(e, now_ms).is_none_or(|other| other == holder));
            if !engines.is_empty() {
                self.append(&mut state, engines, desired, TERM_MS).await;
            }
        }
        *lease_state = Some(state);
    }

    async fn append(
        &self,
        state: &mut State,
        engines: Vec<name::Engine>,
        desired: &Desired,
        term_ms: u32,
    ) {
        let request = Request {
            id: Uuid::new_v4().as_u128(),
            holder: self.0.holder.clone(),
            environment: desired.environment.clone(),
            version: desired.version,
            term_ms,
            engines,
        };
        let Ok(body) = wire::encode(&request) else { return };
        let requested_at = self.0.clock.read();
        let append = timeout(APPEND_TIMEOUT, self.0.log.append(STREAM, body)).await;
        if let Ok(Err(log::Error::Refused(_) | log::Error::Unreachable)) = append {
            return;
        }
        for _ in 0..CONFIRM_READS {
            if let Ok(Some(decision)) = self.read_to_tail(state, request.id).await {
                self.store_grants(&decision, desired.version, requested_at);
                return;
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    fn store_grants(&self, decision: &Decision, version: u64, requested_at: Reading) {
        let granted_at = self.0.clock.read();
        let mut held_leases = self.held_leases();
        for Granted { engine, settle_ms } in decision.granted.iter().cloned() {
            held_leases.insert(
                engine,
                HeldLease { fence: decision.fence, version, requested_at, granted_at, settle_ms },
            );
        }
    }

    async fn open(&self, state: Option<State>) -> Result<State, log::Error> {
        if let Some(state) = state {
            return Ok(state);
        }
        let term_ms = u64::from(MAX_TERM_MS);
        let from_ms = self.0.clock.read().wall_ms.saturating_sub(term_ms + SETTLE_MS);
        let start = seek::seek(&self.0.log, STREAM, from_ms).await?;
        let grants_from_ms = match start.coverage {
            Coverage::Full => 0,
            Coverage::Since(time_ms) => time_ms.saturating_add(term_ms + SETTLE_MS),
            Coverage::FutureOnly => UNKNOWN_START_MS,
        };
        Ok(State::new(start.offset, grants_from_ms))
    }

    /// Reads to the tail of the stream, and returns the decision on the request `id` if it was read.
    async fn read_to_tail(
        &self,
        state: &mut State,
        id: u128,
    ) -> Result<Option<Decision>, log::Error> {
        let mut decision = None;
        loop {
            let batch = seek::read(&self.0.log, STREAM, state.next_offset()).await?;
            if batch.records.is_empty() {
                return Ok(decision);
            }
            for record in &batch.records {
                decision = state.apply(record).filter(|new| new.id == id).or(decision);
            }
        }
    }

    /// Sends one engine the orders that bring it to its state in the document.
    async fn reconcile_engine(
        &self,
        desired: &Desired,
        engine: &Engine,
    ) -> Result<(), ReconcileError> {
        let held =
            self.usable_lease(&engine.name, desired.version).ok_or(ReconcileError::NoLease)?;
        if !engine.fences && !held.is_settled(self.0.clock.read()) {
            return Err(ReconcileError::Unsettled);
        }
        let actual = self.0.target.state(engine.address).await.map_err(ReconcileError::Failed)?;
        for step in plan(&desired.document, engine, &actual) {
            self.execute_step(engine, held, step).await?;
        }
        Ok(())
    }

    async fn execute_step(
        &self,
        engine: &Engine,
        held: HeldLease,
        step: Step,
    ) -> Result<(), ReconcileError> {
        if let Some(weights) = step.weights {
            self.check_weights_backoff()?;
            let granted = self.0.target.request_grant(weights).await;
            granted.map_err(|error| self.update_weights_backoff(error))?;
        }
        let order_id = Uuid::new_v4().hyphenated();
        let order = Order { order_id, fence: held.fence, kind: step.kind };
        let may_send = || self.is_still_held(&engine.name, held);
        let result = self.0.target.order(engine.address, order, may_send).await;
        if result == Err(Error::LeaseEnded) {
            return Err(ReconcileError::NoLease);
        }
        if result == Err(Error::Fenced) {
            self.held_leases().remove(&engine.name);
        }
        result.map_err(ReconcileError::Failed)
    }

    /// Whether `held` is still the current lease on `engine` and has not expired.
    fn is_still_held(&self, engine: &name::Engine, held: HeldLease) -> bool {
        let current =
            self.held_leases().get(engine).is_some_and(|current| current.fence == held.fence);
        current && held.remaining_ms(self.0.clock.read()) > 0
    }

    fn check_weights_backoff(&self) -> Result<(), ReconcileError> {
        let until = *self.0.weights_backoff_until.lock().unwrap_or_else(PoisonError::into_inner);
        match until {
            Some(until) if Instant::now() < until => Err(ReconcileError::Limited),
            _ => Ok(()),
        }
    }

    /// Starts the backoff if the weight store refused a request because of its rate limit.
    fn update_weights_backoff(&self, error: Error) -> ReconcileError {
        let Error::Limited(wait_s) = error else { return ReconcileError::Failed(error) };
        let until = Instant::now() + Duration::from_secs(wait_s.min(3_600));
        *self.0.weights_backoff_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
        ReconcileError::Limited
    }

    /// Releases all leases, so that other hosts need not wait for them to expire. Orders under these leases that were
    /// not sent yet are dropped.
    pub async fn release(&self, desired: &Desired) {
        let engines: Vec<name::Engine> =
            self.held_leases().drain().map(|(engine, _)| engine).collect();
        if engines.is_empty() {
            return;
        }
        let mut lease_state = self.0.lease_state.lock().await;
        let Ok(mut state) = self.open(lease_state.take()).await else { return };
        self.append(&mut state, engines, desired, 0).await;
        *lease_state = Some(state);
    }
}

/// Why an engine was not reconciled in this round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReconcileError {
    #[error("no lease on the engine")]
    NoLease,
    #[error("orders of an earlier holder may still arrive")]
    Unsettled,
    #[error("the rate limit of the weight store is exceeded")]
    Limited,
    #[error(transparent)]
    Failed(Error),
}

impl ReconcileError {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::NoLease => "no_lease",
            Self::Unsettled => "unsettled",
            Self::Limited => "limited",
            Self::Failed(Error::Fenced) => "fenced",
            Self::Failed(_) => "failed",
        }
    }
}
