//! Tests of the next step after a failed attempt.

use super::{Attempts, Failure, Step};
use crate::route::Kind;

const ONCE: [Kind; 2] = [Kind::NonIdempotent, Kind::Stream { resumable: false }];
const REPEATABLE: [Kind; 2] = [Kind::Idempotent, Kind::Stream { resumable: true }];

fn step_after(kind: Kind, max_runs: u32, failures: &[Failure], has_budget: bool) -> Step {
    let mut attempts = Attempts::new(kind, max_runs);
    let mut step = Step::Retry;
    for failure in failures {
        assert_eq!(step, Step::Retry, "the request ended before {failure:?}");
        step = attempts.record_failure(*failure, || has_budget);
    }
    step
}

#[test]
fn a_non_idempotent_request_is_never_sent_again_once_it_may_have_run() {
    for kind in ONCE {
        assert_eq!(step_after(kind, 1, &[Failure::Lost], true), Step::Unknown);
        assert_eq!(step_after(kind, 3, &[Failure::Lost], true), Step::Unknown);
        assert_eq!(step_after(kind, 1, &[Failure::Failed], true), Step::Relay);
        assert_eq!(step_after(kind, 1, &[Failure::NotRun, Failure::Lost], true), Step::Unknown);
    }
}

#[test]
fn not_run_is_reported_only_if_no_server_may_have_run_the_request() {
    let failures = [Failure::NotSent, Failure::NotRun, Failure::Lost, Failure::Failed];
    for kind in ONCE.into_iter().chain(REPEATABLE) {
        for first in failures {
            for second in failures {
                let mut attempts = Attempts::new(kind, 2);
                let ran = |failure| matches!(failure, Failure::Lost | Failure::Failed);
                let mut step = attempts.record_failure(first, || true);
                let mut may_have_run = ran(first);
                if step == Step::Retry {
                    step = attempts.record_failure(second, || false);
                    may_have_run |= ran(second);
                }
                assert_eq!(attempts.may_have_run(), may_have_run);
                assert!(step != Step::NotRun || !may_have_run, "{kind:?} {first:?} {second:?}");
            }
        }
    }
}

#[test]
fn a_repeatable_request_runs_on_as_many_servers_as_its_route_allows() {
    for kind in REPEATABLE {
        assert_eq!(step_after(kind, 2, &[Failure::Lost], true), Step::Retry);
        assert_eq!(step_after(kind, 2, &[Failure::Lost, Failure::Lost], true), Step::Unknown);
        assert_eq!(step_after(kind, 2, &[Failure::Failed, Failure::Failed], true), Step::Relay);
        assert_eq!(step_after(kind, 2, &[Failure::Lost], false), Step::Unknown);
    }
}

#[test]
fn a_retry_of_a_request_that_was_not_sent_is_not_charged_to_the_budget() {
    assert_eq!(step_after(Kind::NonIdempotent, 1, &[Failure::NotSent], false), Step::Retry);
    assert_eq!(step_after(Kind::NonIdempotent, 1, &[Failure::NotRun], false), Step::NotRun);
}

#[test]
fn attempts_end_at_a_service_that_refuses_all_requests() {
    assert_eq!(step_after(Kind::NonIdempotent, 1, &[Failure::NotRun; 4], true), Step::NotRun);
}

/// Guards against a stream that runs on more servers than its route allows because the runs before it began are forgotten.
#[test]
fn runs_before_a_stream_began_count_with_those_that_continue_it() {
    let kind = Kind::Stream { resumable: true };
    for failure in [Failure::Lost, Failure::Failed] {
        for max_runs in 1..5 {
            let mut attempts = Attempts::new(kind, max_runs);
            let mut runs = 0;
            loop {
                runs += 1;
                if runs == 2 {
                    attempts.record_start();
                }
                if attempts.record_failure(failure, || true) != Step::Retry {
                    break;
                }
            }
            assert_eq!(runs, max_runs, "{failure:?}");
        }
    }
}

/// Guards against a stream that cannot continue elsewhere because servers refused it before it began.
#[test]
fn refusals_before_a_stream_began_do_not_count_with_those_after() {
    let mut attempts = Attempts::new(Kind::Stream { resumable: true }, 2);
    for _ in 0..3 {
        assert_eq!(attempts.record_failure(Failure::NotRun, || true), Step::Retry);
    }
    attempts.record_start();
    assert_eq!(attempts.record_failure(Failure::Lost, || true), Step::Retry);
}
