//! Tests of the choice of a server, each with the load that it answers.

use std::collections::HashMap;
use std::sync::Arc;

use super::{
    Capacity, Demand, Ledger, MOVE_COMPARED, MOVE_SPREAD, MOVE_WEIGHT, Need, News, Preference,
    Share, Shares, Stamp,
};
use crate::directory::{Entry, Phase, Server};
use crate::name;
use crate::proof::Rank;

mod crowd;

const CAPACITY: Capacity = Capacity { requests: 24, tokens: 21_855 };

fn server(index: usize, domain: &str) -> Arc<Server> {
    Arc::new(Server::new(Entry {
        id: name::Server::new(format!("e-{index}")).unwrap(),
        service: name::Service::new("pool").unwrap(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: name::Domain::new(domain).unwrap(),
        slots: 24,
        cold_ms: 0,
        started_ms: 1,
        phase: Phase::Ready,
    }))
}

fn servers(count: usize) -> Vec<Arc<Server>> {
    (0..count).map(|index| server(index, "a")).collect()
}

fn host(index: usize) -> name::Host {
    name::Host::new(format!("h-{index}")).unwrap()
}

/// Chooses by load alone, but for `distance` and `spread`.
fn choose(
    ledger: &Ledger,
    servers: &[Arc<Server>],
    need: u64,
    (distance, spread, sample): (f64, f64, u64),
) -> Option<Arc<Server>> {
    let domain = name::Domain::new("a").unwrap();
    let (compared, demand) = match spread > 0.0 {
        true => (MOVE_COMPARED, Demand::Moving),
        false => (usize::MAX, Demand::Short),
    };
    let preference = Preference { domain: &domain, distance, spread, compared, sample };
    let choice = ledger.choose(servers, &[], |_| CAPACITY, self::need(need, demand), preference, 0);
    choice.map(|choice| choice.server)
}

/// A need of `tokens` of an engine.
fn need(tokens: u64, demand: Demand) -> Need {
    Need { tokens, demand, objective_ms: 1_800 }
}

fn whole(number: u64, shares: Shares) -> News {
    News { stamp: Stamp { life: 1, number }, whole: true, shares }
}

fn tell(ledger: &mut Ledger, from: usize, server: &Server, share: Share) {
    let shares = HashMap::from([(server.entry.id.clone(), share)]);
    ledger.told(host(from), whole(1, shares), 0);
}

#[test]
fn requests_of_other_hosts_count() {
    let servers = servers(2);
    let mut ledger = Ledger::new();
    tell(&mut ledger, 1, &servers[0], Share { requests: 5, tokens: 17_000, unread: 0 });
    let chosen = choose(&ledger, &servers, 3_000, (0.0, 0.0, 0)).unwrap();
    assert_eq!(chosen.entry.id, servers[1].entry.id);
}

#[test]
fn what_a_host_told_is_forgotten_when_it_falls_silent() {
    let servers = servers(1);
    let mut ledger = Ledger::new();
    tell(&mut ledger, 1, &servers[0], Share { requests: 5, tokens: 17_000, unread: 0 });
    assert_eq!(ledger.total(&servers[0].entry.id, super::SHARE_LIFETIME_MS).requests, 5);
    assert_eq!(ledger.total(&servers[0].entry.id, super::SHARE_LIFETIME_MS + 1).requests, 0);
}

#[test]
fn an_engine_that_has_just_started_does_not_get_all_prompts() {
    // Load: an engine is replaced while 35 prompts of 3,000 tokens a second arrive; all others are four fifths full.
    let servers = servers(40);
    let mut ledger = Ledger::new();
    for server in &servers[1..] {
        ledger.begin(&server.entry.id, 17_000, 0);
    }

    // Act: ten prompts come before the first of them is read.
    for sample in 0..10 {
        let chosen = choose(&ledger, &servers, 3_200, (0.0, 0.0, sample)).unwrap();
        ledger.begin(&chosen.entry.id, 3_200, 3_000);
    }

    // Assert: half a second of reading at most is queued there.
    let total = ledger.total(&servers[0].entry.id, 0);
    assert!((1..=3).contains(&total.requests), "{total:?}");
}

#[test]
fn generations_that_leave_at_the_same_moment_do_not_all_take_the_emptiest_engine() {
    // Load: eight engines give notice within a millisecond; 48 generations choose a target before any host hears of the
    // others' choices. Twelve engines of their failure domain have room, and one of them has just started.
    let servers = servers(12);
    let mut ledger = Ledger::new();
    for server in &servers[1..] {
        ledger.begin(&server.entry.id, 9_000, 0);
    }
    let mut taken: HashMap<name::Server, u32> = HashMap::new();
    for index in 0..48_u64 {
        let sample = index.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        let chosen = choose(&ledger, &servers, 3_500, (MOVE_WEIGHT, MOVE_SPREAD, sample)).unwrap();
        *taken.entry(chosen.entry.id.clone()).or_default() += 1;
    }
    let most = taken.values().max().copied().unwrap_or_default();
    assert!(most <= 20, "{taken:?}");
    assert!(taken.len() >= 6, "{taken:?}");
}

#[test]
fn room_is_kept_for_generations_that_are_about_to_move() {
    // Load: two of six engines, each three quarters full, give notice; new prompts arrive before anything has moved.
    let servers = servers(6);
    let mut directory = crate::directory::Directory::new();
    let mut ledger = Ledger::new();
    for server in &servers {
        directory.put(server.entry.clone(), 0);
        ledger.begin(&server.entry.id, 14_000, 0);
    }
    let listed = directory.servers(&servers[0].entry.service).to_vec();
    let domain = name::Domain::new("a").unwrap();
    let preference =
        Preference { domain: &domain, distance: 0.0, spread: 0.0, compared: 8, sample: 0 };
    let fits = |ledger: &Ledger, demand| {
        let choice = ledger.choose(&listed, &[], |_| CAPACITY, need(3_000, demand), preference, 0);
        choice.expect("an engine").fits
    };
    assert!(fits(&ledger, Demand::Long));

    // Act
    directory.leave(&servers[0].entry.life());
    directory.leave(&servers[1].entry.life());

    // Assert: 28,000 tokens come to four engines.
    assert!(!fits(&ledger, Demand::Long));
    assert!(fits(&ledger, Demand::Moving));
    ledger.end(&servers[0].entry.id, 14_000, 0);
    ledger.end(&servers[1].entry.id, 14_000, 0);
    assert!(fits(&ledger, Demand::Long), "all have moved");
}

#[test]
fn an_engine_with_room_goes_before_an_emptier_one_that_is_still_reading() {
    // Load: an engine was replaced a moment ago and has four prompts to read; the others are three quarters full.
    let servers = servers(2);
    let mut ledger = Ledger::new();
    for _ in 0..4 {
        ledger.begin(&servers[0].entry.id, 3_000, 3_000);
    }
    ledger.begin(&servers[1].entry.id, 15_000, 0);
    ledger.failed(&servers[1].entry.id, 0);
    let domain = name::Domain::new("a").unwrap();
    let preference =
        Preference { domain: &domain, distance: 0.0, spread: 0.0, compared: 8, sample: 0 };
    let long = need(3_200, Demand::Long);

    let choice = ledger.choose(&servers, &[], |_| CAPACITY, long, preference, 0).unwrap();

    assert_eq!(choice.server.entry.id, servers[1].entry.id, "{choice:?}");
    assert!(choice.fits);
}

#[test]
fn a_running_generation_stays_in_its_failure_domain_while_there_is_room() {
    let servers = [server(0, "a"), server(1, "b")];
    let mut ledger = Ledger::new();
    ledger.begin(&servers[0].entry.id, 6_000, 0);
    let chosen = choose(&ledger, &servers, 3_500, (MOVE_WEIGHT, 0.0, 0)).unwrap();
    assert_eq!(chosen.entry.id, servers[0].entry.id);
    ledger.begin(&servers[0].entry.id, 9_000, 0);
    let chosen = choose(&ledger, &servers, 3_500, (MOVE_WEIGHT, 0.0, 0)).unwrap();
    assert_eq!(chosen.entry.id, servers[1].entry.id);
}

#[test]
fn a_failing_server_is_avoided_and_tried_again_later() {
    let servers = servers(2);
    let mut ledger = Ledger::new();
    ledger.failed(&servers[0].entry.id, 0);
    ledger.begin(&servers[1].entry.id, 4_000, 0);
    assert_eq!(
        choose(&ledger, &servers, 100, (0.0, 0.0, 0)).unwrap().entry.id,
        servers[1].entry.id
    );
    let domain = name::Domain::new("a").unwrap();
    let preference =
        Preference { domain: &domain, distance: 0.0, spread: 0.0, compared: 8, sample: 0 };
    let later = ledger
        .choose(&servers, &[], |_| CAPACITY, need(100, Demand::Short), preference, 6_000)
        .unwrap();
    assert_eq!(later.server.entry.id, servers[0].entry.id);
}

#[test]
fn a_leaving_server_gets_nothing() {
    let only = servers(1);
    let mut directory = crate::directory::Directory::new();
    directory.put(only[0].entry.clone(), 0);
    let listed = directory.servers(&only[0].entry.service).to_vec();
    directory.leave(&only[0].entry.life());
    assert!(choose(&Ledger::new(), &listed, 1, (0.0, 0.0, 0)).is_none());
}

#[test]
fn short_work_is_let_in_where_long_work_is_refused() {
    // Load: memory runs short while checks of 2,500 tokens that end in half a second compete with long generations.
    let cases = [(0.80, true, true), (0.95, false, true), (1.05, false, false)];
    for (occupancy, long, short) in cases {
        assert_eq!(Demand::Long.fits(occupancy, 200, 1_800), long, "{occupancy}");
        assert_eq!(Demand::Short.fits(occupancy, 200, 1_500), short, "{occupancy}");
    }
    assert!(!Demand::Short.fits(0.5, 1_000, 1_500), "prompts ahead take too long");
}

#[test]
fn ends_and_growth_are_counted_exactly() {
    let id = name::Server::new("e-1").unwrap();
    let mut ledger = Ledger::new();
    ledger.begin(&id, 3_000, 2_800);
    ledger.begin(&id, 1_000, 800);
    ledger.read(&id, 2_800);
    ledger.grow(&id, 40);
    assert_eq!(ledger.total(&id, 0), Share { requests: 2, tokens: 4_040, unread: 800 });
    ledger.end(&id, 3_040, 0);
    ledger.end(&id, 1_000, 800);
    assert!(ledger.own().is_empty());
}

#[test]
fn hosts_agree_on_their_order() {
    let mut ledger = Ledger::new();
    for index in [0, 2, 3] {
        ledger.told(host(index), whole(1, HashMap::new()), 0);
    }
    assert_eq!(ledger.rank(&host(1), 0), Rank { before: 1, count: 4 });
    assert_eq!(ledger.rank(&host(1), 60_000), Rank { before: 0, count: 1 });
}

#[test]
fn a_message_that_was_overtaken_changes_nothing() {
    let server = &servers(1)[0].entry.id;
    let share =
        |requests| HashMap::from([(server.clone(), Share { requests, tokens: 1, unread: 0 })]);
    let change = |life, number, requests| News {
        stamp: Stamp { life, number },
        whole: false,
        shares: share(requests),
    };
    let mut ledger = Ledger::new();
    let requests = |ledger: &Ledger| ledger.total(server, 0).requests;

    ledger.told(host(0), change(1, 1, 5), 0);
    assert_eq!(requests(&ledger), 5, "a host that was not heard before");
    ledger.told(host(0), whole(2, share(1)), 0);
    ledger.told(host(0), change(1, 4, 3), 0);
    ledger.told(host(0), change(1, 3, 2), 0);
    ledger.told(host(0), whole(2, share(9)), 0);
    assert_eq!(requests(&ledger), 3);
    ledger.told(host(0), change(2, 1, 7), 0);
    assert_eq!(requests(&ledger), 7, "a new life");
    let restarted = News { stamp: Stamp { life: 2, number: 2 }, whole: true, shares: share(0) };
    ledger.told(host(0), restarted, 0);
    assert_eq!(requests(&ledger), 0);
}
