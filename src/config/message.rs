//! What entry hosts say to each other about documents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::record::SnapshotWire;
use super::{Accepted, RecordError, Snapshot};
use crate::{name, wire};

/// Why a peer's answer is not used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message cannot be read.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// A field of the document is malformed.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The document has version 0 or fails the checks.
    #[error("the peer's document with version {0} fails the checks")]
    Invalid(u64),
}

/// Asks for the newest document, and tells which one the asker has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The environment.
    pub environment: name::Environment,
    /// The asker's version, 0 for none.
    pub version: u64,
    /// Whether the asker cannot judge the log's records and needs a starting point.
    pub anchor: bool,
}

/// A document in force at a peer.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The document.
    pub accepted: Accepted,
    /// The offset before which it was in force, if the peer knows one.
    pub at: Option<u64>,
}

/// An offer as sent.
#[derive(Serialize, Deserialize)]
struct OfferWire {
    snapshot: SnapshotWire,
    at: Option<u64>,
}

/// An answer as sent; none if the peer has nothing newer.
#[derive(Serialize, Deserialize)]
struct Answer(Option<OfferWire>);

impl From<&Offer> for OfferWire {
    fn from(offer: &Offer) -> Self {
        Self { snapshot: (&offer.accepted.snapshot).into(), at: offer.at }
    }
}

impl TryFrom<OfferWire> for Offer {
    type Error = Error;

    fn try_from(wire: OfferWire) -> Result<Self, Error> {
        let snapshot: Snapshot = wire.snapshot.try_into()?;
        let version = snapshot.version;
        let accepted = Accepted::check(snapshot).filter(|_| version > 0);
        Ok(Self { accepted: accepted.ok_or(Error::Invalid(version))?, at: wire.at })
    }
}

/// Encodes an answer.
pub(super) fn encode(offer: Option<&Offer>) -> Result<Bytes, wire::Error> {
    wire::encode(&Answer(offer.map(OfferWire::from)))
}

/// Reads an answer and checks its document.
pub(super) fn decode(bytes: &[u8]) -> Result<Option<Offer>, Error> {
    let Answer(offer) = wire::decode(bytes)?;
    offer.map(Offer::try_from).transpose()
}
