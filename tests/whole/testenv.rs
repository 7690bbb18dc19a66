//! Runs the real binary as entry hosts against stand-ins in this process.

pub mod entry;

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

/// Limit on every wait for a condition; no test asserts how long one took.
const PATIENCE: Duration = Duration::from_secs(60);

const FLEET_KEY: &str = "0707070707070707070707070707070707070707070707070707070707070707";

/// Addresses of this test process: every process has a loopback address of its own.
fn next_address() -> SocketAddr {
    static PORT: AtomicU16 = AtomicU16::new(21_000);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 120, low, 1 + (std::process::id() >> 16) as u8);
    SocketAddr::new(IpAddr::V4(ip), PORT.fetch_add(1, Ordering::Relaxed))
}

/// Entry hosts and the stand-ins around them.
pub struct TestEnv {
    pub fleet: Fleet,
    pub nodes: Vec<Node>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An entry host as a process. Dropping it kills the process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    child: Option<Child>,
}

impl Node {
    fn new(index: usize) -> Self {
        let [callers, operators, peers] = [(); 3].map(|()| next_address());
        Self { name: format!("n-{index}"), callers, operators, peers, child: None }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the node runs").id()
    }

    /// Sends a signal by its name.
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

    /// Waits until the process has ended by itself and returns whether it ended well.
    pub async fn ended(&mut self) -> bool {
        let mut child = self.child.take().expect("the node runs");
        let wait = tokio::task::spawn_blocking(move || child.wait());
        let status = tokio::time::timeout(PATIENCE, wait).await.expect("the node ends");
        status.expect("joined").expect("waited").success()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl TestEnv {
    /// Starts stand-ins and `count` entry hosts, submits the fleet's document and waits until all are ready.
    pub async fn start(count: usize, settings: &fleet::Settings) -> Self {
        let mut env = Self::cold(count, settings);
        let text = env.fleet.document();
        env.fleet.submit(0, &text).expect("the document fits");
        for index in 0..count {
            env.spawn(index);
        }
        for index in 0..count {
            env.ready(index).await;
        }
        env
    }

    /// Starts stand-ins, but no entry host and no document.
    pub fn cold(count: usize, settings: &fleet::Settings) -> Self {
        let fleet = Fleet::start(settings).expect("stand-ins start");
        let nodes = (0..count).map(Node::new).collect();
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        Self { fleet, nodes, client }
    }

    /// Starts the process of an entry host.
    pub fn spawn(&mut self, index: usize) {
        let node = &self.nodes[index];
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmeghead"));
        command.arg("serve").args(["--name", &node.name, "--region", "r", "--domain", "a"]);
        command.args(["--environment", fleet::ENVIRONMENT, "--drain-delay-ms", "300"]);
        let addresses = [
            ("--caller-address", node.callers),
            ("--operator-address", node.operators),
            ("--peer-address", node.peers),
            ("--log-address", self.fleet.log.address()),
            ("--hosts-address", self.fleet.hosts.address()),
        ];
        for (flag, address) in addresses {
            command.args([flag, &address.to_string()]);
        }
        for other in self.nodes.iter().filter(|other| other.name != node.name) {
            command.args(["--seed", &format!("{}={}", other.name, other.peers)]);
        }
        command.env("NUTMEGHEAD_FLEET_KEY", FLEET_KEY).stdin(Stdio::null()).stdout(Stdio::null());
        if std::env::var_os("TESTENV_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        self.nodes[index].child = Some(command.spawn().expect("the node starts"));
    }

    /// Waits until an entry host is ready.
    pub async fn ready(&self, index: usize) {
        let operators = self.nodes[index].operators;
        self.until("the node is ready", async || {
            self.get(operators, "/readyz").await.is_some_and(|(status, _)| status == StatusCode::OK)
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

    /// Reads a page; `None` if nobody answers.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// The value of a counter of an entry host, summed over labels that contain `label`.
    pub async fn counter(&self, index: usize, name: &str, label: &str) -> f64 {
        let page = self.get(self.nodes[index].operators, "/metrics").await.map(|page| page.1);
        let page = page.unwrap_or_default();
        let lines = page.lines().filter(|line| line.starts_with(name) && line.contains(label));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Sends a caller's request to an entry host.
    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Response<Incoming>> {
        let address = self.nodes[index].callers;
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Bearer {}", fleet::KEY));
        }
        for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("a valid request");
        tokio::time::timeout(PATIENCE, self.client.request(request)).await.expect("an answer").ok()
    }

    /// Sends a swap with an idempotency key to whoever listens on `address`.
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
    pub async fn stream(&self, index: usize, prompt: &str, headers: &[(&str, &str)]) -> Tokens {
        let body = serde_json::json!({"model": fleet::MODEL, "prompt": prompt, "stream": true});
        let response = self
            .call(index, Method::POST, "/v1/completions", headers, body.to_string())
            .await
            .expect("the entry host answers");
        Tokens::new(response)
    }
}

/// Reads a whole answer with its problem or JSON body.
pub async fn json(response: Response<Incoming>) -> (StatusCode, Value) {
    let status = response.status();
    let body = response.into_body().collect().await.expect("a whole body").to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// One event of a streamed completion.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A token with its resume token and its generation.
    Token { text: String, resume: String, generation: String },
    /// The end of a whole generation.
    Done,
    /// A problem document.
    Problem(Value),
    /// The connection broke.
    Broken,
}

/// Reads the events of a streamed completion.
pub struct Tokens {
    is_problem: bool,
    body: Incoming,
    parser: sse::Parser,
}

impl Tokens {
    fn new(response: Response<Incoming>) -> Self {
        let is_problem = !response.status().is_success();
        Self { is_problem, body: response.into_body(), parser: sse::Parser::new() }
    }

    /// The next event, or the problem that is the whole answer.
    pub async fn next(&mut self) -> Item {
        if self.is_problem {
            let body = (&mut self.body).collect().await.expect("a whole body").to_bytes();
            return Item::Problem(serde_json::from_slice(&body).expect("a problem document"));
        }
        loop {
            if let Some(event) = self.parser.next_event().expect("events") {
                return item(&event);
            }
            let frame = tokio::time::timeout(PATIENCE, self.body.frame()).await.expect("a frame");
            match frame {
                Some(Ok(frame)) => self.parser.push(frame.data_ref().map_or(&[], |data| data)),
                Some(Err(_)) | None => return Item::Broken,
            }
        }
    }

    /// Reads up to `count` tokens; fewer if the stream ends before, with what ended it.
    pub async fn take(&mut self, count: usize) -> (Vec<Item>, Option<Item>) {
        let mut tokens = Vec::new();
        while tokens.len() < count {
            match self.next().await {
                token @ Item::Token { .. } => tokens.push(token),
                end => return (tokens, Some(end)),
            }
        }
        (tokens, None)
    }

    /// Reads the rest, and returns the tokens and what ended the stream.
    pub async fn rest(&mut self) -> (Vec<Item>, Item) {
        let (tokens, end) = self.take(usize::MAX).await;
        (tokens, end.expect("an end"))
    }
}

fn item(event: &sse::Event) -> Item {
    if &event.data[..] == b"[DONE]" {
        return Item::Done;
    }
    let data: Value = serde_json::from_slice(&event.data).expect("JSON");
    if event.kind.is_some() {
        return Item::Problem(data);
    }
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let resume = event.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned());
    Item::Token {
        text: text(&data["choices"][0]["text"]),
        resume: resume.unwrap_or_default(),
        generation: text(&data["id"]),
    }
}

/// Asserts that `tokens` are those from index `from` on, in order, of one generation.
pub fn assert_in_order(tokens: &[Item], from: usize) {
    let mut generations = std::collections::HashSet::new();
    for (index, token) in tokens.iter().enumerate() {
        let Item::Token { text, generation, .. } = token else { panic!("{token:?}") };
        assert_eq!(text.trim(), format!("t{}", from + index));
        generations.insert(generation);
    }
    assert!(generations.len() <= 1, "{generations:?}");
}

/// The resume token of the last of `tokens`.
pub fn last_resume(tokens: &[Item]) -> String {
    match tokens.last() {
        Some(Item::Token { resume, .. }) => resume.clone(),
        other => panic!("no token: {other:?}"),
    }
}
