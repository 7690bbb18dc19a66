//! What the log holds about claims.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::key::{Fingerprint, Key, Slot};
use crate::{name, wire};

/// Largest response body that an outcome keeps, in bytes; of a larger one it keeps the hash.
pub const MAX_REPLY_BYTES: usize = 4 << 10;

/// Largest total of the response headers that an outcome keeps, in bytes.
const MAX_HEADER_BYTES: usize = 1 << 10;

/// Response headers that an outcome keeps.
const KEPT_HEADERS: [&str; 4] = ["content-type", "location", "etag", "x-request-id"];

/// The id of one attempt to claim a key, never used twice.
pub type Id = u128;

/// The process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Its entry host.
    pub host: name::Host,
    /// Its incarnation, which differs for each start of a process.
    pub incarnation: u64,
}

/// An attempt to be the one who dispatches a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt.
    pub id: Id,
    /// The caller's key.
    pub key: Key,
    /// The caller's organisation.
    pub organisation: name::Organisation,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Who would dispatch.
    pub holder: Holder,
    /// Time after the claim's record in which the holder may dispatch, in milliseconds.
    pub dispatch_ms: u32,
    /// Time allowed for the call once dispatched, in milliseconds.
    pub timeout_ms: u32,
}

impl Claim {
    /// What the claim competes for.
    pub fn slot(&self) -> Slot {
        Slot::new(&self.organisation, self.key)
    }
}

/// The response of a call, as kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The headers kept, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

/// The body of a kept response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The whole body.
    Whole(Bytes),
    /// Too large to keep.
    Hash {
        /// BLAKE3 hash of the body.
        hash: [u8; 32],
        /// Length of the body in bytes.
        len: u64,
    },
}

impl Reply {
    /// Keeps of a response what an outcome has room for.
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
        let mut room = MAX_HEADER_BYTES;
        let mut kept = Vec::new();
        for (name, value) in headers {
            let name = name.to_ascii_lowercase();
            let size = name.len() + value.len();
            if KEPT_HEADERS.contains(&name.as_str()) && size <= room {
                room -= size;
                kept.push((name, value.to_owned()));
            }
        }
        let body = if body.len() <= MAX_REPLY_BYTES {
            Body::Whole(body)
        } else {
            Body::Hash { hash: *blake3::hash(&body).as_bytes(), len: body.len() as u64 }
        };
        Self { status, headers: kept, body }
    }

    /// Memory that the reply takes, in bytes.
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
    /// It ran, and this was the response.
    Done(Reply),
    /// The holder did not dispatch it and never will.
    NotRun,
    /// It was dispatched, and no response came.
    Unknown,
}

/// What became of a claim, said by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The attempt.
    pub id: Id,
    /// The caller's key.
    pub key: Key,
    /// The caller's organisation.
    pub organisation: name::Organisation,
    /// How it ended.
    pub end: End,
}

/// One entry of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Someone wants to dispatch.
    Claim(Claim),
    /// A holder says how its claim ended.
    Outcome(Outcome),
}

impl Entry {
    /// The attempt that the entry is about.
    pub fn id(&self) -> Id {
        match self {
            Self::Claim(claim) => claim.id,
            Self::Outcome(outcome) => outcome.id,
        }
    }

    /// What the entry is about.
    pub fn slot(&self) -> Slot {
        match self {
            Self::Claim(claim) => claim.slot(),
            Self::Outcome(outcome) => Slot::new(&outcome.organisation, outcome.key),
        }
    }
}

/// The stream of a partition's records.
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
/// Returns a [`wire::Error`] if the entries have no encoding or exceed the largest message.
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
