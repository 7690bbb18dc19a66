//! Messages between entry hosts about claims.

use serde::{Deserialize, Serialize};

use super::key::Key;
use super::record::Entry;
use super::state::Resolution;
use crate::name;

/// A request from an entry host to the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Append this entry and return the resolution of its claim.
    Append(Entry),
    /// Return the resolution of a key.
    Status {
        /// The caller's organisation.
        organisation: name::Organisation,
        /// The key.
        key: Key,
    },
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The resolution of the claim or the key.
    Resolution(Resolution),
    /// The outcome was appended to the log.
    Stored,
    /// The log refused the request; the receiving host appended nothing.
    Refused,
    /// The entry may or may not be in the log.
    Unconfirmed,
}
