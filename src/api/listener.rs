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
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulConnection;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::connect;
use crate::observe::Socket;
use connections::Slot;
pub use connections::{Connections, Timeouts};
use recorder::{Recorder, Tracked};

mod connections;
mod recorder;

/// Default of both [`Timeouts`].
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of HTTP/2 pings.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Default of [`Limits::max_head_bytes`].
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Connections of a listener, where descriptors do not limit them.
pub const MAX_CONNECTIONS: usize = 10_000;

/// Time between two checks whether callers take too long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a connection that is being closed to send what it has buffered, after which it is dropped unless a request is in
/// progress.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of concurrent streams on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_000;

/// Delay after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after the stop during which connections are still accepted, and time after that during which requests on idle
/// ones are answered. Requests may be in a socket or on their way; closing their connections would leave them without a
/// response.
const CLOSE_DELAY: Duration = Duration::from_millis(250);

/// Time and bytes for which the body of a refused request is read: a connection that is closed with unread bytes is reset, and
/// the caller may lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// Responds to requests.
pub trait Responder: Clone + Send + 'static {
    /// Type of the response bodies. An error from a body closes the connection, so that the caller does not take the
    /// response for complete.
    type Body: hyper::body::Body<Data = Bytes, Error: std::error::Error + Send + Sync>
        + Send
        + Unpin
        + 'static;

    /// Handles one request.
    fn respond(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Declines a request on a connection for which there is no room.
    fn decline(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send {
        self.respond(request)
    }

    /// Longest times that a caller may take. They hold for connections that are open, too.
    fn timeouts(&self) -> Timeouts {
        Timeouts { idle: CALLER_TIMEOUT, head: CALLER_TIMEOUT }
    }

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
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Unsent bytes of one connection that the system buffers; chosen by the system if `None`.
    pub max_unsent_bytes: Option<u32>,
    /// Time after which a connection is closed because the caller acknowledges or reads nothing.
    pub unacknowledged_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
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

/// Serves `connections` until `stop` becomes true and twice `CLOSE_DELAY` has passed, new ones for the first half of it.
/// Then waits for the requests in flight on open connections to finish. Responses after `stop` ask callers to close their
/// connection.
pub async fn serve(
    listener: TcpListener,
    responder: impl Responder,
    limits: Limits,
    connections: Connections,
    stop: watch::Receiver<bool>,
) {
    let close = watch::Sender::new(false);
    let server = Server { responder, limits, connections, stop, close: close.subscribe() };
    let mut stopping = pin!(wait_for_close(server.stop.clone()));
    let mut expiry = Instant::now() + EXPIRY_INTERVAL;
    loop {
        let accepted = tokio::select! {
            accepted = server.accept(&listener) => accepted,
            () = &mut stopping => break,
            () = sleep_until(expiry), if server.connections.has_open() => {
                expiry = Instant::now() + EXPIRY_INTERVAL;
                server.connections.expire(server.responder.timeouts());
                continue;
            }
        };
        match accepted {
            Some(accepted) => server.serve_connection(accepted),
            None => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Connections that were established but not accepted yet would be reset with the listener. The runtime learns of them
    // only when it polls the system next.
    if let Ok(listener) = listener.into_std() {
        while let Some(accepted) = server.accept_established(&listener) {
            server.serve_connection(accepted);
        }
    }
    tokio::time::sleep(CLOSE_DELAY).await;
    close.send_replace(true);
    server.connections.wait_closed().await;
}

/// A connection and its slot.
type Accepted = (TcpStream, Slot);

/// What the connections of a listener share.
struct Server<R> {
    responder: R,
    limits: Limits,
    connections: Connections,
    stop: watch::Receiver<bool>,
    /// Becomes true when all connections are to be closed once their requests have ended.
    close: watch::Receiver<bool>,
}

impl<R: Responder> Server<R> {
    /// Serves the requests of one connection in a task of its own.
    fn serve_connection(&self, (stream, slot): Accepted) {
        let responder = self.responder.connected();
        let cut = responder.cut();
        let (stop, close) = (self.stop.clone(), self.close.clone());
        let (activity, is_surplus) = (Arc::clone(slot.activity()), slot.is_surplus());
        let socket = TokioIo::new(Socket::new(stream, Recorder::new(Arc::clone(&activity))));
        let service = service_fn(move |request| {
            let in_progress = activity.begin();
            let (responder, stop) = (responder.clone(), stop.clone());
            // Boxed, because a connection reserves space for this future as long as it is open.
            Box::pin(async move {
                let mut response = match is_surplus {
                    true => responder.decline(request).await,
                    false => responder.respond(request).await,
                };
                if is_surplus || *stop.borrow() {
                    request_close(&mut response);
                }
                Ok::<_, Infallible>(response.map(|body| Tracked { body, _request: in_progress }))
            })
        });
        let connection = builder(self.limits).serve_connection(socket, service).into_owned();
        tokio::spawn(async move {
            // A connection error affects only its caller, who notices it too.
            tokio::select! {
                () = drive(connection, &slot, close) => {}
                () = cut => {}
            }
            drop(slot);
        });
    }

    /// Accepts a connection, once there is room for one more.
    async fn accept(&self, listener: &TcpListener) -> Option<Accepted> {
        self.connections.wait_for_room().await;
        let accepted = listener.accept().await;
        self.connections.record_accept(accepted.is_ok());
        let (stream, _) = accepted.ok()?;
        set_options(&stream, self.limits).ok()?;
        Some((stream, self.connections.add()))
    }

    /// Accepts a connection that is established already.
    fn accept_established(&self, listener: &std::net::TcpListener) -> Option<Accepted> {
        let (stream, _) = listener.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        let stream = TcpStream::from_std(stream).ok()?;
        set_options(&stream, self.limits).ok()?;
        Some((stream, self.connections.add()))
    }
}

/// Serves a connection until its caller closes it, or until it is to be closed and its requests have ended.
async fn drive<C: GracefulConnection>(
    connection: C,
    slot: &Slot,
    mut close: watch::Receiver<bool>,
) {
    let mut connection = pin!(connection);
    tokio::select! {
        // First, so that a request that has arrived is served.
        biased;
        _ = connection.as_mut() => return,
        () = slot.wait_closing() => {}
        _ = close.wait_for(|close| *close) => {}
    }
    connection.as_mut().graceful_shutdown();
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = tokio::time::sleep(FLUSH_TIMEOUT) => {}
        }
        if !slot.activity().is_used() {
            return;
        }
    }
}

/// Waits until `stop` is true, and then for [`CLOSE_DELAY`].
async fn wait_for_close(mut stop: watch::Receiver<bool>) {
    // An error means that the sender is gone, which also ends the listener.
    let _ = stop.wait_for(|stop| *stop).await;
    tokio::time::sleep(CLOSE_DELAY).await;
}

/// Reads the rest of a refused request without keeping it, up to [`MAX_DISCARDED_BYTES`] and for [`DISCARD_TIMEOUT`].
pub(crate) fn discard<B>(body: B)
where
    B: hyper::body::Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + Unpin
        + 'static,
{
    let mut body = Limited::new(body, MAX_DISCARDED_BYTES);
    tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, async move {
        while let Some(Ok(_)) = body.frame().await {}
    }));
}

/// Asks the caller to send no further request on the connection of `response`. HTTP/2 has no such header; hyper removes
/// it there.
pub(crate) fn request_close<B>(response: &mut Response<B>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
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
        // Connections expire by the timeouts of the responder, which may change while they are open.
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(u32::try_from(limits.max_head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(Some(PING_INTERVAL));
    builder
}

#[cfg(test)]
mod tests;
