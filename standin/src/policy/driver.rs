//! Replays a trace against engine models under the decisions of a policy.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::score::Score;
use super::trace::{Arrival, Kind, Trace};
use crate::engine::model::{self, Load, Model, Request, Settings};

/// Interval of an engine's load reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// Interval at which the policy is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// Time after which a caller without a first token cancels its request, in milliseconds.
const FIRST_TOKEN_TIMEOUT_MS: u64 = 10_000;
/// Maximum time from the last event of the trace to the end of the replay, in milliseconds.
const DRAIN_MS: u64 = 600_000;
/// Capacity of an engine's prefix cache, in tokens.
const PREFIX_CACHE_TOKENS: u64 = 8_000;

/// An action that a policy requests.
#[derive(Debug)]
pub enum Action<M> {
    /// Send a request to an engine.
    Send {
        /// Index of the request.
        job: usize,
        /// Index of the engine.
        engine: usize,
        /// Priority at the engine.
        priority: u8,
    },
    /// Change a generation's priority at its engine.
    Reprioritise {
        /// Index of the request.
        job: usize,
        /// Priority at the engine.
        priority: u8,
    },
    /// Refuse a request.
    Refuse {
        /// Index of the request.
        job: usize,
    },
    /// Deliver one of the policy's internal messages after a delay.
    Message {
        /// Delay, in microseconds.
        after_us: u64,
        /// The message.
        message: M,
    },
}

/// Decides which requests run on which engines. Times are in milliseconds; `job` is the index of a request.
pub trait Policy {
    /// Internal messages between the parts of the policy.
    type Message;

    /// A request arrives, or is placed again because its engine was lost before the first token.
    fn on_arrival(
        &mut self,
        now_ms: u64,
        job: usize,
        arrival: &Arrival,
        actions: &mut Actions<Self>,
    );

    /// An internal message arrives.
    fn on_message(&mut self, _now_ms: u64, _message: Self::Message, _actions: &mut Actions<Self>) {}

    /// An engine's load report arrives; its data may lag behind the engine.
    fn on_load_report(
        &mut self,
        now_ms: u64,
        engine: usize,
        load: &Load,
        leaving: bool,
        actions: &mut Actions<Self>,
    );

    /// Called at a fixed short interval.
    fn poll(&mut self, now_ms: u64, actions: &mut Actions<Self>);

    /// A generation produced its first token.
    fn on_first_token(&mut self, _now_ms: u64, _job: usize, _actions: &mut Actions<Self>) {}

    /// A generation produced the token at `index`; only the oracle uses this.
    fn on_token(&mut self, _job: usize, _index: u32) {}

    /// A request ended after `produced` tokens, or its caller cancelled it (`None`).
    fn on_end(
        &mut self,
        now_ms: u64,
        job: usize,
        produced: Option<u32>,
        actions: &mut Actions<Self>,
    );

    /// An engine was lost.
    fn on_engine_lost(&mut self, now_ms: u64, engine: usize);
}

/// Actions that policy `P` requests.
pub type Actions<P> = Vec<Action<<P as Policy>::Message>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a decision of the policy.
    Pending,
    /// Sent to an engine.
    Sent,
    /// Finished, lost, refused or cancelled.
    Closed,
}

/// A request and its progress.
struct Job {
    arrival: Arrival,
    engine: usize,
    phase: Phase,
    tokens: u32,
    /// Whether the generation is in its engine's batch.
    running: bool,
}

/// What a timer triggers.
enum Timer<M> {
    /// The trace event at this index.
    Trace(usize),
    Report,
    Poll,
    /// The first-token timeout of this request.
    FirstToken(usize),
    /// The loss of this engine.
    EngineLost(usize),
    Message(M),
}

struct Driver<'a, P: Policy> {
    trace: &'a Trace,
    policy: P,
    engines: Vec<Option<Model>>,
    leaving: Vec<bool>,
    jobs: Vec<Job>,
    /// Time in microseconds and index into `timers`; the index orders timers with equal times.
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    timers: Vec<Option<Timer<P::Message>>>,
    /// Number of requests that are not closed.
    open: usize,
    score: Score,
}

/// Replays `trace` and returns its metrics.
pub fn replay<P: Policy>(trace: &Trace, seed: u64, policy: P) -> Score {
    let engine = |(index, engine): (usize, &super::trace::Engine)| {
        Some(Model::new(Settings {
            memory_tokens: engine.memory_tokens,
            prefix_cache_tokens: PREFIX_CACHE_TOKENS,
            seed: seed ^ (index as u64) << 20,
            ..Settings::default()
        }))
    };
    let mut driver = Driver {
        trace,
        policy,
        engines: trace.engines.iter().enumerate().map(engine).collect(),
        leaving: vec![false; trace.engines.len()],
        jobs: Vec::new(),
        heap: BinaryHeap::new(),
        timers: Vec::new(),
        open: 0,
        score: Score::new(trace),
    };
    driver.run();
    driver.score
}

impl<P: Policy> Driver<'_, P> {
    fn run(&mut self) {
        let first_ms = self.trace.events.first().map_or(0, |event| event.at_ms);
        self.schedule(first_ms * 1_000, Timer::Trace(0));
        self.schedule(0, Timer::Report);
        self.schedule(0, Timer::Poll);
        let end_us = (self.trace.end_ms() + DRAIN_MS) * 1_000;
        let mut next_event = 0;
        while let Some((engine, now_us)) = self.next_wakeup() {
            if now_us > end_us || (self.open == 0 && next_event >= self.trace.events.len()) {
                break;
            }
            if let Some(engine) = engine {
                self.step_engine(engine, now_us);
                continue;
            }
            let Some(Reverse((_, index))) = self.heap.pop() else {
                break;
            };
            let Some(timer) = self.timers[index].take() else {
                continue;
            };
            if let Timer::Trace(event) = timer {
                next_event = event + 1;
            }
            self.handle_timer(now_us, timer);
        }
        let recomputed = self.engines.iter().flatten().map(Model::recomputed_tokens).sum();
        self.score.recomputed(recomputed);
    }

    fn schedule(&mut self, at_us: u64, timer: Timer<P::Message>) {
        self.heap.push(Reverse((at_us, self.timers.len())));
        self.timers.push(Some(timer));
    }

    /// The next engine step (with the engine's index) or timer, and its time in microseconds. A step precedes a timer with
    /// the same time.
    fn next_wakeup(&self) -> Option<(Option<usize>, u64)> {
        let steps = self.engines.iter().enumerate();
        let next = |(index, engine): (usize, &Option<Model>)| {
            engine.as_ref().and_then(Model::step_end_us).map(|at_us| (Some(index), at_us))
        };
        let step = steps.filter_map(next).min_by_key(|(_, at_us)| *at_us);
        let timer = self.heap.peek().map(|Reverse((at_us, _))| (None, *at_us));
        step.into_iter().chain(timer).min_by_key(|(engine, at_us)| (*at_us, engine.is_none()))
    }

    fn handle_timer(&mut self, now_us: u64, timer: Timer<P::Message>) {
        let now_ms = now_us / 1_000;
        let mut actions = Vec::new();
        match timer {
            Timer::Trace(index) => self.handle_trace_event(now_us, index, &mut actions),
            Timer::Report => {
                for engine in 0..self.engines.len() {
                    if let Some(model) = &self.engines[engine] {
                        let load = model.load(now_us);
                        let leaving = self.leaving[engine];
                        self.policy.on_load_report(now_ms, engine, &load, leaving, &mut actions);
                    }
                }
                self.schedule(now_us + REPORT_INTERVAL_MS * 1_000, Timer::Report);
            }
            Timer::Poll => {
                self.policy.poll(now_ms, &mut actions);
                self.schedule(now_us + POLL_INTERVAL_MS * 1_000, Timer::Poll);
            }
            Timer::FirstToken(job) => self.time_out(now_us, job, &mut actions),
            Timer::EngineLost(engine) => self.lose_engine(now_us, engine, &mut actions),
            Timer::Message(message) => self.policy.on_message(now_ms, message, &mut actions),
        }
        self.apply(now_us, actions);
    }

    fn handle_trace_event(&mut self, now_us: u64, index: usize, actions: &mut Actions<P>) {
        let trace = self.trace;
        if let Some(next) = trace.events.get(index + 1) {
            self.schedule(next.at_ms * 1_000, Timer::Trace(index + 1));
        }
        match &trace.events[index].kind {
            Kind::Arrive(arrival) => self.add_request(now_us, arrival, actions),
            Kind::DomainLost { domain } => {
                for engine in 0..self.engines.len() {
                    if trace.engines[engine].domain == *domain {
                        self.lose_engine(now_us, engine, actions);
                    }
                }
            }
            Kind::Reclaim { engine, notice_ms } => {
                let engine = usize::from(*engine) % self.engines.len();
                self.leaving[engine] = true;
                self.schedule(now_us + notice_ms * 1_000, Timer::EngineLost(engine));
            }
        }
    }

    fn add_request(&mut self, now_us: u64, arrival: &Arrival, actions: &mut Actions<P>) {
        let job = self.jobs.len();
        self.jobs.push(Job {
            arrival: arrival.clone(),
            engine: 0,
            phase: Phase::Pending,
            tokens: 0,
            running: false,
        });
        self.open += 1;
        self.score.arrived(job, now_us, arrival);
        self.schedule(now_us + FIRST_TOKEN_TIMEOUT_MS * 1_000, Timer::FirstToken(job));
        self.policy.on_arrival(now_us / 1_000, job, arrival, actions);
    }

    /// Cancels a request unless it is closed or has produced a token.
    fn time_out(&mut self, now_us: u64, job: usize, actions: &mut Actions<P>) {
        let request = &self.jobs[job];
        if request.phase == Phase::Closed || request.tokens > 0 {
            return;
        }
        if request.phase == Phase::Sent
            && let Some(model) = &mut self.engines[request.engine]
        {
            model.cancel(job as u64);
        }
        self.close(job);
        self.score.refused(job, now_us);
        self.policy.on_end(now_us / 1_000, job, None, actions);
    }

    /// Ends all generations of an engine; requests without a token are placed again.
    fn lose_engine(&mut self, now_us: u64, engine: usize, actions: &mut Actions<P>) {
        let Some(mut model) = self.engines[engine].take() else {
            return;
        };
        self.score.recomputed(model.recomputed_tokens());
        let mut jobs = model.reclaim();
        jobs.sort_unstable();
        self.policy.on_engine_lost(now_us / 1_000, engine);
        for job in jobs.into_iter().map(|id| id as usize) {
            if self.jobs[job].tokens > 0 {
                self.close(job);
                self.score.lost(job, now_us);
                continue;
            }
            self.jobs[job].phase = Phase::Pending;
            let arrival = self.jobs[job].arrival.clone();
            self.policy.on_arrival(now_us / 1_000, job, &arrival, actions);
        }
    }

    fn apply(&mut self, now_us: u64, actions: Actions<P>) {
        for action in actions {
            match action {
                Action::Send { job, engine, priority } => self.send(now_us, job, engine, priority),
                Action::Refuse { job } if self.jobs[job].phase == Phase::Pending => {
                    self.close(job);
                    self.score.refused(job, now_us);
                }
                Action::Refuse { .. } => {}
                Action::Reprioritise { job, priority } => {
                    if let Some(model) = &mut self.engines[self.jobs[job].engine] {
                        model.set_priority(job as u64, priority);
                    }
                }
                Action::Message { after_us, message } => {
                    self.schedule(now_us + after_us, Timer::Message(message));
                }
            }
        }
    }

    fn send(&mut self, now_us: u64, job: usize, engine: usize, priority: u8) {
        if self.jobs[job].phase != Phase::Pending {
            return;
        }
        let arrival = &self.jobs[job].arrival;
        let request = Request {
            id: job as u64,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            priority,
            prefix: u64::from(arrival.prefix),
            prefix_tokens: arrival.prefix_tokens,
        };
        let sent = self.engines[engine].as_mut().map(|model| model.submit(now_us, request));
        if matches!(sent, Some(Ok(()))) {
            self.jobs[job].engine = engine;
            self.jobs[job].phase = Phase::Sent;
            return;
        }
        let arrival = arrival.clone();
        let mut actions = Vec::new();
        self.policy.on_engine_lost(now_us / 1_000, engine);
        self.policy.on_arrival(now_us / 1_000, job, &arrival, &mut actions);
        self.apply(now_us, actions);
    }

    fn step_engine(&mut self, engine: usize, now_us: u64) {
        let Some(model) = &mut self.engines[engine] else {
            return;
        };
        let mut actions = Vec::new();
        for event in model.advance(now_us) {
            self.handle_engine_event(engine, event, &mut actions);
        }
        self.apply(now_us, actions);
    }

    fn handle_engine_event(
        &mut self,
        engine: usize,
        event: model::Event,
        actions: &mut Actions<P>,
    ) {
        let job = event.id as usize;
        let now_ms = event.at_us / 1_000;
        match event.kind {
            model::Kind::Started => self.jobs[job].running = true,
            model::Kind::Token(index) => {
                self.jobs[job].tokens = index + 1;
                self.score.token(job, event.at_us);
                self.policy.on_token(job, index);
                if index == 0 {
                    self.policy.on_first_token(now_ms, job, actions);
                }
            }
            model::Kind::Preempted => {
                self.jobs[job].running = false;
                let less_urgent_runs =
                    self.runs_less_urgent(engine, self.jobs[job].arrival.priority);
                self.score.preempted(job, less_urgent_runs);
            }
            model::Kind::Finished => {
                let produced = self.jobs[job].tokens;
                self.close(job);
                self.score.finished(job, event.at_us);
                self.policy.on_end(now_ms, job, Some(produced), actions);
            }
        }
    }

    /// Whether the engine is running a generation that is less urgent than `priority`.
    fn runs_less_urgent(&self, engine: usize, priority: u8) -> bool {
        self.jobs.iter().any(|job| {
            job.engine == engine
                && job.phase == Phase::Sent
                && job.running
                && job.arrival.priority > priority
        })
    }

    fn close(&mut self, job: usize) {
        self.jobs[job].phase = Phase::Closed;
        self.jobs[job].running = false;
        self.open -= 1;
    }
}
