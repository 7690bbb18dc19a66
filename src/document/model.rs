//! The types of a document, with the keys and values of its TOML form.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name;

/// A configuration document. The text that was tested in the trial environment is promoted to production unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Settings of placement and admission.
    #[serde(default)]
    pub policy: Policy,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Customers, each with its bearer keys.
    pub organisations: Vec<Organisation>,
    /// Classes of requests.
    pub workloads: Vec<Workload>,
    /// Models that callers may name.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Model engines.
    #[serde(default)]
    pub engines: Vec<Engine>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

/// What admission optimises after priorities.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Goal {
    /// Short stalls and few preemptions.
    #[default]
    Stall,
    /// Low tail latency between tokens.
    Tail,
}

/// Settings of placement and admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// What admission optimises after priorities.
    pub goal: Goal,
    /// Fraction of an engine's memory that is reserved for workloads of priority 0, from 0.0 to 0.9.
    pub urgent_headroom: f64,
    /// Longest time that a request waits for an engine, in milliseconds.
    pub max_wait_ms: u64,
    /// Largest number of generations that one engine decodes concurrently.
    pub max_running: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self { goal: Goal::Stall, urgent_headroom: 0.1, max_wait_ms: 2_000, max_running: 160 }
    }
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest `max_tokens` of a request.
    pub max_tokens: u32,
    /// Longest time for a caller to send its request, in milliseconds.
    pub request_timeout_ms: u64,
    /// Time after which a stream is closed if its caller reads nothing, in milliseconds.
    pub slow_caller_ms: u64,
    /// How long an idempotency key is retained, in seconds.
    pub claim_window_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_tokens: 65_536,
            request_timeout_ms: 10_000,
            slow_caller_ms: 30_000,
            claim_window_s: 86_400,
        }
    }
}

/// A customer whose callers share the engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: name::Organisation,
    /// SHA-256 of each accepted bearer key, in lower-case hexadecimal.
    pub key_sha256: Vec<String>,
    /// Weight in fair sharing, above 0.
    #[serde(default = "one")]
    pub share: f64,
    /// Largest number of open requests at one entry host.
    #[serde(default = "open_limit")]
    pub max_open: u32,
    /// Priorities that differ from the workloads' own.
    #[serde(default)]
    pub priorities: BTreeMap<name::Workload, u8>,
}

fn one() -> f64 {
    1.0
}

fn open_limit() -> u32 {
    1_000
}

/// A class of requests with its own priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its name.
    pub name: name::Workload,
    /// Its priority, 0 (most urgent) to 9.
    pub priority: u8,
}

/// A model that callers may name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: name::Model,
    /// The workload of requests that do not name one.
    pub workload: name::Workload,
    /// The version that its engines should run.
    #[serde(default)]
    pub version: Option<String>,
    /// Adapters that its engines should have loaded.
    #[serde(default)]
    pub adapters: Vec<name::Adapter>,
}

/// Whether an engine or a backend server should receive new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// It receives new work.
    #[default]
    Serve,
    /// It receives no new work; work in progress may finish.
    Leave,
}

/// The phases of a generation that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill of prompts only.
    Prefill,
    /// Decoding of tokens only.
    Decode,
    /// Prefill and decoding.
    #[default]
    Mixed,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Its name.
    pub name: name::Engine,
    /// Its listening address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The models it serves.
    pub models: Vec<name::Model>,
    /// Its memory for generations, in tokens.
    pub memory_tokens: u64,
    /// The role it should have.
    #[serde(default)]
    pub role: Role,
    /// Whether it rejects orders with an old fencing number.
    #[serde(default)]
    pub fences: bool,
    /// Whether it should receive new work.
    #[serde(default)]
    pub intent: Intent,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// The workload of calls to it.
    pub workload: name::Workload,
    /// Its backend servers.
    pub servers: Vec<Server>,
    /// Routes whose calls are not treated by the default for their method; the first match applies.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "call_timeout")]
    pub timeout_ms: u64,
}

fn call_timeout() -> u64 {
    10_000
}

/// One process of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name.
    pub name: name::Server,
    /// Its listening address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Whether it should receive new work.
    #[serde(default)]
    pub intent: Intent,
}

/// Whether calls of one route are idempotent. Calls that match no route are idempotent if their method is GET, HEAD,
/// OPTIONS, PUT or DELETE.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method, in capitals.
    pub method: String,
    /// The prefix of the path, with a leading `/`.
    pub prefix: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// The quantity that an objective limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Time from the request to the first token.
    FirstToken,
    /// Time between two tokens.
    BetweenTokens,
    /// Longest time that a stream makes no progress.
    Stall,
    /// Duration of a call to a plain service.
    Call,
    /// Whether the request was refused; `target_ms` is not used.
    Refusal,
}

/// A service-level objective: at least the fraction `ratio` of all samples is within `target_ms`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The workload that it applies to.
    pub workload: name::Workload,
    /// The measured quantity.
    pub measure: Measure,
    /// The target, in milliseconds.
    pub target_ms: u64,
    /// Fraction of samples that must be within the target, above 0.0 and below 1.0.
    pub ratio: f64,
}
