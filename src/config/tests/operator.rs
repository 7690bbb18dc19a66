//! Tests of concurrent operators on a log with faults.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::memory::Memory;
use super::{environment, text};
use crate::config::{Conflict, Error, Operator, Reader, Receipt, Record};
use crate::{document, log};

fn operator(log: &Memory, author: &str) -> Operator<Memory> {
    Operator::new(log.clone(), author).with_backoff(Duration::from_micros(1))
}

/// A log on which each call first yields to the other tasks a seeded number of times, and some appends lose their
/// response.
fn interleaved(seed: u64) -> Memory {
    let log = Memory::default();
    let mut rng = StdRng::seed_from_u64(seed);
    log.state().yields = (0..64).map(|_| rng.random_range(0..6)).collect();
    log.state().lost_responses = (0..rng.random_range(0..4)).map(|_| rng.random()).collect();
    log
}

/// Checks that exactly one of two commands succeeded, that the other one failed with a conflict that names the
/// successful one, and that the text of the successful one is in force.
fn check_race(reader: &Reader, commands: [(&Result<Receipt, Error>, &str, u64); 2], seed: u64) {
    let winners: Vec<_> = commands.iter().filter(|(result, ..)| result.is_ok()).collect();
    assert_eq!(winners.len(), 1, "seed {seed}: {commands:?}");
    let (receipt, winner, winner_text) = winners[0];
    let version = receipt.as_ref().unwrap().version;
    let snapshot = &reader.accepted().unwrap().snapshot;
    assert_eq!((snapshot.version, &*snapshot.text), (version, &*text(*winner_text)));
    let loser = commands.iter().find(|(result, ..)| result.is_err()).unwrap().0;
    let expected = Conflict::Base { version, author: (*winner).into() };
    assert!(
        matches!(loser, Err(Error::Conflict { conflict, .. }) if *conflict == expected),
        "seed {seed}: {loser:?}"
    );
}

#[tokio::test]
async fn one_of_two_submissions_on_a_version_succeeds() {
    let trial = environment("trial");
    for seed in 0..300 {
        let log = interleaved(seed);
        let (ada, bo) = (operator(&log, "ada"), operator(&log, "bo"));
        let (a, b) = (text(1), text(2));

        let (first, second) =
            tokio::join!(ada.submit(&trial, Some(0), &a), bo.submit(&trial, Some(0), &b));

        let reader = ada.show(&trial).await.unwrap();
        check_race(&reader, [(&first, "ada", 1), (&second, "bo", 2)], seed);
    }
}

#[tokio::test]
async fn concurrent_submission_and_promotion_are_serialized() {
    let (trial, production) = (environment("trial"), environment("production"));
    for seed in 0..300 {
        let log = interleaved(seed);
        let (ada, bo) = (operator(&log, "ada"), operator(&log, "bo"));
        ada.submit(&trial, None, &text(1)).await.unwrap();
        let base = ada.submit(&production, None, &text(0)).await.unwrap().version;
        let b = text(2);

        let (first, second) = tokio::join!(
            ada.promote(&trial, &production, None),
            bo.submit(&production, Some(base), &b)
        );

        let reader = ada.show(&production).await.unwrap();
        // The promotion reads its base from the log. If it reads after the submission, both are accepted.
        if let (Ok(first), Ok(second)) = (&first, &second) {
            let (first, second) = (first.version, second.version);
            assert!(first > second && reader.version() == first, "seed {seed}");
            continue;
        }
        check_race(&reader, [(&first, "ada", 1), (&second, "bo", 2)], seed);
    }
}

#[tokio::test]
async fn promoted_document_was_in_force_at_its_confirmation() {
    let (trial, production) = (environment("trial"), environment("production"));
    let mut conflicts = 0;
    for seed in 0..300 {
        let log = interleaved(seed);
        let (ada, bo) = (operator(&log, "ada"), operator(&log, "bo"));
        let old = ada.submit(&trial, None, &text(1)).await.unwrap().version;
        let b = text(2);

        let (promotion, submission) = tokio::join!(
            ada.promote(&trial, &production, Some(old)),
            bo.submit(&trial, Some(old), &b)
        );
        let again = ada.promote(&trial, &production, Some(old)).await;

        let new = submission.unwrap().version;
        let expected = Conflict::Base { version: new, author: "bo".into() };
        for result in [&again, &promotion] {
            match result {
                Ok(_) => continue,
                Err(Error::Conflict { conflict, .. }) => assert_eq!(*conflict, expected),
                Err(error) => panic!("seed {seed}: {error:?}"),
            }
        }
        assert!(again.is_err(), "seed {seed}");
        if promotion.is_ok() {
            let promoted = ada.show(&production).await.unwrap();
            let source = promoted.accepted().unwrap().snapshot.promoted.clone().unwrap();
            let replaced_ms = log.state().read("config.trial", new - 1).records[0].time_ms;
            assert!(source.confirmed_ms < replaced_ms, "seed {seed}");
        }
        conflicts += u32::from(promotion.is_err());
    }
    assert!(conflicts > 0 && conflicts < 300, "{conflicts}");
}

#[tokio::test]
async fn promotion_delayed_beyond_the_timeout_conflicts() {
    let (trial, production) = (environment("trial"), environment("production"));
    let log = Memory::default();
    let ada = operator(&log, "ada");
    ada.submit(&trial, None, &text(1)).await.unwrap();
    log.state().append_delay = Some((super::super::stream(&production), 30_001));

    let result = ada.promote(&trial, &production, None).await;

    let late = Conflict::Late { late_ms: 30_002 };
    assert!(matches!(result, Err(Error::Conflict { conflict, .. }) if conflict == late));
    assert_eq!(ada.show(&production).await.unwrap().version(), 0);
}

#[tokio::test]
async fn errors_distinguish_unchanged_from_unknown_state() {
    let trial = environment("trial");
    let log = Memory::default();
    let ada = operator(&log, "ada");

    let invalid = ada.submit(&trial, None, "x = 1").await;
    assert!(matches!(invalid, Err(Error::Document(document::Error::Syntax { .. }))));
    let empty = ada.promote(&trial, &environment("production"), None).await;
    assert!(matches!(empty, Err(Error::Empty { .. })));
    let early = ada.submit(&trial, Some(4), &text(1)).await.unwrap_err();
    assert_eq!(early.to_string(), "conflict in environment trial: no document is in force");
    let same = ada.promote(&trial, &trial, None).await;
    assert!(matches!(same, Err(Error::Same { .. })));
    assert_eq!(log.state().read("config.trial", 0).next, 0);

    log.state().lost_responses = vec![false; 64];
    let lost = ada.submit(&trial, None, &text(1)).await;
    assert!(matches!(lost, Err(Error::Unknown { .. })));
    log.state().lost_responses.clear();
    log.state().down = true;
    let down = ada.submit(&trial, None, &text(1)).await;
    assert!(matches!(down, Err(Error::Log(log::Error::Refused(503)))));
}

#[tokio::test]
async fn stream_with_expired_beginning_accepts_only_a_restoration() {
    let trial = environment("trial");
    let log = Memory::default();
    let ada = operator(&log, "ada");
    ada.submit(&trial, None, &text(1)).await.unwrap();
    log.state().now_ms = 10;
    log.state().expire(1);

    let refused = ada.submit(&trial, None, &text(2)).await;
    let restored = ada.restore(&trial, &text(3)).await.unwrap();
    let next = ada.submit(&trial, Some(restored.version), &text(4)).await.unwrap();

    assert!(matches!(refused, Err(Error::Expired { .. })));
    assert!(next.version > restored.version && restored.version > 1);
}

#[tokio::test]
async fn renewed_stream_accepts_submissions_again() {
    let trial = environment("trial");
    let log = Memory::default();
    let ada = operator(&log, "ada");
    ada.submit(&trial, None, &text(1)).await.unwrap();
    let renewal = ada.show(&trial).await.unwrap().renewal(u64::MAX, 0).unwrap();
    log.state().now_ms = 10;
    log.state().expire(1);
    let b = text(2);

    let (result, ()) = tokio::join!(ada.submit(&trial, Some(1), &b), async {
        tokio::task::yield_now().await;
        let renewal = Record::new("renewal", renewal).encode().unwrap();
        log.state().append("config.trial", renewal);
    });

    assert_eq!(result.unwrap().version, 3);
}
