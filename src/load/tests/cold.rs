//! Tests of the choice among servers that are cold or in slow start.

use super::*;
use crate::rate::{Limit, Share};

/// A server in slow start on which this host has no room.
fn begin_slow_start(server: &Server) {
    server.slow_start().begin(24, 0);
    server.slow_start().set_position(50, 72, 0);
}

fn chosen(tracker: &Tracker, servers: &[Arc<Server>], class: Class) -> Vec<String> {
    let domain = name::Domain::new("a").unwrap();
    let choice = |seed| {
        let (remote_cost, jitter) = (0.0, 0.0);
        let max_candidates = usize::MAX;
        let preference = Preference { domain: &domain, remote_cost, jitter, max_candidates, seed };
        let requirement = requirement(100, class);
        tracker.choose(servers, &[], |_| CAPACITY, requirement, preference, 0).unwrap()
    };
    let mut ids: Vec<_> =
        (0..20).map(|seed| choice(seed).server.entry.id.as_str().to_owned()).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Guards against a flood of a new server that looks empty, as it has no long generations yet.
#[test]
fn a_server_without_room_in_its_slow_start_gets_nothing_while_others_take_requests() {
    let (servers, mut tracker) = (servers(3), Tracker::new());
    begin_slow_start(&servers[0]);
    tracker.begin(&servers[0].entry.id, 100, 0);
    servers[1..].iter().for_each(|server| tracker.begin(&server.entry.id, 15_000, 0));
    assert_eq!(chosen(&tracker, &servers, Class::Short), ["e-1", "e-2"]);
}

/// Guards against refusals while engines are empty, as when a whole domain returns and nothing else is left.
#[test]
fn if_all_servers_are_in_slow_start_the_least_loaded_one_is_chosen() {
    let (servers, mut tracker) = (servers(3), Tracker::new());
    for (server, tokens) in servers.iter().zip([9_000, 3_000, 6_000]) {
        begin_slow_start(server);
        tracker.begin(&server.entry.id, tokens, 0);
    }
    assert_eq!(chosen(&tracker, &servers, Class::Short), ["e-1"]);
}

/// Guards against continuations that are sent to a cold engine regardless of its limit while a warm one has capacity.
#[test]
fn a_migrating_generation_prefers_warm_engines() {
    let (servers, mut tracker) = (servers(2), Tracker::new());
    tracker.begin(&servers[1].entry.id, 9_000, 0);
    let mut pace = servers[0].pace();
    pace.set_cold(Limit::new(26.0).unwrap(), 10_000, 0);
    pace.set_share(Share { senders: 1, is_sender: true }, 0.0, 0);
    drop(pace);
    assert_eq!(chosen(&tracker, &servers, Class::Migrating), ["e-1"]);
    assert_eq!(chosen(&tracker, &servers, Class::Short), ["e-0"]);
    assert_eq!(chosen(&tracker, &servers[..1], Class::Migrating), ["e-0"], "if there is no other");
}
