//! An entry host on the users' platform: a process of the real binary against stand-ins in this process.

use std::io::Read as _;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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

use super::WAIT_TIMEOUT;
pub use super::next_address;

/// Bearer key that the initial document accepts.
pub const KEY: &str = "k-1";

/// Default number of events in a stream.
pub const EVENTS: u64 = 20;

/// An entry host, and the stand-ins that it connects to: the store, two engines and two backend servers.
pub struct Platform {
    pub store: Arc<Store>,
    pub engines: Arc<Vec<Server>>,
    pub servers: Arc<Vec<Server>>,
    host_name: &'static str,
    pub caller_address: SocketAddr,
    peer_port: u16,
    readiness_address: SocketAddr,
    metrics: SocketAddr,
    directory: tempfile::TempDir,
    child: Mutex<Option<Child>>,
    client: Client<HttpConnector, Full<Bytes>>,
    document_version: AtomicU64,
    /// Region of the host.
    pub region: &'static str,
    /// Domains and their regions in the settings.
    pub zones: &'static [(&'static str, &'static str)],
    /// Memory in the settings, in MB.
    pub memory_mb: Option<u64>,
    /// File descriptors in the settings.
    pub max_fds: u64,
    /// Whether removed keys must end without exception.
    pub strict_revocation: bool,
}

/// Difference of the second octets of the loopback addresses of a test's first entry host, where it is at most 120, and of
/// the others.
const OTHER_HOSTS_OFFSET: u8 = 120;

/// Time after the start of the last host after which all know each other: load reports are sent every 0.5 s.
pub const HOSTS_MEET_TIME: Duration = Duration::from_millis(1_200);

/// Default time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

fn start_server(id: &str, events: u64, interval: Duration) -> Server {
    let settings = Settings { address: next_address(), id: id.to_owned(), events, interval };
    Server::start(settings).expect("the server starts")
}

fn start_servers<const N: usize>(ids: [&str; N]) -> Arc<Vec<Server>> {
    Arc::new(ids.map(|id| start_server(id, EVENTS, EVENT_INTERVAL)).into())
}

/// The same port on the loopback address of a test's entry host `number`, from 2.
fn on_address_of(number: u8, address: SocketAddr) -> SocketAddr {
    let IpAddr::V4(ip) = address.ip() else { panic!("an IPv4 address") };
    let [first, second, third, fourth] = ip.octets();
    let ip = [first, second + OTHER_HOSTS_OFFSET, third, fourth + number];
    SocketAddr::from((ip, address.port()))
}

impl Platform {
    /// Starts the stand-ins and the entry host, and waits until the host is ready.
    pub async fn start() -> Self {
        Self::start_with_events(EVENTS).await
    }

    /// Like [`Self::start`], with streams of `events` events.
    pub async fn start_with_events(events: u64) -> Self {
        Self::start_with_streams(events, EVENT_INTERVAL).await
    }

    /// Like [`Self::start`], with streams of `events` events, one each `interval`.
    pub async fn start_with_streams(events: u64, interval: Duration) -> Self {
        Self::start_with_engines(2, events, interval).await
    }

    /// Like [`Self::start_with_streams`], with `count` engines, `e-1` and so on.
    pub async fn start_with_engines(count: usize, events: u64, interval: Duration) -> Self {
        let mut platform = Self::start_standins();
        let engine = |number: usize| start_server(&format!("e-{number}"), events, interval);
        platform.engines = Arc::new((1..=count).map(engine).collect());
        platform.submit(&[KEY]);
        platform.list_all();
        platform.spawn();
        platform.wait_readiness(true).await;
        platform
    }

    /// Like [`Self::start`], with `count` backend servers, `s-1` and so on.
    pub async fn start_with_servers(count: usize) -> Self {
        let mut platform = Self::start_standins();
        let server = |number: usize| start_server(&format!("s-{number}"), EVENTS, EVENT_INTERVAL);
        platform.servers = Arc::new((1..=count).map(server).collect());
        platform.submit(&[KEY]);
        platform.list_all();
        platform.spawn();
        platform.wait_readiness(true).await;
        platform
    }

    /// Starts an entry host with three backend servers and two engines, and stand-ins for `count` other entry hosts, which
    /// run requests as servers do.
    pub async fn start_with_peers(count: usize) -> (Self, Vec<Server>) {
        let mut platform = Self::start_standins();
        platform.servers = start_servers(["s-1", "s-2", "s-3"]);
        let peer = |number: usize| {
            let id = format!("front-z-{number}");
            let peer = start_server(&id, EVENTS, EVENT_INTERVAL);
            peer.set_host();
            let address = peer.address().to_string();
            platform.store.put("keyed.hosts", &id, address.as_bytes());
            peer
        };
        let peers = (1..=count).map(peer).collect();
        platform.submit(&[KEY]);
        platform.list_all();
        platform.spawn();
        platform.wait_readiness(true).await;
        (platform, peers)
    }

    /// Address at which other entry hosts reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.caller_address.ip(), self.peer_port)
    }

    /// Starts two more entry hosts, and waits until all know each other.
    pub async fn with_hosts(self) -> Arc<[Self; 3]> {
        let second = self.start_host(2).await;
        let third = self.start_host(3).await;
        tokio::time::sleep(HOSTS_MEET_TIME).await;
        Arc::new([self, second, third])
    }

    /// Starts the stand-ins only, with an empty store.
    pub fn start_standins() -> Self {
        Self {
            store: Arc::new(Store::start(next_address()).expect("the store starts")),
            engines: start_servers(["e-1", "e-2"]),
            servers: start_servers(["s-1", "s-2"]),
            host_name: "front-a-1",
            caller_address: next_address(),
            peer_port: next_address().port(),
            readiness_address: next_address(),
            metrics: next_address(),
            directory: tempfile::tempdir().expect("a directory"),
            child: Mutex::new(None),
            client: Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http(),
            document_version: AtomicU64::new(0),
            region: "r",
            zones: &[],
            memory_mb: None,
            max_fds: 2_000,
            strict_revocation: true,
        }
    }

    /// Starts engines of these builds, `e-1` and so on, and an entry host.
    pub async fn start_with_builds<const N: usize>(builds: [&str; N]) -> Self {
        let names: [String; N] = std::array::from_fn(|index| format!("e-{}", index + 1));
        let mut platform = Self::start_standins();
        platform.engines = start_servers(names.each_ref().map(String::as_str));
        platform.submit(&[KEY]);
        for (engine, build) in platform.engines.iter().zip(builds) {
            platform.list_build(engine, "pool", "ready", build);
        }
        platform.spawn();
        platform.wait_readiness(true).await;
        platform
    }

    /// Starts entry host `number`, from 2, with the same stand-ins, on another address with the same port for entry hosts.
    pub async fn start_host(&self, number: u8) -> Self {
        self.start_host_in(number, self.region).await
    }

    /// Like [`Self::start_host`], in another region.
    pub async fn start_host_in(&self, number: u8, region: &'static str) -> Self {
        let mut platform = Self::start_standins();
        platform.store = Arc::clone(&self.store);
        platform.engines = Arc::clone(&self.engines);
        platform.servers = Arc::clone(&self.servers);
        platform.host_name = ["front-a-2", "front-a-3"][usize::from(number) - 2];
        platform.caller_address = on_address_of(number, platform.caller_address);
        platform.readiness_address = on_address_of(number, platform.readiness_address);
        platform.metrics = on_address_of(number, platform.metrics);
        platform.peer_port = self.peer_port;
        (platform.region, platform.zones) = (region, self.zones);
        (platform.memory_mb, platform.max_fds) = (self.memory_mb, self.max_fds);
        platform.strict_revocation = self.strict_revocation;
        platform.spawn();
        platform.wait_readiness(true).await;
        platform
    }

    fn settings_path(&self) -> PathBuf {
        self.directory.path().join("settings.toml")
    }

    /// Writes the settings file and starts the entry host.
    pub fn spawn(&self) {
        let host = Host {
            name: self.host_name,
            caller_address: self.caller_address,
            readiness_address: self.readiness_address,
            peer_port: self.peer_port,
            store_address: self.store.address(),
        };
        let mut text =
            host.settings().replace("region = \"r\"", &format!("region = \"{}\"", self.region));
        text = text.replace("max_fds = 2000", &format!("max_fds = {}", self.max_fds));
        let strict = format!("[bounds]\nstrict_revoke = {}", self.strict_revocation);
        text = text.replace("[bounds]", &strict);
        if let Some(memory_mb) = self.memory_mb {
            text = text.replace("[limits]", &format!("[limits]\nmemory_mb = {memory_mb}"));
        }
        if !self.zones.is_empty() {
            text += "[zones]\n";
        }
        for (domain, region) in self.zones {
            text += &format!("{domain} = \"{region}\"\n");
        }
        std::fs::write(self.settings_path(), text).expect("the settings are written");
        let mut log = std::fs::OpenOptions::new();
        let log = log.create(true).append(true);
        let log = log.open(self.directory.path().join("log")).expect("a log file");
        let limit = self.max_fds.to_string();
        let program = env!("CARGO_BIN_EXE_nutmeghead");
        let child = Command::new("sh")
            .args(["-c", "ulimit -n \"$0\" && exec \"$@\"", &limit, program])
            .args(["entry", "--metrics-port", &self.metrics.port().to_string()])
            .env("NUTMEGHEAD_SETTINGS", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        *self.child() = Some(child.expect("the entry host starts"));
    }

    /// Writes to the store a document that accepts these bearer keys.
    pub fn submit(&self, keys: &[&str]) {
        self.submit_routes(keys, "app");
    }

    /// Writes to the store a document that accepts these bearer keys and routes swaps and look-ups to `service`.
    pub fn submit_routes(&self, keys: &[&str], service: &str) {
        let version = self.document_version.fetch_add(3, Ordering::Relaxed) + 3;
        let document = document(version, keys, service, Capacity::default());
        self.store.put("keyed.op", "config", document.to_string().as_bytes());
    }

    /// Writes to the store the usual document with some changes.
    pub fn submit_changed(&self, change: impl FnOnce(&mut Value)) {
        let version = self.document_version.fetch_add(3, Ordering::Relaxed) + 3;
        let mut document = document(version, &[KEY], "app", Capacity::default());
        change(&mut document);
        self.store.put("keyed.op", "config", document.to_string().as_bytes());
    }

    /// Writes to the store the entry of a server in this failure domain.
    pub fn list_domain(&self, server: &Server, service: &str, domain: &str) {
        let mut entry = entry(server.address(), service, "ready", "v1", 1);
        entry["zone"] = domain.into();
        self.store.put("keyed.servers", server.id(), entry.to_string().as_bytes());
    }

    /// Writes to the store an entry in state `ready` for every engine and backend server.
    pub fn list_all(&self) {
        for engine in self.engines.iter() {
            self.list(engine, "pool", "ready");
        }
        for server in self.servers.iter() {
            self.list(server, "app", "ready");
        }
    }

    /// Writes to the store the entry of a server of build `v1`.
    pub fn list(&self, server: &Server, service: &str, state: &str) {
        self.list_build(server, service, state, "v1");
    }

    /// Writes to the store the entry of a server.
    pub fn list_build(&self, server: &Server, service: &str, state: &str, build: &str) {
        self.list_incarnation(server, service, state, build, 1);
    }

    /// Writes to the store the entry of a server at this address.
    pub fn list_address(&self, id: &str, address: SocketAddr, service: &str) {
        let entry = entry(address, service, "ready", "v1", 1);
        self.store.put("keyed.servers", id, entry.to_string().as_bytes());
    }

    /// Writes to the store the entry of a server that started at `born`.
    pub fn list_incarnation(
        &self,
        server: &Server,
        service: &str,
        state: &str,
        build: &str,
        born: u64,
    ) {
        let entry = entry(server.address(), service, state, build, born);
        self.store.put("keyed.servers", server.id(), entry.to_string().as_bytes());
    }

    /// Whether the readiness probe is answered with success.
    pub async fn is_ready(&self) -> bool {
        let response = self.get(self.readiness_address, "/api/readyz").await;
        response.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    /// Waits until the readiness probe of the entry host answers as `expected`.
    pub async fn wait_readiness(&self, expected: bool) {
        self.wait_until("the readiness of the entry host", async || {
            self.is_ready().await == expected
        })
        .await;
    }

    /// Polls `condition` until it is true. Panics with `description` after `WAIT_TIMEOUT`.
    pub async fn wait_until(&self, description: &str, mut condition: impl AsyncFnMut() -> bool) {
        let waiting = async {
            while !condition().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .unwrap_or_else(|_| panic!("timed out: {description}"));
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
        SocketAddr::new(self.caller_address.ip(), self.metrics.port())
    }

    /// Sends a request; `None` if the connection breaks before a response.
    pub async fn send(
        &self,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<Response<Incoming>> {
        self.send_body(id, path, headers, "body").await
    }

    /// Sends a request with this body; `None` if the connection breaks before a response.
    pub async fn send_body(
        &self,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> Option<Response<Incoming>> {
        self.send_to(self.caller_address, id, path, headers, body).await
    }

    /// Sends a request with this body to `address` of the entry host; `None` if the connection breaks before a response.
    pub async fn send_to(
        &self,
        address: SocketAddr,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> Option<Response<Incoming>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header("host", "a.example")
            .header("nutmeghead-request-id", id);
        let defaults = [("authorization", "Bearer k-1"), ("nutmeghead-deadline-ms", "4000")];
        for (name, value) in defaults {
            if !headers.iter().any(|(header, _)| *header == name) {
                request = request.header(name, value);
            }
        }
        if path.starts_with("/rebuild") || path.starts_with("/check") {
            request = request.header("nutmeghead-tokens", "1000,400");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("a valid request");
        tokio::time::timeout(WAIT_TIMEOUT, self.client.request(request))
            .await
            .expect("a response in time")
            .ok()
    }

    /// Sends a request and returns the status and the body; `None` if the response is incomplete.
    pub async fn call(&self, id: &str, path: &str) -> Option<(StatusCode, String)> {
        let response = self.send(id, path, &[]).await?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Number of executions of a request, over all engines and backend servers.
    pub fn runs(&self, id: &str) -> u32 {
        self.engines.iter().chain(self.servers.iter()).map(|server| server.runs(id)).sum()
    }

    /// Sends the signal of this name, such as `TERM`, to the entry host.
    pub fn signal(&self, signal: &str) {
        let pid = self.child().as_ref().expect("the entry host runs").id().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// The largest memory that the entry host has used so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        super::peak_memory_mb(self.child().as_ref().expect("the entry host runs").id())
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

    /// Waits for the entry host to exit and returns whether it exited with status 0.
    pub async fn exited_successfully(&self) -> bool {
        let mut child = self.child().take().expect("the entry host runs");
        let wait = tokio::task::spawn_blocking(move || child.wait());
        let status = tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("the entry host exits");
        status.expect("joined").expect("waited").success()
    }

    /// Log lines with this message that the entry host has written so far.
    pub fn log_lines(&self, message: &str) -> Vec<Value> {
        let mut text = String::new();
        let file = std::fs::File::open(self.directory.path().join("log"));
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

/// Reads a stream of numbered events. Returns the numbers, and whether the body ended without an error.
pub async fn read_events(response: Response<Incoming>) -> (Vec<u64>, bool) {
    let (text, complete) = read_stream(response).await;
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    (ids.map(|id| id.parse().expect("a number")).collect(), complete)
}

/// Reads a stream. Returns its text, and whether the body ended without an error.
pub async fn read_stream(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut text = Vec::new();
    let complete = loop {
        match tokio::time::timeout(WAIT_TIMEOUT, body.frame()).await.expect("a frame") {
            Some(Ok(frame)) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    (String::from_utf8(text).expect("text"), complete)
}
