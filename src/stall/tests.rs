use super::*;

fn expectation(resumable: bool, objective_ms: u64, max_pause_ms: Option<u64>) -> Expectation {
    Expectation {
        resumable,
        objective: Duration::from_millis(objective_ms),
        max_pause: max_pause_ms.map(Duration::from_millis),
    }
}

/// Guards against bounds below what callers of a slow stream accept.
#[test]
fn the_bound_follows_from_what_callers_accept() {
    let cases = [
        (expectation(false, 1_500, Some(180)), 10_000),
        (expectation(false, 1_500, None), 10_000),
        (expectation(false, 4_000, Some(180)), 16_000),
        (expectation(false, 1_000, Some(2_000)), 16_000),
        (expectation(true, 4_000, Some(180)), 900),
        (expectation(true, 100, None), 900),
        (expectation(true, 100, Some(400)), 2_000),
    ];
    for (expectation, bound_ms) in cases {
        assert_eq!(expectation.bound(), Duration::from_millis(bound_ms), "{expectation:?}");
    }
    let longest = Expectation { max_pause: Some(Duration::MAX), ..cases[0].0 };
    assert_eq!(Watch::new(longest, u64::MAX).remaining_ms(0), u64::MAX);
}

/// Guards against a stalled stream that is kept alive by bytes.
#[test]
fn bytes_without_an_event_do_not_extend_the_time() {
    let mut watch = Watch::new(expectation(false, 1_500, Some(180)), 1_000);
    for now_ms in (1_000..11_000).step_by(100) {
        watch.record(0, now_ms);
        assert!(watch.remaining_ms(now_ms) > 0, "{now_ms}");
    }
    assert_eq!(watch.remaining_ms(11_000), 0);
}

/// Guards against a slow but steady stream that is ended.
#[test]
fn each_event_extends_the_time() {
    let mut watch = Watch::new(expectation(false, 1_500, Some(180)), 0);
    for event in 1..100 {
        let now_ms = event * 9_000;
        assert!(watch.remaining_ms(now_ms) > 0, "{event}");
        watch.record(event, now_ms);
    }
}

/// Guards against silence that is taken for a stall: an event may arrive in parts, with a long pause between them.
#[test]
fn silence_is_no_stall() {
    for resumable in [true, false] {
        let mut watch = Watch::new(expectation(resumable, 1_500, Some(180)), 0);
        for now_ms in [100, 30_000, 60_000, 60_100] {
            watch.record(0, now_ms);
            assert!(!watch.is_stalled(), "{now_ms}");
        }
        for now_ms in (61_000..=69_000).step_by(1_000) {
            watch.record(0, now_ms);
            assert!(!watch.is_stalled(), "{now_ms}");
        }
        watch.record(0, 70_000);
        assert!(watch.is_stalled());
    }
}

/// Guards against a silent engine for which no other one is found a second time.
#[test]
fn the_time_until_another_engine_is_asked_starts_again() {
    let mut watch = Watch::new(expectation(true, 1_500, Some(180)), 0);
    assert_eq!(watch.remaining_ms(900), 0);
    watch.restart(900);
    assert_eq!(watch.remaining_ms(900), 900);
}
