//! Requests that run on several engines: at most on as many as their route allows, from the first to the last.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use standin::platform::{Behaviour, Server};
use tokio::task::JoinSet;

use crate::testenv::platform::{EVENTS, Platform, read_events};

/// Most engines of a request, as in the document.
const MAX_ATTEMPTS: usize = 2;

/// Requests of which some run at the faulty engine first.
const REQUESTS: usize = 8;

const INTERVAL: Duration = Duration::from_millis(30);

/// The event before which engines are silent, and for how long: until another engine is asked.
const SILENT_EVENT: u64 = 5;
const SILENCE: Duration = Duration::from_millis(1_500);

/// Deadline of the requests, in milliseconds.
const DEADLINE: [(&str, &str); 1] = [("nutmeghead-deadline-ms", "6000")];

/// Longer than the time after which a second engine is asked to begin a stream.
const SLOW_START: Duration = Duration::from_secs(2);

/// Engines of which one behaves in this way, and an entry host.
async fn start(faulty: Behaviour, others: fn(&Server)) -> Platform {
    let platform = Platform::start_with_engines(4, EVENTS, INTERVAL).await;
    platform.engines[0].set_behaviour(faulty);
    platform.engines[1..].iter().for_each(others);
    platform
}

/// Sends requests at the same time, and checks the number of engines that ran each, at least one of them the faulty one.
async fn check(platform: Platform, description: &str) {
    let platform = Arc::new(platform);
    let mut sending = JoinSet::new();
    for index in 0..REQUESTS {
        let platform = Arc::clone(&platform);
        sending.spawn(async move {
            let id = format!("r-{index}");
            let response = platform.send(&id, "/check/1", &DEADLINE).await.expect("a response");
            if response.status() == StatusCode::OK {
                read_events(response).await;
            }
            platform.engines.iter().map(|engine| engine.runs(&id) > 0).collect::<Vec<_>>()
        });
    }
    let ran = sending.join_all().await;
    for engines in &ran {
        let count = engines.iter().filter(|ran| **ran).count();
        assert!(count <= MAX_ATTEMPTS, "{description}: ran on {count} engines");
    }
    assert!(
        ran.iter().any(|engines| engines[0]),
        "{description}: the faulty engine got no request"
    );
}

fn fall_silent(engine: &Server) {
    engine.set_silence(SILENT_EVENT, SILENCE);
}

/// Guards against a stream for which the runs before it began are forgotten when it continues at another engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_began_after_a_failure_continues_on_no_further_engine() {
    for faulty in [Behaviour::Failing, Behaviour::Disconnecting, Behaviour::Unstamped] {
        let platform = start(faulty, fall_silent).await;
        check(platform, &format!("{faulty:?}, then silence")).await;

        let break_off = |engine: &Server| engine.set_behaviour(Behaviour::TruncatingStreams);
        let platform = start(faulty, break_off).await;
        check(platform, &format!("{faulty:?}, then a break")).await;
    }
}

/// Guards against a stream that was slow to begin, so that a second engine was asked, and for which the first is forgotten.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_began_beside_a_slow_attempt_continues_on_no_further_engine() {
    let platform = start(Behaviour::Silent, fall_silent).await;
    check(platform, "slow, then silence").await;
}

/// Guards against a second engine that was asked beside a slow one and is forgotten because the slow one began after all.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_began_slowly_continues_on_no_further_engine() {
    let begin_late = |engine: &Server| {
        engine.set_behaviour(Behaviour::TruncatingStreams);
        engine.set_head_delay(SLOW_START);
    };
    let platform = start(Behaviour::TruncatingStreams, begin_late).await;
    begin_late(&platform.engines[0]);
    check(platform, "slow, then a break").await;
}
