//! Streamed completions through entry hosts.

use crate::testenv::{Event, TestEnv, assert_in_order, json, last_resume_token};
use http::{Method, StatusCode};
use standin::{engine, fleet};

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_is_streamed_completely_from_any_entry_host() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;

    for index in 0..3 {
        let mut stream = env.stream(index, "rebuild len=50", &[]).await;
        let (tokens, end) = stream.read_to_end().await;

        assert_eq!(tokens.len(), 50);
        assert_in_order(&tokens, 0);
        assert_eq!(end, Event::Done);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_that_is_not_streamed_is_one_response() {
    let env = TestEnv::start(1, &fleet::Settings::default()).await;
    let body = r#"{"model":"roster","prompt":"check len=3"}"#;

    let response = env.call(0, Method::POST, "/v1/completions", &[], body).await.unwrap();
    let (status, completion) = json(response).await;

    assert_eq!(status, StatusCode::OK);
    assert_eq!(completion["choices"][0]["text"], " t0 t1 t2");
    assert_eq!(completion["choices"][0]["finish_reason"], "stop");
    assert_eq!(completion["usage"]["completion_tokens"], 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_at_another_entry_host_when_its_own_is_killed() {
    let mut env = TestEnv::start(3, &fleet::Settings::default()).await;
    let mut stream = env.stream(0, "rebuild len=400", &[]).await;
    let (mut all, end) = stream.read_tokens(40).await;
    assert_eq!(end, None);

    env.nodes[0].kill();
    let (received, _) = stream.read_to_end().await;
    all.extend(received);
    let mut resumed = env.stream(1, "", &[("last-event-id", &last_resume_token(&all))]).await;
    let (rest, end) = resumed.read_to_end().await;
    all.extend(rest);

    assert_eq!(all.len(), 400);
    assert_in_order(&all, 0);
    assert_eq!(end, Event::Done);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_with_a_problem_when_its_engine_dies() {
    let env = TestEnv::start(1, &fleet::Settings { engines: 1, ..Default::default() }).await;
    let mut stream = env.stream(0, "rebuild len=4000", &[]).await;
    let (first, end) = stream.read_tokens(10).await;
    assert_eq!(end, None);

    env.fleet.engines[0].control(engine::Change { die: true, ..Default::default() });
    let (rest, end) = stream.read_to_end().await;

    let all = [first, rest].concat();
    assert!(all.len() < 4000);
    assert_in_order(&all, 0);
    let Event::Problem(problem) = end else { panic!("{end:?}") };
    assert_eq!(problem["outcome"], "interrupted");
    assert!(problem["retry_after_s"].is_u64());
}
