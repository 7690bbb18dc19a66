//! Wire format of membership messages.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::record::{self, Record};
use crate::name;

/// Largest size of an [`Entry`] without its names, in bytes.
const MAX_NON_NAME_BYTES: usize = 40;

/// A membership datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's incarnation.
    pub(super) incarnation: u64,
    /// Type of the message.
    pub(super) kind: Kind,
    /// Digest of the present members in the sender's table.
    pub(super) digest: u64,
    /// The newest document version that the sender has.
    pub(super) document_version: u64,
    /// Changed records.
    pub(super) entries: Vec<Entry>,
}

/// Type of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Kind {
    /// Carries changed records and needs no reply.
    Update,
    /// Asks for an `Ack` with the same number.
    Ping(u32),
    /// Answers a `Ping`.
    Ack(u32),
    /// Asks the receiver to ping the named host and to send an `IndirectAck` when that host answers.
    PingRequest(u32, name::Host),
    /// Answers the `PingRequest` with this number, after the named host answered the ping.
    IndirectAck(u32, name::Host),
}

/// A member's whole table, or the records in it that another member lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The newest document version that the sender has.
    pub(super) document_version: u64,
    /// The records.
    pub(super) entries: Vec<Entry>,
}

/// A [`Record`] on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) host: name::Host,
    incarnation: u64,
    revision: u32,
    leaving: bool,
    pub(super) health: Health,
    domain: name::Domain,
    region: name::Region,
    address: SocketAddr,
}

impl Entry {
    /// An upper bound on the entry's size on the wire, in bytes.
    pub(super) fn max_bytes(&self) -> usize {
        let names = [self.host.as_str(), self.domain.as_str(), self.region.as_str()];
        names.iter().map(|name| name.len() + 1).sum::<usize>() + MAX_NON_NAME_BYTES
    }
}

/// A [`record::Health`] on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Health {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl From<&Record> for Entry {
    fn from(record: &Record) -> Self {
        Self {
            host: record.host.clone(),
            incarnation: record.incarnation,
            revision: record.revision,
            leaving: record.leaving,
            health: match record.health {
                record::Health::Alive => Health::Alive,
                record::Health::Suspect => Health::Suspect,
                record::Health::Dead => Health::Dead,
                record::Health::Left => Health::Left,
            },
            domain: record.domain.clone(),
            region: record.region.clone(),
            address: record.address,
        }
    }
}

impl From<Entry> for Record {
    fn from(entry: Entry) -> Self {
        Self {
            host: entry.host,
            incarnation: entry.incarnation,
            revision: entry.revision,
            leaving: entry.leaving,
            health: match entry.health {
                Health::Alive => record::Health::Alive,
                Health::Suspect => record::Health::Suspect,
                Health::Dead => record::Health::Dead,
                Health::Left => record::Health::Left,
            },
            domain: entry.domain,
            region: entry.region,
            address: entry.address,
        }
    }
}
