//! The platform's list of hosts, which lags.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// Time between two readings of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time allowed for one reading.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why the list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The platform gave no list.
    #[error("the host list cannot be read")]
    Unavailable,
    /// The list is not valid.
    #[error("the host list is malformed")]
    Malformed,
}

/// Back ends that the platform is about to take away. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaving(Arc<HashSet<String>>);

impl Leaving {
    /// Whether the engine or backend server of this name leaves.
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
    hosts: Vec<Host>,
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

fn parse(body: &[u8]) -> Result<Leaving, Error> {
    let list: List = serde_json::from_slice(body).map_err(|_| Error::Malformed)?;
    let leaving = |host: &Host| host.kind != Kind::Entry && host.state == State::Leaving;
    Ok(Leaving(Arc::new(list.hosts.into_iter().filter(leaving).map(|host| host.name).collect())))
}

/// Reads the list again and again and publishes which back ends leave, until the task is dropped. The last list that
/// could be read stays in force while the platform gives none.
pub async fn follow(address: SocketAddr, leaving: watch::Sender<Leaving>) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut tag = None;
    loop {
        let read = tokio::time::timeout(READ_TIMEOUT, read(&client, address, &mut tag)).await;
        if let Ok(Ok(Some(list))) = read {
            leaving.send_if_modified(|old| {
                let changed = *old != list;
                *old = list;
                changed
            });
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Reads the list. `None` means that it has not changed since the answer with this `tag`.
async fn read(
    client: &Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
    tag: &mut Option<HeaderValue>,
) -> Result<Option<Leaving>, Error> {
    let mut request = Request::get(format!("http://{address}/hosts"));
    if let Some(tag) = &tag {
        request = request.header(header::IF_NONE_MATCH, tag);
    }
    let request = request.body(Empty::new()).map_err(|_| Error::Malformed)?;
    let response = client.request(request).await.map_err(|_| Error::Unavailable)?;
    match response.status() {
        StatusCode::NOT_MODIFIED => return Ok(None),
        StatusCode::OK => {}
        _ => return Err(Error::Unavailable),
    }
    let new_tag = response.headers().get(header::ETAG).cloned();
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
    let list = parse(&body.map_err(|_| Error::Unavailable)?.to_bytes())?;
    *tag = new_tag;
    Ok(Some(list))
}
