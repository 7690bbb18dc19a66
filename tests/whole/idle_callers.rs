//! Callers that keep their connections: a host is never ready and takes no new connection at the same time.

use std::time::Duration;

use http::StatusCode;
use standin::platform::Behaviour;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::testenv::platform::{KEY, Platform};

/// File descriptors of a host that are used up soon, and more connections than it can have with them.
const MAX_FDS: u64 = 160;
const CONNECTIONS: usize = 200;

/// Time allowed for something on a connection.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An entry host with few file descriptors.
async fn start() -> Platform {
    let mut platform = Platform::start_standins();
    platform.max_fds = MAX_FDS;
    platform.submit(&[KEY]);
    platform.list_all();
    platform.spawn();
    platform.wait_readiness(true).await;
    platform
}

async fn connect(platform: &Platform) -> TcpStream {
    let connecting = TcpStream::connect(platform.caller_address);
    tokio::time::timeout(TIMEOUT, connecting).await.expect("in time").expect("a connection")
}

/// Sends a call on a connection.
async fn send(socket: &mut TcpStream, id: &str) {
    let request = format!(
        "GET /lookup/1 HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer {KEY}\r\n\
         nutmeghead-request-id: {id}\r\nnutmeghead-deadline-ms: 9000\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.expect("sent");
}

/// Sends a call and reads the response; empty if the connection is closed.
async fn call(socket: &mut TcpStream, id: &str) -> String {
    send(socket, id).await;
    let mut bytes = vec![0; 4_096];
    let read = tokio::time::timeout(TIMEOUT, socket.read(&mut bytes)).await.expect("in time");
    String::from_utf8_lossy(&bytes[..read.unwrap_or(0)]).into_owned()
}

/// Guards against a host that is full of idle connections and takes no new one while it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_full_of_idle_connections_takes_new_ones() {
    let platform = start().await;
    let mut kept = Vec::new();
    for index in 0..CONNECTIONS {
        let mut socket = connect(&platform).await;
        let response = call(&mut socket, &format!("r-{index}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{index}: {response:?}");
        assert!(platform.is_ready().await, "{index}");
        kept.push(socket);
    }
    // The last ones are still open.
    let response = call(kept.last_mut().expect("a connection"), "again").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

/// Guards against a limit of the document that decides nothing.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_closed_by_the_limit_of_the_document() {
    let platform = start().await;
    let mut socket = connect(&platform).await;
    assert!(call(&mut socket, "r-1").await.starts_with("HTTP/1.1 200"));
    platform.submit_changed(|document| document["limits"]["idle_timeout_ms"] = 500.into());
    let mut byte = [0];
    let read = tokio::time::timeout(TIMEOUT, socket.read(&mut byte)).await;
    assert_eq!(read.expect("the connection is closed").expect("at its end"), 0);
}

/// Guards against a host whose connections are all in use, and that is ready and leaves new ones without a response.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_whose_connections_are_all_in_use_is_not_ready_and_refuses() {
    let platform = start().await;
    for server in platform.servers.iter() {
        server.set_behaviour(Behaviour::Silent);
    }
    let mut waiting = Vec::new();
    while platform.is_ready().await && waiting.len() < CONNECTIONS {
        let mut socket = connect(&platform).await;
        send(&mut socket, &format!("r-{}", waiting.len())).await;
        waiting.push(socket);
    }
    assert!(waiting.len() < CONNECTIONS, "the host is ready with {} connections", waiting.len());
    // Descriptors are left for a connection to a server on behalf of each of them.
    let run = async || (0..waiting.len()).all(|index| platform.runs(&format!("r-{index}")) == 1);
    platform.wait_until("the requests run", run).await;
    assert!(platform.log_lines("cannot connect to server").is_empty());
    let response = platform.send("r-new", "/lookup/1", &[]).await.expect("a response");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(platform.runs("r-new"), 0);
    drop(waiting);
    platform.wait_readiness(true).await;
}
