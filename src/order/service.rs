//! Brings engines to what the document says, one holder an engine.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use uuid::Uuid;

use super::counter::Counter;
use super::lease::{Granted, Lease, MAX_TERM_MS, Ruling, SETTLE_MS, STREAM, State, UNKNOWN_MS};
use super::plan::{Step, plan};
use super::target::{Error, Order, Target};
use crate::claim::{Holder, View};
use crate::clock::{Clock, Reading};
use crate::document::{Document, Engine};
use crate::seek::Coverage;
use crate::{log, name, seek, wire};

/// Term of a lease, in milliseconds.
const TERM_MS: u32 = MAX_TERM_MS;

/// Part of its term that a lease must still have for a round of orders, in milliseconds.
const RENEW_MS: u64 = 60_000;

/// Longest time that a round waits for its orders.
const ROUND_TIMEOUT: Duration = Duration::from_secs(10);

/// Age of the newest record after which an empty one is appended, in milliseconds.
const MARK_AGE_MS: u64 = 60_000;

/// Longest wait for the log's answer to an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Looks for a lease record that was appended without an answer, and the pause between two.
const LOOKS: u32 = 5;
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A document in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Its environment.
    pub environment: name::Environment,
    /// Its version.
    pub version: u64,
    /// The document.
    pub document: Arc<Document>,
}

/// A lease as its holder counts it.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    version: u64,
    /// Before the record was appended, so that the lease ends here first.
    start: Reading,
    /// When the grant was read, and how long orders of earlier holders may be under way from then on.
    read: Reading,
    settle_ms: u64,
}

impl Held {
    fn left_ms(&self, now: Reading) -> u64 {
        u64::from(TERM_MS).saturating_sub(now.since(self.start))
    }

    fn is_settled(&self, now: Reading) -> bool {
        now.since(self.read) >= self.settle_ms
    }
}

struct Inner<L, T, V, C> {
    holder: Holder,
    log: L,
    target: T,
    view: V,
    clock: C,
    reader: tokio::sync::Mutex<Option<State>>,
    held: Mutex<HashMap<name::Engine, Held>>,
    /// Engines that orders are being given to.
    busy: Mutex<HashSet<name::Engine>>,
    no_loads_until: Mutex<Option<Instant>>,
    counter: Counter,
}

/// The service of a host that gives orders. Clones share one state.
pub struct Service<L, T, V, C>(Arc<Inner<L, T, V, C>>);

impl<L, T, V, C> Clone for Service<L, T, V, C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<L: log::Log, T: Target, V: View, C: Clock> Service<L, T, V, C> {
    /// A service for the host and incarnation `holder`.
    pub fn new(holder: Holder, log: L, target: T, view: V, clock: C) -> Self {
        Self(Arc::new(Inner {
            holder,
            log,
            target,
            view,
            clock,
            reader: tokio::sync::Mutex::default(),
            held: Mutex::default(),
            busy: Mutex::default(),
            no_loads_until: Mutex::default(),
            counter: Counter::new(),
        }))
    }

    /// The counters.
    pub fn counter(&self) -> &Counter {
        &self.0.counter
    }

    /// Appends an empty record if none was appended for a while, so that the stream's history shows no hole. Call it
    /// every 20 s or so.
    pub async fn maintain(&self, document: &InForce) {
        if self.0.view.rank(STREAM, 1).first() != Some(&self.0.holder.host) {
            return;
        }
        let mut reader = self.0.reader.lock().await;
        let Ok(mut state) = self.open(reader.take()).await else { return };
        let read = self.read_to_tail(&mut state, 0).await;
        let now_ms = self.0.clock.read().wall_ms;
        if read.is_ok() && now_ms.saturating_sub(state.newest_ms()) >= MARK_AGE_MS {
            self.append(&mut state, Vec::new(), document, 0).await;
        }
        *reader = Some(state);
    }

    /// One round: reads what the engines of this host have, and orders the difference to `document`.
    ///
    /// Call it every few seconds and when the document changes. A round without a difference appends nothing.
    pub async fn reconcile(&self, document: &InForce) {
        let differing = self.differing(document).await;
        if differing.is_empty() {
            return;
        }
        let lacking: Vec<name::Engine> = differing
            .iter()
            .map(|engine| engine.name.clone())
            .filter(|engine| self.lease(engine, document.version).is_none())
            .collect();
        if !lacking.is_empty() {
            self.acquire(lacking, document).await;
        }
        let mut orders = JoinSet::new();
        for engine in differing {
            let (service, document) = (self.clone(), document.clone());
            self.busy().insert(engine.name.clone());
            orders.spawn(async move {
                let result = service.bring(&document, &engine).await;
                service.busy().remove(&engine.name);
                service.0.counter.result(&result);
            });
        }
        let all = async { while orders.join_next().await.is_some() {} };
        // A load may take minutes; it goes on beside the next rounds.
        let _ = timeout(ROUND_TIMEOUT, all).await;
        orders.detach_all();
    }

    fn busy(&self) -> MutexGuard<'_, HashSet<name::Engine>> {
        self.0.busy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn owns(&self, engine: &Engine) -> bool {
        let topic = format!("order/{}", engine.name);
        self.0.view.rank(&topic, 1).first() == Some(&self.0.holder.host)
    }

    /// The engines of this host that are not as the document says.
    async fn differing(&self, document: &InForce) -> Vec<Engine> {
        let mut reads = JoinSet::new();
        let busy = self.busy().clone();
        let idle = |engine: &&Engine| !busy.contains(&engine.name) && self.owns(engine);
        for engine in document.document.engines.iter().filter(idle).cloned() {
            let (service, document) = (self.clone(), document.clone());
            reads.spawn(async move {
                let actual = service.0.target.state(engine.address).await.ok()?;
                let steps = plan(&document.document, &engine, &actual);
                (!steps.is_empty()).then_some(engine)
            });
        }
        reads.join_all().await.into_iter().flatten().collect()
    }

    /// The lease on `engine` for orders of this version, if it lasts for a round.
    fn lease(&self, engine: &name::Engine, version: u64) -> Option<Held> {
        let held = self.held().get(engine).copied()?;
        let lasts = held.left_ms(self.0.clock.read()) >= RENEW_MS;
        (lasts && held.version == version).then_some(held)
    }

    fn held(&self) -> MutexGuard<'_, HashMap<name::Engine, Held>> {
        self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks for leases on the engines that no one else holds, in one record.
    async fn acquire(&self, mut engines: Vec<name::Engine>, document: &InForce) {
        let mut reader = self.0.reader.lock().await;
        let Ok(mut state) = self.open(reader.take()).await else { return };
        if self.read_to_tail(&mut state, 0).await.is_ok() {
            let now_ms = self.0.clock.read().wall_ms;
            let holder = &self.0.holder;
            engines.retain(|e| state.holder(e, now_ms).is_none_or(|other| other == holder));
            if !engines.is_empty() {
                self.append(&mut state, engines, document, TERM_MS).await;
            }
        }
        *reader = Some(state);
    }

    async fn append(
        &self,
        state: &mut State,
        engines: Vec<name::Engine>,
        document: &InForce,
        term_ms: u32,
    ) {
        let lease = Lease {
            id: Uuid::new_v4().as_u128(),
            holder: self.0.holder.clone(),
            environment: document.environment.clone(),
            version: document.version,
            term_ms,
            engines,
        };
        let Ok(body) = wire::encode(&lease) else { return };
        let start = self.0.clock.read();
        let append = timeout(APPEND_TIMEOUT, self.0.log.append(STREAM, body)).await;
        if let Ok(Err(log::Error::Refused(_) | log::Error::Unreachable)) = append {
            return;
        }
        for _ in 0..LOOKS {
            if let Ok(Some(ruling)) = self.read_to_tail(state, lease.id).await {
                self.hold(&ruling, document.version, start);
                return;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn hold(&self, ruling: &Ruling, version: u64, start: Reading) {
        let read = self.0.clock.read();
        let mut held = self.held();
        for Granted { engine, settle_ms } in ruling.granted.iter().cloned() {
            held.insert(engine, Held { fence: ruling.fence, version, start, read, settle_ms });
        }
    }

    async fn open(&self, state: Option<State>) -> Result<State, log::Error> {
        if let Some(state) = state {
            return Ok(state);
        }
        let term_ms = u64::from(MAX_TERM_MS);
        let from_ms = self.0.clock.read().wall_ms.saturating_sub(term_ms + SETTLE_MS);
        let start = seek::seek(&self.0.log, STREAM, from_ms).await?;
        let known_from_ms = match start.coverage {
            Coverage::Full => 0,
            Coverage::Since(time_ms) => time_ms.saturating_add(term_ms + SETTLE_MS),
            Coverage::FutureOnly => UNKNOWN_MS,
        };
        Ok(State::new(start.offset, known_from_ms))
    }

    /// Reads all records, and returns what one makes of the attempt `id`.
    async fn read_to_tail(
        &self,
        state: &mut State,
        id: u128,
    ) -> Result<Option<Ruling>, log::Error> {
        let mut found = None;
        loop {
            let batch = seek::read(&self.0.log, STREAM, state.next()).await?;
            if batch.records.is_empty() {
                return Ok(found);
            }
            for record in &batch.records {
                found = state.apply(record).filter(|ruling| ruling.id == id).or(found);
            }
        }
    }

    /// Gives one engine the orders that bring it to what the document says.
    async fn bring(&self, document: &InForce, engine: &Engine) -> Result<(), Stop> {
        let held = self.lease(&engine.name, document.version).ok_or(Stop::NoLease)?;
        if !engine.fences && !held.is_settled(self.0.clock.read()) {
            return Err(Stop::Unsettled);
        }
        let actual = self.0.target.state(engine.address).await.map_err(Stop::Failed)?;
        for step in plan(&document.document, engine, &actual) {
            self.give(engine, held, step).await?;
        }
        Ok(())
    }

    async fn give(&self, engine: &Engine, held: Held, step: Step) -> Result<(), Stop> {
        if let Some(weight) = step.weight {
            self.check_loads()?;
            let granted = self.0.target.grant(weight).await;
            granted.map_err(|error| self.note_limit(error))?;
        }
        let order_id = Uuid::new_v4().hyphenated();
        let order = Order { order_id, fence: held.fence, kind: step.kind };
        // Nothing waits between this check and the call.
        if !self.holds(&engine.name, held) {
            return Err(Stop::NoLease);
        }
        let result = self.0.target.order(engine.address, order).await;
        if result == Err(Error::Fenced) {
            self.held().remove(&engine.name);
        }
        result.map_err(Stop::Failed)
    }

    /// Whether `held` was neither given back nor replaced, and lasts.
    fn holds(&self, engine: &name::Engine, held: Held) -> bool {
        let current = self.held().get(engine).is_some_and(|current| current.fence == held.fence);
        current && held.left_ms(self.0.clock.read()) > 0
    }

    fn check_loads(&self) -> Result<(), Stop> {
        let until = *self.0.no_loads_until.lock().unwrap_or_else(PoisonError::into_inner);
        match until {
            Some(until) if Instant::now() < until => Err(Stop::Limited),
            _ => Ok(()),
        }
    }

    fn note_limit(&self, error: Error) -> Stop {
        let Error::Limited(wait_s) = error else { return Stop::Failed(error) };
        let until = Instant::now() + Duration::from_secs(wait_s.min(3_600));
        *self.0.no_loads_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
        Stop::Limited
    }

    /// Gives all leases back, so that others need not wait for their end. Orders under them that are still to come are not sent.
    pub async fn release(&self, document: &InForce) {
        let engines: Vec<name::Engine> = self.held().drain().map(|(engine, _)| engine).collect();
        if engines.is_empty() {
            return;
        }
        let mut reader = self.0.reader.lock().await;
        let Ok(mut state) = self.open(reader.take()).await else { return };
        self.append(&mut state, engines, document, 0).await;
        *reader = Some(state);
    }
}

/// Why an engine was not brought to what the document says in this round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Stop {
    #[error("no lease on the engine")]
    NoLease,
    #[error("orders of an earlier holder may be under way")]
    Unsettled,
    #[error("the weight store's rate is used up")]
    Limited,
    #[error(transparent)]
    Failed(Error),
}

impl Stop {
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
