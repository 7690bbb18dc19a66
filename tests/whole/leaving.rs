//! Back ends that leave get no new work.

use http::Method;
use standin::{engine, fleet, hosts, service};

use crate::testenv::{Event, TestEnv, assert_in_order};

/// Requests in one round, over all entry hosts.
const ROUND: usize = 30;

fn listed(name: String, kind: hosts::Kind, address: std::net::SocketAddr) -> hosts::Host {
    hosts::Host { name, kind, address, domain: "a".to_owned(), state: hosts::Phase::Leaving }
}

/// Generations that the engine started and refused.
fn seen(engine: &engine::Server) -> u64 {
    let counters = engine.state().counters;
    counters.started + counters.refused
}

/// Sends a round of requests and returns how many reached `engine`.
async fn round(env: &TestEnv, engine: usize) -> u64 {
    let before = seen(&env.fleet.engines[engine]);
    for request in 0..ROUND {
        let prompt = format!("{request} len=1");
        let mut stream = env.stream(request % env.nodes.len(), &prompt, &[]).await;
        assert_eq!(stream.read_to_end().await.1, Event::Done);
    }
    seen(&env.fleet.engines[engine]) - before
}

/// Waits until a round passes the engine over, and expects that of the rounds after it.
async fn assert_passed_over(env: &TestEnv, engine: usize) {
    env.wait_until("the engine gets no new work", async || round(env, engine).await == 0).await;
    for _ in 0..3 {
        assert_eq!(round(env, engine).await, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_the_list_takes_away_gets_no_new_work() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;
    assert!(round(&env, 0).await + round(&env, 1).await + round(&env, 2).await > 0);

    let address = env.fleet.engines[0].address();
    let leaving = listed(fleet::engine_name(0), hosts::Kind::Engine, address);
    env.fleet.hosts.control(hosts::Change { put: vec![leaving], ..Default::default() });

    assert_passed_over(&env, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_gives_notice_ends_its_work_and_gets_no_more() {
    let env = TestEnv::start(3, &fleet::Settings { engines: 2, ..Default::default() }).await;
    let mut streams = Vec::new();
    for node in 0..3 {
        streams.push(env.stream(node, "rebuild len=200", &[]).await);
    }

    let notice = engine::Change { reclaim_in_ms: Some(600_000), ..Default::default() };
    env.fleet.engines[0].control(notice);

    for stream in &mut streams {
        let (tokens, end) = stream.read_to_end().await;
        assert_eq!(tokens.len(), 200);
        assert_in_order(&tokens, 0);
        assert_eq!(end, Event::Done);
    }
    assert_passed_over(&env, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_and_a_server_that_the_document_takes_away_get_no_new_work() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;
    let leave = |text: String, name: &str| {
        let line = format!("name = \"{name}\"\n");
        text.replace(&line, &format!("{line}intent = \"leave\"\n"))
    };
    let text = leave(leave(env.fleet.document(), "engine-1"), "server-1");

    env.fleet.submit(1, &text).unwrap();
    for node in 0..3 {
        env.wait_until("the document is in force", async || {
            env.metric(node, "nutmeghead_document_version", "").await == 2.0
        })
        .await;
    }

    assert_eq!(round(&env, 1).await, 0);
    for call in 0..ROUND {
        let path = format!("/services/crew/roster/{call}");
        env.call(call % 3, Method::GET, &path, &[], "").await.unwrap();
    }
    let calls = |server: &service::Server| server.all_executions().paths.values().sum::<u64>();
    assert_eq!(calls(&env.fleet.servers[1]), 0);
    assert_eq!(env.fleet.servers.iter().map(calls).sum::<u64>(), ROUND as u64);
}
