//! Planned stops under load.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::testenv::platform::Platform;

/// Callers that send one request after another.
const CALLERS: usize = 24;

/// Time between a response and the next request of a caller.
const PAUSE: Duration = Duration::from_millis(5);

/// What became of the requests of one caller.
#[derive(Debug, Default)]
struct Outcomes {
    served: u32,
    refused: u32,
    /// Requests that were sent but got no response.
    cut: u32,
}

/// Sends calls until the host refuses connections, on a kept connection where the host allows it.
async fn call_until_refused(address: SocketAddr, caller: usize) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut kept = None;
    for number in 0.. {
        tokio::time::sleep(PAUSE).await;
        let mut socket = match kept.take() {
            Some(socket) if is_open(&socket) => socket,
            _ => match TcpStream::connect(address).await {
                Ok(socket) => socket,
                Err(_) => break,
            },
        };
        let Some(response) = call(&mut socket, &format!("c-{caller}-{number}")).await else {
            outcomes.cut += 1;
            continue;
        };
        match response.starts_with("HTTP/1.1 200") {
            true => outcomes.served += 1,
            false => outcomes.refused += 1,
        }
        kept = (!response.contains("connection: close")).then_some(socket);
    }
    outcomes
}

/// Whether the host has not closed this connection.
fn is_open(socket: &TcpStream) -> bool {
    let read = socket.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sends one call and returns the head of its response and what arrived of its body; `None` if there is none.
async fn call(socket: &mut TcpStream, id: &str) -> Option<String> {
    let request = format!(
        "POST /lookup/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n\
         authorization: Bearer k-1\r\nnutmeghead-request-id: {id}\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    while !is_complete(&response) {
        let mut bytes = [0; 4_096];
        let length = socket.read(&mut bytes).await.ok().filter(|length| *length > 0)?;
        response.extend_from_slice(&bytes[..length]);
    }
    Some(String::from_utf8_lossy(&response).into_owned())
}

/// Whether `response` has all of its body.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).is_some_and(|length: usize| body.len() >= length)
}

/// Guards against requests that are cut off because they arrive while the listener and idle connections are closed.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_off_in_a_stop_under_load() {
    let platform = Platform::start().await;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_until_refused(platform.caller_address, caller));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    platform.signal("TERM");
    let outcomes = callers.join_all().await;
    let sum = |count: fn(&Outcomes) -> u32| outcomes.iter().map(count).sum::<u32>();
    assert_eq!(sum(|outcomes| outcomes.cut), 0, "{outcomes:?}");
    assert!(sum(|outcomes| outcomes.served) > 0 && sum(|outcomes| outcomes.refused) > 0);
    assert!(platform.exited_successfully().await);
}

/// Guards against generations that are accepted during a stop and then cut off when the host ends.
#[tokio::test(flavor = "multi_thread")]
async fn generations_during_a_stop_are_refused_as_not_run() {
    let platform = Platform::start().await;
    platform.signal("TERM");
    platform.wait_readiness(false).await;
    let refused = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    assert_eq!(refused.status(), http::StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(refused.headers()["connection"], "close");
    assert!(platform.exited_successfully().await);
    assert_eq!(platform.runs("r-1"), 0);
}

/// A deadline beyond the time that a host has to stop, 8 s.
const LONG: [(&str, &str); 1] = [("nutmeghead-deadline-ms", "30000")];

/// Guards against requests that are passed on late in a stop and then cut off when the host ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_complete_only_late_in_a_stop_is_refused_as_not_run() {
    for path in ["/swap/1", "/lookup/1", "/check/1"] {
        let platform = Platform::start().await;
        let mut socket = TcpStream::connect(platform.caller_address).await.expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\n\
             authorization: Bearer k-1\r\nnutmeghead-tokens: 1000,400\r\n\
             nutmeghead-request-id: r-1\r\n\r\nbo"
        );
        socket.write_all(head.as_bytes()).await.expect("the head is sent");
        tokio::time::sleep(PAUSE).await;
        platform.signal("TERM");
        // The host accepts no requests any more once it has closed its listener.
        let closed = async || TcpStream::connect(platform.caller_address).await.is_err();
        platform.wait_until("the listener is closed", closed).await;
        socket.write_all(b"dy").await.expect("the body is sent");

        let mut response = String::new();
        let _ = socket.read_to_string(&mut response).await;

        assert!(response.starts_with("HTTP/1.1 503"), "{path}: {response}");
        assert!(response.contains("retry-after"), "{path}: {response}");
        assert!(platform.exited_successfully().await);
        assert_eq!(platform.runs("r-1"), 0, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_run_once_and_may_outlast_a_stop_is_refused_as_not_run() {
    let platform = Platform::start().await;
    platform.signal("TERM");
    platform.wait_readiness(false).await;

    let refused = platform.send("r-1", "/swap/1", &LONG).await.expect("a response");
    let served = platform.call("r-2", "/swap/1").await.expect("a response");

    assert_eq!(refused.status(), http::StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!((platform.runs("r-1"), served.0), (0, http::StatusCode::OK));
}

/// Guards against callers that learn from a broken connection only that their request has failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_runs_at_the_end_of_a_stop_gets_a_response() {
    let platform = Platform::start().await;
    for server in platform.servers.iter() {
        server.set_work_time(Duration::from_secs(30));
    }
    let call = |id, path| platform.send(id, path, &LONG);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        platform.signal("TERM");
        platform.exited_successfully().await
    };

    let (swap, lookup, exited) =
        tokio::join!(call("r-1", "/swap/1"), call("r-2", "/lookup/1"), stop);

    let failures = [http::StatusCode::BAD_GATEWAY, http::StatusCode::GATEWAY_TIMEOUT];
    assert!(failures.contains(&swap.expect("a response").status()));
    assert!(failures.contains(&lookup.expect("a response").status()));
    assert!(exited);
}
