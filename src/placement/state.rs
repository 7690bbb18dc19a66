//! What an entry host knows of the engines.

use std::borrow::Borrow;
use std::collections::HashMap;

use super::random::{Random, hash, mix};
use crate::admission::Hint;
use crate::{document, name};

/// Time in which a hint loses half of its weight, in milliseconds.
const HINT_HALF_LIFE_MS: f64 = 3_000.0;
/// Load that is assumed without a hint, in thousandths of the memory.
const UNKNOWN_LOAD: f64 = 500.0;
/// Load that an engine is charged for each request sent to it since its last hint, in thousandths of the memory.
const SENT_LOAD: f64 = 10.0;
/// How much busier than another engine one with the prefix may be, in thousandths of the memory.
const AFFINITY_BOUND: f64 = 200.0;
/// Time for which an engine that failed is asked last, in milliseconds.
const FAILED_MS: u64 = 2_000;
/// Engines picked at random for each request.
const SAMPLES: usize = 2;

/// A request to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The model.
    pub model: name::Model,
    /// The customer.
    pub organisation: name::Organisation,
    /// The kind of work.
    pub workload: name::Workload,
    /// The priority, 0 (most urgent) to 9.
    pub priority: u8,
    /// Hash of the prompt's beginning, 0 if it has none worth caching.
    pub prefix: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

/// An engine to ask for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The engine.
    pub engine: name::Engine,
    /// Whether its owner may hold the request.
    pub hold: bool,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    load: f64,
    at_ms: u64,
    failed_ms: Option<u64>,
}

/// What an entry host knows of the engines.
///
/// ```
/// use nutmeghead::{admission, name, placement};
/// let mut state = placement::State::new(7);
/// let engine = name::Engine::new("e-1")?;
/// state.hint(1_000, &engine, admission::Hint { load_permille: 900, running: 80, held: 2 });
/// assert!(state.load(1_000, &engine) > 850.0);
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct State {
    random: Random,
    seen: HashMap<name::Engine, Seen>,
}

impl State {
    /// Knows nothing of any engine. Entry hosts use different seeds.
    pub fn new(seed: u64) -> Self {
        Self { random: Random::new(mix(seed)), seen: HashMap::new() }
    }

    /// The engines to ask for a permit, in order; none if no engine serves the model. The last one may hold the request.
    ///
    /// `leaves` says which engines take no new work.
    pub fn candidates<E: Borrow<document::Engine>>(
        &mut self,
        now_ms: u64,
        request: &Request,
        engines: &[E],
        leaves: impl Fn(&name::Engine) -> bool,
    ) -> Vec<Candidate> {
        let serving: Vec<&document::Engine> = engines
            .iter()
            .map(Borrow::borrow)
            .filter(|engine| serves(engine, request, &leaves))
            .collect();
        if serving.is_empty() {
            return Vec::new();
        }
        let picks = self.pick(now_ms, request, &serving);
        let last = picks.len() - 1;
        let candidates: Vec<Candidate> = picks
            .into_iter()
            .enumerate()
            .map(|(index, engine)| Candidate { engine: engine.name.clone(), hold: index == last })
            .collect();
        if let Some(first) = candidates.first() {
            self.charge(now_ms, &first.engine);
        }
        candidates
    }

    /// Takes in the hint of an owner's answer.
    pub fn hint(&mut self, now_ms: u64, engine: &name::Engine, hint: Hint) {
        let seen = Seen { load: f64::from(hint.load_permille), at_ms: now_ms, failed_ms: None };
        self.seen.insert(engine.clone(), seen);
    }

    /// The engine or its owner did not answer, or the engine refused the work.
    pub fn failed(&mut self, now_ms: u64, engine: &name::Engine) {
        let seen = self.seen.entry(engine.clone()).or_insert(unknown(now_ms));
        seen.failed_ms = Some(now_ms);
    }

    /// Forgets engines that are not in the document any more.
    pub fn retain(&mut self, keep: impl Fn(&name::Engine) -> bool) {
        self.seen.retain(|engine, _| keep(engine));
    }

    /// The load that an engine is believed to have, in thousandths of its memory.
    pub fn load(&self, now_ms: u64, engine: &name::Engine) -> f64 {
        let Some(seen) = self.seen.get(engine) else {
            return UNKNOWN_LOAD;
        };
        if seen.failed_ms.is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < FAILED_MS) {
            return f64::INFINITY;
        }
        let age_ms = now_ms.saturating_sub(seen.at_ms) as f64;
        let weight = (-age_ms / HINT_HALF_LIFE_MS).exp2();
        UNKNOWN_LOAD + (seen.load - UNKNOWN_LOAD) * weight
    }

    /// The engines to ask, in order.
    fn pick<'a>(
        &mut self,
        now_ms: u64,
        request: &Request,
        serving: &[&'a document::Engine],
    ) -> Vec<&'a document::Engine> {
        let mut sampled: Vec<&document::Engine> = Vec::with_capacity(SAMPLES + 1);
        for _ in 0..SAMPLES * 2 {
            let engine = serving[self.random.below(serving.len())];
            if sampled.len() < SAMPLES && sampled.iter().all(|other| other.name != engine.name) {
                sampled.push(engine);
            }
        }
        sampled.sort_by(|a, b| self.load(now_ms, &a.name).total_cmp(&self.load(now_ms, &b.name)));
        if request.prefix == 0 {
            return sampled;
        }
        let Some(home) = home(request.prefix, serving) else {
            return sampled;
        };
        if self.load(now_ms, &home.name) > self.load(now_ms, &sampled[0].name) + AFFINITY_BOUND {
            return sampled;
        }
        sampled.retain(|engine| engine.name != home.name);
        sampled.truncate(SAMPLES - 1);
        sampled.insert(0, home);
        sampled
    }

    fn charge(&mut self, now_ms: u64, engine: &name::Engine) {
        let load = self.load(now_ms, engine);
        let seen = self.seen.entry(engine.clone()).or_insert(unknown(now_ms));
        if load.is_finite() {
            seen.load = load + SENT_LOAD;
            seen.at_ms = now_ms;
        }
    }
}

fn unknown(now_ms: u64) -> Seen {
    Seen { load: UNKNOWN_LOAD, at_ms: now_ms, failed_ms: None }
}

fn serves(
    engine: &document::Engine,
    request: &Request,
    leaves: impl Fn(&name::Engine) -> bool,
) -> bool {
    engine.intent == document::Intent::Serve
        && engine.role != document::Role::Prefill
        && engine.models.contains(&request.model)
        && !leaves(&engine.name)
}

/// The engine that all entry hosts prefer for a prefix: the one with the highest hash.
fn home<'a>(prefix: u64, serving: &[&'a document::Engine]) -> Option<&'a document::Engine> {
    serving.iter().copied().max_by_key(|engine| mix(hash(engine.name.as_str()) ^ prefix))
}
