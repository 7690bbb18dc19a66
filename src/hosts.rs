//! Client for the platform's host list, which lags behind the actual state.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Deserialize;
use tokio::sync::watch;

use crate::{connect, lenient};

#[cfg(test)]
mod tests;

/// Interval between polls of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why the list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The platform did not return a list.
    #[error("the host list cannot be read")]
    Unavailable,
    /// The list is not valid.
    #[error("the host list is malformed")]
    Malformed,
}

/// Names of the engines and backend servers that the platform is about to remove. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaving(Arc<HashSet<String>>);

impl Leaving {
    /// Whether the engine or backend server with this name is leaving.
    ///
    /// ```
    /// assert!(!nutmeghead::hosts::Leaving::default().contains("e-1"));
    /// ```
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains(name)
    }
}

#[derive(Deserialize)]
struct List {
    hosts: lenient::List<Host>,
}

#[derive(Deserialize)]
struct Host {
    name: String,
    kind: Kind,
    state: State,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Entry,
    Engine,
    Server,
    #[serde(other)]
    Other,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
    #[serde(other)]
    Other,
}

pub(crate) fn parse(body: &[u8]) -> Result<Leaving, Error> {
    let list: List = lenient::parse(body).map_err(|_| Error::Malformed)?;
    let is_leaving = |host: &Host| host.kind != Kind::Entry && host.state == State::Leaving;
    Ok(Leaving(Arc::new(list.hosts.parsed().filter(is_leaving).map(|host| host.name).collect())))
}

/// Polls the list and publishes the engines and backend servers that are leaving, until the task is dropped. While the
/// list cannot be read, the last one remains valid.
pub async fn poll_leaving(address: SocketAddr, leaving: watch::Sender<Leaving>) {
    let client = connect::single_use_builder().build_http();
    let mut etag = None;
    loop {
        let fetched = tokio::time::timeout(POLL_TIMEOUT, fetch(&client, address, &mut etag)).await;
        if let Ok(Ok(Some(new))) = fetched {
            leaving.send_if_modified(|old| {
                let changed = *old != new;
                *old = new;
                changed
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Fetches the list. Returns `None` if it has not changed since the response with this `etag`, which is updated.
async fn fetch(
    client: &Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
    etag: &mut Option<HeaderValue>,
) -> Result<Option<Leaving>, Error> {
    let mut request = Request::get(format!("http://{address}/hosts"));
    if let Some(etag) = &etag {
        request = request.header(header::IF_NONE_MATCH, etag);
    }
    let request = request.body(Empty::new()).map_err(|_| Error::Malformed)?;
    let response = client.request(request).await.map_err(|_| Error::Unavailable)?;
    match response.status() {
        StatusCode::NOT_MODIFIED => return Ok(None),
        StatusCode::OK => {}
        _ => return Err(Error::Unavailable),
    }
    let new_etag = response.headers().get(header::ETAG).cloned();
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
    let leaving = parse(&body.map_err(|_| Error::Unavailable)?.to_bytes())?;
    *etag = new_etag;
    Ok(Some(leaving))
}
