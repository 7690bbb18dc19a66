use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

const TEXT: &[u8] =
    b": hello\n\nid: 1\ndata: a\n\nid:2\r\nevent: error\r\ndata: b: c\r\n\r\n\n\ndata: [DONE]\n\n";

fn event(id: Option<&'static str>, kind: Option<&'static str>, data: &'static str) -> Event {
    Event { id: id.map(Bytes::from), kind: kind.map(Bytes::from), data: data.into() }
}

fn read(pieces: &[&[u8]]) -> Vec<Event> {
    let mut parser = Parser::new();
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(piece);
        while let Some(event) = parser.next_event().unwrap() {
            events.push(event);
        }
    }
    events
}

#[test]
fn reads_the_same_events_however_they_are_cut() {
    let expected = [
        event(Some("1"), None, "a"),
        event(Some("2"), Some("error"), "b: c"),
        event(None, None, "[DONE]"),
    ];
    for first in 0..TEXT.len() {
        for second in first..TEXT.len() {
            let pieces = [&TEXT[..first], &TEXT[first..second], &TEXT[second..]];
            assert_eq!(read(&pieces), expected, "{first} {second}");
        }
    }
}

#[test]
fn bounds_the_memory_of_one_event() {
    let mut parser = Parser::new();
    parser.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(parser.next_event(), Err(Error::Large));
}

#[test]
fn survives_generated_bytes() {
    let mut random = StdRng::seed_from_u64(2);
    for _ in 0..500 {
        let bytes: Vec<u8> =
            (0..200).map(|_| b"id:data event\n\r\n\n\xff"[random.random_range(0..17)]).collect();
        read(&[&bytes]);
    }
}
