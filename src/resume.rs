//! Signed tokens by which a caller resumes a stream at any entry host.
//!
//! A token has three parts: where the generation runs and for whom, the index of the next token, and a keyed hash over
//! both. Nothing about a stream is kept on entry hosts.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use std::io::Write as _;
use uuid::Uuid;

use crate::{name, wire};

#[cfg(test)]
mod tests;

/// Length of the keyed hash in a token, in bytes.
const TAG_BYTES: usize = 12;

/// Longest accepted token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 512;

const KEY_CONTEXT: &str = "nutmeghead 2026 resume token";

/// Why a resume token is refused.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The text does not have the form of a token.
    #[error("the resume token is malformed")]
    Malformed,
    /// The keyed hash does not match.
    #[error("the resume token is forged or altered")]
    Forged,
    /// The token was given to another organisation.
    #[error("the resume token belongs to another organisation")]
    Foreign,
}

/// The generation that a token names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The engine that runs it.
    pub engine: name::Engine,
    /// The engine's identifier of it.
    pub generation: Uuid,
    /// The attempt's identifier, which the engine repeats in every event.
    pub request: Uuid,
    /// The organisation that asked for it.
    pub organisation: name::Organisation,
    /// Its workload.
    pub workload: name::Workload,
}

/// A place in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// The generation.
    pub stream: Stream,
    /// Index of the next token to deliver, from 0.
    pub next: u64,
}

/// The key that signs tokens, the same at all entry hosts.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the fleet key.
    pub fn new(fleet_key: &[u8; 32]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, fleet_key))
    }

    /// A signer for the tokens of one stream.
    ///
    /// # Errors
    ///
    /// Returns [`wire::Error`] if `stream` cannot be encoded.
    pub fn signer(&self, stream: &Stream) -> Result<Signer, wire::Error> {
        let body = wire::encode(stream)?;
        let prefix = URL_SAFE_NO_PAD.encode(&body);
        let key = blake3::keyed_hash(&self.0, prefix.as_bytes()).into();
        Ok(Signer { prefix, key })
    }

    /// Opens `token`, which `organisation` presented.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if the token is malformed, altered or another organisation's.
    ///
    /// ```
    /// use nutmeghead::{name, resume};
    /// let key = resume::Key::new(&[7; 32]);
    /// let caller = name::Organisation::new("rumbo-ops")?;
    /// assert_eq!(key.open("not a token", &caller), Err(resume::Error::Malformed));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn open(&self, token: &str, organisation: &name::Organisation) -> Result<Position, Error> {
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
            return Err(Error::Forged);
        }
        let body = URL_SAFE_NO_PAD.decode(prefix).map_err(|_| Error::Malformed)?;
        let stream: Stream = wire::decode(&body).map_err(|_| Error::Malformed)?;
        if stream.organisation != *organisation {
            return Err(Error::Foreign);
        }
        Ok(Position { stream, next })
    }
}

/// Writes the tokens of one stream.
#[derive(Clone)]
pub struct Signer {
    prefix: String,
    key: [u8; 32],
}

impl Signer {
    /// Appends the token after which the stream goes on at index `next`.
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

/// Compares without an early exit, so that timing tells nothing about the expected hash.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len() && left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}
