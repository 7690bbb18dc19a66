//! The store comes back from a copy that is some seconds old: what was written since is lost.

use std::time::Duration;

use http::StatusCode;

use crate::testenv::platform::{EVENTS, KEY, Platform, read_events};

/// Time in which a host reads from the restored store several times.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

async fn status(platform: &Platform, key: &str) -> StatusCode {
    let headers = [("authorization", key)];
    platform.send("r", "/lookup/1", &headers).await.expect("a response").status()
}

async fn wait_restored(platform: &Platform, times: usize) {
    let noticed = async || platform.log_lines("store lost records").len() >= times;
    platform.wait_until("the host notices that the store lost records", noticed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removed_key_stays_removed_and_newer_documents_take_effect() {
    let platform = Platform::start().await;
    platform.store.copy();
    for keys in [["k-2"], ["k-3"], ["k-4"]] {
        platform.submit(&keys);
    }
    let in_force = async || status(&platform, "Bearer k-4").await == StatusCode::OK;
    platform.wait_until("the document is in force", in_force).await;
    for times in 1..=2 {
        platform.store.restore();
        wait_restored(&platform, times).await;
        tokio::time::sleep(SETTLE_TIME).await;
        assert_eq!(status(&platform, &format!("Bearer {KEY}")).await, StatusCode::UNAUTHORIZED);
        assert_eq!(status(&platform, "Bearer k-4").await, StatusCode::OK);
    }
    platform.submit(&["k-5"]);
    let in_force = async || status(&platform, "Bearer k-5").await == StatusCode::OK;
    platform.wait_until("a newer document is in force", in_force).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_left_does_not_come_back_with_the_copy() {
    let platform = Platform::start().await;
    platform.store.copy();
    platform.list(&platform.servers[0], "app", "draining");
    platform.store.remove("keyed.servers", platform.servers[1].id());
    platform.list(&platform.engines[0], "app", "ready");
    let left = async || platform.log_lines("server leaving").len() >= 2;
    platform.wait_until("both servers leave", left).await;
    platform.store.restore();
    wait_restored(&platform, 1).await;
    let before: Vec<_> = platform.servers.iter().map(|server| server.received()).collect();
    for index in 0..40 {
        let _ = platform.call(&format!("r-{index}"), "/lookup/1").await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let after: Vec<_> = platform.servers.iter().map(|server| server.received()).collect();
    assert_eq!(after, before);
    platform.list_incarnation(&platform.servers[0], "app", "ready", "v1", 2);
    let served = async || {
        let _ = platform.call("r", "/lookup/1").await;
        platform.servers[0].received() > before[0]
    };
    platform.wait_until("its next incarnation serves", served).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_at_an_engine_whose_entry_was_lost_goes_on() {
    let platform = Platform::start_standins();
    platform.submit(&[KEY]);
    platform.list(&platform.servers[0], "app", "ready");
    platform.store.copy();
    platform.list_all();
    platform.spawn();
    platform.wait_readiness(true).await;
    let known = async || platform.log_lines("server added").len() >= 4;
    platform.wait_until("all servers are known", known).await;
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    let reading = tokio::spawn(read_events(response));
    platform.store.restore();
    wait_restored(&platform, 1).await;
    platform.list_all();
    assert_eq!(reading.await.expect("joined"), ((1..=EVENTS).collect(), true));
    assert_eq!(platform.runs("r-1"), 1, "it did not have to move");
    tokio::time::sleep(2 * SETTLE_TIME).await;
    assert!(platform.log_lines("server leaving").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_writes_its_lost_address_again() {
    let platform = Platform::start_standins();
    platform.submit(&[KEY]);
    platform.list_all();
    platform.store.copy();
    platform.spawn();
    platform.wait_readiness(true).await;
    let announced = async || platform.store.keys("keyed.hosts") == ["front-a-1"];
    platform.wait_until("the host is announced", announced).await;
    for _ in 0..2 {
        platform.store.restore();
        assert!(platform.store.keys("keyed.hosts").is_empty());
        platform.wait_until("the host is announced again", announced).await;
    }
}
