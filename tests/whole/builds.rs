//! Streams while engines of several builds serve: all events of a stream come from engines of one build.

use std::time::Duration;

use http::{Response, StatusCode};
use hyper::body::Incoming;
use standin::platform::Behaviour;

use crate::testenv::platform::{EVENTS, Platform, read_stream};

/// Builds of the four engines: two pairs.
const TWO_BUILDS: [&str; 4] = ["v1", "v1", "v2", "v2"];

/// Streams started in each test: enough that a choice of engines by load alone would mix builds.
const STREAMS: usize = 8;

/// Time after the start of the second host after which both know each other: load reports are sent every 0.5 s.
const HOSTS_MEET_TIME: Duration = Duration::from_millis(1_200);

/// Build of the engine `e-N` in [`TWO_BUILDS`], in each line of an event `N by e-N`.
fn builds_of(text: &str) -> Vec<&'static str> {
    let engines = text.lines().filter_map(|line| line.split_once(" by e-"));
    let number = |name: &str| name.trim().parse::<usize>().expect("a number");
    let mut builds: Vec<_> = engines.map(|(_, name)| TWO_BUILDS[number(name) - 1]).collect();
    builds.dedup();
    builds
}

fn event_count(text: &str) -> u64 {
    text.lines().filter(|line| line.contains(" by e-")).count() as u64
}

/// Resumes the stream that request `began` began, after event `last`.
async fn resume(platform: &Platform, id: &str, began: &str, last: u64) -> Response<Incoming> {
    let last = last.to_string();
    let headers = [("resumes", began), ("last-event-id", last.as_str())];
    platform.send(id, "/check/1", &headers).await.expect("a response")
}

/// Starts a stream at each engine that breaks in its third event and cannot be continued by the host. Returns its text.
async fn start_broken_stream(platform: &Platform, id: &str) -> String {
    platform.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::TruncatingStreams));
    let response = platform.send(id, "/check/1", &[]).await.expect("a response");
    let (text, complete) = read_stream(response).await;
    assert!(!complete, "{text}");
    platform.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Healthy));
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn a_migrating_stream_stays_at_its_build() {
    for _ in 0..STREAMS / 2 {
        let platform = Platform::start_with_builds(TWO_BUILDS).await;
        let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
        let reading = tokio::spawn(read_stream(response));
        let source = platform.engines.iter().position(|engine| engine.runs("r-1") == 1);
        let source = source.expect("an execution");
        platform.list_build(&platform.engines[source], "pool", "draining", TWO_BUILDS[source]);
        let (text, complete) = reading.await.expect("joined");
        assert_eq!((event_count(&text), complete), (EVENTS, true));
        assert_eq!(builds_of(&text), [TWO_BUILDS[source]], "{text}");
        assert_eq!(platform.runs("r-1"), 2, "it migrates to the other engine of its build");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_fails_is_resumed_at_its_build_only() {
    let platform = Platform::start_with_builds(TWO_BUILDS).await;
    platform.engines[0].set_behaviour(Behaviour::TruncatingStreams);
    platform.engines[2].set_behaviour(Behaviour::TruncatingStreams);
    for index in 0..STREAMS {
        let id = format!("r-{index}");
        let response = platform.send(&id, "/check/1", &[]).await.expect("a response");
        let (text, complete) = read_stream(response).await;
        assert_eq!((event_count(&text), complete), (EVENTS, true));
        assert_eq!(builds_of(&text).len(), 1, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_its_stream_at_the_build_that_began_it() {
    let platform = Platform::start_with_builds(TWO_BUILDS).await;
    for index in 0..STREAMS {
        let began = format!("r-{index}");
        let mut text = start_broken_stream(&platform, &began).await;
        let resumed = resume(&platform, &format!("s-{index}"), &began, event_count(&text)).await;
        assert_eq!(resumed.status(), StatusCode::OK);
        text += &read_stream(resumed).await.0;
        assert_eq!(event_count(&text), EVENTS);
        assert_eq!(builds_of(&text).len(), 1, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_at_another_host_after_its_host_was_killed() {
    for _ in 0..STREAMS / 2 {
        let first = Platform::start_with_builds(TWO_BUILDS).await;
        let second = first.start_host(2).await;
        tokio::time::sleep(HOSTS_MEET_TIME).await;
        let mut text = start_broken_stream(&first, "r-1").await;
        first.kill();
        let resumed = resume(&second, "s-1", "r-1", event_count(&text)).await;
        assert_eq!(resumed.status(), StatusCode::OK);
        text += &read_stream(resumed).await.0;
        assert_eq!(event_count(&text), EVENTS);
        assert_eq!(builds_of(&text).len(), 1, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_started_later_learns_from_another_where_a_stream_began() {
    let first = Platform::start_with_builds(TWO_BUILDS).await;
    let keeper = first.start_host(2).await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    let text = start_broken_stream(&first, "r-1").await;
    let later = first.start_host(3).await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    first.kill();
    let resumed = resume(&later, "s-1", "r-1", event_count(&text)).await;
    assert_eq!(resumed.status(), StatusCode::OK);
    let text = text + &read_stream(resumed).await.0;
    assert_eq!(builds_of(&text).len(), 1, "{text}");
    drop(keeper);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_shuts_down_hands_over_where_streams_began() {
    let first = Platform::start_with_builds(TWO_BUILDS).await;
    let text = start_broken_stream(&first, "r-1").await;
    let second = first.start_host(2).await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    first.signal("TERM");
    assert!(first.exited_successfully().await);
    let resumed = resume(&second, "s-1", "r-1", event_count(&text)).await;
    assert_eq!(resumed.status(), StatusCode::OK);
    let text = text + &read_stream(resumed).await.0;
    assert_eq!(builds_of(&text).len(), 1, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_began_at_an_unknown_build_is_refused_as_not_run() {
    let platform = Platform::start_with_builds(TWO_BUILDS).await;
    let refused = resume(&platform, "s-1", "unknown", 2).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(platform.runs("s-1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_resumed_while_no_engine_of_its_build_serves() {
    let platform = Platform::start_with_builds(TWO_BUILDS).await;
    let text = start_broken_stream(&platform, "r-1").await;
    let build = builds_of(&text)[0];
    for (engine, of) in platform.engines.iter().zip(TWO_BUILDS) {
        if of == build {
            platform.list_build(engine, "pool", "draining", of);
        }
    }
    platform
        .wait_until("both engines leave", async || platform.log_lines("server leaving").len() >= 2)
        .await;
    let refused = resume(&platform, "s-1", "r-1", event_count(&text)).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(platform.runs("s-1"), 0);
}
