//! Record of one member, and which of two records is newer.

use std::net::SocketAddr;

use crate::name;

/// Health of a member. At equal incarnation and revision, the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Health {
    /// It answers probes, as far as is known.
    Alive,
    /// It failed a probe.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced its exit.
    Left,
}

/// The state of one member, as gossiped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its host name.
    pub host: name::Host,
    /// Number of the process; a later process of the same host has a larger one.
    pub incarnation: u64,
    /// Increased only by the member itself, when it changes its record or refutes a suspicion.
    pub revision: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its health.
    pub health: Health,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Its peer address.
    pub address: SocketAddr,
}

impl Record {
    /// Sort key: of two records of a host, the one with the greater key is newer.
    pub(super) fn precedence(&self) -> (u64, u32, Health) {
        (self.incarnation, self.revision, self.health)
    }

    /// Whether the member is alive or suspect, so neither dead nor left.
    pub(super) fn is_present(&self) -> bool {
        self.health <= Health::Suspect
    }
}
