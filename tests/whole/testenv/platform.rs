//! An entry host on the users' platform: a process of the real binary against stand-ins in this process.

use std::net::{IpAddr, SocketAddr};
use std::process::Child;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use standin::platform::{Server, Settings, Store};

use super::WAIT_TIMEOUT;
pub use super::next_address;

mod process;
mod records;

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
