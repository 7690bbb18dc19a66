//! Fingerprints, by which hosts recognise a request that is sent again.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name;

/// Hash of a request.
///
/// ```
/// use nutmeghead::fingerprint::Fingerprint;
/// assert_ne!(Fingerprint::new("POST", "/a", b"x"), Fingerprint::new("POST", "/ax", b""));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Hashes the method, path and body of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        Self::from(hasher.finalize())
    }

    /// The fingerprint of a request that has another field as well, such as its caller.
    ///
    /// ```
    /// use nutmeghead::fingerprint::Fingerprint;
    /// let request = Fingerprint::new("GET", "/a", b"");
    /// assert_ne!(request.with("caller-1"), request.with("caller-2"));
    /// ```
    pub fn with(self, field: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_be_bytes());
        hasher.update(field.as_bytes());
        Self::from(hasher.finalize())
    }
}

impl From<blake3::Hash> for Fingerprint {
    fn from(hash: blake3::Hash) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Start of the names of whole requests among parts of prompts.
const REQUEST_PREFIX: &str = "request-";

impl TryFrom<Fingerprint> for name::Part {
    type Error = name::Error;

    /// The whole request as the last part of its content.
    fn try_from(fingerprint: Fingerprint) -> Result<Self, name::Error> {
        Self::new(format!("{REQUEST_PREFIX}{fingerprint}"))
    }
}
