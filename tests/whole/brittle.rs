//! Servers that say that they fall over if they have to turn many requests away, while several hosts send them calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use standin::platform::Server;
use tokio::task::JoinSet;

use crate::testenv::platform::Platform;

/// Servers, calls that each runs at once, as its entry says, and calls that each may turn away in a second.
const SERVERS: usize = 3;
const ROOM: usize = 24;
const REJECTIONS: usize = 6;

/// Time for which a call runs: all servers together run 120 calls a second.
const WORK_TIME: Duration = Duration::from_millis(600);

/// Time until a server that fell over is back.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Time within which hosts have to heed what servers say.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which callers send calls after that.
const TRAFFIC_TIME: Duration = Duration::from_secs(8);

/// Falls that are allowed: two and a tenth of the servers.
const MAX_FALLS: usize = 2 + SERVERS / 10;

/// What became of calls that were sent later than [`CONTACT_TIME`].
struct Outcome {
    falls: usize,
    sent: usize,
    served: usize,
    /// Calls that were neither served nor refused as not run.
    failed: usize,
}

/// Sends a call each `interval` to three hosts in turn. Hosts learn what the servers say from the first ones.
async fn send_calls(interval: Duration) -> Outcome {
    let hosts = Platform::start_with_servers(SERVERS).await.with_hosts().await;
    for server in hosts[0].servers.iter() {
        server.set_work_time(WORK_TIME);
        server.set_brittle(REJECTIONS, ROOM, RESTART_DELAY);
    }
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for index in 0.. {
        if started.elapsed() > CONTACT_TIME + TRAFFIC_TIME {
            break;
        }
        let hosts = Arc::clone(&hosts);
        let sent = started.elapsed();
        calls.spawn(async move {
            let id = format!("r-{index}");
            let response = hosts[index % hosts.len()].send(&id, "/lookup/1", &[]).await;
            (sent, response.map(|response| response.status()))
        });
        tokio::time::sleep(interval).await;
    }
    let calls = calls.join_all().await;
    let later: Vec<_> = calls.into_iter().filter(|(sent, _)| *sent > CONTACT_TIME).collect();
    let count = |status| later.iter().filter(|(_, seen)| *seen == Some(status)).count();
    let (served, refused) = (count(StatusCode::OK), count(StatusCode::SERVICE_UNAVAILABLE));
    let crashes = hosts[0].servers.iter().flat_map(Server::crashes);
    let falls = crashes.filter(|at| *at > started + CONTACT_TIME).count();
    Outcome { falls, sent: later.len(), served, failed: later.len() - served - refused }
}

#[tokio::test(flavor = "multi_thread")]
async fn brittle_servers_do_not_fall_over_under_too_many_calls() {
    let Outcome { falls, sent, served, failed } = send_calls(Duration::from_millis(4)).await;
    assert!(falls <= MAX_FALLS, "{falls} falls, {served} of {sent} served, {failed} failed");
    let capacity = (SERVERS * ROOM) as f64 / WORK_TIME.as_secs_f64() * TRAFFIC_TIME.as_secs_f64();
    assert!(served as f64 > capacity / 2.0, "{served} of {sent} served, {capacity} possible");
}

#[tokio::test(flavor = "multi_thread")]
async fn brittle_servers_with_room_serve_all_calls() {
    let Outcome { falls, sent, served, .. } = send_calls(Duration::from_millis(25)).await;
    assert_eq!(falls, 0);
    assert!(served * 50 >= sent * 49, "{served} of {sent} served");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_at_one_host_is_known_at_the_others() {
    let hosts = Platform::start_with_servers(SERVERS).await.with_hosts().await;
    for server in hosts[0].servers.iter() {
        server.set_brittle(2, 0, RESTART_DELAY);
    }
    let received = || hosts[0].servers.iter().map(Server::received).sum::<usize>();
    let first = hosts[0].send("first", "/lookup/1", &[]).await.expect("a response");
    assert_eq!(first.status(), StatusCode::SERVICE_UNAVAILABLE);
    let before = received();
    // Within the time in which a server bears one more rejection.
    tokio::time::sleep(Duration::from_millis(150)).await;
    for (index, host) in hosts.iter().enumerate() {
        let response = host.send(&format!("later-{index}"), "/lookup/1", &[]).await;
        assert_eq!(response.expect("a response").status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!((before, received()), (SERVERS, SERVERS));
}

/// A call that ran on all servers when they fell over is not the cause.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_runs_on_servers_that_fall_over_is_served_afterwards() {
    let hosts = Platform::start_with_servers(SERVERS).await.with_hosts().await;
    for server in hosts[0].servers.iter() {
        server.set_work_time(WORK_TIME);
        server.set_brittle(0, 2, RESTART_DELAY / 5);
    }
    let mut calls = JoinSet::new();
    for index in 0..60 {
        let hosts = Arc::clone(&hosts);
        calls.spawn(async move {
            hosts[index % hosts.len()].send(&format!("r-{index}"), "/lookup/1", &[]).await
        });
    }
    calls.join_all().await;
    let fallen = hosts[0].servers.iter().filter(|server| !server.crashes().is_empty()).count();
    assert_eq!(fallen, SERVERS);
    tokio::time::sleep(RESTART_DELAY).await;
    for (index, host) in hosts.iter().enumerate() {
        host.wait_until("the call is served", async || {
            let response = host.send(&format!("later-{index}"), "/lookup/1", &[]).await;
            response.is_some_and(|response| response.status() == StatusCode::OK)
        })
        .await;
    }
}
