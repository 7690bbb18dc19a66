use super::*;

/// The first `seconds` of a generated trace for three engines.
fn first_seconds(seed: u64, deployment: Deployment, name: &str, seconds: u64) -> Trace {
    let mut trace = generate::trace(seed, deployment, name, 3);
    trace.events.retain(|event| event.at_ms < seconds * 1_000);
    trace
}

#[test]
fn traces_round_trip_through_text() {
    for (seed, name) in generate::NAMES.into_iter().enumerate() {
        for deployment in Deployment::ALL {
            let trace = generate::trace(seed as u64, deployment, name, 3);
            assert_eq!(Trace::from_text(&trace.to_text()), Ok(trace));
        }
    }
}

#[test]
fn malformed_traces_are_rejected_with_the_line_number() {
    let valid = "nutmeghead-trace 1\ndeployment rumbo\ntrace t\nengine 100 0\n";
    let cases = [
        ("".to_owned(), trace::Error::Header),
        (valid.replace("rumbo", "other"), trace::Error::Incomplete),
        (valid.replace("engine 100 0\n", ""), trace::Error::Incomplete),
        (format!("{valid}a 1 2\n"), trace::Error::Line(5)),
        (format!("{valid}a 1 0 7 0 1 1 0 0 0\n"), trace::Error::Line(5)),
        (format!("{valid}\n"), trace::Error::Line(5)),
        (format!("{valid}x 1\n"), trace::Error::Line(5)),
    ];
    for (text, error) in cases {
        assert_eq!(Trace::from_text(&text), Err(error), "{text:?}");
    }
}

#[test]
fn replays_are_deterministic() {
    let long = first_seconds(4, Deployment::Rumbo, "shift", 100);
    assert_eq!(replay(&long, 4, Choice::Production), replay(&long, 4, Choice::Production));
    let trace = first_seconds(3, Deployment::Rumbo, "overload", 20);
    for choice in Choice::ALL {
        assert_eq!(replay(&trace, 3, choice), replay(&trace, 3, choice), "{}", choice.name());
    }
}

#[test]
fn recorded_traces_are_valid_and_complete() {
    let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let files = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let traces =
        files.filter(|path| path.extension().is_some_and(|extension| extension == "trace"));
    let read = |path| Trace::from_text(&std::fs::read_to_string(path).unwrap()).unwrap();
    let names: std::collections::BTreeSet<_> =
        traces.map(read).map(|trace| (trace.deployment.name(), trace.name)).collect();
    assert_eq!(names.len(), Deployment::ALL.len() * generate::NAMES.len());
}

/// Targets at an offered load of 1.3 times the memory: at most half the rebuild stall of the best baseline, no rebuild
/// preempted while less urgent work runs, and at least 95 % of the best baseline's tokens.
#[test]
fn production_policy_meets_its_targets_under_memory_overload() {
    // Arrange
    let trace = Trace::from_text(include_str!("../../traces/rumbo-overload.trace")).unwrap();

    // Act
    let production = replay(&trace, 1, Choice::Production);
    let baselines = Choice::ALL[1..5].iter().map(|choice| replay(&trace, 1, *choice));
    let baselines: Vec<Row> = baselines.collect();

    // Assert
    let best_stall_ms =
        baselines.iter().map(|row| row.long_stall_p99_ms).fold(f64::INFINITY, f64::min);
    let best_tokens_s = baselines.iter().map(|row| row.finished_tokens_s).fold(0.0, f64::max);
    assert!(production.long_stall_p99_ms <= best_stall_ms / 2.0, "{production:?}");
    assert_eq!(production.long_for_lesser, 0.0);
    assert!(production.finished_tokens_s >= best_tokens_s * 0.95, "{production:?} {best_tokens_s}");
}
