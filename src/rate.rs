//! Limits that servers name for the requests of all hosts together.

use serde::{Deserialize, Serialize};

/// A limit in requests a second. Stored in thousandths, so that limits can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit(u64);

impl Limit {
    /// A limit of `per_s` requests a second; `None` for a negative one or one that is not a finite number.
    ///
    /// ```
    /// use nutmeghead::rate::Limit;
    /// assert_eq!(Limit::new(3.3).map(Limit::per_s), Some(3.3));
    /// assert!(Limit::new(-1.0).is_none() && Limit::new(f64::NAN).is_none());
    /// ```
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then(|| Self((per_s * 1_000.0).round() as u64))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}
