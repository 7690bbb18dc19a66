//! Cost of one placement and of one admission.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use nutmeghead::{admission, document, name, placement};

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

fn ask(attempt: u128) -> admission::Ask {
    admission::Ask {
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
        let hint = admission::Hint { load: 700, running: 160, waiting: 0 };
        engines.iter().for_each(|engine| state.hint(0, &engine.name, hint));
        let mut prefix = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                prefix += 1;
                black_box(state.candidates(10, &request(prefix), &engines, |_| false))
            });
        });
    }
}

/// A whole life of a permit beside `open` others: asked for, renewed prediction, given back.
fn admissions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for open in [20, 160, 320] {
        let policy = document::Policy { max_running: 1_000, ..document::Policy::default() };
        let mut ledger = admission::Ledger::new(400_000, &policy);
        for attempt in 0..open {
            ledger.ask(0, ask(attempt));
        }
        assert_eq!(u128::from(ledger.hint().running), open);
        let mut attempt = open;
        group.bench_function(BenchmarkId::from_parameter(open), |bencher| {
            bencher.iter(|| {
                attempt += 1;
                black_box(ledger.ask(1, ask(attempt)));
                ledger.finished(1, attempt, 300);
            });
        });
    }
}

criterion_group!(decisions, placements, admissions);
criterion_main!(decisions);
