//! Servers that name a limit for the requests of all hosts together, while several hosts send them requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use http::header::RETRY_AFTER;
use standin::platform::Server;
use tokio::task::JoinSet;

use crate::testenv::platform::Platform;

/// Time within which hosts have to heed a limit.
const HEED_TIME: Duration = Duration::from_secs(3);

/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which callers send requests, and between two requests of all callers together: 40 a second.
const TRAFFIC_TIME: Duration = Duration::from_secs(9);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Time in which calls arrive at a host that is stopped, so that it handles them at the same moment.
const CALLS_ARRIVE_TIME: Duration = Duration::from_millis(300);

/// Time allowed for the refusal of a request that no server takes: far below its deadline of 4 s.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// A limit, as text and as a number.
const LIMIT: (&str, f64) = ("3.3", 3.3);

/// The most requests that a server with a limit may get in [`WINDOW`].
fn most_allowed((_, per_s): (&str, f64)) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn start_hosts() -> Arc<[Platform; 3]> {
    Platform::start().await.with_hosts().await
}

/// A response: its status, whether it says when to return, and the time until it came.
struct Seen {
    status: StatusCode,
    has_return_time: bool,
    time: Duration,
}

/// Sends calls to all hosts in turn, for [`TRAFFIC_TIME`].
async fn send_calls(hosts: &Arc<[Platform; 3]>, name: &'static str) -> Vec<Seen> {
    let started = Instant::now();
    let mut sending = JoinSet::new();
    for index in 0.. {
        if started.elapsed() >= TRAFFIC_TIME {
            break;
        }
        let hosts = Arc::clone(hosts);
        sending.spawn(async move {
            let path = ["/lookup/1", "/swap/1"][index % 2];
            let sent = Instant::now();
            let id = format!("{name}-{index}");
            let response = hosts[index % hosts.len()].send(&id, path, &[]).await;
            let response = response.expect("a response");
            let has_return_time = response.headers().contains_key(RETRY_AFTER);
            Seen { status: response.status(), has_return_time, time: sent.elapsed() }
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    sending.join_all().await
}

fn served(seen: &[Seen]) -> usize {
    seen.iter().filter(|seen| seen.status == StatusCode::OK).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_more_than_its_limit_from_all_hosts() {
    let hosts = start_hosts().await;
    let limited = &hosts[0].servers[0];
    limited.set_limit(Some(LIMIT.0));
    let named = Instant::now();
    let seen = send_calls(&hosts, "r").await;
    let most = limited.most_received(WINDOW, named + HEED_TIME);
    assert!(most <= most_allowed(LIMIT), "{most} requests in {WINDOW:?}");
    assert_eq!(served(&seen), seen.len(), "the other server takes the rest");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_no_server_takes_is_refused_at_once_and_the_limits_are_used() {
    let hosts = start_hosts().await;
    hosts[0].servers.iter().for_each(|server| server.set_limit(Some(LIMIT.0)));
    let named = Instant::now();
    let seen = send_calls(&hosts, "r").await;
    for server in hosts[0].servers.iter() {
        let most = server.most_received(WINDOW, named + HEED_TIME);
        assert!(most <= most_allowed(LIMIT), "{most} requests in {WINDOW:?}");
        let received = server.received_since(named + HEED_TIME) as f64;
        let allowed = LIMIT.1 * (TRAFFIC_TIME - HEED_TIME).as_secs_f64();
        assert!(received >= allowed / 2.0, "{received} of {allowed}");
    }
    for seen in seen.iter().filter(|seen| seen.status != StatusCode::OK) {
        assert_eq!((seen.status, seen.has_return_time), (StatusCode::SERVICE_UNAVAILABLE, true));
        assert!(seen.time < MAX_REFUSAL_TIME, "{:?}", seen.time);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_names_no_limit_any_more_gets_its_share_again() {
    let hosts = start_hosts().await;
    let server = &hosts[0].servers[0];
    server.set_limit(Some(LIMIT.0));
    send_calls(&hosts, "r").await;
    server.set_limit(None);
    let ended = Instant::now();
    send_calls(&hosts, "s").await;
    let most = server.most_received(WINDOW, ended + HEED_TIME);
    assert!(most > 2 * most_allowed(LIMIT), "{most} requests in {WINDOW:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_of_engines_holds_for_streams() {
    let hosts = start_hosts().await;
    let limited = &hosts[0].engines[0];
    limited.set_limit(Some(LIMIT.0));
    let named = Instant::now();
    let mut reading = JoinSet::new();
    for index in 0..(TRAFFIC_TIME.as_millis() / 50) as usize {
        let hosts = Arc::clone(&hosts);
        reading.spawn(async move {
            let path = ["/rebuild/1", "/check/1"][index % 2];
            let response = hosts[index % 3].send(&format!("r-{index}"), path, &[]).await;
            drop(response);
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    reading.join_all().await;
    let most = limited.most_received(WINDOW, named + HEED_TIME);
    assert!(most <= most_allowed(LIMIT), "{most} requests in {WINDOW:?}");
    let rest = &hosts[0].engines[1];
    assert!(
        rest.received_since(named) > Server::received(limited),
        "the other engine takes the rest"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_responses_learns_a_limit_and_its_end_from_others() {
    let hosts = start_hosts().await;
    let server = &hosts[0].servers[0];
    let told = async |per_s: Option<f64>| {
        for index in 0..20 {
            let _ = hosts[0].call(&format!("{per_s:?}-{index}"), "/lookup/1").await;
        }
        let lines = hosts[2].log_lines("server names another limit");
        let last = lines.last().filter(|line| line["server"] == server.id());
        last.is_some_and(|line| line["source"] == "host" && line["per_s"].as_f64() == per_s)
    };
    for limit in [Some("40"), None] {
        server.set_limit(limit);
        let per_s = limit.map(|text| text.parse().expect("a number"));
        hosts[0].wait_until("the third host learns it", async || told(per_s).await).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_at_the_same_moment_do_not_exceed_a_limit() {
    let platform = Arc::new(Platform::start().await);
    let limited = &platform.servers[0];
    limited.set_limit(Some("0.5"));
    let known = async || {
        let _ = platform.call("r", "/lookup/1").await;
        !platform.log_lines("server names another limit").is_empty()
    };
    platform.wait_until("the limit is known", known).await;
    // The host may send a request again.
    tokio::time::sleep(WINDOW).await;
    let sent = Instant::now();
    platform.signal("STOP");
    let mut calls = JoinSet::new();
    for index in 0..40 {
        let platform = Arc::clone(&platform);
        calls.spawn(async move { platform.call(&format!("s-{index}"), "/lookup/1").await });
    }
    tokio::time::sleep(CALLS_ARRIVE_TIME).await;
    platform.signal("CONT");
    calls.join_all().await;
    let most = limited.most_received(WINDOW, sent);
    assert!(most <= most_allowed(("0.5", 0.5)), "{most} requests in {WINDOW:?}");
}
