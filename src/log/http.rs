//! Client of the log service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Deserialize;

use super::page::Pages;
use super::{Batch, Error, Log};
use crate::connect;

/// Timeout of connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Timeout of a call, in milliseconds. Connecting and the requested wait for records are not included.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Most records requested in one read.
const BATCH_LIMIT: usize = 512;

/// Largest accepted response, in bytes. The largest record of any stream fits.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Divisor of the number of requested records after a response was too large.
const BATCH_LIMIT_DIVISOR: usize = 8;

/// Most calls of one read, which reads on if a page has unreadable records only.
const MAX_CALLS: usize = 16;

/// A client of the log service. Each call has a connection of its own.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// Why a response could not be used.
enum Failure {
    /// The body exceeds [`MAX_RESPONSE_BYTES`].
    TooLarge,
    Other(Error),
}

impl Http {
    /// Creates a client of the log service at `address`. It connects on demand.
    ///
    /// ```
    /// let log = nutmeghead::log::Http::new("127.0.0.1:7000".parse()?);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = connect::single_use_builder().build(connector);
        Self { address, client, timeout: Duration::from_millis(CALL_TIMEOUT_MS) }
    }

    /// Sets the timeout of a call. Connecting and the requested wait for records are not included.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let uri = Uri::try_from(format!("http://{}{path}", self.address));
        let request = Request::builder().method(method).uri(uri.map_err(|_| bad_request())?);
        let request = request.body(Full::new(body)).map_err(|_| bad_request())?;
        let response = self.client.request(request).await;
        // After the connection is established, the request may have been sent before the failure.
        response.map_err(|e| if e.is_connect() { Error::Unreachable } else { Error::Lost })
    }

    async fn read_page(&self, path: &str) -> Result<Bytes, Failure> {
        let response = self.send(Method::GET, path, Bytes::new()).await.map_err(Failure::Other)?;
        check_status(response.status(), StatusCode::OK).map_err(Failure::Other)?;
        collect(response).await
    }

    async fn with_deadline<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS) + self.timeout + wait;
        tokio::time::timeout(limit, call).await.unwrap_or(Err(Error::Lost))
    }
}

impl Log for Http {
    async fn append(&self, stream: &str, body: Bytes) -> Result<u64, Error> {
        let path = format!("/streams/{stream}/records");
        let call = async {
            let response = self.send(Method::POST, &path, body).await?;
            check_status(response.status(), StatusCode::CREATED)?;
            let bytes = collect(response).await.map_err(Error::from)?;
            let appended: Appended =
                serde_json::from_slice(&bytes).map_err(|_| Error::Malformed)?;
            Ok(appended.offset)
        };
        self.with_deadline(Duration::ZERO, call).await
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Batch, Error> {
        let (mut limit, mut wait_ms) = (BATCH_LIMIT, wait_ms);
        let mut pages = Pages::new(from);
        for _ in 0..MAX_CALLS {
            let next = pages.next();
            let path =
                format!("/streams/{stream}/records?from={next}&limit={limit}&wait_ms={wait_ms}");
            let call = async {
                match self.read_page(&path).await {
                    Ok(body) => Ok(Some(body)),
                    Err(Failure::TooLarge) if limit > 1 => Ok(None),
                    Err(failure) => Err(failure.into()),
                }
            };
            let Some(body) = self.with_deadline(Duration::from_millis(wait_ms), call).await? else {
                limit = (limit / BATCH_LIMIT_DIVISOR).max(1);
                continue;
            };
            if pages.add(&body)? {
                return Ok(pages.finish());
            }
            wait_ms = 0;
        }
        Err(Error::Malformed)
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::TooLarge => Self::Malformed,
            Failure::Other(error) => error,
        }
    }
}

/// The error of a request that cannot be encoded, so that it is not sent.
fn bad_request() -> Error {
    Error::Refused(StatusCode::BAD_REQUEST.as_u16())
}

fn check_status(status: StatusCode, expected: StatusCode) -> Result<(), Error> {
    if status == expected {
        return Ok(());
    }
    if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
        return Err(Error::Refused(status.as_u16()));
    }
    if status.is_server_error() {
        return Err(Error::Lost);
    }
    Err(Error::Malformed)
}

async fn collect(response: Response<Incoming>) -> Result<Bytes, Failure> {
    match Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Failure::TooLarge),
        Err(_) => Err(Failure::Other(Error::Lost)),
    }
}

/// The JSON response to an append.
#[derive(Deserialize)]
struct Appended {
    offset: u64,
}
