//! Requests that exceed the memory of the engines.

use std::sync::Arc;

use standin::fleet;
use tokio::task::JoinSet;

use crate::testenv::{Event, TestEnv, assert_in_order};

/// Number of concurrent requests.
const REQUESTS: usize = 24;

fn small_engine() -> fleet::Settings {
    let head = "[policy]\nmax_wait_ms = 20000\n".to_owned();
    let mut settings = fleet::Settings { engines: 1, document_head: head, ..Default::default() };
    settings.engine.model.memory_tokens = 1_500;
    settings
}

/// Sends a request and reads its stream. Organisations and entry hosts alternate by request number.
async fn send(env: &TestEnv, request: usize) -> (Vec<Event>, Event) {
    let key = [fleet::KEY, fleet::OTHER_KEY][request % 2];
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    env.stream(request % 2, &format!("{request} len=200"), &headers).await.read_to_end().await
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_memory_are_held_and_then_served_or_refused_with_a_retry_time() {
    let env = Arc::new(TestEnv::start(2, &small_engine()).await);

    let mut requests = JoinSet::new();
    for request in 0..REQUESTS {
        let env = Arc::clone(&env);
        requests.spawn(async move { send(&env, request).await });
    }
    let streams = requests.join_all().await;

    let mut served = 0;
    for (tokens, end) in streams {
        match end {
            Event::Done => {
                assert_eq!(tokens.len(), 200);
                assert_in_order(&tokens, 0);
                served += 1;
            }
            Event::Problem(problem) => {
                assert!(tokens.is_empty());
                assert_eq!(problem["outcome"], "not_run");
                assert!(problem["retry_after_s"].is_u64());
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(served > 0);
    let held = env.metric(0, "nutmeghead_actions_total", "held").await
        + env.metric(1, "nutmeghead_actions_total", "held").await;
    assert!(held > 0.0);
}
