//! Tests of lists of the store and of engines: a record of any form does not affect the others.

use bytes::{BufMut as _, Bytes, BytesMut};

use crate::platform::engine;
use crate::platform::store::{Batch, Error, Record, parse_read};

/// Guards against a leaving engine whose generations are lost because of one malformed run in its report.
#[test]
fn a_malformed_run_does_not_affect_the_rest_of_a_report() {
    let odd: [&[u8]; 7] = [
        b"null",
        b"{}",
        b"[]",
        br#"["r-2"]"#,
        br#"[7,1,1,0]"#,
        br#"["r-2","1",1,0]"#,
        b"[\"\xff\",null,1,0]",
    ];
    for run in odd {
        let runs = [run, br#"["r-1",90,4,0]"#, run].join(&b","[..]);
        let report = [&br#"{"state":"draining","born":7,"runs":["#[..], &runs, b"]}"].concat();

        let report = engine::parse_report(&report).unwrap();

        assert_eq!((report.leaving, report.started_ms), (true, Some(7)), "{run:?}");
        let runs: Vec<_> = report.runs.iter().map(|run| (&*run.id, run.tokens)).collect();
        assert_eq!(runs, [("r-1", 90)], "{run:?}");
    }
}

#[test]
fn records_of_a_keyed_topic_are_parsed() {
    let mut body = BytesMut::new();
    body.put_u64(42);
    body.put_u64(3);
    body.extend_from_slice(b"\x00\x00\x00\x04\x01kv1");
    body.extend_from_slice(b"\x00\x00\x00\x02\x01k");
    let record =
        |value: Option<&'static str>| Record { key: "k".to_owned(), value: value.map(Bytes::from) };
    let expected =
        Batch { records: vec![record(Some("v1")), record(None)], next: 42, end: 42, era: None };
    assert_eq!(parse_read(body.freeze(), 40), Ok(expected));
}

#[test]
fn a_truncated_read_response_is_malformed() {
    let mut body = BytesMut::new();
    body.put_u64(42);
    body.put_u64(3);
    body.extend_from_slice(b"\x00\x00\x00\x04\x01kv1");
    let body = body.freeze();
    for length in [0, 15, 17, 19, 20, 23] {
        assert_eq!(parse_read(body.slice(..length), 0), Err(Error::Malformed), "{length}");
    }
}

/// Guards against a record that hides those after it, and against a read that begins at the same record for ever.
#[test]
fn records_without_a_key_are_passed_over() {
    let record = Record { key: "k".to_owned(), value: Some(Bytes::from_static(b"v")) };
    let odd: [&[u8]; 4] = [b"", b"\x09k", b"\x02\xff\xffv", b"\x01"];
    for content in odd {
        let mut body = BytesMut::new();
        body.put_u64(9);
        body.put_u64(3);
        body.put_u32(content.len() as u32);
        body.extend_from_slice(content);
        body.extend_from_slice(b"\0\0\0\x03\x01kv");

        let batch = parse_read(body.freeze(), 7);

        let expected = Batch { records: vec![record.clone()], next: 9, end: 9, era: None };
        assert_eq!(batch, Ok(expected), "{content:?}");
    }
}

#[test]
fn the_records_before_an_incomplete_one_are_read() {
    let mut body = BytesMut::new();
    body.put_u64(9);
    body.put_u64(3);
    body.extend_from_slice(b"\0\0\0\x03\x01kv\xff\xff\xff\xff\x01kv");

    let batch = parse_read(body.freeze(), 7).unwrap();

    assert_eq!((batch.records.len(), batch.next, batch.end), (1, 8, 9));
}
