//! Servers whose responses have no end, in the head or in the body, beside sound ones.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt as _;
use nutmeghead::backend::{self, Call, Error};
use standin::fleet;
use standin::platform::{Endless, Place};
use tokio::task::JoinSet;

use crate::testenv::platform::{EVENTS, Platform, next_address, read_events};
use crate::testenv::{TestEnv, peak_memory_mb};

/// Memory of the smallest hosts, in MB.
const MEMORY_MB: u64 = 110;

/// Requests that are open at the same time.
const REQUESTS: usize = 24;

/// Memory of a host of `serve`, in MB, and plain calls that are open at the same time.
const PLAIN_MEMORY_MB: u64 = 256;
const PLAIN_CALLS: usize = 128;

/// Time until a response without end is given up: below the timeout of the requests, 4 s.
const GIVE_UP_TIME: Duration = Duration::from_secs(2);

/// Deadline of the requests.
const LOOKUP_TIME: Duration = Duration::from_secs(4);

/// Where a response has no end, apart from those of streams.
const PLACES: [Place; 8] = [
    Place::Reason,
    Place::Interim,
    Place::Field,
    Place::Head,
    Place::Body,
    Place::Chunk,
    Place::Extension,
    Place::Trailer,
];

/// Identifiers of servers with endless responses: twice as many as there are sound ones.
const ENDLESS: [&str; 4] = ["x-1", "x-2", "x-3", "x-4"];

/// An entry host that also knows `count` servers of `service` with endless responses.
async fn start(place: Place, service: &str, count: usize) -> (Arc<Platform>, Vec<Endless>) {
    let platform = Platform::start().await;
    let mut servers = Vec::new();
    for id in &ENDLESS[..count] {
        let server = Endless::start(next_address(), id, place).await.expect("the server starts");
        platform.list_address(id, server.address(), service);
        servers.push(server);
    }
    let all = platform.engines.len() + platform.servers.len() + count;
    let known = async || platform.log_lines("server added").len() >= all;
    platform.wait_until("the servers are known", known).await;
    (Arc::new(platform), servers)
}

fn open(servers: &[Endless]) -> usize {
    servers.iter().map(Endless::open).sum()
}

/// Sends requests at the same time; returns the number of those with a complete success.
async fn send_all(platform: &Arc<Platform>, path: &'static str) -> usize {
    let mut sending = JoinSet::new();
    for index in 0..REQUESTS {
        let platform = Arc::clone(platform);
        sending.spawn(async move {
            let response = platform.send(&format!("r-{index}"), path, &[]).await;
            let Some(response) = response else { return false };
            if response.status() != StatusCode::OK {
                return false;
            }
            if path.starts_with("/check") {
                return read_events(response).await == ((1..=EVENTS).collect(), true);
            }
            response
                .into_body()
                .collect()
                .await
                .is_ok_and(|body| body.to_bytes().starts_with(b"by "))
        });
    }
    sending.join_all().await.into_iter().filter(|served| *served).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_by_others_if_a_response_has_no_end() {
    for place in PLACES {
        let (platform, endless) = start(place, "app", 1).await;
        assert_eq!(send_all(&platform, "/lookup/1").await, REQUESTS, "{place:?}");
        let closed = async || open(&endless) == 0;
        platform.wait_until("the endless responses are closed", closed).await;
        assert!(platform.peak_memory_mb() < MEMORY_MB, "{place:?}: {}", platform.peak_memory_mb());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_served_by_others_if_a_response_has_no_end() {
    for place in PLACES.into_iter().chain([Place::Event]) {
        let (platform, endless) = start(place, "pool", 1).await;
        let served = tokio::time::timeout(2 * GIVE_UP_TIME, send_all(&platform, "/check/1"));
        assert_eq!(served.await.expect("responses in time"), REQUESTS, "{place:?}");
        assert_eq!(open(&endless), 0, "{place:?}");
        assert!(platform.peak_memory_mb() < MEMORY_MB, "{place:?}: {}", platform.peak_memory_mb());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_run_once_fails_early_if_its_response_has_no_end() {
    let (platform, endless) = start(Place::Body, "app", ENDLESS.len()).await;
    for index in 0..REQUESTS {
        let id = format!("r-{index}");
        let response = tokio::time::timeout(GIVE_UP_TIME, platform.call(&id, "/swap/1")).await;
        let (status, _) = response.expect("a response in time").expect("a response");
        let expected =
            if platform.runs(&id) == 1 { StatusCode::OK } else { StatusCode::BAD_GATEWAY };
        assert_eq!(status, expected);
    }
    assert_eq!(open(&endless), 0);
    assert!(platform.peak_memory_mb() < MEMORY_MB, "{}", platform.peak_memory_mb());
}

#[tokio::test(flavor = "multi_thread")]
async fn many_responses_without_an_end_fit_in_memory() {
    for (path, service) in [("/lookup/1", "app"), ("/swap/1", "app"), ("/check/1", "pool")] {
        for place in PLACES {
            let (platform, endless) = start(place, service, ENDLESS.len()).await;
            send_all(&platform, path).await;
            let closed = async || open(&endless) == 0;
            platform.wait_until("the endless responses are closed", closed).await;
            let peak_mb = platform.peak_memory_mb();
            assert!(peak_mb < MEMORY_MB, "{path} {place:?}: {peak_mb}");
        }
    }
}

/// Guards against calls of plain services under `serve` that take all processor time until their timeout.
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_fail_early_if_a_response_has_no_end() {
    let call = Call {
        method: Method::GET,
        path: "/roster".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: 10 * GIVE_UP_TIME,
    };
    let client = backend::Client::new();
    for place in PLACES {
        let server = Endless::start(next_address(), "x-1", place).await.expect("the server starts");
        let address = server.address();
        let results = async {
            [client.call(address, &call).await, client.call_once(address, &call, || true).await]
        };
        let results = tokio::time::timeout(2 * GIVE_UP_TIME, results).await;
        let results = results.unwrap_or_else(|_| panic!("{place:?}: no end in time"));
        assert!(results.iter().all(|result| matches!(result, Err(Error::Lost))), "{place:?}");
    }
}

/// Guards against a host of `serve` that runs out of memory, which ends the requests of all its callers.
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_without_an_end_fit_in_memory() {
    let mut env = TestEnv::start_standins(1, &fleet::Settings::default());
    let mut document = env.fleet.document();
    let mut servers = Vec::new();
    for server in &env.fleet.servers {
        let endless = Endless::start(next_address(), "x-1", Place::Body).await;
        let endless = endless.expect("the server starts");
        document = document.replace(&server.address().to_string(), &endless.address().to_string());
        servers.push(endless);
    }
    env.fleet.submit(0, &document).expect("the document is accepted");
    env.spawn(0);
    env.wait_ready(0).await;
    let env = Arc::new(env);
    let mut calls = JoinSet::new();
    for _ in 0..PLAIN_CALLS {
        let env = Arc::clone(&env);
        calls.spawn(async move {
            let call = env.call(0, Method::GET, "/services/crew/roster/7", &[], "").await;
            call.map(|response| response.status())
        });
    }
    for status in calls.join_all().await {
        let status = status.expect("a response");
        assert!(status.is_server_error(), "{status}");
    }
    let peak_mb = peak_memory_mb(env.nodes[0].pid());
    assert!(peak_mb < PLAIN_MEMORY_MB, "{peak_mb}");
}

/// Guards against a stream of short lines that takes all processor time of its host.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_lines_without_end_delays_no_other_request() {
    for path in ["/check/1", "/rebuild/1"] {
        let (platform, endless) = start(Place::Lines, "pool", 1).await;
        let mut streams = Vec::new();
        while open(&endless) == 0 {
            let id = format!("r-{}", streams.len());
            streams.push(platform.send(&id, path, &[]).await.expect("a response"));
        }
        for index in 0..REQUESTS {
            let id = format!("l-{index}");
            let lookup = tokio::time::timeout(LOOKUP_TIME, platform.call(&id, "/lookup/1")).await;
            let (status, _) = lookup.expect("a response in time").expect("a response");
            assert_eq!(status, StatusCode::OK, "{path} {index}");
        }
    }
}
