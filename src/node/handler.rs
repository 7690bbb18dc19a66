//! Passes calls of other entry hosts to the slices.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;

use super::slices::{Claims, Documents};
use crate::peer::{Duty, Error, Handle};
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

/// Passes calls on by their duty.
pub(super) struct Handler {
    members: member::Service,
    late: Arc<Late>,
}

impl Handler {
    pub(super) fn new(members: member::Service, late: Arc<Late>) -> Self {
        Self { members, late }
    }
}

impl Handle for Handler {
    async fn handle(&self, from: name::Host, duty: Duty, body: Bytes) -> Result<Bytes, Error> {
        let Some((documents, desks, claims)) = self.late.0.get() else {
            return Err(Error::Refused(from));
        };
        match duty {
            Duty::Admission => desks.handle(body).await,
            Duty::Claim => Ok(claims.handle(&body).await?),
            Duty::Document => Ok(documents.answer(&from, &body)?),
            Duty::Membership => self.members.handle(from, &body),
        }
    }

    fn datagram(&self, from: name::Host, duty: Duty, body: Bytes) {
        match duty {
            Duty::Membership => self.members.datagram(from, &body),
            Duty::Admission => {
                if let Some((_, desks, _)) = self.late.0.get() {
                    desks.handle_datagram(&body);
                }
            }
            Duty::Claim | Duty::Document => {}
        }
    }
}
