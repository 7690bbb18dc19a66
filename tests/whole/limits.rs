//! Invalid input and limits at the caller address.

use std::time::Duration;

use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use standin::fleet;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::testenv::{TestEnv, json};

fn limited() -> fleet::Settings {
    let document_head = "[limits]\nmax_body_bytes = 2000\nrequest_timeout_ms = 300\n".to_owned();
    fleet::Settings { document_head, ..Default::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_bad_request_gets_a_problem_of_its_type() {
    let env = TestEnv::start(1, &limited()).await;
    let large = format!(r#"{{"model":"roster","prompt":"{}"}}"#, "x".repeat(3_000));
    let no_key = [("authorization", "")];
    let unknown_key = [("authorization", "Bearer nobody")];
    let unknown_workload = [("nutmeghead-workload", "unheard-of")];
    let forged_token = [("last-event-id", "forged.1.AAAAAAAAAAAAAAAA")];
    let good = r#"{"model":"roster","prompt":"len=1"}"#;
    type Case<'a> = (Method, &'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);
    let cases: [Case<'_>; 11] = [
        (Method::POST, "/v1/completions", &no_key, good, 401, "unauthorized"),
        (Method::POST, "/v1/completions", &unknown_key, good, 401, "unauthorized"),
        (Method::GET, "/v1/completions", &[], "", 405, "method"),
        (Method::GET, "/nothing", &[], "", 404, "not-found"),
        (Method::POST, "/v1/completions", &[], "{", 400, "malformed"),
        (Method::POST, "/v1/completions", &[], &large, 413, "too-large"),
        (
            Method::POST,
            "/v1/completions",
            &[],
            r#"{"model":"x","prompt":""}"#,
            404,
            "unknown-model",
        ),
        (Method::POST, "/v1/completions", &unknown_workload, good, 400, "unknown-workload"),
        (Method::POST, "/v1/completions", &forged_token, "", 403, "bad-resume-token"),
        (Method::GET, "/services/unheard-of/", &[], "", 404, "unknown-service"),
        (Method::GET, "/v1/outcomes/7", &[], "", 400, "key-required"),
    ];
    for (method, path, headers, body, status, kind) in cases {
        let response = env.call(0, method, path, headers, body.to_owned()).await.unwrap();
        let (actual, problem) = json(response).await;
        assert_eq!(actual.as_u16(), status, "{kind}: {problem}");
        assert_eq!(problem["type"], format!("urn:nutmeghead:problem:{kind}"));
        assert_eq!(problem["outcome"], "not_run");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_arrive_times_out() {
    let env = TestEnv::start(1, &limited()).await;
    let mut socket = TcpStream::connect(env.nodes[0].caller_address).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {}\r\ncontent-length: 50\r\n\r\n{{",
        fleet::KEY
    );

    socket.write_all(head.as_bytes()).await.unwrap();
    let mut response = vec![0; 1_000];
    let length = socket.read(&mut response).await.unwrap();

    assert!(String::from_utf8_lossy(&response[..length]).starts_with("HTTP/1.1 408"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_serves_after_random_bytes() {
    let env = TestEnv::start(1, &limited()).await;
    let mut random = StdRng::seed_from_u64(4);
    let good = b"POST /v1/completions HTTP/1.1\r\nhost: n\r\ncontent-length: 2\r\n\r\n{}";
    for round in 0..200 {
        let mut bytes = good.to_vec();
        for _ in 0..random.random_range(1..6) {
            let at = random.random_range(0..bytes.len());
            bytes[at] = random.random();
        }
        let mut socket = TcpStream::connect(env.nodes[0].caller_address).await.unwrap();
        let _ = socket.write_all(&bytes[..random.random_range(1..=bytes.len())]).await;
        if round % 10 == 0 {
            let _ = socket.shutdown().await;
            let _ = tokio::time::timeout(Duration::from_secs(1), socket.read(&mut [0; 100])).await;
        }
    }

    let body = r#"{"model":"roster","prompt":"len=2"}"#;
    let response = env.call(0, Method::POST, "/v1/completions", &[], body).await.unwrap();
    assert_eq!(json(response).await.0, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_does_not_block_others() {
    let env = TestEnv::start(1, &fleet::Settings { engines: 1, ..Default::default() }).await;
    let mut unread = Vec::new();
    for _ in 0..20 {
        unread.push(env.stream(0, "rebuild len=3000", &[]).await);
    }

    let mut stream = env.stream(0, "rebuild len=100", &[]).await;
    let (tokens, _) = stream.read_to_end().await;

    assert_eq!(tokens.len(), 100);
}
