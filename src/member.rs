//! Membership of entry hosts.
//!
//! Each host probes a few others, the same by every view, so that everyone is watched by as many as it watches, and
//! mostly across failure domains. Changes are passed on to these neighbours at once. Hosts whose tables differ for
//! longer exchange them whole. The platform's host list only names addresses to try.

use std::net::SocketAddr;

use crate::name;

mod contact;
mod counter;
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
pub use service::{Newer, Service};
pub use state::{Action, Counts, Event, Settings, State};
pub use view::View;

/// Why membership could not be started or a message not be taken in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not an HTTP address of the host list.
    #[error("{0:?} is not an address like http://127.0.0.1:7000")]
    Address(String),
    /// The counters could not be registered.
    #[error("cannot register the counters of membership")]
    Counters(#[from] prometheus::Error),
    /// The host list could not be fetched in time.
    #[error("the host list did not answer")]
    Silent,
    /// The host list gave an answer that is not one.
    #[error("the host list gave a malformed answer")]
    Malformed,
}

/// How a member is seen at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Condition {
    /// It answers, as far as is known.
    Alive,
    /// It did not answer probes, and has not spoken up since.
    Suspect,
    /// It is shutting down and takes no new work.
    Leaving,
}

/// One process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub host: name::Host,
    /// Tells processes of the same host apart; a later process has a larger number.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Its peer address.
    pub address: SocketAddr,
    /// How it is seen.
    pub condition: Condition,
}
