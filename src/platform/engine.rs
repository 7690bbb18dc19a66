//! Calls to model engines beside the requests themselves: reports, and moves of running generations.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use serde::{Deserialize, Serialize};

use crate::connect;
use crate::migration::{Copied, Failure, Report};

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// A report, as written. All values are some hundred milliseconds old.
#[derive(Deserialize)]
struct State {
    /// Milliseconds until the engine ends, if it knows.
    leaves_ms: Option<f64>,
    state: Option<Phase>,
}

/// Whether the engine takes new work, as written.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Phase {
    Draining,
    #[serde(other)]
    Other,
}

impl From<State> for Report {
    fn from(state: State) -> Self {
        let shuts_down_in =
            state.leaves_ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1_000.0).ok());
        Self { leaving: state.state == Some(Phase::Draining), shuts_down_in }
    }
}

/// Asks an engine how it is.
pub(crate) async fn report(engine: SocketAddr, timeout: Duration) -> Result<Report, Failure> {
    let (status, body) = call(engine, Method::GET, "/api/report", Bytes::new(), timeout).await?;
    if status != StatusCode::OK {
        return Err(Failure::Unreachable);
    }
    let state: State = serde_json::from_slice(&body).map_err(|_| Failure::Unreachable)?;
    Ok(state.into())
}

/// An order to copy a generation, as written.
#[derive(Serialize)]
struct Move<'a> {
    id: &'a str,
    target: SocketAddr,
    /// Whether the generation stops before the rest is copied.
    last: bool,
}

/// What became of a copy, as written. A refusal may bear the handle as well.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Moved {
    handle: Option<Handle>,
}

/// Engines write handles as text or as a number.
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

/// Copies the memory of the generation `id` from `source` to `target`. With `stop` the generation ends at `source`
/// first.
pub(crate) async fn copy(
    source: SocketAddr,
    id: &str,
    target: SocketAddr,
    stop: bool,
    timeout: Duration,
) -> Result<Copied, Failure> {
    let order = Move { id, target, last: stop };
    let body = serde_json::to_vec(&order).map_err(|_| Failure::Unreachable)?.into();
    let (status, body) = call(source, Method::POST, "/api/kv-move", body, timeout).await?;
    // A refusal without a readable body has no handle.
    let moved: Moved = serde_json::from_slice(&body).unwrap_or_default();
    let handle = moved.handle.map(String::from);
    match (status, handle) {
        (StatusCode::OK, Some(handle)) => Ok(Copied { handle }),
        (StatusCode::NOT_FOUND, _) => Err(Failure::NotRunning),
        (StatusCode::CONFLICT, _) => Err(Failure::Busy),
        (StatusCode::SERVICE_UNAVAILABLE, handle) => Err(Failure::NoRoom { handle }),
        _ => Err(Failure::Unreachable),
    }
}

/// Frees a copy at both ends.
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
        let answer = connection.send(request).await.map_err(|_| Failure::Unreachable)?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        Ok((parts.status, body.map_err(|_| Failure::Unreachable)?.to_bytes()))
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(Failure::Unreachable))
}
