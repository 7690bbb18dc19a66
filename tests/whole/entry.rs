//! Entry hosts on the users' platform: what callers and servers see under each failure.

use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::BodyExt as _;
use standin::platform::{Behaviour, Capacity, Outage, document};

use crate::testenv::platform::{EVENTS, KEY, Platform, read_events};

/// Upper bound on the time from the start of a process without state to its first response.
const MAX_START_TIME: Duration = Duration::from_millis(1_500);

/// Upper bound on the time until an engine sees that its caller has disconnected.
const MAX_CANCELLATION_DELAY: Duration = Duration::from_millis(500);

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Waits until the log of the entry host has a line with this message.
async fn wait_logged(platform: &Platform, message: &str) {
    platform.wait_until(message, async || !platform.log_lines(message).is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_of_requests_are_served() {
    let platform = Platform::start().await;
    for path in ["/swap/1", "/lookup/1"] {
        let (status, body) = platform.call(path, path).await.expect("a response");
        assert_eq!(status, StatusCode::OK, "{path}: {body}");
        assert_eq!(platform.runs(path), 1);
    }
    for path in ["/rebuild/1", "/check/1"] {
        let response = platform.send(path, path, &[]).await.expect("a response");
        assert_eq!(read_events(response).await, (all_events(), true), "{path}");
    }
    let server =
        platform.servers.iter().find(|server| server.runs("/swap/1") == 1).expect("an execution");
    let (headers, body) = server.last_request().expect("a request");
    assert!(headers.get("authorization").is_none() && headers["nutmeghead-tenant"] == "o-1");
    assert_eq!(body, "body");
    let metrics = platform.metrics().await;
    assert!(metrics.contains("nutmeghead_requests_total"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_keys_and_routes_are_denied() {
    let platform = Platform::start().await;
    let cases = [
        ("/swap/1", "Bearer other", StatusCode::UNAUTHORIZED),
        ("/swap/1", "", StatusCode::UNAUTHORIZED),
        ("/none/1", "Bearer k-1", StatusCode::NOT_FOUND),
        ("/swap", "Bearer k-1", StatusCode::NOT_FOUND),
    ];
    for (path, key, expected) in cases {
        let response =
            platform.send("r-1", path, &[("authorization", key)]).await.expect("a response");
        assert_eq!(response.status(), expected, "{path} {key:?}");
    }
    assert_eq!(platform.runs("r-1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_document_serves_nothing() {
    let platform = Platform::start_standins();
    platform.spawn();
    wait_logged(&platform, "started").await;
    platform.wait_readiness(false).await;
    let response = platform.send("r-1", "/swap/1", &[]).await.expect("a response");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    // Entries that are written at the same moment as the document may be read a little later.
    platform.list_all();
    let listed = async || platform.log_lines("server added").len() >= 4;
    platform.wait_until("the servers are known", listed).await;
    platform.wait_readiness(false).await;
    platform.submit(&[KEY]);
    platform.wait_readiness(true).await;
    assert_eq!(platform.call("r-2", "/swap/1").await.expect("a response").0, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removed_key_and_a_changed_route_take_effect() {
    let platform = Platform::start().await;
    platform.submit_routes(&["k-2"], "other");
    platform.list(&platform.servers[0], "other", "ready");
    platform
        .wait_until("the key is refused", async || {
            platform
                .call("r", "/swap/1")
                .await
                .is_some_and(|(status, _)| status == StatusCode::UNAUTHORIZED)
        })
        .await;
    let new_key = [("authorization", "Bearer k-2")];
    platform
        .wait_until("the route has moved", async || {
            let response =
                platform.send("r-moved", "/lookup/1", &new_key).await.expect("a response");
            response.status() == StatusCode::OK
        })
        .await;
    assert!(platform.servers[0].runs("r-moved") > 0);
    assert_eq!(platform.servers[1].runs("r-moved"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_leaves_the_previous_one_in_force() {
    let platform = Platform::start().await;
    platform.store.put("keyed.op", "config", b"{\"version\": 99}");
    wait_logged(&platform, "document rejected; the previous one stays in force").await;
    assert_eq!(platform.call("r-1", "/swap/1").await.expect("a response").0, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_document_never_replaces_a_newer_one() {
    let platform = Platform::start().await;
    platform.submit(&[KEY]);
    let older = document(1, &["k-2"], "app", Capacity::default());
    platform.store.put("keyed.op", "config", older.to_string().as_bytes());
    for index in 0..20 {
        let response = platform.call(&format!("r-{index}"), "/swap/1").await;
        assert_eq!(response.expect("a response").0, StatusCode::OK, "{index}");
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_work() {
    let platform = Platform::start().await;
    platform.list(&platform.servers[0], "app", "draining");
    wait_logged(&platform, "server leaving").await;
    let before = platform.servers[0].received();
    for index in 0..20 {
        let id = format!("r-{index}");
        assert_eq!(platform.call(&id, "/lookup/1").await.expect("a response").0, StatusCode::OK);
    }
    assert_eq!(platform.servers[0].received(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_entry_adds_no_server() {
    let platform = Platform::start().await;
    platform.store.put("keyed.servers", "x-1", b"\xff\x00");
    platform.store.put("keyed.servers", "x-2", br#"{"service":"app","state":"ready"}"#);
    wait_logged(&platform, "server entry rejected").await;
    for index in 0..10 {
        let id = format!("r-{index}");
        assert_eq!(platform.call(&id, "/lookup/1").await.expect("a response").0, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_served_while_the_keys_are_stale() {
    for outage in [Outage::Refusing, Outage::Silent] {
        let platform = Platform::start().await;
        platform.store.set_outage(outage);
        platform.wait_readiness(false).await;
        let response = platform.send("r-1", "/swap/1", &[]).await.expect("a response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{outage:?}");
        assert!(response.headers().contains_key("retry-after"));
        assert_eq!(platform.runs("r-1"), 0);
        platform.store.set_outage(Outage::None);
        platform.wait_readiness(true).await;
        assert_eq!(platform.call("r-2", "/swap/1").await.expect("a response").0, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_reads_a_new_document_after_its_topics_are_compacted() {
    let platform = Platform::start().await;
    platform.store.compact("keyed.op");
    platform.store.compact("keyed.servers");
    platform.submit(&["k-2"]);
    platform
        .wait_until("the new document is in force", async || {
            platform
                .call("r", "/swap/1")
                .await
                .is_some_and(|(status, _)| status == StatusCode::UNAUTHORIZED)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_is_ready_and_retries_its_announcement_while_responses_are_lost() {
    let platform = Platform::start_standins();
    platform.store.set_outage(Outage::LosingResponses);
    platform.submit(&[KEY]);
    platform.list_all();
    platform.spawn();
    platform.wait_readiness(true).await;
    wait_logged(&platform, "cannot write this host's address to the store; retrying").await;
    platform.store.set_outage(Outage::None);
    platform
        .wait_until("the host is announced", async || {
            platform.store.keys("keyed.hosts") == ["front-a-1"]
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_verified_is_not_relayed() {
    for behaviour in [Behaviour::Unstamped, Behaviour::Encoded, Behaviour::Crossed] {
        let platform = Platform::start().await;
        for engine in platform.engines.iter() {
            engine.set_behaviour(behaviour);
        }
        let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert_eq!(platform.runs("r-1"), 1, "{behaviour:?}");
    }
}

/// Each case names the behaviour of the servers, the expected statuses of a swap and of a look-up, and the expected number
/// of executions of the swap.
#[tokio::test(flavor = "multi_thread")]
async fn bad_responses_never_repeat_a_swap_nor_count_as_success() {
    let (ok, bad) = (StatusCode::OK, StatusCode::BAD_GATEWAY);
    let (full, failed) = (StatusCode::SERVICE_UNAVAILABLE, StatusCode::INTERNAL_SERVER_ERROR);
    let cases = [
        (Behaviour::Healthy, ok, ok, 1),
        (Behaviour::Overloaded, full, full, 0),
        (Behaviour::Unavailable, bad, bad, 0),
        (Behaviour::Failing, failed, failed, 1),
        (Behaviour::Disconnecting, bad, bad, 1),
        (Behaviour::Crossed, bad, bad, 1),
        (Behaviour::Unstamped, bad, bad, 1),
        (Behaviour::Encoded, bad, bad, 1),
    ];
    for (behaviour, swap, lookup, runs) in cases {
        let platform = Platform::start().await;
        for server in platform.servers.iter() {
            server.set_behaviour(behaviour);
        }
        let swapped = platform.call("r-swap", "/swap/1").await.expect("a response").0;
        let looked_up = platform.call("r-lookup", "/lookup/1").await.expect("a response").0;
        assert_eq!((swapped, platform.runs("r-swap")), (swap, runs), "{behaviour:?}");
        assert_eq!(looked_up, lookup, "{behaviour:?}");
        assert!(platform.runs("r-lookup") <= 2, "{behaviour:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bare_refusal_after_an_execution_does_not_mean_not_run() {
    let platform = Platform::start().await;
    platform.servers[0].set_behaviour(Behaviour::Disconnecting);
    platform.servers[1].set_behaviour(Behaviour::Unavailable);
    for index in 0..6 {
        let id = format!("r-{index}");
        let (status, _) = platform.call(&id, "/lookup/1").await.expect("a response");
        assert_eq!(status, StatusCode::BAD_GATEWAY);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_is_retried_at_another_server_when_one_fails() {
    for behaviour in
        [Behaviour::Disconnecting, Behaviour::Overloaded, Behaviour::Failing, Behaviour::Crossed]
    {
        let platform = Platform::start().await;
        platform.servers[0].set_behaviour(behaviour);
        for index in 0..6 {
            let id = format!("r-{index}");
            let (status, _) = platform.call(&id, "/lookup/1").await.expect("a response");
            assert_eq!(status, StatusCode::OK, "{behaviour:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_silent_server_times_out() {
    let platform = Platform::start().await;
    for server in platform.servers.iter() {
        server.set_behaviour(Behaviour::Silent);
    }
    let headers = [("nutmeghead-deadline-ms", "600")];
    let response = platform.send("r-1", "/swap/1", &headers).await.expect("a response");
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(platform.runs("r-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_stream_never_looks_complete() {
    let platform = Platform::start().await;
    for engine in platform.engines.iter() {
        engine.set_behaviour(Behaviour::TruncatingStreams);
    }
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    let (ids, complete) = read_events(response).await;
    assert_eq!((ids, complete), (vec![1, 2], false));
    assert_eq!(platform.runs("r-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_continues_at_another_engine_without_a_gap() {
    let platform = Platform::start().await;
    platform.engines[0].set_behaviour(Behaviour::TruncatingStreams);
    for index in 0..4 {
        let id = format!("r-{index}");
        let response = platform.send(&id, "/check/1", &[]).await.expect("a response");
        assert_eq!(read_events(response).await, (all_events(), true), "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_stream_moves_when_its_engine_leaves() {
    let platform = Platform::start().await;
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    let reading = tokio::spawn(read_events(response));
    let source =
        platform.engines.iter().find(|engine| engine.runs("r-1") == 1).expect("an execution");
    let target =
        platform.engines.iter().find(|engine| engine.runs("r-1") == 0).expect("another engine");
    platform.list(source, "pool", "draining");
    let (ids, complete) = reading.await.expect("joined");
    assert_eq!((ids, complete), (all_events(), true));
    assert_eq!((source.runs("r-1"), target.runs("r-1")), (1, 1));
    let (headers, _) = target.last_request().expect("a request");
    let kv_source = headers["kv-from"].to_str().expect("text").to_owned();
    assert_eq!(kv_source, format!("{}/r-1", source.address()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_stream_moves_while_the_store_is_silent() {
    let platform = Platform::start_with_events(8 * EVENTS).await;
    let response = platform
        .send("r-1", "/rebuild/1", &[("nutmeghead-deadline-ms", "30000")])
        .await
        .expect("a response");
    let reading = tokio::spawn(read_events(response));
    let source =
        platform.engines.iter().find(|engine| engine.runs("r-1") == 1).expect("an execution");
    platform.store.set_outage(Outage::Silent);
    source.set_leaving();
    let (ids, complete) = reading.await.expect("joined");
    assert_eq!((ids, complete), ((1..=8 * EVENTS).collect(), true));
    assert_eq!(platform.runs("r-1"), 2);
    assert_eq!(platform.log_lines("server leaving")[0]["source"], "engine");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_cancelled_when_its_caller_disconnects() {
    let platform = Platform::start().await;
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    drop(response);
    platform
        .wait_until("the engine sees the disconnect", async || {
            platform.engines.iter().any(|engine| engine.abandoned() == ["r-1"])
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_interrupts_no_stream_and_refuses_new_ones() {
    let platform = Platform::start().await;
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    let reading = tokio::spawn(read_events(response));
    platform.signal("TERM");
    platform.wait_readiness(false).await;
    assert_eq!(platform.call("r-2", "/lookup/1").await.expect("a response").0, StatusCode::OK);
    let refused = platform.send("r-3", "/rebuild/1", &[]).await.expect("a response");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reading.await.expect("joined"), (all_events(), true));
    assert!(platform.exited_successfully().await);
    assert_eq!(platform.log_lines("stopped")[0]["whole"], true);
    assert_eq!(platform.runs("r-3"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_serves_soon_after_its_restart() {
    let platform = Platform::start().await;
    platform.kill();
    let started = Instant::now();
    platform.spawn();
    platform.wait_readiness(true).await;
    let (status, _) = platform.call("r-1", "/swap/1").await.expect("a response");
    assert_eq!(status, StatusCode::OK);
    assert!(started.elapsed() < MAX_START_TIME, "{:?}", started.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_events_is_cancelled_when_its_caller_disconnects() {
    let platform = Platform::start_with_streams(3, Duration::from_secs(5)).await;
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    drop(response);
    let disconnected = Instant::now();
    platform
        .wait_until("the engine sees the disconnect", async || {
            platform.engines.iter().any(|engine| engine.abandoned() == ["r-1"])
        })
        .await;
    assert!(disconnected.elapsed() < MAX_CANCELLATION_DELAY, "{:?}", disconnected.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_waits_for_a_stream_longer_than_the_delay_of_the_load_balancer() {
    let platform = Platform::start_with_events(150).await;
    let deadline = [("nutmeghead-deadline-ms", "20000")];
    let response = platform.send("r-1", "/rebuild/1", &deadline).await.expect("a response");
    platform.signal("TERM");
    let (ids, complete) = read_events(response).await;
    assert_eq!((ids, complete), ((1..=150).collect(), true));
    assert!(platform.exited_successfully().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_of_settings_interrupts_no_request() {
    let platform = Platform::start().await;
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    platform.signal("HUP");
    assert_eq!(read_events(response).await, (all_events(), true));
    wait_logged(&platform, "settings file unchanged").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_host_does_not_serve_with_stale_keys_when_it_continues() {
    let platform = Platform::start().await;
    platform.signal("STOP");
    platform.submit(&["k-2"]);
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let pending = platform.send("r-1", "/swap/1", &[("nutmeghead-deadline-ms", "30000")]);
    let (response, ()) = tokio::join!(pending, async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        platform.signal("CONT");
    });
    let status = response.expect("a response").status();
    assert_ne!(status, StatusCode::OK);
    assert_eq!(platform.runs("r-1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_too_large_is_refused() {
    let platform = Platform::start().await;
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Full<bytes::Bytes>>();
    let request = http::Request::post(format!("http://{}/swap/1", platform.caller_address))
        .header("host", "a.example")
        .header("nutmeghead-request-id", "r-1")
        .header("authorization", "Bearer k-1")
        .body(http_body_util::Full::new(vec![b'x'; 70_000].into()))
        .expect("a valid request");
    let response = client.request(request).await.expect("a response");
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let body = response.into_body().collect().await.expect("a complete body").to_bytes();
    assert!(String::from_utf8_lossy(&body).contains("too_large"));
    assert_eq!(platform.runs("r-1"), 0);
}
