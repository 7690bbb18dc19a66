//! Calls to model engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Error as HttpError;
use uuid::Uuid;

pub use wire::{Chunk, Load, Phase, fault};

use crate::connect::{self, Pool, connector};

mod wire;

/// Time allowed for the head of an engine's answer.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest answer to a control call, in bytes.
const MAX_CONTROL_BYTES: usize = 1 << 20;

/// Bytes of one stream that an engine may send ahead of its reader.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Bytes of all streams of a connection that an engine may send ahead; enough for hundreds of readers that stand still.
const CONNECTION_WINDOW_BYTES: u32 = 32 << 20;

/// Time between two checks of a silent connection, and time allowed for its answer.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made: the engine has not seen the call.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// The engine takes no new work for now: the call did not run.
    #[error("the engine is busy")]
    Busy,
    /// The engine leaves: the call did not run.
    #[error("the engine is leaving")]
    Leaving,
    /// The engine does not know the generation.
    #[error("the engine does not know the generation")]
    Unknown,
    /// The engine refused the request itself.
    #[error("the engine refused the request with status {0}")]
    Rejected(StatusCode),
    /// The call may have run, but no answer came.
    #[error("the engine did not answer")]
    Lost,
    /// The answer could not be read.
    #[error("the engine gave a malformed answer")]
    Malformed,
}

impl Error {
    /// Whether the engine certainly did not run the call.
    ///
    /// ```
    /// use nutmeghead::engine::Error;
    /// assert!(Error::Busy.is_not_run() && !Error::Lost.is_not_run());
    /// ```
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unreachable | Self::Busy | Self::Leaving | Self::Rejected(_))
    }
}

/// An open stream of events.
#[derive(Debug)]
pub struct Stream {
    /// The engine's identifier of the generation.
    pub generation: Uuid,
    /// The events.
    pub body: Incoming,
}

/// A client for all engines, which keeps connections open.
#[derive(Clone)]
pub struct Client(Pool);

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Self {
        let client = connect::builder(IDLE_TIMEOUT)
            .http2_only(true)
            .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .http2_keep_alive_timeout(KEEP_ALIVE)
            .build(connector());
        Self(client)
    }

    /// Starts a generation. `body` is a completion request with `stream: true`.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]; [`Error::is_not_run`] tells whether the generation may run.
    pub async fn start(
        &self,
        engine: SocketAddr,
        request: Uuid,
        body: Bytes,
    ) -> Result<Stream, Error> {
        let call = Request::post(format!("http://{engine}/v1/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", request.to_string());
        let response = self.send(call, body).await?;
        if response
            .headers()
            .get("x-request-id")
            .is_some_and(|id| id != request.to_string().as_str())
        {
            return Err(Error::Malformed);
        }
        stream(response)
    }

    /// Reads a generation's events again from token index `from`.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the engine has forgotten the generation; any other [`enum@Error`] if it gave no answer.
    pub async fn resume(
        &self,
        engine: SocketAddr,
        generation: Uuid,
        from: u64,
    ) -> Result<Stream, Error> {
        let call =
            Request::get(format!("http://{engine}/v1/generations/{generation}/events?from={from}"));
        let response = self.send(call, Bytes::new()).await?;
        Ok(Stream { generation, body: response.into_body() })
    }

    /// Cancels a generation.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if there is none; any other [`enum@Error`] if the engine gave no answer.
    pub async fn cancel(&self, engine: SocketAddr, generation: Uuid) -> Result<(), Error> {
        let call = Request::delete(format!("http://{engine}/v1/generations/{generation}"));
        self.send(call, Bytes::new()).await.map(drop)
    }

    /// Changes the priority of a generation; 0 is most urgent.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if there is none; any other [`enum@Error`] if the engine gave no answer.
    pub async fn reprioritise(
        &self,
        engine: SocketAddr,
        generation: Uuid,
        priority: u8,
    ) -> Result<(), Error> {
        let call = Request::builder()
            .method(Method::PATCH)
            .uri(format!("http://{engine}/v1/generations/{generation}"))
            .header(header::CONTENT_TYPE, "application/json");
        self.send(call, format!("{{\"priority\":{priority}}}").into()).await.map(drop)
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if it cannot be read; any other [`enum@Error`] if the engine gave no answer.
    pub async fn load(&self, engine: SocketAddr) -> Result<Load, Error> {
        let call = Request::get(format!("http://{engine}/v1/load"));
        let response = self.send(call, Bytes::new()).await?;
        let body = Limited::new(response.into_body(), MAX_CONTROL_BYTES).collect();
        let body = tokio::time::timeout(HEAD_TIMEOUT, body).await.map_err(|_| Error::Lost)?;
        let body = body.map_err(|_| Error::Lost)?.to_bytes();
        serde_json::from_slice(&body).map_err(|_| Error::Malformed)
    }

    async fn send(
        &self,
        call: http::request::Builder,
        body: Bytes,
    ) -> Result<http::Response<Incoming>, Error> {
        let call = call.body(Full::new(body)).map_err(|_| Error::Malformed)?;
        let answer = tokio::time::timeout(HEAD_TIMEOUT, self.0.request(call)).await;
        let response = answer.map_err(|_| Error::Lost)?.map_err(classify)?;
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::NOT_FOUND => Err(Error::Unknown),
            StatusCode::SERVICE_UNAVAILABLE => Err(refusal(response).await),
            status if status.is_client_error() => Err(Error::Rejected(status)),
            _ => Err(Error::Lost),
        }
    }
}

fn classify(error: HttpError) -> Error {
    if error.is_connect() { Error::Unreachable } else { Error::Lost }
}

fn stream(response: http::Response<Incoming>) -> Result<Stream, Error> {
    let generation = response.headers().get("x-generation-id").and_then(|id| id.to_str().ok());
    let generation = generation.and_then(|id| id.parse().ok()).ok_or(Error::Malformed)?;
    Ok(Stream { generation, body: response.into_body() })
}

async fn refusal(response: http::Response<Incoming>) -> Error {
    let body = Limited::new(response.into_body(), MAX_CONTROL_BYTES).collect().await;
    let fault = body.ok().and_then(|body| wire::fault(&body.to_bytes()));
    match fault.as_deref() {
        Some("leaving") => Error::Leaving,
        Some("busy") => Error::Busy,
        // Only these two promise that the call did not run.
        _ => Error::Lost,
    }
}
