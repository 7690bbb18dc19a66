//! Tests of load tracking and of the choice of a server.

use std::collections::HashMap;
use std::sync::Arc;

use super::{
    Capacity, Class, Load, Loads, MIGRATION_CANDIDATES, MIGRATION_JITTER,
    MIGRATION_REMOTE_DOMAIN_COST, Preference, Profile, Report, Requirement, Stamp, Tracker,
};
use crate::directory::{Entry, Phase, Server};
use crate::name;

mod cold;
mod contention;
mod learnt;
mod replay;
mod speeds;
mod suspects;
mod wait;

const CAPACITY: Capacity = Capacity { requests: 24, tokens: 21_855 };

fn server(index: usize, domain: &str) -> Arc<Server> {
    Arc::new(Server::new(Entry {
        id: name::Server::new(format!("e-{index}")).unwrap(),
        service: name::Service::new("pool").unwrap(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: name::Domain::new(domain).unwrap(),
        slots: 24,
        cold_ms: 0,
        build: None,
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

/// Chooses a server for a short request, or for a migration if `jitter` is above 0.
fn choose(
    tracker: &Tracker,
    servers: &[Arc<Server>],
    tokens: u64,
    (remote_cost, jitter, seed): (f64, f64, u64),
) -> Option<Arc<Server>> {
    let domain = name::Domain::new("a").unwrap();
    let (max_candidates, class) = match jitter > 0.0 {
        true => (MIGRATION_CANDIDATES, Class::Migrating),
        false => (usize::MAX, Class::Short),
    };
    let preference = Preference { domain: &domain, remote_cost, jitter, max_candidates, seed };
    let choice =
        tracker.choose(servers, &[], |_| CAPACITY, requirement(tokens, class), preference, 0);
    choice.map(|choice| choice.server)
}

/// The requirement of a request of `tokens`.
fn requirement(tokens: u64, class: Class) -> Requirement {
    Requirement { tokens, class, may_repeat: false, objective_ms: 1_800, max_pause_ms: Some(180) }
}

fn full_report(sequence: u64, loads: Loads) -> Report {
    Report { stamp: Stamp { incarnation: 1, sequence }, full: true, loads }
}

fn apply_report(tracker: &mut Tracker, from: usize, server: &Server, load: Load) {
    let loads = HashMap::from([(server.entry.id.clone(), load)]);
    tracker.apply_report(host(from), full_report(1, loads), 0);
}

#[test]
fn requests_of_other_hosts_count_as_load() {
    let servers = servers(2);
    let mut tracker = Tracker::new();
    apply_report(
        &mut tracker,
        1,
        &servers[0],
        Load { requests: 5, tokens: 17_000, prefill_tokens: 0 },
    );
    let chosen = choose(&tracker, &servers, 3_000, (0.0, 0.0, 0)).unwrap();
    assert_eq!(chosen.entry.id, servers[1].entry.id);
}

#[test]
fn a_load_report_expires() {
    let servers = servers(1);
    let mut tracker = Tracker::new();
    apply_report(
        &mut tracker,
        1,
        &servers[0],
        Load { requests: 5, tokens: 17_000, prefill_tokens: 0 },
    );
    assert_eq!(tracker.total(&servers[0].entry.id, super::REPORT_TTL_MS).requests, 5);
    assert_eq!(tracker.total(&servers[0].entry.id, super::REPORT_TTL_MS + 1).requests, 0);
}

#[test]
fn an_engine_that_has_just_started_does_not_get_all_prompts() {
    // An engine is replaced while 35 prompts of 3,000 tokens a second arrive; all others are four fifths full.
    let servers = servers(40);
    let mut tracker = Tracker::new();
    for server in &servers[1..] {
        tracker.begin(&server.entry.id, 17_000, 0);
    }

    // Act: ten prompts arrive before the first prefill ends.
    for seed in 0..10 {
        let chosen = choose(&tracker, &servers, 3_200, (0.0, 0.0, seed)).unwrap();
        tracker.begin(&chosen.entry.id, 3_200, 3_000);
    }

    // Assert: at most half a second of prefill is queued there.
    let total = tracker.total(&servers[0].entry.id, 0);
    assert!((1..=3).contains(&total.requests), "{total:?}");
}

#[test]
fn generations_that_migrate_at_the_same_moment_do_not_all_choose_the_emptiest_engine() {
    // Eight engines give notice within a millisecond, and 48 generations choose a target before any host receives the
    // others' load reports. Twelve engines of their failure domain have free capacity;
    // one of them has just started.
    let servers = servers(12);
    let mut tracker = Tracker::new();
    for server in &servers[1..] {
        tracker.begin(&server.entry.id, 9_000, 0);
    }
    let mut targets: HashMap<name::Server, u32> = HashMap::new();
    for index in 0..48_u64 {
        let seed = index.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        let chosen = choose(
            &tracker,
            &servers,
            3_500,
            (MIGRATION_REMOTE_DOMAIN_COST, MIGRATION_JITTER, seed),
        )
        .unwrap();
        *targets.entry(chosen.entry.id.clone()).or_default() += 1;
    }
    let most = targets.values().max().copied().unwrap_or_default();
    assert!(most <= 20, "{targets:?}");
    assert!(targets.len() >= 6, "{targets:?}");
}

#[test]
fn capacity_is_reserved_for_generations_that_are_about_to_migrate() {
    // Two of six engines, each three quarters full, give notice; new prompts arrive before any generation has migrated.
    let servers = servers(6);
    let mut directory = crate::directory::Directory::new();
    let mut tracker = Tracker::new();
    for server in &servers {
        directory.put(server.entry.clone(), 0);
        tracker.begin(&server.entry.id, 14_000, 0);
    }
    let listed = directory.servers(&servers[0].entry.service).to_vec();
    let domain = name::Domain::new("a").unwrap();
    let preference =
        Preference { domain: &domain, remote_cost: 0.0, jitter: 0.0, max_candidates: 8, seed: 0 };
    let fits = |tracker: &Tracker, class| {
        let choice =
            tracker.choose(&listed, &[], |_| CAPACITY, requirement(3_000, class), preference, 0);
        choice.expect("an engine").fits
    };
    assert!(fits(&tracker, Class::Long));

    // Act
    directory.mark_leaving(&servers[0].entry.incarnation());
    directory.mark_leaving(&servers[1].entry.incarnation());

    // Assert: 28,000 tokens will migrate to four engines.
    assert!(!fits(&tracker, Class::Long));
    assert!(fits(&tracker, Class::Migrating));
    tracker.end(&servers[0].entry.id, 14_000, 0);
    tracker.end(&servers[1].entry.id, 14_000, 0);
    assert!(fits(&tracker, Class::Long), "all generations have migrated");
}

#[test]
fn an_engine_with_free_capacity_is_preferred_to_an_emptier_one_with_pending_prefill() {
    // A new engine has four prompts awaiting prefill; the other engine is three quarters full and has failed once.
    let servers = servers(2);
    let mut tracker = Tracker::new();
    for _ in 0..4 {
        tracker.begin(&servers[0].entry.id, 3_000, 3_000);
    }
    tracker.begin(&servers[1].entry.id, 15_000, 0);
    tracker.record_failure(&servers[1].entry.id, 0);
    let domain = name::Domain::new("a").unwrap();
    let preference =
        Preference { domain: &domain, remote_cost: 0.0, jitter: 0.0, max_candidates: 8, seed: 0 };
    let long = requirement(3_200, Class::Long);

    let choice = tracker.choose(&servers, &[], |_| CAPACITY, long, preference, 0).unwrap();

    assert_eq!(choice.server.entry.id, servers[1].entry.id, "{choice:?}");
    assert!(choice.fits);
}

#[test]
fn a_running_generation_stays_in_its_failure_domain_unless_the_engine_there_is_nearly_full() {
    let servers = [server(0, "a"), server(1, "b")];
    let mut tracker = Tracker::new();
    tracker.begin(&servers[0].entry.id, 6_000, 0);
    let chosen = choose(&tracker, &servers, 3_500, (MIGRATION_REMOTE_DOMAIN_COST, 0.0, 0)).unwrap();
    assert_eq!(chosen.entry.id, servers[0].entry.id);
    tracker.begin(&servers[0].entry.id, 9_000, 0);
    let chosen = choose(&tracker, &servers, 3_500, (MIGRATION_REMOTE_DOMAIN_COST, 0.0, 0)).unwrap();
    assert_eq!(chosen.entry.id, servers[1].entry.id);
}

#[test]
fn a_failing_server_is_avoided_and_tried_again_later() {
    let servers = servers(2);
    let mut tracker = Tracker::new();
    tracker.record_failure(&servers[0].entry.id, 0);
    tracker.begin(&servers[1].entry.id, 4_000, 0);
    assert_eq!(
        choose(&tracker, &servers, 100, (0.0, 0.0, 0)).unwrap().entry.id,
        servers[1].entry.id
    );
    let domain = name::Domain::new("a").unwrap();
    let preference =
        Preference { domain: &domain, remote_cost: 0.0, jitter: 0.0, max_candidates: 8, seed: 0 };
    let later = tracker
        .choose(&servers, &[], |_| CAPACITY, requirement(100, Class::Short), preference, 6_000)
        .unwrap();
    assert_eq!(later.server.entry.id, servers[0].entry.id);
}

#[test]
fn a_leaving_server_gets_no_requests() {
    let only = servers(1);
    let mut directory = crate::directory::Directory::new();
    directory.put(only[0].entry.clone(), 0);
    let listed = directory.servers(&only[0].entry.service).to_vec();
    directory.mark_leaving(&only[0].entry.incarnation());
    assert!(choose(&Tracker::new(), &listed, 1, (0.0, 0.0, 0)).is_none());
}

#[test]
fn short_generations_are_admitted_where_long_ones_are_refused() {
    // Memory is nearly full, and requests of 2,500 tokens that end in half a second compete with long generations.
    let cases = [(0.80, true, true), (0.95, false, true), (1.05, false, false)];
    for (occupancy, long, short) in cases {
        let fits = |class| Profile::default().fits(class, CAPACITY.tokens, occupancy, 400, 1_500);
        assert_eq!(fits(Class::Long), long, "{occupancy}");
        assert_eq!(fits(Class::Short), short, "{occupancy}");
    }
    let waits = Profile::default().fits(Class::Short, CAPACITY.tokens, 0.5, 2_000, 1_500);
    assert!(!waits, "prefill of the queued prompts takes too long");
}

#[test]
fn ended_requests_and_token_growth_are_counted_exactly() {
    let id = name::Server::new("e-1").unwrap();
    let mut tracker = Tracker::new();
    tracker.begin(&id, 3_000, 2_800);
    tracker.begin(&id, 1_000, 800);
    tracker.mark_prefilled(&id, 2_800);
    tracker.grow(&id, 40);
    assert_eq!(tracker.total(&id, 0), Load { requests: 2, tokens: 4_040, prefill_tokens: 800 });
    tracker.end(&id, 3_040, 0);
    tracker.end(&id, 1_000, 800);
    assert!(tracker.local().is_empty());
}

#[test]
fn only_hosts_with_a_recent_report_are_live() {
    let mut tracker = Tracker::new();
    for index in [0, 2, 3] {
        tracker.apply_report(host(index), full_report(1, HashMap::new()), 0);
    }
    assert!(tracker.is_live(&host(2), 0) && !tracker.is_live(&host(1), 0));
    assert_eq!((tracker.live_peers(0), tracker.live_peers(60_000)), (3, 0));
}

#[test]
fn two_lost_full_reports_in_a_row_do_not_remove_the_load_of_a_host_among_295() {
    // With 294 others a host sends a full report every 1.5 s, and lost datagrams are common while links are full.
    let server = &servers(1)[0];
    let mut tracker = Tracker::new();
    tracker.set_peers(294);
    let load = Load { requests: 3, tokens: 9_000, prefill_tokens: 0 };
    apply_report(&mut tracker, 1, server, load);

    tracker.expire(4_400);

    assert_eq!(tracker.total(&server.entry.id, 4_400), load);
    assert!(tracker.is_live(&host(1), 4_400) && !tracker.is_live(&host(1), 4_500));
    assert_eq!(tracker.total(&server.entry.id, 4_500), Load::default());
}

#[test]
fn a_report_that_arrives_out_of_order_is_ignored() {
    let server = &servers(1)[0].entry.id;
    let load = |requests| {
        HashMap::from([(server.clone(), Load { requests, tokens: 1, prefill_tokens: 0 })])
    };
    let partial = |incarnation, sequence, requests| Report {
        stamp: Stamp { incarnation, sequence },
        full: false,
        loads: load(requests),
    };
    let mut tracker = Tracker::new();
    let requests = |tracker: &Tracker| tracker.total(server, 0).requests;

    tracker.apply_report(host(0), partial(1, 1, 5), 0);
    assert_eq!(requests(&tracker), 5, "the first report of a host");
    tracker.apply_report(host(0), full_report(2, load(1)), 0);
    tracker.apply_report(host(0), partial(1, 4, 3), 0);
    tracker.apply_report(host(0), partial(1, 3, 2), 0);
    tracker.apply_report(host(0), full_report(2, load(9)), 0);
    assert_eq!(requests(&tracker), 3);
    tracker.apply_report(host(0), partial(2, 1, 7), 0);
    assert_eq!(requests(&tracker), 7, "a new incarnation");
    let restarted =
        Report { stamp: Stamp { incarnation: 2, sequence: 2 }, full: true, loads: load(0) };
    tracker.apply_report(host(0), restarted, 0);
    assert_eq!(requests(&tracker), 0);
}
