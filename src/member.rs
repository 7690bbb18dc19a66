//! Membership of entry hosts. A node runs it through [`Service`] and reads the members and the owners of keys from the
//! [`View`].
//!
//! SWIM-style failure detection and gossip. Each host probes its successors in a few rings, so that every host is
//! probed by as many others as it probes, mostly across failure domains. Hosts with equal tables compute equal rings.
//! Changes are flooded to the ring neighbours. Neighbours whose tables stay different exchange them whole. The
//! platform's host list only supplies addresses to try.

use std::net::SocketAddr;

use crate::name;

mod counter;
mod discovery;
mod host_list;
mod message;
mod probe;
mod record;
mod ring;
mod service;
mod state;
mod table;
mod view;

#[cfg(test)]
mod tests;

pub use host_list::Address;
pub use message::{Message, Table};
pub use service::{NewerDocument, Service};
pub use state::{Action, Counts, Event, Settings, State};
pub use view::View;

/// Why membership could not be started or the host list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not a valid HTTP address for the host list.
    #[error("invalid host list address {0:?}; expected one like http://127.0.0.1:7000")]
    Address(String),
    /// The metrics could not be registered.
    #[error("cannot register the membership metrics")]
    Metrics(#[from] prometheus::Error),
    /// The host list could not be fetched: no connection, timeout or an error status.
    #[error("the host list is unavailable")]
    Unavailable,
    /// The response of the host list is too large or malformed.
    #[error("the host list sent a malformed response")]
    Malformed,
}

/// Status of a member in the view of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Status {
    /// It answers probes, as far as is known, and takes new work.
    Alive,
    /// It failed probes and has not refuted the suspicion.
    Suspect,
    /// It is shutting down and takes no new work.
    Leaving,
}

/// One process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host name.
    pub host: name::Host,
    /// Number of the process; a later process of the same host has a larger one.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its status.
    pub status: Status,
}
