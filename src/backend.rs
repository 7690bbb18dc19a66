//! Calls to the backend servers of plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use uuid::Uuid;

pub use state::State;

use crate::connect::{self, CONNECT_TIMEOUT, Pool, connector};

mod state;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest answer of a backend server, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Identifies a request and its answer.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Why a call to a backend server has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not a byte of the call reached the backend server.
    #[error("the backend server cannot be reached")]
    NotSent,
    /// The call may have run, but no whole answer came.
    #[error("the backend server did not answer")]
    Lost,
    /// The answer belongs to another request.
    #[error("the backend server answered another request")]
    Crossed,
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with the query, from `/`.
    pub path: String,
    /// Headers for the backend server.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Time allowed for the whole call.
    pub timeout: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A client for all backend servers.
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
        Self(connect::builder(IDLE_TIMEOUT).build(connector()))
    }

    /// Makes an idempotent call on a connection that may have been used before.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub async fn call(&self, server: SocketAddr, call: &Call) -> Result<Answer, Error> {
        let id = Uuid::new_v4();
        let request = request(server, call, id)?;
        let exchange = async {
            let response = self.0.request(request).await;
            let response =
                response.map_err(|e| if e.is_connect() { Error::NotSent } else { Error::Lost })?;
            read(response, id).await
        };
        tokio::time::timeout(call.timeout, exchange).await.unwrap_or(Err(Error::Lost))
    }

    /// Makes a call that must not be repeated, on a connection of its own, so that [`Error::NotSent`] is certain.
    /// `may_send` is asked once the connection stands, just before the call is sent.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if nothing was sent; [`Error::Lost`] or [`Error::Crossed`] if the call may have run.
    pub async fn call_once(
        &self,
        server: SocketAddr,
        call: &Call,
        may_send: impl FnOnce() -> bool + Send,
    ) -> Result<Answer, Error> {
        let id = Uuid::new_v4();
        let request = request(server, call, id)?;
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await;
        let socket = socket.map_err(|_| Error::NotSent)?.map_err(|_| Error::NotSent)?;
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (mut sender, connection) = handshake.map_err(|_| Error::NotSent)?;
        tokio::spawn(connection);
        if !may_send() {
            return Err(Error::NotSent);
        }
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|_| Error::Lost)?;
            read(response, id).await
        };
        tokio::time::timeout(call.timeout, exchange).await.unwrap_or(Err(Error::Lost))
    }
}

fn request(server: SocketAddr, call: &Call, id: Uuid) -> Result<Request<Full<Bytes>>, Error> {
    let uri = format!("http://{server}{}", call.path);
    let mut request = Request::builder().method(call.method.clone()).uri(uri);
    if let Some(headers) = request.headers_mut() {
        *headers = call.headers.clone();
        for name in &HOP_HEADERS {
            headers.remove(name);
        }
        headers.remove(header::CONTENT_LENGTH);
        // A UUID and a socket address are always valid header values.
        if let (Ok(id), Ok(host)) = (id.to_string().parse(), server.to_string().parse()) {
            headers.insert(REQUEST_ID, id);
            headers.insert(header::HOST, host);
        }
    }
    request.body(Full::new(call.body.clone())).map_err(|_| Error::NotSent)
}

async fn read(response: Response<Incoming>, id: Uuid) -> Result<Answer, Error> {
    let (mut parts, body) = response.into_parts();
    if parts.headers.get(REQUEST_ID).is_some_and(|got| got != id.to_string().as_str()) {
        return Err(Error::Crossed);
    }
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| Error::Lost)?.to_bytes();
    for name in &HOP_HEADERS {
        parts.headers.remove(name);
    }
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}
