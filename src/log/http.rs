//! The log service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::{Batch, Error, Log, Record};

/// Time allowed for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time allowed for a call beyond its connection and its own wait, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Most records asked for in one read.
const BATCH_LIMIT: usize = 512;

/// Largest answer that is read, in bytes; the largest record of any stream fits.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Divides the number of records asked for after an answer that was too large.
const SHRINK: usize = 8;

/// A client of the log service. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// Why the body of an answer is not usable.
enum Body {
    Large,
    Broken(Error),
}

impl Http {
    /// A client of the log service that listens on `address`. Connections are made when they are needed.
    ///
    /// ```
    /// let log = nutmeghead::log::Http::new("127.0.0.1:7000".parse()?);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { address, client, timeout: Duration::from_millis(CALL_TIMEOUT_MS) }
    }

    /// Sets the time allowed for a call beyond its connection and its own wait.
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
        let answer = self.client.request(request).await;
        // Any failure after the connection was made may come after the request was sent.
        answer.map_err(|e| if e.is_connect() { Error::Unreachable } else { Error::Lost })
    }

    async fn read_batch(&self, path: &str, from: u64) -> Result<Batch, Body> {
        let answer = self.send(Method::GET, path, Bytes::new()).await.map_err(Body::Broken)?;
        check_status(answer.status(), StatusCode::OK).map_err(Body::Broken)?;
        let bytes = collect(answer).await?;
        let batch: Answer =
            serde_json::from_slice(&bytes).map_err(|_| Body::Broken(Error::Malformed))?;
        batch.into_batch(from).map_err(Body::Broken)
    }

    async fn within<T>(
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
            let answer = self.send(Method::POST, &path, body).await?;
            check_status(answer.status(), StatusCode::CREATED)?;
            let bytes = collect(answer).await.map_err(Error::from)?;
            let place: Place = serde_json::from_slice(&bytes).map_err(|_| Error::Malformed)?;
            Ok(place.offset)
        };
        self.within(Duration::ZERO, call).await
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Batch, Error> {
        let mut limit = BATCH_LIMIT;
        loop {
            let path =
                format!("/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
            let call = async {
                match self.read_batch(&path, from).await {
                    Ok(batch) => Ok(Some(batch)),
                    Err(Body::Large) if limit > 1 => Ok(None),
                    Err(failure) => Err(failure.into()),
                }
            };
            if let Some(batch) = self.within(Duration::from_millis(wait_ms), call).await? {
                return Ok(batch);
            }
            limit = (limit / SHRINK).max(1);
        }
    }
}

impl From<Body> for Error {
    fn from(failure: Body) -> Self {
        match failure {
            Body::Large => Self::Malformed,
            Body::Broken(error) => error,
        }
    }
}

/// A request that cannot be written is refused before it is sent.
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

async fn collect(answer: Response<Incoming>) -> Result<Bytes, Body> {
    match Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Body::Large),
        Err(_) => Err(Body::Broken(Error::Lost)),
    }
}

/// The answer to an append, as written.
#[derive(Deserialize)]
struct Place {
    offset: u64,
}

/// The answer to a read, as written.
#[derive(Deserialize)]
struct Answer {
    records: Vec<Entry>,
    next: u64,
    first: u64,
}

/// One record, as written.
#[derive(Deserialize)]
struct Entry {
    offset: u64,
    time_ms: u64,
    body: String,
}

impl TryFrom<Entry> for Record {
    type Error = Error;

    fn try_from(entry: Entry) -> Result<Self, Error> {
        let body = STANDARD.decode(entry.body).map_err(|_| Error::Malformed)?;
        Ok(Self { offset: entry.offset, time_ms: entry.time_ms, body: body.into() })
    }
}

impl Answer {
    /// The batch, if its offsets rise from `from` and stay below `next`.
    fn into_batch(self, from: u64) -> Result<Batch, Error> {
        let records: Vec<Record> =
            self.records.into_iter().map(Record::try_from).collect::<Result<_, _>>()?;
        let mut least = from;
        for record in &records {
            if record.offset < least {
                return Err(Error::Malformed);
            }
            least = record.offset.checked_add(1).ok_or(Error::Malformed)?;
        }
        if self.next < least && !records.is_empty() {
            return Err(Error::Malformed);
        }
        Ok(Batch { records, next: self.next, first: self.first })
    }
}
