use super::*;

/// The first `seconds` of a generated trace for three engines.
fn beginning(seed: u64, deployment: Deployment, name: &str, seconds: u64) -> Trace {
    let mut trace = generate::trace(seed, deployment, name, 3);
    trace.events.retain(|event| event.at_ms < seconds * 1_000);
    trace
}

#[test]
fn a_trace_reads_back_as_written() {
    for (seed, name) in generate::NAMES.into_iter().enumerate() {
        for deployment in Deployment::ALL {
            let trace = generate::trace(seed as u64, deployment, name, 3);
            assert_eq!(Trace::from_text(&trace.to_text()), Ok(trace));
        }
    }
}

#[test]
fn a_malformed_trace_is_rejected_with_its_line() {
    let good = "nutmeghead-trace 1\ndeployment rumbo\ntrace t\nengine 100 0\n";
    let cases = [
        ("".to_owned(), trace::Error::Header),
        (good.replace("rumbo", "other"), trace::Error::Incomplete),
        (good.replace("engine 100 0\n", ""), trace::Error::Incomplete),
        (format!("{good}a 1 2\n"), trace::Error::Line(5)),
        (format!("{good}a 1 0 7 0 1 1 0 0 0\n"), trace::Error::Line(5)),
        (format!("{good}\n"), trace::Error::Line(5)),
        (format!("{good}x 1\n"), trace::Error::Line(5)),
    ];
    for (text, error) in cases {
        assert_eq!(Trace::from_text(&text), Err(error), "{text:?}");
    }
}

#[test]
fn the_same_trace_gives_the_same_measures() {
    let long = beginning(4, Deployment::Rumbo, "shift", 100);
    assert_eq!(replay(&long, 4, Choice::Project), replay(&long, 4, Choice::Project));
    let trace = beginning(3, Deployment::Rumbo, "overload", 20);
    for choice in Choice::ALL {
        assert_eq!(replay(&trace, 3, choice), replay(&trace, 3, choice), "{}", choice.name());
    }
}

#[test]
fn every_recorded_trace_can_be_read() {
    let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let files = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let traces =
        files.filter(|path| path.extension().is_some_and(|extension| extension == "trace"));
    let read = |path| Trace::from_text(&std::fs::read_to_string(path).unwrap()).unwrap();
    let names: std::collections::BTreeSet<_> =
        traces.map(read).map(|trace| (trace.deployment.name(), trace.name)).collect();
    assert_eq!(names.len(), Deployment::ALL.len() * generate::NAMES.len());
}

/// Targets of the policy at an overload of 1.3 times the memory: half the rebuild stall of the best baseline, no rebuild
/// preempted while lesser work goes on, and 95 % of the best baseline's tokens.
#[test]
fn urgent_work_keeps_flowing_when_memory_runs_short() {
    // Arrange
    let trace = Trace::from_text(include_str!("../../traces/rumbo-overload.trace")).unwrap();

    // Act
    let project = replay(&trace, 1, Choice::Project);
    let others = Choice::ALL[1..5].iter().map(|choice| replay(&trace, 1, *choice));
    let others: Vec<Row> = others.collect();

    // Assert
    let best_stall_ms =
        others.iter().map(|row| row.long_stall_p99_ms).fold(f64::INFINITY, f64::min);
    let best_tokens_s = others.iter().map(|row| row.finished_tokens_s).fold(0.0, f64::max);
    assert!(project.long_stall_p99_ms <= best_stall_ms / 2.0, "{project:?}");
    assert_eq!(project.long_for_lesser, 0.0);
    assert!(project.finished_tokens_s >= best_tokens_s * 0.95, "{project:?} {best_tokens_s}");
}
