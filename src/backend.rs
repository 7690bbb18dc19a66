//! HTTP client for the backend servers of plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use uuid::Uuid;

use held::Held;
pub use state::State;

use crate::connect;

mod held;
mod state;

/// Largest response body of a backend server, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Identifies a request. A backend server may repeat it in the response.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Why a call to a backend server has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the call was sent to the backend server.
    #[error("the backend server cannot be reached")]
    NotSent,
    /// The call may have run, but no complete response arrived.
    #[error("the backend server sent no complete response")]
    Lost,
    /// The response has the id of another request.
    #[error("the response of the backend server belongs to another request")]
    Mismatched,
}

/// A call to a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path, which starts with `/`, and the query.
    pub path: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Timeout for the call, including the response body.
    pub timeout: Duration,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A client for all backend servers. Each call has a connection of its own, as servers need not repeat its id.
#[derive(Clone, Debug, Default)]
pub struct Client {
    held: held::Total,
}

impl Client {
    /// A client.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes an idempotent call.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub async fn call(&self, server: SocketAddr, call: &Call) -> Result<Response, Error> {
        let call = tokio::time::timeout(call.timeout, self.call_once(server, call, || true));
        call.await.unwrap_or(Err(Error::Lost))
    }

    /// Makes a call that must not be repeated. `may_send` is checked after the connection is established, just before the call is sent.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if nothing was sent; [`Error::Lost`] or [`Error::Mismatched`] if the call may have run.
    pub async fn call_once(
        &self,
        server: SocketAddr,
        call: &Call,
        may_send: impl FnOnce() -> bool + Send,
    ) -> Result<Response, Error> {
        let id = Uuid::new_v4();
        let request = build_request(server, call, id)?;
        let connection = connect::open(server).await.map_err(|_| Error::NotSent)?;
        if !may_send() {
            return Err(Error::NotSent);
        }
        let exchange = async {
            let response = connection.send(request).await.map_err(|_| Error::Lost)?;
            read_response(response, id, self.held.hold()).await
        };
        tokio::time::timeout(call.timeout, exchange).await.unwrap_or(Err(Error::Lost))
    }
}

fn build_request(server: SocketAddr, call: &Call, id: Uuid) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::builder().method(call.method.clone()).uri(&call.path);
    if let Some(headers) = request.headers_mut() {
        *headers = call.headers.clone();
        for name in &HOP_BY_HOP_HEADERS {
            headers.remove(name);
        }
        headers.remove(header::CONTENT_LENGTH);
        // A UUID and a socket address are always valid header values.
        if let (Ok(id), Ok(host)) = (id.to_string().parse(), server.to_string().parse()) {
            headers.insert(REQUEST_ID_HEADER, id);
            headers.insert(header::HOST, host);
        }
    }
    request.body(Full::new(call.body.clone())).map_err(|_| Error::NotSent)
}

async fn read_response(
    response: http::Response<connect::Body>,
    id: Uuid,
    held: Held,
) -> Result<Response, Error> {
    let (mut parts, body) = response.into_parts();
    if parts
        .headers
        .get(REQUEST_ID_HEADER)
        .is_some_and(|received| received != id.to_string().as_str())
    {
        return Err(Error::Mismatched);
    }
    let body = read_body(body, held).await?;
    for name in &HOP_BY_HOP_HEADERS {
        parts.headers.remove(name);
    }
    Ok(Response { status: parts.status, headers: parts.headers, body })
}

/// Reads a whole body, up to [`MAX_BODY_BYTES`] and what is left of the memory for responses.
async fn read_body(body: connect::Body, mut held: Held) -> Result<Bytes, Error> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Lost)?.into_data() else { continue };
        if !held.grow(data.len()) {
            return Err(Error::Lost);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
