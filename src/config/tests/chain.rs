//! Tests of which record is accepted.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use super::memory::Memory;
use super::{environment, text};
use crate::config::{Chain, Change, Conflict, Record, RecordError, Snapshot, Source, Verdict};
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

fn read(log: &Memory) -> Chain {
    let mut chain = Chain::new();
    chain.read(&log.state().read(STREAM, 0));
    chain
}

fn in_force(version: u64, author: &str) -> Verdict {
    Verdict::Conflict(Conflict::Base { version, author: author.into() })
}

#[test]
fn of_racing_records_the_first_valid_one_wins() {
    let log = Memory::default();
    let invalid = append(&log, "cy", Change::Submit { base: 0, text: "x = 1".into() });
    let winner = submit(&log, 0, 1);
    let submission = submit(&log, 0, 2);
    let promotion = promote(&log, 0, 7, 0);
    let next = promote(&log, 2, 7, 0);

    let chain = read(&log);

    let verdicts = [
        (invalid, Verdict::Invalid),
        (winner, Verdict::Accepted { version: 2 }),
        (submission, in_force(2, "ada")),
        (promotion, in_force(2, "ada")),
        (next, Verdict::Accepted { version: 5 }),
    ];
    for (id, verdict) in verdicts {
        assert_eq!(chain.verdict(id), Some(verdict));
    }
    assert_eq!(chain.accepted().unwrap().snapshot.text, text(7));
}

#[test]
fn a_promotion_that_is_superseded_or_late_conflicts() {
    let log = Memory::default();
    log.state().now_ms = 100_000;
    promote(&log, 0, 7, 100_000);
    let same = promote(&log, 1, 7, 100_000);
    let earlier = promote(&log, 1, 6, 100_000);
    let late = promote(&log, 1, 8, 69_999);
    let punctual = promote(&log, 1, 8, 70_000);

    let chain = read(&log);

    let superseded = Conflict::Superseded { environment: environment("trial"), version: 7 };
    assert_eq!(chain.verdict(same), Some(Verdict::Conflict(superseded.clone())));
    assert_eq!(chain.verdict(earlier), Some(Verdict::Conflict(superseded)));
    let too_late = Verdict::Conflict(Conflict::Late { late_ms: 30_001 });
    assert_eq!(chain.verdict(late), Some(too_late));
    assert_eq!(chain.verdict(punctual), Some(Verdict::Accepted { version: 5 }));
}

#[test]
fn a_copy_of_an_accepted_record_changes_nothing() {
    let log = Memory::default();
    let record = Record::new("ada", Change::Submit { base: 0, text: text(1) });
    for _ in 0..2 {
        log.state().append(STREAM, record.encode().unwrap());
    }

    let chain = read(&log);

    assert_eq!(chain.verdict(record.id), Some(Verdict::Accepted { version: 1 }));
    assert_eq!(chain.version(), 1);
}

#[test]
fn a_reader_that_starts_late_judges_nothing_before_a_renewal() {
    let log = Memory::default();
    let original = submit(&log, 0, 1);
    log.state().now_ms = 1_000;
    let stale = submit(&log, 0, 2);
    let full = read(&log);
    let renewal = full.renewal(1_000, 500).unwrap();
    append(&log, "r", renewal.clone());
    let overtaken = append(&log, "r", renewal);
    let last = submit(&log, 1, 3);
    let whole = read(&log);
    log.state().expire(500);
    let mut renewed = Chain::new();
    renewed.read(&Batch {
        records: log.state().read(STREAM, 0).records[..2].to_vec(),
        next: 3,
        first: 1,
    });

    let late = read(&log);

    assert_eq!(renewed.verdict(original), Some(Verdict::Accepted { version: 1 }));

    assert_eq!(log.state().read(STREAM, 0).first, 1);
    assert_eq!(late.verdict(stale), None);
    assert_eq!(late.verdict(overtaken), Some(Verdict::Void));
    assert_eq!(late.verdict(last), whole.verdict(last));
    assert_eq!(late.accepted().unwrap().snapshot, whole.accepted().unwrap().snapshot);
}

#[test]
fn a_forged_renewal_or_a_document_of_another_format_puts_nothing_unread_in_force() {
    let log = Memory::default();
    submit(&log, 0, 1);
    let accepted = read(&log).accepted().unwrap().snapshot.clone();
    let forged = Snapshot { version: 2, text: text(9), ..accepted };
    let renewal = append(&log, "r", Change::Renew { at: 1, snapshot: forged });
    let change = Change::Submit { base: 1, text: "later = true".into() };
    let later = Record { format: 2, ..Record::new("ada", change) };
    log.state().append(STREAM, later.encode().unwrap());

    let chain = read(&log);

    assert_eq!(chain.verdict(renewal), Some(Verdict::Void));
    assert_eq!(chain.verdict(later.id), Some(Verdict::Accepted { version: 3 }));
    assert!(chain.accepted().unwrap().active.is_none());
}

#[test]
fn a_restoration_is_accepted_by_every_reader() {
    let log = Memory::default();
    submit(&log, 0, 1);
    log.state().now_ms = 1_000;
    append(&log, "ada", Change::Restore { text: text(2) });
    let full = read(&log);
    log.state().expire(500);

    let late = read(&log);

    assert!(late.is_anchored());
    assert_eq!((late.version(), full.version()), (2, 2));
}

#[test]
fn generated_bad_records_give_typed_errors() {
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

        let chain = read(&log);

        assert_eq!((chain.version(), chain.next()), (0, 1), "seed {seed}");
    }
    let text = r#"{"id":"x","author":"a","format":1,"kind":"confirm","base":0}"#;
    assert!(matches!(Record::decode(text.as_bytes()), Err(RecordError::Id(_))));
    let damaged = String::from_utf8(base).unwrap().replace("north", "south");
    assert!(matches!(Record::decode(damaged.as_bytes()), Err(RecordError::Hash)));
}
