//! What an engine knows, and how it changes.

use std::collections::HashMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

use super::cache::{Journal, prefix};
use super::clock::Clock;
use super::control::{Counters, Faults, Refusal};
use super::generation::{End, Generation, Label};
use super::model::{Error, Event, Kind, Model, Request};
use super::order::{Loaded, Order, Seen};
use super::stream::Flaw;
use super::wire::{Completion, Phase};
use super::{Settings, length};
use crate::change::take;

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

/// The faults of one answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) flaw: Flaw,
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
    pub(super) open: HashMap<u64, Arc<Generation>>,
    pub(super) known: HashMap<Uuid, Arc<Generation>>,
    pub(super) executions: HashMap<String, u64>,
    pub(super) orders: Vec<Seen>,
    pub(super) orders_open: usize,
    pub(super) next_key: u64,
    pub(super) leave_at_us: Option<u64>,
    pub(super) sweep_at_us: u64,
    pub(super) events: Vec<Event>,
}

/// A change of a generation, to be told to its readers.
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
            open: HashMap::new(),
            known: HashMap::new(),
            executions: HashMap::new(),
            orders: Vec::new(),
            orders_open: 0,
            next_key: 0,
            leave_at_us: None,
            sweep_at_us: 0,
            events: Vec::new(),
        }
    }

    /// Runs the model and returns the changes of generations.
    pub(super) fn advance(&mut self, now_us: u64) -> Vec<Update> {
        let mut events = std::mem::take(&mut self.events);
        self.model.advance_into(now_us, &mut events);
        let mut updates: Vec<Update> = Vec::new();
        let mut entered = false;
        for event in events.drain(..) {
            match event.kind {
                Kind::Token(index) => self.token(event.id, index + 1, &mut updates),
                Kind::Finished => self.finished(event.id, &mut updates),
                Kind::Started => entered = true,
                Kind::Preempted => {}
            }
        }
        self.events = events;
        if entered {
            self.journal.update(now_us, self.model.prefixes());
        }
        updates
    }

    fn token(&mut self, key: u64, produced: u32, updates: &mut Vec<Update>) {
        self.counters.tokens += 1;
        if let Some(last) = updates.last_mut().filter(|update| update.generation.key == key) {
            last.produced = produced;
            return;
        }
        if let Some(generation) = self.open.get(&key) {
            updates.push(Update { generation: Arc::clone(generation), produced, end: None });
        }
    }

    /// A last token is always told together with the end, so that its event can carry the finish reason.
    fn finished(&mut self, key: u64, updates: &mut [Update]) {
        let Some(generation) = self.open.remove(&key) else {
            return;
        };
        self.counters.finished += 1;
        let end = if generation.cut { End::Length } else { End::Stop };
        if let Some(last) = updates.last_mut().filter(|update| update.generation.key == key) {
            last.end = Some(end);
        }
    }

    pub(super) fn submit(
        &mut self,
        completion: &Completion,
        max_waiting: usize,
    ) -> Result<(Arc<Generation>, Answer), Rejection> {
        if let Err(rejection) = self.admit(completion, max_waiting) {
            self.counters.refused += 1;
            return Err(rejection);
        }
        let now_us = self.clock.now_us();
        let length = length::output(&completion.prompt, &mut self.rng);
        let limit = completion.max_tokens.unwrap_or(u32::MAX).max(1);
        let (prefix, prefix_tokens) = prefix(&completion.prompt).unwrap_or((0, 0));
        let key = self.next_key;
        let request = Request {
            id: key,
            prompt_tokens: length::prompt(&completion.prompt),
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
        let label = Label::new(id, completion.request_id.clone(), completion.model.clone());
        let generation = Arc::new(Generation::new(key, label, length > limit));
        generation.lock().left_us = now_us;
        let answer = self.answer(key);
        self.open.insert(key, Arc::clone(&generation));
        self.known.insert(id, Arc::clone(&generation));
        self.counters.started += 1;
        *self.executions.entry(completion.request_id.clone()).or_default() += 1;
        Ok((generation, answer))
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

    /// The faults of the next answer.
    fn answer(&mut self, key: u64) -> Answer {
        let doubled = take(&mut self.faults.doubled);
        let cut_after = take(&mut self.faults.cut).then_some(self.faults.cut_after);
        let crossed = take(&mut self.faults.crossed).then(|| self.other_label(key));
        let late_ms = if take(&mut self.faults.late) { self.faults.late_ms } else { 0 };
        let dropped = take(&mut self.faults.dropped);
        Answer { flaw: Flaw { doubled, cut_after, crossed }, late_ms, dropped }
    }

    /// The label of another open generation, or of none that exists.
    fn other_label(&self, key: u64) -> Label {
        let other = self
            .open
            .values()
            .filter(|generation| generation.key != key)
            .min_by_key(|other| other.key);
        let unknown = || Label::new(Uuid::new_v4(), Uuid::new_v4().to_string(), String::new());
        other.map_or_else(unknown, |generation| generation.label.clone())
    }

    /// Takes a generation out of the model. Returns whether it was open.
    pub(super) fn close(&mut self, generation: &Generation) -> bool {
        self.model.cancel(generation.key);
        self.open.remove(&generation.key).is_some()
    }

    /// Cancels generations without readers and forgets those that ended long ago.
    pub(super) fn sweep(&mut self, now_us: u64, keep_us: u64, updates: &mut Vec<Update>) {
        self.known.retain(|_, generation| {
            let progress = generation.lock();
            progress.end.is_none() || now_us < progress.ended_us + keep_us
        });
        let linger_us = self.faults.linger_ms * 1_000;
        let orphaned = |generation: &&Arc<Generation>| {
            let progress = generation.lock();
            progress.readers == 0 && now_us >= progress.left_us + linger_us
        };
        let orphans: Vec<_> = self.open.values().filter(orphaned).cloned().collect();
        for generation in orphans {
            self.close(&generation);
            self.counters.orphaned += 1;
            updates.push(Update { generation, produced: 0, end: Some(End::Cancelled) });
        }
    }

    pub(super) fn reclaim(&mut self, updates: &mut Vec<Update>) {
        self.model.reclaim();
        let lost = self.open.drain().map(|(_, generation)| generation);
        updates.extend(lost.map(|generation| Update {
            generation,
            produced: 0,
            end: Some(End::Reclaimed),
        }));
    }

    pub(super) fn phase(&self) -> Phase {
        if self.leave_at_us.is_some() || self.faults.refuse == Refusal::Leaving {
            return Phase::Leaving;
        }
        if self.orders_open > 0 { Phase::Loading } else { Phase::Serving }
    }

    /// Notes an order. Returns whether it is taken, and how long it takes in milliseconds.
    pub(super) fn receive(&mut self, order: &Order) -> (bool, u64) {
        let applied = !self.faults.fences || self.loaded.admits(order.fence);
        let (order_id, kind) = (order.order_id, order.kind.name().to_owned());
        self.orders.push(Seen { order_id, fence: order.fence, kind, applied });
        if applied {
            self.loaded.fence = order.fence;
            self.orders_open += 1;
        } else {
            self.counters.fenced += 1;
        }
        (applied, self.faults.order_ms)
    }

    pub(super) fn carry_out(&mut self, order: &Order) {
        self.loaded.apply(&order.kind);
        self.orders_open -= 1;
    }
}
