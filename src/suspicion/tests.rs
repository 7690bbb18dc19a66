use super::*;

mod fleet;

fn host(index: usize) -> name::Host {
    name::Host::new(format!("h-{index}")).expect("a valid name")
}

#[test]
fn one_other_host_is_no_reason_to_set_a_server_aside() {
    let mut state = State::new();
    assert!(state.hear_break(&host(1), 1, 0, 0));
    assert!(state.hear_break(&host(1), 2, 0, 10));
    assert!(!state.is_suspected());
    assert!(state.hear_break(&host(2), 1, 0, 20));
    assert!(state.is_set_aside(true, 30));
}

#[test]
fn a_break_that_is_known_is_no_news() {
    let mut state = State::new();
    assert!(state.hear_break(&host(1), 2, 0, 0));
    assert!(!state.hear_break(&host(1), 2, 0, 5));
    assert!(!state.hear_break(&host(1), 1, 0, 5));
}

#[test]
fn witnesses_are_bounded() {
    let mut state = State::new();
    for index in 0..MAX_WITNESSES {
        assert!(state.hear_break(&host(index), 1, 0, 0));
    }
    assert!(!state.hear_break(&host(MAX_WITNESSES), 1, 0, 0));
    assert!(state.hear_break(&host(0), 2, 0, 0));
}

#[test]
fn trials_that_fail_become_rare() {
    let mut state = State::new();
    let (mut now_ms, mut pauses_ms) = (0, Vec::new());
    state.record_break(0, now_ms);
    for _ in 0..5 {
        let from_ms = now_ms;
        while state.is_set_aside(true, now_ms) {
            now_ms += 1;
        }
        pauses_ms.push(now_ms - from_ms);
        state.record_sent(now_ms);
        state.record_break(0, now_ms + 5);
    }
    assert_eq!(pauses_ms, [500, 1_005, 2_005, 4_005, 4_005]);
}

#[test]
fn requests_that_were_open_when_the_server_was_set_aside_are_no_trials() {
    let mut state = State::new();
    for at_ms in [0, 10, 20] {
        state.record_break(0, at_ms);
    }
    assert!(!state.is_set_aside(true, FIRST_INTERVAL_MS));
}

#[test]
fn a_request_that_must_not_repeat_is_a_trial_only_without_others() {
    let mut state = State::new();
    state.record_break(0, 0);
    assert!(!state.is_set_aside(true, FIRST_INTERVAL_MS));
    assert!(state.is_set_aside(false, FIRST_INTERVAL_MS));
    assert!(!state.is_set_aside(false, 2 * FIRST_INTERVAL_MS));
}

#[test]
fn hosts_try_a_server_in_turn() {
    let mut state = State::new();
    state.record_break(4, 0);
    assert!(state.is_set_aside(true, FIRST_INTERVAL_MS + 4 * TURN_MS - 1));
    assert!(!state.is_set_aside(true, FIRST_INTERVAL_MS + 4 * TURN_MS));
}

#[test]
fn a_response_to_an_earlier_request_clears_nothing() {
    let mut state = State::new();
    state.record_break(0, 1_000);
    assert!(!state.record_response(990));
    assert!(state.is_suspected());
    assert!(state.record_response(1_000));
    assert!(state.is_clear());
    assert!(!state.record_response(1_010));
}

#[test]
fn the_response_that_another_host_got_clears_a_server() {
    let mut state = State::new();
    state.record_break(0, 1_000);
    assert!(state.hear_response());
    assert!(state.is_clear());
    assert!(!state.hear_response());
}
