//! Baseline policies. They decide centrally, without message delays, and pass priorities to the engine.

use std::collections::{HashMap, VecDeque};

use super::driver::{Action, Actions, Policy};
use super::generate::MAX_OUTPUT_TOKENS;
use super::trace::{Arrival, Kind, Trace};
use crate::engine::model::Load;

/// Fraction of an engine's memory that the fixed cap fills with generations of mean size.
const CAP_MEMORY_FRACTION: f64 = 0.9;

/// Admission and placement rule of a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// First come, first served, with a fixed limit of running generations per engine.
    FixedCap,
    /// First come, first served, with memory reserved for the longest possible output.
    Reserve,
    /// Sends each request immediately to the engine with the lowest reported memory use.
    LeastLoaded,
    /// Sends each request immediately to the less loaded of two random engines.
    TwoChoices,
}

#[derive(Clone, Debug)]
struct Engine {
    memory_tokens: u64,
    used_tokens: u64,
    /// Number of generations sent and not ended.
    running: usize,
    /// Memory reserved for running generations, in tokens.
    reserved_tokens: u64,
    leaving: bool,
}

/// A baseline policy.
pub struct Baseline {
    rule: Rule,
    /// Maximum number of running generations per engine for [`Rule::FixedCap`].
    cap: usize,
    engines: Vec<Engine>,
    queue: VecDeque<usize>,
    /// Priority of each request and its maximum size in tokens.
    requests: HashMap<usize, (u8, u64)>,
    /// Engine of each request that was sent.
    placed: HashMap<usize, usize>,
    random: u64,
}

impl Baseline {
    /// Creates a policy for the engines of `trace`; the fixed cap follows from the mean size of its generations.
    pub fn new(rule: Rule, trace: &Trace, seed: u64) -> Self {
        let engine = |engine: &super::trace::Engine| Engine {
            memory_tokens: engine.memory_tokens,
            used_tokens: 0,
            running: 0,
            reserved_tokens: 0,
            leaving: false,
        };
        let memory = trace.engines[0].memory_tokens as f64;
        Self {
            rule,
            cap: (CAP_MEMORY_FRACTION * memory / mean_size(trace)).max(1.0) as usize,
            engines: trace.engines.iter().map(engine).collect(),
            queue: VecDeque::new(),
            requests: HashMap::new(),
            placed: HashMap::new(),
            random: seed,
        }
    }

    fn pick_engine(&mut self, size: u64) -> Option<usize> {
        let available: Vec<usize> =
            (0..self.engines.len()).filter(|index| !self.engines[*index].leaving).collect();
        let engines = &self.engines;
        match self.rule {
            Rule::FixedCap => {
                let free = available.into_iter().filter(|index| engines[*index].running < self.cap);
                free.min_by_key(|index| engines[*index].running)
            }
            Rule::Reserve => {
                let fits = |index: &usize| {
                    let engine = &engines[*index];
                    engine.reserved_tokens + size <= engine.memory_tokens
                };
                available
                    .into_iter()
                    .filter(fits)
                    .min_by_key(|index| engines[*index].reserved_tokens)
            }
            Rule::LeastLoaded => {
                available.into_iter().min_by_key(|index| engines[*index].used_tokens)
            }
            Rule::TwoChoices if available.is_empty() => None,
            Rule::TwoChoices => {
                let first = available[self.random() % available.len()];
                let second = available[self.random() % available.len()];
                [first, second].into_iter().min_by_key(|index| self.engines[*index].used_tokens)
            }
        }
    }

    /// A pseudo-random number from a shortened splitmix64 generator with one multiplication.
    fn random(&mut self) -> usize {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (value ^ (value >> 29)) as usize >> 8
    }

    /// Sends queued requests in order of arrival until no engine is available for the next one.
    fn dispatch(&mut self, actions: &mut Actions<Self>) {
        while let Some(&job) = self.queue.front() {
            let Some(&(priority, size)) = self.requests.get(&job) else {
                self.queue.pop_front();
                continue;
            };
            let Some(engine) = self.pick_engine(size) else {
                return;
            };
            self.queue.pop_front();
            self.engines[engine].running += 1;
            self.engines[engine].reserved_tokens += size;
            self.placed.insert(job, engine);
            actions.push(Action::Send { job, engine, priority });
        }
    }
}

/// Time-weighted mean size of a running generation, in tokens.
fn mean_size(trace: &Trace) -> f64 {
    let (mut area, mut time) = (0.0, 0.0);
    for event in &trace.events {
        if let Kind::Arrive(arrival) = &event.kind {
            let output = f64::from(arrival.output_tokens);
            area += (f64::from(arrival.prompt_tokens) + output / 2.0) * output;
            time += output;
        }
    }
    area / f64::max(time, 1.0)
}

impl Policy for Baseline {
    type Message = ();

    fn on_arrival(
        &mut self,
        _now_ms: u64,
        job: usize,
        arrival: &Arrival,
        actions: &mut Actions<Self>,
    ) {
        let limit = if arrival.max_tokens > 0 { arrival.max_tokens } else { MAX_OUTPUT_TOKENS };
        let size = u64::from(arrival.prompt_tokens) + u64::from(limit);
        self.requests.insert(job, (arrival.priority, size));
        self.queue.push_back(job);
        self.dispatch(actions);
    }

    fn on_load_report(
        &mut self,
        _now_ms: u64,
        engine: usize,
        load: &Load,
        leaving: bool,
        _actions: &mut Actions<Self>,
    ) {
        self.engines[engine].used_tokens = load.used_tokens;
        self.engines[engine].leaving |= leaving;
    }

    fn poll(&mut self, _now_ms: u64, actions: &mut Actions<Self>) {
        self.dispatch(actions);
    }

    fn on_end(
        &mut self,
        _now_ms: u64,
        job: usize,
        _produced: Option<u32>,
        actions: &mut Actions<Self>,
    ) {
        let request = self.requests.remove(&job);
        if let (Some((_, size)), Some(engine)) = (request, self.placed.remove(&job)) {
            self.engines[engine].running -= 1;
            self.engines[engine].reserved_tokens -= size;
        }
        self.dispatch(actions);
    }

    fn on_engine_lost(&mut self, _now_ms: u64, engine: usize) {
        self.engines[engine].leaving = true;
    }
}
