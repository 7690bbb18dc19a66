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

    assert_eq!(failures.did_not_run().collect::<Vec<_>>(), [&engine("busy")]);
    assert_eq!(failures.engines, [engine("busy"), engine("lost")]);
}
