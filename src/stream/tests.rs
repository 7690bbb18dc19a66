use super::*;

fn chunk(generation: u128, attempt: u128) -> String {
    let (generation, attempt) = (Uuid::from_u128(generation), Uuid::from_u128(attempt));
    format!(
        r#"{{"id":"{generation}","request_id":"{attempt}","choices":[{{"text":" t","finish_reason":null}}]}}"#
    )
}

#[test]
fn delivers_each_token_once_and_in_order() {
    let mut cursor = Cursor::new(Uuid::from_u128(1), Uuid::from_u128(2), 3);
    let cases = [
        (2, 1, 2, Decision::Duplicate),
        (3, 9, 2, Decision::Mismatched),
        (3, 1, 9, Decision::Mismatched),
        (4, 1, 2, Decision::Gap),
        (3, 1, 2, Decision::Deliver),
        (3, 1, 2, Decision::Duplicate),
        (4, 1, 2, Decision::Deliver),
    ];
    for (index, generation, attempt, decision) in cases {
        let text = chunk(generation, attempt);
        let chunk: engine::Chunk<'_> = serde_json::from_str(&text).unwrap();
        assert_eq!(cursor.accept(index, &chunk), decision, "{index} {generation} {attempt}");
    }
    assert_eq!(cursor.next(), 5);
}
