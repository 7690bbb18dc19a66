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

#[test]
fn splitter_passes_whole_events_unchanged_however_they_are_cut() {
    for cut in 0..TEXT.len() {
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        for piece in [&TEXT[..cut], &TEXT[cut..]] {
            passed.extend_from_slice(&splitter.push(piece).unwrap());
        }
        assert_eq!(passed, TEXT, "{cut}");
        assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"2"[..]));
        assert_eq!((splitter.passed(), splitter.rest().len()), (2, 0));
    }
}

#[test]
fn splitter_keeps_an_unfinished_event_back() {
    let mut splitter = Splitter::default();
    let passed = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(passed, "id: 1\ndata: a\n\n");
    assert_eq!(splitter.rest(), "id: 2\nda");
}

#[test]
fn splitter_leaves_out_what_was_passed_before() {
    let mut splitter = Splitter::new(Some("41".into()));
    let passed =
        splitter.push(b"id: 40\ndata: a\n\nid: 41\ndata: b\n\nid: 42\ndata: c\n\n").unwrap();
    assert_eq!(passed, "id: 42\ndata: c\n\n");
}

#[test]
fn splitter_bounds_the_memory_of_one_event() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]), Err(Error::Large));
}
