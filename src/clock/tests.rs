use super::{Reading, parse_uptime};

#[test]
fn elapsed_time_is_that_of_the_clock_that_advanced_most() {
    let reading = |monotonic_ms, boot_ms, wall_ms| Reading { monotonic_ms, boot_ms, wall_ms };
    let start = reading(100, Some(100), 1_000);
    let cases = [
        (reading(105, Some(105), 1_005), 5),
        (reading(105, Some(900), 1_005), 800),
        (reading(105, Some(105), 4_000), 3_000),
        (reading(105, None, 0), 5),
        (reading(0, Some(0), 0), 0),
    ];
    for (now, expected) in cases {
        assert_eq!(now.since(start), expected, "{now:?}");
    }
}

#[test]
fn uptime_is_parsed_and_malformed_text_is_rejected() {
    let cases = [
        ("35.07 80.20\n", Some(35_070)),
        ("0.00 0.00", Some(0)),
        ("35 80", None),
        ("-1.00 0", None),
        ("18446744073709551615.00 0", None),
        ("", None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_uptime(text), expected, "{text:?}");
    }
}
