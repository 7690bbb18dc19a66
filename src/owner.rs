//! Owner of engines: runs their admission controllers, replies to requests for permits and polls load reports.
//!
//! Ownership is advisory. An entry host decides on requests for any engine, whether or not it considers itself the
//! owner. If two hosts run a controller for the same engine, the engine's load reports correct both. Entry hosts
//! request permits through [`crate::permits`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, oneshot, watch};
use uuid::Uuid;

use crate::admission::wire::{Call, Message, Reply};
use crate::admission::{self, Controller, Report, Request, State};
use crate::clock::Monotonic;
use crate::document::{Active, Engine};
use crate::metrics::Instruments;
use crate::{engine, name, peer, wire};

/// Interval between decisions on held requests.
const DECISION_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between polls of an engine's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which a held request gets [`Reply::Held`], which shows its sender that the owner is alive.
const HELD_REPLY_DELAY: Duration = Duration::from_millis(400);

/// Time since its last use after which an idle controller is dropped, in milliseconds.
const IDLE_EXPIRY_MS: u64 = 60_000;

/// Maps engines and other keys to the entry hosts that own them.
pub trait Owners: Clone + Send + Sync + 'static {
    /// Up to `count` owners of `key`: the primary owner first, then the backup owners.
    fn owners(&self, key: &str, count: usize) -> Vec<name::Host>;

    /// Whether `host` is the primary owner of `key`.
    fn owns(&self, host: &name::Host, key: &str) -> bool;
}

/// The admission controllers of engines at this host. Cheap to clone.
#[derive(Clone)]
pub struct Service(Arc<Shared>);

struct Shared {
    admissions: Mutex<HashMap<name::Engine, Admission>>,
    active: watch::Receiver<Option<Arc<Active>>>,
    client: engine::Client,
    instruments: Instruments,
    clock: Monotonic,
    /// Starts the periodic decisions on held requests, which stop while no request is held.
    request_held: Notify,
}

/// Admission to one engine: its controller and the requests that wait for a decision.
struct Admission {
    controller: Controller,
    waiters: HashMap<u128, oneshot::Sender<Reply>>,
    generations: HashMap<u128, Uuid>,
    /// Preemption count in the latest load report.
    preemptions: u64,
    last_used_ms: u64,
}

impl Service {
    /// Creates a service for the engines of the document in force.
    pub fn new(
        active: watch::Receiver<Option<Arc<Active>>>,
        client: engine::Client,
        instruments: Instruments,
    ) -> Self {
        let admissions = Mutex::default();
        let (clock, request_held) = (Monotonic::new(), Notify::new());
        Self(Arc::new(Shared { admissions, active, client, instruments, clock, request_held }))
    }

    /// Replies to a request for a permit. Returns `None` if the engine is not in the document.
    pub async fn admit(&self, engine: &name::Engine, request: Request) -> Option<Reply> {
        let attempt = request.attempt;
        let waiter = {
            let mut admissions = self.0.admissions();
            let admission = self.0.admission(&mut admissions, engine)?;
            match admission.controller.admit(self.0.clock.now_ms(), request) {
                admission::Reply::Held { .. } => {
                    self.0.instruments.count_action("held");
                    self.0.request_held.notify_one();
                    admission.add_waiter(attempt)
                }
                reply => return Some(reply.into()),
            }
        };
        match tokio::time::timeout(HELD_REPLY_DELAY, waiter).await {
            Ok(Ok(reply)) => Some(reply),
            _ => Some(Reply::Held(self.0.admissions().get(engine)?.controller.hint())),
        }
    }

    /// Updates the state of a permit. Ignores [`Call::Request`].
    pub fn update_permit(&self, engine: &name::Engine, call: Call) {
        let now_ms = self.0.clock.now_ms();
        let mut admissions = self.0.admissions();
        let Some(admission) = self.0.admission(&mut admissions, engine) else { return };
        match call {
            Call::Request(_) => {}
            Call::Started(attempt, generation) => {
                admission.generations.insert(attempt, Uuid::from_u128(generation));
                admission.controller.started(now_ms, attempt);
            }
            Call::Finished(attempt, produced) => {
                admission.generations.remove(&attempt);
                admission.controller.finished(now_ms, attempt, produced);
            }
            Call::Cancelled(attempt) => {
                admission.generations.remove(&attempt);
                admission.waiters.remove(&attempt);
                admission.controller.cancelled(now_ms, attempt);
            }
            Call::Renewed(attempts) => admission.controller.renewed(now_ms, &attempts),
        }
    }

    /// Handles a call from another entry host and returns the response.
    ///
    /// # Errors
    ///
    /// Returns [`peer::Error::Wire`] if the message cannot be decoded or the response cannot be encoded.
    pub async fn handle(&self, body: Bytes) -> Result<Bytes, peer::Error> {
        let message: Message = wire::decode(&body)?;
        let Call::Request(request) = message.call else {
            self.update_permit(&message.engine, message.call);
            return Ok(Bytes::new());
        };
        let reply = match Request::try_from(request) {
            Ok(request) => self.admit(&message.engine, request).await,
            Err(_) => None,
        };
        Ok(wire::encode(&reply)?)
    }

    /// Handles a datagram from another entry host. Malformed datagrams are dropped.
    pub fn handle_datagram(&self, body: &[u8]) {
        if let Ok(message) = wire::decode::<Message>(body) {
            self.update_permit(&message.engine, message.call);
        }
    }

    /// Decides on held requests and polls load reports until the task is dropped.
    pub async fn run(&self, owners: impl Owners, local: name::Host) {
        let mut decisions = tokio::time::interval(DECISION_INTERVAL);
        let mut reports = tokio::time::interval(REPORT_INTERVAL);
        decisions.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        reports.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut has_held = false;
        loop {
            tokio::select! {
                _ = decisions.tick(), if has_held => has_held = self.decide(),
                () = self.0.request_held.notified() => has_held = true,
                _ = reports.tick() => self.poll_reports(&owners, &local),
            }
        }
    }

    /// Decides on held requests and returns whether any request was held.
    fn decide(&self) -> bool {
        let now_ms = self.0.clock.now_ms();
        let mut has_held = false;
        for admission in self.0.admissions().values_mut() {
            if admission.controller.hint().held > 0 {
                admission.decide(now_ms);
                has_held = true;
            }
        }
        has_held
    }

    /// Polls the load report of each engine that this host owns or has recently decided for.
    fn poll_reports(&self, owners: &impl Owners, local: &name::Host) {
        let Some(active) = self.0.active.borrow().clone() else { return };
        let now_ms = self.0.clock.now_ms();
        let mut admissions = self.0.admissions();
        admissions.retain(|_, admission| {
            !admission.controller.is_idle() || now_ms - admission.last_used_ms < IDLE_EXPIRY_MS
        });
        for engine in &active.document().engines {
            let is_owner = || owners.owns(local, engine.name.as_str());
            if admissions.contains_key(&engine.name) || is_owner() {
                tokio::spawn(self.clone().poll_report(engine.clone()));
            }
        }
    }

    async fn poll_report(self, engine: Engine) {
        let load = self.0.client.load(engine.address).await;
        let priority_changes = {
            let mut admissions = self.0.admissions();
            let Some(admission) = self.0.admission(&mut admissions, &engine.name) else { return };
            let now_ms = self.0.clock.now_ms();
            match load {
                Ok(load) => {
                    let preempted = load.preemptions.saturating_sub(admission.preemptions);
                    self.0.instruments.count_preemptions(preempted);
                    admission.preemptions = load.preemptions;
                    admission.controller.report(now_ms, &load.into());
                }
                // An engine that is leaving also refuses to report its load.
                Err(engine::Error::Leaving) => {
                    admission
                        .controller
                        .report(now_ms, &Report { state: State::Leaving, ..Report::default() });
                }
                Err(_) => self.0.instruments.count_action("report_missed"),
            }
            admission.decide(now_ms);
            admission.priority_changes(now_ms)
        };
        for (generation, priority) in priority_changes {
            self.0.instruments.count_action("reordered");
            // An error is harmless: the generation may have ended in the meantime.
            let _ = self.0.client.reprioritise(engine.address, generation, priority).await;
        }
    }
}

impl Shared {
    fn admissions(&self) -> MutexGuard<'_, HashMap<name::Engine, Admission>> {
        self.admissions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the admission to `engine` under the policy of the document in force, and creates it if necessary.
    /// Returns `None` if the engine is not in the document.
    fn admission<'a>(
        &self,
        admissions: &'a mut HashMap<name::Engine, Admission>,
        engine: &name::Engine,
    ) -> Option<&'a mut Admission> {
        let active = self.active.borrow().clone()?;
        let memory_tokens = active.engine(engine.as_str())?.memory_tokens;
        let policy = &active.document().policy;
        let admission = admissions.entry(engine.clone()).or_insert_with(|| Admission {
            controller: Controller::new(memory_tokens, policy),
            waiters: HashMap::new(),
            generations: HashMap::new(),
            preemptions: 0,
            last_used_ms: 0,
        });
        admission.controller.set_policy(memory_tokens, policy);
        admission.last_used_ms = self.clock.now_ms();
        Some(admission)
    }
}

impl Admission {
    /// Returns a channel that receives the decision on a held request.
    fn add_waiter(&mut self, attempt: u128) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(attempt, sender);
        receiver
    }

    /// Decides on held requests and sends the replies to the waiting calls.
    fn decide(&mut self, now_ms: u64) {
        for decision in self.controller.poll(now_ms) {
            let waiter = self.waiters.remove(&decision.attempt);
            if let Some(waiter) = waiter {
                // If the call is gone, the entry host cancels the permit or the permit expires.
                let _ = waiter.send(decision.reply.into());
            }
        }
    }

    fn priority_changes(&mut self, now_ms: u64) -> Vec<(Uuid, u8)> {
        let changes = self.controller.reprioritise(now_ms);
        let generations = &self.generations;
        changes
            .into_iter()
            .filter_map(|change| Some((*generations.get(&change.attempt)?, change.engine_priority)))
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
