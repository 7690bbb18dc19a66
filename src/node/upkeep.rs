//! Tasks that run as long as the node.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::slices::{Claims, Documents, Orders};
use crate::document::Active;
use crate::lifecycle::{Control, Event};
use crate::metrics::Instruments;
use crate::{member, name, order};

/// Time between two rounds of upkeep of the claims and of the orders' stream.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(20);

/// Time between two rounds of orders to engines.
const ORDERS_INTERVAL: Duration = Duration::from_secs(5);

/// Tells the documents' watch of hosts that have a newer document.
pub(super) async fn spread(members: member::Service, documents: Documents) {
    let mut newer = members.newer_document();
    while newer.changed().await.is_ok() {
        let heard = newer.borrow_and_update().clone();
        if let Some(heard) = heard {
            documents.observe_version(&heard.host, heard.version);
        }
    }
}

/// Makes the node ready with its first document and tells other hosts of each new version.
pub(super) async fn configure(
    control: Arc<Control>,
    members: member::Service,
    mut active: watch::Receiver<Option<Arc<Active>>>,
    instruments: Instruments,
) {
    loop {
        let version = active.borrow_and_update().as_ref().map(|active| active.version());
        if let Some(version) = version {
            instruments.document_version.set(version as i64);
            members.set_document_version(version);
            control.apply(Event::Configured);
        }
        if active.changed().await.is_err() {
            return;
        }
    }
}

pub(super) async fn keep_claims(claims: Claims, active: watch::Receiver<Option<Arc<Active>>>) {
    let mut ticks = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        let window_s = active.borrow().as_ref().map(|a| a.document().limits.claim_window_s);
        if let Some(window_s) = window_s {
            claims.set_window_ms(window_s.saturating_mul(1_000));
        }
        claims.maintain().await;
    }
}

/// Makes engines what the document says.
pub(super) async fn keep_orders(
    orders: Orders,
    environment: name::Environment,
    mut active: watch::Receiver<Option<Arc<Active>>>,
) {
    let mut rounds = tokio::time::interval(ORDERS_INTERVAL);
    let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        let upkeep_due = tokio::select! {
            _ = rounds.tick() => false,
            changed = active.changed() => {
                if changed.is_err() {
                    return;
                }
                false
            }
            _ = upkeep.tick() => true,
        };
        let Some(in_force) = active.borrow_and_update().clone() else { continue };
        let document = self::in_force(&environment, &in_force);
        if upkeep_due {
            orders.maintain(&document).await;
        } else {
            orders.reconcile(&document).await;
        }
    }
}

/// The document in force, as orders need it.
pub(super) fn in_force(environment: &name::Environment, active: &Active) -> order::Desired {
    order::Desired {
        environment: environment.clone(),
        version: active.version(),
        document: Arc::new(active.document().clone()),
    }
}
