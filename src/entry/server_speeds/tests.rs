//! Tests of the message with the speeds of servers.

use super::{MAX_STATED, ServerSpeed};
use crate::directory::Incarnation;
use crate::name;
use crate::wire;

fn speed() -> ServerSpeed {
    let incarnation = Incarnation { id: name::Server::new("e-1").unwrap(), started_ms: 7 };
    ServerSpeed {
        incarnation,
        events: 20,
        interval_us: 40_500,
        longest_us: 90_000,
        generations_milli: 6_000,
        prefill_milli: 250,
        stated_percent: vec![100, 250],
    }
}

#[test]
fn a_speed_is_passed_on() {
    let bytes = wire::encode(&speed()).unwrap();
    let decoded: ServerSpeed = wire::decode(&bytes).unwrap();
    let sample = decoded.sample().unwrap();
    assert_eq!((sample.events, sample.interval_ms, sample.prefill), (20, 40.5, 0.25));
    assert_eq!(decoded.stated(), [1.0, 2.5]);
}

/// Guards against a message of another build, or a broken one, that makes servers look infinitely slow or fast.
#[test]
fn absurd_values_of_another_host_are_ignored() {
    for absurd in [
        ServerSpeed { events: 0, ..speed() },
        ServerSpeed { events: u32::MAX, ..speed() },
        ServerSpeed { interval_us: 0, ..speed() },
        ServerSpeed { interval_us: u32::MAX, ..speed() },
        ServerSpeed { longest_us: u32::MAX, ..speed() },
        ServerSpeed { generations_milli: u32::MAX, ..speed() },
        ServerSpeed { prefill_milli: 1_001, ..speed() },
    ] {
        assert_eq!(absurd.sample(), None, "{absurd:?}");
    }
    let many = ServerSpeed { stated_percent: vec![100; 9_999], ..speed() };
    assert_eq!(many.stated().len(), MAX_STATED);
    let absurd = ServerSpeed { stated_percent: vec![0, 9, 10_001, u32::MAX, 150], ..speed() };
    assert_eq!(absurd.stated(), [1.5]);
}
