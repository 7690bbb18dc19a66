//! The mutable state of an engine.

use std::collections::HashMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

use super::cache::{Journal, prefix};
use super::clock::Clock;
use super::control::{Counters, Faults, Refusal};
use super::generation::{End, Generation, Identity};
use super::model::{Error, Event, Kind, Model, Request};
use super::order::{Loaded, Order, Record};
use super::stream::Fault;
use super::wire::{Completion, Phase};
use super::{Settings, length};
use crate::control::consume;

/// Why a completion did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    #[error("leaving")]
    Leaving,
    #[error("busy")]
    Busy,
    #[error("unknown_model")]
    UnknownModel,
    #[error("too_large")]
    TooLarge,
}

/// The faults injected into one completion.
#[derive(Debug)]
pub(super) struct Injection {
    pub(super) fault: Fault,
    pub(super) late_ms: u64,
    pub(super) dropped: bool,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) model: Model,
    pub(super) clock: Clock,
    pub(super) faults: Faults,
    pub(super) counters: Counters,
    pub(super) loaded: Loaded,
    pub(super) journal: Journal,
    pub(super) rng: StdRng,
    /// Generations in flight, by key.
    pub(super) active: HashMap<u64, Arc<Generation>>,
    /// Generations in flight and ended ones that can still be read.
    pub(super) by_id: HashMap<Uuid, Arc<Generation>>,
    /// Number of generations started, by request identifier.
    pub(super) executions: HashMap<String, u64>,
    pub(super) orders: Vec<Record>,
    pub(super) orders_in_progress: usize,
    pub(super) next_key: u64,
    /// When the engine is reclaimed, if that was announced.
    pub(super) leave_at_us: Option<u64>,
    pub(super) sweep_at_us: u64,
    /// Empty between calls; keeps its allocation.
    pub(super) events: Vec<Event>,
}

/// Progress of a generation, to be recorded for its readers.
pub(super) struct Update {
    pub(super) generation: Arc<Generation>,
    pub(super) produced: u32,
    pub(super) end: Option<End>,
}

impl Inner {
    /// Returns an idle engine.
    pub(super) fn new(settings: &Settings) -> Self {
        let loaded = Loaded {
            models: settings.models.clone(),
            adapters: Vec::new(),
            version: settings.version.clone(),
            role: settings.role.clone(),
            fence: 0,
        };
        let faults = Faults {
            fences: settings.fences,
            order_ms: settings.order_ms,
            linger_ms: settings.linger_ms,
            ..Faults::default()
        };
        Self {
            model: Model::new(settings.model.clone()),
            clock: Clock::new(),
            faults,
            counters: Counters::default(),
            loaded,
            journal: Journal::new(settings.cache_lag_ms, settings.cache_gap),
            rng: StdRng::seed_from_u64(settings.model.seed),
            active: HashMap::new(),
            by_id: HashMap::new(),
            executions: HashMap::new(),
            orders: Vec::new(),
            orders_in_progress: 0,
            next_key: 0,
            leave_at_us: None,
            sweep_at_us: 0,
            events: Vec::new(),
        }
    }

    /// Runs the model and returns the progress of the generations.
    pub(super) fn advance(&mut self, now_us: u64) -> Vec<Update> {
        let mut events = std::mem::take(&mut self.events);
        self.model.advance_into(now_us, &mut events);
        let mut updates: Vec<Update> = Vec::new();
        let mut batch_grew = false;
        for event in events.drain(..) {
            match event.kind {
                Kind::Token(index) => self.on_token(event.id, index + 1, &mut updates),
                Kind::Finished => self.on_finished(event.id, &mut updates),
                Kind::Started => batch_grew = true,
                Kind::Preempted => {}
            }
        }
        self.events = events;
        if batch_grew {
            self.journal.update(now_us, self.model.prefixes());
        }
        updates
    }

    fn on_token(&mut self, key: u64, produced: u32, updates: &mut Vec<Update>) {
        self.counters.tokens += 1;
        if let Some(last) = updates.last_mut().filter(|update| update.generation.key == key) {
            last.produced = produced;
            return;
        }
        if let Some(generation) = self.active.get(&key) {
            updates.push(Update { generation: Arc::clone(generation), produced, end: None });
        }
    }

    /// Adds the end to the update of the last token, so that the event of that token can carry the finish reason.
    fn on_finished(&mut self, key: u64, updates: &mut [Update]) {
        let Some(generation) = self.active.remove(&key) else {
            return;
        };
        self.counters.finished += 1;
        let end = if generation.truncated { End::Length } else { End::Stop };
        if let Some(last) = updates.last_mut().filter(|update| update.generation.key == key) {
            last.end = Some(end);
        }
    }

    pub(super) fn submit(
        &mut self,
        completion: &Completion,
        max_waiting: usize,
    ) -> Result<(Arc<Generation>, Injection), Rejection> {
        if let Err(rejection) = self.admit(completion, max_waiting) {
            self.counters.refused += 1;
            return Err(rejection);
        }
        let now_us = self.clock.now_us();
        let length = length::output_tokens(&completion.prompt, &mut self.rng);
        let limit = completion.max_tokens.unwrap_or(u32::MAX).max(1);
        let (prefix, prefix_tokens) = prefix(&completion.prompt).unwrap_or((0, 0));
        let key = self.next_key;
        let request = Request {
            id: key,
            prompt_tokens: length::prompt_tokens(&completion.prompt),
            output_tokens: length.min(limit),
            priority: completion.priority,
            prefix,
            prefix_tokens,
        };
        match self.model.submit(now_us, request) {
            Ok(()) => self.next_key += 1,
            Err(Error::TooLarge) => return Err(Rejection::TooLarge),
            Err(Error::Reclaimed) => return Err(Rejection::Leaving),
        }
        let id = Uuid::new_v4();
        let identity = Identity::new(id, completion.request_id.clone(), completion.model.clone());
        let generation = Arc::new(Generation::new(key, identity, length > limit));
        generation.lock().unread_since_us = now_us;
        let injection = self.next_injection(key);
        self.active.insert(key, Arc::clone(&generation));
        self.by_id.insert(id, Arc::clone(&generation));
        self.counters.started += 1;
        *self.executions.entry(completion.request_id.clone()).or_default() += 1;
        Ok((generation, injection))
    }

    fn admit(&self, completion: &Completion, max_waiting: usize) -> Result<(), Rejection> {
        if self.leave_at_us.is_some() || self.faults.refuse == Refusal::Leaving {
            return Err(Rejection::Leaving);
        }
        if self.faults.refuse == Refusal::Busy || self.model.current_load().waiting >= max_waiting {
            return Err(Rejection::Busy);
        }
        let models = &self.loaded.models;
        if !models.is_empty() && !models.contains(&completion.model) {
            return Err(Rejection::UnknownModel);
        }
        Ok(())
    }

    /// The faults to inject into the next completion.
    fn next_injection(&mut self, key: u64) -> Injection {
        let doubled = consume(&mut self.faults.doubled);
        let cut_after = consume(&mut self.faults.cut).then_some(self.faults.cut_after);
        let crossed = consume(&mut self.faults.crossed).then(|| self.other_identity(key));
        let late_ms = if consume(&mut self.faults.late) { self.faults.late_ms } else { 0 };
        let dropped = consume(&mut self.faults.dropped);
        Injection { fault: Fault { doubled, cut_after, crossed }, late_ms, dropped }
    }

    /// The identity of another generation in flight, or a random one.
    fn other_identity(&self, key: u64) -> Identity {
        let other = self
            .active
            .values()
            .filter(|generation| generation.key != key)
            .min_by_key(|other| other.key);
        let random = || Identity::new(Uuid::new_v4(), Uuid::new_v4().to_string(), String::new());
        other.map_or_else(random, |generation| generation.identity.clone())
    }

    /// Removes a generation from the model. Returns whether it was in flight.
    pub(super) fn remove(&mut self, generation: &Generation) -> bool {
        self.model.cancel(generation.key);
        self.active.remove(&generation.key).is_some()
    }

    /// Cancels generations that had no reader for the linger time, and drops those that ended `retention_us` ago.
    pub(super) fn sweep(&mut self, now_us: u64, retention_us: u64, updates: &mut Vec<Update>) {
        self.by_id.retain(|_, generation| {
            let progress = generation.lock();
            progress.end.is_none() || now_us < progress.ended_us + retention_us
        });
        let linger_us = self.faults.linger_ms * 1_000;
        let orphaned = |generation: &&Arc<Generation>| {
            let progress = generation.lock();
            progress.readers == 0 && now_us >= progress.unread_since_us + linger_us
        };
        let orphans: Vec<_> = self.active.values().filter(orphaned).cloned().collect();
        for generation in orphans {
            self.remove(&generation);
            self.counters.orphaned += 1;
            updates.push(Update { generation, produced: 0, end: Some(End::Cancelled) });
        }
    }

    pub(super) fn reclaim(&mut self, updates: &mut Vec<Update>) {
        self.model.reclaim();
        let ended = self.active.drain().map(|(_, generation)| generation);
        updates.extend(ended.map(|generation| Update {
            generation,
            produced: 0,
            end: Some(End::Reclaimed),
        }));
    }

    pub(super) fn phase(&self) -> Phase {
        if self.leave_at_us.is_some() || self.faults.refuse == Refusal::Leaving {
            return Phase::Leaving;
        }
        if self.orders_in_progress > 0 { Phase::Loading } else { Phase::Serving }
    }

    /// Records an order. Returns whether it is accepted, and its duration in milliseconds.
    pub(super) fn receive(&mut self, order: &Order) -> (bool, u64) {
        let applied = !self.faults.fences || self.loaded.accepts(order.fence);
        let (order_id, kind) = (order.order_id, order.kind.name().to_owned());
        self.orders.push(Record { order_id, fence: order.fence, kind, applied });
        if applied {
            self.loaded.fence = order.fence;
            self.orders_in_progress += 1;
        } else {
            self.counters.fenced += 1;
        }
        (applied, self.faults.order_ms)
    }

    pub(super) fn execute_order(&mut self, order: &Order) {
        self.loaded.apply(&order.kind);
        self.orders_in_progress -= 1;
    }
}
