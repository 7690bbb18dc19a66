//! Tests of parsing and checking documents.

use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::name;

fn valid() -> String {
    format!(
        r#"
[[organisations]]
name = "north"
key_sha256 = ["{key}"]
priorities = {{ lookup = 3 }}
[[workloads]]
name = "rebuild"
priority = 0
[[workloads]]
name = "lookup"
priority = 5
[[models]]
name = "m"
workload = "rebuild"
adapters = ["a"]
[[engines]]
name = "e1"
address = "127.0.0.1:7201"
domain = "a"
models = ["m"]
memory_tokens = 1000
[[services]]
name = "s"
workload = "lookup"
servers = [{{ name = "s1", address = "127.0.0.1:7301", domain = "a" }}]
routes = [{{ method = "POST", prefix = "/swaps", idempotent = false }}]
[[objectives]]
workload = "rebuild"
measure = "first_token"
target_ms = 640
ratio = 0.95
"#,
        key = key_sha256("secret")
    )
}

fn problem(text: &str) -> (String, Problem, String) {
    match parse(text).unwrap_err() {
        Error::Invalid { violations } => {
            let span = violations[0].span();
            let value = &text[span.offset()..span.offset() + span.len()];
            (violations[0].path.to_string(), violations[0].problem.clone(), value.to_owned())
        }
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn valid_document_is_indexed_by_key_and_name() {
    let text: Arc<str> = valid().into();

    let active = Active::parse(7, text.clone()).unwrap();

    let organisation = active.organisation_by_key("secret").unwrap();
    let lookup = active.workload("lookup").unwrap();
    assert_eq!((active.version(), active.text()), (7, &text));
    assert_eq!(active.priority(organisation, lookup), 3);
    assert_eq!(active.priority(organisation, active.workload("rebuild").unwrap()), 0);
    assert_eq!(active.engines_of(&name::Model::new("m").unwrap())[0].name.as_str(), "e1");
    assert!(active.organisation_by_key("wrong").is_none());
    assert!(active.model("x").is_none() && active.service("s").is_some());
}

#[test]
fn each_check_reports_path_and_value() {
    let cases = [
        ("priority = 5", "priority = 10", "workloads[1].priority", "10"),
        ("lookup = 3", "lookups = 3", "organisations[0].priorities.lookups", "3"),
        ("[\"m\"]", "[\"n\"]", "engines[0].models[0]", "\"n\""),
        ("[\"m\"]", "[\"m\", \"m\"]", "engines[0].models[1]", "\"m\""),
        ("[\"m\"]", "[]", "engines[0].models", "[]"),
        ("[\"a\"]", "[\"a\", \"a\"]", "models[0].adapters[1]", "\"a\""),
        ("7201\"", "0\"", "engines[0].address", "\"127.0.0.1:0\""),
        ("memory_tokens = 1000", "memory_tokens = 0", "engines[0].memory_tokens", "0"),
        ("\"lookup\"\nservers", "\"l\"\nservers", "services[0].workload", "\"l\""),
        ("\"/swaps\"", "\"swaps\"", "services[0].routes[0].prefix", "\"swaps\""),
        ("\"POST\"", "\"post\"", "services[0].routes[0].method", "\"post\""),
        ("0.95", "1.0", "objectives[0].ratio", "1.0"),
        ("0.95", "nan", "objectives[0].ratio", "nan"),
        ("640", "0", "objectives[0].target_ms", "0"),
        (
            "[[objectives]]\nworkload = \"rebuild\"",
            "[[objectives]]\nworkload = \"r\"",
            "objectives[0].workload",
            "\"r\"",
        ),
        ("name = \"lookup\"", "name = \"rebuild\"", "organisations[0].priorities.lookup", "3"),
        (
            "[[objectives]]",
            "[[services]]\nname = \"t\"\nworkload = \"lookup\"\n\
             servers = [{ name = \"s1\", address = \"127.0.0.1:7302\", domain = \"a\" }]\n[[objectives]]",
            "services[1].servers[0].name",
            "\"s1\"",
        ),
    ];
    for (from, to, path, value) in cases {
        let text = valid().replacen(from, to, 1);
        assert_ne!(text, valid(), "{from}");

        let violations = match parse(&text).unwrap_err() {
            Error::Invalid { violations } => violations,
            other => panic!("{from}: {other:?}"),
        };

        let reported: Vec<_> = violations
            .iter()
            .map(|v| (v.path.to_string(), &text[v.span().offset()..][..v.span().len()]))
            .collect();
        assert!(reported.contains(&(path.to_owned(), value)), "{from}: {reported:?}");
    }
}

#[test]
fn examples_are_accepted() {
    let cases = [
        (include_str!("../../examples/rumbo.toml"), "charter-key", "rebuild", 0, Goal::Stall),
        (include_str!("../../examples/fortovsraad.toml"), "ribe-key", "decision", 1, Goal::Tail),
    ];
    for (text, key, workload, priority, goal) in cases {
        let active = Active::parse(1, text.into()).unwrap();

        let organisation = active.organisation_by_key(key).unwrap();
        let workload = active.workload(workload).unwrap();
        let model = &active.document().models[0].name;
        assert_eq!(active.priority(organisation, workload), priority);
        assert_eq!(active.engines_of(model).len(), 20);
        assert_eq!(active.document().organisations.len(), 10);
        assert_eq!(active.document().policy.goal, goal);
    }
}

#[test]
fn fraction_outside_its_range_is_rejected() {
    let text = format!("[policy]\nurgent_headroom = 0.95\n{}", valid());

    let (path, problem, value) = problem(&text);

    assert_eq!(path, "policy.urgent_headroom");
    assert!(matches!(problem, Problem::Fraction { .. }));
    assert_eq!(value, "0.95");
}

#[test]
fn unknown_keys_invalid_types_names_and_sizes_are_rejected() {
    let cases = ["x = 1\n", "[policy]\nspeed = 1\n", "[policy]\ngoal = \"fast\"\n", "= = =\n"];
    for case in cases {
        let error = parse(&format!("{case}{}", valid())).unwrap_err();

        assert!(matches!(error, Error::Syntax { span: Some(_), .. }), "{case}: {error:?}");
    }
    let too_large = parse(&"#".repeat(MAX_DOCUMENT_BYTES + 1)).unwrap_err();
    assert!(matches!(too_large, Error::Large { .. }));
    let bad_name = valid().replace("\"e1\"", "\"e 1\"");
    assert!(matches!(parse(&bad_name).unwrap_err(), Error::Syntax { .. }));
}

#[test]
fn diagnostic_shows_the_invalid_line() {
    let text = valid().replace("priority = 5", "priority = 10");

    let report = miette::Report::new(parse(&text).unwrap_err());

    let mut output = String::new();
    miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::unicode_nocolor())
        .render_report(&mut output, report.as_ref())
        .unwrap();
    assert!(output.contains("priority = 10") && output.contains("from 0 to 9"), "{output}");
}

#[test]
fn generated_malformed_input_gives_typed_errors() {
    let base = valid().into_bytes();
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bytes = base.clone();
        for _ in 0..rng.random_range(1..8) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[at] = rng.random(),
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, b"[]{}\"=.,'\n#9"[rng.random_range(0..12)]),
                _ => bytes.extend_from_within(at..),
            }
        }
        let text = String::from_utf8_lossy(&bytes);

        let result = parse(&text);

        if let Err(Error::Invalid { violations }) = result {
            assert!(!violations.is_empty() && violations.len() <= 32, "seed {seed}");
            assert!(violations.iter().all(|v| v.span().offset() + v.span().len() <= text.len()));
        }
    }
    let deeply_nested = format!("x = {}", "[".repeat(100_000));
    assert!(matches!(parse(&deeply_nested), Err(Error::Syntax { .. })));
}
