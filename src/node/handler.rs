//! Dispatches messages of other entry hosts to the components of this node.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;

use super::components::{Claims, Documents, Quarantine};
use crate::peer::{self, Error, Protocol};
use crate::{member, name, owner};

/// Components that handle calls of peers. They are set after the QUIC endpoint has started, because they use it
/// themselves; until then calls are refused.
#[derive(Default)]
pub(super) struct Services(OnceLock<(Documents, owner::Service, Claims, Quarantine)>);

impl Services {
    pub(super) fn set(
        &self,
        documents: Documents,
        owner: owner::Service,
        claims: Claims,
        quarantine: Quarantine,
    ) {
        // Cannot fail: this is called only once.
        let _ = self.0.set((documents, owner, claims, quarantine));
    }
}

/// Dispatches calls and datagrams by their protocol.
pub(super) struct Handler {
    members: member::Service,
    services: Arc<Services>,
}

impl Handler {
    pub(super) fn new(members: member::Service, services: Arc<Services>) -> Self {
        Self { members, services }
    }
}

impl peer::Handler for Handler {
    async fn handle(
        &self,
        from: name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let Some((documents, owner, claims, quarantine)) = self.services.0.get() else {
            return Err(Error::Refused(from));
        };
        match protocol {
            Protocol::Admission => owner.handle(body).await,
            Protocol::Claim => Ok(claims.handle(&body).await?),
            Protocol::Document => Ok(documents.handle(&from, &body)?),
            Protocol::Membership => self.members.handle(from, &body),
            Protocol::Quarantine => {
                quarantine.handle(&body);
                Ok(Bytes::new())
            }
        }
    }

    fn handle_datagram(&self, from: name::Host, protocol: Protocol, body: Bytes) {
        match protocol {
            Protocol::Membership => self.members.handle_datagram(from, &body),
            Protocol::Admission => {
                if let Some((_, owner, ..)) = self.services.0.get() {
                    owner.handle_datagram(&body);
                }
            }
            Protocol::Quarantine => {
                if let Some((.., quarantine)) = self.services.0.get() {
                    quarantine.handle(&body);
                }
            }
            Protocol::Claim | Protocol::Document => {}
        }
    }
}
