//! Plain services: idempotent calls, and at-most-once calls.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{Method, StatusCode};
use nutmeghead::claim::Key;
use serde_json::Value;
use standin::{fleet, log, service};

use crate::testenv::{TestEnv, json};

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// An idempotency key that was created `age` ago.
fn key(number: u128, age: Duration) -> String {
    Key::new(now_ms() - age.as_millis() as u64, number).to_string()
}

/// An idempotency key that was created now.
pub fn fresh_key(number: u128) -> String {
    key(number, Duration::ZERO)
}

pub async fn swap(env: &TestEnv, node: usize, key: &str) -> Option<(StatusCode, Value)> {
    let headers = [("idempotency-key", key)];
    let response = env.call(node, Method::POST, "/services/crew/swaps", &headers, "swap 7").await;
    Some(json(response?).await)
}

pub async fn outcome(env: &TestEnv, node: usize, key: &str) -> Value {
    let path = format!("/v1/outcomes/{key}");
    json(env.call(node, Method::GET, &path, &[], "").await.expect("a response")).await.1
}

pub fn executions(env: &TestEnv, key: &str) -> u64 {
    env.fleet.servers.iter().map(|server| server.executions(key)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_is_retried_at_another_server_when_one_fails() {
    let env = TestEnv::start(1, &fleet::Settings::default()).await;
    env.fleet.servers[0].stop();
    env.fleet.servers[1].control(service::Change { dropped: Some(9), ..Default::default() });

    for _ in 0..10 {
        let response = env.call(0, Method::GET, "/services/crew/roster/7?day=1", &[], "").await;
        assert_eq!(json(response.unwrap()).await.0, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_swap_sent_through_all_hosts_at_once_runs_once() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;
    let key = fresh_key(1);

    let responses = tokio::join!(swap(&env, 0, &key), swap(&env, 1, &key), swap(&env, 2, &key));

    for (status, body) in [responses.0, responses.1, responses.2].into_iter().flatten() {
        assert!(status == StatusCode::OK || body["retry_after_s"].is_u64(), "{body}");
    }
    env.wait_until("a repeated swap gets the recorded response", async || {
        swap(&env, 1, &key).await.is_some_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
    assert_eq!(outcome(&env, 2, &key).await["outcome"], "done");
    assert_eq!(executions(&env, &key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_swap_whose_response_is_lost_is_unknown_and_does_not_run_again() {
    let env = TestEnv::start(2, &fleet::Settings::default()).await;
    for server in &env.fleet.servers {
        server.control(service::Change { lose: Some(1), ..Default::default() });
    }
    let key = fresh_key(2);

    let (status, problem) = swap(&env, 0, &key).await.unwrap();
    let (_, repeat) = swap(&env, 1, &key).await.unwrap();

    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(problem["outcome"], "unknown");
    assert_eq!(repeat["outcome"], "unknown");
    assert_eq!(executions(&env, &key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_swap_is_refused_at_once_and_not_run_while_the_log_is_down() {
    let env = TestEnv::start(2, &fleet::Settings::default()).await;
    env.fleet.log.control(log::Change { down: Some(true), ..Default::default() });
    let key = fresh_key(3);

    let (status, problem) = swap(&env, 0, &key).await.unwrap();

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(problem["outcome"], "not_run");
    assert!(problem["retry_after_s"].is_u64());
    assert_eq!(executions(&env, &key), 0);
    env.fleet.log.control(log::Change { down: Some(false), ..Default::default() });
    env.wait_until("the swap runs", async || {
        swap(&env, 1, &key).await.is_some_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
    assert_eq!(executions(&env, &key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_swap_whose_host_is_killed_is_unknown_and_does_not_run_again() {
    let mut env = TestEnv::start(3, &fleet::Settings::default()).await;
    for server in &env.fleet.servers {
        server.control(service::Change { late_ms: Some(60_000), ..Default::default() });
    }
    let key = fresh_key(4);

    let mut nodes = std::mem::take(&mut env.nodes);
    let mut killed = nodes.remove(0);
    env.nodes = nodes;
    let address = killed.caller_address;
    let pending = env.call_address(address, Method::POST, "/services/crew/swaps", &key);
    tokio::select! {
        _ = pending => panic!("the swap ended before its host was killed"),
        () = env.wait_until("the swap runs", async || executions(&env, &key) == 1) => {}
    }
    killed.kill();
    for server in &env.fleet.servers {
        server.control(service::Change { late_ms: Some(0), ..Default::default() });
    }

    for node in 0..2 {
        let (_, repeat) = swap(&env, node, &key).await.unwrap();
        assert_eq!(repeat["outcome"], "unknown", "{repeat}");
    }
    assert_eq!(executions(&env, &key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_are_missing_expired_or_used_for_another_call_are_refused() {
    let env = TestEnv::start(1, &fleet::Settings::default()).await;
    let old = key(5, Duration::from_secs(3 * 86_400));
    let used = fresh_key(6);
    assert_eq!(swap(&env, 0, &used).await.unwrap().0, StatusCode::OK);

    let cases = [
        ("", "key-required"),
        ("swap-7", "key-required"),
        ("936da01f-9abd-4d9d-80c7-02af85c822a8", "key-required"),
        (old.as_str(), "key-expired"),
    ];
    for (key, kind) in cases {
        let (status, problem) = swap(&env, 0, key).await.unwrap();
        assert!(status.is_client_error());
        assert_eq!(problem["type"], format!("urn:nutmeghead:problem:{kind}"));
        assert_eq!(problem["outcome"], "not_run");
    }
    let headers = [("idempotency-key", used.as_str())];
    let other = env.call(0, Method::POST, "/services/crew/swaps", &headers, "swap 8").await;
    let (_, problem) = json(other.unwrap()).await;
    assert_eq!(problem["type"], "urn:nutmeghead:problem:key-reused");
    assert_eq!(executions(&env, &old), 0);
    assert_eq!(executions(&env, &used), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_another_request_is_dropped() {
    let env = TestEnv::start(1, &fleet::Settings::default()).await;
    for server in &env.fleet.servers {
        server.control(service::Change { crossed: Some(1), ..Default::default() });
    }

    for number in 0..12 {
        let path = format!("/services/crew/roster/{number}");
        let response = env.call(0, Method::GET, &path, &[], "").await.unwrap();
        let (status, body) = json(response).await;
        if status == StatusCode::OK {
            assert_eq!(body["path"], format!("/roster/{number}"));
        }
    }
    assert!(env.metric(0, "nutmeghead_dropped_events_total", "crossed").await >= 1.0);
}
