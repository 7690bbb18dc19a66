//! Accepts connections and serves HTTP on them, until told to stop.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::connect;

/// Time allowed for the head of a request, and between two requests of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Largest number of open connections.
const MAX_CONNECTIONS: usize = 10_000;

/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 1_000;

/// Pause after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Answer: Clone + Send + 'static {
    /// Body of the answers; an error in it ends the connection, so that the answer does not look complete.
    type Body: hyper::body::Body<Data = Bytes, Error: std::error::Error + Send + Sync>
        + Send
        + 'static;

    /// Answers one request.
    fn answer(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// What a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time allowed for the head of a request, and between two requests of a connection.
    pub head_timeout: Duration,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest number of open connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: HEAD_TIMEOUT,
            head_bytes: MAX_HEAD_BYTES,
            connections: MAX_CONNECTIONS,
        }
    }
}

/// Binds `address`.
///
/// # Errors
///
/// Returns the system's error if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves connections until `stop` holds true, then waits until each open connection has ended its requests.
pub async fn serve(
    listener: TcpListener,
    answer: impl Answer,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limits.connections));
    let mut stopped = pin!(stop.wait_for(|stop| *stop));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            _ = &mut stopped => break,
        };
        let Some((socket, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answer = answer.clone();
            // Boxed, since a connection keeps room for this future as long as it is open.
            Box::pin(async move { Ok::<_, Infallible>(answer.answer(request).await) })
        });
        let connection =
            builder(limits).serve_connection(TokioIo::new(socket), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection concerns its caller only, who sees it as well.
            let _ = connection.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    let (socket, _) = listener.accept().await.ok()?;
    socket.set_nodelay(true).ok()?;
    connect::detect_dead_peer(&socket).ok()?;
    Some((socket, slot))
}

fn builder(limits: Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(Some(limits.head_timeout));
    builder
}
