//! Servers whose bytes are no final response of HTTP/1.1 (RFC 9112): the attempt is lost, and callers get none of it.

use http::StatusCode;
use nutmeghead::backend;
use standin::platform::Scripted;

use crate::testenv::platform::next_address;
use crate::testenv::scripted::{Answer, call, plain_call, start_scripted, start_standins};

/// Requests beside sound servers, and the most until the other server got one.
const REQUESTS: usize = 8;
const MAX_REQUESTS: usize = 400;

/// Body of the responses.
const BODY: &str = "id: 1\ndata: odd\n\n";

/// A response with this status line and these lines in its head.
fn response(status: &str, lines: &[&[u8]]) -> Vec<u8> {
    let mut response = status.as_bytes().to_vec();
    response.extend_from_slice(b"\r\nnutmeghead-stamp: x-1\r\nnutmeghead-request-id: {id}\r\n");
    for line in lines {
        response.extend_from_slice(line);
        response.extend_from_slice(b"\r\n");
    }
    response.extend_from_slice(format!("\r\n{BODY}").as_bytes());
    response
}

fn length() -> Vec<u8> {
    format!("content-length: {}", BODY.len()).into_bytes()
}

/// Responses whose status line is not that of a final response.
fn odd_statuses() -> Vec<Vec<u8>> {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 100 Continue",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 199 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/3 200 OK",
        "HTTP/0.9 200 OK",
        "http/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "200 OK",
        "HTTP/1.1 200 O\u{1}K",
    ];
    lines.map(|line| response(line, &[&length()])).into()
}

/// Responses with a line in the head that is not a field.
fn odd_fields() -> Vec<Vec<u8>> {
    let lines: [&[u8]; 24] = [
        b"x odd: 1",
        b"x-odd : 1",
        b"x-odd\t: 1",
        b" x-odd: 1",
        b"\tx-odd: 1",
        b"x\x01odd: 1",
        b"x\0odd: 1",
        b"x\x7fodd: 1",
        b"x\x1b: 1",
        b"x\rodd: 1",
        b"x\xffodd: 1",
        b"x(odd): 1",
        b"x\"odd\": 1",
        b"x/odd: 1",
        b": 1",
        b"x-odd",
        b"x-odd: a\0b",
        b"x-odd: a\x01b",
        b"x-odd: a\x7fb",
        b"x-odd: a\rb",
        b"content length: 2",
        b"content-length : 2",
        b"transfer-encoding : chunked",
        b"nutmeghead-not-run : 1",
    ];
    lines.map(|line| response("HTTP/1.1 200 OK", &[line, &length()])).into()
}

/// Responses whose body cannot be told from their head, or is coded in a way that was not asked for.
fn odd_bodies() -> Vec<Vec<u8>> {
    let lines: [&[&[u8]]; 12] = [
        &[b"content-length: +17"],
        &[b"content-length: -1"],
        &[b"content-length: 0x11"],
        &[b"content-length: 1 7"],
        &[b"content-length: "],
        &[b"content-length: 99999999999999999999"],
        &[b"content-length: 17, 2"],
        &[b"content-length: 17", b"content-length: 2"],
        &[b"transfer-encoding: identity"],
        &[b"transfer-encoding: gzip"],
        &[b"transfer-encoding: chunked, gzip"],
        &[b"transfer-encoding: chunked"],
    ];
    let mut responses: Vec<_> = lines.map(|lines| response("HTTP/1.1 200 OK", lines)).into();
    let chunks = format!("\r\n{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
    for coding in ["gzip, chunked", "chunked, chunked", "x, chunked"] {
        let head =
            response("HTTP/1.1 200 OK", &[format!("transfer-encoding: {coding}").as_bytes()]);
        let head = &head[..head.len() - BODY.len() - 2];
        responses.push([head, chunks.as_bytes()].concat());
    }
    responses
}

/// Whether the caller has none of the response, and knows that the request failed.
fn is_lost((status, body, complete): &Answer) -> bool {
    (*status == StatusCode::BAD_GATEWAY || !complete) && !body.contains("odd")
}

/// Whether the response is that of a sound server.
fn is_sound((status, body, complete): &Answer) -> bool {
    *status == StatusCode::OK && body.starts_with("by s-") && *complete
}

/// What callers get of the response `script`, if they get any, or if others do not serve what may be repeated.
async fn faults(script: &[u8]) -> Vec<String> {
    let mut faults = Vec::new();
    let platform = start_standins();
    let server = start_scripted(&platform, script).await;
    for path in ["/swap/1", "/lookup/1", "/rebuild/1", "/check/1"] {
        let before = server.received();
        let answer = call(&platform, path, path).await;
        if !answer.as_ref().is_some_and(is_lost) || server.received() == before {
            faults.push(format!("{path}: {answer:?}"));
        }
    }
    platform.kill();
    let platform = start_standins();
    platform.list_all();
    let server = start_scripted(&platform, script).await;
    for index in 0..MAX_REQUESTS {
        if index >= REQUESTS && server.received() > 0 {
            break;
        }
        let answer = call(&platform, &format!("r-{index}"), "/lookup/1").await;
        if !answer.as_ref().is_some_and(is_sound) {
            faults.push(format!("beside sound servers: {answer:?}"));
        }
    }
    if server.received() == 0 {
        faults.push("not sent".to_owned());
    }
    faults
}

/// What clients of plain services under `serve` get of the response `script`, if they get any.
async fn faults_of_services(script: &[u8]) -> Vec<String> {
    let errors = responses_of_services(script).await;
    let odd = errors.into_iter().filter(|error| *error != backend::Error::Lost);
    odd.map(|error| format!("plain service: {error:?}")).collect()
}

/// The errors that clients of plain services under `serve` get for the response `script`, for calls that may be repeated and
/// others.
async fn responses_of_services(script: &[u8]) -> Vec<backend::Error> {
    let server = Scripted::start(next_address(), script.to_vec()).await.expect("the server starts");
    let call = plain_call();
    let client = backend::Client::new();
    let results = [
        client.call(server.address(), &call).await,
        client.call_once(server.address(), &call, || true).await,
    ];
    results.map(|result| result.expect_err("no response")).into()
}

/// Checks that callers get none of these responses.
async fn check(scripts: Vec<Vec<u8>>) {
    let mut failed = String::new();
    for script in scripts {
        let faults = [faults(&script).await, faults_of_services(&script).await].concat();
        for fault in faults {
            failed += &format!("{:?}: {fault}\n", String::from_utf8_lossy(&script));
        }
    }
    assert!(failed.is_empty(), "{failed}");
}

/// Refusals of another request, which say nothing about the one that was sent.
fn refusals_of_others() -> Vec<Vec<u8>> {
    let statuses = ["503 Full", "429 Busy", "421 Misdirected", "408 Timeout", "400 No id"];
    let refusal = |status| {
        format!(
            "HTTP/1.1 {status}\r\nnutmeghead-not-run: 1\r\nnutmeghead-request-id: another\r\n\
             x-request-id: another\r\ncontent-length: 3\r\n\r\nodd"
        )
    };
    statuses.map(|status| refusal(status).into_bytes()).into()
}

/// Guards against a refusal of an earlier request for which callers are told that this one was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_another_request_is_a_lost_attempt() {
    for script in refusals_of_others() {
        let platform = start_standins();
        let server = start_scripted(&platform, &script).await;
        for (index, path) in
            ["/swap/1", "/lookup/1", "/rebuild/1", "/check/1"].into_iter().enumerate()
        {
            let answer = call(&platform, path, path).await;
            assert!(answer.as_ref().is_some_and(is_lost), "{path}: {answer:?}");
            assert_eq!(server.received(), index + 1, "{path}");
        }
        assert_eq!(responses_of_services(&script).await, [backend::Error::Mismatched; 2]);
    }
}

/// Guards against a request that another host may have run and that is sent to a further one, or told to be not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_declines_another_request_may_have_run_this_one() {
    let script = b"HTTP/1.1 503 No server\r\nnutmeghead-declined: no_server\r\nnutmeghead-request-id: another\r\n\
                   content-length: 3\r\n\r\nodd";
    let platform = start_standins();
    platform.list_all();
    let hosts = [
        Scripted::start(next_address(), script.to_vec()).await,
        Scripted::start(next_address(), script.to_vec()).await,
    ];
    let hosts = hosts.map(|host| host.expect("the host starts"));
    for (name, host) in ["front-z-1", "front-z-2"].into_iter().zip(&hosts) {
        platform.store.put("keyed.hosts", name, host.address().to_string().as_bytes());
    }
    platform
        .engines
        .iter()
        .chain(platform.servers.iter())
        .for_each(standin::platform::Server::stop);
    platform.spawn();
    platform.wait_readiness(true).await;
    for path in ["/swap/1", "/rebuild/1"] {
        for index in 0..MAX_REQUESTS {
            let before: usize = hosts.iter().map(Scripted::received).sum();
            let answer = call(&platform, &format!("{path}-{index}"), path).await;
            let asked = hosts.iter().map(Scripted::received).sum::<usize>() - before;
            // Without an answer that the links are cut, the request is refused at once and no host is asked.
            assert!(asked <= 1, "{path}: {asked} hosts asked");
            if asked == 1 {
                assert!(answer.as_ref().is_some_and(is_lost), "{path}: {answer:?}");
                break;
            }
            assert!(index + 1 < MAX_REQUESTS, "{path}: no host was asked");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_status_line_that_is_not_of_a_final_response_is_a_lost_attempt() {
    check(odd_statuses()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_line_in_the_head_that_is_no_field_is_a_lost_attempt() {
    check(odd_fields()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_the_head_does_not_tell_is_a_lost_attempt() {
    check(odd_bodies()).await;
}
