//! An HTTP/1 and HTTP/2 server with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::connect;

/// Default of [`Limits::head_timeout`].
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Default of [`Limits::max_head_bytes`].
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Default of [`Limits::max_connections`].
const MAX_CONNECTIONS: usize = 10_000;

/// Largest number of concurrent streams on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_000;

/// Delay after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after the stop during which connections are still accepted, and time after that during which requests on idle
/// ones are answered. Requests may be in a socket or on their way; closing their connections would leave them without a
/// response.
const CLOSE_DELAY: Duration = Duration::from_millis(250);

/// Responds to requests.
pub trait Responder: Clone + Send + 'static {
    /// Type of the response bodies. An error from a body closes the connection, so that the caller does not take the
    /// response for complete.
    type Body: hyper::body::Body<Data = Bytes, Error: std::error::Error + Send + Sync>
        + Send
        + 'static;

    /// Handles one request.
    fn respond(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// The responder for the requests of one connection.
    #[must_use]
    fn connected(&self) -> Self {
        self.clone()
    }

    /// Completes if the connection of this responder has to be closed at once.
    fn cut(&self) -> impl Future<Output = ()> + Send + 'static {
        std::future::pending()
    }
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Timeout for a request head, and for the time between two requests on a connection. On HTTP/2, the interval of
    /// keep-alive pings.
    pub head_timeout: Duration,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Unsent bytes of one connection that the system buffers; chosen by the system if `None`.
    pub max_unsent_bytes: Option<u32>,
    /// Time after which a connection is closed because the caller acknowledges or reads nothing.
    pub unacknowledged_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: HEAD_TIMEOUT,
            max_head_bytes: MAX_HEAD_BYTES,
            max_connections: MAX_CONNECTIONS,
            max_unsent_bytes: None,
            unacknowledged_timeout: connect::UNACKNOWLEDGED_TIMEOUT,
        }
    }
}

/// Binds a listener to `address`.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves connections until `stop` becomes true and twice `CLOSE_DELAY` has passed, new ones for the first half of it.
/// Then waits for the requests in flight on open connections to finish. Responses after `stop` ask callers to close their
/// connection.
pub async fn serve(
    listener: TcpListener,
    responder: impl Responder,
    limits: Limits,
    stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let connection_slots = Arc::new(Semaphore::new(limits.max_connections));
    let mut closing = pin!(wait_for_close(stop.clone()));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &connection_slots, limits) => accepted,
            () = &mut closing => break,
        };
        match accepted {
            Some(accepted) => serve_connection(accepted, &responder, limits, &graceful, &stop),
            None => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Connections that were established but not accepted yet would be reset with the listener. The runtime learns of them
    // only when it polls the system next.
    if let Ok(listener) = listener.into_std() {
        while let Some(accepted) = accept_established(&listener, &connection_slots, limits) {
            serve_connection(accepted, &responder, limits, &graceful, &stop);
        }
    }
    tokio::time::sleep(CLOSE_DELAY).await;
    graceful.shutdown().await;
}

/// Serves the requests of one connection in a task of its own.
fn serve_connection(
    (socket, slot): Accepted,
    responder: &impl Responder,
    limits: Limits,
    graceful: &GracefulShutdown,
    stop: &watch::Receiver<bool>,
) {
    let responder = responder.connected();
    let cut = responder.cut();
    let stop = stop.clone();
    let service = service_fn(move |request| {
        let (responder, stop) = (responder.clone(), stop.clone());
        // Boxed, because a connection reserves space for this future as long as it is open.
        Box::pin(async move {
            let mut response = responder.respond(request).await;
            if *stop.borrow() {
                request_close(&mut response);
            }
            Ok::<_, Infallible>(response)
        })
    });
    let connection = builder(limits).serve_connection(TokioIo::new(socket), service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // A connection error affects only its caller, who notices it too.
        tokio::select! {
            _ = connection => {}
            () = cut => {}
        }
        drop(slot);
    });
}

/// Waits until `stop` is true, and then for [`CLOSE_DELAY`].
async fn wait_for_close(mut stop: watch::Receiver<bool>) {
    // An error means that the sender is gone, which also ends the listener.
    let _ = stop.wait_for(|stop| *stop).await;
    tokio::time::sleep(CLOSE_DELAY).await;
}

/// Asks the caller to send no further request on the connection of `response`. HTTP/2 has no such header; hyper removes
/// it there.
pub(crate) fn request_close<B>(response: &mut Response<B>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// A connection and its slot.
type Accepted = (TcpStream, OwnedSemaphorePermit);

async fn accept(
    listener: &TcpListener,
    connection_slots: &Arc<Semaphore>,
    limits: Limits,
) -> Option<Accepted> {
    let slot = Arc::clone(connection_slots).acquire_owned().await.ok()?;
    let (socket, _) = listener.accept().await.ok()?;
    set_options(&socket, limits).ok()?;
    Some((socket, slot))
}

/// Accepts a connection that is established already.
fn accept_established(
    listener: &std::net::TcpListener,
    connection_slots: &Arc<Semaphore>,
    limits: Limits,
) -> Option<Accepted> {
    let slot = Arc::clone(connection_slots).try_acquire_owned().ok()?;
    let (socket, _) = listener.accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    let socket = TcpStream::from_std(socket).ok()?;
    set_options(&socket, limits).ok()?;
    Some((socket, slot))
}

fn set_options(socket: &TcpStream, limits: Limits) -> io::Result<()> {
    socket.set_nodelay(true)?;
    connect::detect_dead_peer(socket, limits.unacknowledged_timeout)?;
    if let Some(bytes) = limits.max_unsent_bytes {
        SockRef::from(socket).set_tcp_notsent_lowat(bytes)?;
    }
    Ok(())
}

fn builder(limits: Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(u32::try_from(limits.max_head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(Some(limits.head_timeout));
    builder
}

#[cfg(test)]
mod tests;
