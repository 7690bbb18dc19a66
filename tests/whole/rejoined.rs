//! Streams whose callers resume them after all hosts were killed, or after engines started again with another build: no
//! text is joined from two builds, and what cannot be continued is refused as not run.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{Response, StatusCode};
use hyper::body::Incoming;
use standin::platform::Behaviour;

use crate::testenv::platform::{EVENTS, Platform, read_stream};

/// Streams started in each test: enough that a choice by load alone would mix builds.
const STREAMS: usize = 6;

/// When the first processes of the engines started, in milliseconds since the Unix epoch, as in their entries.
const FIRST_START_MS: u64 = 1;

/// Shorter timeout of the route of a changed document.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Builds in the lines of a text, without repetitions: an event is `N by e-N of BUILD`.
fn builds_of(text: &str) -> Vec<&str> {
    let events = text.lines().filter_map(|line| line.split_once(" by e-"));
    let mut builds: Vec<_> =
        events.filter_map(|(_, end)| Some(end.split_once(" of ")?.1)).collect();
    builds.dedup();
    builds
}

fn event_count(text: &str) -> u64 {
    text.lines().filter(|line| line.contains(" by e-")).count() as u64
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// A host with an engine of each of `builds`, which state their build in events.
async fn start<const N: usize>(builds: [&'static str; N]) -> Platform {
    let platform = Platform::start_with_builds(builds).await;
    for (engine, build) in platform.engines.iter().zip(builds) {
        engine.set_process(build, FIRST_START_MS);
    }
    platform
}

fn set_behaviour(platform: &Platform, behaviour: Behaviour) {
    platform.engines.iter().for_each(|engine| engine.set_behaviour(behaviour));
}

/// Starts a stream that breaks in its third event and cannot be continued by the host. Returns its text.
async fn start_broken_stream(platform: &Platform, id: &str) -> String {
    set_behaviour(platform, Behaviour::TruncatingStreams);
    let response = platform.send(id, "/check/1", &[]).await.expect("a response");
    let (text, complete) = read_stream(response).await;
    assert!(!complete, "{text}");
    set_behaviour(platform, Behaviour::Healthy);
    text
}

/// Resumes the stream of which `text` has arrived; `began` is the request that the caller names.
async fn resume(platform: &Platform, id: &str, began: &str, text: &str) -> Response<Incoming> {
    let last = event_count(text).to_string();
    let headers = [("resumes", began), ("last-event-id", last.as_str())];
    platform.send(id, "/check/1", &headers).await.expect("a response")
}

/// Checks that the resumed stream has events of one build only, or was refused as not run. Returns whether it was resumed.
async fn check_resumed(
    platform: &Platform,
    id: &str,
    mut text: String,
    resumed: Response<Incoming>,
) -> bool {
    if resumed.status() != StatusCode::OK {
        assert_eq!(resumed.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(resumed.headers().contains_key("retry-after"));
        assert_eq!(platform.runs(id), 0);
        return false;
    }
    text += &read_stream(resumed).await.0;
    assert_eq!(event_count(&text), EVENTS);
    assert_eq!(builds_of(&text).len(), 1, "{text}");
    true
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_joined_after_all_hosts_were_killed_while_two_builds_serve() {
    let hosts = start(["v1", "v1", "v2", "v2"]).await.with_hosts().await;
    let mut texts = Vec::new();
    for index in 0..STREAMS {
        texts.push(start_broken_stream(&hosts[index % 3], &format!("r-{index}")).await);
    }
    hosts.iter().for_each(Platform::kill);
    hosts.iter().for_each(Platform::spawn);
    for host in hosts.iter() {
        host.wait_readiness(true).await;
    }
    for (index, text) in texts.into_iter().enumerate() {
        let (host, id) = (&hosts[(index + 1) % 3], format!("s-{index}"));
        let resumed = resume(host, &id, &format!("r-{index}"), &text).await;
        check_resumed(host, &id, text, resumed).await;
    }
}

/// The hosts come back when only the new build serves, and wait for twice the timeout of the route, which a later document
/// has reduced: they must not conclude that the streams began at the new build.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_build_that_has_left_are_not_joined_after_all_hosts_were_killed() {
    let platform = start(["v1", "v2"]).await;
    platform.list_build(&platform.engines[1], "pool", "draining", "v2");
    let leaves = async || !platform.log_lines("server leaving").is_empty();
    platform.wait_until("the second engine leaves", leaves).await;
    let hosts = platform.with_hosts().await;
    let text = start_broken_stream(&hosts[0], "r-1").await;
    assert_eq!(builds_of(&text), ["v1"]);

    let store = &hosts[0].store;
    store.remove("keyed.servers", hosts[0].engines[0].id());
    hosts[0].list_incarnation(&hosts[0].engines[1], "pool", "ready", "v2", 2);
    hosts[0].engines[1].set_process("v2", 2);
    hosts[0].submit_changed(|document| {
        document["routes"][3]["timeout_ms"] = (SHORT_TIMEOUT.as_millis() as u64).into();
    });
    hosts.iter().for_each(Platform::kill);
    hosts.iter().for_each(Platform::spawn);
    for host in hosts.iter() {
        host.wait_readiness(true).await;
    }
    tokio::time::sleep(3 * SHORT_TIMEOUT).await;

    for (index, host) in hosts.iter().enumerate() {
        let id = format!("s-{index}");
        let resumed = resume(host, &id, "r-1", &text).await;
        assert!(!check_resumed(host, &id, text.clone(), resumed).await, "its build has left");
    }
}

/// The engines start again under their names with another build, and the host has not read that yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_continued_at_an_engine_that_started_again_with_another_build() {
    let platform = start(["v1", "v1"]).await;
    let text = start_broken_stream(&platform, "r-1").await;
    assert_eq!(builds_of(&text), ["v1"]);
    platform.engines.iter().for_each(|engine| engine.set_process("v2", unix_ms()));

    let resumed = resume(&platform, "s-1", "r-1", &text).await;

    assert!(!check_resumed(&platform, "s-1", text, resumed).await, "no engine of its build runs");
}

/// A stream begins at an engine that has started again with another build, before the host has read its new entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_began_at_an_engine_with_an_old_entry_is_not_continued_at_the_old_build() {
    let platform = start(["v1", "v1"]).await;
    let started_ms = unix_ms();
    platform.engines[0].set_process("v2", started_ms);
    let mut texts = Vec::new();
    for index in 0..2 * STREAMS {
        texts.push(start_broken_stream(&platform, &format!("r-{index}")).await);
    }
    assert!(texts.iter().any(|text| builds_of(text) == ["v2"]), "{texts:?}");
    platform.list_incarnation(&platform.engines[0], "pool", "ready", "v2", started_ms);
    let added = async || platform.log_lines("server added").len() >= 3;
    platform.wait_until("the entry of the new process is read", added).await;

    for (index, text) in texts.into_iter().enumerate() {
        let id = format!("s-{index}");
        let resumed = resume(&platform, &id, &format!("r-{index}"), &text).await;
        check_resumed(&platform, &id, text, resumed).await;
    }
}

/// The caller names the request that resumed the stream, not the one that began it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_was_resumed_once_is_resumed_again_at_its_build() {
    let platform = start(["v1", "v1", "v2", "v2"]).await;
    for index in 0..STREAMS {
        let (began, first, second) =
            (format!("r-{index}"), format!("s-{index}"), format!("t-{index}"));
        let mut text = start_broken_stream(&platform, &began).await;
        set_behaviour(&platform, Behaviour::TruncatingStreams);
        text += &read_stream(resume(&platform, &first, &began, &text).await).await.0;
        set_behaviour(&platform, Behaviour::Healthy);

        let resumed = resume(&platform, &second, &first, &text).await;

        assert!(check_resumed(&platform, &second, text, resumed).await, "its build serves");
    }
}
