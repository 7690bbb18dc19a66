//! Bounds on the age of the cached operators' document, by purpose.

use std::time::Duration;

/// Age up to which cached keys are used, as a fraction of the time after which a removed key must be rejected. A
/// request is checked after its caller sent it, so the rest only covers rounding and drift of clocks.
const KEY_FRACTION: f64 = 0.95;

/// Age of the cached document up to which a host responds that a route or key does not exist, as a multiple of the
/// time within which an accepted document must be in force. Updates arrive immediately over a working connection, so
/// an older document means that the connection fails.
const DENIAL_FACTOR: f64 = 1.4;

/// Time for which a document is used after this host learnt that a newer one was accepted, as a fraction of the time
/// within which the newer one must be in force. The rest is for the notice and for requests on their way.
const SUPERSEDED_FRACTION: f64 = 0.75;

/// Highest ages of the cached document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// For sending a request with a key to a server.
    key_ms: u64,
    /// For a response that a key or route does not exist.
    denial_ms: u64,
    /// For any use other than a continuation, since this host learnt of a newer document.
    superseded_ms: u64,
}

/// Purpose for which the cached document is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Sending a request to a server.
    Dispatch,
    /// Responding that a key or route does not exist.
    Denial,
    /// Continuing a request that was admitted while the document was fresh.
    Continuation,
}

impl Bounds {
    /// Bounds that keep the operators' guarantees: no request runs with a key that was removed more than `revocation`
    /// ago, and an accepted document is in force within `configuration`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmeghead::freshness::{Bounds, Purpose};
    /// let bounds = Bounds::new(Duration::from_secs(5), Duration::from_secs(2));
    /// assert!(bounds.allows(Purpose::Dispatch, 3_000) && !bounds.allows(Purpose::Denial, 3_000));
    /// ```
    pub fn new(revocation: Duration, configuration: Duration) -> Self {
        let scaled = |time: Duration, factor| time.mul_f64(factor).as_millis() as u64;
        Self {
            key_ms: scaled(revocation, KEY_FRACTION),
            denial_ms: scaled(configuration, DENIAL_FACTOR).min(scaled(revocation, KEY_FRACTION)),
            superseded_ms: scaled(configuration, SUPERSEDED_FRACTION),
        }
    }

    /// Whether a document that was confirmed `age_ms` ago may be used for `purpose`.
    pub fn allows(&self, purpose: Purpose, age_ms: u64) -> bool {
        match purpose {
            Purpose::Dispatch => age_ms <= self.key_ms,
            Purpose::Denial => age_ms <= self.denial_ms,
            Purpose::Continuation => true,
        }
    }

    /// Whether a document may be used for `purpose`, `superseded_ms` after this host learnt that a newer one was accepted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmeghead::freshness::{Bounds, Purpose};
    /// let bounds = Bounds::new(Duration::from_secs(5), Duration::from_secs(2));
    /// assert!(bounds.allows_superseded(Purpose::Dispatch, 1_500));
    /// assert!(!bounds.allows_superseded(Purpose::Dispatch, 1_501));
    /// ```
    pub fn allows_superseded(&self, purpose: Purpose, superseded_ms: u64) -> bool {
        purpose == Purpose::Continuation || superseded_ms <= self.superseded_ms
    }
}

#[cfg(test)]
mod tests;
