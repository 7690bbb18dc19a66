//! Tests of the log client against a server with fixed responses.

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Creates a client of a server that sends `response` to each request, or never responds if it is `None`.
async fn client(response: Option<Vec<u8>>) -> Http {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = socket.read(&mut request).await;
            match &response {
                Some(response) => socket.write_all(response).await.unwrap_or(()),
                None => std::future::pending().await,
            }
        }
    });
    Http::new(address).with_timeout(Duration::from_millis(50))
}

fn http(status: &str, body: &str) -> Option<Vec<u8>> {
    let length = body.len();
    Some(format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes())
}

#[tokio::test]
async fn append_errors_distinguish_refused_lost_and_malformed() {
    let cases = [
        (http("201 Created", r#"{"offset":17}"#), Ok(17)),
        (http("429 Too Many Requests", ""), Err(Error::Refused(429))),
        (http("503 Service Unavailable", ""), Err(Error::Refused(503))),
        (http("500 Internal Server Error", ""), Err(Error::Lost)),
        (http("201 Created", r#"{"offset":-1}"#), Err(Error::Malformed)),
        (http("302 Found", ""), Err(Error::Malformed)),
        (
            Some(b"HTTP/1.1 201 Created\r\ncontent-length: 13\r\n\r\n{\"off".to_vec()),
            Err(Error::Lost),
        ),
        (Some(Vec::new()), Err(Error::Lost)),
        (None, Err(Error::Lost)),
    ];
    for (response, expected) in cases {
        let log = client(response.clone()).await;

        let result = log.append("config.trial", Bytes::from_static(b"x")).await;

        assert_eq!(result, expected, "{response:?}");
    }
}

#[tokio::test]
async fn refused_connection_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let log = Http::new(listener.local_addr().unwrap());
    drop(listener);

    let result = log.append("leases", Bytes::new()).await;

    assert_eq!(result, Err(Error::Unreachable));
}

#[tokio::test]
async fn read_checks_offsets_and_bodies() {
    let record = |offset: u64| format!(r#"{{"offset":{offset},"time_ms":5,"body":"aGk="}}"#);
    let response = |records: &str, next: u64| {
        http("200 OK", &format!(r#"{{"records":[{records}],"next":{next},"first":3}}"#))
    };
    let valid = Batch {
        records: vec![Record { offset: 4, time_ms: 5, body: Bytes::from_static(b"hi") }],
        next: 5,
        first: 3,
    };
    let cases = [
        (response(&record(4), 5), Ok(valid)),
        (response("", 4), Ok(Batch { records: vec![], next: 4, first: 3 })),
        (response(&record(3), 4), Err(Error::Malformed)),
        (response(&record(4), 4), Err(Error::Malformed)),
        (response(&format!("{0},{0}", record(4)), 5), Err(Error::Malformed)),
        (response(&record(u64::MAX), u64::MAX), Err(Error::Malformed)),
        (response(&record(4).replace("aGk=", "?"), 5), Err(Error::Malformed)),
        (http("200 OK", &" ".repeat(17 << 20)), Err(Error::Malformed)),
    ];
    for (response, expected) in cases {
        let log = client(response).await.with_timeout(Duration::from_secs(5));

        let result = log.read("config.trial", 4, 0).await;

        assert_eq!(result, expected);
    }
}

#[tokio::test]
async fn generated_malformed_responses_never_report_unreachable() {
    let base = http(
        "200 OK",
        r#"{"records":[{"offset":4,"time_ms":5,"body":"aGk="}],"next":5,"first":3}"#,
    );
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut response = base.clone().unwrap();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..response.len());
            response[at] = rng.random();
        }
        let log = client(Some(response)).await;

        let result = log.read("config.trial", 4, 0).await;

        assert!(!matches!(result, Err(Error::Unreachable)), "seed {seed}");
    }
}
