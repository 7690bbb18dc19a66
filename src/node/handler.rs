//! Passes calls of other entry hosts to the slices.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;

use super::slices::{Claims, Documents};
use crate::peer::{self, Error, Protocol};
use crate::{member, name, owner};

/// Slices that are made after the link.
#[derive(Default)]
pub(super) struct Late(OnceLock<(Documents, owner::Service, Claims)>);

impl Late {
    pub(super) fn fill(&self, documents: Documents, desks: owner::Service, claims: Claims) {
        // Filled once, right after the slices were made.
        let _ = self.0.set((documents, desks, claims));
    }
}

/// Passes calls on by their protocol.
pub(super) struct Handler {
    members: member::Service,
    late: Arc<Late>,
}

impl Handler {
    pub(super) fn new(members: member::Service, late: Arc<Late>) -> Self {
        Self { members, late }
    }
}

impl peer::Handler for Handler {
    async fn handle(
        &self,
        from: name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let Some((documents, desks, claims)) = self.late.0.get() else {
            return Err(Error::Refused(from));
        };
        match protocol {
            Protocol::Admission => desks.handle(body).await,
            Protocol::Claim => Ok(claims.handle(&body).await?),
            Protocol::Document => Ok(documents.handle(&from, &body)?),
            Protocol::Membership => self.members.handle(from, &body),
        }
    }

    fn handle_datagram(&self, from: name::Host, protocol: Protocol, body: Bytes) {
        match protocol {
            Protocol::Membership => self.members.handle_datagram(from, &body),
            Protocol::Admission => {
                if let Some((_, desks, _)) = self.late.0.get() {
                    desks.handle_datagram(&body);
                }
            }
            Protocol::Claim | Protocol::Document => {}
        }
    }
}
