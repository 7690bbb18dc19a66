//! How old a belief may be for what is done on it.

use std::time::Duration;

/// Part of the time until a removed key must be dead for which a belief in keys holds. A request is checked after its
/// caller sent it, so only the clocks' rounding and drift need a reserve.
const KEY_SHARE: f64 = 0.95;

/// Part of the time until a document must be in force for which a host says that a route or key does not exist. News
/// comes at once over a sound connection, so an older belief means that the connection is not sound.
const DENIAL_SHARE: f64 = 1.4;

/// How old beliefs in the operators' document may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// For sending a request with a key to a server.
    key_ms: u64,
    /// For telling a caller that its key or route does not exist.
    denial_ms: u64,
}

/// What is about to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Sending a request to a server.
    Dispatch,
    /// Telling a caller that its key or route does not exist.
    Denial,
    /// Going on with a request that was let in while the belief was fresh.
    Continuation,
}

impl Bounds {
    /// Bounds that keep the operators' guarantees: `revocation` after a key was removed no request with it runs, and
    /// `configuration` after a document was accepted it is in force.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmeghead::freshness::{Bounds, Use};
    /// let bounds = Bounds::new(Duration::from_secs(5), Duration::from_secs(2));
    /// assert!(bounds.allows(Use::Dispatch, 3_000) && !bounds.allows(Use::Denial, 3_000));
    /// ```
    pub fn new(revocation: Duration, configuration: Duration) -> Self {
        let part = |whole: Duration, share| whole.mul_f64(share).as_millis() as u64;
        Self {
            key_ms: part(revocation, KEY_SHARE),
            denial_ms: part(configuration, DENIAL_SHARE).min(part(revocation, KEY_SHARE)),
        }
    }

    /// Whether a belief that was confirmed `age_ms` ago suffices.
    pub fn allows(&self, what: Use, age_ms: u64) -> bool {
        match what {
            Use::Dispatch => age_ms <= self.key_ms,
            Use::Denial => age_ms <= self.denial_ms,
            Use::Continuation => true,
        }
    }
}

#[cfg(test)]
mod tests;
