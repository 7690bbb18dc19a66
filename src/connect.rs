//! TCP connections to engines and backend servers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Builder, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};

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
