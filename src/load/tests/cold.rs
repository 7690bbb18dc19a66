//! Tests of the choice among servers that are cold.

use super::*;
use crate::rate::{Limit, Share};

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
