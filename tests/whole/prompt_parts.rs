//! Requests that share a part of their prompts which crashes engines, at several hosts, beside requests that do not have it.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::header::RETRY_AFTER;
use standin::platform::{Behaviour, CrashPoint, Server};
use tokio::task::JoinSet;

use crate::testenv::platform::{EVENTS, HOSTS_MEET_TIME, Platform, read_events};

/// Crashes after which at most [`MAX_LATER_RUNS`] more requests with the part may reach engines.
const CRASHES: u32 = 5;

/// Requests with the part that may reach engines after [`CRASHES`].
const MAX_LATER_RUNS: u32 = 3;

/// Start of the parts of a prompt that crashes engines.
const BAD: &str = "shared:79,bad:100";

/// Requests with the crashing part in a test.
const REQUESTS: usize = 24;

/// Time between two requests with the crashing part.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two events of a long stream.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(150);

/// Time until a crashed engine is back.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);

/// Time allowed for the refusal of a request that cannot be served: far below its deadline of 4 s.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Three entry hosts and eight engines, at which each host has served a request with the part `shared`.
async fn start_hosts() -> Arc<[Platform; 3]> {
    let hosts = Platform::start_with_builds(["v1"; 8]).await.with_hosts().await;
    for (index, host) in hosts.iter().enumerate() {
        assert!(is_served(host, &format!("warm-{index}"), "shared:79,own:5").await);
    }
    hosts
}

fn crash_on_bad(host: &Platform, point: CrashPoint) {
    host.engines.iter().for_each(|engine| engine.crash_on_part("bad", point, RESTART_DELAY));
}

fn crashes(host: &Platform) -> usize {
    host.engines.iter().map(|engine| engine.crashes().len()).sum()
}

/// Sends a resumable request with these prompt parts and reads its response. Returns whether all events arrived.
async fn is_served(host: &Platform, id: &str, parts: &str) -> bool {
    let response = host.send(id, "/check/1", &[("nutmeghead-prefix-hash", parts)]).await;
    let Some(response) = response else { return false };
    if response.status() != StatusCode::OK {
        return false;
    }
    let (events, complete) = read_events(response).await;
    complete && events == (1..=EVENTS).collect::<Vec<_>>()
}

/// What became of the requests of [`send_bad`].
struct Outcome {
    /// How often requests with the crashing part reached engines.
    reached: u32,
    /// Requests without it that were served, of the second half.
    served: usize,
}

/// Sends requests with the crashing part to the hosts in turn, no two alike, beside requests without it. `bad` is the start
/// of their parts.
async fn send_bad(hosts: &Arc<[Platform; 3]>, bad: &str) -> Outcome {
    let mut sending = JoinSet::new();
    for index in 0..REQUESTS {
        let bad = format!("{bad},part-{index}:7,own-{index}:5");
        let sound = format!("shared:79,other:100,own-{index}:5");
        for (offset, parts) in [bad, sound].into_iter().enumerate() {
            let hosts = Arc::clone(hosts);
            sending.spawn(async move {
                let host = &hosts[(index + offset) % hosts.len()];
                let served = is_served(host, &request_id(index, offset), &parts).await;
                offset == 1 && index >= REQUESTS / 2 && served
            });
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let served = sending.join_all().await.into_iter().filter(|served| *served).count();
    let reached = (0..REQUESTS).map(|index| hosts[0].runs(&request_id(index, 0))).sum();
    Outcome { reached, served }
}

/// Identifier of request `index` with the crashing part, or with `offset` 1 of the one beside it.
fn request_id(index: usize, offset: usize) -> String {
    format!("r-{index}-{offset}")
}

/// Checks that few requests with the crashing part reach engines, and that the others are served meanwhile and afterwards.
async fn check_chain_ends(bad: &str, point: CrashPoint, unframed: bool) {
    let hosts = start_hosts().await;
    if unframed {
        hosts[0].engines.iter().for_each(Server::set_unframed);
    }
    crash_on_bad(&hosts[0], point);
    let Outcome { reached, served } = send_bad(&hosts, bad).await;
    assert!(reached <= CRASHES + MAX_LATER_RUNS, "{point:?}: {reached} reached engines");
    assert!(served >= REQUESTS / 4, "{point:?}: {served} served of {}", REQUESTS / 2);
    tokio::time::sleep(RESTART_DELAY).await;
    for (index, host) in hosts.iter().enumerate() {
        for parts in ["shared:79,other:100,own:5", "shared:79,own:5"] {
            assert!(is_served(host, &format!("after-{index}-{}", parts.len()), parts).await);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_before_the_head_reaches_few_more() {
    check_chain_ends(BAD, CrashPoint::Head, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_before_the_first_event_reaches_few_more() {
    check_chain_ends(BAD, CrashPoint::FirstEvent, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_inside_an_event_reaches_few_more() {
    check_chain_ends(BAD, CrashPoint::InsideEvent, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_with_unframed_responses_reaches_few_more() {
    check_chain_ends(BAD, CrashPoint::FirstEvent, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_between_events_reaches_few_more() {
    check_chain_ends(BAD, CrashPoint::AfterEvent, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_engines_between_events_of_unframed_responses_reaches_few_more() {
    check_chain_ends(BAD, CrashPoint::AfterEvent, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_part_that_crashes_engines_reaches_few_more() {
    check_chain_ends("bad:100,shared:79", CrashPoint::FirstEvent, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_part_that_crashed_engines_is_refused_at_once() {
    let hosts = start_hosts().await;
    crash_on_bad(&hosts[0], CrashPoint::FirstEvent);
    send_bad(&hosts, BAD).await;
    tokio::time::sleep(RESTART_DELAY).await;
    for (index, host) in hosts.iter().enumerate() {
        let id = format!("late-{index}");
        let parts = [("nutmeghead-prefix-hash", "shared:79,bad:100,own:5")];
        let response = tokio::time::timeout(MAX_REFUSAL_TIME, host.send(&id, "/check/1", &parts));
        let response = response.await.expect("an early response").expect("a response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key(RETRY_AFTER));
        assert_eq!(hosts[0].runs(&id), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_later_knows_the_parts_that_crashed_engines() {
    let hosts = start_hosts().await;
    hosts[2].kill();
    crash_on_bad(&hosts[0], CrashPoint::FirstEvent);
    send_bad(&hosts, BAD).await;
    hosts[2].spawn();
    hosts[2].wait_readiness(true).await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    let before = crashes(&hosts[0]);
    assert!(!is_served(&hosts[2], "late", "shared:79,bad:100,own:5").await);
    assert_eq!((crashes(&hosts[0]), hosts[0].runs("late")), (before, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_that_running_engines_break_off_refuse_no_part() {
    let hosts = start_hosts().await;
    for behaviour in
        [Behaviour::EmptyStreams, Behaviour::TruncatingStreams, Behaviour::Disconnecting]
    {
        hosts[0].engines.iter().for_each(|engine| engine.set_behaviour(behaviour));
        for index in 0..6 {
            let id = format!("{behaviour:?}-{index}");
            assert!(!is_served(&hosts[index % 3], &id, "part:79,own:5").await);
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
    hosts[0].engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Healthy));
    assert!(is_served(&hosts[0], "after", "part:79,own:5").await);
}

/// The part of generations that had run for long when their engines ended is not the cause.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_end_long_after_they_began_refuse_no_part() {
    let platform = Platform::start_with_engines(8, EVENTS, LONG_EVENT_INTERVAL).await;
    let platform = Arc::new(platform);
    let mut running = JoinSet::new();
    for index in 0..4 * platform.engines.len() {
        let platform = Arc::clone(&platform);
        running.spawn(async move {
            let parts = [("nutmeghead-prefix-hash", "part:79,own:5")];
            let response = platform.send(&format!("r-{index}"), "/rebuild/1", &parts).await;
            read_events(response.expect("a response")).await
        });
    }
    tokio::time::sleep(LONG_EVENT_INTERVAL * 10).await;
    for engine in &platform.engines[..4] {
        engine.stop();
        tokio::time::sleep(LONG_EVENT_INTERVAL).await;
    }
    running.join_all().await;
    assert!(is_served(&platform, "after", "part:79,own:5").await);
}
