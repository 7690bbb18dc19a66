//! A stand-in for the platform's list of hosts.

pub mod flags;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use crate::control::set_if_some;
use crate::web::{self, Error, Handler, Hangup, Stop};

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry host.
    Entry,
    /// An engine.
    Engine,
    /// A backend server of a plain service.
    Server,
}

/// Whether a host remains available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The host remains available.
    Live,
    /// The host will leave and should get no new work.
    Leaving,
}

/// A host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// What runs on the host.
    pub kind: Kind,
    /// Address that the entry host, engine or backend server listens on.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: String,
    /// Whether the host remains available.
    pub state: Phase,
}

/// Settings of a host list at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Delay until changes become visible, in milliseconds. The hosts at the start are visible at once.
    pub lag_ms: u64,
    /// The hosts at the start.
    pub hosts: Vec<Host>,
}

impl Default for Settings {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), lag_ms: 1_000, hosts: Vec::new() }
    }
}

/// A change of hosts or faults; absent fields stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether all calls are refused with 503.
    pub down: Option<bool>,
    /// Delay until changes become visible, in milliseconds.
    pub lag_ms: Option<u64>,
    /// New hosts, in place of all present ones.
    pub hosts: Option<Vec<Host>>,
    /// Hosts to add, or to replace if their name is present.
    pub put: Vec<Host>,
    /// Names of hosts to remove.
    pub remove: Vec<String>,
}

#[derive(Debug)]
struct Inner {
    down: bool,
    lag_ms: u64,
    /// Versions of the list with their creation times, oldest first; the version at the start has no time.
    versions: VecDeque<(Option<Instant>, Vec<Host>)>,
}

#[derive(Debug)]
struct List(Mutex<Inner>);

/// A running host list, stopped on drop.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let hosts = standin::hosts::Server::start(standin::hosts::Settings::default())?;
/// assert!(hosts.hosts().is_empty());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    list: Arc<List>,
    stop: Stop,
}

impl Server {
    /// Starts a host list. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let stop = Stop::new();
        let versions = VecDeque::from([(None, settings.hosts)]);
        let list =
            Arc::new(List(Mutex::new(Inner { down: false, lag_ms: settings.lag_ms, versions })));
        let address = web::serve(settings.address, Arc::clone(&list), stop.clone())?;
        Ok(Self { address, list, stop })
    }

    /// The address that the host list listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes hosts or faults.
    pub fn control(&self, change: Change) {
        self.list.lock().apply(change);
    }

    /// The current hosts, without delay.
    pub fn hosts(&self) -> Vec<Host> {
        self.list.lock().newest()
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.stop.stop();
    }

    /// Waits until the host list is stopped and its connections are closed.
    pub async fn stopped(&self) {
        self.stop.closed().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

impl List {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn newest(&self) -> Vec<Host> {
        self.versions.back().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn apply(&mut self, change: Change) {
        set_if_some(&mut self.down, change.down);
        set_if_some(&mut self.lag_ms, change.lag_ms);
        let mut hosts = change.hosts.unwrap_or_else(|| self.newest());
        let replaced = |host: &Host| change.put.iter().any(|new| new.name == host.name);
        hosts.retain(|host| !replaced(host) && !change.remove.contains(&host.name));
        hosts.extend(change.put);
        self.versions.push_back((Some(Instant::now()), hosts));
    }

    /// The hosts that are visible to callers.
    fn visible(&mut self) -> &[Host] {
        let lag = Duration::from_millis(self.lag_ms);
        while self.versions.get(1).is_some_and(|(at, _)| at.is_none_or(|at| at.elapsed() >= lag)) {
            self.versions.pop_front();
        }
        self.versions.front().map(|(_, hosts)| hosts.as_slice()).unwrap_or_default()
    }
}

impl Handler for List {
    type Body = Full<Bytes>;

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Hangup> {
        let path = request.uri().path().to_owned();
        let if_none_match =
            request.headers().get(header::IF_NONE_MATCH).map(|tag| tag.as_bytes().to_vec());
        if path == "/control" && *request.method() == Method::POST {
            let Some(change) = web::parse::<Change>(request).await else {
                return Ok(web::error(StatusCode::BAD_REQUEST, "change"));
            };
            self.lock().apply(change);
        }
        let mut inner = self.lock();
        Ok(match path.as_str() {
            "/control" => {
                let state =
                    json!({ "down": inner.down, "lag_ms": inner.lag_ms, "hosts": inner.newest() });
                web::json(StatusCode::OK, &state)
            }
            "/hosts" if inner.down => web::error(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            "/hosts" => respond(inner.visible(), if_none_match.as_deref()),
            _ => web::empty(StatusCode::NOT_FOUND),
        })
    }
}

/// Returns the list with its entity tag, or 304 if the caller's tag matches.
fn respond(hosts: &[Host], if_none_match: Option<&[u8]>) -> Response<Full<Bytes>> {
    let list = json!({ "hosts": hosts });
    let tag = format!("\"{}\"", blake3::hash(list.to_string().as_bytes()).to_hex());
    if if_none_match == Some(tag.as_bytes()) {
        return web::empty(StatusCode::NOT_MODIFIED);
    }
    let mut response = web::json(StatusCode::OK, &list);
    if let Ok(tag) = tag.parse() {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}
