//! The settings file of an entry host, and the records of the document and of servers.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Addresses of an entry host and of its store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: &'static str,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Port for the other entry hosts.
    pub peer_port: u16,
    /// Address of the store.
    pub store_address: SocketAddr,
}

/// Capacity of an engine, as the document states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Largest number of running generations.
    pub slots: u64,
    /// Memory, in tokens.
    pub memory_tokens: u64,
}

impl Default for Capacity {
    /// The capacity of an engine at the users' smallest sites.
    fn default() -> Self {
        Self { slots: 24, memory_tokens: 34_241 }
    }
}

impl Host {
    /// Returns the text of the settings file.
    ///
    /// ```
    /// let address = ([127, 0, 0, 1], 9000).into();
    /// let host = standin::platform::Host {
    ///     name: "front-a-1",
    ///     caller_address: address,
    ///     readiness_address: address,
    ///     peer_port: 9001,
    ///     store_address: address,
    /// };
    /// assert!(host.settings().contains("addr = \"127.0.0.1:9000\""));
    /// ```
    pub fn settings(&self) -> String {
        let Self { name, caller_address, readiness_address, peer_port, store_address } = self;
        let ip = caller_address.ip();
        format!(
            r#"node_name = "{name}"
zone = "a"
region = "r"
ip = "{ip}"
port_range = [{peer_port},{peer_port}]
[listen]
front = "{caller_address}"
ready = "{readiness_address}"
[limits]
max_fds = 2000
[bounds]
drain_ms = 2000
grace_s = 8
config_max_ms = 2000
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
[platform]
addr = "{store_address}"
"#
        )
    }
}

/// Key of the second organisation of each document.
pub const OTHER_KEY: &str = "k-other";

/// Returns a document with two plain routes to `service`, two stream routes to the engines, and one organisation with
/// these keys beside another one with [`OTHER_KEY`]. Streams of `rebuild` cannot be resumed, streams of `check` can.
pub fn document(version: u64, keys: &[&str], service: &str, capacity: Capacity) -> Value {
    let route = |name: &str, kind: &str, service: &str, max_attempts: u32, can_resume: bool| {
        json!({"name": name, "host": "a.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 30_000, "target_latency_ms": 1_500, "priority": 1, "service": service,
            "max_attempts": max_attempts, "sticky": service == "pool", "can_resume": can_resume,
            "gap_aim_ms": 180})
    };
    let Capacity { slots, memory_tokens } = capacity;
    let engine = json!({"slots": slots, "kv_capacity": memory_tokens, "moves": true, "stride": 4});
    json!({
        "version": version,
        "routes": [
            route("swap", "non_idempotent", service, 1, false),
            route("lookup", "idempotent", service, 2, false),
            route("rebuild", "stream", "pool", 1, false),
            route("check", "stream", "pool", 2, true),
        ],
        "services": [{"name": "pool", "engine": engine}, {"name": service}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "o-1", "api_keys": keys}, {"name": "o-2", "api_keys": [OTHER_KEY]}],
    })
}

/// Returns the record of a server in the store, with this state and version of its software, that started at `born`.
pub fn entry(address: SocketAddr, service: &str, state: &str, build: &str, born: u64) -> Value {
    json!({"service": service, "addr": address, "zone": "a", "version": build, "slots": 24,
        "state": state, "cold_left_ms": 0, "seq": 1, "born": born})
}
