//! Responses that break off in their head, at any byte: no caller gets a response that looks complete.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use nutmeghead::backend;
use standin::platform::{Behaviour, Scripted};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::testenv::platform::next_address;
use crate::testenv::scripted::{call, plain_call, start_scripted, start_standins};

const PATHS: [&str; 4] = ["/swap/1", "/lookup/1", "/rebuild/1", "/check/1"];

/// Sound responses, each framed in another way, and one with interim responses before it.
fn responses() -> Vec<Response> {
    let event = "id: 1\ndata: broken\n\n";
    let framings = [
        format!("content-length: {}\r\n\r\n{event}", event.len()),
        format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n", event.len()),
        format!("connection: close\r\n\r\n{event}"),
    ];
    let head = "HTTP/1.1 200 OK\r\nnutmeghead-stamp: x-1\r\nnutmeghead-request-id: {id}\r\n\
                content-type: text/event-stream\r\n";
    let mut responses: Vec<_> =
        framings.clone().map(|framing| Response::new("", head, &framing)).into();
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
    responses.push(Response::new(interim, head, &framings[0]));
    responses
}

/// The bytes of a response.
struct Response {
    bytes: Vec<u8>,
    /// Length of its head, with interim responses.
    head: usize,
}

impl Response {
    /// A response whose last fields and body are `rest`.
    fn new(interim: &str, head: &str, rest: &str) -> Self {
        let fields = rest.find("\r\n\r\n").expect("the end of the head") + 4;
        let bytes = format!("{interim}{head}{rest}").into_bytes();
        Self { bytes, head: interim.len() + head.len() + fields }
    }

    /// All beginnings of its head, the empty one included.
    fn broken(&self) -> impl Iterator<Item = &[u8]> {
        (0..self.head).map(|length| &self.bytes[..length])
    }
}

/// Guards against a response with success and an empty or short body in place of one that broke off in its head.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_breaks_off_in_its_head_is_a_lost_attempt() {
    let platform = start_standins();
    let server = start_scripted(&platform, b"").await;
    for response in responses() {
        for script in response.broken() {
            server.set_script(script.to_vec());
            for path in PATHS {
                let before = server.received();
                let (status, text, _) = call(&platform, "r-1", path).await.expect("a response");
                let shown = String::from_utf8_lossy(script);
                assert_eq!(status, StatusCode::BAD_GATEWAY, "{path}: {text:?} for {shown:?}");
                assert!(server.received() > before, "{path}: not sent");
            }
        }
        // The whole response is used.
        server.set_script(response.bytes);
        for path in PATHS {
            let answer = call(&platform, "r-1", path).await.expect("a response");
            assert_eq!(answer.0, StatusCode::OK, "{path}");
        }
    }
}

/// Guards against a stream that ends as complete because the response that was to continue it broke off in its head.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_continuation_breaks_off_in_its_head_is_incomplete() {
    let platform = start_standins();
    let server = Scripted::start(next_address(), Vec::new()).await.expect("the server starts");
    platform.list_all();
    platform.list_address("x-1", server.address(), "pool");
    platform.engines.iter().for_each(|e| e.set_behaviour(Behaviour::TruncatingStreams));
    platform.spawn();
    platform.wait_readiness(true).await;
    let mut streams = 0;
    for response in responses() {
        for (index, script) in response.broken().enumerate().step_by(3) {
            server.set_script(script.to_vec());
            let id = format!("r-{streams}-{index}");
            let (status, text, complete) =
                call(&platform, &id, "/check/1").await.expect("a response");
            let shown = String::from_utf8_lossy(script);
            assert!(!text.contains("broken"), "{text:?} for {shown:?}");
            assert!(status == StatusCode::BAD_GATEWAY || !complete, "{text:?} for {shown:?}");
            streams += usize::from(status == StatusCode::OK);
        }
    }
    assert!(streams > 0 && server.received() > 0, "no stream was to continue");
}

/// Guards against a response that broke off in the head of another host's, which had sent it on.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_of_another_host_that_breaks_off_in_its_head_is_lost() {
    let platform = start_standins();
    platform.list_all();
    let host = Scripted::start(next_address(), Vec::new()).await.expect("the host starts");
    platform.store.put("keyed.hosts", "front-z-1", host.address().to_string().as_bytes());
    let servers = platform.engines.iter().chain(platform.servers.iter());
    servers.for_each(standin::platform::Server::stop);
    platform.spawn();
    platform.wait_readiness(true).await;
    for response in responses() {
        for script in response.broken().step_by(5) {
            host.set_script(script.to_vec());
            for path in PATHS {
                let before = host.received();
                let (status, text, _) = call(&platform, "r-1", path).await.expect("a response");
                let expected = match host.received() > before {
                    true => StatusCode::BAD_GATEWAY,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                assert_eq!(status, expected, "{path}: {text:?}");
            }
        }
    }
    assert!(host.received() > 0, "no request was sent on");
}

/// Guards against the same for calls of plain services under `serve`.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_whose_response_breaks_off_in_its_head_is_lost() {
    let server = Scripted::start(next_address(), Vec::new()).await.expect("the server starts");
    let call = plain_call();
    let client = backend::Client::new();
    for response in responses() {
        for script in response.broken() {
            server.set_script(script.to_vec());
            for result in [
                client.call(server.address(), &call).await,
                client.call_once(server.address(), &call, || true).await,
            ] {
                let shown = String::from_utf8_lossy(script);
                assert!(matches!(result, Err(backend::Error::Lost)), "{result:?} for {shown:?}");
            }
        }
    }
}

/// Guards against a response that a caller's next request on the same connection gets a part of.
#[tokio::test(flavor = "multi_thread")]
async fn a_kept_connection_of_a_caller_goes_on_after_a_response_that_broke_off() {
    let platform = start_standins();
    let server = start_scripted(&platform, b"").await;
    for response in responses() {
        for path in PATHS {
            let socket = TcpStream::connect(platform.caller_address).await.expect("a connection");
            let (mut sender, driver) = http1::handshake(TokioIo::new(socket)).await.expect("HTTP");
            let driver = tokio::spawn(driver);
            let broken = response.broken().step_by(9).chain([&response.bytes[..]]);
            for script in broken {
                server.set_script(script.to_vec());
                let request = Request::post(path)
                    .header("host", "a.example")
                    .header("authorization", "Bearer k-1")
                    .header("nutmeghead-request-id", "r-1")
                    .header("nutmeghead-tokens", "1000,400")
                    .body(Full::new(Bytes::from_static(b"body")))
                    .expect("a valid request");
                sender.ready().await.expect("the connection is kept");
                let answer = sender.send_request(request).await.expect("a response");
                let is_whole = script.len() == response.bytes.len();
                let expected = if is_whole { StatusCode::OK } else { StatusCode::BAD_GATEWAY };
                assert_eq!(answer.status(), expected, "{path}");
                let body = answer.into_body().collect().await.expect("a whole body").to_bytes();
                assert_eq!(body.starts_with(b"id: 1"), is_whole, "{path}: {body:?}");
            }
            driver.abort();
        }
    }
}

/// Guards against a request that is run although its caller broke it off, in its head or body.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_breaks_off_is_not_run() {
    let platform = start_standins();
    let server = start_scripted(&platform, b"").await;
    let request = "POST /lookup/1 HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer k-1\r\n\
                   nutmeghead-request-id: r-1\r\ncontent-length: 4\r\n\r\nbody";
    for kept in [false, true] {
        for length in 0..request.len() {
            let mut socket = TcpStream::connect(platform.caller_address).await.expect("connected");
            if kept {
                socket.write_all(request.as_bytes()).await.expect("sent");
                let read = socket.read(&mut [0; 4_096]).await.expect("a response");
                assert!(read > 0);
            }
            let before = server.received();
            socket.write_all(&request.as_bytes()[..length]).await.expect("sent");
            socket.shutdown().await.expect("closed");
            let mut rest = Vec::new();
            let _ = socket.read_to_end(&mut rest).await;
            assert!(!rest.starts_with(b"HTTP/1.1 200"), "{length}");
            assert_eq!(server.received(), before, "kept: {kept}, {length} bytes");
        }
    }
}
