//! Tests of the check of a document before it is sent.

use serde_json::{Value, json};

use super::Severity;
use super::command::Outcome;
use crate::platform::configuration;

/// A document without findings.
fn document() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "r-draft", "host": "a.example", "path_prefix": "/draft/", "kind": "stream",
             "timeout_ms": 39_000, "target_latency_ms": 1_800, "priority": 2, "service": "pool",
             "max_attempts": 1, "sticky": true, "gap_aim_ms": 180},
            {"name": "r-read", "host": "a.example", "path_prefix": "/read/", "kind": "idempotent",
             "timeout_ms": 600, "target_latency_ms": 100, "max_attempts": 2,
             "backends": [{"service": "app", "weight": 1}]},
        ],
        "services": [
            {"name": "pool", "engine": {"slots": 24, "kv_capacity": 27_000, "moves": true,
             "kv_token_bytes": 18_432, "link_mbps": 2_700.0}},
            {"name": "app"},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "org-1", "api_keys": ["k-1", "k-2"], "priority": 1}],
    })
}

fn outcome(document: &Value, in_force: Option<&Value>) -> Outcome {
    let bytes = |value: &Value| serde_json::to_vec(value).unwrap();
    let in_force = in_force.map(|value| configuration::outline(&bytes(value)).unwrap());
    Outcome::new(&bytes(document), in_force.as_ref())
}

#[test]
fn a_sound_document_has_no_findings() {
    assert_eq!(outcome(&document(), None), Outcome::default());
    assert_eq!(outcome(&document(), None).to_text(), "no errors, no warnings");
}

/// Guards against a document that hosts refuse, or whose entries do not do what they state.
#[test]
fn each_fault_of_a_document_is_named_with_its_place() {
    let mut faulty = document();
    let routes = faulty["routes"].as_array_mut().unwrap();
    routes[0]["target_latency_ms"] = json!(40_000);
    routes[0]["max_attempts"] = json!(3);
    routes[1]["gap_aim_ms"] = json!(180);
    routes[1]["backends"] =
        json!([{"service": "app", "weight": 1}, {"service": "old", "weight": 0}]);
    let mut second = routes[1].clone();
    second["name"] = json!("r-again");
    second["backends"] = json!([{"service": "app", "weight": 0}]);
    routes.push(second);
    routes.push(
        json!({"name": "r-open", "host": "a.example:80", "path_prefix": "/open", "kind": "stream",
        "timeout_ms": 100, "service": "app", "max_attempts": 1, "sticky": true, "gap_aim_ms": 180}),
    );
    faulty["services"].as_array_mut().unwrap().extend([
        json!({"name": "spare", "engine": {"slots": 0, "kv_capacity": 0, "moves": true}}),
        json!({"name": "app"}),
    ]);
    let tenants = faulty["tenants"].as_array_mut().unwrap();
    tenants.push(json!({"name": "org-2", "api_keys": ["k-2"]}));
    tenants.push(json!({"name": "org-3", "api_keys": []}));

    let outcome = outcome(&faulty, None);

    assert!(outcome.has_errors());
    insta::assert_snapshot!(outcome.to_text());
}

#[test]
fn a_document_that_cannot_be_decoded_is_an_error_with_its_position() {
    let malformed = Outcome::new(b"{\n  \"version\": \"x\"\n}", None);
    assert_eq!(malformed.findings[0].severity, Severity::Error);
    assert!(malformed.findings[0].message.contains("line 2"), "{malformed:?}");
    let mut unnamed = document();
    unnamed["routes"][0]["service"] = json!(null);
    assert!(outcome(&unnamed, None).has_errors());
}

/// Guards against a check that shows keys of callers in a terminal or a log.
#[test]
fn changes_against_the_version_in_force_are_listed_without_keys() {
    let mut new = document();
    new["version"] = json!(9);
    new["routes"][0]["timeout_ms"] = json!(30_000);
    new["routes"].as_array_mut().unwrap().remove(1);
    new["services"][0]["engine"]["slots"] = json!(32);
    new["tenants"][0]["api_keys"] = json!(["k-2", "k-3", "k-4"]);
    new["tenants"].as_array_mut().unwrap().push(json!({"name": "org-9", "api_keys": ["k-9"]}));

    let text = outcome(&new, Some(&document())).to_text();

    assert!(!text.contains("k-"), "{text}");
    insta::assert_snapshot!(text);
}

#[test]
fn a_version_that_is_not_above_the_one_in_force_is_an_error() {
    let old = outcome(&document(), Some(&document()));
    assert!(old.has_errors() && old.changes.is_empty(), "{old:?}");
}
