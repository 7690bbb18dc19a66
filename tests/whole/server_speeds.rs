//! Engines of different speed that state how slow they are now, behind the real binary.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::task::JoinSet;

use crate::testenv::platform::{Platform, read_events};

/// Time in which each engine gets streams and its speed is learnt.
const LEARNING_TIME: Duration = Duration::from_secs(5);

/// Time between two streams while the speeds are learnt, so that each engine always has some.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);

/// Streams that are sent once the speeds are known.
const STREAMS: usize = 20;

/// Streams that are sent at once: as many as one engine runs, so that all engines have room for all of them.
const BURST: usize = 24;

/// Events of a stream. The slow engine needs 3 s for them; callers wait for 4 s.
const EVENTS: u64 = 15;

/// Starts four engines that send an event each 40 ms, the first of them each 200 ms.
async fn start() -> Platform {
    let platform = Platform::start_with_engines(4, EVENTS, Duration::from_millis(40)).await;
    platform.engines[0].set_slowness(5.0);
    platform
}

/// Sends streams for [`LEARNING_TIME`], and reads them to their ends.
async fn learn(platform: Platform) -> Platform {
    let platform = Arc::new(platform);
    let mut streams = JoinSet::new();
    let count = LEARNING_TIME.as_millis() / STREAM_INTERVAL.as_millis();
    for index in 0..count {
        let platform = Arc::clone(&platform);
        streams.spawn(async move {
            let response = platform.send(&format!("l-{index}"), "/rebuild/1", &[]).await;
            read_events(response.expect("a response")).await
        });
        tokio::time::sleep(STREAM_INTERVAL).await;
    }
    while streams.join_next().await.is_some() {}
    Arc::into_inner(platform).expect("all streams have ended")
}

/// Runs streams one after the other, and returns how many the slow engine got.
async fn run_streams(platform: &Platform) -> usize {
    let before = platform.engines[0].received();
    for index in 0..STREAMS {
        let response = platform.send(&format!("s-{index}"), "/rebuild/1", &[]).await;
        let response = response.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        let (events, complete) = read_events(response).await;
        assert!(complete && events.len() as u64 == EVENTS);
    }
    platform.engines[0].received() - before
}

/// Sends [`BURST`] streams at once to engines without any, and returns how many the slow engine got.
async fn run_burst(platform: Platform) -> usize {
    let before = platform.engines[0].received();
    let platform = Arc::new(platform);
    let mut streams = JoinSet::new();
    for index in 0..BURST {
        let platform = Arc::clone(&platform);
        streams.spawn(async move {
            let response = platform.send(&format!("b-{index}"), "/rebuild/1", &[]).await;
            read_events(response.expect("a response")).await
        });
    }
    while let Some(read) = streams.join_next().await {
        assert!(read.expect("no panic").1, "a complete stream");
    }
    platform.engines[0].received() - before
}

/// Guards against measurements or statements that do not reach the choice.
#[tokio::test(flavor = "multi_thread")]
async fn streams_avoid_an_engine_that_pauses_for_too_long() {
    let platform = start().await;
    for engine in platform.engines.iter() {
        engine.state_load(24, Some(100));
    }

    let platform = learn(platform).await;

    platform
        .wait_until("logged", async || {
            let changes = platform.log_lines("server changed its speed");
            changes.iter().any(|line| line["server"] == "e-1" && line["slow"] == true)
        })
        .await;
    assert_eq!(run_streams(&platform).await, 0);
}

/// Guards against a change where servers do not state how slow they are.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_fourth_figure_streams_are_spread_as_before() {
    let platform = start().await;
    for engine in platform.engines.iter() {
        engine.state_load(24, None);
    }

    let platform = learn(platform).await;

    assert!(platform.log_lines("server changed its speed").is_empty());
    // Half of an even share. While streams arrive one by one, the slow engine gets few, as each stays there for longer.
    let received = run_burst(platform).await;
    assert!(received >= BURST / 4 / 2, "{received} of {BURST}");
}
