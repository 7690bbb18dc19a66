//! The settings file of an entry host and the document that the operator writes.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Addresses of an entry host and of the store that it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where its readiness is asked for.
    pub readiness: SocketAddr,
    /// The port at which the other hosts reach it.
    pub peer_port: u16,
    /// The store.
    pub store: SocketAddr,
}

/// Sizes of the engines that the document states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Generations that an engine runs at once.
    pub slots: u64,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
}

impl Default for Size {
    /// The engines of the users' smallest sites.
    fn default() -> Self {
        Self { slots: 24, memory_tokens: 34_241 }
    }
}

impl Host {
    /// The text of its settings file.
    ///
    /// ```
    /// let address = ([127, 0, 0, 1], 9000).into();
    /// let host = standin::platform::Host {
    ///     callers: address,
    ///     readiness: address,
    ///     peer_port: 9001,
    ///     store: address,
    /// };
    /// assert!(host.settings().contains("addr = \"127.0.0.1:9000\""));
    /// ```
    pub fn settings(&self) -> String {
        let Self { callers, readiness, peer_port, store } = self;
        let ip = callers.ip();
        format!(
            r#"node_name = "front-a-1"
zone = "a"
region = "r"
ip = "{ip}"
port_range = [{peer_port},{peer_port}]
[listen]
front = "{callers}"
ready = "{readiness}"
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
addr = "{store}"
"#
        )
    }
}

/// A document with two plain routes to `service`, two routes of streams to the engines, and one organisation with
/// these keys. Streams of `rebuild` may not be resumed, those of `check` may.
pub fn document(version: u64, keys: &[&str], service: &str, size: Size) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resume: bool| {
        json!({"name": name, "host": "a.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 30_000, "target_latency_ms": 1_500, "priority": 1, "service": service,
            "max_attempts": attempts, "sticky": service == "pool", "can_resume": resume,
            "gap_aim_ms": 180})
    };
    let engine =
        json!({"slots": size.slots, "kv_capacity": size.memory_tokens, "moves": true, "stride": 4});
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
        "tenants": [{"name": "o-1", "api_keys": keys}],
    })
}

/// The entry of a ready server in the store.
pub fn entry(address: SocketAddr, service: &str, state: &str) -> Value {
    json!({"service": service, "addr": address, "zone": "a", "version": "v1", "slots": 24, "state": state,
        "cold_left_ms": 0, "seq": 1, "born": 1})
}
