//! Tests of the bounds on the age of the cached document.

use std::time::Duration;

use super::{Bounds, Purpose};

#[test]
fn cached_keys_expire_before_a_removed_key_must_be_rejected() {
    let cases = [(5_000, 2_000), (5_000, 3_000), (1_000, 2_000)];
    for (revocation_ms, configuration_ms) in cases {
        let bounds = Bounds::new(
            Duration::from_millis(revocation_ms),
            Duration::from_millis(configuration_ms),
        );
        assert!(bounds.allows(Purpose::Dispatch, 0) && bounds.allows(Purpose::Denial, 0));
        // A twentieth remains for rounding and drift.
        assert!(bounds.allows(Purpose::Dispatch, revocation_ms * 95 / 100));
        assert!(!bounds.allows(Purpose::Dispatch, revocation_ms * 95 / 100 + 1));
        assert!(bounds.allows(Purpose::Continuation, u64::MAX));
        // An age that allows a denial allows a dispatch.
        for age_ms in 0..revocation_ms {
            let denied = bounds.allows(Purpose::Denial, age_ms);
            assert!(!denied || bounds.allows(Purpose::Dispatch, age_ms), "{age_ms}");
        }
    }
}
