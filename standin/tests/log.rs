//! The log stand-in over HTTP, with faults.

mod common;

use common::{get, post, send};
use http::Method;
use serde_json::json;
use standin::log::{Change, Server, Settings};

const RECORDS: &str = "/streams/claims.0/records";

fn start(append_rate: f64) -> Server {
    Server::start(Settings { append_rate, ..Settings::default() }).expect("starts")
}

#[tokio::test]
async fn appended_records_are_read_in_order() {
    let log = start(500.0);

    for offset in 0..3 {
        let (status, answer) = post(log.address(), RECORDS, &json!({ "n": offset })).await;
        assert_eq!((status.as_u16(), answer), (201, json!({ "offset": offset })));
    }
    let (_, batch) = get(log.address(), &format!("{RECORDS}?from=1&limit=1")).await;

    assert_eq!((&batch["next"], &batch["first"]), (&json!(2), &json!(0)));
    assert_eq!(batch["records"][0]["body"], "eyJuIjoxfQ==");
    assert_eq!(log.state().appends, 3);
}

#[tokio::test]
async fn read_at_the_end_waits_for_a_record() {
    let log = start(500.0);
    let address = log.address();

    let reader =
        tokio::spawn(async move { get(address, &format!("{RECORDS}?wait_ms=60000")).await });
    log.append("claims.0", "late".into());
    let (_, batch) = reader.await.expect("read");

    assert_eq!(batch["records"][0]["offset"], 0);
}

#[tokio::test]
async fn control_call_changes_faults() {
    // (change, status of an append or 0 without a response, records of the stream after it)
    let cases = [
        (json!({ "lose": 1 }), 0, 1),
        (json!({}), 201, 2),
        (json!({ "refuse": 1 }), 503, 2),
        (json!({ "down": true }), 503, 2),
        (json!({ "down": false, "lose_permille": 1000 }), 0, 3),
        (json!({ "lose_permille": 0, "retention_records": 1 }), 201, 1),
        (json!({ "retention_ms": 10, "clock_offset_ms": 60000 }), 201, 1),
    ];
    let log = start(500.0);
    for (change, expected, retained) in cases {
        post(log.address(), "/control", &change).await;

        let answer = send(log.address(), Method::POST, RECORDS, &json!("x")).await;

        assert_eq!(answer.map_or(0, |response| response.status().as_u16()), expected, "{change}");
        assert_eq!(log.records("claims.0").len(), retained, "{change}");
    }
    let (status, _) = post(log.address(), "/control", &json!({ "typo": 1 })).await;
    assert_eq!(status.as_u16(), 400);
}

#[tokio::test]
async fn appends_over_the_rate_are_refused() {
    let log = start(0.001);

    let (first, _) = post(log.address(), RECORDS, &json!("x")).await;
    let (second, _) = post(log.address(), RECORDS, &json!("x")).await;

    assert_eq!((first.as_u16(), second.as_u16()), (429, 429));
    log.control(Change { append_rate: Some(1_000_000.0), ..Change::default() });
    let (third, _) = post(log.address(), RECORDS, &json!("x")).await;
    assert_eq!(third.as_u16(), 201);
}

#[tokio::test]
async fn frozen_log_answers_once_thawed() {
    let log = start(500.0);
    let address = log.address();
    log.control(Change { frozen: Some(true), ..Change::default() });

    let append = tokio::spawn(async move { post(address, RECORDS, &json!("x")).await });
    tokio::task::yield_now().await;
    assert_eq!(log.state().appends, 0);
    log.control(Change { frozen: Some(false), ..Change::default() });

    assert_eq!(append.await.expect("answer").0.as_u16(), 201);
}
