//! Format of the operator's configuration document in the store.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::homes;
use crate::migration::Link;
use crate::name;
use crate::rate;
use crate::route::{self, Organisation, Pool, Table, Target};

mod outline;

pub(crate) use outline::outline;

/// Key of the document's record.
pub(crate) const KEY: &str = "config";

/// Why a document is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The document is not JSON, or a field is missing or has the wrong type. The source states the position.
    #[error("the document is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A field contains an invalid name.
    #[error("invalid field {field}: {source}")]
    Name { field: &'static str, source: name::Error },
    /// A route has neither `service` nor `backends`.
    #[error("route {0} has no service")]
    NoService(String),
}

#[derive(Deserialize)]
struct Document {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    #[serde(default)]
    tenants: Vec<Tenant>,
}

#[derive(Deserialize)]
struct Route {
    name: String,
    host: String,
    path_prefix: String,
    kind: Kind,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    /// Services among which requests are split by weight. Takes precedence over `service`.
    #[serde(default)]
    backends: Vec<Backend>,
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    /// Whether requests carry prompts for model engines.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    can_resume: bool,
    gap_aim_ms: Option<u64>,
    allowed_regions: Option<Vec<String>>,
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

#[derive(Deserialize)]
struct Service {
    name: String,
    engine: Option<Engine>,
    /// How long a server is cold after its start, in seconds.
    cold_start_s: Option<f64>,
    /// Requests a second that a cold server takes; 0 or missing without a limit.
    cold_per_s: Option<f64>,
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

#[derive(Deserialize)]
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_ms: u64,
    /// That of idle connections if it is missing.
    header_timeout_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    api_keys: Vec<String>,
    priority: Option<u8>,
    allowed_regions: Option<Vec<String>>,
}

/// Parses a configuration document into a routing table.
pub(crate) fn parse(bytes: &[u8]) -> Result<Table, Error> {
    Table::try_from(serde_json::from_slice::<Document>(bytes)?)
}

fn name_error(field: &'static str) -> impl Fn(name::Error) -> Error {
    move |source| Error::Name { field, source }
}

/// What the document says of cold servers. Negative numbers count as missing.
fn cold(service: &Service) -> Option<route::Cold> {
    let start = service.cold_start_s.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let limit = service.cold_per_s.filter(|per_s| *per_s > 0.0).and_then(rate::Limit::new);
    (start.is_some() || limit.is_some())
        .then(|| route::Cold { start: start.unwrap_or_default(), limit })
}

/// The homes that a list of regions states; without a region in it, there is no restriction. An invalid name is that of no
/// region, so it is left out, and the restriction stays.
fn homes(regions: Option<Vec<String>>) -> homes::Set {
    let regions = regions.unwrap_or_default();
    if regions.is_empty() {
        return homes::Set::any();
    }
    homes::Set::new(regions.iter().filter_map(|region| name::Region::new(region).ok()))
}

impl TryFrom<Document> for Table {
    type Error = Error;

    fn try_from(document: Document) -> Result<Self, Error> {
        let idle_timeout = Duration::from_millis(document.limits.idle_timeout_ms);
        let head_timeout = document.limits.header_timeout_ms.map(Duration::from_millis);
        let limits = route::Limits {
            header_bytes: document.limits.max_header_bytes,
            body_bytes: document.limits.max_body_bytes,
            idle_timeout,
            head_timeout: head_timeout.unwrap_or(idle_timeout),
        };
        let mut table = Self::new(document.version, limits);
        for route in document.routes {
            let host = route.host.to_ascii_lowercase();
            let prefix = route.path_prefix.clone();
            table = table.with_route(&host, &prefix, route::Route::try_from(route)?);
        }
        for service in document.services {
            let name = name::Service::new(&service.name).map_err(name_error("services.name"))?;
            if let Some(cold) = cold(&service) {
                table = table.with_cold(name.clone(), cold);
            }
            let Some(engine) = service.engine else { continue };
            table = table.with_pool(name, Pool::from(&engine));
        }
        for tenant in document.tenants {
            let organisation = Arc::new(Organisation::try_from(&tenant)?);
            for key in tenant.api_keys {
                table = table.with_key(&key, Arc::clone(&organisation));
            }
        }
        Ok(table)
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

impl TryFrom<&Tenant> for Organisation {
    type Error = Error;

    fn try_from(tenant: &Tenant) -> Result<Self, Error> {
        let name = name::Organisation::new(&tenant.name).map_err(name_error("tenants.name"))?;
        let homes = homes(tenant.allowed_regions.clone());
        Ok(Self { name, priority: tenant.priority, homes })
    }
}

impl TryFrom<Route> for route::Route {
    type Error = Error;

    fn try_from(route: Route) -> Result<Self, Error> {
        let target = |service: &str, weight| {
            let service = name::Service::new(service).map_err(name_error("routes.service"))?;
            Ok::<_, Error>(Target { service, weight })
        };
        let mut targets = Vec::new();
        for backend in &route.backends {
            targets.push(target(&backend.service, backend.weight)?);
        }
        if let (true, Some(service)) = (targets.is_empty(), &route.service) {
            targets.push(target(service, 1)?);
        }
        if targets.is_empty() {
            return Err(Error::NoService(route.name));
        }
        Ok(Self {
            name: route.name.into(),
            kind: match route.kind {
                Kind::Idempotent => route::Kind::Idempotent,
                Kind::NonIdempotent => route::Kind::NonIdempotent,
                Kind::Stream => route::Kind::Stream { resumable: route.can_resume },
            },
            timeout: Duration::from_millis(route.timeout_ms),
            objective: Duration::from_millis(route.target_latency_ms),
            max_pause: route.gap_aim_ms.map(Duration::from_millis),
            priority: route.priority,
            targets,
            max_runs: route.max_attempts.max(1),
            public: route.public,
            generates: route.sticky,
            homes: homes(route.allowed_regions),
        })
    }
}
