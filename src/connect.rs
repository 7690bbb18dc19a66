//! TCP connections to engines and backend servers.

use std::future::{Future as _, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Builder, Client};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

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

/// Moves the bytes of one connection. It runs in the task that waits for the answer: a task of its own would cost two
/// more wake-ups for each event.
type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A new connection for one exchange. An exchange that shares its connection with no other one can get neither late
/// bytes of an earlier answer nor the reset of a connection that the server had just closed.
pub(crate) struct Fresh {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Box<Driver>,
}

/// Connects to `address`.
pub(crate) async fn open(address: SocketAddr) -> io::Result<Fresh> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    socket.set_nodelay(true)?;
    watch_silence(&socket)?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
    Ok(Fresh { sender, driver: Box::new(driver) })
}

impl Fresh {
    /// Sends `request` and waits for the head of the answer.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Answer>> {
        let mut driver = Some(self.driver);
        let mut exchange = pin!(self.sender.send_request(request));
        let response = poll_fn(|context| {
            drive(&mut driver, context);
            exchange.as_mut().poll(context)
        });
        let response = response.await?;
        Ok(response.map(|body| Answer { body, driver }))
    }
}

/// Lets the connection read and write what it can; it is closed once it has ended.
fn drive(driver: &mut Option<Box<Driver>>, context: &mut Context<'_>) {
    let Some(running) = driver else { return };
    // Whoever waits for the answer or its body sees the error as well.
    if Pin::new(running.as_mut()).poll(context).is_ready() {
        *driver = None;
    }
}

/// The body of an answer. Dropping it closes the connection.
pub(crate) struct Answer {
    body: Incoming,
    /// `None` once the connection has ended.
    driver: Option<Box<Driver>>,
}

impl Body for Answer {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let answer = self.get_mut();
        if answer.driver.is_some() {
            // The body changes only while the connection is driven, which this task does: it needs no wake-up of its
            // own, and asking it first tells the connection that more is wanted.
            let mut silent = Context::from_waker(Waker::noop());
            if let Poll::Ready(frame) = Pin::new(&mut answer.body).poll_frame(&mut silent) {
                return Poll::Ready(frame);
            }
            drive(&mut answer.driver, context);
        }
        Pin::new(&mut answer.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
