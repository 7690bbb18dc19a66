//! Requests that may be served in some regions only, with servers and entry hosts in several regions.

use std::time::{Duration, Instant};

use http::StatusCode;
use http::header::RETRY_AFTER;
use serde_json::{Value, json};
use standin::platform::{Behaviour, Server};

use crate::testenv::platform::{EVENTS, HOSTS_MEET_TIME, Platform, read_events};

/// Domain `a` is in the region of the entry hosts; `d` is in none that is known.
const ZONES: &[(&str, &str)] = &[("a", "r"), ("b", "s"), ("c", "t")];

const PATHS: [&str; 4] = ["/lookup/1", "/swap/1", "/rebuild/1", "/check/1"];

/// Requests of each kind: with a choice among two servers, one in a million such series misses one of them by chance.
const ROUNDS: usize = 20;

/// Time allowed for a refusal: far below the deadline of the requests, 4 s.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Sets the homes of all routes and of the organisation.
fn homes(route: &Value, organisation: &Value) -> impl FnOnce(&mut Value) {
    move |document| {
        let routes = document["routes"].as_array_mut().expect("routes");
        routes.iter_mut().for_each(|entry| entry["allowed_regions"] = route.clone());
        document["tenants"][0]["allowed_regions"] = organisation.clone();
    }
}

fn pairs(platform: &Platform) -> impl Iterator<Item = (&Server, &'static str)> {
    let engines = platform.engines.iter().map(|engine| (engine, "pool"));
    engines.chain(platform.servers.iter().map(|server| (server, "app")))
}

/// An entry host in region `r`, with an engine and a backend server in each of these two domains.
async fn start(domains: [&str; 2], change: impl FnOnce(&mut Value)) -> Platform {
    let mut platform = Platform::start_standins();
    platform.zones = ZONES;
    platform.submit_changed(change);
    for (server, service) in pairs(&platform) {
        let index = usize::from(server.id().ends_with('2'));
        platform.list_domain(server, service, domains[index]);
    }
    platform.spawn();
    platform.wait_readiness(true).await;
    platform
}

/// Writes another document and waits until it is in force.
async fn change(platform: &Platform, change: impl FnOnce(&mut Value)) {
    let before = platform.log_lines("document in force").len();
    platform.submit_changed(change);
    let in_force = async || platform.log_lines("document in force").len() > before;
    platform.wait_until("the document is in force", in_force).await;
}

/// Sends requests of each kind and returns how many were served.
async fn send_all(platform: &Platform) -> usize {
    let mut served = 0;
    for path in PATHS {
        for round in 0..ROUNDS {
            let response = platform.send(&format!("{path}-{round}"), path, &[]).await;
            served +=
                usize::from(response.is_some_and(|response| response.status() == StatusCode::OK));
        }
    }
    served
}

/// Requests that reached the servers of the first and of the second domain.
fn received(platform: &Platform) -> [usize; 2] {
    ["1", "2"].map(|end| {
        let of_domain = pairs(platform).filter(|(server, _)| server.id().ends_with(end));
        of_domain.map(|(server, _)| server.received()).sum()
    })
}

/// Guards against a restriction that is ignored, or that reaches requests without homes.
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_the_servers_of_their_homes_only() {
    let all = PATHS.len() * ROUNDS;
    let both = json!(["r", "s"]);
    let cases = [
        (json!(["s"]), Value::Null, false),
        (Value::Null, json!(["s"]), false),
        (both.clone(), json!(["s", "t"]), false),
        (json!([]), json!([]), true),
        (both.clone(), both, true),
    ];
    for (route, organisation, first) in cases {
        let platform = start(["a", "b"], homes(&route, &organisation)).await;
        assert_eq!(send_all(&platform).await, all, "{route} {organisation}");
        let [of_first, of_second] = received(&platform);
        assert_eq!((of_first > 0, of_second > 0), (first, true), "{route} {organisation}");
    }
}

/// Guards against requests that wait, or that go to other servers, where no server is in their homes: in none of two
/// regions without a common one, or in a domain whose region is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_server_in_their_homes_are_refused_at_once_as_not_run() {
    let cases = [
        (["a", "a"], json!(["s"]), Value::Null),
        (["a", "b"], json!(["r"]), json!(["s"])),
        (["d", "d"], json!(["r", "s", "t"]), Value::Null),
    ];
    for (domains, route, organisation) in cases {
        let platform = start(domains, homes(&route, &organisation)).await;
        for path in PATHS {
            let sent = Instant::now();
            let response = platform.send(path, path, &[]).await.expect("a response");
            assert!(sent.elapsed() < REFUSAL_TIME, "{path}: {:?}", sent.elapsed());
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(response.headers().contains_key(RETRY_AFTER), "{path}");
        }
        assert_eq!(received(&platform), [0, 0], "{route} {organisation}");
    }
}

/// Guards against retries and resumptions that leave the homes because the only server in them fails.
#[tokio::test(flavor = "multi_thread")]
async fn failed_requests_stay_in_their_homes() {
    for behaviour in [Behaviour::Disconnecting, Behaviour::Overloaded, Behaviour::TruncatingStreams]
    {
        let platform = start(["a", "b"], homes(&json!(["s"]), &Value::Null)).await;
        platform.servers[1].set_behaviour(behaviour);
        platform.engines[1].set_behaviour(behaviour);
        for path in PATHS {
            if let Some(response) = platform.send(path, path, &[]).await {
                read_events(response).await;
            }
        }
        let [outside, inside] = received(&platform);
        assert!(outside == 0 && inside >= PATHS.len(), "{behaviour:?}: {outside} {inside}");
    }
}

/// Guards against a generation that moves out of its homes when its engine leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_moves_within_its_homes_only() {
    for (route, runs) in [(json!(["s"]), [0, 1]), (json!(["r", "s"]), [1, 1])] {
        let platform = start(["a", "b"], homes(&json!(["s"]), &Value::Null)).await;
        let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
        let reading = tokio::spawn(read_events(response));
        // Act: the document changes while the stream runs, then its engine leaves.
        change(&platform, homes(&route, &Value::Null)).await;
        platform.engines[1].set_leaving();
        platform.list(&platform.engines[1], "pool", "draining");
        assert_eq!(reading.await.expect("joined"), ((1..=EVENTS).collect(), true), "{route}");
        let at_engines = [0, 1].map(|index| platform.engines[index].runs("r-1"));
        assert_eq!(at_engines, runs, "{route}");
    }
}

/// Guards against a stream that is resumed under the homes with which it was admitted.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_document_applies_to_the_next_attempt_of_a_running_stream() {
    let platform = start(["a", "b"], homes(&json!(["s"]), &Value::Null)).await;
    let response = platform.send("r-1", "/check/1", &[]).await.expect("a response");
    let reading = tokio::spawn(read_events(response));
    change(&platform, homes(&json!(["r"]), &Value::Null)).await;
    platform.engines[1].stop_completely().await;
    assert_eq!(reading.await.expect("joined"), ((1..=EVENTS).collect(), true));
    assert_eq!(platform.engines[0].runs("r-1"), 1);
}

/// Guards against bodies that are sent to entry hosts outside the homes and the caller's own region.
#[tokio::test(flavor = "multi_thread")]
async fn other_hosts_are_asked_in_the_homes_and_the_own_region_only() {
    let platform = start(["c", "c"], homes(&json!(["t"]), &Value::Null)).await;
    let own_region = platform.start_host_in(2, "r").await;
    let other_region = platform.start_host_in(3, "s").await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    for (server, _) in pairs(&platform) {
        server.stop_completely().await;
    }
    let asked = |host: &Platform| {
        let address = host.peer_address().to_string();
        platform
            .log_lines("request sent to another host")
            .iter()
            .any(|line| line["host"] == *address)
    };

    platform
        .wait_until("the host of the own region is asked", async || {
            send_all(&platform).await;
            asked(&own_region)
        })
        .await;
    send_all(&platform).await;
    assert!(!asked(&other_region));

    change(&platform, homes(&json!(["t", "s"]), &Value::Null)).await;
    platform
        .wait_until("the host in the homes is asked", async || {
            send_all(&platform).await;
            asked(&other_region)
        })
        .await;
}
