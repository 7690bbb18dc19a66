use std::collections::HashMap;

use super::wire::Entry;
use super::*;
use crate::document::Measure;
use crate::name;

fn series(organisation: &str) -> Series {
    Series {
        workload: name::Workload::new("rebuild").unwrap(),
        organisation: name::Organisation::new(organisation).unwrap(),
        measure: Measure::Stall,
    }
}

fn counts(good: u64, total: u64) -> HashMap<Series, Count> {
    HashMap::from([(series("charter"), Count { good, total })])
}

fn entry(organisation: &str, windows: [(u64, u64); 3]) -> Entry {
    let series = series(organisation);
    Entry {
        workload: series.workload,
        organisation: series.organisation,
        measure: series.measure,
        target_ms: 640,
        ratio: 0.95,
        windows,
    }
}

#[test]
fn a_window_contains_only_samples_of_its_duration() {
    let mut history = History::new();
    for minute in 0..500 {
        history.record(minute * 60, counts(minute * 9, minute * 10));
    }

    let window = |window_s| history.window(window_s)[&series("charter")];

    assert_eq!(window(300), Count { good: 45, total: 50 });
    assert_eq!(window(3_600), Count { good: 540, total: 600 });
    assert_eq!(window(21_600), Count { good: 3_240, total: 3_600 });
}

#[test]
fn a_window_longer_than_the_history_contains_all_samples() {
    let mut history = History::new();
    history.record(0, HashMap::new());
    history.record(60, counts(3, 4));

    assert_eq!(history.window(3_600)[&series("charter")], Count { good: 3, total: 4 });
}

#[test]
fn burn_rates_are_calculated_from_the_summed_counts_of_all_nodes() {
    let snapshot = |good| Snapshot {
        rows: vec![entry("charter", [(good, 100), (100, 100), (0, 0)])],
        actions: [("held".to_owned(), 2)].into(),
    };

    let summary = Summary::new(&[snapshot(80), snapshot(100)], vec!["127.0.0.1:9".to_owned()]);

    assert_eq!(summary.rows.len(), 1);
    let burn = summary.rows[0].burn;
    assert!((burn[0] - 2.0).abs() < 1e-9, "{burn:?}");
    assert_eq!((burn[1], burn[2]), (0.0, 0.0));
    assert_eq!(summary.actions["held"], 4);
    insta::assert_snapshot!(summary.to_table());
}

#[test]
fn the_html_page_is_self_contained() {
    let snapshot = Snapshot { rows: vec![entry("charter", [(1, 2); 3])], ..Snapshot::default() };

    let html = html::render(&Summary::new(&[snapshot], Vec::new())).unwrap();

    assert!(html.contains("<svg") && html.contains("charter"));
    assert!(!html.contains("http://") || html.contains("www.w3.org"));
}
