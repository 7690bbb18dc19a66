use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Error, Event, Kind, Model, Request, Settings};

fn settings(memory_tokens: u64) -> Settings {
    Settings {
        memory_tokens,
        base_step_us: 1_000,
        jitter_permille: 0,
        load_lag_us: 0,
        ..Settings::default()
    }
}

fn request(id: u64, prompt_tokens: u32, output_tokens: u32, priority: u8) -> Request {
    Request { id, prompt_tokens, output_tokens, priority, prefix: 0, prefix_tokens: 0 }
}

fn drain(model: &mut Model) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(end_us) = model.step_end_us() {
        events.extend(model.advance(end_us));
    }
    events
}

fn tokens(events: &[Event], id: u64) -> Vec<u32> {
    let of_id = events.iter().filter(|event| event.id == id);
    of_id
        .filter_map(|event| if let Kind::Token(index) = event.kind { Some(index) } else { None })
        .collect()
}

#[test]
fn lowest_priority_latest_arrival_is_preempted() {
    let cases = [([0, 1, 1], 2), ([1, 0, 0], 0), ([0, 0, 0], 2), ([2, 3, 1], 1)];
    for (priorities, victim) in cases {
        let mut model = Model::new(settings(40));
        for (id, priority) in priorities.into_iter().enumerate() {
            model.submit(0, request(id as u64, 10, 12, priority)).expect("fits");
        }

        let events = drain(&mut model);

        let first = events.iter().find(|event| event.kind == Kind::Preempted);
        assert_eq!(first.map(|event| event.id), Some(victim), "{priorities:?}");
        for id in 0..3 {
            assert_eq!(tokens(&events, id), (0..12).collect::<Vec<_>>());
        }
        assert_eq!(model.current_load().used_tokens, 0);
        assert!(model.recomputed_tokens() > 0);
    }
}

#[test]
fn random_requests_respect_memory_limit_and_token_order() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut model = Model::new(Settings {
            seed,
            prefix_cache_tokens: 100,
            jitter_permille: 50,
            ..settings(900)
        });
        let mut now_us = 0;
        let mut events = Vec::new();
        let mut cancelled = Vec::new();
        for id in 0..80 {
            let prefix = rng.random_range(0..5);
            let sizes = (rng.random_range(1..120), rng.random_range(1..200));
            let new = Request {
                prefix,
                prefix_tokens: 40,
                ..request(id, sizes.0, sizes.1, rng.random_range(0..4))
            };
            model.submit(now_us, new).expect("fits");
            if rng.random_range(0..10) == 0 && model.cancel(rng.random_range(0..=id)) {
                cancelled.push(id);
            }
            model.set_priority(rng.random_range(0..=id), rng.random_range(0..4));
            now_us += rng.random_range(0..20_000);
            model.advance_into(now_us, &mut events);
            assert!(model.current_load().used_tokens <= 900, "seed {seed}");
        }

        events.extend(drain(&mut model));

        let finished = events.iter().filter(|event| event.kind == Kind::Finished).count();
        assert_eq!(finished + cancelled.len(), 80, "seed {seed}");
        for id in 0..80 {
            let indices = tokens(&events, id);
            assert!(indices.iter().copied().eq(0..indices.len() as u32), "seed {seed} id {id}");
        }
        assert!(events.is_sorted_by_key(|event| event.at_us), "seed {seed}");
        assert_eq!(model.current_load().used_tokens, 0, "seed {seed}");
    }
}

#[test]
fn cached_prefix_shortens_time_to_first_token() {
    let mut model = Model::new(settings(10_000));
    let prompt = |id| Request { prefix: 9, prefix_tokens: 1_000, ..request(id, 1_000, 1, 0) };
    model.submit(0, prompt(1)).expect("fits");
    let cold = drain(&mut model).last().map(|event| event.at_us).expect("finished");

    model.submit(cold, prompt(2)).expect("fits");
    let warm = drain(&mut model).last().map(|event| event.at_us - cold).expect("finished");

    assert!(warm * 5 < cold, "{warm} {cold}");
    assert_eq!(model.prefixes(), [9]);
}

#[test]
fn load_report_is_delayed() {
    let mut model = Model::new(Settings { load_lag_us: 5_000, ..settings(1_000) });
    model.submit(10_000, request(1, 10, 500, 0)).expect("fits");
    model.advance(16_000);

    assert_eq!(model.load(14_999).running, 0);
    assert_eq!(model.load(15_000).running, 1);
    assert_eq!(model.current_load().running, 1);
}

#[test]
fn reclaimed_engine_ends_all_requests_and_rejects_new_ones() {
    let mut model = Model::new(settings(1_000));
    model.submit(0, request(1, 10, 500, 0)).expect("fits");
    assert_eq!(model.submit(0, request(2, 1_000, 1, 0)), Err(Error::TooLarge));

    assert_eq!(model.reclaim(), [1]);

    assert_eq!(model.submit(5, request(3, 1, 1, 0)), Err(Error::Reclaimed));
    assert_eq!(model.step_end_us(), None);
}
