//! A simulated model engine without clock or sockets, with continuous batching, limited memory, preemption and a prefix
//! cache.
//!
//! Times are microseconds on the caller's clock and never decrease. Memory is counted in tokens.

mod prefix;
mod sequence;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use prefix::Cache;
use sequence::Sequence;

/// Largest number of prompt tokens that one step processes.
const PREFILL_CHUNK_TOKENS: u64 = 2_048;

/// Speed and capacity of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Memory for running sequences, in tokens.
    pub memory_tokens: u64,
    /// Largest number of running sequences.
    pub max_running: usize,
    /// Duration of a step that decodes nothing, in microseconds.
    pub base_step_us: u64,
    /// Added to a step for each sequence that decodes, in microseconds.
    pub per_sequence_us: u64,
    /// Added to a step for each prompt token processed, in microseconds.
    pub prefill_us_per_token: u64,
    /// Tokens that each decoding sequence produces per step, at least 1.
    pub tokens_per_step: u32,
    /// Memory for shared prompt prefixes, in tokens, in addition to `memory_tokens`.
    pub prefix_cache_tokens: u64,
    /// Delay of the load report, in microseconds.
    pub load_lag_us: u64,
    /// Largest random deviation of a step's duration, in thousandths.
    pub jitter_permille: u64,
    /// Seed of the random deviations.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            memory_tokens: 400_000,
            max_running: 256,
            base_step_us: 16_000,
            per_sequence_us: 50,
            prefill_us_per_token: 20,
            tokens_per_step: 1,
            prefix_cache_tokens: 50_000,
            load_lag_us: 250_000,
            jitter_permille: 20,
            seed: 1,
        }
    }
}

/// A generation to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier, unique among the requests in flight.
    pub id: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// True length of the output, in tokens, at least 1.
    pub output_tokens: u32,
    /// Priority; 0 is most urgent.
    pub priority: u8,
    /// Hash of the prompt's shared prefix.
    pub prefix: u64,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u32,
}

/// An event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time of the event, in microseconds.
    pub at_us: u64,
    /// Identifier of the request.
    pub id: u64,
    /// Kind of the event.
    pub kind: Kind,
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request entered the batch, for the first time or after a preemption.
    Started,
    /// The token with this index, from 0, was produced.
    Token(u32),
    /// The request was removed from the batch to free memory and waits to enter it again.
    Preempted,
    /// The last token was produced.
    Finished,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running sequences.
    pub running: usize,
    /// Waiting sequences.
    pub waiting: usize,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Total memory, in tokens.
    pub memory_tokens: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Duration of the latest step, in microseconds.
    pub token_us: u64,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The prompt leaves no memory for output.
    #[error("the prompt leaves no memory for output")]
    TooLarge,
    /// The engine was reclaimed.
    #[error("the engine was reclaimed")]
    Reclaimed,
}

/// A simulated engine.
///
/// ```
/// use standin::engine::model::{Kind, Model, Request, Settings};
/// let mut model = Model::new(Settings::default());
/// let request = Request { id: 7, prompt_tokens: 10, output_tokens: 2, priority: 0, prefix: 0, prefix_tokens: 0 };
/// model.submit(0, request)?;
/// let events = model.advance(1_000_000);
/// assert_eq!(events.last().map(|event| event.kind), Some(Kind::Finished));
/// # Ok::<(), standin::engine::model::Error>(())
/// ```
#[derive(Debug)]
pub struct Model {
    settings: Settings,
    running: Vec<Sequence>,
    /// Ordered by priority, then by arrival.
    waiting: BTreeMap<(u8, u64), Sequence>,
    cache: Cache,
    used_tokens: u64,
    preemptions: u64,
    recomputed_tokens: u64,
    step_started_us: u64,
    step_end_us: Option<u64>,
    token_us: u64,
    next_arrival: u64,
    reports: VecDeque<(u64, Load)>,
    events: Vec<Event>,
    rng_state: u64,
    reclaimed: bool,
}

impl Model {
    /// Returns an idle engine.
    pub fn new(settings: Settings) -> Self {
        Self {
            cache: Cache::new(settings.prefix_cache_tokens),
            rng_state: settings.seed,
            settings,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            used_tokens: 0,
            preemptions: 0,
            recomputed_tokens: 0,
            step_started_us: 0,
            step_end_us: None,
            token_us: 0,
            next_arrival: 0,
            reports: VecDeque::new(),
            events: Vec::new(),
            reclaimed: false,
        }
    }

    /// Submits a request. An output that would exceed the memory even without other sequences is shortened to fit.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the prompt leaves no memory for a token, `Reclaimed` after `reclaim`.
    pub fn submit(&mut self, now_us: u64, request: Request) -> Result<(), Error> {
        if self.reclaimed {
            return Err(Error::Reclaimed);
        }
        let prompt = u64::from(request.prompt_tokens);
        let available = self.settings.memory_tokens.saturating_sub(prompt);
        if available == 0 {
            return Err(Error::TooLarge);
        }
        self.run_until(now_us);
        let output = u64::from(request.output_tokens.max(1)).min(available);
        let sequence = Sequence::new(request, output as u32, self.next_arrival);
        self.next_arrival += 1;
        self.waiting.insert(sequence.rank(), sequence);
        self.start_if_idle(now_us);
        self.record_load(now_us);
        Ok(())
    }

    /// Removes a request and frees its memory. Returns whether it was in flight.
    pub fn cancel(&mut self, id: u64) -> bool {
        if let Some(index) = self.running.iter().position(|sequence| sequence.id() == id) {
            let sequence = self.running.remove(index);
            self.release(&sequence);
            return true;
        }
        self.remove_waiting(id).is_some()
    }

    /// Changes the priority of a request. Returns whether it was in flight.
    pub fn set_priority(&mut self, id: u64, priority: u8) -> bool {
        if let Some(sequence) = self.running.iter_mut().find(|sequence| sequence.id() == id) {
            sequence.set_priority(priority);
            return true;
        }
        let Some(mut sequence) = self.remove_waiting(id) else {
            return false;
        };
        sequence.set_priority(priority);
        self.waiting.insert(sequence.rank(), sequence);
        true
    }

    /// Ends all requests and rejects new ones. Returns the requests that were in flight, in no particular order.
    pub fn reclaim(&mut self) -> Vec<u64> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let in_flight =
            self.running.drain(..).chain(waiting).map(|sequence| sequence.id()).collect();
        self.reclaimed = true;
        self.used_tokens = 0;
        self.step_end_us = None;
        in_flight
    }

    /// Whether it rejects new requests because it was reclaimed.
    pub fn is_reclaimed(&self) -> bool {
        self.reclaimed
    }

    /// When the current step ends, in microseconds; none if the engine is idle.
    pub fn step_end_us(&self) -> Option<u64> {
        self.step_end_us
    }

    /// Runs all steps that end by `now_us` and returns their events, in order.
    pub fn advance(&mut self, now_us: u64) -> Vec<Event> {
        self.run_until(now_us);
        std::mem::take(&mut self.events)
    }

    /// Like `advance`, but appends to `events`, which saves an allocation per step.
    pub fn advance_into(&mut self, now_us: u64, events: &mut Vec<Event>) {
        self.run_until(now_us);
        events.append(&mut self.events);
    }

    /// The load report published at `now_us`: the load `load_lag_us` earlier.
    pub fn load(&self, now_us: u64) -> Load {
        let empty = Load { memory_tokens: self.settings.memory_tokens, ..Load::default() };
        let Some(published_us) = now_us.checked_sub(self.settings.load_lag_us) else {
            return empty;
        };
        let report = self.reports.iter().rev().find(|(at_us, _)| *at_us <= published_us);
        report.map_or(empty, |(_, load)| *load)
    }

    /// The current load, without the delay of the load report.
    pub fn current_load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            used_tokens: self.used_tokens,
            memory_tokens: self.settings.memory_tokens,
            preemptions: self.preemptions,
            token_us: self.token_us,
        }
    }

    /// Tokens prefilled again after preemptions, since the start.
    pub fn recomputed_tokens(&self) -> u64 {
        self.recomputed_tokens
    }

    /// Tokens that a request has produced; none if it is not in flight.
    pub fn produced(&self, id: u64) -> Option<u32> {
        let mut in_flight = self.running.iter().chain(self.waiting.values());
        in_flight.find(|sequence| sequence.id() == id).map(Sequence::produced)
    }

    /// Prefixes in the cache, most recently used last.
    pub fn prefixes(&self) -> Vec<u64> {
        self.cache.prefixes()
    }

    fn remove_waiting(&mut self, id: u64) -> Option<Sequence> {
        let rank = *self.waiting.iter().find(|(_, sequence)| sequence.id() == id)?.0;
        self.waiting.remove(&rank)
    }

    fn run_until(&mut self, now_us: u64) {
        while let Some(end_us) = self.step_end_us.filter(|end_us| *end_us <= now_us) {
            self.finish_step(end_us);
            self.start_step(end_us);
            self.record_load(end_us);
        }
    }

    fn start_if_idle(&mut self, now_us: u64) {
        if self.step_end_us.is_none() {
            self.start_step(now_us);
        }
    }

    fn start_step(&mut self, now_us: u64) {
        let preempted = self.preempt_to_fit(now_us);
        if !preempted {
            self.admit(now_us);
        }
        self.step_end_us = None;
        if self.running.is_empty() {
            return;
        }
        let prefilled = self.prefill();
        let decoding = self.running.iter().filter(|sequence| sequence.is_decoding()).count() as u64;
        let work_us = self.settings.base_step_us
            + self.settings.per_sequence_us * decoding
            + self.settings.prefill_us_per_token * prefilled;
        let step_us = self.jittered(work_us).max(1);
        self.step_started_us = now_us;
        self.step_end_us = Some(now_us + step_us);
    }

    /// Largest number of tokens that the next step can produce.
    fn growth(&self) -> u64 {
        self.running.len() as u64 * self.tokens_per_step()
    }

    fn tokens_per_step(&self) -> u64 {
        u64::from(self.settings.tokens_per_step.max(1))
    }

    /// Preempts sequences until the next step fits in memory and returns whether any was preempted. The last sequence
    /// always fits, because `submit` shortens its output.
    fn preempt_to_fit(&mut self, now_us: u64) -> bool {
        let before = self.preemptions;
        while self.running.len() > 1
            && self.used_tokens + self.growth() > self.settings.memory_tokens
        {
            let Some(index) = self.victim() else {
                break;
            };
            let mut sequence = self.running.remove(index);
            self.release(&sequence);
            sequence.preempt();
            self.preemptions += 1;
            self.events.push(Event { at_us: now_us, id: sequence.id(), kind: Kind::Preempted });
            self.waiting.insert(sequence.rank(), sequence);
        }
        self.preemptions > before
    }

    /// The running sequence with the lowest priority; of several, the latest arrival.
    fn victim(&self) -> Option<usize> {
        (0..self.running.len()).max_by_key(|index| self.running[*index].rank())
    }

    fn admit(&mut self, now_us: u64) {
        while self.running.len() < self.settings.max_running {
            let Some(entry) = self.waiting.first_entry() else {
                return;
            };
            let required = entry.get().required_tokens(&self.cache);
            let batch_empty = self.running.is_empty();
            let growth =
                (self.running.len() as u64 + 1) * u64::from(self.settings.tokens_per_step.max(1));
            if !batch_empty && self.used_tokens + required + growth > self.settings.memory_tokens {
                return;
            }
            let mut sequence = entry.remove();
            self.recomputed_tokens += sequence.enter(&mut self.cache);
            self.used_tokens += sequence.memory_tokens();
            self.events.push(Event { at_us: now_us, id: sequence.id(), kind: Kind::Started });
            self.running.push(sequence);
        }
    }

    /// Processes prompts in the order in which they entered the batch, and returns the number of tokens processed.
    fn prefill(&mut self) -> u64 {
        let mut remaining = PREFILL_CHUNK_TOKENS;
        for sequence in &mut self.running {
            remaining -= sequence.prefill(remaining);
            if remaining == 0 {
                break;
            }
        }
        PREFILL_CHUNK_TOKENS - remaining
    }

    fn finish_step(&mut self, end_us: u64) {
        self.token_us = end_us - self.step_started_us;
        let count = self.tokens_per_step() as u32;
        for sequence in &mut self.running {
            if !sequence.is_decoding() {
                continue;
            }
            for index in sequence.produce(count) {
                self.events.push(Event {
                    at_us: end_us,
                    id: sequence.id(),
                    kind: Kind::Token(index),
                });
                self.used_tokens += 1;
            }
            if sequence.is_finished() {
                self.events.push(Event { at_us: end_us, id: sequence.id(), kind: Kind::Finished });
                self.used_tokens -= sequence.memory_tokens();
                sequence.release_prefix(&mut self.cache);
            }
        }
        self.running.retain(|sequence| !sequence.is_finished());
    }

    fn release(&mut self, sequence: &Sequence) {
        self.used_tokens -= sequence.memory_tokens();
        sequence.release_prefix(&mut self.cache);
    }

    fn record_load(&mut self, now_us: u64) {
        let oldest_us = now_us.saturating_sub(self.settings.load_lag_us);
        while self.reports.get(1).is_some_and(|(at_us, _)| *at_us <= oldest_us) {
            self.reports.pop_front();
        }
        self.reports.push_back((now_us, self.current_load()));
    }

    fn jittered(&mut self, step_us: u64) -> u64 {
        let range = step_us * self.settings.jitter_permille / 1_000;
        if range == 0 {
            return step_us;
        }
        step_us - range + self.next_random() % (2 * range + 1)
    }

    /// Returns the next number of the splitmix64 generator.
    fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.rng_state;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }
}
