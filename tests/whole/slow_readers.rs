//! Callers with large requests, and callers that read slowly or not at all, on a host with little memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use standin::platform::{Server, Settings};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::testenv::platform::{Platform, next_address};

/// Memory in the settings, in MB: 17.6 MB of it may be held for callers.
const MEMORY_MB: u64 = 60;

/// Size of a large body, in bytes.
const LARGE: usize = 1 << 20;

/// Callers with large bodies at the same time: several times what fits.
const CALLERS: usize = 80;

/// Events of a stream, of some 90 bytes each: more than fits in all buffers on the way to a caller.
const EVENTS: u64 = 5_000;

/// Time after which a caller that reads nothing is cut off.
const STALL_TIME: Duration = Duration::from_secs(10);

/// An entry host with little memory that accepts large bodies, and engines with long streams.
async fn start() -> Arc<Platform> {
    let mut platform = Platform::start_standins();
    platform.memory_mb = Some(MEMORY_MB);
    let engine = |number: usize| {
        let id = format!("e-{number}-{}", "x".repeat(50));
        let interval = Duration::from_micros(1);
        let settings = Settings { address: next_address(), id, events: EVENTS, interval };
        Server::start(settings).expect("the server starts")
    };
    platform.engines = Arc::new((1..=2).map(engine).collect());
    platform.submit_changed(|document| {
        document["limits"]["max_body_bytes"] = (4 << 20).into();
        document["routes"][2]["timeout_ms"] = 60_000.into();
    });
    platform.list_all();
    platform.spawn();
    platform.wait_readiness(true).await;
    Arc::new(platform)
}

fn large_body() -> &'static str {
    Box::leak("x".repeat(LARGE).into_boxed_str())
}

/// Sends small calls one after the other and asserts that all are served.
async fn assert_small_calls_are_served(platform: &Platform, count: usize) {
    for index in 0..count {
        let (status, _) =
            platform.call(&format!("small-{index}"), "/lookup/1").await.expect("a response");
        assert_eq!(status, StatusCode::OK, "{index}");
    }
}

/// Guards against a host that is killed for its memory because of the bodies that it keeps for retries, and against small
/// calls that are refused with the large ones.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_stay_within_memory_and_small_calls_are_served() {
    let platform = start().await;
    platform.servers.iter().for_each(|server| server.set_work_time(Duration::from_millis(700)));
    let body = large_body();
    let mut calls = JoinSet::new();
    for index in 0..CALLERS {
        let platform = Arc::clone(&platform);
        calls.spawn(async move {
            let id = format!("large-{index}");
            let response = platform.send_body(&id, "/lookup/1", &[], body).await;
            let response = response.expect("a response");
            let retry = response.headers().contains_key(RETRY_AFTER);
            (response.status(), retry, platform.runs(&id))
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_small_calls_are_served(&platform, 5).await;
    let outcomes = calls.join_all().await;

    let served = outcomes.iter().filter(|(status, ..)| *status == StatusCode::OK).count();
    let refused =
        outcomes.iter().filter(|outcome| **outcome == (StatusCode::SERVICE_UNAVAILABLE, true, 0));
    assert_eq!(served + refused.count(), CALLERS, "{outcomes:?}");
    assert!((5..CALLERS / 2).contains(&served), "{served}");
    assert!(platform.peak_memory_mb() < MEMORY_MB, "{}", platform.peak_memory_mb());
    assert_eq!(platform.log_lines("memory for requests is used up").len(), 1);
    assert_eq!(
        platform.send_body("later", "/lookup/1", &[], body).await.expect("a response").status(),
        StatusCode::OK
    );
    assert_eq!(platform.log_lines("memory for requests is free again").len(), 1);
}

/// Guards against bodies that are begun, all at the same time, and never completed.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_stay_within_memory_and_small_calls_are_served() {
    for length in [format!("content-length: {LARGE}"), "transfer-encoding: chunked".to_owned()] {
        let platform = start().await;
        let mut callers = Vec::new();
        for index in 0..CALLERS {
            let mut caller =
                TcpStream::connect(platform.caller_address).await.expect("a connection");
            let head = format!(
                "POST /lookup/1 HTTP/1.1\r\nhost: a.example\r\nnutmeghead-request-id: u-{index}\r\n\
                 authorization: Bearer k-1\r\n{length}\r\n\r\n{:x}\r\n",
                LARGE
            );
            // A refused caller may be disconnected.
            let _ = caller.write_all(head.as_bytes()).await;
            let _ = tokio::time::timeout(
                Duration::from_millis(20),
                caller.write_all(&large_body().as_bytes()[..LARGE / 2]),
            )
            .await;
            callers.push(caller);
        }
        assert_small_calls_are_served(&platform, 20).await;
        assert!(platform.peak_memory_mb() < MEMORY_MB, "{length}: {}", platform.peak_memory_mb());
    }
}

/// Starts a stream for a caller with a small buffer.
async fn open(platform: &Platform, id: &str) -> Response<Incoming> {
    let response = send(platform, id, "1000,400").await;
    assert_eq!(response.status(), StatusCode::OK);
    response
}

/// Sends a prompt of these tokens on a connection with a small buffer.
async fn send(platform: &Platform, id: &str, tokens: &str) -> Response<Incoming> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("a small buffer");
    let stream = socket.connect(platform.caller_address).await.expect("a connection");
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(connection);
    let request = Request::post("/rebuild/1")
        .header("host", "a.example")
        .header("nutmeghead-request-id", id)
        .header("authorization", "Bearer k-1")
        .header("nutmeghead-deadline-ms", "60000")
        .header("nutmeghead-tokens", tokens)
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("a valid request");
    sender.send_request(request).await.expect("a response")
}

/// Reads a stream with a pause after each part, and returns how many of its events arrived in their order and whether it was
/// complete.
async fn read(response: Response<Incoming>, pause: Duration) -> (u64, bool) {
    let mut body = response.into_body();
    let mut text = Vec::new();
    let complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => break false,
            None => break true,
        }
        tokio::time::sleep(pause).await;
    };
    let text = String::from_utf8(text).expect("text");
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let in_order = ids.zip(1_u64..).take_while(|(id, expected)| **id == expected.to_string());
    (in_order.count() as u64, complete)
}

fn outcome(platform: &Platform, id: &str) -> Option<String> {
    let lines = platform.log_lines("stream ended");
    let line = lines.iter().find(|line| line["request"] == id)?;
    Some(line["outcome"].as_str()?.to_owned())
}

/// Guards against readers that read nothing and keep engines and memory from others, and against slow but healthy streams
/// that are cut off.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_readers_cost_others_nothing_and_slow_ones_get_their_streams() {
    let platform = start().await;
    let all = (EVENTS, true);
    let mut stalled = Vec::new();
    for index in 0..10 {
        stalled.push(open(&platform, &format!("stalled-{index}")).await);
    }
    let slow = open(&platform, "slow").await;
    let slow = tokio::spawn(async move {
        // Longer than the 8 s after which peers count as gone otherwise, shorter than the time of a stalled caller.
        tokio::time::sleep(STALL_TIME - Duration::from_millis(800)).await;
        read(slow, Duration::from_millis(1)).await
    });

    let fast = open(&platform, "fast").await;
    assert_eq!(read(fast, Duration::ZERO).await, all);
    assert_small_calls_are_served(&platform, 20).await;
    for index in 0..10 {
        let id = format!("stalled-{index}");
        platform
            .wait_until("the stalled caller is cut off", async || outcome(&platform, &id).is_some())
            .await;
        assert_eq!(outcome(&platform, &id).as_deref(), Some("caller_stalled"));
    }
    let slow = slow.await.expect("joined");
    assert_eq!(slow, all, "{:?}", platform.log_of("slow"));
    for response in stalled {
        assert!(!read(response, Duration::ZERO).await.1);
    }
    assert!(platform.peak_memory_mb() < MEMORY_MB, "{}", platform.peak_memory_mb());
}

/// Guards against prompts that crash engines, or that wait for an engine that never has room for them.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_larger_than_the_engines_is_refused_at_once() {
    let platform = start().await;
    for (tokens, status) in
        [("40000,10", StatusCode::PAYLOAD_TOO_LARGE), ("9000,10", StatusCode::OK)]
    {
        assert_eq!(send(&platform, tokens, tokens).await.status(), status, "{tokens}");
    }
    assert_eq!(platform.runs("40000,10"), 0);
}
