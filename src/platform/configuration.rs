//! The operator's document, as it lies in the store.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::name;
use crate::route::{Kind, Limits, Organisation, Pool, Route, Table, Target};

/// Key of the document in its topic.
pub(crate) const KEY: &str = "config";

/// Why a document cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is not JSON, or a field is missing or has another type. The source names the place.
    #[error("the document is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A field holds a name that is not valid.
    #[error("field {field}: {source}")]
    Name { field: &'static str, source: name::Error },
    /// A route names no service.
    #[error("route {0} has no service")]
    NoService(String),
}

#[derive(Deserialize)]
struct Document {
    version: u64,
    routes: Vec<Path>,
    services: Vec<Service>,
    limits: Bounds,
    #[serde(default)]
    tenants: Vec<Tenant>,
}

/// A route, as written.
#[derive(Deserialize)]
struct Path {
    name: String,
    host: String,
    path_prefix: String,
    kind: Repeat,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    /// Services that share the route's requests, in place of `service`.
    #[serde(default)]
    backends: Vec<Weighted>,
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    /// Set where requests carry prompts for model engines.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    can_resume: bool,
    gap_aim_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Repeat {
    Idempotent,
    NonIdempotent,
    Stream,
}

#[derive(Deserialize)]
struct Weighted {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
struct Service {
    name: String,
    engine: Option<Engine>,
}

#[derive(Deserialize)]
struct Engine {
    slots: u32,
    kv_capacity: u64,
    #[serde(default)]
    moves: bool,
    /// Tokens in one event of a stream.
    #[serde(default = "one")]
    stride: u64,
}

fn one() -> u64 {
    1
}

#[derive(Deserialize)]
struct Bounds {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    api_keys: Vec<String>,
    priority: Option<u8>,
}

/// Parses a document.
pub(crate) fn parse(bytes: &[u8]) -> Result<Table, Error> {
    Table::try_from(serde_json::from_slice::<Document>(bytes)?)
}

fn named(field: &'static str) -> impl Fn(name::Error) -> Error {
    move |source| Error::Name { field, source }
}

impl TryFrom<Document> for Table {
    type Error = Error;

    fn try_from(document: Document) -> Result<Self, Error> {
        let limits = Limits {
            header_bytes: document.limits.max_header_bytes,
            body_bytes: document.limits.max_body_bytes,
            idle_timeout: Duration::from_millis(document.limits.idle_timeout_ms),
        };
        let mut table = Self::new(document.version, limits);
        for path in document.routes {
            let host = path.host.to_ascii_lowercase();
            let prefix = path.path_prefix.clone();
            table = table.with_route(&host, &prefix, Route::try_from(path)?);
        }
        for service in document.services {
            let name = name::Service::new(&service.name).map_err(named("services.name"))?;
            let Some(engine) = service.engine else { continue };
            let pool = Pool {
                batch: engine.slots,
                memory_tokens: engine.kv_capacity,
                event_tokens: engine.stride,
                can_migrate: engine.moves,
            };
            table = table.with_pool(name, pool);
        }
        for tenant in document.tenants {
            let name = name::Organisation::new(&tenant.name).map_err(named("tenants.name"))?;
            let organisation = Arc::new(Organisation { name, priority: tenant.priority });
            for key in tenant.api_keys {
                table = table.with_key(&key, Arc::clone(&organisation));
            }
        }
        Ok(table)
    }
}

impl TryFrom<Path> for Route {
    type Error = Error;

    fn try_from(path: Path) -> Result<Self, Error> {
        let target = |service: &str, weight| {
            let service = name::Service::new(service).map_err(named("routes.service"))?;
            Ok::<_, Error>(Target { service, weight })
        };
        let mut targets = Vec::new();
        for share in &path.backends {
            targets.push(target(&share.service, share.weight)?);
        }
        if let (true, Some(service)) = (targets.is_empty(), &path.service) {
            targets.push(target(service, 1)?);
        }
        if targets.is_empty() {
            return Err(Error::NoService(path.name));
        }
        Ok(Self {
            name: path.name.into(),
            kind: match path.kind {
                Repeat::Idempotent => Kind::Idempotent,
                Repeat::NonIdempotent => Kind::NonIdempotent,
                Repeat::Stream => Kind::Stream { resumable: path.can_resume },
            },
            timeout: Duration::from_millis(path.timeout_ms),
            objective: Duration::from_millis(path.target_latency_ms),
            max_pause: path.gap_aim_ms.map(Duration::from_millis),
            priority: path.priority,
            targets,
            max_attempts: path.max_attempts.max(1),
            public: path.public,
            generates: path.sticky,
        })
    }
}
