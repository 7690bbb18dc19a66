//! TCP connections to engines and backend servers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Builder, Client};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time allowed to connect.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client that keeps connections open for calls with whole bodies.
pub(crate) type Pool = Client<HttpConnector, Full<Bytes>>;

/// A builder of clients that close a connection once it was unused for `idle`.
pub(crate) fn builder(idle: Duration) -> Builder {
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_idle_timeout(idle).pool_timer(TokioTimer::new()).timer(TokioTimer::new());
    builder
}

/// A connector that sends small messages at once and gives up early on hosts that do not answer.
pub(crate) fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

/// Time after which unacknowledged bytes or missing answers to keep-alive probes end a connection: a connection may go
/// silent without a reset, and callers of the longest streams wait 7.2 s for an event.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time without traffic after which a connection is probed, and between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection end by itself once the other side is gone without a word.
pub(crate) fn watch_silence(socket: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}

/// A new connection for one exchange. An exchange that shares its connection with no other one can get neither late
/// bytes of an earlier answer nor the reset of a connection that the server had just closed.
pub(crate) struct Fresh {
    sender: http1::SendRequest<Full<Bytes>>,
    guard: Guard,
}

/// Closes its connection when dropped.
#[derive(Debug)]
pub(crate) struct Guard(AbortHandle);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The head of an answer; its body ends if the guard is dropped.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) guard: Guard,
}

/// Connects to `address`.
pub(crate) async fn open(address: SocketAddr) -> io::Result<Fresh> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    socket.set_nodelay(true)?;
    watch_silence(&socket)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // Whoever waits for the answer sees the error as well.
        let _ = connection.await;
    });
    Ok(Fresh { sender, guard: Guard(task.abort_handle()) })
}

impl Fresh {
    /// Sends `request` and waits for the head of the answer.
    pub(crate) async fn send(mut self, request: Request<Full<Bytes>>) -> hyper::Result<Answer> {
        let response = self.sender.send_request(request).await?;
        Ok(Answer { response, guard: self.guard })
    }
}
