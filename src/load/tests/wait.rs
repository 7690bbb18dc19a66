//! Servers that want no requests from a host for some time.

use std::sync::Arc;

use super::super::{return_ms, wait_ms};
use super::{choose, server, servers};
use crate::directory::{Phase, Server};
use crate::load::Tracker;
use crate::rate::{Limit, Share};

/// Requests that the replayed host gets, one each millisecond.
const REQUESTS: u64 = 20_000;

/// Requests that a replayed server accepts each second before it asks for time.
const ACCEPTED_PER_S: u64 = 40;

/// Time that a full server asks for, in milliseconds.
const ASKED_MS: u64 = 700;

#[test]
fn a_server_that_wants_no_requests_is_not_chosen() {
    let servers = servers(40);
    for server in &servers[..39] {
        server.set_wait(1);
    }
    for seed in 0..200 {
        let chosen = choose(&Tracker::new(), &servers, 100, (0.0, 0.0, seed)).unwrap();
        assert_eq!(chosen.entry.id, servers[39].entry.id, "{seed}");
        let chosen = choose(&Tracker::new(), &servers, 100, (0.0, 0.1, seed)).unwrap();
        assert_eq!(chosen.entry.id, servers[39].entry.id, "a migration, {seed}");
    }
    servers[39].set_wait(1);
    assert!(choose(&Tracker::new(), &servers, 100, (0.0, 0.0, 0)).is_none());
}

#[test]
fn a_wait_ends_and_a_later_one_replaces_it() {
    let server = server(0, "a");
    server.set_wait(500);
    assert_eq!((server.wait_until_ms(499), server.wait_until_ms(500)), (Some(500), None));
    server.set_wait(300);
    assert_eq!(server.wait_until_ms(299), Some(300));
    assert_eq!(Server::new(server.entry.clone()).wait_until_ms(0), None, "the next incarnation");
}

#[test]
fn a_server_whose_limit_is_used_is_not_chosen() {
    let servers = servers(12);
    for server in &servers[..11] {
        server.pace().observe(Limit::new(4.0), 0, 0);
        server.pace().set_share(Share { senders: 1, is_sender: true }, 0.0, 0);
        assert!(server.pace().take(0));
    }
    for seed in 0..200 {
        let chosen = choose(&Tracker::new(), &servers, 100, (0.0, 0.0, seed)).unwrap();
        assert_eq!(chosen.entry.id, servers[11].entry.id, "{seed}");
    }
}

#[test]
fn callers_are_refused_until_a_server_with_a_limit_takes_a_request() {
    let servers = servers(1);
    let limit = Limit::new(4.0);
    servers[0].pace().observe(limit, 1_000, 1_000);
    servers[0].pace().set_share(Share { senders: 2, is_sender: true }, 0.0, 1_000);
    assert!(servers[0].pace().take(1_000));
    assert_eq!(wait_ms(&servers, &[], 1_100), Some(400));
    servers[0].set_wait(1_800);
    assert_eq!(wait_ms(&servers, &[], 1_100), Some(700), "the later of both");
}

#[test]
fn callers_are_refused_until_the_first_server_takes_requests_again() {
    let servers = servers(3);
    servers[0].set_wait(900);
    servers[1].set_wait(400);
    assert_eq!(wait_ms(&servers, &[], 100), None, "one takes requests now");
    let excluded = [servers[2].entry.id.clone()];
    assert_eq!(wait_ms(&servers, &excluded, 100), Some(300));
    assert_eq!(wait_ms(&[], &[], 100), None);
    let mut leaving = server(1, "a").entry.clone();
    leaving.phase = Phase::Leaving;
    let servers = [Arc::clone(&servers[0]), Arc::new(Server::new(leaving))];
    assert_eq!(wait_ms(&servers, &[], 100), Some(800), "a leaving server takes none");
}

#[test]
fn callers_return_spread_over_a_quarter_of_the_wait() {
    let returns: Vec<u64> = (0..1_000).map(|sample| return_ms(400, sample * 7_919)).collect();
    assert!(returns.iter().all(|at_ms| (400..=500).contains(at_ms)));
    let in_one_ms = |at: u64| returns.iter().filter(|at_ms| **at_ms == at).count();
    assert!((400..=500).all(|at_ms| in_one_ms(at_ms) < 40));
}

/// Replays more requests than the servers accept. A full server refuses and asks for time; a request that it gets within
/// that time is counted.
#[test]
fn full_servers_get_no_requests_while_they_ask_for_time() {
    let servers = servers(4);
    let mut accepted = [0_u64; 4];
    let mut asked_until_ms = [0_u64; 4];
    let (mut served, mut refused, mut unwanted) = (0, 0, 0);
    for now_ms in 0..REQUESTS {
        if now_ms % 1_000 == 0 {
            accepted = [0; 4];
        }
        let domain = crate::name::Domain::new("a").unwrap();
        let preference = super::Preference {
            domain: &domain,
            remote_cost: 0.0,
            jitter: 0.1,
            max_candidates: usize::MAX,
            seed: now_ms,
        };
        let requirement = super::requirement(100, super::Class::Short);
        let tracker = Tracker::new();
        let choice =
            tracker.choose(&servers, &[], |_| super::CAPACITY, requirement, preference, now_ms);
        let Some(choice) = choice else {
            assert!(wait_ms(&servers, &[], now_ms).is_some());
            refused += 1;
            continue;
        };
        let index = servers.iter().position(|s| s.entry.id == choice.server.entry.id).unwrap();
        unwanted += u64::from(now_ms < asked_until_ms[index]);
        if accepted[index] < ACCEPTED_PER_S {
            accepted[index] += 1;
            served += 1;
        } else {
            asked_until_ms[index] = now_ms + ASKED_MS;
            choice.server.set_wait(asked_until_ms[index]);
        }
    }
    assert_eq!(unwanted, 0);
    let capacity = 4 * ACCEPTED_PER_S * REQUESTS / 1_000;
    assert!(served > capacity * 9 / 10, "{served} of {capacity}, {refused} refused");
}
