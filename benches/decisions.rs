//! Benchmarks of the decisions for each request: placement, admission, route lookup and choice of a server.

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use nutmeghead::{admission, directory, document, load, name, placement, route};

fn engine(index: usize) -> document::Engine {
    document::Engine {
        name: name::Engine::new(format!("ar-centro-e-{index}")).expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: name::Domain::new("a").expect("a valid name"),
        models: vec![name::Model::new("roster-70b").expect("a valid name")],
        memory_tokens: 400_000,
        role: document::Role::Mixed,
        fences: true,
        intent: document::Intent::Serve,
    }
}

fn request(prefix: u64) -> placement::Request {
    placement::Request {
        model: name::Model::new("roster-70b").expect("a valid name"),
        organisation: name::Organisation::new("rumbo").expect("a valid name"),
        workload: name::Workload::new("rebuild").expect("a valid name"),
        priority: 2,
        prefix,
        prompt_tokens: 900,
    }
}

fn permit_request(attempt: u128) -> admission::Request {
    admission::Request {
        attempt,
        organisation: name::Organisation::new(format!("o-{}", attempt % 10)).expect("a valid name"),
        share: 1.0,
        workload: name::Workload::new("rebuild").expect("a valid name"),
        priority: 2,
        prompt_tokens: 100,
        max_tokens: Some(1_000),
        prefix: 0,
        hold: false,
    }
}

fn placements(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for count in [20, 200, 600] {
        let engines: Vec<document::Engine> = (0..count).map(engine).collect();
        let mut state = placement::State::new(1);
        let hint = admission::Hint { load_permille: 700, running: 160, held: 0 };
        engines.iter().for_each(|engine| state.apply_hint(0, &engine.name, hint));
        let mut prefix = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                prefix += 1;
                black_box(state.candidates(10, &request(prefix), &engines, |_| false))
            });
        });
    }
}

/// One permit from request to release, with the update of the memory prediction, while `open` others are held.
fn admissions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for open in [20, 160, 320] {
        let policy = document::Policy { max_running: 1_000, ..document::Policy::default() };
        let mut controller = admission::Controller::new(400_000, &policy);
        for attempt in 0..open {
            controller.admit(0, permit_request(attempt));
        }
        assert_eq!(u128::from(controller.hint().running), open);
        let mut attempt = open;
        group.bench_function(BenchmarkId::from_parameter(open), |bencher| {
            bencher.iter(|| {
                attempt += 1;
                black_box(controller.admit(1, permit_request(attempt)));
                controller.finished(1, attempt, 300);
            });
        });
    }
}

fn route_table(routes: usize) -> route::Table {
    let limits = route::Limits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        idle_timeout: Duration::from_secs(15),
        head_timeout: Duration::from_secs(3),
    };
    let service = name::Service::new("pool").expect("a valid name");
    (0..routes).fold(route::Table::new(1, limits), |table, index| {
        let route = route::Route {
            name: format!("r-{index}").into(),
            kind: route::Kind::Idempotent,
            timeout: Duration::from_secs(1),
            objective: Duration::from_millis(100),
            max_pause: None,
            priority: 0,
            targets: vec![route::Target { service: service.clone(), weight: 1 }],
            max_runs: 2,
            public: false,
            generates: false,
            homes: Default::default(),
        };
        table.with_route("a.example", &format!("/p{index}/"), route)
    })
}

fn route_lookups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for count in [10, 400, 4_000] {
        let table = route_table(count);
        let path = format!("/p{}/some/thing", count / 2);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(table.find("a.example", &path)));
        });
    }
}

/// Chooses among servers for which eight other hosts have reported open requests.
fn server_choices(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for count in [18, 56, 600] {
        let servers: Vec<Arc<directory::Server>> = (0..count)
            .map(|index| {
                Arc::new(directory::Server::new(directory::Entry {
                    id: name::Server::new(format!("i-{index}")).expect("a valid name"),
                    service: name::Service::new("pool").expect("a valid name"),
                    address: ([127, 0, 0, 1], 1).into(),
                    domain: name::Domain::new("a").expect("a valid name"),
                    slots: 24,
                    cold_ms: 0,
                    build: None,
                    started_ms: 1,
                    phase: directory::Phase::Ready,
                }))
            })
            .collect();
        let mut tracker = load::Tracker::new();
        for host in 0..8 {
            let load = load::Load { requests: 1, tokens: 3_000, prefill_tokens: 0 };
            let loads: HashMap<_, _> =
                servers.iter().map(|server| (server.entry.id.clone(), load)).collect();
            let stamp = load::Stamp { incarnation: 1, sequence: 1 };
            let report = load::Report { stamp, full: true, loads };
            tracker.apply_report(
                name::Host::new(format!("h-{host}")).expect("a valid name"),
                report,
                0,
            );
        }
        let domain = name::Domain::new("a").expect("a valid name");
        let requirement = load::Requirement {
            tokens: 3_000,
            class: load::Class::Long,
            may_repeat: false,
            objective_ms: 1_800,
            max_pause_ms: None,
        };
        let mut seed = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                seed += 1;
                let preference = load::Preference {
                    domain: &domain,
                    remote_cost: load::REMOTE_DOMAIN_COST,
                    jitter: load::REQUEST_JITTER,
                    max_candidates: usize::MAX,
                    seed,
                };
                let capacity =
                    |_: &directory::Server| load::Capacity { requests: 24, tokens: 34_241 };
                black_box(tracker.choose(&servers, &[], capacity, requirement, preference, 1))
            });
        });
    }
}

criterion_group!(decisions, placements, admissions, route_lookups, server_choices);
criterion_main!(decisions);
