//! HTTP client for model engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Error as HttpError;
use uuid::Uuid;

pub use wire::{Chunk, Load, Phase, error_type};

use crate::connect::{self, HttpClient, connector};
use crate::fair;

#[cfg(test)]
mod tests;
mod wire;

/// Timeout for the head of a response, and for the body of a load report.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest body of a load report or of an error response, in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 1 << 20;

/// HTTP/2 flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// HTTP/2 flow-control window of a connection, in bytes. Fits the unread data of hundreds of stalled readers.
const CONNECTION_WINDOW_BYTES: u32 = 32 << 20;

/// Interval between HTTP/2 keep-alive pings, and timeout for the response to one.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be established; the call did not run.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// The engine is at capacity; the call did not run.
    #[error("the engine is busy")]
    Busy,
    /// The engine is shutting down; the call did not run.
    #[error("the engine is leaving")]
    Leaving,
    /// The engine does not know the generation.
    #[error("the engine does not know the generation")]
    UnknownGeneration,
    /// The engine rejected the request as invalid.
    #[error("the engine refused the request with status {0}")]
    Rejected(StatusCode),
    /// The call may have run, but no usable response arrived.
    #[error("the engine did not answer")]
    Lost,
    /// The call may have run, and the engine may still respond.
    #[error("the engine did not answer in time")]
    Silent,
    /// The response could not be parsed.
    #[error("the engine gave a malformed answer")]
    Malformed,
}

impl Error {
    /// Whether it is certain that the engine did not run the call.
    ///
    /// ```
    /// use nutmeghead::engine::Error;
    /// assert!(Error::Busy.is_not_run() && !Error::Lost.is_not_run());
    /// ```
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unreachable | Self::Busy | Self::Leaving | Self::Rejected(_))
    }
}

/// The open event stream of a generation.
#[derive(Debug)]
pub struct Stream {
    /// The id that the engine assigned to the generation.
    pub generation: Uuid,
    /// The server-sent events.
    pub body: fair::Body<Incoming>,
}

/// A client for all engines, with a connection pool.
#[derive(Clone)]
pub struct Client(HttpClient);

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client without open connections.
    pub fn new() -> Self {
        let client = connect::shared_builder(POOL_IDLE_TIMEOUT)
            .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .http2_keep_alive_timeout(KEEP_ALIVE)
            .build(connector());
        Self(client)
    }

    /// Starts a generation for `attempt`. `body` is a completion request with `stream: true`.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]; the generation may be running unless [`Error::is_not_run`] returns true.
    pub async fn start(
        &self,
        engine: SocketAddr,
        attempt: Uuid,
        body: Bytes,
    ) -> Result<Stream, Error> {
        let call = Request::post(format!("http://{engine}/v1/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", attempt.to_string());
        let response = self.request(call, body).await?;
        let id = response.headers().get("x-request-id");
        let is_own = id.is_some_and(|id| id == attempt.to_string().as_str());
        // A response with success names its generation. A refusal of another request, or of none in particular, does not
        // show that this one did not run.
        if !is_own && (id.is_some() || !response.status().is_success()) {
            return Err(Error::Lost);
        }
        open_stream(check_status(response).await?)
    }

    /// Reopens the event stream of a generation at token index `from`.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownGeneration`] if the engine no longer has the generation; otherwise any other [`enum@Error`].
    pub async fn resume(
        &self,
        engine: SocketAddr,
        generation: Uuid,
        from: u64,
    ) -> Result<Stream, Error> {
        let call =
            Request::get(format!("http://{engine}/v1/generations/{generation}/events?from={from}"));
        let response = self.send(call, Bytes::new()).await?;
        Ok(Stream { generation, body: fair::Body::new(response.into_body()) })
    }

    /// Cancels a generation.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownGeneration`] if the engine does not have the generation; otherwise any other
    /// [`enum@Error`].
    pub async fn cancel(&self, engine: SocketAddr, generation: Uuid) -> Result<(), Error> {
        let call = Request::delete(format!("http://{engine}/v1/generations/{generation}"));
        self.send(call, Bytes::new()).await.map(drop)
    }

    /// Changes the priority of a generation; 0 is most urgent.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownGeneration`] if the engine does not have the generation; otherwise any other
    /// [`enum@Error`].
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
    /// [`Error::Malformed`] if the report cannot be parsed; otherwise any other [`enum@Error`].
    pub async fn load(&self, engine: SocketAddr) -> Result<Load, Error> {
        let call = Request::get(format!("http://{engine}/v1/load"));
        let response = self.send(call, Bytes::new()).await?;
        let body = Limited::new(response.into_body(), MAX_CONTROL_BODY_BYTES).collect();
        let body =
            tokio::time::timeout(RESPONSE_HEAD_TIMEOUT, body).await.map_err(|_| Error::Lost)?;
        let body = body.map_err(|_| Error::Lost)?.to_bytes();
        serde_json::from_slice(&body).map_err(|_| Error::Malformed)
    }

    /// Makes a call and returns a response with success.
    async fn send(
        &self,
        call: http::request::Builder,
        body: Bytes,
    ) -> Result<http::Response<Incoming>, Error> {
        check_status(self.request(call, body).await?).await
    }

    /// Makes a call and returns its response.
    async fn request(
        &self,
        call: http::request::Builder,
        body: Bytes,
    ) -> Result<http::Response<Incoming>, Error> {
        let call = call.body(Full::new(body)).map_err(|_| Error::Malformed)?;
        let result = tokio::time::timeout(RESPONSE_HEAD_TIMEOUT, self.0.request(call)).await;
        result.map_err(|_| Error::Silent)?.map_err(classify)
    }
}

/// Returns a response with success, or what another one says of its call.
async fn check_status(
    response: http::Response<Incoming>,
) -> Result<http::Response<Incoming>, Error> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(Error::UnknownGeneration),
        StatusCode::SERVICE_UNAVAILABLE => Err(parse_refusal(response).await),
        status if status.is_client_error() => Err(Error::Rejected(status)),
        _ => Err(Error::Lost),
    }
}

fn classify(error: HttpError) -> Error {
    if error.is_connect() { Error::Unreachable } else { Error::Lost }
}

fn open_stream(response: http::Response<Incoming>) -> Result<Stream, Error> {
    let generation = response.headers().get("x-generation-id").and_then(|id| id.to_str().ok());
    let generation = generation.and_then(|id| id.parse().ok()).ok_or(Error::Malformed)?;
    Ok(Stream { generation, body: fair::Body::new(response.into_body()) })
}

async fn parse_refusal(response: http::Response<Incoming>) -> Error {
    let body = Limited::new(response.into_body(), MAX_CONTROL_BODY_BYTES).collect().await;
    let error_type = body.ok().and_then(|body| wire::error_type(&body.to_bytes()));
    match error_type.as_deref() {
        Some("leaving") => Error::Leaving,
        Some("busy") => Error::Busy,
        // Only the types above guarantee that the call did not run.
        _ => Error::Lost,
    }
}
