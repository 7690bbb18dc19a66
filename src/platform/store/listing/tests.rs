//! Tests of listings that the store returns page by page.

use serde_json::json;

use super::*;

fn page(keys: &[&str], has_more: bool) -> Vec<u8> {
    let items: Vec<_> = keys.iter().map(|key| json!({"key": key, "value": "eA=="})).collect();
    json!({"items": items, "has_more": has_more, "end": 7}).to_string().into_bytes()
}

#[test]
fn the_cursor_is_the_escaped_last_key() {
    let cases = [
        ("i-7.f_3~", "&after=i-7.f_3~"),
        ("a&b=c", "&after=a%26b%3Dc"),
        ("a+b c", "&after=a%2Bb%20c"),
        ("a#b%2", "&after=a%23b%252"),
        ("\u{fc}", "&after=%C3%BC"),
        ("", "&after="),
    ];
    for (key, query) in cases {
        let mut listing = Listing::default();

        let is_last = listing.add(&page(&["0", key], true));

        assert_eq!((is_last, listing.query().as_str()), (Ok(false), query), "{key:?}");
    }
}

#[test]
fn a_listing_has_the_records_of_all_pages_and_the_end_of_the_first() {
    let mut listing = Listing::default();
    listing.add(&page(&["a", "b"], true)).unwrap();
    let second = String::from_utf8(page(&["c"], false)).unwrap().replace('7', "9");

    assert_eq!(listing.add(second.as_bytes()), Ok(true));

    let (records, end) = listing.finish();
    assert!(records.iter().map(|record| record.key.as_str()).eq(["a", "b", "c"]));
    assert_eq!(end, 7);
}

/// Guards against a listing that asks for the same pages again and again.
#[test]
fn a_listing_that_makes_no_progress_fails() {
    let cases: [&[&[&str]]; 4] =
        [&[&[]], &[&["a"], &["a"]], &[&[""], &[""]], &[&["a"], &["b"], &["a"]]];
    for pages in cases {
        let mut listing = Listing::default();
        let (last, pages) = pages.split_last().unwrap();
        for keys in pages {
            listing.add(&page(keys, true)).unwrap();
        }

        assert_eq!(listing.add(&page(last, true)), Err(Error::Malformed), "{last:?}");
    }
}

#[test]
fn a_listing_without_an_end_fails() {
    let mut listing = Listing::default();

    let failed_at =
        (1..).find(|number| listing.add(&page(&[&format!("k-{number}")], true)).is_err());

    assert!(failed_at.unwrap() <= MAX_PAGES);
}

#[test]
fn a_listing_that_does_not_fit_in_memory_fails() {
    let long = "k".repeat(1 << 20);
    let mut listing = Listing::default();

    let failed_at =
        (1..).find(|number| listing.add(&page(&[&format!("{number}{long}")], true)).is_err());

    assert!(failed_at.unwrap() <= 10);
}

/// Guards against a listing that leaves out the records after an item without a key, and against one that never ends.
#[test]
fn the_next_page_begins_after_the_last_item_with_a_key() {
    let page = |items: &str| format!(r#"{{"items":[{items}],"has_more":true,"end":7}}"#);
    let mut listing = Listing::default();

    let first = listing.add(page(r#"{"key":"a","value":"eA=="},{"key":7}"#).as_bytes());

    assert_eq!((first, listing.query().as_str()), (Ok(false), "&after=a"));
    assert_eq!(listing.add(page("{\"key\":7}").as_bytes()), Err(Error::Malformed));
}

/// Guards against an evacuation that ends because the value of its record cannot be decoded.
#[test]
fn a_record_whose_value_cannot_be_decoded_exists() {
    for item in [r#"{"key":"a"}"#, r#"{"key":"a","value":7}"#, r#"{"key":"a","value":"?"}"#] {
        let mut listing = Listing::default();
        listing.add(format!(r#"{{"items":[{item}],"end":7}}"#).as_bytes()).unwrap();

        let (records, _) = listing.finish();

        let expected = Record { key: "a".to_owned(), value: Some(Default::default()) };
        assert_eq!(records, [expected], "{item}");
    }
}
