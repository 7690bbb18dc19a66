use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use uuid::Uuid;

use super::cache::Journal;
use super::generation::Identity;
use super::length;

#[test]
fn token_event_is_valid_json() {
    let identity = Identity::new(Uuid::nil(), "a\"b".to_owned(), "m\n".to_owned());
    for (index, finish) in [(0, None), (9, None), (10, Some("stop")), (u32::MAX, Some("length"))] {
        let mut output = Vec::new();

        identity.write(&mut output, index, None, finish);

        let text = String::from_utf8(output).expect("text");
        let (id, data) = text.split_once("\ndata: ").expect("two lines");
        let data: serde_json::Value = serde_json::from_str(data).expect("JSON");
        assert_eq!(id, format!("id: {index}"));
        assert_eq!((&data["request_id"], &data["model"]), (&json!("a\"b"), &json!("m\n")));
        assert_eq!(
            data["choices"][0],
            json!({ "index": 0, "text": format!(" t{index}"), "finish_reason": finish })
        );
        assert!(text.ends_with("\n\n"));
    }
}

#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let mut journal = Journal::new(1, 3);
    for prefix in 1..=5 {
        journal.update(prefix * 1_000, vec![prefix]);
    }

    let page = |now_us, from| serde_json::to_value(journal.read(now_us, from)).expect("JSON");
    let numbers = |page: &serde_json::Value| -> Vec<u64> {
        page["events"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|event| event["seq"].as_u64())
            .collect()
    };

    assert_eq!(numbers(&page(3_000, 0)), [0, 1, 2]);
    assert_eq!(numbers(&page(9_000, 2)), [2, 4, 5, 7, 8]);
    assert_eq!(page(9_000, 9), json!({ "events": [], "next": 9 }));
}

#[test]
fn output_length_is_requested_or_random() {
    let mut rng = StdRng::seed_from_u64(3);
    for (prompt, expected) in [("len=7 x", 7), ("x len=0", 1), ("x len=70", 70)] {
        assert_eq!(length::output_tokens(prompt, &mut rng), expected);
    }
    let mut random: Vec<u32> =
        (0..1_000).map(|_| length::output_tokens("len=x", &mut rng)).collect();
    random.sort_unstable();
    assert!(random[0] >= 20 && random[500] < 100 && random[990] > 500, "{random:?}");
}
