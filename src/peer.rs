//! Calls between entry hosts.

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

/// What a call between entry hosts is about; its byte opens the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Duty {
    /// Permits for engines.
    Admission = 1,
    /// Claims of non-idempotent calls.
    Claim = 2,
    /// The document in force.
    Document = 3,
    /// Membership, where a datagram does not fit.
    Membership = 4,
}

impl TryFrom<u8> for Duty {
    type Error = Error;

    fn try_from(byte: u8) -> Result<Self, Error> {
        match byte {
            1 => Ok(Self::Admission),
            2 => Ok(Self::Claim),
            3 => Ok(Self::Document),
            4 => Ok(Self::Membership),
            other => Err(Error::Duty(other)),
        }
    }
}

/// Why a call to another entry host failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host is not in the membership view.
    #[error("entry host {0} is not known")]
    Unknown(name::Host),
    /// No connection could be made, so the call did not reach the host.
    #[error("entry host {0} cannot be reached")]
    Unreachable(name::Host),
    /// The call may have reached the host, but no answer came.
    #[error("entry host {0} did not answer")]
    Lost(name::Host),
    /// The host refused the call.
    #[error("entry host {0} refused the call")]
    Refused(name::Host),
    /// No duty has this byte.
    #[error("no duty has the byte {0}")]
    Duty(u8),
    /// A message could not be read.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The certificate of this process could not be made.
    #[error("cannot make a certificate")]
    Certificate(#[from] rcgen::Error),
    /// The certificates could not be set up for use.
    #[error("cannot set up TLS")]
    Tls(#[from] rustls::Error),
    /// The peer address could not be bound.
    #[error("cannot listen on {0}")]
    Bind(SocketAddr, #[source] std::io::Error),
    /// No entry host answered at this address, so the call did not arrive.
    #[error("no entry host answers at {0}")]
    Silent(SocketAddr),
}

/// Sends calls to other entry hosts.
pub trait Link: Clone + Send + Sync + 'static {
    /// Calls `host` and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Unknown`] mean that the call did not arrive, [`Error::Lost`] that it may
    /// have.
    fn call(
        &self,
        host: &name::Host,
        duty: Duty,
        body: Bytes,
    ) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Tells `host` something without an answer. It can be lost.
    fn tell(&self, host: &name::Host, duty: Duty, body: Bytes) -> impl Future<Output = ()> + Send {
        async move {
            let _ = self.call(host, duty, body).await;
        }
    }
}

/// Answers calls of other entry hosts.
pub trait Handle: Send + Sync + 'static {
    /// Answers one call.
    ///
    /// # Errors
    ///
    /// Any error closes the stream without an answer.
    fn handle(
        &self,
        from: name::Host,
        duty: Duty,
        body: Bytes,
    ) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Takes a datagram in. Datagrams are not answered and can be lost, doubled or reordered.
    fn datagram(&self, from: name::Host, duty: Duty, body: Bytes) {
        let _ = (from, duty, body);
    }
}
