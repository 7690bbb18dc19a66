//! Tests of the membership experiment's arithmetic and parsing.

use super::flags::Sizes;
use super::fleet::counter;
use super::report::Line;

#[test]
fn fits_are_extrapolated_to_the_design_size() {
    let line = Line::new("x", 9.0, &[(9.0, 19.0), (36.0, 73.0), (90.0, 181.0)]);

    assert!((line.slope - 2.0).abs() < 1e-9);
    assert!((line.at_360 - 721.0).abs() < 1e-9);
    assert_eq!(Line::new("x", 9.0, &[(9.0, 5.0)]).slope, 0.0);
}

#[test]
fn counters_are_matched_by_full_name() {
    let text = "# HELP a_total x\na_total_more 3\na_total 7\n";

    assert_eq!(counter(text, "a_total"), Some(7.0));
    assert_eq!(counter(text, "a"), None);
}

#[test]
fn sizes_outside_the_range_are_rejected() {
    for (text, expected) in
        [("9,36", Some(vec![9, 36])), ("2", None), ("401", None), ("", None), ("9,", None)]
    {
        assert_eq!(text.parse().ok().map(|sizes: Sizes| sizes.0), expected, "{text}");
    }
}
