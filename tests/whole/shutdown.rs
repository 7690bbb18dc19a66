//! Graceful shutdown and readiness.

use http::{Method, StatusCode};
use standin::{fleet, service};

use crate::services::{executions, fresh_key, swap};
use crate::testenv::{Event, TestEnv, assert_in_order, json};

/// Number of entry hosts in the current deployment.
const HOSTS: usize = 9;

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_document_serves_nothing() {
    let mut env = TestEnv::start_standins(1, &fleet::Settings::default());
    env.spawn(0);
    let address = env.nodes[0].operator_address;
    env.wait_until("the host answers", async || env.get(address, "/healthz").await.is_some()).await;

    let ready = env.get(address, "/readyz").await.unwrap();
    let response = env.call(0, Method::POST, "/v1/completions", &[], "{}").await.unwrap();
    let (status, problem) = json(response).await;

    assert_eq!(ready.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(problem["outcome"], "not_run");
    assert!(problem["retry_after_s"].is_u64());
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_interrupts_no_stream_and_no_call() {
    let mut env = TestEnv::start(2, &fleet::Settings::default()).await;
    for server in &env.fleet.servers {
        server.control(service::Change { work_ms: Some(1_500), ..Default::default() });
    }
    let mut stream = env.stream(0, "rebuild len=1500", &[]).await;
    let (mut all, _) = stream.read_tokens(5).await;

    let call = env.call(0, Method::GET, "/services/crew/roster/7", &[], "");
    let terminate = async {
        let address = env.nodes[0].operator_address;
        env.wait_until("the call is open", async || {
            let page = env.get(address, "/metrics").await.map(|page| page.1).unwrap_or_default();
            page.contains("nutmeghead_open 2")
        })
        .await;
        env.nodes[0].signal("TERM");
    };
    let (call, ()) = tokio::join!(call, terminate);
    let (status, _) = json(call.unwrap()).await;
    let (rest, end) = stream.read_to_end().await;
    all.extend(rest);

    assert_eq!(status, StatusCode::OK);
    assert_eq!(all.len(), 1500);
    assert_in_order(&all, 0);
    assert_eq!(end, Event::Done);
    assert!(env.nodes[0].exited_successfully().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_interrupts_no_stream_and_no_call() {
    let mut env = TestEnv::start(HOSTS, &fleet::Settings::default()).await;

    for index in 0..HOSTS {
        let mut streams = Vec::new();
        for node in [index, index + 1, index + 2] {
            streams.push(env.stream(node % HOSTS, "rebuild len=300", &[]).await);
        }
        env.nodes[index].signal("TERM");
        let key = fresh_key(index as u128);
        env.wait_until("the swap runs", async || {
            let host = (index + 1) % HOSTS;
            swap(&env, host, &key).await.is_some_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
        assert_eq!(executions(&env, &key), 1);
        for stream in &mut streams {
            let (tokens, end) = stream.read_to_end().await;
            assert_eq!(tokens.len(), 300);
            assert_in_order(&tokens, 0);
            assert_eq!(end, Event::Done);
        }
        assert!(env.nodes[index].exited_successfully().await);
        env.spawn(index);
        env.wait_ready(index).await;
    }
}
