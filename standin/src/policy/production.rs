//! The production policy: the admission and placement code of the entry hosts, with delayed messages.

use std::collections::HashMap;

use nutmeghead::admission::{Controller, LATE_START_MS, Reply, Report, Request, State};
use nutmeghead::placement::{self, Candidate};
use nutmeghead::{document, name};

use super::driver::{Action, Actions, Policy};
use super::trace::{Arrival, Deployment, Trace};
use crate::engine::model::Load;

/// Number of entry hosts, which place requests independently of each other.
const NODES: usize = 9;
/// One-way delay of a message between entry hosts, in microseconds.
const DELAY_US: u64 = 1_000;

/// A message between an entry host and the owner of an engine.
#[derive(Clone, Debug)]
pub struct Message(Step);

#[derive(Clone, Debug)]
enum Step {
    /// Requests a permit from the owner of the candidate at index `at`.
    RequestPermit { job: usize, candidates: Vec<Candidate>, at: usize },
    /// The owner's reply to a permit request.
    Reply { job: usize, candidates: Vec<Candidate>, at: usize, reply: Reply },
    /// The generation produced its first token.
    Started { job: usize },
    /// The generation ended.
    Ended { job: usize, produced: Option<u32> },
}

/// A request that has not ended.
struct InFlight {
    placement_request: placement::Request,
    permit_request: Request,
    /// Index of the engine whose owner received the latest permit request.
    engine: Option<usize>,
    granted_ms: u64,
    candidates: Vec<Candidate>,
}

/// Placement at nine entry hosts and an admission controller for each engine.
pub struct Production {
    nodes: Vec<placement::State>,
    controllers: Vec<Controller>,
    engines: Vec<document::Engine>,
    /// Index of each engine by name.
    index: HashMap<name::Engine, usize>,
    leaving: Vec<bool>,
    in_flight: HashMap<usize, InFlight>,
    deployment: Deployment,
}

/// The policy settings of a deployment's document.
pub fn settings(deployment: Deployment) -> document::Policy {
    let (goal, urgent_headroom) = match deployment {
        Deployment::Rumbo => (document::Goal::Stall, 0.05),
        Deployment::Fortovsraad => (document::Goal::Tail, 0.0),
    };
    document::Policy { goal, urgent_headroom, max_running: 256, ..document::Policy::default() }
}

fn valid<N, E: std::fmt::Debug>(name: Result<N, E>) -> N {
    name.unwrap_or_else(|error| unreachable!("generated names are valid: {error:?}"))
}

impl Production {
    /// Creates a policy for the engines of `trace`, without load data.
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
            in_flight: HashMap::new(),
            deployment: trace.deployment,
        }
    }

    fn new_request(&self, job: usize, arrival: &Arrival) -> InFlight {
        let organisation = valid(name::Organisation::new(format!("o-{}", arrival.organisation)));
        let workload = self.deployment.workloads()[usize::from(arrival.workload)];
        let workload = valid(name::Workload::new(workload));
        let placement_request = placement::Request {
            model: valid(name::Model::new("model")),
            organisation: organisation.clone(),
            workload: workload.clone(),
            priority: arrival.priority,
            prefix: u64::from(arrival.prefix),
            prompt_tokens: arrival.prompt_tokens,
        };
        let permit_request = Request {
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
        InFlight {
            placement_request,
            permit_request,
            engine: None,
            granted_ms: 0,
            candidates: Vec::new(),
        }
    }

    fn handle_reply(
        &mut self,
        now_ms: u64,
        job: usize,
        candidates: Vec<Candidate>,
        at: usize,
        reply: Reply,
        actions: &mut Actions<Self>,
    ) {
        let engine = self.index[&candidates[at].engine];
        let node = &mut self.nodes[job % NODES];
        let (Reply::Granted { hint, .. } | Reply::Held { hint } | Reply::Refused { hint, .. }) =
            reply;
        node.apply_hint(now_ms, &candidates[at].engine, hint);
        match reply {
            Reply::Granted { engine_priority: priority, .. } => {
                if let Some(request) = self.in_flight.get_mut(&job) {
                    request.granted_ms = now_ms;
                }
                actions.push(Action::Send { job, engine, priority });
            }
            Reply::Held { .. } => {}
            Reply::Refused { .. } if at + 1 < candidates.len() => {
                let message = Message(Step::RequestPermit { job, candidates, at: at + 1 });
                actions.push(Action::Message { after_us: DELAY_US, message });
            }
            Reply::Refused { .. } => {
                self.in_flight.remove(&job);
                actions.push(Action::Refuse { job });
            }
        }
    }

    fn handle_permit_request(
        &mut self,
        now_ms: u64,
        job: usize,
        candidates: Vec<Candidate>,
        at: usize,
        actions: &mut Actions<Self>,
    ) {
        let Some(request) = self.in_flight.get_mut(&job) else {
            return;
        };
        let engine = self.index[&candidates[at].engine];
        request.engine = Some(engine);
        request.candidates = candidates.clone();
        let permit_request =
            Request { hold: candidates[at].hold, ..request.permit_request.clone() };
        let reply = self.controllers[engine].admit(now_ms, permit_request);
        let message = Message(Step::Reply { job, candidates, at, reply });
        actions.push(Action::Message { after_us: DELAY_US, message });
    }
}

impl Policy for Production {
    type Message = Message;

    fn on_arrival(
        &mut self,
        now_ms: u64,
        job: usize,
        arrival: &Arrival,
        actions: &mut Actions<Self>,
    ) {
        let request = self.new_request(job, arrival);
        let (engines, leaving, index) = (&self.engines, &self.leaving, &self.index);
        let is_leaving = |engine: &name::Engine| leaving[index[engine]];
        let candidates = self.nodes[job % NODES].candidates(
            now_ms,
            &request.placement_request,
            engines,
            is_leaving,
        );
        if candidates.is_empty() {
            actions.push(Action::Refuse { job });
            return;
        }
        self.in_flight.insert(job, request);
        actions.push(Action::Message {
            after_us: DELAY_US,
            message: Message(Step::RequestPermit { job, candidates, at: 0 }),
        });
    }

    fn on_message(&mut self, now_ms: u64, message: Message, actions: &mut Actions<Self>) {
        match message.0 {
            Step::RequestPermit { job, candidates, at } => {
                self.handle_permit_request(now_ms, job, candidates, at, actions);
            }
            Step::Reply { job, candidates, at, reply } => {
                self.handle_reply(now_ms, job, candidates, at, reply, actions);
            }
            Step::Started { job } => {
                let request = self
                    .in_flight
                    .get(&job)
                    .filter(|request| now_ms >= request.granted_ms + LATE_START_MS);
                if let Some(engine) = request.and_then(|request| request.engine) {
                    self.controllers[engine].started(now_ms, job as u128);
                }
            }
            Step::Ended { job, produced } => {
                let Some(engine) = self.in_flight.remove(&job).and_then(|request| request.engine)
                else {
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

    fn on_load_report(
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
        let renews = now_ms % 20_000 < 20;
        for engine in 0..self.controllers.len() {
            if renews {
                let asked_here = |request: &InFlight| request.engine == Some(engine);
                let attempts: Vec<u128> = self
                    .in_flight
                    .iter()
                    .filter(|(_, request)| asked_here(request))
                    .map(|(job, _)| *job as u128)
                    .collect();
                self.controllers[engine].renewed(now_ms, &attempts);
            }
            for decision in self.controllers[engine].poll(now_ms) {
                let job = decision.attempt as usize;
                let Some(request) = self.in_flight.get(&job) else {
                    continue;
                };
                let candidates = request.candidates.clone();
                let at = candidates.len() - 1;
                let message = Message(Step::Reply { job, candidates, at, reply: decision.reply });
                actions.push(Action::Message { after_us: DELAY_US, message });
            }
            for change in self.controllers[engine].reprioritise(now_ms) {
                let job = change.attempt as usize;
                actions.push(Action::Reprioritise { job, priority: change.engine_priority });
            }
        }
    }

    fn on_first_token(&mut self, _now_ms: u64, job: usize, actions: &mut Actions<Self>) {
        actions
            .push(Action::Message { after_us: DELAY_US, message: Message(Step::Started { job }) });
    }

    fn on_end(
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

    fn on_engine_lost(&mut self, now_ms: u64, engine: usize) {
        let lost = self.engines[engine].name.clone();
        self.leaving[engine] = true;
        let report = Report { state: State::Leaving, ..Report::default() };
        self.controllers[engine].report(now_ms, &report);
        self.nodes.iter_mut().for_each(|node| node.record_failure(now_ms, &lost));
    }
}

fn engine((index, engine): (usize, &super::trace::Engine)) -> document::Engine {
    document::Engine {
        name: valid(name::Engine::new(format!("e-{index}"))),
        address: ([127, 0, 0, 1], 1).into(),
        domain: valid(name::Domain::new(format!("d-{}", engine.domain))),
        models: vec![valid(name::Model::new("model"))],
        memory_tokens: engine.memory_tokens,
        role: document::Role::Mixed,
        fences: true,
        intent: document::Intent::Serve,
    }
}
