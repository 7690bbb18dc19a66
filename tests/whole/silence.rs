//! Engines and servers that are silent for some time and go on: silence alone does not end a response.

use std::time::Duration;

use http::StatusCode;
use standin::platform::{Behaviour, Server};

use crate::testenv::platform::{EVENTS, Platform, read_events};

/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(30);

/// The event before which engines are silent.
const SILENT_EVENT: u64 = 5;

/// Longer than the time after which another engine is asked to continue a stream, and than the process takes to ask.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Longer than the callers of the routes accept between two events.
const LONG_SILENCE: Duration = Duration::from_secs(11);

/// Deadline of a long request, in milliseconds: within the timeout of its route.
const LONG: [(&str, &str); 1] = [("nutmeghead-deadline-ms", "29000")];

/// The whole stream, complete.
fn whole() -> (Vec<u64>, bool) {
    ((1..=EVENTS).collect(), true)
}

/// An entry host and `count` engines that are silent for `time`.
async fn start(count: usize, time: Duration) -> Platform {
    let platform = Platform::start_with_engines(count, EVENTS, INTERVAL).await;
    platform.engines.iter().for_each(|engine| engine.set_silence(SILENT_EVENT, time));
    platform
}

/// Sends a request for a stream and reads it.
async fn stream(platform: &Platform, id: &str, path: &str) -> (Vec<u64>, bool) {
    let response = platform.send(id, path, &LONG).await.expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    read_events(response).await
}

/// The engine at which the request runs first, and the others.
fn split<'a>(platform: &'a Platform, id: &str) -> (&'a Server, Vec<&'a Server>) {
    let (first, others): (Vec<_>, Vec<_>) =
        platform.engines.iter().partition(|engine| engine.runs(id) > 0);
    (first[0], others)
}

/// Guards against a resumable stream that is cut at a silent engine although no other one may continue it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_of_one_attempt_outlasts_the_silence_of_its_engine() {
    let platform = start(2, SILENCE).await;
    platform.submit_changed(|document| document["routes"][3]["max_attempts"] = 1.into());
    let in_force = async || platform.log_lines("document in force").len() >= 2;
    platform.wait_until("the document is in force", in_force).await;
    assert_eq!(stream(&platform, "r-1", "/check/1").await, whole());
    assert_eq!(platform.runs("r-1"), 1);
}

/// Guards against a resumable stream that is cut at a silent engine although there is no other one.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_outlasts_the_silence_of_the_only_engine() {
    let platform = start(1, SILENCE).await;
    assert_eq!(stream(&platform, "r-1", "/check/1").await, whole());
    assert_eq!(platform.runs("r-1"), 1);
}

/// Guards against a resumable stream that is cut at a silent engine although the others refuse it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_outlasts_the_silence_of_its_engine_while_others_are_full() {
    let platform = start(2, SILENCE).await;
    let response = platform.send("r-1", "/check/1", &LONG).await.expect("a response");
    let (first, others) = split(&platform, "r-1");
    others.iter().for_each(|engine| engine.set_behaviour(Behaviour::Overloaded));
    assert_eq!(read_events(response).await, whole());
    assert_eq!(first.runs("r-1"), 1);
    assert!(others.iter().any(|engine| engine.received() > 0), "no other engine was asked");
}

/// Guards against a stream that is lost because the engine that was to continue it is silent, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_outlasts_the_silence_of_all_engines() {
    let platform = start(2, 2 * SILENCE).await;
    assert_eq!(stream(&platform, "r-1", "/check/1").await, whole());
}

/// Guards against a stream that stays at a silent engine although another one can continue it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_leaves_a_silent_engine_for_one_that_continues_it() {
    let platform = Platform::start_with_engines(2, EVENTS, INTERVAL).await;
    let response = platform.send("r-1", "/check/1", &LONG).await.expect("a response");
    let (first, others) = split(&platform, "r-1");
    first.set_silence(SILENT_EVENT, LONG_SILENCE);
    assert_eq!(read_events(response).await, whole());
    assert!(others.iter().any(|engine| engine.runs("r-1") == 1), "no other engine continued it");
    let closed = async || first.abandoned() == ["r-1"];
    platform.wait_until("the silent engine stops its work", closed).await;
}

/// Guards against two engines that produce events for the same stream, or a stream that begins anew.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_goes_on_first_keeps_its_stream() {
    let platform = start(2, Duration::from_secs(1)).await;
    let response = platform.send("r-1", "/check/1", &LONG).await.expect("a response");
    let (first, others) = split(&platform, "r-1");
    others.iter().for_each(|engine| engine.set_behaviour(Behaviour::Silent));
    assert_eq!(read_events(response).await, whole());
    assert!(first.abandoned().is_empty());
}

/// Guards against a stream that is cut because its engine was silent for longer than its callers accept.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_outlasts_a_long_silence() {
    let platform = start(1, LONG_SILENCE).await;
    assert_eq!(stream(&platform, "r-1", "/rebuild/1").await, whole());
}

/// Guards against a stream that another host serves and that is cut while its engine is silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_another_host_outlasts_the_silence_of_its_engine() {
    let (host, peers) = Platform::start_with_peers(1).await;
    for server in host.engines.iter().chain(host.servers.iter()) {
        server.stop_completely().await;
    }
    peers[0].set_silence(SILENT_EVENT, SILENCE);
    for path in ["/check/1", "/rebuild/1"] {
        assert_eq!(stream(&host, path, path).await, whole(), "{path}");
    }
    peers[0].set_silence(SILENT_EVENT, LONG_SILENCE);
    assert_eq!(stream(&host, "r-1", "/rebuild/1").await, whole());
}

/// Guards against a slow response that is given up before another server has accepted the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_response_is_kept_while_other_servers_refuse_the_request() {
    let platform = Platform::start_with_servers(2).await;
    // More than twice the objective of the route.
    platform.servers.iter().for_each(|server| server.set_work_time(Duration::from_secs(4)));
    let refuse_elsewhere = async {
        let runs = async || platform.runs("r-1") > 0;
        platform.wait_until("the request runs", runs).await;
        let others = platform.servers.iter().filter(|server| server.runs("r-1") == 0);
        others.for_each(|server| server.set_behaviour(Behaviour::Overloaded));
    };
    let (response, ()) = tokio::join!(platform.send("r-1", "/lookup/1", &LONG), refuse_elsewhere);
    assert_eq!(response.map(|response| response.status()), Some(StatusCode::OK));
    assert_eq!(platform.runs("r-1"), 1);
}

/// Guards against a slow response that is given up although no other server takes requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_response_of_the_only_server_is_kept() {
    let platform = Platform::start_with_servers(1).await;
    platform.servers[0].set_work_time(Duration::from_secs(4));
    let response = platform.send("r-1", "/lookup/1", &LONG).await;
    assert_eq!(response.map(|response| response.status()), Some(StatusCode::OK));
    assert_eq!(platform.runs("r-1"), 1);
}
