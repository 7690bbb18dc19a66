//! Tests of the restriction of requests to their homes, without a network.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};

use super::{HostRegion, allow, allow_host, in_force, receive};
use crate::directory::Server;
use crate::entry::context::Context;
use crate::entry::facts::tests::{address, context, entry};
use crate::entry::request::{Head, Outgoing};
use crate::homes::{Regions, Set};
use crate::name;
use crate::route::{Kind, Limits, Organisation, Route, Table, Target};

fn region(name: &str) -> name::Region {
    name::Region::new(name).unwrap()
}

fn set(names: &[&str]) -> Set {
    Set::new(names.iter().map(|name| region(name)))
}

/// A document of this version; without a route and a key if `homes` is `None`.
fn table(version: u64, homes: Option<(Set, Set)>) -> Table {
    let limits = Limits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        idle_timeout: Duration::from_secs(15),
        head_timeout: Duration::from_secs(3),
    };
    let table = Table::new(version, limits);
    let Some((route, organisation)) = homes else { return table };
    let route = Route {
        name: "r".into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_pause: None,
        priority: 0,
        targets: vec![Target { service: name::Service::new("pool").unwrap(), weight: 1 }],
        max_runs: 2,
        public: false,
        generates: false,
        homes: route,
    };
    let name = name::Customer::new("o-1").unwrap();
    let organisation = Organisation { name, priority: None, homes: organisation };
    table.with_route("a.example", "/p/", route).with_key("k-1", Arc::new(organisation))
}

/// A request that was admitted with these homes.
fn request(homes: Set) -> Outgoing {
    let parts = Request::post("/p/x")
        .header("host", "a.example")
        .header("nutmeghead-request-id", "q-1")
        .header("authorization", "Bearer k-1")
        .body(())
        .unwrap()
        .into_parts()
        .0;
    Outgoing {
        head: Head::try_from(&parts).unwrap(),
        method: Method::POST,
        target: parts.uri,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        content: Default::default(),
        organisation: Some(name::Customer::new("o-1").unwrap()),
        urgency: 4,
        is_trial: false,
        homes,
    }
}

/// A host in region `north`, whose domain `a` belongs to that region.
fn northern() -> Context {
    let (mut context, _) = context();
    context.settings.region = region("north");
    context.settings.regions = Regions::new([(context.settings.domain.clone(), region("north"))]);
    context
}

/// Guards against a request that keeps the homes of the document with which it was admitted, and against one that loses
/// them because its route and key were removed.
#[test]
fn the_newest_document_decides_on_the_next_attempt() {
    let context = northern();
    let server = Server::new(entry(1));
    let request = request(set(&["south"]));
    let cases = [
        (Some((Set::any(), Set::any())), true),
        (Some((set(&["north", "south"]), set(&["north"]))), true),
        (Some((set(&["north"]), set(&["south"]))), false),
        (Some((Set::any(), set(&["south"]))), false),
        (None, false),
    ];
    for (index, (homes, expected)) in cases.into_iter().enumerate() {
        context.cache.replace_table(table(index as u64 + 1, homes));
        assert_eq!(allow(&context, &request, &server), expected, "{index}");
    }
    assert_eq!(in_force(&context, &request), set(&["south"]));
}

/// Guards against bodies that are sent to hosts of another region or of an unknown one, as those of earlier builds are.
#[test]
fn a_body_goes_to_hosts_in_its_homes_and_in_the_own_region_only() {
    let context = northern();
    for (index, name) in [(1, "north"), (2, "south"), (3, "west")] {
        receive(&context, address(index), HostRegion { region: region(name) });
    }
    let asked = |context: &Context| {
        [1, 2, 3, 4].map(|index| allow_host(context, &request(Set::any()), address(index)))
    };

    context.cache.replace_table(table(1, Some((Set::any(), Set::any()))));
    assert_eq!(asked(&context), [true; 4]);
    context.cache.replace_table(table(2, Some((set(&["south"]), Set::any()))));
    assert_eq!(asked(&context), [true, true, false, false]);
}

/// Guards against memory that grows with announcements of addresses that are no entry hosts.
#[test]
fn a_region_of_an_unknown_host_is_ignored() {
    let context = northern();
    receive(&context, address(99), HostRegion { region: region("north") });
    assert_eq!(context.host_regions().region(address(99), 2, 0), None);
}
