//! The HTTP server that all stand-ins use.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Largest number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Largest number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 10_000;

/// Why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// The connection is closed without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed without a complete response")]
pub struct Hangup;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// The body of a response.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + 'static;

    /// Answers one request, or closes the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Self::Body>, Hangup>> + Send;
}

/// Stops a server. All clones stop the same server.
#[derive(Clone, Debug)]
pub struct Stop {
    requested: watch::Sender<bool>,
    closed: watch::Sender<bool>,
}

impl Stop {
    /// Returns a handle for a server that has not been stopped.
    pub fn new() -> Self {
        Self { requested: watch::Sender::new(false), closed: watch::Sender::new(false) }
    }

    /// Closes the listener and all connections, as a killed process would.
    pub fn stop(&self) {
        self.requested.send_replace(true);
    }

    /// Whether the server was requested to stop.
    pub fn is_stopped(&self) -> bool {
        *self.requested.borrow()
    }

    /// Waits until the server is requested to stop.
    pub async fn stopped(&self) {
        // The senders live as long as `self`, so the waits cannot fail.
        let _ = self.requested.subscribe().wait_for(|requested| *requested).await;
    }

    /// Waits until the listener and all connections are closed.
    pub async fn closed(&self) {
        let _ = self.closed.subscribe().wait_for(|closed| *closed).await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}

/// Listens on `address` and serves until stopped. Returns the address listened on. Needs a tokio runtime.
///
/// # Errors
///
/// [`Error::Listen`] if the address cannot be listened on.
pub fn serve<H: Handler>(
    address: SocketAddr,
    handler: Arc<H>,
    stop: Stop,
) -> Result<SocketAddr, Error> {
    let listen = |source| Error::Listen { address, source };
    let listener = bind(address).map_err(listen)?;
    let local = listener.local_addr().map_err(listen)?;
    tokio::spawn(accept(listener, handler, stop));
    Ok(local)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    // A restarted stand-in binds the same address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, stop: Stop) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.stopped() => break,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connection(stream, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    connections.shutdown().await;
    stop.closed.send_replace(true);
}

async fn connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // With Nagle's algorithm, a token could wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http2().max_concurrent_streams(MAX_STREAMS);
    // An error is a client that disconnected, or an intended hangup.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// The time in microseconds since the Unix epoch.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a response with an error type as JSON.
pub fn error(status: StatusCode, kind: &str) -> Response<Full<Bytes>> {
    json(status, &serde_json::json!({ "error": { "type": kind } }))
}

/// Reads a whole body; none if it is incomplete or too large.
pub async fn body(request: Request<Incoming>) -> Option<Bytes> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    Some(limited.collect().await.ok()?.to_bytes())
}

/// Reads a JSON body; none if it is malformed.
pub async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&body(request).await?).ok()
}

/// Reads a number from the query of a request; none if it is absent or malformed.
pub fn query(request: &Request<Incoming>, name: &str) -> Option<u64> {
    query_value(request, name)?.parse().ok()
}

/// Reads bytes from the query of a request, in the encoding of forms; none if they are absent.
pub fn query_bytes(request: &Request<Incoming>, name: &str) -> Option<Vec<u8>> {
    let value = query_value(request, name)?.replace('+', " ");
    Some(percent_decode_str(&value).collect())
}

fn query_value<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    Some(pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1)
}
