//! Mutations of valid inputs, for tests of decoders of outside input. Each run has the same inputs.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Mutated inputs of one test.
const CASES: u32 = 512;

/// Most changes of one input.
const MAX_CHANGES: usize = 4;

/// A change of an input at a position, which is reduced to the length of the input.
#[derive(Clone, Debug)]
enum Change {
    Replace(usize, u8),
    Insert(usize, Vec<u8>),
    Remove(usize, usize),
    Truncate(usize),
}

/// Bytes that decoders take for the largest numbers and lengths.
fn extreme() -> impl Strategy<Value = Vec<u8>> {
    let varint = [vec![0xff; 9], vec![1]].concat();
    let texts = [&b"99999999999999999999"[..], b"1e308", b"-1", b"18446744073709551615", b"\xff"];
    let texts = texts.map(<[u8]>::to_vec).to_vec();
    prop_oneof![Just(varint), Just(vec![0xff; 4]), Just(vec![0; 8]), prop::sample::select(texts)]
}

fn change() -> impl Strategy<Value = Change> {
    let position = any::<usize>();
    let inserted = prop_oneof![extreme(), prop::collection::vec(any::<u8>(), 1..8)];
    prop_oneof![
        3 => (position, any::<u8>()).prop_map(|(at, byte)| Change::Replace(at, byte)),
        3 => (position, inserted).prop_map(|(at, bytes)| Change::Insert(at, bytes)),
        2 => (position, 1..16_usize).prop_map(|(at, length)| Change::Remove(at, length)),
        1 => position.prop_map(Change::Truncate),
    ]
}

fn apply(mut input: Vec<u8>, change: &Change) -> Vec<u8> {
    let reduced = |at: &usize| at % (input.len() + 1);
    match change {
        Change::Replace(at, byte) => {
            let at = reduced(at);
            input.splice(at..(at + 1).min(input.len()), [*byte]);
        }
        Change::Insert(at, bytes) => {
            let at = reduced(at);
            input.splice(at..at, bytes.iter().copied());
        }
        Change::Remove(at, length) => {
            let at = reduced(at);
            input.drain(at..(at + length).min(input.len()));
        }
        Change::Truncate(at) => input.truncate(reduced(at)),
    }
    input
}

/// Calls `check` with mutations of `samples`, and some samples as they are, from a fixed seed. The test fails if it panics.
pub(crate) fn check(samples: Vec<Vec<u8>>, check: impl Fn(Vec<u8>)) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    };
    let changes = prop::collection::vec(change(), 0..=MAX_CHANGES);
    let inputs = (prop::sample::select(samples), changes)
        .prop_map(|(sample, changes)| changes.iter().fold(sample, apply));
    let result = TestRunner::new(config).run(&inputs, |input| {
        check(input);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
