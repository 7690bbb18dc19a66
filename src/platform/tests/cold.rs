//! Tests of how the operators and the servers state that servers are cold.

use super::*;
use crate::cold::Bound;

fn cold(statement: &str) -> Option<(u64, Option<f64>)> {
    let text = format!(
        r#"{{"version": 3, "routes": [], "limits": {{"max_header_bytes": 1, "max_body_bytes": 1,
        "idle_timeout_ms": 1}}, "services": [{{"name": "pool"{statement}}}]}}"#
    );
    let table = configuration::parse(text.as_bytes()).expect("a valid document").table;
    let cold = table.cold(&name::Service::new("pool").expect("a valid name"))?;
    Some((cold.start.as_millis() as u64, cold.limit.map(Limit::per_s)))
}

/// Guards against a document that is rejected for a number without a meaning, and against a limit of 0, which is none.
#[test]
fn the_time_and_the_rate_of_cold_servers_are_optional() {
    assert_eq!(cold(""), None);
    assert_eq!(cold(r#", "cold_start_s": 12.5, "cold_per_s": 26"#), Some((12_500, Some(26.0))));
    assert_eq!(cold(r#", "cold_start_s": 12, "cold_per_s": 0"#), Some((12_000, None)));
    assert_eq!(cold(r#", "cold_start_s": null, "cold_per_s": 2"#), Some((0, Some(2.0))));
    assert_eq!(cold(r#", "cold_start_s": -1, "cold_per_s": -2"#), None);
}

/// Guards against settings files of deployments that state no bound for cold engines.
#[test]
fn the_bound_for_cold_engines_is_optional() {
    let bound = |text: &str| settings::parse(text, 9_000).map(|settings| settings.bounds.cold);
    assert_eq!(bound(SETTINGS).expect("valid"), Bound::default());
    let stated = SETTINGS.replace("[bounds]", "[bounds]\ncold_over = 1.2\ncold_slack = 3");
    assert_eq!(bound(&stated).expect("valid"), Bound { over: 1.2, slack: 3.0 });
    assert!(bound(&SETTINGS.replace("[bounds]", "[bounds]\ncold_over = -1")).is_err());
}

/// Guards against malformed statements, and those of another server.
#[test]
fn the_time_that_a_server_stays_cold_is_parsed_or_ignored() {
    let cold_ms = |status: u16, value: &str| {
        let response = Response::builder().status(status).header("nutmeghead-cold-ms", value);
        let (head, ()) = response.body(()).expect("a valid response").into_parts();
        headers::reply(&head, &HeaderValue::from_static("9c41")).cold_ms
    };
    for (value, expected) in [
        ("1500", Some(1_500)),
        (" 0 ", Some(0)),
        ("1.5", Some(1)),
        ("-1", None),
        ("NaN", None),
        ("", None),
    ] {
        assert_eq!(cold_ms(200, value), expected, "{value:?}");
        assert_eq!(cold_ms(503, value), expected, "{value:?}");
        assert_eq!(cold_ms(421, value), None, "{value:?}");
    }
    let entry = ENTRY.replace("\"cold_left_ms\":0", "\"cold_left_ms\":1e300");
    let entry = registry::parse("i-1", entry.as_bytes()).expect("a valid entry");
    let mut directory = crate::directory::Directory::new();
    assert!(directory.put(entry, 5_000).is_some(), "no overflow");
}
