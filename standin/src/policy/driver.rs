//! Plays a trace against engine models and a policy.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::score::Score;
use super::trace::{Arrival, Kind, Trace};
use crate::engine::model::{self, Load, Model, Request, Settings};

/// Time between two load reports of an engine, in milliseconds.
const REPORT_MS: u64 = 250;
/// Time between two looks at held requests, in milliseconds.
const POLL_MS: u64 = 20;
/// Time after which a caller without a first token gives up, in milliseconds.
const PATIENCE_MS: u64 = 10_000;
/// Longest time that a replay goes on after the trace's last event, in milliseconds.
const DRAIN_MS: u64 = 600_000;
/// Memory for shared prefixes of an engine, in tokens.
const PREFIX_CACHE_TOKENS: u64 = 8_000;

/// What a policy wants done.
#[derive(Debug)]
pub enum Action<M> {
    /// Sends a request to an engine.
    Send {
        /// The request.
        job: usize,
        /// Index of the engine.
        engine: usize,
        /// Priority at the engine.
        priority: u8,
    },
    /// Changes a generation's priority at its engine.
    Reorder {
        /// The request.
        job: usize,
        /// Priority at the engine.
        priority: u8,
    },
    /// Refuses a request.
    Refuse {
        /// The request.
        job: usize,
    },
    /// Gives the policy a message of its own later.
    Message {
        /// Delay, in microseconds.
        after_us: u64,
        /// The message.
        message: M,
    },
}

/// Decides what goes where. Times are in milliseconds.
pub trait Policy {
    /// What its parts say to each other.
    type Message;

    /// A request arrives, or arrives again because its engine was lost before the first token.
    fn arrive(&mut self, now_ms: u64, job: usize, arrival: &Arrival, actions: &mut Actions<Self>);

    /// A message of its own arrives.
    fn deliver(&mut self, _now_ms: u64, _message: Self::Message, _actions: &mut Actions<Self>) {}

    /// An engine's lagged load report arrives.
    fn report(
        &mut self,
        now_ms: u64,
        engine: usize,
        load: &Load,
        leaving: bool,
        actions: &mut Actions<Self>,
    );

    /// A short time passed.
    fn poll(&mut self, now_ms: u64, actions: &mut Actions<Self>);

    /// A generation's first token came.
    fn started(&mut self, _now_ms: u64, _job: usize, _actions: &mut Actions<Self>) {}

    /// A generation produced a token; only for the oracle.
    fn token(&mut self, _job: usize, _index: u32) {}

    /// A request ended after so many tokens, or its caller gave up.
    fn ended(
        &mut self,
        now_ms: u64,
        job: usize,
        produced: Option<u32>,
        actions: &mut Actions<Self>,
    );

    /// An engine is gone.
    fn lost(&mut self, now_ms: u64, engine: usize);
}

/// What policy `P` wants done.
pub type Actions<P> = Vec<Action<<P as Policy>::Message>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The policy decides.
    Open,
    /// An engine has it.
    Sent,
    /// It ended, was refused or was given up.
    Closed,
}

struct Job {
    arrival: Arrival,
    engine: usize,
    phase: Phase,
    tokens: u32,
    /// Whether it is in its engine's batch.
    running: bool,
}

enum Due<M> {
    Trace(usize),
    Report,
    Poll,
    Patience(usize),
    Gone(usize),
    Message(M),
}

struct Driver<'a, P: Policy> {
    trace: &'a Trace,
    policy: P,
    engines: Vec<Option<Model>>,
    leaving: Vec<bool>,
    jobs: Vec<Job>,
    /// Time, order and index into `due`.
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    due: Vec<Option<Due<P::Message>>>,
    open: usize,
    score: Score,
}

/// Plays `trace` and returns its figures.
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
        due: Vec::new(),
        open: 0,
        score: Score::new(trace),
    };
    driver.run();
    driver.score
}

impl<P: Policy> Driver<'_, P> {
    fn run(&mut self) {
        let first_ms = self.trace.events.first().map_or(0, |event| event.at_ms);
        self.at(first_ms * 1_000, Due::Trace(0));
        self.at(0, Due::Report);
        self.at(0, Due::Poll);
        let end_us = (self.trace.end_ms() + DRAIN_MS) * 1_000;
        let mut next_event = 0;
        while let Some((engine, now_us)) = self.next_step() {
            if now_us > end_us || (self.open == 0 && next_event >= self.trace.events.len()) {
                break;
            }
            if let Some(engine) = engine {
                self.step(engine, now_us);
                continue;
            }
            let Some(Reverse((_, index))) = self.heap.pop() else {
                break;
            };
            let Some(due) = self.due[index].take() else {
                continue;
            };
            if let Due::Trace(event) = due {
                next_event = event + 1;
            }
            self.handle(now_us, due);
        }
        let recomputed = self.engines.iter().flatten().map(Model::recomputed_tokens).sum();
        self.score.recomputed(recomputed);
    }

    fn at(&mut self, at_us: u64, due: Due<P::Message>) {
        self.heap.push(Reverse((at_us, self.due.len())));
        self.due.push(Some(due));
    }

    /// What comes next: a step of an engine, or what is due in the heap.
    fn next_step(&self) -> Option<(Option<usize>, u64)> {
        let steps = self.engines.iter().enumerate();
        let next = |(index, engine): (usize, &Option<Model>)| {
            engine.as_ref().and_then(Model::step_end_us).map(|at_us| (Some(index), at_us))
        };
        let step = steps.filter_map(next).min_by_key(|(_, at_us)| *at_us);
        let due = self.heap.peek().map(|Reverse((at_us, _))| (None, *at_us));
        step.into_iter().chain(due).min_by_key(|(engine, at_us)| (*at_us, engine.is_none()))
    }

    fn handle(&mut self, now_us: u64, due: Due<P::Message>) {
        let now_ms = now_us / 1_000;
        let mut actions = Vec::new();
        match due {
            Due::Trace(index) => self.event(now_us, index, &mut actions),
            Due::Report => {
                for engine in 0..self.engines.len() {
                    if let Some(model) = &self.engines[engine] {
                        let load = model.load(now_us);
                        let leaving = self.leaving[engine];
                        self.policy.report(now_ms, engine, &load, leaving, &mut actions);
                    }
                }
                self.at(now_us + REPORT_MS * 1_000, Due::Report);
            }
            Due::Poll => {
                self.policy.poll(now_ms, &mut actions);
                self.at(now_us + POLL_MS * 1_000, Due::Poll);
            }
            Due::Patience(job) => self.give_up(now_us, job, &mut actions),
            Due::Gone(engine) => self.lose(now_us, engine, &mut actions),
            Due::Message(message) => self.policy.deliver(now_ms, message, &mut actions),
        }
        self.act(now_us, actions);
    }

    fn event(&mut self, now_us: u64, index: usize, actions: &mut Actions<P>) {
        let trace = self.trace;
        if let Some(next) = trace.events.get(index + 1) {
            self.at(next.at_ms * 1_000, Due::Trace(index + 1));
        }
        match &trace.events[index].kind {
            Kind::Arrive(arrival) => self.arrive(now_us, arrival, actions),
            Kind::Lose { domain } => {
                for engine in 0..self.engines.len() {
                    if trace.engines[engine].domain == *domain {
                        self.lose(now_us, engine, actions);
                    }
                }
            }
            Kind::Reclaim { engine, notice_ms } => {
                let engine = usize::from(*engine) % self.engines.len();
                self.leaving[engine] = true;
                self.at(now_us + notice_ms * 1_000, Due::Gone(engine));
            }
        }
    }

    fn arrive(&mut self, now_us: u64, arrival: &Arrival, actions: &mut Actions<P>) {
        let job = self.jobs.len();
        self.jobs.push(Job {
            arrival: arrival.clone(),
            engine: 0,
            phase: Phase::Open,
            tokens: 0,
            running: false,
        });
        self.open += 1;
        self.score.arrived(job, now_us, arrival);
        self.at(now_us + PATIENCE_MS * 1_000, Due::Patience(job));
        self.policy.arrive(now_us / 1_000, job, arrival, actions);
    }

    fn give_up(&mut self, now_us: u64, job: usize, actions: &mut Actions<P>) {
        let open = &self.jobs[job];
        if open.phase == Phase::Closed || open.tokens > 0 {
            return;
        }
        if open.phase == Phase::Sent
            && let Some(model) = &mut self.engines[open.engine]
        {
            model.cancel(job as u64);
        }
        self.close(job);
        self.score.refused(job, now_us);
        self.policy.ended(now_us / 1_000, job, None, actions);
    }

    /// Ends all generations of an engine; those without a token are placed again.
    fn lose(&mut self, now_us: u64, engine: usize, actions: &mut Actions<P>) {
        let Some(mut model) = self.engines[engine].take() else {
            return;
        };
        self.score.recomputed(model.recomputed_tokens());
        let mut jobs = model.reclaim();
        jobs.sort_unstable();
        self.policy.lost(now_us / 1_000, engine);
        for job in jobs.into_iter().map(|id| id as usize) {
            if self.jobs[job].tokens > 0 {
                self.close(job);
                self.score.lost(job, now_us);
                continue;
            }
            self.jobs[job].phase = Phase::Open;
            let arrival = self.jobs[job].arrival.clone();
            self.policy.arrive(now_us / 1_000, job, &arrival, actions);
        }
    }

    fn act(&mut self, now_us: u64, actions: Actions<P>) {
        for action in actions {
            match action {
                Action::Send { job, engine, priority } => self.send(now_us, job, engine, priority),
                Action::Refuse { job } if self.jobs[job].phase == Phase::Open => {
                    self.close(job);
                    self.score.refused(job, now_us);
                }
                Action::Refuse { .. } => {}
                Action::Reorder { job, priority } => {
                    if let Some(model) = &mut self.engines[self.jobs[job].engine] {
                        model.set_priority(job as u64, priority);
                    }
                }
                Action::Message { after_us, message } => {
                    self.at(now_us + after_us, Due::Message(message));
                }
            }
        }
    }

    fn send(&mut self, now_us: u64, job: usize, engine: usize, priority: u8) {
        if self.jobs[job].phase != Phase::Open {
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
        self.policy.lost(now_us / 1_000, engine);
        self.policy.arrive(now_us / 1_000, job, &arrival, &mut actions);
        self.act(now_us, actions);
    }

    fn step(&mut self, engine: usize, now_us: u64) {
        let Some(model) = &mut self.engines[engine] else {
            return;
        };
        let mut actions = Vec::new();
        for event in model.advance(now_us) {
            self.observe(engine, event, &mut actions);
        }
        self.act(now_us, actions);
    }

    fn observe(&mut self, engine: usize, event: model::Event, actions: &mut Actions<P>) {
        let job = event.id as usize;
        let now_ms = event.at_us / 1_000;
        match event.kind {
            model::Kind::Started => self.jobs[job].running = true,
            model::Kind::Token(index) => {
                self.jobs[job].tokens = index + 1;
                self.score.token(job, event.at_us);
                self.policy.token(job, index);
                if index == 0 {
                    self.policy.started(now_ms, job, actions);
                }
            }
            model::Kind::Preempted => {
                self.jobs[job].running = false;
                let lesser = self.runs_lesser(engine, self.jobs[job].arrival.priority);
                self.score.preempted(job, lesser);
            }
            model::Kind::Finished => {
                let produced = self.jobs[job].tokens;
                self.close(job);
                self.score.finished(job, event.at_us);
                self.policy.ended(now_ms, job, Some(produced), actions);
            }
        }
    }

    /// Whether the engine goes on with work that is less urgent than `priority`.
    fn runs_lesser(&self, engine: usize, priority: u8) -> bool {
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
