//! Entry hosts on the users' platform, as processes between stand-ins.

use std::io::Read as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use standin::platform::{Capacity, Host, Server, Settings, Store, document, entry};

use super::{PATIENCE, next_address};

/// A key that the first document holds.
pub const KEY: &str = "k-1";

/// Events of a stream.
pub const EVENTS: u64 = 20;

/// An entry host, the store, two engines and two backend servers of a plain service.
pub struct Platform {
    pub store: Store,
    pub engines: Vec<Server>,
    pub servers: Vec<Server>,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    folder: tempfile::TempDir,
    child: Mutex<Option<Child>>,
    client: Client<HttpConnector, Full<Bytes>>,
    version: AtomicU64,
}

/// Time between two events of a stream.
const INTERVAL: Duration = Duration::from_millis(30);

fn server(id: &str, events: u64, interval: Duration) -> Server {
    let settings = Settings { address: next_address(), id: id.to_owned(), events, interval };
    Server::start(settings).expect("the server starts")
}

impl Platform {
    /// Starts everything and waits until the entry host is ready.
    pub async fn start() -> Self {
        Self::start_with_events(EVENTS).await
    }

    /// Starts everything, with streams of `events` events.
    pub async fn start_with_events(events: u64) -> Self {
        Self::start_with_streams(events, INTERVAL).await
    }

    /// Starts everything, with streams of `events` events of which one comes each `interval`.
    pub async fn start_with_streams(events: u64, interval: Duration) -> Self {
        let mut platform = Self::cold();
        platform.engines = vec![server("e-1", events, interval), server("e-2", events, interval)];
        platform.submit(&[KEY]);
        platform.list_all();
        platform.spawn();
        platform.ready(true).await;
        platform
    }

    /// Starts the stand-ins alone, with an empty store.
    pub fn cold() -> Self {
        Self {
            store: Store::start(next_address()).expect("the store starts"),
            engines: vec![server("e-1", EVENTS, INTERVAL), server("e-2", EVENTS, INTERVAL)],
            servers: vec![server("s-1", EVENTS, INTERVAL), server("s-2", EVENTS, INTERVAL)],
            callers: next_address(),
            readiness: next_address(),
            metrics: next_address(),
            folder: tempfile::tempdir().expect("a folder"),
            child: Mutex::new(None),
            client: Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http(),
            version: AtomicU64::new(0),
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.path().join("settings.toml")
    }

    /// Writes the settings file and starts the entry host.
    pub fn spawn(&self) {
        let host = Host {
            caller_address: self.callers,
            readiness_address: self.readiness,
            peer_port: next_address().port(),
            store_address: self.store.address(),
        };
        let text = host.settings();
        std::fs::write(self.settings_path(), text).expect("the settings are written");
        let mut log = std::fs::OpenOptions::new();
        let log = log.create(true).append(true);
        let log = log.open(self.folder.path().join("log")).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_nutmeghead"))
            .args(["entry", "--metrics-port", &self.metrics.port().to_string()])
            .env("NUTMEGHEAD_SETTINGS", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        *self.child() = Some(child.expect("the entry host starts"));
    }

    /// Puts a document with these keys in force.
    pub fn submit(&self, keys: &[&str]) {
        self.submit_routes(keys, "app");
    }

    /// Puts a document in force whose swaps and look-ups go to `service`.
    pub fn submit_routes(&self, keys: &[&str], service: &str) {
        let version = self.version.fetch_add(3, Ordering::Relaxed) + 3;
        let document = document(version, keys, service, Capacity::default());
        self.store.put("keyed.op", "config", document.to_string().as_bytes());
    }

    /// Lists all servers as ready.
    pub fn list_all(&self) {
        for engine in &self.engines {
            self.list(engine, "pool", "ready");
        }
        for server in &self.servers {
            self.list(server, "app", "ready");
        }
    }

    /// Writes the entry of a server.
    pub fn list(&self, server: &Server, service: &str, state: &str) {
        let entry = entry(server.address(), service, state);
        self.store.put("keyed.servers", server.id(), entry.to_string().as_bytes());
    }

    /// Waits until the entry host says that it is ready, or that it is not.
    pub async fn ready(&self, expected: bool) {
        self.until("readiness", async || {
            let answer = self.get(self.readiness, "/api/readyz").await;
            answer.is_some_and(|(status, _)| (status == StatusCode::OK) == expected)
        })
        .await;
    }

    /// Waits for a condition.
    pub async fn until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let waiting = async {
            while !condition().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waiting).await.unwrap_or_else(|_| panic!("in vain: {what}"));
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// The metrics page.
    pub async fn metrics(&self) -> String {
        self.get(self.metrics_address(), "/metrics").await.expect("metrics are served").1
    }

    fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.callers.ip(), self.metrics.port())
    }

    /// Sends a request; `None` if the connection breaks before an answer.
    pub async fn send(
        &self,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<Response<Incoming>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.callers))
            .header("host", "a.example")
            .header("nutmeghead-request-id", id);
        let defaults = [("authorization", "Bearer k-1"), ("nutmeghead-deadline-ms", "4000")];
        for (name, value) in defaults {
            if !headers.iter().any(|(given, _)| *given == name) {
                request = request.header(name, value);
            }
        }
        if path.starts_with("/rebuild") || path.starts_with("/check") {
            request = request.header("nutmeghead-tokens", "1000,400");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new("body".into())).expect("a valid request");
        tokio::time::timeout(PATIENCE, self.client.request(request)).await.expect("an end").ok()
    }

    /// Sends a request and returns its status and whole body; `None` if the answer is not whole.
    pub async fn call(&self, id: &str, path: &str) -> Option<(StatusCode, String)> {
        let response = self.send(id, path, &[]).await?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// How often a request ran, at all servers together.
    pub fn runs(&self, id: &str) -> u32 {
        self.engines.iter().chain(&self.servers).map(|server| server.runs(id)).sum()
    }

    /// Sends a signal to the entry host.
    pub fn signal(&self, signal: &str) {
        let pid = self.child().as_ref().expect("the entry host runs").id().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(status.expect("kill runs").success());
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills the entry host, if it runs.
    pub fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the entry host has ended by itself and returns whether it ended well.
    pub async fn ended(&self) -> bool {
        let mut child = self.child().take().expect("the entry host runs");
        let wait = tokio::task::spawn_blocking(move || child.wait());
        let status = tokio::time::timeout(PATIENCE, wait).await.expect("the entry host ends");
        status.expect("joined").expect("waited").success()
    }

    /// Log lines with this message, so far.
    pub fn lines(&self, message: &str) -> Vec<Value> {
        let mut text = String::new();
        let file = std::fs::File::open(self.folder.path().join("log"));
        file.expect("a log").read_to_string(&mut text).expect("the log is text");
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["msg"] == message).collect()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads a stream of numbered events and returns the numbers, and whether the stream ended whole.
pub async fn events(response: Response<Incoming>) -> (Vec<u64>, bool) {
    let mut body = response.into_body();
    let mut text = Vec::new();
    let whole = loop {
        match tokio::time::timeout(PATIENCE, body.frame()).await.expect("a frame") {
            Some(Ok(frame)) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let text = String::from_utf8(text).expect("text");
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    (ids.map(|id| id.parse().expect("a number")).collect(), whole)
}
