use super::stream::Stream;

fn stream(count: u64) -> Stream {
    let mut stream = Stream::default();
    for time_ms in 0..count {
        stream.append(time_ms, "x".into());
    }
    stream
}

#[test]
fn read_returns_first_next_and_records() {
    // ((appended records, retained records, oldest time, first offset read, limit), (first, next, records read))
    let cases = [
        ((0, 9, 0, 0, 9), (0, 0, 0)),
        ((5, 9, 0, 0, 9), (0, 5, 5)),
        ((5, 9, 0, 0, 2), (0, 2, 2)),
        ((5, 2, 0, 0, 9), (3, 5, 2)),
        ((5, 9, 4, 1, 9), (4, 5, 1)),
        ((5, 9, 9, 0, 9), (5, 5, 0)),
        ((5, 9, 0, 5, 9), (0, 5, 0)),
        ((5, 9, 0, 8, 9), (0, 8, 0)),
    ];
    for ((count, retained, oldest_ms, from, limit), expected) in cases {
        let mut stream = stream(count);
        stream.retain(retained, oldest_ms);

        let batch = stream.read(from, limit);

        assert_eq!((batch.first, batch.next, batch.records.len()), expected);
    }
}
