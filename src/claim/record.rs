//! Claim records as stored in the log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::key::{Key, Slot};
use crate::fingerprint::Fingerprint;
use crate::{name, wire};

/// Largest response body stored in an outcome, in bytes. A larger body is replaced by its hash.
pub const MAX_REPLY_BYTES: usize = 4 << 10;

/// Largest total size of the response headers stored in an outcome, in bytes.
const MAX_HEADER_BYTES: usize = 1 << 10;

/// Response headers stored in an outcome.
const STORED_HEADERS: [&str; 4] = ["content-type", "location", "etag", "x-request-id"];

/// Unique id of an attempt to claim a key.
pub type Id = u128;

/// The process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The entry host.
    pub host: name::Host,
    /// The incarnation of the process, different after each start.
    pub incarnation: u64,
}

/// An attempt to become the dispatcher of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the attempt.
    pub id: Id,
    /// The caller's key.
    pub key: Key,
    /// The caller's organisation.
    pub organisation: name::Organisation,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The process that dispatches the call if the claim wins.
    pub holder: Holder,
    /// Time after the claim's record within which the holder may dispatch, in milliseconds.
    pub dispatch_ms: u32,
    /// Timeout of the call after dispatch, in milliseconds.
    pub timeout_ms: u32,
}

impl Claim {
    /// The slot that the claim competes for.
    pub fn slot(&self) -> Slot {
        Slot::new(&self.organisation, self.key)
    }
}

/// The stored response of a call, returned for retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The stored headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

/// The body of a stored response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// The hash of a body larger than [`MAX_REPLY_BYTES`].
    Hash {
        /// BLAKE3 hash of the body.
        hash: [u8; 32],
        /// Length of the body in bytes.
        len: u64,
    },
}

impl Reply {
    /// Creates the stored form of a response, within the size limits of an outcome.
    ///
    /// ```
    /// use nutmeghead::claim::{Body, Reply};
    /// let reply = Reply::new(200, [("Content-Type", "text/plain"), ("Date", "today")], b"ok".as_slice().into());
    /// assert_eq!((reply.headers.len(), reply.body), (1, Body::Whole(b"ok".as_slice().into())));
    /// ```
    pub fn new<'a>(
        status: u16,
        headers: impl IntoIterator<Item = (&'a str, &'a str)>,
        body: Bytes,
    ) -> Self {
        let mut remaining = MAX_HEADER_BYTES;
        let mut stored = Vec::new();
        for (name, value) in headers {
            let name = name.to_ascii_lowercase();
            let size = name.len() + value.len();
            if STORED_HEADERS.contains(&name.as_str()) && size <= remaining {
                remaining -= size;
                stored.push((name, value.to_owned()));
            }
        }
        let body = if body.len() <= MAX_REPLY_BYTES {
            Body::Whole(body)
        } else {
            Body::Hash { hash: *blake3::hash(&body).as_bytes(), len: body.len() as u64 }
        };
        Self { status, headers: stored, body }
    }

    /// Memory used by the reply, in bytes.
    pub(crate) fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        let body = match &self.body {
            Body::Whole(bytes) => bytes.len(),
            Body::Hash { .. } => 0,
        };
        size_of::<Self>() + headers + body
    }
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The call returned this response.
    Done(Reply),
    /// The holder did not dispatch the call and never will.
    NotRun,
    /// The call was dispatched and no response arrived.
    Unknown,
}

/// The outcome of a claim, reported by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the attempt.
    pub id: Id,
    /// The caller's key.
    pub key: Key,
    /// The caller's organisation.
    pub organisation: name::Organisation,
    /// How the call ended.
    pub end: End,
}

/// One entry of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An attempt to claim a key.
    Claim(Claim),
    /// The outcome of a claim.
    Outcome(Outcome),
}

impl Entry {
    /// Id of the attempt that the entry refers to.
    pub fn id(&self) -> Id {
        match self {
            Self::Claim(claim) => claim.id,
            Self::Outcome(outcome) => outcome.id,
        }
    }

    /// The slot that the entry refers to.
    pub fn slot(&self) -> Slot {
        match self {
            Self::Claim(claim) => claim.slot(),
            Self::Outcome(outcome) => Slot::new(&outcome.organisation, outcome.key),
        }
    }
}

/// Returns the name of the log stream of a partition.
///
/// ```
/// assert_eq!(nutmeghead::claim::stream(7), "claims.7");
/// ```
pub fn stream(partition: u16) -> String {
    format!("claims.{partition}")
}

/// Encodes the body of a record.
///
/// # Errors
///
/// Returns a [`wire::Error`] if the entries cannot be encoded or exceed the largest message size.
pub fn encode(entries: &[Entry]) -> Result<Bytes, wire::Error> {
    wire::encode(&entries)
}

/// Decodes the body of a record.
///
/// # Errors
///
/// Returns a [`wire::Error`] if `body` is not a list of entries.
pub fn decode(body: &[u8]) -> Result<Vec<Entry>, wire::Error> {
    wire::decode(body)
}
