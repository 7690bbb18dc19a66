//! A policy that knows all output lengths and the current state of every engine: the reference for
//! the best result that a policy can reach.

use std::collections::HashMap;

use super::driver::{Action, Actions, Policy};
use super::trace::{Arrival, Trace};
use crate::engine::model::Load;

/// A request waits only if enough memory is freed by the generations with at most this many tokens remaining.
const WAIT_HORIZON_TOKENS: u64 = 100;

/// Maximum time that a request waits, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

struct Request {
    arrival: Arrival,
    arrived_ms: u64,
    produced: u32,
    engine: Option<usize>,
}

#[derive(Clone, Debug)]
struct Engine {
    memory_tokens: u64,
    running: Vec<usize>,
    leaving: bool,
}

/// Admits requests that fit until they finish, by priority, then by the organisation's memory use.
pub struct Oracle {
    engines: Vec<Engine>,
    requests: HashMap<usize, Request>,
    waiting: Vec<usize>,
}

impl Oracle {
    /// Creates a policy for the engines of `trace`.
    pub fn new(trace: &Trace) -> Self {
        let engine = |engine: &super::trace::Engine| Engine {
            memory_tokens: engine.memory_tokens,
            running: Vec::new(),
            leaving: false,
        };
        Self {
            engines: trace.engines.iter().map(engine).collect(),
            requests: HashMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Tokens that a request holds in memory and tokens that it has yet to produce.
    fn size(&self, job: usize) -> (u64, u64) {
        let request = &self.requests[&job];
        let held = request.arrival.prompt_tokens + request.produced;
        let remaining = request.arrival.output_tokens.saturating_sub(request.produced);
        (u64::from(held), u64::from(remaining))
    }

    /// Peak memory use of `engine`, in tokens, if only `job` is added.
    fn peak(&self, engine: &Engine, job: usize) -> u64 {
        let mut sizes: Vec<(u64, u64)> =
            engine.running.iter().chain([&job]).map(|job| self.size(*job)).collect();
        sizes.sort_unstable_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        let mut held_sum = 0;
        let mut peak = 0;
        for (index, (held, remaining)) in sizes.into_iter().enumerate() {
            held_sum += held;
            peak = peak.max(held_sum + (index as u64 + 1) * remaining);
        }
        peak
    }

    /// Whether memory for a waiting request and for those of the same or higher urgency is freed soon.
    fn frees_in_time(&self, job: usize) -> bool {
        let freed = |job: &usize| {
            let (held, remaining) = self.size(*job);
            if remaining <= WAIT_HORIZON_TOKENS { held + remaining } else { 0 }
        };
        let available = self.engines.iter().filter(|engine| !engine.leaving);
        let free: u64 = available.flat_map(|engine| &engine.running).map(freed).sum();
        let priority = self.requests[&job].arrival.priority;
        let as_urgent = |other: &&usize| self.requests[other].arrival.priority <= priority;
        let need = |job: &usize| self.size(*job).0 + self.size(*job).1;
        self.waiting.iter().filter(as_urgent).map(need).sum::<u64>() <= free
    }

    fn pick_engine(&self, job: usize) -> Option<usize> {
        let available = self.engines.iter().enumerate().filter(|(_, engine)| !engine.leaving);
        let peaks = available.map(|(index, engine)| (self.peak(engine, job), index));
        let fits = peaks.filter(|(peak, index)| *peak + 256 <= self.engines[*index].memory_tokens);
        fits.min().map(|(_, index)| index)
    }

    fn dispatch(&mut self, actions: &mut Actions<Self>) {
        let mut usage = HashMap::<u8, u64>::new();
        for engine in &self.engines {
            for job in &engine.running {
                *usage.entry(self.requests[job].arrival.organisation).or_default() +=
                    self.size(*job).0;
            }
        }
        let rank = |job: &usize| {
            let request = &self.requests[job];
            let used = usage.get(&request.arrival.organisation).copied().unwrap_or(0);
            (request.arrival.priority, used, request.arrived_ms, *job)
        };
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(rank);
        for job in waiting {
            let Some(engine) = self.pick_engine(job) else {
                self.waiting.push(job);
                continue;
            };
            self.engines[engine].running.push(job);
            let priority = self.requests[&job].arrival.priority;
            if let Some(request) = self.requests.get_mut(&job) {
                request.engine = Some(engine);
            }
            actions.push(Action::Send { job, engine, priority });
        }
    }
}

impl Policy for Oracle {
    type Message = ();

    fn on_arrival(
        &mut self,
        now_ms: u64,
        job: usize,
        arrival: &Arrival,
        actions: &mut Actions<Self>,
    ) {
        let request =
            Request { arrival: arrival.clone(), arrived_ms: now_ms, produced: 0, engine: None };
        self.requests.insert(job, request);
        self.waiting.push(job);
        self.dispatch(actions);
        if self.waiting.contains(&job) && !self.frees_in_time(job) {
            self.waiting.retain(|other| *other != job);
            self.requests.remove(&job);
            actions.push(Action::Refuse { job });
        }
    }

    fn on_load_report(
        &mut self,
        _now_ms: u64,
        engine: usize,
        _load: &Load,
        leaving: bool,
        _actions: &mut Actions<Self>,
    ) {
        self.engines[engine].leaving |= leaving;
    }

    fn poll(&mut self, now_ms: u64, actions: &mut Actions<Self>) {
        self.dispatch(actions);
        let expired = |job: &usize| now_ms >= self.requests[job].arrived_ms + MAX_WAIT_MS;
        let (expired, waiting): (Vec<usize>, Vec<usize>) =
            self.waiting.iter().copied().partition(expired);
        self.waiting = waiting;
        for job in expired {
            self.requests.remove(&job);
            actions.push(Action::Refuse { job });
        }
    }

    fn on_token(&mut self, job: usize, index: u32) {
        if let Some(request) = self.requests.get_mut(&job) {
            request.produced = index + 1;
        }
    }

    fn on_end(
        &mut self,
        _now_ms: u64,
        job: usize,
        _produced: Option<u32>,
        actions: &mut Actions<Self>,
    ) {
        self.waiting.retain(|other| *other != job);
        if let Some(engine) = self.requests.remove(&job).and_then(|request| request.engine) {
            self.engines[engine].running.retain(|other| *other != job);
        }
        self.dispatch(actions);
    }

    fn on_engine_lost(&mut self, _now_ms: u64, engine: usize) {
        self.engines[engine].leaving = true;
        self.engines[engine].running.clear();
    }
}
