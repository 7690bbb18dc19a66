//! Streams that begin at one engine and whose next engine answers with something else than the rest of the stream: callers get
//! the events before, and see that the stream is incomplete.

use std::time::Duration;

use standin::platform::{Behaviour, Scripted};
use tokio::task::{JoinSet, LocalSet};

use crate::testenv::platform::{Platform, next_address, read_stream};

/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(300);

/// Events of a stream.
const EVENTS: u64 = 10;

/// The event that the odd responses are not, and the time before it in which a generation is stopped that moves.
const NEXT_EVENT: u64 = 3;
const STOP_TIME: Duration = Duration::from_secs(3);

/// Deadline of the requests, in milliseconds: the stop, and once more if the generation goes on where it was stopped.
const DEADLINE: [(&str, &str); 1] = [("nutmeghead-deadline-ms", "20000")];

/// Entry hosts at the same time.
const MAX_HOSTS: usize = 8;

/// A response with this status line, these lines in its head and this body, which ends with its connection.
fn response(status: &str, lines: &[&str], body: &str) -> Vec<u8> {
    let mut response = format!("HTTP/1.1 {status}\r\n");
    for line in lines {
        response += &format!("{line}\r\n");
    }
    format!("{response}\r\n{body}").into_bytes()
}

const STAMP: &str = "nutmeghead-stamp: x-1";
const ID: &str = "nutmeghead-request-id: {id}";
const EVENT_STREAM: &str = "content-type: text/event-stream";

/// A successful response whose body has this type, with a length and in chunks.
fn successes(kind: &str, body: &str) -> [Vec<u8>; 2] {
    let length = format!("content-length: {}", body.len());
    let mut chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    if body.is_empty() {
        chunks = "0\r\n\r\n".to_owned();
    }
    [
        response("200 OK", &[STAMP, ID, kind, &length], body),
        response("200 OK", &[STAMP, ID, kind, "transfer-encoding: chunked"], &chunks),
    ]
}

/// Responses that are not the rest of a stream whose last event is the second.
fn odd_responses() -> Vec<Vec<u8>> {
    let text = "odd\n\n";
    let rest = "id: 3\ndata: odd\n\n";
    let mut responses = Vec::new();
    for status in ["000 OK", "100 Continue", "204 No Content", "301 Moved", "404 Not Found"] {
        responses.push(response(status, &[STAMP, ID, "content-length: 5"], text));
    }
    for status in
        ["400 Bad", "421 Misdirected", "429 Busy", "500 Odd", "502 Odd", "503 Odd", "504 Odd"]
    {
        for lines in [&[STAMP, ID][..], &[ID], &[]] {
            responses.push(response(status, lines, text));
        }
        responses.push(response(status, &[ID, "nutmeghead-not-run: 1", "content-length: 5"], text));
    }
    responses.push(response("200 OK", &[ID, EVENT_STREAM], rest));
    responses.push(response("200 OK", &[STAMP, ID, EVENT_STREAM, "content-encoding: gzip"], rest));
    let other = "nutmeghead-request-id: other";
    responses.push(response("200 OK", &[STAMP, other, EVENT_STREAM], rest));
    responses.push(b"odd\n\n".to_vec());
    let head = "HTTP/1.1 500 Internal Server Error\r\nserver: odd\r\n\r\n";
    let bodies = [
        "",
        "odd",
        text,
        head,
        "{\"error\": \"odd\"}\n\n",
        "error: odd\n\n",
        "event: error\ndata: odd\n\n",
        "data: odd\n\n",
        "id: x\ndata: odd\n\n",
        "id: 4\ndata: odd\n\n",
        "id: 9\ndata: odd\n\n",
        "id: 2\ndata: odd\n\n",
        "id: 2\ndata: odd\n\nid: 4\ndata: odd\n\n",
        "retry: 5\n\nodd\n\n",
    ];
    for body in bodies {
        responses.push(response("200 OK", &[STAMP, ID, EVENT_STREAM], body));
        responses.extend(successes(EVENT_STREAM, body));
    }
    for kind in ["application/json", "text/html; charset=utf-8", "text/plain"] {
        responses.extend(successes(&format!("content-type: {kind}"), rest));
        responses.push(response("200 OK", &[STAMP, ID, &format!("content-type: {kind}")], rest));
    }
    responses
}

/// What a caller gets of a stream that begins at an engine and whose rest is asked of a server that answers with `script`.
async fn stream(script: Vec<u8>, path: &'static str) -> (String, bool) {
    let platform = Platform::start_with_engines(1, EVENTS, INTERVAL).await;
    if path.starts_with("/check") {
        platform.engines[0].set_behaviour(Behaviour::TruncatingStreams);
    } else {
        platform.engines[0].set_silence(NEXT_EVENT, STOP_TIME);
    }
    let response = platform.send("r-1", path, &DEADLINE).await.expect("a response");
    let server = Scripted::start(next_address(), script).await.expect("the server starts");
    platform.list_address("x-1", server.address(), "pool");
    let is_known =
        async || platform.log_lines("server added").iter().any(|line| line["server"] == "x-1");
    platform.wait_until("the server is known", is_known).await;
    if path.starts_with("/rebuild") {
        // Between the second event and the next one.
        tokio::time::sleep(4 * INTERVAL).await;
        platform.list(&platform.engines[0], "pool", "draining");
    }
    let stream = read_stream(response).await;
    let is_asked = async || {
        let asked = platform.log_lines("continuation attempt finished");
        asked.iter().any(|line| line["server"] == "x-1")
    };
    platform.wait_until("the server was asked", is_asked).await;
    stream
}

/// The responses for which `is_sound` does not hold, with the streams that callers got.
async fn faults(path: &'static str, is_sound: fn(Option<Vec<u64>>, bool) -> bool) -> String {
    let mut scripts = odd_responses().into_iter();
    let mut running = JoinSet::new();
    let mut faults = String::new();
    loop {
        while running.len() < MAX_HOSTS
            && let Some(script) = scripts.next()
        {
            running.spawn_local(async move { (stream(script.clone(), path).await, script) });
        }
        let Some(ended) = running.join_next().await else { return faults };
        let ((text, complete), script) = ended.expect("joined");
        if !is_sound(events(&text), complete) {
            faults += &format!("{:?}: {text:?} {complete}\n", String::from_utf8_lossy(&script));
        }
    }
}

/// The numbers of the events in `text`, or `None` if there is anything else in it.
fn events(text: &str) -> Option<Vec<u64>> {
    let blocks = text.split_terminator("\n\n");
    blocks
        .map(|block| {
            let id = block.strip_prefix("id: ")?.split('\n').next()?.parse().ok()?;
            (block == format!("id: {id}\ndata: {id} by e-1")).then_some(id)
        })
        .collect()
}

/// Guards against an error of the next engine in the middle of a stream, or one that ends as if it were complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_has_nothing_of_a_response_that_does_not_continue_it() {
    let is_sound =
        |events: Option<Vec<u64>>, complete: bool| events == Some(vec![1, 2]) && !complete;
    assert_eq!(LocalSet::new().run_until(faults("/check/1", is_sound)).await, "");
}

/// Guards against the same when a generation moves, which may also continue at the engine that stopped it.
#[tokio::test(flavor = "multi_thread")]
async fn a_moved_stream_has_nothing_of_a_response_that_does_not_continue_it() {
    let is_sound = |events: Option<Vec<u64>>, complete: bool| {
        let last = events.as_ref().map_or(0, |events| events.len() as u64);
        events == Some((1..=last).collect()) && complete == (last == EVENTS)
    };
    assert_eq!(LocalSet::new().run_until(faults("/rebuild/1", is_sound)).await, "");
}
