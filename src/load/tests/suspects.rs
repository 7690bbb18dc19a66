//! Tests of the choice among servers some of which break off requests.

use super::*;

/// The servers chosen for short requests, with many seeds.
fn chosen(servers: &[Arc<Server>], excluded: &[name::Server]) -> Vec<String> {
    let (tracker, domain) = (Tracker::new(), name::Domain::new("a").unwrap());
    let choice = |seed| {
        let (remote_cost, jitter, max_candidates) = (0.0, 0.1, usize::MAX);
        let preference = Preference { domain: &domain, remote_cost, jitter, max_candidates, seed };
        let requirement = requirement(100, Class::Short);
        tracker.choose(servers, excluded, |_| CAPACITY, requirement, preference, 100).unwrap()
    };
    let mut ids: Vec<_> =
        (0..60).map(|seed| choice(seed).server.entry.id.as_str().to_owned()).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Guards against a server that looks idle as it breaks off everything.
#[test]
fn a_server_that_breaks_off_requests_is_chosen_only_without_others() {
    let servers = servers(3);
    servers[0].suspicion().record_break(0, 90);
    assert_eq!(chosen(&servers, &[]), ["e-1", "e-2"]);

    let others: Vec<_> = servers[1..].iter().map(|server| server.entry.id.clone()).collect();
    assert_eq!(chosen(&servers, &others), ["e-0"]);
}

/// Guards against a host that sets nearly all servers aside, as when its own links are at fault.
#[test]
fn all_servers_are_chosen_if_many_break_off_requests() {
    let servers = servers(5);
    servers[..2].iter().for_each(|server| {
        server.suspicion().record_break(0, 90);
    });
    assert_eq!(chosen(&servers, &[]).len(), 5);
}
