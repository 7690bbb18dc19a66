//! What is known of one member, and which of two records is the newer one.

use std::net::SocketAddr;

use crate::name;

/// How a member is judged, in order of precedence at equal incarnation and revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Health {
    /// It answers, as far as is known.
    Alive,
    /// A neighbour got no answer.
    Suspect,
    /// It did not speak up in time.
    Dead,
    /// It said that it has gone.
    Left,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its host.
    pub host: name::Host,
    /// Tells processes of the same host apart.
    pub incarnation: u64,
    /// Raised by the member itself, to change `leaving` or to speak up against a suspicion.
    pub revision: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// How it is judged.
    pub health: Health,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Its peer address.
    pub address: SocketAddr,
}

impl Record {
    /// The part that decides which of two records is newer.
    pub(super) fn order(&self) -> (u64, u32, Health) {
        (self.incarnation, self.revision, self.health)
    }

    /// Whether the member counts as one: it is neither dead nor gone.
    pub(super) fn is_present(&self) -> bool {
        self.health <= Health::Suspect
    }
}
