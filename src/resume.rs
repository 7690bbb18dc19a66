//! Signed resume tokens, with which a caller resumes a stream at any entry host.
//!
//! A resume token has three parts: the identity of the generation, the index of the next token to deliver, and a
//! message authentication code (a keyed BLAKE3 hash, the tag) over both. Entry hosts store no state per stream.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use std::io::Write as _;
use uuid::Uuid;

use crate::{name, wire};

#[cfg(test)]
mod tests;

/// Length of the tag, in bytes.
const TAG_BYTES: usize = 12;

/// Longest accepted resume token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 512;

const KEY_CONTEXT: &str = "nutmeghead 2026 resume token";

/// Why a resume token was rejected.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The text does not have the format of a resume token.
    #[error("the resume token is malformed")]
    Malformed,
    /// The tag does not match.
    #[error("the resume token is forged or altered")]
    InvalidTag,
    /// The resume token was issued to another organisation.
    #[error("the resume token belongs to another organisation")]
    WrongOrganisation,
}

/// The identity of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The engine that runs the generation.
    pub engine: name::Engine,
    /// The id that the engine assigned to the generation.
    pub generation: Uuid,
    /// The id of the attempt that started the generation, which the engine includes in every event.
    pub attempt: Uuid,
    /// The organisation that requested the generation.
    pub organisation: name::Organisation,
    /// The workload of the request.
    pub workload: name::Workload,
}

/// A position in the stream of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// The identity of the generation.
    pub identity: Identity,
    /// Index of the next token to deliver, from 0.
    pub next: u64,
}

/// The key that signs resume tokens; all entry hosts have the same one.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the fleet key.
    pub fn new(fleet_key: &[u8; 32]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, fleet_key))
    }

    /// Creates a signer for the resume tokens of one generation.
    ///
    /// # Errors
    ///
    /// Returns [`wire::Error`] if `identity` cannot be encoded.
    pub fn signer(&self, identity: &Identity) -> Result<Signer, wire::Error> {
        let body = wire::encode(identity)?;
        let prefix = URL_SAFE_NO_PAD.encode(&body);
        let key = blake3::keyed_hash(&self.0, prefix.as_bytes()).into();
        Ok(Signer { prefix, key })
    }

    /// Verifies and decodes the resume token `token`, which was presented by `organisation`.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the resume token is malformed, was altered or belongs to another organisation.
    ///
    /// ```
    /// use nutmeghead::{name, resume};
    /// let key = resume::Key::new(&[7; 32]);
    /// let caller = name::Organisation::new("rumbo-ops")?;
    /// assert_eq!(key.verify("not a token", &caller), Err(resume::Error::Malformed));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn verify(
        &self,
        token: &str,
        organisation: &name::Organisation,
    ) -> Result<Position, Error> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(Error::Malformed);
        }
        let mut parts = token.split('.');
        let (Some(prefix), Some(next), Some(tag), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Error::Malformed);
        };
        let next: u64 = next.parse().map_err(|_| Error::Malformed)?;
        let tag = URL_SAFE_NO_PAD.decode(tag).map_err(|_| Error::Malformed)?;
        let key: [u8; 32] = blake3::keyed_hash(&self.0, prefix.as_bytes()).into();
        let expected = blake3::keyed_hash(&key, &next.to_le_bytes());
        if !constant_time_eq(&tag, &expected.as_bytes()[..TAG_BYTES]) {
            return Err(Error::InvalidTag);
        }
        let body = URL_SAFE_NO_PAD.decode(prefix).map_err(|_| Error::Malformed)?;
        let identity: Identity = wire::decode(&body).map_err(|_| Error::Malformed)?;
        if identity.organisation != *organisation {
            return Err(Error::WrongOrganisation);
        }
        Ok(Position { identity, next })
    }
}

/// Writes the resume tokens of one generation.
#[derive(Clone)]
pub struct Signer {
    prefix: String,
    key: [u8; 32],
}

impl Signer {
    /// Appends the resume token with which the stream continues at token index `next`.
    pub fn write(&self, next: u64, out: &mut Vec<u8>) {
        let hash = blake3::keyed_hash(&self.key, &next.to_le_bytes());
        let mut tag = [0; TAG_BYTES * 4 / 3];
        out.extend_from_slice(self.prefix.as_bytes());
        // Writing to a vector and encoding into a buffer of the exact length cannot fail.
        let _ = write!(out, ".{next}.");
        let _ = URL_SAFE_NO_PAD.encode_slice(&hash.as_bytes()[..TAG_BYTES], &mut tag);
        out.extend_from_slice(&tag);
    }
}

/// Compares in constant time, so that the timing reveals nothing about the expected tag.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len() && left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}
