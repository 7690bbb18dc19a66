//! Tests of the admission controller, its length estimates and its messages.

use super::*;
use crate::{document, name, wire as codec};

const MEMORY: u64 = 50_000;

fn request(attempt: u128, organisation: &str, priority: u8) -> Request {
    Request {
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

fn is_granted(reply: Reply) -> bool {
    matches!(reply, Reply::Granted { .. })
}

/// A controller whose memory is filled by requests of `priority`, and the number of granted attempts.
fn full_controller(priority: u8, max_wait_ms: u64) -> (Controller, u128) {
    let mut controller = Controller::new(MEMORY, &policy(max_wait_ms));
    let mut attempt = 0;
    while is_granted(controller.admit(0, request(attempt, "large", priority))) {
        attempt += 1;
        assert!(attempt < 1_000);
    }
    controller.cancelled(0, attempt);
    (controller, attempt)
}

#[test]
fn length_estimates_follow_a_heavy_tail_and_a_shift() {
    // Arrange
    let mut lengths = length::Distribution::new();

    // Act
    (0..2_000).for_each(|i| lengths.observe(if i % 10 == 0 { 8_000 } else { 200 }));
    let expected = lengths.expected_remaining(0.0, f64::INFINITY);
    let expected_after_1000 = lengths.expected_remaining(1_000.0, f64::INFINITY);
    (0..2_000).for_each(|_| lengths.observe(2_000));
    let expected_after_shift = lengths.expected_remaining(0.0, f64::INFINITY);

    // Assert
    assert!((600.0..1_500.0).contains(&expected), "{expected}");
    assert!(expected_after_1000 > 4_000.0, "{expected_after_1000}");
    assert!((1_600.0..2_600.0).contains(&expected_after_shift), "{expected_after_shift}");
}

#[test]
fn a_long_generation_is_observed_before_it_ends() {
    let mut lengths = length::Distribution::new();
    (0..200).for_each(|_| lengths.observe(100));
    let before = lengths.survival(0.0, 4_000.0);
    (0..200).for_each(|_| lengths.record_progress(0, length::Distribution::bucket(4_000.0)));
    assert!(lengths.survival(0.0, 4_000.0) > before * 2.0);
}

#[test]
fn a_full_engine_holds_requests_until_memory_is_freed() {
    // Arrange
    let (mut controller, count) = full_controller(3, 600_000);

    // Act
    let held = controller.admit(10, request(9_000, "small", 3));
    (0..count).for_each(|attempt| controller.finished(20, attempt, 300));
    let decisions = controller.poll(30);

    // Assert
    assert!(matches!(held, Reply::Held { .. }));
    assert_eq!(decisions.len(), 1);
    assert!(is_granted(decisions[0].reply));
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_immediately() {
    let (mut controller, _) = full_controller(3, 50);
    let reply = controller.admit(10, request(9_000, "small", 3));
    let Reply::Refused { retry_after_ms, .. } = reply else { panic!("{reply:?}") };
    assert!((250..=60_000).contains(&retry_after_ms));
}

#[test]
fn every_request_gets_one_final_reply_within_the_longest_wait() {
    for seed in 0..40_u128 {
        // Arrange
        let max_wait_ms = 400;
        let mut controller = Controller::new(MEMORY, &policy(max_wait_ms));
        let mut held = std::collections::HashMap::new();
        let mut granted = Vec::new();

        // Act
        for step in 0..400_u128 {
            let now_ms = step as u64 * 20;
            let organisation = ["a", "b", "c"][(step % 3) as usize];
            let priority = ((seed * 7 + step * step) % 4) as u8;
            match controller.admit(now_ms, request(step, organisation, priority)) {
                Reply::Granted { .. } => granted.push(step),
                Reply::Held { .. } => assert!(held.insert(step, now_ms).is_none()),
                Reply::Refused { .. } => {}
            }
            if (seed + step) % 3 == 0 && !granted.is_empty() {
                controller.finished(now_ms, granted.remove(0), (step * seed % 900) as u32);
            }
            for decision in controller.poll(now_ms) {
                // Assert
                let arrived_ms = held.remove(&decision.attempt).unwrap();
                assert!(now_ms - arrived_ms <= max_wait_ms + 20);
                assert!(!matches!(decision.reply, Reply::Held { .. }));
                if is_granted(decision.reply) {
                    granted.push(decision.attempt);
                }
            }
            assert_eq!(usize::from(controller.hint().running), granted.len());
        }
    }
}

#[test]
fn urgent_requests_use_the_headroom_and_are_granted_first() {
    let (mut controller, count) = full_controller(3, 600_000);
    assert!(is_granted(controller.admit(10, request(9_000, "carrier", 0))));
    let (mut queued, _) = full_controller(0, 600_000);
    for (attempt, priority) in [(9_001, 5), (9_002, 2), (9_003, 0)] {
        queued.admit(10, request(attempt, "o", priority));
    }
    (0..count).for_each(|attempt| queued.finished(20, attempt, 300));
    let order: Vec<u128> = queued.poll(30).iter().map(|decision| decision.attempt).collect();
    assert_eq!(order, [9_003, 9_002, 9_001]);
}

#[test]
fn a_large_organisation_does_not_starve_a_small_one() {
    // Arrange
    let (mut controller, count) = full_controller(3, 600_000);
    for attempt in 9_000..9_020 {
        controller.admit(10, request(attempt, "large", 3));
    }
    controller.admit(11, request(9_999, "small", 3));

    // Act
    let first = (0..count).find_map(|attempt| {
        controller.finished(20, attempt, 300);
        controller.poll(20).first().copied()
    });

    // Assert
    assert_eq!(first.map(|decision| decision.attempt), Some(9_999));
}

#[test]
fn a_permit_expires_unless_renewed_and_a_repeated_request_does_not_add_one() {
    let mut controller = Controller::new(MEMORY, &policy(2_000));
    let first = controller.admit(0, request(1, "o", 2));
    let repeated = controller.admit(10, request(1, "o", 2));
    assert!(is_granted(first) && is_granted(repeated));
    assert_eq!(controller.hint().running, 1);
    controller.renewed(80_000, &[1]);
    controller.poll(160_000);
    assert!(!controller.is_idle());
    controller.poll(180_000);
    assert!(controller.is_idle());
}

#[test]
fn a_leaving_engine_refuses_held_and_new_requests() {
    let (mut controller, _) = full_controller(3, 600_000);
    controller.admit(10, request(9_000, "o", 3));
    controller.report(20, &Report { state: State::Leaving, ..Report::default() });
    let decisions = controller.poll(30);
    assert!(matches!(decisions[0].reply, Reply::Refused { .. }));
    assert!(matches!(controller.admit(40, request(9_001, "o", 0)), Reply::Refused { .. }));
}

#[test]
fn memory_freed_by_preemption_is_not_granted_to_new_requests() {
    let report = Report { running: 10, used_tokens: 5_000, token_ms: 25.0, ..Report::default() };
    for (waiting, grants) in [(8, false), (0, true)] {
        let (mut controller, _) = full_controller(3, 600_000);
        (1..40).for_each(|i| controller.report(i, &Report { waiting, ..report }));
        assert_eq!(
            is_granted(controller.admit(50, request(9_000, "o", 3))),
            grants,
            "{waiting} waiting"
        );
    }
}

#[test]
fn wire_types_round_trip_in_few_bytes_and_reject_invalid_values() {
    // Arrange
    let message = wire::Message {
        engine: name::Engine::new("ar-centro-e-17").unwrap(),
        call: wire::Call::Request(request(u128::MAX, "rumbo-charter", 2).into()),
    };

    // Act
    let bytes = codec::encode(&message).unwrap();
    let decoded: wire::Message = codec::decode(&bytes).unwrap();

    // Assert
    assert!(bytes.len() <= 96, "{}", bytes.len());
    let wire::Call::Request(decoded) = decoded.call else { panic!("{decoded:?}") };
    assert_eq!(Request::try_from(decoded), Ok(request(u128::MAX, "rumbo-charter", 2)));
    let invalid = [
        Request { priority: 10, ..request(1, "o", 0) },
        Request { share: 0.0, ..request(1, "o", 0) },
    ];
    assert!(
        invalid.into_iter().all(|invalid| Request::try_from(wire::Request::from(invalid)).is_err())
    );
}
