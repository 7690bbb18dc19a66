//! Calls between entry hosts about claims.

use serde::{Deserialize, Serialize};

use super::key::Key;
use super::record::Entry;
use super::state::Resolution;
use crate::name;

/// What an entry host asks the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Append this entry and say where its claim stands.
    Append(Entry),
    /// Say where a key stands.
    Status {
        /// The caller's organisation.
        organisation: name::Organisation,
        /// The key.
        key: Key,
    },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Where the claim or the key stands.
    Resolution(Resolution),
    /// The outcome is in the log.
    Stored,
    /// The log refused; nothing was appended by the asked host.
    Refused,
    /// The entry may or may not be in the log.
    Unconfirmed,
}
