use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

const LIMIT: u32 = 1_000;

#[test]
fn parses_a_request_and_forwards_its_other_fields() {
    let body = br#"{"model":"m","prompt":"hello there","stream":true,"temperature":0.2,"n":1}"#;

    let params = Params::parse(body, LIMIT).unwrap();
    let sent: Value = serde_json::from_slice(&params.to_engine_request(Uuid::nil(), 3)).unwrap();

    assert_eq!((params.model.as_str(), params.stream, params.max_tokens), ("m", true, None));
    assert_eq!(sent["temperature"], 0.2);
    assert_eq!(sent["priority"], 3);
    assert_eq!(sent["request_id"], Uuid::nil().to_string());
}

#[test]
fn names_the_invalid_field() {
    let cases = [
        ("", "JSON"),
        ("[]", "JSON"),
        (r#"{"prompt":"p"}"#, "model"),
        (r#"{"model":"m"}"#, "prompt"),
        (r#"{"model":"m","prompt":["p"]}"#, "prompt"),
        (r#"{"model":"m","prompt":"p","stream":"yes"}"#, "stream"),
        (r#"{"model":"m","prompt":"p","max_tokens":0}"#, "max_tokens"),
        (r#"{"model":"m","prompt":"p","max_tokens":1001}"#, "max_tokens"),
        (r#"{"model":"m","prompt":"p","max_tokens":1.5}"#, "max_tokens"),
        (r#"{"model":"m","prompt":"p","n":2}"#, "n"),
    ];
    for (body, word) in cases {
        let problem = Params::parse(body.as_bytes(), LIMIT).unwrap_err();
        assert_eq!(problem.kind, Kind::Malformed);
        assert!(problem.detail.unwrap().contains(word), "{body}");
    }
}

#[test]
fn parses_random_bodies_without_panic() {
    let valid = br#"{"model":"m","prompt":"p","stream":true,"max_tokens":5}"#;
    let mut random = StdRng::seed_from_u64(3);
    for _ in 0..2_000 {
        let mut body = valid.to_vec();
        for _ in 0..random.random_range(1..4) {
            let index = random.random_range(0..body.len());
            body[index] = random.random();
        }
        body.truncate(random.random_range(0..=body.len()));
        if let Err(problem) = Params::parse(&body, LIMIT) {
            assert_eq!(problem.kind, Kind::Malformed);
        }
    }
}
