//! Records of an environment's log stream.
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::document::{MAX_DOCUMENT_BYTES, key_sha256};
use crate::name;

/// Version of the document checks. Each release that accepts other documents than the previous one increases it.
pub const FORMAT: u32 = 1;

/// Largest record, in bytes. It holds a document in which every character is escaped, and the record's other fields.
pub const MAX_RECORD_BYTES: usize = 2 * MAX_DOCUMENT_BYTES + 4096;

/// Longest author, in bytes.
const MAX_AUTHOR_BYTES: usize = 256;

/// Why a record cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The record exceeds [`MAX_RECORD_BYTES`].
    #[error("record of {0} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes")]
    Large(usize),
    /// The record is not JSON with the expected fields.
    #[error("malformed record")]
    Json(#[from] serde_json::Error),
    /// An identifier is not a UUID.
    #[error("record identifier is not a UUID")]
    Id(#[from] uuid::Error),
    /// The author is empty or too long.
    #[error("the author must have 1 to {MAX_AUTHOR_BYTES} bytes")]
    Author,
    /// The text of a promoted document does not match its hash.
    #[error("the promoted document does not match its hash")]
    Hash,
}

/// One record of an environment's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its identifier, by which its author finds it in the stream.
    pub id: Uuid,
    /// The person or host that appended it.
    pub author: Arc<str>,
    /// The [`FORMAT`] of its author's release.
    pub format: u32,
    /// The requested change.
    pub change: Change,
}

/// The change that a record requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Put a document in force.
    Submit {
        /// The version that the document replaces, 0 for none.
        base: u64,
        /// The document.
        text: Arc<str>,
    },
    /// Put the document of another environment in force, unchanged.
    Promote {
        /// The version that the document replaces, 0 for none.
        base: u64,
        /// The document.
        text: Arc<str>,
        /// The environment and version that it was promoted from.
        source: Source,
    },
    /// Confirm that a version is in force at this offset of the stream. It changes nothing.
    Confirm {
        /// The version.
        base: u64,
    },
    /// Put a document in force regardless of the version in force. It is used when the log no longer has the records
    /// that determine the document in force.
    Restore {
        /// The document.
        text: Arc<str>,
    },
    /// Repeat the document in force before the records that determine it expire.
    Renew {
        /// The offset that this record must have; at any other offset it has no effect.
        at: u64,
        /// The document in force before that offset.
        snapshot: Snapshot,
    },
}

/// The source of a promoted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The environment.
    pub environment: name::Environment,
    /// The document's version in that environment.
    pub version: u64,
    /// The log's time at which that version was confirmed to be in force, in milliseconds since the Unix epoch.
    pub confirmed_ms: u64,
}

/// A document in force, with everything needed to decide on later records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The document's version: the offset of its record plus one.
    pub version: u64,
    /// The identifier of its record.
    pub id: Uuid,
    /// The author of its record.
    pub author: Arc<str>,
    /// The [`FORMAT`] of its author's release.
    pub format: u32,
    /// The document.
    pub text: Arc<str>,
    /// The last promotion into this environment.
    pub promoted: Option<Source>,
}

impl Record {
    /// Creates a record with a new identifier in this release's format.
    ///
    /// ```
    /// use nutmeghead::config::{Change, Record};
    /// let record = Record::new("ada", Change::Confirm { base: 3 });
    /// assert_eq!(Record::decode(&record.encode()?)?, record);
    /// # Ok::<(), nutmeghead::config::RecordError>(())
    /// ```
    pub fn new(author: &str, change: Change) -> Self {
        Self { id: Uuid::new_v4(), author: author.into(), format: FORMAT, change }
    }

    /// Encodes the record as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Large`] above [`MAX_RECORD_BYTES`], [`Error::Author`] if the author is empty or too long.
    pub fn encode(&self) -> Result<Bytes, Error> {
        check_author(&self.author)?;
        let bytes = serde_json::to_vec(&Wire::from(self))?;
        check_size(bytes.len())?;
        Ok(bytes.into())
    }

    /// Decodes a record and checks it.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_size(bytes.len())?;
        serde_json::from_slice::<Wire>(bytes)?.try_into()
    }
}

fn check_size(size: usize) -> Result<(), Error> {
    if size > MAX_RECORD_BYTES { Err(Error::Large(size)) } else { Ok(()) }
}

fn check_author(author: &str) -> Result<(), Error> {
    if (1..=MAX_AUTHOR_BYTES).contains(&author.len()) { Ok(()) } else { Err(Error::Author) }
}

/// The JSON form of a record.
#[derive(Serialize, Deserialize)]
struct Wire {
    id: String,
    author: Arc<str>,
    format: u32,
    #[serde(flatten)]
    change: ChangeWire,
}

/// The JSON form of a change.
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum ChangeWire {
    Submit { base: u64, text: Arc<str> },
    Promote { base: u64, text: Arc<str>, sha256: String, source: Source },
    Confirm { base: u64 },
    Restore { text: Arc<str> },
    Renew { at: u64, snapshot: SnapshotWire },
}

/// The serialised form of a snapshot, in records and in messages between entry hosts.
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotWire {
    version: u64,
    id: String,
    author: Arc<str>,
    format: u32,
    text: Arc<str>,
    promoted: Option<Source>,
}

impl From<&Record> for Wire {
    fn from(record: &Record) -> Self {
        Self {
            id: record.id.to_string(),
            author: record.author.clone(),
            format: record.format,
            change: (&record.change).into(),
        }
    }
}

impl TryFrom<Wire> for Record {
    type Error = Error;

    fn try_from(wire: Wire) -> Result<Self, Error> {
        check_author(&wire.author)?;
        let id = Uuid::try_parse(&wire.id)?;
        let change = wire.change.try_into()?;
        Ok(Self { id, author: wire.author, format: wire.format, change })
    }
}

impl From<&Change> for ChangeWire {
    fn from(change: &Change) -> Self {
        match change.clone() {
            Change::Submit { base, text } => Self::Submit { base, text },
            Change::Promote { base, text, source } => {
                Self::Promote { base, sha256: key_sha256(&text), text, source }
            }
            Change::Confirm { base } => Self::Confirm { base },
            Change::Restore { text } => Self::Restore { text },
            Change::Renew { at, snapshot } => Self::Renew { at, snapshot: (&snapshot).into() },
        }
    }
}

impl TryFrom<ChangeWire> for Change {
    type Error = Error;

    fn try_from(wire: ChangeWire) -> Result<Self, Error> {
        Ok(match wire {
            ChangeWire::Submit { base, text } => Self::Submit { base, text },
            ChangeWire::Promote { text, sha256, .. } if key_sha256(&text) != sha256 => {
                return Err(Error::Hash);
            }
            ChangeWire::Promote { base, text, source, .. } => Self::Promote { base, text, source },
            ChangeWire::Confirm { base } => Self::Confirm { base },
            ChangeWire::Restore { text } => Self::Restore { text },
            ChangeWire::Renew { at, snapshot } => {
                Self::Renew { at, snapshot: snapshot.try_into()? }
            }
        })
    }
}

impl From<&Snapshot> for SnapshotWire {
    fn from(snapshot: &Snapshot) -> Self {
        let Snapshot { version, id, author, format, text, promoted } = snapshot.clone();
        Self { version, id: id.to_string(), author, format, text, promoted }
    }
}

impl TryFrom<SnapshotWire> for Snapshot {
    type Error = Error;

    fn try_from(wire: SnapshotWire) -> Result<Self, Error> {
        let SnapshotWire { version, id, author, format, text, promoted } = wire;
        check_author(&author)?;
        Ok(Self { version, id: Uuid::try_parse(&id)?, author, format, text, promoted })
    }
}
