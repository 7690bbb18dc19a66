//! Messages between entry hosts about documents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::record::SnapshotWire;
use super::{Accepted, RecordError, Snapshot};
use crate::{name, wire};

/// Why a message cannot be decoded.
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

/// A request for the newest document, with the version that the sender uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The environment.
    pub environment: name::Environment,
    /// The sender's version, 0 for none.
    pub version: u64,
    /// Whether the sender's reader is not synced and needs an offset at which the document is in force.
    pub needs_checkpoint: bool,
}

/// The document that a peer uses.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The document.
    pub accepted: Accepted,
    /// An offset of the stream at which the document is in force, if the peer knows one.
    pub at: Option<u64>,
}

/// The serialised form of an offer.
#[derive(Serialize, Deserialize)]
struct OfferWire {
    snapshot: SnapshotWire,
    at: Option<u64>,
}

/// The serialised form of a response; `None` if the peer has nothing that the sender needs.
#[derive(Serialize, Deserialize)]
struct Response(Option<OfferWire>);

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

/// Encodes a response.
pub(super) fn encode(offer: Option<&Offer>) -> Result<Bytes, wire::Error> {
    wire::encode(&Response(offer.map(OfferWire::from)))
}

/// Decodes a response and checks its document.
pub(super) fn decode(bytes: &[u8]) -> Result<Option<Offer>, Error> {
    let Response(offer) = wire::decode(bytes)?;
    offer.map(Offer::try_from).transpose()
}
