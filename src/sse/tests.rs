use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

const TEXT: &[u8] =
    b": hello\n\nid: 1\ndata: a\n\nid:2\r\nevent: error\r\ndata: b: c\r\n\r\n\n\ndata: [DONE]\n\n";

fn event(id: Option<&'static str>, kind: Option<&'static str>, data: &'static str) -> Event {
    Event { id: id.map(Bytes::from), kind: kind.map(Bytes::from), data: data.into() }
}

fn parse_all(chunks: &[&[u8]]) -> Vec<Event> {
    let mut parser = Parser::new();
    let mut events = Vec::new();
    for chunk in chunks {
        parser.push(chunk);
        while let Some(event) = parser.next_event().unwrap() {
            events.push(event);
        }
    }
    events
}

#[test]
fn parses_the_same_events_at_every_split() {
    let expected = [
        event(Some("1"), None, "a"),
        event(Some("2"), Some("error"), "b: c"),
        event(None, None, "[DONE]"),
    ];
    for first in 0..TEXT.len() {
        for second in first..TEXT.len() {
            let chunks = [&TEXT[..first], &TEXT[first..second], &TEXT[second..]];
            assert_eq!(parse_all(&chunks), expected, "{first} {second}");
        }
    }
}

#[test]
fn rejects_an_event_that_is_too_large() {
    let mut parser = Parser::new();
    parser.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(parser.next_event(), Err(Error::TooLarge));
}

#[test]
fn parses_random_bytes_without_panic() {
    let mut random = StdRng::seed_from_u64(2);
    for _ in 0..500 {
        let bytes: Vec<u8> =
            (0..200).map(|_| b"id:data event\n\r\n\n\xff"[random.random_range(0..17)]).collect();
        parse_all(&[&bytes]);
    }
}

#[test]
fn splitter_forwards_complete_events_unchanged_at_every_split() {
    for split in 0..TEXT.len() {
        let mut splitter = Splitter::default();
        let mut forwarded = Vec::new();
        for chunk in [&TEXT[..split], &TEXT[split..]] {
            forwarded.extend_from_slice(&splitter.push(chunk).unwrap());
        }
        assert_eq!(forwarded, TEXT, "{split}");
        assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"2"[..]));
        assert_eq!((splitter.forwarded_events(), splitter.finish()), (2, Ok(Bytes::new())));
    }
}

#[test]
fn splitter_buffers_an_incomplete_event() {
    let mut splitter = Splitter::default();
    let forwarded = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(forwarded, "id: 1\ndata: a\n\n");
    assert_eq!((splitter.unfinished_bytes(), splitter.finish()), (8, Err(UnfinishedEvent)));
}

#[test]
fn splitter_omits_events_already_forwarded() {
    let mut splitter = Splitter::new(Some("41".into()));
    let forwarded =
        splitter.push(b"id: 40\ndata: a\n\nid: 41\ndata: b\n\nid: 42\ndata: c\n\n").unwrap();
    assert_eq!(forwarded, "id: 42\ndata: c\n\n");
}

#[test]
fn splitter_rejects_an_event_that_is_too_large() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]), Err(Error::TooLarge));
}

/// A splitter after the events with these ids.
fn splitter_after(ids: &[&str]) -> Splitter {
    let mut splitter = Splitter::default();
    for id in ids {
        splitter.push(format!("id: {id}\ndata: x\n\n").as_bytes()).unwrap();
    }
    splitter
}

/// Guards against a response that does not continue a stream and is joined to it.
#[test]
fn splitter_joins_nothing_but_the_next_event() {
    let next = "id: 3\ndata: x\n\n";
    let accepted = [
        next.to_owned(),
        format!(": comment\n\n{next}"),
        format!(":\r\n\r\nretry: 5\n\n\n\n{next}"),
        format!("id: 1\ndata: x\n\nid: 2\ndata: x\n\n{next}"),
    ];
    for text in accepted {
        let mut splitter = splitter_after(&["1", "2"]).continuing();
        assert_eq!(splitter.push(text.as_bytes()).unwrap(), next, "{text:?}");
        assert_eq!(splitter.finish(), Ok(Bytes::new()), "{text:?}");
    }
    let refused = [
        "odd\n\n",
        "data: odd\n\n",
        "event: error\ndata: odd\n\n",
        "{\"error\": \"odd\"}\n\n",
        "HTTP/1.1 500 Odd\r\nserver: odd\r\n\r\n",
        "id: x\ndata: odd\n\n",
        "id: 4\ndata: odd\n\n",
        ": comment\n\nodd\n\n",
        "id: 2\ndata: x\n\nid: 4\ndata: odd\n\n",
    ];
    for text in refused {
        let mut splitter = splitter_after(&["1", "2"]).continuing();
        assert_eq!(splitter.push(text.as_bytes()), Err(Error::NotContinued), "{text:?}");
    }
}

/// Guards against a continuation without any event that is taken for the rest of a stream.
#[test]
fn splitter_does_not_finish_before_a_continuation_has_begun() {
    for text in ["", ": comment\n\n", "id: 2\ndata: x\n\n"] {
        let mut splitter = splitter_after(&["1", "2"]).continuing();
        assert_eq!(splitter.push(text.as_bytes()).unwrap(), "", "{text:?}");
        assert_eq!(splitter.finish(), Err(UnfinishedEvent), "{text:?}");
    }
}

/// Guards against a rule for ids that streams need not keep: those that rise by more than 1, and those that are no numbers.
#[test]
fn splitter_joins_streams_with_other_ids() {
    for (ids, next) in [(&["4", "8"], "16"), (&["a", "b"], "c"), (&["1", "3"], "4")] {
        let text = format!("id: {next}\ndata: x\n\n");
        let mut splitter = splitter_after(ids).continuing();
        assert_eq!(splitter.push(text.as_bytes()).unwrap(), text, "{ids:?}");
    }
    let text = "data: without id\n\n";
    assert_eq!(Splitter::default().continuing().push(text.as_bytes()).unwrap(), text);
}

/// Guards against events that are lost because a duplicate follows them.
#[test]
fn splitter_omits_duplicates_between_events() {
    let mut splitter = Splitter::default();
    let text = "id: 1\n\nid: 2\n\nid: 1\n\nid: 3\n\nid: 3\n\nid: 4\n\n";
    let forwarded = splitter.push(text.as_bytes()).unwrap();
    assert_eq!(forwarded, "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
}

/// Guards against work on an incomplete event that grows with the square of its bytes or lines.
#[test]
fn no_byte_of_an_incomplete_event_is_scanned_again() {
    for (part, end) in [(":\n", "\n"), (":\r\n", "\r\n"), ("a", "\n\n"), ("\r", "\n\r\n")] {
        let (mut splitter, mut parser) = (Splitter::default(), Parser::new());
        for _ in 0..1_000 {
            parser.push(part.as_bytes());
            assert_eq!(parser.next_event(), Ok(None));
            assert_eq!(splitter.push(part.as_bytes()).unwrap(), "");
            assert!(parser.buffer.len() - parser.scanned <= part.len(), "parser, {part:?}");
            assert!(splitter.buffer.len() - splitter.scanned <= part.len(), "splitter, {part:?}");
        }
        let rest = splitter.push(end.as_bytes()).unwrap();
        assert_eq!(rest, part.repeat(1_000) + end);
        assert_eq!(splitter.finish(), Ok(Bytes::new()));
    }
}
