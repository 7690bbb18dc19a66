//! The stand-ins for plain services, the host list and the weight store over HTTP, with faults.

mod common;

use common::{call, get, post, send};
use http::Method;
use serde_json::{Value, json};
use standin::{hosts, service, weights};

fn service() -> service::Server {
    service::Server::start(service::Settings::default()).expect("starts")
}

#[tokio::test]
async fn only_executed_calls_are_counted() {
    // (change, status of the call or 0 without a response, executed calls after it)
    let cases = [
        (json!({}), 200, 1),
        (json!({ "dropped": 1 }), 0, 1),
        (json!({ "fail": 1 }), 500, 1),
        (json!({ "lose": 1 }), 0, 2),
        (json!({ "work_ms": 1, "late_ms": 1 }), 200, 3),
        (json!({ "die_after_effect": true }), 0, 4),
    ];
    let service = service();
    for (change, expected, executed) in cases {
        post(service.address(), "/control", &change).await;

        let answer = send(service.address(), Method::POST, "/swaps", &json!("x")).await;

        assert_eq!(answer.map_or(0, |response| response.status().as_u16()), expected, "{change}");
        assert_eq!(service.state().executed, executed, "{change}");
        assert_eq!(service.all_executions().paths["POST /swaps"], executed, "{change}");
    }
    service.stopped().await;
    let again = service::Settings { address: service.address(), ..service::Settings::default() };
    assert!(service::Server::start(again).is_ok());
}

#[tokio::test]
async fn responses_state_their_call_unless_crossed() {
    let service = service();
    let address = service.address();
    get(address, "/roster/1").await;

    let (_, own) = call(address, Method::PUT, "/roster/2", &json!(12)).await;
    post(address, "/control", &json!({ "crossed": 1 })).await;
    let (_, crossed) = get(address, "/roster/3").await;

    assert_eq!(
        (&own["path"], &own["execution"], &own["body_bytes"]),
        (&json!("/roster/2"), &json!(2), &json!(2))
    );
    assert_eq!(crossed["path"], "/roster/2");
    let (_, executions) = get(address, "/control/executions").await;
    assert_eq!(executions["paths"]["GET /roster/3"], 1);
}

#[tokio::test]
async fn call_waits_while_the_service_is_frozen() {
    let service = service();
    let address = service.address();
    service.control(service::Change { frozen: Some(true), ..Default::default() });
    let waiting = tokio::spawn(async move { post(address, "/fees", &Value::Null).await });
    tokio::task::yield_now().await;
    assert_eq!(service.state().executed, 0);

    service.control(service::Change {
        frozen: Some(false),
        sick: Some(true),
        ..Default::default()
    });

    assert_eq!(waiting.await.expect("answer").0.as_u16(), 200);
    assert_eq!(get(address, "/healthz").await.0.as_u16(), 503);
}

#[tokio::test]
async fn host_list_changes_are_delayed() {
    let host = |name: &str, state: &str| {
        json!({ "name": name, "kind": "engine", "address": "127.0.0.1:9", "domain": "a",
            "state": state })
    };
    let first: hosts::Host = "engine,g-1,127.0.0.1:9,a".parse().expect("host");
    let settings =
        hosts::Settings { lag_ms: 3_600_000, hosts: vec![first], ..hosts::Settings::default() };
    let hosts = hosts::Server::start(settings).expect("starts");
    let address = hosts.address();

    post(address, "/control", &json!({ "put": [host("g-1", "leaving"), host("g-2", "live")] }))
        .await;
    let (_, lagged) = get(address, "/hosts").await;
    post(address, "/control", &json!({ "lag_ms": 0, "remove": ["g-2"] })).await;
    let (_, now) = get(address, "/hosts").await;

    assert_eq!(lagged, json!({ "hosts": [host("g-1", "live")] }));
    assert_eq!(now, json!({ "hosts": [host("g-1", "leaving")] }));
    post(address, "/control", &json!({ "down": true })).await;
    assert_eq!(get(address, "/hosts").await.0.as_u16(), 503);
    assert!("engine,g-1,nowhere,a".parse::<hosts::Host>().is_err());
}

#[tokio::test]
async fn grants_over_the_rate_are_refused_with_retry_after() {
    let settings = weights::Settings { rate: 0.01, burst: 1.0, ..weights::Settings::default() };
    let weights = weights::Server::start(settings).expect("starts");
    let request = json!({ "model": "m", "version": "1" });

    let first = send(weights.address(), Method::POST, "/grants", &request).await.expect("answer");
    let second = send(weights.address(), Method::POST, "/grants", &request).await.expect("answer");

    assert_eq!((first.status().as_u16(), second.status().as_u16()), (200, 429));
    let wait_s: u64 =
        second.headers()["retry-after"].to_str().expect("text").parse().expect("seconds");
    assert!((1..=100).contains(&wait_s));
    assert_eq!(weights.state().granted, 1);
}
