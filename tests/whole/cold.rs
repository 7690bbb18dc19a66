//! Cold engines, with three entry hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::platform::{Capacity, Server, document, entry};
use tokio::task::JoinSet;

use crate::testenv::platform::{KEY, Platform};

/// Requests a second that a cold engine takes.
const PER_S: f64 = 6.0;

/// Most requests that a cold engine may get in any second.
const MOST: usize = (PER_S * 1.5 + 5.0) as usize;

const SECOND: Duration = Duration::from_secs(1);

/// Time for which callers send requests, and between two requests of all callers together.
const TRAFFIC_TIME: Duration = Duration::from_secs(7);
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Time after the statement of an engine in which all hosts learn it.
const LEARN_TIME: Duration = SECOND;

/// Writes a document in which cold engines have a limit, and waits until it is in force everywhere.
async fn limit_cold_engines(hosts: &[Platform; 3]) {
    let mut document = document(300, &[KEY], "app", Capacity::default());
    document["services"][0]["cold_start_s"] = 20.into();
    document["services"][0]["cold_per_s"] = PER_S.into();
    hosts[0].store.put("keyed.op", "config", document.to_string().as_bytes());
    for host in hosts {
        host.wait_until("the document is in force", async || {
            host.log_lines("document in force").iter().any(|line| line["version"] == 300)
        })
        .await;
    }
}

/// Writes the entry of an engine that is cold for `left_ms`.
fn list_cold(host: &Platform, engine: &Server, left_ms: u64) {
    let mut entry = entry(engine.address(), "pool", "ready", "v1", 1);
    entry["cold_left_ms"] = left_ms.into();
    host.store.put("keyed.servers", engine.id(), entry.to_string().as_bytes());
}

/// Opens streams at all hosts in turn, and drops them after the first frame.
async fn open_streams(hosts: &Arc<[Platform; 3]>) {
    let started = Instant::now();
    let mut reading = JoinSet::new();
    for index in 0.. {
        if started.elapsed() >= TRAFFIC_TIME {
            break;
        }
        let hosts = Arc::clone(hosts);
        reading.spawn(async move {
            let response = hosts[index % 3].send(&format!("r-{index}"), "/check/1", &[]).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            drop(response);
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    reading.join_all().await;
}

/// Guards against hosts that together send a cold engine more than it bears, and against one that is left idle.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_cold_again_gets_its_limit() {
    let hosts = Platform::start().await.with_hosts().await;
    limit_cold_engines(&hosts).await;
    tokio::time::sleep(SECOND).await;
    let cold = &hosts[0].engines[0];
    list_cold(&hosts[0], cold, 30_000);
    for host in hosts.iter() {
        host.wait_until("the host knows the cold engine", async || {
            let lines = host.log_lines("server is cold");
            lines.iter().any(|line| line["server"] == cold.id())
        })
        .await;
    }
    let known = Instant::now();
    open_streams(&hosts).await;
    let (most, all) = (cold.most_received(SECOND, known), cold.received_since(known));
    assert!(most <= MOST, "{most} requests in a second");
    let least = PER_S * TRAFFIC_TIME.as_secs_f64() * 0.7;
    assert!(all as f64 >= least, "{all} of {least}");
}

/// Guards against a host without responses of a cold engine that floods it.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_learn_from_each_other_that_an_engine_is_cold() {
    let hosts = Platform::start().await.with_hosts().await;
    limit_cold_engines(&hosts).await;
    for engine in hosts[0].engines.iter() {
        engine.set_cold(Some("30000"));
    }
    for index in 0..8 {
        let _ = hosts[0].call(&format!("s-{index}"), "/check/1").await;
    }
    hosts[2]
        .wait_until("the third host learns it", async || {
            let lines = hosts[2].log_lines("server is cold");
            lines.iter().any(|line| line["source"] == "host")
        })
        .await;
    tokio::time::sleep(LEARN_TIME).await;
    let known = Instant::now();
    open_streams(&hosts).await;
    for engine in hosts[0].engines.iter() {
        let most = engine.most_received(SECOND, known);
        assert!(most <= MOST, "{most} requests in a second");
    }
}
