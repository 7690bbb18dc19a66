//! Streams that are slow, and streams that stall although bytes still arrive.

use std::time::{Duration, Instant};

use standin::platform::{Endless, Place};
use tokio::task::JoinSet;

use crate::testenv::platform::{EVENTS, Platform, next_address, read_events};

/// Deadline of a long stream, in milliseconds: within the timeout of its route.
const LONG: [(&str, &str); 1] = [("nutmeghead-deadline-ms", "29000")];

/// Streams of which some begin at the stalled engine.
const STREAMS: usize = 12;

/// An entry host with `sound` engines and one more whose streams stall.
async fn start(sound: usize) -> (Platform, Endless) {
    start_with(sound, Place::Trickle).await
}

/// An entry host with `sound` engines and one more whose streams have bytes without end in this place.
async fn start_with(sound: usize, place: Place) -> (Platform, Endless) {
    let interval = Duration::from_millis(30);
    let platform = Platform::start_with_engines(sound, EVENTS, interval).await;
    let stalled = Endless::start(next_address(), "x-1", place).await.expect("started");
    platform.list_address("x-1", stalled.address(), "pool");
    let all = sound + platform.servers.len() + 1;
    let known = async || platform.log_lines("server added").len() >= all;
    platform.wait_until("the servers are known", known).await;
    (platform, stalled)
}

/// Guards against a stream that never ends because of bytes that complete no event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_that_cannot_be_resumed_ends() {
    let (platform, stalled) = start(0).await;
    let started = Instant::now();
    let response = platform.send("r-1", "/rebuild/1", &LONG).await.expect("a response");
    assert_eq!(read_events(response).await, (vec![1], false));
    let elapsed = started.elapsed();
    assert!((9..16).contains(&elapsed.as_secs()), "{elapsed:?}");
    let closed = async || stalled.open() == 0;
    platform.wait_until("the response is closed", closed).await;
}

/// Guards against a resumable stream that is kept at a stalled engine by bytes that complete no event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_that_can_be_resumed_continues_elsewhere() {
    let (platform, _stalled) = start(1).await;
    let platform = std::sync::Arc::new(platform);
    let mut streams = JoinSet::new();
    for index in 0..STREAMS {
        let platform = std::sync::Arc::clone(&platform);
        streams.spawn(async move {
            let response = platform.send(&format!("r-{index}"), "/check/1", &[]).await;
            read_events(response.expect("a response")).await
        });
    }
    let all = ((1..=EVENTS).collect::<Vec<_>>(), true);
    assert!(streams.join_all().await.iter().all(|stream| *stream == all));
    let stalled = platform.log_lines("engine response ended");
    assert!(stalled.iter().any(|line| line["server"] == "x-1"), "no stream began at the engine");
}

/// Guards against a bound on the whole stream in place of one between events.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_but_steady_stream_is_not_cut_off() {
    let platform = Platform::start_with_streams(8, Duration::from_millis(1_700)).await;
    let response = platform.send("r-1", "/rebuild/1", &LONG).await.expect("a response");
    assert_eq!(read_events(response).await, ((1..=8).collect(), true));
}

/// Guards against a stream that outlasts its deadline because bytes are always there to be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_comments_without_end_ends_at_its_deadline() {
    let (platform, endless) = start_with(0, Place::Comments).await;
    let mut streams = JoinSet::new();
    let platform = std::sync::Arc::new(platform);
    for (index, path) in ["/rebuild/1", "/check/1"].repeat(4).into_iter().enumerate() {
        let platform = std::sync::Arc::clone(&platform);
        streams.spawn(async move {
            let started = Instant::now();
            let deadline = [("nutmeghead-deadline-ms", "2000")];
            let response = platform.send(&format!("r-{index}"), path, &deadline).await;
            let stream = read_events(response.expect("a response")).await;
            assert_eq!(stream, (vec![1], false));
            started.elapsed()
        });
    }
    for elapsed in streams.join_all().await {
        // Far below the time after which such a stream counts as stalled.
        assert!(elapsed < Duration::from_secs(6), "{elapsed:?}");
    }
    let closed = async || endless.open() == 0;
    platform.wait_until("the responses are closed", closed).await;
}
