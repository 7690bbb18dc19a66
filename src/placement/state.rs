//! Load estimates of an entry host and its selection of engines.

use std::borrow::Borrow;
use std::collections::HashMap;

use super::random::{Random, hash, mix};
use crate::admission::Hint;
use crate::{document, name};

/// Half-life of the weight of a hint, in milliseconds.
const HINT_HALF_LIFE_MS: f64 = 3_000.0;
/// Load assumed without a hint, in thousandths of the memory.
const DEFAULT_LOAD: f64 = 500.0;
/// Load added for each request sent to an engine since its last hint, in thousandths of the memory.
const REQUEST_LOAD: f64 = 10.0;
/// Most load by which the engine preferred for a prefix may exceed another engine, in thousandths of the memory.
const AFFINITY_MAX_EXCESS: f64 = 200.0;
/// Time after a failure for which an engine is tried last, in milliseconds.
const FAILURE_PENALTY_MS: u64 = 2_000;
/// Engines sampled at random for each request.
const SAMPLES: usize = 2;

/// A request to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The model.
    pub model: name::Model,
    /// The organisation.
    pub organisation: name::Organisation,
    /// The workload.
    pub workload: name::Workload,
    /// The priority, 0 (most urgent) to 9.
    pub priority: u8,
    /// Hash of the prompt's prefix, 0 if the prefix is not worth caching.
    pub prefix: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

/// An engine to ask for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The engine.
    pub engine: name::Engine,
    /// Whether its owner may hold the request until the engine has enough memory.
    pub hold: bool,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    load: f64,
    at_ms: u64,
    failed_ms: Option<u64>,
}

/// Load estimates of all engines at one entry host.
///
/// ```
/// use nutmeghead::{admission, name, placement};
/// let mut state = placement::State::new(7);
/// let engine = name::Engine::new("e-1")?;
/// state.apply_hint(1_000, &engine, admission::Hint { load_permille: 900, running: 80, held: 2 });
/// assert!(state.load(1_000, &engine) > 850.0);
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct State {
    random: Random,
    estimates: HashMap<name::Engine, Estimate>,
}

impl State {
    /// A state without hints. Entry hosts use different seeds.
    pub fn new(seed: u64) -> Self {
        Self { random: Random::new(mix(seed)), estimates: HashMap::new() }
    }

    /// The engines to ask for a permit, in order; none if no engine serves the model. The last one may hold the
    /// request.
    ///
    /// Does not select engines for which `is_excluded` returns true. Adds the load of the request to the first engine.
    pub fn candidates<E: Borrow<document::Engine>>(
        &mut self,
        now_ms: u64,
        request: &Request,
        engines: &[E],
        is_excluded: impl Fn(&name::Engine) -> bool,
    ) -> Vec<Candidate> {
        let serving: Vec<&document::Engine> = engines
            .iter()
            .map(Borrow::borrow)
            .filter(|engine| serves(engine, request, &is_excluded))
            .collect();
        if serving.is_empty() {
            return Vec::new();
        }
        let selected = self.select(now_ms, request, &serving);
        let last = selected.len() - 1;
        let candidates: Vec<Candidate> = selected
            .into_iter()
            .enumerate()
            .map(|(index, engine)| Candidate { engine: engine.name.clone(), hold: index == last })
            .collect();
        if let Some(first) = candidates.first() {
            self.add_request(now_ms, &first.engine);
        }
        candidates
    }

    /// Applies the hint from an owner's reply.
    pub fn apply_hint(&mut self, now_ms: u64, engine: &name::Engine, hint: Hint) {
        let estimate =
            Estimate { load: f64::from(hint.load_permille), at_ms: now_ms, failed_ms: None };
        self.estimates.insert(engine.clone(), estimate);
    }

    /// Records that the engine or its owner did not reply, or that the engine refused the request.
    pub fn record_failure(&mut self, now_ms: u64, engine: &name::Engine) {
        let estimate = self.estimates.entry(engine.clone()).or_insert(default_estimate(now_ms));
        estimate.failed_ms = Some(now_ms);
    }

    /// Removes engines for which `keep` returns false, such as those no longer in the document.
    pub fn retain(&mut self, keep: impl Fn(&name::Engine) -> bool) {
        self.estimates.retain(|engine, _| keep(engine));
    }

    /// Estimated load of an engine, in thousandths of its memory; infinite for `FAILURE_PENALTY_MS` after a failure.
    pub fn load(&self, now_ms: u64, engine: &name::Engine) -> f64 {
        let Some(estimate) = self.estimates.get(engine) else {
            return DEFAULT_LOAD;
        };
        if estimate
            .failed_ms
            .is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < FAILURE_PENALTY_MS)
        {
            return f64::INFINITY;
        }
        let age_ms = now_ms.saturating_sub(estimate.at_ms) as f64;
        let weight = (-age_ms / HINT_HALF_LIFE_MS).exp2();
        DEFAULT_LOAD + (estimate.load - DEFAULT_LOAD) * weight
    }

    /// The engines to ask for a permit, in order.
    fn select<'a>(
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
        let Some(preferred) = preferred_engine(request.prefix, serving) else {
            return sampled;
        };
        if self.load(now_ms, &preferred.name)
            > self.load(now_ms, &sampled[0].name) + AFFINITY_MAX_EXCESS
        {
            return sampled;
        }
        sampled.retain(|engine| engine.name != preferred.name);
        sampled.truncate(SAMPLES - 1);
        sampled.insert(0, preferred);
        sampled
    }

    /// Adds the load of a request to the estimate of `engine`.
    fn add_request(&mut self, now_ms: u64, engine: &name::Engine) {
        let load = self.load(now_ms, engine);
        let estimate = self.estimates.entry(engine.clone()).or_insert(default_estimate(now_ms));
        if load.is_finite() {
            estimate.load = load + REQUEST_LOAD;
            estimate.at_ms = now_ms;
        }
    }
}

fn default_estimate(now_ms: u64) -> Estimate {
    Estimate { load: DEFAULT_LOAD, at_ms: now_ms, failed_ms: None }
}

fn serves(
    engine: &document::Engine,
    request: &Request,
    is_excluded: impl Fn(&name::Engine) -> bool,
) -> bool {
    engine.intent == document::Intent::Serve
        && engine.role != document::Role::Prefill
        && engine.models.contains(&request.model)
        && !is_excluded(&engine.name)
}

/// The engine that all entry hosts prefer for a prefix, by rendezvous hashing.
fn preferred_engine<'a>(
    prefix: u64,
    serving: &[&'a document::Engine],
) -> Option<&'a document::Engine> {
    serving.iter().copied().max_by_key(|engine| mix(hash(engine.name.as_str()) ^ prefix))
}
