//! One request that crashes each server that begins to run it and comes again, at several hosts, beside sound requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use http::header::RETRY_AFTER;
use standin::platform::{Behaviour, CrashPoint, OTHER_KEY, Server};
use tokio::task::JoinSet;

use crate::testenv::platform::{HOSTS_MEET_TIME, Platform, read_events};

/// Body of the request that crashes servers. That of other requests is `body`.
const FATAL: &str = "fatal";

/// Crashes after which, once hosts had time to tell each other, the request may reach servers [`MAX_LATER`] more times.
const CRASHES: usize = 3;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MAX_LATER: usize = 3;

/// Copies of the request, and time between two of them.
const COPIES: usize = 50;
const COPY_INTERVAL: Duration = Duration::from_millis(150);

/// Time for which a call runs, so that sound ones run beside the one that crashes the server.
const WORK_TIME: Duration = Duration::from_millis(40);

/// Calls of one kind by many callers, ten of which run at the same time.
const FREQUENT_CALLS: usize = 800;

/// Time until a crashed server is back.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);

/// Time allowed for the refusal of a request that cannot be served: far below its deadline of 4 s.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Parts of the prompts of streams; the last part is the request's own.
const PARTS: &str = "shared:79,own:5";

/// Three entry hosts, three backend servers, and two engines.
async fn start_hosts() -> Arc<[Platform; 3]> {
    let hosts = Platform::start_with_servers(3).await.with_hosts().await;
    hosts[0].servers.iter().for_each(|server| server.set_work_time(WORK_TIME));
    hosts
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/check") || path.starts_with("/rebuild")
}

/// The servers that requests with `path` reach.
fn targets<'a>(host: &'a Platform, path: &str) -> &'a [Server] {
    if is_stream(path) { &host.engines } else { &host.servers }
}

fn crash_on(host: &Platform, path: &'static str, point: CrashPoint) {
    for server in targets(host, path) {
        server.crash_on_request("o-1", path, FATAL, point, RESTART_DELAY);
    }
}

/// Sends a request and returns whether it was served completely.
async fn is_served(host: &Platform, id: &str, path: &str, parts: &str, body: &'static str) -> bool {
    let headers = [("nutmeghead-prefix-hash", parts)];
    let headers = if is_stream(path) { &headers[..] } else { &[] };
    let response = host.send_body(id, path, headers, body).await;
    match response {
        Some(response) if response.status() == StatusCode::OK => read_events(response).await.1,
        _ => false,
    }
}

/// Sends copies of the request that crashes servers to all hosts in turn, beside sound ones. Returns which of the sound
/// ones that were sent in the last quarter were served. `parts` returns the parts of copy number `n`.
async fn send_copies(
    hosts: &Arc<[Platform; 3]>,
    path: &'static str,
    body: &'static str,
    parts: fn(usize) -> String,
) -> Vec<bool> {
    let mut sound = JoinSet::new();
    let mut fatal = JoinSet::new();
    for index in 0..COPIES {
        let sender = Arc::clone(hosts);
        fatal.spawn(async move {
            let id = format!("fatal-{index}");
            assert!(!is_served(&sender[index % 3], &id, path, &parts(index), body).await);
        });
        let sender = Arc::clone(hosts);
        sound.spawn(async move {
            let id = format!("sound-{index}");
            let parts = format!("shared:79,sound-{index}:5");
            let host = &sender[(index + 1) % 3];
            let served = is_served(host, &id, path, &parts, "body").await;
            (index >= COPIES * 3 / 4).then_some(served)
        });
        tokio::time::sleep(COPY_INTERVAL).await;
    }
    fatal.join_all().await;
    sound.join_all().await.into_iter().flatten().collect()
}

/// Arrivals of the request that crashes servers after its crashes are known to all hosts.
fn later_arrivals(host: &Platform, path: &str) -> usize {
    let targets = targets(host, path);
    let mut crashes: Vec<_> = targets.iter().flat_map(Server::crashes).collect();
    crashes.sort();
    let Some(known) = crashes.get(CRASHES - 1).map(|at| *at + CONTACT_TIME) else { return 0 };
    let arrivals = targets.iter().flat_map(|server| server.arrivals_of("fatal-"));
    arrivals.filter(|at| *at > known).count()
}

async fn check_few_more(path: &'static str, parts: fn(usize) -> String) {
    let hosts = start_hosts().await;
    crash_on(&hosts[0], path, CrashPoint::Head);
    check_copies(&hosts, path, FATAL, parts).await;
}

async fn check_copies(
    hosts: &Arc<[Platform; 3]>,
    path: &'static str,
    body: &'static str,
    parts: fn(usize) -> String,
) {
    let sound = send_copies(hosts, path, body, parts).await;
    let later = later_arrivals(&hosts[0], path);
    assert!(later <= MAX_LATER, "{later} more reached servers");
    let served = sound.iter().filter(|served| **served).count();
    assert_eq!(served, sound.len(), "sound requests beside");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_that_crashes_servers_reaches_few_more() {
    check_few_more("/lookup/1", |_| PARTS.to_owned()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_servers_inside_the_response_reaches_few_more() {
    let hosts = start_hosts().await;
    crash_on(&hosts[0], "/lookup/1", CrashPoint::InsideEvent);
    check_copies(&hosts, "/lookup/1", FATAL, |_| PARTS.to_owned()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_that_crashes_servers_reaches_few_more() {
    check_few_more("/swap/1", |_| PARTS.to_owned()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_own_prompt_part_crashes_engines_reaches_few_more() {
    let hosts = start_hosts().await;
    let engines = hosts[0].engines.iter();
    engines.for_each(|engine| engine.crash_on_part("own", CrashPoint::FirstEvent, RESTART_DELAY));
    check_copies(&hosts, "/check/1", "body", |_| PARTS.to_owned()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_that_crashes_engines_reaches_few_more() {
    check_few_more("/check/1", |_| PARTS.to_owned()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_crashes_engines_with_any_prompt_reaches_few_more() {
    check_few_more("/rebuild/1", |index| format!("shared:79,own-{index}:5")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashed_servers_is_refused_at_once_and_its_neighbours_are_served() {
    let hosts = start_hosts().await;
    crash_on(&hosts[0], "/lookup/1", CrashPoint::Head);
    send_copies(&hosts, "/lookup/1", FATAL, |_| PARTS.to_owned()).await;
    let before =
        targets(&hosts[0], "/lookup").iter().map(|server| server.crashes().len()).sum::<usize>();
    for (index, host) in hosts.iter().enumerate() {
        let id = format!("late-{index}");
        let response = host.send_body(&id, "/lookup/1", &[], FATAL);
        let response = tokio::time::timeout(MAX_REFUSAL_TIME, response).await;
        let response = response.expect("an early response").expect("a response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key(RETRY_AFTER));
        assert_eq!(host.runs(&id), 0);
        let bearer = format!("Bearer {OTHER_KEY}");
        let other_caller = [("authorization", bearer.as_str())];
        let neighbours = [
            ("caller", "/lookup/1", &other_caller[..], FATAL),
            ("path", "/lookup/2", &[], FATAL),
            ("body", "/lookup/1", &[], "body"),
        ];
        for (what, path, headers, body) in neighbours {
            let response = host.send_body(&format!("{what}-{index}"), path, headers, body).await;
            assert_eq!(response.expect("a response").status(), StatusCode::OK, "other {what}");
        }
    }
    let crashes = targets(&hosts[0], "/lookup").iter().map(|server| server.crashes().len());
    assert_eq!(crashes.sum::<usize>(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_later_knows_the_calls_that_crashed_servers() {
    let hosts = start_hosts().await;
    hosts[2].kill();
    crash_on(&hosts[0], "/lookup/1", CrashPoint::Head);
    for index in 0..COPIES / 2 {
        hosts[index % 2].send_body(&format!("fatal-{index}"), "/lookup/1", &[], FATAL).await;
        tokio::time::sleep(COPY_INTERVAL).await;
    }
    hosts[2].spawn();
    hosts[2].wait_readiness(true).await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    let response = hosts[2].send_body("late", "/lookup/1", &[], FATAL).await;
    assert_eq!(response.expect("a response").status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(hosts[2].runs("late"), 0);
}

/// All servers end at once under a call that many callers make, and it is not the cause.
#[tokio::test(flavor = "multi_thread")]
async fn a_frequent_call_is_served_again_when_the_servers_are_back() {
    let hosts = start_hosts().await;
    let mut calls = JoinSet::new();
    let started = Instant::now();
    for index in 0..FREQUENT_CALLS {
        if index == FREQUENT_CALLS / 3 {
            for server in hosts[0].servers.iter() {
                server.crash(RESTART_DELAY);
            }
        }
        let hosts = Arc::clone(&hosts);
        calls.spawn(async move {
            let (id, sent) = (format!("r-{index}"), started.elapsed());
            (sent, is_served(&hosts[index % 3], &id, "/lookup/1", "", "body").await)
        });
        tokio::time::sleep(WORK_TIME / 10).await;
    }
    let crashed = hosts[0].servers.iter().flat_map(Server::crashes).max().expect("a crash");
    let back = crashed - started + RESTART_DELAY * 3 / 2;
    let calls = calls.join_all().await;
    assert!(calls.iter().any(|(sent, _)| *sent > back), "calls after the servers are back");
    for (sent, served) in calls {
        assert!(served || sent < back, "sent {sent:?} after the start");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_running_servers_fail_is_not_refused() {
    let hosts = start_hosts().await;
    for behaviour in [Behaviour::Failing, Behaviour::Disconnecting] {
        hosts[0].servers.iter().for_each(|server| server.set_behaviour(behaviour));
        for index in 0..8 {
            let id = format!("{behaviour:?}-{index}");
            assert!(!is_served(&hosts[index % 3], &id, "/lookup/1", "", FATAL).await);
            tokio::time::sleep(COPY_INTERVAL).await;
        }
    }
    hosts[0].servers.iter().for_each(|server| server.set_behaviour(Behaviour::Healthy));
    for (index, host) in hosts.iter().enumerate() {
        host.wait_until("the call is served", async || {
            is_served(host, &format!("after-{index}"), "/lookup/1", "", FATAL).await
        })
        .await;
    }
}
