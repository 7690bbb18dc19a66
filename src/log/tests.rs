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
    let empty = Record { offset: 4, time_ms: 5, body: Bytes::new() };
    let unreadable = Batch { records: vec![empty], ..valid.clone() };
    let cases = [
        (response(&record(4), 5), Ok(valid)),
        (response("", 4), Ok(Batch { records: vec![], next: 4, first: 3 })),
        (response(&record(3), 4), Err(Error::Malformed)),
        (response(&record(4), 4), Err(Error::Malformed)),
        (response(&format!("{0},{0}", record(4)), 5), Err(Error::Malformed)),
        (response(&record(u64::MAX), u64::MAX), Err(Error::Malformed)),
        (response(&record(4).replace("aGk=", "?"), 5), Ok(unreadable)),
        (http("200 OK", &" ".repeat(17 << 20)), Err(Error::Malformed)),
    ];
    for (response, expected) in cases {
        let log = client(response).await.with_timeout(Duration::from_secs(5));

        let result = log.read("config.trial", 4, 0).await;

        assert_eq!(result, expected);
    }
}

/// A response with these records.
fn page(records: &[&str], next: u64) -> Vec<u8> {
    let records = records.join(",");
    http("200 OK", &format!(r#"{{"records":[{records}],"next":{next},"first":3}}"#)).unwrap()
}

fn record(offset: u64) -> String {
    format!(r#"{{"offset":{offset},"time_ms":{offset}0,"body":"aGk="}}"#)
}

/// The offsets, times and bodies of the records of a read from offset 4.
async fn read(pages: Vec<(u64, Vec<u8>)>) -> Result<Vec<(u64, u64, Bytes)>, Error> {
    let log = client_of_pages(pages).await.with_timeout(Duration::from_secs(5));
    let batch = log.read("config.trial", 4, 0).await?;
    Ok(batch.records.into_iter().map(|r| (r.offset, r.time_ms, r.body)).collect())
}

/// Creates a client of a server that sends the page for the offset from which a request reads.
async fn client_of_pages(pages: Vec<(u64, Vec<u8>)>) -> Http {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let length = socket.read(&mut request).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&request[..length]).into_owned();
            let page = pages.iter().find(|(from, _)| text.contains(&format!("from={from}&")));
            socket.write_all(page.map_or(&[], |(_, page)| page)).await.unwrap_or(());
        }
    });
    Http::new(address)
}

/// Guards against a record that ends all reads of its stream, or that looks like records which have expired.
#[tokio::test]
async fn an_unreadable_record_has_no_content_and_does_not_affect_the_others() {
    let odd = [
        "null",
        "{}",
        r#"{"offset":"x","time_ms":50,"body":"aGk="}"#,
        r#"{"offset":5,"time_ms":null,"body":"aGk="}"#,
        r#"{"offset":5,"time_ms":60}"#,
        r#"{"offset":5,"time_ms":60,"body":7}"#,
        r#"{"offset":5,"time_ms":60,"body":"?"}"#,
        r#"{"offset":3,"time_ms":60,"body":"aGk="}"#,
        r#"{"offset":99,"time_ms":60,"body":"aGk="}"#,
    ];
    let hi = Bytes::from_static(b"hi");
    for odd in odd {
        let page = page(&[&record(4), odd, &record(6)], 7);

        let records = read(vec![(4, page)]).await;

        let expected = vec![(4, 40, hi.clone()), (5, 60, Bytes::new()), (6, 60, hi.clone())];
        assert_eq!(records, Ok(expected), "{odd}");
    }
}

#[tokio::test]
async fn records_after_a_page_of_unreadable_ones_are_read() {
    let pages = vec![(4, page(&["7"], 5)), (5, page(&["8"], 6)), (6, page(&[&record(6)], 7))];

    let records = read(pages).await;

    let empty = |offset| (offset, 60, Bytes::new());
    assert_eq!(records, Ok(vec![empty(4), empty(5), (6, 60, Bytes::from_static(b"hi"))]));
}

#[tokio::test]
async fn unreadable_records_at_the_end_of_a_stream_are_none_yet() {
    let pages = vec![(4, page(&["7"], 5)), (5, page(&[], 5))];

    assert_eq!(read(pages).await, Ok(vec![]));
}

/// Guards against reads without end.
#[tokio::test]
async fn unreadable_records_without_end_are_malformed() {
    let pages = (4..200).map(|from| (from, page(&["7"], from + 1))).collect();

    assert_eq!(read(pages).await, Err(Error::Malformed));
    assert_eq!(read(vec![(4, page(&["7"], 4))]).await, Err(Error::Malformed), "no progress");
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
