//! Admission controller of one engine, based on predicted memory use.

use std::collections::BTreeMap;

use super::length::Distribution;
use super::message::{Decision, Hint, PriorityChange, Reply, Report, Request, State};
use super::permit::{Class, Permit};
use super::projection::Projection;
use super::queue::{Queue, Usage};
use crate::{document, name};

/// Time after which a permit expires unless its entry host renews it, in milliseconds.
pub const LEASE_MS: u64 = 90_000;
/// Time after the grant from which a first token is reported to the owner, in milliseconds. For an earlier one the
/// owner's assumption that a generation starts when its permit is granted is close enough, which saves the message.
pub const LATE_START_MS: u64 = 250;
/// Duration of a decoding step assumed until the engine reports one, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 25.0;
/// Typical age of a load report when it arrives, in milliseconds.
const REPORT_AGE_MS: f64 = 350.0;
/// Weight of the newest load report in moving averages.
const REPORT_WEIGHT: f64 = 0.3;
/// Safety margin of the predicted memory use, in standard deviations.
const MARGIN_DEVIATIONS: f64 = 1.0;
/// Memory that must be freed before a held request is expected to start, as a multiple of the memory it lacks. It
/// exceeds 1 because later requests may be served first.
const COMPETITION_FACTOR: f64 = 2.0;
/// Distance at the engine between two adjacent priorities of the document.
const ENGINE_PRIORITY_STEP: u8 = 25;
/// Retry delay for an engine that accepts no new work, in milliseconds.
const NOT_SERVING_RETRY_MS: u32 = 1_000;
/// Shortest retry delay, in milliseconds.
const MIN_RETRY_MS: f64 = 250.0;
/// Longest retry delay before jitter, in milliseconds.
const MAX_RETRY_MS: f64 = 30_000.0;
/// Progress of the token clock after which the projections are recomputed.
const REFRESH_TOKENS: f64 = 4.0;

/// Grants, holds and refuses permits for one engine.
///
/// ```
/// use nutmeghead::{admission, document, name};
/// let mut controller = admission::Controller::new(400_000, &document::Policy::default());
/// let request = admission::Request {
///     attempt: 1, organisation: name::Organisation::new("rumbo")?, share: 1.0,
///     workload: name::Workload::new("rebuild")?, priority: 0, prompt_tokens: 900,
///     max_tokens: None, prefix: 0, hold: true,
/// };
/// assert!(matches!(controller.admit(0, request), admission::Reply::Granted { .. }));
/// # Ok::<(), name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Controller {
    memory_tokens: f64,
    policy: document::Policy,
    state: State,
    classes: Vec<Class>,
    /// Generation lengths assumed for workloads without a class.
    prior: Distribution,
    permits: BTreeMap<u128, Permit>,
    queue: Queue,
    /// Time of the latest call, in milliseconds.
    now_ms: u64,
    /// Estimated number of decoding steps of the engine since the controller was created.
    token_clock: f64,
    token_ms: f64,
    /// Reported memory use in excess of the use estimated from permits, in tokens; moving average.
    bias: f64,
    /// Projected memory use of all permits.
    all: Projection,
    /// Projected memory use of the permits of priority 0.
    urgent: Projection,
    /// Token clock when the projections were computed.
    projected_at: f64,
    /// Whether permits have changed since the projections were computed.
    is_stale: bool,
}

impl Controller {
    /// Creates a controller for an idle engine with `memory_tokens` tokens of memory.
    pub fn new(memory_tokens: u64, policy: &document::Policy) -> Self {
        Self {
            memory_tokens: memory_tokens as f64,
            policy: policy.clone(),
            state: State::Serving,
            classes: Vec::new(),
            prior: Distribution::new(),
            permits: BTreeMap::new(),
            queue: Queue::default(),
            now_ms: 0,
            token_clock: 0.0,
            token_ms: DEFAULT_TOKEN_MS,
            bias: 0.0,
            all: Projection::default(),
            urgent: Projection::default(),
            projected_at: 0.0,
            is_stale: false,
        }
    }

    /// Changes the policy and the engine's memory, and keeps permits and held requests.
    pub fn set_policy(&mut self, memory_tokens: u64, policy: &document::Policy) {
        self.memory_tokens = memory_tokens as f64;
        self.policy = policy.clone();
    }

    /// Whether no permit is open and no request is held.
    pub fn is_idle(&self) -> bool {
        self.permits.is_empty() && self.queue.len() == 0
    }

    /// Grants, holds or refuses a request. Idempotent: an attempt that already has a permit is granted the same one
    /// again.
    pub fn admit(&mut self, now_ms: u64, request: Request) -> Reply {
        self.advance(now_ms);
        if let Some(engine_priority) = self.renew(request.attempt) {
            return Reply::Granted { engine_priority, hint: self.hint() };
        }
        if self.queue.iter().any(|entry| entry.request.attempt == request.attempt) {
            return Reply::Held { hint: self.hint() };
        }
        if self.state != State::Serving {
            return self.refuse(NOT_SERVING_RETRY_MS);
        }
        let usage = self.usage();
        let ahead = self.queue.ahead(&request, now_ms, &usage);
        if ahead.count == 0 && self.fits(&request) {
            return self.grant(now_ms, request);
        }
        let wait_ms = self.expected_wait_ms(&request, ahead.memory_tokens);
        if !request.hold || wait_ms > self.policy.max_wait_ms as f64 {
            return self.refuse(jittered_retry_ms(wait_ms, request.attempt));
        }
        let memory_tokens = self.expected_memory(&request);
        self.queue.push(now_ms, request, memory_tokens);
        Reply::Held { hint: self.hint() }
    }

    /// Decides on held requests. Call it about every 20 ms while [`Hint::held`] is above 0.
    pub fn poll(&mut self, now_ms: u64) -> Vec<Decision> {
        self.advance(now_ms);
        self.expire();
        let mut decisions = Vec::new();
        if self.queue.len() == 0 {
            return decisions;
        }
        self.grant_held(&mut decisions);
        self.refuse_held(&mut decisions);
        decisions
    }

    /// Records that the generation's first token was produced, at least [`LATE_START_MS`] after the grant.
    pub fn started(&mut self, now_ms: u64, attempt: u128) {
        self.advance(now_ms);
        self.renew(attempt);
        if let Some(permit) = self.permits.get_mut(&attempt) {
            permit.started_at = self.token_clock;
            self.is_stale = true;
        }
    }

    /// Records that the generation finished after `produced` tokens, and frees its permit.
    pub fn finished(&mut self, now_ms: u64, attempt: u128, produced: u32) {
        self.advance(now_ms);
        if let Some(permit) = self.permits.remove(&attempt) {
            self.classes[permit.class]
                .lengths
                .record_end(permit.counted_buckets, f64::from(produced));
            self.is_stale = true;
        }
    }

    /// Removes a held request, or frees the permit of a running generation, that was cancelled.
    pub fn cancelled(&mut self, now_ms: u64, attempt: u128) {
        self.advance(now_ms);
        self.is_stale |= self.permits.remove(&attempt).is_some();
        self.queue.remove(attempt);
    }

    /// Renews the permits of generations that still run. Call it well within [`LEASE_MS`].
    pub fn renewed(&mut self, now_ms: u64, attempts: &[u128]) {
        self.advance(now_ms);
        for attempt in attempts {
            self.renew(*attempt);
        }
    }

    /// Corrects the estimates by a load report. While generations are queued at the engine, unused memory is reserved
    /// for them, so a lower memory use than estimated is then ignored.
    pub fn report(&mut self, now_ms: u64, report: &Report) {
        self.advance(now_ms);
        self.state = report.state;
        if report.token_ms > 0.0 && report.running > 0 {
            self.token_ms += REPORT_WEIGHT * (report.token_ms - self.token_ms);
        }
        let estimated: f64 =
            self.permits.values().map(|permit| permit.memory_tokens(self.token_clock)).sum();
        let growth = f64::from(report.running) * REPORT_AGE_MS / self.token_ms;
        let error = report.used_tokens as f64 + growth - estimated;
        if report.waiting == 0 || error > self.bias {
            self.bias += REPORT_WEIGHT * (error - self.bias);
        }
        let max_bias = self.memory_tokens * 0.25;
        self.bias = self.bias.clamp(-max_bias, max_bias);
        if report.memory_tokens > 0 {
            self.memory_tokens = report.memory_tokens as f64;
        }
    }

    /// Returns priority changes to send to the engine, so that it preempts the right generation if its memory fills up.
    /// At present there are none.
    pub fn reprioritise(&mut self, now_ms: u64) -> Vec<PriorityChange> {
        self.advance(now_ms);
        Vec::new()
    }

    /// The load of the engine.
    pub fn hint(&self) -> Hint {
        let held: f64 = self.queue.iter().map(|entry| entry.memory_tokens).sum();
        let load = (self.all.peak(0.0) + self.bias + held) / self.memory_tokens.max(1.0);
        Hint {
            load_permille: (load.max(0.0) * 1_000.0) as u16,
            running: self.permits.len().min(usize::from(u16::MAX)) as u16,
            held: self.queue.len().min(usize::from(u16::MAX)) as u16,
        }
    }

    /// Advances the token clock and recomputes the projections if they are out of date.
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        self.token_clock += elapsed_ms as f64 / self.token_ms;
        if self.is_stale || self.token_clock - self.projected_at > REFRESH_TOKENS {
            self.project_permits();
        }
    }

    fn project_permits(&mut self) {
        self.all = Projection::default();
        self.urgent = Projection::default();
        for permit in self.permits.values_mut() {
            let produced = permit.produced(self.token_clock);
            let bucket = Distribution::bucket(produced);
            let lengths = &mut self.classes[permit.class].lengths;
            if bucket > permit.counted_buckets {
                lengths.record_progress(permit.counted_buckets, bucket);
                permit.counted_buckets = bucket;
            }
            let projection =
                if permit.request.priority == 0 { &mut self.urgent } else { &mut self.all };
            let remaining = permit.max_tokens() - produced;
            projection.add(lengths, permit.memory_tokens(self.token_clock), remaining);
        }
        self.all = self.all.plus(&self.urgent);
        self.projected_at = self.token_clock;
        self.is_stale = false;
    }

    /// Renews a permit and returns its priority at the engine.
    fn renew(&mut self, attempt: u128) -> Option<u8> {
        let permit = self.permits.get_mut(&attempt)?;
        permit.renewed_ms = self.now_ms;
        Some(permit.engine_priority)
    }

    fn expire(&mut self) {
        let now_ms = self.now_ms;
        let count_before = self.permits.len();
        self.permits.retain(|_, permit| now_ms.saturating_sub(permit.renewed_ms) < LEASE_MS);
        self.is_stale |= self.permits.len() < count_before;
    }

    /// Index of the class of a workload, which is created if there is none.
    fn class_index(&mut self, workload: &name::Workload) -> usize {
        if let Some(index) = self.classes.iter().position(|class| class.workload == *workload) {
            return index;
        }
        self.classes.push(Class { workload: workload.clone(), lengths: Distribution::new() });
        self.classes.len() - 1
    }

    /// Projects the memory use of a generation that starts now.
    fn project(&self, request: &Request) -> Projection {
        let limit = request.max_tokens.map_or(f64::INFINITY, f64::from);
        let mut projection = Projection::default();
        projection.add(self.lengths(&request.workload), f64::from(request.prompt_tokens), limit);
        projection
    }

    fn lengths(&self, workload: &name::Workload) -> &Distribution {
        let class = self.classes.iter().find(|class| class.workload == *workload);
        class.map_or(&self.prior, |class| &class.lengths)
    }

    /// Expected memory use of a request at its end, in tokens.
    fn expected_memory(&self, request: &Request) -> f64 {
        let limit = request.max_tokens.map_or(f64::INFINITY, f64::from);
        let growth = self.lengths(&request.workload).expected_remaining(0.0, limit);
        f64::from(request.prompt_tokens) + growth
    }

    /// Memory available to requests of `priority`, in tokens.
    fn memory_limit(&self, priority: u8) -> f64 {
        let headroom = if priority == 0 { 0.0 } else { self.policy.urgent_headroom };
        self.memory_tokens * (1.0 - headroom) - self.bias
    }

    /// Whether the engine is expected to have enough memory until the request's generation ends.
    fn fits(&self, request: &Request) -> bool {
        if self.permits.len() >= self.policy.max_running as usize {
            return false;
        }
        let projection = self.project(request);
        let limit = self.memory_limit(request.priority);
        if request.priority > 0 {
            return self.all.plus(&projection).peak(MARGIN_DEVIATIONS) <= limit;
        }
        let fits_now = self.all.now() + f64::from(request.prompt_tokens) <= limit;
        fits_now && self.urgent.plus(&projection).peak(MARGIN_DEVIATIONS) <= limit
    }

    /// Expected time until a request may start, in milliseconds. The requests ahead of it need `ahead` tokens of
    /// memory.
    fn expected_wait_ms(&self, request: &Request, ahead: f64) -> f64 {
        let projection = self.project(request);
        let limit = self.memory_limit(request.priority);
        let peak = if request.priority > 0 {
            self.all.plus(&projection).peak(MARGIN_DEVIATIONS)
        } else {
            let use_at_start = self.all.now() + f64::from(request.prompt_tokens);
            self.urgent.plus(&projection).peak(MARGIN_DEVIATIONS).max(use_at_start)
        };
        self.all.freed_after((peak + ahead - limit) * COMPETITION_FACTOR) * self.token_ms
    }

    fn grant(&mut self, now_ms: u64, request: Request) -> Reply {
        let projection = self.project(&request);
        self.all = self.all.plus(&projection);
        if request.priority == 0 {
            self.urgent = self.urgent.plus(&projection);
        }
        let engine_priority = request.priority * ENGINE_PRIORITY_STEP;
        let permit = Permit {
            class: self.class_index(&request.workload),
            started_at: self.token_clock + 1.0,
            renewed_ms: now_ms,
            counted_buckets: 0,
            engine_priority,
            request,
        };
        self.permits.insert(permit.request.attempt, permit);
        Reply::Granted { engine_priority, hint: self.hint() }
    }

    fn refuse(&self, retry_after_ms: u32) -> Reply {
        Reply::Refused { retry_after_ms, hint: self.hint() }
    }

    /// Grants held requests in queue order until one does not fit.
    fn grant_held(&mut self, decisions: &mut Vec<Decision>) {
        if self.state != State::Serving {
            return;
        }
        let mut usage = self.usage();
        while let Some(entry) = self.queue.next(&usage) {
            let request = entry.request.clone();
            if !self.fits(&request) {
                return;
            }
            let attempt = request.attempt;
            self.queue.remove(attempt);
            *usage.entry(request.organisation.clone()).or_default() +=
                self.expected_memory(&request);
            let reply = self.grant(self.now_ms, request);
            decisions.push(Decision { attempt, reply });
        }
    }

    /// Refuses held requests that are not expected to be granted within the longest wait.
    fn refuse_held(&mut self, decisions: &mut Vec<Decision>) {
        let usage = self.usage();
        let mut ahead = 0.0;
        let mut refused = Vec::new();
        for entry in self.queue.sorted(&usage) {
            let retry_after_ms = self.refusal_retry_ms(entry.arrived_ms, &entry.request, ahead);
            refused.extend(
                retry_after_ms.map(|retry_after_ms| (entry.request.attempt, retry_after_ms)),
            );
            ahead += if retry_after_ms.is_none() { entry.memory_tokens } else { 0.0 };
        }
        for (attempt, retry_after_ms) in refused {
            self.queue.remove(attempt);
            decisions.push(Decision { attempt, reply: self.refuse(retry_after_ms) });
        }
    }

    /// The retry delay if a held request is to be refused, in milliseconds. The requests ahead of it need `ahead`
    /// tokens of memory.
    fn refusal_retry_ms(&self, arrived_ms: u64, request: &Request, ahead: f64) -> Option<u32> {
        if self.state != State::Serving {
            return Some(NOT_SERVING_RETRY_MS);
        }
        let waited_ms = self.now_ms.saturating_sub(arrived_ms);
        let wait_ms = self.expected_wait_ms(request, ahead);
        let is_late = waited_ms as f64 + wait_ms > self.policy.max_wait_ms as f64
            || waited_ms >= self.policy.max_wait_ms;
        is_late.then(|| jittered_retry_ms(wait_ms, request.attempt))
    }

    /// Estimated memory use of each organisation's permits, in tokens.
    fn usage(&self) -> Usage {
        let mut usage = Usage::new();
        for permit in self.permits.values() {
            let used = permit.memory_tokens(self.token_clock);
            *usage.entry(permit.request.organisation.clone()).or_insert(0.0) += used;
        }
        usage
    }
}

/// The retry delay for an expected wait, with jitter so that refused callers do not retry at the same time.
fn jittered_retry_ms(wait_ms: f64, attempt: u128) -> u32 {
    let jitter = 1.0 + (attempt % 256) as f64 / 1_024.0;
    (wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) * jitter) as u32
}
