use super::*;
use crate::{document, name, wire as codec};

const MEMORY: u64 = 50_000;

fn ask(attempt: u128, organisation: &str, priority: u8) -> Ask {
    Ask {
        attempt,
        organisation: name::Organisation::new(organisation).unwrap(),
        share: 1.0,
        workload: name::Workload::new("drafts").unwrap(),
        priority,
        prompt_tokens: 500,
        max_tokens: None,
        prefix: 0,
        hold: true,
    }
}

fn policy(max_wait_ms: u64) -> document::Policy {
    document::Policy { max_wait_ms, ..document::Policy::default() }
}

fn is_granted(answer: Answer) -> bool {
    matches!(answer, Answer::Granted { .. })
}

/// A ledger whose memory is full of work of `priority`.
fn full(priority: u8, max_wait_ms: u64) -> (Ledger, u128) {
    let mut ledger = Ledger::new(MEMORY, &policy(max_wait_ms));
    let mut attempt = 0;
    while is_granted(ledger.ask(0, ask(attempt, "large", priority))) {
        attempt += 1;
        assert!(attempt < 1_000);
    }
    ledger.cancelled(0, attempt);
    (ledger, attempt)
}

#[test]
fn lengths_are_learned_with_their_tail_and_forgotten_when_they_shift() {
    // Arrange
    let mut length = Length::new();

    // Act
    (0..2_000).for_each(|i| length.observe(if i % 10 == 0 { 8_000 } else { 200 }));
    let fresh = length.remaining(0.0, f64::INFINITY);
    let outlived = length.remaining(1_000.0, f64::INFINITY);
    (0..2_000).for_each(|_| length.observe(2_000));
    let shifted = length.remaining(0.0, f64::INFINITY);

    // Assert
    assert!((600.0..1_500.0).contains(&fresh), "{fresh}");
    assert!(outlived > 4_000.0, "{outlived}");
    assert!((1_600.0..2_600.0).contains(&shifted), "{shifted}");
}

#[test]
fn a_long_run_counts_before_it_ends() {
    let mut length = Length::new();
    (0..200).for_each(|_| length.observe(100));
    let before = length.survival(0.0, 4_000.0);
    (0..200).for_each(|_| length.pass(0, Length::bucket(4_000.0)));
    assert!(length.survival(0.0, 4_000.0) > before * 2.0);
}

#[test]
fn a_full_engine_holds_then_grants_as_memory_comes_free() {
    // Arrange
    let (mut ledger, count) = full(3, 600_000);

    // Act
    let held = ledger.ask(10, ask(9_000, "small", 3));
    (0..count).for_each(|attempt| ledger.finished(20, attempt, 300));
    let decisions = ledger.poll(30);

    // Assert
    assert!(matches!(held, Answer::Held { .. }));
    assert_eq!(decisions.len(), 1);
    assert!(is_granted(decisions[0].answer));
}

#[test]
fn a_wait_that_cannot_be_met_is_refused_at_once() {
    let (mut ledger, _) = full(3, 50);
    let answer = ledger.ask(10, ask(9_000, "small", 3));
    let Answer::Refused { retry_after_ms, .. } = answer else { panic!("{answer:?}") };
    assert!((250..=60_000).contains(&retry_after_ms));
}

#[test]
fn every_request_gets_one_final_answer_within_the_longest_wait() {
    for seed in 0..40_u128 {
        // Arrange
        let max_wait_ms = 400;
        let mut ledger = Ledger::new(MEMORY, &policy(max_wait_ms));
        let mut held = std::collections::HashMap::new();
        let mut granted = Vec::new();

        // Act
        for step in 0..400_u128 {
            let now_ms = step as u64 * 20;
            let organisation = ["a", "b", "c"][(step % 3) as usize];
            let priority = ((seed * 7 + step * step) % 4) as u8;
            match ledger.ask(now_ms, ask(step, organisation, priority)) {
                Answer::Granted { .. } => granted.push(step),
                Answer::Held { .. } => assert!(held.insert(step, now_ms).is_none()),
                Answer::Refused { .. } => {}
            }
            if (seed + step) % 3 == 0 && !granted.is_empty() {
                ledger.finished(now_ms, granted.remove(0), (step * seed % 900) as u32);
            }
            for decision in ledger.poll(now_ms) {
                // Assert
                let asked_ms = held.remove(&decision.attempt).unwrap();
                assert!(now_ms - asked_ms <= max_wait_ms + 20);
                assert!(!matches!(decision.answer, Answer::Held { .. }));
                if is_granted(decision.answer) {
                    granted.push(decision.attempt);
                }
            }
            assert_eq!(usize::from(ledger.hint().running), granted.len());
        }
    }
}

#[test]
fn urgent_work_starts_in_its_headroom_and_before_others() {
    let (mut ledger, count) = full(3, 600_000);
    assert!(is_granted(ledger.ask(10, ask(9_000, "carrier", 0))));
    let (mut queued, _) = full(0, 600_000);
    for (attempt, priority) in [(9_001, 5), (9_002, 2), (9_003, 0)] {
        queued.ask(10, ask(attempt, "o", priority));
    }
    (0..count).for_each(|attempt| queued.finished(20, attempt, 300));
    let order: Vec<u128> = queued.poll(30).iter().map(|decision| decision.attempt).collect();
    assert_eq!(order, [9_003, 9_002, 9_001]);
}

#[test]
fn a_large_organisation_does_not_starve_a_small_one() {
    // Arrange
    let (mut ledger, count) = full(3, 600_000);
    for attempt in 9_000..9_020 {
        ledger.ask(10, ask(attempt, "large", 3));
    }
    ledger.ask(11, ask(9_999, "small", 3));

    // Act
    let first = (0..count).find_map(|attempt| {
        ledger.finished(20, attempt, 300);
        ledger.poll(20).first().copied()
    });

    // Assert
    assert_eq!(first.map(|decision| decision.attempt), Some(9_999));
}

#[test]
fn a_permit_is_forgotten_when_nobody_renews_it_and_asking_again_gives_the_same() {
    let mut ledger = Ledger::new(MEMORY, &policy(2_000));
    let first = ledger.ask(0, ask(1, "o", 2));
    let again = ledger.ask(10, ask(1, "o", 2));
    assert!(is_granted(first) && is_granted(again));
    assert_eq!(ledger.hint().running, 1);
    ledger.renewed(80_000, &[1]);
    ledger.poll(160_000);
    assert!(!ledger.is_idle());
    ledger.poll(180_000);
    assert!(ledger.is_idle());
}

#[test]
fn an_engine_that_leaves_refuses_all_at_once() {
    let (mut ledger, _) = full(3, 600_000);
    ledger.ask(10, ask(9_000, "o", 3));
    ledger.report(20, &Report { state: State::Leaving, ..Report::default() });
    let decisions = ledger.poll(30);
    assert!(matches!(decisions[0].answer, Answer::Refused { .. }));
    assert!(matches!(ledger.ask(40, ask(9_001, "o", 0)), Answer::Refused { .. }));
}

#[test]
fn memory_that_preempted_generations_left_is_not_given_away() {
    let report = Report { running: 10, used_tokens: 5_000, token_ms: 25.0, ..Report::default() };
    for (waiting, grants) in [(8, false), (0, true)] {
        let (mut ledger, _) = full(3, 600_000);
        (1..40).for_each(|i| ledger.report(i, &Report { waiting, ..report }));
        assert_eq!(is_granted(ledger.ask(50, ask(9_000, "o", 3))), grants, "{waiting} waiting");
    }
}

#[test]
fn wire_types_round_trip_small_and_reject_bad_values() {
    // Arrange
    let message = wire::Message {
        engine: name::Engine::new("ar-centro-e-17").unwrap(),
        call: wire::Call::Ask(ask(u128::MAX, "rumbo-charter", 2).into()),
    };

    // Act
    let bytes = codec::encode(&message).unwrap();
    let decoded: wire::Message = codec::decode(&bytes).unwrap();

    // Assert
    assert!(bytes.len() <= 96, "{}", bytes.len());
    let wire::Call::Ask(decoded) = decoded.call else { panic!("{decoded:?}") };
    assert_eq!(Ask::try_from(decoded), Ok(ask(u128::MAX, "rumbo-charter", 2)));
    let bad = [Ask { priority: 10, ..ask(1, "o", 0) }, Ask { share: 0.0, ..ask(1, "o", 0) }];
    assert!(bad.into_iter().all(|bad| Ask::try_from(wire::Ask::from(bad)).is_err()));
}
