//! Runs the real binary as entry hosts against stand-ins in this process.

pub mod platform;
pub mod scripted;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmeghead::sse;
use serde_json::Value;
use standin::fleet::{self, Fleet};

/// Upper bound on every wait for a condition. A test that asserts a duration measures it itself.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const FLEET_KEY: &str = "0707070707070707070707070707070707070707070707070707070707070707";

/// Returns an unused address. The IP address depends on the process id, so that concurrent test processes do not collide.
pub fn next_address() -> SocketAddr {
    static PORT: AtomicU16 = AtomicU16::new(21_000);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 120, low, 1 + (std::process::id() >> 16) as u8);
    SocketAddr::new(IpAddr::V4(ip), PORT.fetch_add(1, Ordering::Relaxed))
}

/// The largest memory that a process has used so far, in MB.
pub fn peak_memory_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    let kilobytes = peak.trim().strip_suffix(" kB").expect("a unit");
    kilobytes.trim().parse::<u64>().expect("a number") >> 10
}

/// Entry hosts, and the stand-ins that they connect to.
pub struct TestEnv {
    pub fleet: Fleet,
    pub nodes: Vec<Node>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The process of an entry host, killed on drop.
pub struct Node {
    pub name: String,
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
    child: Option<Child>,
}

impl Node {
    fn new(index: usize) -> Self {
        let [caller_address, operator_address, peer_address] = [(); 3].map(|()| next_address());
        Self {
            name: format!("n-{index}"),
            caller_address,
            operator_address,
            peer_address,
            child: None,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the entry host runs").id()
    }

    /// Sends the signal of this name, such as `TERM`, to the process.
    pub fn signal(&self, signal: &str) {
        let status =
            Command::new("kill").args([format!("-{signal}"), self.pid().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to exit and returns whether it exited with status 0.
    pub async fn exited_successfully(&mut self) -> bool {
        let mut child = self.child.take().expect("the entry host runs");
        let wait = tokio::task::spawn_blocking(move || child.wait());
        let status = tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("the entry host exits");
        status.expect("joined").expect("waited").success()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl TestEnv {
    /// Starts stand-ins and `count` entry hosts, submits the fleet's document and waits until all hosts are ready.
    pub async fn start(count: usize, settings: &fleet::Settings) -> Self {
        let mut env = Self::start_standins(count, settings);
        let text = env.fleet.document();
        env.fleet.submit(0, &text).expect("the document is accepted");
        for index in 0..count {
            env.spawn(index);
        }
        for index in 0..count {
            env.wait_ready(index).await;
        }
        env
    }

    /// Starts stand-ins only: no entry host, and no document in the log.
    pub fn start_standins(count: usize, settings: &fleet::Settings) -> Self {
        let fleet = Fleet::start(settings).expect("stand-ins start");
        let nodes = (0..count).map(Node::new).collect();
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        Self { fleet, nodes, client }
    }

    /// Starts the process of the entry host `index`.
    pub fn spawn(&mut self, index: usize) {
        let node = &self.nodes[index];
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmeghead"));
        command.arg("serve").args(["--name", &node.name, "--region", "r", "--domain", "a"]);
        command.args(["--environment", fleet::ENVIRONMENT, "--drain-delay-ms", "300"]);
        let addresses = [
            ("--caller-address", node.caller_address),
            ("--operator-address", node.operator_address),
            ("--peer-address", node.peer_address),
            ("--log-address", self.fleet.log.address()),
            ("--hosts-address", self.fleet.hosts.address()),
        ];
        for (flag, address) in addresses {
            command.args([flag, &address.to_string()]);
        }
        for other in self.nodes.iter().filter(|other| other.name != node.name) {
            command.args(["--seed", &format!("{}={}", other.name, other.peer_address)]);
        }
        command.env("NUTMEGHEAD_FLEET_KEY", FLEET_KEY).stdin(Stdio::null()).stdout(Stdio::null());
        if std::env::var_os("TESTENV_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        self.nodes[index].child = Some(command.spawn().expect("the entry host starts"));
    }

    /// Waits until the entry host `index` is ready.
    pub async fn wait_ready(&self, index: usize) {
        let address = self.nodes[index].operator_address;
        self.wait_until("the entry host is ready", async || {
            self.get(address, "/readyz").await.is_some_and(|(status, _)| status == StatusCode::OK)
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

    /// Sends a GET request and returns the status and the body; `None` if the request fails.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// The sum of an entry host's metrics whose name starts with `name` and whose line contains `label`.
    pub async fn metric(&self, index: usize, name: &str, label: &str) -> f64 {
        let page =
            self.get(self.nodes[index].operator_address, "/metrics").await.map(|page| page.1);
        let page = page.unwrap_or_default();
        let lines = page.lines().filter(|line| line.starts_with(name) && line.contains(label));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Sends a request to the caller address of an entry host; `None` if the request fails. The bearer key is added unless
    /// `headers` has an authorization; headers with an empty value are left out.
    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Response<Incoming>> {
        let address = self.nodes[index].caller_address;
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Bearer {}", fleet::KEY));
        }
        for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("a valid request");
        tokio::time::timeout(WAIT_TIMEOUT, self.client.request(request))
            .await
            .expect("a response in time")
            .ok()
    }

    /// Sends a request with an idempotency key to the host that listens on `address`; `None` if the request fails.
    pub async fn call_address(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        key: &str,
    ) -> Option<StatusCode> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", fleet::KEY))
            .header("idempotency-key", key)
            .body(Full::new("swap 7".into()));
        let response = self.client.request(request.expect("a valid request")).await.ok()?;
        Some(response.status())
    }

    /// Starts a streamed completion.
    pub async fn stream(&self, index: usize, prompt: &str, headers: &[(&str, &str)]) -> Reader {
        let body = serde_json::json!({"model": fleet::MODEL, "prompt": prompt, "stream": true});
        let response = self
            .call(index, Method::POST, "/v1/completions", headers, body.to_string())
            .await
            .expect("a response");
        Reader::new(response)
    }
}

/// Reads the whole response and parses its JSON body; `Null` if the body is not JSON.
pub async fn json(response: Response<Incoming>) -> (StatusCode, Value) {
    let status = response.status();
    let body = response.into_body().collect().await.expect("a complete body").to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// One event of a streamed completion.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A generated token, with its resume token and the id of its generation.
    Token { text: String, resume_token: String, generation: String },
    /// The marker at the end of a complete generation.
    Done,
    /// A problem document.
    Problem(Value),
    /// The connection closed before the end of the generation.
    Disconnected,
}

/// Reads the events of a streamed completion.
pub struct Reader {
    is_problem: bool,
    body: Incoming,
    parser: sse::Parser,
}

impl Reader {
    fn new(response: Response<Incoming>) -> Self {
        let is_problem = !response.status().is_success();
        Self { is_problem, body: response.into_body(), parser: sse::Parser::new() }
    }

    /// Reads the next event. An error response is returned as its problem document.
    pub async fn next(&mut self) -> Event {
        if self.is_problem {
            let body = (&mut self.body).collect().await.expect("a complete body").to_bytes();
            return Event::Problem(serde_json::from_slice(&body).expect("a problem document"));
        }
        loop {
            if let Some(event) = self.parser.next_event().expect("valid events") {
                return parse_event(&event);
            }
            let frame =
                tokio::time::timeout(WAIT_TIMEOUT, self.body.frame()).await.expect("a frame");
            match frame {
                Some(Ok(frame)) => self.parser.push(frame.data_ref().map_or(&[], |data| data)),
                Some(Err(_)) | None => return Event::Disconnected,
            }
        }
    }

    /// Reads up to `count` tokens. If the stream ends earlier, its last event is returned as well.
    pub async fn read_tokens(&mut self, count: usize) -> (Vec<Event>, Option<Event>) {
        let mut tokens = Vec::new();
        while tokens.len() < count {
            match self.next().await {
                token @ Event::Token { .. } => tokens.push(token),
                end => return (tokens, Some(end)),
            }
        }
        (tokens, None)
    }

    /// Reads the remaining tokens and the event that ends the stream.
    pub async fn read_to_end(&mut self) -> (Vec<Event>, Event) {
        let (tokens, end) = self.read_tokens(usize::MAX).await;
        (tokens, end.expect("a last event"))
    }
}

fn parse_event(event: &sse::Event) -> Event {
    if &event.data[..] == b"[DONE]" {
        return Event::Done;
    }
    let data: Value = serde_json::from_slice(&event.data).expect("JSON");
    if event.kind.is_some() {
        return Event::Problem(data);
    }
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let resume_token = event.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned());
    Event::Token {
        text: text(&data["choices"][0]["text"]),
        resume_token: resume_token.unwrap_or_default(),
        generation: text(&data["id"]),
    }
}

/// Asserts that `tokens` are consecutive from index `from` on and belong to one generation.
pub fn assert_in_order(tokens: &[Event], from: usize) {
    let mut generations = std::collections::HashSet::new();
    for (index, token) in tokens.iter().enumerate() {
        let Event::Token { text, generation, .. } = token else { panic!("{token:?}") };
        assert_eq!(text.trim(), format!("t{}", from + index));
        generations.insert(generation);
    }
    assert!(generations.len() <= 1, "{generations:?}");
}

/// The resume token of the last of `tokens`.
pub fn last_resume_token(tokens: &[Event]) -> String {
    match tokens.last() {
        Some(Event::Token { resume_token, .. }) => resume_token.clone(),
        other => panic!("no token: {other:?}"),
    }
}
