//! Tests of the selection of engines.

use super::*;
use crate::admission::Hint;
use crate::{document, name};

fn engine(index: usize) -> document::Engine {
    document::Engine {
        name: name::Engine::new(format!("e-{index}")).unwrap(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: name::Domain::new("a").unwrap(),
        models: vec![name::Model::new("m").unwrap()],
        memory_tokens: 100_000,
        role: document::Role::Mixed,
        fences: true,
        intent: document::Intent::Serve,
    }
}

fn engines(count: usize) -> Vec<document::Engine> {
    (0..count).map(engine).collect()
}

fn request(prefix: u64) -> Request {
    Request {
        model: name::Model::new("m").unwrap(),
        organisation: name::Organisation::new("o").unwrap(),
        workload: name::Workload::new("w").unwrap(),
        priority: 1,
        prefix,
        prompt_tokens: 500,
    }
}

fn hint(load_permille: u16) -> Hint {
    Hint { load_permille, running: 10, held: 0 }
}

#[test]
fn an_engine_that_leaves_or_does_not_decode_the_model_is_never_selected() {
    // Arrange
    let mut engines = engines(6);
    engines[1].intent = document::Intent::Leave;
    engines[2].models = vec![name::Model::new("other").unwrap()];
    engines[3].role = document::Role::Prefill;
    let gone = engines[4].name.clone();
    let allowed = [engines[0].name.clone(), engines[5].name.clone()];

    for seed in 0..200 {
        // Act
        let mut state = State::new(seed);
        let candidates = state.candidates(0, &request(seed), &engines, |name| *name == gone);

        // Assert
        assert!(!candidates.is_empty());
        assert!(candidates.iter().all(|candidate| allowed.contains(&candidate.engine)));
    }
}

#[test]
fn only_the_last_candidate_may_hold() {
    for seed in 0..100 {
        let mut state = State::new(seed);
        let candidates = state.candidates(0, &request(seed), &engines(20), |_| false);
        let holds: Vec<bool> = candidates.iter().map(|candidate| candidate.hold).collect();
        assert!(matches!(holds[..], [true] | [false, true] | [false, false, true]), "{holds:?}");
    }
}

#[test]
fn entry_hosts_agree_on_the_engine_for_a_prefix_unless_it_is_busier() {
    let engines = engines(20);
    for prefix in 1..50 {
        // Arrange
        let (mut one, mut other) = (State::new(1), State::new(2));

        // Act
        let preferred = one.candidates(0, &request(prefix), &engines, |_| false)[0].engine.clone();
        let same = other.candidates(0, &request(prefix), &engines, |_| false)[0].engine.clone();
        engines.iter().for_each(|engine| other.apply_hint(0, &engine.name, hint(300)));
        other.apply_hint(0, &preferred, hint(900));
        let busy = other.candidates(0, &request(prefix), &engines, |_| false)[0].engine.clone();

        // Assert
        assert_eq!(preferred, same);
        assert_ne!(preferred, busy);
    }
}

#[test]
fn a_failed_engine_is_tried_last_until_it_sends_a_hint_or_time_passes() {
    // Arrange
    let engines = engines(2);
    let failed = engines[0].name.clone();
    let mut state = State::new(3);
    state.record_failure(1_000, &failed);

    for prefix in 0..20 {
        // Act
        let candidates = state.candidates(1_100, &request(prefix), &engines, |_| false);

        // Assert
        assert_ne!(candidates[0].engine, failed);
    }
    assert!(state.load(5_000, &failed).is_finite());
    state.record_failure(6_000, &failed);
    state.apply_hint(6_001, &failed, hint(100));
    assert!(state.load(6_001, &failed) < 150.0);
}

#[test]
fn hints_decay_and_equal_seeds_select_equally() {
    let engines = engines(30);
    let run = |seed| {
        let mut state = State::new(seed);
        state.apply_hint(0, &engines[0].name, hint(1_000));
        let early = state.load(0, &engines[0].name);
        let late = state.load(20_000, &engines[0].name);
        assert!(early > 990.0 && late < 510.0);
        (0..50).map(|i| state.candidates(i, &request(0), &engines, |_| false)).collect::<Vec<_>>()
    };
    assert_eq!(run(9), run(9));
    assert_ne!(run(9), run(10));
}
