//! Tests of the entry benchmark's arithmetic.

use super::{Report, Spent};

fn spent(cpu_s: f64, seconds: f64, units: u64) -> Spent {
    Spent { cpu_s, seconds, units }
}

#[test]
fn the_idle_process_is_taken_off() {
    let idle = spent(0.01, 2.0, 0);
    let loaded = spent(0.12, 4.0, 1_000);

    let us = loaded.us_per_unit(&idle).expect("units were done");

    assert!((us - 100.0).abs() < 1e-6, "{us}");
}

#[test]
fn no_work_has_no_cost() {
    assert_eq!(spent(0.1, 1.0, 0).us_per_unit(&spent(0.0, 1.0, 0)), None);
}

#[test]
fn a_missing_cost_is_no_zero() {
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
