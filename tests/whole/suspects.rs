//! A server that accepts connections and breaks off what it is sent, beside others, at several hosts.

use std::sync::Arc;

use http::StatusCode;
use serde_json::Value;
use standin::platform::Behaviour;
use tokio::task::JoinSet;

use crate::testenv::platform::Platform;

/// Calls of one burst.
const CALLS: usize = 24;

/// Calls of the burst that may be lost: one trial of the server.
const MAX_LOST: usize = 1;

/// Most calls that a host sends until the server has broken off one of them.
const MAX_CALLS: usize = 200;

/// Three entry hosts and four backend servers.
async fn start_hosts() -> Arc<[Platform; 3]> {
    Platform::start_with_servers(4).await.with_hosts().await
}

async fn is_served(host: &Platform, id: &str, path: &str) -> bool {
    host.call(id, path).await.is_some_and(|(status, _)| status == StatusCode::OK)
}

/// Sends calls that must not be repeated to `host` until one of them is lost.
async fn lose_one(host: &Platform, name: &str) {
    for index in 0..MAX_CALLS {
        if !is_served(host, &format!("{name}-{index}"), "/swap/1").await {
            return;
        }
    }
    panic!("no call reached the server");
}

/// Whether `host` sets the first server aside, by its last log line of this.
fn sets_aside(host: &Platform) -> bool {
    let lines = host.log_lines("server breaks off requests");
    lines.last().is_some_and(|line: &Value| line["set_aside"] == true)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_learns_from_others_of_a_server_that_breaks_off_requests() {
    let hosts = start_hosts().await;
    hosts[0].servers[0].set_behaviour(Behaviour::Disconnecting);
    tokio::join!(lose_one(&hosts[0], "first"), lose_one(&hosts[1], "second"));
    hosts[2].wait_until("the server is set aside", async || sets_aside(&hosts[2])).await;

    let mut sending = JoinSet::new();
    for index in 0..CALLS {
        let hosts = Arc::clone(&hosts);
        sending
            .spawn(async move { is_served(&hosts[2], &format!("third-{index}"), "/swap/1").await });
    }
    let served = sending.join_all().await.into_iter().filter(|served| *served).count();
    assert!(served >= CALLS - MAX_LOST, "{served} of {CALLS}");

    hosts[0].servers[0].set_behaviour(Behaviour::Healthy);
    for (number, host) in hosts.iter().enumerate() {
        let mut calls = 0;
        host.wait_until("the server is used again", async || {
            calls += 1;
            is_served(host, &format!("after-{number}-{calls}"), "/lookup/1").await;
            !sets_aside(host)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_servers_are_used_if_all_break_off_requests() {
    let hosts = start_hosts().await;
    hosts[0].servers.iter().for_each(|server| server.set_behaviour(Behaviour::Disconnecting));
    for index in 0..CALLS {
        assert!(!is_served(&hosts[index % 3], &format!("lost-{index}"), "/swap/1").await);
    }
    hosts[0].servers.iter().for_each(|server| server.set_behaviour(Behaviour::Healthy));
    for index in 0..CALLS {
        assert!(is_served(&hosts[index % 3], &format!("after-{index}"), "/swap/1").await);
    }
}
