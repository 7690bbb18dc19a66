//! What the owner of an engine does: it keeps the engine's ledger, answers requests for permits and reads load reports.
//!
//! Ownership is a hint. A host that is asked about an engine answers for it, whether it believes to be the owner or not;
//! two ledgers for one engine are corrected by the engine's load reports.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, oneshot, watch};
use uuid::Uuid;

use crate::admission::wire::{Call, Message, Reply};
use crate::admission::{Answer, Ask, Ledger, Report, State};
use crate::clock::Monotonic;
use crate::document::{Active, Engine};
use crate::metrics::Instruments;
use crate::{engine, name, peer, wire};

/// Time between two decisions on held requests.
const HOLD_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two readings of an engine's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which a held request is answered with [`Reply::Held`], so that its sender knows that the owner lives.
const HOLD_SLICE: Duration = Duration::from_millis(400);

/// Time after which the ledger of an engine that this host does not own is dropped, in milliseconds.
const UNUSED_MS: u64 = 60_000;

/// Decides which entry host owns an engine or another duty.
pub trait Owners: Clone + Send + Sync + 'static {
    /// The hosts that own `key`, the first one before its deputies; at most `count`.
    fn owners(&self, key: &str, count: usize) -> Vec<name::Host>;

    /// Whether `host` is the first owner of `key`.
    fn owns(&self, host: &name::Host, key: &str) -> bool;
}

/// The ledgers of engines at this host. Cheap to clone.
#[derive(Clone)]
pub struct Service(Arc<Shared>);

struct Shared {
    desks: Mutex<HashMap<name::Engine, Desk>>,
    active: watch::Receiver<Option<Arc<Active>>>,
    client: engine::Client,
    instruments: Instruments,
    clock: Monotonic,
    /// Wakes the decisions on held requests, which rest while none is held.
    held: Notify,
}

/// One engine's ledger and those who wait for its decisions.
struct Desk {
    ledger: Ledger,
    waiters: HashMap<u128, oneshot::Sender<Reply>>,
    generations: HashMap<u128, Uuid>,
    /// The engine's preemptions at its last report.
    preemptions: u64,
    used_ms: u64,
}

impl Service {
    /// Answers for engines of the document in force.
    pub fn new(
        active: watch::Receiver<Option<Arc<Active>>>,
        client: engine::Client,
        instruments: Instruments,
    ) -> Self {
        let desks = Mutex::default();
        let (clock, held) = (Monotonic::new(), Notify::new());
        Self(Arc::new(Shared { desks, active, client, instruments, clock, held }))
    }

    /// Answers a request for a permit. `None` means that the engine is not in the document.
    pub async fn ask(&self, engine: &name::Engine, ask: Ask) -> Option<Reply> {
        let attempt = ask.attempt;
        let waiter = {
            let mut desks = self.0.desks();
            let desk = self.0.desk(&mut desks, engine)?;
            match desk.ledger.ask(self.0.clock.now_ms(), ask) {
                Answer::Held { .. } => {
                    self.0.instruments.act("held");
                    self.0.held.notify_one();
                    desk.wait(attempt)
                }
                answer => return Some(answer.into()),
            }
        };
        match tokio::time::timeout(HOLD_SLICE, waiter).await {
            Ok(Ok(reply)) => Some(reply),
            _ => Some(Reply::Held(self.0.desks().get(engine)?.ledger.hint())),
        }
    }

    /// Takes in what became of a permit.
    pub fn tell(&self, engine: &name::Engine, call: Call) {
        let now_ms = self.0.clock.now_ms();
        let mut desks = self.0.desks();
        let Some(desk) = self.0.desk(&mut desks, engine) else { return };
        match call {
            Call::Ask(_) => {}
            Call::Started(attempt, generation) => {
                desk.generations.insert(attempt, Uuid::from_u128(generation));
                desk.ledger.started(now_ms, attempt);
            }
            Call::Finished(attempt, produced) => {
                desk.generations.remove(&attempt);
                desk.ledger.finished(now_ms, attempt, produced);
            }
            Call::Cancelled(attempt) => {
                desk.generations.remove(&attempt);
                desk.waiters.remove(&attempt);
                desk.ledger.cancelled(now_ms, attempt);
            }
            Call::Renewed(attempts) => desk.ledger.renewed(now_ms, &attempts),
        }
    }

    /// Answers a message of another entry host.
    ///
    /// # Errors
    ///
    /// Returns [`peer::Error::Wire`] if the message cannot be read.
    pub async fn handle(&self, body: Bytes) -> Result<Bytes, peer::Error> {
        let message: Message = wire::decode(&body)?;
        let Call::Ask(ask) = message.call else {
            self.tell(&message.engine, message.call);
            return Ok(Bytes::new());
        };
        let reply = match Ask::try_from(ask) {
            Ok(ask) => self.ask(&message.engine, ask).await,
            Err(_) => None,
        };
        Ok(wire::encode(&reply)?)
    }

    /// Takes in what another entry host tells without an answer. Malformed messages are dropped.
    pub fn datagram(&self, body: &[u8]) {
        if let Ok(message) = wire::decode::<Message>(body) {
            self.tell(&message.engine, message.call);
        }
    }

    /// Decides on held requests and reads load reports, until the task is dropped.
    pub async fn run(&self, owners: impl Owners, own: name::Host) {
        let mut holds = tokio::time::interval(HOLD_INTERVAL);
        let mut reports = tokio::time::interval(REPORT_INTERVAL);
        holds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        reports.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut is_holding = false;
        loop {
            tokio::select! {
                _ = holds.tick(), if is_holding => is_holding = self.decide(),
                () = self.0.held.notified() => is_holding = true,
                _ = reports.tick() => self.read_reports(&owners, &own),
            }
        }
    }

    /// Decides on held requests and returns whether any is still held.
    fn decide(&self) -> bool {
        let now_ms = self.0.clock.now_ms();
        let mut is_holding = false;
        for desk in self.0.desks().values_mut() {
            if desk.ledger.hint().waiting > 0 {
                desk.decide(now_ms);
                is_holding = true;
            }
        }
        is_holding
    }

    /// Reads the report of each engine that this host owns or has answered for lately.
    fn read_reports(&self, owners: &impl Owners, own: &name::Host) {
        let Some(active) = self.0.active.borrow().clone() else { return };
        let now_ms = self.0.clock.now_ms();
        let mut desks = self.0.desks();
        desks.retain(|_, desk| !desk.ledger.is_idle() || now_ms - desk.used_ms < UNUSED_MS);
        for engine in &active.document().engines {
            let is_owner = || owners.owns(own, engine.name.as_str());
            if desks.contains_key(&engine.name) || is_owner() {
                tokio::spawn(self.clone().read_report(engine.clone()));
            }
        }
    }

    async fn read_report(self, engine: Engine) {
        let load = self.0.client.load(engine.address).await;
        let reorders = {
            let mut desks = self.0.desks();
            let Some(desk) = self.0.desk(&mut desks, &engine.name) else { return };
            let now_ms = self.0.clock.now_ms();
            match load {
                Ok(load) => {
                    let preempted = load.preemptions.saturating_sub(desk.preemptions);
                    self.0.instruments.preempted(preempted);
                    desk.preemptions = load.preemptions;
                    desk.ledger.report(now_ms, &load.into());
                }
                // An engine that is going refuses its load report as well.
                Err(engine::Error::Leaving) => {
                    desk.ledger
                        .report(now_ms, &Report { state: State::Leaving, ..Report::default() });
                }
                Err(_) => self.0.instruments.act("report_missed"),
            }
            desk.decide(now_ms);
            desk.reorders(now_ms)
        };
        for (generation, priority) in reorders {
            self.0.instruments.act("reordered");
            // A generation that has ended meanwhile needs no priority.
            let _ = self.0.client.reprioritise(engine.address, generation, priority).await;
        }
    }
}

impl Shared {
    fn desks(&self) -> MutexGuard<'_, HashMap<name::Engine, Desk>> {
        self.desks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn desk<'a>(
        &self,
        desks: &'a mut HashMap<name::Engine, Desk>,
        engine: &name::Engine,
    ) -> Option<&'a mut Desk> {
        let active = self.active.borrow().clone()?;
        let memory_tokens = active.engine(engine.as_str())?.memory_tokens;
        let policy = &active.document().policy;
        let desk = desks.entry(engine.clone()).or_insert_with(|| Desk {
            ledger: Ledger::new(memory_tokens, policy),
            waiters: HashMap::new(),
            generations: HashMap::new(),
            preemptions: 0,
            used_ms: 0,
        });
        desk.ledger.set_policy(memory_tokens, policy);
        desk.used_ms = self.clock.now_ms();
        Some(desk)
    }
}

impl Desk {
    fn wait(&mut self, attempt: u128) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(attempt, sender);
        receiver
    }

    /// Decides on held requests and answers those who wait.
    fn decide(&mut self, now_ms: u64) {
        for decision in self.ledger.poll(now_ms) {
            let waiter = self.waiters.remove(&decision.attempt);
            if let Some(waiter) = waiter {
                // An asker that is gone lets the permit lapse, or cancels it itself.
                let _ = waiter.send(decision.answer.into());
            }
        }
    }

    fn reorders(&mut self, now_ms: u64) -> Vec<(Uuid, u8)> {
        let reorders = self.ledger.reprioritise(now_ms);
        let generations = &self.generations;
        reorders
            .into_iter()
            .filter_map(|r| Some((*generations.get(&r.attempt)?, r.engine_priority)))
            .collect()
    }
}

impl From<engine::Load> for Report {
    fn from(load: engine::Load) -> Self {
        Self {
            state: match load.state {
                engine::Phase::Serving => State::Serving,
                engine::Phase::Loading => State::Loading,
                engine::Phase::Leaving => State::Leaving,
            },
            running: load.running,
            waiting: load.waiting,
            memory_tokens: load.memory_tokens,
            used_tokens: load.used_tokens,
            preemptions: load.preemptions,
            report_ms: load.report_ms,
            token_ms: load.token_ms,
        }
    }
}
