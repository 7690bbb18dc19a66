//! Messages of membership, as sent between entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::record::{Health, Record};
use crate::name;

/// Largest size of the parts of an [`Entry`] that are not names, in bytes.
const MAX_NUMBERS_BYTES: usize = 40;

/// A datagram between neighbours.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's incarnation.
    pub(super) incarnation: u64,
    /// What the sender wants.
    pub(super) kind: Kind,
    /// Digest of the sender's table.
    pub(super) digest: u64,
    /// The newest document version that the sender has.
    pub(super) version: u64,
    /// Changes to the sender's table.
    pub(super) entries: Vec<Entry>,
}

/// What the sender of a [`Message`] wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Kind {
    /// Only passes changes on.
    Update,
    /// Asks for an `Ack`.
    Ping(u32),
    /// Answers a `Ping`.
    Ack(u32),
    /// Asks the receiver to ping another host and answer with `Checked`.
    Check(u32, name::Host),
    /// The host answered.
    Checked(u32, name::Host),
}

/// The whole table of a member, or what another lacks of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The newest document version that the sender has.
    pub(super) version: u64,
    /// Its records.
    pub(super) entries: Vec<Entry>,
}

/// A [`Record`] on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) host: name::Host,
    incarnation: u64,
    revision: u32,
    leaving: bool,
    pub(super) health: Judgement,
    domain: name::Domain,
    region: name::Region,
    address: SocketAddr,
}

impl Entry {
    /// An upper limit of the entry's size on the wire, in bytes.
    pub(super) fn max_bytes(&self) -> usize {
        let names = [self.host.as_str(), self.domain.as_str(), self.region.as_str()];
        names.iter().map(|name| name.len() + 1).sum::<usize>() + MAX_NUMBERS_BYTES
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Judgement {
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
                Health::Alive => Judgement::Alive,
                Health::Suspect => Judgement::Suspect,
                Health::Dead => Judgement::Dead,
                Health::Left => Judgement::Left,
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
                Judgement::Alive => Health::Alive,
                Judgement::Suspect => Health::Suspect,
                Judgement::Dead => Health::Dead,
                Judgement::Left => Health::Left,
            },
            domain: entry.domain,
            region: entry.region,
            address: entry.address,
        }
    }
}
