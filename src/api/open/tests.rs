use super::*;
use crate::api::problem::Outcome;

fn engine(name: &str) -> name::Engine {
    name::Engine::new(name).unwrap()
}

#[test]
fn a_request_counts_as_not_run_only_if_no_engine_may_have_run_it() {
    use engine::Error::{Busy, Leaving, Lost, Malformed, Unreachable};
    let cases: [(&[engine::Error], Outcome); 5] = [
        (&[], Outcome::NotRun),
        (&[Busy, Leaving, Unreachable], Outcome::NotRun),
        (&[Lost], Outcome::Interrupted),
        (&[Busy, Malformed], Outcome::Interrupted),
        (&[Lost, Busy], Outcome::Interrupted),
    ];
    for (errors, outcome) in cases {
        let mut failures = Failures::default();
        for (index, error) in errors.iter().enumerate() {
            failures.add(engine(&format!("e-{index}")), error);
        }

        let problem = failures.problem(RETRY_AFTER);

        assert_eq!(problem.outcome(), outcome, "{errors:?}");
        assert_eq!(problem.retry_after, Some(RETRY_AFTER));
    }
}

#[test]
fn only_engines_that_may_have_run_the_request_are_tried_again() {
    let mut failures = Failures::default();
    failures.add(engine("busy"), &engine::Error::Busy);
    failures.add_lost(engine("lost"));

    assert_eq!(failures.final_refusals(), [engine("busy")]);
    assert_eq!(failures.engines, [engine("busy"), engine("lost")]);
}

/// A connection that is not established in time on a busy host, to the only engine, refused all requests that waited for it.
#[test]
fn an_engine_to_which_one_connection_failed_is_tried_once_more() {
    let mut failures = Failures::default();
    failures.add(engine("only"), &engine::Error::Unreachable);
    assert!(failures.final_refusals().is_empty());

    failures.add(engine("only"), &engine::Error::Unreachable);
    assert_eq!(failures.final_refusals(), [engine("only")]);
    assert_eq!(failures.problem(RETRY_AFTER).outcome(), Outcome::NotRun);
}
