//! Tests of the partition state machine.

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::claim::state::{Decision, UNKNOWN_START_MS};
use crate::claim::{
    Claim, End, Entry, Holder, Key, Outcome, Reply, Resolution, Slot, State, record,
};
use crate::fingerprint::Fingerprint;
use crate::{log, name};

const NOW_MS: u64 = 1_700_000_000_000;

fn organisation() -> name::Organisation {
    name::Organisation::new("rumbo").unwrap()
}

fn key() -> Key {
    Key::new(NOW_MS, 1)
}

fn claim_on(id: u128, key: Key) -> Entry {
    let holder = Holder { host: name::Host::new("h-1").unwrap(), incarnation: 1 };
    let (dispatch_ms, timeout_ms) = (1_000, 1_000);
    let fingerprint = Fingerprint::new("POST", "/swap", b"a");
    let organisation = organisation();
    Entry::Claim(Claim { id, key, organisation, fingerprint, holder, dispatch_ms, timeout_ms })
}

fn claim(id: u128) -> Entry {
    claim_on(id, key())
}

fn outcome(id: u128, end: End) -> Entry {
    Entry::Outcome(Outcome { id, key: key(), organisation: organisation(), end })
}

fn record(offset: u64, time_ms: u64, entries: &[Entry]) -> log::Record {
    log::Record { offset, time_ms, body: record::encode(entries).unwrap() }
}

fn reply() -> Reply {
    Reply::new(200, [], Bytes::from_static(b"ok"))
}

/// The resolution of the last of `entries`, applied as one record each, 1 ms apart.
fn last_resolution(entries: &[Entry]) -> Option<Resolution> {
    let mut state = State::new(0, 0);
    let mut decisions = Vec::new();
    for (offset, entry) in (0..).zip(entries) {
        decisions = state.apply(&record(offset, NOW_MS + offset, std::slice::from_ref(entry)));
    }
    decisions.pop().map(|Decision { resolution, .. }| resolution)
}

#[test]
fn the_log_order_decides_which_claim_wins() {
    let not_run = |id| outcome(id, End::NotRun);
    let done = |id| outcome(id, End::Done(reply()));
    let cases = [
        (vec![claim(1)], Resolution::Won),
        (vec![claim(1), claim(2)], Resolution::InProgress(NOW_MS + 3_000)),
        (vec![claim(1), claim(1)], Resolution::Won),
        (vec![claim(1), not_run(1), claim(2)], Resolution::Won),
        (vec![claim(1), not_run(1), claim(1)], Resolution::Withdrawn),
        (vec![not_run(1), claim(1)], Resolution::Withdrawn),
        (vec![claim(1), not_run(2), claim(3)], Resolution::InProgress(NOW_MS + 3_000)),
        (vec![claim(1), claim(2), not_run(1), claim(2)], Resolution::Withdrawn),
        (vec![claim(1), claim(2), not_run(1), claim(2), claim(3)], Resolution::Won),
        (vec![claim(1), claim(2), claim(2)], Resolution::InProgress(NOW_MS + 3_000)),
        (vec![claim(1), done(1), claim(2)], Resolution::Done(reply())),
        (vec![claim(1), done(2), claim(3)], Resolution::InProgress(NOW_MS + 3_000)),
        (vec![claim(1), done(1), not_run(1), claim(2)], Resolution::Done(reply())),
        (vec![claim(1), outcome(1, End::Unknown), claim(2)], Resolution::Unknown),
        (vec![claim(1), outcome(1, End::Unknown), not_run(1), claim(2)], Resolution::Unknown),
    ];
    for (entries, expected) in cases {
        assert_eq!(last_resolution(&entries), Some(expected), "{entries:?}");
    }
}

#[test]
fn a_claim_without_an_outcome_becomes_unknown_after_its_deadline() {
    let mut state = State::new(0, 0);
    let slot = Slot::new(&organisation(), key());
    state.apply(&record(0, NOW_MS, &[claim(1)]));
    let cases = [(2_999, Resolution::InProgress(NOW_MS + 3_000)), (3_000, Resolution::Unknown)];
    for (later_ms, expected) in cases {
        assert_eq!(state.status(slot, key(), NOW_MS + later_ms), expected);
    }
}

#[test]
fn a_reader_with_incomplete_history_does_not_decide() {
    let early = record(0, NOW_MS - 61_000, &[claim(1)]);
    assert_eq!(State::new(0, 0).apply(&early)[0].resolution, Resolution::KeyAhead);
    let cases = [(NOW_MS - 60_000, Resolution::Won), (NOW_MS - 59_999, Resolution::HistoryMissing)];
    for (complete_from_ms, expected) in cases {
        let mut state = State::new(4, complete_from_ms);
        assert_eq!(state.apply(&record(4, NOW_MS, &[claim(1)]))[0].resolution, expected);
    }
    let mut unknown = State::new(4, UNKNOWN_START_MS);
    assert_eq!(
        unknown.apply(&record(4, NOW_MS, &[claim(1)]))[0].resolution,
        Resolution::HistoryMissing
    );
    let mut gap = State::new(0, 0);
    gap.apply(&record(0, NOW_MS, &[claim(1)]));
    assert_eq!(
        gap.apply(&record(2, NOW_MS, &[claim(2)]))[0].resolution,
        Resolution::HistoryMissing
    );
}

#[test]
fn memory_is_bounded_and_evicted_keys_resolve_to_missing_history() {
    let max_bytes = 64 << 10;
    let mut state = State::new(0, 0).with_max_bytes(max_bytes);
    for number in 0..5_000 {
        let key = Key::new(NOW_MS + number, u128::from(number));
        state.apply(&record(number, NOW_MS + number, &[claim_on(u128::from(number), key)]));
        assert!(state.size_bytes() <= max_bytes);
    }
    let evicted = Key::new(NOW_MS, 0);
    let resolution = state.status(Slot::new(&organisation(), evicted), evicted, NOW_MS);
    assert_eq!(resolution, Resolution::HistoryMissing);
}

#[test]
fn records_with_arbitrary_content_are_applied_or_skipped() {
    let mut random = StdRng::seed_from_u64(7);
    let valid = record::encode(&[claim(1), outcome(1, End::Done(reply()))]).unwrap();
    let mut state = State::new(0, 0);
    for offset in 0..20_000 {
        let mut body = valid.to_vec();
        if offset % 2 == 0 {
            body = vec![0; random.random_range(0..64)];
            random.fill_bytes(&mut body);
        } else {
            let position = random.random_range(0..body.len());
            body[position] ^= 1 << random.random_range(0..8);
            body.truncate(random.random_range(0..=valid.len()));
        }
        state.apply(&log::Record { offset, time_ms: NOW_MS, body: body.into() });
    }
    assert_eq!(state.next_offset(), 20_000);
    assert!(state.malformed() > 0);
}
