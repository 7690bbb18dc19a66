//! Tests of the entry benchmark's arithmetic.

use super::{Measurement, Report};

fn measurement(cpu_s: f64, seconds: f64, units: u64) -> Measurement {
    Measurement { cpu_s, seconds, units }
}

#[test]
fn idle_cpu_time_is_subtracted() {
    let idle = measurement(0.01, 2.0, 0);
    let loaded = measurement(0.12, 4.0, 1_000);

    let us = loaded.us_per_unit(&idle).expect("the measurement has units");

    assert!((us - 100.0).abs() < 1e-6, "{us}");
}

#[test]
fn cost_is_none_without_units() {
    assert_eq!(measurement(0.1, 1.0, 0).us_per_unit(&measurement(0.0, 1.0, 0)), None);
}

#[test]
fn missing_costs_are_not_shown_as_zero() {
    let report = Report {
        streams: 1,
        broken: 0,
        requests_per_s: 0.0,
        events_per_s: 0.0,
        idle_core: 0.0,
        us_per_request: None,
        us_per_event: Some(7.25),
        idle_mib: 4.0,
        streams_mib: 5.0,
    };

    let text = report.to_string();

    assert!(text.contains("plain requests  - us"), "{text}");
    assert!(text.contains("events          7.2 us"), "{text}");
}
