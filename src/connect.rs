//! TCP connections to engines and backend servers.

use std::future::{Future as _, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, response};
use http_body_util::Full;
use hyper::body::{Body as _, Frame, Incoming};
use hyper::client::conn::http1;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Builder, Client};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::fair;
use crate::observe::Socket;

mod guard;
#[cfg(test)]
mod tests;

use guard::Progress;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the check whether a process listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Size limit of a response's head, and of the buffer for received bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A client for requests with buffered bodies.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A builder of HTTP/1 clients that use a connection for one request only. A server may send a response twice, late; on
/// a connection in use again, the copy would be taken for the response to the next request.
pub(crate) fn single_use_builder() -> Builder {
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_max_idle_per_host(0).timer(TokioTimer::new());
    builder
}

/// A builder of HTTP/2 clients that close a connection after it was idle for `idle_timeout`. HTTP/2 assigns each
/// response to its request, so connections are shared.
pub(crate) fn shared_builder(idle_timeout: Duration) -> Builder {
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_idle_timeout(idle_timeout).pool_timer(TokioTimer::new()).timer(TokioTimer::new());
    builder.http2_only(true);
    builder
}

/// A connector that sends small messages without delay (`TCP_NODELAY`) and fails after [`CONNECT_TIMEOUT`] on hosts
/// that do not respond.
pub(crate) fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

/// Time after which a connection is closed because sent bytes or keep-alive probes are not acknowledged. The peer may
/// disappear without a reset, and callers of the longest streams wait 7.2 s for an event.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Closes the connection after `timeout` if the peer disappears without closing it.
pub(crate) fn detect_dead_peer(socket: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

/// The I/O future of one connection. It is polled by the task that waits for the response, because a separate task
/// would cost two more wake-ups per event.
type Driver = http1::Connection<TokioIo<Socket<Progress>>, Full<Bytes>>;

/// A connection for a single request. Without connection reuse, a request cannot receive late bytes of an earlier
/// response or fail because the server has just closed an idle connection.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Box<Driver>,
    progress: Progress,
}

/// Connects to `address`.
pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    socket.set_nodelay(true)?;
    detect_dead_peer(&socket, UNACKNOWLEDGED_TIMEOUT)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let progress = Progress::default();
    let socket = TokioIo::new(Socket::new(socket, progress.clone()));
    let (sender, driver) = builder.handshake(socket).await.map_err(io::Error::other)?;
    Ok(Connection { sender, driver: Box::new(driver), progress })
}

/// Whether no process listens at `address`, as after a crash; `false` if that is not known within [`CHECK_TIMEOUT`].
pub(crate) async fn is_refused(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address));
    let Ok(Err(error)) = connecting.await else { return false };
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Whether a connection to `address` is established within `timeout`.
pub(crate) async fn is_accepted(address: SocketAddr, timeout: Duration) -> bool {
    tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .is_ok_and(|socket| socket.is_ok())
}

/// Why a request that was sent has no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The connection failed, or the bytes that arrived are no response.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The status is not that of a final response, which is from 200 to 599.
    #[error("{0} is not the status of a final response")]
    Status(u16),
    /// The body has a transfer coding other than `chunked`, which no request asks for and nothing here decodes.
    #[error("the body has an unknown transfer coding")]
    Coding,
}

/// Checks that a response is a final one whose body can be read. An upgrade that was not asked for is none.
fn check<B>(response: &Response<B>) -> Result<(), Error> {
    if !matches!(response.status().as_u16(), 200..=599) {
        return Err(Error::Status(response.status().as_u16()));
    }
    let mut codings = response.headers().get_all(header::TRANSFER_ENCODING).into_iter();
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(()),
        (Some(coding), None) if is_chunked(coding) => Ok(()),
        _ => Err(Error::Coding),
    }
}

impl Connection {
    /// Sends `request` and waits for the head of the final response.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Body>, Error> {
        let mut driver = Some(self.driver);
        let mut response = pin!(self.sender.send_request(request));
        let response = poll_fn(|context| {
            drive(&mut driver, context);
            response.as_mut().poll(context)
        });
        let response = response.await?;
        check(&response)?;
        self.progress.record();
        let progress = self.progress;
        Ok(response.map(|incoming| Body::new(Received { incoming, driver, progress })))
    }
}

/// Polls the connection, and drops it once it has ended.
fn drive(driver: &mut Option<Box<Driver>>, context: &mut Context<'_>) {
    let Some(connection) = driver else { return };
    // The future of the response or its body returns the same error.
    if Pin::new(connection.as_mut()).poll(context).is_ready() {
        *driver = None;
    }
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The head states the length.
    Length,
    /// The last chunk is empty.
    Chunked,
    /// The body ends with the connection.
    Connection,
}

impl Framing {
    /// The framing of the response with this head.
    pub(crate) fn new(head: &response::Parts) -> Self {
        if head.headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunked
        } else if head.headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// The value in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}

/// The body of a response. Dropping it closes the connection.
pub(crate) type Body = fair::Body<Received>;

/// The parts of a body as they arrive.
pub(crate) struct Received {
    incoming: Incoming,
    /// `None` once the connection has ended.
    driver: Option<Box<Driver>>,
    progress: Progress,
}

impl Received {
    fn poll_incoming(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if let Poll::Ready(Some(Ok(_))) = polled {
            self.progress.record();
        }
        polled
    }
}

impl hyper::body::Body for Received {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let body = self.get_mut();
        if body.driver.is_some() {
            // New frames appear only while this task polls the connection, so this poll needs no wake-up. It signals
            // demand for more data to the connection.
            let mut noop = Context::from_waker(Waker::noop());
            if let Poll::Ready(frame) = body.poll_incoming(&mut noop) {
                return Poll::Ready(frame);
            }
            drive(&mut body.driver, context);
        }
        body.poll_incoming(context)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }
}
