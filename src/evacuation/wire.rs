//! What hosts tell each other of evacuated domains, as encoded.

use serde::{Deserialize, Serialize};

use super::Revision;
use crate::name;

/// The evacuated domains that a host knows. Lists beyond [`super::MAX_DOMAINS`] are cut off by the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position in the store's topic up to which records are included.
    pub revision: Revision,
    /// Domains with a record in the store.
    pub evacuated: Vec<name::Domain>,
    /// Domains whose record was removed in this era of the store.
    pub ended: Vec<name::Domain>,
    /// Domains that stay evacuated for some time although the store has no record of them.
    pub held: Vec<Held>,
}

/// A domain whose record the store may have lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The failure domain.
    pub domain: name::Domain,
    /// Time for which it stays evacuated without a new record, in milliseconds.
    pub left_ms: u64,
}
