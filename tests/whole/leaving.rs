//! Engines and backend servers that are leaving get no new work.

use std::time::{Duration, Instant};

use http::Method;
use standin::{engine, fleet, hosts, service};

use crate::testenv::{Event, TestEnv, assert_in_order};

/// Time after which an engine that leaves gets no new work: as stated, within seconds. Hosts read its report and the list once a
/// second.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Number of requests in one round, spread over all entry hosts.
const ROUND_REQUESTS: usize = 30;

/// The record of a leaving engine or server in the list of hosts.
fn leaving_host(name: String, kind: hosts::Kind, address: std::net::SocketAddr) -> hosts::Host {
    hosts::Host { name, kind, address, domain: "a".to_owned(), state: hosts::Phase::Leaving }
}

/// Number of generations that the engine started or refused.
fn arrivals(engine: &engine::Server) -> u64 {
    let counters = engine.state().counters;
    counters.started + counters.refused
}

/// Sends a round of requests and returns how many of them reached `engine`.
async fn send_round(env: &TestEnv, engine: usize) -> u64 {
    let before = arrivals(&env.fleet.engines[engine]);
    for request in 0..ROUND_REQUESTS {
        let prompt = format!("{request} len=1");
        let mut stream = env.stream(request % env.nodes.len(), &prompt, &[]).await;
        assert_eq!(stream.read_to_end().await.1, Event::Done);
    }
    arrivals(&env.fleet.engines[engine]) - before
}

/// Sends rounds of requests until hosts have to know that the engine leaves, and asserts that three more rounds send it none.
/// An earlier round may send it none by chance.
async fn assert_no_new_work(env: &TestEnv, engine: usize) {
    let noticed_at = Instant::now() + NOTICE_TIME;
    while Instant::now() < noticed_at {
        send_round(env, engine).await;
    }
    for _ in 0..3 {
        assert_eq!(send_round(env, engine).await, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_leaves_in_the_list_of_hosts_gets_no_new_work() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;
    assert!(send_round(&env, 0).await + send_round(&env, 1).await + send_round(&env, 2).await > 0);

    let address = env.fleet.engines[0].address();
    let leaving = leaving_host(fleet::engine_name(0), hosts::Kind::Engine, address);
    env.fleet.hosts.control(hosts::Change { put: vec![leaving], ..Default::default() });

    assert_no_new_work(&env, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_announces_its_reclaim_finishes_its_streams_and_gets_no_new_work() {
    let env = TestEnv::start(3, &fleet::Settings { engines: 2, ..Default::default() }).await;
    let mut streams = Vec::new();
    for node in 0..3 {
        streams.push(env.stream(node, "rebuild len=200", &[]).await);
    }

    let reclaim = engine::Change { reclaim_in_ms: Some(600_000), ..Default::default() };
    env.fleet.engines[0].control(reclaim);

    for stream in &mut streams {
        let (tokens, end) = stream.read_to_end().await;
        assert_eq!(tokens.len(), 200);
        assert_in_order(&tokens, 0);
        assert_eq!(end, Event::Done);
    }
    assert_no_new_work(&env, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_and_a_server_that_leave_in_the_document_get_no_new_work() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;
    let with_leave_intent = |text: String, name: &str| {
        let line = format!("name = \"{name}\"\n");
        text.replace(&line, &format!("{line}intent = \"leave\"\n"))
    };
    let text = with_leave_intent(with_leave_intent(env.fleet.document(), "engine-1"), "server-1");

    env.fleet.submit(1, &text).unwrap();
    for node in 0..3 {
        env.wait_until("the document is in force", async || {
            env.metric(node, "nutmeghead_document_version", "").await == 2.0
        })
        .await;
    }

    assert_eq!(send_round(&env, 1).await, 0);
    for call in 0..ROUND_REQUESTS {
        let path = format!("/services/crew/roster/{call}");
        env.call(call % 3, Method::GET, &path, &[], "").await.unwrap();
    }
    let calls = |server: &service::Server| server.all_executions().paths.values().sum::<u64>();
    assert_eq!(calls(&env.fleet.servers[1]), 0);
    assert_eq!(env.fleet.servers.iter().map(calls).sum::<u64>(), ROUND_REQUESTS as u64);
}
