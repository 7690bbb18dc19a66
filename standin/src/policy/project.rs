//! The project's own policy: the code that the nodes run, with messages that take time.

use std::collections::HashMap;

use nutmeghead::admission::{Controller, LATE_START_MS, Reply, Report, Request, State};
use nutmeghead::placement::{self, Candidate};
use nutmeghead::{document, name};

use super::driver::{Action, Actions, Policy};
use super::trace::{Arrival, Deployment, Trace};
use crate::engine::model::Load;

/// Entry hosts that decide apart from each other.
const NODES: usize = 9;
/// One-way delay of a message between entry hosts, in microseconds.
const DELAY_US: u64 = 1_000;

/// A message between an entry host and an engine's owner.
#[derive(Clone, Debug)]
pub struct Message(Step);

#[derive(Clone, Debug)]
enum Step {
    /// Asks the owner of the candidate at `at` for a permit.
    Ask { job: usize, candidates: Vec<Candidate>, at: usize },
    /// The owner answers.
    Answer { job: usize, candidates: Vec<Candidate>, at: usize, answer: Reply },
    /// The first token came.
    Started { job: usize },
    /// The generation ended.
    Ended { job: usize, produced: Option<u32> },
}

struct Open {
    request: placement::Request,
    ask: Request,
    engine: Option<usize>,
    granted_ms: u64,
    candidates: Vec<Candidate>,
}

/// Placement at nine entry hosts and an admission controller for each engine.
pub struct Project {
    nodes: Vec<placement::State>,
    controllers: Vec<Controller>,
    engines: Vec<document::Engine>,
    index: HashMap<name::Engine, usize>,
    leaving: Vec<bool>,
    open: HashMap<usize, Open>,
    deployment: Deployment,
}

/// The settings that a deployment's document would have.
pub fn settings(deployment: Deployment) -> document::Policy {
    let (goal, urgent_headroom) = match deployment {
        Deployment::Rumbo => (document::Goal::Stall, 0.05),
        Deployment::Fortovsraad => (document::Goal::Tail, 0.0),
    };
    document::Policy { goal, urgent_headroom, max_running: 256, ..document::Policy::default() }
}

fn name<N, E: std::fmt::Debug>(made: Result<N, E>) -> N {
    made.unwrap_or_else(|error| unreachable!("generated names are valid: {error:?}"))
}

impl Project {
    /// Knows the fleet and no load.
    pub fn new(trace: &Trace, seed: u64) -> Self {
        let engines: Vec<document::Engine> = trace.engines.iter().enumerate().map(engine).collect();
        let settings = settings(trace.deployment);
        Self {
            nodes: (0..NODES as u64).map(|node| placement::State::new(seed * 100 + node)).collect(),
            controllers: engines
                .iter()
                .map(|engine| Controller::new(engine.memory_tokens, &settings))
                .collect(),
            index: engines
                .iter()
                .enumerate()
                .map(|(index, engine)| (engine.name.clone(), index))
                .collect(),
            leaving: vec![false; engines.len()],
            engines,
            open: HashMap::new(),
            deployment: trace.deployment,
        }
    }

    fn open(&self, job: usize, arrival: &Arrival) -> Open {
        let organisation = name(name::Organisation::new(format!("o-{}", arrival.organisation)));
        let workload = self.deployment.workloads()[usize::from(arrival.workload)];
        let workload = name(name::Workload::new(workload));
        let request = placement::Request {
            model: name(name::Model::new("model")),
            organisation: organisation.clone(),
            workload: workload.clone(),
            priority: arrival.priority,
            prefix: u64::from(arrival.prefix),
            prompt_tokens: arrival.prompt_tokens,
        };
        let ask = Request {
            attempt: job as u128,
            organisation,
            share: 1.0,
            workload,
            priority: arrival.priority,
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: Some(arrival.max_tokens).filter(|limit| *limit > 0),
            prefix: u64::from(arrival.prefix),
            hold: false,
        };
        Open { request, ask, engine: None, granted_ms: 0, candidates: Vec::new() }
    }

    fn answered(
        &mut self,
        now_ms: u64,
        job: usize,
        candidates: Vec<Candidate>,
        at: usize,
        answer: Reply,
        actions: &mut Actions<Self>,
    ) {
        let engine = self.index[&candidates[at].engine];
        let node = &mut self.nodes[job % NODES];
        let (Reply::Granted { hint, .. } | Reply::Held { hint } | Reply::Refused { hint, .. }) =
            answer;
        node.apply_hint(now_ms, &candidates[at].engine, hint);
        match answer {
            Reply::Granted { engine_priority: priority, .. } => {
                if let Some(open) = self.open.get_mut(&job) {
                    open.granted_ms = now_ms;
                }
                actions.push(Action::Send { job, engine, priority });
            }
            Reply::Held { .. } => {}
            Reply::Refused { .. } if at + 1 < candidates.len() => {
                let message = Message(Step::Ask { job, candidates, at: at + 1 });
                actions.push(Action::Message { after_us: DELAY_US, message });
            }
            Reply::Refused { .. } => {
                self.open.remove(&job);
                actions.push(Action::Refuse { job });
            }
        }
    }

    fn ask(
        &mut self,
        now_ms: u64,
        job: usize,
        candidates: Vec<Candidate>,
        at: usize,
        actions: &mut Actions<Self>,
    ) {
        let Some(open) = self.open.get_mut(&job) else {
            return;
        };
        let engine = self.index[&candidates[at].engine];
        open.engine = Some(engine);
        open.candidates = candidates.clone();
        let ask = Request { hold: candidates[at].hold, ..open.ask.clone() };
        let answer = self.controllers[engine].admit(now_ms, ask);
        let message = Message(Step::Answer { job, candidates, at, answer });
        actions.push(Action::Message { after_us: DELAY_US, message });
    }
}

impl Policy for Project {
    type Message = Message;

    fn arrive(&mut self, now_ms: u64, job: usize, arrival: &Arrival, actions: &mut Actions<Self>) {
        let open = self.open(job, arrival);
        let (engines, leaving, index) = (&self.engines, &self.leaving, &self.index);
        let leaves = |engine: &name::Engine| leaving[index[engine]];
        let candidates = self.nodes[job % NODES].candidates(now_ms, &open.request, engines, leaves);
        if candidates.is_empty() {
            actions.push(Action::Refuse { job });
            return;
        }
        self.open.insert(job, open);
        actions.push(Action::Message {
            after_us: DELAY_US,
            message: Message(Step::Ask { job, candidates, at: 0 }),
        });
    }

    fn deliver(&mut self, now_ms: u64, message: Message, actions: &mut Actions<Self>) {
        match message.0 {
            Step::Ask { job, candidates, at } => self.ask(now_ms, job, candidates, at, actions),
            Step::Answer { job, candidates, at, answer } => {
                self.answered(now_ms, job, candidates, at, answer, actions);
            }
            Step::Started { job } => {
                let open = self.open.get(&job).filter(|o| now_ms >= o.granted_ms + LATE_START_MS);
                if let Some(engine) = open.and_then(|open| open.engine) {
                    self.controllers[engine].started(now_ms, job as u128);
                }
            }
            Step::Ended { job, produced } => {
                let Some(engine) = self.open.remove(&job).and_then(|open| open.engine) else {
                    return;
                };
                match produced {
                    Some(produced) => {
                        self.controllers[engine].finished(now_ms, job as u128, produced)
                    }
                    None => self.controllers[engine].cancelled(now_ms, job as u128),
                }
            }
        }
    }

    fn report(
        &mut self,
        now_ms: u64,
        engine: usize,
        load: &Load,
        leaving: bool,
        _actions: &mut Actions<Self>,
    ) {
        self.leaving[engine] |= leaving;
        let state = if leaving { State::Leaving } else { State::Serving };
        let report = Report {
            state,
            running: load.running as u32,
            waiting: load.waiting as u32,
            memory_tokens: load.memory_tokens,
            used_tokens: load.used_tokens,
            preemptions: load.preemptions,
            report_ms: now_ms,
            token_ms: load.token_us as f64 / 1_000.0,
        };
        self.controllers[engine].report(now_ms, &report);
    }

    fn poll(&mut self, now_ms: u64, actions: &mut Actions<Self>) {
        let renewed = now_ms % 20_000 < 20;
        for engine in 0..self.controllers.len() {
            if renewed {
                let held = |open: &Open| open.engine == Some(engine);
                let attempts: Vec<u128> = self
                    .open
                    .iter()
                    .filter(|(_, open)| held(open))
                    .map(|(job, _)| *job as u128)
                    .collect();
                self.controllers[engine].renewed(now_ms, &attempts);
            }
            for decision in self.controllers[engine].poll(now_ms) {
                let job = decision.attempt as usize;
                let Some(open) = self.open.get(&job) else {
                    continue;
                };
                let candidates = open.candidates.clone();
                let at = candidates.len() - 1;
                let message = Message(Step::Answer { job, candidates, at, answer: decision.reply });
                actions.push(Action::Message { after_us: DELAY_US, message });
            }
            for reorder in self.controllers[engine].reprioritise(now_ms) {
                let job = reorder.attempt as usize;
                actions.push(Action::Reorder { job, priority: reorder.engine_priority });
            }
        }
    }

    fn started(&mut self, _now_ms: u64, job: usize, actions: &mut Actions<Self>) {
        actions
            .push(Action::Message { after_us: DELAY_US, message: Message(Step::Started { job }) });
    }

    fn ended(
        &mut self,
        _now_ms: u64,
        job: usize,
        produced: Option<u32>,
        actions: &mut Actions<Self>,
    ) {
        actions.push(Action::Message {
            after_us: DELAY_US,
            message: Message(Step::Ended { job, produced }),
        });
    }

    fn lost(&mut self, now_ms: u64, engine: usize) {
        let gone = self.engines[engine].name.clone();
        self.leaving[engine] = true;
        let report = Report { state: State::Leaving, ..Report::default() };
        self.controllers[engine].report(now_ms, &report);
        self.nodes.iter_mut().for_each(|node| node.record_failure(now_ms, &gone));
    }
}

fn engine((index, engine): (usize, &super::trace::Engine)) -> document::Engine {
    document::Engine {
        name: name(name::Engine::new(format!("e-{index}"))),
        address: ([127, 0, 0, 1], 1).into(),
        domain: name(name::Domain::new(format!("d-{}", engine.domain))),
        models: vec![name(name::Model::new("model"))],
        memory_tokens: engine.memory_tokens,
        role: document::Role::Mixed,
        fences: true,
        intent: document::Intent::Serve,
    }
}
