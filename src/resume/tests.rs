use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

fn stream() -> Stream {
    Stream {
        engine: name::Engine::new("engine-07").unwrap(),
        generation: Uuid::from_u128(11),
        request: Uuid::from_u128(12),
        organisation: name::Organisation::new("rumbo-ops").unwrap(),
        workload: name::Workload::new("rebuild").unwrap(),
    }
}

fn token(key: &Key, next: u64) -> String {
    let mut out = Vec::new();
    key.signer(&stream()).unwrap().write(next, &mut out);
    String::from_utf8(out).unwrap()
}

#[test]
fn opens_its_own_tokens() {
    let key = Key::new(&[1; 32]);
    for next in [0, 1, 17, u64::from(u32::MAX), u64::MAX] {
        let position = key.open(&token(&key, next), &stream().organisation).unwrap();
        assert_eq!(position, Position { stream: stream(), next });
    }
}

#[test]
fn refuses_other_keys_and_organisations() {
    let key = Key::new(&[1; 32]);
    let other = name::Organisation::new("other").unwrap();

    assert_eq!(key.open(&token(&key, 3), &other), Err(Error::Foreign));
    assert_eq!(
        Key::new(&[2; 32]).open(&token(&key, 3), &stream().organisation),
        Err(Error::Forged)
    );
}

#[test]
fn refuses_every_altered_token() {
    let key = Key::new(&[1; 32]);
    let good = token(&key, 17);
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let mut bytes = good.clone().into_bytes();
        let at = random.random_range(0..bytes.len());
        bytes[at] = random.random_range(b'!'..=b'~');
        let altered = String::from_utf8(bytes).unwrap();
        if altered != good {
            assert!(key.open(&altered, &stream().organisation).is_err(), "{altered}");
        }
    }
}
