//! Control calls to model engines: status reports and live migration of running generations.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::migration::{Copied, Failure, Report, Run};
use crate::{connect, lenient};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Body of a status report. Its values are a few hundred milliseconds old.
#[derive(Deserialize)]
struct Status {
    /// Milliseconds until the engine shuts down, if known.
    leaves_ms: Option<f64>,
    state: Option<Phase>,
    /// When the engine started, in milliseconds since the Unix epoch.
    born: Option<u64>,
    #[serde(default)]
    runs: lenient::List<RunEntry>,
}

/// A running generation: its request's id, the tokens in memory, the events produced and its priority.
#[derive(Deserialize)]
struct RunEntry(String, f64, f64, IgnoredAny);

impl From<RunEntry> for Run {
    fn from(RunEntry(id, tokens, events, _): RunEntry) -> Self {
        Self { id: id.into(), tokens: tokens.max(0.0) as u64, events: events.max(0.0) as u64 }
    }
}

/// Whether the engine accepts new requests.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Phase {
    Draining,
    #[serde(other)]
    Other,
}

impl From<Status> for Report {
    fn from(status: Status) -> Self {
        let shuts_down_in =
            status.leaves_ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1_000.0).ok());
        Self {
            leaving: status.state == Some(Phase::Draining),
            shuts_down_in,
            started_ms: status.born,
            runs: status.runs.parsed().map(Run::from).collect(),
        }
    }
}

/// Fetches the status report of an engine.
pub(crate) async fn report(engine: SocketAddr, timeout: Duration) -> Result<Report, Failure> {
    let (code, body) = call(engine, Method::GET, "/api/report", Bytes::new(), timeout).await?;
    if code != StatusCode::OK {
        return Err(Failure::Unreachable);
    }
    parse_report(&body).map_err(|_| Failure::Unreachable)
}

/// Parses a status report. A run that cannot be parsed is left out.
pub(crate) fn parse_report(body: &[u8]) -> serde_json::Result<Report> {
    lenient::parse::<Status>(body).map(Report::from)
}

/// Request to copy the KV cache of a generation to another engine.
#[derive(Serialize)]
struct CopyRequest<'a> {
    id: &'a str,
    target: SocketAddr,
    /// Whether the source stops the generation before it copies the remaining part.
    last: bool,
}

/// Response to a [`CopyRequest`]. An error response may contain the handle as well.
#[derive(Default, Deserialize)]
#[serde(default)]
struct CopyResponse {
    handle: Option<Handle>,
}

/// Handle of a copied KV cache. Engines send it as a string or a number.
#[derive(Deserialize)]
#[serde(untagged)]
enum Handle {
    Text(String),
    Number(u64),
}

impl From<Handle> for String {
    fn from(handle: Handle) -> Self {
        match handle {
            Handle::Text(text) => text,
            Handle::Number(number) => number.to_string(),
        }
    }
}

/// Copies the KV cache of generation `id` from `source` to `target`. With `stop`, the generation is stopped at `source`
/// first.
pub(crate) async fn copy(
    source: SocketAddr,
    id: &str,
    target: SocketAddr,
    stop: bool,
    timeout: Duration,
) -> Result<Copied, Failure> {
    let request = CopyRequest { id, target, last: stop };
    let body = serde_json::to_vec(&request).map_err(|_| Failure::Unreachable)?.into();
    let (status, body) = call(source, Method::POST, "/api/kv-move", body, timeout).await?;
    // An error response without a valid body has no handle.
    let response: CopyResponse = serde_json::from_slice(&body).unwrap_or_default();
    let handle = response.handle.map(String::from);
    match (status, handle) {
        (StatusCode::OK, Some(handle)) => Ok(Copied { handle }),
        (StatusCode::NOT_FOUND, _) => Err(Failure::NotRunning),
        (StatusCode::CONFLICT, _) => Err(Failure::Busy),
        (StatusCode::SERVICE_UNAVAILABLE, handle) => Err(Failure::NoRoom { handle }),
        _ => Err(Failure::Unreachable),
    }
}

/// Frees a copied KV cache at its source and its target.
pub(crate) async fn free(
    source: SocketAddr,
    handle: &str,
    timeout: Duration,
) -> Result<(), Failure> {
    let path = format!("/api/kv-handle/{handle}");
    call(source, Method::DELETE, &path, Bytes::new(), timeout).await.map(|_| ())
}

async fn call(
    engine: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), Failure> {
    let exchange = async {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, engine.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| Failure::Unreachable)?;
        let connection = connect::open(engine).await.map_err(|_| Failure::Unreachable)?;
        let response = connection.send(request).await.map_err(|_| Failure::Unreachable)?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        Ok((parts.status, body.map_err(|_| Failure::Unreachable)?.to_bytes()))
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(Failure::Unreachable))
}
