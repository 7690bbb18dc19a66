//! What servers say of themselves in their responses: that they leave, and for how long they want no requests.

use std::time::{Duration, Instant};

use http::StatusCode;
use standin::platform::{Behaviour, Server};

use crate::testenv::platform::{EVENTS, Platform, read_events};

/// Time that a full server asks for, as in its responses. Long enough that its failures no longer count.
const WAIT: (&str, Duration) = ("8.5", Duration::from_millis(8_500));

/// Time after a server's response in which requests that were under way may still reach it.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Sends look-ups until `server` has received one more request.
async fn reach(platform: &Platform, server: &Server) {
    let before = server.received();
    for index in 0.. {
        assert!(index < 200, "the server gets no request");
        let _ = platform.call(&format!("{}-{index}", server.id()), "/lookup/1").await;
        if server.received() > before {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_that_it_leaves_gets_no_more_requests() {
    let platform = Platform::start().await;
    let server = &platform.servers[0];
    server.announce_leaving(true);
    reach(&platform, server).await;
    let before = server.received();
    for index in 0..20 {
        let id = format!("r-{index}");
        assert_eq!(platform.call(&id, "/lookup/1").await.expect("a response").0, StatusCode::OK);
    }
    assert_eq!(server.received(), before);
    assert_eq!(platform.log_lines("server leaving")[0]["source"], "response");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_server_under_the_name_of_a_leaving_one_gets_requests() {
    let platform = Platform::start().await;
    let server = &platform.servers[0];
    server.announce_leaving(true);
    reach(&platform, server).await;
    server.announce_leaving(false);
    platform.store.remove("keyed.servers", server.id());
    let removed = async || platform.log_lines("server leaving").len() >= 2;
    platform.wait_until("the entry is removed", removed).await;
    let known = platform.log_lines("server added").len();
    platform.list_incarnation(server, "app", "ready", "v1", 2);
    let added = async || platform.log_lines("server added").len() > known;
    platform.wait_until("the next server is added", added).await;
    reach(&platform, server).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_stream_moves_when_another_response_of_its_engine_says_that_it_leaves() {
    let platform = Platform::start_with_events(4 * EVENTS).await;
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    let reading = tokio::spawn(read_events(response));
    let source =
        platform.engines.iter().find(|engine| engine.runs("r-1") == 1).expect("an execution");
    source.announce_leaving(true);
    // Open streams fill the other engine, until the next one is sent to this engine.
    let mut open = Vec::new();
    while source.received() < 2 {
        let id = format!("s-{}", open.len());
        open.push(platform.send(&id, "/check/1", &[]).await.expect("a response"));
    }
    assert_eq!(reading.await.expect("joined"), ((1..=4 * EVENTS).collect(), true));
    assert_eq!(platform.runs("r-1"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_learns_from_another_that_a_server_leaves() {
    let first = Platform::start().await;
    let second = first.start_host(2).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let server = &first.servers[0];
    server.announce_leaving(true);
    reach(&first, server).await;
    let known = async || !second.log_lines("server leaving").is_empty();
    second.wait_until("the other host knows", known).await;
    let source = second.log_lines("server leaving")[0]["source"].clone();
    assert_eq!(source, "host", "at once, not with the next reply to a query");
    let before = server.received();
    for index in 0..20 {
        let id = format!("t-{index}");
        assert_eq!(second.call(&id, "/lookup/1").await.expect("a response").0, StatusCode::OK);
    }
    assert_eq!(server.received(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_server_gets_no_requests_for_the_time_that_it_asks_for() {
    let platform = Platform::start().await;
    let server = &platform.servers[0];
    server.set_behaviour(Behaviour::Overloaded);
    server.set_retry_after(WAIT.0);
    reach(&platform, server).await;
    let refused = Instant::now();
    server.set_behaviour(Behaviour::Healthy);
    let before = server.received();
    for index in 0.. {
        let id = format!("r-{index}");
        if refused.elapsed() >= WAIT.1 - UNDER_WAY / 5 {
            break;
        }
        assert_eq!(platform.call(&id, "/lookup/1").await.expect("a response").0, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.received(), before);
    tokio::time::sleep(UNDER_WAY).await;
    reach(&platform, server).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_is_refused_until_the_first_server_takes_requests_again() {
    let platform = Platform::start().await;
    for (server, wait) in platform.servers.iter().zip(["3", "9"]) {
        server.set_behaviour(Behaviour::Overloaded);
        server.set_retry_after(wait);
        reach(&platform, server).await;
    }
    let before: usize = platform.servers.iter().map(Server::received).sum();
    let response = platform.send("r-1", "/swap/1", &[]).await.expect("a response");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = response.headers()["retry-after"].to_str().expect("text");
    let retry_after: f64 = retry_after.parse().expect("a number");
    // Less what has passed since the first refusal, and at most a quarter more so that callers do not return together.
    assert!((1.0..=3.75).contains(&retry_after), "{retry_after}");
    assert_eq!(platform.servers.iter().map(Server::received).sum::<usize>(), before);
}
