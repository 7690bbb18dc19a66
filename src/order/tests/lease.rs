//! Tests of the lease state machine.

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::claim::Holder;
use crate::order::lease::{Granted, MAX_TERM_MS, Request, SETTLE_MS, State, UNKNOWN_START_MS};
use crate::order::{Kind, Order};
use crate::{log, name, wire};

const TERM_MS: u64 = MAX_TERM_MS as u64;

fn record(offset: u64, time_ms: u64, host: &str, version: u64, term_ms: u64) -> log::Record {
    let request = Request {
        id: u128::from(offset),
        holder: Holder { host: name::Host::new(host).unwrap(), incarnation: 1 },
        environment: name::Environment::new("trial").unwrap(),
        version,
        term_ms: u32::try_from(term_ms).unwrap(),
        engines: vec![name::Engine::new("e").unwrap()],
    };
    log::Record { offset, time_ms, body: wire::encode(&request).unwrap() }
}

/// Log time, host, document version and term of a record.
type Row = (u64, &'static str, u64, u64);

/// The settle time granted by the last of the records, or `None` if it was granted no lease.
fn last_settle_ms(records: &[Row]) -> Option<u64> {
    let mut state = State::new(0, 0);
    let mut settle_ms = None;
    for (offset, &(time_ms, host, version, term_ms)) in (0..).zip(records) {
        let decision = state.apply(&record(offset, time_ms, host, version, term_ms)).unwrap();
        assert_eq!(decision.fence, offset);
        settle_ms = decision.granted.first().map(|Granted { settle_ms, .. }| *settle_ms);
    }
    settle_ms
}

#[test]
fn an_engine_has_one_holder_at_a_time() {
    let end = TERM_MS;
    let cases: [(&[Row], Option<u64>); 10] = [
        (&[(0, "a", 1, TERM_MS)], Some(0)),
        (&[(0, "a", 1, TERM_MS), (end - 1, "b", 1, TERM_MS)], None),
        (&[(0, "a", 1, TERM_MS), (end, "b", 1, TERM_MS)], Some(SETTLE_MS)),
        (&[(0, "a", 1, TERM_MS), (end + SETTLE_MS, "b", 1, TERM_MS)], Some(0)),
        (&[(0, "a", 1, TERM_MS), (9, "a", 1, TERM_MS)], Some(0)),
        (&[(0, "a", 1, TERM_MS), (9, "a", 1, TERM_MS), (end, "b", 1, TERM_MS)], None),
        (&[(0, "a", 1, TERM_MS), (9, "a", 1, 0), (10, "b", 1, TERM_MS)], Some(SETTLE_MS - 1)),
        (&[(0, "a", 1, TERM_MS), (9, "b", 1, 0), (10, "b", 1, TERM_MS)], None),
        (&[(0, "a", 2, TERM_MS), (end, "b", 1, TERM_MS)], None),
        (
            &[
                (0, "a", 1, TERM_MS),
                (end, "b", 1, TERM_MS),
                (end + 5, "b", 1, 0),
                (end + 6, "b", 1, TERM_MS),
            ],
            Some(SETTLE_MS - 6),
        ),
    ];
    for (records, expected) in cases {
        assert_eq!(last_settle_ms(records), expected, "{records:?}");
    }
}

#[test]
fn nothing_is_granted_while_an_unread_lease_may_be_active() {
    let wait_ms = TERM_MS + SETTLE_MS;
    let granted = |state: &mut State, offset, time_ms| {
        let decision = state.apply(&record(offset, time_ms, "b", 1, TERM_MS)).unwrap();
        !decision.granted.is_empty()
    };
    let mut gap = State::new(0, 0);
    assert!(!granted(&mut gap, 5, 1_000));
    assert!(!granted(&mut gap, 6, 999 + wait_ms));
    assert!(granted(&mut gap, 7, 1_000 + wait_ms));
    let mut unknown = State::new(5, UNKNOWN_START_MS);
    assert!(!granted(&mut unknown, 5, 1_000));
    assert!(granted(&mut unknown, 6, 1_000 + wait_ms));
}

#[test]
fn records_with_arbitrary_content_are_applied_or_skipped() {
    let mut random = StdRng::seed_from_u64(3);
    let mut state = State::new(0, 0);
    for offset in 0..20_000 {
        let mut body = record(offset, 0, "a", 1, TERM_MS).body.to_vec();
        let position = random.random_range(0..body.len());
        random.fill_bytes(&mut body[position..]);
        body.truncate(random.random_range(0..=position + 3));
        state.apply(&log::Record { offset, time_ms: 0, body: body.into() });
    }
    assert_eq!(state.next_offset(), 20_000);
}

#[test]
fn an_order_is_serialised_as_the_engine_protocol_specifies() {
    let kind = Kind::LoadAdapter { model: "m".to_owned(), adapter: "a".to_owned() };
    let order = Order { order_id: uuid::Uuid::nil().hyphenated(), fence: 17, kind };
    let text = serde_json::to_string(&order).unwrap();
    let expected = "{\"order_id\":\"00000000-0000-0000-0000-000000000000\",\"fence\":17,\
                    \"kind\":\"load_adapter\",\"model\":\"m\",\"adapter\":\"a\"}";
    assert_eq!(text, expected);
}
