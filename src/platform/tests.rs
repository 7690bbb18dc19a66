//! Tests of the platform's formats.

mod cold;
mod documents;
mod lists;
mod mutated;

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};

use super::configuration::Parsed;
use super::{configuration, evacuation, headers, registry, settings};
use crate::directory::Phase;
use crate::entry::request::{Continuation, Head, KvCache, Outgoing};
use crate::load::Stated;
use crate::name;
use crate::rate::Limit;
use crate::route::Kind;

const SETTINGS: &str = r#"
node_name = "front-a-1"
role = "entry"
ip = "10.1.0.19"
zone = "ar-centro-a"
region = "ar-centro"
port_range = [7200,7215]
new_field = { ignored = true }
[listen]
front = "10.1.0.19:8740"
ready = "10.1.0.19:8749"
[limits]
max_fds = 4100
[bounds]
drain_ms = 2000
grace_s = 8
config_max_ms = 2000
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
[platform]
addr = "10.200.1.7:8742"
"#;

const DOCUMENT: &str = r#"{"version":7,"routes":[
 {"name":"r-1","host":"A.example","path_prefix":"/p/","kind":"stream","timeout_ms":6000,"target_latency_ms":1500,
  "priority":0,"service":"pool","max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":180},
 {"name":"r-2","host":"a.example","path_prefix":"/q/","kind":"non_idempotent","timeout_ms":800,
  "backends":[{"service":"app","weight":90},{"service":"pool","weight":10}],"max_attempts":1,"new":[1]}],
 "services":[{"name":"pool","engine":{"slots":24,"kv_capacity":34241,"moves":true,"stride":4}},{"name":"app"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"o-1","api_keys":["k-1","k-2"],"priority":1},{"name":"o-2","api_keys":[]}]}"#;

const ENTRY: &str = r#"{"service":"pool","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":24,
 "state":"ready","cold_left_ms":0,"seq":4,"born":1700000000000}"#;

fn request(extra: &[(&'static str, &'static str)]) -> http::request::Parts {
    let mut request = Request::post("/p/x?y=1")
        .header("host", "A.example:8740")
        .header("nutmeghead-request-id", "9c41")
        .header("nutmeghead-deadline-ms", "6000")
        .header("nutmeghead-tokens", "1460, 80")
        .header("authorization", "Bearer k-1");
    for (name, value) in extra {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap().into_parts().0
}

fn outgoing_request(parts: &http::request::Parts) -> Outgoing {
    Outgoing {
        head: Head::try_from(parts).unwrap(),
        method: parts.method.clone(),
        target: parts.uri.clone(),
        headers: headers::forwarded(&parts.headers),
        body: Bytes::new(),
        content: Default::default(),
        organisation: Some(name::Customer::new("o-1").unwrap()),
        urgency: 4,
        is_trial: false,
        homes: Default::default(),
    }
}

fn outgoing_headers(
    extra: &[(&'static str, &'static str)],
    continuation: Option<&Continuation>,
) -> HeaderMap {
    let server = name::Server::new("i-1").unwrap();
    let remaining = Duration::from_millis(5_900);
    headers::outgoing(&outgoing_request(&request(extra)), &server, remaining, continuation)
}

#[test]
fn settings_are_parsed_and_unknown_fields_ignored() {
    let settings = settings::parse(SETTINGS, 9_464).unwrap();
    assert_eq!(settings.host.as_str(), "front-a-1");
    assert_eq!(settings.peer_address.to_string(), "10.1.0.19:7200");
    assert_eq!(settings.metrics_address.to_string(), "10.1.0.19:9464");
    assert_eq!(settings.bounds.revocation, Duration::from_secs(5));
    assert!((settings.bounds.retry_slack - 58.0).abs() < f64::EPSILON);
    assert_eq!(settings.bounds.evacuation, None, "not stated");
}

/// Guards against keys that stay in use because the setting is missing or malformed.
#[test]
fn revocation_is_strict_unless_it_is_waived() {
    let cases = [("true", true), ("false", false), ("\"false\"", true), ("0", true)];
    for (value, expected) in cases {
        let stated = format!("revoke_ms = 5000\nstrict_revoke = {value}");
        let text = SETTINGS.replace("revoke_ms = 5000", &stated);
        let settings = settings::parse(&text, 1).unwrap();
        assert_eq!(settings.bounds.strict_revocation, expected, "{value}");
    }
    assert!(settings::parse(SETTINGS, 1).unwrap().bounds.strict_revocation, "missing");
}

#[test]
fn the_error_names_the_invalid_setting() {
    let cases = [
        ("node_name = \"front-a-1\"", "node_name = \"two words\"", "node_name"),
        ("zone = \"ar-centro-a\"", "zone = \"\"", "zone"),
        ("port_range = [7200,7215]", "port_range = [7215,7200]", "port_range"),
        ("grace_s = 8", "grace_s = -1", "bounds.grace_s"),
        ("retry_ratio = 0.2", "retry_ratio = -0.2", "bounds.retry_ratio"),
        ("retry_slack = 58", "retry_slack = nan", "bounds.retry_slack"),
    ];
    for (good, bad, field) in cases {
        let error = settings::parse(&SETTINGS.replace(good, bad), 1).unwrap_err();
        assert!(error.to_string().contains(field), "{field}: {error}");
    }
    for (good, bad) in [("drain_ms = 2000\n", ""), ("front = \"10.1.0.19:8740\"", "front = \"x\"")]
    {
        let error = settings::parse(&SETTINGS.replace(good, bad), 1).unwrap_err();
        assert!(matches!(error, settings::Error::Malformed(_)), "{bad}: {error}");
    }
}

/// Guards against a host that does not start, or that takes a domain for part of a region, because of a malformed entry.
#[test]
fn malformed_regions_of_domains_are_unknown() {
    let zones = "\n[zones]\na = \"north\"\nb = \"\"\nc = 7\n\"not a name\" = \"north\"\n";
    let settings = settings::parse(&format!("{SETTINGS}{zones}"), 1).unwrap();
    let region = |name: &str| settings.regions.of(&name::Domain::new(name).unwrap()).cloned();
    assert_eq!(region("a"), Some(name::Region::new("north").unwrap()));
    assert_eq!((region("b"), region("c"), region("d")), (None, None, None));
}

/// Guards against a host that does not start, or that refuses all requests, because of an implausible limit.
#[test]
fn the_memory_of_a_host_is_optional() {
    let cases = [
        ("88", Some(88_000_000)),
        ("88.5", Some(88_500_000)),
        ("0", None),
        ("-1", None),
        ("nan", None),
        ("\"x\"", None),
    ];
    for (value, expected) in cases {
        let text = SETTINGS.replace("[limits]", &format!("[limits]\nmemory_mb = {value}"));
        assert_eq!(settings::parse(&text, 1).unwrap().memory_bytes, expected, "{value}");
    }
    assert_eq!(settings::parse(SETTINGS, 1).unwrap().memory_bytes, None);
}

/// Guards against a list of regions that restricts nothing because a name in it is invalid.
#[test]
fn homes_are_parsed() {
    let north = name::Region::new("north").unwrap();
    let cases = [
        ("", [true, true]),
        ("\"allowed_regions\":null,", [true, true]),
        ("\"allowed_regions\":[],", [true, true]),
        ("\"allowed_regions\":[\"north\",\"not a name\"],", [true, false]),
        ("\"allowed_regions\":[\"\"],", [false, false]),
    ];
    for (field, expected) in cases {
        let document =
            DOCUMENT.replace("{\"name\":\"r-1\",", &format!("{{{field}\"name\":\"r-1\","));
        let document =
            document.replace("{\"name\":\"o-1\",", &format!("{{{field}\"name\":\"o-1\","));
        let table = configuration::parse(document.as_bytes()).unwrap().table;
        let route = &table.find("a.example", "/p/x").unwrap().homes;
        let organisation = &table.organisation("k-1").unwrap().homes;
        for homes in [route, organisation] {
            assert_eq!([homes.allows(Some(&north)), homes.allows(None)], expected, "{field}");
        }
        assert_eq!(table.has_homes(), !expected[1], "{field}");
    }
}

#[test]
fn a_document_is_parsed_into_a_routing_table() {
    let Parsed { table, left_out } = configuration::parse(DOCUMENT.as_bytes()).unwrap();
    assert!(left_out.is_empty(), "{left_out:?}");
    let stream = table.find("a.example", "/p/x").unwrap();
    assert_eq!(stream.kind, Kind::Stream { resumable: true });
    assert!(stream.generates && !stream.public);
    let weighted = table.find("a.example", "/q/").unwrap();
    assert_eq!((weighted.kind, weighted.targets.len()), (Kind::NonIdempotent, 2));
    assert_eq!(table.organisation("k-2").unwrap().name.as_str(), "o-1");
    let pool = table.pool(&name::Service::new("pool").unwrap()).unwrap();
    assert_eq!((pool.memory_tokens, pool.event_tokens, pool.can_migrate), (34_241, 4, true));
    assert!(table.pool(&name::Service::new("app").unwrap()).is_none());
}

#[test]
fn a_registry_entry_is_parsed() {
    let entry = registry::parse("i-1", ENTRY.as_bytes()).unwrap();
    assert_eq!((entry.phase, entry.started_ms), (Phase::Ready, 1_700_000_000_000));
    let draining = ENTRY.replace("\"ready\"", "\"draining\"");
    assert_eq!(registry::parse("i-1", draining.as_bytes()).unwrap().phase, Phase::Leaving);
}

#[test]
fn an_invalid_registry_entry_is_rejected() {
    let cases = [
        ("\"state\":\"ready\"", "\"state\":\"dancing\""),
        ("\"slots\":24,", ""),
        ("\"slots\":24", "\"slots\":\"24\""),
        ("10.128.0.9:8080", "nowhere"),
    ];
    for (good, bad) in cases {
        assert!(registry::parse("i-1", ENTRY.replace(good, bad).as_bytes()).is_err(), "{bad}");
    }
    assert!(registry::parse("not a name", ENTRY.as_bytes()).is_err());
    assert!(registry::parse("i-1", b"\x00\x01").is_err());
}

#[test]
fn the_head_of_a_request_is_parsed() {
    let head = Head::try_from(&request(&[])).unwrap();
    assert_eq!((head.host.as_str(), &*head.id_text), ("a.example", "9c41"));
    assert_eq!(head.caller_timeout, Some(Duration::from_secs(6)));
    assert_eq!(head.key.as_deref(), Some("k-1"));
    let prompt = head.prompt.unwrap();
    assert_eq!((prompt.input, prompt.max_output), (1_460, 80));
}

#[test]
fn the_last_part_of_a_prompt_is_not_shared() {
    let cases = [
        ("5c1e:800, 91bd:410,e440:250", vec!["5c1e", "91bd"]),
        ("5c1e:800,not a name:1,e440:250", vec!["5c1e"]),
        ("5c1e:800", vec![]),
        ("", vec![]),
    ];
    for (value, expected) in cases {
        let head = Head::try_from(&request(&[("nutmeghead-prefix-hash", value)])).unwrap();
        let parts: Vec<_> = head.shared_parts.iter().map(name::Part::as_str).collect();
        assert_eq!(parts, expected, "{value}");
    }
}

#[test]
fn a_request_with_a_missing_id_or_invalid_numbers_is_rejected() {
    let mut parts = request(&[]);
    parts.headers.remove("nutmeghead-request-id");
    assert_eq!(Head::try_from(&parts).unwrap_err(), headers::Error::Id);
    for name in ["nutmeghead-deadline-ms", "nutmeghead-tokens"] {
        let mut parts = request(&[]);
        parts.headers.insert(name, HeaderValue::from_static("soon"));
        assert!(matches!(Head::try_from(&parts), Err(headers::Error::Value(_))), "{name}");
    }
}

#[test]
fn reserved_and_hop_by_hop_headers_of_callers_are_not_forwarded() {
    let headers = outgoing_headers(
        &[
            ("nutmeghead-tenant", "other"),
            ("nutmeghead-hold", "h"),
            ("nutmeghead-pin-ms", "1"),
            ("nutmeghead-kv-backup", "10.0.0.1:1"),
            ("kv-from", "10.0.0.1:1/x"),
            ("nutmeghead-urgency", "0"),
            ("connection", "close, x-hop"),
            ("x-hop", "1"),
            ("x-kept", "1"),
        ],
        None,
    );
    let removed = ["authorization", "nutmeghead-hold", "nutmeghead-pin-ms", "nutmeghead-kv-backup"];
    for name in removed.into_iter().chain(["kv-from", "connection", "x-hop"]) {
        assert!(!headers.contains_key(name), "{name}");
    }
    let expected = [
        ("nutmeghead-tenant", "o-1"),
        ("nutmeghead-expect-instance", "i-1"),
        ("nutmeghead-deadline-ms", "5900"),
        ("nutmeghead-urgency", "4"),
        ("nutmeghead-request-id", "9c41"),
        ("nutmeghead-tokens", "1460, 80"),
        ("x-kept", "1"),
        ("host", "A.example:8740"),
    ];
    for (name, value) in expected {
        assert_eq!(headers.get(name).map(HeaderValue::as_bytes), Some(value.as_bytes()), "{name}");
    }
}

/// Guards against a request that reaches a server without its organisation, or with another one.
#[test]
fn the_name_of_an_organisation_arrives_as_it_is_written() {
    for name in ["Cafe Nyhavn", "o: 1/2", "\u{e5}\u{df}\u{6771}"] {
        let mut request = outgoing_request(&request(&[]));
        request.organisation = Some(name::Customer::new(name).unwrap());
        let server = name::Server::new("i-1").unwrap();
        let headers = headers::outgoing(&request, &server, Duration::from_secs(1), None);
        assert_eq!(headers["nutmeghead-tenant"].as_bytes(), name.as_bytes());
    }
}

#[test]
fn a_continuation_sets_the_kv_source_and_the_last_event_id() {
    let kv_cache = KvCache { source: ([10, 0, 0, 1], 80).into(), handle: "h-7".to_owned() };
    let continuation = Continuation { kv_cache: Some(kv_cache), last_event: Some("41".into()) };
    let headers = outgoing_headers(&[], Some(&continuation));
    assert_eq!(headers["kv-from"], "10.0.0.1:80/h-7");
    assert_eq!(headers["last-event-id"], "41");
}

#[test]
fn the_head_of_a_response_is_parsed() {
    let id = HeaderValue::from_static("9c41");
    let reply = |status: StatusCode, pairs: &[(&str, &str)]| {
        let mut response = Response::builder().status(status);
        for (name, value) in pairs {
            response = response.header(*name, *value);
        }
        headers::reply(&response.body(()).unwrap().into_parts().0, &id)
    };
    let ok = reply(StatusCode::OK, &[("nutmeghead-request-id", "9c41"), ("nutmeghead-stamp", "s")]);
    assert!(ok.id_matches && ok.stamped && ok.unencoded && !ok.not_run);
    assert!(!reply(StatusCode::OK, &[("nutmeghead-request-id", "9c42")]).id_matches);
    assert!(!reply(StatusCode::OK, &[("content-encoding", "gzip")]).unencoded);
    let full = StatusCode::SERVICE_UNAVAILABLE;
    assert!(reply(full, &[("nutmeghead-not-run", "1")]).not_run);
    assert!(!reply(full, &[]).not_run, "status 503 alone does not rule out a run");
    assert!(reply(StatusCode::MISDIRECTED_REQUEST, &[]).not_run);
    assert!(reply(StatusCode::OK, &[("server-leaving", "1")]).leaving);
    assert!(!reply(StatusCode::OK, &[("server-leaving", "0")]).leaving);
    let misdirected = reply(StatusCode::MISDIRECTED_REQUEST, &[("server-leaving", "1")]);
    assert!(!misdirected.leaving, "another server has the address");
}

#[test]
fn the_limit_that_a_server_names_is_parsed_or_ignored() {
    let limit = |status: u16, value: &str| {
        let response = Response::builder().status(status).header("server-limit", value);
        let head = response.body(()).unwrap().into_parts().0;
        headers::reply(&head, &HeaderValue::from_static("9c41")).limit.map(Limit::per_s)
    };
    for (value, expected) in [
        ("3.3", Some(3.3)),
        (" 12 ", Some(12.0)),
        ("0", Some(0.0)),
        ("-1", None),
        ("NaN", None),
        ("inf", None),
        ("soon", None),
        ("", None),
    ] {
        assert_eq!(limit(200, value), expected, "{value:?}");
        assert_eq!(limit(503, value), expected, "{value:?}");
        assert_eq!(limit(421, value), None, "another server responded, {value:?}");
    }
}

#[test]
fn the_time_that_a_refusal_asks_for_is_parsed_or_ignored() {
    let wait = |status: StatusCode, value: &str| {
        let response = Response::builder().status(status).header("retry-after", value);
        let head = response.body(()).unwrap().into_parts().0;
        headers::reply(&head, &HeaderValue::from_static("9c41")).wait
    };
    let full = StatusCode::SERVICE_UNAVAILABLE;
    let day = Duration::from_secs(24 * 3_600);
    let cases = [
        ("2", Some(Duration::from_secs(2))),
        (" 0.25 ", Some(Duration::from_millis(250))),
        ("86401", Some(day)),
        ("1e300", Some(day)),
        ("inf", Some(day)),
        ("0", None),
        ("-0.0", None),
        ("-3", None),
        ("NaN", None),
        ("soon", None),
        ("", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
    ];
    for (value, expected) in cases {
        assert_eq!(wait(full, value), expected, "{value:?}");
        assert_eq!(wait(StatusCode::TOO_MANY_REQUESTS, value), None, "{value:?}");
    }
}

/// Guards against a malformed statement that makes a server look empty, full or fast.
#[test]
fn the_load_that_a_server_states_is_parsed_or_ignored() {
    let stated = |status: u16, value: &[u8]| {
        let response = Response::builder().status(status).header("nutmeghead-load", value);
        let head = response.body(()).unwrap().into_parts().0;
        headers::reply(&head, &HeaderValue::from_static("9c41")).stated
    };
    let plain = Stated { running: 3, waiting: 1, slots: 6, slowdown: None };
    let slow = Stated { slowdown: Some(2.5), ..plain };
    let cases: [(&[u8], Option<Stated>); 18] = [
        (b"3,1,6", Some(plain)),
        (b" 3, 1 ,6 ", Some(plain)),
        (b"3,1,6,250", Some(slow)),
        (b"3,1,6,250,7", Some(slow)),
        (b"3,1,6,9", None),
        (b"3,1,6,10001", None),
        (b"3,1,6,-100", None),
        (b"3,1,6,NaN", None),
        (b"3,1,6,inf", None),
        (b"3,1,6,", None),
        (b"3,1,0", None),
        (b"100001,1,6", None),
        (b"3,100001,6", None),
        (b"-3,1,6", None),
        (b"3,1", None),
        (b"3;1;6", None),
        (b"", None),
        (b"3,1,6,\xff", None),
    ];
    for (value, expected) in cases {
        assert_eq!(stated(200, value), expected, "{value:?}");
        assert_eq!(stated(503, value), expected, "{value:?}");
        assert_eq!(stated(421, value), None, "another server responded, {value:?}");
    }
}

#[test]
fn settings_may_state_the_bound_of_an_evacuation() {
    let text = SETTINGS.replace("revoke_ms = 5000", "revoke_ms = 5000\nevac_ms = 1500");
    let settings = settings::parse(&text, 9_464).unwrap();
    assert_eq!(settings.bounds.evacuation, Some(Duration::from_millis(1_500)));
}

/// Guards against a record of another kind that is taken for an evacuation, and against an unreadable one that ends the
/// process.
#[test]
fn the_key_of_an_evacuation_names_the_domain() {
    let record = evacuation::parse("evacuate/ar-centro-a", true).unwrap().unwrap();
    assert_eq!((record.domain.as_str(), record.is_evacuated), ("ar-centro-a", true));
    assert!(!evacuation::parse("evacuate/a", false).unwrap().unwrap().is_evacuated);
    for key in ["evacuate/", "evacuate/a/b", "evacuate/\u{0}"] {
        assert!(evacuation::parse(key, true).unwrap().is_err(), "{key}");
    }
    for key in ["config", "evacuate", "evacuates/a", ""] {
        assert!(evacuation::parse(key, true).is_none(), "{key}");
    }
}
