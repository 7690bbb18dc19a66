//! Documents of the operators with parts that cannot be used, or that cannot be read at all.

use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};

use crate::testenv::platform::{KEY, Platform};

/// Time after which a removed key must not be used any more, as in the settings, and some time for requests on their way.
const REVOCATION_TIME: Duration = Duration::from_millis(5_500);

/// Logged for each read of a document that cannot be read.
const REJECTED: &str = "document rejected; the previous one stays in force";

/// Name that no service or key has.
const ODD: &str = "two words";

async fn start_with(strict_revocation: bool) -> Platform {
    let mut platform = Platform::start_standins();
    platform.strict_revocation = strict_revocation;
    platform.submit(&[KEY, "k-2"]);
    platform.list_all();
    platform.spawn();
    platform.wait_readiness(true).await;
    platform
}

/// The status of a request with this key.
async fn status(platform: &Platform, path: &str, key: &str) -> StatusCode {
    let key = [("authorization", &*format!("Bearer {key}"))];
    platform.send("r-1", path, &key).await.expect("a response").status()
}

async fn wait_status(platform: &Platform, path: &str, key: &str, expected: StatusCode) {
    let description = format!("{path} with {key}: {expected}");
    platform.wait_until(&description, async || status(platform, path, key).await == expected).await;
}

/// Guards against a key that stays in use because the document that took it away has an odd part.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_a_document_with_an_odd_part_takes_away_stops() {
    let changes: [fn(&mut Value); 6] = [
        |document| document["tenants"][1]["name"] = "Cafe Nyhavn".into(),
        |document| document["tenants"][1]["name"] = "\u{7}".into(),
        |document| document["tenants"][1] = json!(7),
        |document| document["routes"][0]["service"] = ODD.into(),
        |document| document["services"][1]["name"] = ODD.into(),
        |document| document["limits"]["max_body_bytes"] = json!("64 KiB"),
    ];
    let platform = start_with(true).await;
    for (index, change) in changes.into_iter().enumerate() {
        platform.submit(&[KEY, "k-2"]);
        wait_status(&platform, "/lookup/1", "k-2", StatusCode::OK).await;

        platform.submit_changed(change);

        tokio::time::sleep(REVOCATION_TIME).await;
        let statuses = [
            status(&platform, "/lookup/1", KEY).await,
            status(&platform, "/lookup/1", "k-2").await,
        ];
        assert_eq!(statuses, [StatusCode::OK, StatusCode::UNAUTHORIZED], "change {index}");
    }
}

/// Guards against callers of an organisation that are refused because of a character in its name.
#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_may_have_any_name_that_a_header_holds() {
    let platform = start_with(true).await;
    for name in ["Cafe Nyhavn", "o: 1/2", "\u{e5}\u{df}\u{6771}"] {
        platform.submit_changed(|document| {
            document["tenants"][0] = json!({"name": name, "api_keys": ["k-3"]});
        });
        wait_status(&platform, "/lookup/1", "k-3", StatusCode::OK).await;
        platform.submit(&[KEY]);
        wait_status(&platform, "/lookup/1", "k-3", StatusCode::UNAUTHORIZED).await;
    }
}

/// Guards against requests that a route with a shorter prefix takes to another service because their own cannot be used.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_route_that_cannot_be_used_are_refused() {
    let platform = start_with(true).await;
    platform.submit_changed(|document| {
        let mut outer = document["routes"][1].clone();
        outer["path_prefix"] = "/".into();
        outer["public"] = true.into();
        document["routes"][1]["kind"] = ODD.into();
        document["routes"].as_array_mut().expect("a list").push(outer);
    });
    wait_status(&platform, "/other/1", "none", StatusCode::OK).await;

    let response = platform.send("r-2", "/lookup/1", &[]).await.expect("a response");

    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(platform.runs("r-2"), 0);
}

/// Writes a document that no host can read.
fn submit_unreadable(platform: &Platform) {
    platform.store.put("keyed.op", "config", b"{\"version\": 9, \"tenants\"");
}

/// Guards against keys that stay in use because the document that took them away cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_cannot_be_read_ends_the_use_of_the_one_before() {
    let hosts = start_with(true).await.with_hosts().await;
    submit_unreadable(&hosts[0]);
    tokio::time::sleep(REVOCATION_TIME).await;
    for host in hosts.iter() {
        assert_eq!(status(host, "/lookup/1", KEY).await, StatusCode::SERVICE_UNAVAILABLE);
        // Reads go on at the pace of those after a failure.
        assert!(host.log_lines(REJECTED).len() < 100);
    }

    hosts[0].submit_routes(&["k-3"], "app");

    for host in hosts.iter() {
        wait_status(host, "/lookup/1", "k-3", StatusCode::OK).await;
        assert_eq!(status(host, "/lookup/1", KEY).await, StatusCode::UNAUTHORIZED);
    }
}

/// Guards against a service that stops because of a malformed document although its operators allow keys to be used longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_cannot_be_read_changes_nothing_if_revocation_is_not_strict() {
    let platform = start_with(false).await;
    submit_unreadable(&platform);
    tokio::time::sleep(REVOCATION_TIME).await;
    assert_eq!(status(&platform, "/lookup/1", KEY).await, StatusCode::OK);
    assert!(!platform.log_lines(REJECTED).is_empty());
}
