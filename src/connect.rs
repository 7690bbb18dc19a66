//! TCP connections to engines and backend servers.

use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;

/// Time allowed to connect.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connector that sends small messages at once and gives up early on hosts that do not answer.
pub(crate) fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}
