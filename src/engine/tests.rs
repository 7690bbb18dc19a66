use http::{Response, header};
use http_body_util::Full;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::*;
use crate::api::listener::{self, Connections, Limits, Responder};

/// An engine that answers all requests with this status, id of a request and body.
#[derive(Clone)]
struct Refusing {
    status: StatusCode,
    /// `x-request-id` of the responses; that of the request if `None`, and none at all if empty.
    id: Option<&'static str>,
    body: &'static str,
}

impl Responder for Refusing {
    type Body = Full<Bytes>;

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body.into()));
        *response.status_mut() = self.status;
        let own = request.headers().get("x-request-id").cloned();
        let id = self.id.map(|id| id.parse().expect("a header value")).or(own);
        if let Some(id) = id.filter(|id| !id.is_empty()) {
            response.headers_mut().insert("x-request-id", id);
        }
        response.headers_mut().insert(header::SERVER, "engine".parse().expect("a header value"));
        response
    }
}

/// What the client makes of the response of `engine` to two requests on one connection.
async fn start(engine: Refusing) -> [Error; 2] {
    let listener = listener::bind(([127, 0, 0, 1], 0).into()).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stop = watch::Sender::new(false);
    let connections = Connections::new(10);
    let serving =
        listener::serve(listener, engine, Limits::default(), connections, stop.subscribe());
    let task = tokio::spawn(serving);
    let client = Client::new();
    let send = async || client.start(address, Uuid::new_v4(), Bytes::new()).await;
    let errors = [send().await, send().await].map(|result| result.expect_err("no stream"));
    task.abort();
    errors
}

/// Guards against a refusal of an earlier request on the same connection, or of none in particular, that is taken for one of
/// this request, which then counts as not run.
#[tokio::test]
async fn a_refusal_of_another_request_does_not_show_that_this_one_did_not_run() {
    let refusals = [
        (StatusCode::SERVICE_UNAVAILABLE, r#"{"error":{"type":"busy"}}"#),
        (StatusCode::SERVICE_UNAVAILABLE, r#"{"error":{"type":"leaving"}}"#),
        (StatusCode::BAD_REQUEST, "{}"),
        (StatusCode::TOO_MANY_REQUESTS, "{}"),
        (StatusCode::NOT_FOUND, "{}"),
    ];
    for (status, body) in refusals {
        for id in ["another", ""] {
            for error in start(Refusing { status, id: Some(id), body }).await {
                assert!(matches!(error, Error::Lost), "{status} {body} {id:?}: {error:?}");
            }
        }
    }
}

/// Guards against refusals that are no longer understood.
#[tokio::test]
async fn a_refusal_of_this_request_shows_that_it_did_not_run() {
    let body = r#"{"error":{"type":"busy"}}"#;
    let engine = Refusing { status: StatusCode::SERVICE_UNAVAILABLE, id: None, body };
    for error in start(engine).await {
        assert!(matches!(error, Error::Busy), "{error:?}");
    }
}

/// Length of the connection preface and of a frame's head (RFC 9113).
const PREFACE_BYTES: usize = 24;
const FRAME_HEAD_BYTES: usize = 9;

/// A frame of the first stream of a connection, or of the connection itself.
fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u8::try_from(payload.len()).expect("a short payload");
    [&[0, 0, length, kind, flags, 0, 0, 0, stream], payload].concat()
}

/// Types, flags and error codes of frames (RFC 9113).
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// A field with a name that is not indexed (RFC 7541).
fn field(name: &str, value: &str) -> Vec<u8> {
    let length = |text: &str| u8::try_from(text.len()).expect("a short text");
    [&[0, length(name)], name.as_bytes(), &[length(value)], value.as_bytes()].concat()
}

/// The head of a response on `stream` with these flags and this status, and the headers of a new generation.
fn head_frame(flags: u8, stream: u8, status: &str) -> Vec<u8> {
    let id = Uuid::new_v4().to_string();
    let block = [field(":status", status), field("x-generation-id", &id)].concat();
    frame(HEADERS, flags, stream, &block)
}

/// Begins a connection.
async fn greet(socket: &mut TcpStream) {
    socket.read_exact(&mut [0; PREFACE_BYTES]).await.expect("the preface");
    let settings = [frame(SETTINGS, 0, 0, &[]), frame(SETTINGS, ACK, 0, &[])].concat();
    socket.write_all(&settings).await.expect("sent");
}

/// The stream of the next request; `None` at the end of the connection.
async fn next_request(socket: &mut TcpStream) -> Option<u8> {
    let mut head = [0; FRAME_HEAD_BYTES];
    loop {
        socket.read_exact(&mut head).await.ok()?;
        let length = usize::from(head[1]) << 8 | usize::from(head[2]);
        socket.read_exact(&mut vec![0; length]).await.expect("a payload");
        if head[3] == HEADERS {
            return Some(head[8]);
        }
    }
}

/// Answers the requests on a connection with this status and the headers of a new generation.
async fn answer(mut socket: TcpStream, status: &str) {
    greet(&mut socket).await;
    while let Some(stream) = next_request(&mut socket).await {
        let response = head_frame(END_HEADERS, stream, status);
        socket.write_all(&response).await.expect("sent");
    }
}

/// What a client makes of a response with this status.
async fn start_with_status(status: &'static str) -> Result<Stream, Error> {
    let listener = listener::bind(([127, 0, 0, 1], 0).into()).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer(socket, status));
        }
    });
    let result = Client::new().start(address, Uuid::new_v4(), Bytes::from_static(b"{}")).await;
    task.abort();
    result
}

/// Guards against a status that no final response has and that callers get as an answer.
#[tokio::test]
async fn a_status_that_is_not_of_a_final_response_is_a_lost_call() {
    assert!(start_with_status("200").await.is_ok());
    for status in ["000", "001", "099", "600", "999", "20", "2000", "", "2x0"] {
        let result = start_with_status(status).await;
        assert!(matches!(result, Err(Error::Lost | Error::Silent)), "{status}: {result:?}");
    }
}

/// Answers `whole` requests on each connection, writes what `broken` returns for the next one and closes.
async fn serve_broken(
    listener: tokio::net::TcpListener,
    whole: usize,
    broken: impl Fn(u8) -> Vec<u8>,
) {
    while let Ok((mut socket, _)) = listener.accept().await {
        greet(&mut socket).await;
        let mut requests = 0;
        while let Some(stream) = next_request(&mut socket).await {
            requests += 1;
            if requests > whole {
                socket.write_all(&broken(stream)).await.expect("sent");
                let _ = socket.shutdown().await;
                break;
            }
            let response = head_frame(END_HEADERS | END_STREAM, stream, "200");
            socket.write_all(&response).await.expect("sent");
        }
        // A close with unread bytes would discard the response.
        while next_request(&mut socket).await.is_some() {}
    }
}

/// What a client makes of the responses to `whole + 1` requests, of which the last one breaks off.
async fn start_broken(
    whole: usize,
    broken: impl Fn(u8) -> Vec<u8> + Send + Sync + 'static,
) -> Result<Stream, Error> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let task = tokio::spawn(serve_broken(listener, whole, broken));
    let client = Client::new();
    let start = async || client.start(address, Uuid::new_v4(), Bytes::from_static(b"{}")).await;
    for _ in 0..whole {
        start().await.expect("a whole response");
    }
    let result = start().await;
    task.abort();
    result
}

/// Guards against a response with success in place of one that broke off in its head, on new and kept connections.
#[tokio::test]
async fn a_response_that_breaks_off_in_its_head_is_a_lost_call() {
    let head_bytes = head_frame(END_HEADERS, 1, "200").len();
    for whole in [0, 1, 3] {
        for length in 0..head_bytes {
            let broken = move |stream| head_frame(END_HEADERS, stream, "200")[..length].to_vec();
            let result = start_broken(whole, broken).await;
            assert!(matches!(result, Err(Error::Lost)), "{whole} {length}: {result:?}");
        }
        for flags in [0, END_STREAM] {
            let result = start_broken(whole, move |stream| head_frame(flags, stream, "200")).await;
            assert!(matches!(result, Err(Error::Lost)), "{whole}, flags {flags}: {result:?}");
        }
        for code in 0..14 {
            let broken = move |stream| frame(RST_STREAM, 0, stream, &[0, 0, 0, code]);
            let result = start_broken(whole, broken).await;
            assert!(matches!(result, Err(Error::Lost)), "{whole}, reset {code}: {result:?}");
            let broken = move |stream| frame(GOAWAY, 0, 0, &[0, 0, 0, stream, 0, 0, 0, code]);
            let result = start_broken(whole, broken).await;
            assert!(matches!(result, Err(Error::Lost)), "{whole}, end {code}: {result:?}");
        }
    }
}
