//! Frozen entry hosts, failing engines, and two faults at once.

use std::time::Duration;

use http::StatusCode;
use standin::{engine, fleet, log, service};

use crate::services::{executions, fresh_key, outcome, swap};
use crate::testenv::{Event, TestEnv, assert_in_order, last_resume_token};

/// Silence of an engine for a second or so, and one for longer than a host waits for three responses.
const SILENCE: Duration = Duration::from_millis(2_000);
const LONG_SILENCE: Duration = Duration::from_secs(14);

/// Time within which a frozen engine is replaced, with room for slow machines.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(50);

#[tokio::test(flavor = "multi_thread")]
async fn frozen_owners_do_not_stop_urgent_work() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;

    env.nodes[1].signal("STOP");
    env.nodes[2].signal("STOP");
    for request in 0..6 {
        let mut stream = env.stream(0, &format!("{request} len=20"), &[]).await;
        let (tokens, end) = stream.read_to_end().await;
        assert_eq!(tokens.len(), 20);
        assert_eq!(end, Event::Done);
    }

    env.nodes[1].signal("CONT");
    env.nodes[2].signal("CONT");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_swap_whose_host_freezes_runs_once_and_is_recorded_when_it_continues() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;
    for server in &env.fleet.servers {
        server.control(service::Change { late_ms: Some(1_000), ..Default::default() });
    }
    let key = fresh_key(1);

    let freeze = async {
        env.wait_until("the swap runs", async || executions(&env, &key) == 1).await;
        env.nodes[0].signal("STOP");
        let (_, repeat) = swap(&env, 1, &key).await.unwrap();
        assert_eq!(repeat["outcome"], "unknown", "{repeat}");
        env.nodes[0].signal("CONT");
    };
    let (first, ()) = tokio::join!(swap(&env, 0, &key), freeze);

    assert_eq!(first.unwrap().0, StatusCode::OK);
    env.wait_until("the outcome is recorded", async || {
        outcome(&env, 2, &key).await["outcome"] == "done"
    })
    .await;
    assert_eq!(executions(&env, &key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_when_its_host_is_killed_while_the_log_is_down() {
    let mut env = TestEnv::start(3, &fleet::Settings::default()).await;
    let mut stream = env.stream(0, "rebuild len=300", &[]).await;
    let (mut all, _) = stream.read_tokens(20).await;

    env.fleet.log.control(log::Change { down: Some(true), ..Default::default() });
    env.nodes[0].kill();
    all.extend(stream.read_to_end().await.0);
    let mut resumed = env.stream(2, "", &[("last-event-id", &last_resume_token(&all))]).await;
    let (rest, end) = resumed.read_to_end().await;
    all.extend(rest);

    assert_eq!(all.len(), 300);
    assert_in_order(&all, 0);
    assert_eq!(end, Event::Done);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_duplicate_crossed_and_cut_responses_do_not_corrupt_a_stream() {
    let env = TestEnv::start(1, &fleet::Settings { engines: 1, ..Default::default() }).await;
    let faults = [
        engine::Change { doubled: Some(1), ..Default::default() },
        engine::Change { crossed: Some(1), ..Default::default() },
        engine::Change { cut: Some(1), cut_after: Some(30), ..Default::default() },
        engine::Change { dropped: Some(1), ..Default::default() },
        engine::Change { late: Some(1), late_ms: Some(50), ..Default::default() },
        engine::Change { doubled: Some(1), cut: Some(1), cut_after: Some(9), ..Default::default() },
    ];
    for fault in faults {
        env.fleet.engines[0].control(fault.clone());

        let mut stream = env.stream(0, "rebuild len=100", &[]).await;
        let (tokens, end) = stream.read_to_end().await;

        assert_eq!(tokens.len(), 100, "{fault:?} {end:?}");
        assert_in_order(&tokens, 0);
        assert_eq!(end, Event::Done);
    }
    assert!(env.metric(0, "nutmeghead_dropped_events_total", "late").await >= 100.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_killed_before_the_first_token_is_replaced_without_an_error() {
    let mut settings = fleet::Settings { engines: 2, ..Default::default() };
    settings.engine.model.prefill_us_per_token = 500_000;
    let env = TestEnv::start(1, &settings).await;

    let completion = async { env.stream(0, "rebuild len=10", &[]).await.read_to_end().await };
    let kill = async {
        env.wait_until("an engine has started the generation", async || {
            let busy = env.fleet.engines.iter().find(|engine| engine.state().counters.started > 0);
            busy.inspect(|engine| {
                engine.control(engine::Change { die: true, ..Default::default() })
            })
            .is_some()
        })
        .await;
    };
    let ((tokens, end), ()) = tokio::join!(completion, kill);

    assert_eq!(tokens.len(), 10);
    assert_in_order(&tokens, 0);
    assert_eq!(end, Event::Done);
}

/// Guards against a stream that ends because its engine was silent and answered no request to resume it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_outlasts_the_silence_of_its_engine_under_serve() {
    let env = TestEnv::start(1, &fleet::Settings { engines: 1, ..Default::default() }).await;
    let mut stream = env.stream(0, "rebuild len=300", &[]).await;
    let (mut all, _) = stream.read_tokens(20).await;

    env.fleet.engines[0].control(engine::Change { frozen: Some(true), ..Default::default() });
    tokio::time::sleep(LONG_SILENCE).await;
    env.fleet.engines[0].control(engine::Change { frozen: Some(false), ..Default::default() });
    let (rest, end) = stream.read_to_end().await;
    all.extend(rest);

    assert_eq!(all.len(), 300, "{end:?}");
    assert_in_order(&all, 0);
    assert_eq!(end, Event::Done);
}

/// Guards against a generation that is given up because its engine was silent when it was to begin.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_begins_after_the_silence_of_the_only_engine_under_serve() {
    let env = TestEnv::start(1, &fleet::Settings { engines: 1, ..Default::default() }).await;
    let engine = &env.fleet.engines[0];
    engine.control(engine::Change { frozen: Some(true), ..Default::default() });
    let thaw = async {
        tokio::time::sleep(SILENCE).await;
        engine.control(engine::Change { frozen: Some(false), ..Default::default() });
    };
    let completion = async { env.stream(0, "rebuild len=10", &[]).await.read_to_end().await };
    let ((tokens, end), ()) = tokio::join!(completion, thaw);

    assert_eq!(tokens.len(), 10, "{end:?}");
    assert_eq!(end, Event::Done);
}

/// Guards against a generation that waits for a frozen engine although another one could begin it.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_frozen_before_the_first_token_is_replaced_under_serve() {
    let mut settings = fleet::Settings { engines: 2, ..Default::default() };
    settings.engine.model.prefill_us_per_token = 500_000;
    let env = TestEnv::start(1, &settings).await;

    let completion = async { env.stream(0, "rebuild len=10", &[]).await.read_to_end().await };
    let freeze = async {
        env.wait_until("an engine has started the generation", async || {
            let busy = env.fleet.engines.iter().find(|engine| engine.state().counters.started > 0);
            busy.inspect(|engine| {
                engine.control(engine::Change { frozen: Some(true), ..Default::default() });
            })
            .is_some()
        })
        .await;
    };
    let both = async { tokio::join!(completion, freeze) };
    let ((tokens, end), ()) =
        tokio::time::timeout(REPLACE_TIMEOUT, both).await.expect("another engine begins it");

    assert_eq!(tokens.len(), 10);
    assert_in_order(&tokens, 0);
    assert_eq!(end, Event::Done);
}
