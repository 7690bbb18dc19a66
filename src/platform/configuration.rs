//! Format of the operator's configuration document in the store.
//!
//! A part that cannot be read, or states what cannot be used, is left out and does not affect the others: the document also
//! says which keys no longer hold.

use std::sync::Arc;

use serde::Deserialize;

use crate::lenient::{self, Field};
use crate::migration::Link;
use crate::name;
use crate::route::{Pool, Table};

mod outline;
mod parts;

pub(crate) use outline::outline;
use parts::{Parts, Reader};

/// Key of the document's record.
pub(crate) const KEY: &str = "config";

/// Why a document cannot be read, or a part of it cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The document is not a JSON object, or its version or its list of routes cannot be read. The source states the
    /// position.
    #[error("the document is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A part has the wrong type or is out of range. The message has no value: it may be a key.
    #[error("{place} is malformed: wrong type or out of range at column {column} of its value")]
    Part { place: String, column: usize },
    /// A part is missing.
    #[error("{0} is missing")]
    Missing(String),
    /// A part is an invalid name.
    #[error("invalid name at {place}: {source}")]
    Name { place: String, source: name::Error },
    /// A route has no service that can be used.
    #[error("{0} has no service")]
    NoService(String),
}

#[derive(Deserialize)]
struct Document {
    version: u64,
    routes: Vec<Field<Route>>,
    #[serde(default)]
    services: Field<Vec<Field<Service>>>,
    #[serde(default)]
    limits: Field<Limits>,
    #[serde(default)]
    tenants: Field<Vec<Field<Tenant>>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Route {
    name: Field<String>,
    host: Field<String>,
    path_prefix: Field<String>,
    kind: Field<Kind>,
    timeout_ms: Field<u64>,
    target_latency_ms: Field<u64>,
    priority: Field<u8>,
    service: Field<String>,
    /// Services among which requests are split by weight. Takes precedence over `service`.
    backends: Field<Vec<Field<Backend>>>,
    max_attempts: Field<u32>,
    public: Field<bool>,
    /// Whether requests carry prompts for model engines.
    sticky: Field<bool>,
    can_resume: Field<bool>,
    gap_aim_ms: Field<u64>,
    allowed_regions: Field<Vec<Field<String>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Idempotent,
    NonIdempotent,
    Stream,
}

#[derive(Deserialize)]
struct Backend {
    service: String,
    weight: u32,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Service {
    name: Field<String>,
    engine: Field<Engine>,
    /// How long a server is cold after its start, in seconds.
    cold_start_s: Field<f64>,
    /// Requests a second that a cold server takes; 0 or missing without a limit.
    cold_per_s: Field<f64>,
}

#[derive(Deserialize)]
struct Engine {
    slots: u32,
    kv_capacity: u64,
    #[serde(default)]
    moves: bool,
    /// Size of one token in a KV cache, in bytes.
    #[serde(default)]
    kv_token_bytes: u64,
    /// Bandwidth for copies of KV caches, in megabits per second.
    #[serde(default)]
    link_mbps: f64,
    /// Tokens per event of a stream.
    #[serde(default = "default_stride")]
    stride: u64,
}

fn default_stride() -> u64 {
    1
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    max_header_bytes: Field<usize>,
    max_body_bytes: Field<usize>,
    idle_timeout_ms: Field<u64>,
    /// That of idle connections if it is missing.
    header_timeout_ms: Field<u64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Tenant {
    name: Field<String>,
    api_keys: Field<Vec<Field<String>>>,
    priority: Field<u8>,
    allowed_regions: Field<Vec<Field<String>>>,
}

/// The routing table of a document, and why parts of it were left out.
pub(crate) struct Parsed {
    pub(crate) table: Table,
    pub(crate) left_out: Vec<Error>,
}

/// Parses a configuration document into a routing table. Bytes that are not text are replaced, as they may be part of one
/// value.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if nothing in the document can be used.
pub(crate) fn parse(bytes: &[u8]) -> Result<Parsed, Error> {
    let (parts, left_out) = read(bytes)?;
    Ok(Parsed { table: parts.into(), left_out })
}

/// Reads the parts of a document that can be used. Returns why others cannot.
fn read(bytes: &[u8]) -> Result<(Parts, Vec<Error>), Error> {
    let mut reader = Reader::default();
    let parts = reader.document(lenient::parse(bytes)?);
    Ok((parts, reader.left_out))
}

impl From<Parts> for Table {
    fn from(parts: Parts) -> Self {
        let mut table = Self::new(parts.version, parts.limits);
        for rule in parts.rules {
            table = match rule.route {
                Some(route) => table.with_route(&rule.host, &rule.prefix, route),
                None => table.with_unusable_route(&rule.host, &rule.prefix),
            };
        }
        for service in parts.services {
            if let Some(cold) = service.cold {
                table = table.with_cold(service.name.clone(), cold);
            }
            if let Some(pool) = service.pool {
                table = table.with_pool(service.name, pool);
            }
        }
        for holder in parts.holders {
            let organisation = Arc::new(holder.organisation);
            for key in holder.keys {
                table = table.with_key(&key, Arc::clone(&organisation));
            }
        }
        table
    }
}

impl From<&Engine> for Pool {
    fn from(engine: &Engine) -> Self {
        Self {
            batch: engine.slots,
            memory_tokens: engine.kv_capacity,
            event_tokens: engine.stride,
            can_migrate: engine.moves,
            link: Link { token_bytes: engine.kv_token_bytes, megabits_per_s: engine.link_mbps },
        }
    }
}
