//! Tests of replaying records.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use super::memory::Memory;
use super::{environment, text};
use crate::config::{Change, Conflict, Outcome, Reader, Record, RecordError, Snapshot, Source};
use crate::log::Batch;

const STREAM: &str = "config.production";

fn append(log: &Memory, author: &str, change: Change) -> Uuid {
    let record = Record::new(author, change);
    log.state().append(STREAM, record.encode().unwrap());
    record.id
}

fn submit(log: &Memory, base: u64, seed: u64) -> Uuid {
    append(log, "ada", Change::Submit { base, text: text(seed) })
}

fn promote(log: &Memory, base: u64, version: u64, confirmed_ms: u64) -> Uuid {
    let source = Source { environment: environment("trial"), version, confirmed_ms };
    append(log, "bo", Change::Promote { base, text: text(version), source })
}

fn read(log: &Memory) -> Reader {
    let mut reader = Reader::new();
    reader.apply(&log.state().read(STREAM, 0));
    reader
}

fn base_conflict(version: u64, author: &str) -> Outcome {
    Outcome::Conflict(Conflict::Base { version, author: author.into() })
}

#[test]
fn first_valid_record_on_a_base_is_accepted() {
    let log = Memory::default();
    let invalid = append(&log, "cy", Change::Submit { base: 0, text: "x = 1".into() });
    let first = submit(&log, 0, 1);
    let submission = submit(&log, 0, 2);
    let promotion = promote(&log, 0, 7, 0);
    let next = promote(&log, 2, 7, 0);

    let reader = read(&log);

    let outcomes = [
        (invalid, Outcome::Invalid),
        (first, Outcome::Accepted { version: 2 }),
        (submission, base_conflict(2, "ada")),
        (promotion, base_conflict(2, "ada")),
        (next, Outcome::Accepted { version: 5 }),
    ];
    for (id, outcome) in outcomes {
        assert_eq!(reader.outcome(id), Some(outcome));
    }
    assert_eq!(reader.accepted().unwrap().snapshot.text, text(7));
}

#[test]
fn superseded_and_late_promotions_conflict() {
    let log = Memory::default();
    log.state().now_ms = 100_000;
    promote(&log, 0, 7, 100_000);
    let same = promote(&log, 1, 7, 100_000);
    let earlier = promote(&log, 1, 6, 100_000);
    let late = promote(&log, 1, 8, 69_999);
    let on_time = promote(&log, 1, 8, 70_000);

    let reader = read(&log);

    let superseded = Conflict::Superseded { environment: environment("trial"), version: 7 };
    assert_eq!(reader.outcome(same), Some(Outcome::Conflict(superseded.clone())));
    assert_eq!(reader.outcome(earlier), Some(Outcome::Conflict(superseded)));
    let late_conflict = Outcome::Conflict(Conflict::Late { late_ms: 30_001 });
    assert_eq!(reader.outcome(late), Some(late_conflict));
    assert_eq!(reader.outcome(on_time), Some(Outcome::Accepted { version: 5 }));
}

#[test]
fn duplicate_of_an_accepted_record_has_no_effect() {
    let log = Memory::default();
    let record = Record::new("ada", Change::Submit { base: 0, text: text(1) });
    for _ in 0..2 {
        log.state().append(STREAM, record.encode().unwrap());
    }

    let reader = read(&log);

    assert_eq!(reader.outcome(record.id), Some(Outcome::Accepted { version: 1 }));
    assert_eq!(reader.version(), 1);
}

#[test]
fn reader_with_a_gap_skips_records_until_a_renewal() {
    let log = Memory::default();
    let original = submit(&log, 0, 1);
    log.state().now_ms = 1_000;
    let stale = submit(&log, 0, 2);
    let complete_at_renewal = read(&log);
    let renewal = complete_at_renewal.renewal(1_000, 500).unwrap();
    append(&log, "r", renewal.clone());
    let duplicate = append(&log, "r", renewal);
    let last = submit(&log, 1, 3);
    let complete = read(&log);
    log.state().expire(500);
    let mut renewed = Reader::new();
    renewed.apply(&Batch {
        records: log.state().read(STREAM, 0).records[..2].to_vec(),
        next: 3,
        first: 1,
    });

    let late = read(&log);

    assert_eq!(renewed.outcome(original), Some(Outcome::Accepted { version: 1 }));
    assert_eq!(log.state().read(STREAM, 0).first, 1);
    assert_eq!(late.outcome(stale), None);
    assert_eq!(late.outcome(duplicate), Some(Outcome::Stale));
    assert_eq!(late.outcome(last), complete.outcome(last));
    assert_eq!(late.accepted().unwrap().snapshot, complete.accepted().unwrap().snapshot);
}

#[test]
fn forged_renewal_is_stale_and_unreadable_newer_format_is_accepted() {
    let log = Memory::default();
    submit(&log, 0, 1);
    let accepted = read(&log).accepted().unwrap().snapshot.clone();
    let forged = Snapshot { version: 2, text: text(9), ..accepted };
    let renewal = append(&log, "r", Change::Renew { at: 1, snapshot: forged });
    let change = Change::Submit { base: 1, text: "later = true".into() };
    let later = Record { format: 2, ..Record::new("ada", change) };
    log.state().append(STREAM, later.encode().unwrap());

    let reader = read(&log);

    assert_eq!(reader.outcome(renewal), Some(Outcome::Stale));
    assert_eq!(reader.outcome(later.id), Some(Outcome::Accepted { version: 3 }));
    assert!(reader.accepted().unwrap().active.is_none());
}

#[test]
fn restoration_is_accepted_by_every_reader() {
    let log = Memory::default();
    submit(&log, 0, 1);
    log.state().now_ms = 1_000;
    append(&log, "ada", Change::Restore { text: text(2) });
    let complete = read(&log);
    log.state().expire(500);

    let late = read(&log);

    assert!(late.is_synced());
    assert_eq!((late.version(), complete.version()), (2, 2));
}

#[test]
fn generated_malformed_records_are_skipped_and_give_typed_errors() {
    let source = Source { environment: environment("trial"), version: 3, confirmed_ms: 5 };
    let record = Record::new("ada", Change::Promote { base: 2, text: text(1), source });
    let base = record.encode().unwrap().to_vec();
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bytes = base.clone();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes[at] = rng.random(),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, b"[]{}\":,-9\\"[rng.random_range(0..10)]),
            }
        }
        let log = Memory::default();
        log.state().append(STREAM, bytes.into());

        let reader = read(&log);

        assert_eq!((reader.version(), reader.next()), (0, 1), "seed {seed}");
    }
    let text = r#"{"id":"x","author":"a","format":1,"kind":"confirm","base":0}"#;
    assert!(matches!(Record::decode(text.as_bytes()), Err(RecordError::Id(_))));
    let damaged = String::from_utf8(base).unwrap().replace("north", "south");
    assert!(matches!(Record::decode(damaged.as_bytes()), Err(RecordError::Hash)));
}
