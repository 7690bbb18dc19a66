//! Tests of how records of servers are applied.

use standin::platform::entry;

use super::*;

fn record(state: &str, born: u64) -> Record {
    let value = entry(([127, 0, 0, 1], 80).into(), "pool", state, "v1", born);
    Record { key: "e-1".to_owned(), value: Some(value.to_string().into_bytes().into()) }
}

fn removal() -> Record {
    Record { key: "e-1".to_owned(), value: None }
}

/// A directory that another host has told of the process that started at `born`.
fn directory(born: u64) -> Directory {
    let mut directory = Directory::new();
    let Record { key, value } = record("ready", born);
    directory.put(registry::parse(&key, &value.unwrap()).unwrap(), 0);
    directory
}

fn born(records: Vec<Record>) -> Vec<Option<u64>> {
    let parse = |record: Record| registry::parse(&record.key, &record.value?).ok();
    records.into_iter().map(|record| parse(record).map(|entry| entry.started_ms)).collect()
}

/// Guards against a host that removes a server when it reads that the process before it has left.
#[test]
fn records_before_an_incarnation_that_is_known_are_dropped() {
    let records = || vec![record("draining", 1), removal(), record("ready", 2), record("ready", 2)];

    assert_eq!(born(without_history(records(), &directory(2))), [Some(2)]);
    assert_eq!(born(without_history(records(), &directory(1))).len(), 4);
    assert_eq!(born(without_history(records(), &Directory::new())).len(), 4);
}

#[test]
fn notices_of_a_known_incarnation_that_leaves_are_kept() {
    let records = vec![record("ready", 2), record("draining", 2), removal()];

    assert_eq!(born(without_history(records, &directory(2))), [Some(2), None]);
}
