//! Tests of how the speed of servers changes the choice of one.

use std::collections::HashSet;
use std::sync::Arc;

use super::{CAPACITY, requirement, servers};
use crate::directory::Server;
use crate::load::{Capacity, Class, Preference, Requirement, Stated, Tracker};
use crate::name;
use crate::speed::Sample;

/// Slots of a server of a plain service.
const SLOTS: u32 = 6;

fn stated(running: u32, percent: Option<f64>) -> Stated {
    Stated::new(running, 0, SLOTS, percent).unwrap()
}

fn sample(interval_ms: f64) -> Sample {
    Sample::new(60, interval_ms, interval_ms * 3.5, 3.0, 0.2).unwrap()
}

/// Servers of which the first takes `factor` times as long as the others.
fn fleet(count: usize, factor: f64) -> (Vec<Arc<Server>>, Tracker) {
    let servers = servers(count);
    let mut tracker = Tracker::new();
    for now_ms in [0, 1_000, 2_000] {
        for (index, server) in servers.iter().enumerate() {
            let interval_ms = 40.0 * if index == 0 { factor } else { 1.0 };
            tracker.apply_speed(server, Some(sample(interval_ms)), &[1.0, 1.0, 2.5], now_ms);
        }
    }
    (servers, tracker)
}

fn choose_with(
    tracker: &Tracker,
    servers: &[Arc<Server>],
    capacity: Capacity,
    requirement: Requirement,
    (seed, now_ms): (u64, u64),
) -> Arc<Server> {
    let domain = name::Domain::new("a").unwrap();
    let preference = Preference {
        domain: &domain,
        remote_cost: 0.0,
        jitter: 0.05,
        max_candidates: usize::MAX,
        seed,
    };
    tracker.choose(servers, &[], |_| capacity, requirement, preference, now_ms).unwrap().server
}

/// The servers chosen for requests of one class, with different seeds.
fn chosen(
    tracker: &Tracker,
    servers: &[Arc<Server>],
    class: Class,
    now_ms: u64,
) -> HashSet<String> {
    let requirement = requirement(2_000, class);
    let choose = |seed| choose_with(tracker, servers, CAPACITY, requirement, (seed, now_ms));
    (0..200).map(|seed| choose(seed).entry.id.as_str().to_owned()).collect()
}

#[test]
fn long_and_migrating_generations_avoid_a_slow_server() {
    let (servers, tracker) = fleet(6, 2.2);
    for class in [Class::Long, Class::Migrating] {
        let chosen = chosen(&tracker, &servers, class, 2_000);
        assert!(!chosen.contains("e-0") && chosen.len() == 5, "{class:?} {chosen:?}");
    }
}

#[test]
fn a_request_that_needs_no_short_pauses_goes_to_a_slow_server_first() {
    let (servers, mut tracker) = fleet(6, 2.2);
    let short = Requirement { max_pause_ms: None, ..requirement(2_000, Class::Short) };
    let choose = |tracker: &Tracker| choose_with(tracker, &servers, CAPACITY, short, (1, 2_000));
    assert_eq!(choose(&tracker).entry.id, servers[0].entry.id);
    for _ in 0..4 {
        tracker.begin(&servers[0].entry.id, 4_000, 0);
    }
    assert_ne!(choose(&tracker).entry.id, servers[0].entry.id, "it is nearly full");
}

/// Guards against refusing a request for which only a slow server has free capacity.
#[test]
fn a_slow_server_is_used_if_nothing_else_fits() {
    let (servers, mut tracker) = fleet(6, 2.2);
    for server in &servers[1..] {
        tracker.begin(&server.entry.id, 20_000, 0);
    }
    assert_eq!(chosen(&tracker, &servers, Class::Long, 2_000), HashSet::from(["e-0".to_owned()]));
}

#[test]
fn a_slow_server_without_samples_is_tried_again_after_30_s() {
    let (servers, mut tracker) = fleet(6, 2.2);
    tracker.apply_speed(&servers[1], None, &[1.0], 31_000);
    assert!(chosen(&tracker, &servers, Class::Long, 12_000).len() == 5);
    assert!(chosen(&tracker, &servers, Class::Long, 32_000).contains("e-0"));
}

/// Guards against a change for services whose servers state no passing slowdown.
#[test]
fn without_the_fourth_figure_the_choice_is_the_same() {
    let servers = servers(6);
    let (mut tracker, mut other) = (Tracker::new(), Tracker::new());
    for tracker in [&mut tracker, &mut other] {
        for (index, server) in servers.iter().enumerate() {
            tracker.begin(&server.entry.id, 1_000 * index as u64, 700);
        }
    }
    for (index, server) in servers.iter().enumerate() {
        other.state(server, stated(index as u32, None), 0);
        for now_ms in (0..2_000).step_by(100) {
            other.measure(server, 1, if index == 0 { 40 } else { 400 }, now_ms);
        }
        other.apply_speed(server, Some(sample(40.0 + 40.0 * index as f64)), &[], 2_000);
    }
    assert!(other.take_windows(64, 2_000).is_empty(), "nothing to tell the other hosts");
    let plain = Capacity { requests: SLOTS, tokens: 0 };
    for seed in 0..200 {
        for class in [Class::Short, Class::Long, Class::Migrating] {
            for capacity in [CAPACITY, plain] {
                let requirement = requirement(2_000, class);
                let choose = |tracker: &Tracker| {
                    let server =
                        choose_with(tracker, &servers, capacity, requirement, (seed, 2_000));
                    server.entry.id.clone()
                };
                assert_eq!(choose(&tracker), choose(&other));
            }
        }
    }
}

#[test]
fn a_call_goes_to_a_server_with_a_free_slot_and_then_to_the_faster_one() {
    let servers = servers(3);
    let plain = Capacity { requests: SLOTS, tokens: 0 };
    let call = requirement(0, Class::Short);
    let mut tracker = Tracker::new();
    let choose = |tracker: &Tracker, now_ms| {
        choose_with(tracker, &servers, plain, call, (1, now_ms)).entry.id.as_str().to_owned()
    };
    // The first two are full, the third is slow.
    tracker.state(&servers[0], stated(6, Some(100.0)), 0);
    tracker.state(&servers[1], stated(6, Some(100.0)), 0);
    tracker.state(&servers[2], stated(4, Some(400.0)), 0);
    assert_eq!(choose(&tracker, 100), "e-2");

    // This host's own requests since the statement count.
    tracker.begin(&servers[2].entry.id, 0, 0);
    tracker.begin(&servers[2].entry.id, 0, 0);
    tracker.state(&servers[1], stated(5, Some(100.0)), 50);
    assert_eq!(choose(&tracker, 100), "e-1");

    // A free slot at a usual server is better than one at a slow server.
    tracker.state(&servers[0], stated(2, Some(100.0)), 100);
    tracker.state(&servers[2], stated(2, Some(300.0)), 100);
    assert_eq!(choose(&tracker, 200), "e-0");

    // Old statements do not count: only the open requests of the hosts do.
    tracker.state(&servers[0], stated(6, Some(100.0)), 300);
    assert_ne!(choose(&tracker, 400), "e-0");
    tracker.begin(&servers[1].entry.id, 0, 0);
    assert_eq!(choose(&tracker, 2_400), "e-0");
}
