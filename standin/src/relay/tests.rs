use super::report::Delay;
use super::stamp::Scanner;
use super::usage::{Usage, parse_waited_s};

#[test]
fn timestamps_are_found_across_chunk_boundaries() {
    let text = b"id: a\ndata: \" t0@1234\"}\n\nid: b\ndata: \" t1@99\"}\n\n";
    for size in 1..text.len() {
        let mut scanner = Scanner::default();
        let mut timestamps = Vec::new();

        text.chunks(size).for_each(|chunk| scanner.scan(chunk, &mut timestamps));

        assert_eq!(timestamps, [1_234, 99], "chunks of {size} bytes");
    }
}

#[test]
fn delay_quantiles_use_the_nearest_rank() {
    let hundred: Vec<u32> = (1..=100).collect();
    for (samples, p50_us, p99_us) in
        [(&hundred[..0], 0, 0), (&hundred[..1], 1, 1), (&hundred[..], 50, 99)]
    {
        assert_eq!(Delay::new(samples), Delay { p50_us, p99_us });
    }
}

#[test]
fn usage_is_parsed_after_a_command_name_with_parentheses_and_spaces() {
    let stat = "12 (a ) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20";

    let usage = Usage::parse(stat, "Name:\tx\nVmRSS:\t  2048 kB\n");

    assert_eq!(
        usage,
        Some(Usage { user_s: 1.5, system_s: 0.5, waited_s: None, resident_kib: 2_048 })
    );
    assert_eq!(Usage::parse("", ""), None);
}

#[test]
fn waiting_time_is_the_second_field_of_schedstat() {
    for (line, expected) in [("1000 2500000000 7\n", Some(2.5)), ("1000", None), ("1000 x 7", None)]
    {
        assert_eq!(parse_waited_s(line), expected);
    }
}
