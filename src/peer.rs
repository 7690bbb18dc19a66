//! Remote procedure calls and datagrams between entry hosts.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::{name, wire};

mod endpoint;
mod identity;
mod quic;

#[cfg(test)]
mod tests;

pub use identity::Key;
pub use quic::{MAX_DATAGRAM_BYTES, Quic, Settings, Traffic};

/// The protocol of a call or datagram between entry hosts. Its byte comes first in the stream or datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Protocol {
    /// Admission to engines.
    Admission = 1,
    /// Claims on the execution of non-idempotent calls.
    Claim = 2,
    /// Transfer of the document in force.
    Document = 3,
    /// Membership: probes and changes as datagrams, whole tables as calls.
    Membership = 4,
    /// Parts of prompts that crash engines.
    Quarantine = 5,
}

impl TryFrom<u8> for Protocol {
    type Error = Error;

    fn try_from(byte: u8) -> Result<Self, Error> {
        match byte {
            1 => Ok(Self::Admission),
            2 => Ok(Self::Claim),
            3 => Ok(Self::Document),
            4 => Ok(Self::Membership),
            5 => Ok(Self::Quarantine),
            other => Err(Error::UnknownProtocol(other)),
        }
    }
}

/// Why a call to another entry host failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host's address is not known.
    #[error("entry host {0} has no known address")]
    UnknownHost(name::Host),
    /// No connection or stream could be opened, so the call did not reach the host.
    #[error("entry host {0} cannot be reached")]
    Unreachable(name::Host),
    /// The call may have reached the host, but no response came.
    #[error("entry host {0} did not answer")]
    Lost(name::Host),
    /// The host refused the call.
    #[error("entry host {0} refused the call")]
    Refused(name::Host),
    /// The protocol byte is not known.
    #[error("unknown protocol byte {0}")]
    UnknownProtocol(u8),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The certificate of this process could not be generated.
    #[error("cannot generate a certificate")]
    Certificate(#[from] rcgen::Error),
    /// TLS could not be configured with the certificates.
    #[error("cannot configure TLS")]
    Tls(#[from] rustls::Error),
    /// The peer address could not be bound.
    #[error("cannot listen on {0}")]
    Bind(SocketAddr, #[source] std::io::Error),
    /// No entry host could be reached at this address, so the call did not arrive.
    #[error("no entry host can be reached at {0}")]
    UnreachableAddress(SocketAddr),
}

/// Sends calls to other entry hosts.
pub trait Link: Clone + Send + Sync + 'static {
    /// Calls `host` and returns its response.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::UnknownHost`] mean that the call did not arrive, [`Error::Lost`] that it may
    /// have.
    fn call(
        &self,
        host: &name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Sends `host` a one-way message, which can be lost.
    fn notify(
        &self,
        host: &name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> impl Future<Output = ()> + Send {
        async move {
            let _ = self.call(host, protocol, body).await;
        }
    }
}

/// Handles calls and datagrams from other entry hosts.
pub trait Handler: Send + Sync + 'static {
    /// Handles one call and returns the response.
    ///
    /// # Errors
    ///
    /// Any error resets the stream, so that the caller gets no response.
    fn handle(
        &self,
        from: name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Handles a datagram. Datagrams get no response and can be lost, duplicated or reordered.
    fn handle_datagram(&self, from: name::Host, protocol: Protocol, body: Bytes) {
        let _ = (from, protocol, body);
    }
}
