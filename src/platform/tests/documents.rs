//! Tests of documents with parts that cannot be used.

use super::DOCUMENT;
use crate::name;
use crate::platform::configuration::{self, Parsed};
use crate::route::Kind;

/// The usual document with `good` replaced by `odd`.
fn changed(good: &str, odd: &str) -> String {
    let text = DOCUMENT.replacen(good, odd, 1);
    assert_ne!(text, DOCUMENT, "{good}");
    text
}

fn parse(good: &str, odd: &str) -> Parsed {
    let parsed = configuration::parse(changed(good, odd).as_bytes());
    parsed.unwrap_or_else(|error| panic!("{odd}: {error}"))
}

/// A value of every type.
const VALUES: [&str; 8] =
    ["null", "-7", "1e300", "\"\"", "\"odd one\"", "true", "[7,{}]", "{\"x\":1}"];

/// Guards against a key that stays in use because the document that took it away has an odd part.
#[test]
fn an_odd_part_costs_that_part_alone() {
    let cases = [
        // What is odd, and whether both routes, the key and the engines of the service are still there.
        ("\"name\":\"o-2\"", "\"name\":\"\\u0007\"", [true, true, true, true]),
        ("\"api_keys\":[]", "\"api_keys\":7", [true, true, true, true]),
        ("{\"name\":\"o-2\",\"api_keys\":[]}", "7", [true, true, true, true]),
        ("\"k-2\"", "7", [true, true, true, true]),
        ("\"name\":\"o-1\"", "\"name\":\" o-1\"", [true, true, false, true]),
        ("\"name\":\"o-1\",", "", [true, true, false, true]),
        ("\"tenants\":[", "\"tenants\":7,\"x\":[", [true, true, false, true]),
        ("\"priority\":1", "\"priority\":-1", [true, true, true, true]),
        ("\"kind\":\"stream\"", "\"kind\":\"other\"", [false, true, true, true]),
        ("\"service\":\"pool\",\"max", "\"max", [false, true, true, true]),
        ("\"service\":\"pool\"", "\"service\":\"two words\"", [false, true, true, true]),
        ("\"timeout_ms\":6000", "\"timeout_ms\":\"6 s\"", [false, true, true, true]),
        ("\"timeout_ms\":800,", "", [true, false, true, true]),
        ("\"kind\":\"non_idempotent\"", "\"kind\":7", [true, false, true, true]),
        ("\"backends\":[", "\"service\":\"app\",\"backends\":7,\"x\":[", [true, false, true, true]),
        ("\"target_latency_ms\":1500", "\"target_latency_ms\":-1", [true, true, true, true]),
        ("\"priority\":0", "\"priority\":300", [true, true, true, true]),
        ("\"slots\":24", "\"slots\":\"24\"", [true, true, true, false]),
        ("\"services\":[", "\"services\":7,\"x\":[", [true, true, true, false]),
        ("\"limits\":{", "\"limits\":7,\"x\":{", [true, true, true, true]),
        ("\"max_body_bytes\":4194304", "\"max_body_bytes\":-1", [true, true, true, true]),
    ];
    for (good, odd, expected) in cases {
        let Parsed { table, left_out } = parse(good, odd);

        assert!(!left_out.is_empty(), "{odd}");
        assert_eq!(table.version, 7, "{odd}");
        let found = [
            table.find("a.example", "/p/x").is_some(),
            table.find("a.example", "/q/x").is_some(),
            table.organisation("k-1").is_some(),
            table.pool(&name::Service::new("pool").unwrap()).is_some(),
        ];
        assert_eq!(found, expected, "{odd}");
        assert!(table.organisation("k-9").is_none(), "{odd}");
    }
}

/// Guards against requests of a route that cannot be used and that a route with a shorter prefix takes to another service, or
/// without a key.
#[test]
fn a_route_that_cannot_be_used_keeps_its_requests_from_others() {
    let outer =
        "{\"name\":\"r-0\",\"host\":\"a.example\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",
        \"timeout_ms\":900,\"service\":\"app\",\"max_attempts\":1,\"public\":true}";
    let text = changed("\"kind\":\"stream\"", "\"kind\":\"other\"");
    let text = text.replacen("\"routes\":[", &format!("\"routes\":[{outer},"), 1);
    let table = configuration::parse(text.as_bytes()).unwrap().table;
    assert!(table.is_unusable("a.example", "/p/x"));
    assert!(table.find("a.example", "/p/x").is_none());
    assert_eq!(table.find("a.example", "/x").map(|route| route.kind), Some(Kind::Idempotent));
}

/// Guards against a route that is open to more callers or regions, or runs more often, because one of its parts is odd.
#[test]
fn an_odd_part_of_a_route_allows_nothing_more() {
    let closed = [
        ("\"public\":false", "\"public\":\"true\""),
        ("\"public\":false", "\"public\":7"),
        ("\"can_resume\":true", "\"can_resume\":\"true\""),
        ("\"max_attempts\":2", "\"max_attempts\":\"9\""),
        ("\"name\":\"r-1\",", "\"name\":\"r-1\",\"allowed_regions\":\"north\","),
        ("\"name\":\"r-1\",", "\"name\":\"r-1\",\"allowed_regions\":[7],"),
    ];
    for (good, odd) in closed {
        let table = parse(good, odd).table;
        let route = table.find("a.example", "/p/x").expect("the route is usable");
        assert!(!route.public && route.max_runs <= 2, "{odd}");
        let is_resumable = route.kind == Kind::Stream { resumable: true };
        assert_eq!(is_resumable, !good.contains("can_resume"), "{odd}");
        assert_eq!(route.homes.allows(None), !odd.contains("regions"), "{odd}");
    }
}

#[test]
fn values_of_every_type_cost_at_most_their_part() {
    let fields = ["kind", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts"];
    let others = ["public", "sticky", "can_resume", "gap_aim_ms", "backends", "allowed_regions"];
    for field in fields.into_iter().chain(others) {
        for value in VALUES {
            // The first of two routes has the odd field; a repeated field is odd, too.
            let odd = format!(
                "\"routes\":[{{\"name\":\"r-0\",\"host\":\"a.example\",\"path_prefix\":\"/o/\",\"{field}\":{value}}},"
            );
            let table = parse("\"routes\":[", &odd).table;
            assert!(table.find("a.example", "/p/x").is_some(), "{field} {value}");
            assert!(table.find("a.example", "/o/x").is_none(), "{field} {value}");
            assert!(table.organisation("k-1").is_some(), "{field} {value}");
        }
    }
}

/// Guards against callers of an organisation whose name has spaces or letters of any script that are refused.
#[test]
fn names_of_organisations_are_text() {
    for text in ["Cafe Nyhavn", "o/1: \u{201c}x\u{201d}", "\u{e5}\u{df}\u{6771}", &"x".repeat(200)]
    {
        let parsed = parse("\"name\":\"o-1\"", &format!("\"name\":\"{text}\""));
        assert!(parsed.left_out.is_empty(), "{text}");
        assert_eq!(parsed.table.organisation("k-1").unwrap().name.as_str(), text);
    }
}

/// Guards against a document that is put in force although nothing in it can be relied on.
#[test]
fn an_invalid_document_is_rejected() {
    let cases = [
        ("\"version\":7", "\"version\":\"7\""),
        ("\"version\":7,", ""),
        ("\"version\":7,", "\"version\":7,\"version\":8,"),
        ("\"routes\":[", "\"routes\":7,\"x\":["),
        ("{\"version\"", "[\"version\""),
    ];
    for (good, odd) in cases {
        assert!(configuration::parse(changed(good, odd).as_bytes()).is_err(), "{odd}");
    }
    for bytes in [&b""[..], b"\xff", b"null", b"{}", b"[]"] {
        assert!(configuration::parse(bytes).is_err(), "{bytes:?}");
    }
}

/// Guards against keys in logs.
#[test]
fn what_is_left_out_is_named_without_its_value() {
    let cases = [
        ("\"k-2\"", "987654321"),
        ("\"api_keys\":[\"k-1\",\"k-2\"]", "\"api_keys\":\"987654321\""),
        ("{\"name\":\"o-2\",\"api_keys\":[]}", "\"987654321\""),
        ("\"tenants\":[", "\"tenants\":\"987654321\",\"x\":["),
    ];
    for (good, odd) in cases {
        for error in parse(good, odd).left_out {
            let message = error.to_string();
            assert!(message.contains("tenants") && !message.contains("987"), "{message}");
        }
    }
}

/// Guards against a check that passes a document of which hosts leave a part out.
#[test]
fn the_check_names_a_part_that_hosts_leave_out() {
    let cases = [
        ("\"version\":7", "\"version\":\"7\"", "the document is malformed"),
        ("\"kind\":\"stream\"", "\"kind\":\"other\"", "routes[0].kind"),
        ("\"name\":\"o-1\"", "\"name\":\"o\\u00001\"", "tenants[0].name"),
        ("\"name\":\"o-2\"", "\"name\":\"o-2 \"", "tenants[1].name"),
        ("\"service\":\"pool\",\"max", "\"max", "routes[0] has no service"),
        ("\"timeout_ms\":800,", "", "routes[1].timeout_ms is missing"),
        ("\"limits\":{", "\"limits\":7,\"x\":{", "limits is malformed"),
    ];
    for (good, odd, expected) in cases {
        let error = configuration::outline(changed(good, odd).as_bytes()).unwrap_err();
        assert!(error.to_string().contains(expected), "{error}");
    }
    assert!(configuration::outline(DOCUMENT.as_bytes()).is_ok());
}
