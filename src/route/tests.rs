//! Tests of the route table.

use std::sync::Arc;
use std::time::Duration;

use super::{Kind, Limits, Organisation, Route, Table, Target};
use crate::name;

fn limits() -> Limits {
    Limits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        idle_timeout: Duration::from_secs(15),
        head_timeout: Duration::from_secs(3),
    }
}

fn route(name: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: name::Service::new(service).unwrap(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_pause: None,
        priority: 0,
        targets: targets.iter().map(target).collect(),
        max_runs: 2,
        public: false,
        generates: false,
        homes: Default::default(),
    }
}

fn table() -> Table {
    Table::new(1, limits())
        .with_route("a.example", "/", route("root", &[("s", 1)]))
        .with_route("a.example", "/x/", route("x", &[("s", 1)]))
        .with_route("a.example", "/x/y/", route("xy", &[("s", 1)]))
        .with_route("b.example", "/x/", route("other", &[("s", 1)]))
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let cases = [
        ("a.example", "/x/y/z", Some("xy")),
        ("a.example", "/x/y/", Some("xy")),
        ("a.example", "/x/y", Some("x")),
        ("a.example", "/xy/", Some("root")),
        ("a.example", "/", Some("root")),
        ("b.example", "/x/1", Some("other")),
        ("b.example", "/y/", None),
        ("c.example", "/x/", None),
        ("a.example", "", None),
    ];
    for (host, path, expected) in cases {
        let name = table.find(host, path).map(|route| &*route.name);
        assert_eq!(name, expected, "{host}{path}");
    }
}

#[test]
fn requests_are_distributed_over_services_by_weight() {
    let route = route("split", &[("a", 90), ("b", 10), ("never", 0)]);
    let count = |service: &str| {
        (0..1_000).filter(|sample| route.choose_service(*sample).as_str() == service).count()
    };
    assert_eq!([count("a"), count("b"), count("never")], [900, 100, 0]);
}

#[test]
fn a_service_is_selected_if_all_weights_are_zero() {
    assert_eq!(route("off", &[("a", 0)]).choose_service(7).as_str(), "a");
}

#[test]
fn a_key_identifies_its_organisation() {
    let holder = name::Customer::new("o-1").unwrap();
    let organisation =
        Arc::new(Organisation { name: holder, priority: Some(1), homes: Default::default() });
    let table = table().with_key("k", Arc::clone(&organisation));
    assert_eq!(table.organisation("k"), Some(&organisation));
    assert_eq!(table.organisation("K"), None);
}
