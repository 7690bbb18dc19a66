//! The ledger of an engine's memory.

use std::collections::BTreeMap;

use super::length::Length;
use super::message::{Answer, Ask, Decision, Hint, Reorder, Report, State};
use super::permit::{Class, Permit};
use super::projection::Projection;
use super::queue::{Queue, Usage};
use crate::{document, name};

/// Time after which a permit that its entry host did not renew is forgotten, in milliseconds.
pub const LEASE_MS: u64 = 90_000;
/// Time after its permit from which a first token is told to the owner, in milliseconds. Until then the owner's guess, that
/// a generation starts with its permit, is close enough to save the message.
pub const LATE_START_MS: u64 = 250;
/// Time for a token until the engine reports it, in milliseconds.
const FIRST_TOKEN_MS: f64 = 25.0;
/// Usual age of a report when it arrives, in milliseconds.
const REPORT_AGE_MS: f64 = 350.0;
/// Weight of the newest report in running averages.
const REPORT_WEIGHT: f64 = 0.3;
/// Standard deviations of the memory's prediction that are kept free.
const DEVIATIONS: f64 = 1.0;
/// Memory that must come free for a held request, in shares of what it lacks: later requests may go before it.
const COMPETITION: f64 = 2.0;
/// Priorities at the engine for each priority of the document.
const ENGINE_PRIORITIES: u8 = 25;
/// Time to come back to an engine that takes no new work, in milliseconds.
const LEAVING_RETRY_MS: u32 = 1_000;
/// Shortest time to come back, in milliseconds.
const MIN_RETRY_MS: f64 = 250.0;
/// Longest time to come back, in milliseconds.
const MAX_RETRY_MS: f64 = 30_000.0;
/// Tokens of progress after which the prediction is made anew.
const REFRESH_TOKENS: f64 = 4.0;

/// Grants, holds and refuses permits for one engine.
///
/// ```
/// use nutmeghead::{admission, document, name};
/// let mut ledger = admission::Ledger::new(400_000, &document::Policy::default());
/// let ask = admission::Ask {
///     attempt: 1, organisation: name::Organisation::new("rumbo")?, share: 1.0,
///     workload: name::Workload::new("rebuild")?, priority: 0, prompt_tokens: 900,
///     max_tokens: None, prefix: 0, hold: true,
/// };
/// assert!(matches!(ledger.ask(0, ask), admission::Answer::Granted { .. }));
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    memory: f64,
    policy: document::Policy,
    state: State,
    classes: Vec<Class>,
    /// The distribution of workloads that have no class yet.
    unknown: Length,
    permits: BTreeMap<u128, Permit>,
    queue: Queue,
    /// The time of the last call, in milliseconds.
    now_ms: u64,
    /// Tokens that a generation in the batch has produced since the ledger's start.
    clock: f64,
    token_ms: f64,
    /// How much more the engine uses than the permits explain, in tokens.
    bias: f64,
    /// Prediction for all permits, and for those of priority 0.
    all: Projection,
    urgent: Projection,
    predicted_at: f64,
    stale: bool,
}

impl Ledger {
    /// A ledger for an engine that holds `memory_tokens` and runs nothing.
    pub fn new(memory_tokens: u64, policy: &document::Policy) -> Self {
        Self {
            memory: memory_tokens as f64,
            policy: policy.clone(),
            state: State::Serving,
            classes: Vec::new(),
            unknown: Length::new(),
            permits: BTreeMap::new(),
            queue: Queue::default(),
            now_ms: 0,
            clock: 0.0,
            token_ms: FIRST_TOKEN_MS,
            bias: 0.0,
            all: Projection::default(),
            urgent: Projection::default(),
            predicted_at: 0.0,
            stale: false,
        }
    }

    /// Changes the policy and the engine's memory; permits and held requests stay.
    pub fn set_policy(&mut self, memory_tokens: u64, policy: &document::Policy) {
        self.memory = memory_tokens as f64;
        self.policy = policy.clone();
    }

    /// Whether any permit is open or any request is held.
    pub fn is_idle(&self) -> bool {
        self.permits.is_empty() && self.queue.len() == 0
    }

    /// Answers a request for a permit. An attempt that holds one already gets the same permit again.
    pub fn ask(&mut self, now_ms: u64, ask: Ask) -> Answer {
        self.advance(now_ms);
        if let Some(engine_priority) = self.renew(ask.attempt) {
            return Answer::Granted { engine_priority, hint: self.hint() };
        }
        if self.queue.iter().any(|waiting| waiting.ask.attempt == ask.attempt) {
            return Answer::Held { hint: self.hint() };
        }
        if self.state != State::Serving {
            return self.refuse(LEAVING_RETRY_MS);
        }
        let usage = self.usage();
        let ahead = self.queue.ahead(&ask, now_ms, &usage);
        if ahead.count == 0 && self.fits(&ask) {
            return self.grant(now_ms, ask);
        }
        let wait_ms = self.wait_ms(&ask, ahead.tokens);
        if !ask.hold || wait_ms > self.policy.max_wait_ms as f64 {
            return self.refuse(retry_ms(wait_ms, ask.attempt));
        }
        let need = self.need(&ask);
        self.queue.push(now_ms, ask, need);
        Answer::Held { hint: self.hint() }
    }

    /// Decides on held requests; to be called about every 20 ms while [`Hint::waiting`] is above 0.
    pub fn poll(&mut self, now_ms: u64) -> Vec<Decision> {
        self.advance(now_ms);
        self.expire();
        let mut decisions = Vec::new();
        if self.queue.len() == 0 {
            return decisions;
        }
        self.grant_held(&mut decisions);
        self.refuse_late(&mut decisions);
        decisions
    }

    /// The generation's first token came, at least [`LATE_START_MS`] after its permit.
    pub fn started(&mut self, now_ms: u64, attempt: u128) {
        self.advance(now_ms);
        self.renew(attempt);
        if let Some(permit) = self.permits.get_mut(&attempt) {
            permit.started_at = self.clock;
            self.stale = true;
        }
    }

    /// The generation ended after `produced` tokens.
    pub fn finished(&mut self, now_ms: u64, attempt: u128, produced: u32) {
        self.advance(now_ms);
        if let Some(permit) = self.permits.remove(&attempt) {
            self.classes[permit.class].length.end(permit.passed, f64::from(produced));
            self.stale = true;
        }
    }

    /// The request or the generation was given up, whether it was held or ran.
    pub fn cancelled(&mut self, now_ms: u64, attempt: u128) {
        self.advance(now_ms);
        self.stale |= self.permits.remove(&attempt).is_some();
        self.queue.remove(attempt);
    }

    /// The generations still run; to be called well within [`LEASE_MS`].
    pub fn renewed(&mut self, now_ms: u64, attempts: &[u128]) {
        self.advance(now_ms);
        for attempt in attempts {
            self.renew(*attempt);
        }
    }

    /// Takes in a load report of the engine. While generations wait at the engine, unused memory is theirs and is not
    /// taken for a sign that the permits need less.
    pub fn report(&mut self, now_ms: u64, report: &Report) {
        self.advance(now_ms);
        self.state = report.state;
        if report.token_ms > 0.0 && report.running > 0 {
            self.token_ms += REPORT_WEIGHT * (report.token_ms - self.token_ms);
        }
        let explained: f64 = self.permits.values().map(|permit| permit.held(self.clock)).sum();
        let grown = f64::from(report.running) * REPORT_AGE_MS / self.token_ms;
        let error = report.used_tokens as f64 + grown - explained;
        if report.waiting == 0 || error > self.bias {
            self.bias += REPORT_WEIGHT * (error - self.bias);
        }
        let bound = self.memory * 0.25;
        self.bias = self.bias.clamp(-bound, bound);
        if report.memory_tokens > 0 {
            self.memory = report.memory_tokens as f64;
        }
    }

    /// Changes of priorities at the engine, so that it preempts the right generation if its memory fills.
    pub fn reprioritise(&mut self, now_ms: u64) -> Vec<Reorder> {
        self.advance(now_ms);
        Vec::new()
    }

    /// How busy the engine is.
    pub fn hint(&self) -> Hint {
        let waiting: f64 = self.queue.iter().map(|waiting| waiting.need).sum();
        let load = (self.all.peak(0.0) + self.bias + waiting) / self.memory.max(1.0);
        Hint {
            load: (load.max(0.0) * 1_000.0) as u16,
            running: self.permits.len().min(usize::from(u16::MAX)) as u16,
            waiting: self.queue.len().min(usize::from(u16::MAX)) as u16,
        }
    }

    /// Moves the token clock on and renews the prediction if it is old.
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        self.clock += elapsed_ms as f64 / self.token_ms;
        if self.stale || self.clock - self.predicted_at > REFRESH_TOKENS {
            self.predict();
        }
    }

    fn predict(&mut self) {
        self.all = Projection::default();
        self.urgent = Projection::default();
        for permit in self.permits.values_mut() {
            let produced = permit.produced(self.clock);
            let bucket = Length::bucket(produced);
            let length = &mut self.classes[permit.class].length;
            if bucket > permit.passed {
                length.pass(permit.passed, bucket);
                permit.passed = bucket;
            }
            let projection =
                if permit.ask.priority == 0 { &mut self.urgent } else { &mut self.all };
            let left = permit.limit() - produced;
            projection.add(length, permit.held(self.clock), left);
        }
        self.all = self.all.plus(&self.urgent);
        self.predicted_at = self.clock;
        self.stale = false;
    }

    fn renew(&mut self, attempt: u128) -> Option<u8> {
        let permit = self.permits.get_mut(&attempt)?;
        permit.renewed_ms = self.now_ms;
        Some(permit.engine_priority)
    }

    fn expire(&mut self) {
        let now_ms = self.now_ms;
        let before = self.permits.len();
        self.permits.retain(|_, permit| now_ms.saturating_sub(permit.renewed_ms) < LEASE_MS);
        self.stale |= self.permits.len() < before;
    }

    /// The class of a workload, which begins without observations.
    fn class(&mut self, workload: &name::Workload) -> usize {
        if let Some(index) = self.classes.iter().position(|class| class.workload == *workload) {
            return index;
        }
        self.classes.push(Class { workload: workload.clone(), length: Length::new() });
        self.classes.len() - 1
    }

    /// The projection of a generation that starts now.
    fn start(&self, ask: &Ask) -> Projection {
        let limit = ask.max_tokens.map_or(f64::INFINITY, f64::from);
        let mut projection = Projection::default();
        projection.add(self.length(&ask.workload), f64::from(ask.prompt_tokens), limit);
        projection
    }

    fn length(&self, workload: &name::Workload) -> &Length {
        let class = self.classes.iter().find(|class| class.workload == *workload);
        class.map_or(&self.unknown, |class| &class.length)
    }

    /// Memory that a request is expected to need while it runs, in tokens.
    fn need(&self, ask: &Ask) -> f64 {
        let limit = ask.max_tokens.map_or(f64::INFINITY, f64::from);
        let growth = self.length(&ask.workload).remaining(0.0, limit);
        f64::from(ask.prompt_tokens) + growth
    }

    /// Memory that requests of `priority` may fill, in tokens.
    fn limit(&self, priority: u8) -> f64 {
        let free = if priority == 0 { 0.0 } else { self.policy.urgent_headroom };
        self.memory * (1.0 - free) - self.bias
    }

    /// Whether the request's generation is expected to find memory to its end.
    fn fits(&self, ask: &Ask) -> bool {
        if self.permits.len() >= self.policy.max_running as usize {
            return false;
        }
        let start = self.start(ask);
        let limit = self.limit(ask.priority);
        if ask.priority > 0 {
            return self.all.plus(&start).peak(DEVIATIONS) <= limit;
        }
        let room_now = self.all.now() + f64::from(ask.prompt_tokens) <= limit;
        room_now && self.urgent.plus(&start).peak(DEVIATIONS) <= limit
    }

    /// Expected time until a request that finds `ahead` tokens of requests before it may start, in milliseconds.
    fn wait_ms(&self, ask: &Ask, ahead: f64) -> f64 {
        let start = self.start(ask);
        let limit = self.limit(ask.priority);
        let peak = if ask.priority > 0 {
            self.all.plus(&start).peak(DEVIATIONS)
        } else {
            let room_now = self.all.now() + f64::from(ask.prompt_tokens);
            self.urgent.plus(&start).peak(DEVIATIONS).max(room_now)
        };
        self.all.freed_after((peak + ahead - limit) * COMPETITION) * self.token_ms
    }

    fn grant(&mut self, now_ms: u64, ask: Ask) -> Answer {
        let start = self.start(&ask);
        self.all = self.all.plus(&start);
        if ask.priority == 0 {
            self.urgent = self.urgent.plus(&start);
        }
        let engine_priority = ask.priority * ENGINE_PRIORITIES;
        let permit = Permit {
            class: self.class(&ask.workload),
            started_at: self.clock + 1.0,
            renewed_ms: now_ms,
            passed: 0,
            engine_priority,
            ask,
        };
        self.permits.insert(permit.ask.attempt, permit);
        Answer::Granted { engine_priority, hint: self.hint() }
    }

    fn refuse(&self, retry_after_ms: u32) -> Answer {
        Answer::Refused { retry_after_ms, hint: self.hint() }
    }

    /// Grants held requests in their order until one does not fit.
    fn grant_held(&mut self, decisions: &mut Vec<Decision>) {
        if self.state != State::Serving {
            return;
        }
        let mut usage = self.usage();
        while let Some(waiting) = self.queue.next(&usage) {
            let ask = waiting.ask.clone();
            if !self.fits(&ask) {
                return;
            }
            let attempt = ask.attempt;
            self.queue.remove(attempt);
            *usage.entry(ask.organisation.clone()).or_default() += self.need(&ask);
            let answer = self.grant(self.now_ms, ask);
            decisions.push(Decision { attempt, answer });
        }
    }

    /// Refuses held requests that cannot be granted in time.
    fn refuse_late(&mut self, decisions: &mut Vec<Decision>) {
        let usage = self.usage();
        let mut ahead = 0.0;
        let mut late = Vec::new();
        for waiting in self.queue.sorted(&usage) {
            let retry_after_ms = self.late(waiting.asked_ms, &waiting.ask, ahead);
            late.extend(retry_after_ms.map(|retry_after_ms| (waiting.ask.attempt, retry_after_ms)));
            ahead += if retry_after_ms.is_none() { waiting.need } else { 0.0 };
        }
        for (attempt, retry_after_ms) in late {
            self.queue.remove(attempt);
            decisions.push(Decision { attempt, answer: self.refuse(retry_after_ms) });
        }
    }

    /// When to come back, if the held request with `ahead` tokens of requests before it will not be granted in time.
    fn late(&self, asked_ms: u64, ask: &Ask, ahead: f64) -> Option<u32> {
        if self.state != State::Serving {
            return Some(LEAVING_RETRY_MS);
        }
        let waited_ms = self.now_ms.saturating_sub(asked_ms);
        let wait_ms = self.wait_ms(ask, ahead);
        let late = waited_ms as f64 + wait_ms > self.policy.max_wait_ms as f64
            || waited_ms >= self.policy.max_wait_ms;
        late.then(|| retry_ms(wait_ms, ask.attempt))
    }

    /// Memory that each organisation's permits are expected to need, in tokens.
    fn usage(&self) -> Usage {
        let mut usage = Usage::new();
        for permit in self.permits.values() {
            let held = permit.held(self.clock);
            *usage.entry(permit.ask.organisation.clone()).or_insert(0.0) += held;
        }
        usage
    }
}

/// When to come back after an expected wait, spread so that refused callers do not return together.
fn retry_ms(wait_ms: f64, attempt: u128) -> u32 {
    let spread = 1.0 + (attempt % 256) as f64 / 1_024.0;
    (wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) * spread) as u32
}
