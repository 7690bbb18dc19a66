use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

fn identity() -> Identity {
    Identity {
        engine: name::Engine::new("engine-07").unwrap(),
        generation: Uuid::from_u128(11),
        attempt: Uuid::from_u128(12),
        organisation: name::Organisation::new("rumbo-ops").unwrap(),
        workload: name::Workload::new("rebuild").unwrap(),
    }
}

fn token(key: &Key, next: u64) -> String {
    let mut out = Vec::new();
    key.signer(&identity()).unwrap().write(next, &mut out);
    String::from_utf8(out).unwrap()
}

#[test]
fn verifies_its_own_tokens() {
    let key = Key::new(&[1; 32]);
    for next in [0, 1, 17, u64::from(u32::MAX), u64::MAX] {
        let position = key.verify(&token(&key, next), &identity().organisation).unwrap();
        assert_eq!(position, Position { identity: identity(), next });
    }
}

#[test]
fn rejects_other_keys_and_organisations() {
    let key = Key::new(&[1; 32]);
    let other = name::Organisation::new("other").unwrap();

    assert_eq!(key.verify(&token(&key, 3), &other), Err(Error::WrongOrganisation));
    assert_eq!(
        Key::new(&[2; 32]).verify(&token(&key, 3), &identity().organisation),
        Err(Error::InvalidTag)
    );
}

#[test]
fn rejects_every_altered_token() {
    let key = Key::new(&[1; 32]);
    let valid = token(&key, 17);
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let mut bytes = valid.clone().into_bytes();
        let index = random.random_range(0..bytes.len());
        bytes[index] = random.random_range(b'!'..=b'~');
        let altered = String::from_utf8(bytes).unwrap();
        if altered != valid {
            assert!(key.verify(&altered, &identity().organisation).is_err(), "{altered}");
        }
    }
}
