use serde::Deserialize;

use super::*;

#[derive(Debug, PartialEq, Eq, Deserialize)]
struct Element {
    name: String,
}

#[derive(Debug, Deserialize)]
struct Message {
    elements: List<Element>,
    end: u64,
}

#[test]
fn an_element_of_any_form_does_not_affect_the_others() {
    let deep = "[".repeat(500) + &"]".repeat(500);
    let odd: [&[u8]; 10] = [
        b"null",
        b"7",
        b"1e999",
        b"\"x\"",
        b"{}",
        br#"{"name":7}"#,
        br#"{"name":"x","name":"y"}"#,
        br#"{"name":"\udc00"}"#,
        b"{\"name\":[\"\xff\"]}",
        deep.as_bytes(),
    ];
    for element in odd {
        let text = [
            &br#"{"elements":["#[..],
            element,
            br#",{"name":"a"},"#,
            element,
            br#",{"name":"b"},"#,
            element,
            br#"],"end":7}"#,
        ];

        let message: Message = parse(&text.concat()).unwrap();

        let expected = |name: &str| Some(Element { name: name.to_owned() });
        assert_eq!(message.elements.0, [None, expected("a"), None, expected("b"), None]);
        let names = message.elements.parsed().map(|element| element.name);
        assert!(names.eq(["a", "b"]) && message.end == 7, "{element:?}");
    }
}

#[test]
fn a_message_that_is_malformed_otherwise_is_rejected() {
    for text in ["", "[]", r#"{"end":7}"#, r#"{"elements":{},"end":7}"#, r#"{"elements":[{]}"#] {
        assert!(parse::<Message>(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards against an element that exhausts the stack, or whose number ends the list.
#[test]
fn elements_of_any_depth_and_size_do_not_affect_the_others() {
    const NESTING: usize = 200_000;
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let objects = "{\"a\":".repeat(NESTING) + "1" + &"}".repeat(NESTING);
    let numbers = ["1e400", "-1e400", "1e-400", "18446744073709551616", "-9223372036854775809"];
    for odd in [&*nested, &objects, &"9".repeat(NESTING)].into_iter().chain(numbers) {
        for text in [format!("[1, {odd}, 2]"), format!("[{odd}, 1, 2, {odd}]")] {
            let list: List<u8> = parse(text.as_bytes()).unwrap();
            assert_eq!(list.parsed().collect::<Vec<_>>(), [1, 2]);
        }
    }
}
